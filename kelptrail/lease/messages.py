"""Messages between lease clients and acceptors, and the settings that both are built with.

The protocol is a majority lease (Trencseni, Gazso, Reinhardt: PaxosLease, arXiv:1209.4187) whose ballot numbers serve
as fencing tokens, as Chubby's sequencers do (Burrows, OSDI 2006).  All times are durations in milliseconds on the
receiver's clock; no message carries a time of day.  Structs are arrays on the wire: fields are identified by position.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec


class FencingToken(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies one lease.  Tokens of a task are totally ordered: by round, then by the client's id (name and run)."""

    round: int
    client_id: str

    def __str__(self) -> str:
        return f"{self.round}.{self.client_id}"


NO_TOKEN = FencingToken(0, "")


class AcquireRequest(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Acquire or renew the lease of `task` for `length_ms`.  `request_id` distinguishes renewals under one token;
    `config_number` is the acceptor set that the client knows.
    """

    task: str
    token: FencingToken
    length_ms: float
    request_id: int
    config_number: int


class LeaseNote(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Data that a lease holder leaves for the next holder; ordered by the time of writing."""

    token: FencingToken
    sequence: int
    text: bytes = b""


NO_NOTE = LeaseNote(NO_TOKEN, 0)


class Grant(msgspec.Struct, frozen=True, tag="granted", array_like=True):
    """The lease is granted, and the grant is durable.  `note`: the latest note that this acceptor has of the task."""

    task: str
    token: FencingToken
    request_id: int
    note: LeaseNote = NO_NOTE


class WriteNote(msgspec.Struct, frozen=True, tag="note", array_like=True):
    """From the lease holder: replace the task's note."""

    task: str
    note: LeaseNote
    config_number: int


class NoteWritten(msgspec.Struct, frozen=True, tag="left", array_like=True):
    """The note is durable at this acceptor."""

    task: str
    token: FencingToken
    sequence: int


class RefusalReason(Enum):
    """Why an acceptor refuses a request.  The values go over the wire; the first four are those of `Stage`."""

    EMPTY = "empty"
    FOUNDING = "founding"
    CHANGING = "changing"
    BEHIND = "behind"
    STAGE_NOT_DURABLE = "settling"  # the acceptor is about to vote
    OTHER_CONFIG = "set"  # the client knows another acceptor set
    INVALID_LENGTH = "length"  # longer than the longest lease, or a renewal with another length
    OLDER_TOKEN = "older"  # a later token was granted
    RELEASED = "released"  # the lease to be renewed was released
    HELD = "held"  # by another client
    RESERVED = "reserved"  # for the successor that the last holder named
    UNKNOWN = "unknown"  # never sent: a reason of another version of the program

    @classmethod
    def _missing_(cls, value: object) -> RefusalReason:
        return cls.UNKNOWN


class Refusal(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """The request is refused.  `highest_token`: of the task; `retry_after_ms`: earliest useful retry; `config_number`
    and `acceptors`: the acceptor set in force here (no acceptors where this acceptor's own settings are outdated).
    """

    task: str
    token: FencingToken
    request_id: int
    reason: RefusalReason
    highest_token: FencingToken
    retry_after_ms: float
    config_number: int
    acceptors: tuple[str, ...]


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """The lease is released before it expires, or the attempt is abandoned.  `successor`: name of the client that
    should get it next, or empty.
    """

    task: str
    token: FencingToken
    successor: str = ""


class Transferred(msgspec.Struct, frozen=True, tag="handed", array_like=True):
    """The task is free: sent to the successor that the holder named, else to the client that has waited longest."""

    task: str


class LeaseRow(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of one task at an acceptor: the highest granted token, the lease's length, whether it was released,
    and the latest note.
    """

    task: str
    token: FencingToken
    length_ms: float
    released: bool
    note: LeaseNote = NO_NOTE


class StateRequest(msgspec.Struct, frozen=True, tag="learn", array_like=True):
    """From an acceptor that is not voting yet: asks for the receiver's state."""

    config_number: int
    nonce: int


class StateReply(msgspec.Struct, frozen=True, tag="learnt", array_like=True):
    """An acceptor's state.  `stage`: a value of `acceptor.Stage`; `sealed_previous`: it remembers everything that it
    granted in the previous acceptor set, and grants nothing in that set any more.
    """

    config_number: int
    nonce: int
    stage: str
    sealed_previous: bool
    rows: tuple[LeaseRow, ...]


Message = AcquireRequest | Grant | Refusal | Release | Transferred | StateRequest | StateReply | WriteNote | NoteWritten


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Settings that must be the same in the whole fleet.

    `config_number`: version of the acceptor set, increased with each change; `previous_acceptors`: the set before it;
    `clock_rate_bound`: each clock's rate is within 1 - bound to 1 + bound of true time; `max_lease_ms`: longest lease
    that acceptors grant; `request_timeout_ms`: after it a request counts as unanswered; `retry_pause_ms`: base of the
    backoff after a failed attempt; `queue_spacing_ms`: distance between the retry times of waiting clients;
    `transfer_reservation_ms`: how long a released task is reserved for its successor; `round_floor`: rounds of tokens
    begin above it.
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
        """How long a holder may rely on a lease by its own clock, counted from before the request was sent.

        Acceptors count `length_ms` on clocks that may be as fast as the bound allows, while the holder's clock may be
        as slow, so the holder's view of the lease ends before any acceptor's.
        """
        return length_ms * (1 - self.clock_rate_bound) / (1 + self.clock_rate_bound)

    @property
    def recovery_wait_ms(self) -> float:
        """How long, on the fastest clock, until every lease granted before now has expired at its holder."""
        return self.max_lease_ms * (1 + self.clock_rate_bound) / (1 - self.clock_rate_bound)


def majority(acceptors: tuple[str, ...]) -> int:
    """The smallest number of acceptors that is more than half."""
    return len(acceptors) // 2 + 1
