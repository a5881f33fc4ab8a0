"""Runs background jobs on the event loop, one step at a time; the thread's CPU clock measures each step."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from .core import Job, Scheduler, SchedulerSettings


class Background:
    """Background jobs of one process.  `busy` returns whether requests are in flight; `now_ms` is the clock in ms."""

    def __init__(
        self, settings: SchedulerSettings, now_ms: Callable[[], float], busy: Callable[[], bool], log: Any
    ) -> None:
        self._now, self._busy, self._log = now_ms, busy, log
        self.scheduler = Scheduler(settings, now_ms())
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    def add(
        self,
        name: str,
        step: Callable[[], bool | None],
        priority: int,
        interval_ms: float = 0.0,
        max_wait_ms: float = 10_000.0,
        share: float = 0.05,
        first_delay_ms: float | None = None,
    ) -> None:
        """Add a job; see `Job` for the parameters that it has too.

        `first_delay_ms`: time until a periodic job is first due; None: its interval.  A step that returns None ends
        the run, as one that returns False.
        """
        self.scheduler.add(
            self._now(), Job(name, lambda: bool(step()), priority, interval_ms, max_wait_ms, share), first_delay_ms
        )
        self._wake.set()

    def request_run(self, name: str) -> None:
        """Request one run of a job as soon as possible."""
        self.scheduler.request_run(self._now(), name)
        self._wake.set()

    def start(self) -> None:
        """Start the scheduler task."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop the scheduler task; a step that runs is never interrupted."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            job = self.scheduler.next_job(self._now(), self._busy())
            if job is None:
                self._wake.clear()
                try:
                    async with asyncio.timeout(max(0.001, self.scheduler.wait_ms(self._now(), self._busy()) / 1000)):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                continue
            started_at, more, failed = time.thread_time(), False, False
            try:
                more = job.step()
            except Exception as cause:  # noqa: BLE001 - an error in one job must not stop the others
                failed = True
                self._log.error("background-failed", job=job.name, reason=f"{type(cause).__name__}: {cause}")
            self.scheduler.on_step_done(self._now(), job, (time.thread_time() - started_at) * 1000, more, failed)
            await asyncio.sleep(0)  # let requests run first
