"""Serves the queue of a function: admits or rejects requests, starts attempts, and adds instances.

An instance is added if more requests are queued than there are slots, loads in progress included, or if other
dispatchers keep the function's instances busy.
Times are milliseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from .components import Components, DispatchState
from .entities import Attempt, Decision, Function, Instance, ReadinessQuestion, Request, TerminationReason
from .planned_placement import PlannedPlacement
from .readiness_questions import ReadinessQuestions
from .request_lifecycle import RequestLifecycle

SEARCH_PAUSE_MS = 25.0  # saves CPU: minimum time between two searches for a worker for a queued function
LOAD_TIMEOUT_FACTOR = 1.5  # a load in progress counts as future slots for this multiple of the load time
# A request is late if less than this share of the mean latency is left until its latency objective passes.
LATE_SHARE = 0.5
TRIAL_RATIO = 0.5  # above this `InstanceTable.shared_ratio`, a trial attempt is sent before a load order


class Supply(NamedTuple):
    """Capacity of the instances of a function, now and after the loads in progress."""

    loaded_slots: int  # concurrency slots of loaded instances, free or used by this dispatcher
    loading_slots: int  # concurrency slots of instances that are being loaded
    instance_count: int  # instances that are usable or being loaded
    worker_count: int  # workers with an instance loaded or being loaded


class QueueService:
    """Makes the decisions that the queue of a function needs, one function at a time."""

    def __init__(
        self,
        parts: Components,
        state: DispatchState,
        lifecycle: RequestLifecycle,
        planned: PlannedPlacement,
        questions: ReadinessQuestions,
    ) -> None:
        self._safety, self._placement = parts.safety, parts.placement
        self._instances, self._queues = parts.instances, parts.queues
        self._state, self._lifecycle, self._planned, self._questions = state, lifecycle, planned, questions
        self._queued_functions: dict[Function, None] = {}

    def resume_queued(self) -> None:
        """Mark the functions whose requests were left in the queue as runnable, so that `serve` is called."""
        self._state.runnable.update(self._queued_functions)
        self._queued_functions = {
            function: None for function in self._queued_functions if function.queue_depth
        }

    def forget(self, function: Function) -> None:
        """Remove a function that is no longer known."""
        self._queued_functions.pop(function, None)

    def serve(self, now: float, function: Function) -> Decision | None:
        """Return the next decision about the function, or None if it needs none now."""
        # Without requests, and without the need to search for another worker now, there is nothing to decide.
        # This is so after most responses, and returning here saves CPU.
        if not (function.arrivals or function.queue_depth) and (
            function.target_worker_count < 2 or now < function.searched_at + function.load_ms
        ):
            function.queued_since = None
            return None
        supply = self._supply(now, function)
        expected_slots = supply.loaded_slots + supply.loading_slots
        if function.arrivals and (rejected := self._admit(now, function, expected_slots)):
            return rejected
        if function.queue_depth and (decision := self._serve_queue(now, function)):
            return decision
        if function.queue_depth:
            self._queued_functions[function] = None
            needs_instance, pause_ms = function.queue_depth > expected_slots, SEARCH_PAUSE_MS
        else:
            # The function may need more workers without a queue here, if other dispatchers keep its instances
            # busy.
            function.queued_since = None
            needs_instance = 0 < supply.worker_count < int(function.target_worker_count)
            pause_ms = function.load_ms
        if not needs_instance or now < function.searched_at + pause_ms:
            return None
        function.searched_at = now
        return self._add_instance(now, function, supply.instance_count)

    def _supply(self, now: float, function: Function) -> Supply:
        """Count the slots, instances and workers of the function.

        Slots and loaded instances do not count at a worker that is suspect, has not recovered from an
        ejection, or has used up its slow-start budget.  While the endpoint list is stale and no probe is
        allowed, they do not count at a worker of unknown readiness either: nothing may be sent there, so no
        answer can prove its readiness.  `worker_count` includes all these workers.
        """
        loaded_slots = loading_slots = instance_count = worker_count = 0
        concurrency, request_class = function.concurrency, function.request_class
        readiness = self._safety.readiness
        stale_without_probes = not readiness.probe_kinds and readiness.list_is_stale(now)
        for instance in function.instances.values():
            worker, order = instance.worker, instance.load_order
            loading_count = max(0, order.count - instance.loaded) if order else 0
            usable = not (
                worker.outlier_state.ejection_ms
                or worker.outlier_state_by_class[request_class].ejection_ms
                or worker.suspect
            )
            usable = usable and self._safety.has_budget(now, worker)
            usable = usable and (not stale_without_probes or readiness.is_known(now, worker))
            free = max(0, int(worker.concurrency_limit) - len(worker.attempts))
            loaded_slots += min(instance.loaded * concurrency, instance.in_flight + free) * usable
            if usable and order and now - order.placed_at < LOAD_TIMEOUT_FACTOR * function.load_ms:
                loading_slots += loading_count * concurrency
            instance_count += instance.loaded * usable + loading_count
            worker_count += instance.loaded + loading_count > 0
        return Supply(loaded_slots, loading_slots, instance_count, worker_count)

    def _admit(self, now: float, function: Function, expected_slots: int) -> Request | None:
        """Move arrivals into the queue until one is rejected; return that one, or None.  `expected_slots`
        includes the slots of instances that are being loaded.
        """
        while function.arrivals:
            request = next(iter(function.arrivals))
            del function.arrivals[request]
            if request.final_status:
                continue
            if self._queues.over_limit(now, request, expected_slots):
                return self._lifecycle.finish(now, request, TerminationReason.OVERLOAD)
            if now >= self._queues.latest_start(request):
                return self._lifecycle.finish(now, request, TerminationReason.INSUFFICIENT_TIME)
            if self._no_worker_can_prove_readiness(now):
                return self._lifecycle.finish(now, request, TerminationReason.READINESS_UNKNOWN)
            function.queue.append(request)
            request.queued = True
            self._lifecycle.check_deadline(now, request)
        return None

    def _no_worker_can_prove_readiness(self, now: float) -> bool:
        """Return whether the endpoint list is stale, no probe is allowed, and no live worker has proven its
        readiness by a recent answer.
        """
        readiness = self._safety.readiness
        if not readiness.list_is_stale(now) or readiness.probe_kinds:
            return False
        return not any(readiness.is_known(now, worker) for worker in self._state.workers if worker.live)

    def _serve_queue(self, now: float, function: Function) -> Attempt | ReadinessQuestion | Request | None:
        """Return the next attempt.  Return a readiness question instead if its worker has to be asked first
        whether it accepts new work, or a request that has ended because it can have no further attempt.
        Return None if no request is queued or none of these is possible now.
        """
        while queue := function.queue or function.late_queue:
            request = queue[0]
            if (
                request.final_status
                or not self._safety.accepts_attempt(now, request)
                or now >= self._queues.latest_start(request)
            ):
                queue.popleft()
                request.queued = False
                if not request.final_status and all(attempt.status for attempt in request.attempts):
                    in_time = now < self._queues.latest_start(request)
                    reason = (
                        TerminationReason.ATTEMPTS_EXHAUSTED
                        if in_time
                        else TerminationReason.INSUFFICIENT_TIME
                    )
                    return self._lifecycle.finish(now, request, reason)
                continue
            if (
                queue is function.queue
                and now + LATE_SHARE * function.mean_latency_ms
                > request.received_at + request.request_class.latency_objective_ms
            ):
                function.late_queue.append(queue.popleft())
                continue
            if (instance := self._placement.find_slot(now, request, queue is function.late_queue)) is None:
                return self._query_or_finish(now, request, queue is function.late_queue)
            return self._lifecycle.start_attempt(now, request, instance)
        return None

    def _query_or_finish(
        self, now: float, request: Request, late: bool
    ) -> ReadinessQuestion | Request | None:
        """Handle a request for which no slot was found.  If the endpoint list is stale, end the request if no
        worker can prove its readiness and no attempt of the request is in flight; otherwise query a worker
        with a free slot for its readiness.  Return None if the list is not stale or nothing can be done now.
        """
        if not self._safety.readiness.list_is_stale(now):
            return None
        if self._no_worker_can_prove_readiness(now) and all(attempt.status for attempt in request.attempts):
            function = request.function
            (function.late_queue if late else function.queue).popleft()
            request.queued = False
            return self._lifecycle.finish(now, request, TerminationReason.READINESS_UNKNOWN)
        instance = self._placement.find_unproven_slot(now, request, late)
        return None if instance is None else self._questions.create(now, request.function, instance.worker)

    def _add_instance(self, now: float, function: Function, instance_count: int) -> Decision | None:
        """Load another instance, or send an attempt to find out whether one is already loaded.  Return a
        readiness question instead if the readiness of the worker is not known.  `instance_count` is the
        number of instances that are usable or being loaded.
        """
        choice = self._planned.planned_worker(now, function) or self._placement.choose_worker(
            now, function, self._state.workers
        )
        if choice.worker is None:
            if self._safety.readiness.list_is_stale(now):
                self._questions.hold_queue(function)
            return None
        if instance_count >= self._queues.instance_limit(now, function, choice.below_mean_load):
            return None
        if not self._safety.readiness.is_known(now, choice.worker):
            return self._questions.create(now, function, choice.worker)
        if (instance := self._instances.get_or_add(function, choice.worker)).load_order:
            return None
        # A trial attempt needs a queued request.  It is useful only if another dispatcher may have loaded the
        # instance: the function is loadable as far as known, and no recent attempt found it not loaded here.
        may_try = bool(
            function.queue_depth
            and not instance.loaded
            and (function.has_loaded or not function.failed_loads)
            and now >= instance.not_loaded_at + function.load_ms
        )
        if (
            may_try
            and self._instances.shared_ratio > TRIAL_RATIO
            and (attempt := self._trial_attempt(now, instance))
        ):
            return attempt
        if order := self._lifecycle.start_load(now, instance, instance.loaded + 1):
            return order
        return self._try_without_load_order(now, instance, may_try)

    def _try_without_load_order(self, now: float, instance: Instance, may_try: bool) -> Attempt | None:
        """Handle a load order that is not allowed now.

        If an attempt found the instance not loaded within the last load time, the instance is unavailable
        until one load time after that.  Otherwise send a trial attempt if `may_try` is set and the number of
        unavailable instances of the function is below the number of workers that share its load.  Without an
        attempt, remove the instance if it is not loaded, not in use and not unavailable.
        """
        function = instance.function
        if now < instance.not_loaded_at + function.load_ms:
            instance.unavailable_until = instance.not_loaded_at + function.load_ms
        elif may_try:
            unavailable_count = sum(now < other.unavailable_until for other in function.instances.values())
            if unavailable_count < function.target_worker_count and (
                attempt := self._trial_attempt(now, instance)
            ):
                return attempt
        if not instance.loaded and not instance.in_flight and now >= instance.unavailable_until:
            self._instances.remove(instance)
        return None

    def _trial_attempt(self, now: float, instance: Instance) -> Attempt | None:
        """Send the first queued request, without a load order, to an instance that another dispatcher may
        have loaded.  This saves load orders, whose ration may be small or used up.  If the instance turns out
        not to be loaded, the next search may order the load.
        """
        function = instance.function
        # The instance counts as loaded during the trial, and its renewal timer is set.
        self._instances.set_loaded(now, instance, 1)
        request = (function.queue or function.late_queue)[0]
        instance.trial_attempt = self._lifecycle.start_attempt(now, request, instance)
        instance.loaded = int(instance.trial_attempt is not None)
        return instance.trial_attempt
