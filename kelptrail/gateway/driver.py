"""Carries out the gateway core's effects on the event loop: calls to workers, answers to clients, one timer.

The driver makes no decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from kelptrail.clock import now_ms
from kelptrail.membership.members import EndpointList
from kelptrail.settings.deployment import PoolSettings
from kelptrail.store.driver import JournalDriver

from .core import Gateway
from .effects import CancelAttempt, Effect, FinalAnswer, LogEvent, ProbeWorker, ResponsePart, StartAttempt, StartLoad
from .invocation import Invocation
from .worker_calls import WorkerCalls

LATE_MS = 50.0  # a timer that fires later, or effects that take longer, are logged as signs of an overloaded loop
MAX_ANSWER_MS = 2.0  # largest cost counted for one answer; a longer time is a stall of the loop
SOCKET_WRITE_FACTOR = 2  # the later write of an answer to its socket takes about as long again
ANSWER_COST_WEIGHT = 0.02  # weight of one measurement in the average cost of an answer
TIMER_TOLERANCE_MS = 0.01  # smaller differences do not move the timer to an earlier time
SWEEP_INTERVAL_MS = 1000.0  # shortest interval between two closings of idle worker connections
DRAIN_POLL_S = 0.005  # interval at which `drain` checks for requests in flight


class GatewayDriver:
    """Runs one dispatcher on the event loop: the core, a connection pool for each worker, and one timer."""

    def __init__(self, gateway: Gateway, name: str, pool: PoolSettings, log: Any, debug: bool = False) -> None:
        """Create the driver of a gateway; `debug` logs each attempt, load order and final answer."""
        self.gateway, self.name, self._log, self._debug = gateway, name, log, debug
        self.worker_calls = WorkerCalls(gateway, name, pool, log, debug, self.schedule_decisions)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._running_effects = self._effects_scheduled = False
        self._after_effects: list[Callable[[], None]] = []
        self._swept_at = 0.0
        self.journal: JournalDriver | None = None
        self.start_replication: Callable[[], None] | None = None  # called to start writes to replicas

    # Events.

    def on_initial_list(self) -> None:
        """Record that the applied endpoint list was read from the disk."""
        self.gateway.readiness.on_initial_list(now_ms())

    def on_list_confirmed(self) -> None:
        """Record that the source of the endpoint list has answered."""
        self.gateway.readiness.on_list_confirmed(now_ms())
        self.schedule_decisions()

    def on_endpoints(self, listing: EndpointList) -> None:
        """Apply a new endpoint list, and close the pools of workers that were removed or have another address."""
        gateway = self.gateway
        gateway.on_endpoints(now_ms(), listing)
        self.worker_calls.close_moved()
        self._log.info(
            "endpoints-updated",
            version=listing.version,
            workers=len(listing.workers),
            live=sum(w.live for w in gateway.members),
        )
        self.run_effects()

    # Effects.

    def schedule_decisions(self, after: Callable[[], None] | None = None) -> None:
        """Schedule `run_effects` for when the loop has processed all ready events; `after` is called afterwards.

        Without the delay, the dispatcher would decide again after each of many answers that arrived together, which
        costs most under overload.
        """
        if after is not None:
            self._after_effects.append(after)
        if not self._effects_scheduled:
            self._effects_scheduled = True
            self._loop.call_soon(self.run_effects)

    def run_effects(self) -> None:
        """Carry out all pending effects, start journal writes, and set the timer."""
        if self._running_effects:
            return
        self._running_effects, self._effects_scheduled = True, False
        started, answers = now_ms(), 0
        try:
            while (effect := self.gateway.next_effect(started)) is not None:
                self._execute(effect)
                answers += isinstance(effect, FinalAnswer)
        finally:
            self._running_effects = False
        self.start_writes()
        if self._after_effects:
            callbacks, self._after_effects = self._after_effects, []
            for callback in callbacks:
                callback()
        self._measure(started, answers)
        self._set_timer()

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, StartAttempt):
            self.worker_calls.start_attempt(effect.invocation, effect.attempt)
        elif isinstance(effect, FinalAnswer):
            self._notify_waiters(effect.invocation)
        elif isinstance(effect, ResponsePart):
            if effect.invocation.on_part is not None:
                effect.invocation.on_part(effect.data)
        elif isinstance(effect, StartLoad):
            self.worker_calls.start_load(effect.order)
        elif isinstance(effect, ProbeWorker):
            self.worker_calls.start_probes(effect.question)
        elif isinstance(effect, CancelAttempt):
            self.worker_calls.cancel(effect.attempt, effect.reason)
        elif isinstance(effect, LogEvent):
            self._log.warning("dispatcher-warning", what=effect.text)

    def _measure(self, started: float, answers: int) -> None:
        """Update the average cost of an answer, and log effects that blocked the loop for a long time."""
        done = now_ms()
        if answers:
            answer_ms = min(MAX_ANSWER_MS, SOCKET_WRITE_FACTOR * (done - started) / answers)
            state = self.gateway.state
            state.answer_ms += ANSWER_COST_WEIGHT * (answer_ms - state.answer_ms)
        if done - started > LATE_MS:
            self._log.warning("decisions-slow", ms=round(done - started), in_flight=self.gateway.in_flight)

    def _set_timer(self) -> None:
        due = self.gateway.next_due()
        if due < self._timer_due - TIMER_TOLERANCE_MS:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due = due
            self._timer = self._loop.call_later(max(0.0, due - now_ms()) / 1000, self._on_timer)

    def start_writes(self) -> None:
        """Start writes to the journal and to replicas."""
        if self.journal is not None:
            self.journal.start_next_batch()
        if self.start_replication is not None:
            self.start_replication()

    def _on_timer(self) -> None:
        now = now_ms()
        if now - self._timer_due > LATE_MS:
            self._log.warning("timer-late", ms=round(now - self._timer_due), in_flight=self.gateway.in_flight)
        self._timer, self._timer_due = None, float("inf")
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            self.worker_calls.close_idle()
        self.run_effects()

    def _notify_waiters(self, invocation: Invocation) -> None:
        record = invocation.record
        if self._debug:
            self._log.debug(
                "request-finished",
                activation=record.id,
                trace=record.trace,
                answer=record.answer,
                code=record.code,
                attempts=record.attempt_count,
                ms=round(record.end - record.start, 3),
            )
        waiters, invocation.waiters = invocation.waiters, []
        for waiter in waiters:
            waiter(record)

    def set_reading(self, invocation: Invocation, reading: bool) -> None:
        """Resume or pause reading from the worker of a stream, according to whether its client reads."""
        self.worker_calls.set_reading(invocation.request.streaming_attempt, reading)
        self.gateway.set_reading(now_ms(), invocation, reading)

    # Shutdown.

    async def drain(self, within_ms: float) -> bool:
        """Wait up to `within_ms` for all final answers, then close the connections to workers.

        Return whether all final answers were given.
        """
        end = now_ms() + within_ms
        while self.gateway.in_flight and now_ms() < end:
            await asyncio.sleep(DRAIN_POLL_S)
        drained = not self.gateway.in_flight
        if self._timer is not None:
            self._timer.cancel()
        self.worker_calls.close()
        return drained
