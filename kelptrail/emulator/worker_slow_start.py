"""Slow start of the emulated worker: its share of full capacity by age, and its overload by too much work.

The dispatchers' settings define the rules: capacity rises linearly from `slow_start_share` to 1 within `slow_start_ms`
of the start.  A worker that receives more work than `overload_multiple` times its capacity within `overload_window_ms`
during this time serves no further requests until it restarts.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from kelptrail.clock import now_ms
from kelptrail.settings.deployment import Deployment


class _ArrivedWork(NamedTuple):
    time: float
    work_ms: float


class SlowStart:
    """Age of one incarnation, and the work that arrived during its slow start.  Times are in milliseconds."""

    def __init__(self, deployment: Deployment, warm: bool) -> None:
        self._rules, self._cores = deployment.rules, deployment.fleet.cores
        self.started = now_ms() - (self._rules.slow_start_ms + 1 if warm else 0.0)
        self.overloaded = False
        self._recent_work: deque[_ArrivedWork] = deque()

    @property
    def capacity_factor(self) -> float:
        """Share of full capacity that the worker has at its current age."""
        age = now_ms() - self.started
        if age >= self._rules.slow_start_ms:
            return 1.0
        return self._rules.slow_start_share + (1 - self._rules.slow_start_share) * age / self._rules.slow_start_ms

    def add_work(self, now: float, work_ms: float) -> bool:
        """Count work that arrives; return whether it overloads the worker, which then serves no further requests."""
        capacity_factor = self.capacity_factor
        if capacity_factor >= 1:
            return False
        window_ms = self._rules.overload_window_ms
        self._recent_work.append(_ArrivedWork(now, work_ms))
        while self._recent_work[0].time < now - window_ms:
            self._recent_work.popleft()
        limit_ms = self._rules.overload_multiple * capacity_factor * self._cores * window_ms
        self.overloaded = sum(arrived.work_ms for arrived in self._recent_work) > limit_ms
        return self.overloaded
