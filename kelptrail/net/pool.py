"""A connection pool for one address: a limit on its size, LIFO reuse, closing of idle connections, a connect timeout.

A `Call` is one request to the server.  It ends exactly once.  Its `CallOutcome` reports what was observed on the
socket, in particular whether anything had been written; the caller decides what that means for its request.
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

BUFFER_BYTES = 16_384


class CallOutcome(Enum):
    """How a call ended, as observed on its socket."""

    ANSWERED = "answered"  # a complete response was read
    UNREACHABLE = "unreachable"  # no connection was established, so nothing was written
    UNSENT = "unsent"  # cancelled before anything was written, or no connection became free in time
    # The connection failed after writing began, the response was malformed, or no socket could be created.
    BROKEN = "broken"
    CANCELLED = "given-up"  # cancelled by the caller after writing began


OnDone = Callable[["Call", CallOutcome, Response | None], None]


class Call:
    """One request in flight; `on_done` is called exactly once.  `tag` is opaque data of the caller."""

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
        self.on_chunk = on_chunk  # receives the body of a streamed response as it arrives
        self._paused, self._resumed = False, None
        self.reason = ""  # why the call was cancelled; empty if it was not
        self._written = self._started = False
        self._task: asyncio.Task[None] | None = None

    _resumed: asyncio.Future[None] | None

    def pause(self) -> None:
        """Stop reading the response, so that TCP flow control blocks the server."""
        self._paused = True

    def resume(self) -> None:
        """Continue reading the response."""
        self._paused = False
        if self._resumed is not None and not self._resumed.done():
            self._resumed.set_result(None)

    @property
    def written(self) -> bool:
        """Whether anything of the request may have been written."""
        return self._written

    def cancel(self, reason: str) -> None:
        """Cancel the call and close its connection, as HTTP/1.1 has no other way to cancel a request."""
        self.reason = self.reason or reason
        if self._started and self._task is not None:
            self._task.cancel()

    def _finish(self, outcome: CallOutcome, response: Response | None = None) -> None:
        on_done, self._on_done = self._on_done, _ignore
        on_done(self, outcome, response)


def _ignore(call: Call, outcome: CallOutcome, response: Response | None) -> None:
    """Do nothing: replaces `on_done` once it was called."""


class _PooledConnection:
    """One open connection, its parser and its read buffer; `idle_since` is a time of the loop's clock, in seconds."""

    __slots__ = ("buffer", "idle_since", "reader", "transport")

    def __init__(self, transport: Transport, max_response_bytes: int) -> None:
        self.transport, self.reader, self.idle_since = transport, ResponseReader(max_response_bytes), 0.0
        self.buffer = bytearray(BUFFER_BYTES)


