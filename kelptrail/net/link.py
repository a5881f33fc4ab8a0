"""A connection that reads on by itself and writes what it is given in one go, over a `Wire`.

What is written within one turn of the loop leaves in one call.  The link counts the bytes that it was given and the
bytes that the socket took, so its user can tell afterwards what cannot have reached the peer.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from .wire import Wire

BUFFER = 8_192
CHUNK = 65_536


class Link:
    """One open connection.  `got` takes bytes as they come; `ended` is called once, when the peer ended or the
    connection broke, and not after `close`."""

    __slots__ = ("__weakref__", "_closing", "_ended", "_got", "_loop", "_most", "_out", "_reader", "_size", "_writer",
                 "_writing", "closed", "queued", "wire", "written")

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, got: Callable[[memoryview], None],
                 ended: Callable[[], None], most_waiting: int) -> None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire, self._loop, self._got, self._ended, self._most = Wire(loop, sock), loop, got, ended, most_waiting
        self._out: list[bytes] = []
        self._size = 0
        self.queued = self.written = 0  # bytes given, and taken by the socket
        self.closed = self._closing = self._writing = False
        self._writer: asyncio.Task[None] | None = None
        self._reader: asyncio.Task[None] | None = loop.create_task(self._read())

    def write(self, data: bytes) -> int:
        """Give bytes; returns what `written` will be once all of them were taken."""
        self.queued += len(data)
        if not self.closed and not self._closing:
            self._out.append(data)
            self._size += len(data)
            if self._size > self._most:  # guards against a peer that does not read what it asked for
                self._loop.call_soon(self._lost)
            elif not self._writing:
                self._writing = True
                self._loop.call_soon(self._flush)
        return self.queued

    def finish(self) -> None:
        """Close once all that was given is written; nothing more is read."""
        self._closing = True
        if not self._writing:
            self.close()

    def close(self) -> None:
        """Close at once."""
        if self.closed:
            return
        self.closed = True
        self._out.clear()
        self._got = self._ended = _nothing  # else a cycle would keep it, and its user, till the collector comes
        current = asyncio.current_task(self._loop)
        for task in (self._reader, self._writer):
            if task is not None and task is not current:
                task.cancel()
        self._reader = self._writer = None
        self.wire.close()

    def _lost(self) -> None:
        if not self.closed:
            ended = self._ended
            self.close()
            ended()

    async def _read(self) -> None:
        buffer = bytearray(BUFFER)
        view, recv_into = memoryview(buffer), self.wire.recv_into
        try:
            while count := await recv_into(buffer):
                if not self._closing:
                    self._got(view[:count])
                if self.closed:
                    return
        except asyncio.CancelledError:  # by `close`; a task that ends cancelled keeps this frame and its buffer
            return
        except OSError:
            pass
        except Exception as cause:  # a message that its reader fails on ends its own connection, no more
            self._loop.call_exception_handler({"message": "a connection's reader failed", "exception": cause})
        self._lost()

    def _flush(self) -> None:
        if self.closed:
            return
        data, self._size = b"".join(self._out), 0
        self._out.clear()
        try:
            count = self.wire.sock.send(data)
        except BlockingIOError:
            count = 0
        except OSError:
            self._lost()
            return
        self.written += count
        if count < len(data):
            self._size = len(data) - count
            self._writer = self._loop.create_task(self._drain(data[count:]))
        else:
            self._settle()

    async def _drain(self, data: bytes) -> None:
        try:
            for at in range(0, len(data), CHUNK):
                piece = data[at:at + CHUNK]
                self.written += len(piece)  # from here on the peer may have all of it
                await self.wire.sendall(piece)
        except asyncio.CancelledError:
            return
        except OSError:
            self._lost()
            return
        self._size -= len(data)
        self._writer = None
        self._settle()

    def _settle(self) -> None:
        """All that was to write is written, or the next begins."""
        if self._out:
            self._loop.call_soon(self._flush)
            return
        self._writing = False
        if self._closing:
            self.close()


def _nothing(*_: object) -> None:
    """Stands in for what the user gave, once the link is closed."""


async def connect(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_ms: float) -> socket.socket:
    """A connected socket.  Raises `OSError`; `TimeoutError`, which is one, past `within_ms`."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(within_ms / 1000):
            await loop.sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock
