"""An asker: wants tasks, holds them by leases from a majority of voters; free of I/O and clocks.

A lease counts from before its question went out, by this asker's own clock, shortened by what clocks may differ; it is
renewed at a third of that and lost where no majority said yes to one and the same question in time.  A lost one is
asked for anew under a larger token, never under the old one.  Whoever wants a task that is held asks one voter at a
time, the same for all askers of that task: there they are told their places, and the others are asked only once that
one has said yes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from zlib import crc32

from .messages import (
    NO_NOTE,
    NO_TOKEN,
    AcquireRequest,
    FencingToken,
    Grant,
    LeaseNote,
    LeaseSettings,
    Message,
    NoteWritten,
    Refusal,
    Release,
    Transferred,
    WriteNote,
    majority,
)

MAX_OPEN_BALLOTS = 4  # renewals whose answers are still waited for
MAX_BACKOFF_DOUBLINGS = 4  # doublings of the pause between attempts


class RequestState(Enum):
    """What an asker does about a task."""

    WAITING = "waiting"
    ACQUIRING = "asking"
    HOLDING = "holding"


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The task is held under a token until a time of this asker's clock.  `noted`: what a holder before left with it;
    no older holder's note is kept from here on."""

    task: str
    token: FencingToken
    expires_at: float
    inherited_note: LeaseNote = NO_NOTE


@dataclass(frozen=True, slots=True)
class NoteStored:
    """A note of this asker's is kept by a majority: whoever holds the task next is told it, or a later one."""

    task: str
    token: FencingToken
    sequence: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """It is not held any more, as `reason` says: "expired", "released"."""

    task: str
    token: FencingToken
    reason: str


@dataclass(slots=True)
class Ballot:
    """One question to voters: when it went out first, and who said yes."""

    sent_at: float
    granted_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class LeaseRequest:
    """One task that is wanted.  `due`: when something is to be done about it."""

    task: str
    length_ms: float
    state: RequestState
    next_step_at: float
    token: FencingToken = NO_TOKEN
    expires_at: float = float("-inf")
    ballots: dict[int, Ballot] = field(default_factory=dict)
    acceptors_asked: set[str] = field(default_factory=set)  # in this attempt
    refusals: dict[str, float] = field(default_factory=dict)  # in this attempt: until when each says it is held
    is_probing: bool = False  # only the first voter has been asked
    failed_attempts: int = 0  # in a row that met nobody who holds it
    reserved_until: float = float("-inf")  # until when it is kept for this asker
    inherited_note: LeaseNote = NO_NOTE  # the last note that voters told of
    pending_note: LeaseNote | None = None  # the note that is to be kept, and by whom it is
    note_acceptors: set[str] = field(default_factory=set)