class WorkerPool:
    """The connections to one address, at most `max_connections`.  Parameters that end in `_ms` are in milliseconds."""

    def __init__(
        self,
        address: str,
        max_connections: int,
        connect_ms: float,
        idle_ms: float,
        max_response_bytes: int,
        tls: Callable[[], ssl.SSLContext] | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address, self._endpoint = address, (host.strip("[]"), int(port))
        self._max_connections, self._connect_ms, self._idle_ms, self._max_response_bytes = (
            max_connections,
            connect_ms,
            idle_ms,
            max_response_bytes,
        )
        self._loop, self._tls = asyncio.get_running_loop(), tls
        self._idle: list[_PooledConnection] = []
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._closed = False
        self.open_connections = 0
        self.connections_made = 0
        self.unexpected_data = 0  # number of connections that received data belonging to no request
        self._calls: set[Call] = set()

    @property
    def calls_in_flight(self) -> int:
        """Number of calls in flight."""
        return len(self._calls)

    def start(
        self, data: bytes, on_done: OnDone, tag: Any = None, on_chunk: Callable[[bytes], None] | None = None
    ) -> Call:
        """Start a call; `on_done` is called later, never from within this method."""
        call = Call(data, on_done, tag, on_chunk)
        self._calls.add(call)
        call._task = self._loop.create_task(self._run_call(call))
        return call

    async def _run_call(self, call: Call) -> None:
        connection: _PooledConnection | None = None
        outcome, response = CallOutcome.BROKEN, None
        call._started = True
        try:
            if call.reason:  # cancelled before it started
                outcome = CallOutcome.UNSENT
                return
            connection = await self._acquire()
            if connection is None:
                outcome = CallOutcome.UNREACHABLE
                return
            call._written = True
            response = await self._exchange(connection, call)
            if response is not None:
                outcome = CallOutcome.ANSWERED
        except asyncio.CancelledError:
            outcome = CallOutcome.CANCELLED if call._written else CallOutcome.UNSENT
        except TimeoutError:  # no connection became free in time, or, after writing began, TCP timed out
            outcome = CallOutcome.BROKEN if call._written else CallOutcome.UNSENT
        except (OSError, HttpError):
            outcome = CallOutcome.BROKEN
        finally:
            self._calls.discard(call)
            if connection is not None:
                connection.reader.on_chunk = None
                self._release(
                    connection,
                    outcome is CallOutcome.ANSWERED
                    and response is not None
                    and response.keep_alive
                    and not connection.reader.unexpected_data,
                )
            call._finish(outcome, response)

    async def _exchange(self, connection: _PooledConnection, call: Call) -> Response | None:
        """Send a call's request and return the complete response, or None if the server closed the connection first."""
        await connection.transport.sendall(call.data)
        receive, feed, buffer = connection.transport.recv_into, connection.reader.feed, connection.buffer
        connection.reader.on_chunk = call.on_chunk
        response = None
        while response is None:
            if call._paused:
                call._resumed = self._loop.create_future()
                await call._resumed
            count = await receive(buffer)
            if not count:
                return None
            with memoryview(buffer) as view:
                response = feed(view[:count])
        return response

    async def _acquire(self) -> _PooledConnection | None:
        """Return an open connection, or None if none can be established.

        Raises `TimeoutError` if no connection becomes free within the connect timeout.
        """
        while True:
            while self._idle:
                connection = self._idle.pop()
                if self._is_reusable(connection):
                    return connection
                self._close(connection)
            if self.open_connections < self._max_connections:
                return await self._connect()
            waiter = self._loop.create_future()
            self._waiters.append(waiter)
            try:
                async with asyncio.timeout(self._connect_ms / 1000):
                    await waiter
            except BaseException:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)
                elif waiter.done() and not waiter.cancelled():
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
                transport = Transport(self._loop, sock)
                if self._tls is not None:  # a server without a valid certificate counts as unreachable
                    transport = secure = TlsTransport(self._loop, sock, self._tls(), False, self._endpoint[0])
                    await secure.handshake(self._connect_ms)
        except BaseException as cause:
            sock.close()
            self.open_connections -= 1
            self._wake_next_waiter()
            if isinstance(cause, OSError):  # includes TimeoutError
                return None
            raise
        self.connections_made += 1
        return _PooledConnection(transport, self._max_response_bytes)

    def _is_reusable(self, connection: _PooledConnection) -> bool:
        """Return whether an idle connection is still open with nothing to read.

        Guards against sending a request on a connection that the server has closed: the failed call would not prove
        that the request never ran.  Unexpected data may be a second response to the previous request, so such a
        connection is not reused, either.
        """
        state = connection.transport.probe_idle()
        self.unexpected_data += state is IdleState.UNEXPECTED_DATA
        return state is IdleState.IDLE

    def _release(self, connection: _PooledConnection, reusable: bool) -> None:
        if not reusable or self._closed:
            if connection.reader.unexpected_data:
                self.unexpected_data += 1
            self._close(connection)
            return
        connection.idle_since = self._loop.time()
        self._idle.append(connection)
        self._wake_next_waiter()

    def _close(self, connection: _PooledConnection) -> None:
        connection.transport.close()
        self.open_connections -= 1
        self._wake_next_waiter()

    def _wake_next_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def close_idle(self) -> None:
        """Close connections that have been idle for longer than the idle timeout."""
        oldest_allowed = self._loop.time() - self._idle_ms / 1000
        while self._idle and self._idle[0].idle_since < oldest_allowed:
            self._close(self._idle.pop(0))

    def close(self) -> None:
        """Close idle connections now and the others as their calls end."""
        self._closed = True
        while self._idle:
            self._close(self._idle.pop())
