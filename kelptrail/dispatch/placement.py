"""Where a send and a new instance go.  Times are milliseconds."""

from __future__ import annotations

from zlib import crc32

from .entities import Function, Instance, Request, Worker
from .entities import RequestClass as Type
from .outlier_detection import OutlierDetector
from .safety import SafetyGuard


class Placement:
    """Where a send and a new copy go.  Load is own sends out plus reports, for the size and the warmth."""

    def __init__(self, safety: SafetyGuard, outliers: OutlierDetector, zone: int, seed: int) -> None:
        self._gate, self._health, self._zone, self._seed, self._draws = safety, outliers, zone, seed, 0
        self._mean, self._weighed = 1.0, -1e9  # average load, and when it was taken

    def load(self, now: float, worker: Worker, request_class: Type | None = None) -> float:
        busy = (
            1
            + len(worker.attempts)
            + worker.mean_in_flight
            + worker.pending_loads
            + worker.load_report.get("x1", 0.0)
        )
        busy = (busy + self.foreign_load(now, worker)) * (0.3 + worker.load_report.get("util", 0.7))
        well = max(
            0.1,
            1
            - max(
                worker.outlier_state.failure_rate,
                worker.outlier_state_by_class[request_class].failure_rate if request_class else 0.0,
            ),
        )
        return busy / (worker.size * self._gate.capacity_factor(now, worker) * well)

    def observe_foreign_load(self, now: float, instance: Instance, foreign_in_flight: float) -> None:
        """An answer told how many others were there.  Guards against dispatchers that cannot talk and crowd
        one worker with a hot function: it spreads over more workers until it meets a copy's room."""
        function, worker = instance.function, instance.worker
        part = foreign_in_flight / min(
            worker.concurrency_limit, max(1, instance.loaded) * function.concurrency
        )
        function.target_worker_count *= min(4.0, max(part, 0.75 + 0.25 * part))
        function.target_worker_count = max(
            1.0, min(function.target_worker_count, len(function.preferred_workers))
        )
        worker.foreign_in_flight, worker.foreign_observed_at = (
            self.foreign_load(now, worker) * 0.7 + 0.3 * foreign_in_flight,
            now,
        )

    def foreign_load(self, now: float, worker: Worker) -> float:
        return worker.foreign_in_flight * max(0.0, 1 - (now - worker.foreign_observed_at) / 10_000)

    def find_slot(self, now: float, request: Request, late: bool) -> Instance | None:
        """The least loaded believed free lane, own zone before others where loads are alike."""
        tried = {attempt.instance.worker for attempt in request.attempts if attempt.status is None}
        best, best_load, part = None, 0.0, 0.5 if late else 1.0  # the late must not make others late too
        for instance in request.function.instances.values():
            worker = instance.worker
            if (
                instance.in_flight >= instance.loaded * request.function.concurrency
                or len(worker.attempts) >= worker.concurrency_limit * part
            ):
                continue
            if (
                worker in tried
                or now < instance.unavailable_until
                or not self._gate.may_attempt(now, request, worker)
                or (
                    not self._health.usable(
                        now, worker, request.request_class, request.request_class.idempotency
                    )
                )
            ):
                continue
            load = self.load(now, worker, request.request_class) + 0.5 * (worker.zone != self._zone)
            if best is None or load < best_load:
                best, best_load = instance, load
        return best

    def choose_worker(
        self, now: float, function: Function, workers: list[Worker]
    ) -> tuple[Worker | None, bool]:
        """The worker for a new copy, and whether it is below average.  Loads within one step are equal."""
        if function.ranked_workers != workers:  # so dispatchers that cannot talk share copies
            function.ranked_workers, begun = workers, crc32(f"{function.id} ".encode())
            function.preferred_workers = sorted(workers, key=lambda w: (crc32(w.id.encode(), begun), w.id))
        if now >= self._weighed + 200:  # CPU: a large fleet is not weighed for each order
            heard = [self.load(now, w) for w in workers if w.live and w.mean_response_gap] or [1.0]
            self._mean, self._weighed = sum(heard) / len(heard), now
        best, best_key, best_load = None, (0, False, False, 0), 0.0
        self._draws, seen, spread = self._draws + 1, 0, int(function.target_worker_count + 0.5)
        first = crc32(f"{self._seed} {self._draws}".encode()) % spread
        for worker in function.preferred_workers:
            instance = function.instances.get(worker)
            if (
                (instance and now < instance.unavailable_until)
                or len(worker.attempts) >= max(2, worker.concurrency_limit / 2)
                or not (
                    self._health.usable(now, worker, function.request_class)
                    and self._gate.has_budget(now, worker)
                )
            ):
                continue
            load = self.load(now, worker, function.request_class) if worker.mean_response_gap else self._mean
            held = bool(instance and (instance.loaded or instance.load_order))
            rank = (seen - first) % spread if seen < spread else seen
            key = (int(load / (3.0 * self._mean)), held, now < worker.out_of_capacity_until, rank)
            if best is None or key < best_key:
                best, best_key, best_load = worker, key, load
            seen += 1
            if best_key[:3] == (0, False, False) and (seen >= spread or not best_key[3]):
                break
        return best, best is not None and (best_load < self._mean or not best.mean_response_gap)
