"""Transitions of the lease model: what each step does to a state, and delivery of the cores' output; free of I/O."""

from __future__ import annotations

from dataclasses import replace
from typing import Self

from .acceptor import Acceptor
from .client import LeaseClient
from .events import LeaseAcquired, NoteStored
from .messages import LeaseNote
from .model_state import TASK, InFlight, ModelState

ROUNDING_MS = 1e-6  # added so that a time divided by a clock rate and multiplied again is reached


class ModelTransitions(ModelState):
    """A state whose `_..._step` methods return the next state; `Model` says which of them can follow."""

    __slots__ = ()

    def _spend(self, **what: int) -> Self:
        after = self.clone()
        after.budget = replace(self.budget, **{name: getattr(self.budget, name) - n for name, n in what.items()})
        return after

    def _deliver_step(self, number: int) -> Self:
        after = self.clone()
        item = self.in_flight[number]
        after.in_flight = self.in_flight[:number] + self.in_flight[number + 1 :]
        after._deliver_to_core(item)
        after._collect_output()
        return after

    def _deliver_to_core(self, item: InFlight) -> None:
        if item.message is None:
            if item.token >= self.highest_used or not self.setup.checks_tokens:
                if item.token < self.highest_used:
                    self.violation = f"an action under {item.token} was accepted after {self.highest_used}"
                self.highest_used = max(self.highest_used, item.token)
        elif item.to in self.acceptors:
            self.acceptors[item.to].on_message(self.local_time(item.to), item.sender, item.message)
        elif item.to in self.clients:
            self.clients[item.to].on_message(self.local_time(item.to), item.sender, item.message)

    def _drop_step(self, number: int) -> Self:
        after = self._spend(drops=1)
        after.in_flight = self.in_flight[:number] + self.in_flight[number + 1 :]
        return after

    def _duplicate_step(self, number: int) -> Self:
        after = self._spend(duplicates=1)
        after.in_flight = (*self.in_flight, self.in_flight[number])
        return after

    def _sync_step(self, name: str, succeeds: bool) -> Self:
        after = self.clone() if succeeds else self._spend(sync_failures=1)
        acceptor = after.acceptors[name]
        write = acceptor.pending_writes.popleft()
        if succeeds:
            after.disks[name].sync(write)
        acceptor.on_written(write, succeeds)
        after._collect_output()
        return after

    def _restart_step(self, name: str, empty: bool) -> Self:
        """The process dies with all unsynced writes, and restarts at once; a longer pause equals a loss of messages."""
        after = self._spend(disk_losses=1) if empty else self._spend(restarts=1)
        if empty:
            after.disks[name] = self.setup.disk_type()
        after._start_acceptor(name)
        after._collect_output()
        return after

    def _start_acceptor(self, name: str) -> None:
        disk = self.disks[name]
        self.acceptors[name] = self.setup.acceptor_type(
            name, self.settings_of(name), self.local_time(name), disk.state, tuple(disk.rows.values())
        )

    def _reconfigure_step(self, name: str) -> Self:
        """The process restarts with the next acceptor set in its settings."""
        after = self.clone()
        after.reconfigured = self.reconfigured | {name}
        if name in self.disks:
            after._start_acceptor(name)
            after._collect_output()
            return after
        return after._restart_client(name)

    def _next_event_at(self) -> float | None:
        """When the next timer, grant or lease ends, in true time; None: never."""
        cores: list[tuple[str, Acceptor | LeaseClient]] = [*self.clients.items(), *self.acceptors.items()]
        dues = [
            max(self.now, due / self.setup.clock_rate(name))
            for name, core in cores
            if name not in self.paused and (due := core.next_tick_at()) is not None
        ]
        ends = [
            (name, record.expires_at)
            for name, acceptor in self.acceptors.items()
            for record in acceptor.records.values()
        ]
        ends += [
            (name, request.expires_at) for name, client in self.clients.items() for request in client.requests.values()
        ]
        dues += [
            end / self.setup.clock_rate(name) for name, end in ends if end / self.setup.clock_rate(name) > self.now
        ]
        return min(dues, default=None)

    def _advance_time_step(self, busy: bool) -> Self:
        after = self._spend(delays=1) if busy else self.clone()
        due = self._next_event_at()
        assert due is not None
        after.now = due + ROUNDING_MS
        after._tick_cores()
        return after

    def _tick_cores(self) -> None:
        for name, acceptor in self.acceptors.items():
            acceptor.tick(self.local_time(name))
        for name, client in self.clients.items():
            if name not in self.paused:
                client.tick(self.local_time(name))
        self._collect_output()

    def _pause_step(self, name: str, paused: bool) -> Self:
        after = self._spend(pauses=1) if paused else self.clone()
        after.paused = self.paused | {name} if paused else self.paused - {name}
        if not paused:
            after.clients[name].tick(after.local_time(name))
            after._collect_output()
        return after

    def _restart_client_step(self, name: str) -> Self:
        return self._spend(client_restarts=1)._restart_client(name)

    def _restart_client(self, name: str) -> Self:
        after = self.clone()
        after.client_runs[name] += 1
        after.clients[name] = self.setup.client_type(name, f"{name}/{after.client_runs[name]}", after.settings_of(name))
        after.clients[name].acquire(after.local_time(name), TASK, self.setup.length_ms)
        after.clients[name].tick(after.local_time(name))
        after._collect_output()
        return after

    def _use_token_step(self, name: str) -> Self:
        after = self._spend(actions=1)
        token = self.clients[name].held_token(self.local_time(name), TASK)
        assert token is not None
        after.in_flight = (*self.in_flight, InFlight(name, "thing", None, token))
        return after

    def _release_step(self, name: str) -> Self:
        after = self._spend(releases=1)
        client, now = after.clients[name], after.local_time(name)
        others = [other for other in self.clients if other != name]
        client.release(now, TASK, others[0] if others else "")
        client.acquire(now, TASK, self.setup.length_ms)
        client.requests[TASK].next_step_at = now + self.setup.length_ms
        after._collect_output()
        return after

    def _collect_output(self) -> None:
        """Move the cores' output to the network, and check each acquisition against the earlier ones."""
        left = self.budget
        if not (left.restarts or left.disk_losses or left.sync_failures):
            self._sync_all()  # the time of a sync makes no difference any more
        cores: list[tuple[str, Acceptor | LeaseClient]] = [*self.acceptors.items(), *self.clients.items()]
        for name, core in cores:
            while core.outbox:
                to, message = core.outbox.popleft()
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
            while client.outbox:  # a note
                to, message = client.outbox.popleft()
                self.in_flight += (InFlight(name, to, message),)

    def _check_acquisition(self, name: str, event: LeaseAcquired) -> None:
        if event.token <= self.highest_acquired:
            self.violation = f"{name} acquired it under {event.token} after {self.highest_acquired}"
        if event.inherited_note < self.stored_note:
            self.violation = f"{name} acquired it under {event.token} and did not inherit the note {self.stored_note}"
        self.highest_acquired = max(self.highest_acquired, event.token)

    def _deliver_everything(self) -> None:
        """Deliver all messages and sync all writes, until there are none."""
        while self.in_flight or any(acceptor.pending_writes for acceptor in self.acceptors.values()):
            item, self.in_flight = self.in_flight, ()
            for one in item:
                self._deliver_to_core(one)
            self._sync_all()
            self._collect_output()

    def _sync_all(self) -> None:
        for name, acceptor in self.acceptors.items():
            while acceptor.pending_writes:
                write = acceptor.pending_writes.popleft()
                self.disks[name].sync(write)
                acceptor.on_written(write, True)
