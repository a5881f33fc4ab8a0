"""Updates the state of a dispatcher with the result of each attempt.  Times are milliseconds."""

from __future__ import annotations

from typing import NamedTuple

from .components import Components, DispatchState
from .entities import LONG_AGO, Attempt, AttemptStatus, FinalStatus, LogMessage, Worker
from .load_results import LoadResults
from .request_lifecycle import RequestLifecycle
from .worker_delays import WorkerDelays

MIN_CONCURRENCY_LIMIT = 2.0  # a worker is always allowed two attempts at once
# A completed attempt that took longer than half of its latency objective, probably because of congestion,
# multiplies the concurrency limit by this factor.  So does an attempt that found the worker out of capacity
# or the function not loaded, if attempts of other dispatchers were in flight.  Any other completed attempt
# adds 1 / limit if at least about half of the limit is in use, so that a number of attempts equal to the
# limit raises it by about one.
CONCURRENCY_DECREASE = 0.9
# Late and refused attempts show that the fleet is overloaded only at workers whose mean number of attempts in
# flight is lower than this.  At busier workers, delays lower the concurrency limit instead.  Attempts in time
# at busier workers show that the fleet is not overloaded only while there are few delays at idle workers.  If
# they never did, a worker that refuses a few attempts, and is idle because of that, would cause requests to
# be shed although busier workers complete theirs in time.
MAX_IDLE_IN_FLIGHT = 0.3

CONNECTION_FAILURES = (AttemptStatus.CONNECTION_LOST, AttemptStatus.UNREACHABLE)
# Statuses that show whether the worker is healthy.
_HEALTH_STATUSES = frozenset(
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
    request_done: bool  # no other attempt is needed: the request has ended, or this attempt completed it
    load_failed: bool = False  # the error came from loading the function
    # Whether an instance was loaded when the attempt arrived; None if the response does not report it.
    warm: bool | None = None
    foreign_in_flight: int = 0  # attempts of other dispatchers for the function at the worker
    load_report: dict[str, float] | None = None


class AttemptResults:
    """Records the result of each finished attempt, and requeues or ends its request."""

    def __init__(
        self, parts: Components, state: DispatchState, lifecycle: RequestLifecycle, loads: LoadResults
    ) -> None:
        self._safety, self._outliers, self._placement = parts.safety, parts.outliers, parts.placement
        self._instances, self._queues, self._retry_budget = parts.instances, parts.queues, parts.retry_budget
        self._state, self._lifecycle, self._loads = state, lifecycle, loads
        self._worker_delays = WorkerDelays()

    def on_attempt_finished(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Update the worker, the instance and the function.  Then cancel the request's other
        attempts if it is done; else requeue or end it, unless it has a final status.
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
        if status in _HEALTH_STATUSES:
            self._observe_health(now, attempt, result)
        latency_ms = 0.0
        if status is AttemptStatus.COMPLETED:
            latency_ms = self._on_completed(now, attempt, result.warm)
        elif status in (AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.NOT_LOADED):
            self._on_not_run(now, attempt, result)
        if attempt is instance.trial_attempt and status in (
            AttemptStatus.COMPLETED,
            AttemptStatus.NOT_LOADED,
        ):
            self._instances.observe_first_use(status is AttemptStatus.COMPLETED and result.warm is not False)
            function.searched_at = LONG_AGO  # the next search for a worker need not wait
        if status in (AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY):
            self._observe_congestion(now, attempt, latency_ms, result.foreign_in_flight)
        if result.request_done:
            request.final_status = request.final_status or FinalStatus.COMPLETED
            self._state.functions.on_request_ended(request)
            self._lifecycle.cancel_attempts(request)
        elif request.final_status is None:
            self._lifecycle.requeue(now, request)
        queued_functions = [queued for queued in worker.instances if queued.queue_depth]
        queued_functions.sort(key=lambda queued: -queued.request_class.priority_weight)
        self._state.runnable.update(dict.fromkeys(queued_functions))
        self._state.runnable[function] = None

    def on_connection_lost(self, now: float, worker: Worker) -> None:
        """Record that a connection to the worker could not be established, or was lost with an attempt or
        probe in flight.  If the endpoint list may be unreachable, the worker may have restarted without a
        report; it then counts as having no loaded instance.
        """
        if self._safety.readiness.on_connection_lost(now, worker):
            for instance in worker.instances.values():
                instance.loaded = 0

    def _observe_health(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Count the outcome as a success or a failure of the worker.  A lost connection counts as a failure,
        although the network may be at fault.  A failed load does not, and neither does an error of a function
        that no worker has run or loaded yet: that error counts against the function, so that calls of a
        function that works nowhere do not eject workers.
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
        """Update the latencies, the retry budget and the concurrency limit.  Return the latency in ms; for a
        streamed response, this is the time until its first part.
        """
        request, instance = attempt.request, attempt.instance
        worker = instance.worker
        self._safety.completed(now, worker)
        instance.last_used_at = instance.idle_since = now
        latency_ms = (now if attempt.first_part_at is None else attempt.first_part_at) - attempt.started_at
        self._retry_budget.observe_latency(instance.function, worker, latency_ms)
        self._retry_budget.deposit()
        # An instance that had to be loaded is slow without congestion.  If the response does not report this,
        # a high latency counts as congestion only if at least about half of the limit is in use.
        may_be_congested = (
            warm if warm is not None else 2 * len(worker.attempts) >= worker.concurrency_limit - 1
        )
        if may_be_congested and latency_ms > request.request_class.latency_objective_ms / 2:
            worker.concurrency_limit = max(
                MIN_CONCURRENCY_LIMIT, worker.concurrency_limit * CONCURRENCY_DECREASE
            )
        elif len(worker.attempts) >= worker.concurrency_limit / 2:
            worker.concurrency_limit += 1 / worker.concurrency_limit
        return latency_ms

    def _on_not_run(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Record that the worker was out of capacity or had no loaded instance.  If no attempts of other
        dispatchers for the function are in flight there, the function counts as having no loaded instance at
        the worker.
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
        """Update the share of admitted requests and the estimated load from other dispatchers, after a
        completed or refused attempt.  A late or refused attempt lowers the share only at an idle worker.  An
        attempt in time raises it at an idle worker, and at a busier one while there are few delays.
        """
        instance, worker = attempt.instance, attempt.instance.worker
        refused = attempt.status is AttemptStatus.OUT_OF_CAPACITY
        late = latency_ms > attempt.request.request_class.latency_objective_ms
        shows_overload = refused or late
        if worker.mean_in_flight < MAX_IDLE_IN_FLIGHT:
            self._worker_delays.observe(now, worker, shows_overload)
            # One worker that delays or refuses many attempts does not mean that the fleet is overloaded:
            # others may be idle.
            if not shows_overload or not self._worker_delays.is_outlier(now, worker):
                self._queues.observe_worker_delay(instance.function, shows_overload)
        elif not shows_overload and self._worker_delays.are_few(now):
            self._queues.observe_worker_delay(instance.function, False)
        # A refused attempt counts as if attempts of other dispatchers filled the concurrency limit.
        self._placement.observe_foreign_load(
            now, instance, max(foreign_in_flight, worker.concurrency_limit * refused)
        )
