"""A client that waits for an activation: for its final answer, or for the durable record of a deferred request."""

from __future__ import annotations

import asyncio
from functools import partial
from http import HTTPStatus

from kelptrail.clock import now_ms
from kelptrail.front.activation_lookup import DURABILITY_WAIT_SHARE
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.records import Record
from kelptrail.net.server import Exchange

from . import views
from .context import InvokeContext
from .errors import NOT_DURABLE_MESSAGE, ApiError, unavailable
from .replies import ACTIVATION_ID_HEADER, reply_error, reply_final

JOURNAL_CODE, UNKNOWN_CODE = "journal", "unknown"  # Values of `code` in error bodies about durability
# Maximum number of lookups of a request while another dispatcher takes over the journal, and the pause between two.
MAX_TAKEOVER_LOOKUPS, TAKEOVER_LOOKUP_INTERVAL_MS = 15, 500.0
TAKEN_OVER_MESSAGE = (
    "Another dispatcher has taken over; whether it has this call is not known here.  Ask before a repeat."
)


class ClientWait:
    """Replies to one request with the final answer, the activation id or an error."""

    __slots__ = ("_context", "_exchange", "_result_only", "_timer")

    def __init__(self, context: InvokeContext, exchange: Exchange, result_only: bool) -> None:
        self._context, self._exchange, self._result_only = context, exchange, result_only
        self._timer: asyncio.TimerHandle | None = None

    def on_final(self, record: Record) -> None:
        """Reply with the final answer of the activation."""
        self._cancel_timer()
        if not self._exchange.replied and not self._exchange.client_gone:
            reply_final(self._exchange, record, self._result_only, self._context.error_code())

    def limit_wait(self, invocation: Invocation, wait_ms: float) -> None:
        """Reply to a blocking client with the activation id after `wait_ms`, unless the request times out before."""
        if wait_ms < invocation.record.timeout_ms:
            self._timer = self._context.call_later(wait_ms, partial(self._on_wait_timeout, invocation))

    def _on_wait_timeout(self, invocation: Invocation) -> None:
        """Make the record durable if possible, then reply with the activation id.

        The client can only poll with this id, so the record should survive a crash from now on.  Without a usable
        journal, or if the write fails, the reply is sent nevertheless.
        """
        gateway = self._context.gateway
        gateway.make_durable(now_ms(), invocation)
        if invocation.lifecycle.journaled:
            gateway.when_durable(invocation, lambda _durable: self.accept(invocation.record))
            self._context.driver.schedule_decisions()
        else:
            self.accept(invocation.record)

    def accept_when_durable(self, invocation: Invocation) -> None:
        """Accept a deferred request once its record is durable; reply with an error if it cannot become durable."""
        if self._exchange.replied:
            return
        self._context.gateway.when_durable(invocation, partial(self._on_durability_known, invocation))
        self._context.driver.start_writes()
        if self._context.activation_lookup is not None and not self._exchange.replied:
            # Without a reachable majority of acceptors nothing becomes durable: notify the client before its timeout.
            delay_ms = DURABILITY_WAIT_SHARE * invocation.record.timeout_ms
            self._timer = self._context.call_later(delay_ms, partial(self._reply_unknown, invocation.record))

    def _on_durability_known(self, invocation: Invocation, durable: bool | None) -> None:
        """Reply according to `durable`, which is None if another dispatcher has taken over the journal."""
        if durable:
            self.accept(invocation.record)
        elif durable is None:
            self._look_up_after_takeover(invocation.record, MAX_TAKEOVER_LOOKUPS)
        elif not self._exchange.replied:
            self._reply_not_durable()
            self._context.cancel(invocation)

    def _look_up_after_takeover(self, record: Record, lookups_left: int) -> None:
        """Query the other dispatchers until the result shows whether the journal contained the request.

        After `lookups_left` queries without such a result, or without replication, reply that it is unknown.
        """
        lookup = self._context.activation_lookup
        if lookup is None or lookups_left == 0:
            self._reply_unknown(record)
            return
        lookup.find(record.id, partial(self._on_lookup, record, lookups_left))

    def _on_lookup(self, record: Record, lookups_left: int, address: str | None) -> None:
        if self._exchange.replied or self._exchange.client_gone:
            return
        if address:
            self.accept(record, f"http://{address}")
        elif address is None:  # The new primary of the journal does not have the request either
            self._reply_not_durable()
        else:
            retry = partial(self._look_up_after_takeover, record, lookups_left - 1)
            self._context.call_later(TAKEOVER_LOOKUP_INTERVAL_MS, retry)

    def _reply_unknown(self, record: Record) -> None:
        if not self._exchange.replied:
            error = ApiError(HTTPStatus.INTERNAL_SERVER_ERROR, TAKEN_OVER_MESSAGE, activationId=record.id)
            reply_error(self._exchange, error, UNKNOWN_CODE)

    def _reply_not_durable(self) -> None:
        reply_error(self._exchange, unavailable(NOT_DURABLE_MESSAGE), JOURNAL_CODE)

    def accept(self, record: Record, url: str = "") -> None:
        """Reply 202 with the activation id, unless a reply was sent.

        `url` is the URL of the dispatcher that has the record; empty for this one.
        """
        self._cancel_timer()
        if self._exchange.replied:
            return
        headers = {ACTIVATION_ID_HEADER: record.id}
        if url or self._context.url:
            path = f"/api/v1/namespaces/{record.namespace}/activations/{record.id}"
            headers["location"] = f"{url or self._context.url}{path}"
        record.deferred = True
        self._exchange.reply(HTTPStatus.ACCEPTED, views.encode({"activationId": record.id}), headers)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
