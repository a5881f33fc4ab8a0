"""Messages to simulated workers, and the callbacks for their replies and events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.settings.deployment import ActionSettings

AttemptReply = Callable[[AttemptStatus, WorkerAnswer | None], None]
OrderReply = Callable[[AttemptStatus, int], None]  # status and number of loaded instances
EventRecorder = Callable[..., None]  # kind and fields of an event, as the history checker reads them


class WorkerIdentity(NamedTuple):
    """Properties of a worker that outlive its restarts."""

    id: str
    zone: str
    cell: int


@dataclass(frozen=True, slots=True)
class AttemptMessage:
    """An attempt as a worker reads it; `limit_ms` is the time left when it is read."""

    action: ActionSettings
    deduplication_id: str
    activation: str
    number: int
    dispatcher: str
    limit_ms: float
