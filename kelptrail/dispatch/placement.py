"""Chooses the workers for attempts and for new instances.  Times are milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from zlib import crc32

from .entities import LONG_AGO, Function, Instance, Request, RequestClass, Worker
from .outlier_detection import OutlierDetector
from .safety import SafetyGuard

# The counted load is multiplied by 0.3 plus the reported utilisation.  A worker without a report counts with
# a utilisation of 0.7, which leaves its counted load unchanged.
UTILISATION_BASE = 0.3
UNKNOWN_UTILISATION = 0.7
MIN_HEALTH = 0.1  # keeps the load of a worker that always fails finite
FOREIGN_LOAD_WEIGHT = 0.3  # weight of one observation in the moving average of other dispatchers' attempts
FOREIGN_LOAD_AGE_MS = 10_000  # an observation decays to zero over this time
LOAD_REPORT_AGE_MS = 10_000  # a load report is ignored after this time
NO_REPORT: dict[str, float] = {}
MAX_SPREAD_FACTOR = 4.0  # one response multiplies the number of a function's workers by at most this factor
SPREAD_DECAY = 0.75  # one response lowers the number of a function's workers to no less than this share
OTHER_ZONE_LOAD = 0.5  # added to the load of workers in other zones when slots are compared
# Late requests use only this share of a concurrency limit, so that they do not delay requests in time.
LATE_LIMIT_SHARE = 0.5
# Loads are compared in steps of this multiple of the mean, so that dispatchers choose the same workers.
LOAD_STEP = 3.0
MEAN_LOAD_INTERVAL_MS = 200  # saves CPU: averaging over a large fleet for each load order is expensive


class WorkerChoice(NamedTuple):
    """The worker for a new instance, if there is one."""

    worker: Worker | None
    below_mean_load: bool


class Placement:
    """Chooses workers by load: own attempts in flight and reported load, relative to size, age and health."""

    def __init__(self, safety: SafetyGuard, outliers: OutlierDetector, zone: int, seed: int) -> None:
        self._safety, self._outliers, self._zone, self._seed = safety, outliers, zone, seed
        self._draws = 0
        self._mean_load, self._mean_load_at = 1.0, LONG_AGO

    def load(self, now: float, worker: Worker, request_class: RequestClass | None = None) -> float:
        """Return the load of a worker relative to its size; it has no unit."""
        # A worker that is avoided for a high reported load gets no attempts and sends no new report, so that
        # old reports must expire.  `x1` is the number of loads in progress or queued.
        report = worker.load_report if now - worker.load_reported_at < LOAD_REPORT_AGE_MS else NO_REPORT
        busy = 1 + len(worker.attempts) + worker.mean_in_flight + worker.pending_loads + report.get("x1", 0.0)
        utilisation = report.get("util", UNKNOWN_UTILISATION)
        busy = (busy + self.foreign_load(now, worker)) * (UTILISATION_BASE + utilisation)
        health = max(
            MIN_HEALTH,
            1
            - max(
                worker.outlier_state.failure_rate,
                worker.outlier_state_by_class[request_class].failure_rate if request_class else 0.0,
            ),
        )
        return busy / (worker.size * self._safety.capacity_factor(now, worker) * health)

    def observe_foreign_load(self, now: float, instance: Instance, foreign_in_flight: float) -> None:
        """Record how many attempts of other dispatchers a response reported.  Dispatchers do not communicate
        and could overload one worker with a frequently called function; the function therefore spreads over
        more workers until there are free slots.
        """
        function, worker = instance.function, instance.worker
        share = foreign_in_flight / min(
            worker.concurrency_limit, max(1, instance.loaded) * function.concurrency
        )
        function.target_worker_count *= min(
            MAX_SPREAD_FACTOR, max(share, SPREAD_DECAY + (1 - SPREAD_DECAY) * share)
        )
        function.target_worker_count = max(
            1.0, min(function.target_worker_count, len(function.preferred_workers))
        )
        worker.foreign_in_flight = (
            self.foreign_load(now, worker) * (1 - FOREIGN_LOAD_WEIGHT)
            + FOREIGN_LOAD_WEIGHT * foreign_in_flight
        )
        worker.foreign_observed_at = now

    def foreign_load(self, now: float, worker: Worker) -> float:
        """Return the estimated number of other dispatchers' attempts in flight at the worker."""
        age = now - worker.foreign_observed_at
        return worker.foreign_in_flight * max(0.0, 1 - age / FOREIGN_LOAD_AGE_MS)

    def find_slot(self, now: float, request: Request, late: bool) -> Instance | None:
        """Return the least loaded instance with a free concurrency slot, or None.  Workers in other zones
        count as more loaded.  A `late` request may use only `LATE_LIMIT_SHARE` of each concurrency limit.
        """
        return self._find_slot(now, request, late, self._safety.may_attempt)

    def find_unproven_slot(self, now: float, request: Request, late: bool) -> Instance | None:
        """Return an instance as `find_slot` does, also at workers whose readiness has to be queried first."""

        def may_attempt(now: float, request: Request, worker: Worker) -> bool:
            """Return whether an attempt may start, now or after the answer to a readiness question."""
            readiness = self._safety.readiness
            return readiness.may_become_known(now, worker) and self._safety.may_attempt_once_ready(
                now, request, worker
            )

        return self._find_slot(now, request, late, may_attempt)

    def _find_slot(
        self, now: float, request: Request, late: bool, may_attempt: Callable[[float, Request, Worker], bool]
    ) -> Instance | None:
        busy_workers = {attempt.instance.worker for attempt in request.attempts if attempt.status is None}
        best, best_load, limit_share = None, 0.0, LATE_LIMIT_SHARE if late else 1.0
        request_class = request.request_class
        for instance in request.function.instances.values():
            worker = instance.worker
            if (
                instance.in_flight >= instance.loaded * request.function.concurrency
                or len(worker.attempts) >= worker.concurrency_limit * limit_share
            ):
                continue
            if (
                worker in busy_workers
                or now < instance.unavailable_until
                or not may_attempt(now, request, worker)
                or not self._outliers.usable(now, worker, request_class, request_class.idempotency)
            ):
                continue
            load = self.load(now, worker, request_class) + OTHER_ZONE_LOAD * (worker.zone != self._zone)
            if best is None or load < best_load:
                best, best_load = instance, load
        return best

    def choose_worker(self, now: float, function: Function, workers: list[Worker]) -> WorkerChoice:
        """Return the worker for a new instance, and whether its load is unknown or below the mean.  Workers
        are compared by load in steps of `LOAD_STEP`, then by whether they have an instance, then by whether
        they were out of capacity.  Among equal ones, a random draw selects one of the first usable workers
        in the order of preference, as many as share the function.
        """
        if function.ranked_workers != workers:
            _rank_workers(function, workers)
        if now >= self._mean_load_at + MEAN_LOAD_INTERVAL_MS:
            loads = [self.load(now, w) for w in workers if w.live and w.mean_response_gap] or [1.0]
            self._mean_load, self._mean_load_at = sum(loads) / len(loads), now
        best, best_key, best_load = None, (0, False, False, 0), 0.0
        self._draws, candidates, spread = self._draws + 1, 0, int(function.target_worker_count + 0.5)
        first = crc32(f"{self._seed} {self._draws}".encode()) % spread
        for worker in function.preferred_workers:
            instance = function.instances.get(worker)
            if (
                (instance and now < instance.unavailable_until)
                or len(worker.attempts) >= max(2, worker.concurrency_limit / 2)
                or not self._outliers.usable(now, worker, function.request_class)
                or not self._safety.has_budget(now, worker)
                or not self._safety.readiness.may_become_known(now, worker)
            ):
                continue
            load = (
                self.load(now, worker, function.request_class)
                if worker.mean_response_gap
                else self._mean_load
            )
            has_instance = bool(instance and (instance.loaded or instance.load_order))
            rank = (candidates - first) % spread if candidates < spread else candidates
            load_steps = int(load / (LOAD_STEP * self._mean_load))
            key = (load_steps, has_instance, now < worker.out_of_capacity_until, rank)
            if best is None or key < best_key:
                best, best_key, best_load = worker, key, load
            candidates += 1
            if best_key[:3] == (0, False, False) and (candidates >= spread or not best_key[3]):
                break
        below_mean = best is not None and (best_load < self._mean_load or not best.mean_response_gap)
        return WorkerChoice(best, below_mean)


def _rank_workers(function: Function, workers: list[Worker]) -> None:
    """Rank the workers by a hash of function and worker (rendezvous hashing).  All dispatchers compute the
    same order, so that they share instances without communicating.
    """
    function.ranked_workers, base = workers, crc32(f"{function.id} ".encode())
    function.preferred_workers = sorted(workers, key=lambda w: (crc32(w.id.encode(), base), w.id))
