"""Recovery after a restart or a take-over: restores activations with a final answer, ends or resumes the others."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from functools import partial

import msgspec

from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    FinalStatus,
    Function,
    Idempotency,
    Instance,
    Request,
    RequestClass,
    Worker,
)
from kelptrail.store.activation_journal import ActivationEntries
from kelptrail.store.entries import Accepted, Ended
from kelptrail.store.recovery import EndRequest, RecoveryRule, ResumeQueue, ResumeRequest, decide_recovery

from .durability import DurabilityWriter, ended_entry
from .invocation import Invocation
from .lifecycle import RequestLifecycle
from .records import Record, ReplicatedJournal
from .state import GatewayState

CODE_INTERNAL_ERROR = 3  # index of `records.STATUS_MESSAGES`


class RecoveryOutcome(StrEnum):
    """The result of recovering a journaled activation; the values are shown in the log."""

    ENDED = "ended"  # the journal has its final answer
    ABORTED = "aborted"  # ended as failed
    REJECTED = "rejected"  # ended as rejected
    RESUMED = "resumed"  # waits to be run
    UNKNOWN = "unknown"  # its action or namespace is no longer in the settings


class MissingRecordError(Exception):
    """A request to be resumed has no record."""


@dataclass(frozen=True, slots=True)
class _RecoveryContext:
    """The time of a recovery, `now` by the caller's clock and `wall` as wall time in ms, and the recovered journal.

    `journal` is None for the local journal.
    """

    now: float
    wall: float
    journal: ReplicatedJournal | None


def _on_ended_written(record: Record, _durable: bool) -> None:
    record.durable = True  # for an ended entry written with `keep`, the journal reports only success


class RestartRecovery:
    """Recovers journals; requests to be resumed go to the dispatcher a few at a time (`resume_ready`)."""

    def __init__(self, state: GatewayState, durability: DurabilityWriter) -> None:
        self._state, self._durability = state, durability
        self._queue: ResumeQueue | None = None  # None while no recovered request waits or runs
        self._queue_started_at = 0.0  # time at which the queue was created; waiting times start there
        self._resumed_ids = set[str]()  # ids of resumed requests without a final answer

    def recover(
        self,
        now: float,
        wall: float,
        activations: Iterable[ActivationEntries],
        min_run_ms: float,
        max_concurrent: int,
        journal: ReplicatedJournal | None = None,
    ) -> dict[str, int]:
        """Recover a journal's activations, and return how many had each `RecoveryOutcome`.

        Activations that already have a record are skipped and not counted.  Those with a final answer can be polled
        again; the others are ended, or resumed within their timeout, at most `max_concurrent` at once.  A request with
        `min_run_ms` or less left is not run.  While requests of an earlier recovery wait or run, the queue keeps the
        limits of that one.  `journal` is a replicated journal, of an earlier run or of another dispatcher, or None for
        the local one.
        """
        context = _RecoveryContext(now, wall, journal)
        resumable: list[ResumeRequest] = []
        counts = {outcome.value: 0 for outcome in RecoveryOutcome}
        for entries in activations:
            outcome = self._recover_one(context, entries, min_run_ms, resumable)
            if outcome is not None:
                counts[outcome.value] += 1
        if self._queue is None:
            self._queue, self._queue_started_at = ResumeQueue([], max_concurrent, min_run_ms), now
        self._queue.add(resumable, now - self._queue_started_at)
        self._state.records.trim(now)
        return counts

    def _recover_one(
        self, context: _RecoveryContext, entries: ActivationEntries, min_run_ms: float, resumable: list[ResumeRequest]
    ) -> RecoveryOutcome | None:
        """Restore or end one activation, or add it to `resumable`; return None where it already has a record."""
        deployment, accepted = self._state.parts.deployment, entries.accepted
        action = deployment.actions.get(accepted.path)
        if action is None or accepted.namespace not in self._state.parts.tenants:
            return RecoveryOutcome.UNKNOWN  # the settings have changed; the entries stay in the journal
        if self._state.records.has(accepted.id):
            return None
        if entries.ended is not None:
            self._restore(context, accepted, entries.ended)
            return RecoveryOutcome.ENDED
        settings = deployment.types[action.type]
        rule = RecoveryRule(
            Idempotency(settings.effect),
            settings.deduplication_scope,
            settings.deduplication_window_ms,
            settings.priority_weight,
        )
        decision = decide_recovery(entries, rule, context.wall, min_run_ms)
        self._add_record(context, accepted)
        if isinstance(decision, ResumeRequest):
            resumable.append(decision)
            return RecoveryOutcome.RESUMED
        self._end(context.now, decision)
        return RecoveryOutcome(decision.answer.value)

    def _add_record(self, context: _RecoveryContext, accepted: Accepted) -> Record:
        """Add the record of a recovered request; its timeout counts from its original acceptance."""
        deployment = self._state.parts.deployment
        settings = deployment.types[deployment.actions[accepted.path].type]
        record = Record(
            accepted.id,
            accepted.namespace,
            accepted.path,
            settings.name,
            settings.effect,
            accepted.start,
            context.now - max(0.0, context.wall - accepted.start),
            accepted.timeout_ms,
            accepted.trace,
        )
        record.key, record.digest = accepted.key or "", accepted.digest
        record.deferred, record.payload_format = accepted.deferred, accepted.form
        record.replicated_journal = context.journal
        self._state.records.add(record)
        if accepted.key:
            self._state.keys.add(record)
        return record

    def _restore(self, context: _RecoveryContext, accepted: Accepted, ended: Ended) -> None:
        record = self._add_record(context, accepted)
        record.end, record.answer = ended.end, FinalStatus(ended.answer)
        record.code, record.result = ended.code, ended.result
        record.retry_after_ms, record.deduplicated_for_ms = ended.return_ms, ended.repeat_within_ms
        record.attempt_count = ended.sends
        self._state.records.restore(context.now, record)

    def _end(self, now: float, end: EndRequest) -> None:
        """Give a request the final answer that recovery decided, and journal it.

        Do nothing for a request without a record or a journal.
        """
        state = self._state
        record = state.records.get(end.entries.accepted.namespace, end.entries.accepted.id)
        if record is None or (record.replicated_journal is None and self._durability.journal is None):
            return
        result = msgspec.json.encode({"error": f"The activation was {end.answer}: {end.reason}."})
        state.records.end(now, record, end.answer, CODE_INTERNAL_ERROR, result)
        if end.answer is FinalStatus.REJECTED:
            state.counts.rejected += 1
        else:
            state.counts.failed += 1
        record.durable = False
        self._durability.journal_of(record).write(ended_entry(record), partial(_on_ended_written, record), keep=True)

    # Resuming.

    def resume_ready(self, now: float) -> None:
        """Resume the requests that may run now, and end each whose time has run out once it is first in the queue."""
        while self._queue is not None:
            ready = self._queue.next(now - self._queue_started_at)
            if ready is None:
                if not len(self._queue) and not self._resumed_ids:
                    self._queue = None
                return
            if isinstance(ready, EndRequest):
                self._end(now, ready)
            else:
                self._resume(now, ready)

    def _resume(self, now: float, resume: ResumeRequest) -> None:
        state, accepted, may_run = self._state, resume.entries.accepted, resume.entries.may_run
        record = state.records.get(accepted.namespace, accepted.id)
        if record is None:
            raise MissingRecordError(f"activation {accepted.id} cannot be resumed: it has no record")
        action = state.parts.deployment.actions[accepted.path]
        request_class, function = state.parts.request_classes[action.type], state.parts.function(accepted.path)
        request = self._create_request(now, resume, request_class, function)
        invocation = Invocation(
            request,
            record,
            action,
            accepted.payload,
            f"{accepted.namespace}/{accepted.path}/{accepted.key}" if accepted.key is not None else accepted.id,
            RequestLifecycle.resumed(request_class.idempotency is Idempotency.IDEMPOTENT, may_run is not None),
            payload_format=accepted.form,
            expires_at=request.deadline,
        )
        invocation.lifecycle.queue()
        state.invocations[request] = state.invocations_by_id[accepted.id] = invocation
        self._resumed_ids.add(accepted.id)
        state.expiry_timers.add(request.deadline, request)
        state.counts.received += 1
        state.limits.acquire(accepted.namespace, len(accepted.payload))
        state.dispatcher.on_request(now, request, count=False)

    def _create_request(
        self, now: float, resume: ResumeRequest, request_class: RequestClass, function: Function
    ) -> Request:
        """Create the dispatcher's request.

        If a deduplicated request may have run before, an attempt of the earlier run is added.
        """
        accepted, may_run = resume.entries.accepted, resume.entries.may_run
        # `remaining_ms` and `deduplicated_for_ms` of queued requests count from the start of the queue.
        since_queue_start_ms = now - self._queue_started_at
        request = Request(
            accepted.id,
            request_class,
            function,
            self._state.parts.tenants[accepted.namespace],
            now,
            now + (resume.remaining_ms - since_queue_start_ms) - self._state.margin_ms,
            has_idempotency_key=accepted.key is not None,
        )
        if may_run is not None and resume.deduplicated_for_ms is not None:
            # The deduplication window of this attempt ends when the workers stop dropping repeats.
            started_at = now + resume.deduplicated_for_ms - since_queue_start_ms - request_class.deduplication_window_ms
            instance = Instance(function, Worker(may_run.worker))  # stands in for the worker of the earlier run
            request.attempts.append(Attempt(request, instance, 0, started_at, AttemptStatus.SILENT))
        return request

    def on_finished(self, id_: str) -> None:
        """Allow the next request to be resumed, if this one was resumed and has ended or was taken over."""
        if id_ not in self._resumed_ids:
            return
        self._resumed_ids.remove(id_)
        if self._queue is not None:
            self._queue.on_finished()

    # Released journals.

    def release(self, journal: ReplicatedJournal) -> int:
        """Give up a journal that another dispatcher has taken over, and return how many activations it had.

        They are no longer sent, answered or acknowledged here.
        """
        released = self._state.records.kept_by(journal)
        for record in released:
            self._state.keys.remove(record)
            self.on_finished(record.id)
            invocation = self._state.invocations_by_id.pop(record.id, None)
            if invocation is not None:
                self._release_invocation(invocation)
        if self._queue is not None:
            self._queue.remove(record.id for record in released)
        self._state.records.remove(released)
        return len(released)

    def _release_invocation(self, invocation: Invocation) -> None:
        if not invocation.lifecycle.final:
            # Cancels the attempts; as after a disconnect of the client, the request gets no answer here.
            self._state.dispatcher.on_client_gone(invocation.request)
            self._state.limits.release(invocation.record.namespace, len(invocation.payload))
            self._durability.release_held(invocation, False)
        invocation.lifecycle.release()
        durability_waiters, invocation.durability_waiters, invocation.waiters = invocation.durability_waiters, [], []
        for waiter in durability_waiters:
            waiter(None)
        self._state.forget_if_done(invocation.request)
