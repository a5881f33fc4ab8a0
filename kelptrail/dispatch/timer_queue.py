"""Holds all due times of a dispatcher, except its periodic tick, in order.  Times are milliseconds."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Any


class TimerQueue:
    """Items with a due time, returned in order of that time and, for equal times, of insertion."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Any]] = []
        self._insertions = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: float, item: Any) -> None:
        """Insert `item` with the time `due`."""
        self._insertions += 1
        heappush(self._heap, (due, self._insertions, item))

    def next_due(self) -> float | None:
        """Return the earliest due time, or None if the queue is empty."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Any | None:
        """Remove and return the first item that is due at `now`, or None."""
        return heappop(self._heap)[2] if self._heap and self._heap[0][0] <= now else None
