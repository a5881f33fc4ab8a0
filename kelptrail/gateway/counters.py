"""What a dispatcher counts of each function, for whoever plans ahead."""

from __future__ import annotations

import msgspec


class FunctionCounters(msgspec.Struct, array_like=True):
    """One function at one edge since its last report.  `work_ms`: the sum of times from a send to its answer."""

    received: int = 0
    completed: int = 0
    rejected: int = 0
    not_loaded: int = 0
    late: int = 0
    queue_depth: int = 0
    work_ms: float = 0.0

    def plus(self, later: FunctionCounters) -> FunctionCounters:
        """Both together; the lag is the later one's."""
        return FunctionCounters(
            self.received + later.received,
            self.completed + later.completed,
            self.rejected + later.rejected,
            self.not_loaded + later.not_loaded,
            self.late + later.late,
            later.queue_depth,
            self.work_ms + later.work_ms,
        )
