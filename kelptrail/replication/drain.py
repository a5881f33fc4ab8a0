"""Drains a dispatcher: others become primaries of its journals and replace the replicas that it holds."""

from __future__ import annotations

from kelptrail.clock import now_ms

from .context import ReplicationContext
from .journal_manager import JournalManager
from .messages import DrainNotice
from .primary_handle import PrimaryHandle

DRAIN_TIMEOUT_MS = 30_000.0  # time after which journals are transferred even with calls in flight
DRAIN_NOTICE_INTERVAL_MS = 500.0


class DrainController:
    """Drains the replication of a dispatcher.

    No new deferred call is accepted, and primaries with a replica here are notified to choose another.
    """

    def __init__(self, context: ReplicationContext, journals: JournalManager) -> None:
        self._context, self._journals = context, journals
        self.draining = False
        self._deadline = 0.0
        self._next_notice_at = 0.0

    def start(self) -> None:
        """Start draining; a second call has no effect."""
        if self.draining:
            return
        # The field `replicas` includes the journals of which this dispatcher is the primary.
        self._context.log.warning(
            "replication_draining", journals=len(self._journals.handles), replicas=len(self._context.replica.logs)
        )
        self.draining, self._deadline = True, now_ms() + DRAIN_TIMEOUT_MS
        self._journals.may_create = False

    def tick(self, now: float) -> None:
        """Send notices to primaries, and transfer the journals that have another in-sync replica.

        Only journals that may commit entries are transferred.  Before the deadline, a journal with calls in flight is
        not transferred.
        """
        self._send_notices(now)
        for handle in list(self._journals.handles.values()):
            others = sorted(name for name in handle.primary.in_sync if name != self._context.name)
            if others and handle.primary.ready and self._may_transfer(now, handle):
                self._transfer(handle, others)

    def _send_notices(self, now: float) -> None:
        if now < self._next_notice_at:
            return
        for journal_id, replica_log in self._context.replica.logs.items():
            if journal_id not in self._journals.handles and replica_log.primary:
                self._context.peers.send(replica_log.primary, DrainNotice())
        self._next_notice_at = now + DRAIN_NOTICE_INTERVAL_MS

    def _may_transfer(self, now: float, handle: PrimaryHandle) -> bool:
        return not self._context.hooks.has_in_flight(handle) or now >= self._deadline

    def _transfer(self, handle: PrimaryHandle, others: list[str]) -> None:
        # The first reachable replica, or the first one if none is reachable.
        successor = next((name for name in others if name in self._context.peers.ms_since_received()), others[0])
        self._journals.release(handle, successor)
        if handle.journal_id in self._context.replica.logs:
            # This dispatcher is now a replica of the journal: the next notices go to the successor, which chooses
            # another replica and then closes this one.
            self._context.replica.logs[handle.journal_id].primary = successor
