"""The stream of appends from a primary to one replica: its state and its window of unacknowledged messages."""

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
    """Progress of a replica; operators see the values."""

    OPENING = "opening"  # the replica's digests are awaited
    REPAIRING = "filling"  # buckets that differ are being copied
    IN_SYNC = "whole"  # it has everything that the primary has


@dataclass(slots=True, eq=False)
class Batch:
    """Entries that are committed together.

    `on_commit` callbacks get True if the in-sync set has as many replicas as configured.
    """

    number: int
    entries: list[ReplicaEntry] = field(default_factory=list)
    deleted_ids: list[str] = field(default_factory=list)
    on_commit: list[CommitCallback] = field(default_factory=list)
    size_bytes: int = 0
    locally_durable: bool = False


class UnackedAppend(NamedTuple):
    """A message that the replica has not acknowledged; `batch`: the last batch that it completes, or 0."""

    append: Append
    size_bytes: int
    batch: int
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
    waiting_since: float  # start of the wait for an acknowledgement, or last sign of life
    state: StreamState = StreamState.OPENING
    disk_id: str = ""  # known after the first reply
    last_sequence: int = 0  # last message that was queued
    acked_sequence: int = 0
    acked_batch: int = 0  # last batch that the replica has stored
    repaired_batch: int = 0  # last batch that the repair covers
    repair_end: int = 0  # the replica is in sync once this sequence is acknowledged; 0: the repair is not over
    retry_at: float = 0.0  # when unacknowledged messages are sent again
    repair_at: float = 0.0  # earliest time of the next bucket, by the rate limit
    reading_bucket: int = -1  # the bucket that is being read from the local disk; -1: none
    differing_buckets: deque[int] = field(default_factory=deque)
    unacked: deque[UnackedAppend] = field(default_factory=deque)
    deferred_batches: list[Batch] = field(default_factory=list)  # sent after the repair
    sent_sequence: int = 0
    unacked_bytes: int = 0
    repaired_bytes: int = 0
    verify_at: float = 0.0
    verify_bucket: int = 0  # first bucket of the next digest check

    @property
    def awaits_reply(self) -> bool:
        """Whether the replica has something to acknowledge."""
        return bool(self.unacked) or self.state is StreamState.OPENING

    def queue(self, now: float, append: Append, batch: int, retry_ms: float) -> None:
        """Queue the next message; `append.sequence` must be `last_sequence`."""
        size_bytes = entries_size(append.entries)
        if not self.unacked:
            self.waiting_since, self.retry_at = now, now + retry_ms
        self.unacked.append(UnackedAppend(append, size_bytes, batch, now))
        self.unacked_bytes += size_bytes

    def take_sendable(self, now: float, window_bytes: int) -> list[UnackedAppend]:
        """Unsent messages that fit into the window; they count as sent.  Their delay is brought up to date."""
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
        """The replica has stored everything up to `sequence`."""
        while self.unacked and self.unacked[0].append.sequence <= sequence:
            unacked = self.unacked.popleft()
            self.unacked_bytes -= unacked.size_bytes
            self.acked_batch = max(self.acked_batch, unacked.batch)
        self.acked_sequence, self.waiting_since, self.retry_at = sequence, now, now + retry_ms
        self.sent_sequence = max(self.sent_sequence, sequence)


def _with_delay(now: float, unacked: UnackedAppend) -> UnackedAppend:
    if now <= unacked.queued_at:
        return unacked
    return unacked._replace(append=msgspec.structs.replace(unacked.append, delay_ms=now - unacked.queued_at))


def entries_size(entries: Iterable[ReplicaEntry]) -> int:
    """Bytes of entries as the window counts them."""
    return sum(len(entry.id) + len(entry.data) for entry in entries)


def split_entries(entries: Iterable[ReplicaEntry], max_bytes: int) -> list[tuple[ReplicaEntry, ...]]:
    """Split entries into messages of at most `max_bytes`, or of one entry; at least one message, which may be empty.

    Peer connections do not carry larger messages.
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
