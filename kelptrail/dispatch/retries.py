"""When a second attempt is worth it, and the budget of second attempts.  Times are milliseconds."""

from __future__ import annotations

from .entities import Function, Worker


class RetryBudget:
    """When a send is out for so long that a second is worth it, and what second sends may cost in all."""

    def __init__(self, share: float = 0.2, most: float = 60.0) -> None:
        self._share, self._most, self._left = share, most, most

    def observe_latency(self, function: Function, worker: Worker, ms: float) -> None:
        """An answer: usual time and spread (in the manner of RFC 6298, section 2), and the pace."""
        if usual := function.mean_latency_ms:
            function.latency_deviation_ms += 0.25 * (abs(ms - usual) - function.latency_deviation_ms)
            worker.relative_latency += 0.1 * (min(4.0, ms / usual) - worker.relative_latency)
            function.mean_latency_ms += 0.2 * (ms - usual)
        else:
            function.mean_latency_ms, function.latency_deviation_ms = ms, ms / 2

    def hedge_delay(self, function: Function, worker: Worker) -> float:
        """Past that an answer is unusual for the function; a worker known to be slow gets up to twice it."""
        return max(1.0, min(2.0, worker.relative_latency)) * (
            function.mean_latency_ms + 4 * function.latency_deviation_ms
        )

    def deposit(self) -> None:
        """Guards against second sends that feed an overload: the budget follows what workers complete."""
        self._left = min(self._most, self._left + self._share)

    def try_spend(self) -> bool:
        self._left -= (may := self._left >= 1)
        return may
