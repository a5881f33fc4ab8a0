"""A client's request for a lease: progress of its attempts, answers received, and the note to be stored."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from .messages import NO_NOTE, NO_TOKEN, FencingToken, LeaseNote, NoteWritten

MAX_OPEN_BALLOTS = 4  # ballots per token for which grants are still counted


class RequestState(Enum):
    """State of a lease request."""

    WAITING = "waiting"  # the next attempt starts at `next_step_at`
    ACQUIRING = "asking"  # an attempt is in progress
    HOLDING = "holding"


@dataclass(slots=True)
class Ballot:
    """Sending time and grants of one acquire or renewal message, which is sent to several acceptors.

    All copies have one request id, the key in `LeaseRequest.ballots`.  `sent_at` is a time before the first copy
    was sent; `granted_by` are the acceptors that granted the request.
    """

    sent_at: float
    granted_by: set[str] = field(default_factory=set)

    def clone(self) -> Ballot:
        """Return an independent copy."""
        return Ballot(self.sent_at, set(self.granted_by))


@dataclass(slots=True)
class LeaseRequest:
    """Request for the lease of a task, from `acquire` to `release`, with the state of the lease while it is held.

    Times are in ms on this client's clock.  `next_step_at` is when `LeaseClient.tick` must handle the request next.
    """

    task: str
    length_ms: float
    state: RequestState
    next_step_at: float
    token: FencingToken = NO_TOKEN
    expires_at: float = float("-inf")
    ballots: dict[int, Ballot] = field(default_factory=dict)
    # Acceptors to which a request with the current token was sent, renewals included.
    contacted_acceptors: set[str] = field(default_factory=set)
    # Estimated time from which a retry can succeed, by acceptor that refused this attempt.
    refusals: dict[str, float] = field(default_factory=dict)
    only_first_contacted: bool = False  # True while the request was sent only to the first acceptor
    # Number of consecutive failed attempts with neither a reservation nor a later retry time; determines the backoff.
    failed_attempts: int = 0
    reserved_until: float = float("-inf")  # end of a reservation for this client after a transfer
    inherited_note: LeaseNote = NO_NOTE  # latest note in the grants of this token, renewals included
    pending_note: LeaseNote | None = None  # note that a majority has not stored yet
    note_acceptors: set[str] = field(default_factory=set)  # acceptors that have stored `pending_note`

    @property
    def is_held(self) -> bool:
        """Whether the state is HOLDING.

        The lease may have expired since the last `tick`; `LeaseClient.held_token` checks this.
        """
        return self.state is RequestState.HOLDING

    def start_attempt(self, token: FencingToken) -> None:
        """Start to acquire the lease under a new token.

        The answers to earlier attempts are discarded, and so is a note that a majority has not stored yet.
        """
        self.state, self.token, self.only_first_contacted = RequestState.ACQUIRING, token, True
        self.inherited_note, self.pending_note = NO_NOTE, None
        self.ballots, self.refusals, self.contacted_acceptors = {}, {}, set()

    def open_ballot(self, request_id: int, now: float) -> None:
        """Open a ballot for a request that is about to be sent, and drop the oldest ballots beyond the maximum."""
        self.ballots[request_id] = Ballot(now)
        for old_id in list(self.ballots)[:-MAX_OPEN_BALLOTS]:
            del self.ballots[old_id]

    def acknowledges_pending_note(self, answer: NoteWritten) -> bool:
        """Return whether an acceptor's answer acknowledges the pending note."""
        note = self.pending_note
        return note is not None and (note.token, note.sequence) == (answer.token, answer.sequence)

    def clone(self) -> LeaseRequest:
        """Return an independent copy, for the model checker."""
        return replace(
            self,
            ballots={request_id: ballot.clone() for request_id, ballot in self.ballots.items()},
            contacted_acceptors=set(self.contacted_acceptors),
            refusals=dict(self.refusals),
            note_acceptors=set(self.note_acceptors),
        )
