"""Runs the lease client and acceptor of one process: peer messages, durable writes and one timer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from kelptrail.clock import now_ms
from kelptrail.peers.driver import Peers
from kelptrail.store.database import JournalError
from kelptrail.store.driver import JournalDriver
from kelptrail.store.group_commit import GroupCommit

from .acceptor import Acceptor
from .acceptor_state import Write
from .acceptor_store import open_acceptor_store
from .client import LeaseClient
from .events import LeaseAcquired, LeaseEvent, NoteStored
from .messages import (
    AcquireRequest,
    FencingToken,
    Grant,
    LeaseSettings,
    Message,
    NoteWritten,
    Refusal,
    Release,
    StateReply,
    StateRequest,
    Transferred,
    WriteNote,
)

CAPABILITY = "lease"  # capability by which peers announce that they support these messages
MESSAGE_TYPES = (AcquireRequest, Grant, Refusal, Release, Transferred, StateRequest, StateReply, WriteNote, NoteWritten)
# Messages that the acceptor of the receiving process handles; its client handles the others.
ACCEPTOR_MESSAGES = (AcquireRequest, Release, StateRequest, StateReply, WriteNote)
# Maximum delay of the timer: it runs on the event loop's clock, and clock faults may change the rate of `now_ms`.
MAX_TIMER_MS = 1000.0
TIMER_MARGIN_S = 0.0005  # ensures that the due time has been reached when the timer fires
STORE_CLOSE_MS = 500.0  # timeout of closing the store
OnAcquired = Callable[[FencingToken], None]
OnLost = Callable[[FencingToken, str], None]
OnNoteStored = Callable[[FencingToken, int], None]


class LeaseCallbacks(NamedTuple):
    """Callbacks of a lease holder.

    Each receives the lease's token; `on_lost` also the reason, `on_note_stored` the sequence number of the note.
    """

    on_acquired: OnAcquired
    on_lost: OnLost
    on_note_stored: OnNoteStored | None


class LeaseDriver:
    """The lease client of one process, and its acceptor if it runs one.

    A lease belongs to a task: a named job that only the holder of the lease may carry out.
    `run` identifies the run of the process, and is unique among all runs of the same name.
    """

    def __init__(self, name: str, run: str, settings: LeaseSettings, peers: Peers, log: Any) -> None:
        self.name, self.settings, self._peers, self._log = name, settings, peers, log
        self._loop = asyncio.get_running_loop()
        self.client = LeaseClient(name, f"{name}/{run}", settings)
        self.acceptor: Acceptor | None = None
        self._journal: JournalDriver | None = None  # writes to the acceptor's store
        self._callbacks: dict[str, LeaseCallbacks] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._running = self._stopped = False
        self._connected_acceptors = settings.acceptors
        self._extra_peers: dict[str, set[str]] = {}  # peers to keep connected, by owner; see `keep_connected`
        self.message_count = 0
        self.step_hook: Callable[[str], None] = lambda step: None  # called at named steps; crash tests replace it
        peers.register(CAPABILITY, self._on_peer_message, *MESSAGE_TYPES)

    def start_acceptor(self, file: Path, vfs: str | None = None) -> bool:
        """Start an acceptor with its store in `file`.  Return False, without an acceptor, if the store is unusable."""
        try:
            opened = open_acceptor_store(file, vfs)
        except JournalError as cause:
            self._log.error("acceptor-store-unusable", file=str(file), reason=str(cause))
            return False
        if opened.damage:
            self._log.error("acceptor-store-set-aside", file=str(file), reason=opened.damage)
        acceptor = self.acceptor = Acceptor(self.name, self.settings, now_ms(), opened.state, opened.rows)
        # `number` is the version of the acceptor set, here and in `_on_written`.
        self._log.info(
            "acceptor-stage", stage=acceptor.stage.value, number=acceptor.config_number, tasks=len(opened.rows)
        )
        self._journal = JournalDriver(GroupCommit(), opened.store, self.run_pending, self._log)
        return True

    def start(self) -> None:
        """Connect to the acceptors and start the timer."""
        self._update_connections()
        self.run_pending()

    def release_except(self, prefix: str) -> None:
        """Release all leases, and stop acquiring others, except those of tasks whose names begin with `prefix`."""
        for task in [task for task in self.client.requests if not task.startswith(prefix)]:
            self.release(task)

    async def stop(self) -> None:
        """Release all leases, stop the client and the acceptor, and close the store."""
        for task in list(self.client.requests):
            self.release(task)
        self._stopped, self.acceptor = True, None
        if self._timer is not None:
            self._timer.cancel()
        if self._journal is not None:
            await self._journal.close(STORE_CLOSE_MS)

    # For lease holders.

    def acquire(
        self,
        task: str,
        length_ms: float,
        on_acquired: OnAcquired,
        on_lost: OnLost,
        on_note_stored: OnNoteStored | None = None,
    ) -> None:
        """Acquire the lease of a task and renew it until `release`; the callbacks report each change.

        Raises `LeaseLengthError` for a length that acceptors would refuse.
        """
        self._callbacks[task] = LeaseCallbacks(on_acquired, on_lost, on_note_stored)
        self.client.acquire(now_ms(), task, length_ms)
        self.run_pending()

    def release(self, task: str, successor: str = "") -> None:
        """Release the lease of a task, or stop acquiring it.

        `successor` is the name of the client that should acquire it next, or empty.  The caller must have ended all
        work that needs the lease.
        """
        self.client.release(now_ms(), task, successor)
        self.run_pending()

    def held_token(self, task: str) -> FencingToken | None:
        """Return the token of the valid lease, or None if the task is not held.

        Callers must check this immediately before each action that needs the lease.
        """
        return self.client.held_token(now_ms(), task)

    def write_note(self, task: str, text: bytes) -> int | None:
        """Store a note for the next holder; see `LeaseClient.write_note`."""
        sequence = self.client.write_note(task, text)
        self.run_pending()
        return sequence

    def inherited_note(self, task: str) -> bytes:
        """Return the latest note in the grants of the lease, or empty bytes if there is none.

        When the lease is acquired, this is the note of earlier holders.  After a renewal it may be this holder's own.
        """
        request = self.client.requests.get(task)
        return request.inherited_note.text if request is not None else b""

    def keep_connected(self, names: set[str], owner: str) -> None:
        """Keep connections to the peers `names`, in addition to the acceptors.

        `owner` identifies the part of the program that needs them; `names` replaces this owner's previous names.
        """
        if self._extra_peers.get(owner) != names:
            self._extra_peers[owner] = names
            self._update_connections()

    # Running the client and the acceptor.

    def _on_peer_message(self, sender: str, message: Message) -> None:
        self.message_count += 1
        self._deliver(sender, message)
        self.run_pending()

    def _deliver(self, sender: str, message: Message) -> None:
        if not isinstance(message, ACCEPTOR_MESSAGES):
            self.client.on_message(now_ms(), sender, message)
        elif self.acceptor is not None:
            self.acceptor.on_message(now_ms(), sender, message)

    def run_pending(self) -> None:
        """Run the due steps of the client and the acceptor, process output until none is queued, and set the timer.

        Do nothing during another call, which processes the output itself, or after `stop`.
        """
        if self._running or self._stopped:
            return
        self._running = True
        try:
            now, local_messages = now_ms(), deque[Message]()
            self.client.tick(now)
            if self.acceptor is not None:
                self.acceptor.tick(now)
            while self._process_output(local_messages):
                while local_messages:
                    self._deliver(self.name, local_messages.popleft())
        finally:
            self._running = False
        if self.client.acceptors != self._connected_acceptors:
            self._update_connections()
        self._schedule_timer()

    def _process_output(self, local_messages: deque[Message]) -> bool:
        """Process the queued output of the client and the acceptor, and return whether there was any.

        Messages to this process are appended to `local_messages`.
        """
        had_output, acceptor, client = bool(local_messages), self.acceptor, self.client
        for participant in (acceptor, client):
            while participant is not None and participant.outbox:
                had_output = True
                to, message = participant.outbox.popleft()
                if to == self.name:
                    local_messages.append(message)
                else:
                    self._peers.send(to, message)
        while acceptor is not None and acceptor.pending_writes and self._journal is not None:
            had_output = True
            write = acceptor.pending_writes.popleft()
            # A write with `state`, which changes the stage, is retried until it succeeds.  Any other write may fail;
            # then its reply, a grant or the acknowledgement of a note, is not sent.
            self._journal.group_commit.write(write, partial(self._on_written, write), write.state is not None)
        if self._journal is not None:
            self._journal.start_next_batch()
        while client.events:
            had_output = True
            self._notify(client.events.popleft())
        return had_output

    def _on_written(self, write: Write, durable: bool) -> None:
        if self.acceptor is not None:
            if durable and write.reply is not None:
                self.step_hook("voted")  # the grant or note is durable, but the reply has not been sent yet
            stage = self.acceptor.stage
            self.acceptor.on_written(write, durable)
            if write.state is not None:
                self._log.info("acceptor-stage", stage=stage.value, number=self.acceptor.config_number)

    def _notify(self, event: LeaseEvent) -> None:
        callbacks = self._callbacks[event.task]
        if isinstance(event, NoteStored):
            if callbacks.on_note_stored is not None:
                callbacks.on_note_stored(event.token, event.sequence)
            return
        if isinstance(event, LeaseAcquired):
            self._log.info("lease-acquired", task=event.task, token=str(event.token))
            callbacks.on_acquired(event.token)
        else:
            self._log.info("lease-lost", task=event.task, token=str(event.token), reason=event.reason.value)
            callbacks.on_lost(event.token, event.reason.value)

    def _update_connections(self) -> None:
        self._connected_acceptors = self.client.acceptors
        names = {*self._connected_acceptors, *(self.settings.previous_acceptors if self.acceptor is not None else ())}
        names = names.union(*self._extra_peers.values())
        self._peers.keep_connected(names)

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        acceptor_due = self.acceptor.next_tick_at() if self.acceptor is not None else None
        due_times = [due for due in (self.client.next_tick_at(), acceptor_due) if due is not None]
        wait_ms = min([MAX_TIMER_MS, *(due - now_ms() for due in due_times)])
        self._timer = self._loop.call_later(max(0.0, wait_ms) / 1000 + TIMER_MARGIN_S, self.run_pending)

    def status(self) -> dict[str, Any]:
        """Return the state of the leases and the acceptor for operators, with the keys of `kelptrail leases --json`."""
        now, silence_ms, client = now_ms(), self._peers.ms_since_received(), self.client
        return {
            "name": self.name,
            "number": client.config_number,  # version of the acceptor set
            # Acceptors, with the time in ms since data was last received from each: None if it is not connected, 0 for
            # this process itself.
            "voters": {
                name: None if name != self.name and name not in silence_ms else round(silence_ms.get(name, 0.0))
                for name in client.acceptors
            },
            "holds": {
                task: {"token": str(token), "left_ms": round(client.remaining_ms(now, task))}
                for task in sorted(client.requests)
                if (token := client.held_token(now, task)) is not None
            },
            "wants": sorted(client.requests),  # tasks whose leases this process holds or acquires
            # Last holder of each task that an acceptor named in a refusal, with the estimated rest of its lease.
            "seen": {
                task: {"token": str(holder.token), "left_ms": max(0, round(holder.expires_at - now))}
                for task, holder in sorted(client.known_holders.items())
            },
            # State of the acceptor of this process.
            "vote": None if self.acceptor is None else self._acceptor_status(now, self.acceptor),
            "messages": self.message_count,  # messages received from peers
        }

    def _acceptor_status(self, now: float, acceptor: Acceptor) -> dict[str, Any]:
        is_disk_failing = self._journal is not None and self._journal.group_commit.failing
        return {
            "stage": acceptor.stage.value,
            "number": acceptor.config_number,  # version of the acceptor set
            "disk": "failing" if is_disk_failing else "well",
            # Highest token that was granted or released here, and the rest of its lease; 0 if it is not held.
            "tasks": {
                task: {
                    "token": str(record.highest_token),
                    "left_ms": max(0, round(record.expires_at - now)) if record.is_held(now) else 0,
                }
                for task, record in sorted(acceptor.records.items())
            },
        }
