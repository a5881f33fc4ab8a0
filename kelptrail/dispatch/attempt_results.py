"""Updates the state of a dispatcher with the result of each attempt.  Times are milliseconds."""

from __future__ import annotations

from typing import NamedTuple

from .components import Components, DispatchState
from .entities import LONG_AGO, Attempt, AttemptStatus, FinalStatus, LogMessage, Worker
from .load_results import LoadResults
from .request_lifecycle import RequestLifecycle
from .worker_delays import WorkerDelays

MIN_CONCURRENCY_LIMIT = 2.0  # a worker is always allowed two attempts at once
# A delayed or refused attempt multiplies the concurrency limit by this factor; as many attempts in time as
# the limit allows at once raise it by one.
CONCURRENCY_DECREASE = 0.9
# The delays of a worker whose mean number of attempts in flight is higher already lower its concurrency
# limit.
MAX_IDLE_IN_FLIGHT = 0.3

CONNECTION_FAILURES = (AttemptStatus.CONNECTION_LOST, AttemptStatus.UNREACHABLE)
_RESPONSES = frozenset(
    {
        *CONNECTION_FAILURES,
        AttemptStatus.COMPLETED,
        AttemptStatus.ERROR,
        AttemptStatus.OUT_OF_CAPACITY,
        AttemptStatus.NOT_LOADED,
    }
)


class AttemptResult(NamedTuple):
    """The status of a finished attempt and the data that its response reported."""

    status: AttemptStatus
    request_done: bool  # the client has its answer
    load_failed: bool = False  # the error came from loading the function
    warm: bool | None = None  # whether the instance was warm; None if the response does not report it
    foreign_in_flight: int = 0  # attempts of other dispatchers for the function at the worker
    load_report: dict[str, float] | None = None


