"""Attempts: starts them or holds them until the journal allows it, cancels them, and processes their results."""

from __future__ import annotations

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.entities import Attempt, AttemptStatus, FinalStatus

from .completion import RequestCompletion
from .durability import DurabilityWriter
from .effects import CancelAttempt, CancelReason, StartAttempt
from .invocation import Invocation
from .state import GatewayState, is_repeat

NO_ANSWER = WorkerAnswer("none")


class AttemptAlreadyEndedError(Exception):
    """The end of an attempt was reported a second time."""


class Attempts:
    """Manages the dispatcher's attempts from the decision to start them to their end."""

    def __init__(self, state: GatewayState, durability: DurabilityWriter, completion: RequestCompletion) -> None:
        self._state, self._durability, self._completion = state, durability, completion

    def start(self, now: float, attempt: Attempt) -> StartAttempt | None:
        """Start an attempt, or hold it while a may-run entry that it needs is not durable.

        An attempt is also held while this dispatcher is not the primary of the request's replicated journal.  Return
        the effect to carry out, or None for an attempt that is held.
        """
        invocation = self._state.invocations[attempt.request]
        record = invocation.record
        if attempt.number == 0:
            record.queued_ms = now - record.received_at
        journal = record.replicated_journal
        may_start = invocation.lifecycle.on_attempt_decided() and (journal is None or journal.is_primary(now))
        if not may_start:
            invocation.held_attempts.append(attempt)
        self._durability.write_entries(invocation)
        if not may_start:
            return None
        self._state.start_attempt(invocation, attempt)
        return StartAttempt(invocation, attempt)

    def cancel(self, now: float, attempt: Attempt, reason: CancelReason) -> None:
        """Cancel an attempt; one that is held ends at once, as nothing of it was sent."""
        invocation = self._state.invocations.get(attempt.request)
        if invocation is not None and attempt in invocation.held_attempts:
            invocation.held_attempts.remove(attempt)
            invocation.lifecycle.drop_held()
            self.on_finished(now, attempt, AttemptStatus.NOT_SENT, None, False)
        else:
            self._state.effects.append(CancelAttempt(attempt, reason))

    def on_finished(
        self,
        now: float,
        attempt: Attempt,
        status: AttemptStatus,
        answer: WorkerAnswer | None = None,
        started: bool = True,
    ) -> None:
        """Process the end of an attempt; `started` is False for one that was held and never sent.

        Raises `AttemptAlreadyEndedError` if the attempt has ended before.
        """
        request = attempt.request
        if attempt.status is not None:
            raise AttemptAlreadyEndedError(f"attempt {attempt.number} of request {request.id} has already ended")
        statuses = self._state.counts.attempt_statuses
        statuses[status] = statuses.get(status, 0) + 1
        invocation = self._state.invocations.get(request)
        if invocation is not None:
            if started:
                invocation.lifecycle.on_attempt_finished()
            self._record_answer(now, invocation, attempt, status, answer)
        final = request.final_status is not None or status is AttemptStatus.COMPLETED
        reply = answer or NO_ANSWER
        result = AttemptResult(
            status, final, reply.load_failed, reply.instance_loaded, reply.other_requests, reply.report
        )
        self._state.dispatcher.on_attempt_finished(now, attempt, result)
        if invocation is not None and not invocation.record.final and request.final_status is FinalStatus.COMPLETED:
            self._completion.finish(now, invocation, FinalStatus.COMPLETED)
        self._state.forget_if_done(request)

    def _record_answer(
        self, now: float, invocation: Invocation, attempt: Attempt, status: AttemptStatus, answer: WorkerAnswer | None
    ) -> None:
        """Store the answer if the attempt completes its request, and count a completed or not-loaded attempt."""
        completed, request = status is AttemptStatus.COMPLETED, attempt.request
        if completed and request.final_status is None:
            invocation.answer = answer
            self._state.counts.useful_repeats += is_repeat(attempt)
        if not completed and status is not AttemptStatus.NOT_LOADED:
            return
        self._state.overload.on_attempt_answered(now, not completed)
        counters = self._state.counters_of(invocation.record.path)
        counters.not_loaded += not completed
        if completed:
            counters.completed += 1
            counters.work_ms += now - attempt.started_at
            counters.late += now - request.received_at > request.request_class.latency_objective_ms
