"""Streamed answer as server-sent events: a `part` event for each part, then a `final` event with the record.

An answer without parts is sent as a normal reply.
"""

from __future__ import annotations

from http import HTTPStatus

from kelptrail.codec.events import CONTENT_TYPE as EVENT_STREAM
from kelptrail.codec.events import encode_event
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.records import Record
from kelptrail.net.server import Exchange

from . import views
from .context import InvokeContext
from .replies import ACTIVATION_ID_HEADER, reply_final


class EventStreamReply:
    """Replies to one request with the parts of its answer as they arrive.

    `result_only` applies only if the answer has no parts: the `final` event always contains the complete record.
    """

    def __init__(self, context: InvokeContext, exchange: Exchange, invocation: Invocation, result_only: bool) -> None:
        self._context, self._exchange, self._invocation = context, exchange, invocation
        self._result_only = result_only
        self._paused = False  # Reading from the worker is paused because the client reads slowly
        invocation.on_part = self._on_part
        invocation.waiters.append(self._on_final)
        exchange.on_client_gone, exchange.on_writable = self._on_client_disconnected, self._on_writable

    def _on_part(self, data: bytes) -> None:
        exchange = self._exchange
        if not exchange.replied:
            headers = {ACTIVATION_ID_HEADER: self._invocation.record.id, "cache-control": "no-store"}
            exchange.start_stream(HTTPStatus.OK, headers, EVENT_STREAM)
        exchange.write_chunk(encode_event(data, "part"))
        if not exchange.can_write and not self._paused:
            self._paused = True
            self._context.driver.set_reading(self._invocation, False)

    def _on_writable(self) -> None:
        self._paused = False
        self._context.driver.set_reading(self._invocation, True)

    def _on_final(self, record: Record) -> None:
        if self._exchange.replied:
            self._exchange.write_chunk(encode_event(views.encode(views.activation(record)), "final"))
            self._exchange.end_stream()
        else:  # Without parts, the reply is the same as without streaming
            reply_final(self._exchange, record, self._result_only, self._context.error_code())

    def _on_client_disconnected(self) -> None:
        self._invocation.waiters.clear()
        self._invocation.on_part = None
        self._context.cancel(self._invocation)
