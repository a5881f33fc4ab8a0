"""One book, its owners one after another, its holders and their disks, as a world that is walked through by chance.

Messages are lost, copied, late and out of order; syncs fail; processes start anew; disks are lost; owners lose their
lease at any instant and act on for one more write (a pause between look and write).  The lease itself is taken as
`docs/leases.md` promises it: one holder believes at a time, tokens grow, the note goes to the next.  What must hold:
what was promised is found by whoever owns the book next, unless the disks of all members are lost; no call runs twice;
no call has two final answers; nothing is kept under an older token.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from kelptrail.lease.messages import NO_TOKEN, FencingToken
from kelptrail.model_checking.explorer import PropertyError

from .messages import (
    BUCKETS,
    Append,
    CloseStream,
    InSyncSet,
    OpenStream,
    ReplicaEntry,
    ReplicationSettings,
    bucket_digests,
    bucket_of,
    pack_digests,
)
from .primary import Batch, Primary
from .replica import Replica, ReplicaWrite

JOURNAL = "b"
ACCEPTED, MAY_RUN, ENDED = 0, 1, 2
SETTINGS = ReplicationSettings(
    2,
    retry_ms=100.0,
    replica_timeout_ms=600.0,
    reconnect_pause_ms=500.0,
    verify_interval_ms=300.0,
    repair_bytes_per_ms=1e9,
)


@dataclass(slots=True)
class Faults:
    """How often each goes wrong, a share of the steps of its kind."""

    lost: float = 0.1
    duplicated: float = 0.1
    delayed: float = 0.2
    failed_sync: float = 0.03
    restart: float = 0.01
    disk_loss: float = 0.004
    lease_loss: float = 0.01
    bit_rot: float = 0.0


@dataclass(slots=True)
class Disk:
    """What a dispatcher's disk has of the book; `names`: none before its first."""

    token: FencingToken = NO_TOKEN
    primary: str = ""
    entries: dict[tuple[str, int], bytes] = field(default_factory=dict)

    def apply(self, write: ReplicaWrite) -> None:
        """All of a work."""
        if write.fence is not None:
            self.token, self.primary = write.fence
        if write.closes:
            self.entries.clear()
        for item in write.entries:
            self.entries[item.id, item.kind] = item.data
        for id_, kind in list(self.entries):
            if id_ in write.deleted_ids or (
                bucket_of(id_) == write.trimmed_bucket and (id_, kind) not in write.retained
            ):
                del self.entries[id_, kind]
        if write.digest_range != (0, 0):
            upto = write.digest_range[1] if write.digest_range[1] >= 0 else BUCKETS
            write.digests = pack_digests(self.digests()[write.digest_range[0] : upto])

    def digests(self) -> list[int]:
        """Of all buckets."""
        return bucket_digests(self.all_entries())

    def all_entries(self) -> list[ReplicaEntry]:
        """Every entry."""
        return [ReplicaEntry(id_, kind, 0.0, data) for (id_, kind), data in sorted(self.entries.items())]


class Node:
    """One dispatcher: its disk, and what its process has in memory."""

    def __init__(self, model: Model, name: str) -> None:
        self.model, self.name, self.disk, self.disks_lost = model, name, Disk(), 0
        self.disk_queue: deque[tuple[ReplicaWrite, Any]] = deque()
        self.restart()

    def restart(self) -> None:
        """The process starts from its disk."""
        disk = self.disk
        fences = {JOURNAL: (disk.token, disk.primary)} if disk.token.round else {}
        self.replica = self.model.roles[1](fences, lambda _: f"{self.disks_lost}")
        self.primary = self.new_primary()
        self.disk_queue.clear()
        self.holds_lease = False
        self.requests: dict[str, str] = {}  # those in hand, and what is waited for

    def newest_token(self) -> FencingToken:
        """The newest that it has seen as a holder."""
        return self.replica.logs[JOURNAL].token if JOURNAL in self.replica.logs else NO_TOKEN

    def new_primary(self) -> Primary:
        """An owner that has nothing in hand."""
        return self.model.roles[0](JOURNAL, self.name, f"{self.disks_lost}", SETTINGS, lambda: self.disk.digests())


