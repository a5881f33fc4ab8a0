"""Gives a request its one final answer: counts it, ends its record, and publishes the answer or journals it first."""

from __future__ import annotations

from kelptrail.dispatch.entities import Attempt, FinalStatus, Idempotency

from .durability import DurabilityWriter
from .invocation import Invocation
from .recovery import RestartRecovery
from .state import GatewayState

ABORTED_MAY_HAVE_RUN = (
    b'{"error":"The activation was aborted: it may have run, so trying again may repeat its effect."}'
)
ABORTED_IN_STREAM = b'{"error":"The activation was aborted in the middle of its stream; what was given stands."}'
ABORTED_NEVER_RAN = b'{"error":"The activation was aborted before any run of it began."}'
REJECTED = b'{"error":"The activation was rejected; trying again is harmless."}'
CODE_SUCCESS, CODE_APPLICATION_ERROR, CODE_INTERNAL_ERROR = 0, 1, 3  # indices of `records.STATUS_MESSAGES`


class RequestCompletion:
    """Ends requests.  A second final answer raises `AlreadyFinalError`."""

    def __init__(self, state: GatewayState, durability: DurabilityWriter, recovery: RestartRecovery) -> None:
        self._state, self._durability, self._recovery = state, durability, recovery

    def finish(
        self, now: float, invocation: Invocation, status: FinalStatus, failure_result: bytes | None = None
    ) -> None:
        """Give a request its final answer; `failure_result` replaces the default result of a failed request."""
        may_have_run = [attempt for attempt in invocation.request.attempts if attempt.may_have_run]
        if status is FinalStatus.COMPLETED and invocation.answer is not None:
            self._complete(now, invocation, invocation.answer.success, invocation.answer.result)
        elif status is FinalStatus.REJECTED:
            self._reject(now, invocation, may_have_run)
        else:
            self._fail(now, invocation, bool(may_have_run), failure_result)
        record = invocation.record
        self._state.limits.release(record.namespace, len(invocation.payload))
        invocation.payload = b""
        self._recovery.on_finished(record.id)
        if invocation.lifecycle.finish():
            self._durability.publish(invocation)
            return
        record.durable = False
        self._durability.write_entries(invocation)

    def _complete(self, now: float, invocation: Invocation, success: bool, result: bytes) -> None:
        state, request, record = self._state, invocation.request, invocation.record
        state.counts.completed += 1
        late = now - request.received_at > request.request_class.latency_objective_ms
        state.overload.on_completed(now, invocation.client_key, record.namespace, late)
        code = CODE_SUCCESS if success else CODE_APPLICATION_ERROR
        state.records.end(now, record, FinalStatus.COMPLETED, code, result)

    def _reject(self, now: float, invocation: Invocation, may_have_run: list[Attempt]) -> None:
        state, request, record = self._state, invocation.request, invocation.record
        state.counts.rejected += 1
        state.counters_of(record.path).rejected += 1
        record.retry_after_ms = request.retry_after_ms
        if not may_have_run:
            record.retry_after_ms = state.overload.on_rejected(
                now, invocation.client_key, request.retry_after_ms, record.namespace
            )
        request_class = request.request_class
        if may_have_run and request_class.idempotency is Idempotency.DEDUPLICATED:
            window_end = may_have_run[0].started_at + request_class.deduplication_window_ms
            record.deduplicated_for_ms = max(0.0, window_end - now)
        state.records.end(now, record, FinalStatus.REJECTED, CODE_INTERNAL_ERROR, REJECTED)

    def _fail(self, now: float, invocation: Invocation, may_have_run: bool, result: bytes | None) -> None:
        state, request, record = self._state, invocation.request, invocation.record
        state.counts.failed += 1
        record.timed_out = now >= request.deadline - state.margin_ms
        if request.streaming_attempt:
            default = ABORTED_IN_STREAM
        else:
            default = ABORTED_MAY_HAVE_RUN if may_have_run else ABORTED_NEVER_RAN
        state.records.end(now, record, FinalStatus.FAILED, CODE_INTERNAL_ERROR, result or default)
