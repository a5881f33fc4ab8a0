"""The streams of a journal to its replicas: which to open, drop or replace, and which former replicas to close."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from .messages import ReplicationSettings
from .replica_stream import ReplicaStream
from .stream_sender import StreamSender


class ReplicaStreams:
    """Streams of the primary `name`.  `on_dropped` is called after a stream was dropped.

    `draining` contains replicas that are to be replaced; they stay in the in-sync set until then.
    """

    def __init__(
        self, name: str, settings: ReplicationSettings, sender: StreamSender, on_dropped: Callable[[], None]
    ) -> None:
        self._name, self._settings, self._sender, self._on_dropped = name, settings, sender, on_dropped
        self.by_replica: dict[str, ReplicaStream] = {}
        self.draining: set[str] = set()
        self.stale_replicas: set[str] = set()  # former replicas that may still have a copy
        self._reconnect_at: dict[str, float] = {}  # earliest time of a new stream to each dropped replica

    def open(self, now: float, name: str) -> ReplicaStream:
        """Open a stream to a replica."""
        stream = self.by_replica[name] = self._sender.open(now, name)
        self.stale_replicas.discard(name)
        return stream

    def drop(self, now: float, stream: ReplicaStream, reconnect_pause_ms: float) -> None:
        """Drop a stream; a new one may be opened after the pause."""
        del self.by_replica[stream.replica]
        self._reconnect_at[stream.replica] = now + reconnect_pause_ms
        self.stale_replicas.add(stream.replica)
        self._on_dropped()

    def forget_all(self) -> None:
        """Remove all streams; their replicas are recorded as stale, as they may still have copies."""
        self.stale_replicas |= self.by_replica.keys()
        self.by_replica.clear()

    def update(
        self, now: float, reachable: set[str], ranking: Iterable[str], in_sync: Callable[[], Collection[str]]
    ) -> None:
        """Drop replicas that stay unreachable, open missing streams in the order of `ranking`, replace draining ones.

        `in_sync` returns the current in-sync set.
        """
        for stream in list(self.by_replica.values()):
            silent_ms = now - stream.waiting_since
            if stream.replica not in reachable and silent_ms >= self._settings.replica_timeout_ms:
                self.drop(now, stream, self._settings.reconnect_pause_ms)
        remaining = [stream for stream in self.by_replica.values() if stream.replica not in self.draining]
        for name in ranking:
            if len(remaining) >= self._settings.replica_count:
                break
            if self._may_open(now, name, reachable):
                remaining.append(self.open(now, name))
        if sum(stream.replica in in_sync() for stream in remaining) >= self._settings.replica_count:
            for stream in [stream for stream in self.by_replica.values() if stream.replica in self.draining]:
                self.drop(now, stream, self._settings.reconnect_pause_ms)

    def _may_open(self, now: float, name: str, reachable: set[str]) -> bool:
        is_candidate = name in reachable - self.draining - self.by_replica.keys() - {self._name}
        return is_candidate and self._reconnect_at.get(name, 0.0) <= now

    def close_stale(self, reachable: set[str], in_sync: Collection[str]) -> None:
        """Notify reachable former replicas that they can delete their copies."""
        for name in sorted(self.stale_replicas & reachable - self.by_replica.keys()):
            if name not in in_sync:
                self.stale_replicas.discard(name)
                self._sender.close(name)
