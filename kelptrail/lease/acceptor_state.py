"""State of an acceptor: its stage, what it has on disk, its pending writes, and its record of each task."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import NO_NOTE, NO_TOKEN, FencingToken, LeaseNote, LeaseRow, Message


class Stage(Enum):
    """State of an acceptor.  The values go over the wire and to disk."""

    EMPTY = "empty"  # no durable state
    FOUNDING = "founding"  # no durable state, and no other acceptor had any
    CHANGING = "changing"  # remembers its grants in the previous set, and has entered this one
    VOTING = "voting"
    BEHIND = "behind"  # its settings name an older acceptor set than its disk


@dataclass(frozen=True, slots=True)
class DurableState:
    """What an acceptor has on disk beside the rows of its tasks."""

    config_number: int
    stage: Stage
    sealed_previous: bool


@dataclass(frozen=True, slots=True)
class Write:
    """An atomic write.  Once it is durable, `reply` may go to `reply_to`."""

    write_id: int
    rows: tuple[LeaseRow, ...]
    state: DurableState | None = None
    reply_to: str = ""
    reply: Message | None = None


@dataclass(slots=True)
class LeaseRecord:
    """One task at this acceptor.  Times in ms of its own clock; `durable_token`: the token that is on disk."""

    highest_token: FencingToken = NO_TOKEN
    length_ms: float = 0.0
    expires_at: float = float("-inf")
    released: bool = False
    durable_token: FencingToken = NO_TOKEN
    reserved_for: str = ""  # the successor that the last holder named
    reserved_until: float = float("-inf")
    note: LeaseNote = NO_NOTE

    def is_held(self, now: float) -> bool:
        """Whether a lease that was granted here is still valid."""
        return now < self.expires_at and not self.released

    def free_at(self, now: float) -> float:
        """When another client may get the task, as far as is known: `now` or later if it is reserved or held."""
        return max(
            self.expires_at if not self.released else now,
            self.reserved_until if self.reserved_for else now,
        )
