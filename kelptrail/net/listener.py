"""A door that clients connect through: accepting, the pace of it, and early, cheap refusals.

`ConnectPace` decides and is free of I/O; `Door` holds the listening sockets.  Accepting is done in one step from the
loop's word that somebody waits: an `await sock_accept` that is called off at the wrong moment has taken a client out of
the kernel's queue and loses it, which looked like a reset at an address that was just being given up.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from errno import EMFILE
from typing import Any
from zlib import crc32

from .errors import is_client_gone

ACCEPT_BATCH = 256  # accepted before others have their turn on the loop
NO_CAPACITY_RETRY_MS = 20.0  # until it is looked again whether there is room
FAILURE_PAUSE_MS, MAX_FAILURE_PAUSE_MS = 5.0, 100.0  # until the next try after an accept that failed
FAILURES_BEFORE_BACKOFF = 20  # in a row, after which each next rest is twice as long
LINGER_MS, MAX_LINGERING = 300.0, 2048  # so long refused ones are held: a reset would eat what they are told


@dataclass(frozen=True, slots=True)
class PaceSettings:
    """Connections taken at once, and again each second; whoever comes beyond is told a time of its own, at most
    `longest_ms` away.  `per_s` 0: no pace."""

    burst: float = 1000.0
    per_s: float = 0.0
    max_delay_ms: float = 12_000.0


class ConnectPace:
    """How fast connections are taken.  Guards against everybody's reconnecting at once after an outage: handshakes and
    first requests of thousands would take the loop from the calls in hand.  Times in milliseconds."""

    def __init__(self, settings: PaceSettings, seed: int) -> None:
        self._settings, self._seed, self._draws = settings, seed, 0
        self._budget, self._refilled_at = settings.burst, 0.0
        self._reserved_until = 0.0  # until when places were given out

    def admit(self, now: float) -> float | None:
        """Somebody connects.  None: take it; else the time in ms after which it may come back."""
        settings = self._settings
        if not settings.per_s:
            return None
        self._budget = min(settings.burst, self._budget + (now - self._refilled_at) / 1000 * settings.per_s)
        self._refilled_at = now
        if self._budget >= 1:
            self._budget -= 1
            return None
        # Places in a row at half the pace: the other half is for those who were never told.
        self._reserved_until = min(max(self._reserved_until, now) + 2000 / settings.per_s, now + settings.max_delay_ms)
        self._draws += 1
        spread = 0.75 + 0.25 * crc32(f"{self._seed} door {self._draws}".encode()) / 2**32
        return max(50.0, (self._reserved_until - now) * spread)


class Listener:
    """Listening sockets of one server.  `came` gets each client that is let in, `early` each that comes too fast."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_accept: Callable[[socket.socket, str], None],
        on_early: Callable[[socket.socket, str, float], None],
        log_event: Callable[..., None],
        pace: ConnectPace | None = None,
    ) -> None:
        self._loop, self._on_accept, self._on_early, self._log_event, self._pace = (
            loop,
            on_accept,
            on_early,
            log_event,
            pace,
        )
        self._sockets: dict[socket.socket, asyncio.TimerHandle | None] = {}
        self._lingering: deque[socket.socket] = deque()
        self._failures_in_a_row = 0  # accepts in a row
        self.accept_delay_ms = 0.0
        self.rejected_by_pace = 0
        self.on_connect: Callable[[], None] = _ignore  # told of each that connects
        self.has_capacity: Callable[[], bool] = _always_true  # else clients wait in the kernel's queue
        self.on_descriptor_shortage: Callable[[], object] = _ignore  # told where our descriptors lack for a client

    @property
    def is_open(self) -> bool:
        """Whether any socket listens."""
        return bool(self._sockets)

    def add_socket(self, sock: socket.socket) -> None:
        """Take in whoever connects to a listening socket; it is closed with the door."""
        self._sockets[sock] = None
        self._loop.add_reader(sock, self._ready, sock)

    def close(self, on_queued: Callable[[socket.socket, str], Any] | None = None) -> None:
        """Close; `last` gets whoever has connected already: closing the socket would reset them."""
        sockets, self._sockets = self._sockets, {}
        for sock, timer in sockets.items():
            if timer is not None:
                timer.cancel()
            self._loop.remove_reader(sock)
            try:
                while on_queued is not None and (found := self._accept_next(sock)) is not None:
                    on_queued(*found)
            except OSError as cause:
                self._log_event("accept-failed", reason=str(cause))
            sock.close()

    def accept_queued(self) -> bool:
        """Let in whoever has connected already, whatever the pace; False where some still wait for room."""
        for sock in list(self._sockets):
            try:
                while self.has_capacity():
                    if (found := self._accept_next(sock)) is None:
                        break
                    self._on_accept(*found)
                else:
                    return False
            except OSError as cause:
                self._on_accept_failure(cause)
                return False
        return True

    def reject(self, client: socket.socket, response: bytes) -> None:
        """Tell a client something and let it go, at little cost and without a reset as long as there is room."""
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
    def _accept_next(sock: socket.socket) -> tuple[socket.socket, str] | None:
        """Whoever is next in the queue, or None where it is empty.  Raises `OSError` where nobody can be taken."""
        for _ in range(ACCEPT_BATCH):
            try:
                client, address = sock.accept()
            except BlockingIOError:
                return None
            except OSError as cause:
                if not is_client_gone(cause):
                    raise
            else:
                client.setblocking(False)
                return client, f"{address[0]}:{address[1]}"
        return None

    def _on_accept_failure(self, cause: OSError) -> None:
        """Nobody can be taken for a while: out of descriptors or memory."""
        self._log_event("accept-failed", reason=str(cause))
        if cause.errno == EMFILE:  # else closing our own helps nobody
            self.on_descriptor_shortage()

    def _ready(self, sock: socket.socket) -> None:
        for _ in range(1 if self.accept_delay_ms else ACCEPT_BATCH):
            if sock not in self._sockets:
                return
            if not self.has_capacity():
                self._pause_accepting(sock, NO_CAPACITY_RETRY_MS)
                return
            try:
                found = self._accept_next(sock)
            except OSError as cause:  # out of descriptors: let some close
                self._on_accept_failure(cause)
                doublings = min(max(0, self._failures_in_a_row - FAILURES_BEFORE_BACKOFF), 10)
                self._pause_accepting(sock, min(MAX_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * 2**doublings))
                self._failures_in_a_row += 1
                return
            self._failures_in_a_row = 0
            if found is None:
                return
            self.on_connect()
            if self.accept_delay_ms:
                self._pause_accepting(sock, self.accept_delay_ms)
                self._loop.call_later(self.accept_delay_ms / 1000, self._on_accept, *found)
                return
            back = None if self._pace is None else self._pace.admit(self._loop.time() * 1000)
            if back is None:
                self._on_accept(*found)
            else:
                self.rejected_by_pace += 1
                self._on_early(*found, back)

    def _pause_accepting(self, sock: socket.socket, for_ms: float) -> None:
        """Accept nobody for a while."""
        self._loop.remove_reader(sock)
        self._sockets[sock] = self._loop.call_later(for_ms / 1000, self._resume_accepting, sock)

    def _resume_accepting(self, sock: socket.socket) -> None:
        if sock in self._sockets:
            self._sockets[sock] = None
            self._loop.add_reader(sock, self._ready, sock)


def _ignore() -> None:
    """Stands in where nobody wants to be told."""


def _always_true() -> bool:
    """Stands in where there is room for all."""
    return True
