"""Connections to one worker: capped, reused last in first out, closed when idle, with a connect deadline.

A `Call` is one request to the worker.  It ends exactly once, and its `Ending` says what was seen on the socket;
above all whether anything had been written.  What that means for a send is not judged here.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any

from kelptrail.codec.http import HttpError, Response, ResponseReader

from .transport import TlsTransport, Transport

BUFFER = 16_384


class Ending(Enum):
    """How a call ended, as seen on its socket."""

    ANSWERED = "answered"  # a whole response was read
    UNREACHABLE = "unreachable"  # no connection was made: nothing written
    UNSENT = "unsent"  # given up before anything was written
    BROKEN = "broken"  # the connection ended after writing began, or what came was no response
    GIVEN_UP = "given-up"  # called off by us after writing began


Done = Callable[["Call", Ending, Response | None], None]


class Call:
    """One request under way; `done` is called exactly once."""

    __slots__ = ("_begun", "_done", "_paused", "_resumed", "_task", "_written", "data", "on_piece", "reason", "tag")

    def __init__(self, data: bytes, done: Done, tag: Any, on_piece: Callable[[bytes], None] | None = None) -> None:
        self.data, self._done, self.tag = data, done, tag
        self.on_piece = on_piece  # takes a streamed answer's body as it comes
        self._paused, self._resumed = False, None
        self.reason = ""
        self._written = self._begun = False
        self._task: asyncio.Task[None] | None = None

    _resumed: asyncio.Future[None] | None

    def pause(self) -> None:
        """Read no more of the answer for now: what the worker sends on waits in the sockets, then with it."""
        self._paused = True

    def resume(self) -> None:
        """Read on."""
        self._paused = False
        if self._resumed is not None and not self._resumed.done():
            self._resumed.set_result(None)

    @property
    def written(self) -> bool:
        """Whether the first byte may have been written."""
        return self._written

    def give_up(self, reason: str) -> None:
        """Call it off; HTTP/1.1 has no other way than to close the connection."""
        self.reason = self.reason or reason
        if self._begun and self._task is not None:
            self._task.cancel()

    def _end(self, ending: Ending, response: Response | None = None) -> None:
        done, self._done = self._done, _nobody
        done(self, ending, response)


def _nobody(call: Call, ending: Ending, response: Response | None) -> None:
    """Stands in for `done` once it was called."""


class _Link:
    """One open connection and its parser."""

    __slots__ = ("buffer", "reader", "used", "wire")

    def __init__(self, wire: Transport, answer_bytes: int) -> None:
        self.wire, self.reader, self.used = wire, ResponseReader(answer_bytes), 0.0
        self.buffer = bytearray(BUFFER)


class WorkerPool:
    """The connections to one address.  Times are milliseconds."""

    def __init__(
        self,
        address: str,
        most: int,
        connect_ms: float,
        idle_ms: float,
        answer_bytes: int,
        tls: Callable[[], ssl.SSLContext] | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address, self._where = address, (host.strip("[]"), int(port))
        self._most, self._connect_ms, self._idle_ms, self._answer_bytes = (most, connect_ms, idle_ms, answer_bytes)
        self._loop, self._tls = asyncio.get_running_loop(), tls
        self._idle: list[_Link] = []
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._closed = False
        self.open = 0
        self.made = self.stray = 0  # connections made; ones found with bytes that nobody had asked for
        self._calls: set[Call] = set()

    @property
    def calls(self) -> int:
        """Calls under way."""
        return len(self._calls)

    def start(self, data: bytes, done: Done, tag: Any = None, on_piece: Callable[[bytes], None] | None = None) -> Call:
        """Begin a call; `done` comes later, never from within."""
        call = Call(data, done, tag, on_piece)
        self._calls.add(call)
        call._task = self._loop.create_task(self._run(call))
        return call

    async def _run(self, call: Call) -> None:
        link: _Link | None = None
        ending, response = Ending.BROKEN, None
        call._begun = True
        try:
            if call.reason:  # called off before it began
                ending = Ending.UNSENT
                return
            link = await self._take()
            if link is None:
                ending = Ending.UNREACHABLE
                return
            call._written = True
            await link.wire.sendall(call.data)
            receive, feed, buffer = link.wire.recv_into, link.reader.feed, link.buffer
            link.reader.on_piece = call.on_piece
            while response is None:
                if call._paused:
                    call._resumed = self._loop.create_future()
                    await call._resumed
                count = await receive(buffer)
                if not count:
                    return
                with memoryview(buffer) as view:
                    response = feed(view[:count])
            ending = Ending.ANSWERED
        except asyncio.CancelledError:
            ending = Ending.GIVEN_UP if call._written else Ending.UNSENT
        except TimeoutError:  # no turn within the cap; once written, the transport's own time-out
            ending = Ending.BROKEN if call._written else Ending.UNSENT
        except (OSError, HttpError):
            ending = Ending.BROKEN
        finally:
            self._calls.discard(call)
            if link is not None:
                link.reader.on_piece = None
            if link is not None:
                self._give_back(
                    link,
                    ending is Ending.ANSWERED
                    and response is not None
                    and response.keep_alive
                    and not link.reader.extra,
                )
            call._end(ending, response)

    async def _take(self) -> _Link | None:
        """An open connection; None if none can be made.  Raises TimeoutError where the cap leaves no room."""
        while True:
            while self._idle:
                link = self._idle.pop()
                if self._sound(link):
                    return link
                self._close(link)
            if self.open < self._most:
                return await self._connect()
            turn = self._loop.create_future()
            self._waiting.append(turn)
            try:
                async with asyncio.timeout(self._connect_ms / 1000):
                    await turn
            except BaseException:
                if turn in self._waiting:
                    self._waiting.remove(turn)
                elif turn.done() and not turn.cancelled():
                    self._pass_on()
                raise

    async def _connect(self) -> _Link | None:
        self.open += 1
        family = socket.AF_INET6 if ":" in self._where[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self._connect_ms / 1000):
                await self._loop.sock_connect(sock, self._where)
                wire = Transport(self._loop, sock)
                if self._tls is not None:  # a worker that is not vouched for is not reached
                    wire = secure = TlsTransport(self._loop, sock, self._tls(), False, self._where[0])
                    await secure.handshake(self._connect_ms)
        except BaseException as cause:
            sock.close()
            self.open -= 1
            self._pass_on()
            if isinstance(cause, OSError):  # TimeoutError is one
                return None
            raise
        self.made += 1
        return _Link(wire, self._answer_bytes)

    def _sound(self, link: _Link) -> bool:
        """Whether an idle connection still stands with nothing to read.

        Guards against a send on a connection that the worker has closed: that would be no proof that it never
        ran.  Bytes that nobody asked for are a second answer to the send before.
        """
        quiet = link.wire.quiet()
        self.stray += quiet is None
        return quiet is True

    def _give_back(self, link: _Link, sound: bool) -> None:
        if not sound or self._closed:
            if link.reader.extra:
                self.stray += 1
            self._close(link)
            return
        link.used = self._loop.time()
        self._idle.append(link)
        self._pass_on()

    def _close(self, link: _Link) -> None:
        link.wire.close()
        self.open -= 1
        self._pass_on()

    def _pass_on(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def sweep(self) -> None:
        """Close connections that have lain idle too long."""
        before = self._loop.time() - self._idle_ms / 1000
        while self._idle and self._idle[0].used < before:
            self._close(self._idle.pop(0))

    def close(self) -> None:
        """Close idle connections now and others as they end."""
        self._closed = True
        while self._idle:
            self._close(self._idle.pop())
