"""How late this program itself is: checks of times allow for it."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

INTERVAL_S = 0.01
RECORDED_DELAY_S = 0.02
MARGIN_S = 0.5


class LoopDelay(NamedTuple):
    """A moment at which the event loop was late, and by how much."""

    at: float
    delay_s: float


class LoopDelayMonitor:
    """Measures the delays of the event loop while `watch` runs."""

    def __init__(self) -> None:
        self._delays: list[LoopDelay] = []

    async def watch(self) -> None:
        """Measure until it is cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            if (delay_s := time.monotonic() - before - INTERVAL_S) > RECORDED_DELAY_S:
                self._delays.append(LoopDelay(before, delay_s))

    def max_delay_s(self, since: float = float("-inf"), until: float = float("inf")) -> float:
        """How late the loop was, at the most, between two moments."""
        delays = (each.delay_s for each in self._delays if since - MARGIN_S <= each.at <= until + MARGIN_S)
        return max(delays, default=0.0)
