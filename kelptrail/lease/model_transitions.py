"""Transitions of the lease model: the effect of each step, and delivery of the output of acceptors and clients.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Self

from .acceptor import Acceptor
from .client import LeaseClient
from .events import LeaseAcquired, NoteStored
from .messages import LeaseNote
from .model_state import TASK, InFlight, ModelState

ROUNDING_MS = 1e-6  # ensures that a due time is reached despite rounding in conversions by the clock rate


class ModelTransitions(ModelState):
    """A state whose `_..._step` methods return the next state.  `Model` determines which of them can follow."""

    __slots__ = ()

    def _spend(self, **amounts: int) -> Self:
        """Return a copy whose fault budget is reduced by these amounts."""
        next_state = self.clone()
        next_state.budget = replace(
            self.budget, **{name: getattr(self.budget, name) - amount for name, amount in amounts.items()}
        )
        return next_state

    def _deliver_step(self, index: int) -> Self:
        next_state = self.clone()
        item = self.in_flight[index]
        next_state.in_flight = self.in_flight[:index] + self.in_flight[index + 1 :]
        next_state._deliver_to_recipient(item)
        next_state._collect_output()
        return next_state

    def _deliver_to_recipient(self, item: InFlight) -> None:
        if item.message is None:  # an action, which is delivered to the resource
            if item.token >= self.highest_accepted or not self.setup.checks_tokens:
                if item.token < self.highest_accepted:
                    self.violation = (
                        f"an action under token {item.token} was accepted after token {self.highest_accepted}"
                    )
                self.highest_accepted = max(self.highest_accepted, item.token)
        elif item.to in self.acceptors:
            self.acceptors[item.to].on_message(self.local_time(item.to), item.sender, item.message)
        elif item.to in self.clients:
            self.clients[item.to].on_message(self.local_time(item.to), item.sender, item.message)

    def _drop_step(self, index: int) -> Self:
        next_state = self._spend(drops=1)
        next_state.in_flight = self.in_flight[:index] + self.in_flight[index + 1 :]
        return next_state

    def _duplicate_step(self, index: int) -> Self:
        next_state = self._spend(duplicates=1)
        next_state.in_flight = (*self.in_flight, self.in_flight[index])
        return next_state

    def _sync_step(self, name: str, succeeds: bool) -> Self:
        next_state = self.clone() if succeeds else self._spend(sync_failures=1)
        acceptor = next_state.acceptors[name]
        write = acceptor.pending_writes.popleft()
        if succeeds:
            next_state.disks[name].sync(write)
        acceptor.on_written(write, succeeds)
        next_state._collect_output()
        return next_state

    def _restart_step(self, name: str, disk_lost: bool) -> Self:
        """Restart an acceptor at once, without its unsynced writes and, if `disk_lost`, without its disk.

        A restart that takes longer is equivalent to a loss of messages, so it needs no step of its own.
        """
        next_state = self._spend(disk_losses=1) if disk_lost else self._spend(restarts=1)
        if disk_lost:
            next_state.disks[name] = self.setup.disk_type()
        next_state._start_acceptor(name)
        next_state._collect_output()
        return next_state

    def _start_acceptor(self, name: str) -> None:
        disk = self.disks[name]
        self.acceptors[name] = self.setup.acceptor_type(
            name, self.settings_of(name), self.local_time(name), disk.state, tuple(disk.rows.values())
        )

    def _reconfigure_step(self, name: str) -> Self:
        """Restart a process with the next acceptor set in its settings."""
        next_state = self.clone()
        next_state.reconfigured = self.reconfigured | {name}
        if name in self.disks:
            next_state._start_acceptor(name)
            next_state._collect_output()
            return next_state
        return next_state._restart_client(name)

    def _next_event_at(self) -> float | None:
        """Return the true time at which a timer fires or a grant or lease ends next, or None if none does."""
        participants: list[tuple[str, Acceptor | LeaseClient]] = [*self.clients.items(), *self.acceptors.items()]
        event_times = [
            max(self.now, due / self.setup.clock_rate(name))
            for name, participant in participants
            if name not in self.paused and (due := participant.next_tick_at()) is not None
        ]
        expiries = [
            (name, record.expires_at)
            for name, acceptor in self.acceptors.items()
            for record in acceptor.records.values()
        ]
        expiries += [
            (name, request.expires_at) for name, client in self.clients.items() for request in client.requests.values()
        ]
        event_times += [
            expires_at / self.setup.clock_rate(name)
            for name, expires_at in expiries
            if expires_at / self.setup.clock_rate(name) > self.now
        ]
        return min(event_times, default=None)

    def _advance_time_step(self, is_busy: bool) -> Self:
        """Advance time to the next event; `is_busy`: messages or writes are in flight, which counts as a delay."""
        next_state = self._spend(delays=1) if is_busy else self.clone()
        next_event_at = self._next_event_at()
        assert next_event_at is not None
        next_state.now = next_event_at + ROUNDING_MS
        next_state._tick_participants()
        return next_state

    def _tick_participants(self) -> None:
        for name, acceptor in self.acceptors.items():
            acceptor.tick(self.local_time(name))
        for name, client in self.clients.items():
            if name not in self.paused:
                client.tick(self.local_time(name))
        self._collect_output()

    def _set_paused_step(self, name: str, paused: bool) -> Self:
        next_state = self._spend(pauses=1) if paused else self.clone()
        next_state.paused = self.paused | {name} if paused else self.paused - {name}
        if not paused:
            next_state.clients[name].tick(next_state.local_time(name))
            next_state._collect_output()
        return next_state

    def _restart_client_step(self, name: str) -> Self:
        return self._spend(client_restarts=1)._restart_client(name)

    def _restart_client(self, name: str) -> Self:
        next_state = self.clone()
        next_state.client_runs[name] += 1
        next_state.clients[name] = self.setup.client_type(
            name, f"{name}/{next_state.client_runs[name]}", next_state.settings_of(name)
        )
        next_state.clients[name].acquire(next_state.local_time(name), TASK, self.setup.length_ms)
        next_state.clients[name].tick(next_state.local_time(name))
        next_state._collect_output()
        return next_state

    def _use_token_step(self, name: str) -> Self:
        next_state = self._spend(actions=1)
        token = self.clients[name].held_token(self.local_time(name), TASK)
        assert token is not None
        next_state.in_flight = (*self.in_flight, InFlight(name, "resource", None, token))
        return next_state

    def _release_step(self, name: str) -> Self:
        """Release the lease, naming another client as the successor if there is one, and request the lease again."""
        next_state = self._spend(releases=1)
        client, now = next_state.clients[name], next_state.local_time(name)
        others = [other for other in self.clients if other != name]
        client.release(now, TASK, others[0] if others else "")
        client.acquire(now, TASK, self.setup.length_ms)
        # The client waits for one lease length before it requests the lease again.
        client.requests[TASK].next_step_at = now + self.setup.length_ms
        next_state._collect_output()
        return next_state

    def _collect_output(self) -> None:
        """Process the output of acceptors and clients.

        Sync writes if their time makes no difference, put messages in flight, handle events, and check each acquisition
        against earlier ones.
        """
        budget = self.budget
        if not (budget.restarts or budget.disk_losses or budget.sync_failures):
            self._sync_all()  # without these faults, the time of a sync makes no difference
        participants: list[tuple[str, Acceptor | LeaseClient]] = [*self.acceptors.items(), *self.clients.items()]
        for name, participant in participants:
            while participant.outbox:
                to, message = participant.outbox.popleft()
                self.in_flight += (InFlight(name, to, message),)
        for name, client in self.clients.items():
            while client.events:
                event = client.events.popleft()
                if isinstance(event, LeaseAcquired):
                    self._check_acquisition(name, event)
                    if self.setup.with_notes:
                        client.write_note(TASK, b"")
                elif isinstance(event, NoteStored):
                    self.stored_note = max(self.stored_note, LeaseNote(event.token, event.sequence))
            while client.outbox:  # contains the note that was written above
                to, message = client.outbox.popleft()
                self.in_flight += (InFlight(name, to, message),)

    def _check_acquisition(self, name: str, event: LeaseAcquired) -> None:
        if event.token <= self.highest_acquired:
            self.violation = f"{name} acquired the lease under token {event.token} after token {self.highest_acquired}"
        if event.inherited_note < self.stored_note:
            self.violation = (
                f"{name} acquired the lease under token {event.token} and did not inherit the note {self.stored_note}"
            )
        self.highest_acquired = max(self.highest_acquired, event.token)

    def _deliver_everything(self) -> None:
        """Deliver all messages and sync all writes until none are left."""
        while self.in_flight or any(acceptor.pending_writes for acceptor in self.acceptors.values()):
            items, self.in_flight = self.in_flight, ()
            for item in items:
                self._deliver_to_recipient(item)
            self._sync_all()
            self._collect_output()

    def _sync_all(self) -> None:
        for name, acceptor in self.acceptors.items():
            while acceptor.pending_writes:
                write = acceptor.pending_writes.popleft()
                self.disks[name].sync(write)
                acceptor.on_written(write, True)
