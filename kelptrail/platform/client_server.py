"""The client side of the protocol: accepts connections, reads requests and writes their answers.

A frame that cannot be parsed or is not allowed is answered with an error and its connection is closed.  A request with
invalid fields is answered with an error and its connection stays open.  Neither reaches the engine.
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
from kelptrail.net.read_scheduler import ReadScheduler

from . import log_events
from .client_connection import ClientConnection, ClientRequest
from .client_connections import ClientConnections
from .close_reasons import CloseReason, RequestRefusal
from .log import LogWriter
from .parsed_request import ParsedRequest, RequestRules, UnusableRequestError

MAX_OPEN_REQUESTS = 32  # per connection
LISTEN_BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of the server."""

    max_connections: int
    max_body_bytes: int  # total body size of all open requests
    max_timeout_ms: float  # longest timeout of any request class


class RequestHandler(Protocol):
    """Receives the requests of all clients."""

    def on_request(self, client_request: ClientRequest, parsed: ParsedRequest) -> None:
        """Handle an accepted request; it must be answered once, unless its client cancels it or disconnects first."""

    def on_client_gone(self, client_request: ClientRequest) -> None:
        """Handle a request that its client cancelled, or whose connection has ended."""

    def is_open(self, request_id: str) -> bool:
        """Return whether a request with this id is open."""


