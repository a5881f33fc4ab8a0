"""How an owner's batches come to those that hold its book: owner's and holder's side; free of I/O and clocks.

A stream is one owner's under one token to one holder.  Batches are numbered without a gap; a holder keeps them in that
order and answers with the last that it keeps, so one answer counts for all before it, and what was lost on the way is
sent again from there.  A holder takes nothing under an older token than it has seen; it keeps that token before it
answers under it, so whoever has taken over the book is never written past.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from kelptrail.lease.terms import NONE, Token


class Put(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """A batch of an owner's book; `items`: (id, kind, bytes) as the book keeps them."""

    owner: str
    token: Token
    number: int
    items: tuple[tuple[str, int, bytes], ...]


class Kept(msgspec.Struct, frozen=True, tag="kept", array_like=True):
    """All batches up to `number` are kept, as safe as the settings ask for."""

    owner: str
    token: Token
    number: int


class Fenced(msgspec.Struct, frozen=True, tag="fenced", array_like=True):
    """A later token has been seen: nothing more is taken under an older one."""

    owner: str
    token: Token


@dataclass(slots=True)
class Way:
    """One holder as its owner sees it.  `since`: from when its oldest unanswered batch has waited; `sent`: the last
    batch that went out since anything was heard to be lost."""

    name: str
    kept: int = 0
    sent: int = 0
    since: float = 0.0


@dataclass(slots=True)
class Out:
    """A batch that some holder has not answered for."""

    number: int
    items: tuple[tuple[str, int, bytes], ...]
    size: int


@dataclass(frozen=True, slots=True)
class StreamSettings:
    """`again_ms`: an unanswered batch is sent again; `slow_ms`: a holder that has not answered for so long is given up;
    `most_bytes`: that wait for the slowest."""

    again_ms: float = 300.0
    slow_ms: float = 2000.0
    most_bytes: int = 64 << 20


class Sender:
    """The owner's side, under one token; `holders` have the book up to here."""

    def __init__(self, owner: str, token: Token, holders: Iterable[str], settings: StreamSettings, now: float) -> None:
        self.owner, self.token, self._settings = owner, token, settings
        self.ways = {name: Way(name, since=now) for name in holders}
        self.out: deque[tuple[str, Put]] = deque()
        self.lost: deque[str] = deque()  # holders that were given up
        self.fenced: Token | None = None  # by whom: this owner's word counts no more
        self._open: deque[Out] = deque()
        self._number = self._bytes = 0

    @property
    def room(self) -> bool:
        """Whether another batch may wait."""
        return self._bytes < self._settings.most_bytes

    def put(self, now: float, items: tuple[tuple[str, int, bytes], ...]) -> int:
        """Send a batch to all holders; its number."""
        self._number += 1
        size = sum(len(id_) + len(data) for id_, _, data in items)
        self._open.append(Out(self._number, items, size))
        self._bytes += size
        for way in self.ways.values():
            if way.kept == self._number - 1:
                way.since = now
            self._send(way)
        if not self.ways:
            self._drop()
        return self._number

    def safe(self) -> int:
        """The last batch that all holders keep; the last one put where there is none: who needs some asks `ways`."""
        return min((way.kept for way in self.ways.values()), default=self._number)

    def received(self, now: float, holder: str, answer: Kept | Fenced) -> None:
        """A holder's answer; one to another token's stream says nothing here."""
        if isinstance(answer, Fenced):
            if answer.token > self.token:
                self.fenced = max(answer.token, self.fenced or NONE)
            return
        way = self.ways.get(holder)
        if way is None or answer.token != self.token or not way.kept < answer.number <= self._number:
            return
        way.kept, way.since = answer.number, now
        way.sent = max(way.sent, way.kept)
        self._drop()

    def tick(self, now: float) -> None:
        """Send again what was not answered; give up who has not answered for too long."""
        for way in list(self.ways.values()):
            waited = now - way.since
            if way.kept == self._number or waited < self._settings.again_ms:
                continue
            if waited >= self._settings.slow_ms:
                del self.ways[way.name]
                self.lost.append(way.name)
                self._drop()
            else:
                way.sent = way.kept
                self._send(way)

    def _send(self, way: Way) -> None:
        for batch in self._open:
            if batch.number > way.sent and self.fenced is None:
                self.out.append((way.name, Put(self.owner, self.token, batch.number, batch.items)))
                way.sent = batch.number

    def _drop(self) -> None:
        safe = self.safe()
        while self._open and self._open[0].number <= safe:
            self._bytes -= self._open.popleft().size


@dataclass(frozen=True, slots=True)
class Keep:
    """To be made safe, all or nothing, in order; then the owner is answered."""

    put: Put
    to: str


@dataclass(slots=True)
class Shelf:
    """One owner's book at a holder.  `number`: the last batch taken in, `safe`: the last that is kept."""

    token: Token = NONE
    number: int = 0
    safe: int = 0
    items: dict[tuple[str, int], bytes] = field(default_factory=dict)


class Holder:
    """A holder's side, of all owners.  `shelves`: what its disk held."""

    def __init__(self, shelves: dict[str, Shelf] | None = None) -> None:
        self.shelves = shelves or {}
        self.writes: deque[Keep] = deque()
        self.out: deque[tuple[str, Kept | Fenced]] = deque()
        self.refused = 0

    def received(self, sender: str, put: Put) -> None:
        """A batch.  One that comes before its turn is dropped: it comes again."""
        shelf = self.shelves.setdefault(put.owner, Shelf())
        if put.token < shelf.token:
            self.refused += 1
            self.out.append((sender, Fenced(put.owner, shelf.token)))
            return
        if put.token > shelf.token:
            if put.number != 1:
                return
            shelf.token, shelf.number, shelf.safe = put.token, 0, 0
        if put.number == shelf.number + 1:
            shelf.number += 1
            self.writes.append(Keep(put, sender))
        elif put.number <= shelf.safe:
            self.out.append((sender, Kept(put.owner, put.token, shelf.safe)))

    def written(self, write: Keep, safe: bool) -> None:
        """A batch is kept, or could not be: then the stream goes on from before it."""
        put, shelf = write.put, self.shelves[write.put.owner]
        if put.token != shelf.token:
            return  # a later owner's stream has begun meanwhile
        if not safe:
            shelf.number = min(shelf.number, put.number - 1)
        elif put.number == shelf.safe + 1:
            for id_, kind, data in put.items:
                shelf.items.setdefault((id_, kind), data)  # written again: left as it was
            shelf.safe = put.number
            self.out.append((write.to, Kept(put.owner, put.token, shelf.safe)))

    def fence(self, owner: str, token: Token) -> bool:
        """From now on nothing older is taken: whoever resumes the book asks for this first.  It must be on disk before
        anybody is told."""
        shelf = self.shelves.setdefault(owner, Shelf())
        if token < shelf.token:
            return False
        if token > shelf.token:
            shelf.token, shelf.number, shelf.safe = token, 0, 0
        return True
