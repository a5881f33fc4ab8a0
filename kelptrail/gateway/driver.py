"""Carries out the gateway core's effects on sockets, and reports to the core what happened there.

An attempt's status follows from its socket: no connection is unreachable; nothing written is not sent; a response that
was read and says so is out of capacity or not loaded; anything else after the first byte may have run.  Nothing is
decided here.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from kelptrail.clock import now_ms
from kelptrail.codec.events import EventReader, TooLongError
from kelptrail.codec.http import Response
from kelptrail.codec.infer import (
    MalformedError,
    WorkerAnswer,
    infer_request,
    load_request,
    read_answer,
    read_loaded,
    read_part,
)
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder, Worker
from kelptrail.membership.members import EndpointList
from kelptrail.net.pool import Call, CallOutcome, WorkerPool
from kelptrail.store.driver import JournalDriver

from .connection_health import ConnectionHealth
from .core import Gateway
from .effects import CancelAttempt, CancelReason, Effect, FinalAnswer, LogEvent, ResponsePart, StartAttempt, StartLoad
from .invocation import Invocation

LATE_MS = 50.0  # a timer that fires so late, or effects that take so long, are logged: the loop is overloaded
MAX_ANSWER_MS = 2.0  # what one answer may be taken to cost: a stall is not the answers' cost
SOCKET_WRITE_FACTOR = 2  # writing an answer to its socket, on the loop later, costs about as much again
ANSWER_COST_WEIGHT = 0.02  # of one measurement in the average cost of an answer
TIMER_TOLERANCE_MS = 0.01
SWEEP_INTERVAL_MS = 1000.0  # how often idle worker connections are closed
DRAIN_POLL_S = 0.005
STEP_DELAY_S = 0.01  # the request is on its way when the crash tests' step "sent" is reported
STATUS_BY_CANCEL_REASON: dict[str, AttemptStatus] = {
    CancelReason.CANCELLED: AttemptStatus.CANCELLED,
    CancelReason.SILENT: AttemptStatus.SILENT,
    CancelReason.LOAD_TIMEOUT: AttemptStatus.SILENT,
    CancelReason.MALFORMED: AttemptStatus.CONNECTION_LOST,
}
STATUS_BY_ANSWER_KIND = {
    "completed": AttemptStatus.COMPLETED,
    "error": AttemptStatus.ERROR,
    "full": AttemptStatus.OUT_OF_CAPACITY,
    "miss": AttemptStatus.NOT_LOADED,
}
STATUS_BY_ENDING = {
    CallOutcome.UNREACHABLE: AttemptStatus.UNREACHABLE,
    CallOutcome.UNSENT: AttemptStatus.NOT_SENT,
    CallOutcome.BROKEN: AttemptStatus.CONNECTION_LOST,
}


class Stream:
    """A streamed response as it arrives from one worker."""

    __slots__ = ("_attempt", "_driver", "_events", "_final", "_invocation", "_malformed", "call")

    def __init__(self, driver: GatewayDriver, invocation: Invocation, attempt: Attempt, max_event_bytes: int) -> None:
        self._driver, self._invocation, self._attempt = driver, invocation, attempt
        self._events = EventReader(max_event_bytes)
        self._final: tuple[bytes, bool] | None = None  # the last part: the result, and whether it is a success
        self._malformed = False
        self.call: Call | None = None

    def on_data(self, data: bytes) -> None:
        """Bytes of the stream have arrived.  Where they break the protocol the call is cancelled as malformed."""
        try:
            events = self._events.feed(data)
            for event in events:
                if self._final is not None:
                    raise MalformedError("more after the last part")
                result, last, success = read_part(
                    event, self._invocation.deduplication_id, self._invocation.payload_format
                )
                if last:
                    self._final = result, success
                else:
                    self._driver.gateway.on_response_part(now_ms(), self._attempt, result)
        except (MalformedError, TooLongError):
            self._malformed = True
            if self.call is not None:
                self.call.cancel(CancelReason.MALFORMED)
        self._driver.schedule_decisions()

    def finish(self, now: float, answer: WorkerAnswer) -> tuple[AttemptStatus, WorkerAnswer]:
        """The attempt's status and answer, once the response is complete.

        A stream without its last part counts as a lost connection; a worker that does not stream sent one answer.
        """
        if self._final is not None and not self._malformed:
            return AttemptStatus.COMPLETED, replace(answer, result=self._final[0], success=self._final[1])
        return (
            AttemptStatus.CONNECTION_LOST if answer.streamed or self._malformed else AttemptStatus.COMPLETED
        ), answer


class GatewayDriver:
    """One dispatcher on the event loop: the core, a connection pool for each worker, one timer."""

    def __init__(self, gateway: Gateway, name: str, pool: Any, log: Any) -> None:
        self.gateway, self.name, self._settings, self._log = gateway, name, pool, log
        self._loop = asyncio.get_running_loop()
        self._pools: dict[Worker, WorkerPool] = {}
        self._calls: dict[Attempt, Call] = {}
        self._streams: dict[Call, Stream] = {}
        self._load_timeouts: dict[Call, asyncio.TimerHandle] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._running_effects = self._effects_scheduled = False
        self._after_effects: list[Callable[[], None]] = []
        self._swept_at = 0.0
        self.connection_health = ConnectionHealth()
        self.journal: JournalDriver | None = None
        self.start_replication: Callable[[], None] | None = None  # starts writes to replicas
        self.debug = False
        self.tls: Callable[[], ssl.SSLContext] | None = None  # for connections to workers

    # Events.

    def on_endpoints(self, listing: EndpointList) -> None:
        """A new endpoint list: close the pools of workers that are gone or have moved."""
        gateway = self.gateway
        gateway.on_endpoints(now_ms(), listing)
        addresses = gateway.members.addresses
        for worker, pool in list(self._pools.items()):
            if addresses.get(worker) != pool.address:
                pool.close()
                del self._pools[worker]
        self._log.info(
            "list", version=listing.version, workers=len(listing.workers), live=sum(w.live for w in gateway.members)
        )
        self.run_effects()

    def on_attempt_finished(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        """An attempt's call has ended."""
        invocation: Invocation = call.tag[0]
        attempt: Attempt = call.tag[1]
        self._calls.pop(attempt, None)
        answer = None
        stream = self._streams.pop(call, None)
        if ending is CallOutcome.ANSWERED and response is not None:
            answer = read_answer(response, invocation.deduplication_id, invocation.payload_format)
            status = STATUS_BY_ANSWER_KIND[answer.kind]
            if stream is not None and status is AttemptStatus.COMPLETED:
                status, answer = stream.finish(now_ms(), answer)
        elif ending is CallOutcome.CANCELLED:
            status = STATUS_BY_CANCEL_REASON.get(call.reason, AttemptStatus.CANCELLED)  # no reason: the loop is closing
        else:
            status = STATUS_BY_ENDING[ending]
        if self.debug:
            self._log.debug(
                "send-ended",
                activation=attempt.request.id,
                trace=invocation.record.trace,
                send=attempt.number,
                worker=attempt.instance.worker.id,
                outcome=status.value,
            )
        now = now_ms()
        self.connection_health.on_attempt_finished(now, status)
        self.gateway.on_attempt_finished(now, attempt, status, answer)
        self.schedule_decisions()

    def on_load_report(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        """A load order's call has ended."""
        order: LoadOrder = call.tag
        timer = self._load_timeouts.pop(call, None)
        if timer is not None:
            timer.cancel()
        if ending is CallOutcome.ANSWERED and response is not None:
            kind, loaded = read_loaded(response)
            status = STATUS_BY_ANSWER_KIND[kind]
        else:
            status, loaded = (
                (STATUS_BY_CANCEL_REASON[call.reason] if ending is CallOutcome.CANCELLED else STATUS_BY_ENDING[ending]),
                0,
            )
        if self.debug:
            self._log.debug(
                "order-ended",
                function=order.instance.function.id,
                worker=order.instance.worker.id,
                outcome=status.value,
                standing=loaded,
            )
        now = now_ms()
        self.connection_health.on_attempt_finished(now, status)
        self.gateway.on_load_report(now, order, status, loaded)
        self.schedule_decisions()

    # Effects.

    def schedule_decisions(self, after: Callable[[], None] | None = None) -> None:
        """Carry out effects once the loop has processed all ready events; `after` is called when that is done.

        Guards against deciding again for each of a hundred answers that arrived together, above all in overload.
        """
        if after is not None:
            self._after_effects.append(after)
        if not self._effects_scheduled:
            self._effects_scheduled = True
            self._loop.call_soon(self.run_effects)

    def run_effects(self) -> None:
        """Carry out effects until there is none, start journal writes, and set the timer."""
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
            self._start_attempt(effect.invocation, effect.attempt)
        elif isinstance(effect, FinalAnswer):
            self._notify_waiters(effect.invocation)
        elif isinstance(effect, ResponsePart):
            if effect.invocation.on_part is not None:
                effect.invocation.on_part(effect.data)
        elif isinstance(effect, StartLoad):
            self._start_load(effect.order)
        elif isinstance(effect, CancelAttempt):
            if (call := self._calls.get(effect.attempt)) is not None:
                call.cancel(effect.reason)
        elif isinstance(effect, LogEvent):
            self._log.warning("unusual", what=effect.text)

    def _measure(self, started: float, answers: int) -> None:
        """Average what an answer costs; report effects that blocked the loop for long."""
        done = now_ms()
        if answers:
            answer_ms = min(MAX_ANSWER_MS, SOCKET_WRITE_FACTOR * (done - started) / answers)
            state = self.gateway.state
            state.answer_ms += ANSWER_COST_WEIGHT * (answer_ms - state.answer_ms)
        if done - started > LATE_MS:
            self._log.warning("long-decision", ms=round(done - started), in_hand=self.gateway.in_flight)

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
            self._log.warning("behind", ms=round(now - self._timer_due), in_hand=self.gateway.in_flight)
        self._timer, self._timer_due = None, float("inf")
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            for pool in self._pools.values():
                pool.close_idle()
        self.run_effects()

    def _pool(self, worker: Worker) -> WorkerPool:
        pool = self._pools.get(worker)
        if pool is None:
            s = self._settings
            pool = self._pools[worker] = WorkerPool(
                self.gateway.members.addresses[worker], s.connections, s.connect_ms, s.idle_ms, s.answer_bytes, self.tls
            )
        return pool

    def _start_attempt(self, invocation: Invocation, attempt: Attempt) -> None:
        journal = invocation.record.replicated_journal
        if journal is not None and not journal.is_primary(now_ms()):
            # Checked right before the write: another dispatcher may have become the primary since the decision.
            self.gateway.on_attempt_finished(now_ms(), attempt, AttemptStatus.NOT_SENT)
            return
        pool = self._pool(attempt.instance.worker)
        data = self._infer_request(pool.address, invocation, attempt)
        if invocation.streamed:
            stream = Stream(self, invocation, attempt, self._settings.answer_bytes)
            call = pool.start(data, self.on_attempt_finished, (invocation, attempt), stream.on_data)
            self._streams[call], stream.call = stream, call
        else:
            call = pool.start(data, self.on_attempt_finished, (invocation, attempt))
        self._calls[attempt] = call
        if invocation.lifecycle.journaled:
            self._loop.call_later(STEP_DELAY_S, self.gateway.durability.on_step, "sent")
        if self.debug:
            self._log.debug(
                "send",
                activation=invocation.record.id,
                trace=invocation.record.trace,
                send=attempt.number,
                worker=attempt.instance.worker.id,
            )

    def _infer_request(self, address: Any, invocation: Invocation, attempt: Attempt) -> bytes:
        record = invocation.record
        parameters: dict[str, str | int | float | bool] = {
            "dispatcher": self.name,
            "activation": record.id,
            "send": attempt.number,
            "limit_ms": round(attempt.request.deadline - attempt.started_at, 1),  # a worker begins no later
        }
        if invocation.streamed:
            parameters["stream"] = True
        if invocation.payload_format != "json":
            parameters["form"] = invocation.payload_format
        return infer_request(
            address,
            invocation.action.model,
            invocation.deduplication_id,
            invocation.payload,
            parameters,
            {"traceparent": record.trace} if record.trace else {},
            invocation.payload_format,
        )

    def _start_load(self, order: LoadOrder) -> None:
        pool = self._pool(order.instance.worker)
        call = pool.start(
            load_request(pool.address, order.instance.function.id, order.count, self.name), self.on_load_report, order
        )
        self._load_timeouts[call] = self._loop.call_later(
            self._settings.order_ms / 1000, call.cancel, CancelReason.LOAD_TIMEOUT
        )
        if self.debug:
            self._log.debug(
                "order", function=order.instance.function.id, worker=order.instance.worker.id, count=order.count
            )

    def _notify_waiters(self, invocation: Invocation) -> None:
        record = invocation.record
        if self.debug:
            self._log.debug(
                "final",
                activation=record.id,
                trace=record.trace,
                answer=record.answer,
                code=record.code,
                sends=record.attempt_count,
                ms=round(record.end - record.start, 3),
            )
        waiters, invocation.waiters = invocation.waiters, []
        for waiter in waiters:
            waiter(record)

    def set_reading(self, invocation: Invocation, reading: bool) -> None:
        """Whether a stream's client reads: reading from its worker's connection resumes or pauses with it."""
        attempt = invocation.request.streaming_attempt
        call = self._calls.get(attempt) if attempt is not None else None
        if call is not None:
            (call.resume if reading else call.pause)()
        self.gateway.set_reading(now_ms(), invocation, reading)

    # Shutdown.

    async def drain(self, within_ms: float) -> bool:
        """Wait until every accepted request has its final answer, at most `within_ms`; True if all have."""
        end = now_ms() + within_ms
        while self.gateway.in_flight and now_ms() < end:
            await asyncio.sleep(DRAIN_POLL_S)
        clean = not self.gateway.in_flight
        if self._timer is not None:
            self._timer.cancel()
        for pool in self._pools.values():
            pool.close()
        return clean
