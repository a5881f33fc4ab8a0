"""Which workers delay or refuse attempts, to tell one bad worker from an overloaded fleet.  Times are
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .entities import Worker

DELAY_WEIGHT = 0.2  # of one attempt in the moving average of a worker's delayed attempts
MAX_AGE_MS = 10_000.0  # a worker without an attempt for so long does not count any more
# Workers that delay more than this share of their attempts delay them: the admitted share of requests shrinks
# only where it would, for a third of the attempts delayed; far below that all is well.
DELAYING_SHARE = 0.1


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

    def others_delay(self, now: float, worker: Worker) -> bool:
        """Whether the other workers delay attempts too, on average; True if no other was observed of late."""
        self._forget_old(now)
        observed = self._by_worker.get(worker)
        others = len(self._by_worker) - (observed is not None)
        if not others:
            return True
        return (self._sum - (observed.delayed_share if observed else 0.0)) / others > DELAYING_SHARE

    def _forget_old(self, now: float) -> None:
        while self._by_worker:
            worker = next(iter(self._by_worker))
            if now - self._by_worker[worker].at < MAX_AGE_MS:
                return
            self._sum -= self._by_worker.pop(worker).delayed_share
