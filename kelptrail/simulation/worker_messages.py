"""What simulated workers are sent and how they answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.settings.deployment import ActionSettings

AttemptReply = Callable[[AttemptStatus, WorkerAnswer | None], None]
OrderReply = Callable[[AttemptStatus, int], None]  # the number is that of loaded instances
EventRecorder = Callable[..., None]  # the event's kind and fields, as the history checker reads them


class WorkerIdentity(NamedTuple):
    """What of a worker outlives its restarts."""

    id: str
    zone: str
    cell: int


@dataclass(frozen=True, slots=True)
class AttemptMessage:
    """An attempt as a worker reads it; `limit_ms` counts from when it is read."""

    action: ActionSettings
    deduplication_id: str
    activation: str
    number: int
    dispatcher: str
    limit_ms: float
