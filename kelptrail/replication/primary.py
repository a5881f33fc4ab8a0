"""An owner's side: what it writes down is safe once its own disk and all members of the book have it; free of I/O.

Entries gather in batches.  A batch goes to the own disk and to all holders side by side.  A holder is *whole* once it
has all that this owner has, and only then becomes a member; a member that does not answer in time stops being one.
Either is left as a note with the lease first.  So whoever holds the lease next and is named in the note has every batch
that ever was safe.

Each holder has a stream of its own.  It begins with the holder's digests: what differs is filled up bucket by bucket at
a bounded rate, what is written meanwhile waits behind that, then both go on alike.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from kelptrail.lease.messages import NO_TOKEN, FencingToken

from .messages import (
    BUCKETS,
    Answer,
    Append,
    AppendAck,
    CloseStream,
    DigestReply,
    FencedReply,
    OpenStream,
    ReplicaEntry,
    ReplicationSettings,
    unpack_digests,
)

MAX_UNCOMMITTED_BATCHES = 4  # batches that wait for their safety; what comes meanwhile makes up the next
CommitCallback = Callable[[bool], None]


class StreamState(Enum):
    """How far a holder has come."""

    OPENING = "opening"
    REPAIRING = "filling"
    IN_SYNC = "whole"


@dataclass(slots=True, eq=False)
class Batch:
    """Entries that become safe together.  `waiters`: told whether as many have it as the settings ask for."""

    number: int
    entries: list[ReplicaEntry] = field(default_factory=list)
    deleted_ids: list[str] = field(default_factory=list)
    on_commit: list[CommitCallback] = field(default_factory=list)
    size_bytes: int = 0
    locally_durable: bool = False


@dataclass(slots=True, eq=False)
class ReplicaStream:
    """One holder.  `since`: from when what is out to it has waited; `behind`: batches that go out after the filling."""

    replica: str
    stream_id: int
    waiting_since: float
    state: StreamState = StreamState.OPENING
    disk_id: str = ""  # known once it has answered
    last_sequence: int = 0  # last of the stream
    acked_sequence: int = 0
    acked_batch: int = 0  # last batch that it keeps
    repaired_batch: int = 0  # last batch that the filling brings
    repair_end: int = 0
    retry_at: float = 0.0  # when what is out goes out again
    repair_at: float = 0.0
    reading_bucket: int = -1  # the bucket that is being read
    differing_buckets: deque[int] = field(default_factory=deque)
    unacked: deque[tuple[Append, int, int, float]] = field(default_factory=deque)  # not answered: size, batch, since
    deferred_batches: list[Batch] = field(default_factory=list)
    sent_sequence: int = 0
    unacked_bytes: int = 0  # in the queue
    repaired_bytes: int = 0  # bytes
    verify_at: float = 0.0
    verify_bucket: int = 0  # the bucket from which on it is looked at next


class Primary:
    """One book under its owner `me`.  `disk`: the name of its own, `digests`: what that has, asked when needed."""

    def __init__(
        self, journal_id: str, name: str, disk_id: str, settings: ReplicationSettings, digests: Callable[[], list[int]]
    ) -> None:
        self.journal_id, self.name, self.disk_id, self.settings, self._digests = (
            journal_id,
            name,
            disk_id,
            settings,
            digests,
        )
        self.token, self.in_sync = NO_TOKEN, dict[str, str]()
        self.streams: dict[str, ReplicaStream] = {}
        self.outbox: deque[tuple[str, OpenStream | Append | CloseStream]] = deque()
        self.local_writes: deque[Batch] = deque()  # to be written to the own disk
        self.bucket_reads: deque[tuple[str, int, int]] = deque()  # holder, stream, bucket of the own disk
        self.in_sync_updates: deque[dict[str, str]] = deque()  # members and their disks, to be left with the lease
        self.ready = False  # the first note under this token is kept: it may act
        self.fenced_by: FencingToken | None = None  # under which another owns it
        self.disk_failed = False  # the own disk has
        self.pending_in_sync: dict[str, str] | None = None
        self.under_replicated_since: float | None = None  # since when fewer than wanted have the whole
        self.under_replicated_ms = 0.0  # for how long that was so, before that
        self.closing = False  # nobody needs it any more
        self.repaired_buckets = 0  # buckets that differed at a holder that should have had them
        self.committed_batches = self.committed_entries = self.sent_bytes = 0
        self._uncommitted: deque[Batch] = deque()
        self._next_batch = Batch(1)
        self._uncommitted_bytes = 0
        self._last_stream_id = 0
        self._reconnect_at: dict[str, float] = {}  # holders that were given up, and when they may be asked again
        self.draining: set[str] = set()  # holders that are to be replaced while they still keep what they have
        self._stale_replicas: set[str] = set()  # those that may still keep what they need not

    # The lease.

    def on_lease_acquired(self, now: float, token: FencingToken, members: Mapping[str, str]) -> None:
        """The book is owned under this token; `members` as the note has them, without who is lost for sure."""
        self.token, self.ready, self.fenced_by = token, False, None
        self._stale_replicas |= self.streams.keys()
        self.streams, self.pending_in_sync = {}, None
        self.in_sync = {**members, self.name: self.disk_id}
        self.in_sync_updates.clear()
        self._store_in_sync(self.in_sync)
        if self.under_replicated_since is None and not self.is_fully_replicated:
            self.under_replicated_since = now
        for name in self.in_sync:
            if name != self.name:
                self._open_stream(now, name)

    def on_in_sync_stored(self, now: float) -> None:
        """The last note is kept."""
        if self.pending_in_sync is None:
            return
        self.in_sync, self.pending_in_sync, self.ready = self.pending_in_sync, None, True
        if self.is_fully_replicated and self.under_replicated_since is not None:
            self.under_replicated_ms += now - self.under_replicated_since
            self.under_replicated_since = None
        elif not self.is_fully_replicated and self.under_replicated_since is None:
            self.under_replicated_since = now
        self._commit()

    def add_stale_replica(self, name: str) -> None:
        """The owner before need not keep the book, once it is heard."""
        if name not in self.in_sync:
            self._stale_replicas.add(name)

    def probe_fencing(self, said: str) -> None:
        """Without the lease: ask members, and who is said to own the book, whether that is so; they tell by a later
        token."""
        for name in sorted({*self.in_sync, said} - {self.name}):
            self._last_stream_id += 1
            self.outbox.append((name, OpenStream(self.journal_id, self.token, self._last_stream_id)))

    @property
    def is_fully_replicated(self) -> bool:
        """Whether as many have the whole as the settings ask for."""
        return len(self.in_sync) > self.settings.replica_count

    def accepts_requests(self) -> bool:
        """Whether a new call can be promised."""
        return (
            self.ready
            and not self.disk_failed
            and not self.fenced_by
            and self._uncommitted_bytes < self.settings.max_uncommitted_bytes
            and (self.is_fully_replicated or self.settings.allow_under_replicated)
        )

    # What is written.

    def append(
        self, entries: Iterable[ReplicaEntry], on_commit: CommitCallback | None, deleted_ids: Iterable[str] = ()
    ) -> None:
        """Write entries down, and forget others.  `waiter` is told once they are safe, True where that is with as many
        as the settings ask for; never, where the book is lost before.  Without entries it tells when all that the own
        disk has is safe: after a takeover nothing found there may be acted on before, as others may not have it."""
        batch = self._next_batch
        for item in entries:
            batch.entries.append(item)
            batch.size_bytes += len(item.id) + len(item.data)
        batch.deleted_ids += deleted_ids
        if on_commit is not None:
            batch.on_commit.append(on_commit)

    @property
    def uncommitted_count(self) -> int:
        """Entries that are not safe yet."""
        return len(self._next_batch.entries) + sum(len(batch.entries) for batch in self._uncommitted)

    def start_batch(self, now: float) -> None:
        """Send on what has gathered."""
        batch = self._next_batch
        if (
            not (batch.entries or batch.deleted_ids or batch.on_commit)
            or len(self._uncommitted) >= MAX_UNCOMMITTED_BATCHES
        ):
            return
        if not self.token.round or self.disk_failed:
            return
        self._next_batch = Batch(batch.number + 1)
        self._uncommitted.append(batch)
        self._uncommitted_bytes += batch.size_bytes
        self.local_writes.append(batch)
        for stream in self.streams.values():
            if stream.state is StreamState.REPAIRING and not stream.repair_end:
                stream.deferred_batches.append(batch)
            elif stream.state is not StreamState.OPENING:
                self._append_batch(now, stream, batch)

    def on_local_write(self, batch: Batch, safe: bool) -> None:
        """What became of a batch on the own disk.  Where that fails nobody knows what is on it, so the book is to be
        given to another."""
        if not safe:
            self.disk_failed = True
            return
        batch.locally_durable = True
        self._commit()

    def _commit(self) -> None:
        """Tell of batches that are safe."""
        whole = {stream.replica for stream in self.streams.values() if stream.state is StreamState.IN_SYNC}
        need = {*self.in_sync, *(self.pending_in_sync or ()), *whole} - {self.name}
        while self._uncommitted and self.ready and not self.fenced_by:
            batch = self._uncommitted[0]
            if not batch.locally_durable or any(
                name not in self.streams or self.streams[name].acked_batch < batch.number for name in need
            ):
                return
            self._uncommitted.popleft()
            self._uncommitted_bytes -= batch.size_bytes
            self.committed_batches += 1
            self.committed_entries += len(batch.entries)
            for on_commit in batch.on_commit:
                on_commit(self.is_fully_replicated)

    # Holders.

    def update_streams(self, now: float, reachable: Iterable[str], ranking: Iterable[str]) -> None:
        """Open streams to as many as are wanted, in the order of `ranked`; give up those that are not heard."""
        here = set(reachable)
        if self.closing:
            ranking = ()
        for stream in list(self.streams.values()):
            if stream.replica not in here and now - stream.waiting_since >= self.settings.replica_timeout_ms:
                self._drop_stream(now, stream)
        stay = [stream for stream in self.streams.values() if stream.replica not in self.draining]
        for name in ranking:
            if len(stay) >= self.settings.replica_count:
                break
            if (
                name in here - self.draining - self.streams.keys() - {self.name}
                and self._reconnect_at.get(name, 0.0) <= now
            ):
                stay.append(self._open_stream(now, name))
        if sum(stream.replica in self.in_sync for stream in stay) >= self.settings.replica_count:
            for stream in [stream for stream in self.streams.values() if stream.replica in self.draining]:
                self._drop_stream(now, stream)
        for name in sorted(self._stale_replicas & here - self.streams.keys()):
            if name not in self.in_sync and self.pending_in_sync is None and self.ready:
                self._stale_replicas.discard(name)
                self._last_stream_id += 1
                self.outbox.append((name, CloseStream(self.journal_id, self.token, self._last_stream_id)))

    def on_heard(self, now: float, name: str) -> None:
        """A holder with nothing out to it was heard."""
        stream = self.streams.get(name)
        if stream is not None and not stream.unacked and stream.state is StreamState.IN_SYNC:
            stream.waiting_since = now

    def _open_stream(self, now: float, name: str) -> ReplicaStream:
        self._last_stream_id += 1
        stream = self.streams[name] = ReplicaStream(
            name, self._last_stream_id, now, retry_at=now + self.settings.retry_ms
        )
        self._stale_replicas.discard(name)
        self.outbox.append((name, OpenStream(self.journal_id, self.token, stream.stream_id)))
        return stream

    def _drop_stream(self, now: float, stream: ReplicaStream) -> None:
        del self.streams[stream.replica]
        self._reconnect_at[stream.replica] = now + self.settings.reconnect_pause_ms
        self._stale_replicas.add(stream.replica)
        self._update_in_sync()

    def _update_in_sync(self) -> None:
        """Have the members noted as they should be: whole ones in, lost ones out."""
        if self.pending_in_sync is not None or not self.token.round or self.closing:
            return
        # One that joins has all that was ever safe: nothing becomes safe without it from when it is whole.
        members = {self.name: self.disk_id}
        for name, stream in sorted(self.streams.items()):
            if (stream.state is StreamState.IN_SYNC and stream.acked_batch >= self._committed_batch) or (
                name in self.in_sync and stream.disk_id in ("", self.in_sync[name])
            ):
                members[name] = stream.disk_id or self.in_sync[name]
        if members != self.in_sync:
            self._store_in_sync(members)

    def _store_in_sync(self, members: dict[str, str]) -> None:
        self.pending_in_sync = members
        self.in_sync_updates.append(members)

    def close(self) -> None:
        """All of it is forgotten: nobody is to have it, and holders are told."""
        self.closing = True
        self._stale_replicas |= self.streams.keys()
        self.streams = {}
        self._store_in_sync({})

    @property
    def is_closed(self) -> bool:
        """Whether that is noted, and said."""
        return self.closing and self.pending_in_sync is None and not self._stale_replicas

    def on_message(self, now: float, replica: str, answer: Answer) -> None:
        """A holder's answer; one to another stream says nothing here."""
        if isinstance(answer, FencedReply):
            if answer.token > self.token:
                self.fenced_by = max(answer.token, self.fenced_by or NO_TOKEN)
            return
        stream = self.streams.get(replica)
        if stream is None or (answer.token, answer.stream_id) != (self.token, stream.stream_id):
            return
        if isinstance(answer, AppendAck):
            self._on_ack(now, stream, answer.sequence)
        elif stream.state is StreamState.OPENING:
            mine = self._digests()
            stream.differing_buckets.extend(
                n for n, (a, b) in enumerate(zip(mine, unpack_digests(answer.digests), strict=False)) if a != b
            )
            stream.state, stream.waiting_since, stream.disk_id = StreamState.REPAIRING, now, answer.disk_id
            # What the own disk has is compared, and so filled up; the rest comes behind that.
            stream.repaired_batch = max(
                (b.number for b in self._uncommitted if b.locally_durable), default=self._committed_batch
            )
            stream.deferred_batches = [batch for batch in self._uncommitted if not batch.locally_durable]
            self._repair(now, stream)
        else:
            self._verify_digests(now, stream, answer)

    @property
    def _committed_batch(self) -> int:
        """The last batch that is safe."""
        return self._uncommitted[0].number - 1 if self._uncommitted else self._next_batch.number - 1

    def _repair(self, now: float, stream: ReplicaStream) -> None:
        if stream.repair_end or stream.reading_bucket >= 0:
            return
        if stream.differing_buckets:
            if stream.unacked_bytes < self.settings.window_bytes and now >= stream.repair_at:
                stream.reading_bucket = stream.differing_buckets[0]
                self.bucket_reads.append((stream.replica, stream.stream_id, stream.reading_bucket))
            return
        self._append_message(now, stream, (), (), batch=stream.repaired_batch)
        for batch in stream.deferred_batches:
            self._append_batch(now, stream, batch)
        stream.deferred_batches, stream.repair_end = [], stream.last_sequence

    def on_bucket_read(
        self, now: float, name: str, stream_id: int, bucket: int, entries: tuple[ReplicaEntry, ...] | None
    ) -> None:
        """A bucket of the own disk; None: it could not be read, and is read again."""
        stream = self.streams.get(name)
        if stream is None or stream.stream_id != stream_id or stream.reading_bucket != bucket:
            return
        stream.reading_bucket = -1
        if entries is None:
            stream.repair_at = now + self.settings.retry_ms
            return
        stream.differing_buckets.popleft()
        # First all that belongs there, then away with the rest: one that is a member stays whole all the while.
        *parts, last = self._split_entries(entries)
        for part in parts:
            self._append_message(now, stream, part, ())
        self._append_message(now, stream, last, (), bucket, tuple((item.id, item.kind) for item in entries))
        sent = sum(len(item.id) + len(item.data) for item in entries)
        stream.repaired_bytes += sent
        stream.repair_at = max(stream.repair_at, now) + sent / self.settings.repair_bytes_per_ms
        self._repair(now, stream)

    def _append_batch(self, now: float, stream: ReplicaStream, batch: Batch) -> None:
        *parts, last = self._split_entries(batch.entries)
        for part in parts:
            self._append_message(now, stream, part, ())
        self._append_message(now, stream, last, tuple(batch.deleted_ids), batch=batch.number)

    def _split_entries(self, entries: Iterable[ReplicaEntry]) -> list[tuple[ReplicaEntry, ...]]:
        """Entries as messages of half a window at most, or one entry: a link carries no larger ones."""
        parts, size = list[list[ReplicaEntry]]([[]]), 0
        for item in entries:
            add = len(item.id) + len(item.data)
            if parts[-1] and size + add > self.settings.window_bytes // 2:
                parts.append([])
                size = 0
            parts[-1].append(item)
            size += add
        return [tuple(part) for part in parts]

    def _verify_digests(self, now: float, stream: ReplicaStream, reply: DigestReply) -> None:
        """What a holder's disk has beside the own.  Only while nothing is on its way: else both are right."""
        mine = self._digests()[reply.first_bucket : reply.first_bucket + self.settings.verify_buckets]
        if reply.sequence != stream.last_sequence or any(not batch.locally_durable for batch in self._uncommitted):
            return
        wrong = [
            reply.first_bucket + n
            for n, (a, b) in enumerate(zip(mine, unpack_digests(reply.digests), strict=False))
            if a != b
        ]
        if wrong:  # it said safe and is not: it is none of those that have the whole until it is filled up again
            self.repaired_buckets += len(wrong)
            self._drop_stream(now, stream)
            self._reconnect_at[stream.replica] = now

    def _append_message(
        self,
        now: float,
        stream: ReplicaStream,
        entries: tuple[ReplicaEntry, ...],
        deleted_ids: tuple[str, ...],
        bucket: int = -1,
        only: tuple[tuple[str, int], ...] = (),
        batch: int = 0,
        check: tuple[int, int] = (0, 0),
    ) -> None:
        stream.last_sequence += 1
        size = sum(len(item.id) + len(item.data) for item in entries)
        if not stream.unacked:
            stream.waiting_since, stream.retry_at = now, now + self.settings.retry_ms
        stream.unacked.append(
            (
                Append(
                    self.journal_id,
                    self.token,
                    stream.stream_id,
                    stream.last_sequence,
                    entries,
                    deleted_ids,
                    bucket,
                    only,
                    check,
                ),
                size,
                batch,
                now,
            )
        )
        stream.unacked_bytes += size
        self._send_window(now, stream)

    def _send_window(self, now: float, stream: ReplicaStream) -> None:
        """What fits into the window."""
        left = self.settings.window_bytes
        for put, size, _, since in stream.unacked:
            if left <= 0:
                return
            left -= size
            if put.sequence > stream.sent_sequence:
                self.outbox.append(
                    (stream.replica, msgspec.structs.replace(put, delay_ms=now - since) if now > since else put)
                )
                self.sent_bytes += size
                stream.sent_sequence = put.sequence

    def _on_ack(self, now: float, stream: ReplicaStream, number: int) -> None:
        if not stream.acked_sequence < number <= stream.last_sequence:
            return
        while stream.unacked and stream.unacked[0][0].sequence <= number:
            _, size, batch, _ = stream.unacked.popleft()
            stream.unacked_bytes -= size
            stream.acked_batch = max(stream.acked_batch, batch)
        stream.acked_sequence, stream.waiting_since, stream.retry_at = number, now, now + self.settings.retry_ms
        stream.sent_sequence = max(stream.sent_sequence, number)
        self._send_window(now, stream)
        if stream.state is StreamState.REPAIRING:
            if stream.repair_end and number >= stream.repair_end:
                stream.state, stream.verify_at = StreamState.IN_SYNC, now + self.settings.verify_interval_ms
                self._update_in_sync()
            else:
                self._repair(now, stream)
        self._commit()

    def tick(self, now: float) -> None:
        """Send again what was not answered; give up who has not answered for too long; look at holders' disks."""
        for stream in list(self.streams.values()):
            out = stream.unacked or stream.state is StreamState.OPENING
            if out and now - stream.waiting_since >= self.settings.replica_timeout_ms:
                self._drop_stream(now, stream)
            elif out and now >= stream.retry_at:
                stream.retry_at = now + self.settings.retry_ms
                if stream.state is StreamState.OPENING:
                    self.outbox.append((stream.replica, OpenStream(self.journal_id, self.token, stream.stream_id)))
                else:
                    stream.sent_sequence = stream.acked_sequence
                    self._send_window(now, stream)
            elif stream.state is StreamState.REPAIRING:
                self._repair(now, stream)
            elif not out and now >= stream.verify_at and self.ready:
                stream.verify_at = now + self.settings.verify_interval_ms
                upto = min(BUCKETS, stream.verify_bucket + self.settings.verify_buckets)
                self._append_message(now, stream, (), (), check=(stream.verify_bucket, upto))
                stream.verify_bucket = upto % BUCKETS
        self._update_in_sync()
        self.start_batch(now)

    def status(self, now: float) -> dict[str, Any]:
        """What operators are shown; times are ms."""
        since = self.under_replicated_since
        return {
            "token": str(self.token),
            "members": sorted(self.in_sync),
            "full": self.is_fully_replicated,
            "ready": self.ready,
            "waiting": self.uncommitted_count,
            "at_risk_ms": round(now - since) if since is not None and self.token.round else 0,
            "risk_ms": round(self.under_replicated_ms),
            "mended": self.repaired_buckets,
            "batches": self.committed_batches,
            "entries": self.committed_entries,
            "bytes_out": self.sent_bytes,
            "holders": {
                stream.replica: {
                    "stage": stream.state.value,
                    "behind": stream.last_sequence - stream.acked_sequence,
                    "bytes": stream.unacked_bytes,
                    "filled": stream.repaired_bytes,
                }
                for stream in self.streams.values()
            },
        }
