"""Check of slow start: compares the calls from all processes to a new worker with what the settings allow."""

from __future__ import annotations

import math
from collections.abc import Iterable

from fault_injection.captured_attempts import CapturedAttempt
from fault_injection.run_state import WorkerBehavior, WorkerCall
from fault_injection.settings import OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S
from fault_injection.soak_faults import LISTED_WORKERS

# Slow start in the soak; the values in fault_injection/settings.py are those of the fuzz test.
SLOW_START_S = 8.0
SLOW_START_CAPACITY = 0.05  # small, so that a new worker gets few calls at first
WARM_WORKERS = LISTED_WORKERS - 1
# A process may observe the completions of the warm workers this much earlier or later.
WINDOW_SHIFTS_S = (0.0, -1.0, 1.0)


class SlowStartCheck:
    """Compares the calls to a new worker in each window with what the warm workers complete.

    `attempts` must come only from processes that can determine when the worker started."""

    def __init__(self, attempts: Iterable[CapturedAttempt], calls: Iterable[WorkerCall]) -> None:
        self._attempts = list(attempts)
        self._completed = [call for call in calls if call.behavior is WorkerBehavior.COMPLETED]

    def problems(self, worker: int, started_at: float) -> list[str]:
        """Return a problem for the first window in which a worker got too many calls; empty if there is none."""
        starts = sorted(
            each.at
            for each in self._attempts
            if each.worker == worker and started_at <= each.at < started_at + SLOW_START_S
        )
        completions = sorted(call.at for call in self._completed if call.worker != worker)
        for at in starts:
            count = _count_in_window(starts, at)
            allowed = _allowed_calls(completions, at, started_at)
            if count > allowed + _margin(allowed):
                return [
                    f"slow start: worker {worker} got {count} calls in {OVERLOAD_WINDOW_S} s, {at - started_at:.2f} s "
                    f"after its start; {allowed:.1f} allowed"
                ]
        return []


def _count_in_window(times: list[float], end: float) -> int:
    return sum(end - OVERLOAD_WINDOW_S < at <= end for at in times)


def _allowed_calls(completions: list[float], at: float, started_at: float) -> float:
    capacity = SLOW_START_CAPACITY + (1 - SLOW_START_CAPACITY) * min(1.0, (at - started_at) / SLOW_START_S)
    completed = max(_count_in_window(completions, at + shift_s) for shift_s in WINDOW_SHIFTS_S)
    return OVERLOAD_MULTIPLE * capacity * completed / WARM_WORKERS


def _margin(allowed: float) -> float:
    """Return how many calls the random choices of the processes may add to those allowed."""
    root = math.sqrt(allowed)
    return 3 * root + 3 if allowed < 30 else 2 * root + 2
