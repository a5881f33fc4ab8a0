"""What a gateway counts: in all since its start, and for each function since the last report to a planner."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from kelptrail.dispatch.entities import AttemptStatus


class FunctionCounters(msgspec.Struct, array_like=True):
    """One function at one gateway since its last report; an array on the wire, so the order of fields is fixed."""

    received: int = 0
    completed: int = 0
    rejected: int = 0
    not_loaded: int = 0  # attempts whose worker had no instance
    late: int = 0  # completed after the latency objective
    queue_depth: int = 0  # when it was reported
    work_ms: float = 0.0  # the sum of times from an attempt's start to its answer

    def plus(self, later: FunctionCounters) -> FunctionCounters:
        """Both together; the queue depth is the later one's."""
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
    """What has happened since the start."""

    received: int = 0
    completed: int = 0
    rejected: int = 0
    failed: int = 0
    attempts: int = 0
    load_orders: int = 0
    repeat_attempts: int = 0  # retries and hedges: started while an earlier attempt of the request may have run
    useful_repeats: int = 0  # repeat attempts that brought the final answer; the others were wasted work
    attempt_statuses: dict[AttemptStatus, int] = field(default_factory=dict)
