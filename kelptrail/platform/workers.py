"""The connections to the workers: sends, orders and what becomes of them, as seen on the sockets.

What an end proves is read off the socket: no connection made is unreachable; not written whole is unsent; a
connection that ends under a send, or brings what cannot be read, is broken, for all that is open on it.
Nothing is chosen here but the connection, among those to the one worker.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from kelptrail.codec.lines import Answer, LineError, LineReader, cancel, load
from kelptrail.dispatch.terms import Order, Outcome, Send
from kelptrail.net.link import Link, connect

WORDS = {"OK": Outcome.COMPLETED, "MISS": Outcome.MISS, "BUSY": Outcome.FULL, "ERR": Outcome.ERROR,
         "VOID": Outcome.UNSENT}
WAITING = 1 << 20  # bytes that a worker may leave unread

Item = Send | Order
Ended = Callable[[Item, Outcome, Answer | None], None]


class Bounds:
    """What the settings say of connections to workers, and how many there may be to one."""

    __slots__ = ("answer_bytes", "connect_ms", "idle_ms", "most", "streams")

    def __init__(self, connect_ms: float, idle_ms: float, streams: int, most: int, answer_bytes: int) -> None:
        self.connect_ms, self.idle_ms, self.streams, self.most = connect_ms, idle_ms, streams, most
        self.answer_bytes = answer_bytes


class Connection:
    """One connection and what is open on it."""

    __slots__ = ("_loop", "_owner", "_reader", "_task", "_waiting", "doubtful", "heard", "link", "open", "used")

    def __init__(self, owner: WorkerLinks, loop: asyncio.AbstractEventLoop) -> None:
        self._owner, self._loop = owner, loop
        self._reader = LineReader(owner.bounds.answer_bytes)
        self._waiting: list[tuple[str, bytes]] = []
        self.open: dict[str, tuple[Item, int]] = {}  # and how much must be written for it to have arrived
        self.doubtful = False  # something on it was given up unanswered, and nothing was heard since
        self.used = self.heard = loop.time()
        self.link: Link | None = None
        self._task: asyncio.Task[None] | None = loop.create_task(self._connect())

    @property
    def rank(self) -> tuple[bool, int, float]:
        """The least is used next: one heard of, with the least open, the last used: long idle ones may be dead."""
        return self.doubtful, len(self.open), -self.used

    def start(self, id_: str, item: Item, data: bytes) -> None:
        """Open something on it."""
        self.used = self._loop.time()
        if self.link is None:
            self.open[id_] = item, 0
            self._waiting.append((id_, data))
        else:
            self.open[id_] = item, self.link.write(data)

    def give_up(self, id_: str) -> bool:
        """Open no longer; whether it may have arrived."""
        _, needs = self.open.pop(id_)
        if self.link is None:
            self._waiting = [(other, data) for other, data in self._waiting if other != id_]
            return False
        self.doubtful = True
        self.link.write(cancel(id_))
        return self.link.written >= needs

    def stalled(self, now: float) -> bool:
        """Whether an answer broke off in its middle."""
        return self._reader.partial and now - self.heard > self._owner.bounds.connect_ms / 1000

    def close(self) -> None:
        """Close; what is open on it ends as broken, or as unsent."""
        if self._task is not None:
            self._task.cancel()
        if self.link is not None:
            self.link.close()
        self._over(Outcome.UNSENT)

    async def _connect(self) -> None:
        try:
            sock = await connect(self._loop, self._owner.address, self._owner.bounds.connect_ms)
        except asyncio.CancelledError:  # by `close`, which has told what becomes of what waited
            return
        except OSError:
            self._task = None
            self._over(Outcome.UNREACHABLE)
            return
        self._task = None
        self.heard = self._loop.time()
        self.link = Link(self._loop, sock, self._got, self._ended, WAITING)
        for id_, data in self._waiting:
            self.open[id_] = self.open[id_][0], self.link.write(data)
        self._waiting = []

    def _got(self, data: memoryview) -> None:
        self.heard = self._loop.time()
        self._reader.feed(data)
        try:
            while (answer := self._reader.next()) is not None:
                self.doubtful = False
                found = self.open.pop(answer.id, None)
                if found is not None:  # else a second copy, a late one, or one that nobody asked for
                    self.used = self.heard
                    self._owner.finished(found[0], WORDS.get(answer.word, Outcome.BROKEN), answer)
        except LineError as cause:
            self._owner.note("worker unreadable", worker=self._owner.id, cause=str(cause))
            self.close()

    def _ended(self) -> None:
        self._over(Outcome.UNSENT)

    def _over(self, unsent: Outcome) -> None:
        self._owner.gone(self)
        ended, self.open, self._waiting = self.open, {}, []
        written = self.link.written if self.link is not None else -1
        for item, needs in ended.values():
            self._owner.finished(item, Outcome.BROKEN if written >= needs else unsent, None)


class WorkerLinks:
    """The connections to one worker; `ended` is called once for each send and order that was not given up."""

    def __init__(self, loop: asyncio.AbstractEventLoop, id_: str, address: tuple[str, int], bounds: Bounds,
                 ended: Ended, note: Callable[..., Any]) -> None:
        self._loop, self.id, self.address, self.bounds = loop, id_, address, bounds
        self._ended, self.note = ended, note
        self._connections: dict[Connection, None] = {}
        self._at: dict[Item, tuple[Connection, str]] = {}
        self._tags = 0

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def open(self) -> int:
        """Sends and orders that are open."""
        return sum(len(connection.open) for connection in self._connections)

    def send(self, send: Send, data: bytes) -> None:
        """Carry out a send."""
        self._start(send.act.id, send, data)

    def order(self, order: Order) -> None:
        """Carry out a hold order."""
        self._tags += 1
        tag = f"o{self._tags}"
        self._start(tag, order, load(tag, order.copy.function.id, order.count))

    def give_up(self, item: Item) -> bool | None:
        """Call something off; whether it may have arrived.  None: it has ended."""
        at = self._at.pop(item, None)
        return None if at is None else at[0].give_up(at[1])

    def sweep(self) -> None:
        """Close connections that have idled, that stalled in an answer, or that are no longer trusted."""
        now = self._loop.time()
        for connection in list(self._connections):
            if connection.stalled(now):
                self.note("worker stalled in an answer", worker=self.id)
                connection.close()
            elif not connection.open and (
                    connection.doubtful or (now - connection.used) * 1000 > 0.2 * self.bounds.idle_ms):
                connection.close()

    def close(self) -> None:
        """Close all; what is open ends."""
        for connection in list(self._connections):
            connection.close()

    def finished(self, item: Item, outcome: Outcome, answer: Answer | None) -> None:
        """Something open has ended."""
        del self._at[item]
        self._ended(item, outcome, answer)

    def gone(self, connection: Connection) -> None:
        """A connection has ended."""
        self._connections.pop(connection, None)

    def _start(self, id_: str, item: Item, data: bytes) -> None:
        best = None
        for connection in self._connections:
            if id_ in connection.open or len(connection.open) >= self.bounds.streams:
                continue
            if best is None or connection.rank < best.rank:
                best = connection
        if best is None or ((best.open or best.doubtful) and len(self._connections) < self.bounds.most):
            best = Connection(self, self._loop)
            self._connections[best] = None
        self._at[item] = best, id_
        best.start(id_, item, data)