class AttemptResults:
    """Records the result of each finished attempt, and requeues or finishes its request."""

    def __init__(
        self, parts: Components, state: DispatchState, lifecycle: RequestLifecycle, loads: LoadResults
    ) -> None:
        self._safety, self._outliers, self._placement = parts.safety, parts.outliers, parts.placement
        self._instances, self._queues, self._retry_budget = parts.instances, parts.queues, parts.retry_budget
        self._state, self._lifecycle, self._loads = state, lifecycle, loads
        self._worker_delays = WorkerDelays()

    def on_attempt_finished(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Update the worker, the instance and the function, then requeue the request or cancel its other
        attempts.
        """
        status, request, instance = result.status, attempt.request, attempt.instance
        worker, function = instance.worker, instance.function
        attempt.status = status
        worker.attempts.pop(attempt, None)
        instance.in_flight -= 1
        if result.load_report:
            worker.load_report, worker.load_reported_at = result.load_report, now
        self._safety.readiness.on_answer(attempt, status)
        if status in CONNECTION_FAILURES:
            self.on_connection_lost(now, worker)
        if status in _RESPONSES:
            self._observe_health(now, attempt, result)
        latency_ms = 0.0
        if status is AttemptStatus.COMPLETED:
            latency_ms = self._on_completed(now, attempt, result.warm)
        elif status in (AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.NOT_LOADED):
            self._on_refused(now, attempt, result)
        if attempt is instance.trial_attempt and status in (
            AttemptStatus.COMPLETED,
            AttemptStatus.NOT_LOADED,
        ):
            self._instances.observe_first_use(status is AttemptStatus.COMPLETED and result.warm is not False)
            function.searched_at = LONG_AGO
        if status in (AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY):
            self._observe_congestion(now, attempt, latency_ms, result.foreign_in_flight)
        if result.request_done:
            request.final_status = request.final_status or FinalStatus.COMPLETED
            self._lifecycle.cancel_attempts(request)
        elif request.final_status is None:
            self._lifecycle.requeue(now, request)
        queued = [other for other in worker.instances if other.queue_depth]
        queued.sort(key=lambda other: -other.request_class.priority_weight)
        self._state.runnable.update(dict.fromkeys(queued))
        self._state.runnable[function] = None

    def on_connection_lost(self, now: float, worker: Worker) -> None:
        """Record that a connection to the worker was refused, or was lost with an attempt, load order or
        probe in flight.  While the endpoint list is unreachable, the worker may since be a new process
        without any loaded instance.
        """
        if self._safety.readiness.on_connection_lost(now, worker):
            for instance in worker.instances.values():
                instance.loaded = 0

    def _observe_health(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Count the response as a success or a failure of the worker.  A lost connection may be a network
        fault and leaves the instance loaded.  Errors of a function that never ran count against the function,
        so that calls of a function that works nowhere do not eject workers.
        """
        status, function, worker = result.status, attempt.instance.function, attempt.instance.worker
        connection_lost = status in CONNECTION_FAILURES
        function.has_loaded = function.has_loaded or status is AttemptStatus.COMPLETED
        failed = connection_lost or (
            status is AttemptStatus.ERROR and not result.load_failed and function.has_loaded
        )
        if status is AttemptStatus.ERROR and not function.has_loaded:
            self._loads.on_load_failed(now, function)
        request_class = attempt.request.request_class
        if self._outliers.on_response(now, worker, request_class, failed, connection_lost):
            message = f"worker {worker.id} fails often, last {status.value}"
            self._state.decisions.append(LogMessage(message))

    def _on_completed(self, now: float, attempt: Attempt, warm: bool | None) -> float:
        """Update latencies and the concurrency limit.  Return the latency; for a stream, the time until its
        first part.
        """
        request, instance = attempt.request, attempt.instance
        worker = instance.worker
        self._safety.completed(now, worker)
        instance.last_used_at = instance.idle_since = now
        latency_ms = (now if attempt.first_part_at is None else attempt.first_part_at) - attempt.started_at
        self._retry_budget.observe_latency(instance.function, worker, latency_ms)
        self._retry_budget.deposit()
        # A cold instance is slow without congestion.  Where responses do not report whether it was warm, a
        # high latency counts as congestion only if the worker is nearly at its limit.
        congested = warm if warm is not None else 2 * len(worker.attempts) >= worker.concurrency_limit - 1
        if congested and latency_ms > request.request_class.latency_objective_ms / 2:
            worker.concurrency_limit = max(
                MIN_CONCURRENCY_LIMIT, worker.concurrency_limit * CONCURRENCY_DECREASE
            )
        elif len(worker.attempts) >= worker.concurrency_limit / 2:
            worker.concurrency_limit += 1 / worker.concurrency_limit
        return latency_ms

    def _on_refused(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Record that the worker did not run the attempt.  If no other attempts of the function are in flight
        there, the function has no loaded instance at the worker.
        """
        instance, worker = attempt.instance, attempt.instance.worker
        worker.concurrency_limit = max(
            MIN_CONCURRENCY_LIMIT,
            worker.concurrency_limit * (CONCURRENCY_DECREASE if result.foreign_in_flight else 1.0),
        )
        instance.loaded *= result.foreign_in_flight > 0
        if result.status is AttemptStatus.OUT_OF_CAPACITY:
            instance.unavailable_until = now + instance.function.load_ms
        else:
            instance.not_loaded_at = now

    def _observe_congestion(
        self, now: float, attempt: Attempt, latency_ms: float, foreign_in_flight: int
    ) -> None:
        """Update the estimated load that other dispatchers put on the worker, from a completed or refused
        attempt.
        """
        instance, worker = attempt.instance, attempt.instance.worker
        refused = attempt.status is AttemptStatus.OUT_OF_CAPACITY
        if worker.mean_in_flight < MAX_IDLE_IN_FLIGHT:
            late = latency_ms > attempt.request.request_class.latency_objective_ms
            delayed = refused or late
            self._worker_delays.observe(now, worker, delayed)
            # One worker that rejects everything does not mean that the fleet is overloaded: others may be
            # idle.
            if not delayed or not self._worker_delays.is_outlier(now, worker):
                self._queues.observe_worker_delay(instance.function, delayed)
        self._placement.observe_foreign_load(
            now, instance, max(foreign_in_flight, worker.concurrency_limit * refused)
        )
