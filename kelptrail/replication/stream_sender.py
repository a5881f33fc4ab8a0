"""Creates the messages of a primary, queues them in their streams and sends them as far as the windows allow.

Messages that open and close streams are sent at once, which means that they are put into the outbox.  Those with
batches, repaired buckets and digest checks are queued; they are sent as soon as the window of the stream allows.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from kelptrail.lease.messages import NO_TOKEN

from .messages import (
    BUCKETS,
    NO_BUCKETS,
    Append,
    BucketRange,
    CloseStream,
    EntryKey,
    OpenStream,
    ReplicaEntry,
    ReplicationSettings,
)
from .replica_stream import Batch, ReplicaStream, StreamState, entries_size, split_entries


class AppendContent(NamedTuple):
    """Fields of an `Append` that change or query the replica, in the order in which `Append` has them."""

    entries: tuple[ReplicaEntry, ...] = ()
    deleted_ids: tuple[str, ...] = ()
    trimmed_bucket: int = -1
    retained: tuple[EntryKey, ...] = ()
    digest_range: BucketRange = NO_BUCKETS


class StreamSender:
    """Sends the messages of one journal with the fencing token `token`, which the primary sets.

    `outbox` contains the receiver and the message, in the order of sending.
    """

    def __init__(self, journal_id: str, settings: ReplicationSettings) -> None:
        self._journal_id, self._settings = journal_id, settings
        self.token = NO_TOKEN
        self.outbox: deque[tuple[str, OpenStream | Append | CloseStream]] = deque()
        self.sent_bytes = 0  # size of the entries sent, as the window counts it; repeated sends are included
        self._last_stream_id = 0

    def open(self, now: float, replica: str) -> ReplicaStream:
        """Open a new stream to a replica."""
        self._last_stream_id += 1
        stream = ReplicaStream(replica, self._last_stream_id, now, retry_at=now + self._settings.retry_ms)
        self._send_open(stream)
        return stream

    def query_fencing(self, dispatcher: str) -> None:
        """Send an `OpenStream` only to learn of a later token: a dispatcher that has one replies with `FencedReply`.

        No stream is recorded, so other replies are ignored.
        """
        self._last_stream_id += 1
        self.outbox.append((dispatcher, OpenStream(self._journal_id, self.token, self._last_stream_id)))

    def close(self, replica: str) -> None:
        """Make a former replica delete its copy.

        The message needs a new stream id, because the replica ignores one that is not later than its last stream.
        """
        self._last_stream_id += 1
        self.outbox.append((replica, CloseStream(self._journal_id, self.token, self._last_stream_id)))

    def resend(self, now: float, stream: ReplicaStream) -> None:
        """Send an unanswered `OpenStream` again, or else the unacknowledged messages that the window allows."""
        stream.retry_at = now + self._settings.retry_ms
        if stream.state is StreamState.OPENING:
            self._send_open(stream)
        else:
            stream.sent_sequence = stream.acked_sequence
            self.send_window(now, stream)

    def send_batch(self, now: float, stream: ReplicaStream, batch: Batch) -> None:
        """Queue the messages of a batch; the batch is complete at the replica with the last one.

        A part has at most half the window, unless a single entry is larger: two parts may be in flight at once.
        """
        *parts, last = split_entries(batch.entries, self._settings.window_bytes // 2)
        for part in parts:
            self._queue(now, stream, AppendContent(part))
        self._queue(now, stream, AppendContent(last, tuple(batch.deleted_ids)), batch.number)

    def send_bucket(self, now: float, stream: ReplicaStream, bucket: int, entries: tuple[ReplicaEntry, ...]) -> None:
        """Queue the contents of a bucket, and delay the next bucket according to the repair rate.

        With the last message the replica deletes all other entries of the bucket.  Entries are added before others are
        deleted, so that a member of the in-sync set that is repaired after a new opening is complete at any time.
        """
        *parts, last = split_entries(entries, self._settings.window_bytes // 2)
        for part in parts:
            self._queue(now, stream, AppendContent(part))
        retained = tuple(EntryKey(entry.id, entry.kind) for entry in entries)
        self._queue(now, stream, AppendContent(last, trimmed_bucket=bucket, retained=retained))
        size_bytes = entries_size(entries)
        stream.repaired_bytes += size_bytes
        stream.repair_at = max(stream.repair_at, now) + size_bytes / self._settings.repair_bytes_per_ms

    def send_repair_end(self, now: float, stream: ReplicaStream) -> None:
        """Queue an empty message, then the deferred batches.  The acknowledgement of the last message ends the repair.

        That of the empty message shows that the replica has all batches up to `repaired_batch`.
        """
        self._queue(now, stream, AppendContent(), stream.repaired_batch)
        for batch in stream.deferred_batches:
            self.send_batch(now, stream, batch)
        stream.deferred_batches, stream.repair_end = [], stream.last_sequence

    def send_digest_check(self, now: float, stream: ReplicaStream) -> None:
        """Queue a request for the digests of the next buckets, computed from the replica's disk."""
        stream.verify_at = now + self._settings.verify_interval_ms
        end = min(BUCKETS, stream.verify_bucket + self._settings.verify_buckets)
        self._queue(now, stream, AppendContent(digest_range=BucketRange(stream.verify_bucket, end)))
        stream.verify_bucket = end % BUCKETS

    def send_window(self, now: float, stream: ReplicaStream) -> None:
        """Send queued messages as far as the window allows."""
        for unacked in stream.take_sendable(now, self._settings.window_bytes):
            self.outbox.append((stream.replica, unacked.append))
            self.sent_bytes += unacked.size_bytes

    def _send_open(self, stream: ReplicaStream) -> None:
        self.outbox.append((stream.replica, OpenStream(self._journal_id, self.token, stream.stream_id)))

    def _queue(self, now: float, stream: ReplicaStream, content: AppendContent, completed_batch: int = 0) -> None:
        """Queue the next message of a stream.

        `completed_batch` is the number of the last batch that the message completes, or 0 if it completes none.
        """
        stream.last_sequence += 1
        append = Append(self._journal_id, self.token, stream.stream_id, stream.last_sequence, *content)
        stream.queue(now, append, completed_batch, self._settings.retry_ms)
        self.send_window(now, stream)
