"""Wall-clock times of others as times of the monotonic clock, also where a wall clock is stepped.

A Unix time that another process wrote may be of the clock before a step or after it.  Both readings are kept; of those
that do not lie in the future the latest is taken, as the one who asks must not believe in an age that is too high.
"""

from __future__ import annotations

from collections import deque

LATE_TOLD_MS = 10_000.0  # a worker is told of within this time of its start, as long as the list is heard
STEP_MS = 500.0  # the offset of the two clocks moves by less than this unless the wall clock is stepped
MOST_OFFSETS = 8


class WallClockReader:
    """Turns Unix times into monotonic ones.  All times in milliseconds."""

    def __init__(self, wall_ms: float, now_ms: float) -> None:
        self._offsets = deque([wall_ms - now_ms], maxlen=MOST_OFFSETS)  # the last is that of now

    @property
    def steps(self) -> int:
        """Steps of the wall clock that are remembered."""
        return len(self._offsets) - 1

    def observe(self, wall_ms: float, now_ms: float) -> bool:
        """Reads both clocks; says whether the wall clock was stepped since the last time."""
        offset = wall_ms - now_ms
        stepped = abs(offset - self._offsets[-1]) > STEP_MS
        if stepped:
            self._offsets.append(offset)
        else:
            self._offsets[-1] = offset
        return stepped

    def monotonic_ms(self, unix_ms: float, now_ms: float, unknown_at_ms: float = float("-inf")) -> float:
        """When a past moment was, by the monotonic clock: `now_ms` at the latest.  At `unknown_at_ms` nobody knew of
        it; a reading long before that is of another clock, and gives way to that moment."""
        readings = [unix_ms - offset for offset in self._offsets]
        past = [reading for reading in readings if reading <= now_ms + STEP_MS]
        latest = min(now_ms, max(past, default=now_ms))
        return unknown_at_ms if latest < unknown_at_ms - LATE_TOLD_MS else latest