class LeaseClient:
    """One dispatcher's leases.  `who`: its name and run, never the same for two runs."""

    def __init__(self, name: str, who: str, settings: LeaseSettings) -> None:
        self.name, self.client_id, self.settings = name, who, settings
        self.acceptors, self.config_number = settings.acceptors, settings.config_number
        self.requests: dict[str, LeaseRequest] = {}
        self.highest_rounds: dict[str, int] = {}  # the highest round seen, by task
        self.known_holders: dict[
            str, tuple[FencingToken, float]
        ] = {}  # who was told to hold a task last, and until about when
        self.outbox: deque[tuple[str, Message]] = deque()
        self.events: deque[LeaseAcquired | LeaseLost | NoteStored] = deque()
        self._last_request_id = self._jitter_draws = 0

    # Inputs.

    def acquire(self, now: float, task: str, length_ms: float) -> None:
        """Ask for a task until it is held, and hold it until it is released.  Raises `ValueError` for a length that
        voters would refuse."""
        if not 0 < length_ms <= self.settings.max_lease_ms:
            raise ValueError(f"a lease of {length_ms:g} ms, at most {self.settings.max_lease_ms:g}")
        if task not in self.requests:
            self.requests[task] = LeaseRequest(task, length_ms, RequestState.WAITING, now)

    def release(self, now: float, task: str, to: str = "") -> None:
        """Give a task back, to whoever is named next if anybody; it is not wanted any more."""
        wish = self.requests.pop(task, None)
        if wish is None or wish.state is RequestState.WAITING:
            return
        self._send_release(
            wish, self.acceptors if wish.state is RequestState.HOLDING else tuple(sorted(wish.acceptors_asked)), to
        )
        if wish.state is RequestState.HOLDING:
            self.events.append(LeaseLost(task, wish.token, "released"))

    def write_note(self, task: str, text: bytes) -> int | None:
        """Leave a note with a task that is held, in place of the one before; `Kept` tells when it is.  Its number, or
        None where the task is not held."""
        wish = self.requests.get(task)
        if wish is None or wish.state is not RequestState.HOLDING:
            return None
        self._last_request_id += 1
        wish.pending_note, wish.note_acceptors = LeaseNote(wish.token, self._last_request_id, text), set()
        self._send_pending_note(wish)
        return self._last_request_id

    def _send_pending_note(self, wish: LeaseRequest) -> None:
        if wish.pending_note is not None:
            for voter in self.acceptors:
                if voter not in wish.note_acceptors:
                    self.outbox.append((voter, WriteNote(wish.task, wish.pending_note, self.config_number)))

    def _on_note_written(self, sender: str, wish: LeaseRequest, answer: NoteWritten) -> None:
        note = wish.pending_note
        if (
            note is None
            or (note.token, note.sequence) != (answer.token, answer.sequence)
            or sender not in self.acceptors
        ):
            return
        wish.note_acceptors.add(sender)
        if len(wish.note_acceptors) >= majority(self.acceptors):
            wish.pending_note = None
            self.events.append(NoteStored(wish.task, note.token, note.sequence))

    def held_token(self, now: float, task: str) -> FencingToken | None:
        """The token under which an act on a task may begin at this instant; None: it may not."""
        wish = self.requests.get(task)
        if wish is None or wish.state is not RequestState.HOLDING or now >= wish.expires_at:
            return None
        return wish.token

    def remaining_ms(self, now: float, task: str) -> float:
        """How long a task is held for sure, 0 where it is not."""
        wish = self.requests.get(task)
        return max(0.0, wish.expires_at - now) if wish is not None and wish.state is RequestState.HOLDING else 0.0

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """An answer of a voter, or a hand-over; others are not for an asker."""
        wish = (
            self.requests.get(message.task)
            if isinstance(message, Grant | Refusal | Transferred | NoteWritten)
            else None
        )
        if wish is None:
            return
        if isinstance(message, Grant):
            self._on_grant(now, sender, wish, message)
        elif isinstance(message, Refusal):
            self._on_refusal(now, sender, wish, message)
        elif isinstance(message, NoteWritten):
            self._on_note_written(sender, wish, message)
        elif wish.state is RequestState.WAITING:
            wish.next_step_at, wish.reserved_until = now, now + self.settings.transfer_reservation_ms

    def tick(self, now: float) -> None:
        """Whatever is due."""
        for wish in list(self.requests.values()):
            while wish.next_step_at <= now:
                before = wish.next_step_at
                self._advance(now, wish)
                if wish.next_step_at <= before:
                    break

    def next_tick_at(self) -> float | None:
        """When `tick` is due; None: never."""
        return min((wish.next_step_at for wish in self.requests.values()), default=None)

    # Steps.

    def _advance(self, now: float, wish: LeaseRequest) -> None:
        if wish.state is RequestState.HOLDING:
            if now >= wish.expires_at:
                self._expire(now, wish)
            else:
                self._renew(now, wish)
        elif wish.state is RequestState.WAITING:
            self._start_attempt(now, wish)
        elif wish.is_probing:  # the first voter is silent
            self._ask_remaining(now, wish)
        else:
            self._abandon_attempt(now, wish)

    def _start_attempt(self, now: float, wish: LeaseRequest) -> None:
        round_ = max(self.highest_rounds.get(wish.task, 0), self.settings.round_floor) + 1
        self.highest_rounds[wish.task] = round_
        wish.state, wish.token, wish.is_probing = RequestState.ACQUIRING, FencingToken(round_, self.client_id), True
        wish.inherited_note, wish.pending_note = NO_NOTE, None
        wish.ballots, wish.refusals, wish.acceptors_asked = {}, {}, set()
        self._last_request_id += 1
        wish.ballots[self._last_request_id] = Ballot(now)
        wish.next_step_at = now + self.settings.request_timeout_ms
        self._ask(wish, self._acceptor_order(wish.task)[0])

    def _ask_remaining(self, now: float, wish: LeaseRequest) -> None:
        wish.is_probing = False
        wish.next_step_at = now + 2 * self.settings.request_timeout_ms
        for voter in self._acceptor_order(wish.task):
            if voter not in wish.acceptors_asked:
                self._ask(wish, voter)

    def _renew(self, now: float, wish: LeaseRequest) -> None:
        self._last_request_id += 1
        wish.ballots[self._last_request_id] = Ballot(now)
        for seq in list(wish.ballots)[:-MAX_OPEN_BALLOTS]:
            del wish.ballots[seq]
        for voter in self.acceptors:
            self._ask(wish, voter)
        self._send_pending_note(wish)  # again to those that have not said that they keep it
        wish.next_step_at = min(wish.expires_at, now + self.settings.safe_hold_ms(wish.length_ms) / 3)

    def _ask(self, wish: LeaseRequest, voter: str) -> None:
        wish.acceptors_asked.add(voter)
        self.outbox.append(
            (voter, AcquireRequest(wish.task, wish.token, wish.length_ms, self._last_request_id, self.config_number))
        )

    def _on_grant(self, now: float, sender: str, wish: LeaseRequest, answer: Grant) -> None:
        question = wish.ballots.get(answer.request_id)
        if (
            wish.state is RequestState.WAITING
            or question is None
            or answer.token != wish.token
            or sender not in self.acceptors
        ):
            return
        question.granted_by.add(sender)
        wish.inherited_note = max(wish.inherited_note, answer.note)
        until = question.sent_at + self.settings.safe_hold_ms(wish.length_ms)
        if len(question.granted_by) >= majority(self.acceptors) and now < until:
            self._on_quorum(now, wish, until)
        elif wish.state is RequestState.ACQUIRING and wish.is_probing:
            self._ask_remaining(now, wish)

    def _on_quorum(self, now: float, wish: LeaseRequest, until: float) -> None:
        if wish.state is RequestState.HOLDING:
            if until > wish.expires_at:
                wish.expires_at = until
            return
        wish.state, wish.expires_at, wish.failed_attempts = RequestState.HOLDING, until, 0
        wish.next_step_at = min(until, now + self.settings.safe_hold_ms(wish.length_ms) / 3)
        self.events.append(LeaseAcquired(wish.task, wish.token, until, wish.inherited_note))

    def _on_refusal(self, now: float, sender: str, wish: LeaseRequest, answer: Refusal) -> None:
        self.highest_rounds[wish.task] = max(self.highest_rounds.get(wish.task, 0), answer.highest_token.round)
        if answer.reason == "held":
            self.known_holders[wish.task] = answer.highest_token, now + answer.retry_after_ms
        if answer.config_number > self.config_number and answer.acceptors:
            self._adopt_config(now, answer.config_number, answer.acceptors)
        if (
            wish.state is not RequestState.ACQUIRING
            or answer.token != wish.token
            or answer.request_id not in wish.ballots
        ):
            return
        wish.refusals[sender] = now + answer.retry_after_ms
        said_no = sum(voter in wish.refusals for voter in self.acceptors)
        if wish.is_probing and answer.reason in ("held", "reserved"):
            self._abandon_attempt(now, wish)
        elif wish.is_probing:
            self._ask_remaining(now, wish)
        elif said_no > len(self.acceptors) - majority(self.acceptors):
            self._abandon_attempt(now, wish)

    def _adopt_config(self, now: float, number: int, voters: tuple[str, ...]) -> None:
        """There is a later set of voters.  Answers to questions to the set before do not count for it."""
        for wish in self.requests.values():
            if wish.state is RequestState.ACQUIRING:
                self._abandon_attempt(now, wish)
            wish.ballots, wish.note_acceptors = {}, set()
        self.acceptors, self.config_number = voters, number

    def _abandon_attempt(self, now: float, wish: LeaseRequest) -> None:
        """An attempt has failed: what was granted is given back; again once the task may be free, or, where nobody is
        known to hold it, after a pause that grows.  Each asker's pause differs."""
        self._send_release(wish, tuple(sorted(wish.acceptors_asked)), "")
        free = max(wish.refusals.values(), default=now) if now >= wish.reserved_until else now
        wish.failed_attempts = wish.failed_attempts + 1 if free <= now and now >= wish.reserved_until else 0
        pause = self.settings.retry_pause_ms * 2 ** min(MAX_BACKOFF_DOUBLINGS, max(0, wish.failed_attempts - 1))
        wish.state, wish.next_step_at = RequestState.WAITING, max(now, free) + pause * (0.5 + self._jitter())
        wish.ballots, wish.is_probing = {}, False

    def _expire(self, now: float, wish: LeaseRequest) -> None:
        self.events.append(LeaseLost(wish.task, wish.token, "expired"))
        wish.state, wish.expires_at, wish.ballots = RequestState.WAITING, float("-inf"), {}
        wish.next_step_at = now + self.settings.retry_pause_ms * (0.5 + self._jitter())

    def _send_release(self, wish: LeaseRequest, voters: tuple[str, ...], to: str) -> None:
        for voter in voters:
            if voter not in wish.refusals:
                self.outbox.append((voter, Release(wish.task, wish.token, to)))

    def _acceptor_order(self, task: str) -> list[str]:
        """The voters, each task beginning with another: askers of one task meet at one voter."""
        shift = crc32(task.encode()) % len(self.acceptors)
        return [*self.acceptors[shift:], *self.acceptors[:shift]]

    def _jitter(self) -> float:
        """From 0 to 1, the same each time for the same asker."""
        self._jitter_draws += 1
        return crc32(f"{self.client_id} {self._jitter_draws}".encode()) / 2**32

    # For the explorer.

    def clone(self) -> LeaseClient:
        """A copy that goes its own way."""
        twin = LeaseClient.__new__(type(self))
        twin.__dict__.update(self.__dict__)
        twin.requests = {
            task: replace(
                wish,
                ballots={seq: Ballot(q.sent_at, set(q.granted_by)) for seq, q in wish.ballots.items()},
                acceptors_asked=set(wish.acceptors_asked),
                refusals=dict(wish.refusals),
                note_acceptors=set(wish.note_acceptors),
            )
            for task, wish in self.requests.items()
        }
        twin.highest_rounds, twin.known_holders = dict(self.highest_rounds), dict(self.known_holders)
        twin.outbox, twin.events = self.outbox.copy(), self.events.copy()
        return twin
