"""What voters and askers say to each other, and the figures that both are built with.

The manner is that of leases on majorities (Trencseni, Gazso, Reinhardt: PaxosLease, arXiv:1209.4187) with Chubby's
sequencers (Burrows, OSDI 2006) as tokens.  Times are milliseconds of the clock of whoever is told of them; no message
carries a time of day.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec


class FencingToken(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Names one lease.  Tokens of a task are in one order: by round, then by `who`, the asker and its run."""

    round: int
    client_id: str

    def __str__(self) -> str:
        return f"{self.round}.{self.client_id}"


NO_TOKEN = FencingToken(0, "")


class AcquireRequest(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """May I hold the task for `length_ms`, or go on holding it?  `seq` tells one question from the next; `number` is
    the set of voters that the asker believes in."""

    task: str
    token: FencingToken
    length_ms: float
    request_id: int
    config_number: int


class LeaseNote(msgspec.Struct, frozen=True, order=True, array_like=True):
    """What a holder has left with a task, for whoever holds it next; ordered by when it was left."""

    token: FencingToken
    sequence: int
    text: bytes = b""


NO_NOTE = LeaseNote(NO_TOKEN, 0)


class Grant(msgspec.Struct, frozen=True, tag="granted", array_like=True):
    """Yes, and it is on disk.  `noted`: the last note that this voter knows of the task."""

    task: str
    token: FencingToken
    request_id: int
    note: LeaseNote = NO_NOTE


class WriteNote(msgspec.Struct, frozen=True, tag="note", array_like=True):
    """From the holder: leave this with the task, in place of what was left before."""

    task: str
    note: LeaseNote
    config_number: int


class NoteWritten(msgspec.Struct, frozen=True, tag="left", array_like=True):
    """A note is on disk."""

    task: str
    token: FencingToken
    sequence: int


class Refusal(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """No.  `highest`: of the task; `left_ms`: when it is worth asking again; `number` and `voters`: the set in force
    here."""

    task: str
    token: FencingToken
    request_id: int
    reason: str
    highest_token: FencingToken
    retry_after_ms: float
    config_number: int
    acceptors: tuple[str, ...]


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """The lease is given back before its end, or the attempt is given up; `to`: who should have it next."""

    task: str
    token: FencingToken
    successor: str = ""


class Transferred(msgspec.Struct, frozen=True, tag="handed", array_like=True):
    """From a voter to whom a holder has named as the next, else to who has waited longest: ask now."""

    task: str


class LeaseRow(msgspec.Struct, frozen=True, array_like=True):
    """What a voter keeps of a task: the highest token that it granted, for how long, whether it was given back, and
    the last note."""

    task: str
    token: FencingToken
    length_ms: float
    released: bool
    note: LeaseNote = NO_NOTE


class StateRequest(msgspec.Struct, frozen=True, tag="learn", array_like=True):
    """From a voter that does not vote yet: what do you know?"""

    config_number: int
    nonce: int


class StateReply(msgspec.Struct, frozen=True, tag="learnt", array_like=True):
    """What a voter knows.  `stage`: see `voter.Stage`; `was`: it remembers all that it granted in the set before
    this one, and grants nothing in that any more."""

    config_number: int
    nonce: int
    stage: str
    sealed_previous: bool
    rows: tuple[LeaseRow, ...]


Message = AcquireRequest | Grant | Refusal | Release | Transferred | StateRequest | StateReply | WriteNote | NoteWritten


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Figures that all of a fleet share.

    `number`: of the set of voters, larger with each change; `before`: the set before it; `clock_bound`: each clock's
    rate is within 1 - bound to 1 + bound of true time; `longest_ms`: no lease is longer; `ask_ms`: after it a question
    counts as unanswered; `retry_ms`: least pause after an attempt that failed; `gap_ms`: between places of those who
    wait at a voter; `reserve_ms`: for so long a task is kept for whom it was handed to; `first_round`: tokens begin
    above it.
    """

    acceptors: tuple[str, ...]
    config_number: int = 1
    previous_acceptors: tuple[str, ...] = ()
    clock_rate_bound: float = 0.01
    max_lease_ms: float = 10_000.0
    request_timeout_ms: float = 250.0
    retry_pause_ms: float = 100.0
    queue_spacing_ms: float = 20.0
    transfer_reservation_ms: float = 1000.0
    round_floor: int = 0

    def safe_hold_ms(self, length_ms: float) -> float:
        """How long a holder may count on a lease by its own clock, from before it asked: voters count `length_ms` on
        clocks that may be as fast as allowed, the holder's may be as slow."""
        return length_ms * (1 - self.clock_rate_bound) / (1 + self.clock_rate_bound)

    @property
    def recovery_wait_ms(self) -> float:
        """How long, on the fastest clock, until nothing that was granted before can be believed any more."""
        return self.max_lease_ms * (1 + self.clock_rate_bound) / (1 - self.clock_rate_bound)


def majority(voters: tuple[str, ...]) -> int:
    """More than half."""
    return len(voters) // 2 + 1
