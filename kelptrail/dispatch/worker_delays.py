"""Which workers delay or refuse attempts, to tell one bad worker from an overloaded fleet.  Times are
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .entities import Worker

DELAY_WEIGHT = 0.2  # of one attempt in the moving average of a worker's delayed attempts
MAX_AGE_MS = 10_000.0  # a worker without an attempt for so long does not count any more
OUTLIER_SHARE = 0.4  # a worker that delays more than this share, three attempts in a row, may stand out
OTHERS_SHARE = 0.1  # and does where the others on average delay at most this share of theirs


@dataclass(slots=True)
class _Observed:
    delayed_share: float
    at: float


class WorkerDelays:
    """The share of delayed attempts, by worker."""

    def __init__(self) -> None:
        self._by_worker: dict[Worker, _Observed] = {}  # the longest not observed first
        self._sum = 0.0  # of all shares

    def observe(self, now: float, worker: Worker, delayed: bool) -> None:
        """Record one attempt."""
        self._forget_old(now)
        observed = self._by_worker.pop(worker, None) or _Observed(0.0, now)
        self._sum -= observed.delayed_share
        observed.delayed_share += DELAY_WEIGHT * (delayed - observed.delayed_share)
        observed.at = now
        self._sum += observed.delayed_share
        self._by_worker[worker] = observed

    def stands_out(self, now: float, worker: Worker) -> bool:
        """Whether the worker delays most of its attempts, and the others hardly any of theirs."""
        self._forget_old(now)
        observed = self._by_worker.get(worker)
        others = len(self._by_worker) - 1
        if observed is None or observed.delayed_share <= OUTLIER_SHARE or not others:
            return False
        return (self._sum - observed.delayed_share) / others <= OTHERS_SHARE

    def _forget_old(self, now: float) -> None:
        while self._by_worker:
            worker = next(iter(self._by_worker))
            if now - self._by_worker[worker].at < MAX_AGE_MS:
                return
            self._sum -= self._by_worker.pop(worker).delayed_share
