"""The HTTP/1.1 connection of one client: a task that reads requests, a task that writes replies, and the exchanges.

Replies are sent in the order of the requests (RFC 9112 section 9.3.2), regardless of the order in which handlers give
them.  A client that closed only its sending side (half-closed) is still served: an interim 102 response (RFC 9110
section 15.2) makes the socket report an error if the client no longer reads.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from typing import TYPE_CHECKING

from kelptrail.codec.http import CONTINUE, PROCESSING, HttpError, Request, RequestReader

from .http_exchange import MAX_UNWRITTEN_BYTES, Exchange
from .transport import Transport

if TYPE_CHECKING:
    from .server import HttpServer

FIRST_BUFFER_BYTES, MAX_BUFFER_BYTES = 8192, 262_144
HALF_CLOSED_CHECK_S = 0.02  # interval of checks whether a half-closed client still reads
LINGER_S = 0.5  # time to read and discard input before closing, so that no reset destroys the last reply
INTERNAL_ERROR = b'{"error":"There was an internal server error.","code":"500"}'


class HttpConnection:
    """The connection of one client.  Times are seconds on the loop's clock."""

    def __init__(self, server: HttpServer, transport: Transport, peer: str, identity: str = "") -> None:
        self._server, self._transport, self.peer, self.identity = server, transport, peer, identity
        self._reader = RequestReader(server.limits.header_bytes, server.limits.body_bytes)
        self._exchanges: deque[Exchange] = deque()
        self._out = bytearray()
        self._output_ready: asyncio.Future[None] | None = None  # set while the writer waits for output
        self._input_resumed: asyncio.Future[None] | None = None  # set while a limit pauses the reader
        self._close_when_written = False
        self.closing = False  # when True, no further requests are read
        self._client_half_closed = self._timed_out = False
        self.unwritten_bytes = 0  # bytes of replies not written to the socket yet
        self.reading_since: float | None = None  # start of the incomplete request
        self.writing_since: float | None = None  # start of the write in progress
        self.idle_since = server.loop.time()
        self._tasks = [server.loop.create_task(self._read_requests()), server.loop.create_task(self._write_replies())]

    @property
    def busy(self) -> bool:
        """Whether a request is in flight or a reply is not written yet."""
        return bool(self._exchanges or self._out or self.writing_since is not None)

    def closes_after(self, exchange: Exchange) -> bool:
        """Return whether the connection closes after the reply of this exchange."""
        last = bool(self._exchanges) and self._exchanges[-1] is exchange
        return last and (self.closing or self._server.draining)

    def add_unwritten(self, count: int) -> None:
        """Count bytes of a reply that are to be written."""
        self.unwritten_bytes += count
        self._server.add_unwritten(count)

    def queue_replies(self) -> None:
        """Move replies to the output, in the order of their requests, up to the first that is not ready."""
        moved = False
        while self._exchanges and (data := self._exchanges[0].data) is not None:
            first = self._exchanges[0]
            self._out += data
            moved = True
            if first.streaming:  # the body must end before the next reply starts
                first.data = b""
                break
            self._exchanges.popleft()
            if not first.keep_alive:  # later requests on this connection are not answered
                self._close_when_written = self.closing = True
                self._notify_client_gone()
        if self._client_half_closed and not self._exchanges:
            self._close_when_written = True
        if moved and not self._exchanges and self._reader.wants_continue and not self.closing:
            self._send_continue()
        if moved:
            self._wake_writer()
            if self._input_resumed is not None and not self._input_resumed.done():
                self._input_resumed.set_result(None)

    def _send_continue(self) -> None:
        self._reader.wants_continue = False
        self._out += CONTINUE
        self._wake_writer()

    def _notify_client_gone(self) -> None:
        """Notify all exchanges in flight that the client has disconnected."""
        exchanges, self._exchanges = list(self._exchanges), deque()
        for exchange in exchanges:
            if not exchange.replied or exchange.streaming:
                exchange.client_gone = True
                if exchange.on_client_gone is not None:
                    exchange.on_client_gone()

    @property
    def partial(self) -> bool:
        """Whether the start of a request was read but not its end."""
        return self._reader.partial

    def close_gracefully(self) -> None:
        """Read no further requests; close once all requests in flight are answered."""
        self.closing = True
        if not self._exchanges:
            self._close_when_written = True
            self._wake_writer()

    def abort(self) -> None:
        """Close immediately; exchanges in flight are notified that the client has disconnected."""
        for task in self._tasks:
            task.cancel()

    def _wake_writer(self) -> None:
        if self._output_ready is not None and not self._output_ready.done():
            self._output_ready.set_result(None)

    async def _read_requests(self) -> None:
        buffer, receive = bytearray(FIRST_BUFFER_BYTES), self._transport.recv_into
        try:
            while not self.closing:
                count = await receive(buffer)
                if not count:
                    break
                self._server.bytes_in += count
                with memoryview(buffer) as view:
                    requests, error = self._reader.feed(view[:count])
                if self._reader.wants_continue and not self._exchanges and not requests:
                    self._send_continue()
                for request in requests:
                    await self._wait_until_below_limits()  # needed also between requests that arrived together
                    self._handle(request)
                if error is not None:
                    self._reply_error(error)
                    return
                self._update_read_times(bool(requests))
                await self._wait_until_below_limits()
                if count == len(buffer) < MAX_BUFFER_BYTES:
                    buffer = bytearray(2 * count)
            if not self.closing:
                await self._on_client_half_closed()
        except (OSError, asyncio.CancelledError):
            if not self._timed_out:
                self._on_lost()

    def _update_read_times(self, has_requests: bool) -> None:
        """Update the times of reading after input; `has_requests`: the input completed requests."""
        now = self._server.loop.time()
        if not self._reader.partial:
            self.reading_since, self.idle_since = None, now
        elif self.reading_since is None or has_requests:
            self.reading_since = now

    def _handle(self, request: Request) -> None:
        exchange = Exchange(self, request)
        self._exchanges.append(exchange)
        try:
            self._server.handle(request, exchange)
        except Exception as cause:  # noqa: BLE001 - a bug in a handler must not leave the client without a reply
            self._server.log_handler_failure(cause)
            exchange.reply(500, INTERNAL_ERROR)

    async def _wait_until_below_limits(self) -> None:
        """Wait while this connection has too many requests in flight or too many unwritten bytes."""
        while len(self._exchanges) >= self._server.limits.pipelined or self.unwritten_bytes > MAX_UNWRITTEN_BYTES:
            self.reading_since = None  # the server has paused reading, so this time does not count against the client
            self._input_resumed = self._server.loop.create_future()
            await self._input_resumed
            self.reading_since = self._server.loop.time() if self._reader.partial else None

    async def _on_client_half_closed(self) -> None:
        """Serve the requests in flight of a client that shut down its sending side, as long as it reads.

        An HTTP/1.0 client counts as disconnected, as no interim response may be sent to it (RFC 9110 section 15.2).
        """
        self._client_half_closed = True
        self.reading_since = None
        if self._reader.partial:
            self._reply_error(HttpError(400, "the request ended early"))
            return
        self.closing = True
        if not self._exchanges:
            self.close_gracefully()
            return
        if any(e.request is not None and e.request.version == "1.0" for e in self._exchanges):
            self._on_lost()
            return
        self._out += PROCESSING
        self._wake_writer()
        while self._exchanges:
            await asyncio.sleep(HALF_CLOSED_CHECK_S)
            if self._transport.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._on_lost()

    def _reply_error(self, error: HttpError) -> None:
        self._server.log_bad_request(error, self.peer)
        self.closing = True
        error_exchange = Exchange(self, None)
        self._exchanges.append(error_exchange)
        text = str(error).replace("\\", "/").replace('"', "'")
        error_exchange.reply(error.status, f'{{"error":"{text}","code":"{error.status}"}}'.encode(), close=True)

    def time_out(self) -> None:
        """Reply with status 408 as the request did not arrive completely in time (RFC 9110 section 15.5.9)."""
        self.reading_since, self._timed_out = None, True
        self._tasks[0].cancel()
        self._reply_error(HttpError(408, "the request did not arrive in time"))

    def _on_lost(self) -> None:
        self.closing = self._close_when_written = True
        self._notify_client_gone()
        self._wake_writer()

    async def _write_replies(self) -> None:
        loop = self._server.loop
        try:
            while True:
                if not self._out:
                    if self._close_when_written:
                        break
                    self._output_ready = loop.create_future()
                    await self._output_ready
                    continue
                data, self._out = self._out, bytearray()
                self.writing_since = loop.time()
                await self._transport.sendall(data)
                self.writing_since, self.idle_since = None, loop.time()
                written = min(len(data), self.unwritten_bytes)  # interim responses are not included in the count
                self.unwritten_bytes -= written
                self._server.unwritten_bytes -= written
                if self._exchanges and self._exchanges[0].streaming:
                    self._exchanges[0].on_written()
                if self._input_resumed is not None and not self._input_resumed.done():
                    self._input_resumed.set_result(None)
            await self._linger()
        except (OSError, asyncio.CancelledError):
            self._close_when_written = True
        finally:
            self._tasks[0].cancel()
            self._server.forget(self)
            self._on_lost()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(self._tasks[0], return_exceptions=True)
            self._transport.close()

    async def _linger(self) -> None:
        """Shut down the sending side, then read and discard input for up to LINGER_S (RFC 9112 section 9.6).

        Closing without this could reset the connection, which would destroy the last reply.
        """
        self._tasks[0].cancel()
        await asyncio.gather(self._tasks[0], return_exceptions=True)
        self._transport.shutdown_write()
        if self._client_half_closed:
            return
        discarded = bytearray(16_384)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                while await self._server.loop.sock_recv_into(self._transport.sock, discarded):
                    pass
