"""The journals of which this process is, or becomes, the primary: leases, failover, recovery, transfer and closing.

Decisions are made elsewhere: `JournalReview` and `FailoverMonitor` decide which journals to claim, release or close,
`Primary` and `Replica` decide which entries are committed.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from functools import partial

import msgspec

from kelptrail.clock import now_ms
from kelptrail.lease.messages import FencingToken

from .context import ReplicationContext
from .messages import LEASE_PREFIX, Claim, InSyncSet, decode_in_sync, encode_in_sync
from .primary import Primary
from .primary_handle import PrimaryHandle
from .recovery import DISK_FAILED, JournalRecovery

MIN_CREATE_BACKOFF_MS, MAX_CREATE_BACKOFF_MS = 100.0, 10_000.0  # pause before a new journal replaces a lost one
JOURNAL_ID_BYTES = 6  # length of the random part of a journal id
NEVER = float("inf")


class CreationSchedule:
    """Schedules a new journal in place of a lost one after a pause that doubles each time.  Times are milliseconds.

    The pause prevents a disk on which every journal fails from causing a rapid series of new journals.
    """

    def __init__(self) -> None:
        self._due_at, self._backoff_ms = NEVER, MIN_CREATE_BACKOFF_MS

    def schedule(self, now: float) -> None:
        """Schedule the creation of a journal, unless one is scheduled already."""
        if self._due_at == NEVER:
            self._due_at = now + self._backoff_ms
            self._backoff_ms = min(MAX_CREATE_BACKOFF_MS, 2 * self._backoff_ms)

    def take_due(self, now: float) -> bool:
        """Return whether a creation is due; if so, remove it from the schedule."""
        if now < self._due_at:
            return False
        self._due_at = NEVER
        return True

    def reset_backoff(self) -> None:
        """Reset the next pause to the shortest one, because a journal works."""
        self._backoff_ms = MIN_CREATE_BACKOFF_MS


class JournalManager:
    """The journals of one process.

    `handles` contains the journals of which this process is or becomes the primary, by id; `current` is the one for new
    calls.  `released` contains the ids of journals that were given up, until a primary sends a message about them
    or this process acquires their lease again.  `reported_primary` contains, by journal, name and run of the reported
    lease holder until a primary sends a message about the journal.
    """

    def __init__(self, context: ReplicationContext) -> None:
        self._context = context
        self.handles: dict[str, PrimaryHandle] = {}
        self.current: PrimaryHandle | None = None
        self.released: set[str] = set()
        self.reported_primary: dict[str, str] = {}
        self.may_create = True
        self.activations_recovered = 0
        self.activations_released = 0
        self._recovery = JournalRecovery(context, self._is_active, self._on_recovered, self.transfer)
        self._creation = CreationSchedule()

    # Start and stop.

    def start(self) -> None:
        """Claim the journals of earlier runs, or create one."""
        logs = self._context.replica.logs
        own = [journal_id for journal_id, log in logs.items() if self._context.is_own(journal_id) and log.primary]
        for journal_id in own:
            self.claim(journal_id)
        if not own:
            self._create()

    def stop(self) -> None:
        """Cancel recoveries and release all leases."""
        self._recovery.stop()
        for journal_id in list(self._context.failover.claims):
            self._context.leases.release(LEASE_PREFIX + journal_id)

    @property
    def has_uncommitted(self) -> bool:
        """Whether any journal has an entry that is not committed."""
        return any(handle.primary.batches.uncommitted_entries for handle in self.handles.values())

    @property
    def committed_batches(self) -> int:
        """Number of committed batches of the journals in `handles`."""
        return sum(handle.primary.batches.committed_batches for handle in self.handles.values())

    # Claims.

    def on_claim(self, journal_id: str) -> None:
        """Claim a journal that another dispatcher released in favour of this one."""
        if journal_id in self._context.replica.logs and not self._context.failover.has_claim(journal_id):
            self._context.failover.clear_backoff(journal_id)
            self.claim(journal_id)

    def on_replica_message(self, journal_id: str) -> None:
        """Forget the reported primary and the release of a journal, because a primary has sent a message about it.

        Lookups then find the primary by the token of the replica here.
        """
        self.reported_primary.pop(journal_id, None)
        self.released.discard(journal_id)

    def _create(self) -> None:
        """Create a journal of this run and claim it."""
        journal_id = f"{self._context.name}.{os.urandom(JOURNAL_ID_BYTES).hex()}"
        self._context.log.info("journal_created", journal=journal_id)
        self.claim(journal_id)

    def claim(self, journal_id: str) -> None:
        """Request the journal's lease, until `abandon` is called."""
        self._context.failover.add_claim(journal_id)
        self._context.leases.acquire(
            LEASE_PREFIX + journal_id,
            self._context.lease_ms,
            partial(self._on_lease_acquired, journal_id),
            partial(self._on_lease_lost, journal_id),
            partial(self._on_note_stored, journal_id),
        )

    def abandon(self, journal_id: str, successor: str = "") -> None:
        """Withdraw a claim and release the lease, in favour of a successor if there is one."""
        self._context.failover.remove_claim(journal_id)
        self._context.leases.release(LEASE_PREFIX + journal_id, successor)

    def schedule_create(self) -> None:
        """Schedule a new journal in place of a lost one; see `CreationSchedule`."""
        self._creation.schedule(now_ms())

    def create_if_due(self, now: float) -> None:
        """Create the scheduled journal once it is due, unless a journal is current or an own journal is claimed."""
        if not self.may_create or not self._creation.take_due(now):
            return
        if self.current is None and not any(
            self._context.is_own(journal_id) for journal_id in self._context.failover.claims
        ):
            self._create()

    # Leases and recovery, in the order of the steps.

    def _on_lease_acquired(self, journal_id: str, token: FencingToken) -> None:
        """Store the fence if the local disk is in sync; otherwise release the lease."""
        context = self._context
        try:
            in_sync = decode_in_sync(context.leases.inherited_note(LEASE_PREFIX + journal_id))
        except msgspec.MsgspecError as cause:
            context.log.error("journal_note_unreadable", journal=journal_id, reason=str(cause))
            self._reject_incomplete(journal_id, InSyncSet("", {}))
            return
        if not _is_complete_here(context, journal_id, in_sync):
            self._reject_incomplete(journal_id, in_sync)
            return
        handle = self.handles.get(journal_id)
        can_continue = handle is not None and _can_continue(context, handle, in_sync)
        write = context.replica.become_primary(journal_id, token, context.name)
        if write is None:
            self._reject_incomplete(journal_id, in_sync)
            return
        if handle is not None and not can_continue:
            self._discard(handle)
        if not can_continue or handle is None:
            handle = self.handles[journal_id] = _new_handle(context, journal_id)
        handle.token = token
        self.released.discard(journal_id)
        lost_primaries = {in_sync.primary} - {context.name}
        remaining = {name: disk_id for name, disk_id in in_sync.disk_ids.items() if name not in lost_primaries}
        write.wall_ms = context.wall_ms()
        context.stores.submit(write, partial(self._on_fence_stored, handle, token, remaining, in_sync.primary))
        context.flush()

    def _reject_incomplete(self, journal_id: str, in_sync: InSyncSet) -> None:
        """Release a lease that this dispatcher cannot use, in favour of a reachable in-sync replica if there is one."""
        context = self._context
        reachable = context.peers.ms_since_received()
        successor = next((name for name in sorted(in_sync.disk_ids) if name in reachable), "")
        context.log.warning(
            "journal_replica_incomplete", journal=journal_id, in_sync=sorted(in_sync.disk_ids), successor=successor
        )
        if (handle := self.handles.get(journal_id)) is not None:
            self._discard(handle)
        self.abandon(journal_id, successor)
        if successor:
            context.peers.send(successor, Claim(journal_id))
        context.failover.back_off(now_ms(), journal_id)
        if in_sync.primary and not in_sync.disk_ids:  # the journal was closed
            self._close_replica(journal_id)
        self.schedule_create()

    def _on_fence_stored(
        self,
        handle: PrimaryHandle,
        token: FencingToken,
        in_sync: Mapping[str, str],
        previous_primary: str,
        succeeded: bool,
    ) -> None:
        """Become the primary once the fence is on disk, and replicate the disk's contents to the in-sync set.

        Nothing is done if the lease was lost meanwhile.  If the write failed, the journal is transferred.
        """
        if not self._is_active(handle) or self._context.lease_token(handle.journal_id) != token:
            return
        if not succeeded:
            self.transfer(handle, DISK_FAILED)
            return
        handle.primary.on_lease_acquired(now_ms(), token, in_sync)
        if previous_primary not in ("", self._context.name):
            handle.primary.add_stale_replica(previous_primary)
        handle.primary.append((), partial(self._on_all_committed, handle, token, previous_primary))
        self._context.flush()

    def _on_all_committed(
        self, handle: PrimaryHandle, token: FencingToken, previous_primary: str, _fully_replicated: bool
    ) -> None:
        """Resume or recover the journal: everything on the local disk is committed and may be acted on."""
        if handle.recovered:
            self._context.log.info("journal_resumed", journal=handle.journal_id, token=str(token))
            self._context.hooks.on_resumed(handle)
        else:
            self._recovery.start(handle, token, previous_primary)

    def _on_recovered(self, handle: PrimaryHandle, count: int) -> None:
        """Finish a recovery: the gateway has all activations.  An own journal becomes current if none is."""
        self._context.failover.clear_backoff(handle.journal_id)
        self.activations_recovered += count
        if self._context.is_own(handle.journal_id) and not self._has_current():
            self.current = handle
            self._creation.reset_backoff()

    def _is_active(self, handle: PrimaryHandle) -> bool:
        return self.handles.get(handle.journal_id) is handle

    def _has_current(self) -> bool:
        return self.current is not None and self.current.journal_id in self.handles

    def _on_lease_lost(self, journal_id: str, token: FencingToken, reason: str) -> None:
        if (handle := self.handles.get(journal_id)) is not None:
            handle.primary.ready = False

    def _on_note_stored(self, journal_id: str, token: FencingToken, number: int) -> None:
        handle = self.handles.get(journal_id)
        if handle is not None and handle.primary.token == token and handle.note_number == number:
            handle.primary.on_in_sync_stored(now_ms())
            self._context.flush()

    def store_in_sync(self, handle: PrimaryHandle, in_sync: dict[str, str]) -> None:
        """Submit a new in-sync set as the lease's note; `_on_note_stored` is called once it is stored."""
        note = encode_in_sync(InSyncSet(self._context.name, in_sync))
        handle.note_number = self._context.leases.write_note(LEASE_PREFIX + handle.journal_id, note) or 0

    # Release.

    def transfer(self, handle: PrimaryHandle, reason: str) -> None:
        """Release a journal whose local disk has failed, in favour of a reachable in-sync replica if there is one."""
        name, reachable = self._context.name, self._context.peers.ms_since_received()
        others = [other for other in sorted(handle.primary.in_sync) if other != name and other in reachable]
        successor = others[0] if others else ""
        self._context.log.error("journal_transferred", journal=handle.journal_id, reason=reason, successor=successor)
        self.release(handle, successor)

    def release(self, handle: PrimaryHandle, successor: str = "") -> None:
        """Stop being the primary and release the lease; the successor, if any, is notified to claim it."""
        self._discard(handle)
        self.abandon(handle.journal_id, successor)
        if successor:
            self._context.peers.send(successor, Claim(handle.journal_id))
        self._context.failover.back_off(now_ms(), handle.journal_id)
        self.schedule_create()

    def _discard(self, handle: PrimaryHandle) -> None:
        """Stop acting on a journal; the gateway gives up its calls."""
        self.handles.pop(handle.journal_id, None)
        self.released.add(handle.journal_id)
        if self.current is handle:
            self.current = None
        calls = self._context.hooks.on_released(handle)
        self.activations_released += calls
        self._context.log.warning(
            "journal_released", journal=handle.journal_id, token=str(handle.primary.token), calls=calls
        )

    def _close_replica(self, journal_id: str) -> None:
        logs = self._context.replica.logs
        if journal_id in logs:
            self._context.replica.close(journal_id, logs[journal_id].token)

    def close(self, handle: PrimaryHandle) -> None:
        """Close an empty journal, in two steps.

        The first call starts to notify the replicas; the first call after all of them are notified releases the lease.
        """
        if not handle.primary.closing:
            handle.primary.close()
            return
        if handle.primary.is_closed:
            self._context.log.info("journal_closed", journal=handle.journal_id)
            self.handles.pop(handle.journal_id)
            self.abandon(handle.journal_id)
            self._close_replica(handle.journal_id)


def _is_complete_here(context: ReplicationContext, journal_id: str, in_sync: InSyncSet) -> bool:
    """Return whether the local disk has every committed entry of a journal whose lease note is `in_sync`."""
    store = context.stores.of(journal_id)
    is_new = not in_sync.primary and journal_id not in store.digests
    return is_new or in_sync.disk_ids.get(context.name) == store.disk_id


def _can_continue(context: ReplicationContext, handle: PrimaryHandle, in_sync: InSyncSet) -> bool:
    """Return whether this process was the last primary and no other primary has written since."""
    return (
        handle.primary.token.round > 0
        and in_sync.primary == context.name
        and context.replica.is_latest_token(handle.journal_id, handle.primary.token)
    )


def _new_handle(context: ReplicationContext, journal_id: str) -> PrimaryHandle:
    disk_id = context.stores.of(journal_id).disk_id
    digests = partial(context.stores.digests, journal_id)
    return PrimaryHandle(context.lease_token, Primary(journal_id, context.name, disk_id, context.settings, digests))
