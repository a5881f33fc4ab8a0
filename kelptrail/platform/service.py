"""Assembles one dispatcher on the event loop and runs its timer.

`client_server` reads the bytes of clients.  `decision_executor` passes accepted requests to the engine and executes its
decisions on `worker_connections`; answers return the same way.  `endpoint_updates` keeps the workers up to date, and
`graceful_shutdown` stops the dispatcher.
"""

from __future__ import annotations

import asyncio
import time
import traceback
from typing import Any, NamedTuple

from kelptrail.dispatch.function_table import limits_for_memory
from kelptrail.engine.engine import EndpointListTiming, Engine
from kelptrail.engine.invariants import DrainTiming, Invariants
from kelptrail.engine.wall_clock import WallClockReader

from . import log_events
from .client_server import ClientLimits, ClientServer
from .config import Config
from .decision_executor import DecisionExecutor
from .endpoint_updates import EndpointUpdates
from .graceful_shutdown import GracefulShutdown
from .log import event_log
from .parsed_request import RequestRules

# According to the protocol page, a change that the list could not deliver counts as notified 4 s after the list fell
# silent, or 2 s after a connection to it broke.
LIST_TIMING = EndpointListTiming(notification_ms=4_000.0, broken_notification_ms=2_000.0)
STATE_INTERVAL_MS = 5_000.0  # interval of the `state` lines in the log
TIMER_TOLERANCE_MS = 0.01  # the timer is not rescheduled if the new due time is earlier by less than this
OTHER_DESCRIPTORS = 24  # descriptors for the event loop, the endpoint list and the log
MIN_WORKER_CONNECTIONS = 4
BODY_MEMORY_SHARE = 1 / 16  # share of the process's memory for the bodies of open requests


