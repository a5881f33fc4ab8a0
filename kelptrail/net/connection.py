"""A connection that reads on by itself and writes what it is given in one go, over a `Wire`.

What is written within one turn of the loop leaves in one call.  Each piece that is written knows whether it has begun
to leave and whether it has left whole, so its user can tell afterwards what cannot have reached the peer, and can take
back what has not begun to leave.  A piece may be made only when it leaves, where it tells of the time that is left.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable
from errno import EALREADY, EINPROGRESS, EINTR, EISCONN

from .errors import is_connect_retryable, is_transient
from .transport import Transport

BUFFER = 8_192
CHUNK = 65_536
TURN = 32  # buffers read in one turn of the loop: an end behind many bytes is seen soon
PASSED = 1 << 18  # bytes of a peer that are passed over after `finish`, so that no reset eats what it was told
RETRY_MS = 5.0  # after a call that failed for a moment
CONNECT_RETRY_MS, LONGEST_CONNECT_RETRY_MS = 10.0, 80.0


class PendingWrite:
    """Bytes that leave together: those of one message, given at once or made when they are about to leave."""

    __slots__ = ("_data", "_left", "_make", "cancelled", "sent", "size", "started")

    def __init__(self, size: int, data: bytes = b"", make: Callable[[], bytes] | None = None) -> None:
        self.size, self._data, self._make = size, data, make
        self._left = 0  # bytes that have left
        self.started = self.sent = self.cancelled = False

    def render(self) -> bytes:
        """What is still to leave of it, as of now."""
        if self.started:
            return self._data[self._left :]
        if self.cancelled:
            self._data = b""
        elif self._make is not None:
            self._data = self._make()
        return self._data

    def consume(self, count: int) -> int:
        """The socket took that many bytes of what was rendered last, here and behind; returns those behind."""
        rest = len(self._data) - self._left
        taken = min(count, rest)
        self._left += taken
        self.started = self.started or taken > 0
        self.sent = self.started and taken == rest
        return count - taken

    @property
    def complete(self) -> bool:
        """Whether nothing of it is to leave any more."""
        return self._left == len(self._data)


class Connection:
    """One open connection.  `got` takes bytes as they come; `ended` is called once, when the peer ended or the
    connection broke, and not after `close`."""

    __slots__ = (
        "__weakref__",
        "_awaits_writable",
        "_close_timer",
        "_closing",
        "_loop",
        "_max_pending_bytes",
        "_on_data",
        "_on_end",
        "_pending",
        "_pending_bytes",
        "_reader",
        "_retry_timer",
        "_writing",
        "closed",
        "last_write_progress",
        "transport",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_data: Callable[[memoryview], None],
        on_end: Callable[[], None],
        max_pending_bytes: int,
    ) -> None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.transport, self._loop, self._on_data, self._on_end, self._max_pending_bytes = (
            Transport(loop, sock),
            loop,
            on_data,
            on_end,
            max_pending_bytes,
        )
        self._pending: deque[PendingWrite] = deque()  # what has not left whole
        self._pending_bytes = 0  # the size of all of that
        self.last_write_progress = loop.time()  # when the socket last took bytes, or had none to take
        self.closed = self._closing = self._writing = self._awaits_writable = False
        self._close_timer: asyncio.TimerHandle | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        self._reader: asyncio.Task[None] | None = loop.create_task(self._read())

    @property
    def has_pending_writes(self) -> bool:
        """Whether bytes wait for the socket to take them."""
        return bool(self._pending)

    def write(self, data: bytes) -> PendingWrite:
        """Give bytes."""
        return self._queue(PendingWrite(len(data), data))

    def write_deferred(self, make: Callable[[], bytes], size: int) -> PendingWrite:
        """Give some `size` bytes that `make` makes when they are about to leave; where it makes none, none leave.  It
        may be asked several times, and must not act on the link."""
        return self._queue(PendingWrite(size, make=make))

    def _queue(self, piece: PendingWrite) -> PendingWrite:
        if self.closed or self._closing:
            return piece
        if not self._pending:
            self.last_write_progress = self._loop.time()
        self._pending.append(piece)
        self._pending_bytes += piece.size
        if self._pending_bytes > self._max_pending_bytes:  # guards against a peer that does not read what it asked for
            self._loop.call_soon(self._on_lost)
        elif not self._writing:
            self._writing = True
            self._loop.call_soon(self._flush)
        return piece

    def cancel_unsent(self, piece: PendingWrite) -> bool:
        """Take a piece back; False once the first of it has left, as the rest must follow for the peer to tell what
        comes after."""
        if piece.started or piece.cancelled:
            return False
        piece.cancelled = True
        return True

    def flush_now(self) -> None:
        """Write now what the socket takes, before what other links were given in this turn."""
        self._flush()

    def close_gracefully(self, within_ms: float) -> None:
        """Close in order, within a time: what was given is written, then our end is shut, and what still comes is
        passed over until the peer's end.  Guards against a reset that eats what the peer has yet to read."""
        if self.closed or self._closing:
            return
        self._closing = True
        self._close_timer = self._loop.call_later(within_ms / 1000, self._on_lost)
        if not self._writing:
            self._on_all_written()

    def close(self) -> None:
        """Close at once."""
        if self.closed:
            return
        self.closed = True
        self._pending.clear()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._on_data = self._on_end = _ignore  # else a cycle would keep it, and its user, till the collector comes
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._watch_writable(False)
        reader, self._reader = self._reader, None
        if reader is not None and reader is not asyncio.current_task(self._loop):
            reader.cancel()
        self.transport.close()

    def _on_lost(self) -> None:
        if not self.closed:
            ended = self._on_end
            self.close()
            ended()

    async def _read(self) -> None:
        buffer = bytearray(BUFFER)
        view = memoryview(buffer)
        turn = passed = 0
        try:
            while True:
                count = await self._receive(buffer, at_once=turn > 0)
                if not count:
                    break
                turn = (turn + 1) % TURN if count == BUFFER else 0
                if not self._closing:
                    self._on_data(view[:count])
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
        self._on_lost()

    async def _receive(self, buffer: bytearray, at_once: bool) -> int:
        """The next bytes, 0 at the end; `at_once` looks before it waits.  Raises `OSError`."""
        while True:
            try:
                if at_once:
                    at_once = False
                    with contextlib.suppress(BlockingIOError):
                        return self.transport.sock.recv_into(buffer)
                return await self.transport.recv_into(buffer)
            except OSError as cause:
                if not is_transient(cause):
                    raise
                await asyncio.sleep(RETRY_MS / 1000)

    def _flush(self) -> None:
        """Write what the socket takes."""
        self._retry_timer = None
        while self._pending and not self.closed:
            batch = self._batch()
            size = sum(map(len, batch))
            if self.closed:  # by what was looked at as a piece was made
                return
            try:
                count = self.transport.sock.send(b"".join(batch)) if size else 0
            except BlockingIOError:
                count = 0
            except OSError as cause:
                if not is_transient(cause):
                    self._on_lost()
                    return
                self._watch_writable(False)
                self._retry_timer = self._loop.call_later(RETRY_MS / 1000, self._flush)
                return
            self._record_sent(len(batch), count)
            if count < size:  # the socket is full
                self._watch_writable(True)
                return
        if not self.closed:
            self._watch_writable(False)
            self._writing = False
            self._on_all_written()

    def _batch(self) -> list[bytes]:
        """The bytes of the pieces that are next, as of now."""
        batch, size = [], 0
        for piece in list(self._pending):
            data = piece.render()
            batch.append(data)
            if (size := size + len(data)) >= CHUNK:
                break
        return batch

    def _record_sent(self, pieces: int, count: int) -> None:
        """The socket took `count` bytes of that many pieces."""
        if count:
            self.last_write_progress = self._loop.time()
        for _ in range(pieces):
            piece = self._pending[0]
            count = piece.consume(count)
            if not piece.complete:
                return
            self._pending.popleft()
            self._pending_bytes -= piece.size

    def _watch_writable(self, for_room: bool) -> None:
        """Go on with `_flush` once the socket has room."""
        if for_room != self._awaits_writable:
            self._awaits_writable = for_room
            if for_room:
                self._loop.add_writer(self.transport.sock, self._flush)
            else:
                self._loop.remove_writer(self.transport.sock)

    def _on_all_written(self) -> None:
        """All that was to write is written."""
        if self._closing:
            try:
                self.transport.shutdown_write()
            except OSError:
                self._on_lost()


