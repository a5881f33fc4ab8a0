"""A connection that reads on by itself and writes what it is given in one go, over a `Wire`.

What is written within one turn of the loop leaves in one call.  The link counts the bytes that it was given and the
bytes that the socket took, so its user can tell afterwards what cannot have reached the peer, and can take back what
has not begun to leave.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable
from errno import EINPROGRESS

from .wire import Wire

BUFFER = 8_192
CHUNK = 65_536
TURN = 32  # buffers read in one turn of the loop: an end behind many bytes is seen soon
PASSED = 1 << 18  # bytes of a peer that are passed over after `finish`, so that no reset eats what it was told


class Link:
    """One open connection.  `got` takes bytes as they come; `ended` is called once, when the peer ended or the
    connection broke, and not after `close`."""

    __slots__ = (
        "__weakref__",
        "_closing",
        "_ended",
        "_got",
        "_limit",
        "_loop",
        "_most",
        "_out",
        "_reader",
        "_waits",
        "_writing",
        "closed",
        "moved",
        "queued",
        "wire",
        "written",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        got: Callable[[memoryview], None],
        ended: Callable[[], None],
        most_waiting: int,
    ) -> None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire, self._loop, self._got, self._ended, self._most = Wire(loop, sock), loop, got, ended, most_waiting
        self._out: deque[tuple[int, bytes]] = deque()  # what is not written, and what `written` will be after it
        self.queued = self.written = 0  # bytes given, and taken by the socket; what was taken back counts in both
        self.moved = loop.time()  # when the socket last took bytes, or had none to take
        self.closed = self._closing = self._writing = self._waits = False
        self._limit: asyncio.TimerHandle | None = None
        self._reader: asyncio.Task[None] | None = loop.create_task(self._read())

    @property
    def unwritten(self) -> bool:
        """Whether bytes wait for the socket to take them."""
        return bool(self._out)

    def write(self, data: bytes) -> int:
        """Give bytes; returns what `written` will be once all of them were taken."""
        self.queued += len(data)
        if not self.closed and not self._closing:
            if not self._out:
                self.moved = self._loop.time()
            self._out.append((self.queued, data))
            if self.queued - self.written > self._most:  # guards against a peer that does not read what it asked for
                self._loop.call_soon(self._lost)
            elif not self._writing:
                self._writing = True
                self._loop.call_soon(self._flush)
        return self.queued

    def withdraw(self, mark: int, size: int) -> bool:
        """Take back the `size` bytes for which `write` returned `mark`; False once the first of them has left, as
        the rest must follow for the peer to tell what comes after."""
        if self.written <= mark - size:
            for at, (end, _) in enumerate(self._out):
                if end == mark:
                    self._out[at] = mark, b""
                    return True
        return False

    def push(self) -> None:
        """Write now what the socket takes, before what other links were given in this turn."""
        self._flush()

    def finish(self, within_ms: float) -> None:
        """Close in order, within a time: what was given is written, then our end is shut, and what still comes is
        passed over until the peer's end.  Guards against a reset that eats what the peer has yet to read."""
        if self.closed or self._closing:
            return
        self._closing = True
        self._limit = self._loop.call_later(within_ms / 1000, self._lost)
        if not self._writing:
            self._settle()

    def close(self) -> None:
        """Close at once."""
        if self.closed:
            return
        self.closed = True
        self._out.clear()
        self._got = self._ended = _nothing  # else a cycle would keep it, and its user, till the collector comes
        if self._limit is not None:
            self._limit.cancel()
        self._wait(False)
        reader, self._reader = self._reader, None
        if reader is not None and reader is not asyncio.current_task(self._loop):
            reader.cancel()
        self.wire.close()

    def _lost(self) -> None:
        if not self.closed:
            ended = self._ended
            self.close()
            ended()

    async def _read(self) -> None:
        buffer = bytearray(BUFFER)
        view, recv_into, sock = memoryview(buffer), self.wire.recv_into, self.wire.sock
        turn = passed = 0
        try:
            while True:
                if not turn:
                    count = await recv_into(buffer)
                else:
                    try:
                        count = sock.recv_into(buffer)
                    except BlockingIOError:
                        count = await recv_into(buffer)
                if not count:
                    break
                turn = (turn + 1) % TURN if count == BUFFER else 0
                if not self._closing:
                    self._got(view[:count])
                elif (passed := passed + count) > PASSED:
                    break
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
        out = self._out
        while out and not self.closed:
            batch, size = [], 0
            for _, data in out:
                batch.append(data)
                if (size := size + len(data)) >= CHUNK:
                    break
            try:
                count = left = self.wire.sock.send(b"".join(batch)) if size else 0
            except BlockingIOError:
                count = left = 0
            except OSError:
                self._lost()
                return
            while out and left >= len(out[0][1]):
                self.written, data = out.popleft()
                left -= len(data)
            if left:
                end, data = out[0]
                out[0] = end, data[left:]
                self.written += left
            if count:
                self.moved = self._loop.time()
            if count < size:  # the socket is full
                self._wait(True)
                return
        if not self.closed:
            self._wait(False)
            self._writing = False
            self._settle()

    def _wait(self, for_room: bool) -> None:
        """Go on with `_flush` once the socket has room."""
        if for_room != self._waits:
            self._waits = for_room
            if for_room:
                self._loop.add_writer(self.wire.sock, self._flush)
            else:
                self._loop.remove_writer(self.wire.sock)

    def _settle(self) -> None:
        """All that was to write is written."""
        if self._closing:
            try:
                self.wire.end()
            except OSError:
                self._lost()


def _nothing(*_: object) -> None:
    """Stands in for what the user gave, once the link is closed."""


async def connect(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_ms: float) -> socket.socket:
    """A connected socket; the host is an IP address.  Raises `OSError`; `TimeoutError`, which is one, past `within_ms`.

    Not the loop's own call: that one looks each address up in a thread of a pool, which takes the process's signals
    after the loop has let them go, and CPU for each connection."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    sock.setblocking(False)
    try:
        if (code := sock.connect_ex(address)) == EINPROGRESS:
            up: asyncio.Future[None] = loop.create_future()
            loop.add_writer(sock, _up, up)
            try:
                async with asyncio.timeout(within_ms / 1000):
                    await up
            finally:
                loop.remove_writer(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
    except BaseException:
        sock.close()
        raise
    return sock


def _up(up: asyncio.Future[None]) -> None:
    if not up.done():
        up.set_result(None)
