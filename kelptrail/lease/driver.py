"""Carries out what voter and asker put out: messages on the channel, writes in the ledger, one timer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from kelptrail.clock import now_ms
from kelptrail.peers.driver import Peers
from kelptrail.store.activation_journal import JournalError
from kelptrail.store.driver import JournalDriver
from kelptrail.store.group_commit import GroupCommit

from .acceptor import Acceptor, Write
from .acceptor_store import open_acceptor_store
from .client import LeaseAcquired, LeaseClient, LeaseLost, NoteStored
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

CHANNEL = "lease"
MESSAGE_TYPES = (AcquireRequest, Grant, Refusal, Release, Transferred, StateRequest, StateReply, WriteNote, NoteWritten)
ACCEPTOR_MESSAGES = (AcquireRequest, Release, StateRequest, StateReply, WriteNote)
MAX_TIMER_MS = 1000.0  # between two looks at what is due: a clock may be set to another rate
OnAcquired = Callable[[FencingToken], None]
OnLost = Callable[[FencingToken, str], None]
OnNoteStored = Callable[[FencingToken, int], None]


class LeaseDriver:
    """One process's leases, and its vote where it is a voter.  `run`: never the same for two runs of a name."""

    def __init__(self, name: str, run: str, settings: LeaseSettings, peers: Peers, log: Any) -> None:
        self.name, self.settings, self._peers, self._log = name, settings, peers, log
        self._loop = asyncio.get_running_loop()
        self.client = LeaseClient(name, f"{name}/{run}", settings)
        self.acceptor: Acceptor | None = None
        self._journal: JournalDriver | None = None
        self._callbacks: dict[str, tuple[OnAcquired, OnLost, OnNoteStored | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._running = self._stopped = False
        self._connected_acceptors = settings.acceptors
        self._extra_peers: dict[str, set[str]] = {}
        self.message_count = 0
        self.step_hook: Callable[[str], None] = lambda step: None  # for crash tests: a step that a voter has come to
        peers.register(CHANNEL, self._on_peer_message, *MESSAGE_TYPES)

    def start_acceptor(self, file: Path, vfs: str | None = None) -> bool:
        """Be a voter, with the ledger in `file`.  False where it cannot be used: then it does not vote."""
        try:
            ledger, memory, rows, reason = open_acceptor_store(file, vfs)
        except JournalError as cause:
            self._log.error("ledger-unusable", file=str(file), reason=str(cause))
            return False
        if reason:
            self._log.error("ledger-set-aside", file=str(file), reason=reason)
        self.acceptor = Acceptor(self.name, self.settings, now_ms(), memory, rows)
        self._log.info("voter", stage=self.acceptor.stage.value, number=self.acceptor.config_number, tasks=len(rows))
        self._journal = JournalDriver(GroupCommit(), ledger, self.run_pending, self._log)
        return True

    def start(self) -> None:
        """Begin."""
        self._update_connections()
        self.run_pending()

    def release_except(self, prefix: str) -> None:
        """Give back all tasks but those whose names begin so."""
        for task in [task for task in self.client.requests if not task.startswith(prefix)]:
            self.release(task)

    async def stop(self) -> None:
        """Give back what is held, and end."""
        for task in list(self.client.requests):
            self.release(task)
        self._stopped, self.acceptor = True, None
        if self._timer is not None:
            self._timer.cancel()
        if self._journal is not None:
            await self._journal.close(500.0)

    # For whoever acts under a lease.

    def acquire(
        self, task: str, length_ms: float, won: OnAcquired, lost: OnLost, kept: OnNoteStored | None = None
    ) -> None:
        """Hold a task from when it can be had until it is released.  Raises `ValueError` for a length beyond what
        voters grant."""
        self._callbacks[task] = won, lost, kept
        self.client.acquire(now_ms(), task, length_ms)
        self.run_pending()

    def release(self, task: str, to: str = "") -> None:
        """Give it back, to whoever is named next if anybody.  What was begun under it must be over."""
        self.client.release(now_ms(), task, to)
        self.run_pending()

    def held_token(self, task: str) -> FencingToken | None:
        """The token to act under, looked at anew: to be asked right before each act.  None: do not act."""
        return self.client.held_token(now_ms(), task)

    def write_note(self, task: str, text: bytes) -> int | None:
        """Leave a note for whoever holds the task next; see `Asker.note`."""
        number = self.client.write_note(task, text)
        self.run_pending()
        return number

    def inherited_note(self, task: str) -> bytes:
        """What a holder before has left, as voters told it when the task was won; empty where nobody has."""
        wish = self.client.requests.get(task)
        return wish.inherited_note.text if wish is not None else b""

    def keep_connected(self, names: set[str], whose: str) -> None:
        """Keep links up to these, too: whoever is acted on under a lease.  `whose` wish that is, in place of the one
        before."""
        if self._extra_peers.get(whose) != names:
            self._extra_peers[whose] = names
            self._update_connections()

    # Carrying out.

    def _on_peer_message(self, sender: str, message: Message) -> None:
        self.message_count += 1
        self._dispatch(sender, message)
        self.run_pending()

    def _dispatch(self, sender: str, message: Message) -> None:
        if not isinstance(message, ACCEPTOR_MESSAGES):
            self.client.on_message(now_ms(), sender, message)
        elif self.acceptor is not None:
            self.acceptor.on_message(now_ms(), sender, message)

    def run_pending(self) -> None:
        """Everything that is due or waits, then the timer."""
        if self._running or self._stopped:
            return
        self._running = True
        try:
            now, own = now_ms(), deque[Message]()
            self.client.tick(now)
            if self.acceptor is not None:
                self.acceptor.tick(now)
            while self._drain_cores(own):
                while own:
                    self._dispatch(self.name, own.popleft())
        finally:
            self._running = False
        if self.client.acceptors != self._connected_acceptors:
            self._update_connections()
        self._schedule_timer()

    def _drain_cores(self, own: deque[Message]) -> bool:
        """Pull from both cores once; whether there was anything."""
        any_, voter, asker = bool(own), self.acceptor, self.client
        for core in (voter, asker):
            while core is not None and core.outbox:
                any_ = True
                to, message = core.outbox.popleft()
                if to == self.name:
                    own.append(message)
                else:
                    self._peers.send(to, message)
        while voter is not None and voter.pending_writes and self._journal is not None:
            any_ = True
            write = voter.pending_writes.popleft()
            # A stage is tried again until it is safe; a grant that is not safe is simply not said.
            self._journal.journal.write(write, partial(self._on_written, write), write.state is not None)
        if self._journal is not None:
            self._journal.pump()
        while asker.events:
            any_ = True
            self._notify(asker.events.popleft())
        return any_

    def _on_written(self, write: Write, safe: bool) -> None:
        if self.acceptor is not None:
            if safe and write.reply is not None:
                self.step_hook("voted")  # on disk, and not said yet
            before = self.acceptor.stage
            self.acceptor.on_written(write, safe)
            if write.state is not None:
                self._log.info("voter", stage=before.value, number=self.acceptor.config_number)

    def _notify(self, event: LeaseAcquired | LeaseLost | NoteStored) -> None:
        won, lost, kept = self._callbacks[event.task]
        if isinstance(event, NoteStored):
            if kept is not None:
                kept(event.token, event.sequence)
            return
        if isinstance(event, LeaseAcquired):
            self._log.info("lease-won", task=event.task, token=str(event.token))
            won(event.token)
        else:
            self._log.info("lease-lost", task=event.task, token=str(event.token), reason=event.reason)
            lost(event.token, event.reason)

    def _update_connections(self) -> None:
        self._connected_acceptors = self.client.acceptors
        every = {*self._connected_acceptors, *(self.settings.previous_acceptors if self.acceptor is not None else ())}
        every = every.union(*self._extra_peers.values())
        self._peers.keep_connected(every)

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        dues = [
            d
            for d in (self.client.next_tick_at(), self.acceptor.next_tick_at() if self.acceptor is not None else None)
            if d is not None
        ]
        wait = min([MAX_TIMER_MS, *(d - now_ms() for d in dues)])
        self._timer = self._loop.call_later(max(0.0, wait) / 1000 + 0.0005, self.run_pending)

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        now, heard, voter = now_ms(), self._peers.ms_since_heard(), self.acceptor
        return {
            "name": self.name,
            "number": self.client.config_number,
            "voters": {
                name: None if name != self.name and name not in heard else round(heard.get(name, 0.0))
                for name in self.client.acceptors
            },
            "holds": {
                task: {"token": str(token), "left_ms": round(self.client.remaining_ms(now, task))}
                for task in sorted(self.client.requests)
                if (token := self.client.held_token(now, task)) is not None
            },
            "wants": sorted(self.client.requests),
            "seen": {
                task: {"token": str(token), "left_ms": max(0, round(until - now))}
                for task, (token, until) in sorted(self.client.known_holders.items())
            },
            "vote": None
            if voter is None
            else {
                "stage": voter.stage.value,
                "number": voter.config_number,
                "disk": "failing" if self._journal is not None and self._journal.journal.failing else "well",
                "tasks": {
                    task: {
                        "token": str(seat.highest_token),
                        "left_ms": max(0, round(seat.expires_at - now))
                        if not seat.released and seat.expires_at > now
                        else 0,
                    }
                    for task, seat in sorted(voter.records.items())
                },
            },
            "messages": self.message_count,
        }
