"""A listening HTTP/1.1 server over `sock_recv_into` and `sock_sendall`; it decides nothing.

Each whole request comes to the handler with an `Exchange`, to be replied to at once or later, in any order;
replies go out in the order of the requests (RFC 9112 section 9.3.2).  A client that goes away is told to the
exchange.  A client that only ended its sending side (half-closed) is served on: an interim 102 answer finds
out whether anybody still reads (RFC 9110 section 15.2).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kelptrail.codec.http import (
    CONTINUE,
    PROCESSING,
    HttpError,
    Request,
    RequestReader,
    encode_chunk,
    encode_head,
    encode_response,
)

from .listener import ConnectPace, Listener
from .transport import TlsTransport, Transport

FIRST_BUFFER, LARGEST_BUFFER = 8192, 262_144
TOO_MANY_CONNECTIONS = encode_response(
    503, b'{"error":"too many connections","code":"503"}', {"retry-after": "1"}, keep_alive=False
)


@dataclass(frozen=True, slots=True)
class Limits:
    """What one server takes; times are milliseconds."""

    connections: int = 10_000
    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    pipelined: int = 32
    read_ms: float = 10_000.0
    write_ms: float = 30_000.0
    idle_ms: float = 75_000.0
    unread_bytes: float = 268_435_456  # replies that clients have not read yet, over all connections


class Exchange:
    """One request's place in its connection's order of replies."""

    __slots__ = (
        "_awaits_room",
        "_connection",
        "client_gone",
        "data",
        "keep_alive",
        "on_client_gone",
        "on_writable",
        "request",
        "streaming",
    )

    def __init__(self, connection: HttpConnection, request: Request | None) -> None:
        self._connection, self.request = connection, request
        self.data: bytes | None = None
        self.client_gone = self.keep_alive = self.streaming = self._awaits_room = False
        self.on_client_gone: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None

    @property
    def replied(self) -> bool:
        """Whether a reply was given."""
        return self.data is not None

    @property
    def peer(self) -> str:
        """The client's address."""
        return self._connection.peer

    @property
    def identity(self) -> str:
        """Whom the client's certificate names, by the server's own mapping; empty without one."""
        return self._connection.identity

    def reply(
        self,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
        close: bool = False,
        content_type: str = "application/json",
    ) -> bool:
        """Give the reply; False where the client has gone or one was given already."""
        if self.data is not None or self.client_gone:
            return False
        request = self.request
        self.keep_alive = (
            request is not None and request.keep_alive and not close and not self._connection.closes_after(self)
        )
        self.on_client_gone = None
        self.data = encode_response(status, body, headers, self.keep_alive, content_type)
        self._connection.add_unwritten(len(self.data))
        self._connection.queue_replies()
        return True

    def reply_encoded(self, data: bytes) -> bool:
        """Give the reply as bytes made elsewhere."""
        if self.data is not None or self.client_gone:
            return False
        self.on_client_gone, self.data = None, data
        self.keep_alive = self.request is not None and self.request.keep_alive
        self._connection.add_unwritten(len(data))
        self._connection.queue_replies()
        return True

    def start_stream(self, status: int, headers: dict[str, str] | None, content_type: str) -> bool:
        """Begin a reply whose body comes in pieces; False where the client has gone or one was given already."""
        if self.data is not None or self.client_gone:
            return False
        request = self.request
        self.keep_alive = request is not None and request.keep_alive and not self._connection.closing
        self.streaming, self.data = True, b""
        self._append(encode_head(status, headers, content_type, self.keep_alive))
        return True

    def write_chunk(self, data: bytes) -> bool:
        """Go on with the body; False where the client has gone."""
        if not self.streaming or self.client_gone:
            return False
        if data:
            self._append(encode_chunk(data))
        return True

    def end_stream(self) -> None:
        """The body is whole."""
        if self.streaming and not self.client_gone:
            self.on_client_gone = self.on_writable = None
            self.streaming = False
            self._append(encode_chunk(b""))

    def _append(self, data: bytes) -> None:
        self.data = (self.data or b"") + data
        self._connection.add_unwritten(len(data))
        self._connection.queue_replies()

    @property
    def can_write(self) -> bool:
        """Whether more may be given without holding too much for a slow reader."""
        if self._connection.unwritten_bytes < LARGEST_BUFFER:
            return True
        self._awaits_room = True
        return False

    def on_written(self) -> None:
        """Told by the connection once something was written."""
        if self._awaits_room and self._connection.unwritten_bytes < LARGEST_BUFFER // 2:
            self._awaits_room = False
            if self.on_writable is not None:
                self.on_writable()

    def abort(self) -> None:
        """Close the connection without a reply."""
        self._connection.abort()


