"""Keeps or counts the events of a sliding time window.  Times are milliseconds."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

MAX_BUCKETS = 4096  # bounds the memory of a window, however many events it counts


def drop_until(times: deque[float], until: float) -> deque[float]:
    """Remove the times up to and including `until` from ascending `times`; return the same deque."""
    while times and times[0] <= until:
        times.popleft()
    return times


@dataclass(slots=True, eq=False)
class Bucket:
    """Events that are counted together, all with the time of the first one."""

    at: float
    count: int = 0


class EventWindow:
    """Counts the events of the latest `window_ms`, with memory and work that do not depend on their number.

    Events that follow within `window_ms / MAX_BUCKETS` share a bucket.  As it has the time of the first one,
    an event never counts for longer than it would alone.
    """

    def __init__(self, window_ms: float) -> None:
        self._window_ms, self._bucket_ms = window_ms, window_ms / MAX_BUCKETS
        self._buckets = deque[Bucket]()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of events that were counted and not dropped since."""
        return self._count

    @property
    def buckets(self) -> Sequence[Bucket]:
        """The buckets, oldest first."""
        return self._buckets

    def add(self, now: float) -> Bucket:
        """Count an event, and return its bucket for a later `remove`."""
        self.count_after(now - self._window_ms)
        if not self._buckets or now >= self._buckets[-1].at + self._bucket_ms:
            self._buckets.append(Bucket(now))
        bucket = self._buckets[-1]
        bucket.count += 1
        self._count += 1
        return bucket

    def remove(self, bucket: Bucket) -> None:
        """Take back one event of a bucket; without effect if the bucket has been dropped."""
        if bucket.count:
            bucket.count -= 1
            self._count -= 1

    def count_after(self, until: float) -> int:
        """Drop the buckets up to and including the time `until`; return the number of events left."""
        while self._buckets and self._buckets[0].at <= until:
            dropped = self._buckets.popleft()
            self._count -= dropped.count
            dropped.count = 0
        return self._count
