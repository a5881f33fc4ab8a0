"""Events in order of simulated time, and of entry at one time; nothing else happens.

Weighed: simpy, whose processes are generators that wait.  What is driven here are cores that are told and pulled: a
heap of calls is all that they need, and events are what a run's time goes into.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Timer:
    """An event that can be called off."""

    __slots__ = ("arguments", "callback")

    def __init__(self, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.arguments = arguments

    def cancel(self) -> None:
        """It does not happen."""
        self.callback, self.arguments = None, ()


class EventQueue:
    """Simulated time in milliseconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._sequence = 0
        self._heap: list[tuple[float, int, Timer]] = []

    def at(self, when: float, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Let something happen at a time, at the earliest now."""
        timer = Timer(callback, arguments)
        self._sequence += 1
        heappush(self._heap, (max(self.now, when), self._sequence, timer))
        return timer

    def after(self, delay: float, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Let something happen after a delay."""
        return self.at(self.now + delay, callback, *arguments)

    def next_at(self) -> float:
        """When the next thing happens; infinity where there is none."""
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heappop(heap)
        return heap[0][0] if heap else float("inf")

    def run(self, until: float) -> None:
        """Let everything happen up to a time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, timer = heappop(heap)
            if timer.callback is not None:
                self.events += 1
                timer.callback(*timer.arguments)
        self.now = until