class Model:
    """A walk; `kinds`: cores, changed on purpose in tests."""

    def __init__(
        self,
        seed: int,
        nodes: int = 4,
        faults: Faults | None = None,
        kinds: tuple[type[Primary], type[Replica]] = (Primary, Replica),
    ) -> None:
        self.rng, self.faults, self.roles = random.Random(seed), faults or Faults(), kinds
        self.now, self.requests = 0.0, 0
        self.nodes = {f"d{n}": Node(self, f"d{n}") for n in range(nodes)}
        self.in_transit: list[tuple[str, str, Any]] = []
        self.lease_token, self.in_sync, self.lease_holder = NO_TOKEN, InSyncSet("", {}), ""  # what the voters know
        self.acknowledged: set[str] = set()
        self.executed_at: dict[str, str] = {}
        self.final_answers: dict[str, str] = {}
        self.takeovers = self.all_disks_lost = 0
        self.trail: list[str] = []

    # The lease.

    def _grant_lease(self, node: Node) -> None:
        """The lease goes to a node; nobody believes in an older one any more."""
        first = not self.lease_token.round
        self.lease_token, self.lease_holder = FencingToken(self.lease_token.round + 1, node.name), node.name
        members = self.in_sync
        if not first and members.disk_ids.get(node.name) != f"{node.disks_lost}":
            self.lease_holder = ""  # it has not the whole: given to another
            return
        node.holds_lease = True
        gone = {members.primary} - {node.name}
        before = node.primary.token
        goes_on = (
            before.round > 0
            and members.primary == node.name
            and node.replica.is_latest_token(JOURNAL, before)
            and not node.primary.disk_failed
        )
        if (write := node.replica.become_primary(JOURNAL, self.lease_token, node.name)) is None:
            raise PropertyError(f"{node.name} has seen a later token than the lease's")
        if not goes_on:
            node.primary = node.new_primary()
            node.requests = {}
        node.disk_queue.append(
            (
                write,
                partial(
                    self._on_fence_stored,
                    node,
                    self.lease_token,
                    {n: d for n, d in members.disk_ids.items() if n not in gone},
                ),
            )
        )

    def _on_fence_stored(self, node: Node, token: FencingToken, members: dict[str, str], safe: bool) -> None:
        if not node.holds_lease or token != self.lease_token:
            return
        if not safe:
            self._lose_lease(node)
            return
        self.takeovers += 1
        node.primary.on_lease_acquired(self.now, token, members)
        node.primary.append((), partial(self._recover, node, node.primary))

    def _recover(self, node: Node, primary: Primary, _full: bool) -> None:
        kept = {id_ for id_, _ in node.disk.entries}
        if (lost := self.acknowledged - kept) and not self._check_disks_lost():
            raise PropertyError(f"{node.name} owns the book and has not {sorted(lost)}, which were promised")
        for id_ in sorted(kept - node.requests.keys()):
            if (id_, ENDED) in node.disk.entries:
                self._record_final(id_, node.disk.entries[id_, ENDED].decode())
            elif (id_, MAY_RUN) in node.disk.entries:
                self._finish(node, id_, "aborted")
            else:
                self._attempt(node, id_)

    def _check_disks_lost(self) -> bool:
        """Whether more disks are gone than the copies cover."""
        if self.all_disks_lost:
            return True
        self.all_disks_lost = all(
            f"{self.nodes[name].disks_lost}" != disk for name, disk in self.in_sync.disk_ids.items()
        )
        return bool(self.all_disks_lost)

    def _lose_lease(self, node: Node) -> None:
        node.holds_lease = False
        node.primary.ready = False
        if self.lease_holder == node.name:
            self.lease_holder = ""

    # Calls.

    def _accept_request(self, node: Node) -> None:
        self.requests += 1
        id_ = f"c{self.requests}"
        node.requests[id_] = "record"
        node.primary.append(
            [ReplicaEntry(id_, ACCEPTED, 0.0, b"")], partial(self._on_recorded, node, node.primary, id_)
        )
        if self.rng.random() < 0.5:
            self._attempt(node, id_)

    def _on_recorded(self, node: Node, primary: Primary, id_: str, full: bool) -> None:
        if full:
            self.acknowledged.add(id_)
        if not full and node.requests.get(id_) == "record":
            self._finish(node, id_, "rejected")
        elif node.requests.get(id_) == "record":
            self._attempt(node, id_)

    def _attempt(self, node: Node, id_: str) -> None:
        node.requests[id_] = "may-run"
        node.primary.append([ReplicaEntry(id_, MAY_RUN, 0.0, b"")], partial(self._on_cleared, node, node.primary, id_))

    def _on_cleared(self, node: Node, primary: Primary, id_: str, _full: bool) -> None:
        """The first byte goes out, also of one that was stopped after its last look at the lease."""
        if id_ in self.executed_at:
            raise PropertyError(f"{id_} ran at {self.executed_at[id_]} and at {node.name}")
        self.executed_at[id_] = node.name
        self._finish(node, id_, "completed")

    def _finish(self, node: Node, id_: str, answer: str) -> None:
        node.requests[id_] = "end"
        node.primary.append([ReplicaEntry(id_, ENDED, 0.0, answer.encode())], lambda _: self._record_final(id_, answer))

    def _record_final(self, id_: str, answer: str) -> None:
        if self.final_answers.setdefault(id_, answer) != answer:
            raise PropertyError(f"{id_} was {self.final_answers[id_]} and is {answer}")
        if answer == "rejected" and id_ in self.executed_at:
            raise PropertyError(f"{id_} was rejected and ran")

    # Steps.

    def step(self, faults: bool = True) -> None:
        """One step.  Raises `PropertyError`."""
        chance, rates = self.rng, self.faults
        self.now += chance.uniform(1, 60)
        node = self.nodes[chance.choice(sorted(self.nodes))]
        if faults and chance.random() < rates.restart:
            self._lose_lease(node)
            node.restart()
        if faults and chance.random() < rates.disk_loss and sum(bool(n.disks_lost) for n in self.nodes.values()) < 2:
            self._lose_lease(node)
            node.disk, node.disks_lost = Disk(), node.disks_lost + 1
            node.restart()
        if faults and chance.random() < rates.bit_rot and node.disk.entries and not node.holds_lease:
            del node.disk.entries[chance.choice(sorted(node.disk.entries))]
        if self.lease_holder and faults and chance.random() < rates.lease_loss:
            self._lose_lease(self.nodes[self.lease_holder])
        if not self.lease_holder and chance.random() < 0.3:
            eligible = [n for n in self.nodes.values() if n.disk.token.round or not self.lease_token.round]
            if eligible:
                self._grant_lease(chance.choice(eligible))
        for one in self.nodes.values():
            self._run_node(one, faults)
        self._deliver(faults)

    def _run_node(self, node: Node, faults: bool) -> None:
        primary = node.primary
        if node.holds_lease and primary.token == self.lease_token:
            if primary.ready and primary.accepts_requests() and faults and self.rng.random() < 0.3:
                self._accept_request(node)
            names = [n for n in sorted(self.nodes) if n != node.name]
            primary.update_streams(self.now, names, names)
            primary.tick(self.now)
            for batch in list(primary.local_writes):
                node.disk_queue.append(
                    (
                        ReplicaWrite(JOURNAL, tuple(batch.entries), tuple(batch.deleted_ids)),
                        partial(self._on_local_write, node, primary, batch),
                    )
                )
            primary.local_writes.clear()
            if primary.disk_failed or primary.fenced_by:
                self._lose_lease(node)
        while primary.bucket_reads:
            name, stream, bucket = primary.bucket_reads.popleft()
            items = tuple(item for item in node.disk.all_entries() if bucket_of(item.id) == bucket)
            primary.on_bucket_read(self.now, name, stream, bucket, items)
        while node.disk_queue and self.rng.random() < 0.7:
            write, on_done = node.disk_queue.popleft()
            safe = not (faults and self.rng.random() < self.faults.failed_sync)
            if safe:
                node.disk.apply(write)
            on_done(safe)
        while node.replica.pending_writes:
            write = node.replica.pending_writes.popleft()
            node.disk_queue.append((write, partial(node.replica.on_write_done, write)))
        said: list[tuple[str, Any]] = [*primary.outbox, *node.replica.outbox]
        self.in_transit += [(node.name, to, message) for to, message in said]
        for members in primary.in_sync_updates:
            self.in_transit.append((node.name, "", (primary.token, members)))
        primary.outbox.clear()
        node.replica.outbox.clear()
        primary.in_sync_updates.clear()

    @staticmethod
    def _on_local_write(node: Node, primary: Primary, batch: Batch, safe: bool) -> None:
        if node.primary is primary:
            primary.on_local_write(batch, safe)

    def _deliver(self, faults: bool) -> None:
        self.rng.shuffle(self.in_transit)
        delivered: list[tuple[str, str, Any]] = self.in_transit
        self.in_transit = []
        for letter in delivered:
            draw = self.rng.random() if faults else 1.0
            if draw < self.faults.delayed:
                self.in_transit.append(letter)
                continue
            if not letter[1]:
                self._on_in_sync_stored(*letter)  # voters are many: a note is lost with its holder alone
                continue
            if draw < self.faults.delayed + self.faults.lost:
                continue
            if draw < self.faults.delayed + self.faults.lost + self.faults.duplicated:
                self.in_transit.append(letter)
            sender, to, message = letter
            node = self.nodes[to]
            if isinstance(message, OpenStream | Append | CloseStream):
                before = node.newest_token()
                node.replica.on_message(sender, message)
                if JOURNAL in node.replica.logs and node.newest_token() < before:
                    raise PropertyError(f"{to} went back from {before} to {node.newest_token()}")
            else:
                node.primary.on_message(self.now, sender, message)

    def _on_in_sync_stored(self, sender: str, _to: str, on_done: tuple[FencingToken, dict[str, str]]) -> None:
        token, members = on_done
        if token != self.lease_token:
            return
        self.in_sync = InSyncSet(sender, members)
        primary = self.nodes[sender].primary
        if primary.token == token and primary.pending_in_sync == members and self.lease_holder == sender:
            primary.on_in_sync_stored(self.now)

    def heal(self, steps: int = 400) -> None:
        """Nothing more goes wrong: all that is in hand comes to its end.  Raises `PropertyError`."""
        for _ in range(steps):
            self.step(False)
        if self.all_disks_lost or self._check_disks_lost():
            return
        if lost := self.acknowledged - self.final_answers.keys():
            raise PropertyError(f"{sorted(lost)} were promised and have no final answer")
