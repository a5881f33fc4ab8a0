"""The stream of `Append` messages from a primary to one replica: its state and the unacknowledged messages."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import msgspec

from .messages import Append, ReplicaEntry

CommitCallback = Callable[[bool], None]


class StreamState(Enum):
    """State of the stream to a replica; the values appear in the status for operators."""

    OPENING = "opening"  # waiting for the replica's digests
    REPAIRING = "filling"  # copying the buckets that differ
    IN_SYNC = "whole"  # the repair is complete: the replica lacks at most the unacknowledged messages


@dataclass(slots=True, eq=False)
class Batch:
    """Entries that are committed together.

    The callbacks in `on_commit` are called when the batch is committed, with True if the in-sync set then contains, in
    addition to the primary, as many replicas as configured.
    """

    number: int
    entries: list[ReplicaEntry] = field(default_factory=list)
    deleted_ids: list[str] = field(default_factory=list)
    on_commit: list[CommitCallback] = field(default_factory=list)
    size_bytes: int = 0
    locally_durable: bool = False


class UnackedAppend(NamedTuple):
    """A message that the replica has not acknowledged.

    With this message and all earlier ones, the replica has all batches up to number `completed_batch`; 0 if no batch
    ends with this message.
    """

    append: Append
    size_bytes: int
    completed_batch: int
    queued_at: float


class BucketRead(NamedTuple):
    """A bucket that the driver reads from the local disk for the repair of a replica."""

    replica: str
    stream_id: int
    bucket: int


@dataclass(slots=True, eq=False)
class ReplicaStream:
    """State of the stream to one replica.  Times are milliseconds of the caller's clock."""

    replica: str
    stream_id: int
    # While the stream awaits a reply: start of the wait, which restarts with each acknowledgement.  Otherwise: last
    # contact with the replica.
    waiting_since: float
    state: StreamState = StreamState.OPENING
    disk_id: str = ""  # empty until the first reply
    last_sequence: int = 0  # number of the last message; set before the message is passed to `queue`
    acked_sequence: int = 0  # number of the last message that the replica has stored
    acked_batch: int = 0  # number of the last batch that the replica has stored
    repaired_batch: int = 0  # last batch whose entries the copied buckets include; later ones are deferred batches
    repair_end: int = 0  # number of the message whose acknowledgement ends the repair; 0 until it is queued
    retry_at: float = 0.0  # time at which unacknowledged messages are sent again
    repair_at: float = 0.0  # earliest time of the next bucket read, set by the rate limit or a failed read
    reading_bucket: int = -1  # bucket that is being read from the local disk; -1 if none
    differing_buckets: deque[int] = field(default_factory=deque)
    unacked: deque[UnackedAppend] = field(default_factory=deque)
    deferred_batches: list[Batch] = field(default_factory=list)  # batches to be sent after the copied buckets
    sent_sequence: int = 0  # number of the last message sent; set back to `acked_sequence` to send again
    unacked_bytes: int = 0
    repaired_bytes: int = 0  # size of the entries in the copied buckets
    verify_at: float = 0.0  # time of the next digest check
    verify_bucket: int = 0  # first bucket of the next digest check

    @property
    def awaits_reply(self) -> bool:
        """Whether the replica has to acknowledge a message or to reply to the opening of the stream."""
        return bool(self.unacked) or self.state is StreamState.OPENING

    def queue(self, now: float, append: Append, completed_batch: int, retry_ms: float) -> None:
        """Queue a message that the caller has already counted: `append.sequence` must equal `last_sequence`."""
        size_bytes = entries_size(append.entries)
        if not self.unacked:
            self.waiting_since, self.retry_at = now, now + retry_ms
        self.unacked.append(UnackedAppend(append, size_bytes, completed_batch, now))
        self.unacked_bytes += size_bytes

    def take_sendable(self, now: float, window_bytes: int) -> list[UnackedAppend]:
        """Return the unsent messages that the window allows, with updated delays, and record them as sent.

        A message may be sent if the unacknowledged messages before it are together smaller than the window.
        """
        sendable = list[UnackedAppend]()
        for unacked in self.unacked:
            if window_bytes <= 0:
                break
            window_bytes -= unacked.size_bytes
            if unacked.append.sequence > self.sent_sequence:
                sendable.append(_with_delay(now, unacked))
                self.sent_sequence = unacked.append.sequence
        return sendable

    def acknowledge(self, now: float, sequence: int, retry_ms: float) -> None:
        """Remove the messages up to and including `sequence`, which the replica has stored."""
        while self.unacked and self.unacked[0].append.sequence <= sequence:
            unacked = self.unacked.popleft()
            self.unacked_bytes -= unacked.size_bytes
            self.acked_batch = max(self.acked_batch, unacked.completed_batch)
        self.acked_sequence, self.waiting_since, self.retry_at = sequence, now, now + retry_ms
        self.sent_sequence = max(self.sent_sequence, sequence)


def _with_delay(now: float, unacked: UnackedAppend) -> UnackedAppend:
    if now <= unacked.queued_at:
        return unacked
    return unacked._replace(append=msgspec.structs.replace(unacked.append, delay_ms=now - unacked.queued_at))


def entries_size(entries: Iterable[ReplicaEntry]) -> int:
    """Return the size of entries that counts towards the window: the length of their ids and data, in bytes."""
    return sum(len(entry.id) + len(entry.data) for entry in entries)


def split_entries(entries: Iterable[ReplicaEntry], max_bytes: int) -> list[tuple[ReplicaEntry, ...]]:
    """Split entries into parts of at most `max_bytes`; a larger entry is a part of its own.

    Each part is sent as one message, because peer connections limit the size of messages.  There is at least one part,
    which may be empty.
    """
    parts, part_bytes = list[list[ReplicaEntry]]([[]]), 0
    for entry in entries:
        entry_bytes = len(entry.id) + len(entry.data)
        if parts[-1] and part_bytes + entry_bytes > max_bytes:
            parts.append([])
            part_bytes = 0
        parts[-1].append(entry)
        part_bytes += entry_bytes
    return [tuple(part) for part in parts]
