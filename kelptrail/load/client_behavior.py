"""How a client behaves: whether it comes again after an answer, when, and what of an advice it heeds.  Pure.

Clients repeat only what is harmless by the answer they got.  `heed` is the share of a told return time that a client
keeps: 1 heeds it, 0 comes at once, and between the two is a client that comes back early.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

REPEATABLE_BACK_MS, LOST_BACK_MS, MOVED_BACK_MS, MOVED_FOR_MS = 100.0, 200.0, 50.0, 2000.0


class Heard(Enum):
    """What a client makes of the end of a try."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # trying again is harmless
    ABORTED = "aborted"  # it may have run
    NOT_TAKEN = "not-taken"  # nobody took it: refused at a door, no connection
    LOST = "lost"  # no answer


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """One client's."""

    heed: float = 1.0
    spread: tuple[float, float] = (1.0, 1.2)  # of what it waits


def behavior_of(draw: float, heed: float, half: float) -> ClientBehavior:
    """A client's habits by a draw from 0 to 1: shares of clients that heed, that wait half, and the rest."""
    return ClientBehavior(1.0 if draw < heed else 0.5 if draw < heed + half else 0.0)


def again(
    habits: ClientBehavior,
    heard: Heard,
    effect: str,
    timeout_ms: float,
    told_ms: float = 0.0,
    within_ms: float | None = None,
    since_ms: float = 0.0,
) -> float | None:
    """How long a client waits before it comes again, in ms; None: it does not.

    `told_ms`: the return time it was told, 0 for none; `within_ms`: how long a repeat is harmless, None for ever;
    `since_ms`: how long ago this try began.
    """
    wait = told_ms * habits.heed
    if heard is Heard.REJECTED:
        return wait if within_ms is None or wait + timeout_ms < within_ms else None
    if heard is Heard.NOT_TAKEN:
        return max(MOVED_BACK_MS, wait) if since_ms < MOVED_FOR_MS else None
    if effect == "repeatable":
        if heard is Heard.ABORTED:
            return REPEATABLE_BACK_MS
        if heard is Heard.LOST:
            return LOST_BACK_MS
    return None
