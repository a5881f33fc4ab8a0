"""Measures which workers delay or refuse attempts, to distinguish one bad worker from an overloaded fleet.

Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .entities import Worker

OBSERVATION_WEIGHT = 0.2  # weight of one attempt in the moving average `bad_share`
MAX_AGE_MS = 10_000.0  # a worker without an observed attempt for this time no longer counts
# A worker is an outlier if its share exceeds `OUTLIER_SHARE`, as after three delays in a row, while the mean
# share of the others is at most `OTHERS_SHARE`.  The outliers of `outlier_detection` are workers that fail.
OUTLIER_SHARE = 0.4
OTHERS_SHARE = 0.1
# Delays are few while the shares of all workers add up to at most this, as after three delays in a row at one
# worker, or one delay each at two.
FEW_DELAYS_SHARE_SUM = 0.5


@dataclass(slots=True)
class _DelayRecord:
    bad_share: float  # share of delayed or refused attempts, moving average
    at: float  # time of the last observation


class WorkerDelays:
    """The share of delayed or refused attempts of each worker, among the attempts passed to `observe`."""

    def __init__(self) -> None:
        self._by_worker: dict[Worker, _DelayRecord] = {}  # least recently recorded first
        self._sum = 0.0  # sum of all shares

    def observe(self, now: float, worker: Worker, delayed_or_refused: bool) -> None:
        """Record whether one attempt at the worker was delayed or refused."""
        self._remove_old(now)
        record = self._by_worker.pop(worker, None) or _DelayRecord(0.0, now)
        self._sum -= record.bad_share
        record.bad_share += OBSERVATION_WEIGHT * (delayed_or_refused - record.bad_share)
        record.at = now
        self._sum += record.bad_share
        self._by_worker[worker] = record

    def is_outlier(self, now: float, worker: Worker) -> bool:
        """Return whether the worker delays or refuses many attempts, and the other workers hardly any."""
        self._remove_old(now)
        record = self._by_worker.get(worker)
        others = len(self._by_worker) - 1
        if record is None or record.bad_share <= OUTLIER_SHARE or not others:
            return False
        return (self._sum - record.bad_share) / others <= OTHERS_SHARE

    def are_few(self, now: float) -> bool:
        """Return whether the workers together delay or refuse so few attempts that the fleet is probably not
        overloaded.
        """
        self._remove_old(now)
        return self._sum <= FEW_DELAYS_SHARE_SUM

    def _remove_old(self, now: float) -> None:
        while self._by_worker:
            worker = next(iter(self._by_worker))
            if now - self._by_worker[worker].at < MAX_AGE_MS:
                return
            self._sum -= self._by_worker.pop(worker).bad_share
