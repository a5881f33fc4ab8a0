"""A capture of what passed over the sockets, as JSON lines written at once, so that a kill loses nothing.

Times are milliseconds of the machine's monotonic clock, the same for all processes.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import msgspec

from kelptrail.clock import now_ms

LAG_TICK_S = 0.005
STALL_MS = 20  # a tick that is so late counts as a stall of the loop
STALL_EFFECT_MS = 500  # data that is read so long after a stall may have arrived in it


class ReadLag:
    """How much earlier the data that is read now may have arrived: the delay of the process's own loop."""

    def __init__(self) -> None:
        self._tick = now_ms()
        self._stall = self._stalled = 0.0
        self._task = asyncio.get_running_loop().create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            await asyncio.sleep(LAG_TICK_S)
            now = now_ms()
            if now - self._tick > STALL_MS:  # data read next may have arrived at any time of the stall
                self._stall, self._stalled = now - self._tick, now
            self._tick = now

    def now(self) -> float:
        """The present lag in milliseconds."""
        now = now_ms()
        return now - self._tick + (self._stall if now - self._stalled < STALL_EFFECT_MS else 0.0)

    def stop(self) -> None:
        """Stop measuring."""
        self._task.cancel()


class Capture:
    """The capture of one process; without a file it writes nothing."""

    def __init__(self, file: Path | None, process_name: str) -> None:
        self._process_name = process_name
        self._fd = -1 if file is None else os.open(file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, what: str, **fields: Any) -> None:
        """Write one line, stamped now."""
        if self._fd >= 0:
            line = msgspec.json.encode({"t": now_ms(), "who": self._process_name, "what": what} | fields)
            os.write(self._fd, line + b"\n")
