"""The connections to the workers: sends, orders and what becomes of them, as seen on the sockets.

What an end proves is read off the socket: no connection made is unreachable; not written whole is unsent; a
connection that ends under a send, or brings what cannot be read, is broken, for all that is open on it.
Nothing is chosen here but the connection, among those to the one worker.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kelptrail.codec.lines import LineError, LineReader, WorkerAnswer, encode_cancel, encode_load
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder
from kelptrail.net.connection import Connection, PendingWrite, connect
from kelptrail.net.errors import is_local_shortage

WORDS = {
    "OK": AttemptStatus.COMPLETED,
    "MISS": AttemptStatus.NOT_LOADED,
    "BUSY": AttemptStatus.OUT_OF_CAPACITY,
    "ERR": AttemptStatus.ERROR,
    "VOID": AttemptStatus.NOT_SENT,
}
WAITING = 1 << 20  # bytes that a worker may leave unread
UNSENT_IN_KERNEL = 16_384  # bytes that the kernel may hold unsent: what it holds can be neither changed nor taken back

Item = Attempt | LoadOrder
Ended = Callable[[Item, AttemptStatus, WorkerAnswer | None], None]
Make = Callable[[], bytes]


@dataclass(slots=True)
class Opened:
    """Something that is open on a connection: how its bytes are made, and their piece once the connection is up."""

    item: Item
    make: Make
    size: int
    piece: PendingWrite | None = None


class Bounds:
    """What the settings say of connections to workers, how many there may be to one and to all, and how many are held.

    `cancels`: whether a send may be called off; `parallel`: whether two of one activation may be out at once;
    `longest_ms`: an id is of use for so long; `make_room`: closes an idle connection to any worker, and says whether
    there was one."""

    __slots__ = (
        "answer_bytes",
        "cancels",
        "connect_ms",
        "held",
        "idle_ms",
        "longest_ms",
        "make_room",
        "most",
        "most_in_all",
        "parallel",
        "streams",
    )

    def __init__(
        self,
        connect_ms: float,
        idle_ms: float,
        streams: int,
        most_in_all: int,
        answer_bytes: int,
        cancels: bool,
        parallel: bool,
        longest_ms: float,
        make_room: Callable[[], bool],
    ) -> None:
        self.connect_ms, self.idle_ms, self.streams, self.most = connect_ms, idle_ms, streams, 1
        self.most_in_all, self.held, self.make_room = most_in_all, 0, make_room
        self.answer_bytes, self.cancels, self.parallel, self.longest_ms = answer_bytes, cancels, parallel, longest_ms


class WorkerConnection:
    """One connection and what is open on it."""

    __slots__ = (
        "_loop",
        "_owner",
        "_reader",
        "_task",
        "doubtful",
        "heard",
        "link",
        "open",
        "spent",
        "used",
    )

    def __init__(self, owner: WorkerConnections, loop: asyncio.AbstractEventLoop) -> None:
        self._owner, self._loop = owner, loop
        self._reader = LineReader(owner.bounds.answer_bytes)
        self.open: dict[str, Opened] = {}  # in the order in which it was opened
        self.spent: dict[str, float] = {}  # ids that were used on it, and until when an answer of then may still come
        self.doubtful = False  # something on it was given up unanswered, and nothing was heard since
        self.used = self.heard = loop.time()
        self.link: Connection | None = None
        self._task: asyncio.Task[None] | None = loop.create_task(self._connect())

    @property
    def rank(self) -> tuple[bool, int, float]:
        """The least is used next: one heard of, with the least open, the last used: long idle ones may be dead."""
        return self.doubtful, len(self.open), -self.used

    def start(self, id_: str, item: Item, make: Make, size: int) -> None:
        """Open something on it, whose bytes `make` makes when they leave; where it makes none, it ends as unsent."""
        self.used = self._loop.time()
        self.spent[id_] = self.used + self._owner.bounds.longest_ms / 1000
        opened = self.open[id_] = Opened(item, make, size)
        if self.link is not None:
            self._write(self.link, opened)

    def _write(self, link: Connection, opened: Opened) -> None:
        def made() -> bytes:
            data = opened.make()
            if not data:
                self._loop.call_soon(self._owner.unsent, opened.item)
            return data

        opened.piece = link.write_deferred(made, opened.size)

    def withdraw(self, id_: str) -> bool:
        """Take back what has not begun to leave."""
        piece = self.open[id_].piece
        if piece is not None and self.link is not None and not self.link.cancel_unsent(piece):
            return False
        del self.open[id_]
        return True

    def give_up(self, id_: str) -> bool:
        """Open no longer; whether it may arrive: what has begun to leave goes on, as the peer counts its bytes."""
        if self.withdraw(id_):
            return False
        del self.open[id_]
        self.doubtful = True
        if self._owner.bounds.cancels and self.link is not None:
            self.link.write(encode_cancel(id_))
            self.link.flush_now()  # a further send, on a link that was written to before, must not overtake it
            if self.link.has_pending_writes and not self._owner.bounds.parallel:
                self.close()  # the worker does not read: the end of its connection gives up what it was sent
        return True

    def forget(self, now: float) -> None:
        """Ids under which nothing of before can come any more."""
        for id_ in [id_ for id_, until in self.spent.items() if until < now and id_ not in self.open]:
            del self.spent[id_]

    def stalled(self, now: float) -> bool:
        """Whether an answer broke off in its middle."""
        return self._reader.partial and now - self.heard > self._owner.bounds.connect_ms / 1000

    def close(self) -> None:
        """Close; what is open on it ends as broken, or as unsent."""
        if self._task is not None:
            self._task.cancel()
        if self.link is not None:
            self.link.close()
        self._over(AttemptStatus.NOT_SENT)

    async def _connect(self) -> None:
        try:
            sock = await connect(self._loop, self._owner.address, self._owner.bounds.connect_ms)
        except asyncio.CancelledError:  # by `close`, which has told what becomes of what waited
            return
        except OSError as cause:
            self._task = None  # without a descriptor for it nothing is known of the worker
            status = AttemptStatus.NOT_SENT if is_local_shortage(cause) else AttemptStatus.UNREACHABLE
            self._owner.note("worker connect failed", worker=self._owner.id, cause=cause, outcome=status.value)
            self._over(status)
            return
        self._task = None
        self.heard = self._loop.time()
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_IN_KERNEL)
        self.link = Connection(self._loop, sock, self._got, self._ended, WAITING)
        for opened in self.open.values():
            self._write(self.link, opened)

    def _got(self, data: memoryview) -> None:
        self.heard = self._loop.time()
        self._reader.feed(data)
        try:
            while (answer := self._reader.next()) is not None:
                self.doubtful = False
                found = self.open.pop(answer.id, None)
                if found is not None:  # else a second copy, a late one, or one that nobody asked for
                    self.used = self.heard  # a second copy comes soon, if one comes
                    self.spent[answer.id] = self.heard + self._owner.bounds.connect_ms / 1000
                    self._owner.finished(found.item, WORDS.get(answer.status, AttemptStatus.CONNECTION_LOST), answer)
        except LineError as cause:
            self._owner.note("worker unreadable", worker=self._owner.id, cause=str(cause))
            self.close()

    def _ended(self) -> None:
        self._over(AttemptStatus.NOT_SENT)

    def _over(self, unsent: AttemptStatus) -> None:
        self._owner.gone(self)
        ended, self.open = self.open, {}
        for opened in ended.values():
            arrived = opened.piece is not None and opened.piece.sent
            self._owner.finished(opened.item, AttemptStatus.CONNECTION_LOST if arrived else unsent, None)


class WorkerConnections:
    """The connections to one worker; `ended` is called once for each send and order that was not given up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        id_: str,
        address: tuple[str, int],
        bounds: Bounds,
        ended: Ended,
        note: Callable[..., Any],
    ) -> None:
        self._loop, self.id, self.address, self.bounds = loop, id_, address, bounds
        self._ended, self.note = ended, note
        self._connections: dict[WorkerConnection, None] = {}
        self._at: dict[Item, tuple[WorkerConnection, str]] = {}
        self._tags = 0

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def open(self) -> int:
        """Sends and orders that are open."""
        return sum(len(connection.open) for connection in self._connections)

    def send(self, attempt: Attempt, make: Make, size: int) -> None:
        """Carry out a send, whose bytes are made as they leave."""
        self._start(attempt.request.id, attempt, make, size)

    def order(self, order: LoadOrder, may_leave: Callable[[], bool]) -> None:
        """Carry out a hold order, if it may still leave once the connection takes it."""
        self._tags += 1
        tag = f"o{self._tags}"
        data = encode_load(tag, order.instance.function.id, order.count)
        self._start(tag, order, lambda: data if may_leave() else b"", len(data))

    def unsent(self, item: Item) -> None:
        """It was not to leave any more."""
        if self.withdraw(item):
            self._ended(item, AttemptStatus.NOT_SENT, None)

    def give_up(self, item: Item) -> bool | None:
        """Call something off; whether it may arrive.  None: it has ended."""
        at = self._at.pop(item, None)
        return None if at is None else at[0].give_up(at[1])

    def withdraw(self, item: Item) -> bool:
        """Take something back that has not begun to leave; whether it was."""
        at = self._at.get(item)
        if at is None or not at[0].withdraw(at[1]):
            return False
        del self._at[item]
        return True

    def withdraw_all(self) -> list[Item]:
        """Take back all that has not begun to leave."""
        return [item for item in list(self._at) if self.withdraw(item)]

    @property
    def idlest(self) -> WorkerConnection | None:
        """The connection with nothing open that was used the longest ago."""
        return min((each for each in self._connections if not each.open), key=lambda each: each.used, default=None)

    def unreached(self) -> None:
        """Close connections that are not up yet: who will answer at the address is not certain any more."""
        for connection in [each for each in self._connections if each.link is None]:
            connection.close()

    def sweep(self) -> None:
        """Close connections that have idled, that stalled in an answer, or that are no longer trusted."""
        now = self._loop.time()
        for connection in list(self._connections):
            if connection.stalled(now):
                self.note("worker stalled in an answer", worker=self.id)
                connection.close()
            elif not connection.open and (
                connection.doubtful or (now - connection.used) * 1000 > 0.2 * self.bounds.idle_ms
            ):
                connection.close()
            else:
                connection.forget(now)

    def close(self) -> None:
        """Close all; what is open ends."""
        for connection in list(self._connections):
            connection.close()

    def finished(self, item: Item, status: AttemptStatus, answer: WorkerAnswer | None) -> None:
        """Something open has ended."""
        del self._at[item]
        self._ended(item, status, answer)

    def gone(self, connection: WorkerConnection) -> None:
        """A connection has ended."""
        if connection in self._connections:
            del self._connections[connection]
            self.bounds.held -= 1

    def _start(self, id_: str, item: Item, make: Make, size: int) -> None:
        best, now = None, self._loop.time()
        for connection in self._connections:
            # Guards against a second answer to what went there before under this id: it would be taken for the first.
            used = id_ in connection.open or connection.spent.get(id_, now) > now
            if used or len(connection.open) >= self.bounds.streams:
                continue
            if best is None or connection.rank < best.rank:
                best = connection
        if best is None or ((best.open or best.doubtful) and self._room()):
            if best is None and not self._room():  # the bounds hold: one that idles makes way, here or elsewhere
                if (idle := self.idlest) is not None:
                    idle.close()
                elif len(self._connections) >= self.bounds.most or not self.bounds.make_room():
                    self._ended(item, AttemptStatus.NOT_SENT, None)
                    return
            best = WorkerConnection(self, self._loop)
            self._connections[best] = None
            self.bounds.held += 1
        self._at[item] = best, id_
        best.start(id_, item, make, size)

    def _room(self) -> bool:
        return len(self._connections) < self.bounds.most and self.bounds.held < self.bounds.most_in_all
