"""Keeps the event times of a sliding time window."""

from __future__ import annotations

from collections import deque


def drop_until(times: deque[float], until: float) -> deque[float]:
    """Remove the times up to and including `until` from ascending `times`; return the same deque."""
    while times and times[0] <= until:
        times.popleft()
    return times