def log_unexpected_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an unhandled exception; installed as the loop's exception handler.

    The exception ends only the callback or task that raised it.
    """
    cause = context.get("exception")
    frame = traceback.extract_tb(cause.__traceback__)[-1] if cause is not None and cause.__traceback__ else None
    event_log(
        log_events.UNEXPECTED_ERROR,
        problem=context.get("message"),
        task=context.get("task"),
        cause=repr(cause),
        at=f"{frame.filename.rpartition('/')[2]}:{frame.lineno}" if frame else "-",
    )


class Service:
    """One dispatcher with its configuration.  Times are in milliseconds of the loop's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config) -> None:
        self._loop, self.config = loop, config
        loop.set_exception_handler(log_unexpected_error)
        shares = _share_descriptors(config.descriptors)
        function_limits = limits_for_memory(config.memory_mb, shares.clients)
        self.engine = Engine(config.seed, config.settings, LIST_TIMING, function_limits)
        self._wall_clock = WallClockReader(time.time() * 1000, self._now())
        self.invariants = Invariants(event_log, self._drain_timing())
        self.client_server = self._make_client_server(shares.clients)
        self.executor = DecisionExecutor(
            loop,
            config,
            self.engine,
            self.client_server,
            shares.workers,
            self._schedule_decisions,
            self.invariants,
        )
        self.client_server.handler = self.executor
        self._shutdown = GracefulShutdown(loop, self.engine, self.client_server, self.executor)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._tick_due = self._now() + self.engine.tick_ms
        self._decisions_scheduled = self._closed = False
        self._state_due = self._now() + STATE_INTERVAL_MS
        self.endpoints = EndpointUpdates(
            loop,
            self.engine,
            self.executor.workers,
            self._wall_clock,
            self.executor.on_item_finished,
            self._schedule_decisions,
            self.invariants,
        )
        self.endpoints.follow(config)

    def _drain_timing(self) -> DrainTiming:
        limits = self.engine.readiness_limits
        return DrainTiming(limits.notification_ms, limits.drain_grace_ms)

    def _make_client_server(self, max_connections: int) -> ClientServer:
        sockets = self.config.sockets
        max_body_bytes = int(self.config.memory_mb * (1 << 20) * BODY_MEMORY_SHARE)
        limits = ClientLimits(max_connections, max_body_bytes, max(sockets.max_timeout_ms.values()))
        rules = RequestRules(
            {request_class.name: request_class for request_class in self.engine.request_classes},
            {tenant.name: tenant for tenant in self.engine.tenants},
            sockets.max_timeout_ms,
            sockets.max_function_mb,
        )
        return ClientServer(self._loop, limits, rules, event_log, self.invariants)

    @property
    def finished(self) -> asyncio.Future[None]:
        """A future that is done when a shutdown is complete."""
        return self._shutdown.finished

    @property
    def last_event_number(self) -> int:
        """The number of the last event of the endpoint list that was applied."""
        return self.endpoints.last_event_number

    @property
    def shutting_down(self) -> bool:
        """Whether shutdown was requested."""
        return self._shutdown.has_begun

    def open(self) -> int:
        """Start to accept clients and return the port.  Raises `OSError`."""
        port = self.client_server.open(self.config.listen)
        self._schedule_decisions()
        return port

    def reload(self, config: Config) -> None:
        """Apply a new configuration; only the address of the endpoint list can change while the dispatcher runs."""
        self.config = config
        event_log(log_events.CONFIGURATION, journal=config.endpoint_list)
        self.endpoints.set_address(config.endpoint_list)

    def shut_down(self) -> None:
        """Start a graceful shutdown."""
        self._shutdown.begin()

    def close(self) -> None:
        """Close all sockets, which ends open attempts; no decisions are made afterwards."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.endpoints.close()
        self.client_server.close()
        self.executor.workers.close()

    def _now(self) -> float:
        return self._loop.time() * 1000

    # Decisions.

    def _schedule_decisions(self) -> None:
        """Schedule a round of decisions after the callbacks that the loop already has ready."""
        if not self._decisions_scheduled:
            self._decisions_scheduled = True
            self._loop.call_soon(self._decide)

    def _decide(self) -> None:
        self._decisions_scheduled = False
        if self._closed:
            return
        now = self._now()
        try:
            self.executor.execute_decisions(now)
        finally:
            self._set_timer()

    # Timer.

    def _set_timer(self) -> None:
        tick_due = self._tick_due
        due = min(tick_due, self.engine.next_due() or tick_due, self.executor.timeouts.next_due() or tick_due)
        if self._timer is None or due < self._timer_due - TIMER_TOLERANCE_MS:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due = due
            self._timer = self._loop.call_at(due / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer, now = None, self._now()
        try:
            self.executor.expire_timeouts(now)
            if now >= self._tick_due:
                self._tick(now)
            if now >= self._state_due:
                self._state_due = now + STATE_INTERVAL_MS
                self._log_state()
        finally:
            self._decide()

    def _tick(self, now: float) -> None:
        self._tick_due = now + self.engine.tick_ms
        if self._wall_clock.observe(time.time() * 1000, now):
            event_log(log_events.WALL_CLOCK_STEPPED, steps=self._wall_clock.steps)
        self.engine.on_tick(now)
        self.endpoints.check_age()
        self.client_server.connections.sweep()
        self.executor.workers.sweep()

    def _log_state(self) -> None:
        """Log a summary of the open work and connections, the workers, the endpoint list and the counted events."""
        executor, workers = self.executor, self.engine.workers.values()
        readiness = self.engine.readiness(self._now())
        event_log(
            log_events.STATE,
            in_flight=len(executor.client_requests),
            clients=len(self.client_server.connections),
            functions=len(self.engine.functions),
            unproven=self.engine.unproven_functions,
            attempts=sum(len(worker.attempts) for worker in workers),
            open=executor.workers.open_item_count,
            connections=executor.workers.connection_count,
            ejected=sum(self._now() < worker.outlier_state.ejected_until for worker in workers),
            suspect=sum(worker.suspect for worker in workers),
            list_number=self.last_event_number,
            list_age_ms=round(self.endpoints.list_age_ms),
            list_stale=readiness.list_is_stale,
            ready_known=readiness.known,
            ready_unknown=readiness.unknown,
            held_queues=readiness.held_queues,
            questions=readiness.questions,
            ends=dict(executor.status_counts),
            violations=dict(self.invariants.violations),
            events=dict(event_log.counts),
        )
        executor.status_counts.clear()


class DescriptorShares(NamedTuple):
    """Limits of the numbers of connections to clients and to workers."""

    clients: int
    workers: int


def _share_descriptors(descriptors: int) -> DescriptorShares:
    """Divide the descriptors of the process between clients, workers and other uses.

    A third of them is enough for well-behaved clients; clients get 5/12, as other clients open more connections.
    """
    clients = descriptors * 5 // 12
    others = min(OTHER_DESCRIPTORS, descriptors // 8)
    return DescriptorShares(clients, max(MIN_WORKER_CONNECTIONS, descriptors - clients - others))
