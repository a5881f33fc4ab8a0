"""Carries out what the gateway core hands out, on sockets, and tells it what was seen there.

A send's outcome is read off its socket: no connection made is unreachable; nothing written is unsent; a refusal
that was read and marked is full or miss; all else after the first byte may have run.  Nothing is chosen here.
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
from .core import (
    OUTCOMES,
    CancelAttempt,
    FinalAnswer,
    Gateway,
    Invocation,
    LogEvent,
    ResponsePart,
    StartAttempt,
    StartLoad,
)

BEHIND_MS = 50.0  # a timer that rings so late is told of: the loop has too much to do
MOST_ANSWER_MS = 2.0  # what one answer may be taken to cost: a stall is not the answers'
GIVEN_UP = {
    "revoked": AttemptStatus.CANCELLED,
    "silent": AttemptStatus.SILENT,
    "order-time": AttemptStatus.SILENT,
    "malformed": AttemptStatus.CONNECTION_LOST,
}
ENDED = {
    CallOutcome.UNREACHABLE: AttemptStatus.UNREACHABLE,
    CallOutcome.UNSENT: AttemptStatus.NOT_SENT,
    CallOutcome.BROKEN: AttemptStatus.CONNECTION_LOST,
}


class Stream:
    """A streamed answer as it comes from one worker."""

    __slots__ = ("_driver", "_events", "_fault", "_final", "_ivk", "_send", "call")

    def __init__(self, driver: GatewayDriver, ivk: Invocation, send: Attempt, most: int) -> None:
        self._driver, self._ivk, self._send = driver, ivk, send
        self._events, self._final, self._fault = EventReader(most), None, False
        self.call: Call | None = None

    _final: tuple[bytes, bool] | None

    def piece(self, data: bytes) -> None:
        """Bytes of the stream.  What is not of the protocol ends it: its call is given up as broken."""
        try:
            events = self._events.feed(data)
            for event in events:
                if self._final is not None:
                    raise MalformedError("more after the last part")
                result, last, success = read_part(event, self._ivk.mark, self._ivk.form)
                if last:
                    self._final = result, success
                else:
                    self._driver.gateway.piece(now_ms(), self._send, result)
        except (MalformedError, TooLongError):
            self._fault = True
            if self.call is not None:
                self.call.cancel("malformed")
        self._driver.schedule_decisions()

    def ended(self, now: float, answer: WorkerAnswer) -> tuple[AttemptStatus, WorkerAnswer]:
        """What a whole response comes to.  A stream without its last part broke off; a worker that does not stream
        gave all in one."""
        if self._final is not None and not self._fault:
            return AttemptStatus.COMPLETED, replace(answer, result=self._final[0], success=self._final[1])
        return (AttemptStatus.CONNECTION_LOST if answer.streamed or self._fault else AttemptStatus.COMPLETED), answer


class GatewayDriver:
    """One dispatcher on the loop: the core, a pool for each worker, one timer."""

    def __init__(self, gateway: Gateway, name: str, pool: Any, log: Any) -> None:
        self.gateway, self.name, self._settings, self._log = gateway, name, pool, log
        self._loop = asyncio.get_running_loop()
        self._pools: dict[Worker, WorkerPool] = {}
        self._calls: dict[Attempt, Call] = {}
        self._streams: dict[Call, Stream] = {}
        self._orders: dict[Call, asyncio.TimerHandle] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._armed = float("inf")
        self._stirring = self._soon = False
        self._after: list[Callable[[], None]] = []
        self._swept = 0.0
        self.connection_health = ConnectionHealth()
        self.journal: JournalDriver | None = None
        self.replication: Callable[[], None] | None = None  # starts what waits to be copied
        self.debug = False
        self.tls: Callable[[], ssl.SSLContext] | None = None  # towards workers

    # What happens.

    def on_endpoints(self, listing: EndpointList) -> None:
        """A new worker list."""
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
        self.decide()

    def on_attempt_finished(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        """A send's call has ended."""
        ivk, send = call.tag
        self._calls.pop(send, None)
        answer = None
        stream = self._streams.pop(call, None)
        if ending is CallOutcome.ANSWERED and response is not None:
            answer = read_answer(response, ivk.mark, ivk.form)
            outcome = OUTCOMES[answer.kind]
            if stream is not None and outcome is AttemptStatus.COMPLETED:
                outcome, answer = stream.ended(now_ms(), answer)
        elif ending is CallOutcome.CANCELLED:
            outcome = GIVEN_UP.get(call.reason, AttemptStatus.CANCELLED)  # no reason: the loop ends
        else:
            outcome = ENDED[ending]
        if self.debug:
            self._log.debug(
                "send-ended",
                activation=send.request.id,
                trace=ivk.record.trace,
                send=send.number,
                worker=send.instance.worker.id,
                outcome=outcome.value,
            )
        now = now_ms()
        self.connection_health.on_attempt_finished(now, outcome)
        self.gateway.on_attempt_finished(now, send, outcome, answer)
        self.schedule_decisions()

    def on_load_report(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        """A hold order's call has ended."""
        order: LoadOrder = call.tag
        timer = self._orders.pop(call, None)
        if timer is not None:
            timer.cancel()
        if ending is CallOutcome.ANSWERED and response is not None:
            kind, standing = read_loaded(response)
            outcome = OUTCOMES[kind]
        else:
            outcome, standing = (GIVEN_UP[call.reason] if ending is CallOutcome.CANCELLED else ENDED[ending]), 0
        if self.debug:
            self._log.debug(
                "order-ended",
                function=order.instance.function.id,
                worker=order.instance.worker.id,
                outcome=outcome.value,
                standing=standing,
            )
        now = now_ms()
        self.connection_health.on_attempt_finished(now, outcome)
        self.gateway.on_load_report(now, order, outcome, standing)
        self.schedule_decisions()

    # What to do.

    def schedule_decisions(self, after: Callable[[], None] | None = None) -> None:
        """Stir once all that the loop has ready was taken in; `after` is called when that is carried out.

        Guards against deciding anew for each of a hundred answers that came together, in overload above all.
        """
        if after is not None:
            self._after.append(after)
        if not self._soon:
            self._soon = True
            self._loop.call_soon(self.decide)

    def decide(self) -> None:
        """Pull effects until there is none, then see to the timer."""
        if self._stirring:
            return
        self._stirring, self._soon = True, False
        now, finals = now_ms(), 0
        try:
            while (effect := self.gateway.on_decision_done(now)) is not None:
                if isinstance(effect, StartAttempt):
                    self._start(effect.invocation, effect.attempt)
                elif isinstance(effect, FinalAnswer):
                    self._final(effect.invocation)
                    finals += 1
                elif isinstance(effect, ResponsePart):
                    if effect.invocation.on_part is not None:
                        effect.invocation.on_part(effect.data)
                elif isinstance(effect, StartLoad):
                    self._order(effect.order)
                elif isinstance(effect, CancelAttempt):
                    if (call := self._calls.get(effect.attempt)) is not None:
                        call.cancel(effect.reason)
                elif isinstance(effect, LogEvent):
                    self._log.warning("unusual", what=effect.text)
        finally:
            self._stirring = False
        self.pump()
        if self._after:
            ready, self._after = self._after, []
            for after in ready:
                after()
        done = now_ms()
        if finals:  # writing it out costs about as much again, on the loop
            took = min(MOST_ANSWER_MS, 2 * (done - now) / finals)
            self.gateway.answer_ms += 0.02 * (took - self.gateway.answer_ms)
        if done - now > BEHIND_MS:
            self._log.warning("long-decision", ms=round(done - now), in_hand=self.gateway.in_flight)
        due = self.gateway.next_due()
        if due < self._armed - 0.01:
            if self._timer is not None:
                self._timer.cancel()
            self._armed = due
            self._timer = self._loop.call_later(max(0.0, due - now_ms()) / 1000, self._rung)

    def pump(self) -> None:
        """Start what waits to be made safe."""
        if self.journal is not None:
            self.journal.pump()
        if self.replication is not None:
            self.replication()

    def _rung(self) -> None:
        now = now_ms()
        if now - self._armed > BEHIND_MS:
            self._log.warning("behind", ms=round(now - self._armed), in_hand=self.gateway.in_flight)
        self._timer, self._armed = None, float("inf")
        if now - self._swept >= 1000.0:
            self._swept = now
            for pool in self._pools.values():
                pool.close_idle()
        self.decide()

    def _pool(self, worker: Worker) -> WorkerPool:
        pool = self._pools.get(worker)
        if pool is None:
            s = self._settings
            pool = self._pools[worker] = WorkerPool(
                self.gateway.members.addresses[worker], s.connections, s.connect_ms, s.idle_ms, s.answer_bytes, self.tls
            )
        return pool

    def _start(self, ivk: Invocation, send: Attempt) -> None:
        record = ivk.record
        if record.book is not None and not record.book.acting(now_ms()):
            # Looked at right before the write: another may have the book since the send was decided.
            self.gateway.on_attempt_finished(now_ms(), send, AttemptStatus.NOT_SENT)
            return
        pool = self._pool(send.instance.worker)
        parameters: dict[str, str | int | float | bool] = {
            "dispatcher": self.name,
            "activation": record.id,
            "send": send.number,
            "limit_ms": round(send.request.deadline - send.started_at, 1),
        }  # past it a worker does not begin
        if ivk.streamed:
            parameters["stream"] = True
        if ivk.form != "json":
            parameters["form"] = ivk.form
        data = infer_request(
            pool.address,
            ivk.action.model,
            ivk.mark,
            ivk.payload,
            parameters,
            {"traceparent": record.trace} if record.trace else {},
            ivk.form,
        )
        if ivk.streamed:
            stream = Stream(self, ivk, send, self._settings.answer_bytes)
            call = pool.start(data, self.on_attempt_finished, (ivk, send), stream.piece)
            self._streams[call], stream.call = stream, call
        else:
            call = pool.start(data, self.on_attempt_finished, (ivk, send))
        self._calls[send] = call
        if ivk.lifecycle.kept:
            self._loop.call_later(0.01, self.gateway.passes, "sent")
        if self.debug:
            self._log.debug(
                "send", activation=record.id, trace=record.trace, send=send.number, worker=send.instance.worker.id
            )

    def _order(self, order: LoadOrder) -> None:
        pool = self._pool(order.instance.worker)
        call = pool.start(
            load_request(pool.address, order.instance.function.id, order.count, self.name), self.on_load_report, order
        )
        self._orders[call] = self._loop.call_later(self._settings.order_ms / 1000, call.cancel, "order-time")
        if self.debug:
            self._log.debug(
                "order", function=order.instance.function.id, worker=order.instance.worker.id, count=order.count
            )

    def _final(self, ivk: Invocation) -> None:
        record = ivk.record
        if self.debug:
            self._log.debug(
                "final",
                activation=record.id,
                trace=record.trace,
                answer=record.answer,
                code=record.code,
                sends=record.sends,
                ms=round(record.end - record.start, 3),
            )
        waiters, ivk.waiters = ivk.waiters, []
        for waiter in waiters:
            waiter(record)

    def flow(self, ivk: Invocation, goes: bool) -> None:
        """A stream's client reads on, or does not: its worker's connection is read on, or is not."""
        bound = ivk.request.streaming_attempt
        call = self._calls.get(bound) if bound is not None else None
        if call is not None:
            (call.resume if goes else call.pause)()
        self.gateway.flow(now_ms(), ivk, goes)

    # The end.

    async def drain(self, within_ms: float) -> bool:
        """Wait until all that was taken has its final answer; True if it has."""
        end = now_ms() + within_ms
        while self.gateway.in_flight and now_ms() < end:
            await asyncio.sleep(0.005)
        clean = not self.gateway.in_flight
        if self._timer is not None:
            self._timer.cancel()
        for pool in self._pools.values():
            pool.close()
        return clean
