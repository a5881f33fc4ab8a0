"""The clients' side of the protocol: accepts connections, reads requests and writes their answers.

A frame that cannot be parsed is answered with an error and its connection closed; a request whose fields cannot be used
is answered with an error.  Neither reaches the engine.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Protocol

from kelptrail.codec import frames
from kelptrail.codec.frames import FrameError
from kelptrail.engine.invariants import Invariants, Violation
from kelptrail.net.listener import Listener

from . import log_events
from .client_connection import ClientConnection, ClientRequest
from .client_connections import ClientConnections
from .close_reasons import CloseReason, RequestRefusal
from .log import LogWriter
from .parsed_request import ParsedRequest, RequestRules, UnusableRequestError

MAX_OPEN_REQUESTS = 32  # on one connection
LISTEN_BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on all clients together; `max_timeout_ms` is the longest that any request may take."""

    max_connections: int
    max_body_bytes: int  # of all open requests
    max_timeout_ms: float


class RequestHandler(Protocol):
    """Receives the requests of all clients."""

    def on_request(self, client_request: ClientRequest, parsed: ParsedRequest) -> None:
        """A request was accepted; each is answered once, unless its client goes first."""

    def on_client_gone(self, client_request: ClientRequest) -> None:
        """The client cancelled the request, or its connection has ended."""

    def is_open(self, request_id: str) -> bool:
        """Whether a request of that id is open."""


