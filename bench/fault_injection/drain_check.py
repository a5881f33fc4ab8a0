"""Check that processes stop sending work to draining workers within the drain grace period.

This includes processes whose endpoint list was unavailable when the worker started to drain.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from fault_injection.captured_attempts import CapturedAttempt, CapturedOrder
from fault_injection.run_state import TimeInterval
from fault_injection.settings import BUSY_MACHINE_SLACK_S, DRAIN_GRACE_S

# By the protocol, a process whose list is unavailable counts as notified of a drain at the latest this long after the
# start of the outage.
MAX_NOTIFICATION_DELAY_S = 4.0
# Allowed delay of an event: the list may truncate it at first, or the process may change to the list's other address.
EVENT_DELAY_S = 1.0
GRACE_SLACK_S = 0.05  # tolerance of the grace period


class DrainCheck:
    """Checks what was sent to the workers in `drained_at`, allowing for the outages of each process's list."""

    def __init__(self, drained_at: Mapping[int, float], outages: Sequence[Sequence[TimeInterval]]) -> None:
        self._drained_at, self._outages = drained_at, outages

    def problems(self, sent: Iterable[CapturedAttempt | CapturedOrder]) -> list[str]:
        """Return one problem for each worker and process with attempts or load orders that were sent too late."""
        late: dict[tuple[int, int], list[float]] = {}
        for each in sent:
            if not each.is_timed or each.worker not in self._drained_at:
                continue
            if each.first_byte_at > self._latest_allowed(each.process, each.worker):
                late.setdefault((each.worker, each.process), []).append(each.first_byte_at)
        return [
            f"drain: {len(times)} attempts and load orders of process {process} at draining worker {worker}, the last "
            f"{max(times) - self._drained_at[worker]:.2f} s after the drain, allowed until "
            f"{self._latest_allowed(process, worker) - self._drained_at[worker]:.2f} s"
            for (worker, process), times in late.items()
        ]

    def _latest_allowed(self, process: int, worker: int) -> float:
        drained_at = self._drained_at[worker]
        notified_at = drained_at + EVENT_DELAY_S
        for outage in self._outages[process]:
            if outage.start - EVENT_DELAY_S < drained_at < outage.end + MAX_NOTIFICATION_DELAY_S:
                notified_at = max(notified_at, outage.start + MAX_NOTIFICATION_DELAY_S)
        return notified_at + DRAIN_GRACE_S + GRACE_SLACK_S + BUSY_MACHINE_SLACK_S
