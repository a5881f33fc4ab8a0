"""The HTTP/2 connection of one client of a gRPC server: streams, flow control, flood limits and closing.

It is based on the h2 library.  A graceful close has two steps (RFC 9113 section 6.8).  The first GOAWAY is a warning:
streams in flight and new ones are still served.  The second names the last stream; after it, new streams are refused
with REFUSED_STREAM, which states that they were not processed.
"""

from __future__ import annotations

import asyncio
import contextlib
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

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
from hyperframe.frame import GoAwayFrame

from kelptrail.codec.grpc import Code, GrpcError, TimeoutHeaderError, timeout_ms

from .grpc_stream import GrpcStream, ignore
from .guard import CloseStage, FloodGuard, GuardAction
from .h2_setup import new_h2_connection, read_headers
from .transport import Transport

if TYPE_CHECKING:
    from .grpc_server import GrpcServer

READ_BUFFER_BYTES = 65_536
PAUSE_READING_BYTES = 4 * READ_BUFFER_BYTES  # unwritten output above which reading pauses
PAUSE_STREAMS_BYTES = 16 * READ_BUFFER_BYTES  # unwritten output above which streams stop sending
GOAWAY_DELIVERY_MS = 100.0  # time for a GOAWAY to reach the client
MAX_STREAM_ID = 2**31 - 1


