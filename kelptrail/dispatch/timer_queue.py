"""The agenda: all due times of a dispatcher, but for its one periodic timer, in one ordered structure."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Any


class TimerQueue:
    """Things with a due time, handed out in order of that time and, at one time, of their entry."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Any]] = []
        self._entries = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: float, what: Any) -> None:
        """Enter `what` for the time `due`."""
        self._entries += 1
        heappush(self._heap, (due, self._entries, what))

    def next_due(self) -> float | None:
        """The earliest due time, or None."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Any | None:
        """Take out the first thing that is due by `now`, or None."""
        return heappop(self._heap)[2] if self._heap and self._heap[0][0] <= now else None
