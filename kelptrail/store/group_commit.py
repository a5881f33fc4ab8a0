"""Group commit, free of I/O: collects entries with their waiters, returns batches, and notifies the waiters.

One batch is written at a time; entries that arrive during the write form the next batch, so many requests share one
sync.  An entry is acknowledged only when its batch, and with it every earlier entry, is durable.  After a failure, each
entry that is not durable yet is reported as failed exactly once, and new entries are refused until a trial batch is
durable; entries with `keep` are written again instead.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

Entry = Any  # an entry of any journal; group commit only passes it on
Waiter = Callable[[bool], None]


@dataclass(slots=True)
class Batch:
    """Entries that share one sync; batches are numbered consecutively."""

    number: int
    entries: list[Entry] = field(default_factory=list)
    waiters: list[Waiter] = field(default_factory=list)


class RetriedEntry(NamedTuple):
    """An entry to be written again after a failure, and its waiter."""

    entry: Entry
    waiter: Waiter | None


class UnexpectedBatchError(Exception):
    """A result was reported for a batch that is not being written."""


class GroupCommit:
    """The entries that are not durable yet.  Times are in milliseconds."""

    def __init__(self, max_waiting: int = 100_000, retry_ms: float = 500.0) -> None:
        self._max_waiting, self._retry_ms = max_waiting, retry_ms
        self._collecting = Batch(1)
        self._writing: Batch | None = None
        self._to_retry: deque[RetriedEntry] = deque()
        self.failing = False
        self.reason = ""  # reason of the failure while `failing`
        self._retry_at = 0.0
        self.commits = self.entries = self.failures = 0  # numbers of durable batches, their entries, and failed batches

    @property
    def waiting(self) -> int:
        """Number of entries that are not durable yet."""
        return (
            len(self._collecting.entries) + (len(self._writing.entries) if self._writing else 0) + len(self._to_retry)
        )

    def is_accepting(self) -> bool:
        """Return whether a new request can be made durable: writes do not fail, and not too many entries wait."""
        return not self.failing and self.waiting < self._max_waiting

    def write(self, entry: Entry, waiter: Waiter | None = None, keep: bool = False) -> None:
        """Add an entry to the next batch, and call `waiter` once with whether it is durable.

        While writes fail, the entry is refused at once.  With `keep`, it is instead retried until it is durable, and
        `waiter` is called only with True.
        """
        if self.failing:
            if keep:
                self._to_retry.append(RetriedEntry(entry, waiter))
            elif waiter is not None:
                waiter(False)
            return
        self._add(entry, waiter, keep)

    def _add(self, entry: Entry, waiter: Waiter | None, keep: bool) -> None:
        self._collecting.entries.append(entry)
        if keep:
            self._collecting.waiters.append(lambda durable: self._on_retryable_written(entry, waiter, durable))
        elif waiter is not None:
            self._collecting.waiters.append(waiter)

    def _on_retryable_written(self, entry: Entry, waiter: Waiter | None, durable: bool) -> None:
        if not durable:
            self._to_retry.append(RetriedEntry(entry, waiter))
        elif waiter is not None:
            waiter(True)

    def next_batch(self, now: float) -> Batch | None:
        """Return the next batch to write, or None.

        After a failure it is a trial batch, at most one in each retry interval, with the entries to be retried; it may
        be empty.
        """
        if self._writing is not None:
            return None
        if self.failing:
            if now < self._retry_at:
                return None
            while self._to_retry:
                entry, waiter = self._to_retry.popleft()
                self._add(entry, waiter, True)
        elif not self._collecting.entries:
            return None
        self._writing, self._collecting = self._collecting, Batch(self._collecting.number + 1)
        return self._writing

    def on_batch_durable(self, number: int) -> None:
        """Report a batch as durable to its waiters.  Raises `UnexpectedBatchError`."""
        batch = self._take_written(number)
        self.failing, self.reason = False, ""
        self.commits += 1
        self.entries += len(batch.entries)
        for waiter in batch.waiters:
            waiter(True)

    def on_batch_failed(self, now: float, number: int, reason: str) -> None:
        """Report a batch, and the entries collected since it started, as failed: none of them is durable.

        Raises `UnexpectedBatchError`.
        """
        batch = self._take_written(number)
        self.failing, self.reason, self._retry_at = True, reason, now + self._retry_ms
        self.failures += 1
        collected, self._collecting = self._collecting, Batch(self._collecting.number + 1)
        for waiter in [*batch.waiters, *collected.waiters]:
            waiter(False)

    def _take_written(self, number: int) -> Batch:
        if self._writing is None or self._writing.number != number:
            raise UnexpectedBatchError(f"batch {number} is not being written")
        batch, self._writing = self._writing, None
        return batch
