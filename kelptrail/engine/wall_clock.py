"""Converts wall-clock times of other processes to the monotonic clock, also after a step of the wall clock.

A Unix time that another process wrote may come from before a step of the clock or from after it.  The offsets of both
are kept; of the resulting times that are not in the future the latest is used, so that the age of a worker is never
overestimated.
"""

from __future__ import annotations

from collections import deque

MAX_REPORT_DELAY_MS = 10_000.0  # a worker is listed within this time of its start while the endpoint list is received
STEP_MS = 500.0  # the offset between the two clocks changes by less than this unless the wall clock is stepped
MAX_OFFSETS = 8


class WallClockReader:
    """Converts Unix times to monotonic times.  All times in milliseconds."""

    def __init__(self, wall_ms: float, now_ms: float) -> None:
        self._offsets = deque([wall_ms - now_ms], maxlen=MAX_OFFSETS)  # the last is the current one

    @property
    def steps(self) -> int:
        """The number of recent steps of the wall clock."""
        return len(self._offsets) - 1

    def observe(self, wall_ms: float, now_ms: float) -> bool:
        """Record readings of both clocks; returns whether the wall clock was stepped since the last call."""
        offset = wall_ms - now_ms
        stepped = abs(offset - self._offsets[-1]) > STEP_MS
        if stepped:
            self._offsets.append(offset)
        else:
            self._offsets[-1] = offset
        return stepped

    def monotonic_ms(self, unix_ms: float, now_ms: float, unknown_at_ms: float = float("-inf")) -> float:
        """The monotonic time of a past event, `now_ms` at the latest.  At `unknown_at_ms` the event was not known yet:
        a result long before that comes from another clock, and `unknown_at_ms` is returned instead.
        """
        candidates = [unix_ms - offset for offset in self._offsets]
        past = [candidate for candidate in candidates if candidate <= now_ms + STEP_MS]
        latest = min(now_ms, max(past, default=now_ms))
        return unknown_at_ms if latest < unknown_at_ms - MAX_REPORT_DELAY_MS else latest