Handler = Callable[[Request, Exchange], None]


class HttpConnection:
    """One client: a task that reads, a task that writes, the exchanges between them."""

    def __init__(self, server: HttpServer, transport: Transport, peer: str, identity: str = "") -> None:
        self._server, self._transport, self.peer, self.identity = server, transport, peer, identity
        self._reader = RequestReader(server.limits.header_bytes, server.limits.body_bytes)
        self._exchanges: deque[Exchange] = deque()
        self._out = bytearray()
        self._output_ready: asyncio.Future[None] | None = None  # the writer waits
        self._input_resumed: asyncio.Future[None] | None = None  # the reader waits
        self._close_when_written = False  # close once written
        self.closing = False  # no further request is read
        self._client_half_closed = self._timed_out = False
        self.unwritten_bytes = 0  # bytes of replies that are not written yet
        self.reading_since: float | None = None
        self.writing_since: float | None = None
        self.idle_since = server.loop.time()
        self._tasks = [server.loop.create_task(self._read_requests()), server.loop.create_task(self._write_replies())]

    @property
    def busy(self) -> bool:
        """Whether a request is in hand or a reply not yet written."""
        return bool(self._exchanges or self._out or self.writing_since is not None)

    def closes_after(self, exchange: Exchange) -> bool:
        """Whether the connection closes after this one's reply."""
        last = bool(self._exchanges) and self._exchanges[-1] is exchange
        return last and (self.closing or self._server.draining)

    def add_unwritten(self, count: int) -> None:
        """So many bytes of replies more are to be written."""
        self.unwritten_bytes += count
        self._server.add_unwritten(count)

    def queue_replies(self) -> None:
        """Move replies that are due into the output."""
        moved = False
        while self._exchanges and (data := self._exchanges[0].data) is not None:
            first = self._exchanges[0]
            self._out += data
            moved = True
            if first.streaming:  # more of it comes before the next one's turn
                first.data = b""
                break
            self._exchanges.popleft()
            if not first.keep_alive:  # what came after it on this connection is not answered
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
        """Tell all that are in hand that the client has gone."""
        left, self._exchanges = list(self._exchanges), deque()
        for exchange in left:
            if not exchange.replied or exchange.streaming:
                exchange.client_gone = True
                if exchange.on_client_gone is not None:
                    exchange.on_client_gone()

    @property
    def partial(self) -> bool:
        """Whether a request has begun and is not whole."""
        return self._reader.partial

    def close_gracefully(self) -> None:
        """Take no further request; close once all that is in hand is answered."""
        self.closing = True
        if not self._exchanges:
            self._close_when_written = True
            self._wake_writer()

    def abort(self) -> None:
        """Close now; whoever is in hand is told that the client has gone."""
        for task in self._tasks:
            task.cancel()

    def _wake_writer(self) -> None:
        if self._output_ready is not None and not self._output_ready.done():
            self._output_ready.set_result(None)

    async def _read_requests(self) -> None:
        loop = self._server.loop
        buffer, receive = bytearray(FIRST_BUFFER), self._transport.recv_into
        try:
            while not self.closing:
                count = await receive(buffer)
                if not count:
                    break
                self._server.bytes_in += count
                with memoryview(buffer) as view:
                    requests, fault = self._reader.feed(view[:count])
                if self._reader.wants_continue and not self._exchanges and not requests:
                    self._send_continue()
                for request in requests:
                    await self._wait_until_below_limits()  # also between requests that came together
                    exchange = Exchange(self, request)
                    self._exchanges.append(exchange)
                    try:
                        self._server.handle(request, exchange)
                    except Exception as cause:  # a fault of ours must not hang a client
                        self._server.log_handler_failure(cause)
                        exchange.reply(500, b'{"error":"There was an internal server error.","code":"500"}')
                if fault is not None:
                    self._reply_error(fault)
                    return
                if not self._reader.partial:
                    self.reading_since, self.idle_since = None, loop.time()
                elif self.reading_since is None or requests:
                    self.reading_since = loop.time()
                await self._wait_until_below_limits()
                if count == len(buffer) < LARGEST_BUFFER:
                    buffer = bytearray(2 * count)
            if not self.closing:
                self._client_half_closed = True
                self.reading_since = None
                if self._reader.partial:
                    self._reply_error(HttpError(400, "the request ended early"))
                else:
                    self.closing = True
                    await self._half_closed()
        except (OSError, asyncio.CancelledError):
            if not self._timed_out:
                self._on_lost()

    async def _wait_until_below_limits(self) -> None:
        """Wait while too much is in hand or unread on this connection."""
        while len(self._exchanges) >= self._server.limits.pipelined or self.unwritten_bytes > LARGEST_BUFFER:
            self.reading_since = None  # it is we who do not read
            self._input_resumed = self._server.loop.create_future()
            await self._input_resumed
            self.reading_since = self._server.loop.time() if self._reader.partial else None

    async def _half_closed(self) -> None:
        """The client has ended its side.  Serve what is in hand while somebody reads."""
        if not self._exchanges:
            self.close_gracefully()
            return
        if any(e.request is not None and e.request.version == "1.0" for e in self._exchanges):
            self._on_lost()
            return
        self._out += PROCESSING
        self._wake_writer()
        while self._exchanges:
            await asyncio.sleep(0.02)
            if self._transport.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._on_lost()

    def _reply_error(self, fault: HttpError) -> None:
        self._server.log_bad_request(fault, self.peer)
        self.closing = True
        last = Exchange(self, None)
        self._exchanges.append(last)
        text = str(fault).replace("\\", "/").replace('"', "'")
        last.reply(fault.status, f'{{"error":"{text}","code":"{fault.status}"}}'.encode(), close=True)

    def time_out(self) -> None:
        """The request that has begun did not become whole in time (RFC 9110 section 15.5.9)."""
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
                written = min(len(data), self.unwritten_bytes)  # interim answers are not counted
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
        """Close without a reset that would eat the reply: end our side, pass over what still comes."""
        self._tasks[0].cancel()
        await asyncio.gather(self._tasks[0], return_exceptions=True)
        self._transport.shutdown_write()
        if self._client_half_closed:
            return
        scrap = bytearray(16_384)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                while await self._server.loop.sock_recv_into(self._transport.sock, scrap):
                    pass


