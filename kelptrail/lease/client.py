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
    NO_TOKEN,
    NOTHING,
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

MOST_QUESTIONS = 4  # renewals whose answers are still waited for
MOST_GROWTH = 4  # doublings of the pause between attempts


class State(Enum):
    """What an asker does about a task."""

    WAITING = "waiting"
    ASKING = "asking"
    HOLDING = "holding"


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The task is held under a token until a time of this asker's clock.  `noted`: what a holder before left with it;
    no older holder's note is kept from here on."""

    task: str
    token: FencingToken
    until: float
    noted: LeaseNote = NOTHING


@dataclass(frozen=True, slots=True)
class NoteStored:
    """A note of this asker's is kept by a majority: whoever holds the task next is told it, or a later one."""

    task: str
    token: FencingToken
    seq: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """It is not held any more, as `reason` says: "expired", "released"."""

    task: str
    token: FencingToken
    reason: str


@dataclass(slots=True)
class Question:
    """One question to voters: when it went out first, and who said yes."""

    sent: float
    granted: set[str] = field(default_factory=set)


@dataclass(slots=True)
class LeaseRequest:
    """One task that is wanted.  `due`: when something is to be done about it."""

    task: str
    length_ms: float
    state: State
    due: float
    token: FencingToken = NO_TOKEN
    until: float = float("-inf")
    questions: dict[int, Question] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)  # in this attempt
    refused: dict[str, float] = field(default_factory=dict)  # in this attempt: until when each says it is held
    first: bool = False  # only the first voter has been asked
    attempts: int = 0  # in a row that met nobody who holds it
    handed: float = float("-inf")  # until when it is kept for this asker
    noted: LeaseNote = NOTHING  # the last note that voters told of
    leaving: LeaseNote | None = None  # the note that is to be kept, and by whom it is
    left: set[str] = field(default_factory=set)


