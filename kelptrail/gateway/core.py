"""The gateway core: requests from submission to their one final answer, free of I/O and clocks.

Inputs (`submit`, `on_attempt_finished`, `on_load_report`, `on_client_gone`, `on_endpoints`) update the state and inform
the dispatcher; the host then calls `next_effect(now)` until it returns None and carries each effect out.  Each request
has one `FinalAnswer`.  Nothing is decided here: attempts, load orders and rejections come from `kelptrail.dispatch`.
All times are milliseconds by the caller's clock, `wall` is wall time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    Decision,
    FinalStatus,
    Function,
    LoadOrder,
    ReadinessQuestion,
    Request,
    Worker,
)
from kelptrail.membership.members import EndpointList
from kelptrail.store.activation_journal import ActivationEntries
from kelptrail.store.group_commit import GroupCommit

from .admission import RequestAdmission, RequestRejection, Submission
from .attempts import Attempts
from .build import DispatcherParts
from .completion import RequestCompletion
from .counters import FunctionCounters
from .durability import DurabilityWriter
from .effects import AskWorker, CancelReason, Effect, LogEvent, StartLoad
from .invocation import Invocation
from .lifecycle import RequestStage
from .limits import RETRY_AFTER_MS
from .readiness import WorkerReadiness
from .records import Record, ReplicatedJournal
from .recovery import RestartRecovery
from .state import GatewayState
from .streaming import ResponseStreams

CLIENT_GONE = b'{"error":"The client went away before the answer."}'
COLD_COUNT_INTERVAL_MS = 1000.0  # how often warming-up workers are counted
NEVER_MS = -1e18


class Gateway:
    """All requests that one dispatcher holds.

    Requests that outlive the process (deferred ones, and those with an idempotency key) go through a journal.  What
    must be durable before a step is kept by each one's `RequestLifecycle`.
    """

    def __init__(self, parts: DispatcherParts, boot: str, journal: GroupCommit | None = None) -> None:
        self._parts, self._dispatcher = parts, parts.dispatcher
        self.state = state = GatewayState(parts, boot)
        self.limits, self.overload, self.members = state.limits, state.overload, state.members
        self.records, self.counts = state.records, state.counts
        self.durability = DurabilityWriter(state, journal)
        self._recovery = RestartRecovery(state, self.durability)
        self._completion = RequestCompletion(state, self.durability, self._recovery)
        self._admission = RequestAdmission(state, self.durability, boot)
        self._attempts = Attempts(state, self.durability, self._completion)
        self._streams = ResponseStreams(state)
        self.readiness = WorkerReadiness(self._dispatcher)
        self.records.on_drop = self._on_record_dropped
        self._slow_start_ms = parts.deployment.rules.slow_start_ms
        self._next_tick_at = self._next_cold_count_at = NEVER_MS

    @property
    def in_flight(self) -> int:
        """Activations without a final answer."""
        return self.records.in_flight()

    # Requests.

    def on_connect(self, now: float, namespace: str, path: str, size: int, mark: str) -> RequestRejection | None:
        """See `RequestAdmission.on_connect`."""
        return self._admission.on_connect(now, namespace, path, size, mark)

    def submit(
        self, now: float, wall: float, submission: Submission, waiter: Callable[[Record], None] | None = None
    ) -> Invocation:
        """See `RequestAdmission.submit`."""
        return self._admission.submit(now, wall, submission, waiter)

    def find_by_key(self, namespace: str, path: str, key: str, digest: str) -> Record | None:
        """See `IdempotencyKeys.find`.  Raises `KeyConflictError`."""
        return self.state.keys.find(namespace, path, key, digest)

    def has_record(self, what: str) -> bool:
        """Whether a record is here, by its id, or as `key:NAMESPACE/ACTION/KEY` by its idempotency key."""
        if not what.startswith("key:"):
            return self.records.has(what)
        namespace, _, path_and_key = what.removeprefix("key:").partition("/")
        return self.state.keys.has(namespace, path_and_key, self._parts.deployment.actions)

    def in_flight_of(self, id_: str) -> Invocation | None:
        """The request in flight with this activation id."""
        return self.state.invocations_by_id.get(id_)

    def remove_waiter(self, record: Record, waiter: Callable[[Record], None]) -> None:
        """Do not notify `waiter` of the final answer any more."""
        invocation = self.state.invocations_by_id.get(record.id)
        if invocation is not None and waiter in invocation.waiters:
            invocation.waiters.remove(waiter)

    def on_client_gone(self, now: float, invocation: Invocation) -> None:
        """The client of a blocking request has gone away before its final answer."""
        if invocation.record.final:
            return
        self._dispatcher.on_client_gone(invocation.request)
        self._completion.finish(now, invocation, FinalStatus.FAILED, CLIENT_GONE)
        self.state.settle(invocation.request)

    # Durability.

    def accepts_deferred(self) -> bool:
        """Whether a deferred request could be made durable now."""
        return self.durability.accepts_deferred()

    def when_durable(self, invocation: Invocation, done: Callable[[bool | None], None]) -> None:
        """See `DurabilityWriter.when_durable`."""
        self.durability.when_durable(invocation, done)

    def make_durable(self, now: float, invocation: Invocation) -> None:
        """See `DurabilityWriter.make_durable`."""
        self.durability.make_durable(invocation)

    def on_became_primary(self, journal: ReplicatedJournal) -> None:
        """See `DurabilityWriter.on_became_primary`."""
        self.durability.on_became_primary(journal)

    def release(self, journal: ReplicatedJournal) -> int:
        """See `RestartRecovery.release`."""
        return self._recovery.release(journal)

    def recover(
        self,
        now: float,
        wall: float,
        activations: Iterable[ActivationEntries],
        min_run_ms: float,
        max_concurrent: int,
        journal: ReplicatedJournal | None = None,
    ) -> dict[str, int]:
        """See `RestartRecovery.recover`."""
        return self._recovery.recover(now, wall, activations, min_run_ms, max_concurrent, journal)

    def _on_record_dropped(self, record: Record) -> None:
        self.state.keys.remove(record)
        self.durability.forget(record)

    # Workers.

    def on_attempt_finished(
        self, now: float, attempt: Attempt, status: AttemptStatus, answer: WorkerAnswer | None = None
    ) -> None:
        """See `Attempts.on_finished`.  Raises `AttemptAlreadyEndedError`."""
        self._attempts.on_finished(now, attempt, status, answer)

    def on_response_part(self, now: float, attempt: Attempt, data: bytes) -> None:
        """See `ResponseStreams.on_part`."""
        self._streams.on_part(now, attempt, data)

    def set_reading(self, now: float, invocation: Invocation, reading: bool) -> None:
        """See `ResponseStreams.set_reading`."""
        self._streams.set_reading(now, invocation, reading)

    def on_load_report(self, now: float, order: LoadOrder, status: AttemptStatus, loaded: int) -> None:
        """A load order has ended; `loaded`: how many instances the worker has."""
        self._dispatcher.on_load_report(now, order, status, loaded)

    def on_endpoints(self, now: float, listing: EndpointList) -> None:
        """The endpoint list has changed."""
        workers, restarted = self.members.apply(now, listing)
        self._dispatcher.on_endpoints(now, workers, restarted)
        self.members.remove_departed()

    # The planner.

    def on_plan(self, wants: Mapping[str, Mapping[str, int]] | None) -> None:
        """A plan's instances by model and worker, in place of the plan before; None: there is no plan."""
        workers = {worker.id: worker for worker in self.members}
        planned: dict[Function, dict[Worker, int]] = {}
        for model, counts in (wants or {}).items():
            if (path := self._parts.paths.get(model)) is not None:
                planned[self._parts.function(path)] = {workers[w]: count for w, count in counts.items() if w in workers}
        self._dispatcher.on_plan(planned)

    def counters(self) -> dict[str, FunctionCounters]:
        """The counters by model since the last call."""
        return self.state.take_counters()

    def loaded_instances(self) -> dict[str, dict[str, int]]:
        """How many instances the dispatcher believes to be loaded, by model and worker."""
        loaded: dict[str, dict[str, int]] = {}
        for worker in self.members:
            for function, instance in worker.instances.items():
                if instance.loaded:
                    loaded.setdefault(function.id, {})[worker.id] = instance.loaded
        return loaded

    # Effects.

    def next_effect(self, now: float) -> Effect | None:
        """The next effect to carry out, or None."""
        if now >= self._next_tick_at:
            self._tick(now)
        while (expired := self.state.deadlines.pop_due(now)) is not None:
            self._on_expired(now, expired)
        self._apply_journal_results(now)
        self._recovery.resume_ready(now)
        effects = self.state.effects
        while True:
            if effects:
                return effects.popleft()
            decision = self._dispatcher.decide(now)
            if decision is None:
                return None
            if (effect := self._follow(now, decision)) is not None:
                return effect

    def next_due(self) -> float:
        """When `next_effect` should be called again at the latest."""
        dues = (self._next_tick_at, self.state.deadlines.next_due(), self._dispatcher.timers.next_due())
        return min(due for due in dues if due is not None)

    def _tick(self, now: float) -> None:
        self._next_tick_at = now + self._dispatcher.tick_ms
        idle_function = self._dispatcher.on_tick(now)
        if idle_function is not None:
            self._parts.forget_function(idle_function)
        self.records.trim(now)
        if now >= self._next_cold_count_at:  # CPU: a large fleet is not counted at each tick
            self._next_cold_count_at = now + COLD_COUNT_INTERVAL_MS
            cold = [
                w.started_at is not None and now - w.started_at < self._slow_start_ms for w in self.members if w.live
            ]
            self.overload.signals.cold_share = sum(cold) / len(cold) if cold else 0.0

    def _on_expired(self, now: float, request: Request) -> None:
        """A request's time is up: cancel its attempts, and show its answer even if that is not durable yet."""
        invocation = self.state.invocations.get(request)
        if invocation is not None and invocation.expires_at > now:  # a part of its stream has arrived meanwhile
            self.state.deadlines.add(invocation.expires_at, request)
            return
        for attempt in request.attempts:
            if attempt.status is None:
                self._attempts.cancel(now, attempt, CancelReason.SILENT)
        invocation = self.state.invocations.get(request)  # it may have been settled
        if invocation is None or invocation.lifecycle.deferred:
            return
        if invocation.lifecycle.stage is RequestStage.FINAL:
            self.durability.publish(invocation, True)  # a slow disk delays no blocking client's answer

    def _apply_journal_results(self, now: float) -> None:
        """Act on what the journal has reported since the last call."""
        durability = self.durability
        while durability.durable_deferred:
            self._dispatcher.count_request(now, durability.durable_deferred.popleft())
        while durability.under_replicated:
            self._reject_under_replicated(now, durability.under_replicated.popleft())
        while durability.unsafe_attempts:  # no byte of it was written to a worker
            attempt = durability.unsafe_attempts.popleft()
            if attempt.status is None:
                self._attempts.on_finished(now, attempt, AttemptStatus.NOT_SENT, None, False)

    def _reject_under_replicated(self, now: float, invocation: Invocation) -> None:
        if invocation.lifecycle.final:
            return
        invocation.request.retry_after_ms, invocation.durability_waiters = RETRY_AFTER_MS, []
        self._dispatcher.on_client_gone(invocation.request)
        self._completion.finish(now, invocation, FinalStatus.REJECTED)

    def _follow(self, now: float, decision: Decision) -> Effect | None:
        """One decision as an effect; None where its effect is queued, or waits for the journal."""
        if isinstance(decision, str):
            return LogEvent(decision)
        if isinstance(decision, ReadinessQuestion):
            return AskWorker(decision)
        if isinstance(decision, LoadOrder):
            self.counts.load_orders += 1
            return StartLoad(decision)
        if isinstance(decision, Request):
            invocation = self.state.invocations[decision]
            self._completion.finish(now, invocation, decision.final_status or FinalStatus.FAILED)
            self.state.settle(decision)
            return None
        if decision.cancelled:
            self._attempts.cancel(now, decision, CancelReason.CANCELLED)
            return None
        return self._attempts.start(now, decision)
