"""The primary's side of replication, without I/O: an entry is committed once all in-sync replicas have stored it.

Entries are collected in batches.  A batch is written to the local disk and sent to all replicas in parallel.  A replica
joins the in-sync set once it has everything that the primary has; one that does not acknowledge in time is removed from
it.  Either change is first stored as a note with the journal's lease.  The next lease holder therefore has every
committed batch, provided that it is in the noted set.

Each replica has a stream of its own.  The stream begins with the replica's digests.  Buckets that differ are repaired
one by one at a bounded rate; batches written meanwhile are deferred until the repair is over.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from kelptrail.lease.messages import NO_TOKEN, FencingToken

from .messages import (
    Answer,
    AppendAck,
    DigestReply,
    FencedReply,
    ReplicaEntry,
    ReplicationSettings,
    differing_buckets,
)
from .replica_stream import Batch, BucketRead, CommitCallback, ReplicaStream, StreamState
from .stream_sender import StreamSender

MAX_UNCOMMITTED_BATCHES = 4  # further entries are collected in the next batch


class Primary:
    """One journal at its primary `name`.  `disk_id`: id of the local store; `digests`: reads the local digests.

    The driver sends `outbox`, writes `local_writes`, carries out `bucket_reads` and stores `in_sync_updates` with the
    lease, each in order.
    """

    def __init__(
        self, journal_id: str, name: str, disk_id: str, settings: ReplicationSettings, digests: Callable[[], list[int]]
    ) -> None:
        self.journal_id, self.name, self.disk_id = journal_id, name, disk_id
        self.settings, self._digests = settings, digests
        self.token, self.in_sync = NO_TOKEN, dict[str, str]()
        self.streams: dict[str, ReplicaStream] = {}
        self._sender = StreamSender(journal_id, settings)
        self.outbox = self._sender.outbox
        self.local_writes: deque[Batch] = deque()
        self.bucket_reads: deque[BucketRead] = deque()
        self.in_sync_updates: deque[dict[str, str]] = deque()  # disk ids by name
        self.ready = False  # the first note under this token is stored: entries may be committed
        self.fenced_by: FencingToken | None = None  # token of another primary
        self.disk_failed = False
        self.pending_in_sync: dict[str, str] | None = None  # is being stored
        self.under_replicated_since: float | None = None  # start of the current period
        self.under_replicated_ms = 0.0  # sum of earlier periods
        self.closing = False  # every entry is deleted
        self.repaired_buckets = 0  # that differed at an in-sync replica
        self.committed_batches = self.committed_entries = 0
        self._uncommitted: deque[Batch] = deque()
        self._next_batch = Batch(1)
        self._uncommitted_bytes = 0
        self._reconnect_at: dict[str, float] = {}  # dropped replicas
        self.draining: set[str] = set()  # replicas to be replaced; they stay in sync until then
        self._stale_replicas: set[str] = set()  # former replicas that may still have a copy

    # The lease.

    def on_lease_acquired(self, now: float, token: FencingToken, members: Mapping[str, str]) -> None:
        """This dispatcher is the primary under `token`; `members`: the noted in-sync set without a lost primary."""
        self.token, self.ready, self.fenced_by = token, False, None
        self._sender.token = token
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
        """The pending in-sync set is stored with the lease."""
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
        """Have a former primary delete its copy once it is reachable."""
        if name not in self.in_sync:
            self._stale_replicas.add(name)

    def probe_fencing(self, said: str) -> None:
        """Without the lease: send an open to the replicas and to the reported lease holder.

        If another primary has acted, they reply with its later token.
        """
        for name in sorted({*self.in_sync, said} - {self.name}):
            self._sender.probe(name)

    @property
    def is_fully_replicated(self) -> bool:
        """Whether the in-sync set has as many replicas as configured."""
        return len(self.in_sync) > self.settings.replica_count

    def accepts_requests(self) -> bool:
        """Whether a new deferred call can be accepted."""
        return (
            self.ready
            and not self.disk_failed
            and not self.fenced_by
            and self._uncommitted_bytes < self.settings.max_uncommitted_bytes
            and (self.is_fully_replicated or self.settings.allow_under_replicated)
        )

    # Entries.

    def append(
        self, entries: Iterable[ReplicaEntry], on_commit: CommitCallback | None, deleted_ids: Iterable[str] = ()
    ) -> None:
        """Add entries to the next batch, and delete activations.

        `on_commit` is called once the batch is committed: with True if the journal is fully replicated then; never, if
        the journal is lost before.  Without entries it is called when everything on the local disk is committed: after
        a failover no entry found there may be acted on before, as other replicas may not have it.
        """
        batch = self._next_batch
        for item in entries:
            batch.entries.append(item)
            batch.size_bytes += len(item.id) + len(item.data)
        batch.deleted_ids += deleted_ids
        if on_commit is not None:
            batch.on_commit.append(on_commit)

    @property
    def uncommitted_count(self) -> int:
        """Entries that are not committed yet."""
        return len(self._next_batch.entries) + sum(len(batch.entries) for batch in self._uncommitted)

    def start_batch(self, now: float) -> None:
        """Write and send the collected entries, unless too many batches are uncommitted."""
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
                self._sender.send_batch(now, stream, batch)

    def on_local_write(self, batch: Batch, succeeded: bool) -> None:
        """A batch was written to the local disk, or failed.

        After a failure the contents of the disk are unknown, so the driver transfers the journal to another replica.
        """
        if not succeeded:
            self.disk_failed = True
            return
        batch.locally_durable = True
        self._commit()

    def _commit(self) -> None:
        """Commit batches, in order, that all in-sync replicas have stored."""
        caught_up = {stream.replica for stream in self.streams.values() if stream.state is StreamState.IN_SYNC}
        required = {*self.in_sync, *(self.pending_in_sync or ()), *caught_up} - {self.name}
        while self._uncommitted and self.ready and not self.fenced_by:
            batch = self._uncommitted[0]
            if not batch.locally_durable or any(
                name not in self.streams or self.streams[name].acked_batch < batch.number for name in required
            ):
                return
            self._uncommitted.popleft()
            self._uncommitted_bytes -= batch.size_bytes
            self.committed_batches += 1
            self.committed_entries += len(batch.entries)
            for on_commit in batch.on_commit:
                on_commit(self.is_fully_replicated)

    # Replicas.

    def update_streams(self, now: float, reachable: Iterable[str], ranking: Iterable[str]) -> None:
        """Open streams to missing replicas in the order of `ranking`; drop those that are not reachable."""
        reachable_names = set(reachable)
        if self.closing:
            ranking = ()
        for stream in list(self.streams.values()):
            if stream.replica not in reachable_names and now - stream.waiting_since >= self.settings.replica_timeout_ms:
                self._drop_stream(now, stream)
        remaining = [stream for stream in self.streams.values() if stream.replica not in self.draining]
        for name in ranking:
            if len(remaining) >= self.settings.replica_count:
                break
            if (
                name in reachable_names - self.draining - self.streams.keys() - {self.name}
                and self._reconnect_at.get(name, 0.0) <= now
            ):
                remaining.append(self._open_stream(now, name))
        if sum(stream.replica in self.in_sync for stream in remaining) >= self.settings.replica_count:
            for stream in [stream for stream in self.streams.values() if stream.replica in self.draining]:
                self._drop_stream(now, stream)
        for name in sorted(self._stale_replicas & reachable_names - self.streams.keys()):
            if name not in self.in_sync and self.pending_in_sync is None and self.ready:
                self._stale_replicas.discard(name)
                self._sender.close(name)

    def on_heard(self, now: float, name: str) -> None:
        """A replica was heard; this counts as a sign of life if it has nothing to acknowledge."""
        stream = self.streams.get(name)
        if stream is not None and not stream.unacked and stream.state is StreamState.IN_SYNC:
            stream.waiting_since = now

    def _open_stream(self, now: float, name: str) -> ReplicaStream:
        stream = self.streams[name] = self._sender.open(now, name)
        self._stale_replicas.discard(name)
        return stream

    def _drop_stream(self, now: float, stream: ReplicaStream) -> None:
        del self.streams[stream.replica]
        self._reconnect_at[stream.replica] = now + self.settings.reconnect_pause_ms
        self._stale_replicas.add(stream.replica)
        self._update_in_sync()

    def _update_in_sync(self) -> None:
        """Store a new in-sync set if replicas have caught up or were dropped."""
        if self.pending_in_sync is not None or not self.token.round or self.closing:
            return
        # A replica that joins has every committed batch: none is committed without it from the end of its repair.
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
        """Close the journal: store an empty in-sync set and have all replicas delete their copies."""
        self.closing = True
        self._stale_replicas |= self.streams.keys()
        self.streams = {}
        self._store_in_sync({})

    @property
    def is_closed(self) -> bool:
        """Whether the empty set is stored and all replicas were notified."""
        return self.closing and self.pending_in_sync is None and not self._stale_replicas

    def on_message(self, now: float, replica: str, answer: Answer) -> None:
        """Handle a reply of a replica; replies to other streams are ignored."""
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
            self._start_repair(now, stream, answer)
        else:
            self._verify_digests(now, stream, answer)

    def _start_repair(self, now: float, stream: ReplicaStream, reply: DigestReply) -> None:
        stream.differing_buckets.extend(differing_buckets(self._digests(), reply))
        stream.state, stream.waiting_since, stream.disk_id = StreamState.REPAIRING, now, reply.disk_id
        # Batches on the local disk are in its digests, so the repair covers them; the others are sent afterwards.
        stream.repaired_batch = max(
            (batch.number for batch in self._uncommitted if batch.locally_durable), default=self._committed_batch
        )
        stream.deferred_batches = [batch for batch in self._uncommitted if not batch.locally_durable]
        self._repair(now, stream)

    @property
    def _committed_batch(self) -> int:
        """Number of the last committed batch."""
        return self._uncommitted[0].number - 1 if self._uncommitted else self._next_batch.number - 1

    def _repair(self, now: float, stream: ReplicaStream) -> None:
        if stream.repair_end or stream.reading_bucket >= 0:
            return
        if stream.differing_buckets:
            if stream.unacked_bytes < self.settings.window_bytes and now >= stream.repair_at:
                stream.reading_bucket = stream.differing_buckets[0]
                self.bucket_reads.append(BucketRead(stream.replica, stream.stream_id, stream.reading_bucket))
            return
        self._sender.send_repair_end(now, stream)

    def on_bucket_read(
        self, now: float, name: str, stream_id: int, bucket: int, entries: tuple[ReplicaEntry, ...] | None
    ) -> None:
        """The entries of a local bucket; None: the read failed and is repeated."""
        stream = self.streams.get(name)
        if stream is None or stream.stream_id != stream_id or stream.reading_bucket != bucket:
            return
        stream.reading_bucket = -1
        if entries is None:
            stream.repair_at = now + self.settings.retry_ms
            return
        stream.differing_buckets.popleft()
        self._sender.send_bucket(now, stream, bucket, entries)
        self._repair(now, stream)

    def _verify_digests(self, now: float, stream: ReplicaStream, reply: DigestReply) -> None:
        """Compare a replica's digests, read from its disk, with the local ones; drop the stream if they differ.

        They can only be compared while no message and no local write is in flight.
        """
        mine = self._digests()[reply.first_bucket : reply.first_bucket + self.settings.verify_buckets]
        if reply.sequence != stream.last_sequence or any(not batch.locally_durable for batch in self._uncommitted):
            return
        if differing := differing_buckets(
            mine, reply
        ):  # the disk lost acknowledged entries: out of sync until repaired
            self.repaired_buckets += len(differing)
            self._drop_stream(now, stream)
            self._reconnect_at[stream.replica] = now

    def _on_ack(self, now: float, stream: ReplicaStream, sequence: int) -> None:
        if not stream.acked_sequence < sequence <= stream.last_sequence:
            return
        stream.acknowledge(now, sequence, self.settings.retry_ms)
        self._sender.send_window(now, stream)
        if stream.state is StreamState.REPAIRING:
            if stream.repair_end and sequence >= stream.repair_end:
                stream.state, stream.verify_at = StreamState.IN_SYNC, now + self.settings.verify_interval_ms
                self._update_in_sync()
            else:
                self._repair(now, stream)
        self._commit()

    def tick(self, now: float) -> None:
        """Drop replicas that time out, resend, continue repairs, check digests; then start a batch."""
        for stream in list(self.streams.values()):
            self._tick_stream(now, stream)
        self._update_in_sync()
        self.start_batch(now)

    def _tick_stream(self, now: float, stream: ReplicaStream) -> None:
        awaits_reply = stream.awaits_reply
        if awaits_reply and now - stream.waiting_since >= self.settings.replica_timeout_ms:
            self._drop_stream(now, stream)
        elif awaits_reply and now >= stream.retry_at:
            self._sender.resend(now, stream)
        elif stream.state is StreamState.REPAIRING:
            self._repair(now, stream)
        elif not awaits_reply and now >= stream.verify_at and self.ready:
            self._sender.send_digest_check(now, stream)

    def status(self, now: float) -> dict[str, Any]:
        """State for operators; times are milliseconds.  The keys are those of `kelptrail copies --json`."""
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
            "bytes_out": self._sender.sent_bytes,
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
