"""Runs the book in a thread of its own: one batch at a time, acknowledged on the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Protocol

from kelptrail.clock import now_ms

from .activation_journal import JournalError
from .group_commit import Batch, GroupCommit

FORGET_AT_ONCE = 500  # a commit that comes meanwhile waits for so much
FORGET_AT_LAST = 20_000  # so many stale ones are dropped whether or not there is time


class EntryStore(Protocol):
    """What keeps entries; one thread at a time uses it."""

    def commit(self, entries: Iterable[Any], /) -> None:
        """Make entries safe, all or none.  Raises `BookError`."""

    def forget(self, ids: Iterable[str], /) -> None:
        """Drop what is no longer wanted.  Raises `BookError`."""

    def close(self) -> None:
        """Close it."""


class JournalDriver:
    """Makes batches safe as they become ready; `progress` is called after each."""

    def __init__(self, journal: GroupCommit, book: EntryStore, progress: Callable[[], None], log: Any) -> None:
        self.group_commit, self._book, self._progress, self._log = journal, book, progress, log
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, "book")
        self._busy = False
        self._stale: list[str] = []
        self._timer: asyncio.TimerHandle | None = None

    def forget(self, id_: str) -> None:
        """An activation whose record is no longer kept."""
        self._stale.append(id_)
        if len(self._stale) >= FORGET_AT_LAST:
            self.start_next_batch()

    def compact(self) -> bool:
        """Background work: drop some stale ones and give their pages back; whether more remain."""
        if self._stale and not self._busy and not self.group_commit.failing:
            self._drop()
        return len(self._stale) >= FORGET_AT_ONCE

    def _drop(self) -> None:
        stale, self._stale = self._stale[:FORGET_AT_ONCE], self._stale[FORGET_AT_ONCE:]
        self._start(self._forget, stale)

    def start_next_batch(self) -> None:
        """Start the next batch, if there is one and none is out."""
        if self._busy:
            return
        batch = self.group_commit.next_batch(now_ms())
        if batch is not None:
            self._start(self._commit, batch)
        elif len(self._stale) >= FORGET_AT_LAST:
            self._drop()
        elif self.group_commit.failing and self._timer is None:
            self._timer = self._loop.call_later(0.1, self._again)

    def _again(self) -> None:
        self._timer = None
        self.start_next_batch()

    def _start(self, work: Callable[[Any], Callable[[], None]], what: Any) -> None:
        self._busy = True
        self._thread.submit(self._run, work, what)

    def _run(self, work: Callable[[Any], Callable[[], None]], what: Any) -> None:
        done = work(what)
        self._loop.call_soon_threadsafe(self._done, done)

    def _done(self, tell: Callable[[], None]) -> None:
        self._busy = False
        tell()
        self.start_next_batch()
        self._progress()

    def _commit(self, batch: Batch) -> Callable[[], None]:
        entries = batch.entries
        try:
            self._book.commit(entries)
        except JournalError as cause:
            reason = str(cause)
            return lambda: self._failed(batch.number, reason)
        return lambda: self._safe(batch.number)

    def _safe(self, number: int) -> None:
        if self.group_commit.failing:
            self._log.info("journal-well-again")
        self.group_commit.on_batch_durable(number)

    def _failed(self, number: int, reason: str) -> None:
        self._log.error("journal-failed", reason=reason)
        self.group_commit.on_batch_failed(now_ms(), number, reason)

    def _forget(self, stale: list[str]) -> Callable[[], None]:
        try:
            self._book.forget(stale)
        except JournalError as cause:
            reason = str(cause)
            return lambda: self._log.warning("journal-keeps-stale", reason=reason)
        return lambda: None

    async def close(self, within_ms: float) -> bool:
        """Make safe what waits, then close the book; True if nothing was left."""
        end = now_ms() + within_ms
        while (self.group_commit.waiting or self._busy) and now_ms() < end:
            self.start_next_batch()
            await asyncio.sleep(0.005)
        await self._loop.run_in_executor(None, self._thread.shutdown)
        if self._stale:
            self._forget(self._stale)
        self._book.close()
        return not self.group_commit.waiting
