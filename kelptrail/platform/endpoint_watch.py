"""Follows the platform's worker list: connects, asks for what came after the last event, and asks again.

The list tells a whole event each second, be it an empty one, so silence says that something is wrong; it does not say
whether with the connection or with a service that is slow.  A further connection is opened beside the silent one, and
whichever speaks first is kept.  A break is followed by a new connection at once, then at growing pauses.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from functools import partial

from kelptrail.codec.feed import EndpointEvent, FeedError, FeedReader, encode_poll
from kelptrail.net.connection import Connection, connect

SILENT_MS = 2_000.0  # two of the list's empty events are missing
LONGEST_SILENT_MS = 8_000.0  # while bytes come, and no whole event
CONNECT_PATIENCE_MS = 1_000.0  # after which a further connection is tried beside one that is not up
LONGEST_CONNECT_MS = 8_000.0
PAUSE_MS, LONGEST_PAUSE_MS = 50.0, 1_000.0
MOST_CONNECTIONS = 4  # at a time, those that are not up yet among them
KEPT_DESCRIPTORS = 2  # for a connection that tells and one to the next address
UNREAD_BYTES = 1 << 16


class Watch:
    """One connection to the list, from the connect to its end."""

    def __init__(self, feed: EndpointWatch, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        self._feed, self._loop, self.address = feed, loop, address
        self.reader = feed.new_reader()
        self.since = loop.time()  # opened, came up, or last told a whole event
        self.opened = self.since
        self.heard = 0  # whole events, empty ones among them
        self.trickles = False  # bytes came since the last whole event
        self.link: Connection | None = None
        self.closed = False
        self._task: asyncio.Task[None] | None = loop.create_task(self._connect())

    async def _connect(self) -> None:
        self._feed.spend_one()  # in the same turn the connect takes the descriptor
        try:
            sock = await connect(self._loop, self.address, LONGEST_CONNECT_MS)
        except OSError as cause:
            self._feed.note("feed unreachable", cause=str(cause))
            self._end()
            return
        finally:
            self._task = None
        if self.closed:
            sock.close()
            return
        self.since = self._loop.time()
        self.link = Connection(self._loop, sock, partial(self._feed.got, self), self._end, UNREAD_BYTES)
        self._feed.connected(self)

    def _end(self) -> None:
        if not self.closed:
            self.closed = True
            self._feed.ended(self)

    def fail(self) -> None:
        """End it from within: nothing further of it is used."""
        link, self.link = self.link, None
        if link is not None:
            link.close()
        self._end()

    def close(self) -> None:
        """Close it; nothing is told of it any more."""
        self.closed = True
        if self._task is not None:
            self._task.cancel()
        if self.link is not None:
            self.link.close()


class EndpointWatch:
    """One follower; `told` gets each new event, in order and once.  Descriptors are kept for its next connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        number: int,
        reader: Callable[[], FeedReader],
        told: Callable[[EndpointEvent], None],
        note: Callable[..., None],
    ) -> None:
        self._loop, self._address, self.new_reader, self._told, self._note = loop, address, reader, told, note
        self.number = number
        self.heard_at = loop.time()  # when the list was last heard to tell nothing more than is known
        self._watches: list[Watch] = []  # the oldest first
        self._short = 0  # connections in a row that told nothing, or served for a short time
        self._patience_ms = SILENT_MS
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._kept: list[int] = []
        self._keep()
        self._open()

    def note(self, event: str, **fields: object) -> None:
        """A line of the log."""
        self._note(event, **fields)

    def moved(self, address: tuple[str, int]) -> None:
        """The list is at another address: it is asked there at once, beside what is under way.  At the same address it
        is asked again after a while: who is told the same over and over must not ask a crowded service as often."""
        if address == self._address:
            last = self._newest
            again = last.opened + LONGEST_PAUSE_MS / 1000 if last is not None else self._due
            self._wake_at(min(self._due, max(self._loop.time(), again)))
            return
        self._address = address
        under_way = next((watch for watch in self._watches if watch.address == address), None)
        if under_way is None:
            self._open()
            return
        self._watches.remove(under_way)  # it is the newest again
        self._watches.append(under_way)
        patience_ms = CONNECT_PATIENCE_MS if under_way.link is None else SILENT_MS
        self._wake_at(under_way.since + patience_ms / 1000)

    def close(self) -> None:
        """Follow no longer."""
        if self._timer is not None:
            self._timer.cancel()
        for watch in self._watches:
            watch.close()
        self._watches.clear()
        while self._kept:
            self.spend_one()

    # What the connections tell.

    def connected(self, watch: Watch) -> None:
        """A connection is up."""
        self._keep()
        if watch.link is not None:
            watch.link.write(encode_poll(self.number))
        if watch is self._newest:
            self._wake_at(watch.since + self._patience_ms / 1000)

    def ended(self, watch: Watch) -> None:
        """A connection has ended, or could not be made."""
        if watch not in self._watches:
            return
        newest = watch is self._newest
        self._watches.remove(watch)
        self._keep()
        if watch.address != self._address or not newest:
            return
        served_long = watch.heard and (self._loop.time() - watch.opened) * 1000 > LONGEST_PAUSE_MS
        self._short = 1 if served_long else self._short + 1
        doublings = self._short - 1 - bool(watch.heard)
        pause_ms = min(LONGEST_PAUSE_MS, PAUSE_MS * 2 ** min(doublings, 10)) if doublings >= 0 else 0.0
        self._wake_at(self._loop.time() + pause_ms / 1000)

    def got(self, watch: Watch, data: memoryview) -> None:
        """Bytes came."""
        if watch.closed:
            return
        watch.reader.feed(data)
        watch.trickles = True
        try:
            while not watch.closed and (event := watch.reader.next()) is not None:
                self._take(event)
                self._heard(watch)
        except FeedError as cause:
            self.note("feed unreadable", cause=str(cause))
            watch.fail()
        except Exception as cause:  # it must not end the following
            self._loop.call_exception_handler({"message": "an event could not be taken in", "exception": cause})
            watch.fail()

    def _take(self, event: EndpointEvent) -> None:
        if event.number <= self.number:
            return
        if event.records is None:
            raise FeedError("events are missing")
        if event.number != self.number + 1 and not event.is_snapshot:
            raise FeedError(f"event {event.number} after {self.number}")
        self._told(event)
        self.number = event.number  # after it was taken in: one that fails is asked for again

    def _heard(self, watch: Watch) -> None:
        """A whole event: where it is of the address that counts, no other connection is of use."""
        watch.heard += 1
        watch.trickles = False
        watch.since = self.heard_at = self._loop.time()
        if watch.address != self._address:
            return
        self._patience_ms = SILENT_MS
        for other in [other for other in self._watches if other is not watch]:
            self._drop(other)
        if watch in self._watches:
            self._wake_at(watch.since + SILENT_MS / 1000)

    # When to ask again.

    @property
    def _newest(self) -> Watch | None:
        return self._watches[-1] if self._watches else None

    def _open(self) -> None:
        """Ask on a new connection, beside those that there are."""
        while len(self._watches) >= MOST_CONNECTIONS:
            self._drop(self._watches[0])
        watch = Watch(self, self._loop, self._address)
        self._watches.append(watch)
        self._wake_at(watch.opened + CONNECT_PATIENCE_MS / 1000)

    def _drop(self, watch: Watch) -> None:
        watch.close()
        self._watches.remove(watch)
        self._keep()

    def _wake_at(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = self._loop.call_at(due, self._overdue)

    def _overdue(self) -> None:
        """Nothing was heard in time, or a pause is over."""
        newest = self._newest
        if newest is not None and newest.address == self._address:
            self.note("feed silent" if newest.link is not None else "feed slow to connect", number=self.number)
            # Guards against a link too slow for one event within the usual time: it is given more.
            self._patience_ms = min(LONGEST_SILENT_MS, 2 * self._patience_ms) if newest.trickles else SILENT_MS
        self._open()

    def _keep(self) -> None:
        """Hold descriptors for the next connections.  Guards against clients that fill them all while the list is
        down."""
        with contextlib.suppress(OSError):
            while len(self._kept) < KEPT_DESCRIPTORS:
                self._kept.append(os.open(os.devnull, os.O_RDONLY))

    def spend_one(self) -> None:
        """Let a descriptor go, for the connection that is about to be made."""
        if self._kept:
            os.close(self._kept.pop())
