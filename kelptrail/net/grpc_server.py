"""A listening gRPC server: HTTP/2 by the h2 library over `sock_recv_into` and `sock_sendall`; it decides nothing.

Each call comes to the handler as a `GrpcStream` once its headers are read.  What is sent goes out as the client's
flow control allows; what waits is bounded for a stream (`room`) and over all connections.  A call gets exactly one
status.  Closing is in two steps (RFC 9113, section 6.8): a warning, then refusals that promise that nothing was done.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    DataReceived,
    Event,
    PingReceived,
    RemoteSettingsChanged,
    RequestReceived,
    StreamEnded,
    StreamReset,
    WindowUpdated,
)
from h2.exceptions import FlowControlError, ProtocolError, StreamClosedError
from h2.settings import SettingCodes, Settings
from hyperframe.frame import GoAwayFrame

from kelptrail.codec.grpc import Code, GrpcError, MessageReader, encode_message, encode_trailers, timeout_ms

from .guard import CloseStage, FloodGuard, GuardAction, GuardSettings
from .listener import ConnectPace, Listener
from .transport import TlsTransport, Transport

BUFFER = 65_536
GOAWAY_DELIVERY_MS = 100.0  # how long a warning may take to be heard
MAX_STREAM_ID = 2**31 - 1


@dataclass(frozen=True, slots=True)
class GrpcLimits:
    """What one server takes; times are milliseconds."""

    connections: int = 10_000
    streams: int = 1000  # a connection
    header_bytes: int = 16_384
    message_bytes: int = 4_194_304
    partial_bytes: float = 268_435_456  # of messages that are not whole, over all connections
    unread_bytes: float = 268_435_456  # of answers that clients have not read, over all connections
    stream_bytes: int = 262_144  # a stream's own part, past which its producer pauses
    read_ms: float = 10_000.0
    write_ms: float = 30_000.0
    idle_ms: float = 300_000.0
    handshake_ms: float = 5000.0
    guard: GuardSettings = field(default_factory=GuardSettings)


class GrpcStream:
    """One call.  Callbacks come from the loop, never from within a method of this object."""

    __slots__ = (
        "_connection",
        "awaits_room",
        "blocked_since",
        "client_ended",
        "deadline",
        "ended",
        "headers_sent",
        "id",
        "metadata",
        "on_client_gone",
        "on_end",
        "on_message",
        "on_writable",
        "opened_at",
        "path",
        "pending",
        "reader",
        "request_complete",
        "trailers",
        "unsent_bytes",
    )

    def __init__(self, connection: GrpcConnection, id_: int, path: str, metadata: dict[str, str], now: float) -> None:
        self._connection, self.id, self.path, self.metadata = connection, id_, path, metadata
        limits = connection.server.limits
        self.reader = MessageReader(limits.message_bytes)
        self.pending: deque[bytes] = deque()
        self.unsent_bytes = 0  # bytes that wait to be sent
        self.trailers: list[tuple[bytes, bytes]] | None = None
        self.headers_sent = self.awaits_room = False
        self.ended = False  # it has its one status, or the client has gone
        self.client_ended = False
        self.request_complete = False  # it was handed to the handler whole: its read time is over
        self.opened_at, self.blocked_since = now, None
        self.deadline: float | None = None
        self.on_message: Callable[[bytes], None] = ignore
        self.on_end: Callable[[], None] = ignore
        self.on_client_gone: Callable[[], None] = ignore
        self.on_writable: Callable[[], None] = ignore

    blocked_since: float | None

    @property
    def peer(self) -> str:
        """The client's address."""
        return self._connection.peer

    @property
    def identity(self) -> str:
        """Whom the client's certificate names, by the server's own mapping; empty without one."""
        return self._connection.identity

    @property
    def can_write(self) -> bool:
        """Whether more may be given without holding too much for a slow reader."""
        if self.unsent_bytes < self._connection.server.limits.stream_bytes:
            return True
        self.awaits_room = True
        return False

    def send(self, message: bytes) -> bool:
        """Send a message; False where the call has ended."""
        if self.ended:
            return False
        self._send_headers()
        data = encode_message(message)
        self.pending.append(data)
        self.unsent_bytes += len(data)
        self._connection.server.add_unwritten(len(data))
        self._connection.pump(self)
        return True

    def finish(
        self,
        code: Code = Code.OK,
        text: str = "",
        retry_ms: float | None = None,
        reason: str = "",
        details: dict[str, str] | None = None,
    ) -> bool:
        """Give the one status, after what was sent; False where there is one already, or the client has gone."""
        if self.ended:
            return False
        self.ended = True
        self.trailers = encode_trailers(code, text, retry_ms, reason, details)
        self.on_message = self.on_end = self.on_client_gone = self.on_writable = ignore
        self._connection.pump(self)
        return True

    def fail(self, cause: GrpcError) -> bool:
        """Finish with an error."""
        return self.finish(cause.code, cause.text, cause.retry_ms, cause.reason, cause.details)

    def _send_headers(self) -> None:
        if not self.headers_sent:
            self.headers_sent = True
            self._connection.send_headers(self)


