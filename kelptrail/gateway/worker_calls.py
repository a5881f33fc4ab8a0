"""Calls to workers: carries out attempts and load orders on sockets, and reports their results to the core.

An attempt's status follows from its socket: without a connection it is unreachable; if nothing was written it is not
sent; a complete response can report that the worker is out of capacity or has not loaded the function; in all other
cases after the first byte the request may have run.  This module makes no decisions.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from kelptrail.clock import now_ms
from kelptrail.codec.http import Response
from kelptrail.codec.infer import infer_request, load_request, read_answer, read_loaded
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder, ReadinessQuestion, Worker
from kelptrail.net.pool import Call, CallOutcome, WorkerPool
from kelptrail.settings.deployment import PoolSettings

from .connection_health import ConnectionHealth
from .core import Gateway
from .effects import CancelReason
from .invocation import Invocation
from .response_stream import AttemptEnd, ResponseStream

STEP_DELAY_S = 0.01  # delay of the crash tests' step "sent", by which time the request has been written
STATUS_BY_CANCEL_REASON: dict[str, AttemptStatus] = {
    CancelReason.CANCELLED: AttemptStatus.CANCELLED,
    CancelReason.SILENT: AttemptStatus.SILENT,
    CancelReason.LOAD_OR_PROBE_TIMEOUT: AttemptStatus.SILENT,
    CancelReason.MALFORMED: AttemptStatus.CONNECTION_LOST,
}
STATUS_BY_ANSWER_KIND = {
    "completed": AttemptStatus.COMPLETED,
    "error": AttemptStatus.ERROR,
    "full": AttemptStatus.OUT_OF_CAPACITY,
    "miss": AttemptStatus.NOT_LOADED,
}
STATUS_BY_OUTCOME = {
    CallOutcome.UNREACHABLE: AttemptStatus.UNREACHABLE,
    CallOutcome.UNSENT: AttemptStatus.NOT_SENT,
    CallOutcome.BROKEN: AttemptStatus.CONNECTION_LOST,
}


class _AttemptCall(NamedTuple):
    """The tag of an attempt's call: the request and the attempt that the call was started for."""

    invocation: Invocation
    attempt: Attempt


class _LoadEnd(NamedTuple):
    """The status of a load order or a probe that ended, and how many instances the worker reported, or 0."""

    status: AttemptStatus
    loaded: int


