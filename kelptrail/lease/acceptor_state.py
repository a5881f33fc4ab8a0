"""State of an acceptor: its stage, durable state, pending writes and record of each task."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import NO_NOTE, NO_TOKEN, FencingToken, LeaseNote, LeaseRow, Message


class Stage(Enum):
    """Stage of an acceptor.  Leases are granted in `VOTING` alone.

    The values are sent to other processes and stored on disk.
    """

    EMPTY = "empty"  # no durable state
    FOUNDING = "founding"  # started without durable state, and found that no other acceptor has any
    # Has stored the grants that it made in the previous acceptor set, and has entered the current set.
    CHANGING = "changing"
    VOTING = "voting"
    BEHIND = "behind"  # its settings contain an older acceptor set than its disk


@dataclass(frozen=True, slots=True)
class DurableState:
    """State that an acceptor stores on disk in addition to the rows of its tasks."""

    config_number: int
    stage: Stage
    sealed_previous: bool


@dataclass(frozen=True, slots=True)
class Write:
    """An atomic write.  Once it is durable, `reply` may be sent to `reply_to`."""

    write_id: int
    rows: tuple[LeaseRow, ...]
    state: DurableState | None = None
    reply_to: str = ""
    reply: Message | None = None


@dataclass(slots=True)
class LeaseRecord:
    """Record of one task at an acceptor.  Times are in ms on its own clock.

    `durable_token` is the highest token whose write has been synced to disk.
    """

    highest_token: FencingToken = NO_TOKEN
    length_ms: float = 0.0
    expires_at: float = float("-inf")
    released: bool = False
    durable_token: FencingToken = NO_TOKEN
    reserved_for: str = ""  # successor named by the last holder
    reserved_until: float = float("-inf")
    note: LeaseNote = NO_NOTE

    def is_held(self, now: float) -> bool:
        """Return whether a lease that was granted here is still valid."""
        return now < self.expires_at and not self.released

    def free_at(self, now: float) -> float:
        """Return the estimated time at which another client can acquire the task.

        It is at most `now` for a free task, and later if the task is held or reserved.
        """
        return max(
            self.expires_at if not self.released else now,
            self.reserved_until if self.reserved_for else now,
        )
