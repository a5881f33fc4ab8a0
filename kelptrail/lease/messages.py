"""Messages between lease clients and acceptors, and the settings of both.

The protocol is a majority lease (Trencseni, Gazso, Reinhardt: PaxosLease, arXiv:1209.4187).  Its ballot numbers serve
as fencing tokens, like Chubby's sequencers (Burrows, OSDI 2006).  All times in messages are durations in milliseconds
on the receiver's clock, never times of day.  Structs are encoded as arrays, whose fields are identified by position.
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
    """Request to acquire or renew the lease of `task` for `length_ms`.

    `request_id` distinguishes the renewals under one token; `config_number` is the version of the acceptor set that the
    client uses.
    """

    task: str
    token: FencingToken
    length_ms: float
    request_id: int
    config_number: int


class LeaseNote(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Data that a lease holder stores for the next holder.  Notes are ordered by token, then by sequence number."""

    token: FencingToken
    sequence: int
    text: bytes = b""


NO_NOTE = LeaseNote(NO_TOKEN, 0)


class Grant(msgspec.Struct, frozen=True, tag="granted", array_like=True):
    """The lease is granted and the grant is durable.  `note` is the acceptor's latest note of the task."""

    task: str
    token: FencingToken
    request_id: int
    note: LeaseNote = NO_NOTE


class WriteNote(msgspec.Struct, frozen=True, tag="note", array_like=True):
    """Request of the lease holder to replace the note of a task."""

    task: str
    note: LeaseNote
    config_number: int


class NoteWritten(msgspec.Struct, frozen=True, tag="left", array_like=True):
    """The note is durable at the sending acceptor."""

    task: str
    token: FencingToken
    sequence: int


class RefusalReason(Enum):
    """Reason why an acceptor refuses a request.  The values are sent; the first four are also values of `Stage`."""

    EMPTY = "empty"
    FOUNDING = "founding"
    CHANGING = "changing"
    BEHIND = "behind"
    STAGE_NOT_DURABLE = "settling"  # the acceptor has started to vote, but its stage is not durable yet
    OTHER_CONFIG = "set"  # the client uses another acceptor set
    INVALID_LENGTH = "length"  # not positive, longer than the longest lease, or a renewal with another length
    OLDER_TOKEN = "older"  # a later token is recorded, or the round is not above `round_floor`
    RELEASED = "released"  # the lease under the token of the request was released
    HELD = "held"  # another client holds the lease
    RESERVED = "reserved"  # the task is reserved for the successor named by the last holder
    UNKNOWN = "unknown"  # decoded from a reason of another program version, never sent

    @classmethod
    def _missing_(cls, value: object) -> RefusalReason:
        return cls.UNKNOWN


class Refusal(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """The request is refused.

    `highest_token` is the highest recorded token of the task, or one with the round `round_floor` if that is higher.
    `retry_after_ms` is the estimated time until a retry can succeed, or 0 if the reason is neither HELD nor RESERVED.
    `config_number` and `acceptors` describe the current acceptor set; `acceptors` is empty if the settings of the
    sending acceptor are outdated.
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
    """The lease is released before it expires, or the attempt is abandoned.

    `successor` is the name of the client that should acquire it next, or empty.
    """

    task: str
    token: FencingToken
    successor: str = ""


class Transferred(msgspec.Struct, frozen=True, tag="handed", array_like=True):
    """The task is free.  Sent to the successor named by the holder, or else to the client that has waited longest."""

    task: str


class LeaseRow(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of one task at an acceptor.

    `token` is the highest token that was granted or released, and `note` the latest note; `length_ms` and `released`
    belong to the lease under that token.
    """

    task: str
    token: FencingToken
    length_ms: float
    released: bool
    note: LeaseNote = NO_NOTE


class StateRequest(msgspec.Struct, frozen=True, tag="learn", array_like=True):
    """Request for the state of the receiver, from an acceptor that does not vote yet."""

    config_number: int
    nonce: int


class StateReply(msgspec.Struct, frozen=True, tag="learnt", array_like=True):
    """State of an acceptor.  `stage` is a value of `acceptor_state.Stage`.

    `sealed_previous` is true if the sender has stored all grants that it made in the previous acceptor set, and grants
    nothing more in that set.
    """

    config_number: int
    nonce: int
    stage: str
    sealed_previous: bool
    rows: tuple[LeaseRow, ...]


Message = AcquireRequest | Grant | Refusal | Release | Transferred | StateRequest | StateReply | WriteNote | NoteWritten


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Lease settings, which must be the same in the complete fleet.

    - `config_number`: version of the acceptor set, increased with each change.
    - `previous_acceptors`: the acceptor set before the current one.
    - `clock_rate_bound`: maximum relative error of a clock's rate, so that it is between 1 - bound and 1 + bound.
    - `max_lease_ms`: longest lease that acceptors grant.
    - `request_timeout_ms`: time that a client waits for the answer of the first acceptor; it then waits twice as long
      for the others.  Also the interval between the state queries of an acceptor.
    - `retry_pause_ms`: base of the backoff after a failed attempt.
    - `queue_spacing_ms`: interval between the retry times of waiting clients.
    - `transfer_reservation_ms`: time for which a released task is reserved for its successor.
    - `round_floor`: acceptors grant only tokens with a round above it.
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
        """Return how long a holder may rely on a lease, in ms on its own clock from a time before the request was sent.

        The clocks of the acceptors may be as fast, and the clock of the holder as slow, as the bound permits.  The
        shortened length ensures that the lease ends at the holder no later than at any acceptor.
        """
        return length_ms * (1 - self.clock_rate_bound) / (1 + self.clock_rate_bound)

    @property
    def recovery_wait_ms(self) -> float:
        """Time in ms on the fastest clock after which every lease granted earlier has expired on the slowest clock."""
        return self.max_lease_ms * (1 + self.clock_rate_bound) / (1 - self.clock_rate_bound)


def majority(acceptors: tuple[str, ...]) -> int:
    """Return the smallest number of acceptors that is more than half."""
    return len(acceptors) // 2 + 1
