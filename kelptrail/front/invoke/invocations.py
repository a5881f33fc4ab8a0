"""Invocation of actions: checks a request, submits it to the gateway and sets up the reply to the client."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

from kelptrail.clock import now_ms, wall_ms
from kelptrail.codec.http import Request
from kelptrail.dispatch.entities import FinalStatus
from kelptrail.front.idempotency import client_key, payload_digest
from kelptrail.front.trace_context import INVALID_VERSION, parse_traceparent
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.idempotency_keys import KeyConflictError
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.limits import REJECTION_MESSAGES
from kelptrail.gateway.records import Record
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import ActionSettings, NamespaceSettings

from .client_wait import ClientWait
from .context import InvokeContext
from .errors import ApiError, redirect, unavailable
from .event_stream import EventStreamReply
from .replies import reply_error, retry_after_seconds
from .request_parsing import read_idempotency_key, read_json_object, wants_event_stream


@dataclass(frozen=True, slots=True)
class InvocationTarget:
    """Parsed path and query of an invocation."""

    namespace: str  # As in the path: a name, or `_` for the client's own namespace
    action: ActionSettings
    blocking: bool
    result_only: bool  # Reply with the result instead of the record
    wait_ms: float  # Maximum time that a blocking client waits for the answer


class InvocationRequest(NamedTuple):
    """A client's request to invoke an action."""

    request: Request
    exchange: Exchange
    namespace: NamespaceSettings  # Namespace of the client
    target: InvocationTarget


class InvocationContent(NamedTuple):
    """Validated headers and body of an invocation."""

    payload: bytes
    key: str | None  # Idempotency key of the client
    digest: str  # Digest of the payload; empty without a key
    client_key: str  # Key by which overload control recognises the client's retry
    traceparent: str


