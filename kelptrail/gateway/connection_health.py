"""What a dispatcher sees of its links to workers, from how its sends end; free of I/O.

In a span in which something ended, the links are well if any end shows that a worker was reached.  A span without an
end tells nothing: then the host may look for itself, and tells what it found.
"""

from __future__ import annotations

from kelptrail.dispatch.entities import AttemptStatus

REACHED = frozenset(
    {AttemptStatus.COMPLETED, AttemptStatus.ERROR, AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.NOT_LOADED}
)
NOT_REACHED = frozenset({AttemptStatus.UNREACHABLE, AttemptStatus.CONNECTION_LOST, AttemptStatus.SILENT})


class ConnectionHealth:
    """Whether any worker can be reached; `span_ms` is how long an end speaks for."""

    def __init__(self, span_ms: float = 1000.0) -> None:
        self._span_ms = span_ms
        self._reached = self._failed = float("-inf")

    def on_attempt_finished(self, now: float, outcome: AttemptStatus) -> None:
        """A send or an order has ended."""
        if outcome in REACHED:
            self._reached = now
        elif outcome in NOT_REACHED:
            self._failed = now

    def on_connect_result(self, now: float, reached: bool) -> None:
        """The host looked for itself."""
        if reached:
            self._reached = now
        else:
            self._failed = now

    def is_healthy(self, now: float) -> bool | None:
        """True, False, or None where nothing recent tells."""
        if now - self._reached <= self._span_ms:
            return True
        return False if now - self._failed <= self._span_ms else None
