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

    __slots__ = ("what", "words")

    def __init__(self, what: Callable[..., None], words: tuple[Any, ...]) -> None:
        self.what: Callable[..., None] | None = what
        self.words = words

    def cancel(self) -> None:
        """It does not happen."""
        self.what, self.words = None, ()


class EventQueue:
    """Simulated time in milliseconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._entries = 0
        self._heap: list[tuple[float, int, Timer]] = []

    def at(self, when: float, what: Callable[..., None], *words: Any) -> Timer:
        """Let something happen at a time, at the earliest now."""
        timer = Timer(what, words)
        self._entries += 1
        heappush(self._heap, (max(self.now, when), self._entries, timer))
        return timer

    def after(self, delay: float, what: Callable[..., None], *words: Any) -> Timer:
        """Let something happen after a delay."""
        return self.at(self.now + delay, what, *words)

    def next_at(self) -> float:
        """When the next thing happens; infinity where there is none."""
        heap = self._heap
        while heap and heap[0][2].what is None:
            heappop(heap)
        return heap[0][0] if heap else float("inf")

    def run(self, until: float) -> None:
        """Let everything happen up to a time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, timer = heappop(heap)
            if timer.what is not None:
                self.events += 1
                timer.what(*timer.words)
        self.now = until
