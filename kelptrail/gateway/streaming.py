"""Streamed responses: binds a request to the attempt that streams, and limits the gaps between parts."""

from __future__ import annotations

from kelptrail.dispatch.entities import Attempt

from .effects import ResponsePart
from .invocation import Invocation
from .state import GatewayState


class ResponseStreams:
    """Passes the parts of streamed responses on to their clients."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def on_part(self, now: float, attempt: Attempt, data: bytes) -> None:
        """Pass on a part, if the client accepts parts and the request has no final answer.

        The first part binds the request to its attempt; parts of other attempts are dropped.
        """
        state, request = self._state, attempt.request
        invocation = state.invocations.get(request)
        if invocation is None or invocation.lifecycle.final or not invocation.streamed:
            return
        if request.streaming_attempt is None:
            request_class = state.parts.deployment.types[invocation.record.request_class]
            stream_ms = min(request_class.max_stream_ms, invocation.stream_limit_ms)
            stream_deadline = request.received_at + stream_ms - state.margin_ms
            state.dispatcher.on_response_started(now, attempt, max(now, stream_deadline))
        if request.streaming_attempt is not attempt:
            return
        invocation.part_count += 1
        self.set_reading(now, invocation, True)
        state.effects.append(ResponsePart(invocation, data))

    def set_reading(self, now: float, invocation: Invocation, reading: bool) -> None:
        """Record whether parts are read from the worker; while a slow client prevents that, no stall limit applies."""
        request = invocation.request
        if request.streaming_attempt is None or invocation.lifecycle.final:
            return
        request_class = self._state.parts.deployment.types[invocation.record.request_class]
        stall_ms = request_class.stream_stall_ms if reading else float("inf")
        previous_expires_at, invocation.expires_at = invocation.expires_at, min(request.deadline, now + stall_ms)
        if invocation.expires_at < previous_expires_at or invocation.part_count == 1:
            self._state.expiry_timers.add(invocation.expires_at, request)
