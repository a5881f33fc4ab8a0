"""Capture of the traffic between processes, as JSON lines; each line is written at once, so that a kill loses none.

Times are in milliseconds of the machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import msgspec

from kelptrail.clock import now_ms

TICK_S = 0.005
STALL_MS = 20  # longest time between two ticks that does not count as a stall of the event loop
STALL_EFFECT_MS = 500  # data that is read within this time after a stall may have arrived during the stall


class ReadLag:
    """Measures how long data may have waited before the event loop of this process read it."""

    def __init__(self) -> None:
        self._last_tick = now_ms()
        self._stall_ms = self._stall_ended = 0.0
        self._task = asyncio.get_running_loop().create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = now_ms()
            if now - self._last_tick > STALL_MS:  # data that is read next may have arrived at any time during the stall
                self._stall_ms, self._stall_ended = now - self._last_tick, now
            self._last_tick = now

    def current_ms(self) -> float:
        """Return the longest time in ms for which data that is read now may have waited."""
        now = now_ms()
        return now - self._last_tick + (self._stall_ms if now - self._stall_ended < STALL_EFFECT_MS else 0.0)

    def stop(self) -> None:
        """Stop measuring."""
        self._task.cancel()


class Capture:
    """Capture file of one process; without a file, nothing is written."""

    def __init__(self, file: Path | None, process_name: str) -> None:
        self._process_name = process_name
        self._fd = -1 if file is None else os.open(file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, record_type: str, **fields: Any) -> None:
        """Write one record with the current time."""
        if self._fd >= 0:
            line = msgspec.json.encode({"t": now_ms(), "who": self._process_name, "what": record_type} | fields)
            os.write(self._fd, line + b"\n")
