"""All clients' connections by their state, how many there may be, and which are closed to make room.

A well-behaved client closes what it no longer needs.  Descriptors are freed for it by closing first connections that
have sent nothing, then those that have been idle longest.  A connection on which a client waits is never closed.
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

FRAME_TIMEOUT_MS = 2_000.0  # for a client's first frame, and between two reads of one frame
IDLE_TIMEOUT_MS = 6_000.0  # a well-behaved client closes sooner
OVERFLOW_IDLE_TIMEOUT_MS = 100.0  # a connection over the limit may be idle so long, so that its answer is read
ERROR_LINGER_MS = 1_000.0  # a connection is held so long after an error, so that the client reads it
MAX_OVERFLOW = 8  # connections over the limit, accepted so that their requests are refused with an answer
MAX_EVICTION_CANDIDATES = 16  # connections examined of each group to find one that may be closed


class ConnectionOwner(Protocol):
    """The server whose connections these are."""

    def drop_open_requests(self, client: ClientConnection) -> None:
        """The client of all these requests is gone."""

    def close_unreadable(self, client: ClientConnection, cause: FrameError) -> None:
        """Answer with an error, then close."""


class ClientConnections:
    """The connections of one server.  Each is in one of the groups `fresh`, `idle`, `busy` and `closing`."""

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
        self.fresh: dict[ClientConnection, None] = {}  # no complete frame yet, oldest first
        self.idle: dict[ClientConnection, None] = {}  # no open request, longest idle first
        self.busy: dict[ClientConnection, None] = {}
        self.closing: dict[ClientConnection, None] = {}  # an error was written, to be closed
        self.overflow: dict[ClientConnection, None] = {}  # accepted over the limit; also in one of the groups above

    def __len__(self) -> int:
        return len(self.fresh) + len(self.idle) + len(self.busy) + len(self.closing)

    @property
    def active(self) -> list[ClientConnection]:
        """All but those that are closing."""
        return [*self.fresh, *self.idle, *self.busy]

    @property
    def is_settled(self) -> bool:
        """Whether no client has bytes to be read, half a frame, or an answer that it is still reading."""
        return not any(client.has_pending_io() for client in self.active)

    def add(self, client: ClientConnection) -> None:
        """Add a new connection, over the limit where no room could be made.  Its `is_overflow` is set."""
        client.is_overflow = self._regular_count >= self._max_connections
        self.fresh[client] = None
        if client.is_overflow:
            self.overflow[client] = None

    def mark_busy(self, client: ClientConnection) -> None:
        """A request is open on it."""
        self.idle.pop(client, None)
        self.busy[client] = None

    def mark_idle(self, client: ClientConnection) -> None:
        """No request is open on it."""
        if self.busy.pop(client, True) is None or client not in self.idle:
            client.idle_since = self._time()
            self.idle[client] = None

    def remove(self, client: ClientConnection) -> None:
        """It has ended, or is about to: its requests are dropped."""
        self._owner.drop_open_requests(client)
        for group in (self.fresh, self.idle, self.busy, self.closing, self.overflow):
            group.pop(client, None)

    def close_after_error(self, client: ClientConnection) -> None:
        """Close once the client has read the error that was written."""
        self.remove(client)
        if not client.connection.closed:
            self.closing[client] = None
            client.connection.close_gracefully(ERROR_LINGER_MS)

    # Limits and eviction.

    @property
    def _regular_count(self) -> int:
        """Connections within the limit."""
        return len(self) - len(self.overflow)

    def has_capacity(self) -> bool:
        """Whether one more may be accepted, over the limit or not.  Others stay in the accept queue until then."""
        return len(self) < self._max_connections + MAX_OVERFLOW or self.make_room()

    def make_room_within_limit(self) -> None:
        """Close connections until one more is within the limit, or none may be closed."""
        while self._regular_count >= self._max_connections and self.make_room():
            pass

    def make_room(self) -> bool:
        """Close one connection on which no client waits: closing, without a frame yet, or idle; whether there was
        one.
        """
        for group in (self.closing, self.fresh, self.idle):
            for client in islice(group, MAX_EVICTION_CANDIDATES):
                if group is self.closing:
                    self._close_now(client, CloseReason.MADE_ROOM)
                    return True
                if self._close_if_idle(client, CloseReason.MADE_ROOM):
                    return True
        return False

    def sweep(self) -> None:
        """Close connections that sent no frame in time, stopped within a frame, or were idle too long."""
        now = self._time()
        self._close_silent(now)
        self._close_overflow(now)
        self._close_stalled(now)

    def _close_silent(self, now: float) -> None:
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
                self._close_if_idle(client, CloseReason.NO_ROOM)

    def _close_stalled(self, now: float) -> None:
        """A slow frame of which bytes keep coming may take as long as the longest request."""
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
        """Close a connection unless a request or I/O is pending on it; whether it was closed."""
        if client.open_requests or client.has_pending_io():
            return False
        self._close_now(client, reason)
        return True

    def _close_now(self, client: ClientConnection, reason: CloseReason) -> None:
        for request in client.open_requests.values():
            self._invariants.report_violation(Violation.CLOSED_OVER_REQUEST, request.id, reason=reason.value)
        if (
            client not in self.closing
            and client.partial_frame_since is None
            and client.connection.transport.unread_bytes()
        ):
            self._invariants.report_violation(Violation.CLOSED_OVER_REQUEST, "not read", reason=reason.value)
        self._log(log_events.CLIENT_CONNECTION_CLOSED, reason=reason.value)
        self.remove(client)
        client.connection.close()
