"""Slow start of the emulated worker: what share of its capacity it has at its age, and when too much work overloads it.

The rules are those of the dispatchers' settings: capacity rises linearly from `slow_start_share` to 1 within
`slow_start_ms` of the start, and a worker that meanwhile gets more than a multiple of its capacity within
`overload_window_ms` fails for good.
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
    """The age of one incarnation, and the work that arrived during its slow start.  Times are milliseconds."""

    def __init__(self, deployment: Deployment, warm: bool) -> None:
        self._rules, self._cores = deployment.rules, deployment.fleet.cores
        self.started = now_ms() - (self._rules.slow_start_ms + 1 if warm else 0.0)
        self.overloaded = False
        self._recent_work: deque[_ArrivedWork] = deque()

    @property
    def capacity_factor(self) -> float:
        """The share of its capacity that the worker has at its age."""
        age = now_ms() - self.started
        if age >= self._rules.slow_start_ms:
            return 1.0
        return self._rules.slow_start_share + (1 - self._rules.slow_start_share) * age / self._rules.slow_start_ms

    def add_work(self, now: float, work_ms: float) -> bool:
        """Count work that arrives; True where it overloads the worker, which then serves nothing more."""
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
