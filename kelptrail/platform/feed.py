"""Follows the platform's worker list: connects, asks for what came after the last event, and asks again.

A break is followed by a new connection at once, then at growing pauses; so is a feed that falls silent, as it
tells a whole event each second, be it an empty one.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from functools import partial

from kelptrail.codec.feed import Event, FeedError, FeedReader, ask
from kelptrail.net.link import Link, connect

SILENT_MS = 2_000.0  # two of the feed's empty events are missing
LONGEST_SILENT_MS = 8_000.0  # while bytes come, and no whole event
PAUSE_MS, LONGEST_PAUSE_MS = 50.0, 1_000.0


class Feed:
    """One follower; `told` gets each new event, in order and once.  A descriptor is kept for its next connection."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        number: int,
        reader: Callable[[], FeedReader],
        told: Callable[[Event], None],
        note: Callable[..., None],
        connect_ms: float,
    ) -> None:
        self._loop, self._address, self._reader, self._told, self._note = loop, address, reader, told, note
        self.number, self._connect_ms = number, connect_ms
        self._link: Link | None = None
        self._heard = 0  # whole events that came, empty ones among them
        self._trickles = False  # bytes came since the last whole event
        self._kept: int | None = None
        self._keep()
        self._task = loop.create_task(self._follow())

    def moved(self, address: tuple[str, int]) -> None:
        """The feed is at another address, or should be asked again where it is: at once, whatever was under way."""
        self._address = address
        self._task.cancel()
        self._task = self._loop.create_task(self._follow())

    def close(self) -> None:
        """Follow no longer."""
        self._task.cancel()
        if self._link is not None:
            self._link.close()
        self._spend()

    def _keep(self) -> None:
        """Hold a descriptor for the next connection.  Guards against clients that fill them all while the feed is
        down."""
        if self._kept is None:
            with contextlib.suppress(OSError):
                self._kept = os.open(os.devnull, os.O_RDONLY)

    def _spend(self) -> None:
        kept, self._kept = self._kept, None
        if kept is not None:
            os.close(kept)

    async def _follow(self) -> None:
        short, patience = 0, SILENT_MS  # connections in a row that served for a short time
        while True:
            over, heard, began = asyncio.Event(), self._heard, self._loop.time()
            self._trickles = False
            self._spend()
            try:
                sock = await connect(self._loop, self._address, self._connect_ms)
            except OSError as cause:
                self._note("feed unreachable", cause=str(cause))
            else:
                old, got = self._link, partial(self._got, self._reader(), over)
                self._link = Link(self._loop, sock, got, over.set, 1 << 16)
                self._link.write(ask(self.number))
                if old is not None:  # held till now: what it still told was taken
                    old.close()
                self._keep()
                await self._hear(over, patience)
                # Guards against a link too slow for one event within the usual time: it is given more.
                patience = min(LONGEST_SILENT_MS, 2 * patience) if self._trickles and not over.is_set() else SILENT_MS
            finally:
                self._keep()
            told = self._heard > heard
            short = 1 if told and (self._loop.time() - began) * 1000 > LONGEST_PAUSE_MS else short + 1
            if (doublings := short - 1 - told) >= 0:
                await asyncio.sleep(min(LONGEST_PAUSE_MS, PAUSE_MS * 2 ** min(doublings, 10)) / 1000)

    async def _hear(self, over: asyncio.Event, patience: float) -> None:
        """Until the connection ends, or no whole event comes for a while."""
        while not over.is_set():
            heard = self._heard
            try:
                async with asyncio.timeout(patience / 1000):
                    await over.wait()
            except TimeoutError:
                if self._heard == heard:
                    self._note("feed silent")
                    return
                patience = SILENT_MS

    def _got(self, reader: FeedReader, over: asyncio.Event, data: memoryview) -> None:
        if over.is_set():
            return
        reader.feed(data)
        self._trickles = True
        try:
            while (event := reader.next()) is not None:
                if event.number > self.number:
                    if event.records is None:
                        raise FeedError("events are missing")
                    if event.number != self.number + 1 and not event.whole:
                        raise FeedError(f"event {event.number} after {self.number}")
                    self._told(event)
                    self.number = event.number  # after it was taken in: one that fails is asked for again
                self._heard += 1
                self._trickles = False
        except FeedError as cause:
            self._note("feed unreadable", cause=str(cause))
            over.set()
        except Exception as cause:  # it must not end the following
            self._loop.call_exception_handler({"message": "an event could not be taken in", "exception": cause})
            over.set()
