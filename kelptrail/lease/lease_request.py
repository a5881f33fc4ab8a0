"""A client's request for a lease: the progress of its attempts, the answers so far, and the note to be stored."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from .messages import NO_NOTE, NO_TOKEN, FencingToken, LeaseNote, NoteWritten

MAX_OPEN_BALLOTS = 4  # requests of one token whose grants are still counted


class RequestState(Enum):
    """Progress of one lease request."""

    WAITING = "waiting"
    ACQUIRING = "asking"
    HOLDING = "holding"


@dataclass(slots=True)
class Ballot:
    """One request to all acceptors: when it was first sent, and which acceptors granted it."""

    sent_at: float
    granted_by: set[str] = field(default_factory=set)

    def clone(self) -> Ballot:
        """An independent copy."""
        return Ballot(self.sent_at, set(self.granted_by))


@dataclass(slots=True)
class LeaseRequest:
    """A task that this client wants to hold.  Times in ms of this client's clock; `next_step_at`: when `tick` acts."""

    task: str
    length_ms: float
    state: RequestState
    next_step_at: float
    token: FencingToken = NO_TOKEN
    expires_at: float = float("-inf")
    ballots: dict[int, Ballot] = field(default_factory=dict)
    acceptors_asked: set[str] = field(default_factory=set)  # in this attempt
    refusals: dict[str, float] = field(default_factory=dict)  # in this attempt: acceptor to its retry time
    is_probing: bool = False  # only the first acceptor has been asked
    failed_attempts: int = 0  # consecutive ones that found no holder
    reserved_until: float = float("-inf")  # a holder transferred the task to this client
    inherited_note: LeaseNote = NO_NOTE  # the latest note in the grants
    pending_note: LeaseNote | None = None  # not yet stored by a majority
    note_acceptors: set[str] = field(default_factory=set)

    @property
    def is_held(self) -> bool:
        """Whether the lease was acquired and has not been released or found expired."""
        return self.state is RequestState.HOLDING

    def start_attempt(self, token: FencingToken) -> None:
        """Begin to acquire the lease under a new token; answers to earlier attempts do not count."""
        self.state, self.token, self.is_probing = RequestState.ACQUIRING, token, True
        self.inherited_note, self.pending_note = NO_NOTE, None
        self.ballots, self.refusals, self.acceptors_asked = {}, {}, set()

    def open_ballot(self, request_id: int, now: float) -> None:
        """A request is about to be sent to acceptors; the oldest ballots are dropped."""
        self.ballots[request_id] = Ballot(now)
        for old_id in list(self.ballots)[:-MAX_OPEN_BALLOTS]:
            del self.ballots[old_id]

    def awaits_note(self, answer: NoteWritten) -> bool:
        """Whether an acceptor's answer is about the note that is not yet stored."""
        note = self.pending_note
        return note is not None and (note.token, note.sequence) == (answer.token, answer.sequence)

    def clone(self) -> LeaseRequest:
        """An independent copy, for the model checker."""
        return replace(
            self,
            ballots={request_id: ballot.clone() for request_id, ballot in self.ballots.items()},
            acceptors_asked=set(self.acceptors_asked),
            refusals=dict(self.refusals),
            note_acceptors=set(self.note_acceptors),
        )
