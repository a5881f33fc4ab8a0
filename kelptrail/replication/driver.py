"""Runs the replication of a dispatcher: connects its parts to messages, disk requests and timers.

Decisions are made by `Primary`, `Replica`, `FailoverMonitor` and `replica_placement`, which do no I/O.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

from kelptrail.clock import now_ms
from kelptrail.lease.driver import LeaseDriver
from kelptrail.peers.driver import Peers

from .activation_locator import ActivationLocator
from .context import GatewayHooks, ReplicationContext
from .drain import DrainController
from .failover import FailoverMonitor
from .journal_manager import JournalManager
from .journal_review import JournalReview
from .journal_stores import JournalStores
from .messages import (
    Append,
    AppendAck,
    Claim,
    CloseStream,
    DigestReply,
    DrainNotice,
    FencedReply,
    Lookup,
    LookupReply,
    Message,
    OpenStream,
    ReplicationSettings,
)
from .primary import Primary
from .primary_handle import PrimaryHandle
from .replica import Replica, ReplicaWrite
from .replica_placement import Member, rank_replicas
from .replica_store import ReadRequest, ReplicaStore
from .status import replication_status

CAPABILITY = "copies"  # capability by which peers announce that they support these messages
MESSAGE_TYPES = (
    OpenStream,
    Append,
    DigestReply,
    AppendAck,
    FencedReply,
    CloseStream,
    Claim,
    DrainNotice,
    Lookup,
    LookupReply,
)
TICK_MS = 25.0
STOP_POLL_S = 0.01
CLOSE_TIMEOUT_MS = 500.0  # timeout of closing each store
FULL_MESH_LIMIT = 32  # fleet size above which connections are kept to replicas and candidates only
EXTRA_CONNECTIONS = 2  # candidates beyond the configured number of replicas to which connections are kept


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """A dispatcher's name and its settings for replication.

    `failover_after_ms` is the time without a message from a primary after which its journals are claimed, `lease_ms`
    the length of the leases on journals.
    """

    name: str
    settings: ReplicationSettings
    failover_after_ms: float
    lease_ms: float


class ReplicationDriver:
    """Replication of one process.

    `own` and `others` are the two stores of `JournalStores`; `members` returns the known dispatchers.
    """

    def __init__(
        self,
        options: ReplicationOptions,
        peers: Peers,
        leases: LeaseDriver,
        own: ReplicaStore,
        others: ReplicaStore,
        members: Callable[[], list[Member]],
        log: Any,
    ) -> None:
        self._peers, self._members = peers, members
        self._loop = asyncio.get_running_loop()
        stores = JournalStores(options.name, own, others, self.flush, log)
        self._context = ReplicationContext(
            options.name,
            options.settings,
            options.lease_ms,
            peers,
            leases,
            stores,
            Replica(own.fences() | others.fences(), lambda journal_id: stores.of(journal_id).disk_id),
            FailoverMonitor(options.name, options.failover_after_ms, now_ms()),
            self.flush,
            log,
        )
        self._journals = JournalManager(self._context)
        self._review = JournalReview(self._context, self._journals)
        self._locator = ActivationLocator(self._context, self._journals, members)
        self._drain = DrainController(self._context, self._journals)
        self._flushing = self._stopped = False
        self._reported_batches = 0  # number of committed batches at the last call of `on_progress`
        self._timer: asyncio.TimerHandle | None = None
        self._ranked_members: tuple[Member, ...] = ()
        self._ranking: tuple[str, ...] = ()
        peers.register(CAPABILITY, self._on_message, *MESSAGE_TYPES)

    @property
    def hooks(self) -> GatewayHooks:
        """Callbacks of the gateway, to be set before `start`."""
        return self._context.hooks

    @property
    def address(self) -> str:
        """Address at which this dispatcher serves its activations; empty until its server listens."""
        return self._locator.address

    @address.setter
    def address(self, address: str) -> None:
        """Set the address once the server listens."""
        self._locator.address = address

    # Start and stop.

    def start(self) -> None:
        """Claim the journals of earlier runs or create one, and start the timer."""
        self._journals.start()
        self._tick()

    async def stop(self, within_ms: float) -> bool:
        """Wait at most `within_ms` for commits, release the leases and close the stores.

        Return True if every entry was committed.
        """
        end = now_ms() + within_ms
        while self._journals.has_uncommitted and now_ms() < end:
            await asyncio.sleep(STOP_POLL_S)
        clean = not self._journals.has_uncommitted
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._journals.stop()
        await self._context.stores.close(CLOSE_TIMEOUT_MS)
        return clean

    def drain(self) -> None:
        """Move all journals and replicas to other dispatchers; see `DrainController`."""
        self._drain.start()

    # For the gateway.

    def wall_ms(self) -> float:
        """Return the time of day in ms; see `ReplicationContext.wall_ms`."""
        return self._context.wall_ms()

    def activation_ids(self) -> set[str]:
        """Return the ids of all stored activations; must be called before `start`."""
        return self._context.stores.activation_ids()

    def journal_for_new_requests(self) -> PrimaryHandle | None:
        """Return the journal for new deferred calls; None if there is none, and while draining."""
        return self._journals.current if not self._drain.draining else None

    def find(self, target: str, on_result: Callable[[str | None], None]) -> None:
        """Look up an activation id or an idempotency key; see `ActivationLocator.find`."""
        self._locator.find(target, on_result)

    # Messages.

    def _on_message(self, sender: str, message: Message) -> None:
        now = now_ms()
        self._context.failover.on_message(sender, now)
        if isinstance(message, OpenStream | Append | CloseStream):
            self._on_primary_message(now, sender, message)
        elif isinstance(message, DigestReply | AppendAck | FencedReply):
            if (handle := self._journals.handles.get(message.journal_id)) is not None:
                handle.primary.on_message(now, sender, message)
        elif isinstance(message, DrainNotice):
            for handle in self._journals.handles.values():
                handle.primary.draining.add(sender)
        elif isinstance(message, Claim):
            self._journals.on_claim(message.journal_id)
        elif isinstance(message, Lookup):
            self._locator.on_lookup(sender, message)
        else:
            self._locator.on_reply(sender, message)
        self.flush()

    def _on_primary_message(self, now: float, sender: str, message: OpenStream | Append | CloseStream) -> None:
        self._journals.on_replica_message(message.journal_id)
        self._context.failover.on_append(message.journal_id, now)
        replica = self._context.replica
        replica.on_message(sender, message)
        for write in replica.pending_writes:
            write.wall_ms = write.wall_ms or self._context.wall_ms()

    # Periodic work.

    def _tick(self) -> None:
        if self._stopped:
            return
        self._timer = self._loop.call_later(TICK_MS / 1000, self._tick)
        now, ms_since_received = now_ms(), self._peers.ms_since_received()
        failover, draining = self._context.failover, self._drain.draining
        failover.on_tick(now, TICK_MS)
        for name in ms_since_received:
            failover.on_message(name, now - ms_since_received[name])
        ranking = self._rank(ms_since_received)
        self._review.tick_primaries(now, ms_since_received, ranking)
        self._review.tick_replicas(now, draining)
        self._journals.create_if_due(now)
        if draining:
            self._drain.tick(now)
        self._keep_connections(ranking)
        self._locator.tick(now)
        self.flush()

    def _keep_connections(self, ranking: tuple[str, ...]) -> None:
        """Keep connections to all dispatchers of a small fleet, otherwise to replicas and candidates for replicas."""
        names = {member.name for member in self._members()}
        if len(names) > FULL_MESH_LIMIT:
            candidates = ranking[: self._context.settings.replica_count + EXTRA_CONNECTIONS]
            in_sync = (name for handle in self._journals.handles.values() for name in handle.primary.in_sync)
            names = {*candidates, *in_sync}
        self._context.leases.keep_connected(names, CAPABILITY)

    def _rank(self, connected: Iterable[str]) -> tuple[str, ...]:
        """Return the reachable candidates for replicas, in the order in which this dispatcher prefers them.

        The result is cached until the reachable members change.
        """
        name = self._context.name
        reachable = {*connected, name}
        members = sorted(
            (member for member in self._members() if member.name in reachable), key=lambda member: member.name
        )
        if tuple(members) != self._ranked_members:
            self._ranked_members = tuple(members)
            self._ranking = rank_replicas(members, name, self._context.settings.replica_count)
        return self._ranking

    # Output of the parts that do no I/O.

    def flush(self) -> None:
        """Carry out all queued reads, writes, messages and updates of in-sync sets."""
        if self._flushing or self._stopped:
            return
        self._flushing = True
        try:
            while self._flush_once():
                pass
        finally:
            self._flushing = False
        self._context.stores.pump()
        committed = self._journals.committed_batches
        if committed != self._reported_batches:
            self._reported_batches = committed
            self.hooks.on_progress()

    def _flush_once(self) -> bool:
        """Make one pass over all queues; return True if any was not empty."""
        now = now_ms()
        any_work = self._flush_replica()
        for handle in list(self._journals.handles.values()):
            any_work = self._flush_primary(now, handle) or any_work
        return any_work

    def _flush_replica(self) -> bool:
        replica = self._context.replica
        any_work = bool(replica.pending_writes or replica.outbox)
        while replica.pending_writes:
            write = replica.pending_writes.popleft()
            self._context.stores.submit(write, partial(replica.on_write_done, write))
        while replica.outbox:
            self._peers.send(*replica.outbox.popleft())
        return any_work

    def _flush_primary(self, now: float, handle: PrimaryHandle) -> bool:
        primary = handle.primary
        primary.start_batch(now)
        any_work = bool(primary.local_writes or primary.bucket_reads or primary.outbox or primary.in_sync_updates)
        while primary.local_writes:
            batch = primary.local_writes.popleft()
            write = ReplicaWrite(
                handle.journal_id, tuple(batch.entries), tuple(batch.deleted_ids), wall_ms=self._context.wall_ms()
            )
            self._context.stores.submit(write, partial(primary.on_local_write, batch))
        while primary.bucket_reads:
            replica, stream_id, bucket = primary.bucket_reads.popleft()
            request = ReadRequest(handle.journal_id, bucket, self._context.wall_ms())
            self._context.stores.submit(request, partial(self._on_bucket_read, primary, replica, stream_id, request))
        while primary.outbox:
            self._peers.send(*primary.outbox.popleft())
        while primary.in_sync_updates:
            self._journals.store_in_sync(handle, primary.in_sync_updates.popleft())
        return any_work

    @staticmethod
    def _on_bucket_read(primary: Primary, replica: str, stream_id: int, request: ReadRequest, succeeded: bool) -> None:
        primary.on_bucket_read(now_ms(), replica, stream_id, request.bucket, request.entries if succeeded else None)

    # For operators.

    def status(self) -> dict[str, Any]:
        """Return the state for operators; see `status.replication_status`."""
        return replication_status(now_ms(), self._context, self._journals, self._drain)
