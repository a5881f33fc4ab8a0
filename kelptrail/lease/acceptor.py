"""Acceptor of the lease protocol: grants each task to one client at a time.  Performs no I/O and reads no clock.

Safety: the tokens of a task only increase, and no grant or acknowledgement of a note is sent before it is durable: the
reply is kept in a `Write` until the driver reports that the write was synced.  After a restart, the length of each
durable grant is counted from the restart, so that the grant expires here no earlier than at its holder.  An acceptor
without durable state (on a new, lost or damaged disk) does not vote at first.  It waits until every lease that it may
have granted has expired, and votes once voting acceptors that form a majority have answered a state request sent after
the wait.  Their answers thus include the leases that they granted during the wait.

A new acceptor set replaces the previous one in three steps.  A majority of the previous set enters the new set; this
seals the previous set, which can grant nothing more.  All leases of the previous set expire
(`LeaseSettings.recovery_wait_ms`).  The new set then receives the sealed state.

`Stage.FOUNDING` distinguishes the first start of a complete set from the loss of all its disks: each acceptor must find
that all others have no state, make this finding durable, and find that all others have done the same or that one of
them already votes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace

from .acceptor_recovery import AcceptorRecovery
from .acceptor_state import DurableState, LeaseRecord, Stage, Write
from .messages import (
    AcquireRequest,
    FencingToken,
    Grant,
    LeaseRow,
    LeaseSettings,
    Message,
    NoteWritten,
    Refusal,
    RefusalReason,
    Release,
    StateReply,
    StateRequest,
    Transferred,
    WriteNote,
)
from .waiting_clients import WaitingClients


class Acceptor:
    """One acceptor.

    `state` and `rows` are the contents of its disk; `state` is None where there is no usable durable state.
    """

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
        self.waiting_clients = WaitingClients(settings.queue_spacing_ms, settings.max_lease_ms)
        self.recovery = AcceptorRecovery(name, settings, now)
        self.config_number, self.stage, self.sealed_previous = settings.config_number, Stage.EMPTY, False
        self._last_write_id = 0
        self._stage_durable = True
        for row in rows:
            expires_at = now + row.length_ms if not row.released else float("-inf")
            self.records[row.task] = LeaseRecord(
                row.token, row.length_ms, expires_at, row.released, row.token, note=row.note
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
            is_next_config = state.config_number == settings.config_number - 1 and is_complete
            self.recovery.wait_started_at = None
            self._enter_stage(Stage.CHANGING if is_next_config else Stage.EMPTY, sealed_previous=is_next_config)
        elif self.stage is Stage.CHANGING:
            # The wait starts once a majority of the previous set is found to have entered the current one.
            self.recovery.wait_started_at = None

    # Inputs.

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """Handle a message that is meant for acceptors; messages of all other types are ignored."""
        if isinstance(message, AcquireRequest):
            self._on_acquire(now, sender, message)
        elif isinstance(message, Release):
            self._on_release(now, message)
        elif isinstance(message, WriteNote):
            self._on_write_note(sender, message)
        elif isinstance(message, StateRequest):
            self._on_state_request(sender, message)
        elif isinstance(message, StateReply):
            self._on_state_reply(now, sender, message)

    def on_written(self, write: Write, durable: bool) -> None:
        """Process the result of a write.

        The reply of a durable write is sent.  The reply of a failed write is dropped, but a change of stage is written
        again.
        """
        if write.state is not None:
            self._stage_durable = durable
            if not durable:
                self._enter_stage(write.state.stage, write.state.sealed_previous)
        if not durable:
            return
        for row in write.rows:
            self.records[row.task].durable_token = max(self.records[row.task].durable_token, row.token)
        if write.reply is not None:
            self.outbox.append((write.reply_to, write.reply))

    def tick(self, now: float) -> None:
        """Query the state of the other acceptors if a query is due and this acceptor does not vote yet."""
        if not self._is_recovering or now < self.recovery.next_query_at:
            return
        nonce = self.recovery.start_query(now)
        for name in dict.fromkeys((*self.settings.acceptors, *self.settings.previous_acceptors)):
            if name != self.name:
                self.outbox.append((name, StateRequest(self.config_number, nonce)))

    def next_tick_at(self) -> float | None:
        """Return when `tick` must be called next, or None if not before another input."""
        return self.recovery.next_query_at if self._is_recovering else None

    @property
    def _is_recovering(self) -> bool:
        """Whether this acceptor does not vote yet but will do so after recovery."""
        return self.stage not in (Stage.VOTING, Stage.BEHIND)

    @property
    def _may_vote(self) -> bool:
        return self.stage is Stage.VOTING and self._stage_durable

    # Granting.

    def _on_acquire(self, now: float, sender: str, request: AcquireRequest) -> None:
        reason = self._refusal_reason(now, sender, request)
        record = self.records.setdefault(request.task, LeaseRecord())
        if reason is not None:
            self._refuse(now, sender, request, reason)
            return
        record.highest_token, record.length_ms, record.released = request.token, request.length_ms, False
        record.expires_at, record.reserved_for = now + request.length_ms, ""
        self.waiting_clients.remove(request.task, sender)
        reply = Grant(request.task, request.token, request.request_id, record.note)
        # A renewal needs no write: after a restart, the lease is counted from the restart anyway.
        if record.durable_token == request.token:
            self.outbox.append((sender, reply))
        else:
            self._enqueue_write((self._row(request.task),), reply_to=sender, reply=reply)

    def _refusal_reason(self, now: float, sender: str, request: AcquireRequest) -> RefusalReason | None:
        """Return why the request must be refused, or None if it can be granted."""
        record = self.records.get(request.task, LeaseRecord())
        if self.stage is not Stage.VOTING:
            return RefusalReason(self.stage.value)
        if not self._stage_durable:
            return RefusalReason.STAGE_NOT_DURABLE
        if request.config_number != self.config_number:
            return RefusalReason.OTHER_CONFIG
        if not 0 < request.length_ms <= self.settings.max_lease_ms:
            return RefusalReason.INVALID_LENGTH
        if request.token < record.highest_token or request.token.round <= self.settings.round_floor:
            return RefusalReason.OLDER_TOKEN
        if request.token == record.highest_token:
            return _renewal_refusal(record, request)
        if record.is_held(now) and record.highest_token.client_id != request.token.client_id:
            return RefusalReason.HELD
        if now < record.reserved_until and record.reserved_for not in ("", sender):
            return RefusalReason.RESERVED
        return None

    def _refuse(self, now: float, sender: str, request: AcquireRequest, reason: RefusalReason) -> None:
        record = self.records[request.task]
        retry_after_ms = 0.0
        if reason in (RefusalReason.HELD, RefusalReason.RESERVED):
            retry_after_ms = self.waiting_clients.retry_delay_ms(now, request.task, sender, record.free_at(now))
        refusal = Refusal(
            request.task,
            request.token,
            request.request_id,
            reason,
            max(record.highest_token, FencingToken(self.settings.round_floor, "")),
            retry_after_ms,
            self.config_number,
            self.settings.acceptors if self.stage is not Stage.BEHIND else (),
        )
        self.outbox.append((sender, refusal))

    def _on_release(self, now: float, message: Release) -> None:
        record = self.records.setdefault(message.task, LeaseRecord())
        if not self._may_vote:
            return
        if message.token < record.highest_token or (message.token > record.highest_token and record.is_held(now)):
            return
        if message.token == record.highest_token and record.released:
            return
        # An unknown token is recorded as released too: the request for it may arrive after this message.
        record.highest_token, record.released, record.expires_at = message.token, True, now
        if message.successor:
            record.reserved_for, record.reserved_until = message.successor, now + self.settings.transfer_reservation_ms
        # Without this message, the first waiting client would not retry before the lease would have expired.
        if to := message.successor or self.waiting_clients.first(message.task):
            self.outbox.append((to, Transferred(message.task)))
        self._enqueue_write((self._row(message.task),))

    def _on_write_note(self, sender: str, message: WriteNote) -> None:
        """Store the note of the lease holder.

        The note is ignored if this acceptor does not vote, if the holder uses another acceptor set, if the token is not
        the highest one or was released, or if a later note is stored.  A note under an older token must not replace the
        note that the grant under the newer token has already included.
        """
        record, note = self.records.get(message.task), message.note
        if record is None or not self._may_vote or message.config_number != self.config_number:
            return
        if note.token != record.highest_token or record.released or note < record.note:
            return
        record.note = note
        self._enqueue_write(
            (self._row(message.task),), reply_to=sender, reply=NoteWritten(message.task, note.token, note.sequence)
        )

    def _row(self, task: str) -> LeaseRow:
        record = self.records[task]
        return LeaseRow(task, record.highest_token, record.length_ms, record.released, record.note)

    def _enqueue_write(
        self,
        rows: tuple[LeaseRow, ...],
        state: DurableState | None = None,
        reply_to: str = "",
        reply: Message | None = None,
    ) -> None:
        self._last_write_id += 1
        self.pending_writes.append(Write(self._last_write_id, rows, state, reply_to, reply))

    # Recovery.

    def _enter_stage(self, stage: Stage, sealed_previous: bool) -> None:
        """Enter a stage.  Until it is durable, the acceptor refuses lease requests and ignores all other messages."""
        self.stage, self.sealed_previous, self._stage_durable = stage, sealed_previous, False
        self._enqueue_write(self._all_rows(), DurableState(self.config_number, stage, sealed_previous))

    def _all_rows(self) -> tuple[LeaseRow, ...]:
        return tuple(self._row(task) for task in sorted(self.records))

    def _on_state_request(self, sender: str, request: StateRequest) -> None:
        if not self._stage_durable or sender not in (*self.settings.acceptors, *self.settings.previous_acceptors):
            return
        reply = StateReply(self.config_number, request.nonce, self.stage.value, self.sealed_previous, self._all_rows())
        self.outbox.append((sender, reply))

    def _on_state_reply(self, now: float, sender: str, reply: StateReply) -> None:
        if not self._is_recovering or not self._stage_durable:
            return
        if reply.config_number != self.config_number or reply.nonce != self.recovery.nonce:
            return
        self.recovery.replies[sender] = reply
        next_stage = self._next_stage(now)
        if next_stage is Stage.VOTING:
            self._start_voting(now)
        elif next_stage is not None:
            self._enter_stage(next_stage, False)

    def _next_stage(self, now: float) -> Stage | None:
        """Return the stage that this acceptor may enter now, or None if it stays in its current one."""
        return self.recovery.next_stage(now, self.stage)

    def _start_voting(self, now: float) -> None:
        """Adopt the highest token and the latest note of each task from the replies of the others, then vote."""
        for reply in self.recovery.replies.values():
            for row in reply.rows:
                record = self.records.setdefault(row.task, LeaseRecord())
                record.note = max(record.note, row.note)
                if row.token > record.highest_token:
                    record.highest_token, record.length_ms, record.released = row.token, row.length_ms, row.released
                    # A lease that the others granted is held here too.  Otherwise this acceptor could grant the task
                    # to another client under a larger token and would then refuse the holder's renewals.
                    record.expires_at = now + row.length_ms if not row.released else now
        self._enter_stage(Stage.VOTING, self.sealed_previous)

    # For the model checker.

    def clone(self) -> Acceptor:
        """Return an independent copy."""
        clone = Acceptor.__new__(type(self))
        clone.__dict__.update(self.__dict__)
        clone.records = {task: replace(record) for task, record in self.records.items()}
        clone.outbox, clone.pending_writes = self.outbox.copy(), self.pending_writes.copy()
        clone.waiting_clients, clone.recovery = self.waiting_clients.clone(), self.recovery.clone()
        return clone


def _renewal_refusal(record: LeaseRecord, request: AcquireRequest) -> RefusalReason | None:
    """Return why a request under the highest recorded token must be refused, or None if it renews the lease."""
    if record.released:
        return RefusalReason.RELEASED
    return None if request.length_ms == record.length_ms else RefusalReason.INVALID_LENGTH
