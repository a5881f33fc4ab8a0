"""Lets many connections read in turns, so that no connection and not all of them together delay the others.

In one iteration of the event loop only so much input is read and handled; the rest waits for later iterations, in the
order of `fair_queue`.  What waits stays in the sockets' buffers: all that was read has been handled.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from .fair_queue import FairQueue

MAX_READ_TIME_S = 0.005  # reading and handling input in one iteration of the loop stops after this time
MAX_READS = 32  # buffers that are read in one iteration of the loop; also a bound if the clock stands still
MIN_READ_COST_S = 1e-6  # each read counts as at least this, so that connections take turns if the clock stands still


class ScheduledReader(Protocol):
    """A connection that reads when it is its turn."""

    virtual_finish: float

    def read_once(self) -> bool:
        """Read and handle one buffer of input; return whether there may be more."""

    def on_read_finished(self) -> None:
        """Handle the end of the turns: no more input was waiting at the latest read."""


class ReadScheduler:
    """Decides in which iteration of the event loop each connection reads."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float] = time.perf_counter) -> None:
        self._loop, self._clock = loop, clock
        self._waiting = FairQueue[ScheduledReader]()
        self._is_scheduled = False

    def __len__(self) -> int:
        """Return the number of connections that wait for their turn."""
        return len(self._waiting)

    def add(self, reader: ScheduledReader) -> None:
        """Let a connection with input wait for its turns, until `on_read_finished`."""
        self._waiting.add(reader)
        self._schedule()

    def remove(self, reader: ScheduledReader) -> None:
        """Forget a connection that has closed."""
        self._waiting.remove(reader)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Serve connections until the budget of this iteration of the loop is used up."""
        self._is_scheduled = False
        started = before = self._clock()
        for _ in range(MAX_READS):
            if not len(self._waiting):
                return
            reader = self._waiting.take()
            has_more = reader.read_once()
            after = self._clock()
            self._waiting.charge(reader, max(MIN_READ_COST_S, after - before))
            if has_more:
                self._waiting.add(reader)
            else:
                reader.on_read_finished()
            if after - started >= MAX_READ_TIME_S:
                break
            before = after
        if len(self._waiting):
            self._schedule()
