"""Carries out what owners and holder put out: messages on the channel, works on the disk, leases and their notes.

Nothing is chosen here: whom a book goes to is `place`'s, which books to want is `Watch`'s.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any

import msgspec

from kelptrail.clock import now_ms, wall_ms
from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import NO_TOKEN, FencingToken
from kelptrail.peers.driver import Peers
from kelptrail.store.activation_journal import KINDS, ActivationEntries
from kelptrail.store.driver import JournalDriver
from kelptrail.store.entries import Accepted, Ended, Entry, pack
from kelptrail.store.group_commit import GroupCommit

from .failover import FailoverMonitor
from .lookup import HERE, NO, PENDING, LookupService
from .messages import (
    LEASE_PREFIX,
    Append,
    AppendAck,
    Claim,
    CloseStream,
    DigestReply,
    DrainNotice,
    FencedReply,
    InSyncSet,
    Lookup,
    LookupReply,
    Message,
    OpenStream,
    ReplicaEntry,
    ReplicationSettings,
    decode_in_sync,
    encode_in_sync,
)
from .primary import Primary
from .replica import Replica, ReplicaWrite
from .replica_placement import Member, rank_replicas
from .replica_store import ReadRequest, ReplicaStore

CHANNEL_FEATURE = "copies"
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
RECOVERY_BATCH = 200  # lives that are taken up in one go: a large book must not stop the loop
LOOKUP_TIMEOUT_MS = 300.0
KEY_TARGET_PREFIX = "key:"
RESULT_TOO_LARGE = b'{"error":"The result was too large to be held by others, and was lost with its dispatcher."}'
MIN_CREATE_BACKOFF_MS, MAX_CREATE_BACKOFF_MS = 100.0, 10_000.0  # before a new book
DRAIN_TIMEOUT_MS, DRAIN_NOTICE_INTERVAL_MS = 30_000.0, 500.0
FULL_MESH_LIMIT = 32  # dispatchers that all keep links to each other


class PrimaryHandle:
    """A book that this process owns, as the gateway writes to it."""

    def __init__(self, copies: ReplicationDriver, primary: Primary) -> None:
        self._driver, self.primary, self.journal_id = copies, primary, primary.journal_id
        self.recovered = False  # what was in it has been taken up
        self.note_number = 0  # number of the last one
        self.token = NO_TOKEN  # under which it was won last
        self.next_probe_at = 0.0  # when members may be asked whether another owns it

    def takes(self) -> bool:
        """Whether a new call can be promised."""
        return self.recovered and self.primary.accepts_requests() and self.acting(now_ms())

    def acting(self, now: float) -> bool:
        """Whether what is in it may be acted on at this instant: the lease is looked at."""
        return (
            self.primary.ready
            and not self.primary.fenced_by
            and self._driver.leases.held_token(LEASE_PREFIX + self.journal_id) == self.primary.token
        )

    def write(self, entry: Entry, waiter: Callable[[bool], None] | None = None, keep: bool = False) -> None:
        """Write an entry; `keep` is what an owner does anyway."""
        data, _ = pack(entry)
        if isinstance(entry, Ended) and len(data) > self.primary.settings.max_entry_bytes:
            data, _ = pack(msgspec.structs.replace(entry, result=RESULT_TOO_LARGE))
        accepted = isinstance(entry, Accepted)
        age = max(0.0, wall_ms() - entry.start) if isinstance(entry, Accepted) else 0.0
        from_core = waiter if accepted or waiter is None else (lambda _full: waiter(True))
        self.primary.append([ReplicaEntry(entry.id, KINDS[type(entry)], age, data)], from_core)

    def forget(self, id_: str) -> None:
        """An activation whose record is no longer kept."""
        self.primary.append((), None, (id_,))


class ReplicationDriver:
    """One process's books: those it owns, and those it holds for others.  `own`: where the books of its own runs are,
    `others`: all others; one and the same where copies are on disk.  `members`: dispatchers that are known."""

    def __init__(
        self,
        name: str,
        settings: ReplicationSettings,
        failover_after_ms: float,
        lease_ms: float,
        peers: Peers,
        leases: LeaseDriver,
        own: ReplicaStore,
        others: ReplicaStore,
        members: Callable[[], list[Member]],
        log: Any,
    ) -> None:
        self.name, self.settings, self._failover_after_ms, self._lease_ms = name, settings, failover_after_ms, lease_ms
        self.leases, self._peers, self._members, self._log = leases, peers, members, log
        self._loop = asyncio.get_running_loop()
        self._own_store, self._other_store = own, others
        self._disks = {
            id(store): JournalDriver(GroupCommit(1_000_000), store, self.flush, log) for store in (own, others)
        }
        self.replica = Replica(own.fences() | others.fences(), lambda journal_id: self._store_of(journal_id).disk_id)
        self.journals: dict[str, PrimaryHandle] = {}
        self.current_journal: PrimaryHandle | None = None  # the book that new calls go to
        self.failover = FailoverMonitor(name, failover_after_ms, now_ms())
        self._flushing = self._stopped = False
        self._reported_batches = 0  # batches that were safe when that was last said
        self._timer: asyncio.TimerHandle | None = None
        self._ranking_cache: tuple[tuple[Member, ...], tuple[str, ...]] = ((), ())
        self._released_journals: set[str] = set()  # books that were let go, until another owner writes here
        self._reported_primary: dict[str, str] = {}  # who is said to own a book whose stream does not come here
        self._lookups = LookupService(leases.client.client_id, LOOKUP_TIMEOUT_MS)
        self._recovery_tasks: set[asyncio.Task[None]] = set()
        self._create_at, self._create_backoff_ms = float("inf"), MIN_CREATE_BACKOFF_MS
        self._wall_offset_ms = wall_ms() - now_ms()
        self.address = ""  # where this dispatcher can be asked
        self.draining, self._drain_deadline, self._next_drain_notice_at = False, 0.0, 0.0
        self.activations_recovered = self.activations_released = 0
        # Set by who joins this to a gateway.
        self.on_recovered: Callable[[PrimaryHandle, list[ActivationEntries]], None] = lambda handle, activations: None
        self.on_resumed: Callable[[PrimaryHandle], None] = lambda handle: None
        self.on_released: Callable[[PrimaryHandle], int] = lambda handle: 0
        self.has_activation: Callable[[str], bool] = lambda id_: False
        self.is_issued_by: Callable[[str, str], bool] = lambda name, id_: False  # whether that dispatcher gave that id
        self.has_in_flight: Callable[[PrimaryHandle], bool] = lambda handle: (
            False
        )  # whether calls of a book are in hand
        self.on_progress: Callable[[], None] = lambda: None  # something may have become safe
        peers.register(CHANNEL_FEATURE, self._on_message, *MESSAGE_TYPES)

    # Begin and end.

    def start(self) -> None:
        """Take up the own book of a run before, or begin one."""
        own = [journal_id for journal_id, log in self.replica.logs.items() if self._is_own(journal_id) and log.primary]
        for book in own:
            self._claim(book)
        if not own:
            self._create_journal()
        self._tick()

    async def stop(self, within_ms: float) -> bool:
        """Have what waits made safe, give the leases back and close; True if nothing was left."""
        end = now_ms() + within_ms
        while any(handle.primary.uncommitted_count for handle in self.journals.values()) and now_ms() < end:
            await asyncio.sleep(0.01)
        clean = not any(handle.primary.uncommitted_count for handle in self.journals.values())
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._recovery_tasks:
            task.cancel()
        for journal_id in list(self.failover.claims):
            self.leases.release(LEASE_PREFIX + journal_id)
        for disk in self._disks.values():
            await disk.close(500.0)
        return clean

    def wall_ms(self) -> float:
        """The time of day as it goes on from this run's start.  Guards against a wall clock that is set between a
        call's record and its taking up: its time would seem to be over, or to last for longer than it does."""
        return self._wall_offset_ms + now_ms()

    def activation_ids(self) -> set[str]:
        """Activations in any book here; before `start` only."""
        return self._own_store.activation_ids() | self._other_store.activation_ids()

    def drain(self) -> None:
        """Move everything off this dispatcher: nothing new is promised; its books go to other members once nothing of
        them is in hand, or `RETIRE_MS` later; those whose books it holds find others."""
        if not self.draining:
            self._log.warning("retiring", owned=len(self.journals), held=len(self.replica.logs))
            self.draining, self._drain_deadline = True, now_ms() + DRAIN_TIMEOUT_MS

    def _drain_step(self, now: float) -> None:
        for journal_id, log in self.replica.logs.items():
            if journal_id not in self.journals and log.primary and now >= self._next_drain_notice_at:
                self._peers.send(log.primary, DrainNotice())
        if now >= self._next_drain_notice_at:
            self._next_drain_notice_at = now + DRAIN_NOTICE_INTERVAL_MS
        for handle in list(self.journals.values()):
            others = sorted(name for name in handle.primary.in_sync if name != self.name)
            if others and handle.primary.ready and (not self.has_in_flight(handle) or now >= self._drain_deadline):
                to = next((name for name in others if name in self._peers.ms_since_heard()), others[0])
                self._release(handle, to)
                if handle.journal_id in self.replica.logs:
                    self.replica.logs[handle.journal_id].primary = to  # who says when it may be forgotten here

    def journal_for_new_requests(self) -> PrimaryHandle | None:
        """The book that new calls go to."""
        return self.current_journal if not self.draining else None

    def _store_of(self, journal_id: str) -> ReplicaStore:
        return self._own_store if self._is_own(journal_id) else self._other_store

    def _write(self, write: ReplicaWrite | ReadRequest, on_done: Callable[[bool], None] | None = None) -> None:
        self._disks[id(self._store_of(write.journal_id))].journal.write(write, on_done)

    def _is_own(self, journal_id: str) -> bool:
        return journal_id.rpartition(".")[0] == self.name

    def _create_journal(self) -> None:
        """A book of this run's own."""
        journal_id = f"{self.name}.{os.urandom(6).hex()}"
        self._log.info("book-new", book=journal_id)
        self._claim(journal_id)

    def _claim(self, journal_id: str) -> None:
        self.failover.add_claim(journal_id)
        self.leases.acquire(
            LEASE_PREFIX + journal_id,
            self._lease_ms,
            partial(self._on_lease_acquired, journal_id),
            partial(self._on_lease_lost, journal_id),
            partial(self._on_note_stored, journal_id),
        )

    def _abandon(self, journal_id: str, to: str = "") -> None:
        """Want it no more."""
        self.failover.remove_claim(journal_id)
        self.leases.release(LEASE_PREFIX + journal_id, to)

    # Leases.

    def _on_lease_acquired(self, journal_id: str, token: FencingToken) -> None:
        try:
            in_sync = decode_in_sync(self.leases.inherited_note(LEASE_PREFIX + journal_id))
        except msgspec.MsgspecError as cause:
            self._log.error("book-note-unreadable", book=journal_id, reason=str(cause))
            self._reject_incomplete(journal_id, InSyncSet("", {}))
            return
        first = not in_sync.primary and journal_id not in self._store_of(journal_id).digests
        if not first and in_sync.disk_ids.get(self.name) != self._store_of(journal_id).disk_id:
            self._reject_incomplete(journal_id, in_sync)
            return
        handle = self.journals.get(journal_id)
        goes_on = (
            handle is not None
            and handle.primary.token.round > 0
            and in_sync.primary == self.name
            and (self.replica.is_latest_token(journal_id, handle.primary.token))
        )
        write = self.replica.become_primary(journal_id, token, self.name)
        if write is None:
            self._reject_incomplete(journal_id, in_sync)
            return
        if handle is not None and not goes_on:
            self._discard(handle)
        if not goes_on or handle is None:
            handle = self.journals[journal_id] = PrimaryHandle(
                self,
                Primary(
                    journal_id,
                    self.name,
                    self._store_of(journal_id).disk_id,
                    self.settings,
                    partial(self._digests, journal_id),
                ),
            )
        handle.token = token
        self._released_journals.discard(journal_id)
        gone = {in_sync.primary} - {self.name}
        rest = {name: disk for name, disk in in_sync.disk_ids.items() if name not in gone}
        write.wall_ms = self.wall_ms()
        self._write(write, partial(self._on_fence_stored, handle, token, rest, in_sync.primary))
        self.flush()

    def _digests(self, journal_id: str) -> list[int]:
        return self._store_of(journal_id).digests_of(journal_id)

    def _reject_incomplete(self, journal_id: str, in_sync: InSyncSet) -> None:
        """Not the whole of it is here: to one that has it, if any is heard; else it is asked for again later."""
        heard = self._peers.ms_since_heard()
        to = next((name for name in sorted(in_sync.disk_ids) if name in heard), "")
        self._log.warning("book-not-whole-here", book=journal_id, members=sorted(in_sync.disk_ids), to=to)
        if (handle := self.journals.get(journal_id)) is not None:
            self._discard(handle)
        self._abandon(journal_id, to)
        if to:
            self._peers.send(to, Claim(journal_id))
        self.failover.back_off(now_ms(), journal_id)
        if in_sync.primary and not in_sync.disk_ids:  # it was closed: nobody needs what is here
            self._close_replica(journal_id)
        self._schedule_create()

    def _on_fence_stored(
        self, handle: PrimaryHandle, token: FencingToken, in_sync: Mapping[str, str], previous_primary: str, safe: bool
    ) -> None:
        if (
            self.journals.get(handle.journal_id) is not handle
            or self.leases.held_token(LEASE_PREFIX + handle.journal_id) != token
        ):
            return
        if not safe:
            self._transfer(handle, "its disk fails")
            return
        handle.primary.on_lease_acquired(now_ms(), token, in_sync)
        if previous_primary not in ("", self.name):
            handle.primary.add_stale_replica(previous_primary)
        handle.primary.append((), partial(self._on_all_committed, handle, token, previous_primary))
        self.flush()

    def _on_all_committed(self, handle: PrimaryHandle, token: FencingToken, previous_primary: str, _full: bool) -> None:
        """All that the own disk has is safe: what is there may be acted on."""
        if handle.recovered:
            self._log.info("book-goes-on", book=handle.journal_id, token=str(token))
            self.on_resumed(handle)
            return
        request = ReadRequest(handle.journal_id, wall_ms=self.wall_ms())
        self._write(request, partial(self._on_activations_read, handle, token, previous_primary, request))

    def _on_activations_read(
        self, handle: PrimaryHandle, token: FencingToken, previous_primary: str, request: ReadRequest, safe: bool
    ) -> None:
        if not safe:
            self._transfer(handle, "its disk fails")
            return
        task = self._loop.create_task(self._recover(handle, token, previous_primary, request))
        self._recovery_tasks.add(task)
        task.add_done_callback(self._recovery_tasks.discard)

    async def _recover(
        self, handle: PrimaryHandle, token: FencingToken, previous_primary: str, request: ReadRequest
    ) -> None:
        """The lives of a book go to the gateway, some at a time."""
        began = now_ms()
        # What can still be answered in time comes first; what has ended may wait.
        activations = sorted(
            request.activations, key=lambda activation: (activation.ended is not None, activation.accepted.start)
        )
        for first in range(0, len(activations), RECOVERY_BATCH):
            if self.journals.get(handle.journal_id) is not handle:
                return
            self.on_recovered(handle, activations[first : first + RECOVERY_BATCH])
            await asyncio.sleep(0.001)
        handle.recovered = True
        self.failover.clear_backoff(handle.journal_id)
        self.activations_recovered += len(activations)
        if self._is_own(handle.journal_id) and (
            self.current_journal is None or self.journals.get(self.current_journal.journal_id) is None
        ):
            self.current_journal, self._create_backoff_ms = handle, MIN_CREATE_BACKOFF_MS
        self._log.info(
            "book-taken-up",
            book=handle.journal_id,
            token=str(token),
            calls=len(activations),
            before=previous_primary,
            damaged=request.damaged,
            ms=round(now_ms() - began),
        )
        self.on_resumed(handle)
        self.flush()

    def _on_lease_lost(self, journal_id: str, token: FencingToken, reason: str) -> None:
        if (handle := self.journals.get(journal_id)) is not None:
            handle.primary.ready = False

    def _on_note_stored(self, journal_id: str, token: FencingToken, number: int) -> None:
        handle = self.journals.get(journal_id)
        if handle is not None and handle.primary.token == token and handle.note_number == number:
            handle.primary.on_in_sync_stored(now_ms())
            self.flush()

    def _transfer(self, handle: PrimaryHandle, reason: str) -> None:
        """To another member, if there is one: what is here may not be acted on any more."""
        others = [
            name
            for name in sorted(handle.primary.in_sync)
            if name != self.name and name in self._peers.ms_since_heard()
        ]
        self._log.error("book-handed-over", book=handle.journal_id, reason=reason, to=others[0] if others else "")
        self._release(handle, others[0] if others else "")

    def _release(self, handle: PrimaryHandle, to: str = "") -> None:
        self._discard(handle)
        self._abandon(handle.journal_id, to)
        if to:
            self._peers.send(to, Claim(handle.journal_id))
        self.failover.back_off(now_ms(), handle.journal_id)
        self._schedule_create()

    def _schedule_create(self) -> None:
        """A book of this run's own in place of one that was lost, after a pause that grows.  Guards against a disk that
        fails all books one after another."""
        if self._create_at == float("inf"):
            self._create_at, self._create_backoff_ms = (
                now_ms() + self._create_backoff_ms,
                min(MAX_CREATE_BACKOFF_MS, 2 * self._create_backoff_ms),
            )

    def _create_if_due(self, now: float) -> None:
        if now < self._create_at or self.draining:
            return
        self._create_at = float("inf")
        if self.current_journal is None and not any(self._is_own(journal_id) for journal_id in self.failover.claims):
            self._create_journal()

    def _discard(self, handle: PrimaryHandle) -> None:
        """Nothing of it is acted on here any more."""
        self.journals.pop(handle.journal_id, None)
        self._released_journals.add(handle.journal_id)
        if self.current_journal is handle:
            self.current_journal = None
        calls = self.on_released(handle)
        self.activations_released += calls
        self._log.warning("book-let-go", book=handle.journal_id, token=str(handle.primary.token), calls=calls)

    # Messages.

    def _on_message(self, sender: str, message: Message) -> None:
        now = now_ms()
        self.failover.on_heard(sender, now)
        if isinstance(message, OpenStream | Append | CloseStream):
            self._reported_primary.pop(message.journal_id, None)
            self._released_journals.discard(message.journal_id)
            self.failover.on_append(message.journal_id, now)
            self.replica.on_message(sender, message)
            for write in self.replica.pending_writes:
                write.wall_ms = write.wall_ms or self.wall_ms()
        elif isinstance(message, DigestReply | AppendAck | FencedReply):
            if (handle := self.journals.get(message.journal_id)) is not None:
                handle.primary.on_message(now, sender, message)
        elif isinstance(message, DrainNotice):
            for handle in self.journals.values():
                handle.primary.draining.add(sender)
        elif isinstance(message, Claim):
            if message.journal_id in self.replica.logs and not self.failover.has_claim(message.journal_id):
                self.failover.clear_backoff(message.journal_id)
                self._claim(message.journal_id)
        elif isinstance(message, Lookup):
            if self.has_activation(message.target):
                self._peers.send(sender, LookupReply(message.target, HERE, self.leases.client.client_id, self.address))
            else:
                state = PENDING if self._may_appear(message.target) else NO
                self._peers.send(
                    sender,
                    LookupReply(
                        message.target,
                        state,
                        self.leases.client.client_id,
                        primaries=self._primaries_of(message.target),
                    ),
                )
        else:
            self._lookups.on_reply(
                sender, message.target, message.state, message.address, message.responder, message.primaries
            )
        self.flush()

    def _candidates(self, target: str) -> list[str]:
        """Books here that may have it."""
        return [
            journal_id
            for journal_id, log in self.replica.logs.items()
            if log.primary
            if target.startswith(KEY_TARGET_PREFIX) or self.is_issued_by(journal_id.rpartition(".")[0], target)
        ]

    def _may_appear(self, target: str) -> bool:
        """Whether it may be in a book that this dispatcher owns and has not taken up, or has let go, and nobody has
        said that it is his: a no of this run does not speak for that."""
        return any(
            not self.journals[journal_id].recovered
            if journal_id in self.journals
            else self.replica.logs[journal_id].primary == self.name or journal_id in self._released_journals
            for journal_id in self._candidates(target)
        )

    def _primaries_of(self, target: str) -> tuple[str, ...]:
        """Of books that are held here and may have it."""
        found = {
            journal_id: self.replica.logs[journal_id]
            for journal_id in self._candidates(target)
            if journal_id not in self.journals
        }
        return tuple(sorted({self._reported_primary.get(book) or log.token.client_id for book, log in found.items()}))

    def find(self, target: str, on_result: Callable[[str | None], None]) -> None:
        """Ask who has an activation, by its id, or the call under a key: see `Find`.  `done` is told where; "" where
        somebody may come to have it; None where nobody has it."""
        if self._lookups.join(target, on_result):
            return
        heard = self._peers.ms_since_heard().keys()
        # What is under a key may be with one that cannot be heard only as far as that one's book has holders.
        unheard = not target.startswith(KEY_TARGET_PREFIX) and any(
            m.name not in heard and m.name != self.name for m in self._members()
        )
        # One that does not read the question holds nothing.
        asked = [name for name in heard if self._peers.send(name, Lookup(target))]
        self._lookups.start(
            now_ms(), target, asked, self._primaries_of(target), unheard or self._may_appear(target), on_result
        )

    # Carrying out.

    def _tick(self) -> None:
        if self._stopped:
            return
        self._timer = self._loop.call_later(TICK_MS / 1000, self._tick)
        now, heard = now_ms(), self._peers.ms_since_heard()
        self.failover.on_tick(now, TICK_MS)
        for name in heard:
            self.failover.on_heard(name, now - heard[name])
        ranking = self._ranking(heard)
        for handle in list(self.journals.values()):
            primary = handle.primary
            if primary.token.round and self.leases.held_token(LEASE_PREFIX + handle.journal_id) == primary.token:
                for name in heard:
                    primary.on_heard(now, name)
                primary.update_streams(now, heard, ranking)
                primary.tick(now)
            self._review(handle)
        for journal_id, log in list(self.replica.logs.items()):
            if journal_id in self.journals or not log.primary:
                continue
            if not self.failover.has_claim(journal_id):
                if not self.draining and self.failover.should_claim(now, journal_id, log.primary):
                    self._log.info("book-wanted", book=journal_id, owner=log.primary)
                    self._claim(journal_id)
            elif self._other_holds_lease(journal_id):
                self._reported_primary[journal_id] = who = self.leases.client.known_holders[LEASE_PREFIX + journal_id][
                    0
                ].client_id
                log.primary = who.partition("/")[0]
                if self._is_own(journal_id):  # it was taken over: this run begins its own
                    self._abandon(journal_id)
                    self.failover.back_off(now, journal_id)
                    self._schedule_create()
            elif self.failover.primary_returned(now, journal_id, log.primary):
                self._abandon(journal_id)
        self._create_if_due(now)
        if self.draining:
            self._drain_step(now)
        self._keep_connections(heard, ranking)
        self._lookups.tick(now)
        self.flush()

    def _review(self, handle: PrimaryHandle) -> None:
        """What has become of a book that this process believes to own."""
        primary, now = handle.primary, now_ms()
        if primary.disk_failed:
            self._transfer(handle, "its disk fails")
        elif primary.fenced_by is not None or not self.replica.is_latest_token(handle.journal_id, handle.token):
            # A member said so, or the new owner has written to, or shut, what is here.
            if primary.fenced_by is not None and (log := self.replica.logs.get(handle.journal_id)) is not None:
                log.primary = primary.fenced_by.client_id.partition("/")[0]
            self._release(handle)
        elif (
            not primary.ready
            and primary.token.round
            and now >= handle.next_probe_at
            and self._other_holds_lease(handle.journal_id)
        ):
            handle.next_probe_at = now + self.settings.retry_ms  # who was told to hold the lease may not have acted
            primary.probe_fencing(
                self.leases.client.known_holders[LEASE_PREFIX + handle.journal_id][0].client_id.partition("/")[0]
            )
        elif (
            handle is not self.current_journal
            and handle.recovered
            and primary.ready
            and not primary.uncommitted_count
            and not any(self._digests(handle.journal_id))
        ):
            self._close_if_forgotten(handle)

    def _other_holds_lease(self, journal_id: str) -> bool:
        """Whether another was last said to hold a book's lease."""
        seen = self.leases.client.known_holders.get(LEASE_PREFIX + journal_id)
        return (
            seen is not None
            and not seen[0].client_id.startswith(f"{self.name}/")
            and ((handle := self.journals.get(journal_id)) is None or seen[0] > handle.primary.token)
        )

    def _keep_connections(self, heard: Iterable[str], ranking: tuple[str, ...]) -> None:
        """Keep links up: to all in a small fleet, else to whom the books go."""
        names = {m.name for m in self._members()}
        if len(names) > FULL_MESH_LIMIT:
            names = {
                *ranking[: self.settings.replica_count + 2],
                *(n for h in self.journals.values() for n in h.primary.in_sync),
            }
        self.leases.keep_connected(names, CHANNEL_FEATURE)

    def _close_replica(self, journal_id: str) -> None:
        if journal_id in self.replica.logs:
            self.replica.close(journal_id, self.replica.logs[journal_id].token)

    def _close_if_forgotten(self, handle: PrimaryHandle) -> None:
        """All of a book that was taken over is forgotten: nobody needs to hold it any more."""
        if not handle.primary.closing:
            handle.primary.close()
            return
        if handle.primary.is_closed:
            self._log.info("book-closed", book=handle.journal_id)
            self.journals.pop(handle.journal_id)
            self._abandon(handle.journal_id)
            self._close_replica(handle.journal_id)

    def _ranking(self, heard: Iterable[str]) -> tuple[str, ...]:
        """Whom this dispatcher's books go to, the best first, of those that are heard."""
        here = {*heard, self.name}
        members = tuple(sorted((m for m in self._members() if m.name in here), key=lambda m: m.name))
        if members != self._ranking_cache[0]:
            self._ranking_cache = members, rank_replicas(members, self.name, self.settings.replica_count)
        return self._ranking_cache[1]

    def flush(self) -> None:
        """Everything that waits."""
        if self._flushing or self._stopped:
            return
        self._flushing = True
        try:
            while self._flush_once():
                pass
        finally:
            self._flushing = False
        for disk in self._disks.values():
            disk.pump()
        committed = sum(handle.primary.committed_batches for handle in self.journals.values())
        if committed != self._reported_batches:
            self._reported_batches = committed
            self.on_progress()

    def _flush_once(self) -> bool:
        any_, now = False, now_ms()
        while self.replica.pending_writes:
            any_, write = True, self.replica.pending_writes.popleft()
            self._write(write, partial(self.replica.on_write_done, write))
        while self.replica.outbox:
            any_ = True
            to, answer = self.replica.outbox.popleft()
            self._peers.send(to, answer)
        for handle in list(self.journals.values()):
            primary = handle.primary
            primary.start_batch(now)
            while primary.local_writes:
                any_, batch = True, primary.local_writes.popleft()
                self._write(
                    ReplicaWrite(
                        handle.journal_id, tuple(batch.entries), tuple(batch.deleted_ids), wall_ms=self.wall_ms()
                    ),
                    partial(primary.on_local_write, batch),
                )
            while primary.bucket_reads:
                any_ = True
                name, stream, bucket = primary.bucket_reads.popleft()
                request = ReadRequest(handle.journal_id, bucket, self.wall_ms())
                self._write(request, partial(self._on_bucket_read, primary, name, stream, request))
            while primary.outbox:
                any_ = True
                self._peers.send(*primary.outbox.popleft())
            while primary.in_sync_updates:
                any_, in_sync = True, primary.in_sync_updates.popleft()
                handle.note_number = (
                    self.leases.write_note(
                        LEASE_PREFIX + handle.journal_id, encode_in_sync(InSyncSet(self.name, in_sync))
                    )
                    or 0
                )
        return any_

    @staticmethod
    def _on_bucket_read(primary: Primary, name: str, stream: int, request: ReadRequest, safe: bool) -> None:
        primary.on_bucket_read(now_ms(), name, stream, request.bucket, request.entries if safe else None)

    # For operators.

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        now = now_ms()
        return {
            "name": self.name,
            "copies": self.settings.replica_count,
            "disk": self._own_store.disk_id,
            "retiring": self.draining,
            "promising": self.current_journal is not None and self.current_journal.takes(),
            "owned": {
                journal_id: handle.primary.status(now)
                | {"current": handle is self.current_journal, "live": handle.recovered}
                for journal_id, handle in sorted(self.journals.items())
            },
            "held": {
                book: {
                    "owner": log.primary,
                    "token": str(log.token),
                    "safe": log.durable_sequence,
                    "heard_ms": self.failover.silent_ms(now, log.primary),
                }
                for book, log in sorted(self.replica.logs.items())
                if book not in self.journals and log.primary
            },
            "refused": self.replica.fenced_messages,
            "taken_up": self.activations_recovered,
            "let_go": self.activations_released,
            "disk_failing": any(disk.journal.failing for disk in self._disks.values()),
        }
