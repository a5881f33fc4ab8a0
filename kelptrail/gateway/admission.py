"""Admission of requests: each is rejected at a limit or under overload, or accepted with a record and a deadline."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from kelptrail.dispatch.entities import Idempotency, Request
from kelptrail.settings.deployment import ActionSettings

from .durability import DurabilityWriter
from .invocation import Invocation
from .lifecycle import RequestLifecycle
from .limits import RETRY_AFTER_MS, RejectionReason
from .records import Record
from .state import GatewayState

MAX_MARGIN_SHARE = 0.25  # load widens the answer margin up to this share of a request's timeout


class RequestRejection(NamedTuple):
    """Why a request is rejected on arrival, and when its client may retry."""

    reason: RejectionReason
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Submission:
    """A client's request, as the front end passes it to the gateway."""

    namespace: str
    action: ActionSettings
    payload: bytes
    key: str | None = None  # the client's idempotency key
    trace: str = ""
    deferred: bool = False  # the client expects only the activation id
    digest: str = ""  # digest of the body, which detects another body under the same key
    limit_ms: float = float("inf")  # the client's own timeout; applies where it is below that of the request class
    payload_format: str = "json"
    streamed: bool = False  # the client accepts the response in parts
    client_key: str = ""  # identifies retries to overload control; if empty, `key` does, or the activation id


class RequestAdmission:
    """Rejects or accepts requests, and informs the dispatcher of the accepted ones."""

    def __init__(self, state: GatewayState, durability: DurabilityWriter, boot: str) -> None:
        self._state, self._durability, self._parts = state, durability, state.parts
        self._boot, self._submitted = boot, 0  # `boot` and a counter form an activation id
        self._max_priority_weight = max(t.priority_weight for t in self._parts.deployment.types.values())

    def check_admission(
        self, now: float, namespace: str, path: str, size: int, client_key: str
    ) -> RequestRejection | None:
        """Return None if a request of `size` bytes is admitted, or why it is rejected before any work is done for it.

        `client_key` is the client's idempotency key or other text that identifies its retries.
        """
        limits, deployment = self._state.limits, self._parts.deployment
        reason = limits.rejection_reason(namespace, size)
        if reason is not None:
            return RequestRejection(reason, RETRY_AFTER_MS)
        settings = deployment.types[deployment.actions[path].type]
        retry_after_ms = self._state.overload.on_request(
            now, f"{namespace}/{path}/{client_key}", namespace, settings.priority_weight / self._max_priority_weight
        )
        if retry_after_ms is not None:
            limits.rejections[RejectionReason.EARLY] += 1
            return RequestRejection(RejectionReason.EARLY, retry_after_ms)
        return None

    def submit(
        self, now: float, wall: float, submission: Submission, waiter: Callable[[Record], None] | None
    ) -> Invocation:
        """Accept a request, and call `waiter` with its record once the final answer may be shown."""
        record = self._new_record(now, wall, submission)
        has_key = submission.key is not None
        request = self._new_request(now, record, has_key)
        journaled = self._durability.choose_journal(record, submission.deferred, has_key)
        invocation = self._new_invocation(submission, record, request, journaled)
        if waiter is not None:
            invocation.waiters.append(waiter)
        self._register(invocation, has_key)
        # A journaled deferred request counts towards the load ration and its tenant's quota only once its record is
        # durable: if that fails, the client's request is refused, and must not allow a load order.
        self._state.dispatcher.on_request(now, request, count=not (journaled and submission.deferred))
        return invocation

    def _new_record(self, now: float, wall: float, submission: Submission) -> Record:
        action = submission.action
        settings = self._parts.deployment.types[action.type]
        self._submitted += 1
        record = Record(
            f"{self._boot}{self._submitted:016x}",
            submission.namespace,
            action.path,
            action.type,
            settings.effect,
            wall,
            now,
            min(settings.timeout_ms, submission.limit_ms),
            submission.trace,
        )
        record.payload_format = submission.payload_format
        record.key, record.digest, record.deferred = submission.key or "", submission.digest, submission.deferred
        return record

    def _new_request(self, now: float, record: Record, has_key: bool) -> Request:
        # Requests that arrive together would have to be answered at the same moment, but their answers are written one
        # after another.  So each deadline is earlier by the time that it takes to write the answers to all requests in
        # flight; load widens the margin up to `MAX_MARGIN_SHARE` of the timeout.
        min_margin_ms = self._state.margin_ms
        load_margin_ms = min_margin_ms + self._state.answer_ms * len(self._state.invocations)
        limited_load_margin_ms = min(MAX_MARGIN_SHARE * record.timeout_ms, load_margin_ms)
        return Request(
            record.id,
            self._parts.request_classes[record.request_class],
            self._parts.function(record.path),
            self._parts.tenants[record.namespace],
            now,
            now + record.timeout_ms - max(min_margin_ms, limited_load_margin_ms),
            has_idempotency_key=has_key,
        )

    @staticmethod
    def _new_invocation(submission: Submission, record: Record, request: Request, journaled: bool) -> Invocation:
        name, key, deferred = f"{record.namespace}/{record.path}", submission.key, submission.deferred
        return Invocation(
            request,
            record,
            submission.action,
            submission.payload,
            deduplication_id=f"{name}/{key}" if key is not None else record.id,
            lifecycle=RequestLifecycle(record.idempotency == Idempotency.IDEMPOTENT.value, journaled, deferred),
            payload_format=submission.payload_format,
            deferred=deferred,
            streamed=submission.streamed,
            expires_at=request.deadline,
            client_key=f"{name}/{submission.client_key or key or record.id}",
        )

    def _register(self, invocation: Invocation, has_key: bool) -> None:
        state, record, request = self._state, invocation.record, invocation.request
        if has_key:
            state.keys.add(record)
        state.records.add(record)
        state.invocations[request] = state.invocations_by_id[record.id] = invocation
        state.expiry_timers.add(request.deadline, request)
        state.counts.received += 1
        state.counters_of(record.path).received += 1
        state.limits.acquire(record.namespace, len(invocation.payload))
        invocation.lifecycle.queue()
