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

SPEAKS = "lease"
KINDS = (AcquireRequest, Grant, Refusal, Release, Transferred, StateRequest, StateReply, WriteNote, NoteWritten)
TO_VOTERS = (AcquireRequest, Release, StateRequest, StateReply, WriteNote)
LONGEST_MS = 1000.0  # between two looks at what is due: a clock may be set to another rate
OnWon = Callable[[FencingToken], None]
OnLost = Callable[[FencingToken, str], None]
OnKept = Callable[[FencingToken, int], None]


class LeaseDriver:
    """One process's leases, and its vote where it is a voter.  `run`: never the same for two runs of a name."""

    def __init__(self, name: str, run: str, settings: LeaseSettings, peers: Peers, log: Any) -> None:
        self.name, self.settings, self._peers, self._log = name, settings, peers, log
        self._loop = asyncio.get_running_loop()
        self.client = LeaseClient(name, f"{name}/{run}", settings)
        self.acceptor: Acceptor | None = None
        self._journal: JournalDriver | None = None
        self._told: dict[str, tuple[OnWon, OnLost, OnKept | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._carrying = self._stopped = False
        self._voters = settings.voters
        self._reached: dict[str, set[str]] = {}
        self.messages = 0
        self.passes: Callable[[str], None] = lambda step: None  # for crash tests: a step that a voter has come to
        peers.speak(SPEAKS, self._came, *KINDS)

    def vote(self, file: Path, vfs: str | None = None) -> bool:
        """Be a voter, with the ledger in `file`.  False where it cannot be used: then it does not vote."""
        try:
            ledger, memory, rows, reason = open_acceptor_store(file, vfs)
        except JournalError as cause:
            self._log.error("ledger-unusable", file=str(file), reason=str(cause))
            return False
        if reason:
            self._log.error("ledger-set-aside", file=str(file), reason=reason)
        self.acceptor = Acceptor(self.name, self.settings, now_ms(), memory, rows)
        self._log.info("voter", stage=self.acceptor.stage.value, number=self.acceptor.number, tasks=len(rows))
        self._journal = JournalDriver(GroupCommit(), ledger, self.on_message, self._log)
        return True

    def start(self) -> None:
        """Begin."""
        self._need()
        self.on_message()

    def leave(self, prefix: str) -> None:
        """Give back all tasks but those whose names begin so."""
        for task in [task for task in self.client.wishes if not task.startswith(prefix)]:
            self.release(task)

    async def stop(self) -> None:
        """Give back what is held, and end."""
        for task in list(self.client.wishes):
            self.release(task)
        self._stopped, self.acceptor = True, None
        if self._timer is not None:
            self._timer.cancel()
        if self._journal is not None:
            await self._journal.close(500.0)

    # For whoever acts under a lease.

    def want(self, task: str, length_ms: float, won: OnWon, lost: OnLost, kept: OnKept | None = None) -> None:
        """Hold a task from when it can be had until it is released.  Raises `ValueError` for a length beyond what
        voters grant."""
        self._told[task] = won, lost, kept
        self.client.want(now_ms(), task, length_ms)
        self.on_message()

    def release(self, task: str, to: str = "") -> None:
        """Give it back, to whoever is named next if anybody.  What was begun under it must be over."""
        self.client.release(now_ms(), task, to)
        self.on_message()

    def holds(self, task: str) -> FencingToken | None:
        """The token to act under, looked at anew: to be asked right before each act.  None: do not act."""
        return self.client.holds(now_ms(), task)

    def note(self, task: str, text: bytes) -> int | None:
        """Leave a note for whoever holds the task next; see `Asker.note`."""
        number = self.client.note(task, text)
        self.on_message()
        return number

    def noted(self, task: str) -> bytes:
        """What a holder before has left, as voters told it when the task was won; empty where nobody has."""
        wish = self.client.wishes.get(task)
        return wish.noted.text if wish is not None else b""

    def reach(self, names: set[str], whose: str) -> None:
        """Keep links up to these, too: whoever is acted on under a lease.  `whose` wish that is, in place of the one
        before."""
        if self._reached.get(whose) != names:
            self._reached[whose] = names
            self._need()

    # Carrying out.

    def _came(self, sender: str, message: Message) -> None:
        self.messages += 1
        self._hand(sender, message)
        self.on_message()

    def _hand(self, sender: str, message: Message) -> None:
        if not isinstance(message, TO_VOTERS):
            self.client.received(now_ms(), sender, message)
        elif self.acceptor is not None:
            self.acceptor.received(now_ms(), sender, message)

    def on_message(self) -> None:
        """Everything that is due or waits, then the timer."""
        if self._carrying or self._stopped:
            return
        self._carrying = True
        try:
            now, own = now_ms(), deque[Message]()
            self.client.tick(now)
            if self.acceptor is not None:
                self.acceptor.tick(now)
            while self._step(own):
                while own:
                    self._hand(self.name, own.popleft())
        finally:
            self._carrying = False
        if self.client.voters != self._voters:
            self._need()
        self._arm()

    def _step(self, own: deque[Message]) -> bool:
        """Pull from both cores once; whether there was anything."""
        any_, voter, asker = bool(own), self.acceptor, self.client
        for core in (voter, asker):
            while core is not None and core.out:
                any_ = True
                to, message = core.out.popleft()
                if to == self.name:
                    own.append(message)
                else:
                    self._peers.send(to, message)
        while voter is not None and voter.writes and self._journal is not None:
            any_ = True
            write = voter.writes.popleft()
            # A stage is tried again until it is safe; a grant that is not safe is simply not said.
            self._journal.group_commit.write(write, partial(self._written, write), write.memory is not None)
        if self._journal is not None:
            self._journal.start_next_batch()
        while asker.events:
            any_ = True
            self._tell(asker.events.popleft())
        return any_

    def _written(self, write: Write, safe: bool) -> None:
        if self.acceptor is not None:
            if safe and write.reply is not None:
                self.passes("voted")  # on disk, and not said yet
            before = self.acceptor.stage
            self.acceptor.written(write, safe)
            if write.memory is not None:
                self._log.info("voter", stage=before.value, number=self.acceptor.number)

    def _tell(self, event: LeaseAcquired | LeaseLost | NoteStored) -> None:
        won, lost, kept = self._told[event.task]
        if isinstance(event, NoteStored):
            if kept is not None:
                kept(event.token, event.seq)
            return
        if isinstance(event, LeaseAcquired):
            self._log.info("lease-won", task=event.task, token=str(event.token))
            won(event.token)
        else:
            self._log.info("lease-lost", task=event.task, token=str(event.token), reason=event.reason)
            lost(event.token, event.reason)

    def _need(self) -> None:
        self._voters = self.client.voters
        every = {*self._voters, *(self.settings.before if self.acceptor is not None else ())}
        every = every.union(*self._reached.values())
        self._peers.need(every)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        dues = [
            d for d in (self.client.due(), self.acceptor.due() if self.acceptor is not None else None) if d is not None
        ]
        wait = min([LONGEST_MS, *(d - now_ms() for d in dues)])
        self._timer = self._loop.call_later(max(0.0, wait) / 1000 + 0.0005, self.on_message)

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        now, heard, voter = now_ms(), self._peers.heard(), self.acceptor
        return {
            "name": self.name,
            "number": self.client.number,
            "voters": {
                name: None if name != self.name and name not in heard else round(heard.get(name, 0.0))
                for name in self.client.voters
            },
            "holds": {
                task: {"token": str(token), "left_ms": round(self.client.left_ms(now, task))}
                for task in sorted(self.client.wishes)
                if (token := self.client.holds(now, task)) is not None
            },
            "wants": sorted(self.client.wishes),
            "seen": {
                task: {"token": str(token), "left_ms": max(0, round(until - now))}
                for task, (token, until) in sorted(self.client.seen.items())
            },
            "vote": None
            if voter is None
            else {
                "stage": voter.stage.value,
                "number": voter.number,
                "disk": "failing" if self._journal is not None and self._journal.group_commit.failing else "well",
                "tasks": {
                    task: {
                        "token": str(seat.highest),
                        "left_ms": max(0, round(seat.until - now)) if not seat.released and seat.until > now else 0,
                    }
                    for task, seat in sorted(voter.seats.items())
                },
            },
            "messages": self.messages,
        }
