"""Periodic review of the journals: runs their streams, replaces lost primaries, and releases or closes journals."""

from __future__ import annotations

from collections.abc import Iterable

from kelptrail.clock import now_ms

from .context import ReplicationContext, dispatcher_of
from .journal_manager import JournalManager
from .messages import LEASE_PREFIX
from .primary_handle import PrimaryHandle
from .recovery import DISK_FAILED
from .replica import ReplicaLog


class JournalReview:
    """Reviews each journal on each tick, and lets the `JournalManager` claim, transfer, release or close it."""

    def __init__(self, context: ReplicationContext, journals: JournalManager) -> None:
        self._context, self._journals = context, journals

    def tick_primaries(self, now: float, reachable: Iterable[str], ranking: tuple[str, ...]) -> None:
        """For each journal in `handles`, run its streams if its lease is held; then review it, see `_review`."""
        for handle in list(self._journals.handles.values()):
            primary = handle.primary
            # Round 0 means that no token was acquired yet.
            if primary.token.round and self._context.lease_token(handle.journal_id) == primary.token:
                for name in reachable:
                    primary.on_reachable(now, name)
                primary.update_streams(now, reachable, ranking)
                primary.tick(now)
            self._review(handle)

    def tick_replicas(self, now: float, draining: bool) -> None:
        """Claim replicated journals whose primary is lost, and follow up the claims; see `_tick_replica`."""
        for journal_id, log in list(self._context.replica.logs.items()):
            if journal_id not in self._journals.handles and log.primary:
                self._tick_replica(now, journal_id, log, draining)

    def _tick_replica(self, now: float, journal_id: str, log: ReplicaLog, draining: bool) -> None:
        """Claim a journal whose primary is lost.  Once it is claimed, record the reported lease holder as its primary.

        The claim is withdrawn if another dispatcher is reported to hold the lease of a journal that this dispatcher
        created, or if the lost primary has returned and no other dispatcher was reported to hold the lease.
        """
        failover = self._context.failover
        if not failover.has_claim(journal_id):
            if not draining and failover.should_claim(now, journal_id, log.primary):
                self._context.log.info("journal_claimed", journal=journal_id, primary=log.primary)
                self._journals.claim(journal_id)
        elif self._other_holds_lease(journal_id):
            # Lookups use name and run of the reported primary, failover uses the name in `log`.
            self._journals.reported_primary[journal_id] = self._context.reported_holder(journal_id)
            log.primary = dispatcher_of(self._journals.reported_primary[journal_id])
            if self._context.is_own(journal_id):  # another dispatcher took it over, so this run creates a new one
                self._journals.abandon(journal_id)
                failover.back_off(now, journal_id)
                self._journals.schedule_create()
        elif failover.primary_returned(now, journal_id, log.primary):
            self._journals.abandon(journal_id)

    def _review(self, handle: PrimaryHandle) -> None:
        """Transfer, release, probe or close a journal as its state requires."""
        context, primary, now = self._context, handle.primary, now_ms()
        if primary.disk_failed:
            self._journals.transfer(handle, DISK_FAILED)
        elif primary.fenced_by is not None or not context.replica.is_latest_token(handle.journal_id, handle.token):
            # A replica rejected a message, or the new primary has written to or closed the local replica.
            if primary.fenced_by is not None and (log := context.replica.logs.get(handle.journal_id)) is not None:
                log.primary = dispatcher_of(primary.fenced_by.client_id)
            self._journals.release(handle)
        elif self._should_probe(now, handle):
            # The reported lease holder may not have written to a replica yet; only the tokens of the replicas show
            # whether it has.
            handle.next_probe_at = now + context.settings.retry_ms
            primary.probe_fencing(dispatcher_of(context.reported_holder(handle.journal_id)))
        elif self._should_close(handle):
            self._journals.close(handle)

    def _should_probe(self, now: float, handle: PrimaryHandle) -> bool:
        return (
            not handle.primary.ready
            and handle.primary.token.round > 0
            and now >= handle.next_probe_at
            and self._other_holds_lease(handle.journal_id)
        )

    def _should_close(self, handle: PrimaryHandle) -> bool:
        """Return whether a journal that accepts no new calls is empty, so that it can be closed."""
        return (
            handle is not self._journals.current
            and handle.recovered
            and handle.primary.ready
            and not handle.primary.batches.uncommitted_entries
            and not any(self._context.stores.digests(handle.journal_id))
        )

    def _other_holds_lease(self, journal_id: str) -> bool:
        """Return whether another dispatcher was last reported to hold the lease.

        If this process is the primary or becomes it, only a holder with a later token counts.  An earlier run of this
        dispatcher does not count as another dispatcher.
        """
        reported = self._context.leases.client.known_holders.get(LEASE_PREFIX + journal_id)
        return (
            reported is not None
            and not reported.token.client_id.startswith(f"{self._context.name}/")
            and ((handle := self._journals.handles.get(journal_id)) is None or reported.token > handle.primary.token)
        )
