"""Repair of a replica: sends the buckets whose digests differ from the primary's one by one, at a bounded rate."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from .batch_queue import BatchQueue
from .messages import DigestReply, ReplicaEntry, ReplicationSettings, differing_buckets
from .replica_stream import BucketRead, ReplicaStream, StreamState
from .stream_sender import StreamSender


class StreamRepair:
    """Repairs the replicas of one journal.  `digests` returns the digests of the local buckets.

    The driver carries out `bucket_reads` in order and passes each result to `on_bucket_read`.
    """

    def __init__(
        self,
        settings: ReplicationSettings,
        sender: StreamSender,
        batches: BatchQueue,
        digests: Callable[[], list[int]],
    ) -> None:
        self._settings, self._sender, self._batches, self._digests = settings, sender, batches, digests
        self.bucket_reads: deque[BucketRead] = deque()

    def start(self, now: float, stream: ReplicaStream, reply: DigestReply) -> None:
        """Start the repair of a replica with the digests that it sent when the stream was opened."""
        stream.differing_buckets.extend(differing_buckets(self._digests(), reply))
        stream.state, stream.waiting_since, stream.disk_id = StreamState.REPAIRING, now, reply.disk_id
        # The local digests include the batches on the local disk, so the repair covers these.  Others are sent later.
        stream.repaired_batch = self._batches.last_locally_durable
        stream.deferred_batches = self._batches.not_locally_durable()
        self.proceed(now, stream)

    def proceed(self, now: float, stream: ReplicaStream) -> None:
        """Read the next bucket if the window and the rate limit allow it; end the repair after the last one."""
        if stream.repair_end or stream.reading_bucket >= 0:
            return
        if not stream.differing_buckets:
            self._sender.send_repair_end(now, stream)
        elif stream.unacked_bytes < self._settings.window_bytes and now >= stream.repair_at:
            stream.reading_bucket = stream.differing_buckets[0]
            self.bucket_reads.append(BucketRead(stream.replica, stream.stream_id, stream.reading_bucket))

    def on_bucket_read(self, now: float, stream: ReplicaStream, entries: tuple[ReplicaEntry, ...] | None) -> None:
        """Send the entries of the bucket that was read.

        If the read failed, `entries` is None and the bucket is read again after `retry_ms`.
        """
        bucket, stream.reading_bucket = stream.reading_bucket, -1
        if entries is None:
            stream.repair_at = now + self._settings.retry_ms
            return
        stream.differing_buckets.popleft()
        self._sender.send_bucket(now, stream, bucket, entries)
        self.proceed(now, stream)

    def lost_buckets(self, stream: ReplicaStream, reply: DigestReply) -> list[int]:
        """Return the buckets in which the replica's disk has lost acknowledged entries.

        They are found from digests that the replica computed from its disk.  While a message or a local write is in
        flight the digests cannot be compared, and the result is empty.
        """
        local = self._digests()[reply.first_bucket : reply.first_bucket + self._settings.verify_buckets]
        if reply.sequence != stream.last_sequence or self._batches.not_locally_durable():
            return []
        return differing_buckets(local, reply)
