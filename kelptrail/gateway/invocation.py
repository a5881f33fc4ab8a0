"""A request in the gateway: the dispatcher's request, its activation record, and the data that attempts send."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import Attempt, Request
from kelptrail.settings.deployment import ActionSettings

from .lifecycle import RequestLifecycle
from .records import Record


@dataclass(slots=True, eq=False)
class Invocation:
    """One request from its submission or resumption until its final answer is shown and no attempt is in flight.

    Times are in milliseconds of the caller's clock.
    """

    request: Request
    record: Record
    action: ActionSettings
    payload: bytes
    deduplication_id: str  # sent with each attempt, so that workers recognize a repeat
    lifecycle: RequestLifecycle
    waiters: list[Callable[[Record], None]] = field(default_factory=list)  # called by the host with the final answer
    answer: WorkerAnswer | None = None
    payload_format: str = "json"  # format of payload and result: "json", or "tensors" for the inference protocol
    deferred: bool = False  # submitted as non-blocking: the client expects only the activation id
    streamed: bool = False  # the client accepts the response in parts
    expires_at: float = 0.0  # time at which its attempts are cancelled; set again at each part of a stream
    client_key: str = ""  # identifies the client's retries to overload control
    part_count: int = 0  # number of parts of the streamed response so far
    stream_limit_ms: float = float("inf")  # the client's own limit for the complete stream
    on_part: Callable[[bytes], None] | None = None  # called by the host with each part
    durability_waiters: list[Callable[[bool | None], None]] = field(default_factory=list)
    under_replicated: bool = False  # too few replicas have its record: its end is journaled before it is published
    moved_to_replicated: bool = False  # moved from the local journal to a replicated one
    # Attempts that wait for the may-run entry, or for this dispatcher to become the primary of the journal.
    held_attempts: list[Attempt] = field(default_factory=list)
