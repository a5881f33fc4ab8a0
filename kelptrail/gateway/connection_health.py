"""Checks whether this dispatcher can reach workers, according to how attempts and load orders end; free of I/O.

The connections are healthy if a worker answered any recent attempt or load order, and unhealthy if the recent ones all
failed to connect, lost the connection or got no answer.  Without a recent result their health is unknown; the caller
may then try to connect to a worker and report the result.
"""

from __future__ import annotations

from kelptrail.dispatch.entities import AttemptStatus

# Other statuses, such as that of a cancelled attempt, say nothing about the connections.
REACHED = frozenset(
    {AttemptStatus.COMPLETED, AttemptStatus.ERROR, AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.NOT_LOADED}
)
NO_ANSWER = frozenset({AttemptStatus.UNREACHABLE, AttemptStatus.CONNECTION_LOST, AttemptStatus.SILENT})


class ConnectionHealth:
    """Tracks whether any worker can be reached; `span_ms` is how long a result is valid."""

    def __init__(self, span_ms: float = 1000.0) -> None:
        self._span_ms = span_ms
        self._reached_at = self._failed_at = float("-inf")  # times of the last successful and failed result

    def on_attempt_finished(self, now: float, status: AttemptStatus) -> None:
        """Record the result of an attempt or a load order."""
        if status in REACHED:
            self._reached_at = now
        elif status in NO_ANSWER:
            self._failed_at = now

    def on_connect_result(self, now: float, reached: bool) -> None:
        """Record whether the caller could connect to a worker itself."""
        if reached:
            self._reached_at = now
        else:
            self._failed_at = now

    def is_healthy(self, now: float) -> bool | None:
        """Return whether workers can be reached, or None without a recent result."""
        if now - self._reached_at <= self._span_ms:
            return True
        return False if now - self._failed_at <= self._span_ms else None
