"""A poll that waits for the final answer of an activation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.records import Record
from kelptrail.net.server import Exchange

from .context import InvokeContext
from .errors import in_flight
from .replies import reply_error, reply_json

View = Callable[[Record], dict[str, Any]]  # Returns the body of a reply about a record


class LongPoll:
    """Replies with a record once it has its final answer, or with an error once the wait time is over."""

    def __init__(self, context: InvokeContext, exchange: Exchange, invocation: Invocation, view: View) -> None:
        self._context, self._exchange, self._invocation, self._view = context, exchange, invocation, view
        self._timer: asyncio.TimerHandle | None = None

    def start(self, wait_ms: float) -> None:
        """Wait for the final answer for at most `wait_ms`."""
        self._timer = self._context.call_later(wait_ms, self._on_wait_timeout)
        self._invocation.waiters.append(self._on_final)
        self._exchange.on_client_gone = self._on_client_disconnected

    def _on_final(self, record: Record) -> None:
        self._cancel_timer()
        record.fetched = True
        reply_json(self._exchange, self._view(record))

    def _on_wait_timeout(self) -> None:
        self._stop_waiting()
        reply_error(self._exchange, in_flight(), self._context.error_code())

    def _on_client_disconnected(self) -> None:
        self._cancel_timer()
        self._stop_waiting()

    def _stop_waiting(self) -> None:
        self._context.gateway.remove_waiter(self._invocation.record, self._on_final)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
