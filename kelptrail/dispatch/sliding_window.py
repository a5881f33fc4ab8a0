"""Times within a span that ends now."""

from __future__ import annotations

from collections import deque


def drop_until(times: deque[float], before: float) -> deque[float]:
    """Drops the times up to and with `before` from a row in order; returns the rest of the row."""
    while times and times[0] <= before:
        times.popleft()
    return times
