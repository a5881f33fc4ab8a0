"""Slow start: what a worker that started a short while ago may be sent by this dispatcher.

Nobody counts what all dispatchers send together: each keeps to a part of what warm workers complete for it,
and the parts add up to what the settings allow.  `docs/design.md`, the five rules, has the figures and their
reasons.  Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from .entities import Worker
from .sliding_window import drop_until


class SlowStart:
    """The budget of sends to workers in slow start."""

    def __init__(
        self, seed: int, tip: float, tip_ms: float, cold_share: float, cold_ms: float, late_ms: float
    ) -> None:
        self._seed = seed
        self._overload_multiple, self._overload_window_ms, self._initial_capacity, self._slow_start_ms = (
            tip,
            tip_ms,
            cold_share,
            cold_ms,
        )
        self._max_delivery_ms = late_ms  # a send or an order may arrive so much after it was given
        self.set_workers([])

    def set_workers(self, workers: Sequence[Worker]) -> None:
        """The workers that there are."""
        self._fleet, self._sized, self._usual = workers, -1e9, 0.0

    def warm_throughput(self, now: float) -> float:
        """What a warm worker of size 1 completes from here in the time of the budget."""
        if now >= self._sized + 50:
            self._sized = now
            warm = [w for w in self._fleet if w.live and self.capacity_factor(now, w) >= 1]
            done = sum(len(drop_until(w.recent_times, now - self._overload_window_ms)) for w in warm)
            self._usual = done / (sum(w.size for w in warm) or 1.0)
        return self._usual

    def capacity_factor(self, now: float, worker: Worker) -> float:
        """The share of its capacity that a worker has at least, by its age."""
        if worker.started_at is None or (age := now - worker.started_at) >= self._slow_start_ms:
            return 1.0
        return 1 - min(1.0, 1 - age / self._slow_start_ms) * (1 - self._initial_capacity)

    def has_budget(self, now: float, worker: Worker) -> bool:
        """A cold one may be sent a part of what warm ones of its size carry: so all together stay under."""
        if (warmth := self.capacity_factor(now, worker)) >= 1:
            return True
        budget, span = (
            0.5 * self._overload_multiple * warmth * self.warm_throughput(now) * worker.size,
            self._overload_window_ms + self._max_delivery_ms,
        )
        sent = drop_until(worker.recent_times, now - 2 * span)
        if budget >= 1:
            return sum(at > now - span for at in sent) < budget
        turn = (now - (worker.started_at or 0.0)) / span + crc32(f"{self._seed} {worker.id}".encode()) / 2**32
        return not (sent and sent[-1] >= now - turn % 1 * span) and (
            crc32(f"{self._seed} {worker.id} {int(turn)}".encode()) < 0.8 * budget * 2**32
        )  # two spans meet

    def completed(self, now: float, worker: Worker) -> None:
        if self.capacity_factor(now, worker) >= 1:  # in overload it is sent far more than it can carry
            drop_until(worker.recent_times, now - self._overload_window_ms).append(now)
