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
    PREFIX,
    Append,
    AppendAck,
    Claim,
    CloseStream,
    CommitIndex,
    FencedReply,
    Leaving,
    Lookup,
    LookupReply,
    Members,
    Message,
    OpenStream,
    ReplicaEntry,
    ReplicationSettings,
    note,
    read_note,
)
from .primary import Primary
from .replica import Replica, Work
from .replica_placement import Member, ranked
from .replica_store import Reading, ReplicaStore

SPEAKS = "copies"
KINDS_OF = (OpenStream, Append, CommitIndex, AppendAck, FencedReply, CloseStream, Claim, Leaving, Lookup, LookupReply)
TICK_MS = 25.0
AT_ONCE = 200  # lives that are taken up in one go: a large book must not stop the loop
FIND_MS = 300.0
KEY = "key:"
TOO_LARGE = b'{"error":"The result was too large to be held by others, and was lost with its dispatcher."}'
FIRST_PAUSE_MS, MOST_PAUSE_MS = 100.0, 10_000.0  # before a new book
RETIRE_MS, LEAVING_MS = 30_000.0, 500.0
FEW = 32  # dispatchers that all keep links to each other


class PrimaryHandle:
    """A book that this process owns, as the gateway writes to it."""

    def __init__(self, copies: ReplicationDriver, core: Primary) -> None:
        self._copies, self.core, self.book = copies, core, core.book
        self.live = False  # what was in it has been taken up
        self.note = 0  # number of the last one
        self.token = NO_TOKEN  # under which it was won last
        self.probe_at = 0.0  # when members may be asked whether another owns it

    def takes(self) -> bool:
        """Whether a new call can be promised."""
        return self.live and self.core.takes() and self.acting(now_ms())

    def acting(self, now: float) -> bool:
        """Whether what is in it may be acted on at this instant: the lease is looked at."""
        return (
            self.core.ready
            and not self.core.fenced
            and self._copies.leases.held_token(PREFIX + self.book) == self.core.token
        )

    def write(self, entry: Entry, waiter: Callable[[bool], None] | None = None, keep: bool = False) -> None:
        """Write an entry; `keep` is what an owner does anyway."""
        data, _ = pack(entry)
        if isinstance(entry, Ended) and len(data) > self.core.settings.most_entry:
            data, _ = pack(msgspec.structs.replace(entry, result=TOO_LARGE))
        accepted = isinstance(entry, Accepted)
        age = max(0.0, wall_ms() - entry.start) if isinstance(entry, Accepted) else 0.0
        from_core = waiter if accepted or waiter is None else (lambda _full: waiter(True))
        self.core.write([ReplicaEntry(entry.id, KINDS[type(entry)], age, data)], from_core)

    def forget(self, id_: str) -> None:
        """An activation whose record is no longer kept."""
        self.core.write((), None, (id_,))


