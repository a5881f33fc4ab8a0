"""Delays of this program's own event loop, which the checks add to their tolerances."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

SAMPLE_INTERVAL_S = 0.01
MIN_RECORDED_DELAY_S = 0.02
MARGIN_S = 0.5  # added to a queried interval at both ends


class LoopDelay(NamedTuple):
    """A delay of the event loop and the time at which it began."""

    at: float
    delay_s: float


class LoopDelayMonitor:
    """Measures the delays of the event loop while `watch` runs."""

    def __init__(self) -> None:
        self._delays: list[LoopDelay] = []

    async def watch(self) -> None:
        """Record the delays until it is cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            if (delay_s := time.monotonic() - before - SAMPLE_INTERVAL_S) > MIN_RECORDED_DELAY_S:
                self._delays.append(LoopDelay(before, delay_s))

    def max_delay_s(self, since: float = float("-inf"), until: float = float("inf")) -> float:
        """Return the largest delay that began between two times or within `MARGIN_S` of them; 0 if there was none."""
        delays = (each.delay_s for each in self._delays if since - MARGIN_S <= each.at <= until + MARGIN_S)
        return max(delays, default=0.0)