class GrpcConnection:
    """The connection of one client.  Times are milliseconds."""

    def __init__(self, server: GrpcServer, transport: Transport, peer: str, identity: str) -> None:
        self.server, self._transport, self.peer, self.identity = server, transport, peer, identity
        limits, now = server.limits, server.now()
        self._h2 = new_h2_connection(limits)
        self.guard = FloodGuard(limits.guard, now, zlib.crc32(peer.encode()) / 2**32)
        self.streams: dict[int, GrpcStream] = {}
        self._out = bytearray()
        self._output_ready: asyncio.Future[None] | None = None
        self._input_resumed: asyncio.Future[None] | None = None
        self._close_when_written = self._streams_ended = False
        self._highest_stream_id = 0
        self.writing_since: float | None = None
        self.active_at = now  # last time at which a stream was opened or ended
        self._flush()
        self._tasks = [server.loop.create_task(self._read()), server.loop.create_task(self._write())]

    # Reading.

    async def _read(self) -> None:
        buffer = bytearray(READ_BUFFER_BYTES)
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
                while len(self._out) > PAUSE_READING_BYTES:
                    self._input_resumed = self.server.loop.create_future()
                    await self._input_resumed
            self._end_all_streams()
        except ProtocolError as cause:  # the library has queued a GOAWAY with the error code
            self.server.log_event("protocol-error", peer=self.peer, reason=f"{type(cause).__name__}: {cause}")
            self.server.protocol_errors += 1
            self._flush()
            self._close_when_written = True
            self._end_all_streams()
        except (OSError, asyncio.CancelledError):
            self._end_all_streams()
        finally:
            self._wake_writer()

    def _on_event(self, event: Event) -> None:
        match event:
            case RequestReceived():
                self._on_request(event)
            case DataReceived():
                self._on_data(event)
            case StreamEnded():
                self._on_stream_ended(event)
            case StreamReset():
                self._on_stream_reset(event)
            case WindowUpdated():
                self._on_window_updated(event)
            case RemoteSettingsChanged():
                if not self.guard.spend(self.server.now(), GuardAction.SETTINGS):
                    self._stop_flood("too many SETTINGS frames")
                self._send_pending_of_all()
            case PingReceived():
                if not self.guard.spend(self.server.now(), GuardAction.PING):
                    self._stop_flood("too many PING frames")

    def _on_stream_ended(self, event: StreamEnded) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        stream.client_ended = stream.request_complete = True
        if stream.reader.partial_bytes and not stream.ended:
            stream.fail(GrpcError(Code.INTERNAL, "the call ended within a message"))
        else:
            self._run_callback(stream, stream.on_end)

    def _on_stream_reset(self, event: StreamReset) -> None:
        if not self.guard.spend(self.server.now(), GuardAction.RESET):
            self._stop_flood("too many stream resets")
        if (stream := self.streams.get(event.stream_id)) is not None:
            self._on_client_gone(stream)

    def _on_window_updated(self, event: WindowUpdated) -> None:
        if not event.stream_id:  # the window of the connection
            self._send_pending_of_all()
        elif (stream := self.streams.get(event.stream_id)) is not None:
            self.send_pending(stream, False)

    def _send_pending_of_all(self) -> None:
        for stream in list(self.streams.values()):
            self.send_pending(stream, False)

    def _on_request(self, event: RequestReceived) -> None:
        id_ = event.stream_id
        assert id_ is not None
        self._highest_stream_id = max(self._highest_stream_id, id_)
        if not self.guard.accepts_streams:
            self._send_reset(id_, ErrorCodes.REFUSED_STREAM)  # nothing was processed, so a retry is safe
            return
        headers = read_headers(event)
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
                except TimeoutHeaderError as cause:
                    raise GrpcError(Code.INVALID_ARGUMENT, str(cause)) from None
            if "grpc-encoding" in headers and headers["grpc-encoding"] != "identity":
                raise GrpcError(Code.UNIMPLEMENTED, "no compression is spoken here")
            self.server.handle(stream)
        except GrpcError as fault:
            stream.fail(fault)
        except Exception as fault:  # noqa: BLE001 - a bug in a handler must not leave the client without a status
            self.server.log_handler_failure(fault)
            stream.finish(Code.INTERNAL, "There was an internal server error.")

    def _on_data(self, event: DataReceived) -> None:
        count, id_ = event.flow_controlled_length or 0, event.stream_id or 0
        if not event.data and not event.stream_ended and not self.guard.spend(self.server.now(), GuardAction.EMPTY):
            self._stop_flood("too many empty DATA frames")
            return
        stream = self.streams.get(id_)
        if count:
            with contextlib.suppress(StreamClosedError, KeyError):
                self._h2.acknowledge_received_data(count, id_)
        if stream is None or stream.ended:
            return
        partial_before = stream.reader.partial_bytes
        try:
            try:
                messages = stream.reader.feed(event.data or b"")
            finally:
                self.server.partial_bytes += stream.reader.partial_bytes - partial_before
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
        except Exception as fault:  # noqa: BLE001 - as in `_on_request`
            self.server.log_handler_failure(fault)
            stream.finish(Code.INTERNAL, "There was an internal server error.")

    # Writing.

    def send_headers(self, stream: GrpcStream) -> None:
        """Send the headers of a response."""
        with contextlib.suppress(ProtocolError):
            self._h2.send_headers(stream.id, [(b":status", b"200"), (b"content-type", b"application/grpc")])

    def send_pending(self, stream: GrpcStream, flush: bool = True) -> None:
        """Send the messages of a stream as far as flow control allows (RFC 9113 section 5.2), then its trailers."""
        try:
            while stream.pending:
                window = min(self._h2.local_flow_control_window(stream.id), self._h2.max_outbound_frame_size)
                if window <= 0 or len(self._out) > PAUSE_STREAMS_BYTES:
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
            elif stream.awaits_writable and stream.unsent_bytes < self.server.limits.stream_bytes // 2:
                stream.awaits_writable = False
                self.server.loop.call_soon(self._run_callback, stream, stream.on_writable)
        except (StreamClosedError, FlowControlError, ProtocolError):
            self._on_client_gone(stream)
        if flush:
            self._flush()

    def _send_trailers(self, stream: GrpcStream) -> None:
        trailers, stream.trailers = stream.trailers or [], None
        self._remove_stream(stream)
        if not stream.headers_sent:  # the Trailers-Only form of a gRPC response
            trailers = [(b":status", b"200"), (b"content-type", b"application/grpc"), *trailers]
        self._h2.send_headers(stream.id, trailers, end_stream=True)
        if not stream.client_ended:  # RFC 9113 section 8.1: the client need not send the rest of the request
            self._send_reset(stream.id, ErrorCodes.NO_ERROR)

    def _remove_stream(self, stream: GrpcStream) -> None:
        if self.streams.pop(stream.id, None) is not None:
            self.server.open_streams -= 1
            self.server.unwritten_bytes -= stream.unsent_bytes
            self.server.partial_bytes -= stream.reader.partial_bytes
            stream.unsent_bytes = 0
            stream.pending.clear()
            self.active_at = self.server.now()

    def _on_client_gone(self, stream: GrpcStream) -> None:
        """End a call without a status, as its client reset the stream or disconnected."""
        self._remove_stream(stream)
        if not stream.ended:
            stream.ended = True
            on_client_gone, stream.on_client_gone = stream.on_client_gone, ignore
            stream.on_message = stream.on_end = stream.on_writable = ignore
            on_client_gone()

    def reset(self, stream: GrpcStream) -> None:
        """Reset a stream, for example because its client does not read."""
        self._send_reset(stream.id, ErrorCodes.CANCEL)
        self._on_client_gone(stream)
        self._flush()

    def _send_reset(self, id_: int, code: ErrorCodes) -> None:
        with contextlib.suppress(ProtocolError):
            self._h2.reset_stream(id_, code)

    def _stop_flood(self, text: str) -> None:
        """Close the connection of a client that sends a flood of frames (RFC 9113 section 10.5)."""
        if self._close_when_written:
            return
        self.server.log_event("flood-detected", peer=self.peer, reason=text)
        self.server.floods_stopped += 1
        with contextlib.suppress(ProtocolError):
            self._h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
        self._flush()
        self._close_when_written = True
        self._end_all_streams()
        self._wake_writer()

    def enforce_time_limits(self, now: float) -> None:
        """Enforce the limits on the connection's age, grace and idle time, and on blocked or incomplete streams."""
        limits = self.server.limits
        stage = self.guard.advance_stage(now, len(self.streams), GOAWAY_DELIVERY_MS)
        if stage is CloseStage.WARNED:
            self._send_goaway(MAX_STREAM_ID)
        elif stage is CloseStage.CLOSING:
            self._send_goaway(self._highest_stream_id)
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
        """Start the graceful close with the first GOAWAY; streams in flight are served."""
        if self.guard.stage is CloseStage.OPEN:
            self.guard.start_closing(self.server.now())
            self._send_goaway(MAX_STREAM_ID)

    def _send_goaway(self, last_stream_id: int) -> None:
        # The library's own method would close its state machine; during a graceful close, streams continue.
        self._out += GoAwayFrame(0, last_stream_id=last_stream_id, error_code=0).serialize()
        self._flush()

    def abort(self) -> None:
        """Close immediately."""
        self._close_when_written = True
        for task in self._tasks:
            task.cancel()

    def _end_all_streams(self) -> None:
        if self._streams_ended:
            return
        self._streams_ended = True
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
                    self.send_pending(stream, False)
                self._flush()
                if self._input_resumed is not None and not self._input_resumed.done():
                    self._input_resumed.set_result(None)
            self._transport.shutdown_write()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._close_when_written = True
            self._tasks[0].cancel()
            self._end_all_streams()
            server.forget(self)
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(self._tasks[0], return_exceptions=True)
            self._transport.close()
