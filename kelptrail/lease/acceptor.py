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
    NO_NOTE,
    NO_TOKEN,
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

MAX_WAITING_CLIENTS = 1000  # askers whose turn a voter remembers, for a task


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

    config_number: int
    stage: Stage
    sealed_previous: bool


@dataclass(frozen=True, slots=True)
class Write:
    """To be made safe, all or nothing; then what waits for it may be said."""

    write_id: int
    rows: tuple[LeaseRow, ...]
    state: DurableState | None = None
    reply_to: str = ""
    reply: Message | None = None


@dataclass(slots=True)
class LeaseRecord:
    """One task at one voter.  `until`: when the grant ends here; `kept`: the token that is on disk."""

    highest_token: FencingToken = NO_TOKEN
    length_ms: float = 0.0
    expires_at: float = float("-inf")
    released: bool = False
    durable_token: FencingToken = NO_TOKEN
    reserved_for: str = ""  # whom it was handed to
    reserved_until: float = float("-inf")
    note: LeaseNote = NO_NOTE


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
        self.records: dict[str, LeaseRecord] = {}
        self.outbox: deque[tuple[str, Message]] = deque()
        self.pending_writes: deque[Write] = deque()
        self.waiting_clients: dict[
            str, dict[str, float]
        ] = {}  # task: those who were told to wait, and when they are due
        self.config_number, self.stage, self.sealed_previous = settings.config_number, Stage.EMPTY, False
        self.quiet_since: float | None = now  # since when nothing can have been granted that is not learnt
        self._state_replies: dict[str, StateReply] = {}
        self._nonce = 0
        self._next_query_at = now
        self._last_write_id = 0
        self._stage_durable = True  # the stage is on disk
        for row in rows:
            until = now + row.length_ms if not row.released else float("-inf")
            self.records[row.task] = LeaseRecord(
                row.token, row.length_ms, until, row.released, row.token, note=row.note
            )
        if memory is None:
            return
        self.stage, self.sealed_previous = memory.stage, memory.sealed_previous
        if memory.config_number > settings.config_number:
            self.config_number, self.stage = memory.config_number, Stage.BEHIND
        elif memory.config_number < settings.config_number:
            # One that was founding has granted nothing, so nothing of it is missing.
            follows = memory.config_number == settings.config_number - 1 and memory.stage in (
                Stage.VOTING,
                Stage.FOUNDING,
            )
            self.quiet_since = None
            self._enter_stage(Stage.CHANGING if follows else Stage.EMPTY, was=follows)
        elif self.stage is Stage.CHANGING:
            self.quiet_since = None

    # Inputs.

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """A message from an asker or another voter; others are not for a voter."""
        if isinstance(message, AcquireRequest):
            self._on_acquire(now, sender, message)
        elif isinstance(message, Release):
            self._on_release(now, message)
        elif isinstance(message, WriteNote):
            self._on_write_note(sender, message)
        elif isinstance(message, StateRequest):
            if self._stage_durable and sender in (*self.settings.acceptors, *self.settings.previous_acceptors):
                rows = tuple(self._row(task) for task in sorted(self.records))
                self.outbox.append(
                    (
                        sender,
                        StateReply(self.config_number, message.nonce, self.stage.value, self.sealed_previous, rows),
                    )
                )
        elif isinstance(message, StateReply):
            self._on_state_reply(now, sender, message)

    def on_written(self, write: Write, safe: bool) -> None:
        """A write is on disk, or could not be made safe: then nothing of it is said, and it is asked for anew."""
        if write.state is not None:
            self._stage_durable = safe
            if not safe:
                self._enter_stage(write.state.stage, write.state.sealed_previous)
        if not safe:
            return
        for row in write.rows:
            self.records[row.task].durable_token = max(self.records[row.task].durable_token, row.token)
        if write.reply is not None:
            self.outbox.append((write.reply_to, write.reply))

    def tick(self, now: float) -> None:
        """Ask others, where it has to learn."""
        if self.stage in (Stage.VOTING, Stage.BEHIND) or now < self._next_query_at:
            return
        self._next_query_at = now + self.settings.request_timeout_ms
        self._nonce += 1
        self._state_replies = {}
        for name in dict.fromkeys((*self.settings.acceptors, *self.settings.previous_acceptors)):
            if name != self.name:
                self.outbox.append((name, StateRequest(self.config_number, self._nonce)))

    def next_tick_at(self) -> float | None:
        """When `tick` is due; None: never."""
        return None if self.stage in (Stage.VOTING, Stage.BEHIND) else self._next_query_at

    # Granting.

    def _on_acquire(self, now: float, sender: str, ask: AcquireRequest) -> None:
        reason = self._refusal_reason(now, sender, ask)
        seat = self.records.setdefault(ask.task, LeaseRecord())
        if reason:
            left = self._queue_delay_ms(now, ask.task, sender, seat, reason)
            highest = max(seat.highest_token, FencingToken(self.settings.round_floor, ""))
            voters = self.settings.acceptors if self.stage is not Stage.BEHIND else ()
            self.outbox.append(
                (
                    sender,
                    Refusal(ask.task, ask.token, ask.request_id, reason, highest, left, self.config_number, voters),
                )
            )
            return
        seat.highest_token, seat.length_ms, seat.released = ask.token, ask.length_ms, False
        seat.expires_at, seat.reserved_for = now + ask.length_ms, ""
        self.waiting_clients.get(ask.task, {}).pop(sender, None)
        reply = Grant(ask.task, ask.token, ask.request_id, seat.note)
        if seat.durable_token == ask.token:  # a renewal: after a restart it counts from then anyway
            self.outbox.append((sender, reply))
        else:
            self._enqueue_write((self._row(ask.task),), to=sender, reply=reply)

    def _refusal_reason(self, now: float, sender: str, ask: AcquireRequest) -> str:
        """Why not; empty: granted."""
        seat = self.records.get(ask.task, LeaseRecord())
        if self.stage is not Stage.VOTING or not self._stage_durable:
            return "settling" if self.stage is Stage.VOTING else self.stage.value
        if ask.config_number != self.config_number:
            return "set"
        if not 0 < ask.length_ms <= self.settings.max_lease_ms:
            return "length"
        if ask.token < seat.highest_token or ask.token.round <= self.settings.round_floor:
            return "older"
        if ask.token == seat.highest_token:
            return "released" if seat.released else "" if ask.length_ms == seat.length_ms else "length"
        if now < seat.expires_at and not seat.released and seat.highest_token.client_id != ask.token.client_id:
            return "held"
        if now < seat.reserved_until and seat.reserved_for not in ("", sender):
            return "reserved"
        return ""

    def _queue_delay_ms(self, now: float, task: str, sender: str, seat: LeaseRecord, reason: str) -> float:
        """How long an asker should wait: until the task may be free, each a gap behind who came before it.  Guards
        against all askers of a fleet coming at the same instant."""
        if reason not in ("held", "reserved"):
            return 0.0
        line = self.waiting_clients.setdefault(task, {})
        for name in [n for n, due in line.items() if due < now - self.settings.max_lease_ms]:
            del line[name]
        if len(line) < MAX_WAITING_CLIENTS or sender in line:
            line.setdefault(sender, now)
        free = max(seat.expires_at if not seat.released else now, seat.reserved_until if seat.reserved_for else now)
        place = list(line).index(sender) if sender in line else len(line)
        due = free + place * self.settings.queue_spacing_ms
        if sender in line:
            line[sender] = due
        return due - now

    def _on_release(self, now: float, message: Release) -> None:
        seat = self.records.setdefault(message.task, LeaseRecord())
        if self.stage is not Stage.VOTING or not self._stage_durable:
            return
        if message.token < seat.highest_token or (
            message.token > seat.highest_token and now < seat.expires_at and not seat.released
        ):
            return
        if message.token == seat.highest_token and seat.released:
            return
        # A token that has not come yet is noted as given back: its question may be under way still.
        seat.highest_token, seat.released, seat.expires_at = message.token, True, now
        if message.successor:
            seat.reserved_for, seat.reserved_until = message.successor, now + self.settings.transfer_reservation_ms
        # Who was told to wait would come only when the lease would have ended.
        if to := message.successor or next(iter(self.waiting_clients.get(message.task, ())), ""):
            self.outbox.append((to, Transferred(message.task)))
        self._enqueue_write((self._row(message.task),))

    def _on_write_note(self, sender: str, note: WriteNote) -> None:
        """Keep a note of the task's holder.  One under an older token than was granted is passed over: whoever was
        granted the newer one has been told what stood here then."""
        seat, noted = self.records.get(note.task), note.note
        if (
            seat is None
            or self.stage is not Stage.VOTING
            or not self._stage_durable
            or note.config_number != self.config_number
        ):
            return
        if noted.token != seat.highest_token or seat.released or noted < seat.note:
            return
        seat.note = noted
        self._enqueue_write(
            (self._row(note.task),), to=sender, reply=NoteWritten(note.task, noted.token, noted.sequence)
        )

    def _row(self, task: str) -> LeaseRow:
        seat = self.records[task]
        return LeaseRow(task, seat.highest_token, seat.length_ms, seat.released, seat.note)

    def _enqueue_write(
        self, rows: tuple[LeaseRow, ...], memory: DurableState | None = None, to: str = "", reply: Message | None = None
    ) -> None:
        self._last_write_id += 1
        self.pending_writes.append(Write(self._last_write_id, rows, memory, to, reply))

    # Learning.

    def _enter_stage(self, stage: Stage, was: bool) -> None:
        """Take up a stage, to be on disk before anything is said in it."""
        self.stage, self.sealed_previous, self._stage_durable = stage, was, False
        self._enqueue_write(
            tuple(self._row(task) for task in sorted(self.records)), DurableState(self.config_number, stage, was)
        )

    def _on_state_reply(self, now: float, sender: str, answer: StateReply) -> None:
        if self.stage in (Stage.VOTING, Stage.BEHIND) or not self._stage_durable:
            return
        if answer.config_number != self.config_number or answer.nonce != self._nonce:
            return
        self._state_replies[sender] = answer
        if self.stage is Stage.CHANGING:
            self._try_finish_config_change(now)
        else:
            self._try_recover(now)

    def _try_finish_config_change(self, now: float) -> None:
        """The set before has been stopped once a majority of it has taken up this one; then the longest lease
        passes."""
        before, answers = self.settings.previous_acceptors, self._state_replies
        stopped = 1 + sum(answers[name].sealed_previous for name in before if name in answers)
        if self.name not in before or stopped < majority(before):
            return
        if self.quiet_since is None:
            self.quiet_since = now
        elif now - self.quiet_since >= self.settings.recovery_wait_ms and self._replies_follow_wait(now):
            self._start_voting(now)

    def _try_recover(self, now: float) -> None:
        """Without memory: nothing that was granted here can be believed any more, and a majority that votes has told
        what it knows; or nobody knows anything."""
        others = [name for name in self.settings.acceptors if name != self.name]
        stages = [self._state_replies[name].stage for name in others if name in self._state_replies]
        if not self._recovery_wait_over(now):
            return
        if self.stage is Stage.FOUNDING:
            if Stage.VOTING.value in stages or (len(stages) == len(others) and set(stages) <= {Stage.FOUNDING.value}):
                self._start_voting(now)
        elif stages.count(Stage.VOTING.value) >= majority(self.settings.acceptors):
            self._start_voting(now)
        elif all(
            name in self._state_replies and self._state_replies[name].stage in (Stage.EMPTY.value, Stage.FOUNDING.value)
            for name in {*others, *self.settings.previous_acceptors} - {self.name}
        ):
            self._enter_stage(Stage.FOUNDING, False)

    def _recovery_wait_over(self, now: float) -> bool:
        """Whether the longest lease has passed since the start, and the questions went out after that."""
        if self.quiet_since is None:
            self.quiet_since = now
        return now - self.quiet_since >= self.settings.recovery_wait_ms and self._replies_follow_wait(now)

    def _replies_follow_wait(self, now: float) -> bool:
        """Whether the answers in hand were asked for when the wait was over."""
        asked = self._next_query_at - self.settings.request_timeout_ms
        return self.quiet_since is not None and asked - self.quiet_since >= self.settings.recovery_wait_ms

    def _start_voting(self, now: float) -> None:
        for answer in self._state_replies.values():
            for row in answer.rows:
                seat = self.records.setdefault(row.task, LeaseRecord())
                seat.note = max(seat.note, row.note)
                if row.token > seat.highest_token:
                    seat.highest_token, seat.length_ms, seat.released = row.token, row.length_ms, row.released
                    # What the others grant counts as granted here, too: else the next who asks gets a larger token from
                    # this voter, which from then on refuses the holder's renewals.
                    seat.expires_at = now + row.length_ms if not row.released else now
        self._enter_stage(Stage.VOTING, self.sealed_previous)

    # For the explorer.

    def clone(self) -> Acceptor:
        """A copy that goes its own way."""
        twin = Acceptor.__new__(type(self))
        twin.__dict__.update(self.__dict__)
        twin.records = {task: replace(seat) for task, seat in self.records.items()}
        twin.outbox, twin.pending_writes = self.outbox.copy(), self.pending_writes.copy()
        twin.waiting_clients = {task: dict(line) for task, line in self.waiting_clients.items()}
        twin._state_replies = dict(self._state_replies)
        return twin
