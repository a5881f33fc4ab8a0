"""The gateway core: handles requests from submission to their one final answer; free of I/O and clocks.

Inputs (`submit`, `on_attempt_finished`, `on_load_report`, `on_client_gone`, `on_endpoints`) update the state and notify
the dispatcher; the host then calls `next_effect(now)` until it returns None, and carries out each effect.  Each request
gets one `FinalAnswer`, unless another dispatcher takes over its journal.  The core itself decides only on admission,
recovery, requests whose time is up, and requests whose record is on too few replicas; `kelptrail.dispatch` decides on
attempts, load orders and all other rejections.  All times are in milliseconds of the caller's clock; `wall` is wall
time.
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
from .effects import CancelReason, Effect, LogEvent, ProbeWorker, StartLoad
from .invocation import Invocation
from .lifecycle import RequestStage
from .limits import RETRY_AFTER_MS
from .readiness import WorkerReadiness
from .records import Record, ReplicatedJournal
from .recovery import RestartRecovery
from .state import GatewayState
from .streaming import ResponseStreams

CLIENT_GONE = b'{"error":"The client went away before the answer."}'
COLD_COUNT_INTERVAL_MS = 1000.0  # interval at which recently started (cold) workers are counted
LONG_AGO_MS = -1e18  # before any time of the caller's clock


class Gateway:
    """All requests of one dispatcher.

    Requests that must survive a restart (deferred ones, and those with an idempotency key) are written to a journal if
    there is one and it accepts entries.  The `RequestLifecycle` of each request tracks which entries must be durable
    before its next step.
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
        self._next_tick_at = self._next_cold_count_at = LONG_AGO_MS

    @property
    def in_flight(self) -> int:
        """Number of activations without a final answer."""
        return self.records.in_flight()

    # Requests.

    def check_admission(
        self, now: float, namespace: str, path: str, size: int, client_key: str
    ) -> RequestRejection | None:
        """See `RequestAdmission.check_admission`."""
        return self._admission.check_admission(now, namespace, path, size, client_key)

    def submit(
        self, now: float, wall: float, submission: Submission, waiter: Callable[[Record], None] | None = None
    ) -> Invocation:
        """See `RequestAdmission.submit`."""
        return self._admission.submit(now, wall, submission, waiter)

    def find_by_key(self, namespace: str, path: str, key: str, digest: str) -> Record | None:
        """See `IdempotencyKeys.find`.  Raises `KeyConflictError`."""
        return self.state.keys.find(namespace, path, key, digest)

    def has_record(self, id_or_key: str) -> bool:
        """Return whether a record exists for an activation id, or for `key:NAMESPACE/ACTION/KEY`."""
        if not id_or_key.startswith("key:"):
            return self.records.has(id_or_key)
        namespace, _, path_and_key = id_or_key.removeprefix("key:").partition("/")
        return self.state.keys.has(namespace, path_and_key, self._parts.deployment.actions)

    def in_flight_of(self, id_: str) -> Invocation | None:
        """Return the request with this activation id, or None.

        A request is forgotten once its final answer is published and none of its attempts is in flight, or when another
        dispatcher takes over its journal.
        """
        return self.state.invocations_by_id.get(id_)

    def remove_waiter(self, record: Record, waiter: Callable[[Record], None]) -> None:
        """Stop notifying `waiter` of the final answer."""
        invocation = self.state.invocations_by_id.get(record.id)
        if invocation is not None and waiter in invocation.waiters:
            invocation.waiters.remove(waiter)

    def on_client_gone(self, now: float, invocation: Invocation) -> None:
        """End a request whose client has disconnected or cancelled it; do nothing if it has its final answer."""
        if invocation.record.final:
            return
        self._dispatcher.on_client_gone(invocation.request)
        self._completion.finish(now, invocation, FinalStatus.FAILED, CLIENT_GONE)
        self.state.forget_if_done(invocation.request)

    # Durability.

    def accepts_deferred(self) -> bool:
        """See `DurabilityWriter.accepts_deferred`."""
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
        """Process the end of a load order; `loaded` is the number of instances that the worker reported, or 0."""
        self._dispatcher.on_load_report(now, order, status, loaded)

    def on_endpoints(self, now: float, listing: EndpointList) -> None:
        """Apply a new endpoint list."""
        workers, restarted = self.members.apply(now, listing)
        self._dispatcher.on_endpoints(now, workers, restarted)
        self.members.delete_removed()

    # The planner.

    def on_plan(self, plan: Mapping[str, Mapping[str, int]] | None) -> None:
        """Replace the current plan: the number of instances by model and worker, or None where there is no plan.

        Unknown models and workers are ignored.
        """
        workers = {worker.id: worker for worker in self.members}
        planned: dict[Function, dict[Worker, int]] = {}
        for model, counts in (plan or {}).items():
            if (path := self._parts.paths.get(model)) is not None:
                planned[self._parts.function(path)] = {workers[w]: count for w, count in counts.items() if w in workers}
        self._dispatcher.on_plan(planned)

    def counters(self) -> dict[str, FunctionCounters]:
        """See `GatewayState.take_counters`."""
        return self.state.take_counters()

    def loaded_instances(self) -> dict[str, dict[str, int]]:
        """Return how many instances are loaded according to the dispatcher's records, by model and worker."""
        loaded: dict[str, dict[str, int]] = {}
        for worker in self.members:
            for function, instance in worker.instances.items():
                if instance.loaded:
                    loaded.setdefault(function.id, {})[worker.id] = instance.loaded
        return loaded

    # Effects.

    def next_effect(self, now: float) -> Effect | None:
        """Return the next effect to carry out, or None."""
        if now >= self._next_tick_at:
            self._tick(now)
        while (expired := self.state.expiry_timers.pop_due(now)) is not None:
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
            if (effect := self._apply_decision(now, decision)) is not None:
                return effect

    def next_due(self) -> float:
        """Return the latest time at which `next_effect` should be called again."""
        dues = (self._next_tick_at, self.state.expiry_timers.next_due(), self._dispatcher.timers.next_due())
        return min(due for due in dues if due is not None)

    def _tick(self, now: float) -> None:
        self._next_tick_at = now + self._dispatcher.tick_ms
        self._dispatcher.on_tick(now)
        for unused in self._dispatcher.take_removed_functions():
            self._parts.forget_function(unused)
        self.records.trim(now)
        if now >= self._next_cold_count_at:  # counting a large fleet at each tick would take too much CPU time
            self._next_cold_count_at = now + COLD_COUNT_INTERVAL_MS
            cold = [
                w.started_at is not None and now - w.started_at < self._slow_start_ms for w in self.members if w.live
            ]
            self.overload.signals.cold_share = sum(cold) / len(cold) if cold else 0.0

    def _on_expired(self, now: float, request: Request) -> None:
        """Cancel the attempts of a request whose time is up, unless its stream has extended that time.

        The final answer to a blocking request, if it is decided, is then published even if it is not durable yet.
        """
        invocation = self.state.invocations.get(request)
        if invocation is not None and invocation.expires_at > now:
            self.state.expiry_timers.add(invocation.expires_at, request)
            return
        for attempt in request.attempts:
            if attempt.status is None:
                self._attempts.cancel(now, attempt, CancelReason.SILENT)
        invocation = self.state.invocations.get(request)  # it may have been forgotten when its attempts ended
        if invocation is None or invocation.lifecycle.deferred:
            return
        if invocation.lifecycle.stage is RequestStage.FINAL:
            self.durability.publish(invocation, True)  # a slow disk must not delay the answer to a blocking client

    def _apply_journal_results(self, now: float) -> None:
        """Process the results that the journal has reported since the last call."""
        durability = self.durability
        while durability.durable_deferred:
            self._dispatcher.count_request(now, durability.durable_deferred.popleft())
        while durability.under_replicated:
            self._reject_under_replicated(now, durability.under_replicated.popleft())
        while durability.unstartable_attempts:  # nothing of these was written to a worker
            attempt = durability.unstartable_attempts.popleft()
            if attempt.status is None:
                self._attempts.on_finished(now, attempt, AttemptStatus.NOT_SENT, None, False)

    def _reject_under_replicated(self, now: float, invocation: Invocation) -> None:
        if invocation.lifecycle.final:
            return
        invocation.request.retry_after_ms, invocation.durability_waiters = RETRY_AFTER_MS, []
        self._dispatcher.on_client_gone(invocation.request)
        self._completion.finish(now, invocation, FinalStatus.REJECTED)

    def _apply_decision(self, now: float, decision: Decision) -> Effect | None:
        """Return the effect of a decision, or None if it has none or its effect is queued or waits for the journal."""
        if isinstance(decision, str):
            return LogEvent(decision)
        if isinstance(decision, ReadinessQuestion):
            return ProbeWorker(decision)
        if isinstance(decision, LoadOrder):
            self.counts.load_orders += 1
            return StartLoad(decision)
        if isinstance(decision, Request):
            invocation = self.state.invocations[decision]
            self._completion.finish(now, invocation, decision.final_status or FinalStatus.FAILED)
            self.state.forget_if_done(decision)
            return None
        if decision.cancelled:
            self._attempts.cancel(now, decision, CancelReason.CANCELLED)
            return None
        return self._attempts.start(now, decision)
