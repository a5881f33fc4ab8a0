"""A streamed response of one worker: server-sent events, the last of which has the final result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from kelptrail.codec.events import EventReader, TooLongError
from kelptrail.codec.infer import MalformedError, ResultPart, WorkerAnswer, read_part
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.net.pool import Call

from .effects import CancelReason
from .invocation import Invocation


class AttemptEnd(NamedTuple):
    """The status of an attempt that ended, and the worker's answer if there is one."""

    status: AttemptStatus
    answer: WorkerAnswer | None


class ResponseStream:
    """Reads the parts of one response; `on_part` is called with each but the last."""

    __slots__ = ("_events", "_invocation", "_last_part", "_malformed", "_on_part", "call")

    def __init__(self, invocation: Invocation, max_event_bytes: int, on_part: Callable[[bytes], None]) -> None:
        self._invocation, self._on_part = invocation, on_part
        self._events = EventReader(max_event_bytes)
        self._last_part: ResultPart | None = None
        self._malformed = False
        self.call: Call | None = None

    def on_data(self, data: bytes) -> None:
        """Read bytes of the stream; if they violate the protocol, cancel the call as malformed."""
        try:
            for event in self._events.feed(data):
                self._read_event(event)
        except (MalformedError, TooLongError):
            self._malformed = True
            if self.call is not None:
                self.call.cancel(CancelReason.MALFORMED)

    def _read_event(self, event: bytes) -> None:
        if self._last_part is not None:
            raise MalformedError("the stream goes on after its last part")
        invocation = self._invocation
        part = read_part(event, invocation.deduplication_id, invocation.payload_format)
        if part.is_last:
            self._last_part = part
        else:
            self._on_part(part.result)

    def finish(self, answer: WorkerAnswer) -> AttemptEnd:
        """Return how the attempt ended, once the response is complete.

        A stream that is malformed or has no last part counts as a lost connection.  A response that is not streamed is
        itself the answer.
        """
        last = self._last_part
        if last is not None and not self._malformed:
            return AttemptEnd(AttemptStatus.COMPLETED, replace(answer, result=last.result, success=last.success))
        lost = answer.streamed or self._malformed
        return AttemptEnd(AttemptStatus.CONNECTION_LOST if lost else AttemptStatus.COMPLETED, answer)
