"""A client that waits for the response to its unary inference call."""

from __future__ import annotations

import asyncio
from functools import partial

from kelptrail.codec.grpc import Code, GrpcError
from kelptrail.front.activation_lookup import DURABILITY_WAIT_SHARE
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.records import Record
from kelptrail.net.grpc_server import GrpcStream
from kelptrail.net.grpc_stream import ignore

from .context import InferenceContext, time_left_ms
from .errors import RETRY_RISK, deadline_exceeded, final_error, in_flight, not_accepted
from .responses import render_accepted, render_result, reply, succeeded

POLL_MARGIN_MS = 20  # Time before the client's deadline at which a poll without an answer ends


class ClientWait:
    """Responds to one call with the result, the activation id or an error status."""

    def __init__(self, context: InferenceContext, stream: GrpcStream, request_id: str, raw: bool) -> None:
        self._context, self._stream = context, stream
        self._request_id, self._raw = request_id, raw
        self._timer: asyncio.TimerHandle | None = None

    def on_final(self, record: Record) -> None:
        """Respond with the final answer of the activation."""
        self._cancel_timer()
        record.fetched = True
        if self._stream.ended:
            return
        if not succeeded(record):
            self._stream.fail(final_error(record))
            return
        try:
            reply(self._stream, render_result(record, self._request_id, self._raw, record.result))
        except GrpcError as error:
            self._stream.fail(error)

    def watch_client(self, invocation: Invocation, key: str | None) -> None:
        """Watch the client of a request in flight for a disconnect and for its deadline.

        A client with an idempotency key may retry, so its disconnect does not cancel the request.
        """
        self._stream.on_client_gone = partial(self._on_client_disconnected, invocation, key)
        if self._stream.deadline is not None:
            delay_ms = max(0.0, time_left_ms(self._stream))
            self._timer = self._context.call_later(delay_ms, partial(self._on_deadline, invocation))

    def _on_client_disconnected(self, invocation: Invocation, key: str | None) -> None:
        self._cancel_timer()
        if key is not None:  # The client may retry with this key to get the answer
            self._context.gateway.remove_waiter(invocation.record, self.on_final)
        else:
            invocation.waiters.clear()
            self._context.cancel(invocation)

    def _on_deadline(self, invocation: Invocation) -> None:
        record = invocation.record
        self._context.gateway.remove_waiter(record, self.on_final)
        self._stream.on_client_gone = ignore
        details = {"activation": record.id, "retrying": RETRY_RISK[record.idempotency]}
        self._stream.fail(deadline_exceeded(details))

    def join(self, record: Record, deferred: bool) -> None:
        """Respond to a client's retry.

        The response is the recorded answer, or the activation id if the retry is deferred or the activation is not
        resumed yet after a restart; otherwise the client waits for the answer.
        """
        invocation = self._context.gateway.in_flight_of(record.id)
        if record.visible:
            self.on_final(record)
        elif deferred or invocation is None:
            self.accept(record)
        else:
            invocation.waiters.append(self.on_final)
            self.watch_client(invocation, record.key)

    def poll(self, invocation: Invocation, wait_ms: float) -> None:
        """Respond with the final answer, or with an error after `wait_ms` or shortly before the client's deadline."""
        wait_ms = max(0.0, min(wait_ms, time_left_ms(self._stream) - POLL_MARGIN_MS))
        self._timer = self._context.call_later(wait_ms, partial(self._on_poll_timeout, invocation))
        self._stream.on_client_gone = partial(self._on_poll_client_disconnected, invocation)
        invocation.waiters.append(self.on_final)

    def _on_poll_timeout(self, invocation: Invocation) -> None:
        self._context.gateway.remove_waiter(invocation.record, self.on_final)
        self._stream.fail(in_flight())

    def _on_poll_client_disconnected(self, invocation: Invocation) -> None:
        self._cancel_timer()
        self._context.gateway.remove_waiter(invocation.record, self.on_final)

    def accept_when_durable(self, invocation: Invocation) -> None:
        """Accept a deferred request once its record is durable; respond with an error if it cannot become durable."""
        if self._stream.ended:
            return
        self._context.gateway.when_durable(invocation, partial(self._on_durability_known, invocation))
        self._context.driver.start_writes()
        if self._context.activation_lookup is not None:
            # Without a reachable majority of acceptors nothing becomes durable: notify the client before its timeout.
            delay_ms = DURABILITY_WAIT_SHARE * invocation.record.timeout_ms
            self._timer = self._context.call_later(delay_ms, partial(self._fail_unknown, invocation.record))

    def _on_durability_known(self, invocation: Invocation, durable: bool | None) -> None:
        """Respond according to `durable`, which is None if another dispatcher has taken over the journal."""
        if durable:
            self.accept(invocation.record)
        elif durable is None:
            self._fail_unknown(invocation.record)
        elif not self._stream.ended:
            self._stream.fail(not_accepted("The call could not be kept safe and was not taken."))
            self._context.cancel(invocation)

    def _fail_unknown(self, record: Record) -> None:
        if not self._stream.ended:
            text = (
                "Another dispatcher has taken over; whether it has this call is not known here.  "
                f"Ask for {record.id} before a repeat."
            )
            self._stream.fail(GrpcError(Code.UNKNOWN, text))

    def accept(self, record: Record) -> None:
        """Respond with the activation id, unless the call has ended."""
        self._cancel_timer()
        if self._stream.ended:
            return
        record.deferred = True
        reply(self._stream, render_accepted(record, self._request_id))

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