def ignore(*_args: object) -> None:
    """Stands in for a callback."""


class GrpcConnection:
    """One client's connection."""

    def __init__(self, server: GrpcServer, transport: Transport, peer: str, identity: str) -> None:
        self.server, self._transport, self.peer, self.identity = server, transport, peer, identity
        limits, now = server.limits, server.now()
        # Inbound names and values are checked: they come from anybody.  Outbound ones are our own.
        self._h2 = H2Connection(
            H2Configuration(
                client_side=False,
                header_encoding=None,
                validate_inbound_headers=True,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        self._h2.local_settings = Settings(
            client=False,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: limits.streams,
                SettingCodes.MAX_HEADER_LIST_SIZE: limits.header_bytes,
                SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self._h2.decoder.max_header_list_size = limits.header_bytes  # from the first frame on, not once it is acked
        self._h2.initiate_connection()
        self._h2.increment_flow_control_window(limits.message_bytes)
        self.guard = FloodGuard(limits.guard, now, zlib.crc32(peer.encode()) / 2**32)
        self.streams: dict[int, GrpcStream] = {}
        self._out = bytearray()
        self._output_ready: asyncio.Future[None] | None = None
        self._input_resumed: asyncio.Future[None] | None = None
        self._close_when_written = self._streams_dropped = False
        self._highest_stream_id = 0
        self.writing_since: float | None = None
        self.active_at = now  # when a stream was last there
        self._flush()
        self._tasks = [server.loop.create_task(self._read()), server.loop.create_task(self._write())]

    # Reading.

    async def _read(self) -> None:
        buffer = bytearray(BUFFER)
        try:
            while not self._close_when_written:
                count = await self._transport.recv_into(buffer)
                if not count:
                    break
                with memoryview(buffer) as view:
                    events = self._h2.receive_data(bytes(view[:count]))
                for event in events:
                    self._on_event(event)
                    if self._close_when_written:
                        break
                self._flush()
                while len(self._out) > BUFFER * 4:  # whoever does not read our answers is not read from
                    self._input_resumed = self.server.loop.create_future()
                    await self._input_resumed
            self._drop_streams()
        except ProtocolError as cause:  # the library has written the GOAWAY that says why
            self.server.log_event("protocol-error", peer=self.peer, reason=f"{type(cause).__name__}: {cause}")
            self.server.protocol_errors += 1
            self._flush()
            self._close_when_written = True
            self._drop_streams()
        except (OSError, asyncio.CancelledError):
            self._drop_streams()
        finally:
            self._wake_writer()

    def _on_event(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            self._on_request(event)
        elif isinstance(event, DataReceived):
            self._on_data(event)
        elif isinstance(event, StreamEnded):
            stream = self.streams.get(event.stream_id)
            if stream is not None:
                stream.client_ended = stream.request_complete = True
                if stream.reader.partial_bytes and not stream.ended:
                    stream.fail(GrpcError(Code.INTERNAL, "the call ended within a message"))
                else:
                    self._run_callback(stream, stream.on_end)
        elif isinstance(event, StreamReset):
            if not self.guard.spend(self.server.now(), GuardAction.RESET):
                self._stop_flood("streams are reset too often")
            if (stream := self.streams.get(event.stream_id)) is not None:
                self._on_client_gone(stream)
        elif isinstance(event, WindowUpdated):
            if event.stream_id:
                if (stream := self.streams.get(event.stream_id)) is not None:
                    self.pump(stream, False)
            else:
                for stream in list(self.streams.values()):
                    self.pump(stream, False)
        elif isinstance(event, RemoteSettingsChanged):
            if not self.guard.spend(self.server.now(), GuardAction.SETTINGS):
                self._stop_flood("settings come too often")
            for stream in list(self.streams.values()):
                self.pump(stream, False)
        elif isinstance(event, PingReceived) and not self.guard.spend(self.server.now(), GuardAction.PING):
            self._stop_flood("pings come too often")

    def _on_request(self, event: RequestReceived) -> None:
        id_ = event.stream_id
        assert id_ is not None
        self._highest_stream_id = max(self._highest_stream_id, id_)
        if not self.guard.accepts_streams:
            self._send_reset(id_, ErrorCodes.REFUSED_STREAM)  # nothing was done: trying again is harmless
            return
        headers: dict[str, str] = {}
        for name, value in event.headers or ():
            key = bytes(name).decode("latin-1")
            text = bytes(value).decode("latin-1")
            headers[key] = f"{headers[key]},{text}" if key in headers and not key.startswith(":") else text
        if headers.get(":method") != "POST" or not headers.get("content-type", "").startswith("application/grpc"):
            self._h2.send_headers(id_, [(b":status", b"415")], end_stream=True)
            return
        now = self.server.now()
        stream = self.streams[id_] = GrpcStream(self, id_, headers.get(":path", ""), headers, now)
        self.active_at = now
        self.server.open_streams += 1
        try:
            if (limit := headers.get("grpc-timeout")) is not None:
                try:
                    stream.deadline = now + timeout_ms(limit)
                except ValueError as cause:
                    raise GrpcError(Code.INVALID_ARGUMENT, str(cause)) from None
            if "grpc-encoding" in headers and headers["grpc-encoding"] != "identity":
                raise GrpcError(Code.UNIMPLEMENTED, "no compression is spoken here")
            self.server.handle(stream)
        except GrpcError as fault:
            stream.fail(fault)
        except Exception as fault:  # a fault of ours must not hang a client
            self.server.log_handler_failure(fault)
            stream.finish(Code.INTERNAL, "There was an internal server error.")

    def _on_data(self, event: DataReceived) -> None:
        count, id_ = event.flow_controlled_length or 0, event.stream_id or 0
        if not event.data and not event.stream_ended and not self.guard.spend(self.server.now(), GuardAction.EMPTY):
            self._stop_flood("empty frames come too often")
            return
        stream = self.streams.get(id_)
        if count:
            with contextlib.suppress(StreamClosedError, KeyError):
                self._h2.acknowledge_received_data(count, id_)
        if stream is None or stream.ended:
            return
        before = stream.reader.partial_bytes
        try:
            try:
                messages = stream.reader.feed(event.data or b"")
            finally:
                self.server.partial_bytes += stream.reader.partial_bytes - before
            if self.server.partial_bytes > self.server.limits.partial_bytes:
                raise GrpcError(Code.RESOURCE_EXHAUSTED, "too much is being received at once", 1000.0)
        except GrpcError as fault:
            stream.fail(fault)
            return
        for message in messages:
            self._run_callback(stream, stream.on_message, message)

    def _run_callback(self, stream: GrpcStream, callback: Callable[..., None], *arguments: Any) -> None:
        if stream.ended:
            return
        try:
            callback(*arguments)
        except GrpcError as fault:
            stream.fail(fault)
        except Exception as fault:
            self.server.log_handler_failure(fault)
            stream.finish(Code.INTERNAL, "There was an internal server error.")

    # Writing.

    def send_headers(self, stream: GrpcStream) -> None:
        """The first headers of an answer."""
        with contextlib.suppress(ProtocolError):
            self._h2.send_headers(stream.id, [(b":status", b"200"), (b"content-type", b"application/grpc")])

    def pump(self, stream: GrpcStream, flush: bool = True) -> None:
        """Send what a stream has, as far as its flow control allows."""
        try:
            while stream.pending:
                window = min(self._h2.local_flow_control_window(stream.id), self._h2.max_outbound_frame_size)
                if window <= 0 or len(self._out) > BUFFER * 16:
                    if stream.blocked_since is None:
                        stream.blocked_since = self.server.now()
                    if flush:
                        self._flush()
                    return
                data = stream.pending.popleft()
                if len(data) > window:
                    stream.pending.appendleft(data[window:])
                    data = data[:window]
                self._h2.send_data(stream.id, data)
                stream.unsent_bytes -= len(data)
                self.server.unwritten_bytes -= len(data)
                stream.blocked_since = None
            if stream.trailers is not None:
                self._send_trailers(stream)
            elif stream.awaits_room and stream.unsent_bytes < self.server.limits.stream_bytes // 2:
                stream.awaits_room = False
                self.server.loop.call_soon(self._run_callback, stream, stream.on_writable)
        except (StreamClosedError, FlowControlError, ProtocolError):
            self._on_client_gone(stream)
        if flush:
            self._flush()

    def _send_trailers(self, stream: GrpcStream) -> None:
        ends, stream.trailers = stream.trailers or [], None
        self._forget(stream)
        if not stream.headers_sent:  # trailers only
            ends = [(b":status", b"200"), (b"content-type", b"application/grpc"), *ends]
        self._h2.send_headers(stream.id, ends, end_stream=True)
        if not stream.client_ended:  # RFC 9113, section 8.1: what still comes is not wanted
            self._send_reset(stream.id, ErrorCodes.NO_ERROR)

    def _forget(self, stream: GrpcStream) -> None:
        if self.streams.pop(stream.id, None) is not None:
            self.server.open_streams -= 1
            self.server.unwritten_bytes -= stream.unsent_bytes
            self.server.partial_bytes -= stream.reader.partial_bytes
            stream.unsent_bytes = 0
            stream.pending.clear()
            self.active_at = self.server.now()

    def _on_client_gone(self, stream: GrpcStream) -> None:
        """The client wants no answer any more."""
        self._forget(stream)
        if not stream.ended:
            stream.ended = True
            gone, stream.on_client_gone = stream.on_client_gone, ignore
            stream.on_message = stream.on_end = stream.on_writable = ignore
            gone()

    def reset(self, stream: GrpcStream) -> None:
        """End a call without waiting for its reader."""
        self._send_reset(stream.id, ErrorCodes.CANCEL)
        self._on_client_gone(stream)
        self._flush()

    def _send_reset(self, id_: int, code: ErrorCodes) -> None:
        with contextlib.suppress(ProtocolError):
            self._h2.reset_stream(id_, code)

    def _stop_flood(self, text: str) -> None:
        """Too much that costs its sender nothing: told to go (RFC 9113, section 10.5)."""
        if self._close_when_written:
            return
        self.server.log_event("flood", peer=self.peer, reason=text)
        self.server.floods_stopped += 1
        with contextlib.suppress(ProtocolError):
            self._h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
        self._flush()
        self._close_when_written = True
        self._drop_streams()
        self._wake_writer()

    def enforce_time_limits(self, now: float) -> None:
        """See to age, grace and streams that stand still."""
        limits = self.server.limits
        stage = self.guard.due(now, len(self.streams), GOAWAY_DELIVERY_MS)
        if stage is CloseStage.WARNED:
            self._goaway(MAX_STREAM_ID)
        elif stage is CloseStage.CLOSING:
            self._goaway(self._highest_stream_id)
        if stage is CloseStage.CLOSED or (stage is CloseStage.CLOSING and not self.streams):
            for stream in list(self.streams.values()):
                self.reset(stream)
            self._close_when_written = True
            self._wake_writer()
            return
        for stream in list(self.streams.values()):
            if stream.blocked_since is not None and now - stream.blocked_since > limits.write_ms:
                self.server.log_event("slow-reader", peer=self.peer, bytes=stream.unsent_bytes)
                self.server.slow_readers_closed += 1
                self.reset(stream)
            elif not stream.request_complete and now - stream.opened_at > limits.read_ms:
                stream.finish(Code.DEADLINE_EXCEEDED, "The call did not arrive in time.")
        if self.writing_since is not None and now - self.writing_since > limits.write_ms:
            self.abort()
        elif not self.streams and now - self.active_at > limits.idle_ms:
            self.close_gracefully()

    def close_gracefully(self) -> None:
        """Close in good order: serve what is in hand."""
        if self.guard.stage is CloseStage.OPEN:
            self.guard.start_closing(self.server.now())
            self._goaway(MAX_STREAM_ID)

    def _goaway(self, last: int) -> None:
        # The library's own way ends the connection's machine at once; a graceful end goes on serving.
        self._out += GoAwayFrame(0, last_stream_id=last, error_code=0).serialize()
        self._flush()

    def abort(self) -> None:
        """Close now."""
        self._close_when_written = True
        for task in self._tasks:
            task.cancel()

    def _drop_streams(self) -> None:
        if self._streams_dropped:
            return
        self._streams_dropped = True
        self._close_when_written = True
        for stream in list(self.streams.values()):
            self._on_client_gone(stream)

    def _flush(self) -> None:
        self._out += self._h2.data_to_send()
        if self._out:
            self._wake_writer()

    def _wake_writer(self) -> None:
        if self._output_ready is not None and not self._output_ready.done():
            self._output_ready.set_result(None)

    async def _write(self) -> None:
        server = self.server
        try:
            while True:
                if not self._out:
                    if self._close_when_written:
                        break
                    self._output_ready = server.loop.create_future()
                    await self._output_ready
                    continue
                data, self._out = self._out, bytearray()
                self.writing_since = server.now()
                await self._transport.sendall(data)
                self.writing_since = None
                for stream in [s for s in self.streams.values() if s.blocked_since is not None]:
                    self.pump(stream, False)
                self._flush()
                if self._input_resumed is not None and not self._input_resumed.done():
                    self._input_resumed.set_result(None)
            self._transport.shutdown_write()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._close_when_written = True
            self._tasks[0].cancel()
            self._drop_streams()
            server.forget(self)
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(self._tasks[0], return_exceptions=True)
            self._transport.close()


class GrpcServer:
    """Listens, holds connections, sees to their time limits."""

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
        self.listener = Listener(self.loop, self._on_accept, self._on_early, self.log_event, pace)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connections: dict[GrpcConnection, None] = {}
        self._accepted_connections = 0  # connections whose handshake is under way, too
        self.open_streams = self.unwritten_bytes = self.partial_bytes = 0
        self.slow_readers_closed = self.protocol_errors = self.floods_stopped = self.rejected_connections = 0
        self.address = ""

    def now(self) -> float:
        """The loop's time in milliseconds."""
        return self.loop.time() * 1000

    @property
    def rejected_by_pace(self) -> int:
        """How many connected faster than the pace."""
        return self.listener.rejected_by_pace

    @property
    def connections(self) -> int:
        """How many are open."""
        return len(self._connections)

    def listen(self, host: str, port: int, reuse_port: bool = False, backlog: int = 1024) -> int:
        """Listen; returns the port (port 0: a free one).  `shared`: others may listen on it too."""
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

    def _start_task(self, what: Any) -> None:
        task = self.loop.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_accept(self, client: socket.socket, peer: str) -> None:
        if self._accepted_connections >= self.limits.connections:
            self.rejected_connections += 1
            self.log_event("connection-turned-away", open=self._accepted_connections)
            self.listener.reject(client, b"")
            return
        self._open_connection(client, peer)

    def _on_early(self, client: socket.socket, peer: str, back_ms: float) -> None:
        """Somebody connects faster than the pace.  HTTP/2 has nothing to say so before its preface: it is closed."""
        self.listener.reject(client, b"")

    def _open_connection(self, client: socket.socket, peer: str) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._accepted_connections += 1
        if self._tls is None:
            self._connections[GrpcConnection(self, Transport(self.loop, client), peer, "")] = None
        else:
            self._start_task(self._handshake(client, peer, self._tls()))

    async def _handshake(self, client: socket.socket, peer: str, context: ssl.SSLContext) -> None:
        wire = TlsTransport(self.loop, client, context, True)
        try:
            await wire.handshake(self.limits.handshake_ms)
            if wire.protocol != "h2":
                raise ssl.SSLError("the client did not ask for h2")
        except (ssl.SSLError, OSError) as cause:
            self.log_event("handshake-failed", peer=peer, reason=str(cause) or type(cause).__name__)
            self.protocol_errors += 1
            self._accepted_connections -= 1
            wire.close()
            return
        self._connections[GrpcConnection(self, wire, peer, self._identify(wire.certificate))] = None

    def add_unwritten(self, count: int) -> None:
        """Keep what is unread within its bound: the stream that has stood still for longest is ended."""
        self.unwritten_bytes += count
        while self.unwritten_bytes > self.limits.unread_bytes:
            found = [
                (s.blocked_since, c, s)
                for c in self._connections
                for s in c.streams.values()
                if s.blocked_since is not None and s.unsent_bytes
            ]
            if not found:
                return
            _, connection, stream = min(found, key=lambda entry: entry[0])
            self.log_event("slow-reader-cut", peer=connection.peer, bytes=stream.unsent_bytes)
            self.slow_readers_closed += 1
            connection.reset(stream)

    async def _enforce_time_limits(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = self.now()
            for connection in list(self._connections):
                connection.enforce_time_limits(now)

    def log_handler_failure(self, cause: Exception) -> None:
        """A fault of a handler."""
        self.log_event("handler-failed", reason=f"{type(cause).__name__}: {cause}")

    def forget(self, connection: GrpcConnection) -> None:
        """Forget a connection."""
        if self._connections.pop(connection, 0) is None:
            self._accepted_connections -= 1

    def stop_listening(self) -> None:
        """Accept nothing more."""
        self.listener.close(self._open_connection)

    def start_draining(self) -> None:
        """Ask every connection to go elsewhere; what is in hand is served."""
        for connection in list(self._connections):
            connection.close_gracefully()

    async def drain(self, within_ms: float) -> bool:
        """Stop, warn, serve what is in hand; True if nothing was cut off."""
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
