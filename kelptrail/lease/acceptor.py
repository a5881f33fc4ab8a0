"""A voter: grants leases, each task to one asker at a time, with tokens that only grow; free of I/O and clocks.

Nothing is said before it is on disk: a grant waits as a `Write` until its host tells that it is safe.  After a restart
every grant on disk counts as given just now.  A voter without memory (a new disk, a lost or damaged one) does not vote
until nothing that it may have granted can be believed any more, and then has learnt from a majority that votes, in
this order: what came to others meanwhile is learnt too.  A new set of voters takes over once a majority of the set
before has taken it up, which stops the old set; then the longest lease passes; then it learns.

The first start of a whole set is told from the loss of its disks by all of them: each must find all others empty, note
that, and find that all others have noted it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

from .messages import (
    NO_TOKEN,
    NOTHING,
    AcquireRequest,
    FencingToken,
    Grant,
    LeaseNote,
    LeaseRow,
    LeaseSettings,
    Message,
    NoteWritten,
    Refusal,
    Release,
    StateReply,
    StateRequest,
    Transferred,
    WriteNote,
    majority,
)

MOST_WAITING = 1000  # askers whose turn a voter remembers, for a task


class Stage(Enum):
    """What a voter is doing."""

    EMPTY = "empty"  # no memory
    FOUNDING = "founding"  # no memory, and nobody had any
    CHANGING = "changing"  # remembers all of the set before; has taken up this one
    VOTING = "voting"
    BEHIND = "behind"  # its settings name an older set than its disk


@dataclass(frozen=True, slots=True)
class DurableState:
    """What a voter has on disk beside its rows."""

    number: int
    stage: Stage
    was: bool


@dataclass(frozen=True, slots=True)
class Write:
    """To be made safe, all or nothing; then what waits for it may be said."""

    number: int
    rows: tuple[LeaseRow, ...]
    memory: DurableState | None = None
    to: str = ""
    reply: Message | None = None


@dataclass(slots=True)
class LeaseRecord:
    """One task at one voter.  `until`: when the grant ends here; `kept`: the token that is on disk."""

    highest: FencingToken = NO_TOKEN
    length_ms: float = 0.0
    until: float = float("-inf")
    released: bool = False
    kept: FencingToken = NO_TOKEN
    next: str = ""  # whom it was handed to
    next_until: float = float("-inf")
    noted: LeaseNote = NOTHING


class Acceptor:
    """One voter.  `memory` and `rows`: what its disk held; None: nothing that can be gone on from."""

    def __init__(
        self,
        name: str,
        settings: LeaseSettings,
        now: float,
        memory: DurableState | None,
        rows: tuple[LeaseRow, ...] = (),
    ) -> None:
        self.name, self.settings = name, settings
        self.seats: dict[str, LeaseRecord] = {}
        self.out: deque[tuple[str, Message]] = deque()
        self.writes: deque[Write] = deque()
        self.waiting: dict[str, dict[str, float]] = {}  # task: those who were told to wait, and when they are due
        self.number, self.stage, self.was = settings.number, Stage.EMPTY, False
        self.since: float | None = now  # since when nothing can have been granted that is not learnt
        self._answers: dict[str, StateReply] = {}
        self._nonce = 0
        self._next_learn = now
        self._writes = 0
        self._settled = True  # the stage is on disk
        for row in rows:
            until = now + row.length_ms if not row.released else float("-inf")
            self.seats[row.task] = LeaseRecord(
                row.token, row.length_ms, until, row.released, row.token, noted=row.noted
            )
        if memory is None:
            return
        self.stage, self.was = memory.stage, memory.was
        if memory.number > settings.number:
            self.number, self.stage = memory.number, Stage.BEHIND
        elif memory.number < settings.number:
            # One that was founding has granted nothing, so nothing of it is missing.
            follows = memory.number == settings.number - 1 and memory.stage in (Stage.VOTING, Stage.FOUNDING)
            self.since = None
            self._to(Stage.CHANGING if follows else Stage.EMPTY, was=follows)
        elif self.stage is Stage.CHANGING:
            self.since = None

    # Inputs.

    def received(self, now: float, sender: str, message: Message) -> None:
        """A message from an asker or another voter; others are not for a voter."""
        if isinstance(message, AcquireRequest):
            self._asked(now, sender, message)
        elif isinstance(message, Release):
            self._released(now, message)
        elif isinstance(message, WriteNote):
            self._note(sender, message)
        elif isinstance(message, StateRequest):
            if self._settled and sender in (*self.settings.voters, *self.settings.before):
                rows = tuple(self._row(task) for task in sorted(self.seats))
                self.out.append((sender, StateReply(self.number, message.nonce, self.stage.value, self.was, rows)))
        elif isinstance(message, StateReply):
            self._learnt(now, sender, message)

    def written(self, write: Write, safe: bool) -> None:
        """A write is on disk, or could not be made safe: then nothing of it is said, and it is asked for anew."""
        if write.memory is not None:
            self._settled = safe
            if not safe:
                self._to(write.memory.stage, write.memory.was)
        if not safe:
            return
        for row in write.rows:
            self.seats[row.task].kept = max(self.seats[row.task].kept, row.token)
        if write.reply is not None:
            self.out.append((write.to, write.reply))

    def tick(self, now: float) -> None:
        """Ask others, where it has to learn."""
        if self.stage in (Stage.VOTING, Stage.BEHIND) or now < self._next_learn:
            return
        self._next_learn = now + self.settings.ask_ms
        self._nonce += 1
        self._answers = {}
        for name in dict.fromkeys((*self.settings.voters, *self.settings.before)):
            if name != self.name:
                self.out.append((name, StateRequest(self.number, self._nonce)))

    def due(self) -> float | None:
        """When `tick` is due; None: never."""
        return None if self.stage in (Stage.VOTING, Stage.BEHIND) else self._next_learn

    # Granting.

    def _asked(self, now: float, sender: str, ask: AcquireRequest) -> None:
        reason = self._reason(now, sender, ask)
        seat = self.seats.setdefault(ask.task, LeaseRecord())
        if reason:
            left = self._left(now, ask.task, sender, seat, reason)
            highest = max(seat.highest, FencingToken(self.settings.first_round, ""))
            voters = self.settings.voters if self.stage is not Stage.BEHIND else ()
            self.out.append((sender, Refusal(ask.task, ask.token, ask.seq, reason, highest, left, self.number, voters)))
            return
        seat.highest, seat.length_ms, seat.released = ask.token, ask.length_ms, False
        seat.until, seat.next = now + ask.length_ms, ""
        self.waiting.get(ask.task, {}).pop(sender, None)
        reply = Grant(ask.task, ask.token, ask.seq, seat.noted)
        if seat.kept == ask.token:  # a renewal: after a restart it counts from then anyway
            self.out.append((sender, reply))
        else:
            self._write((self._row(ask.task),), to=sender, reply=reply)

    def _reason(self, now: float, sender: str, ask: AcquireRequest) -> str:
        """Why not; empty: granted."""
        seat = self.seats.get(ask.task, LeaseRecord())
        if self.stage is not Stage.VOTING or not self._settled:
            return "settling" if self.stage is Stage.VOTING else self.stage.value
        if ask.number != self.number:
            return "set"
        if not 0 < ask.length_ms <= self.settings.longest_ms:
            return "length"
        if ask.token < seat.highest or ask.token.round <= self.settings.first_round:
            return "older"
        if ask.token == seat.highest:
            return "released" if seat.released else "" if ask.length_ms == seat.length_ms else "length"
        if now < seat.until and not seat.released and seat.highest.who != ask.token.who:
            return "held"
        if now < seat.next_until and seat.next not in ("", sender):
            return "reserved"
        return ""

    def _left(self, now: float, task: str, sender: str, seat: LeaseRecord, reason: str) -> float:
        """How long an asker should wait: until the task may be free, each a gap behind who came before it.  Guards
        against all askers of a fleet coming at the same instant."""
        if reason not in ("held", "reserved"):
            return 0.0
        line = self.waiting.setdefault(task, {})
        for name in [n for n, due in line.items() if due < now - self.settings.longest_ms]:
            del line[name]
        if len(line) < MOST_WAITING or sender in line:
            line.setdefault(sender, now)
        free = max(seat.until if not seat.released else now, seat.next_until if seat.next else now)
        place = list(line).index(sender) if sender in line else len(line)
        due = free + place * self.settings.gap_ms
        if sender in line:
            line[sender] = due
        return due - now

    def _released(self, now: float, message: Release) -> None:
        seat = self.seats.setdefault(message.task, LeaseRecord())
        if self.stage is not Stage.VOTING or not self._settled:
            return
        if message.token < seat.highest or (message.token > seat.highest and now < seat.until and not seat.released):
            return
        if message.token == seat.highest and seat.released:
            return
        # A token that has not come yet is noted as given back: its question may be under way still.
        seat.highest, seat.released, seat.until = message.token, True, now
        if message.to:
            seat.next, seat.next_until = message.to, now + self.settings.reserve_ms
        # Who was told to wait would come only when the lease would have ended.
        if to := message.to or next(iter(self.waiting.get(message.task, ())), ""):
            self.out.append((to, Transferred(message.task)))
        self._write((self._row(message.task),))

    def _note(self, sender: str, note: WriteNote) -> None:
        """Keep a note of the task's holder.  One under an older token than was granted is passed over: whoever was
        granted the newer one has been told what stood here then."""
        seat, noted = self.seats.get(note.task), note.noted
        if seat is None or self.stage is not Stage.VOTING or not self._settled or note.number != self.number:
            return
        if noted.token != seat.highest or seat.released or noted < seat.noted:
            return
        seat.noted = noted
        self._write((self._row(note.task),), to=sender, reply=NoteWritten(note.task, noted.token, noted.seq))

    def _row(self, task: str) -> LeaseRow:
        seat = self.seats[task]
        return LeaseRow(task, seat.highest, seat.length_ms, seat.released, seat.noted)

    def _write(
        self, rows: tuple[LeaseRow, ...], memory: DurableState | None = None, to: str = "", reply: Message | None = None
    ) -> None:
        self._writes += 1
        self.writes.append(Write(self._writes, rows, memory, to, reply))

    # Learning.

    def _to(self, stage: Stage, was: bool) -> None:
        """Take up a stage, to be on disk before anything is said in it."""
        self.stage, self.was, self._settled = stage, was, False
        self._write(tuple(self._row(task) for task in sorted(self.seats)), DurableState(self.number, stage, was))

    def _learnt(self, now: float, sender: str, answer: StateReply) -> None:
        if self.stage in (Stage.VOTING, Stage.BEHIND) or not self._settled:
            return
        if answer.number != self.number or answer.nonce != self._nonce:
            return
        self._answers[sender] = answer
        if self.stage is Stage.CHANGING:
            self._changed(now)
        else:
            self._filled(now)

    def _changed(self, now: float) -> None:
        """The set before has been stopped once a majority of it has taken up this one; then the longest lease
        passes."""
        before, answers = self.settings.before, self._answers
        stopped = 1 + sum(answers[name].was for name in before if name in answers)
        if self.name not in before or stopped < majority(before):
            return
        if self.since is None:
            self.since = now
        elif now - self.since >= self.settings.wait_ms and self._asked_after(now):
            self._vote(now)

    def _filled(self, now: float) -> None:
        """Without memory: nothing that was granted here can be believed any more, and a majority that votes has told
        what it knows; or nobody knows anything."""
        others = [name for name in self.settings.voters if name != self.name]
        stages = [self._answers[name].stage for name in others if name in self._answers]
        if not self._passed(now):
            return
        if self.stage is Stage.FOUNDING:
            if Stage.VOTING.value in stages or (len(stages) == len(others) and set(stages) <= {Stage.FOUNDING.value}):
                self._vote(now)
        elif stages.count(Stage.VOTING.value) >= majority(self.settings.voters):
            self._vote(now)
        elif all(
            name in self._answers and self._answers[name].stage in (Stage.EMPTY.value, Stage.FOUNDING.value)
            for name in {*others, *self.settings.before} - {self.name}
        ):
            self._to(Stage.FOUNDING, False)

    def _passed(self, now: float) -> bool:
        """Whether the longest lease has passed since the start, and the questions went out after that."""
        if self.since is None:
            self.since = now
        return now - self.since >= self.settings.wait_ms and self._asked_after(now)

    def _asked_after(self, now: float) -> bool:
        """Whether the answers in hand were asked for when the wait was over."""
        asked = self._next_learn - self.settings.ask_ms
        return self.since is not None and asked - self.since >= self.settings.wait_ms

    def _vote(self, now: float) -> None:
        for answer in self._answers.values():
            for row in answer.rows:
                seat = self.seats.setdefault(row.task, LeaseRecord())
                seat.noted = max(seat.noted, row.noted)
                if row.token > seat.highest:
                    seat.highest, seat.length_ms, seat.released = row.token, row.length_ms, row.released
                    # What the others grant counts as granted here, too: else the next who asks gets a larger token from
                    # this voter, which from then on refuses the holder's renewals.
                    seat.until = now + row.length_ms if not row.released else now
        self._to(Stage.VOTING, self.was)

    # For the explorer.

    def copy(self) -> Acceptor:
        """A copy that goes its own way."""
        twin = Acceptor.__new__(type(self))
        twin.__dict__.update(self.__dict__)
        twin.seats = {task: replace(seat) for task, seat in self.seats.items()}
        twin.out, twin.writes = self.out.copy(), self.writes.copy()
        twin.waiting = {task: dict(line) for task, line in self.waiting.items()}
        twin._answers = dict(self._answers)
        return twin
