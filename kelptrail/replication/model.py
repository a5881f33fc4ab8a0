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
    bucket_of,
    digests_of,
    pack_digests,
)
from .primary import Batch, Primary
from .replica import Replica, Work

BOOK = "b"
RECORD, MAY_RUN, END = 0, 1, 2
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
    copied: float = 0.1
    late: float = 0.2
    sync: float = 0.03
    start: float = 0.01
    wipe: float = 0.004
    lease: float = 0.01
    rot: float = 0.0


@dataclass(slots=True)
class Disk:
    """What a dispatcher's disk has of the book; `names`: none before its first."""

    token: FencingToken = NO_TOKEN
    owner: str = ""
    items: dict[tuple[str, int], bytes] = field(default_factory=dict)

    def do(self, work: Work) -> None:
        """All of a work."""
        if work.fence is not None:
            self.token, self.owner = work.fence
        if work.shut:
            self.items.clear()
        for item in work.items:
            self.items[item.id, item.kind] = item.data
        for id_, kind in list(self.items):
            if id_ in work.drops or (bucket_of(id_) == work.bucket and (id_, kind) not in work.only):
                del self.items[id_, kind]
        if work.check != (0, 0):
            upto = work.check[1] if work.check[1] >= 0 else BUCKETS
            work.digests = pack_digests(self.digests()[work.check[0] : upto])

    def digests(self) -> list[int]:
        """Of all buckets."""
        return digests_of(self.all())

    def all(self) -> list[ReplicaEntry]:
        """Every entry."""
        return [ReplicaEntry(id_, kind, 0.0, data) for (id_, kind), data in sorted(self.items.items())]


class Node:
    """One dispatcher: its disk, and what its process has in memory."""

    def __init__(self, world: Model, name: str) -> None:
        self.world, self.name, self.disk, self.lost = world, name, Disk(), 0
        self.work: deque[tuple[Work, Any]] = deque()
        self.boot()

    def boot(self) -> None:
        """The process starts from its disk."""
        disk = self.disk
        shelves = {BOOK: (disk.token, disk.owner)} if disk.token.round else {}
        self.holder = self.world.kinds[1](shelves, lambda _: f"{self.lost}")
        self.owner = self.fresh()
        self.work.clear()
        self.believes = False
        self.calls: dict[str, str] = {}  # those in hand, and what is waited for

    def token(self) -> FencingToken:
        """The newest that it has seen as a holder."""
        return self.holder.shelves[BOOK].token if BOOK in self.holder.shelves else NO_TOKEN

    def fresh(self) -> Primary:
        """An owner that has nothing in hand."""
        return self.world.kinds[0](BOOK, self.name, f"{self.lost}", SETTINGS, lambda: self.disk.digests())


