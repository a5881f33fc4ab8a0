"""Events of a lease client: changes to the leases that it has requested."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import NO_NOTE, FencingToken, LeaseNote


class LossReason(Enum):
    """Reason why a lease is no longer held.  The values appear in the log."""

    EXPIRED = "expired"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease was acquired.  It is valid until `expires_at`, in ms on this client's clock.

    `inherited_note` is the latest note of earlier holders.  From now on, no acceptor of the granting majority stores a
    note under an older token.
    """

    task: str
    token: FencingToken
    expires_at: float
    inherited_note: LeaseNote = NO_NOTE


@dataclass(frozen=True, slots=True)
class NoteStored:
    """A majority has stored this client's note, so that the next holder receives this note or a later one."""

    task: str
    token: FencingToken
    sequence: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is no longer held."""

    task: str
    token: FencingToken
    reason: LossReason


LeaseEvent = LeaseAcquired | LeaseLost | NoteStored
