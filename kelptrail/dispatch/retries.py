"""When a second attempt is worth starting, and the budget for second attempts.  Times are milliseconds."""

from __future__ import annotations

from .entities import Function, Worker

# Weights of one observation in the moving averages.  RFC 6298, section 2 has 1/4 for the deviation and 1/8
# for the mean; the mean here follows a change faster.
DEVIATION_WEIGHT = 0.25
MEAN_WEIGHT = 0.2
RELATIVE_LATENCY_WEIGHT = 0.1
MAX_LATENCY_RATIO = 4.0  # one extreme latency moves a worker's average by no more than this ratio does
DEVIATIONS = 4  # RFC 6298, section 2: the timeout is the mean plus four deviations
MAX_SLOW_WORKER_FACTOR = 2.0  # a slow worker is given at most twice the usual time


class RetryBudget:
    """A token bucket for second attempts, and the latency past which one is worth a token."""

    def __init__(self, share: float = 0.2, capacity: float = 60.0) -> None:
        """`share`: tokens earned by one completed attempt; `capacity`: the most tokens, available at the
        start.
        """
        self._share, self._capacity, self._tokens = share, capacity, capacity

    def observe_latency(self, function: Function, worker: Worker, latency_ms: float) -> None:
        """Update mean and deviation of the function's latency (in the manner of RFC 6298, section 2), and the
        worker's latency relative to the mean.
        """
        if mean := function.mean_latency_ms:
            function.latency_deviation_ms += DEVIATION_WEIGHT * (
                abs(latency_ms - mean) - function.latency_deviation_ms
            )
            worker.relative_latency += RELATIVE_LATENCY_WEIGHT * (
                min(MAX_LATENCY_RATIO, latency_ms / mean) - worker.relative_latency
            )
            function.mean_latency_ms += MEAN_WEIGHT * (latency_ms - mean)
        else:
            function.mean_latency_ms, function.latency_deviation_ms = latency_ms, latency_ms / 2

    def hedge_delay(self, function: Function, worker: Worker) -> float:
        """The time after which a missing response is unusual for this function at this worker."""
        return max(1.0, min(MAX_SLOW_WORKER_FACTOR, worker.relative_latency)) * (
            function.mean_latency_ms + DEVIATIONS * function.latency_deviation_ms
        )

    def deposit(self) -> None:
        """Add what a completed attempt earns.  Guards against second attempts that feed an overload: the
        budget follows what workers complete.
        """
        self._tokens = min(self._capacity, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one token; False if there is none."""
        self._tokens -= (available := self._tokens >= 1)
        return available
