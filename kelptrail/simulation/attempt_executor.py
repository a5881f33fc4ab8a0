"""Execution of attempts in one simulated worker process: queue, cores, side effects and load reports."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.fault_scenario.scenario import FaultKind
from kelptrail.settings.deployment import FleetSettings

from .event_queue import EventQueue
from .worker_instances import ModelState, QueuedAttempt

if TYPE_CHECKING:
    from .workers import SimulatedWorker

UTILIZATION_WINDOW_MS = 250.0  # averaging window, as in the emulated worker
REPORT_INTERVAL_MS = 200.0  # minimum time between two computations of the load report
WORK_FACTOR_SIGMA, WORK_FACTOR_BATCH_SIZE = 0.2, 512  # lognormal factors of attempts' work, drawn in batches
LONG_AGO_MS = -1e18  # a time before every run


class WorkFactors:
    """Random factors of the time that attempts take, drawn in batches from a worker's random generator."""

    def __init__(self, random: np.random.Generator) -> None:
        self._random, self._drawn = random, np.empty(0)

    def draw(self) -> float:
        """Return the factor of the next attempt."""
        if not len(self._drawn):
            self._drawn = self._random.lognormal(0.0, WORK_FACTOR_SIGMA, WORK_FACTOR_BATCH_SIZE)
        factor, self._drawn = float(self._drawn[-1]), self._drawn[:-1]
        return factor


class LoadReport(NamedTuple):
    """Load report of a worker."""

    utilization: float  # share of the cores in use
    open_loads: int  # number of running and queued loads
    memory: float  # share of the memory occupied by instances that are loading or run attempts


class AttemptExecutor:
    """Queue and cores of one worker process; each start of the process creates a new executor."""

    def __init__(
        self,
        worker: SimulatedWorker,
        event_queue: EventQueue,
        fleet: FleetSettings,
        work_factors: WorkFactors,
        effect_log: dict[tuple[str, str], float],
    ) -> None:
        self._worker, self._event_queue, self._fleet = worker, event_queue, fleet
        self._work_factors, self._effect_log = work_factors, effect_log
        self._queue: deque[ModelState] = deque()  # model of each queued attempt, also of one that has failed since
        self._running = 0
        self._utilization_updated_at, self._utilization = event_queue.now, 0.0
        self._last_report, self._reported_at = LoadReport(0.0, 0, 0.0), LONG_AGO_MS

    @property
    def is_full(self) -> bool:
        """True if the queue has reached its limit."""
        return len(self._queue) >= self._fleet.queue

    def enqueue(self, attempt: QueuedAttempt) -> None:
        """Add an attempt to the queue, and start the attempts that can start."""
        attempt.model.waiting.append(attempt)
        self._queue.append(attempt.model)
        self.start_queued()

    def start_queued(self) -> None:
        """Start waiting attempts while cores are free, and answer those whose deadline has passed with an error.

        An attempt at a model without a free instance moves to the end of the queue.
        """
        for _ in range(len(self._queue)):
            if self._running >= self._fleet.cores:
                return
            model = self._queue.popleft()
            if not model.waiting:
                continue
            if model.busy >= model.loaded * model.action.concurrency:
                self._queue.append(model)
                continue
            attempt = model.waiting.popleft()
            if self._event_queue.now < attempt.deadline:
                self._start(attempt)
            else:
                attempt.reply(AttemptStatus.ERROR, WorkerAnswer("error"))

    def fail_waiting(self, model: ModelState) -> None:
        """Reply `NOT_LOADED` to all waiting attempts of a model whose load has failed."""
        while model.waiting:
            answer = WorkerAnswer("miss", load_failed=True, report=self.report())
            model.waiting.popleft().reply(AttemptStatus.NOT_LOADED, answer)

    def _start(self, attempt: QueuedAttempt) -> None:
        self._update_utilization()
        self._running += 1
        attempt.model.busy += 1
        self._event_queue.after(self.draw_duration_ms(attempt.model), self._on_work_done, attempt)

    def draw_duration_ms(self, model: ModelState) -> float:
        """Draw the duration in ms of an attempt that starts now at a model."""
        factor = self._work_factors.draw()
        if self._worker.fault_applies(FaultKind.HEAVY_WORK):
            factor *= self._worker.faults[FaultKind.HEAVY_WORK].factor
        return model.action.work_ms * factor / self._worker.slow_start_capacity

    def _on_work_done(self, attempt: QueuedAttempt) -> None:
        worker = self._worker
        if self._event_queue.now < worker.paused_until:
            self._event_queue.at(worker.paused_until, self._on_work_done, attempt)
            return
        if worker.executor is not self or not worker.up:
            return
        model = attempt.model
        self._update_utilization()
        self._running -= 1
        model.busy -= 1
        model.last_used = self._event_queue.now
        if not self._is_repeat(attempt):
            worker.record(
                "effect",
                mark=attempt.deduplication_id,
                type=model.type.name,
                activation=attempt.activation,
                send=attempt.number,
            )
        if FaultKind.SILENT not in worker.faults and not worker.fault_applies(FaultKind.ANSWERS_LOST):
            self._answer_completed(attempt)
        self.start_queued()

    def _is_repeat(self, attempt: QueuedAttempt) -> bool:
        """Return whether a deduplicated effect repeats one of its scope within the window; record it if not."""
        type_, worker = attempt.model.type, self._worker
        if type_.effect != "deduplicated":
            return False
        now = self._event_queue.now
        group = {"all": "all", "zone": worker.zone, "cell": f"cell-{worker.cell}"}[type_.deduplication_scope]
        last_effect_at = self._effect_log.get((group, attempt.deduplication_id), LONG_AGO_MS)
        if now - last_effect_at <= type_.deduplication_window_ms:
            return True
        self._effect_log[group, attempt.deduplication_id] = now
        return False

    def _answer_completed(self, attempt: QueuedAttempt) -> None:
        answer = WorkerAnswer(
            "completed", b"{}", True, False, attempt.was_loaded, attempt.other_attempts, self.report()
        )
        late_answers = self._worker.faults.get(FaultKind.ANSWERS_LATE)
        delay_ms = late_answers.ms if late_answers is not None else 0.0
        self._event_queue.after(delay_ms, attempt.reply, AttemptStatus.COMPLETED, answer)

    def _update_utilization(self) -> None:
        now = self._event_queue.now
        elapsed_ms = now - self._utilization_updated_at
        if elapsed_ms > 0:
            weight = min(1.0, elapsed_ms / UTILIZATION_WINDOW_MS)
            self._utilization += weight * (self._running / self._fleet.cores - self._utilization)
            self._utilization_updated_at = now

    def report(self) -> dict[str, float]:
        """Return the load metrics that are sent with an answer, by their keys in load reports."""
        if self._event_queue.now - self._reported_at > REPORT_INTERVAL_MS:
            self._reported_at = self._event_queue.now
            self._update_utilization()
            instances = self._worker.instances
            memory = instances.busy_mb / self._fleet.memory_mb
            self._last_report = LoadReport(self._utilization, instances.open_loads, memory)
        report = self._last_report
        return {"util": report.utilization, "x1": report.open_loads, "x0": report.memory}
