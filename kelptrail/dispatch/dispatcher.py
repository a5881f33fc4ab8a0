"""Combines all decisions of kelptrail in one `Dispatcher`.

Build the components and a `Dispatcher` from them, pass it each event (`on_request`, `on_attempt_finished`,
`on_load_report` and the other `on_...` methods) and call `on_tick` every `tick_ms`.  After each of these
calls, and at the time `timers.next_due()`, call `decide(now)` until it returns None.  The entities are in
`entities.py`.  `kelptrail/engine` and the gateway embed a dispatcher; the design is in `docs/design.md`.
Times are milliseconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .attempt_results import CONNECTION_FAILURES, AttemptResult, AttemptResults
from .components import Components, DispatcherOptions, DispatchState
from .entities import (
    Attempt,
    AttemptStatus,
    Decision,
    FinalStatus,
    Function,
    Instance,
    LoadOrder,
    OutlierState,
    ReadinessProbe,
    Request,
    TerminationReason,
    Worker,
)
from .function_table import FunctionTable
from .load_results import LoadResults
from .planned_placement import DEMAND_RESERVE, Plan, PlannedPlacement
from .queue_service import QueueService
from .readiness_questions import ReadinessQuestions
from .request_lifecycle import RequestLifecycle
from .second_attempts import SecondAttempts

DEFAULT_LOAD_MS = 1000.0  # assumed while the load time of a function is unknown
INITIAL_CONCURRENCY_LIMIT = 6.0  # applies until attempts have adjusted the limit of the worker


class Dispatcher:
    """Passes each input to the module that handles it, and returns decisions one at a time."""

    tick_ms = 100.0

    def __init__(self, parts: Components, options: DispatcherOptions) -> None:
        self.parts, self.timers = parts, parts.timers
        self._state = state = DispatchState(FunctionTable(options.function_limits))
        self._removed_functions: list[Function] = []
        self._lifecycle = RequestLifecycle(parts, state, options)
        self._loads = LoadResults(parts, state, self._lifecycle)
        self._results = AttemptResults(parts, state, self._lifecycle, self._loads)
        self._second_attempts = SecondAttempts(parts, state, self._lifecycle)
        self._planned = PlannedPlacement(parts, state, self._lifecycle)
        self.questions = ReadinessQuestions(parts, state)
        self._queue_service = QueueService(parts, state, self._lifecycle, self._planned, self.questions)

    @property
    def workers(self) -> list[Worker]:
        """The workers of the endpoint list."""
        return self._state.workers

    @property
    def unproven_functions(self) -> int:
        """The number of known functions that no worker is known to run."""
        return self._state.functions.unproven_count

    # Inputs.

    def on_request(self, now: float, request: Request, count: bool = True) -> None:
        """Accept a request that arrived.  Set `count` to False if an earlier process has counted it, or if
        the caller counts it with `count_request` once it is durable.
        """
        function, functions = request.function, self._state.functions
        if not functions.accepts(request, len(self._state.workers)):
            rejected = self._lifecycle.finish(now, request, TerminationReason.TOO_MANY_FUNCTIONS)
            self._state.decisions.append(rejected)
            if function not in functions:
                self._removed_functions.append(function)
            return
        if count:
            self.count_request(now, request)
        self.questions.on_request()
        function.last_request_at, function.load_ms = now, function.load_ms or DEFAULT_LOAD_MS
        for removed in functions.add(request, len(self._state.workers)):
            self._remove_function(removed)
        function.arrivals[request] = None
        self._state.runnable[function] = None

    def count_request(self, now: float, request: Request) -> None:
        """Count the request for the load ration and its tenant's quota."""
        self.parts.safety.count_request(now, request)
        if request.tenant is not None:
            request.tenant.recent_requests.add(now)

    def on_client_gone(self, request: Request) -> None:
        """Cancel a request whose client no longer waits for an answer.

        An admitted request keeps its place in the queue until it comes to the head.
        """
        request.final_status = request.final_status or FinalStatus.CLIENT_GONE
        self._state.functions.on_request_ended(request)
        request.function.arrivals.pop(request, None)
        self.timers.on_dead_item(_is_ended_request)
        if not request.attempts:
            self.parts.safety.uncount_request(request)
        self._lifecycle.cancel_attempts(request)

    def on_response_started(self, now: float, attempt: Attempt, deadline: float) -> None:
        """Record that the first part of a streamed response arrived, and cancel the request's other attempts.
        From now on only this attempt can complete the request, until `deadline`, whatever the idempotency.
        """
        request = attempt.request
        if request.final_status or request.streaming_attempt or attempt.status:
            return
        request.streaming_attempt, attempt.first_part_at = attempt, now
        attempt.instance.worker.silent_since = now
        self._lifecycle.set_deadline(request, deadline)
        self._lifecycle.cancel_attempts(request, attempt)

    def on_attempt_finished(self, now: float, attempt: Attempt, result: AttemptResult) -> None:
        """Record the result of an attempt, and requeue or end its request."""
        self._results.on_attempt_finished(now, attempt, result)

    def on_load_report(self, now: float, order: LoadOrder, status: AttemptStatus, loaded_count: int) -> None:
        """Record the result of a load order; `loaded_count` instances are now loaded at its worker."""
        self._loads.on_load_report(now, order, status, loaded_count)

    def on_initial_list(self, now: float) -> None:
        """Record that the endpoint list was read from a configuration or a file; its age is unknown."""
        self.parts.safety.readiness.on_initial_list(now)

    def on_list_confirmed(self, now: float) -> None:
        """Record that the source of the endpoint list confirmed it as complete, with or without changes."""
        readiness = self.parts.safety.readiness
        was_in_doubt = readiness.list_is_stale(now) or readiness.assumes_restarts
        readiness.on_list_confirmed(now)
        if was_in_doubt:
            # The list itself reports restarts that happened during the outage.
            for worker in self._state.workers:
                worker.assumed_started_at, worker.next_question_at = None, 0.0
            self.questions.resume_held_queues()

    def on_list_lost(self, now: float) -> None:
        """Record that the connection to the source of the endpoint list broke, or could not be made."""
        self.parts.safety.readiness.on_list_lost(now)

    def on_probe_finished(
        self, now: float, probe: ReadinessProbe, status: AttemptStatus, loaded_count: int = 0
    ) -> None:
        """Record the result of a readiness probe; a load query reports `loaded_count` loaded instances."""
        if status in CONNECTION_FAILURES:
            self._results.on_connection_lost(now, probe.question.instance.worker)
        self.questions.on_probe_finished(now, probe, status, loaded_count)

    def on_endpoints(self, now: float, workers: list[Worker], restarted: Iterable[Worker]) -> None:
        """Apply a changed endpoint list.  `restarted` are workers with a new process under their id: the
        failures and loaded instances of the previous process no longer count.
        """
        state = self._state
        for worker in restarted:
            worker.outlier_state, worker.outlier_state_by_class = OutlierState(), defaultdict(OutlierState)
            for instance in worker.instances.values():
                instance.loaded = 0
        for worker in state.workers:
            if not worker.live:
                for instance in list(worker.instances.values()):
                    state.runnable[instance.function] = None
                    self.parts.instances.remove(instance)
                if worker.removed:
                    self._second_attempts.retry(now, worker.attempts)
        state.workers = [worker for worker in workers if not worker.removed]
        for worker in workers:
            worker.concurrency_limit = worker.concurrency_limit or INITIAL_CONCURRENCY_LIMIT
        self.parts.safety.set_workers(state.workers)

    def on_plan(self, plan: Plan) -> None:
        """Replace the plan of the instances to load ahead of demand; an empty plan cancels it."""
        self._planned.replace_plan(plan)

    def on_tick(self, now: float) -> None:
        """Do the periodic work of one tick, which is due every `tick_ms`."""
        self._planned.start_loads(now)
        self._second_attempts.check_workers(now)
        self._second_attempts.retry_deferred(now)
        self.questions.on_tick(now)
        self._queue_service.resume_queued()
        for removed in self._state.functions.remove_expired(now):
            self._remove_function(removed)

    def terminate(self, now: float, request: Request) -> Request:
        """End a request that a shutdown cannot wait for; return it with its final answer."""
        return self._lifecycle.finish(now, request, TerminationReason.SHUTTING_DOWN)

    # Decisions.

    def may_start(self, now: float, item: Attempt | LoadOrder) -> bool:
        """Return whether the first byte of a decided attempt or load order may still be sent.  Readiness
        questions may always be sent, as they start no work.
        """
        return self.parts.safety.may_start(now, item)

    def decide(self, now: float) -> Decision | None:
        """Return the next decision, or None if there is none until the next input or due time."""
        while (item := self.timers.pop_due(now)) is not None:
            if decision := self._on_timer(now, item):
                return decision
        state = self._state
        if state.decisions:
            return state.decisions.popleft()
        while state.runnable:
            function = next(iter(state.runnable))
            if (decision := self._queue_service.serve(now, function)) is not None:
                return decision
            del state.runnable[function]
        return None

    def _on_timer(self, now: float, item: Instance | Attempt | Request) -> Decision | None:
        """Renew an instance, hedge an attempt or end a request, if that is needed at its due time."""
        if isinstance(item, Instance):
            if self.parts.instances.needs_renewal(now, item):
                return self._lifecycle.start_load(now, item, item.loaded, DEMAND_RESERVE)
            return None
        if isinstance(item, Attempt):
            return self._second_attempts.start_hedge(now, item)
        return self._lifecycle.check_deadline(now, item) if item.final_status is None else None

    def take_removed_functions(self) -> list[Function]:
        """Return the functions that were removed since the last call; the caller must remove them as well.

        Call it after `on_request` and `on_tick`.
        """
        removed, self._removed_functions = self._removed_functions, []
        return removed

    def _remove_function(self, function: Function) -> None:
        """Remove all references to a function that is not in use."""
        for instance in list(function.instances.values()):
            self.parts.instances.remove(instance)
        self._state.runnable.pop(function, None)
        self._queue_service.forget(function)
        self.questions.forget(function)
        self._removed_functions.append(function)


def _is_ended_request(item: Instance | Attempt | Request) -> bool:
    """Return whether the timer of an item has nothing to do: it is a request that has ended."""
    return isinstance(item, Request) and item.final_status is not None
