"""The connections of all clients grouped by state, their limit, and their eviction.

A well-behaved client closes the connections that it no longer needs.  To free descriptors for such clients, connections
that are closing are evicted first, then those that have not sent a complete frame, then idle ones, each group
oldest first.  A connection whose client waits for an answer is never evicted.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Protocol

from kelptrail.codec.frames import FrameError
from kelptrail.engine.invariants import Invariants, Violation
from kelptrail.net.transport import IdleState

from . import log_events
from .client_connection import ClientConnection
from .close_reasons import CloseReason
from .log import LogWriter

FRAME_TIMEOUT_MS = 2_000.0  # limit for the first frame of a client, and between two reads of one frame
IDLE_TIMEOUT_MS = 6_000.0  # well-behaved clients close idle connections sooner
OVERFLOW_IDLE_TIMEOUT_MS = 100.0  # gives a client over the connection limit time to read its answer
ERROR_LINGER_MS = 1_000.0  # gives a client time to read an error before its connection is closed
MAX_OVERFLOW = 8  # connections accepted over the limit, so that their requests are refused with an answer
MAX_EVICTION_CANDIDATES = 16  # connections of each group that are examined to find one that may be closed


class ConnectionOwner(Protocol):
    """The server that owns the connections."""

    def drop_open_requests(self, client: ClientConnection) -> None:
        """Drop all open requests of a client whose connection has ended or is about to be closed."""

    def close_unreadable(self, client: ClientConnection, cause: FrameError) -> None:
        """Answer with an error, then close the connection."""


class ClientConnections:
    """The connections of one server.  Each is in exactly one of the groups `fresh`, `idle`, `busy` and `closing`."""

    def __init__(
        self,
        owner: ConnectionOwner,
        time: Callable[[], float],
        max_connections: int,
        max_timeout_ms: float,
        log: LogWriter,
        invariants: Invariants,
    ) -> None:
        self._owner, self._time, self._log, self._invariants = owner, time, log, invariants
        self._max_connections = max_connections
        self._max_frame_s = max(FRAME_TIMEOUT_MS, max_timeout_ms) / 1000
        self.fresh: dict[ClientConnection, None] = {}  # no complete frame received yet; oldest first
        self.idle: dict[ClientConnection, None] = {}  # no open request; in the order in which they joined the group
        self.busy: dict[ClientConnection, None] = {}  # at least one open request
        self.closing: dict[ClientConnection, None] = {}  # error written; closed after `ERROR_LINGER_MS` at the latest
        self.overflow: dict[ClientConnection, None] = {}  # accepted over the limit; also a member of a group above

    def __len__(self) -> int:
        return len(self.fresh) + len(self.idle) + len(self.busy) + len(self.closing)

    @property
    def active(self) -> list[ClientConnection]:
        """All connections that are not in the group `closing`."""
        return [*self.fresh, *self.idle, *self.busy]

    @property
    def is_quiescent(self) -> bool:
        """Whether no connection has unread bytes, an incomplete frame, or an answer that its client still reads."""
        return not any(client.has_pending_io() for client in self.active)

    def add(self, client: ClientConnection) -> None:
        """Add a new connection and set its `is_overflow` if the limit is reached."""
        client.is_overflow = self._regular_count >= self._max_connections
        self.fresh[client] = None
        if client.is_overflow:
            self.overflow[client] = None

    def mark_busy(self, client: ClientConnection) -> None:
        """Move a connection with an open request to the group `busy`."""
        self.idle.pop(client, None)
        self.busy[client] = None

    def mark_idle(self, client: ClientConnection) -> None:
        """Move a connection without open requests to the group `idle`."""
        if self.busy.pop(client, True) is None or client not in self.idle:
            client.idle_since = self._time()
            self.idle[client] = None

    def remove(self, client: ClientConnection) -> None:
        """Drop the open requests of a connection that has ended or is about to be closed, then remove it."""
        self._owner.drop_open_requests(client)
        for group in (self.fresh, self.idle, self.busy, self.closing, self.overflow):
            group.pop(client, None)

    def close_after_error(self, client: ClientConnection) -> None:
        """Close a connection once its client has closed its side, at the latest after `ERROR_LINGER_MS`."""
        self.remove(client)
        if not client.connection.closed:
            self.closing[client] = None
            client.connection.close_gracefully(ERROR_LINGER_MS)

    # Limits and eviction.

    @property
    def _regular_count(self) -> int:
        """The number of connections that are not in `overflow`."""
        return len(self) - len(self.overflow)

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted, evicting one if needed.

        Clients that may not be accepted stay in the accept queue.
        """
        return len(self) < self._max_connections + MAX_OVERFLOW or self.evict_one()

    def evict_to_limit(self) -> None:
        """Evict connections until another one fits within the limit, or until none can be evicted."""
        while self._regular_count >= self._max_connections and self.evict_one():
            pass

    def evict_one(self) -> bool:
        """Close one connection whose client does not wait for an answer, and return whether there was one.

        Connections that are closing come first, then those without a complete frame, then idle ones.
        """
        for group in (self.closing, self.fresh, self.idle):
            for client in islice(group, MAX_EVICTION_CANDIDATES):
                if group is self.closing:
                    self._close_now(client, CloseReason.EVICTED)
                    return True
                if self._close_if_idle(client, CloseReason.EVICTED):
                    return True
        return False

    def sweep(self) -> None:
        """Close connections that sent no frame in time, stalled within a frame, or were idle for too long."""
        now = self._time()
        self._close_timed_out(now)
        self._close_overflow(now)
        self._close_stalled(now)

    def _close_timed_out(self, now: float) -> None:
        for group, timeout_ms, reason in (
            (self.fresh, FRAME_TIMEOUT_MS, CloseReason.SILENT),
            (self.idle, IDLE_TIMEOUT_MS, CloseReason.IDLE),
        ):
            for client in list(group):
                if (now - client.idle_since) * 1000 < timeout_ms:
                    break
                self._close_if_idle(client, reason)

    def _close_overflow(self, now: float) -> None:
        for client in list(self.overflow):
            if (now - client.idle_since) * 1000 >= OVERFLOW_IDLE_TIMEOUT_MS and client in self.idle:
                self._close_if_idle(client, CloseReason.OVER_LIMIT)

    def _close_stalled(self, now: float) -> None:
        """Close connections that stalled within a frame.

        A frame whose bytes keep arriving may take as long as the longest request timeout.  A connection whose
        socket has unread bytes is not closed.
        """
        for client in self.active:
            since = client.partial_frame_since
            if (
                since is not None
                and ((now - client.last_received_at) * 1000 > FRAME_TIMEOUT_MS or now - since > self._max_frame_s)
                and client.connection.transport.probe_idle() is not IdleState.UNEXPECTED_DATA
            ):
                if client in self.fresh:
                    self._close_now(client, CloseReason.SILENT)
                else:
                    self._owner.close_unreadable(client, FrameError("incomplete frame"))

    def _close_if_idle(self, client: ClientConnection, reason: CloseReason) -> bool:
        """Close a connection unless a request or I/O is pending on it; return whether it was closed.

        Bytes that were unread before the decision to close are reported as a violation.  Those that arrive after it
        cross the close, which the protocol allows: their client sends the request again.
        """
        unread_bytes = client.connection.transport.unread_bytes()
        if client.open_requests or client.has_pending_io():
            return False
        if unread_bytes:
            self._invariants.report_violation(Violation.CLOSED_OVER_REQUEST, "not read", reason=reason.value)
        self._close_now(client, reason)
        return True

    def _close_now(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection immediately; report its open requests as violations."""
        for request in client.open_requests.values():
            self._invariants.report_violation(Violation.CLOSED_OVER_REQUEST, request.id, reason=reason.value)
        self._log(log_events.CLIENT_CONNECTION_CLOSED, reason=reason.value)
        self.remove(client)
        client.connection.close()
