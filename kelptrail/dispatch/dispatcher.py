"""All decisions of kelptrail, joined.  Build the parts and a `Dispatcher` from them, tell it what happens
(`taken`, `answered`, `told`, `left`, `listed`, `beat`), then pull `decide(now)` until it returns None.  Its
interface is in `terms.py`, due times in `agenda.py`, its host in `kelptrail/engine`, the design in
`docs/design.md`.  Times are milliseconds.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable

from .entities import (
    Attempt,
    AttemptStatus,
    FinalStatus,
    Function,
    Idempotency,
    Instance,
    LoadOrder,
    OutlierState,
    Request,
    TerminationReason,
    Worker,
)
from .instance_table import InstanceTable
from .outlier_detection import OutlierDetector
from .placement import Placement
from .queues import RequestQueues
from .retries import RetryBudget
from .safety import SafetyGuard
from .timer_queue import TimerQueue

Decision = Attempt | LoadOrder | Request | str


class Dispatcher:
    """Joins the parts: inputs update what is known, `decide` hands out one decision after the other."""

    tick_ms = 100.0

    def __init__(
        self,
        safety: SafetyGuard,
        outliers: OutlierDetector,
        placement: Placement,
        copies: InstanceTable,
        queues: RequestQueues,
        timers: TimerQueue,
        cancels: bool,
        longest_return_ms: float,
        attempts: RetryBudget | None = None,
    ) -> None:
        self._safety, self._outliers, self._placement = safety, outliers, placement
        self._retry_budget, self._deferred_retries = attempts or RetryBudget(), deque[Attempt]()
        self._instances, self._queues, self.timers, self.workers = copies, queues, timers, list[Worker]()
        self._can_cancel, self._max_retry_after_ms = cancels, longest_return_ms
        self._pending_decisions, self._active_workers = deque[Decision](), dict[Worker, None]()
        self._runnable, self._queued_functions, self._known_functions = (
            dict[Function, None]() for _ in range(3)
        )
        self._planned_instances, self._planned_queue = (
            dict[Instance, None](),
            deque[Instance](),
        )  # by the plan; those yet to look at

    def on_request(self, now: float, request: Request, anew: bool = True) -> None:
        """`anew` is False for one that a run before counted, or that is `counted` once it is certain."""
        if anew:
            self.count_request(now, request)
        request.function.last_request_at, request.function.load_ms = (
            now,
            request.function.load_ms or 1000.0,
        )  # told, else 1 s
        self._known_functions[request.function] = self._known_functions.pop(
            request.function, None
        )  # the longest not asked for is first
        request.function.arrivals.append(request)
        self._runnable[request.function] = None

    def count_request(self, now: float, request: Request) -> None:
        """It counts as taken, for the ration and its customer's share."""
        self._safety.request_times.append(now)
        if request.tenant is not None:
            request.tenant.request_times.append(now)

    def on_client_gone(self, request: Request) -> None:
        request.final_status = request.final_status or FinalStatus.CLIENT_GONE
        if not request.attempts:
            self._safety.uncount_request(request)
        self._cancel_attempts(request)

    def on_response_started(self, now: float, attempt: Attempt, deadline: float) -> None:
        """The first part of a streamed answer binds it to this send, whatever its effect, till `deadline`."""
        request = attempt.request
        if request.final_status or request.streaming_attempt or attempt.status:
            return
        request.streaming_attempt, attempt.first_part_at, request.deadline = attempt, now, deadline
        attempt.instance.worker.silent_since = now
        self.timers.add(deadline - 5, request)
        self._cancel_attempts(request, attempt)

    def on_attempt_finished(
        self,
        now: float,
        attempt: Attempt,
        status: AttemptStatus,
        over: bool,
        load_failed: bool,
        warm: bool | None,
        foreign_in_flight: int,
        report: dict[str, float] | None,
    ) -> None:
        """How a send ended; `company`: others of the function there; `warm`: None where it is not told."""
        attempt.status = status
        request, instance, worker, function = (
            attempt.request,
            attempt.instance,
            attempt.instance.worker,
            attempt.instance.function,
        )
        worker.attempts.pop(attempt, None)
        instance.in_flight, worker.load_report = instance.in_flight - 1, report or worker.load_report
        cut = status in (
            AttemptStatus.CONNECTION_LOST,
            AttemptStatus.UNREACHABLE,
        )  # maybe the link: it voids no copy
        if cut or status in (
            AttemptStatus.COMPLETED,
            AttemptStatus.ERROR,
            AttemptStatus.OUT_OF_CAPACITY,
            AttemptStatus.NOT_LOADED,
        ):
            function.has_loaded = function.has_loaded or status is AttemptStatus.COMPLETED
            failed = cut or (status is AttemptStatus.ERROR and not load_failed and function.has_loaded)
            if (
                status is AttemptStatus.ERROR and not function.has_loaded
            ):  # guards against calls that nobody can use
                self._on_unloadable(now, function)
            if self._outliers.on_response(now, worker, request.request_class, failed, cut):
                self._pending_decisions.append(f"worker {worker.id} fails often, last {status.value}")
        if status is AttemptStatus.COMPLETED:
            self._safety.completed(now, worker)
            instance.last_used_at = instance.idle_since = now
            took = (
                now if attempt.first_part_at is None else attempt.first_part_at
            ) - attempt.started_at  # of a stream, to its first part
            self._retry_budget.observe_latency(function, worker, took)
            self._retry_budget.deposit()
            crowd = warm if warm is not None else 2 * len(worker.attempts) >= worker.concurrency_limit - 1
            if crowd and took > request.request_class.latency_objective_ms / 2:
                worker.concurrency_limit = max(2.0, worker.concurrency_limit * 0.9)
            elif len(worker.attempts) >= worker.concurrency_limit / 2:
                worker.concurrency_limit += 1 / worker.concurrency_limit
        elif status in (AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.NOT_LOADED):
            worker.concurrency_limit = max(
                2.0, worker.concurrency_limit * (0.9 if foreign_in_flight else 1.0)
            )
            instance.loaded *= (
                foreign_in_flight > 0
            )  # where none of the function runs no copy stands and none fits
            if status is AttemptStatus.OUT_OF_CAPACITY:
                instance.unavailable_until = now + function.load_ms
            else:
                instance.not_loaded_at = now
        if attempt is instance.trial_attempt and status in (
            AttemptStatus.COMPLETED,
            AttemptStatus.NOT_LOADED,
        ):
            self._instances.observe_first_use(status is AttemptStatus.COMPLETED and warm is not False)
            function.examined_at = -1e9
        if status in (AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY):
            if worker.mean_in_flight < 0.3:  # else own windows see to it
                self._queues.observe_worker_delay(
                    function,
                    status is AttemptStatus.OUT_OF_CAPACITY
                    or took > request.request_class.latency_objective_ms,
                )
            self._placement.observe_foreign_load(
                now,
                instance,
                max(foreign_in_flight, worker.concurrency_limit * (status is AttemptStatus.OUT_OF_CAPACITY)),
            )
        if over:
            request.final_status = request.final_status or FinalStatus.COMPLETED
            self._cancel_attempts(request)
        elif request.final_status is None:
            self._requeue(now, request)
        lagging = [f for f in worker.instances if f.queue_depth]
        self._runnable.update(dict.fromkeys(sorted(lagging, key=lambda f: -f.request_class.priority_weight)))
        self._runnable[function] = None

    def on_load_report(self, now: float, order: LoadOrder, status: AttemptStatus, standing: int) -> None:
        instance, order.instance.load_order = order.instance, None
        instance.worker.pending_loads -= 1
        if (
            status is AttemptStatus.OUT_OF_CAPACITY
        ):  # guards against a storm of orders at workers without room
            instance.worker.out_of_capacity_until = now + instance.function.load_ms
        took = now - order.placed_at  # less than a part: copies that stood already, for others
        loaded = status is not AttemptStatus.COMPLETED or took > 0.25 * instance.function.load_ms
        if not instance.loaded and order.placed_at >= instance.not_loaded_at + instance.function.load_ms:
            self._instances.observe_first_use(not loaded)
        if loaded and status is AttemptStatus.COMPLETED:
            instance.function.load_ms += 0.3 * (took - instance.function.load_ms)
        if status in (AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.ERROR):
            self._instances.set_loaded(now, instance, standing)
        else:  # its connection was lost: it may have arrived, and what stood still stands as far as is known
            self._outliers.record(now, instance.worker.outlier_state, True, True)
        if not standing and status not in (AttemptStatus.CONNECTION_LOST, AttemptStatus.NOT_SENT):
            instance.unavailable_until = now + instance.function.load_ms
            self.timers.add(instance.unavailable_until, instance)
            if status is AttemptStatus.ERROR and not instance.function.has_loaded:
                self._on_unloadable(now, instance.function)
        instance.function.has_loaded = instance.function.has_loaded or standing > 0
        self._runnable[instance.function] = None

    def _on_unloadable(self, now: float, function: Function) -> None:
        """It failed to load and never stood: its calls earn no orders, and after a second failure they
        are given up at once.  Guards against functions that do not exist."""
        function.failed_loads += 1
        for request in [*function.arrivals, *function.queue, *function.late_queue]:
            self._safety.uncount_request(request)
            if (
                function.failed_loads > 1
                and request.final_status is None
                and all(attempt.status for attempt in request.attempts)
            ):
                self._pending_decisions.append(
                    self._finish(now, request, TerminationReason.FUNCTION_NOT_LOADABLE)
                )

    def on_endpoints(self, now: float, workers: list[Worker], restarted: Iterable[Worker]) -> None:
        for worker in restarted:
            worker.outlier_state, worker.outlier_state_by_class = OutlierState(), defaultdict(OutlierState)
            for instance in worker.instances.values():
                instance.loaded = 0
        for worker in self.workers:
            if not worker.live:
                for instance in list(worker.instances.values()):
                    self._runnable[instance.function] = None
                    self._instances.remove(instance)
                if worker.removed:
                    self._retry_overdue(now, worker.attempts)
        self.workers = [worker for worker in workers if not worker.removed]
        for worker in workers:
            worker.concurrency_limit = worker.concurrency_limit or 6.0
        self._safety.set_workers(self.workers)

    def on_plan(self, wants: dict[Function, dict[Worker, int]]) -> None:
        """A plan: where copies are wanted ahead, in place of the one before; empty: none.  A hint only: what
        lag asks for goes first and goes further, and each order passes the gate as ever."""
        for instance in self._planned_instances:
            instance.planned_count, instance.function.planned = 0, False
        self._planned_instances = {}
        for function, at in wants.items():
            function.planned = True
            for worker, count in at.items():
                if worker.live and count:
                    instance = self._instances.get_or_add(function, worker)
                    instance.planned_count, self._planned_instances[instance] = count, None
        self._planned_queue = deque(self._planned_instances)

    def _next_planned_load(self, now: float) -> LoadOrder | None:
        """A hold order ahead: half of the ration is left for lag; cold, barred, full workers are left out."""
        for _ in range(min(16, len(self._planned_queue))):  # CPU: a plan of thousands is looked over in turns
            instance, worker = self._planned_queue[0], self._planned_queue[0].worker
            self._planned_queue.rotate(-1)
            if (
                instance.loaded >= instance.planned_count
                or instance.load_order
                or instance.function not in self._known_functions
                or (now < max(instance.unavailable_until, worker.out_of_capacity_until))
            ):
                continue
            if self._safety.capacity_factor(now, worker) < 1 or not self._outliers.usable(
                now, worker, instance.function.request_class
            ):
                continue
            if instance.function.instances.get(worker) is not instance:  # it was forgotten since
                instance.function.instances[worker] = worker.instances[instance.function] = instance
            return self._start_load(now, instance, instance.planned_count, 0.5)
        return None

    def terminate(self, now: float, request: Request) -> Request:
        """The process ends and can wait for it no longer: its final answer."""
        return self._finish(now, request, TerminationReason.SHUTTING_DOWN)

    def may_start(self, now: float, item: Attempt | LoadOrder) -> bool:
        """Whether what was decided may still begin to leave."""
        return self._safety.may_start(now, item)

    def on_tick(self, now: float) -> Function | None:
        """The periodic work; returns a function to forget."""
        while self._planned_queue and (ahead := self._next_planned_load(now)):
            self._pending_decisions.append(ahead)
        for worker in list(self._active_workers):  # CPU: most workers of a large fleet have nothing from here
            worker.mean_in_flight += 0.06 * (len(worker.attempts) - worker.mean_in_flight)
            if not worker.attempts and worker.mean_in_flight < 0.05:
                del self._active_workers[worker]
            elif lost := self._outliers.overdue_attempts(now, worker):
                self._pending_decisions.append(f"worker {worker.id} unusually silent, {len(lost)} out")
                self._retry_overdue(now, lost)
                self._runnable.update(dict.fromkeys(worker.instances))
            worker.suspect = any(attempt.overdue for attempt in worker.attempts)
        parked, self._deferred_retries = self._deferred_retries, deque()
        self._retry_overdue(now, reversed(parked))
        self._runnable.update(self._queued_functions)
        self._queued_functions = {
            function: None for function in self._queued_functions if function.queue_depth
        }
        stale = next(iter(self._known_functions), None)
        if stale is None or now - stale.last_request_at < 60_000 or stale.in_use:
            return None
        for instance in list(stale.instances.values()):
            self._instances.remove(instance)
        del self._known_functions[stale]
        return stale

    def decide(self, now: float) -> Decision | None:
        """The next: a send (or a revoked one to call off), an order, a final answer or a log line."""
        while (item := self.timers.pop_due(now)) is not None:
            if isinstance(item, Instance):
                if self._instances.needs_renewal(now, item) and (
                    order := self._start_load(now, item, item.loaded, 0.5)
                ):
                    return order
            elif isinstance(item, Attempt):
                if hedge := self._start_hedge(now, item):
                    return hedge
            elif item.final_status is None and (ended := self._check_deadline(now, item)):
                return ended
        if self._pending_decisions:
            return self._pending_decisions.popleft()
        while self._runnable:
            function = next(iter(self._runnable))
            if (decision := self._serve_function(now, function)) is not None:
                return decision
            del self._runnable[function]
        return None

    def _serve_function(self, now: float, function: Function) -> Decision | None:
        if not (function.arrivals or function.queue_depth) and (
            function.target_worker_count < 2 or now < function.examined_at + function.load_ms
        ):
            function.queued_since = None  # CPU: most answers leave nothing to decide
            return None
        held = loading = count = homes = 0  # lanes held or loading; copies that stand or load, and where
        for instance in function.instances.values():
            worker, extra = (
                instance.worker,
                max(0, instance.load_order.count - instance.loaded) if instance.load_order else 0,
            )
            usable = not (
                worker.outlier_state.ejection_ms
                or worker.outlier_state_by_class[function.request_class].ejection_ms
                or worker.suspect
            )
            usable = usable and self._safety.has_budget(now, worker)
            room = max(0, int(worker.concurrency_limit) - len(worker.attempts))
            held += min(instance.loaded * function.concurrency, instance.in_flight + room) * usable
            if (
                usable
                and instance.load_order
                and now - instance.load_order.placed_at < 1.5 * function.load_ms
            ):
                loading += extra * function.concurrency
            count += instance.loaded * usable + extra
            homes += instance.loaded + extra > 0
        while function.arrivals:
            if (request := function.arrivals.popleft()).final_status:
                continue
            if self._queues.over_limit(now, request, held + loading):
                return self._finish(now, request, TerminationReason.OVERLOAD)
            if now >= self._queues.latest_start(request):
                return self._finish(now, request, TerminationReason.INSUFFICIENT_TIME)
            function.queue.append(request)
            request.queued = True
            self._check_deadline(now, request)
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
                    return self._finish(now, request, reason)
                continue
            if (
                queue is function.queue
                and now + 0.5 * function.mean_latency_ms
                > request.received_at + request.request_class.latency_objective_ms
            ):
                function.late_queue.append(queue.popleft())
                continue
            if (instance := self._placement.find_slot(now, request, queue is function.late_queue)) is None:
                break
            return self._start_attempt(now, request, instance)
        if function.queue_depth:
            self._queued_functions[function] = None
            wanted, pause = function.queue_depth > held + loading, 25.0
        else:  # crowded copies count as lag
            function.queued_since = None
            wanted, pause = 0 < homes < int(function.target_worker_count), function.load_ms
        if not wanted or now < function.examined_at + pause:  # CPU: it looks for a worker only so often
            return None
        function.examined_at = now
        return self._add_instance(now, function, count)

    def _add_instance(self, now: float, function: Function, count: int) -> Decision | None:
        worker, room = self._planned_worker(now, function) or self._placement.choose_worker(
            now, function, self.workers
        )
        if (
            worker is None
            or count >= self._queues.instance_limit(now, function, room)
            or ((instance := self._instances.get_or_add(function, worker)).load_order)
        ):
            return None
        new = bool(
            function.queue_depth
            and not instance.loaded
            and (function.has_loaded or not function.failed_loads)
        )
        new = new and now >= instance.not_loaded_at + function.load_ms
        if new and self._instances.shared_ratio > 0.5 and (attempt := self._trial_attempt(now, instance)):
            return attempt
        if (order := self._start_load(now, instance, instance.loaded + 1)) is None:
            missed = sum(now < other.unavailable_until for other in function.instances.values())
            if now < instance.not_loaded_at + function.load_ms:
                instance.unavailable_until = instance.not_loaded_at + function.load_ms
            elif (
                new
                and missed < function.target_worker_count
                and (attempt := self._trial_attempt(now, instance))
            ):
                return attempt
            if not instance.loaded and not instance.in_flight and now >= instance.unavailable_until:
                self._instances.remove(instance)
        return order

    def _trial_attempt(self, now: float, instance: Instance) -> Attempt | None:
        """The first that waits goes to a copy that mostly stands for others; a miss has it ordered.  Guards
        against spending a small ration on asking for what stands, and starving behind it."""
        self._instances.set_loaded(now, instance, 1)
        instance.trial_attempt = self._start_attempt(
            now, (instance.function.queue or instance.function.late_queue)[0], instance
        )
        instance.loaded = int(instance.trial_attempt is not None)
        return instance.trial_attempt

    def _planned_worker(self, now: float, function: Function) -> tuple[Worker, bool] | None:
        """Where a plan has places left.  Guards against every dispatcher loading its own after a release."""
        if function.planned:
            for instance in function.instances.values():
                if (
                    instance.loaded < instance.planned_count
                    and not instance.load_order
                    and now >= max(instance.unavailable_until, instance.worker.out_of_capacity_until)
                    and (self._outliers.usable(now, instance.worker, function.request_class))
                ):
                    return instance.worker, True
        return None

    def _start_load(self, now: float, instance: Instance, count: int, spare: float = 0.0) -> LoadOrder | None:
        instance.load_order = self._safety.start_load(now, instance, count, spare)
        instance.worker.pending_loads += instance.load_order is not None
        return instance.load_order

    def _start_attempt(self, now: float, request: Request, instance: Instance) -> Attempt | None:
        if attempt := self._safety.start_attempt(now, request, instance):
            (request.function.queue or request.function.late_queue).popleft()
            request.queued = False
            instance.worker.silent_since = instance.worker.silent_since if instance.worker.attempts else now
            instance.worker.attempts[attempt] = self._active_workers[instance.worker] = None
            instance.in_flight, instance.last_used_at = instance.in_flight + 1, now
            if request.request_class.hedged and request.function.mean_latency_ms:
                self.timers.add(
                    now + self._retry_budget.hedge_delay(request.function, instance.worker), attempt
                )
        return attempt

    def _start_hedge(self, now: float, first: Attempt) -> Attempt | None:
        """A second send beside one that is out unusually long: only to a free lane, so it adds no lag."""
        request = first.request
        if (
            first.status
            or first.overdue
            or request.queued
            or request.function.queue_depth
            or not self._safety.accepts_attempt(now, request)
            or (
                now >= self._queues.latest_start(request)
                or (instance := self._placement.find_slot(now, request, True)) is None
            )
            or (not self._retry_budget.try_spend())
        ):
            return None
        request.queued = True
        request.function.queue.append(request)
        return self._start_attempt(now, request, instance)

    def _finish(self, now: float, request: Request, reason: TerminationReason) -> Request:
        """Given up: at once, and a rejection names when what it lacked may stand."""
        request.reason = reason
        return_ms = min(self._max_retry_after_ms, request.function.load_ms)
        again = self._safety.finish(now, request, return_ms).final_status is FinalStatus.REJECTED
        request.retry_after_ms = return_ms if again else 0.0
        return request

    def _check_deadline(self, now: float, request: Request) -> Request | None:
        """Looks again when its time is up.  Guards against holding what can be sent no more behind others."""
        until = (
            min(self._queues.latest_start(request), self._safety.retry_closes_at(request))
            if request.queued
            else now
        )
        if now >= request.deadline - 5 or (
            request.queued and now >= until and all(s.status for s in request.attempts)
        ):
            return self._finish(now, request, TerminationReason.DEADLINE_EXCEEDED)
        self.timers.add(until if until > now else request.deadline - 5, request)
        return None

    def _requeue(self, now: float, request: Request) -> None:
        if request.queued:
            return
        if self._safety.accepts_attempt(now, request) and now < self._queues.latest_start(request):
            request.queued = True
            request.function.queue.appendleft(request)
            self._check_deadline(now, request)
            self._runnable[request.function] = None
        elif all(attempt.status for attempt in request.attempts):
            self._pending_decisions.append(self._finish(now, request, TerminationReason.ATTEMPTS_EXHAUSTED))

    def _retry_overdue(self, now: float, attempts: Iterable[Attempt]) -> None:
        for attempt in reversed(list(attempts)):
            if (
                attempt.status
                or attempt.request.final_status
                or attempt.cancelled
                or attempt.request.request_class.idempotency is Idempotency.AT_MOST_ONCE
            ):
                continue
            if self._safety.accepts_attempt(now, attempt.request):
                if attempt.request.queued or self._retry_budget.try_spend():
                    self._requeue(now, attempt.request)
                else:
                    self._deferred_retries.append(attempt)  # until the budget has room again
            elif sum(s.status is None for s in attempt.request.attempts) == 1:
                self._cancel_attempts(attempt.request)  # only one send at a time: its end makes the way free

    def _cancel_attempts(self, request: Request, but: Attempt | None = None) -> None:
        for attempt in request.attempts:
            if self._can_cancel and attempt is not but and attempt.status is None and not attempt.cancelled:
                attempt.cancelled = True
                self._pending_decisions.append(attempt)
