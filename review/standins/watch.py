"""Watches the dispatcher as the platform does: its memory, and whether it hangs.

A hang is seen from outside: the question whether the dispatcher is ready has no answer, and the system's figures of one
of its threads show that it runs all the time and has not once given up the processor to wait for something.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

from .case import Deployment
from .client import READY_QUERY, encode_frame
from .dispatcher import ThreadSample

HANG_S = 20.0  # a thread that neither waits nor ends for so long is a crash
SAMPLE_INTERVAL_S, ASK_INTERVAL_S = 0.05, 0.05
REPORT_INTERVAL_S = 5.0


@dataclass
class Stretch:
    """The time for which a thread has not waited, and what it was at its start."""

    since: float
    sample: ThreadSample


class Watch:
    """Kills the dispatcher over its memory limit; asks again and again whether it is ready; samples its threads."""

    def __init__(self, deployment: Deployment, memory_mb: float) -> None:
        self._deployment, self._memory_limit_mb = deployment, memory_mb
        self._asked_at: float | None = None  # of the question that has no answer yet
        self._stretches: dict[int, Stretch] = {}
        self._reported_at = 0.0
        self.was_killed = False
        self.longest_hang_s = 0.0  # the lesser of the real time and the thread's processor time
        self.longest_question_s = 0.0

    @property
    def has_crashed(self) -> bool:
        """Whether the dispatcher has crashed, as the pages define it."""
        return self.was_killed or self.longest_hang_s > HANG_S or self._deployment.dispatcher.exit_code is not None

    async def run(self, play_s: float) -> None:
        """Watch until the end of the play, or of the dispatcher."""
        end = time.monotonic() + play_s
        asking = asyncio.create_task(self._ask())
        try:
            while time.monotonic() < end and self._deployment.dispatcher.exit_code is None:
                self._limit_memory()
                self._sample()
                await asyncio.sleep(SAMPLE_INTERVAL_S)
        finally:
            asking.cancel()
        if self._asked_at is not None:
            self._note_question(self._asked_at, "no answer by the end of the play")

    def report(self) -> None:
        """Write what was seen."""
        record, code = self._deployment.record, self._deployment.dispatcher.exit_code
        record(f"dispatcher: killed over its memory limit: {self.was_killed}; exit code {code}")
        record(f"dispatcher: longest time without an answer to 'is it ready?': {self.longest_question_s:.2f} s")
        record(f"dispatcher: longest time for which a thread neither waited nor ended: {self.longest_hang_s:.2f} s")

    def _limit_memory(self) -> None:
        used, now = self._deployment.dispatcher.memory_mb(), time.monotonic()
        is_over = used > self._memory_limit_mb
        if is_over or now > self._reported_at + REPORT_INTERVAL_S:
            self._reported_at = now
            self._deployment.record(f"dispatcher uses {used:.1f} MB of {self._memory_limit_mb:.0f}")
        if is_over:
            self._deployment.record("platform: over its memory limit, the dispatcher is killed")
            self.was_killed = True
            self._deployment.dispatcher.kill()

    async def _ask(self) -> None:
        while True:
            asked_at, what = time.monotonic(), "the connection ended"
            self._asked_at = asked_at
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self._deployment.address)
                try:
                    writer.write(encode_frame(READY_QUERY, 1, b"\0"))
                    await reader.readexactly(10)
                    what = "answer"
                finally:
                    writer.close()
            self._asked_at = None
            self._stretches.clear()
            self._note_question(asked_at, what)
            await asyncio.sleep(ASK_INTERVAL_S)

    def _note_question(self, asked_at: float, what: str) -> None:
        took = time.monotonic() - asked_at
        self.longest_question_s = max(self.longest_question_s, took)
        if took > 1.0:
            self._deployment.record(f"dispatcher: 'is it ready?': {what} after {took:.2f} s")

    def _sample(self) -> None:
        """Sample the threads.  A stretch begins after a question; it ends with the answer, or when the thread waits."""
        if self._asked_at is None:
            return
        now = time.monotonic()
        for sample in self._deployment.dispatcher.sample_threads():
            stretch = self._stretches.get(sample.thread)
            if not sample.runs:
                self._stretches.pop(sample.thread, None)
            elif stretch is None or stretch.sample.waits != sample.waits:
                self._stretches[sample.thread] = Stretch(now, sample)
            else:
                took = min(now - stretch.since, sample.processor_s - stretch.sample.processor_s)
                self.longest_hang_s = max(self.longest_hang_s, took)
