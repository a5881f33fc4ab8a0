"""The event queue of the simulation: callbacks in order of simulated time, first in first out at equal times.

The queue is the hot path of a run.  The alternative, simpy, models processes as generators that wait; the simulated
cores take inputs and return effects, so a heap of callbacks is enough.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("arguments", "callback")

    def __init__(self, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.arguments = arguments

    def cancel(self) -> None:
        """Cancel the callback; this has no effect once it has run."""
        self.callback, self.arguments = None, ()


class EventQueue:
    """Callbacks ordered by simulated time; `now` is in ms, and `events` counts the callbacks that have run."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._sequence = 0
        self._heap: list[tuple[float, int, Timer]] = []

    def at(self, when: float, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Schedule a callback at a time in ms; a time that has passed counts as now."""
        timer = Timer(callback, arguments)
        self._sequence += 1
        heappush(self._heap, (max(self.now, when), self._sequence, timer))
        return timer

    def after(self, delay: float, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Schedule a callback after a delay in ms."""
        return self.at(self.now + delay, callback, *arguments)

    def next_at(self) -> float:
        """Return the time of the next callback in ms, infinity if there is none."""
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heappop(heap)
        return heap[0][0] if heap else float("inf")

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to the time `until` in ms, and advance `now` to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, timer = heappop(heap)
            if timer.callback is not None:
                self.events += 1
                timer.callback(*timer.arguments)
        self.now = until
