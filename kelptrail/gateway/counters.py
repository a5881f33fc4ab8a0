"""Counters of a gateway: totals since its start, and counters of each function since the last report to a planner."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from kelptrail.dispatch.entities import AttemptStatus


class FunctionCounters(msgspec.Struct, array_like=True):
    """Counters of one function since the gateway's last report.

    The counters are sent as an array, so the order of the fields is fixed.
    """

    received: int = 0  # accepted requests
    completed: int = 0  # completed attempts
    rejected: int = 0  # requests rejected after they were accepted
    not_loaded: int = 0  # attempts whose worker had no instance
    late: int = 0  # attempts completed after the latency objective of their request
    queue_depth: int = 0  # requests in the queue at the time of the report
    work_ms: float = 0.0  # sum of the times from start to answer of completed attempts

    def plus(self, later: FunctionCounters) -> FunctionCounters:
        """Return the sum of both; the queue depth is that of `later`."""
        return FunctionCounters(
            self.received + later.received,
            self.completed + later.completed,
            self.rejected + later.rejected,
            self.not_loaded + later.not_loaded,
            self.late + later.late,
            later.queue_depth,
            self.work_ms + later.work_ms,
        )


@dataclass(slots=True)
class GatewayCounters:
    """Totals since the start of the gateway; requests rejected on arrival are counted by `InFlightLimits`."""

    received: int = 0  # requests accepted, or resumed by recovery
    completed: int = 0
    rejected: int = 0
    failed: int = 0
    attempts: int = 0
    load_orders: int = 0
    repeat_attempts: int = 0  # retries and hedges started although an earlier attempt may have run
    useful_repeats: int = 0  # repeat attempts that returned the final answer; the others were wasted work
    attempt_statuses: dict[AttemptStatus, int] = field(default_factory=dict)
