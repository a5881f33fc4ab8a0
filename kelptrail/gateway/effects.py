"""Effects that the gateway core returns to its host: calls to workers, cancellations, answers and log events."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from kelptrail.dispatch.entities import Attempt, LoadOrder, ReadinessQuestion

from .invocation import Invocation


class CancelReason(StrEnum):
    """The reason why the host stops waiting for a worker's answer."""

    CANCELLED = "revoked"  # the dispatcher cancelled the attempt
    SILENT = "silent"  # the request's time is up, or a stream has stalled
    LOAD_OR_PROBE_TIMEOUT = "order-time"  # a load order or a probe was not answered in time
    MALFORMED = "malformed"  # the worker's stream violated the protocol


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to the attempt's worker."""

    invocation: Invocation
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt's answer; `reason` is CANCELLED or SILENT."""

    attempt: Attempt
    reason: CancelReason


@dataclass(frozen=True, slots=True)
class StartLoad:
    """Send a load order to its worker."""

    order: LoadOrder


@dataclass(frozen=True, slots=True)
class ProbeWorker:
    """Send the probes of a readiness question to its worker."""

    question: ReadinessQuestion


@dataclass(frozen=True, slots=True)
class ResponsePart:
    """Send a part of a streamed response to the client at once."""

    invocation: Invocation
    data: bytes


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """Notify the waiters of a request: its one final answer is in the record and may be shown."""

    invocation: Invocation


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Log an unusual event."""

    text: str


Effect = StartAttempt | CancelAttempt | StartLoad | ProbeWorker | ResponsePart | FinalAnswer | LogEvent