class ClientServer:
    """Serves all clients of one dispatcher.  `handler` must be set before `open`."""

    handler: RequestHandler

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: ClientLimits,
        rules: RequestRules,
        log: LogWriter,
        invariants: Invariants,
    ) -> None:
        self.loop, self.time, self._log, self._invariants = loop, loop.time, log, invariants
        self._rules, self._max_body_bytes, self._body_bytes = rules, limits.max_body_bytes, 0
        self.connections = ClientConnections(
            self, loop.time, limits.max_connections, limits.max_timeout_ms, log, invariants
        )
        self._listener = Listener(loop, self._on_connect, _ignore_early, log)
        self._listener.has_capacity = self.connections.has_capacity
        self._listener.on_descriptor_shortage = self.connections.make_room
        self.ready = True  # as the protocol reports it; False once GOAWAY was sent
        self._refuses_new = False

    def open(self, address: tuple[str, int]) -> int:
        """Listen; returns the port.  Raises `OSError`."""
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(LISTEN_BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        self._listener.add_socket(sock)
        return int(sock.getsockname()[1])

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self._listener.close()
        for client in [*self.connections.active, *self.connections.closing]:
            client.connection.close()

    # Shutdown.

    def write_go_away(self) -> None:
        """Report not ready, and send GOAWAY on all connections, present and future."""
        self.ready = False
        for client in self.connections.active:
            client.connection.write(frames.encode_frame(frames.GO_AWAY, 0))

    def stop_accepting(self) -> bool:
        """Accept the clients in the accept queue, then close the listener: later clients try another dispatcher.
        False while some in the queue cannot be accepted; the listener stays open for them.
        """
        if not self._listener.accept_queued():
            return False
        self._listener.close()
        return True

    def refuse_new(self) -> None:
        """Refuse every further request at once."""
        self._refuses_new = True

    def close_gracefully(self, timeout_ms: float) -> None:
        """Close all connections after what was written has been read."""
        for client in self.connections.active:
            for request in client.open_requests.values():
                self._invariants.report_violation(Violation.ENDED_OVER_REQUEST, request.id)
            client.connection.close_gracefully(timeout_ms)

    # Answers.

    def answer(self, request: ClientRequest, code: int, body: bytes = b"", later_ms: int = 0) -> None:
        """Write the one final answer of a request; `later_ms` is the protocol's Retry-After."""
        client = request.client
        if request.answered:
            self._invariants.report_violation(Violation.SECOND_ANSWER, request.id)
        if client.open_requests.pop(request.stream, None) is not None:
            request.answered = True
            self._body_bytes -= len(request.body)
            client.connection.write(frames.encode_answer(request.stream, code, body, later_ms))
            if not client.open_requests:
                self.connections.mark_idle(client)

    # Events of the connections.

    def on_complete_frame(self, client: ClientConnection) -> None:
        """A complete frame was read."""
        if client in self.connections.fresh:
            del self.connections.fresh[client]
            self.connections.mark_idle(client)

    def on_frame(self, client: ClientConnection, kind: int, stream: int, payload: bytes) -> None:
        """Handle one frame.  Raises `FrameError` where the protocol does not allow it."""
        if kind == frames.REQUEST:
            self._on_request_frame(client, stream, payload)
        elif kind == frames.CANCEL:
            if (request := client.open_requests.get(stream)) is not None:
                self._drop_request(request)
        elif kind == frames.READY_QUERY:
            client.connection.write(frames.encode_ready(stream, self.ready))
        else:
            raise FrameError(f"unexpected frame type {kind}", stream)

    def close_unreadable(self, client: ClientConnection, cause: FrameError) -> None:
        """Answer with an error and close: after bytes that cannot be parsed the next frame's start is unknown."""
        open_count = len(client.open_requests)
        self._log(
            log_events.CLIENT_CONNECTION_CLOSED, reason=CloseReason.UNREADABLE.value, cause=cause, open=open_count
        )
        stream = cause.stream if cause.stream not in client.open_requests else 0
        client.connection.write(frames.encode_answer(stream, frames.FAILED))
        self.connections.close_after_error(client)

    def on_closed(self, client: ClientConnection) -> None:
        """A connection has ended."""
        self.connections.remove(client)

    def drop_open_requests(self, client: ClientConnection) -> None:
        """The client of all these requests is gone."""
        for request in list(client.open_requests.values()):
            self._drop_request(request)

    def _on_connect(self, sock: socket.socket, _: str) -> None:
        self.connections.make_room_within_limit()
        client = ClientConnection(self, sock)
        self.connections.add(client)
        if not self.ready:
            client.connection.write(frames.encode_frame(frames.GO_AWAY, 0))

    def _on_request_frame(self, client: ClientConnection, stream: int, payload: bytes) -> None:
        if not stream or stream in client.open_requests:
            raise FrameError("stream is zero or already open", stream)
        if len(client.open_requests) >= MAX_OPEN_REQUESTS:
            raise FrameError("too many open requests on the connection", stream)
        fields, body_at = frames.read_fields(payload)
        body = payload[body_at:]
        if len(body) > frames.MAX_BODY_BYTES:
            raise FrameError("body too long", stream)
        try:
            parsed = ParsedRequest(fields, self._rules)
            if self.handler.is_open(parsed.id):
                raise UnusableRequestError("the id of an open request")
        except UnusableRequestError as cause:
            reason = RequestRefusal.UNUSABLE.value
            self._log(log_events.REQUEST_FAILED, request=fields.get("txn"), reason=reason, cause=cause)
            client.connection.write(frames.encode_answer(stream, frames.FAILED))
            return
        if (refusal := self._refusal(client, body)) is not None:
            self._log(log_events.REQUEST_REFUSED, request=parsed.id, reason=refusal.value)
            client.connection.write(frames.encode_answer(stream, frames.REFUSED))
            client.idle_since = self.time()
            return
        self._body_bytes += len(body)
        request = client.open_requests[stream] = ClientRequest(client, stream, parsed.id, parsed.key, body)
        self.connections.mark_busy(client)
        self.handler.on_request(request, parsed)

    def _refusal(self, client: ClientConnection, body: bytes) -> RequestRefusal | None:
        if self._refuses_new:
            return RequestRefusal.SHUTTING_DOWN
        if client.is_overflow:
            return RequestRefusal.NO_ROOM
        if self._body_bytes + len(body) > self._max_body_bytes:  # requests already accepted come first
            return RequestRefusal.NO_MEMORY
        return None

    def _drop_request(self, request: ClientRequest) -> None:
        client = request.client
        del client.open_requests[request.stream]
        request.client_gone_ms = self.time() * 1000
        self._body_bytes -= len(request.body)
        self.handler.on_client_gone(request)
        if not client.open_requests:
            self.connections.mark_idle(client)


def _ignore_early(sock: socket.socket, address: str, retry_after: float) -> None:
    """The listener has no pace limit, so it never calls this."""
    sock.close()