class WorkerCalls:
    """A connection pool for each worker, and the calls in flight."""

    def __init__(
        self, gateway: Gateway, name: str, settings: PoolSettings, log: Any, debug: bool, on_event: Callable[[], None]
    ) -> None:
        """Create the calls of one dispatcher.

        `name` is the dispatcher's name, which is sent to workers; `on_event` is called when a call ends and when data
        of a streamed response arrive.
        """
        self._gateway, self._name, self._settings, self._log = gateway, name, settings, log
        self._on_event = on_event
        self._loop = asyncio.get_running_loop()
        self._pools: dict[Worker, WorkerPool] = {}
        self._calls: dict[Attempt, Call] = {}
        self._streams: dict[Call, ResponseStream] = {}
        self._load_timeouts: dict[Call, asyncio.TimerHandle] = {}
        self.connection_health = ConnectionHealth()
        self._debug = debug
        self.tls: Callable[[], ssl.SSLContext] | None = None  # returns the TLS context of connections to workers

    @property
    def attempts_in_flight(self) -> int:
        """Number of attempts whose calls have not ended."""
        return len(self._calls)

    # Pools.

    def _pool(self, worker: Worker) -> WorkerPool:
        pool = self._pools.get(worker)
        if pool is None:
            settings = self._settings
            pool = self._pools[worker] = WorkerPool(
                self._gateway.members.addresses[worker],
                settings.connections,
                settings.connect_ms,
                settings.idle_ms,
                settings.max_answer_bytes,
                self.tls,
            )
        return pool

    def close_moved(self) -> None:
        """Close the pools of workers that were removed or have another address."""
        addresses = self._gateway.members.addresses
        for worker, pool in list(self._pools.items()):
            if addresses.get(worker) != pool.address:
                pool.close()
                del self._pools[worker]

    def close_idle(self) -> None:
        """Close connections that have been idle for longer than the idle timeout."""
        for pool in self._pools.values():
            pool.close_idle()

    def close(self) -> None:
        """Close idle connections now and the others as their calls end."""
        for pool in self._pools.values():
            pool.close()

    # Attempts.

    def start_attempt(self, invocation: Invocation, attempt: Attempt) -> None:
        """Send a request to its attempt's worker, or end the attempt as not sent if it may no longer start."""
        journal, now = invocation.record.replicated_journal, now_ms()
        # Checked right before the write: since the decision, another dispatcher may have become the primary, or the
        # information about the worker's readiness may have become too old.
        is_primary = journal is None or journal.is_primary(now)
        if not is_primary or not self._gateway.readiness.may_start(now, attempt):
            self._gateway.on_attempt_finished(now, attempt, AttemptStatus.NOT_SENT)
            return
        attempt.write_started_at = now
        pool = self._pool(attempt.instance.worker)
        data = self._infer_request(pool.address, invocation, attempt)
        tag = _AttemptCall(invocation, attempt)
        if invocation.streamed:
            stream = ResponseStream(
                invocation, self._settings.max_answer_bytes, partial(self._on_response_part, attempt)
            )
            call = pool.start(data, self._on_attempt_finished, tag, partial(self._on_stream_data, stream))
            self._streams[call], stream.call = stream, call
        else:
            call = pool.start(data, self._on_attempt_finished, tag)
        self._calls[attempt] = call
        if invocation.lifecycle.journaled:
            self._loop.call_later(STEP_DELAY_S, self._gateway.durability.on_step, "sent")
        if self._debug:
            self._log.debug(
                "attempt-started",
                activation=invocation.record.id,
                trace=invocation.record.trace,
                attempt=attempt.number,
                worker=attempt.instance.worker.id,
            )

    def _infer_request(self, address: Any, invocation: Invocation, attempt: Attempt) -> bytes:
        record = invocation.record
        parameters: dict[str, str | int | float | bool] = {
            "dispatcher": self._name,
            "activation": record.id,
            "send": attempt.number,  # "send" is the protocol's name of the attempt number
            # The worker starts the attempt within this time or not at all.
            "limit_ms": round(attempt.request.deadline - attempt.started_at, 1),
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

    def cancel(self, attempt: Attempt, reason: CancelReason) -> None:
        """Stop waiting for an attempt, if its call has not ended."""
        if (call := self._calls.get(attempt)) is not None:
            call.cancel(reason)

    def set_reading(self, attempt: Attempt | None, reading: bool) -> None:
        """Resume or pause reading the response to an attempt, if its call has not ended."""
        call = self._calls.get(attempt) if attempt is not None else None
        if call is not None:
            (call.resume if reading else call.pause)()

    def _on_response_part(self, attempt: Attempt, data: bytes) -> None:
        self._gateway.on_response_part(now_ms(), attempt, data)

    def _on_stream_data(self, stream: ResponseStream, data: bytes) -> None:
        stream.on_data(data)
        self._on_event()

    def _on_attempt_finished(self, call: Call, outcome: CallOutcome, response: Response | None) -> None:
        """Report the end of an attempt's call to the core."""
        invocation, attempt = call.tag
        self._calls.pop(attempt, None)
        status, answer = self._attempt_end(call, outcome, response)
        if self._debug:
            self._log.debug(
                "attempt-finished",
                activation=attempt.request.id,
                trace=invocation.record.trace,
                attempt=attempt.number,
                worker=attempt.instance.worker.id,
                status=status.value,
            )
        now = now_ms()
        self.connection_health.on_attempt_finished(now, status)
        self._gateway.on_attempt_finished(now, attempt, status, answer)
        self._on_event()

    def _attempt_end(self, call: Call, outcome: CallOutcome, response: Response | None) -> AttemptEnd:
        stream, invocation = self._streams.pop(call, None), call.tag.invocation
        if outcome is CallOutcome.ANSWERED and response is not None:
            answer = read_answer(response, invocation.deduplication_id, invocation.payload_format)
            status = STATUS_BY_ANSWER_KIND[answer.kind]
            if stream is not None and status is AttemptStatus.COMPLETED:
                return stream.finish(answer)
            return AttemptEnd(status, answer)
        if outcome is CallOutcome.CANCELLED:  # there is no reason if the loop is closing
            return AttemptEnd(STATUS_BY_CANCEL_REASON.get(call.reason, AttemptStatus.CANCELLED), None)
        return AttemptEnd(STATUS_BY_OUTCOME[outcome], None)

    # Load orders.

    def start_load(self, order: LoadOrder) -> None:
        """Send a load order to its worker."""
        instance = order.instance
        pool = self._pool(instance.worker)
        data = load_request(pool.address, instance.function.id, order.count, self._name)
        call = pool.start(data, self._on_load_finished, order)
        self._load_timeouts[call] = self._loop.call_later(
            self._settings.load_timeout_ms / 1000, call.cancel, CancelReason.LOAD_OR_PROBE_TIMEOUT
        )
        if self._debug:
            self._log.debug("load-started", function=instance.function.id, worker=instance.worker.id, count=order.count)

    def start_probes(self, question: ReadinessQuestion) -> None:
        """Send a worker the probes of a readiness question: load orders of count 0, which start no work."""
        instance = question.instance
        pool = self._pool(instance.worker)
        question.write_started_at = now_ms()
        for probe in question.probes:
            data = load_request(pool.address, instance.function.id, 0, self._name)
            call = pool.start(data, self._on_probe_finished, probe)
            self._load_timeouts[call] = self._loop.call_later(
                self._settings.load_timeout_ms / 1000, call.cancel, CancelReason.LOAD_OR_PROBE_TIMEOUT
            )

    def _on_probe_finished(self, call: Call, outcome: CallOutcome, response: Response | None) -> None:
        timer = self._load_timeouts.pop(call, None)
        if timer is not None:
            timer.cancel()
        status, loaded = self._load_end(call, outcome, response)
        self._gateway.readiness.on_probe_finished(now_ms(), call.tag, status, loaded)
        self._on_event()

    def _on_load_finished(self, call: Call, outcome: CallOutcome, response: Response | None) -> None:
        """Report the end of a load order's call to the core."""
        order: LoadOrder = call.tag
        timer = self._load_timeouts.pop(call, None)
        if timer is not None:
            timer.cancel()
        status, loaded = self._load_end(call, outcome, response)
        if self._debug:
            self._log.debug(
                "load-finished",
                function=order.instance.function.id,
                worker=order.instance.worker.id,
                status=status.value,
                loaded=loaded,
            )
        now = now_ms()
        self.connection_health.on_attempt_finished(now, status)
        self._gateway.on_load_report(now, order, status, loaded)
        self._on_event()

    @staticmethod
    def _load_end(call: Call, outcome: CallOutcome, response: Response | None) -> _LoadEnd:
        if outcome is CallOutcome.ANSWERED and response is not None:
            kind, loaded = read_loaded(response)
            return _LoadEnd(STATUS_BY_ANSWER_KIND[kind], loaded)
        if outcome is CallOutcome.CANCELLED:
            return _LoadEnd(STATUS_BY_CANCEL_REASON[call.reason], 0)
        return _LoadEnd(STATUS_BY_OUTCOME[outcome], 0)
