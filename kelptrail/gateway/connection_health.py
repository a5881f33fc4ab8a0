"""Whether this dispatcher's connections to workers work, judged by how its attempts end; free of I/O.

They do if any attempt of the recent span reached a worker.  A span without a result shows nothing: then the host may
try a connection itself and report the result.
"""

from __future__ import annotations

from kelptrail.dispatch.entities import AttemptStatus

REACHED = frozenset(
    {AttemptStatus.COMPLETED, AttemptStatus.ERROR, AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.NOT_LOADED}
)
NOT_REACHED = frozenset({AttemptStatus.UNREACHABLE, AttemptStatus.CONNECTION_LOST, AttemptStatus.SILENT})


class ConnectionHealth:
    """Whether any worker can be reached; `span_ms` is for how long one result counts."""

    def __init__(self, span_ms: float = 1000.0) -> None:
        self._span_ms = span_ms
        self._reached = self._failed = float("-inf")

    def on_attempt_finished(self, now: float, outcome: AttemptStatus) -> None:
        """An attempt or a load order has ended."""
        if outcome in REACHED:
            self._reached = now
        elif outcome in NOT_REACHED:
            self._failed = now

    def on_connect_result(self, now: float, reached: bool) -> None:
        """The host has opened a connection itself, or failed to."""
        if reached:
            self._reached = now
        else:
            self._failed = now

    def is_healthy(self, now: float) -> bool | None:
        """True, False, or None without a recent result."""
        if now - self._reached <= self._span_ms:
            return True
        return False if now - self._failed <= self._span_ms else None
