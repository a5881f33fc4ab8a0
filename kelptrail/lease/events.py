"""Events of a lease client: what happened to the leases that it wants."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import NO_NOTE, FencingToken, LeaseNote


class LossReason(Enum):
    """Why a lease is not held any more.  The values appear in the log."""

    EXPIRED = "expired"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease was acquired; it is valid until `expires_at` (ms, this client's clock).

    `inherited_note`: the latest note of earlier holders; from now on no acceptor of the majority stores a note under an
    older token.
    """

    task: str
    token: FencingToken
    expires_at: float
    inherited_note: LeaseNote = NO_NOTE


@dataclass(frozen=True, slots=True)
class NoteStored:
    """A majority has stored this client's note: the next holder will receive it, or a later one."""

    task: str
    token: FencingToken
    sequence: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is not held any more."""

    task: str
    token: FencingToken
    reason: LossReason


LeaseEvent = LeaseAcquired | LeaseLost | NoteStored
