"""The primary's side of replication, without I/O: an entry is committed once all in-sync replicas have stored it.

Entries are collected in batches.  A batch is written to the local disk and sent to all replicas in parallel.  A replica
joins the in-sync set once it is repaired and has every committed batch; one that does not acknowledge in time is
removed from it.  Either change is first stored as a note with the journal's lease.  A later lease holder that the note
lists therefore has every committed batch.

Each replica has its own stream.  The replica first sends its digests.  Buckets that differ are then repaired one by one
at a bounded rate; batches written meanwhile are deferred until the repair is complete.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping

from kelptrail.lease.messages import NO_TOKEN, FencingToken

from .batch_queue import BatchQueue
from .messages import AppendAck, DigestReply, FencedReply, ReplicaEntry, ReplicaReply, ReplicationSettings
from .replica_stream import Batch, CommitCallback, ReplicaStream, StreamState
from .replica_streams import ReplicaStreams
from .stream_repair import StreamRepair
from .stream_sender import StreamSender


class UnderReplicationTimer:
    """Measures how long a journal has had fewer in-sync replicas than configured.  Times are milliseconds."""

    def __init__(self) -> None:
        self.since: float | None = None  # start of the current under-replicated period
        self.earlier_ms = 0.0  # sum of earlier periods

    def start(self, now: float) -> None:
        """Start an under-replicated period unless one is in progress."""
        if self.since is None:
            self.since = now

    def stop(self, now: float) -> None:
        """End the under-replicated period if one is in progress."""
        if self.since is not None:
            self.earlier_ms += now - self.since
            self.since = None


class Primary:
    """One journal at its primary, the dispatcher `name`.

    `disk_id` is the id of the local store, and `digests` returns the digests of its buckets.  The driver sends the
    messages of `outbox`, writes `local_writes`, carries out `bucket_reads` and stores `in_sync_updates` with the lease,
    each in order.
    """

    def __init__(
        self, journal_id: str, name: str, disk_id: str, settings: ReplicationSettings, digests: Callable[[], list[int]]
    ) -> None:
        self.journal_id, self.name, self.disk_id = journal_id, name, disk_id
        self.settings = settings
        self.token, self.in_sync = NO_TOKEN, dict[str, str]()
        self.batches = BatchQueue()
        self.sender = StreamSender(journal_id, settings)
        self._streams = ReplicaStreams(name, settings, self.sender, self._on_stream_dropped)
        self._repair = StreamRepair(settings, self.sender, self.batches, digests)
        self.streams, self.draining = self._streams.by_replica, self._streams.draining
        self.outbox, self.bucket_reads = self.sender.outbox, self._repair.bucket_reads
        self.local_writes: deque[Batch] = deque()
        self.in_sync_updates: deque[dict[str, str]] = deque()  # disk ids by name
        self.ready = False  # set once the first note under this token is stored; only then entries may be committed
        self.fenced_by: FencingToken | None = None  # later token of another primary
        self.disk_failed = False
        self.pending_in_sync: dict[str, str] | None = None  # in-sync set that is being stored
        self.under_replication = UnderReplicationTimer()
        self.closing = False  # set once the journal is empty and is being closed
        self.repaired_buckets = 0  # buckets that were found to differ at an in-sync replica

    # The lease.

    def on_lease_acquired(self, now: float, token: FencingToken, in_sync: Mapping[str, str]) -> None:
        """Become the primary under `token`.

        `in_sync` is the in-sync set from the note of the lease, without the primary that was lost.
        """
        self.token, self.ready, self.fenced_by = token, False, None
        self.sender.token = token
        self._streams.forget_all()
        self.pending_in_sync = None
        self.in_sync = {**in_sync, self.name: self.disk_id}
        self.in_sync_updates.clear()
        self._store_in_sync(self.in_sync)
        if not self.is_fully_replicated:
            self.under_replication.start(now)
        for name in self.in_sync:
            if name != self.name:
                self._streams.open(now, name)

    def on_in_sync_stored(self, now: float) -> None:
        """Make the pending in-sync set the current one: it is stored with the lease."""
        if self.pending_in_sync is None:
            return
        self.in_sync, self.pending_in_sync, self.ready = self.pending_in_sync, None, True
        if self.is_fully_replicated:
            self.under_replication.stop(now)
        else:
            self.under_replication.start(now)
        self._commit()

    def add_stale_replica(self, name: str) -> None:
        """Record a former primary, which must delete its copy once it is reachable."""
        if name not in self.in_sync:
            self._streams.stale_replicas.add(name)

    def probe_fencing(self, reported_holder: str) -> None:
        """Query, without holding the lease, whether another primary has acted.

        The query is an `OpenStream` message to the replicas and to the reported lease holder.  A receiver that has a
        later token replies with it.
        """
        for name in sorted({*self.in_sync, reported_holder} - {self.name}):
            self.sender.query_fencing(name)

    @property
    def is_fully_replicated(self) -> bool:
        """Whether the in-sync set has as many replicas as configured."""
        return len(self.in_sync) > self.settings.replica_count

    def accepts_requests(self) -> bool:
        """Return whether a new deferred call can be accepted."""
        return (
            self.ready
            and not self.disk_failed
            and not self.fenced_by
            and self.batches.uncommitted_bytes < self.settings.max_uncommitted_bytes
            and (self.is_fully_replicated or self.settings.allow_under_replicated)
        )

    # Entries.

    def append(
        self, entries: Iterable[ReplicaEntry], on_commit: CommitCallback | None, deleted_ids: Iterable[str] = ()
    ) -> None:
        """Add entries, and the ids of activations to delete, to the next batch.

        `on_commit` is called once the batch is committed, with True if the journal is fully replicated at that time.
        It is never called if the journal is released before that.  Without entries it is called when everything on the
        local disk is committed: after a failover an entry on this disk must not be acted on earlier, as other replicas
        may not have it.
        """
        self.batches.append(entries, on_commit, deleted_ids)

    def start_batch(self, now: float) -> None:
        """Write and send the collected entries, unless too many batches are uncommitted."""
        if not self.token.round or self.disk_failed:
            return
        batch = self.batches.start_next()
        if batch is None:
            return
        self.local_writes.append(batch)
        for stream in self.streams.values():
            if stream.state is StreamState.REPAIRING and not stream.repair_end:
                stream.deferred_batches.append(batch)
            elif stream.state is not StreamState.OPENING:
                self.sender.send_batch(now, stream, batch)

    def on_local_write(self, batch: Batch, succeeded: bool) -> None:
        """Handle the end of a batch's write to the local disk.

        After a failure the contents of the disk are unknown, so the driver transfers the journal to another replica.
        """
        if not succeeded:
            self.disk_failed = True
            return
        batch.locally_durable = True
        self._commit()

    def _commit(self) -> None:
        """Commit, in order, the batches that the local disk and all required replicas have stored.

        These are the replicas of the current and the pending in-sync set, and those whose streams have caught up.
        """
        caught_up = {stream.replica for stream in self.streams.values() if stream.state is StreamState.IN_SYNC}
        required = {*self.in_sync, *(self.pending_in_sync or ()), *caught_up} - {self.name}
        while self.batches.uncommitted and self.ready and not self.fenced_by:
            batch = self.batches.uncommitted[0]
            if not batch.locally_durable or any(not self._has_stored(name, batch) for name in required):
                return
            self.batches.commit_first()
            for on_commit in batch.on_commit:
                on_commit(self.is_fully_replicated)

    def _has_stored(self, replica: str, batch: Batch) -> bool:
        stream = self.streams.get(replica)
        return stream is not None and stream.acked_batch >= batch.number

    # Replicas.

    def update_streams(self, now: float, reachable: Iterable[str], ranking: Iterable[str]) -> None:
        """Drop, open and replace streams as `ReplicaStreams.update` does; have former replicas delete their copies.

        `reachable` names the connected dispatchers, `ranking` the candidates for replicas in the order of preference.
        """
        names = set(reachable)
        self._streams.update(now, names, ranking if not self.closing else (), lambda: self.in_sync)
        if self.pending_in_sync is None and self.ready:
            self._streams.close_stale(names, self.in_sync)

    def _on_stream_dropped(self) -> None:
        self._update_in_sync()

    def on_reachable(self, now: float, name: str) -> None:
        """Restart the timeout of a replica that is connected and has nothing to acknowledge."""
        stream = self.streams.get(name)
        if stream is not None and not stream.unacked and stream.state is StreamState.IN_SYNC:
            stream.waiting_since = now

    def _update_in_sync(self) -> None:
        """Store a new in-sync set if replicas have caught up or were dropped."""
        if self.pending_in_sync is not None or not self.token.round or self.closing:
            return
        # A replica that joins has every committed batch: once its repair is complete, no batch is committed without it.
        in_sync = {self.name: self.disk_id}
        for name, stream in sorted(self.streams.items()):
            has_caught_up = stream.state is StreamState.IN_SYNC and stream.acked_batch >= self.batches.last_committed
            if has_caught_up or (name in self.in_sync and stream.disk_id in ("", self.in_sync[name])):
                in_sync[name] = stream.disk_id or self.in_sync[name]
        if in_sync != self.in_sync:
            self._store_in_sync(in_sync)

    def _store_in_sync(self, in_sync: dict[str, str]) -> None:
        self.pending_in_sync = in_sync
        self.in_sync_updates.append(in_sync)

    def close(self) -> None:
        """Close the journal: store an empty in-sync set and have all replicas delete their copies."""
        self.closing = True
        self._streams.forget_all()
        self._store_in_sync({})

    @property
    def is_closed(self) -> bool:
        """Whether the empty in-sync set is stored and all replicas were notified."""
        return self.closing and self.pending_in_sync is None and not self._streams.stale_replicas

    def on_message(self, now: float, replica: str, reply: ReplicaReply) -> None:
        """Handle a reply of a replica; replies to former streams are ignored."""
        if isinstance(reply, FencedReply):
            if reply.token > self.token:
                self.fenced_by = max(reply.token, self.fenced_by or NO_TOKEN)
            return
        stream = self.streams.get(replica)
        if stream is None or (reply.token, reply.stream_id) != (self.token, stream.stream_id):
            return
        if isinstance(reply, AppendAck):
            self._on_ack(now, stream, reply.sequence)
        elif stream.state is StreamState.OPENING:
            self._repair.start(now, stream, reply)
        else:
            self._verify_digests(now, stream, reply)

    def on_bucket_read(
        self, now: float, name: str, stream_id: int, bucket: int, entries: tuple[ReplicaEntry, ...] | None
    ) -> None:
        """Send the entries of a local bucket to a replica under repair.

        `entries` is None if the read failed; it is then repeated.
        """
        stream = self.streams.get(name)
        if stream is None or stream.stream_id != stream_id or stream.reading_bucket != bucket:
            return
        self._repair.on_bucket_read(now, stream, entries)

    def _verify_digests(self, now: float, stream: ReplicaStream, reply: DigestReply) -> None:
        """Drop the stream of a replica that has lost acknowledged entries: it is out of sync until it is repaired."""
        if lost := self._repair.lost_buckets(stream, reply):
            self.repaired_buckets += len(lost)
            self._streams.drop(now, stream, reconnect_pause_ms=0.0)

    def _on_ack(self, now: float, stream: ReplicaStream, sequence: int) -> None:
        if not stream.acked_sequence < sequence <= stream.last_sequence:
            return
        stream.acknowledge(now, sequence, self.settings.retry_ms)
        self.sender.send_window(now, stream)
        if stream.state is StreamState.REPAIRING:
            if stream.repair_end and sequence >= stream.repair_end:
                stream.state, stream.verify_at = StreamState.IN_SYNC, now + self.settings.verify_interval_ms
                self._update_in_sync()
            else:
                self._repair.proceed(now, stream)
        self._commit()

    def tick(self, now: float) -> None:
        """Drop replicas that time out, resend messages, continue repairs and check digests; then start a batch."""
        for stream in list(self.streams.values()):
            self._tick_stream(now, stream)
        self._update_in_sync()
        self.start_batch(now)

    def _tick_stream(self, now: float, stream: ReplicaStream) -> None:
        awaits_reply = stream.awaits_reply
        if awaits_reply and now - stream.waiting_since >= self.settings.replica_timeout_ms:
            self._streams.drop(now, stream, self.settings.reconnect_pause_ms)
        elif awaits_reply and now >= stream.retry_at:
            self.sender.resend(now, stream)
        elif stream.state is StreamState.REPAIRING:
            self._repair.proceed(now, stream)
        elif not awaits_reply and now >= stream.verify_at and self.ready:
            self.sender.send_digest_check(now, stream)
