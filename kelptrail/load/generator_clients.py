"""Clients of the load generator: attempts at dispatchers, polling for deferred calls, and retries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.http import Response
from kelptrail.net.pool import Call, CallOutcome, WorkerPool
from kelptrail.settings.deployment import ActionSettings, Deployment, NamespaceSettings, TypeSettings

from .client_behavior import (
    RETRYABLE_ANSWERS,
    ClientBehavior,
    ClientOutcome,
    has_attempts_left,
    retry_delay_ms,
)
from .generator_counters import GeneratorCounters
from .generator_settings import GeneratorSettings
from .invoke_api import FinalAnswer, authorization_of, encode_call, encode_poll, read_final_answer
from .plan import Load

POLL_EVERY_MS = 150.0  # time between two polls of a deferred call
POLL_FOR_MS = 3000.0  # a polling client gives up this long after the call's timeout
POLL_TIMEOUT_MS = 2000.0  # for a single poll
ANSWER_MARGIN_MS = 500.0  # time that a client waits beyond the call's timeout
IDLE_MS = 10_000.0  # time after which an idle connection is closed
MAX_ANSWER_BYTES = 1 << 22

OnResponse = Callable[[Call, CallOutcome, Response | None], None]


@dataclass(slots=True, eq=False)
class GeneratedCall:
    """A call of a client, and the state of its current attempt."""

    ticket: str  # id of the call, which is also its idempotency key and the input of the function
    action: ActionSettings
    type: TypeSettings
    namespace: NamespaceSettings
    load: Load
    deferred: bool
    behavior: ClientBehavior
    attempts_left: int
    due: float  # scheduled time of the current attempt, in ms
    first_due: float  # scheduled time of the first attempt, in ms
    dispatcher: int = 0  # index in `GeneratorSettings.addresses`
    activation: str = ""
    on_finished: Callable[[], None] | None = None  # schedules the next call in a closed loop


class GeneratorClients:
    """Sends the attempts of calls, counts their outcomes, and retries according to the clients' behaviour."""

    def __init__(
        self,
        deployment: Deployment,
        settings: GeneratorSettings,
        counters: GeneratorCounters,
        random: np.random.Generator,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings, self._counters, self._random = settings, counters, random
        self._authorization = {n.name: authorization_of(n) for n in deployment.namespaces.values()}
        self._pools = [
            WorkerPool(address, settings.connections, settings.connect_timeout_ms, IDLE_MS, MAX_ANSWER_BYTES)
            for address in settings.addresses
        ]
        self.open_calls = 0  # calls that wait for an answer, their next poll or their next attempt

    @property
    def connections_made(self) -> int:
        """Number of connections that were opened."""
        return sum(pool.connections_made for pool in self._pools)

    def attempt(self, call: GeneratedCall) -> None:
        """Send an attempt of a call to the dispatcher chosen for it."""
        call.attempts_left -= 1
        self._counters.count_attempt(call.due, call.first_due)
        headers = {"authorization": self._authorization[call.namespace.name]}
        if call.type.effect == "deduplicated":
            headers["idempotency-key"] = call.ticket
        if self._settings.close_share and self._random.random() < self._settings.close_share:
            headers["connection"] = "close"
        address = self._settings.addresses[call.dispatcher]
        data = encode_call(address, call.action.path, call.ticket, call.deferred, headers)
        self._send(call, data, self._on_response, call.type.timeout_ms + ANSWER_MARGIN_MS)

    def _send(self, call: GeneratedCall, data: bytes, on_response: OnResponse, timeout_ms: float) -> None:
        self.open_calls += 1
        request = self._pools[call.dispatcher].start(data, on_response, call)
        request.tag = (call, self._loop.call_later(timeout_ms / 1000, request.cancel, "patience"))

    def _end_request(self, request: Call) -> GeneratedCall:
        """Stop the timer of a request that has ended, and return its call."""
        call: GeneratedCall
        call, timer = request.tag
        timer.cancel()
        self.open_calls -= 1
        return call

    def _on_response(self, request: Call, outcome: CallOutcome, response: Response | None) -> None:
        call = self._end_request(request)
        if outcome in (CallOutcome.UNREACHABLE, CallOutcome.UNSENT):
            self._end_attempt(call, ClientOutcome.NOT_TAKEN, "not-taken")
        elif response is None:
            self._end_attempt(call, ClientOutcome.LOST, outcome.value)
        elif response.status == 503:
            retry_after_ms = float(response.headers.get("retry-after-ms", "0"))
            self._end_attempt(call, ClientOutcome.NOT_TAKEN, "not-taken", retry_after_ms)
        elif response.status == 202:
            call.activation = msgspec.json.decode(response.body)["activationId"]
            self._schedule_poll(call)
        else:
            answer = read_final_answer(response.status, msgspec.json.decode(response.body))
            self._on_final_answer(call, answer, now_ms() - call.due)

    def _schedule_poll(self, call: GeneratedCall) -> None:
        self.open_calls += 1
        self._loop.call_later(POLL_EVERY_MS / 1000, self._poll, call)

    def _poll(self, call: GeneratedCall) -> None:
        self.open_calls -= 1
        if now_ms() - call.due > call.type.timeout_ms + POLL_FOR_MS:
            self._end_attempt(call, ClientOutcome.LOST, "polled")
            return
        address = self._settings.addresses[call.dispatcher]
        data = encode_poll(address, call.activation, self._authorization[call.namespace.name])
        self._send(call, data, self._on_poll_response, POLL_TIMEOUT_MS)

    def _on_poll_response(self, request: Call, _outcome: CallOutcome, response: Response | None) -> None:
        call = self._end_request(request)
        if response is None or response.status != 200:
            self._schedule_poll(call)
            return
        record = msgspec.json.decode(response.body)
        duration_ms = record.get("duration")
        latency_ms = now_ms() - call.due if duration_ms is None else float(duration_ms)
        self._on_final_answer(call, read_final_answer(response.status, record), latency_ms)

    def _on_final_answer(self, call: GeneratedCall, answer: FinalAnswer, latency_ms: float) -> None:
        if answer.answer == ClientOutcome.COMPLETED.value:
            self._counters.count_completed(call.type, call.load, latency_ms)
            self._end_attempt(call, ClientOutcome.COMPLETED, "")
        elif answer.answer in RETRYABLE_ANSWERS:
            outcome = ClientOutcome(answer.answer)
            self._end_attempt(call, outcome, answer.answer, answer.retry_after_ms, answer.repeat_within_ms)
        else:  # a client error such as 401, which a retry would not correct; counted by its cause only
            self._end_attempt(call, ClientOutcome.COMPLETED, answer.answer)

    def _end_attempt(
        self,
        call: GeneratedCall,
        outcome: ClientOutcome,
        cause: str,
        retry_after_ms: float = 0.0,
        repeat_within_ms: float | None = None,
    ) -> None:
        """Count the outcome of an attempt, and schedule a retry if the client makes one.

        `cause` is empty if the attempt completed.
        """
        self._counters.count_outcome(outcome, cause)
        delay_ms = retry_delay_ms(
            call.behavior,
            outcome,
            call.type.effect,
            call.type.timeout_ms,
            retry_after_ms,
            repeat_within_ms,
            now_ms() - call.due,
        )
        if delay_ms is not None and has_attempts_left(outcome, call.attempts_left):
            delay_ms *= float(self._random.uniform(*call.behavior.jitter))
            call.due = now_ms() + delay_ms
            call.dispatcher = (call.dispatcher + 1) % len(self._pools)
            call.activation = ""
            self.open_calls += 1
            self._loop.call_later(delay_ms / 1000, self._retry, call)
        elif call.on_finished is not None:
            call.on_finished()

    def _retry(self, call: GeneratedCall) -> None:
        self.open_calls -= 1
        self.attempt(call)

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools:
            pool.close()
