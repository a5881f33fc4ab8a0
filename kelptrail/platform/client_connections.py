"""The connections of all clients grouped by state, their limit, and their eviction.

A well-behaved client closes the connections that it no longer needs.  To free descriptors for such clients, connections
are evicted in this order: those that are closing, silent ones, those within a frame whose bytes have stopped, idle
ones, and those within a frame that takes long.  A connection is never evicted while its client waits for an answer,
still reads one, or has sent bytes that are not read yet.

While most connections are silent or within a frame, idle ones are not evicted for new ones: new clients wait in the
accept queue until one of that majority has used up its time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import chain, islice
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
SILENCE_BEFORE_EVICTION_MS = 100.0  # gives a client time to send its first frame, or the rest of a frame
FRAME_TIME_BEFORE_EVICTION_MS = 250.0  # for a frame whose bytes keep arriving
MAX_EVICTION_CANDIDATES = 32  # sockets that are examined in one search for a connection that may be closed


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
        # Oldest first, but for those on which I/O was pending in a search for a connection to evict.
        self.fresh: dict[ClientConnection, None] = {}  # no complete frame received yet
        self.idle: dict[ClientConnection, None] = {}  # no open request
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
        if self._regular_count < self._max_connections:
            return True
        if len(self) >= self._max_connections + MAX_OVERFLOW or self._is_mostly_unfinished():
            return self.evict_one()
        return True

    def evict_to_limit(self) -> None:
        """Evict connections until another one fits within the limit, or until none can be evicted."""
        while self._regular_count >= self._max_connections and self.evict_one():
            pass

    def evict_one(self) -> bool:
        """Close one connection whose client does not wait for an answer, and return whether there was one."""
        for client in self.closing:
            self._close_now(client, CloseReason.EVICTED)
            return True
        now = self._time()
        return (
            self._evict_first(client for client in self._before_any_frame() if _is_silent(client, now))
            or self._evict_first(client for client in self._within_frame() if _is_silent(client, now))
            or (not self._is_mostly_unfinished() and self._evict_first(self._between_frames()))
            or self._evict_first(client for client in self._within_frame() if _is_slow(client, now))
        )

    def _before_any_frame(self) -> Iterable[ClientConnection]:
        """Return the connections that have received no bytes."""
        return (client for client in self.fresh if client.partial_frame_since is None)

    def _within_frame(self) -> Iterable[ClientConnection]:
        """Return the connections with an incomplete frame and without an open request."""
        return (client for client in chain(self.fresh, self.idle) if client.partial_frame_since is not None)

    def _between_frames(self) -> Iterable[ClientConnection]:
        """Return the connections without an incomplete frame or an open request that have received a frame."""
        return (client for client in self.idle if client.partial_frame_since is None)

    def _is_mostly_unfinished(self) -> bool:
        """Return whether most connections have no open request and are silent or within a frame."""
        within_frame = sum(client.partial_frame_since is not None for client in self.idle)
        return 2 * (len(self.fresh) + within_frame) > len(self)

    def _evict_first(self, candidates: Iterable[ClientConnection]) -> bool:
        """Close the first candidate on which no I/O is pending; return whether there was one.

        Candidates on which I/O is pending go to the end of their group, so that the next search begins with others.
        """
        pending = []
        is_evicted = False
        for client in islice(candidates, MAX_EVICTION_CANDIDATES):
            if self._close_if_idle(client, CloseReason.EVICTED, within_frame=True):
                is_evicted = True
                break
            pending.append(client)
        for client in pending:
            group = self.fresh if client in self.fresh else self.idle
            group[client] = group.pop(client)
        return is_evicted

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
                if (now - client.idle_since) * 1000 >= timeout_ms:
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

    def _close_if_idle(self, client: ClientConnection, reason: CloseReason, within_frame: bool = False) -> bool:
        """Close a connection unless a request or I/O is pending on it; return whether it was closed.

        `within_frame`: whether an incomplete frame may be cut off; it is no request before its last byte.
        Bytes that were unread before the decision to close are reported as a violation.  Those that arrive after it
        cross the close, which the protocol allows: their client sends the request again.
        """
        unread_bytes = client.connection.transport.unread_bytes()
        if client.open_requests or client.has_pending_io(within_frame):
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


def _is_silent(client: ClientConnection, now: float) -> bool:
    """Return whether no bytes, or no further bytes of a frame, have arrived for long enough to evict the connection."""
    return (now - client.last_received_at) * 1000 >= SILENCE_BEFORE_EVICTION_MS


def _is_slow(client: ClientConnection, now: float) -> bool:
    """Return whether a frame has been incomplete for long enough to evict its connection."""
    since = client.partial_frame_since
    return since is not None and (now - since) * 1000 >= FRAME_TIME_BEFORE_EVICTION_MS
