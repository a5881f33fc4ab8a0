"""Holds all due times of a dispatcher, except its periodic tick, in order.  Times are milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

MIN_DEAD_ITEMS = 64  # with fewer dead items the queue is not worth a rebuild


class TimerQueue:
    """Items with a due time, returned in order of that time and, for equal times, of insertion."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Any]] = []
        self._insertions = 0
        self._dead_count = 0  # dead items reported since the last rebuild

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

    def on_dead_item(self, is_dead: Callable[[Any], bool]) -> None:
        """Record that an item has nothing to do at its due time.

        Once half of the items may be dead, those for which `is_dead` returns True are removed, so that items
        that end long before their due times take no more memory than the others.
        """
        self._dead_count += 1
        if self._dead_count >= MIN_DEAD_ITEMS and 2 * self._dead_count >= len(self._heap):
            self._heap = [entry for entry in self._heap if not is_dead(entry[2])]
            heapify(self._heap)
            self._dead_count = 0
