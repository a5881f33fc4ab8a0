"""Group commit, free of I/O: entries go in with what waits for them; batches come out; they are safe or they failed.

One batch is out at a time; what comes meanwhile makes up the next, so many calls share one sync.  Nothing is
acknowledged before its batch, and so every entry before it, is safe.  After a failure the journal refuses new entries
until a trial batch is safe; what had been written is told as failed, each exactly once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Entry = Any  # what the book under it keeps: it is only passed on
Waiter = Callable[[bool], None]


@dataclass(slots=True)
class Batch:
    """Entries that share one sync; `number` grows."""

    number: int
    entries: list[Entry] = field(default_factory=list)
    waiters: list[Waiter] = field(default_factory=list)


class UnexpectedBatchError(Exception):
    """A batch was told of that is not out."""


class GroupCommit:
    """What waits to be safe.  Times in milliseconds."""

    def __init__(self, max_waiting: int = 100_000, retry_ms: float = 500.0) -> None:
        self._most, self._retry_ms = max_waiting, retry_ms
        self._next = Batch(1)
        self._out: Batch | None = None
        self._kept: deque[tuple[Entry, Waiter | None]] = deque()  # to be tried again once it is well
        self.failing = False
        self.reason = ""
        self._retry_at = 0.0
        self.commits = self.entries = self.failures = 0

    @property
    def waiting(self) -> int:
        """Entries that are not safe yet."""
        return len(self._next.entries) + (len(self._out.entries) if self._out else 0) + len(self._kept)

    def is_accepting(self) -> bool:
        """Whether a new activation can be promised to outlive a crash."""
        return not self.failing and self.waiting < self._most

    def write(self, entry: Entry, waiter: Waiter | None = None, keep: bool = False) -> None:
        """Write an entry.  `waiter` is told once whether it is safe; with `keep` only that it is: a failure is
        tried again."""
        if self.failing:
            if keep:
                self._kept.append((entry, waiter))
            elif waiter is not None:
                waiter(False)
            return
        self._add(entry, waiter, keep)

    def _add(self, entry: Entry, waiter: Waiter | None, keep: bool) -> None:
        self._next.entries.append(entry)
        if keep:
            self._next.waiters.append(lambda safe: self._again(entry, waiter, safe))
        elif waiter is not None:
            self._next.waiters.append(waiter)

    def _again(self, entry: Entry, waiter: Waiter | None, safe: bool) -> None:
        if not safe:
            self._kept.append((entry, waiter))
        elif waiter is not None:
            waiter(True)

    def next_batch(self, now: float) -> Batch | None:
        """The next batch to make safe, or None.  While failing, one trial at a time with what is kept."""
        if self._out is not None:
            return None
        if self.failing:
            if now < self._retry_at:
                return None
            while self._kept:
                entry, waiter = self._kept.popleft()
                self._add(entry, waiter, True)
        elif not self._next.entries:
            return None
        self._out, self._next = self._next, Batch(self._next.number + 1)
        return self._out

    def on_batch_durable(self, number: int) -> None:
        """A batch is on disk."""
        batch = self._end(number)
        self.failing, self.reason = False, ""
        self.commits += 1
        self.entries += len(batch.entries)
        for waiter in batch.waiters:
            waiter(True)

    def on_batch_failed(self, now: float, number: int, reason: str) -> None:
        """A batch could not be made safe: nothing of it is."""
        batch = self._end(number)
        self.failing, self.reason, self._retry_at = True, reason, now + self._retry_ms
        self.failures += 1
        later, self._next = self._next, Batch(self._next.number + 1)
        for waiter in [*batch.waiters, *later.waiters]:
            waiter(False)

    def _end(self, number: int) -> Batch:
        if self._out is None or self._out.number != number:
            raise UnexpectedBatchError(f"batch {number} is not out")
        batch, self._out = self._out, None
        return batch