class ReplicationDriver:
    """One process's books: those it owns, and those it holds for others.  `own`: where the books of its own runs are,
    `others`: all others; one and the same where copies are on disk.  `members`: dispatchers that are known."""

    def __init__(
        self,
        name: str,
        settings: ReplicationSettings,
        take_ms: float,
        length_ms: float,
        peers: Peers,
        leases: LeaseDriver,
        own: ReplicaStore,
        others: ReplicaStore,
        members: Callable[[], list[Member]],
        log: Any,
    ) -> None:
        self.name, self.settings, self._take_ms, self._length_ms = name, settings, take_ms, length_ms
        self.leases, self._peers, self._members, self._log = leases, peers, members, log
        self._loop = asyncio.get_running_loop()
        self._own_shelves, self._other_shelves = own, others
        self._disks = {
            id(shelves): JournalDriver(GroupCommit(1_000_000), shelves, self.carry, log) for shelves in (own, others)
        }
        self.holder = Replica(own.books() | others.books(), lambda book: self._at(book).disk)
        self.books: dict[str, PrimaryHandle] = {}
        self.current: PrimaryHandle | None = None  # the book that new calls go to
        self.watch = FailoverMonitor(name, take_ms, now_ms())
        self._carrying = self._stopped = False
        self._told = 0  # batches that were safe when that was last said
        self._timer: asyncio.TimerHandle | None = None
        self._ranked: tuple[tuple[Member, ...], tuple[str, ...]] = ((), ())
        self._released: set[str] = set()  # books that were let go, until another owner writes here
        self._believed: dict[str, str] = {}  # who is said to own a book whose stream does not come here
        self._questions = LookupService(leases.client.client_id, FIND_MS)
        self._taking: set[asyncio.Task[None]] = set()
        self._begin_at, self._begin_pause = float("inf"), FIRST_PAUSE_MS
        self._off_ms = wall_ms() - now_ms()
        self.own = ""  # where this dispatcher can be asked
        self.retiring, self._retire_by, self._leaving_at = False, 0.0, 0.0
        self.taken_up = self.let_go = 0
        # Set by who joins this to a gateway.
        self.on_taken: Callable[[PrimaryHandle, list[ActivationEntries]], None] = lambda held, lives: None
        self.on_acts: Callable[[PrimaryHandle], None] = lambda held: None
        self.on_lost: Callable[[PrimaryHandle], int] = lambda held: 0
        self.has: Callable[[str], bool] = lambda id_: False
        self.born: Callable[[str, str], bool] = lambda name, id_: False  # whether that dispatcher gave that id
        self.busy: Callable[[PrimaryHandle], bool] = lambda held: False  # whether calls of a book are in hand
        self.progress: Callable[[], None] = lambda: None  # something may have become safe
        peers.register(SPEAKS, self._came, *KINDS_OF)

    # Begin and end.

    def start(self) -> None:
        """Take up the own book of a run before, or begin one."""
        own = [book for book, shelf in self.holder.shelves.items() if self._born_here(book) and shelf.owner]
        for book in own:
            self._want(book)
        if not own:
            self._begin()
        self._tick()

    async def stop(self, within_ms: float) -> bool:
        """Have what waits made safe, give the leases back and close; True if nothing was left."""
        end = now_ms() + within_ms
        while any(held.core.waiting for held in self.books.values()) and now_ms() < end:
            await asyncio.sleep(0.01)
        clean = not any(held.core.waiting for held in self.books.values())
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._taking:
            task.cancel()
        for book in list(self.watch.wanted):
            self.leases.release(PREFIX + book)
        for disk in self._disks.values():
            await disk.close(500.0)
        return clean

    def wall_ms(self) -> float:
        """The time of day as it goes on from this run's start.  Guards against a wall clock that is set between a
        call's record and its taking up: its time would seem to be over, or to last for longer than it does."""
        return self._off_ms + now_ms()

    def ids(self) -> set[str]:
        """Activations in any book here; before `start` only."""
        return self._own_shelves.ids() | self._other_shelves.ids()

    def retire(self) -> None:
        """Move everything off this dispatcher: nothing new is promised; its books go to other members once nothing of
        them is in hand, or `RETIRE_MS` later; those whose books it holds find others."""
        if not self.retiring:
            self._log.warning("retiring", owned=len(self.books), held=len(self.holder.shelves))
            self.retiring, self._retire_by = True, now_ms() + RETIRE_MS

    def _retire(self, now: float) -> None:
        for book, shelf in self.holder.shelves.items():
            if book not in self.books and shelf.owner and now >= self._leaving_at:
                self._peers.send(shelf.owner, Leaving())
        if now >= self._leaving_at:
            self._leaving_at = now + LEAVING_MS
        for held in list(self.books.values()):
            others = sorted(name for name in held.core.members if name != self.name)
            if others and held.core.ready and (not self.busy(held) or now >= self._retire_by):
                to = next((name for name in others if name in self._peers.ms_since_heard()), others[0])
                self._end(held, to)
                if held.book in self.holder.shelves:
                    self.holder.shelves[held.book].owner = to  # who says when it may be forgotten here

    def promising(self) -> PrimaryHandle | None:
        """The book that new calls go to."""
        return self.current if not self.retiring else None

    def _at(self, book: str) -> ReplicaStore:
        return self._own_shelves if self._born_here(book) else self._other_shelves

    def _write(self, work: Work | Reading, told: Callable[[bool], None] | None = None) -> None:
        self._disks[id(self._at(work.book))].journal.write(work, told)

    def _born_here(self, book: str) -> bool:
        return book.rpartition(".")[0] == self.name

    def _begin(self) -> None:
        """A book of this run's own."""
        book = f"{self.name}.{os.urandom(6).hex()}"
        self._log.info("book-new", book=book)
        self._want(book)

    def _want(self, book: str) -> None:
        self.watch.wants(book)
        self.leases.acquire(
            PREFIX + book,
            self._length_ms,
            partial(self._won, book),
            partial(self._lost, book),
            partial(self._noted, book),
        )

    def _leave(self, book: str, to: str = "") -> None:
        """Want it no more."""
        self.watch.leaves(book)
        self.leases.release(PREFIX + book, to)

    # Leases.

    def _won(self, book: str, token: FencingToken) -> None:
        try:
            members = read_note(self.leases.inherited_note(PREFIX + book))
        except msgspec.MsgspecError as cause:
            self._log.error("book-note-unreadable", book=book, reason=str(cause))
            self._refuse(book, Members("", {}))
            return
        first = not members.owner and book not in self._at(book).digests
        if not first and members.disks.get(self.name) != self._at(book).disk:
            self._refuse(book, members)
            return
        held = self.books.get(book)
        goes_on = (
            held is not None
            and held.core.token.round > 0
            and members.owner == self.name
            and (self.holder.stands(book, held.core.token))
        )
        work = self.holder.own(book, token, self.name)
        if work is None:
            self._refuse(book, members)
            return
        if held is not None and not goes_on:
            self._drop(held)
        if not goes_on or held is None:
            held = self.books[book] = PrimaryHandle(
                self, Primary(book, self.name, self._at(book).disk, self.settings, partial(self._digests, book))
            )
        held.token = token
        self._released.discard(book)
        gone = {members.owner} - {self.name}
        rest = {name: disk for name, disk in members.disks.items() if name not in gone}
        work.wall_ms = self.wall_ms()
        self._write(work, partial(self._owned, held, token, rest, members.owner))
        self.carry()

    def _digests(self, book: str) -> list[int]:
        return self._at(book).digests_of(book)

    def _refuse(self, book: str, members: Members) -> None:
        """Not the whole of it is here: to one that has it, if any is heard; else it is asked for again later."""
        heard = self._peers.ms_since_heard()
        to = next((name for name in sorted(members.disks) if name in heard), "")
        self._log.warning("book-not-whole-here", book=book, members=sorted(members.disks), to=to)
        if (held := self.books.get(book)) is not None:
            self._drop(held)
        self._leave(book, to)
        if to:
            self._peers.send(to, Claim(book))
        self.watch.shuns(now_ms(), book)
        if members.owner and not members.disks:  # it was closed: nobody needs what is here
            self._shut(book)
        self._begin_anew()

    def _owned(
        self, held: PrimaryHandle, token: FencingToken, members: Mapping[str, str], before: str, safe: bool
    ) -> None:
        if self.books.get(held.book) is not held or self.leases.held_token(PREFIX + held.book) != token:
            return
        if not safe:
            self._hand_over(held, "its disk fails")
            return
        held.core.won(now_ms(), token, members)
        if before not in ("", self.name):
            held.core.dismiss(before)
        held.core.write((), partial(self._settled, held, token, before))
        self.carry()

    def _settled(self, held: PrimaryHandle, token: FencingToken, before: str, _full: bool) -> None:
        """All that the own disk has is safe: what is there may be acted on."""
        if held.live:
            self._log.info("book-goes-on", book=held.book, token=str(token))
            self.on_acts(held)
            return
        reading = Reading(held.book, wall_ms=self.wall_ms())
        self._write(reading, partial(self._read_lives, held, token, before, reading))

    def _read_lives(self, held: PrimaryHandle, token: FencingToken, before: str, reading: Reading, safe: bool) -> None:
        if not safe:
            self._hand_over(held, "its disk fails")
            return
        task = self._loop.create_task(self._take_up(held, token, before, reading))
        self._taking.add(task)
        task.add_done_callback(self._taking.discard)

    async def _take_up(self, held: PrimaryHandle, token: FencingToken, before: str, reading: Reading) -> None:
        """The lives of a book go to the gateway, some at a time."""
        began = now_ms()
        # What can still be answered in time comes first; what has ended may wait.
        lives = sorted(reading.lives, key=lambda life: (life.ended is not None, life.accepted.start))
        for first in range(0, len(lives), AT_ONCE):
            if self.books.get(held.book) is not held:
                return
            self.on_taken(held, lives[first : first + AT_ONCE])
            await asyncio.sleep(0.001)
        held.live = True
        self.watch.welcome(held.book)
        self.taken_up += len(lives)
        if self._born_here(held.book) and (self.current is None or self.books.get(self.current.book) is None):
            self.current, self._begin_pause = held, FIRST_PAUSE_MS
        self._log.info(
            "book-taken-up",
            book=held.book,
            token=str(token),
            calls=len(lives),
            before=before,
            damaged=reading.damaged,
            ms=round(now_ms() - began),
        )
        self.on_acts(held)
        self.carry()

    def _lost(self, book: str, token: FencingToken, reason: str) -> None:
        if (held := self.books.get(book)) is not None:
            held.core.ready = False

    def _noted(self, book: str, token: FencingToken, number: int) -> None:
        held = self.books.get(book)
        if held is not None and held.core.token == token and held.note == number:
            held.core.noted(now_ms())
            self.carry()

    def _hand_over(self, held: PrimaryHandle, reason: str) -> None:
        """To another member, if there is one: what is here may not be acted on any more."""
        others = [
            name for name in sorted(held.core.members) if name != self.name and name in self._peers.ms_since_heard()
        ]
        self._log.error("book-handed-over", book=held.book, reason=reason, to=others[0] if others else "")
        self._end(held, others[0] if others else "")

    def _end(self, held: PrimaryHandle, to: str = "") -> None:
        self._drop(held)
        self._leave(held.book, to)
        if to:
            self._peers.send(to, Claim(held.book))
        self.watch.shuns(now_ms(), held.book)
        self._begin_anew()

    def _begin_anew(self) -> None:
        """A book of this run's own in place of one that was lost, after a pause that grows.  Guards against a disk that
        fails all books one after another."""
        if self._begin_at == float("inf"):
            self._begin_at, self._begin_pause = now_ms() + self._begin_pause, min(MOST_PAUSE_MS, 2 * self._begin_pause)

    def _begin_due(self, now: float) -> None:
        if now < self._begin_at or self.retiring:
            return
        self._begin_at = float("inf")
        if self.current is None and not any(self._born_here(book) for book in self.watch.wanted):
            self._begin()

    def _drop(self, held: PrimaryHandle) -> None:
        """Nothing of it is acted on here any more."""
        self.books.pop(held.book, None)
        self._released.add(held.book)
        if self.current is held:
            self.current = None
        calls = self.on_lost(held)
        self.let_go += calls
        self._log.warning("book-let-go", book=held.book, token=str(held.core.token), calls=calls)

    # Messages.

    def _came(self, sender: str, message: Message) -> None:
        now = now_ms()
        self.watch.heard(sender, now)
        if isinstance(message, OpenStream | Append | CloseStream):
            self._believed.pop(message.book, None)
            self._released.discard(message.book)
            self.watch.put(message.book, now)
            self.holder.received(sender, message)
            for work in self.holder.work:
                work.wall_ms = work.wall_ms or self.wall_ms()
        elif isinstance(message, CommitIndex | AppendAck | FencedReply):
            if (held := self.books.get(message.book)) is not None:
                held.core.received(now, sender, message)
        elif isinstance(message, Leaving):
            for held in self.books.values():
                held.core.leaving.add(sender)
        elif isinstance(message, Claim):
            if message.book in self.holder.shelves and not self.watch.has(message.book):
                self.watch.welcome(message.book)
                self._want(message.book)
        elif isinstance(message, Lookup):
            if self.has(message.what):
                self._peers.send(sender, LookupReply(message.what, HERE, self.leases.client.client_id, self.own))
            else:
                state = PENDING if self._pending(message.what) else NO
                self._peers.send(
                    sender,
                    LookupReply(message.what, state, self.leases.client.client_id, owners=self._owners(message.what)),
                )
        else:
            self._questions.answered(sender, message.what, message.state, message.at, message.by, message.owners)
        self.carry()

    def _may_have(self, what: str) -> list[str]:
        """Books here that may have it."""
        return [
            book
            for book, shelf in self.holder.shelves.items()
            if shelf.owner
            if what.startswith(KEY) or self.born(book.rpartition(".")[0], what)
        ]

    def _pending(self, what: str) -> bool:
        """Whether it may be in a book that this dispatcher owns and has not taken up, or has let go, and nobody has
        said that it is his: a no of this run does not speak for that."""
        return any(
            not self.books[book].live
            if book in self.books
            else self.holder.shelves[book].owner == self.name or book in self._released
            for book in self._may_have(what)
        )

    def _owners(self, what: str) -> tuple[str, ...]:
        """Of books that are held here and may have it."""
        found = {book: self.holder.shelves[book] for book in self._may_have(what) if book not in self.books}
        return tuple(sorted({self._believed.get(book) or shelf.token.client_id for book, shelf in found.items()}))

    def find(self, what: str, done: Callable[[str | None], None]) -> None:
        """Ask who has an activation, by its id, or the call under a key: see `Find`.  `done` is told where; "" where
        somebody may come to have it; None where nobody has it."""
        if self._questions.joined(what, done):
            return
        heard = self._peers.ms_since_heard().keys()
        # What is under a key may be with one that cannot be heard only as far as that one's book has holders.
        unheard = not what.startswith(KEY) and any(m.name not in heard and m.name != self.name for m in self._members())
        # One that does not read the question holds nothing.
        asked = [name for name in heard if self._peers.send(name, Lookup(what))]
        self._questions.ask(now_ms(), what, asked, self._owners(what), unheard or self._pending(what), done)

    # Carrying out.

    def _tick(self) -> None:
        if self._stopped:
            return
        self._timer = self._loop.call_later(TICK_MS / 1000, self._tick)
        now, heard = now_ms(), self._peers.ms_since_heard()
        self.watch.looked(now, TICK_MS)
        for name in heard:
            self.watch.heard(name, now - heard[name])
        ranking = self._ranking(heard)
        for held in list(self.books.values()):
            core = held.core
            if core.token.round and self.leases.held_token(PREFIX + held.book) == core.token:
                for name in heard:
                    core.heard(now, name)
                core.seek(now, heard, ranking)
                core.tick(now)
            self._judge(held)
        for book, shelf in list(self.holder.shelves.items()):
            if book in self.books or not shelf.owner:
                continue
            if not self.watch.has(book):
                if not self.retiring and self.watch.is_due(now, book, shelf.owner):
                    self._log.info("book-wanted", book=book, owner=shelf.owner)
                    self._want(book)
            elif self._others(book):
                self._believed[book] = who = self.leases.client.known_holders[PREFIX + book][0].client_id
                shelf.owner = who.partition("/")[0]
                if self._born_here(book):  # it was taken over: this run begins its own
                    self._leave(book)
                    self.watch.shuns(now, book)
                    self._begin_anew()
            elif self.watch.is_back(now, book, shelf.owner):
                self._leave(book)
        self._begin_due(now)
        if self.retiring:
            self._retire(now)
        self._reach(heard, ranking)
        self._questions.tick(now)
        self.carry()

    def _judge(self, held: PrimaryHandle) -> None:
        """What has become of a book that this process believes to own."""
        core, now = held.core, now_ms()
        if core.failed:
            self._hand_over(held, "its disk fails")
        elif core.fenced is not None or not self.holder.stands(held.book, held.token):
            # A member said so, or the new owner has written to, or shut, what is here.
            if core.fenced is not None and (shelf := self.holder.shelves.get(held.book)) is not None:
                shelf.owner = core.fenced.client_id.partition("/")[0]
            self._end(held)
        elif not core.ready and core.token.round and now >= held.probe_at and self._others(held.book):
            held.probe_at = now + self.settings.again_ms  # who was told to hold the lease may not have acted
            core.probe(self.leases.client.known_holders[PREFIX + held.book][0].client_id.partition("/")[0])
        elif (
            held is not self.current
            and held.live
            and core.ready
            and not core.waiting
            and not any(self._digests(held.book))
        ):
            self._close(held)

    def _others(self, book: str) -> bool:
        """Whether another was last said to hold a book's lease."""
        seen = self.leases.client.known_holders.get(PREFIX + book)
        return (
            seen is not None
            and not seen[0].client_id.startswith(f"{self.name}/")
            and ((held := self.books.get(book)) is None or seen[0] > held.core.token)
        )

    def _reach(self, heard: Iterable[str], ranking: tuple[str, ...]) -> None:
        """Keep links up: to all in a small fleet, else to whom the books go."""
        names = {m.name for m in self._members()}
        if len(names) > FEW:
            names = {*ranking[: self.settings.count + 2], *(n for h in self.books.values() for n in h.core.members)}
        self.leases.keep_connected(names, SPEAKS)

    def _shut(self, book: str) -> None:
        if book in self.holder.shelves:
            self.holder.shut(book, self.holder.shelves[book].token)

    def _close(self, held: PrimaryHandle) -> None:
        """All of a book that was taken over is forgotten: nobody needs to hold it any more."""
        if not held.core.closing:
            held.core.close()
            return
        if held.core.closed:
            self._log.info("book-closed", book=held.book)
            self.books.pop(held.book)
            self._leave(held.book)
            self._shut(held.book)

    def _ranking(self, heard: Iterable[str]) -> tuple[str, ...]:
        """Whom this dispatcher's books go to, the best first, of those that are heard."""
        here = {*heard, self.name}
        members = tuple(sorted((m for m in self._members() if m.name in here), key=lambda m: m.name))
        if members != self._ranked[0]:
            self._ranked = members, ranked(members, self.name, self.settings.count)
        return self._ranked[1]

    def carry(self) -> None:
        """Everything that waits."""
        if self._carrying or self._stopped:
            return
        self._carrying = True
        try:
            while self._step():
                pass
        finally:
            self._carrying = False
        for disk in self._disks.values():
            disk.pump()
        told = sum(held.core.batches_safe for held in self.books.values())
        if told != self._told:
            self._told = told
            self.progress()

    def _step(self) -> bool:
        any_, now = False, now_ms()
        while self.holder.work:
            any_, work = True, self.holder.work.popleft()
            self._write(work, partial(self.holder.written, work))
        while self.holder.out:
            any_ = True
            to, answer = self.holder.out.popleft()
            self._peers.send(to, answer)
        for held in list(self.books.values()):
            core = held.core
            core.pump(now)
            while core.locals:
                any_, batch = True, core.locals.popleft()
                self._write(
                    Work(held.book, tuple(batch.items), tuple(batch.drops), wall_ms=self.wall_ms()),
                    partial(core.written, batch),
                )
            while core.reads:
                any_ = True
                name, stream, bucket = core.reads.popleft()
                reading = Reading(held.book, bucket, self.wall_ms())
                self._write(reading, partial(self._bucket, core, name, stream, reading))
            while core.out:
                any_ = True
                self._peers.send(*core.out.popleft())
            while core.notes:
                any_, members = True, core.notes.popleft()
                held.note = self.leases.write_note(PREFIX + held.book, note(Members(self.name, members))) or 0
        return any_

    @staticmethod
    def _bucket(core: Primary, name: str, stream: int, reading: Reading, safe: bool) -> None:
        core.read(now_ms(), name, stream, reading.bucket, reading.items if safe else None)

    # For operators.

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        now = now_ms()
        return {
            "name": self.name,
            "copies": self.settings.count,
            "disk": self._own_shelves.disk,
            "retiring": self.retiring,
            "promising": self.current is not None and self.current.takes(),
            "owned": {
                book: held.core.status(now) | {"current": held is self.current, "live": held.live}
                for book, held in sorted(self.books.items())
            },
            "held": {
                book: {
                    "owner": shelf.owner,
                    "token": str(shelf.token),
                    "safe": shelf.safe,
                    "heard_ms": self.watch.since(now, shelf.owner),
                }
                for book, shelf in sorted(self.holder.shelves.items())
                if book not in self.books and shelf.owner
            },
            "refused": self.holder.refused,
            "taken_up": self.taken_up,
            "let_go": self.let_go,
            "disk_failing": any(disk.journal.failing for disk in self._disks.values()),
        }
