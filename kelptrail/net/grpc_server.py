"""A listening gRPC server, based on the h2 library and the event loop's socket calls.

It makes no decisions about calls.  Each call is passed to the handler as a `GrpcStream` once its headers are read.
Messages are sent as the client's flow control allows; unsent bytes are limited for each stream (`can_write`) and over
all connections.  Each call gets exactly one status.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .grpc_connection import GrpcConnection
from .grpc_stream import GrpcStream
from .guard import GuardSettings
from .listener import ConnectPace, Listener
from .transport import TlsTransport, Transport

__all__ = ["GrpcLimits", "GrpcServer", "GrpcStream"]


@dataclass(frozen=True, slots=True)
class GrpcLimits:
    """Limits of one server; times are milliseconds.

    `read_ms` limits the time from the start of a call until its client has sent all of it, `write_ms` the time of one
    write and the time for which a stream with pending messages can send nothing, `idle_ms` the time that a connection
    stays open without streams.
    """

    connections: int = 10_000
    streams: int = 1000  # per connection
    header_bytes: int = 16_384
    message_bytes: int = 4_194_304
    partial_bytes: float = 268_435_456  # buffered bytes of incomplete messages, over all connections
    unread_bytes: float = 268_435_456  # bytes of messages not sent yet, over all connections
    stream_bytes: int = 262_144  # unsent bytes of a stream above which its producer pauses
    read_ms: float = 10_000.0
    write_ms: float = 30_000.0
    idle_ms: float = 300_000.0
    handshake_ms: float = 5000.0
    guard: GuardSettings = field(default_factory=GuardSettings)


class GrpcServer:
    """Accepts connections and enforces their limits.  `identify` maps a client's certificate to its identity."""

    def __init__(
        self,
        handler: Callable[[GrpcStream], None],
        limits: GrpcLimits | None = None,
        log_event: Callable[..., None] | None = None,
        tls: Callable[[], ssl.SSLContext] | None = None,
        identify: Callable[[bytes | None], str] | None = None,
        pace: ConnectPace | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.handle, self.limits = handler, limits or GrpcLimits()
        self.log_event = log_event or (lambda *_args, **_fields: None)
        self._tls, self._identify = tls, identify or (lambda _certificate: "")
        self.listener = Listener(self.loop, self._on_accept, self._on_over_pace, self.log_event, pace)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connections: dict[GrpcConnection, None] = {}
        self._accepted_connections = 0  # open connections, including those in a TLS handshake
        self.open_streams = self.unwritten_bytes = self.partial_bytes = 0
        self.slow_readers_closed = self.protocol_errors = self.floods_stopped = self.rejected_connections = 0
        self.address = ""

    def now(self) -> float:
        """Return the loop's time in milliseconds."""
        return self.loop.time() * 1000

    @property
    def rejected_by_pace(self) -> int:
        """Number of connections rejected because they exceeded the pace."""
        return self.listener.rejected_by_pace

    @property
    def connections(self) -> int:
        """Number of open connections, without those in a TLS handshake."""
        return len(self._connections)

    def listen(self, host: str, port: int, reuse_port: bool = False, backlog: int = 1024) -> int:
        """Listen on `port` (0: any free port) and return it.  `reuse_port`: other sockets may listen on it as well."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(backlog)
        sock.setblocking(False)
        bound = int(sock.getsockname()[1])
        self.address = f"{host}:{bound}"
        if not self.listener.is_open:
            self._start_task(self._enforce_time_limits())
        self.listener.add_socket(sock)
        return bound

    def _start_task(self, coroutine: Any) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_accept(self, client: socket.socket, peer: str) -> None:
        if self._accepted_connections >= self.limits.connections:
            self.rejected_connections += 1
            self.log_event("connection-rejected", open=self._accepted_connections)
            self.listener.reject(client, b"")
            return
        self._open_connection(client, peer)

    def _on_over_pace(self, client: socket.socket, peer: str, retry_after_ms: float) -> None:
        """Close the connection of a client that exceeds the pace; HTTP/2 allows no response before its preface."""
        self.listener.reject(client, b"")

    def _open_connection(self, client: socket.socket, peer: str) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._accepted_connections += 1
        if self._tls is None:
            self._connections[GrpcConnection(self, Transport(self.loop, client), peer, "")] = None
        else:
            self._start_task(self._handshake(client, peer, self._tls()))

    async def _handshake(self, client: socket.socket, peer: str, context: ssl.SSLContext) -> None:
        transport = TlsTransport(self.loop, client, context, True)
        try:
            await transport.handshake(self.limits.handshake_ms)
            if transport.protocol != "h2":
                raise ssl.SSLError("the client did not negotiate h2")
        except (ssl.SSLError, OSError) as cause:
            self.log_event("handshake-failed", peer=peer, reason=str(cause) or type(cause).__name__)
            self.protocol_errors += 1
            self._accepted_connections -= 1
            transport.close()
            return
        self._connections[GrpcConnection(self, transport, peer, self._identify(transport.certificate))] = None

    def add_unwritten(self, count: int) -> None:
        """Count bytes to send; over the limit, reset the streams that have been blocked for longest."""
        self.unwritten_bytes += count
        while self.unwritten_bytes > self.limits.unread_bytes:
            blocked = [
                (s.blocked_since, c, s)
                for c in self._connections
                for s in c.streams.values()
                if s.blocked_since is not None and s.unsent_bytes
            ]
            if not blocked:
                return
            _, connection, stream = min(blocked, key=lambda entry: entry[0])
            self.log_event("slow-reader-closed", peer=connection.peer, bytes=stream.unsent_bytes)
            self.slow_readers_closed += 1
            connection.reset(stream)

    async def _enforce_time_limits(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = self.now()
            for connection in list(self._connections):
                connection.enforce_time_limits(now)

    def log_handler_failure(self, cause: Exception) -> None:
        """Log an exception raised by a handler."""
        self.log_event("handler-failed", reason=f"{type(cause).__name__}: {cause}")

    def forget(self, connection: GrpcConnection) -> None:
        """Remove a closed connection."""
        if self._connections.pop(connection, 0) is None:
            self._accepted_connections -= 1

    def stop_listening(self) -> None:
        """Accept the clients in the accept queue, then stop listening."""
        self.listener.close(self._open_connection)

    def start_draining(self) -> None:
        """Send a GOAWAY on every connection; streams in flight are served."""
        for connection in list(self._connections):
            connection.close_gracefully()

    async def drain(self, within_ms: float) -> bool:
        """Stop listening, send a GOAWAY, and serve the streams in flight.  Return whether all of them completed."""
        self.stop_listening()
        self.start_draining()
        end = self.now() + within_ms
        while self._connections and self.now() < end:
            await asyncio.sleep(0.02)
        clean = not any(c.streams for c in self._connections)
        for connection in list(self._connections):
            connection.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)
        while self._connections and self.now() < end + 1000:
            await asyncio.sleep(0.01)
        return clean
