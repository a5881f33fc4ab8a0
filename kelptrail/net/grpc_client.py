"""gRPC calls over one HTTP/2 connection to an address, based on the h2 library; reconnects as needed.

A call ends exactly once: with the status that the server sent, or without a status if it was cancelled, was reset,
timed out or lost its connection.  `written` records whether the server may have read anything of the call.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
)
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes

from kelptrail.codec.grpc import Code, GrpcError, MessageReader, encode_message, read_trailers

from .transport import TlsTransport, Transport

BUFFER_BYTES, STREAM_WINDOW_BYTES = 65_536, 1 << 20


@dataclass(frozen=True, slots=True)
class CallResult:
    """How a call ended.

    With a status, the first five fields are those of its `CallStatus`.  Without one, `code` is None and `text` says why
    the call ended.  `written` is whether the server may have read anything of the call, `refused` whether the server
    declared it unprocessed (REFUSED_STREAM, RFC 9113 section 8.7).
    """

    code: Code | None
    text: str = ""
    retry_ms: float | None = None
    reason: str = ""
    details: dict[str, str] = field(default_factory=dict)
    written: bool = True
    refused: bool = False


class GrpcCall:
    """One call in flight."""

    __slots__ = ("id", "on_end", "on_message", "reader", "timer", "unsent", "written")

    def __init__(
        self,
        message: bytes,
        on_message: Callable[[bytes], None],
        on_end: Callable[[CallResult], None],
        max_message_bytes: int,
    ) -> None:
        self.unsent = encode_message(message)  # what flow control has not let through yet
        self.on_message, self.on_end, self.reader = on_message, on_end, MessageReader(max_message_bytes)
        self.id = 0  # id of the call's HTTP/2 stream; 0 until the call is sent
        self.written = False
        self.timer: asyncio.TimerHandle | None = None

    def end(self, result: CallResult) -> None:
        """End the call and pass `result` to `on_end`, which is called only once."""
        if self.timer is not None:
            self.timer.cancel()
        on_end, self.on_end, self.on_message = self.on_end, _ignore, _ignore
        on_end(result)


def _ignore(*_args: object) -> None:
    """Do nothing: replaces the callbacks of a call that has ended."""


class GrpcClient:
    """A gRPC client of one address, with one connection."""

    def __init__(
        self,
        address: str,
        connect_ms: float = 500.0,
        message_bytes: int = 1 << 24,
        tls: Callable[[], ssl.SSLContext] | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address, self._endpoint, self._tls = address, (host.strip("[]"), int(port)), tls
        self._connect_ms, self._max_message_bytes = connect_ms, message_bytes
        self._loop = asyncio.get_running_loop()
        self._connection: _ClientConnection | None = None
        self._connecting: asyncio.Task[_ClientConnection | None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def call(
        self,
        path: str,
        message: bytes,
        metadata: dict[str, str],
        on_message: Callable[[bytes], None],
        on_end: Callable[[CallResult], None],
        timeout_ms: float,
        grace_ms: float = 0.0,
    ) -> GrpcCall:
        """Start a call with one request message; `on_end` is called later, never from within this method.

        The server receives `timeout_ms` as its deadline; the client waits `grace_ms` longer.
        """
        call = GrpcCall(message, on_message, on_end, self._max_message_bytes)
        call.timer = self._loop.call_later((timeout_ms + grace_ms) / 1000, self._on_timeout, call)
        headers = [
            (":method", "POST"),
            (":scheme", "https" if self._tls else "http"),
            (":path", path),
            (":authority", self.address),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            ("grpc-timeout", f"{max(1, round(timeout_ms))}m"),
            *metadata.items(),
        ]
        task = self._loop.create_task(self._begin(call, headers))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return call

    async def _begin(self, call: GrpcCall, headers: list[tuple[str, str]]) -> None:
        connection = await self._get_connection()
        if connection is None:
            call.end(CallResult(None, "no connection", written=False))
        elif call.on_end is not _ignore:
            connection.begin(call, headers)

    async def _get_connection(self) -> _ClientConnection | None:
        if self._connection is not None and self._connection.open:
            return self._connection
        if self._connecting is None:
            self._connecting = self._loop.create_task(self._connect())
        return await asyncio.shield(self._connecting)

    async def _connect(self) -> _ClientConnection | None:
        sock = socket.socket(socket.AF_INET6 if ":" in self._endpoint[0] else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self._connect_ms / 1000):
                await self._loop.sock_connect(sock, self._endpoint)
                transport = Transport(self._loop, sock)
                if self._tls is not None:
                    transport = secure = TlsTransport(self._loop, sock, self._tls(), False, self._endpoint[0])
                    await secure.handshake(self._connect_ms)
        except OSError:
            sock.close()
            return None
        finally:
            self._connecting = None
        self._connection = _ClientConnection(self._loop, transport)
        return self._connection

    def _on_timeout(self, call: GrpcCall) -> None:
        if self._connection is not None:
            self._connection.cancel(call)
        call.end(CallResult(None, "no answer in time", written=call.written))

    def cancel(self, call: GrpcCall) -> None:
        """Cancel a call, which ends without a status."""
        if self._connection is not None:
            self._connection.cancel(call)
        call.end(CallResult(None, "cancelled", written=call.written))

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()


class _ClientConnection:
    """One HTTP/2 connection and its calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop, transport: Transport) -> None:
        self._loop, self._transport = loop, transport
        self._h2 = H2Connection(
            H2Configuration(client_side=True, header_encoding="utf-8", validate_outbound_headers=False)
        )
        self._h2.local_settings.update({SettingCodes.ENABLE_PUSH: 0})
        self._h2.initiate_connection()
        self._h2.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW_BYTES})
        self._h2.increment_flow_control_window(STREAM_WINDOW_BYTES * 8)
        self._calls: dict[int, GrpcCall] = {}
        self._waiting: list[tuple[GrpcCall, list[tuple[str, str]]]] = []  # calls over the limit on concurrent streams
        self._out = bytearray()
        self._output_ready: asyncio.Future[None] | None = None
        self.open = True
        self._flush()
        self._tasks = [loop.create_task(self._read()), loop.create_task(self._write())]

    def begin(self, call: GrpcCall, headers: list[tuple[str, str]]) -> None:
        """Send a call, or queue it while the server's limit of concurrent streams is reached."""
        if not self.open:
            call.end(CallResult(None, "the connection closes", written=False))
            return
        if len(self._calls) >= self._h2.remote_settings.max_concurrent_streams:
            self._waiting.append((call, headers))
            return
        call.id = self._h2.get_next_available_stream_id()
        self._calls[call.id] = call
        call.written = True
        self._h2.send_headers(call.id, headers)
        self._send_message(call)
        self._flush()

    def _send_message(self, call: GrpcCall) -> None:
        while call.unsent:
            window = min(self._h2.local_flow_control_window(call.id), self._h2.max_outbound_frame_size)
            if window <= 0:
                return
            data, call.unsent = call.unsent[:window], call.unsent[window:]
            self._h2.send_data(call.id, data, end_stream=not call.unsent)

    def cancel(self, call: GrpcCall) -> None:
        """Reset a call's stream, or remove the call from the queue if it was not sent yet."""
        if self._calls.pop(call.id, None) is not None:
            with contextlib.suppress(ProtocolError):
                self._h2.reset_stream(call.id, ErrorCodes.CANCEL)
            self._flush()
        self._waiting = [entry for entry in self._waiting if entry[0] is not call]

    async def _read(self) -> None:
        buffer = bytearray(BUFFER_BYTES)
        try:
            while count := await self._transport.recv_into(buffer):
                for event in self._h2.receive_data(bytes(buffer[:count])):
                    self._on_event(event)
                for call in list(self._calls.values()):
                    if call.unsent:
                        self._send_message(call)
                self._flush()
        except (OSError, ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._on_lost()

    def _on_event(self, event: object) -> None:
        if isinstance(event, ConnectionTerminated):
            self.open = False  # calls in flight continue; new calls use a new connection
            return
        call = self._calls.get(getattr(event, "stream_id", 0) or 0)
        if call is None:
            return
        if isinstance(event, DataReceived):
            self._h2.acknowledge_received_data(event.flow_controlled_length or 0, call.id)
            try:
                for message in call.reader.feed(event.data or b""):
                    call.on_message(message)
            except GrpcError as cause:
                self._end_call(call, CallResult(None, cause.text))
        elif isinstance(event, TrailersReceived | ResponseReceived):
            headers = {str(k): str(v) for k, v in event.headers or ()}
            if "grpc-status" in headers:
                self._end_call(call, CallResult(*read_trailers(headers)))
        elif isinstance(event, StreamReset):
            self._end_call(call, CallResult(None, "reset", refused=event.error_code == ErrorCodes.REFUSED_STREAM))
        elif isinstance(event, StreamEnded):
            self._end_call(call, CallResult(None, "no status"))

    def _end_call(self, call: GrpcCall, result: CallResult) -> None:
        self._calls.pop(call.id, None)
        call.end(result)
        while self._waiting and self.open:
            self.begin(*self._waiting.pop(0))
            if len(self._calls) >= self._h2.remote_settings.max_concurrent_streams:
                break

    def _flush(self) -> None:
        self._out += self._h2.data_to_send()
        if self._out and self._output_ready is not None and not self._output_ready.done():
            self._output_ready.set_result(None)

    async def _write(self) -> None:
        try:
            while True:
                if not self._out:
                    self._output_ready = self._loop.create_future()
                    await self._output_ready
                    continue
                data, self._out = self._out, bytearray()
                await self._transport.sendall(data)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._on_lost()

    def _on_lost(self) -> None:
        self.open = False
        calls, self._calls = list(self._calls.values()), {}
        waiting, self._waiting = self._waiting, []
        for call in calls:
            call.end(CallResult(None, "the connection ended"))
        for call, _ in waiting:
            call.end(CallResult(None, "the connection ended", written=False))
        for task in self._tasks:
            task.cancel()
        self._transport.close()

    def close(self) -> None:
        """Close immediately; calls in flight end without a status."""
        self._on_lost()