class HttpServer:
    """Listens on loopback addresses, holds connections, sees to their time limits."""

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        log_event: Callable[..., None] | None = None,
        tls: Callable[[], ssl.SSLContext] | None = None,
        identify: Callable[[bytes | None], str] | None = None,
        pace: ConnectPace | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self._tls, self._identify = tls, identify or (lambda _certificate: "")
        self._handshakes_in_progress = 0  # connections whose handshake is under way
        self._handshakes: set[asyncio.Task[None]] = set()
        self.limits = limits or Limits()
        self.handle = handler
        self._log_event = log_event or (lambda *_args, **_fields: None)
        self.listener = Listener(self.loop, self._on_accept, self._on_early, self._log_event, pace)
        self._tasks: list[asyncio.Task[Any]] = []
        self._connections: dict[HttpConnection, None] = {}
        self.bytes_in = 0
        self.rejected_connections = 0
        self.unwritten_bytes = 0  # bytes of replies that clients have not read yet
        self.slow_readers_closed = 0  # connections closed because these were too many
        self.draining = False  # each reply closes its connection
        self.address = ""

    def add_unwritten(self, count: int) -> None:
        """Keep what is unread within its bound: whoever has read nothing for longest is cut, first come, first gone.

        Guards against many clients that ask for much and read slowly: each alone stays within its own limits.
        """
        self.unwritten_bytes += count
        while self.unwritten_bytes > self.limits.unread_bytes:
            slow = min(
                (c for c in self._connections if c.writing_since is not None and c.unwritten_bytes),
                key=lambda c: c.writing_since or 0.0,
                default=None,
            )
            if slow is None:
                return
            self._log_event("slow-reader-cut", peer=slow.peer, bytes=slow.unwritten_bytes)
            self.slow_readers_closed += 1
            self.unwritten_bytes, slow.unwritten_bytes = self.unwritten_bytes - slow.unwritten_bytes, 0
            slow.abort()

    @property
    def accept_delay_ms(self) -> float:
        """How long each that connects is left waiting; stand-ins only."""
        return self.listener.accept_delay_ms

    @accept_delay_ms.setter
    def accept_delay_ms(self, delay_ms: float) -> None:
        self.listener.accept_delay_ms = delay_ms

    @property
    def rejected_by_pace(self) -> int:
        """How many connected faster than the pace and were told to come back."""
        return self.listener.rejected_by_pace

    @property
    def connections(self) -> int:
        """How many are open."""
        return len(self._connections)

    @property
    def busy(self) -> bool:
        """Whether any connection has a request in hand."""
        return any(connection.busy for connection in self._connections)

    def listen(self, host: str, port: int, reuse_port: bool = False, backlog: int = 1024) -> int:
        """Listen; returns the port (port 0: a free one).  `shared`: others may listen on it too."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if reuse_port:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.setblocking(False)
            sock.bind((host, port))
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        self.listener.add_socket(sock)
        if not self._tasks:
            self._tasks.append(self.loop.create_task(self._enforce_time_limits()))
        bound = int(sock.getsockname()[1])
        self.address = f"{host}:{bound}"
        return bound

    def _on_accept(self, client: socket.socket, peer: str) -> None:
        """Somebody has connected."""
        if len(self._connections) + self._handshakes_in_progress >= self.limits.connections:
            self.rejected_connections += 1
            self._log_event("connection-turned-away", open=len(self._connections))
            self.listener.reject(client, TOO_MANY_CONNECTIONS)
            return
        self._open_connection(client, peer)

    def _on_early(self, client: socket.socket, peer: str, retry_after_ms: float) -> None:
        """Somebody connects faster than the pace: told at once when to come back.  Over TLS it is only closed."""
        body = b'{"error":"Too many connect at once; come back later.","code":"503"}'
        self.listener.reject(
            client,
            b""
            if self._tls is not None
            else encode_response(
                503,
                body,
                {"retry-after": str(max(1, round(retry_after_ms / 1000))), "retry-after-ms": f"{retry_after_ms:.0f}"},
                False,
            ),
        )

    def _open_connection(self, client: socket.socket, peer: str) -> None:
        client.setblocking(False)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._tls is None:
            self._connections[HttpConnection(self, Transport(self.loop, client), peer)] = None
            return
        self._handshakes_in_progress += 1
        task = self.loop.create_task(self._handshake(client, peer, self._tls()))
        self._handshakes.add(task)
        task.add_done_callback(self._handshakes.discard)

    async def _handshake(self, client: socket.socket, peer: str, context: ssl.SSLContext) -> None:
        wire = TlsTransport(self.loop, client, context, True)
        try:
            await wire.handshake(self.limits.read_ms)
        except (ssl.SSLError, OSError) as cause:
            self._log_event("handshake-failed", peer=peer, reason=str(cause) or type(cause).__name__)
            wire.close()
            return
        finally:
            self._handshakes_in_progress -= 1
        self._connections[HttpConnection(self, wire, peer, self._identify(wire.certificate))] = None

    async def _enforce_time_limits(self) -> None:
        """Time limits of all connections, four times a second."""
        while True:
            await asyncio.sleep(0.25)
            now, limits = self.loop.time(), self.limits
            for connection in list(self._connections):
                writing, reading = connection.writing_since, connection.reading_since
                if writing is not None and (now - writing) * 1000 > limits.write_ms:
                    self._log_event("slow-reader", peer=connection.peer)
                    connection.abort()
                elif reading is not None and (now - reading) * 1000 > limits.read_ms:
                    self._log_event("slow-request", peer=connection.peer)
                    connection.time_out()
                elif not connection.busy and (now - connection.idle_since) * 1000 > limits.idle_ms:
                    connection.close_gracefully()

    def log_bad_request(self, fault: HttpError, peer: str) -> None:
        """Note malformed input."""
        self._log_event("bad-request", status=fault.status, reason=str(fault), peer=peer)

    def log_handler_failure(self, cause: Exception) -> None:
        """Note a fault of ours."""
        self._log_event("handler-failed", reason=f"{type(cause).__name__}: {cause}")

    def forget(self, connection: HttpConnection) -> None:
        """Forget a connection."""
        self._connections.pop(connection, None)
        self.unwritten_bytes, connection.unwritten_bytes = self.unwritten_bytes - connection.unwritten_bytes, 0

    def stop_listening(self) -> None:
        """Accept nothing more; open connections go on."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self.listener.close()

    def start_draining(self) -> None:
        """Take in whoever has connected already, and nobody after; each reply closes its connection."""
        self.draining = True
        self.listener.close(self._open_connection)
        self.stop_listening()

    def abort_all(self) -> None:
        """Close every connection now."""
        for connection in list(self._connections):
            connection.abort()

    async def drain(self, within_ms: float, linger_ms: float = 0.0) -> bool:
        """Stop listening, let what is in hand end, then close; True if all ended in time.

        Idle connections stay open for `linger_ms`: a request that was sent while we closed would be lost without
        an answer (RFC 9112 section 9.5).  Whatever comes on them is answered, and then they close.
        """
        self.start_draining()
        end = self.loop.time() + within_ms / 1000
        lingers = self.loop.time() + min(linger_ms, within_ms) / 1000
        while self._connections and self.loop.time() < lingers:
            await asyncio.sleep(0.01)
        while self._connections and self.loop.time() < end:
            for connection in list(self._connections):
                if not connection.partial:  # half a request is read to its end, and answered
                    connection.close_gracefully()
            await asyncio.sleep(0.01)
        clean = not self.busy
        self.abort_all()
        while self._connections and self.loop.time() < end + 1:
            await asyncio.sleep(0.005)
        return clean
