"""Schedules the steps of a graceful shutdown, counted from the termination signal.  Times are milliseconds.

Source: the platform's protocol page, Figures.  Requests keep arriving for 0.6 s.  SIGKILL arrives no sooner
than 0.7 s after the longest deadline, and a deadline longer than 3 s counts as 3 s.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time for which requests arrive from clients that were not notified of the shutdown: 0.6 s and a margin.
ARRIVALS_MS = 700.0
# Time after the listener closes in which connections from the accept queue are served; later requests are
# refused.
REFUSE_AFTER_MS = 200.0
MAX_DEADLINE_WAIT_MS = 3_000.0  # maximum time to wait for a deadline
MARGIN_MS = 250.0  # time for clients to read the last responses and for the process to exit by itself


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """Times of the steps of one graceful shutdown."""

    listener_closes_at: float  # from then on the process may exit once nothing is in flight
    refuse_from: float  # requests that arrive later are refused
    finish_by: float  # every request still in flight gets its final answer by then


NOT_PLANNED = ShutdownPlan(float("inf"), float("inf"), float("inf"))


def plan_shutdown(now: float, longest_ms: float, arrivals_ms: float = ARRIVALS_MS) -> ShutdownPlan:
    """Return the times of the steps of a shutdown requested at `now`.  `longest_ms` is the longest timeout
    of a request.
    """
    listener_closes_at = now + arrivals_ms
    finish_by = listener_closes_at + min(longest_ms, MAX_DEADLINE_WAIT_MS) - MARGIN_MS
    return ShutdownPlan(
        listener_closes_at, listener_closes_at + REFUSE_AFTER_MS, max(listener_closes_at, finish_by)
    )
