"""Measures which workers delay or refuse attempts, to distinguish one bad worker from an overloaded fleet.

Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .entities import Worker

DELAY_WEIGHT = 0.2  # weight of one attempt in the moving average `delayed_share`
MAX_AGE_MS = 10_000.0  # a worker without an attempt for this time no longer counts
# An outlier delays or refuses more than this share of its attempts.  Three delays in a row exceed it.
OUTLIER_SHARE = 0.4
OTHERS_SHARE = 0.1  # no worker is an outlier if the others on average exceed this share


@dataclass(slots=True)
class _DelayRecord:
    delayed_share: float
    at: float


class WorkerDelays:
    """The share of delayed or refused attempts of each worker."""

    def __init__(self) -> None:
        self._by_worker: dict[Worker, _DelayRecord] = {}  # least recently recorded first
        self._sum = 0.0  # sum of all shares

    def observe(self, now: float, worker: Worker, delayed: bool) -> None:
        """Record whether one attempt at the worker was delayed or refused."""
        self._remove_old(now)
        record = self._by_worker.pop(worker, None) or _DelayRecord(0.0, now)
        self._sum -= record.delayed_share
        record.delayed_share += DELAY_WEIGHT * (delayed - record.delayed_share)
        record.at = now
        self._sum += record.delayed_share
        self._by_worker[worker] = record

    def is_outlier(self, now: float, worker: Worker) -> bool:
        """Return whether the worker delays or refuses many attempts, and the other workers hardly any."""
        self._remove_old(now)
        record = self._by_worker.get(worker)
        others = len(self._by_worker) - 1
        if record is None or record.delayed_share <= OUTLIER_SHARE or not others:
            return False
        return (self._sum - record.delayed_share) / others <= OTHERS_SHARE

    def _remove_old(self, now: float) -> None:
        while self._by_worker:
            worker = next(iter(self._by_worker))
            if now - self._by_worker[worker].at < MAX_AGE_MS:
                return
            self._sum -= self._by_worker.pop(worker).delayed_share
