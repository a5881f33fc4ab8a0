"""Executes the steps of a graceful shutdown at the times that `kelptrail.dispatch.shutdown` plans.

GOAWAY is sent immediately.  Requests that still arrive are served until the planned time of refusal, and at the planned
end all open requests get their final answer.  From `ACCEPT_MS` on the process may exit as soon as no work is open.
"""

from __future__ import annotations

import asyncio

from kelptrail.dispatch.shutdown import ARRIVALS_MS, NOT_PLANNED, plan_shutdown
from kelptrail.engine.engine import Engine

from . import log_events
from .client_server import ClientServer
from .decision_executor import DecisionExecutor
from .log import event_log

ACCEPT_MS = ARRIVALS_MS  # new connections are accepted for at least this time
CHECK_INTERVAL_S = 0.02
CLOSE_LINGER_MS = 50.0  # gives clients time to read the last answers


class GracefulShutdown:
    """Shuts down one dispatcher; `finished` is done when the process may exit."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        client_server: ClientServer,
        executor: DecisionExecutor,
    ) -> None:
        self._loop, self._engine, self._client_server = loop, engine, client_server
        self._executor = executor
        self._plan = NOT_PLANNED
        self.finished = loop.create_future()

    @property
    def has_begun(self) -> bool:
        """Whether shutdown was requested."""
        return not self._client_server.ready

    def begin(self) -> None:
        """Start the shutdown; further calls have no effect."""
        if self.has_begun:
            return
        event_log(log_events.SHUTTING_DOWN, in_flight=len(self._executor.client_requests))
        self._client_server.write_go_away()
        self._plan = plan_shutdown(self._now(), self._executor.workers.limits.max_timeout_ms, ACCEPT_MS)
        self._loop.call_later(ACCEPT_MS / 1000, self._finish_if_idle)

    def _finish_if_idle(self) -> None:
        """Close all connections if no work is open; at the planned end, answer the open requests and close them anyway.

        Otherwise check again later, and refuse new requests from the planned time on.

        The check and the close run in the same iteration of the loop, so that no request can arrive in between.
        """
        now, plan = self._now(), self._plan
        if now >= plan.refuse_from:
            self._client_server.refuse_new_requests()
        if self._has_open_work() and now < plan.finish_by:
            self._loop.call_later(CHECK_INTERVAL_S, self._finish_if_idle)
            return
        for request in list(self._executor.client_requests):
            self._executor.answer_final(self._engine.terminate(now, request))
        self._client_server.close_gracefully(CLOSE_LINGER_MS)
        self._loop.call_later(CLOSE_LINGER_MS / 1000, self._finish)

    def _has_open_work(self) -> bool:
        """Stop accepting clients; return whether queued clients, requests or unfinished reads and writes remain."""
        server = self._client_server
        return (
            not server.stop_accepting() or bool(self._executor.client_requests) or not server.connections.is_quiescent
        )

    def _finish(self) -> None:
        if not self.finished.done():
            self.finished.set_result(None)

    def _now(self) -> float:
        return self._loop.time() * 1000