class LeaseClient:
    """One dispatcher's leases.  `who`: its name and run, never the same for two runs."""

    def __init__(self, name: str, who: str, settings: LeaseSettings) -> None:
        self.name, self.who, self.settings = name, who, settings
        self.voters, self.number = settings.voters, settings.number
        self.wishes: dict[str, LeaseRequest] = {}
        self.rounds: dict[str, int] = {}  # the highest round seen, by task
        self.seen: dict[str, tuple[FencingToken, float]] = {}  # who was told to hold a task last, and until about when
        self.out: deque[tuple[str, Message]] = deque()
        self.events: deque[LeaseAcquired | LeaseLost | NoteStored] = deque()
        self._seq = self._draws = 0

    # Inputs.

    def want(self, now: float, task: str, length_ms: float) -> None:
        """Ask for a task until it is held, and hold it until it is released.  Raises `ValueError` for a length that
        voters would refuse."""
        if not 0 < length_ms <= self.settings.longest_ms:
            raise ValueError(f"a lease of {length_ms:g} ms, at most {self.settings.longest_ms:g}")
        if task not in self.wishes:
            self.wishes[task] = LeaseRequest(task, length_ms, State.WAITING, now)

    def release(self, now: float, task: str, to: str = "") -> None:
        """Give a task back, to whoever is named next if anybody; it is not wanted any more."""
        wish = self.wishes.pop(task, None)
        if wish is None or wish.state is State.WAITING:
            return
        self._give_back(wish, self.voters if wish.state is State.HOLDING else tuple(sorted(wish.asked)), to)
        if wish.state is State.HOLDING:
            self.events.append(LeaseLost(task, wish.token, "released"))

    def note(self, task: str, text: bytes) -> int | None:
        """Leave a note with a task that is held, in place of the one before; `Kept` tells when it is.  Its number, or
        None where the task is not held."""
        wish = self.wishes.get(task)
        if wish is None or wish.state is not State.HOLDING:
            return None
        self._seq += 1
        wish.leaving, wish.left = LeaseNote(wish.token, self._seq, text), set()
        self._leave(wish)
        return self._seq

    def _leave(self, wish: LeaseRequest) -> None:
        if wish.leaving is not None:
            for voter in self.voters:
                if voter not in wish.left:
                    self.out.append((voter, WriteNote(wish.task, wish.leaving, self.number)))

    def _left(self, sender: str, wish: LeaseRequest, answer: NoteWritten) -> None:
        note = wish.leaving
        if note is None or (note.token, note.seq) != (answer.token, answer.seq) or sender not in self.voters:
            return
        wish.left.add(sender)
        if len(wish.left) >= majority(self.voters):
            wish.leaving = None
            self.events.append(NoteStored(wish.task, note.token, note.seq))

    def holds(self, now: float, task: str) -> FencingToken | None:
        """The token under which an act on a task may begin at this instant; None: it may not."""
        wish = self.wishes.get(task)
        if wish is None or wish.state is not State.HOLDING or now >= wish.until:
            return None
        return wish.token

    def left_ms(self, now: float, task: str) -> float:
        """How long a task is held for sure, 0 where it is not."""
        wish = self.wishes.get(task)
        return max(0.0, wish.until - now) if wish is not None and wish.state is State.HOLDING else 0.0

    def received(self, now: float, sender: str, message: Message) -> None:
        """An answer of a voter, or a hand-over; others are not for an asker."""
        wish = (
            self.wishes.get(message.task) if isinstance(message, Grant | Refusal | Transferred | NoteWritten) else None
        )
        if wish is None:
            return
        if isinstance(message, Grant):
            self._granted(now, sender, wish, message)
        elif isinstance(message, Refusal):
            self._refused(now, sender, wish, message)
        elif isinstance(message, NoteWritten):
            self._left(sender, wish, message)
        elif wish.state is State.WAITING:
            wish.due, wish.handed = now, now + self.settings.reserve_ms

    def tick(self, now: float) -> None:
        """Whatever is due."""
        for wish in list(self.wishes.values()):
            while wish.due <= now:
                before = wish.due
                self._step(now, wish)
                if wish.due <= before:
                    break

    def due(self) -> float | None:
        """When `tick` is due; None: never."""
        return min((wish.due for wish in self.wishes.values()), default=None)

    # Steps.

    def _step(self, now: float, wish: LeaseRequest) -> None:
        if wish.state is State.HOLDING:
            if now >= wish.until:
                self._lose(now, wish)
            else:
                self._renew(now, wish)
        elif wish.state is State.WAITING:
            self._attempt(now, wish)
        elif wish.first:  # the first voter is silent
            self._ask_rest(now, wish)
        else:
            self._give_up(now, wish)

    def _attempt(self, now: float, wish: LeaseRequest) -> None:
        round_ = max(self.rounds.get(wish.task, 0), self.settings.first_round) + 1
        self.rounds[wish.task] = round_
        wish.state, wish.token, wish.first = State.ASKING, FencingToken(round_, self.who), True
        wish.noted, wish.leaving = NOTHING, None
        wish.questions, wish.refused, wish.asked = {}, {}, set()
        self._seq += 1
        wish.questions[self._seq] = Question(now)
        wish.due = now + self.settings.ask_ms
        self._ask(wish, self._order(wish.task)[0])

    def _ask_rest(self, now: float, wish: LeaseRequest) -> None:
        wish.first = False
        wish.due = now + 2 * self.settings.ask_ms
        for voter in self._order(wish.task):
            if voter not in wish.asked:
                self._ask(wish, voter)

    def _renew(self, now: float, wish: LeaseRequest) -> None:
        self._seq += 1
        wish.questions[self._seq] = Question(now)
        for seq in list(wish.questions)[:-MOST_QUESTIONS]:
            del wish.questions[seq]
        for voter in self.voters:
            self._ask(wish, voter)
        self._leave(wish)  # again to those that have not said that they keep it
        wish.due = min(wish.until, now + self.settings.held_ms(wish.length_ms) / 3)

    def _ask(self, wish: LeaseRequest, voter: str) -> None:
        wish.asked.add(voter)
        self.out.append((voter, AcquireRequest(wish.task, wish.token, wish.length_ms, self._seq, self.number)))

    def _granted(self, now: float, sender: str, wish: LeaseRequest, answer: Grant) -> None:
        question = wish.questions.get(answer.seq)
        if wish.state is State.WAITING or question is None or answer.token != wish.token or sender not in self.voters:
            return
        question.granted.add(sender)
        wish.noted = max(wish.noted, answer.noted)
        until = question.sent + self.settings.held_ms(wish.length_ms)
        if len(question.granted) >= majority(self.voters) and now < until:
            self._won(now, wish, until)
        elif wish.state is State.ASKING and wish.first:
            self._ask_rest(now, wish)

    def _won(self, now: float, wish: LeaseRequest, until: float) -> None:
        if wish.state is State.HOLDING:
            if until > wish.until:
                wish.until = until
            return
        wish.state, wish.until, wish.attempts = State.HOLDING, until, 0
        wish.due = min(until, now + self.settings.held_ms(wish.length_ms) / 3)
        self.events.append(LeaseAcquired(wish.task, wish.token, until, wish.noted))

    def _refused(self, now: float, sender: str, wish: LeaseRequest, answer: Refusal) -> None:
        self.rounds[wish.task] = max(self.rounds.get(wish.task, 0), answer.highest.round)
        if answer.reason == "held":
            self.seen[wish.task] = answer.highest, now + answer.left_ms
        if answer.number > self.number and answer.voters:
            self._changed(now, answer.number, answer.voters)
        if wish.state is not State.ASKING or answer.token != wish.token or answer.seq not in wish.questions:
            return
        wish.refused[sender] = now + answer.left_ms
        said_no = sum(voter in wish.refused for voter in self.voters)
        if wish.first and answer.reason in ("held", "reserved"):
            self._give_up(now, wish)
        elif wish.first:
            self._ask_rest(now, wish)
        elif said_no > len(self.voters) - majority(self.voters):
            self._give_up(now, wish)

    def _changed(self, now: float, number: int, voters: tuple[str, ...]) -> None:
        """There is a later set of voters.  Answers to questions to the set before do not count for it."""
        for wish in self.wishes.values():
            if wish.state is State.ASKING:
                self._give_up(now, wish)
            wish.questions, wish.left = {}, set()
        self.voters, self.number = voters, number

    def _give_up(self, now: float, wish: LeaseRequest) -> None:
        """An attempt has failed: what was granted is given back; again once the task may be free, or, where nobody is
        known to hold it, after a pause that grows.  Each asker's pause differs."""
        self._give_back(wish, tuple(sorted(wish.asked)), "")
        free = max(wish.refused.values(), default=now) if now >= wish.handed else now
        wish.attempts = wish.attempts + 1 if free <= now and now >= wish.handed else 0
        pause = self.settings.retry_ms * 2 ** min(MOST_GROWTH, max(0, wish.attempts - 1))
        wish.state, wish.due = State.WAITING, max(now, free) + pause * (0.5 + self._draw())
        wish.questions, wish.first = {}, False

    def _lose(self, now: float, wish: LeaseRequest) -> None:
        self.events.append(LeaseLost(wish.task, wish.token, "expired"))
        wish.state, wish.until, wish.questions = State.WAITING, float("-inf"), {}
        wish.due = now + self.settings.retry_ms * (0.5 + self._draw())

    def _give_back(self, wish: LeaseRequest, voters: tuple[str, ...], to: str) -> None:
        for voter in voters:
            if voter not in wish.refused:
                self.out.append((voter, Release(wish.task, wish.token, to)))

    def _order(self, task: str) -> list[str]:
        """The voters, each task beginning with another: askers of one task meet at one voter."""
        shift = crc32(task.encode()) % len(self.voters)
        return [*self.voters[shift:], *self.voters[:shift]]

    def _draw(self) -> float:
        """From 0 to 1, the same each time for the same asker."""
        self._draws += 1
        return crc32(f"{self.who} {self._draws}".encode()) / 2**32

    # For the explorer.

    def copy(self) -> LeaseClient:
        """A copy that goes its own way."""
        twin = LeaseClient.__new__(type(self))
        twin.__dict__.update(self.__dict__)
        twin.wishes = {
            task: replace(
                wish,
                questions={seq: Question(q.sent, set(q.granted)) for seq, q in wish.questions.items()},
                asked=set(wish.asked),
                refused=dict(wish.refused),
                left=set(wish.left),
            )
            for task, wish in self.wishes.items()
        }
        twin.rounds, twin.seen = dict(self.rounds), dict(self.seen)
        twin.out, twin.events = self.out.copy(), self.events.copy()
        return twin
