"""Acceptor of the lease protocol: grants each task to one client at a time; free of I/O and clocks.

Safety: tokens of a task only grow, and nothing is answered before it is durable: a grant waits as a `Write` until the
driver reports the sync.  After a restart each durable grant counts as given at the time of the restart, so it ends
here no earlier than at its holder.  An acceptor without durable state (a new, lost or damaged disk) does not vote until
every lease that it may have granted has expired, and then learns the state of a majority of voting acceptors, in that
order: so it also learns what the others granted meanwhile.

A new acceptor set takes over in three steps: a majority of the previous set enters the new one, which seals the
previous set; the longest lease elapses; the new set learns the sealed state.

The first start of a whole set (`Stage.FOUNDING`) is distinguished from the loss of all its disks: each acceptor must
find all others empty, make that durable, and find that all others have done the same.
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

MAX_WAITING_CLIENTS = 1000  # clients for a task whose place in the queue is remembered


class Stage(Enum):
    """State of an acceptor.  The values go over the wire and to disk."""

    EMPTY = "empty"  # no durable state
    FOUNDING = "founding"  # no durable state, and no other acceptor had any
    CHANGING = "changing"  # remembers its grants in the previous set, and has entered this one
    VOTING = "voting"
    BEHIND = "behind"  # its settings name an older acceptor set than its disk


@dataclass(frozen=True, slots=True)
class DurableState:
    """What an acceptor has on disk beside the rows of its tasks."""

    config_number: int
    stage: Stage
    sealed_previous: bool


@dataclass(frozen=True, slots=True)
class Write:
    """An atomic write.  Once it is durable, `reply` may go to `reply_to`."""

    write_id: int
    rows: tuple[LeaseRow, ...]
    state: DurableState | None = None
    reply_to: str = ""
    reply: Message | None = None


@dataclass(slots=True)
class LeaseRecord:
    """One task at this acceptor.  Times in ms of its own clock; `durable_token`: the token that is on disk."""

    highest_token: FencingToken = NO_TOKEN
    length_ms: float = 0.0
    expires_at: float = float("-inf")
    released: bool = False
    durable_token: FencingToken = NO_TOKEN
    reserved_for: str = ""  # the successor that the last holder named
    reserved_until: float = float("-inf")
    note: LeaseNote = NO_NOTE


class Acceptor:
    """One acceptor.  `state` and `rows`: what its disk held; None: no usable durable state."""

    def __init__(
        self,
        name: str,
        settings: LeaseSettings,
        now: float,
        state: DurableState | None,
        rows: tuple[LeaseRow, ...] = (),
    ) -> None:
        self.name, self.settings = name, settings
        self.records: dict[str, LeaseRecord] = {}
        self.outbox: deque[tuple[str, Message]] = deque()
        self.pending_writes: deque[Write] = deque()
        self.waiting_clients: dict[str, dict[str, float]] = {}  # by task: client to its retry time
        self.config_number, self.stage, self.sealed_previous = settings.config_number, Stage.EMPTY, False
        self.quiet_since: float | None = now  # no unknown grant can be later; None: not known yet
        self._state_replies: dict[str, StateReply] = {}
        self._nonce = 0
        self._next_query_at = now
        self._last_write_id = 0
        self._stage_durable = True
        for row in rows:
            until = now + row.length_ms if not row.released else float("-inf")
            self.records[row.task] = LeaseRecord(
                row.token, row.length_ms, until, row.released, row.token, note=row.note
            )
        if state is not None:
            self._restore_stage(state)

    def _restore_stage(self, state: DurableState) -> None:
        settings = self.settings
        self.stage, self.sealed_previous = state.stage, state.sealed_previous
        if state.config_number > settings.config_number:
            self.config_number, self.stage = state.config_number, Stage.BEHIND
        elif state.config_number < settings.config_number:
            # A founding acceptor has granted nothing, so its state is complete.
            is_complete = state.stage in (Stage.VOTING, Stage.FOUNDING)
            follows = state.config_number == settings.config_number - 1 and is_complete
            self.quiet_since = None
            self._enter_stage(Stage.CHANGING if follows else Stage.EMPTY, sealed_previous=follows)
        elif self.stage is Stage.CHANGING:
            self.quiet_since = None

    # Inputs.

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """Handle a message from a client or another acceptor; other messages are ignored."""
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
        """A write is durable, or has failed: then its reply is dropped, and a change of stage is written again."""
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
        """Query the other acceptors, while this one is not voting."""
        if self.stage in (Stage.VOTING, Stage.BEHIND) or now < self._next_query_at:
            return
        self._next_query_at = now + self.settings.request_timeout_ms
        self._nonce += 1
        self._state_replies = {}
        for name in dict.fromkeys((*self.settings.acceptors, *self.settings.previous_acceptors)):
            if name != self.name:
                self.outbox.append((name, StateRequest(self.config_number, self._nonce)))

    def next_tick_at(self) -> float | None:
        """When `tick` must be called next; None: not before another input."""
        return None if self.stage in (Stage.VOTING, Stage.BEHIND) else self._next_query_at

    # Granting.

    def _on_acquire(self, now: float, sender: str, request: AcquireRequest) -> None:
        reason = self._refusal_reason(now, sender, request)
        record = self.records.setdefault(request.task, LeaseRecord())
        if reason:
            left = self._queue_delay_ms(now, request.task, sender, record, reason)
            highest = max(record.highest_token, FencingToken(self.settings.round_floor, ""))
            voters = self.settings.acceptors if self.stage is not Stage.BEHIND else ()
            self.outbox.append(
                (
                    sender,
                    Refusal(
                        request.task,
                        request.token,
                        request.request_id,
                        reason,
                        highest,
                        left,
                        self.config_number,
                        voters,
                    ),
                )
            )
            return
        record.highest_token, record.length_ms, record.released = request.token, request.length_ms, False
        record.expires_at, record.reserved_for = now + request.length_ms, ""
        self.waiting_clients.get(request.task, {}).pop(sender, None)
        reply = Grant(request.task, request.token, request.request_id, record.note)
        if record.durable_token == request.token:  # a renewal: after a restart it counts from the restart anyway
            self.outbox.append((sender, reply))
        else:
            self._enqueue_write((self._row(request.task),), to=sender, reply=reply)

    def _refusal_reason(self, now: float, sender: str, request: AcquireRequest) -> str:
        """Why the request must be refused; empty: it is granted."""
        record = self.records.get(request.task, LeaseRecord())
        if self.stage is not Stage.VOTING or not self._stage_durable:
            return "settling" if self.stage is Stage.VOTING else self.stage.value
        if request.config_number != self.config_number:
            return "set"
        if not 0 < request.length_ms <= self.settings.max_lease_ms:
            return "length"
        if request.token < record.highest_token or request.token.round <= self.settings.round_floor:
            return "older"
        if request.token == record.highest_token:
            return "released" if record.released else "" if request.length_ms == record.length_ms else "length"
        if (
            now < record.expires_at
            and not record.released
            and record.highest_token.client_id != request.token.client_id
        ):
            return "held"
        if now < record.reserved_until and record.reserved_for not in ("", sender):
            return "reserved"
        return ""

    def _queue_delay_ms(self, now: float, task: str, sender: str, record: LeaseRecord, reason: str) -> float:
        """How long a refused client should wait, in ms.

        Until the task may be free, each client `queue_spacing_ms` behind the one before it, so that the clients of
        a fleet do not retry all at once."""
        if reason not in ("held", "reserved"):
            return 0.0
        queue = self.waiting_clients.setdefault(task, {})
        for name in [n for n, due in queue.items() if due < now - self.settings.max_lease_ms]:
            del queue[name]
        if len(queue) < MAX_WAITING_CLIENTS or sender in queue:
            queue.setdefault(sender, now)
        free = max(
            record.expires_at if not record.released else now, record.reserved_until if record.reserved_for else now
        )
        place = list(queue).index(sender) if sender in queue else len(queue)
        due = free + place * self.settings.queue_spacing_ms
        if sender in queue:
            queue[sender] = due
        return due - now

    def _on_release(self, now: float, message: Release) -> None:
        record = self.records.setdefault(message.task, LeaseRecord())
        if self.stage is not Stage.VOTING or not self._stage_durable:
            return
        if message.token < record.highest_token or (
            message.token > record.highest_token and now < record.expires_at and not record.released
        ):
            return
        if message.token == record.highest_token and record.released:
            return
        # A token that was not seen yet counts as released: its request may still be in flight.
        record.highest_token, record.released, record.expires_at = message.token, True, now
        if message.successor:
            record.reserved_for, record.reserved_until = message.successor, now + self.settings.transfer_reservation_ms
        # The next client in the queue would otherwise wait until the lease would have expired.
        if to := message.successor or next(iter(self.waiting_clients.get(message.task, ())), ""):
            self.outbox.append((to, Transferred(message.task)))
        self._enqueue_write((self._row(message.task),))

    def _on_write_note(self, sender: str, note: WriteNote) -> None:
        """Store the holder's note.  One under an older token is ignored: the grant of the newer token has already
        carried the note that was stored then."""
        record, noted = self.records.get(note.task), note.note
        if (
            record is None
            or self.stage is not Stage.VOTING
            or not self._stage_durable
            or note.config_number != self.config_number
        ):
            return
        if noted.token != record.highest_token or record.released or noted < record.note:
            return
        record.note = noted
        self._enqueue_write(
            (self._row(note.task),), to=sender, reply=NoteWritten(note.task, noted.token, noted.sequence)
        )

    def _row(self, task: str) -> LeaseRow:
        record = self.records[task]
        return LeaseRow(task, record.highest_token, record.length_ms, record.released, record.note)

    def _enqueue_write(
        self, rows: tuple[LeaseRow, ...], memory: DurableState | None = None, to: str = "", reply: Message | None = None
    ) -> None:
        self._last_write_id += 1
        self.pending_writes.append(Write(self._last_write_id, rows, memory, to, reply))

    # Learning.

    def _enter_stage(self, stage: Stage, sealed_previous: bool) -> None:
        """Enter a stage; it must be durable before any answer is given in it."""
        self.stage, self.sealed_previous, self._stage_durable = stage, sealed_previous, False
        self._enqueue_write(
            tuple(self._row(task) for task in sorted(self.records)),
            DurableState(self.config_number, stage, sealed_previous),
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
        """The previous set is sealed once a majority of it has entered this one; then the longest lease must elapse."""
        before, answers = self.settings.previous_acceptors, self._state_replies
        stopped = 1 + sum(answers[name].sealed_previous for name in before if name in answers)
        if self.name not in before or stopped < majority(before):
            return
        if self.quiet_since is None:
            self.quiet_since = now
        elif now - self.quiet_since >= self.settings.recovery_wait_ms and self._replies_follow_wait(now):
            self._start_voting(now)

    def _try_recover(self, now: float) -> None:
        """Without durable state: vote once all leases granted here have expired and a majority of voting acceptors has
        sent its state, or once it is certain that the whole set is new."""
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
        """Whether the longest lease has elapsed since the start, and the state replies were requested after that."""
        if self.quiet_since is None:
            self.quiet_since = now
        return now - self.quiet_since >= self.settings.recovery_wait_ms and self._replies_follow_wait(now)

    def _replies_follow_wait(self, now: float) -> bool:
        """Whether the collected state replies were requested after the wait."""
        asked = self._next_query_at - self.settings.request_timeout_ms
        return self.quiet_since is not None and asked - self.quiet_since >= self.settings.recovery_wait_ms

    def _start_voting(self, now: float) -> None:
        for answer in self._state_replies.values():
            for row in answer.rows:
                record = self.records.setdefault(row.task, LeaseRecord())
                record.note = max(record.note, row.note)
                if row.token > record.highest_token:
                    record.highest_token, record.length_ms, record.released = row.token, row.length_ms, row.released
                    # A grant of the others counts here, too: else the next client gets a larger token from
                    # this acceptor, which from then on refuses the holder's renewals.
                    record.expires_at = now + row.length_ms if not row.released else now
        self._enter_stage(Stage.VOTING, self.sealed_previous)

    # For the model checker.

    def clone(self) -> Acceptor:
        """An independent copy."""
        clone = Acceptor.__new__(type(self))
        clone.__dict__.update(self.__dict__)
        clone.records = {task: replace(record) for task, record in self.records.items()}
        clone.outbox, clone.pending_writes = self.outbox.copy(), self.pending_writes.copy()
        clone.waiting_clients = {task: dict(queue) for task, queue in self.waiting_clients.items()}
        clone._state_replies = dict(self._state_replies)
        return clone
