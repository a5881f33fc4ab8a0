"""Slow start: limits the attempts that a recently started worker gets from this dispatcher.

A worker is warm once its slow start has ended.  The attempts of all dispatchers together are not counted
anywhere.  Each dispatcher limits itself to a share of the attempts that warm workers complete for it, and the
shares add up to what the settings allow.
`docs/design.md`, the five rules, has the figures and their reasons.  Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

from .entities import LONG_AGO, Worker
from .sliding_window import drop_until

# Saves CPU: summing the throughput of a large fleet for each attempt is expensive.
MEASUREMENT_INTERVAL_MS = 50.0
OVERLOAD_MARGIN = 0.5  # share of the allowed overload multiple that is used
# Share of the budget used as the probability of a draw.  The rest is a margin for chance, as any time window
# overlaps the windows of two draws.
DRAW_SHARE = 0.8
CRC_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """The limits that the platform sets for a recently started worker."""

    overload_multiple: float  # a worker is overloaded past this multiple of its present capacity
    overload_window_ms: float  # time over which the load of a worker is measured
    initial_capacity: float  # share of its capacity that a worker has when it starts
    slow_start_ms: float  # time after its start until a worker has its full capacity
    max_delivery_ms: float = 0.0  # maximum time from the decision on an item to its arrival at the worker


class SlowStart:
    """The budget of attempts to workers in slow start."""

    def __init__(self, seed: int, settings: SlowStartSettings) -> None:
        self._seed = seed
        self._overload_multiple, self._overload_window_ms = (
            settings.overload_multiple,
            settings.overload_window_ms,
        )
        self._initial_capacity, self._slow_start_ms = settings.initial_capacity, settings.slow_start_ms
        self._max_delivery_ms = settings.max_delivery_ms
        self.set_workers([])

    def set_workers(self, workers: Sequence[Worker]) -> None:
        """Set the workers of the fleet."""
        self._workers, self._measured_at, self._warm_throughput = workers, LONG_AGO, 0.0

    def warm_throughput(self, now: float) -> float:
        """Return the number of attempts that a warm worker of size 1 completes for this dispatcher within the
        overload window.
        """
        if now >= self._measured_at + MEASUREMENT_INTERVAL_MS:
            self._measured_at = now
            warm = [w for w in self._workers if w.live and self.capacity_factor(now, w) >= 1]
            completed = sum(len(drop_until(w.recent_times, now - self._overload_window_ms)) for w in warm)
            self._warm_throughput = completed / (sum(w.size for w in warm) or 1.0)
        return self._warm_throughput

    def capacity_factor(self, now: float, worker: Worker) -> float:
        """Return the minimum share of its capacity that a worker has at its age, from 0 to 1."""
        started_at = worker.latest_possible_start
        if started_at is None or (age := now - started_at) >= self._slow_start_ms:
            return 1.0
        return 1 - min(1.0, 1 - age / self._slow_start_ms) * (1 - self._initial_capacity)

    def has_budget(self, now: float, worker: Worker) -> bool:
        """Return whether the worker may get another attempt.  In slow start it gets only a share of what warm
        workers of its size get, so that all dispatchers together stay below the overload limit.
        """
        if (capacity := self.capacity_factor(now, worker)) >= 1:
            return True
        budget = (
            OVERLOAD_MARGIN * self._overload_multiple * capacity * self.warm_throughput(now) * worker.size
        )
        window_ms = self._overload_window_ms + self._max_delivery_ms
        started = drop_until(worker.recent_times, now - 2 * window_ms)
        if budget >= 1:
            return sum(started_at > now - window_ms for started_at in started) < budget
        # With a budget below one attempt in a window, a seeded random draw for each window decides.  The
        # windows of different dispatchers have different offsets.  `window` counts the windows since the
        # start of the worker; its integer part numbers the present one.
        offset = crc32(f"{self._seed} {worker.id}".encode()) / CRC_RANGE
        window = (now - (worker.latest_possible_start or 0.0)) / window_ms + offset
        if started and started[-1] >= now - window % 1 * window_ms:
            return False
        return crc32(f"{self._seed} {worker.id} {int(window)}".encode()) < DRAW_SHARE * budget * CRC_RANGE

    def completed(self, now: float, worker: Worker) -> None:
        """Count a completed attempt of a warm worker.  For a worker in slow start, the starts of attempts are
        counted instead, as an overloaded worker completes far fewer attempts than it gets.
        """
        if self.capacity_factor(now, worker) >= 1:
            drop_until(worker.recent_times, now - self._overload_window_ms).append(now)