class Model:
    """A walk; `kinds`: cores, changed on purpose in tests."""

    def __init__(
        self,
        seed: int,
        nodes: int = 4,
        faults: Faults | None = None,
        kinds: tuple[type[Primary], type[Replica]] = (Primary, Replica),
    ) -> None:
        self.chance, self.faults, self.kinds = random.Random(seed), faults or Faults(), kinds
        self.now, self.calls = 0.0, 0
        self.nodes = {f"d{n}": Node(self, f"d{n}") for n in range(nodes)}
        self.mail: list[tuple[str, str, Any]] = []
        self.token, self.note, self.leader = NO_TOKEN, InSyncSet("", {}), ""  # what the voters know
        self.promised: set[str] = set()
        self.ran: dict[str, str] = {}
        self.finals: dict[str, str] = {}
        self.took = self.broken = 0
        self.trail: list[str] = []

    # The lease.

    def _win(self, node: Node) -> None:
        """The lease goes to a node; nobody believes in an older one any more."""
        first = not self.token.round
        self.token, self.leader = FencingToken(self.token.round + 1, node.name), node.name
        members = self.note
        if not first and members.disks.get(node.name) != f"{node.lost}":
            self.leader = ""  # it has not the whole: given to another
            return
        node.believes = True
        gone = {members.owner} - {node.name}
        before = node.owner.token
        goes_on = (
            before.round > 0
            and members.owner == node.name
            and node.holder.stands(BOOK, before)
            and not node.owner.failed
        )
        if (work := node.holder.own(BOOK, self.token, node.name)) is None:
            raise PropertyError(f"{node.name} has seen a later token than the lease's")
        if not goes_on:
            node.owner = node.fresh()
            node.calls = {}
        node.work.append(
            (work, partial(self._owned, node, self.token, {n: d for n, d in members.disks.items() if n not in gone}))
        )

    def _owned(self, node: Node, token: FencingToken, members: dict[str, str], safe: bool) -> None:
        if not node.believes or token != self.token:
            return
        if not safe:
            self._lose(node)
            return
        self.took += 1
        node.owner.won(self.now, token, members)
        node.owner.write((), partial(self._take_up, node, node.owner))

    def _take_up(self, node: Node, owner: Primary, _full: bool) -> None:
        kept = {id_ for id_, _ in node.disk.items}
        if (lost := self.promised - kept) and not self._all_lost():
            raise PropertyError(f"{node.name} owns the book and has not {sorted(lost)}, which were promised")
        for id_ in sorted(kept - node.calls.keys()):
            if (id_, END) in node.disk.items:
                self._final(id_, node.disk.items[id_, END].decode())
            elif (id_, MAY_RUN) in node.disk.items:
                self._end(node, id_, "aborted")
            else:
                self._send(node, id_)

    def _all_lost(self) -> bool:
        """Whether more disks are gone than the copies cover."""
        if self.broken:
            return True
        self.broken = all(f"{self.nodes[name].lost}" != disk for name, disk in self.note.disks.items())
        return bool(self.broken)

    def _lose(self, node: Node) -> None:
        node.believes = False
        node.owner.ready = False
        if self.leader == node.name:
            self.leader = ""

    # Calls.

    def _take(self, node: Node) -> None:
        self.calls += 1
        id_ = f"c{self.calls}"
        node.calls[id_] = "record"
        node.owner.write([ReplicaEntry(id_, RECORD, 0.0, b"")], partial(self._recorded, node, node.owner, id_))
        if self.chance.random() < 0.5:
            self._send(node, id_)

    def _recorded(self, node: Node, owner: Primary, id_: str, full: bool) -> None:
        if full:
            self.promised.add(id_)
        if not full and node.calls.get(id_) == "record":
            self._end(node, id_, "rejected")
        elif node.calls.get(id_) == "record":
            self._send(node, id_)

    def _send(self, node: Node, id_: str) -> None:
        node.calls[id_] = "may-run"
        node.owner.write([ReplicaEntry(id_, MAY_RUN, 0.0, b"")], partial(self._cleared, node, node.owner, id_))

    def _cleared(self, node: Node, owner: Primary, id_: str, _full: bool) -> None:
        """The first byte goes out, also of one that was stopped after its last look at the lease."""
        if id_ in self.ran:
            raise PropertyError(f"{id_} ran at {self.ran[id_]} and at {node.name}")
        self.ran[id_] = node.name
        self._end(node, id_, "completed")

    def _end(self, node: Node, id_: str, answer: str) -> None:
        node.calls[id_] = "end"
        node.owner.write([ReplicaEntry(id_, END, 0.0, answer.encode())], lambda _: self._final(id_, answer))

    def _final(self, id_: str, answer: str) -> None:
        if self.finals.setdefault(id_, answer) != answer:
            raise PropertyError(f"{id_} was {self.finals[id_]} and is {answer}")
        if answer == "rejected" and id_ in self.ran:
            raise PropertyError(f"{id_} was rejected and ran")

    # Steps.

    def step(self, faults: bool = True) -> None:
        """One step.  Raises `PropertyError`."""
        chance, rates = self.chance, self.faults
        self.now += chance.uniform(1, 60)
        node = self.nodes[chance.choice(sorted(self.nodes))]
        if faults and chance.random() < rates.start:
            self._lose(node)
            node.boot()
        if faults and chance.random() < rates.wipe and sum(bool(n.lost) for n in self.nodes.values()) < 2:
            self._lose(node)
            node.disk, node.lost = Disk(), node.lost + 1
            node.boot()
        if faults and chance.random() < rates.rot and node.disk.items and not node.believes:
            del node.disk.items[chance.choice(sorted(node.disk.items))]
        if self.leader and faults and chance.random() < rates.lease:
            self._lose(self.nodes[self.leader])
        if not self.leader and chance.random() < 0.3:
            found = [n for n in self.nodes.values() if n.disk.token.round or not self.token.round]
            if found:
                self._win(chance.choice(found))
        for one in self.nodes.values():
            self._turn(one, faults)
        self._deliver(faults)

    def _turn(self, node: Node, faults: bool) -> None:
        owner = node.owner
        if node.believes and owner.token == self.token:
            if owner.ready and owner.takes() and faults and self.chance.random() < 0.3:
                self._take(node)
            names = [n for n in sorted(self.nodes) if n != node.name]
            owner.seek(self.now, names, names)
            owner.tick(self.now)
            for batch in list(owner.locals):
                node.work.append(
                    (Work(BOOK, tuple(batch.items), tuple(batch.drops)), partial(self._local, node, owner, batch))
                )
            owner.locals.clear()
            if owner.failed or owner.fenced:
                self._lose(node)
        while owner.reads:
            name, stream, bucket = owner.reads.popleft()
            items = tuple(item for item in node.disk.all() if bucket_of(item.id) == bucket)
            owner.read(self.now, name, stream, bucket, items)
        while node.work and self.chance.random() < 0.7:
            work, told = node.work.popleft()
            safe = not (faults and self.chance.random() < self.faults.sync)
            if safe:
                node.disk.do(work)
            told(safe)
        while node.holder.work:
            work = node.holder.work.popleft()
            node.work.append((work, partial(node.holder.written, work)))
        said: list[tuple[str, Any]] = [*owner.out, *node.holder.out]
        self.mail += [(node.name, to, message) for to, message in said]
        for members in owner.notes:
            self.mail.append((node.name, "", (owner.token, members)))
        owner.out.clear()
        node.holder.out.clear()
        owner.notes.clear()

    @staticmethod
    def _local(node: Node, owner: Primary, batch: Batch, safe: bool) -> None:
        if node.owner is owner:
            owner.written(batch, safe)

    def _deliver(self, faults: bool) -> None:
        self.chance.shuffle(self.mail)
        mail: list[tuple[str, str, Any]] = self.mail
        self.mail = []
        for letter in mail:
            draw = self.chance.random() if faults else 1.0
            if draw < self.faults.late:
                self.mail.append(letter)
                continue
            if not letter[1]:
                self._noted(*letter)  # voters are many: a note is lost with its holder alone
                continue
            if draw < self.faults.late + self.faults.lost:
                continue
            if draw < self.faults.late + self.faults.lost + self.faults.copied:
                self.mail.append(letter)
            sender, to, message = letter
            node = self.nodes[to]
            if isinstance(message, OpenStream | Append | CloseStream):
                before = node.token()
                node.holder.received(sender, message)
                if BOOK in node.holder.shelves and node.token() < before:
                    raise PropertyError(f"{to} went back from {before} to {node.token()}")
            else:
                node.owner.received(self.now, sender, message)

    def _noted(self, sender: str, _to: str, told: tuple[FencingToken, dict[str, str]]) -> None:
        token, members = told
        if token != self.token:
            return
        self.note = InSyncSet(sender, members)
        owner = self.nodes[sender].owner
        if owner.token == token and owner.noting == members and self.leader == sender:
            owner.noted(self.now)

    def heal(self, steps: int = 400) -> None:
        """Nothing more goes wrong: all that is in hand comes to its end.  Raises `PropertyError`."""
        for _ in range(steps):
            self.step(False)
        if self.broken or self._all_lost():
            return
        if lost := self.promised - self.finals.keys():
            raise PropertyError(f"{sorted(lost)} were promised and have no final answer")
