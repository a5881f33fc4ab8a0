"""Follows the platform's worker list: connects, asks for what came after the last event, and asks again.

A break is followed by a new connection at once, then at growing pauses; so is a feed that falls silent, as it
says something each second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from kelptrail.codec.feed import Event, FeedError, FeedReader, ask
from kelptrail.net.link import Link, connect

SILENT_MS = 2_000.0  # two of the feed's empty events are missing
PAUSE_MS, LONGEST_PAUSE_MS = 50.0, 1_000.0


class Feed:
    """One follower; `told` gets each new event, in order and once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], number: int, reader: Callable[
            [], FeedReader], told: Callable[[Event], None], note: Callable[..., None], connect_ms: float) -> None:
        self._loop, self._address, self._reader, self._told, self._note = loop, address, reader, told, note
        self.number, self._connect_ms = number, connect_ms
        self._link: Link | None = None
        self._over: asyncio.Event = asyncio.Event()
        self._heard = False
        self._task = loop.create_task(self._follow())

    def moved(self, address: tuple[str, int]) -> None:
        """The feed is at another address, or should be asked again where it is."""
        self._address = address
        self._over.set()

    def close(self) -> None:
        """Follow no longer."""
        self._task.cancel()
        if self._link is not None:
            self._link.close()

    async def _follow(self) -> None:
        pause = 0.0
        while True:
            over, heard = asyncio.Event(), False
            self._over = over
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
                while not over.is_set():
                    self._heard = False
                    try:
                        async with asyncio.timeout(SILENT_MS / 1000):
                            await over.wait()
                    except TimeoutError:
                        if not self._heard:
                            self._note("feed silent")
                            break
                    heard = heard or self._heard
            pause = 0.0 if heard else min(LONGEST_PAUSE_MS, max(PAUSE_MS, 2 * pause))
            if pause:
                await asyncio.sleep(pause / 1000)

    def _got(self, reader: FeedReader, over: asyncio.Event, data: memoryview) -> None:
        if over.is_set():
            return
        self._heard = True
        reader.feed(data)
        try:
            while (event := reader.next()) is not None:
                if event.records is None or event.number <= self.number:
                    if event.number > self.number:
                        raise FeedError("events are missing")
                    continue
                if event.number != self.number + 1 and not event.whole:
                    raise FeedError(f"event {event.number} after {self.number}")
                self.number = event.number
                self._told(event)
        except FeedError as cause:
            self._note("feed unreadable", cause=str(cause))
            over.set()
