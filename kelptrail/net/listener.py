"""Accepts connections: listening sockets, a rate limit on new connections, and cheap rejections.

`ConnectPace` decides which connections exceed the rate, and does no I/O.  `Listener` holds the listening sockets.  It
accepts in the loop's callback for a readable socket, not with `await sock_accept`.  If that call were cancelled after
it had taken a client from the kernel's accept queue, as when the server gives up its address, the client would get a
reset.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from errno import EMFILE
from typing import Any, NamedTuple
from zlib import crc32

from .errors import is_accept_retryable

ACCEPT_BATCH = 256  # clients accepted in one iteration of the event loop
NO_CAPACITY_RETRY_MS = 20.0  # pause before `has_capacity` is checked again
FAILURE_PAUSE_MS, MAX_FAILURE_PAUSE_MS = 5.0, 100.0  # first and longest pause after a failed accept
FAILURES_BEFORE_BACKOFF = 20  # consecutive failed accepts, after which each pause is twice the previous one
# A rejected connection stays open for LINGER_MS: a reset would destroy the response before the client reads it.
LINGER_MS, MAX_LINGERING = 300.0, 2048


@dataclass(frozen=True, slots=True)
class PaceSettings:
    """Settings of a token bucket of new connections: `burst` at once, `per_s` each second (0: no limit).

    A client over the limit gets its own time to retry, at most `max_delay_ms` later.
    """

    burst: float = 1000.0
    per_s: float = 0.0
    max_delay_ms: float = 12_000.0


class AcceptedClient(NamedTuple):
    """A client taken from the accept queue; `peer` is its address and port."""

    sock: socket.socket
    peer: str


class ConnectPace:
    """Limits the rate of new connections.  Times are in milliseconds.

    Guards against a reconnect storm after an outage, in which the handshakes and first requests of thousands of clients
    would delay the calls in flight.
    """

    def __init__(self, settings: PaceSettings, seed: int) -> None:
        self._settings, self._seed, self._draws = settings, seed, 0
        self._budget, self._refilled_at = settings.burst, 0.0
        self._reserved_until = 0.0  # latest retry time assigned so far

    def admit(self, now: float) -> float | None:
        """Decide on a new connection.  Return None to accept it, else the time in ms after which to retry."""
        settings = self._settings
        if not settings.per_s:
            return None
        self._budget = min(settings.burst, self._budget + (now - self._refilled_at) / 1000 * settings.per_s)
        self._refilled_at = now
        if self._budget >= 1:
            self._budget -= 1
            return None
        # Retry times are assigned at half the rate: the other half is for clients that were never rejected.
        self._reserved_until = min(max(self._reserved_until, now) + 2000 / settings.per_s, now + settings.max_delay_ms)
        # A random factor from 0.75 to 1 spreads the retry times.
        self._draws += 1
        spread = 0.75 + 0.25 * crc32(f"{self._seed} door {self._draws}".encode()) / 2**32
        return max(50.0, (self._reserved_until - now) * spread)


class Listener:
    """The listening sockets of one server.

    `on_accept(socket, peer)` receives each accepted client; `on_over_pace(socket, peer, retry_after_ms)` each client
    that exceeds the pace, and must reject it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_accept: Callable[[socket.socket, str], None],
        on_over_pace: Callable[[socket.socket, str, float], None],
        log_event: Callable[..., None],
        pace: ConnectPace | None = None,
    ) -> None:
        self._loop, self._on_accept, self._on_over_pace, self._log_event, self._pace = (
            loop,
            on_accept,
            on_over_pace,
            log_event,
            pace,
        )
        self._sockets: dict[socket.socket, asyncio.TimerHandle | None] = {}
        self._lingering: deque[socket.socket] = deque()
        self._consecutive_failures = 0  # failed accepts since the last successful one
        self.accept_delay_ms = 0.0  # delay between an accept and `on_accept`; used only by emulators
        self.rejected_by_pace = 0
        self.on_connect: Callable[[], None] = _ignore  # called for each accepted client
        self.has_capacity: Callable[[], bool] = _always_true  # while it returns False, clients stay in the accept queue
        self.on_descriptor_shortage: Callable[[], object] = _ignore  # called when an accept fails with EMFILE

    @property
    def is_open(self) -> bool:
        """Whether any socket is listening."""
        return bool(self._sockets)

    def add_socket(self, sock: socket.socket) -> None:
        """Accept the clients of a listening socket, which the listener closes later."""
        self._sockets[sock] = None
        self._loop.add_reader(sock, self._on_readable, sock)

    def close(self, on_queued: Callable[[socket.socket, str], Any] | None = None) -> None:
        """Close all sockets.  `on_queued` receives each client in the accept queue, which otherwise would be reset."""
        sockets, self._sockets = self._sockets, {}
        for sock, timer in sockets.items():
            if timer is not None:
                timer.cancel()
            self._loop.remove_reader(sock)
            try:
                while on_queued is not None and (accepted := self._accept_next(sock)) is not None:
                    on_queued(*accepted)
            except OSError as cause:
                self._log_event("accept-failed", reason=str(cause))
            sock.close()

    def accept_queued(self) -> bool:
        """Accept the clients in the accept queue regardless of the pace.

        Return False if some may remain, for lack of capacity or after a failed accept.
        """
        for sock in list(self._sockets):
            try:
                while self.has_capacity():
                    if (accepted := self._accept_next(sock)) is None:
                        break
                    self._on_accept(*accepted)
                else:
                    return False
            except OSError as cause:
                self._on_accept_failure(cause)
                return False
        return True

    def reject(self, client: socket.socket, response: bytes) -> None:
        """Send `response`, if any, and close the connection.

        With a response, the close is delayed by LINGER_MS to avoid a reset.  If more than MAX_LINGERING connections
        wait for their close, the oldest is closed at once.
        """
        with contextlib.suppress(OSError):
            if response:
                client.send(response)
                client.shutdown(socket.SHUT_WR)
        if not response:
            client.close()
            return
        self._lingering.append(client)
        if len(self._lingering) > MAX_LINGERING:
            self._close_lingering(self._lingering[0])
        else:
            self._loop.call_later(LINGER_MS / 1000, self._close_lingering, client)

    def _close_lingering(self, client: socket.socket) -> None:
        if client.fileno() < 0:
            return
        with contextlib.suppress(ValueError):
            self._lingering.remove(client)
        with contextlib.suppress(OSError):
            client.recv(65_536)
        client.close()

    @staticmethod
    def _accept_next(sock: socket.socket) -> AcceptedClient | None:
        """Return the next client in the accept queue, or None if there is none.  Raises `OSError` if accepts fail.

        Failures that concern only the client being accepted are skipped, at most ACCEPT_BATCH at a time.
        """
        for _ in range(ACCEPT_BATCH):
            try:
                client, address = sock.accept()
            except BlockingIOError:
                return None
            except OSError as cause:
                if not is_accept_retryable(cause):
                    raise
            else:
                client.setblocking(False)
                return AcceptedClient(client, f"{address[0]}:{address[1]}")
        return None

    def _on_accept_failure(self, cause: OSError) -> None:
        """Log a failed accept, and call `on_descriptor_shortage` if the process is out of descriptors."""
        self._log_event("accept-failed", reason=str(cause))
        if cause.errno == EMFILE:  # a system-wide shortage would not end if this process closed a connection
            self.on_descriptor_shortage()

    def _on_readable(self, sock: socket.socket) -> None:
        for _ in range(1 if self.accept_delay_ms else ACCEPT_BATCH):
            if sock not in self._sockets:
                return
            if not self.has_capacity():
                self._pause_accepting(sock, NO_CAPACITY_RETRY_MS)
                return
            try:
                accepted = self._accept_next(sock)
            except OSError as cause:  # probably a shortage, for example of descriptors: retry after a pause
                self._on_accept_failure(cause)
                doublings = min(max(0, self._consecutive_failures - FAILURES_BEFORE_BACKOFF), 10)
                self._pause_accepting(sock, min(MAX_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * 2**doublings))
                self._consecutive_failures += 1
                return
            self._consecutive_failures = 0
            if accepted is None:
                return
            self.on_connect()
            if self.accept_delay_ms:
                self._pause_accepting(sock, self.accept_delay_ms)
                self._loop.call_later(self.accept_delay_ms / 1000, self._on_accept, *accepted)
                return
            retry_after_ms = None if self._pace is None else self._pace.admit(self._loop.time() * 1000)
            if retry_after_ms is None:
                self._on_accept(*accepted)
            else:
                self.rejected_by_pace += 1
                self._on_over_pace(*accepted, retry_after_ms)

    def _pause_accepting(self, sock: socket.socket, for_ms: float) -> None:
        """Accept no client on this socket for `for_ms`."""
        self._loop.remove_reader(sock)
        self._sockets[sock] = self._loop.call_later(for_ms / 1000, self._resume_accepting, sock)

    def _resume_accepting(self, sock: socket.socket) -> None:
        if sock in self._sockets:
            self._sockets[sock] = None
            self._loop.add_reader(sock, self._on_readable, sock)


def _ignore() -> None:
    """Do nothing: the default of callbacks."""


def _always_true() -> bool:
    """Return True: the default of `has_capacity`."""
    return True