class ClientServer:
    """Serves all clients of one dispatcher.  `handler` must be set before `open` is called."""

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
        self.read_scheduler = ReadScheduler(loop)
        self._rules, self._max_body_bytes, self._body_bytes = rules, limits.max_body_bytes, 0
        self.connections = ClientConnections(
            self, loop.time, limits.max_connections, limits.max_timeout_ms, log, invariants
        )
        self._listener = Listener(loop, self._on_connect, _reject_over_rate, log)
        self._listener.has_capacity = self.connections.has_capacity
        self._listener.on_descriptor_shortage = self.connections.evict_one
        self.ready = True  # reported to readiness queries; False once GOAWAY was sent
        self._refuses_new_requests = False

    def open(self, address: tuple[str, int]) -> int:
        """Listen at an address and return the port.  Raises `OSError`."""
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
        """Close the listener and all connections immediately."""
        self._listener.close()
        for client in [*self.connections.active, *self.connections.closing]:
            client.connection.close()

    # Shutdown.

    def write_go_away(self) -> None:
        """Report the dispatcher as not ready, and send GOAWAY on all open and later connections."""
        self.ready = False
        for client in self.connections.active:
            client.connection.write(frames.encode_frame(frames.GO_AWAY, 0))

    def stop_accepting(self) -> bool:
        """Accept the clients in the accept queue, then close the listener, so that later ones use another dispatcher.

        Return False while clients in the queue cannot be accepted; the listener then stays open.
        """
        if not self._listener.accept_queued():
            return False
        self._listener.close()
        return True

    def refuse_new_requests(self) -> None:
        """Refuse every request that arrives from now on."""
        self._refuses_new_requests = True

    def close_gracefully(self, timeout_ms: float) -> None:
        """Close all connections once their clients have read the pending output, or after the timeout.

        A request that is still open is reported as a violation.
        """
        for client in self.connections.active:
            for request in client.open_requests.values():
                self._invariants.report_violation(Violation.ENDED_OVER_REQUEST, request.id)
            client.connection.close_gracefully(timeout_ms)

    # Answers.

    def answer(self, request: ClientRequest, code: int, body: bytes = b"", retry_after_ms: int = 0) -> None:
        """Write the only answer of a request, unless its client has cancelled it or disconnected.

        `retry_after_ms`: time after which the client may retry; 0: not given.
        """
        client = request.client
        if request.answered:
            self._invariants.report_violation(Violation.SECOND_ANSWER, request.id)
        if client.open_requests.pop(request.stream, None) is not None:
            request.answered = True
            self._body_bytes -= len(request.body)
            client.connection.write(frames.encode_answer(request.stream, code, body, retry_after_ms))
            if not client.open_requests:
                self.connections.mark_idle(client)

    # Events of the connections.

    def on_complete_frame(self, client: ClientConnection) -> None:
        """Record a complete frame; a client's first one moves it to the idle connections."""
        if client in self.connections.fresh:
            del self.connections.fresh[client]
            self.connections.mark_idle(client)

    def on_frame(self, client: ClientConnection, kind: int, stream: int, payload: bytes) -> None:
        """Handle one frame.  Raises `FrameError` if the protocol does not allow it."""
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
        """Close a connection after an invalid or incomplete frame, which is answered with an error."""
        open_count = len(client.open_requests)
        self._log(
            log_events.CLIENT_CONNECTION_CLOSED, reason=CloseReason.UNREADABLE.value, cause=cause, open=open_count
        )
        # An answer on the stream of an open request would be taken for that request's answer.
        stream = cause.stream if cause.stream not in client.open_requests else 0
        client.connection.write(frames.encode_answer(stream, frames.FAILED))
        self.connections.close_after_error(client)

    def on_closed(self, client: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.remove(client)

    def drop_open_requests(self, client: ClientConnection) -> None:
        """Drop all open requests of a client whose connection has ended or is about to be closed."""
        for request in list(client.open_requests.values()):
            self._drop_request(request)

    def _on_connect(self, sock: socket.socket, _: str) -> None:
        self.connections.evict_to_limit()
        client = ClientConnection(self, sock)
        self.connections.add(client)
        if not self.ready:
            client.connection.write(frames.encode_frame(frames.GO_AWAY, 0))

    def _on_request_frame(self, client: ClientConnection, stream: int, payload: bytes) -> None:
        if not stream or stream in client.open_requests:
            raise FrameError("stream is zero or already open", stream)
        if len(client.open_requests) >= MAX_OPEN_REQUESTS:
            raise FrameError("too many open requests on the connection", stream)
        fields, body_offset = frames.read_fields(payload)
        body = payload[body_offset:]
        if len(body) > frames.MAX_BODY_BYTES:
            raise FrameError("body too long", stream)
        try:
            parsed = ParsedRequest(fields, self._rules)
            if self.handler.is_open(parsed.id):
                raise UnusableRequestError("an open request has the same id")
        except UnusableRequestError as cause:
            reason = RequestRefusal.UNUSABLE.value
            # The answer is FAILED, because a client may retry a refused request.  `txn` is the request's id.
            self._log(log_events.REQUEST_FAILED, request=fields.get("txn"), reason=reason, cause=cause)
            client.connection.write(frames.encode_answer(stream, frames.FAILED))
            return
        if (refusal := self._refusal(client, body)) is not None:
            self._log(log_events.REQUEST_REFUSED, request=parsed.id, reason=refusal.value)
            client.connection.write(frames.encode_answer(stream, frames.REFUSED))
            client.idle_since = self.time()  # the client gets time to read the refusal
            return
        self._body_bytes += len(body)
        request = client.open_requests[stream] = ClientRequest(client, stream, parsed.id, parsed.key, body)
        self.connections.mark_busy(client)
        self.handler.on_request(request, parsed)

    def _refusal(self, client: ClientConnection, body: bytes) -> RequestRefusal | None:
        if self._refuses_new_requests:
            return RequestRefusal.SHUTTING_DOWN
        if client.is_overflow:
            return RequestRefusal.OVER_LIMIT
        if self._body_bytes + len(body) > self._max_body_bytes:  # no accepted request is dropped for a new one
            return RequestRefusal.NO_MEMORY
        return None

    def _drop_request(self, request: ClientRequest) -> None:
        client = request.client
        del client.open_requests[request.stream]
        request.client_gone_at_ms = self.time() * 1000
        self._body_bytes -= len(request.body)
        self.handler.on_client_gone(request)
        if not client.open_requests:
            self.connections.mark_idle(client)


def _reject_over_rate(sock: socket.socket, address: str, retry_after_ms: float) -> None:
    """Close the socket.  Required by `Listener`, never called: this listener does not limit the connection rate."""
    sock.close()
