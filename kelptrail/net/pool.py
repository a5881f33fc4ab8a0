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

from .transport import IdleState, TlsTransport, Transport

BUFFER = 16_384


class CallOutcome(Enum):
    """How a call ended, as seen on its socket."""

    ANSWERED = "answered"  # a whole response was read
    UNREACHABLE = "unreachable"  # no connection was made: nothing written
    UNSENT = "unsent"  # given up before anything was written
    BROKEN = "broken"  # the connection ended after writing began, or what came was no response
    CANCELLED = "given-up"  # called off by us after writing began


OnDone = Callable[["Call", CallOutcome, Response | None], None]


class Call:
    """One request under way; `done` is called exactly once."""

    __slots__ = (
        "_on_done",
        "_paused",
        "_resumed",
        "_started",
        "_task",
        "_written",
        "data",
        "on_chunk",
        "reason",
        "tag",
    )

    def __init__(self, data: bytes, on_done: OnDone, tag: Any, on_chunk: Callable[[bytes], None] | None = None) -> None:
        self.data, self._on_done, self.tag = data, on_done, tag
        self.on_chunk = on_chunk  # takes a streamed answer's body as it comes
        self._paused, self._resumed = False, None
        self.reason = ""
        self._written = self._started = False
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

    def cancel(self, reason: str) -> None:
        """Call it off; HTTP/1.1 has no other way than to close the connection."""
        self.reason = self.reason or reason
        if self._started and self._task is not None:
            self._task.cancel()

    def _finish(self, ending: CallOutcome, response: Response | None = None) -> None:
        done, self._on_done = self._on_done, _ignore
        done(self, ending, response)


def _ignore(call: Call, ending: CallOutcome, response: Response | None) -> None:
    """Stands in for `done` once it was called."""


class _PooledConnection:
    """One open connection and its parser."""

    __slots__ = ("buffer", "idle_since", "reader", "transport")

    def __init__(self, wire: Transport, answer_bytes: int) -> None:
        self.transport, self.reader, self.idle_since = wire, ResponseReader(answer_bytes), 0.0
        self.buffer = bytearray(BUFFER)


class WorkerPool:
    """The connections to one address.  Times are milliseconds."""

    def __init__(
        self,
        address: str,
        max_connections: int,
        connect_ms: float,
        idle_ms: float,
        answer_bytes: int,
        tls: Callable[[], ssl.SSLContext] | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address, self._endpoint = address, (host.strip("[]"), int(port))
        self._max_connections, self._connect_ms, self._idle_ms, self._answer_bytes = (
            max_connections,
            connect_ms,
            idle_ms,
            answer_bytes,
        )
        self._loop, self._tls = asyncio.get_running_loop(), tls
        self._idle: list[_PooledConnection] = []
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._closed = False
        self.open_connections = 0
        self.connections_made = self.unexpected_data = (
            0  # connections made; ones found with bytes that nobody had asked for
        )
        self._calls: set[Call] = set()

    @property
    def calls_in_flight(self) -> int:
        """Calls under way."""
        return len(self._calls)

    def start(
        self, data: bytes, on_done: OnDone, tag: Any = None, on_chunk: Callable[[bytes], None] | None = None
    ) -> Call:
        """Begin a call; `done` comes later, never from within."""
        call = Call(data, on_done, tag, on_chunk)
        self._calls.add(call)
        call._task = self._loop.create_task(self._run_call(call))
        return call

    async def _run_call(self, call: Call) -> None:
        link: _PooledConnection | None = None
        ending, response = CallOutcome.BROKEN, None
        call._started = True
        try:
            if call.reason:  # called off before it began
                ending = CallOutcome.UNSENT
                return
            link = await self._acquire()
            if link is None:
                ending = CallOutcome.UNREACHABLE
                return
            call._written = True
            await link.transport.sendall(call.data)
            receive, feed, buffer = link.transport.recv_into, link.reader.feed, link.buffer
            link.reader.on_chunk = call.on_chunk
            while response is None:
                if call._paused:
                    call._resumed = self._loop.create_future()
                    await call._resumed
                count = await receive(buffer)
                if not count:
                    return
                with memoryview(buffer) as view:
                    response = feed(view[:count])
            ending = CallOutcome.ANSWERED
        except asyncio.CancelledError:
            ending = CallOutcome.CANCELLED if call._written else CallOutcome.UNSENT
        except TimeoutError:  # no turn within the cap; once written, the transport's own time-out
            ending = CallOutcome.BROKEN if call._written else CallOutcome.UNSENT
        except (OSError, HttpError):
            ending = CallOutcome.BROKEN
        finally:
            self._calls.discard(call)
            if link is not None:
                link.reader.on_chunk = None
            if link is not None:
                self._release(
                    link,
                    ending is CallOutcome.ANSWERED
                    and response is not None
                    and response.keep_alive
                    and not link.reader.unexpected_data,
                )
            call._finish(ending, response)

    async def _acquire(self) -> _PooledConnection | None:
        """An open connection; None if none can be made.  Raises TimeoutError where the cap leaves no room."""
        while True:
            while self._idle:
                link = self._idle.pop()
                if self._is_reusable(link):
                    return link
                self._close(link)
            if self.open_connections < self._max_connections:
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
                    self._wake_next_waiter()
                raise

    async def _connect(self) -> _PooledConnection | None:
        self.open_connections += 1
        family = socket.AF_INET6 if ":" in self._endpoint[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self._connect_ms / 1000):
                await self._loop.sock_connect(sock, self._endpoint)
                wire = Transport(self._loop, sock)
                if self._tls is not None:  # a worker that is not vouched for is not reached
                    wire = secure = TlsTransport(self._loop, sock, self._tls(), False, self._endpoint[0])
                    await secure.handshake(self._connect_ms)
        except BaseException as cause:
            sock.close()
            self.open_connections -= 1
            self._wake_next_waiter()
            if isinstance(cause, OSError):  # TimeoutError is one
                return None
            raise
        self.connections_made += 1
        return _PooledConnection(wire, self._answer_bytes)

    def _is_reusable(self, link: _PooledConnection) -> bool:
        """Whether an idle connection still stands with nothing to read.

        Guards against a send on a connection that the worker has closed: that would be no proof that it never
        ran.  Bytes that nobody asked for are a second answer to the send before.
        """
        state = link.transport.probe_idle()
        self.unexpected_data += state is IdleState.UNEXPECTED_DATA
        return state is IdleState.IDLE

    def _release(self, link: _PooledConnection, sound: bool) -> None:
        if not sound or self._closed:
            if link.reader.unexpected_data:
                self.unexpected_data += 1
            self._close(link)
            return
        link.idle_since = self._loop.time()
        self._idle.append(link)
        self._wake_next_waiter()

    def _close(self, link: _PooledConnection) -> None:
        link.transport.close()
        self.open_connections -= 1
        self._wake_next_waiter()

    def _wake_next_waiter(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def close_idle(self) -> None:
        """Close connections that have lain idle too long."""
        before = self._loop.time() - self._idle_ms / 1000
        while self._idle and self._idle[0].idle_since < before:
            self._close(self._idle.pop(0))

    def close(self) -> None:
        """Close idle connections now and others as they end."""
        self._closed = True
        while self._idle:
            self._close(self._idle.pop())