def _ignore(*_: object) -> None:
    """Stands in for what the user gave, once the link is closed."""


async def connect(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_ms: float) -> socket.socket:
    """A connected socket; the host is an IP address.  What fails for a moment is tried again within the time.  Raises
    `OSError`; `TimeoutError`, which is one, past `within_ms`.

    Not the loop's own call: that one looks each address up in a thread of a pool, which takes the process's signals
    after the loop has let them go, and CPU for each connection."""
    ends, pause_ms = loop.time() + within_ms / 1000, CONNECT_RETRY_MS
    while True:
        try:
            return await _connect_once(loop, address, ends - loop.time())
        except OSError as cause:
            if not is_connect_retryable(cause) or loop.time() + pause_ms / 1000 >= ends:
                raise
        await asyncio.sleep(pause_ms / 1000)
        pause_ms = min(LONGEST_CONNECT_RETRY_MS, 2 * pause_ms)


async def _connect_once(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_s: float) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
        while code == EINTR:  # whether it goes on by itself: the next call says so
            code = sock.connect_ex(address)
        if code in (EINPROGRESS, EALREADY):
            await _until_writable(loop, sock, within_s)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code not in (0, EISCONN):
            raise OSError(code, os.strerror(code))
    except BaseException:
        sock.close()
        raise
    return sock


async def _until_writable(loop: asyncio.AbstractEventLoop, sock: socket.socket, within_s: float) -> None:
    up: asyncio.Future[None] = loop.create_future()
    loop.add_writer(sock, _mark_writable, up)
    try:
        async with asyncio.timeout(within_s):
            await up
    finally:
        loop.remove_writer(sock)


def _mark_writable(up: asyncio.Future[None]) -> None:
    if not up.done():
        up.set_result(None)
