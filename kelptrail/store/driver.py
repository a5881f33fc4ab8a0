"""Writes the journal in a separate thread, one batch at a time, and reports the results on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Protocol

from kelptrail.clock import now_ms

from .database import JournalError
from .group_commit import Batch, GroupCommit

MAX_FORGET_BATCH = 500  # most activations deleted in one transaction, as a commit may have to wait for it
FORCED_DELETE_COUNT = 20_000  # from this number of stale activations on, deletion doesn't wait for background work
RETRY_POLL_S = 0.1  # while writes fail, interval of the checks whether a trial batch is due
CLOSE_POLL_S = 0.005  # interval at which `close` checks whether all batches are written


class EntryStore(Protocol):
    """Durable storage of entries; only one thread at a time may use it."""

    def commit(self, entries: Iterable[Any], /) -> None:
        """Make entries durable, all or none.  Raises `JournalError`."""

    def forget(self, ids: Iterable[str], /) -> None:
        """Delete activations.  Raises `JournalError`."""

    def close(self) -> None:
        """Close the storage."""


class JournalDriver:
    """Writes batches one after another once `start_next_batch` is called.

    `on_progress` is called after each batch and each deletion.
    """

    def __init__(self, group_commit: GroupCommit, store: EntryStore, on_progress: Callable[[], None], log: Any) -> None:
        self.group_commit, self._store, self._on_progress, self._log = group_commit, store, on_progress, log
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, "journal")
        self._busy = False
        self._stale: list[str] = []  # ids of activations to delete, because their records were dropped
        self._retry_timer: asyncio.TimerHandle | None = None

    def forget(self, id_: str) -> None:
        """Schedule the deletion of an activation whose record was dropped."""
        self._stale.append(id_)
        if len(self._stale) >= FORCED_DELETE_COUNT:
            self.start_next_batch()

    def compact(self) -> bool:
        """Start to delete a batch of stale activations, unless the thread is busy or writes fail.

        Runs as a background job.  Return whether a full batch remains.
        """
        if self._stale and not self._busy and not self.group_commit.failing:
            self._start_forget()
        return len(self._stale) >= MAX_FORGET_BATCH

    def _start_forget(self) -> None:
        stale, self._stale = self._stale[:MAX_FORGET_BATCH], self._stale[MAX_FORGET_BATCH:]
        self._start(self._forget, stale)

    def start_next_batch(self) -> None:
        """Start the next work if the thread is idle: a batch, else an overdue deletion, else the retry timer."""
        if self._busy:
            return
        batch = self.group_commit.next_batch(now_ms())
        if batch is not None:
            self._start(self._commit, batch)
        elif len(self._stale) >= FORCED_DELETE_COUNT:
            self._start_forget()
        elif self.group_commit.failing and self._retry_timer is None:
            self._retry_timer = self._loop.call_later(RETRY_POLL_S, self._on_retry_timer)

    def _on_retry_timer(self) -> None:
        self._retry_timer = None
        self.start_next_batch()

    def _start(self, work: Callable[[Any], Callable[[], None]], argument: Any) -> None:
        """Run `work` in the thread, and then, on the event loop, the function that it returns."""
        self._busy = True
        self._thread.submit(self._run, work, argument)

    def _run(self, work: Callable[[Any], Callable[[], None]], argument: Any) -> None:
        report = work(argument)
        self._loop.call_soon_threadsafe(self._on_done, report)

    def _on_done(self, report: Callable[[], None]) -> None:
        self._busy = False
        report()
        self.start_next_batch()
        self._on_progress()

    def _commit(self, batch: Batch) -> Callable[[], None]:
        entries = batch.entries
        try:
            self._store.commit(entries)
        except JournalError as cause:
            reason = str(cause)
            return lambda: self._on_failed(batch.number, reason)
        return lambda: self._on_durable(batch.number)

    def _on_durable(self, number: int) -> None:
        if self.group_commit.failing:
            self._log.info("journal-writable")
        self.group_commit.on_batch_durable(number)

    def _on_failed(self, number: int, reason: str) -> None:
        self._log.error("journal-failed", reason=reason)
        self.group_commit.on_batch_failed(now_ms(), number, reason)

    def _forget(self, stale: list[str]) -> Callable[[], None]:
        try:
            self._store.forget(stale)
        except JournalError as cause:
            reason = str(cause)
            return lambda: self._log.warning("journal-cleanup-failed", reason=reason)
        return lambda: None

    async def close(self, within_ms: float) -> bool:
        """Write the waiting entries, delete the stale activations and close; return whether all entries are durable.

        No batch is started after `within_ms`, but a running write is waited for.
        """
        end = now_ms() + within_ms
        while (self.group_commit.waiting or self._busy) and now_ms() < end:
            self.start_next_batch()
            await asyncio.sleep(CLOSE_POLL_S)
        await self._loop.run_in_executor(None, self._thread.shutdown)
        if self._stale:
            self._forget(self._stale)
        self._store.close()
        return not self.group_commit.waiting
