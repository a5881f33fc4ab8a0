"""A listening HTTP/1.1 server, based on the event loop's socket calls; it makes no decisions about requests.

Each complete request is passed to the handler with an `Exchange`, through which the handler replies immediately or
later, in any order.  An exchange is notified when its client disconnects.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kelptrail.codec.http import HttpError, encode_response

from .http_connection import HttpConnection
from .http_exchange import Exchange, Handler
from .listener import ConnectPace, Listener
from .transport import TlsTransport, Transport

__all__ = ["Exchange", "Handler", "HttpServer", "Limits"]

TOO_MANY_CONNECTIONS = encode_response(
    503, b'{"error":"too many connections","code":"503"}', {"retry-after": "1"}, keep_alive=False
)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one server; times are milliseconds.

    `read_ms` limits the time to receive one request and the time of a TLS handshake, `write_ms` the time of one write,
    `idle_ms` the time that a connection stays open without requests.
    """

    connections: int = 10_000
    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    pipelined: int = 32  # requests in flight on one connection
    read_ms: float = 10_000.0
    write_ms: float = 30_000.0
    idle_ms: float = 75_000.0
    unread_bytes: float = 268_435_456  # limit on unwritten bytes of replies, over all connections


class HttpServer:
    """Accepts connections and enforces their limits.  `identify` maps a client's certificate to its identity."""

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
        self._handshakes_in_progress = 0
        self._handshake_tasks: set[asyncio.Task[None]] = set()
        self.limits = limits or Limits()
        self.handle = handler
        self._log_event = log_event or (lambda *_args, **_fields: None)
        self.listener = Listener(self.loop, self._on_accept, self._on_over_pace, self._log_event, pace)
        self._tasks: list[asyncio.Task[Any]] = []
        self._connections: dict[HttpConnection, None] = {}
        self.bytes_in = 0
        self.rejected_connections = 0
        self.unwritten_bytes = 0  # unwritten bytes of replies, over all connections
        self.slow_readers_closed = 0  # connections closed because too many bytes were unwritten
        self.draining = False  # when True, a connection closes after its last outstanding reply
        self.address = ""

    def add_unwritten(self, count: int) -> None:
        """Count bytes of a reply; over the limit, close the connection whose write has been in progress for longest.

        Guards against many clients that request large replies and read slowly, each within its own limits.
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
            self._log_event("slow-reader-closed", peer=slow.peer, bytes=slow.unwritten_bytes)
            self.slow_readers_closed += 1
            self.unwritten_bytes, slow.unwritten_bytes = self.unwritten_bytes - slow.unwritten_bytes, 0
            slow.abort()

    @property
    def accept_delay_ms(self) -> float:
        """Delay of each new connection in ms; used only by emulators."""
        return self.listener.accept_delay_ms

    @accept_delay_ms.setter
    def accept_delay_ms(self, delay_ms: float) -> None:
        self.listener.accept_delay_ms = delay_ms

    @property
    def rejected_by_pace(self) -> int:
        """Number of connections rejected because they exceeded the pace."""
        return self.listener.rejected_by_pace

    @property
    def connections(self) -> int:
        """Number of open connections, without those in a TLS handshake."""
        return len(self._connections)

    @property
    def busy(self) -> bool:
        """Whether any connection has a request in flight or a reply to write."""
        return any(connection.busy for connection in self._connections)

    def listen(self, host: str, port: int, reuse_port: bool = False, backlog: int = 1024) -> int:
        """Listen on `port` (0: any free port) and return it.  `reuse_port`: other sockets may listen on it as well."""
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
        """Open an accepted connection, or reject it if the limit is reached."""
        if len(self._connections) + self._handshakes_in_progress >= self.limits.connections:
            self.rejected_connections += 1
            self._log_event("connection-rejected", open=len(self._connections))
            self.listener.reject(client, TOO_MANY_CONNECTIONS)
            return
        self._open_connection(client, peer)

    def _on_over_pace(self, client: socket.socket, peer: str, retry_after_ms: float) -> None:
        """Reject a client that exceeds the pace, with its time to retry; over TLS, only close its connection."""
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
        self._handshake_tasks.add(task)
        task.add_done_callback(self._handshake_tasks.discard)

    async def _handshake(self, client: socket.socket, peer: str, context: ssl.SSLContext) -> None:
        transport = TlsTransport(self.loop, client, context, True)
        try:
            await transport.handshake(self.limits.read_ms)
        except (ssl.SSLError, OSError) as cause:
            self._log_event("handshake-failed", peer=peer, reason=str(cause) or type(cause).__name__)
            transport.close()
            return
        finally:
            self._handshakes_in_progress -= 1
        self._connections[HttpConnection(self, transport, peer, self._identify(transport.certificate))] = None

    async def _enforce_time_limits(self) -> None:
        """Check the time limits of all connections four times a second."""
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
        """Log a request that could not be accepted."""
        self._log_event("bad-request", status=fault.status, reason=str(fault), peer=peer)

    def log_handler_failure(self, cause: Exception) -> None:
        """Log an exception raised by the handler."""
        self._log_event("handler-failed", reason=f"{type(cause).__name__}: {cause}")

    def forget(self, connection: HttpConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)
        self.unwritten_bytes, connection.unwritten_bytes = self.unwritten_bytes - connection.unwritten_bytes, 0

    def stop_listening(self) -> None:
        """Stop accepting connections and enforcing time limits; open connections stay open."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self.listener.close()

    def start_draining(self) -> None:
        """Accept the clients in the accept queue, then stop listening.

        From now on a connection closes after its last outstanding reply.
        """
        self.draining = True
        self.listener.close(self._open_connection)
        self.stop_listening()

    def abort_all(self) -> None:
        """Close every connection immediately."""
        for connection in list(self._connections):
            connection.abort()

    async def drain(self, within_ms: float, linger_ms: float = 0.0) -> bool:
        """Stop listening, finish the requests in flight, then close.  Return whether all finished in time.

        Idle connections stay open for `linger_ms`: a request sent while the server closes them would be lost without a
        reply (RFC 9112 section 9.5).  A request that arrives on an idle connection is answered, then the connection is
        closed.
        """
        self.start_draining()
        end = self.loop.time() + within_ms / 1000
        linger_end = self.loop.time() + min(linger_ms, within_ms) / 1000
        while self._connections and self.loop.time() < linger_end:
            await asyncio.sleep(0.01)
        while self._connections and self.loop.time() < end:
            for connection in list(self._connections):
                if not connection.partial:  # an incomplete request is read to its end and answered
                    connection.close_gracefully()
            await asyncio.sleep(0.01)
        clean = not self.busy
        self.abort_all()
        while self._connections and self.loop.time() < end + 1:
            await asyncio.sleep(0.005)
        return clean
