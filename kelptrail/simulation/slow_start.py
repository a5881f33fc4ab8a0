"""Slow start of a simulated worker: its capacity by age, and its collapse under overload."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from kelptrail.settings.deployment import RuleSettings


class ArrivedWork(NamedTuple):
    """Arrival time of an attempt, and its work in ms of one core."""

    at: float
    work_ms: float


class SlowStart:
    """Slow start of one worker process, which collapses permanently if it is overloaded during this time."""

    def __init__(self, rules: RuleSettings, cores: int, started: float) -> None:
        self._rules, self._cores, self._started = rules, cores, started
        self._arrivals: deque[ArrivedWork] = deque()
        self._arrived_work_ms = 0.0
        self.collapsed = False

    def capacity_factor(self, now: float) -> float:
        """Return the share of its full capacity, 0 to 1, that the worker has at its age."""
        age_ms = now - self._started
        if age_ms >= self._rules.slow_start_ms:
            return 1.0
        return self._rules.slow_start_share + (1 - self._rules.slow_start_share) * age_ms / self._rules.slow_start_ms

    def add_arrival(self, now: float, work_ms: float) -> None:
        """Record the work of an attempt that arrives during slow start.

        Collapse if the work that arrived within the overload window exceeds `overload_multiple` times what the worker
        can do in that time.
        """
        capacity_factor = self.capacity_factor(now)
        if capacity_factor >= 1 or self.collapsed:
            return
        window_ms = self._rules.overload_window_ms
        self._arrivals.append(ArrivedWork(now, work_ms))
        self._arrived_work_ms += work_ms
        while self._arrivals[0].at < now - window_ms:
            self._arrived_work_ms -= self._arrivals.popleft().work_ms
        self.collapsed = (
            self._arrived_work_ms > self._rules.overload_multiple * capacity_factor * self._cores * window_ms
        )
