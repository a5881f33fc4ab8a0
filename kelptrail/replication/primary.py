"""An owner's side: what it writes down is safe once its own disk and all members of the book have it; free of I/O.

Entries gather in batches.  A batch goes to the own disk and to all holders side by side.  A holder is *whole* once it
has all that this owner has, and only then becomes a member; a member that does not answer in time stops being one.
Either is left as a note with the lease first.  So whoever holds the lease next and is named in the note has every batch
that ever was safe.

Each holder has a stream of its own.  It begins with the holder's digests: what differs is filled up bucket by bucket at
a bounded rate, what is written meanwhile waits behind that, then both go on alike.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from kelptrail.lease.messages import NO_TOKEN, FencingToken

from .messages import (
    BUCKETS,
    Answer,
    Append,
    AppendAck,
    CloseStream,
    DigestReply,
    FencedReply,
    OpenStream,
    ReplicaEntry,
    ReplicationSettings,
    unpack_digests,
)

MOST_OUT = 4  # batches that wait for their safety; what comes meanwhile makes up the next
Waiter = Callable[[bool], None]


class Stage(Enum):
    """How far a holder has come."""

    OPENING = "opening"
    FILLING = "filling"
    WHOLE = "whole"


@dataclass(slots=True, eq=False)
class Batch:
    """Entries that become safe together.  `waiters`: told whether as many have it as the settings ask for."""

    number: int
    items: list[ReplicaEntry] = field(default_factory=list)
    drops: list[str] = field(default_factory=list)
    waiters: list[Waiter] = field(default_factory=list)
    size: int = 0
    local: bool = False


@dataclass(slots=True, eq=False)
class ReplicaStream:
    """One holder.  `since`: from when what is out to it has waited; `behind`: batches that go out after the filling."""

    name: str
    stream: int
    since: float
    stage: Stage = Stage.OPENING
    disk: str = ""  # known once it has answered
    number: int = 0  # last of the stream
    kept: int = 0
    batch: int = 0  # last batch that it keeps
    covered: int = 0  # last batch that the filling brings
    whole_at: int = 0
    again: float = 0.0  # when what is out goes out again
    fill_at: float = 0.0
    reading: int = -1  # the bucket that is being read
    differs: deque[int] = field(default_factory=deque)
    queue: deque[tuple[Append, int, int, float]] = field(default_factory=deque)  # not answered: size, batch, since
    behind: list[Batch] = field(default_factory=list)
    sent: int = 0
    bytes: int = 0  # in the queue
    filled: int = 0  # bytes
    check_at: float = 0.0
    checked: int = 0  # the bucket from which on it is looked at next


class Primary:
    """One book under its owner `me`.  `disk`: the name of its own, `digests`: what that has, asked when needed."""

    def __init__(
        self, book: str, me: str, disk: str, settings: ReplicationSettings, digests: Callable[[], list[int]]
    ) -> None:
        self.book, self.me, self.disk, self.settings, self._digests = book, me, disk, settings, digests
        self.token, self.members = NO_TOKEN, dict[str, str]()
        self.ways: dict[str, ReplicaStream] = {}
        self.out: deque[tuple[str, OpenStream | Append | CloseStream]] = deque()
        self.locals: deque[Batch] = deque()  # to be written to the own disk
        self.reads: deque[tuple[str, int, int]] = deque()  # holder, stream, bucket of the own disk
        self.notes: deque[dict[str, str]] = deque()  # members and their disks, to be left with the lease
        self.ready = False  # the first note under this token is kept: it may act
        self.fenced: FencingToken | None = None  # under which another owns it
        self.failed = False  # the own disk has
        self.noting: dict[str, str] | None = None
        self.short_since: float | None = None  # since when fewer than wanted have the whole
        self.risk_ms = 0.0  # for how long that was so, before that
        self.closing = False  # nobody needs it any more
        self.mended = 0  # buckets that differed at a holder that should have had them
        self.batches_safe = self.entries_safe = self.bytes_out = 0
        self._open: deque[Batch] = deque()
        self._next = Batch(1)
        self._bytes = 0
        self._streams = 0
        self._lost: dict[str, float] = {}  # holders that were given up, and when they may be asked again
        self.leaving: set[str] = set()  # holders that are to be replaced while they still keep what they have
        self._left: set[str] = set()  # those that may still keep what they need not

    # The lease.

    def won(self, now: float, token: FencingToken, members: Mapping[str, str]) -> None:
        """The book is owned under this token; `members` as the note has them, without who is lost for sure."""
        self.token, self.ready, self.fenced = token, False, None
        self._left |= self.ways.keys()
        self.ways, self.noting = {}, None
        self.members = {**members, self.me: self.disk}
        self.notes.clear()
        self._note(self.members)
        if self.short_since is None and not self.full:
            self.short_since = now
        for name in self.members:
            if name != self.me:
                self._begin(now, name)

    def noted(self, now: float) -> None:
        """The last note is kept."""
        if self.noting is None:
            return
        self.members, self.noting, self.ready = self.noting, None, True
        if self.full and self.short_since is not None:
            self.risk_ms += now - self.short_since
            self.short_since = None
        elif not self.full and self.short_since is None:
            self.short_since = now
        self._settle()

    def dismiss(self, name: str) -> None:
        """The owner before need not keep the book, once it is heard."""
        if name not in self.members:
            self._left.add(name)

    def probe(self, said: str) -> None:
        """Without the lease: ask members, and who is said to own the book, whether that is so; they tell by a later
        token."""
        for name in sorted({*self.members, said} - {self.me}):
            self._streams += 1
            self.out.append((name, OpenStream(self.book, self.token, self._streams)))

    @property
    def full(self) -> bool:
        """Whether as many have the whole as the settings ask for."""
        return len(self.members) > self.settings.replica_count

    def takes(self) -> bool:
        """Whether a new call can be promised."""
        return (
            self.ready
            and not self.failed
            and not self.fenced
            and self._bytes < self.settings.max_uncommitted_bytes
            and (self.full or self.settings.allow_under_replicated)
        )

    # What is written.

    def write(self, items: Iterable[ReplicaEntry], waiter: Waiter | None, drops: Iterable[str] = ()) -> None:
        """Write entries down, and forget others.  `waiter` is told once they are safe, True where that is with as many
        as the settings ask for; never, where the book is lost before.  Without entries it tells when all that the own
        disk has is safe: after a takeover nothing found there may be acted on before, as others may not have it."""
        batch = self._next
        for item in items:
            batch.items.append(item)
            batch.size += len(item.id) + len(item.data)
        batch.drops += drops
        if waiter is not None:
            batch.waiters.append(waiter)

    @property
    def waiting(self) -> int:
        """Entries that are not safe yet."""
        return len(self._next.items) + sum(len(batch.items) for batch in self._open)

    def pump(self, now: float) -> None:
        """Send on what has gathered."""
        batch = self._next
        if not (batch.items or batch.drops or batch.waiters) or len(self._open) >= MOST_OUT:
            return
        if not self.token.round or self.failed:
            return
        self._next = Batch(batch.number + 1)
        self._open.append(batch)
        self._bytes += batch.size
        self.locals.append(batch)
        for way in self.ways.values():
            if way.stage is Stage.FILLING and not way.whole_at:
                way.behind.append(batch)
            elif way.stage is not Stage.OPENING:
                self._queue_batch(now, way, batch)

    def written(self, batch: Batch, safe: bool) -> None:
        """What became of a batch on the own disk.  Where that fails nobody knows what is on it, so the book is to be
        given to another."""
        if not safe:
            self.failed = True
            return
        batch.local = True
        self._settle()

    def _settle(self) -> None:
        """Tell of batches that are safe."""
        whole = {way.name for way in self.ways.values() if way.stage is Stage.WHOLE}
        need = {*self.members, *(self.noting or ()), *whole} - {self.me}
        while self._open and self.ready and not self.fenced:
            batch = self._open[0]
            if not batch.local or any(name not in self.ways or self.ways[name].batch < batch.number for name in need):
                return
            self._open.popleft()
            self._bytes -= batch.size
            self.batches_safe += 1
            self.entries_safe += len(batch.items)
            for waiter in batch.waiters:
                waiter(self.full)

    # Holders.

    def seek(self, now: float, heard: Iterable[str], ranked: Iterable[str]) -> None:
        """Open streams to as many as are wanted, in the order of `ranked`; give up those that are not heard."""
        here = set(heard)
        if self.closing:
            ranked = ()
        for way in list(self.ways.values()):
            if way.name not in here and now - way.since >= self.settings.replica_timeout_ms:
                self._give_up(now, way)
        stay = [way for way in self.ways.values() if way.name not in self.leaving]
        for name in ranked:
            if len(stay) >= self.settings.replica_count:
                break
            if name in here - self.leaving - self.ways.keys() - {self.me} and self._lost.get(name, 0.0) <= now:
                stay.append(self._begin(now, name))
        if sum(way.name in self.members for way in stay) >= self.settings.replica_count:
            for way in [way for way in self.ways.values() if way.name in self.leaving]:
                self._give_up(now, way)
        for name in sorted(self._left & here - self.ways.keys()):
            if name not in self.members and self.noting is None and self.ready:
                self._left.discard(name)
                self._streams += 1
                self.out.append((name, CloseStream(self.book, self.token, self._streams)))

    def heard(self, now: float, name: str) -> None:
        """A holder with nothing out to it was heard."""
        way = self.ways.get(name)
        if way is not None and not way.queue and way.stage is Stage.WHOLE:
            way.since = now

    def _begin(self, now: float, name: str) -> ReplicaStream:
        self._streams += 1
        way = self.ways[name] = ReplicaStream(name, self._streams, now, again=now + self.settings.retry_ms)
        self._left.discard(name)
        self.out.append((name, OpenStream(self.book, self.token, way.stream)))
        return way

    def _give_up(self, now: float, way: ReplicaStream) -> None:
        del self.ways[way.name]
        self._lost[way.name] = now + self.settings.reconnect_pause_ms
        self._left.add(way.name)
        self._change()

    def _change(self) -> None:
        """Have the members noted as they should be: whole ones in, lost ones out."""
        if self.noting is not None or not self.token.round or self.closing:
            return
        # One that joins has all that was ever safe: nothing becomes safe without it from when it is whole.
        members = {self.me: self.disk}
        for name, way in sorted(self.ways.items()):
            if (way.stage is Stage.WHOLE and way.batch >= self._done) or (
                name in self.members and way.disk in ("", self.members[name])
            ):
                members[name] = way.disk or self.members[name]
        if members != self.members:
            self._note(members)

    def _note(self, members: dict[str, str]) -> None:
        self.noting = members
        self.notes.append(members)

    def close(self) -> None:
        """All of it is forgotten: nobody is to have it, and holders are told."""
        self.closing = True
        self._left |= self.ways.keys()
        self.ways = {}
        self._note({})

    @property
    def closed(self) -> bool:
        """Whether that is noted, and said."""
        return self.closing and self.noting is None and not self._left

    def received(self, now: float, holder: str, answer: Answer) -> None:
        """A holder's answer; one to another stream says nothing here."""
        if isinstance(answer, FencedReply):
            if answer.token > self.token:
                self.fenced = max(answer.token, self.fenced or NO_TOKEN)
            return
        way = self.ways.get(holder)
        if way is None or (answer.token, answer.stream) != (self.token, way.stream):
            return
        if isinstance(answer, AppendAck):
            self._kept(now, way, answer.number)
        elif way.stage is Stage.OPENING:
            mine = self._digests()
            way.differs.extend(
                n for n, (a, b) in enumerate(zip(mine, unpack_digests(answer.digests), strict=False)) if a != b
            )
            way.stage, way.since, way.disk = Stage.FILLING, now, answer.disk
            # What the own disk has is compared, and so filled up; the rest comes behind that.
            way.covered = max((b.number for b in self._open if b.local), default=self._done)
            way.behind = [batch for batch in self._open if not batch.local]
            self._fill(now, way)
        else:
            self._compare(now, way, answer)

    @property
    def _done(self) -> int:
        """The last batch that is safe."""
        return self._open[0].number - 1 if self._open else self._next.number - 1

    def _fill(self, now: float, way: ReplicaStream) -> None:
        if way.whole_at or way.reading >= 0:
            return
        if way.differs:
            if way.bytes < self.settings.window_bytes and now >= way.fill_at:
                way.reading = way.differs[0]
                self.reads.append((way.name, way.stream, way.reading))
            return
        self._queue(now, way, (), (), batch=way.covered)
        for batch in way.behind:
            self._queue_batch(now, way, batch)
        way.behind, way.whole_at = [], way.number

    def read(self, now: float, name: str, stream: int, bucket: int, items: tuple[ReplicaEntry, ...] | None) -> None:
        """A bucket of the own disk; None: it could not be read, and is read again."""
        way = self.ways.get(name)
        if way is None or way.stream != stream or way.reading != bucket:
            return
        way.reading = -1
        if items is None:
            way.fill_at = now + self.settings.retry_ms
            return
        way.differs.popleft()
        # First all that belongs there, then away with the rest: one that is a member stays whole all the while.
        *parts, last = self._parts(items)
        for part in parts:
            self._queue(now, way, part, ())
        self._queue(now, way, last, (), bucket, tuple((item.id, item.kind) for item in items))
        sent = sum(len(item.id) + len(item.data) for item in items)
        way.filled += sent
        way.fill_at = max(way.fill_at, now) + sent / self.settings.repair_bytes_per_ms
        self._fill(now, way)

    def _queue_batch(self, now: float, way: ReplicaStream, batch: Batch) -> None:
        *parts, last = self._parts(batch.items)
        for part in parts:
            self._queue(now, way, part, ())
        self._queue(now, way, last, tuple(batch.drops), batch=batch.number)

    def _parts(self, items: Iterable[ReplicaEntry]) -> list[tuple[ReplicaEntry, ...]]:
        """Entries as messages of half a window at most, or one entry: a link carries no larger ones."""
        parts, size = list[list[ReplicaEntry]]([[]]), 0
        for item in items:
            add = len(item.id) + len(item.data)
            if parts[-1] and size + add > self.settings.window_bytes // 2:
                parts.append([])
                size = 0
            parts[-1].append(item)
            size += add
        return [tuple(part) for part in parts]

    def _compare(self, now: float, way: ReplicaStream, told: DigestReply) -> None:
        """What a holder's disk has beside the own.  Only while nothing is on its way: else both are right."""
        mine = self._digests()[told.first : told.first + self.settings.verify_buckets]
        if told.number != way.number or any(not batch.local for batch in self._open):
            return
        wrong = [
            told.first + n for n, (a, b) in enumerate(zip(mine, unpack_digests(told.digests), strict=False)) if a != b
        ]
        if wrong:  # it said safe and is not: it is none of those that have the whole until it is filled up again
            self.mended += len(wrong)
            self._give_up(now, way)
            self._lost[way.name] = now

    def _queue(
        self,
        now: float,
        way: ReplicaStream,
        items: tuple[ReplicaEntry, ...],
        drops: tuple[str, ...],
        bucket: int = -1,
        only: tuple[tuple[str, int], ...] = (),
        batch: int = 0,
        check: tuple[int, int] = (0, 0),
    ) -> None:
        way.number += 1
        size = sum(len(item.id) + len(item.data) for item in items)
        if not way.queue:
            way.since, way.again = now, now + self.settings.retry_ms
        way.queue.append(
            (Append(self.book, self.token, way.stream, way.number, items, drops, bucket, only, check), size, batch, now)
        )
        way.bytes += size
        self._send(now, way)

    def _send(self, now: float, way: ReplicaStream) -> None:
        """What fits into the window."""
        left = self.settings.window_bytes
        for put, size, _, since in way.queue:
            if left <= 0:
                return
            left -= size
            if put.number > way.sent:
                self.out.append((way.name, msgspec.structs.replace(put, waited_ms=now - since) if now > since else put))
                self.bytes_out += size
                way.sent = put.number

    def _kept(self, now: float, way: ReplicaStream, number: int) -> None:
        if not way.kept < number <= way.number:
            return
        while way.queue and way.queue[0][0].number <= number:
            _, size, batch, _ = way.queue.popleft()
            way.bytes -= size
            way.batch = max(way.batch, batch)
        way.kept, way.since, way.again = number, now, now + self.settings.retry_ms
        way.sent = max(way.sent, number)
        self._send(now, way)
        if way.stage is Stage.FILLING:
            if way.whole_at and number >= way.whole_at:
                way.stage, way.check_at = Stage.WHOLE, now + self.settings.verify_interval_ms
                self._change()
            else:
                self._fill(now, way)
        self._settle()

    def tick(self, now: float) -> None:
        """Send again what was not answered; give up who has not answered for too long; look at holders' disks."""
        for way in list(self.ways.values()):
            out = way.queue or way.stage is Stage.OPENING
            if out and now - way.since >= self.settings.replica_timeout_ms:
                self._give_up(now, way)
            elif out and now >= way.again:
                way.again = now + self.settings.retry_ms
                if way.stage is Stage.OPENING:
                    self.out.append((way.name, OpenStream(self.book, self.token, way.stream)))
                else:
                    way.sent = way.kept
                    self._send(now, way)
            elif way.stage is Stage.FILLING:
                self._fill(now, way)
            elif not out and now >= way.check_at and self.ready:
                way.check_at = now + self.settings.verify_interval_ms
                upto = min(BUCKETS, way.checked + self.settings.verify_buckets)
                self._queue(now, way, (), (), check=(way.checked, upto))
                way.checked = upto % BUCKETS
        self._change()
        self.pump(now)

    def status(self, now: float) -> dict[str, Any]:
        """What operators are shown; times are ms."""
        since = self.short_since
        return {
            "token": str(self.token),
            "members": sorted(self.members),
            "full": self.full,
            "ready": self.ready,
            "waiting": self.waiting,
            "at_risk_ms": round(now - since) if since is not None and self.token.round else 0,
            "risk_ms": round(self.risk_ms),
            "mended": self.mended,
            "batches": self.batches_safe,
            "entries": self.entries_safe,
            "bytes_out": self.bytes_out,
            "holders": {
                way.name: {
                    "stage": way.stage.value,
                    "behind": way.number - way.kept,
                    "bytes": way.bytes,
                    "filled": way.filled,
                }
                for way in self.ways.values()
            },
        }
