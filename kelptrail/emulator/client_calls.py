"""Calls of emulated clients and their answers; each outcome is written to the capture and may cause a retry.

Clients retry only if the outcome and the function's effect make a retry safe (`load/client_behavior.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from kelptrail.clock import now_ms
from kelptrail.load.client_behavior import (
    RETRYABLE_ANSWERS,
    ClientBehavior,
    ClientOutcome,
    has_attempts_left,
    retry_delay_ms,
)
from kelptrail.load.invoke_api import read_final_answer
from kelptrail.settings.deployment import ActionSettings, NamespaceSettings, TypeSettings

from .capture import Capture, ReadLag

# Reasons in gRPC errors that clients treat as "aborted", without distinguishing NEVER_RAN from MAY_HAVE_RUN.
ABORTED_REASONS = ("MAY_HAVE_RUN", "NEVER_RAN")


@dataclass(slots=True, eq=False)
class ClientCall:
    """A call of a client, and the state of its current attempt."""

    ticket: str  # id of the call and input of the function; also the idempotency key if the type is deduplicated
    action: ActionSettings
    type: TypeSettings
    namespace: NamespaceSettings
    deferred: bool
    behavior: ClientBehavior
    attempts_left: int
    dispatcher: int = 0
    attempt_started: float = 0.0  # time in ms
    activation: str = ""
    attempt_id: str = ""  # id of the current attempt, captured as "call"
    poll_address: str = ""
    grpc: bool = False  # sent to the gRPC API
    streamed: bool = False
    parts: int = 0  # number of parts of a streamed answer received so far, without the final part
    # The final part is the answer of a streamed call; the gRPC status that follows it is not a second answer.
    final_part_received: bool = False


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """Final answer to an attempt as the client reads it."""

    answer: str  # "completed", "rejected", "aborted", or another; only those in `RETRYABLE_ANSWERS` are retried
    activation: str
    status: int = 0  # HTTP status
    duration_ms: float | None = None  # duration in the activation record of a deferred call
    code: int | None = None  # status code that the function returned
    retry_after_ms: float = 0.0
    repeat_within_ms: float | None = None  # time for which a retry is safe; None if it always is


def answer_of_response(call: ClientCall, status: int, body: dict[str, Any]) -> ClientAnswer:
    """Return the answer in the body of an HTTP response, which is an activation record or an error."""
    final = read_final_answer(status, body)
    return ClientAnswer(
        final.answer,
        body.get("activationId", ""),
        status,
        body.get("duration") if call.deferred else None,
        body.get("response", {}).get("statusCode"),
        final.retry_after_ms,
        final.repeat_within_ms,
    )


def answer_of_reason(reason: str | None, default_answer: str) -> str:
    """Return the answer that corresponds to the reason of a gRPC error, or `default_answer` for other reasons."""
    if reason == "REJECTED":
        return ClientOutcome.REJECTED.value
    return ClientOutcome.ABORTED.value if reason in ABORTED_REASONS else default_answer


class CallTracker:
    """Records the events of attempts in the capture, and starts the clients' retries.

    `start_attempt(call, last_dispatcher)` sends the next attempt to the dispatcher after `last_dispatcher`, or to a
    random one if that is None.
    """

    def __init__(
        self, capture: Capture, random: np.random.Generator, start_attempt: Callable[[ClientCall, int | None], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._capture, self._random, self._start_attempt = capture, random, start_attempt
        self._read_lag = ReadLag()

    def on_attempt(self, call: ClientCall, timeout_ms: float, shared_address: bool, **transport: bool) -> None:
        """Record that an attempt is about to be sent.

        `shared_address`, captured as "front", states whether the dispatchers share the address.  `transport` has the
        flags `grpc` and `streamed` of an attempt over gRPC.
        """
        self._capture.write(
            "call",
            call=call.attempt_id,
            ticket=call.ticket,
            action=call.action.path,
            type=call.type.name,
            dispatcher=call.dispatcher,
            deferred=call.deferred,
            limit_ms=timeout_ms,
            front=shared_address,
            **transport,
        )

    def on_accepted(self, call: ClientCall) -> None:
        """Record that a deferred call was accepted; the client polls for its final answer."""
        self._capture.write("accepted", call=call.attempt_id, activation=call.activation)

    def on_unknown(self, call: ClientCall) -> None:
        """Record that a poll was answered with the error that no dispatcher knows the activation."""
        self._capture.write("denied", call=call.attempt_id, activation=call.activation, at=call.poll_address)

    def on_first_part(self, call: ClientCall, activation: str) -> None:
        """Record that the first part of a streamed answer arrived."""
        self._capture.write("part", call=call.attempt_id, activation=activation, lag=self._read_lag.current_ms())

    def on_stream_not_taken(self, call: ClientCall) -> None:
        """Record that the dispatcher did not accept a streamed attempt, as its final part reports.

        The client does not retry the call.
        """
        self._capture.write("not-taken", call=call.attempt_id)

    def on_not_taken(self, call: ClientCall, retry_after_ms: float) -> None:
        """Record that the dispatcher did not accept the attempt, and schedule a retry if the client makes one."""
        self._capture.write("not-taken", call=call.attempt_id)
        self._retry(call, ClientOutcome.NOT_TAKEN, retry_after_ms)

    def on_lost(self, call: ClientCall, cause: str) -> None:
        """Record that the attempt got no answer, and the cause; schedule a retry if the client makes one."""
        self._capture.write("no-answer", call=call.attempt_id, ending=cause)
        self._retry(call, ClientOutcome.LOST)

    def on_poll_timeout(self, call: ClientCall) -> None:
        """Record that polling ended without a final answer; the client does not retry."""
        self._capture.write("no-answer", call=call.attempt_id, ending="polled")

    def on_final(self, call: ClientCall, answer: ClientAnswer) -> None:
        """Record the final answer to the attempt, and schedule a retry if the client makes one."""
        self._capture.write(
            "final",
            call=call.attempt_id,
            activation=answer.activation,
            answer=answer.answer,
            status=answer.status,
            lag=self._read_lag.current_ms(),
            took=answer.duration_ms,
            code=answer.code,
        )
        if answer.answer in RETRYABLE_ANSWERS:
            self._retry(call, ClientOutcome(answer.answer), answer.retry_after_ms, answer.repeat_within_ms)

    def _retry(
        self,
        call: ClientCall,
        outcome: ClientOutcome,
        retry_after_ms: float = 0.0,
        repeat_within_ms: float | None = None,
    ) -> None:
        delay_ms = retry_delay_ms(
            call.behavior,
            outcome,
            call.type.effect,
            call.type.timeout_ms,
            retry_after_ms,
            repeat_within_ms,
            now_ms() - call.attempt_started,
        )
        if delay_ms is None or not has_attempts_left(outcome, call.attempts_left):
            return
        if outcome is ClientOutcome.NOT_TAKEN:
            self._loop.call_later(delay_ms / 1000, self._start_attempt, call, call.dispatcher)
        else:
            jitter = float(self._random.uniform(*call.behavior.jitter))
            self._loop.call_later(delay_ms / 1000 * jitter, self._start_attempt, call, None)

    def close(self) -> None:
        """Stop measuring the lag of the event loop."""
        self._read_lag.stop()
