"""The journals of which this process is, or becomes, the primary: leases, failover, recovery, transfer and closing.

Decisions are made elsewhere: `FailoverMonitor` says which journals to claim, `Primary` and `Replica` which entries are
committed.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from functools import partial

import msgspec

from kelptrail.clock import now_ms
from kelptrail.lease.messages import FencingToken

from .context import ReplicationContext
from .messages import LEASE_PREFIX, Claim, InSyncSet, decode_in_sync, encode_in_sync
from .primary import Primary
from .primary_handle import PrimaryHandle
from .recovery import DISK_FAILED, JournalRecovery
from .replica import ReplicaLog

MIN_CREATE_BACKOFF_MS, MAX_CREATE_BACKOFF_MS = 100.0, 10_000.0  # before a new journal replaces a lost one
NEVER = float("inf")


class JournalManager:
    """`handles`: journals by id; `current`: the one for new calls; `released`: those given up, until another writes.

    `reported_primary`: name and run of the reported lease holder of a journal whose stream does not come here.
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
        self._recovery = JournalRecovery(context, self._is_present, self._on_recovered, self._transfer)
        self._create_at, self._create_backoff_ms = NEVER, MIN_CREATE_BACKOFF_MS

    # Start and stop.

    def start(self) -> None:
        """Claim the journals of earlier runs, or create one."""
        logs = self._context.replica.logs
        own = [journal_id for journal_id, log in logs.items() if self._context.is_own(journal_id) and log.primary]
        for journal_id in own:
            self._claim(journal_id)
        if not own:
            self._create()

    def stop(self) -> None:
        """Cancel recoveries and release all leases."""
        self._recovery.stop()
        for journal_id in list(self._context.failover.claims):
            self._context.leases.release(LEASE_PREFIX + journal_id)

    @property
    def has_uncommitted(self) -> bool:
        """Whether any entry of any journal is not committed."""
        return any(handle.primary.batches.uncommitted_entries for handle in self.handles.values())

    @property
    def committed_batches(self) -> int:
        """Committed batches of the present journals."""
        return sum(handle.primary.batches.committed_batches for handle in self.handles.values())

    # Claims.

    def on_claim(self, journal_id: str) -> None:
        """Another dispatcher released the journal in favour of this one."""
        if journal_id in self._context.replica.logs and not self._context.failover.has_claim(journal_id):
            self._context.failover.clear_backoff(journal_id)
            self._claim(journal_id)

    def on_replica_message(self, journal_id: str) -> None:
        """A primary has written to a journal replicated here, so lookups can rely on its token."""
        self.reported_primary.pop(journal_id, None)
        self.released.discard(journal_id)

    def _create(self) -> None:
        """Create a journal of this run and claim it."""
        journal_id = f"{self._context.name}.{os.urandom(6).hex()}"
        self._context.log.info("journal_created", journal=journal_id)
        self._claim(journal_id)

    def _claim(self, journal_id: str) -> None:
        self._context.failover.add_claim(journal_id)
        self._context.leases.acquire(
            LEASE_PREFIX + journal_id,
            self._context.lease_ms,
            partial(self._on_lease_acquired, journal_id),
            partial(self._on_lease_lost, journal_id),
            partial(self._on_note_stored, journal_id),
        )

    def _abandon(self, journal_id: str, successor: str = "") -> None:
        """Withdraw a claim and release the lease, in favour of a successor if there is one."""
        self._context.failover.remove_claim(journal_id)
        self._context.leases.release(LEASE_PREFIX + journal_id, successor)

    def _schedule_create(self) -> None:
        """Create a journal in place of a lost one after a growing pause.

        Prevents a disk on which every journal fails from causing a rapid series of new ones.
        """
        if self._create_at == NEVER:
            self._create_at = now_ms() + self._create_backoff_ms
            self._create_backoff_ms = min(MAX_CREATE_BACKOFF_MS, 2 * self._create_backoff_ms)

    def create_if_due(self, now: float) -> None:
        """Create a journal if one is scheduled and none is present or claimed."""
        if now < self._create_at or not self.may_create:
            return
        self._create_at = NEVER
        if self.current is None and not any(self._context.is_own(each) for each in self._context.failover.claims):
            self._create()

    # Leases and recovery, in the order of the steps.

    def _on_lease_acquired(self, journal_id: str, token: FencingToken) -> None:
        """Check that the local disk is in sync, then store the fence."""
        context = self._context
        try:
            in_sync = decode_in_sync(context.leases.inherited_note(LEASE_PREFIX + journal_id))
        except msgspec.MsgspecError as cause:
            context.log.error("journal_note_unreadable", journal=journal_id, reason=str(cause))
            self._reject_incomplete(journal_id, InSyncSet("", {}))
            return
        if not self._is_complete_here(journal_id, in_sync):
            self._reject_incomplete(journal_id, in_sync)
            return
        handle = self.handles.get(journal_id)
        can_continue = handle is not None and self._can_continue(handle, in_sync)
        write = context.replica.become_primary(journal_id, token, context.name)
        if write is None:
            self._reject_incomplete(journal_id, in_sync)
            return
        if handle is not None and not can_continue:
            self._discard(handle)
        if not can_continue or handle is None:
            handle = self.handles[journal_id] = self._new_handle(journal_id)
        handle.token = token
        self.released.discard(journal_id)
        lost = {in_sync.primary} - {context.name}
        remaining = {name: disk_id for name, disk_id in in_sync.disk_ids.items() if name not in lost}
        write.wall_ms = context.wall_ms()
        context.stores.submit(write, partial(self._on_fence_stored, handle, token, remaining, in_sync.primary))
        context.flush()

    def _is_complete_here(self, journal_id: str, in_sync: InSyncSet) -> bool:
        store = self._context.stores.of(journal_id)
        is_new = not in_sync.primary and journal_id not in store.digests
        return is_new or in_sync.disk_ids.get(self._context.name) == store.disk_id

    def _can_continue(self, handle: PrimaryHandle, in_sync: InSyncSet) -> bool:
        """Whether this process was the last primary and no other one has written since."""
        return (
            handle.primary.token.round > 0
            and in_sync.primary == self._context.name
            and self._context.replica.is_latest_token(handle.journal_id, handle.primary.token)
        )

    def _new_handle(self, journal_id: str) -> PrimaryHandle:
        context = self._context
        disk_id = context.stores.of(journal_id).disk_id
        digests = partial(context.stores.digests, journal_id)
        return PrimaryHandle(context, Primary(journal_id, context.name, disk_id, context.settings, digests))

    def _reject_incomplete(self, journal_id: str, in_sync: InSyncSet) -> None:
        """Release a lease that this dispatcher cannot use, in favour of a reachable in-sync replica if there is one."""
        context = self._context
        reachable = context.peers.ms_since_heard()
        successor = next((name for name in sorted(in_sync.disk_ids) if name in reachable), "")
        context.log.warning(
            "journal_replica_incomplete", journal=journal_id, in_sync=sorted(in_sync.disk_ids), successor=successor
        )
        if (handle := self.handles.get(journal_id)) is not None:
            self._discard(handle)
        self._abandon(journal_id, successor)
        if successor:
            context.peers.send(successor, Claim(journal_id))
        context.failover.back_off(now_ms(), journal_id)
        if in_sync.primary and not in_sync.disk_ids:  # the journal was closed
            self._close_replica(journal_id)
        self._schedule_create()

    def _on_fence_stored(
        self,
        handle: PrimaryHandle,
        token: FencingToken,
        in_sync: Mapping[str, str],
        previous_primary: str,
        succeeded: bool,
    ) -> None:
        """The fence is on disk: become the primary, and have the disk's contents stored by all in-sync replicas."""
        if not self._is_present(handle) or self._context.lease_token(handle.journal_id) != token:
            return
        if not succeeded:
            self._transfer(handle, DISK_FAILED)
            return
        handle.primary.on_lease_acquired(now_ms(), token, in_sync)
        if previous_primary not in ("", self._context.name):
            handle.primary.add_stale_replica(previous_primary)
        handle.primary.append((), partial(self._on_all_committed, handle, token, previous_primary))
        self._context.flush()

    def _on_all_committed(
        self, handle: PrimaryHandle, token: FencingToken, previous_primary: str, _fully_replicated: bool
    ) -> None:
        """Everything on the local disk is committed and may be acted on."""
        if handle.recovered:
            self._context.log.info("journal_resumed", journal=handle.journal_id, token=str(token))
            self._context.hooks.on_resumed(handle)
        else:
            self._recovery.start(handle, token, previous_primary)

    def _on_recovered(self, handle: PrimaryHandle, count: int) -> None:
        """The gateway has all activations; the first own journal becomes the current one."""
        self._context.failover.clear_backoff(handle.journal_id)
        self.activations_recovered += count
        if self._context.is_own(handle.journal_id) and not self._has_current():
            self.current, self._create_backoff_ms = handle, MIN_CREATE_BACKOFF_MS

    def _is_present(self, handle: PrimaryHandle) -> bool:
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
        """Submit a new in-sync set to the lease; `_on_note_stored` is called once it is stored."""
        note = encode_in_sync(InSyncSet(self._context.name, in_sync))
        handle.note_number = self._context.leases.write_note(LEASE_PREFIX + handle.journal_id, note) or 0

    # Release.

    def _transfer(self, handle: PrimaryHandle, reason: str) -> None:
        """Release a journal that this disk cannot serve, in favour of a reachable in-sync replica."""
        name, reachable = self._context.name, self._context.peers.ms_since_heard()
        others = [each for each in sorted(handle.primary.in_sync) if each != name and each in reachable]
        successor = others[0] if others else ""
        self._context.log.error("journal_transferred", journal=handle.journal_id, reason=reason, successor=successor)
        self.release(handle, successor)

    def release(self, handle: PrimaryHandle, successor: str = "") -> None:
        """Stop being the primary and release the lease; the successor is asked to claim it."""
        self._discard(handle)
        self._abandon(handle.journal_id, successor)
        if successor:
            self._context.peers.send(successor, Claim(handle.journal_id))
        self._context.failover.back_off(now_ms(), handle.journal_id)
        self._schedule_create()

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

    def _close(self, handle: PrimaryHandle) -> None:
        """Close an empty journal in two steps: notify all replicas, then release the lease."""
        if not handle.primary.closing:
            handle.primary.close()
            return
        if handle.primary.is_closed:
            self._context.log.info("journal_closed", journal=handle.journal_id)
            self.handles.pop(handle.journal_id)
            self._abandon(handle.journal_id)
            self._close_replica(handle.journal_id)

    # Periodic work.

    def tick_primaries(self, now: float, reachable: Iterable[str], ranking: tuple[str, ...]) -> None:
        """Drive the streams of journals whose lease is held; then check whether each journal can be kept."""
        for handle in list(self.handles.values()):
            primary = handle.primary
            if primary.token.round and self._context.lease_token(handle.journal_id) == primary.token:
                for name in reachable:
                    primary.on_heard(now, name)
                primary.update_streams(now, reachable, ranking)
                primary.tick(now)
            self._review(handle)

    def tick_replicas(self, now: float, draining: bool) -> None:
        """Claim replicated journals whose primary is lost; withdraw claims that are no longer needed."""
        for journal_id, log in list(self._context.replica.logs.items()):
            if journal_id not in self.handles and log.primary:
                self._tick_replica(now, journal_id, log, draining)

    def _tick_replica(self, now: float, journal_id: str, log: ReplicaLog, draining: bool) -> None:
        failover = self._context.failover
        if not failover.has_claim(journal_id):
            if not draining and failover.should_claim(now, journal_id, log.primary):
                self._context.log.info("journal_claimed", journal=journal_id, primary=log.primary)
                self._claim(journal_id)
        elif self._other_holds_lease(journal_id):
            self.reported_primary[journal_id] = self._context.reported_holder(journal_id)
            log.primary = _name_of(self.reported_primary[journal_id])
            if self._context.is_own(journal_id):  # another dispatcher has it: this run creates its own
                self._abandon(journal_id)
                failover.back_off(now, journal_id)
                self._schedule_create()
        elif failover.primary_returned(now, journal_id, log.primary):
            self._abandon(journal_id)

    def _review(self, handle: PrimaryHandle) -> None:
        """Transfer, release, probe or close a journal as its state requires."""
        context, primary, now = self._context, handle.primary, now_ms()
        if primary.disk_failed:
            self._transfer(handle, DISK_FAILED)
        elif primary.fenced_by is not None or not context.replica.is_latest_token(handle.journal_id, handle.token):
            # A replica rejected a message, or the new primary has written to or closed the local replica.
            if primary.fenced_by is not None and (log := context.replica.logs.get(handle.journal_id)) is not None:
                log.primary = _name_of(primary.fenced_by.client_id)
            self.release(handle)
        elif self._should_probe(now, handle):
            # The reported lease holder may not have acted yet; only the replicas' tokens tell.
            handle.next_probe_at = now + context.settings.retry_ms
            primary.probe_fencing(_name_of(context.reported_holder(handle.journal_id)))
        elif self._should_close(handle):
            self._close(handle)

    def _should_probe(self, now: float, handle: PrimaryHandle) -> bool:
        return (
            not handle.primary.ready
            and handle.primary.token.round > 0
            and now >= handle.next_probe_at
            and self._other_holds_lease(handle.journal_id)
        )

    def _should_close(self, handle: PrimaryHandle) -> bool:
        """Whether a journal that takes no new calls is empty."""
        return (
            handle is not self.current
            and handle.recovered
            and handle.primary.ready
            and not handle.primary.batches.uncommitted_entries
            and not any(self._context.stores.digests(handle.journal_id))
        )

    def _other_holds_lease(self, journal_id: str) -> bool:
        """Whether another dispatcher was last reported to hold the lease."""
        seen = self._context.leases.client.known_holders.get(LEASE_PREFIX + journal_id)
        return (
            seen is not None
            and not seen[0].client_id.startswith(f"{self._context.name}/")
            and ((handle := self.handles.get(journal_id)) is None or seen[0] > handle.primary.token)
        )


def _name_of(who: str) -> str:
    """The dispatcher of a token's `who`, which is name and run."""
    return who.partition("/")[0]
