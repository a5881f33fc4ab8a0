"""Converts wall-clock times of other processes to the monotonic clock, also after a step of the wall clock.

A Unix time that another process wrote may be from before or after a step of the wall clock.  The offsets from before
and after recent steps are kept.  Of the resulting times that are not in the future the latest one is used, so that the
age of a worker is never overestimated.  If all of them are in the future, the present time is used.
"""

from __future__ import annotations

from collections import deque

# A worker is listed within this time after its start, provided that the endpoint list is received.
MAX_REPORT_DELAY_MS = 10_000.0
STEP_MS = 500.0  # a larger change of the offset between the two clocks is a step of the wall clock
MAX_OFFSETS = 8  # limit of the offsets that are kept: the current one and earlier ones


class WallClockReader:
    """Converts Unix times to monotonic times.  All times are milliseconds."""

    def __init__(self, wall_ms: float, now_ms: float) -> None:
        self._offsets = deque([wall_ms - now_ms], maxlen=MAX_OFFSETS)  # the current offset is the last

    @property
    def steps(self) -> int:
        """The number of steps of the wall clock whose earlier offsets are kept, at most `MAX_OFFSETS - 1`."""
        return len(self._offsets) - 1

    def observe(self, wall_ms: float, now_ms: float) -> bool:
        """Record readings of both clocks; return whether the wall clock was stepped since the last call."""
        offset = wall_ms - now_ms
        stepped = abs(offset - self._offsets[-1]) > STEP_MS
        if stepped:
            self._offsets.append(offset)
        else:
            self._offsets[-1] = offset
        return stepped

    def monotonic_ms(self, unix_ms: float, now_ms: float, unknown_at_ms: float = float("-inf")) -> float:
        """Return the monotonic time of a past event, at most `now_ms`.  The event had not been reported by
        `unknown_at_ms`, so that it cannot be earlier than that by more than the report delay.  If the converted time
        is earlier, the Unix time is from another clock, and `unknown_at_ms` is returned.
        """
        candidates = [unix_ms - offset for offset in self._offsets]
        past = [candidate for candidate in candidates if candidate <= now_ms + STEP_MS]
        latest = min(now_ms, max(past, default=now_ms))
        return unknown_at_ms if latest < unknown_at_ms - MAX_REPORT_DELAY_MS else latest
