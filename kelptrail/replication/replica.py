"""A holder's side: books of other dispatchers, in the order in which their owners put them; free of I/O and clocks.

A holder takes nothing under an older token than it has seen; it keeps that token before it answers under it, so whoever
has taken over a book is never written past.  A stream's numbers have no gap: what comes before its turn is dropped, and
comes again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from kelptrail.lease.messages import NO_TOKEN, FencingToken

from .messages import Append, AppendAck, CloseStream, DigestReply, FencedReply, OpenStream, ReplicaEntry


@dataclass(slots=True, eq=False)
class Work:
    """Something for the disk, all of it or nothing, in order; then its owner is answered.  `fence`: the token from
    which on nothing older is taken, and who owns the book under it.  `bucket`: of it nothing but `only` stays."""

    book: str
    items: tuple[ReplicaEntry, ...] = ()
    drops: tuple[str, ...] = ()
    bucket: int = -1
    only: tuple[tuple[str, int], ...] = ()
    waited_ms: float = 0.0
    fence: tuple[FencingToken, str] | None = None
    check: tuple[int, int] = (0, 0)  # buckets to be read back
    shut: bool = False
    to: str = ""
    stream: int = 0
    number: int = 0
    wall_ms: float = 0.0  # when it came, set by the host: ages in it count back from there
    digests: bytes = b""  # what was read back


@dataclass(slots=True)
class ReplicaLog:
    """One book.  `number`: the last that was taken in of the stream, `safe`: the last that is kept."""

    token: FencingToken = NO_TOKEN
    owner: str = ""
    stream: int = 0
    number: int = -1
    safe: int = -1


class Replica:
    """All books held.  `shelves`: tokens and owners as the disk has them; `disk`: the name of that which has a book."""

    def __init__(self, shelves: Mapping[str, tuple[FencingToken, str]], disk: Callable[[str], str]) -> None:
        self.disk = disk
        self.shelves = {book: ReplicaLog(token, owner) for book, (token, owner) in shelves.items()}
        self.work: deque[Work] = deque()
        self.out: deque[tuple[str, DigestReply | AppendAck | FencedReply]] = deque()
        self.refused = 0

    def received(self, sender: str, message: OpenStream | Append | CloseStream) -> None:
        """From an owner, or from who believes to be."""
        shelf = self.shelves.get(message.book, ReplicaLog())
        if message.token < shelf.token:
            self.refused += 1
            self.out.append((sender, FencedReply(message.book, shelf.token)))
        elif isinstance(message, OpenStream):
            self._open(sender, shelf, message)
        elif isinstance(message, CloseStream):
            if message.book in self.shelves and (message.token, message.stream) > (shelf.token, shelf.stream):
                self.shut(message.book, message.token, message.stream)
        elif (message.token, message.stream) == (shelf.token, shelf.stream):
            self._put(sender, shelf, message)

    def _open(self, sender: str, shelf: ReplicaLog, message: OpenStream) -> None:
        if message.token == shelf.token and message.stream < shelf.stream:
            return
        if message.token > shelf.token or message.stream > shelf.stream or shelf.number < 0:
            self.shelves[message.book] = ReplicaLog(message.token, sender, message.stream, 0)
            self.work.append(
                Work(message.book, fence=(message.token, sender), check=(0, -1), to=sender, stream=message.stream)
            )
        elif shelf.safe == 0:  # its answer was lost
            self.work.append(Work(message.book, check=(0, -1), to=sender, stream=message.stream))

    def _put(self, sender: str, shelf: ReplicaLog, put: Append) -> None:
        if put.number == shelf.number + 1 and shelf.number >= 0:
            shelf.number += 1
            self.work.append(
                Work(
                    put.book,
                    put.items,
                    put.drops,
                    put.bucket,
                    put.only,
                    put.waited_ms,
                    None,
                    put.check,
                    False,
                    sender,
                    put.stream,
                    put.number,
                )
            )
        elif put.number <= shelf.safe:
            self.out.append((sender, AppendAck(put.book, put.token, put.stream, shelf.safe)))

    def written(self, work: Work, safe: bool) -> None:
        """A work is done, or could not be: then its stream goes on from before it."""
        shelf = self.shelves.get(work.book)
        if shelf is None or not work.to or shelf.stream != work.stream:
            return  # it was shut, or another stream has begun meanwhile
        if not safe:
            shelf.number = min(shelf.number, work.number - 1)
            return
        if work.number == shelf.safe + 1:
            shelf.safe = work.number
        if work.number:
            self.out.append((work.to, AppendAck(work.book, shelf.token, work.stream, shelf.safe)))
        if work.check != (0, 0):
            self.out.append(
                (
                    work.to,
                    DigestReply(
                        work.book,
                        shelf.token,
                        work.stream,
                        work.number,
                        work.check[0],
                        work.digests,
                        self.disk(work.book),
                    ),
                )
            )

    def stands(self, book: str, token: FencingToken) -> bool:
        """Whether nobody has put anything into the book under a later token: guards against going on with what another
        owner has swept off this disk."""
        shelf = self.shelves.get(book)
        return shelf is not None and shelf.token == token

    def shut(self, book: str, token: FencingToken, stream: int = 0) -> None:
        """Forget a book, but for its token: an older owner must not find a holder here that has forgotten who came
        after him.  Nobody owns what is shut."""
        self.shelves[book] = ReplicaLog(token, "", stream)
        self.work.append(Work(book, fence=(token, ""), shut=True))

    def own(self, book: str, token: FencingToken, owner: str) -> Work | None:
        """This dispatcher owns the book from now on: what is to be on disk before it acts.  None where a later token
        has been seen."""
        shelf = self.shelves.get(book, ReplicaLog())
        if token < shelf.token:
            return None
        self.shelves[book] = ReplicaLog(token, owner)
        return Work(book, fence=(token, owner))
