"""The delay before a hedge, and the budget for second attempts.  Times are milliseconds."""

from __future__ import annotations

from .entities import Function, Worker

# Weights of one observation in the moving averages.  RFC 6298, section 2, uses 1/4 for the deviation and 1/8
# for the mean; the mean here follows a change faster.
DEVIATION_WEIGHT = 0.25
MEAN_WEIGHT = 0.2
RELATIVE_LATENCY_WEIGHT = 0.1
MAX_LATENCY_RATIO = 4.0  # limits the effect of one extreme latency on a worker's average
DEVIATIONS = 4  # RFC 6298, section 2: the timeout is the mean plus four deviations
MAX_SLOW_WORKER_FACTOR = 2.0  # a slow worker is given at most twice the usual time


class RetryBudget:
    """A token bucket for second attempts, and the delay after which an attempt is hedged."""

    def __init__(self, share: float = 0.2, capacity: float = 60.0) -> None:
        """Create a full bucket of `capacity` tokens; each completed attempt adds `share` tokens."""
        self._share, self._capacity, self._tokens = share, capacity, capacity

    def observe_latency(self, function: Function, worker: Worker, latency_ms: float) -> None:
        """Update the mean and deviation of the function's latency (similar to RFC 6298, section 2), and the
        worker's latency relative to that mean.
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
        """Return the time after which a missing response is unusual for the function at the worker."""
        return max(1.0, min(MAX_SLOW_WORKER_FACTOR, worker.relative_latency)) * (
            function.mean_latency_ms + DEVIATIONS * function.latency_deviation_ms
        )

    def deposit(self) -> None:
        """Add the tokens for a completed attempt.  The budget follows what workers complete, so that second
        attempts do not increase an overload.
        """
        self._tokens = min(self._capacity, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one token; return False if there is none."""
        self._tokens -= (available := self._tokens >= 1)
        return available