class InvocationHandler:
    """Handles all requests to invoke an action."""

    def __init__(self, context: InvokeContext) -> None:
        self._context = context
        self._max_deferred_bytes = context.deployment.max_deferred_bytes  # 0 means no limit

    def invoke(self, call: InvocationRequest, look_up_key: bool = True) -> None:
        """Submit the request, or join it to the activation that has the same idempotency key.

        `look_up_key`: for a deferred request, query the other dispatchers for a key that has no record here.  Raises
        `ApiError`.
        """
        if self._context.draining:
            raise unavailable("This dispatcher is closing; the call was not taken.")
        content = self._read(call.request)
        if content.key is not None:
            record = self._find_by_key(call, content, content.key)
            if record is not None:
                self._join(call, record)
                return
        blocking = call.target.blocking
        streamed = wants_event_stream(call.request, blocking, content.key)
        if not blocking:
            self._check_deferrable(content.payload)
            if content.key is not None and look_up_key and self._look_up_key(call, content.key):
                return
        self._admit(call, content)
        if streamed:
            self._reply_streamed(call, content)
        else:
            self._reply_unstreamed(call, content)

    def _read(self, request: Request) -> InvocationContent:
        payload = read_json_object(request)
        key = read_idempotency_key(request)
        parent = parse_traceparent(request.headers.get("traceparent", ""))
        if parent is not None and parent.version == INVALID_VERSION:
            parent = None
        traceparent = self._context.trace_ids.traceparent(parent, self._context.request_count)
        digest = payload_digest(payload) if key is not None else ""
        return InvocationContent(payload, key, digest, client_key(key, payload), traceparent)

    # Idempotency keys.

    def _find_by_key(self, call: InvocationRequest, content: InvocationContent, key: str) -> Record | None:
        path = call.target.action.path
        try:
            return self._context.gateway.find_by_key(call.namespace.name, path, key, content.digest)
        except KeyConflictError as cause:
            raise ApiError(HTTPStatus.CONFLICT, f"Conflict: {cause}.") from None

    def _join(self, call: InvocationRequest, record: Record) -> None:
        """Reply to a client's retry.

        The reply is the recorded answer, or the activation id if the retry is deferred or the activation is not resumed
        yet after a restart; otherwise the client waits for the answer.
        """
        gateway, target = self._context.gateway, call.target
        wait = ClientWait(self._context, call.exchange, target.result_only)
        invocation = gateway.in_flight_of(record.id)
        if record.visible:
            record.fetched = True
            wait.on_final(record)
        elif not target.blocking or invocation is None:
            wait.accept(record)
        else:
            invocation.waiters.append(wait.on_final)
            call.exchange.on_client_gone = lambda: gateway.remove_waiter(record, wait.on_final)
            wait.limit_wait(invocation, target.wait_ms)

    def _look_up_key(self, call: InvocationRequest, key: str) -> bool:
        """Query the other dispatchers for the key; return False without replication, which the query needs.

        Another dispatcher may have accepted a deferred request under this key, even one that has failed since then.
        """
        lookup = self._context.activation_lookup
        if lookup is None:
            return False
        target = f"key:{call.namespace.name}/{call.target.action.path}/{key}"
        lookup.find(target, partial(self._on_key_lookup, call))
        return True

    def _on_key_lookup(self, call: InvocationRequest, address: str | None) -> None:
        exchange, code = call.exchange, self._context.error_code()
        if exchange.replied or exchange.client_gone:
            return
        if address:
            message = f"The call under this key is at {address} now; ask there."
            reply_error(exchange, redirect(message, address, call.request.target), code)
        elif address is None:
            try:
                self.invoke(call, look_up_key=False)
            except ApiError as error:
                reply_error(exchange, error, code)
        else:
            message = "Whether a call under this key was taken is not known yet; nothing was done."
            reply_error(exchange, unavailable(message), code)

    # Admission.

    def _check_deferrable(self, payload: bytes) -> None:
        """Check that a deferred request could be made durable.  Raises `ApiError` if not."""
        limit = self._max_deferred_bytes
        if limit and len(payload) > limit:
            message = f"A deferred call's body has at most {limit} bytes here: others hold it."
            raise ApiError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, message)
        if not self._context.gateway.accepts_deferred():
            raise unavailable("Deferred calls cannot be kept safe at the moment; the call was not taken.")

    def _admit(self, call: InvocationRequest, content: InvocationContent) -> None:
        """Check the limits on requests before any work is done for this one.  Raises `ApiError` beyond a limit."""
        path = call.target.action.path
        rejection = self._context.gateway.check_admission(
            now_ms(), call.namespace.name, path, len(content.payload), content.client_key
        )
        if rejection is None:
            return
        reason, retry_after_ms = rejection
        raise ApiError(
            HTTPStatus.TOO_MANY_REQUESTS,
            REJECTION_MESSAGES[reason],
            {"retry-after": retry_after_seconds(retry_after_ms)},
            answer=FinalStatus.REJECTED.value,
            retry_after_ms=round(retry_after_ms, 3),
        )

    # Submission.

    def _reply_unstreamed(self, call: InvocationRequest, content: InvocationContent) -> None:
        exchange, target = call.exchange, call.target
        wait = ClientWait(self._context, exchange, target.result_only)
        invocation = self._submit(call, content, wait.on_final)
        if target.blocking:
            exchange.on_client_gone = lambda: self._on_client_disconnected(invocation, wait)
            wait.limit_wait(invocation, target.wait_ms)
            self._context.driver.schedule_decisions()
        else:
            # Accept after the decision: a deferred request that is rejected immediately is answered 429, not 202.
            self._context.driver.schedule_decisions(lambda: wait.accept_when_durable(invocation))

    def _reply_streamed(self, call: InvocationRequest, content: InvocationContent) -> None:
        invocation = self._submit(call, content, None)
        EventStreamReply(self._context, call.exchange, invocation, call.target.result_only)
        self._context.driver.schedule_decisions()

    def _submit(
        self, call: InvocationRequest, content: InvocationContent, waiter: Callable[[Record], None] | None
    ) -> Invocation:
        """Submit the request to the gateway; without a `waiter`, its answer is streamed."""
        return self._context.gateway.submit(
            now_ms(),
            wall_ms(),
            Submission(
                call.namespace.name,
                call.target.action,
                content.payload,
                content.key,
                content.traceparent,
                deferred=not call.target.blocking,
                digest=content.digest,
                streamed=waiter is None,
                client_key=content.client_key,
            ),
            waiter,
        )

    def _on_client_disconnected(self, invocation: Invocation, wait: ClientWait) -> None:
        """Stop waiting if the client may retry with its idempotency key; cancel the request if it has none."""
        if invocation.record.key:
            self._context.gateway.remove_waiter(invocation.record, wait.on_final)
            return
        invocation.waiters.clear()
        self._context.cancel(invocation)
