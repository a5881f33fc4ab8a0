"""The connection of one client and the requests that are open on it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from kelptrail.codec.frames import FrameError, FrameReader
from kelptrail.dispatch.entities import Request
from kelptrail.net.connection import Connection
from kelptrail.net.read_scheduler import ReadScheduler
from kelptrail.net.transport import IdleState

MAX_UNREAD_BYTES = 1 << 20  # limit of the bytes that wait for a client to read them; beyond it the connection is closed
READ_STALL_MS = 1_000.0  # unread output no longer keeps a connection open if the client reads nothing for this long


class ClientRequest:
    """An accepted request; it is open until it is answered or its client cancels it or disconnects."""

    __slots__ = ("answered", "body", "client", "client_gone_at_ms", "id", "key", "request", "stream")

    def __init__(self, client: ClientConnection, stream: int, id_: str, key: str, body: bytes) -> None:
        self.client, self.stream, self.id, self.key, self.body = client, stream, id_, key, body
        self.request: Request | None = None  # the engine's record of the request
        # Time at which the client cancelled or disconnected, in ms of the loop's clock.
        self.client_gone_at_ms: float | None = None
        self.answered = False


class FrameHandler(Protocol):
    """Receives the frames of all clients.  `time` returns the loop's clock in seconds."""

    loop: asyncio.AbstractEventLoop
    read_scheduler: ReadScheduler
    time: Callable[[], float]

    def on_complete_frame(self, client: ClientConnection) -> None:
        """Record that a complete frame was read; called before `on_frame`."""

    def on_frame(self, client: ClientConnection, kind: int, stream: int, payload: bytes) -> None:
        """Handle the frame that was read.  Raises `FrameError`."""

    def close_unreadable(self, client: ClientConnection, cause: FrameError) -> None:
        """Close the connection after a frame that cannot be parsed or is not allowed."""

    def on_closed(self, client: ClientConnection) -> None:
        """Handle the end of the connection."""


class ClientConnection:
    """Reads the frames of one client.  Times are seconds of the loop's clock."""

    __slots__ = (
        "_handler",
        "connection",
        "idle_since",
        "is_overflow",
        "last_received_at",
        "open_requests",
        "partial_frame_since",
        "reader",
    )

    def __init__(self, handler: FrameHandler, sock: socket.socket) -> None:
        self._handler, self.reader = handler, FrameReader()
        self.open_requests: dict[int, ClientRequest] = {}  # by stream
        # `idle_since`: time of the connect, the first complete frame, the end of the last open request, or the latest
        # refusal, whichever came last.
        self.idle_since = self.last_received_at = handler.time()
        self.partial_frame_since: float | None = None
        self.is_overflow = False  # True for a connection accepted over the connection limit
        self.connection = Connection(
            handler.loop, sock, self._on_data, self._on_closed, MAX_UNREAD_BYTES, handler.read_scheduler
        )

    def has_pending_io(self, ignores_frame: bool = False) -> bool:
        """Return whether a frame is incomplete, the socket has unread bytes, or the client still reads an answer.

        `ignores_frame`: whether an incomplete frame of which no bytes are unread does not count.
        """
        connection = self.connection
        if connection.closed:
            return False
        if (
            connection.has_pending_writes
            and (self._handler.time() - connection.last_write_progress) * 1000 < READ_STALL_MS
        ):
            return True
        if self.partial_frame_since is not None and not ignores_frame:
            return True
        return connection.transport.probe_idle() is IdleState.UNEXPECTED_DATA

    def _on_data(self, data: memoryview) -> None:
        self.last_received_at = self._handler.time()
        self.reader.feed(data)
        try:
            while not self.connection.closed and (frame := self.reader.next()) is not None:
                self.partial_frame_since = None
                self._handler.on_complete_frame(self)
                self._handler.on_frame(self, *frame)
        except FrameError as cause:
            self._handler.close_unreadable(self, cause)
            return
        if not len(self.reader):
            self.partial_frame_since = None
        elif self.partial_frame_since is None:
            self.partial_frame_since = self.last_received_at

    def _on_closed(self) -> None:
        self._handler.on_closed(self)
