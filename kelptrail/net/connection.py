"""A connection that reads continuously and batches its writes, over a `Transport`.

Writes of one iteration of the event loop are sent in one call.  Each write is a `PendingWrite` that knows whether the
socket took its first byte and its last, so that its user can tell afterwards what cannot have reached the peer, and can
cancel a write of which nothing was sent.  A deferred write is rendered only when it is sent, as its bytes contain the
time that is left.
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

READ_BUFFER_BYTES = 8_192
MAX_BATCH_BYTES = 65_536
READS_AT_ONCE = 32  # full buffers read in a row without a wait, so that an end behind many bytes is seen soon
MAX_DISCARDED_BYTES = 1 << 18  # discarded after `close_gracefully`; a reset would destroy unread answers
RETRY_MS = 5.0  # after a call that failed transiently
CONNECT_RETRY_MS, LONGEST_CONNECT_RETRY_MS = 10.0, 80.0


class PendingWrite:
    """The bytes of one message that wait to be sent: `data`, or what `make` returns when they are sent."""

    __slots__ = ("_data", "_make", "_sent_bytes", "cancelled", "sent", "size", "started")

    def __init__(self, size: int, data: bytes = b"", make: Callable[[], bytes] | None = None) -> None:
        self.size, self._data, self._make = size, data, make
        self._sent_bytes = 0
        self.started = self.sent = self.cancelled = False

    def render(self) -> bytes:
        """The bytes of it that are still to be sent, as of now."""
        if self.started:
            return self._data[self._sent_bytes :]
        if self.cancelled:
            self._data = b""
        elif self._make is not None:
            self._data = self._make()
        return self._data

    def consume(self, count: int) -> int:
        """Account for `count` bytes that the socket took of what this and later writes rendered last.

        Returns how many of them belong to later writes.
        """
        unsent = len(self._data) - self._sent_bytes
        own = min(count, unsent)
        self._sent_bytes += own
        self.started = self.started or own > 0
        self.sent = self.started and own == unsent
        return count - own

    @property
    def complete(self) -> bool:
        """Whether none of it is to be sent any more."""
        return self._sent_bytes == len(self._data)


class Connection:
    """One open connection.

    `on_data` gets bytes as they arrive.  `on_end` is called once, when the peer closed or the connection failed, and
    not after `close`.  More than `max_pending_bytes` unsent close the connection: its peer does not read.
    """

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
        self._pending: deque[PendingWrite] = deque()  # writes that are not sent completely
        self._pending_bytes = 0  # the size of all of them
        self.last_write_progress = loop.time()  # loop time (s) at which the socket last took bytes, or had none to take
        self.closed = self._closing = self._writing = self._awaits_writable = False
        self._close_timer: asyncio.TimerHandle | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        self._reader: asyncio.Task[None] | None = loop.create_task(self._read())

    @property
    def has_pending_writes(self) -> bool:
        """Whether any write is not sent completely."""
        return bool(self._pending)

    def write(self, data: bytes) -> PendingWrite:
        """Send bytes."""
        return self._queue(PendingWrite(len(data), data))

    def write_deferred(self, make: Callable[[], bytes], size: int) -> PendingWrite:
        """Send the bytes, some `size` of them, that `make` returns when they are sent; it may return none.  It may be
        called several times, and must not use the connection.
        """
        return self._queue(PendingWrite(size, make=make))

    def _queue(self, write: PendingWrite) -> PendingWrite:
        if self.closed or self._closing:
            return write
        if not self._pending:
            self.last_write_progress = self._loop.time()
        self._pending.append(write)
        self._pending_bytes += write.size
        if self._pending_bytes > self._max_pending_bytes:  # guards against a peer that does not read its answers
            self._loop.call_soon(self._on_lost)
        elif not self._writing:
            self._writing = True
            self._loop.call_soon(self._flush)
        return write

    def cancel_unsent(self, write: PendingWrite) -> bool:
        """Cancel a write; False once its first byte was sent, as the peer needs the rest to parse what follows."""
        if write.started or write.cancelled:
            return False
        write.cancelled = True
        return True

    def flush_now(self) -> None:
        """Send now what the socket takes, ahead of the writes of other connections in this iteration of the loop."""
        self._flush()

    def close_gracefully(self, within_ms: float) -> None:
        """Send all pending writes, shut down the sending side, then read and discard until the peer closes; close at
        the latest after `within_ms`.  Guards against a reset that destroys what the peer has yet to read.
        """
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
        self._on_data = self._on_end = _ignore  # breaks the reference cycle with its user, else left to the collector
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
        buffer = bytearray(READ_BUFFER_BYTES)
        view = memoryview(buffer)
        full_reads = discarded = 0
        try:
            while True:
                count = await self._receive(buffer, at_once=full_reads > 0)
                if not count:
                    break
                full_reads = (full_reads + 1) % READS_AT_ONCE if count == READ_BUFFER_BYTES else 0
                if not self._closing:
                    self._on_data(view[:count])
                elif (discarded := discarded + count) > MAX_DISCARDED_BYTES:
                    break
                if self.closed:
                    return
        except asyncio.CancelledError:  # by `close`; a task that ended cancelled would keep this frame and its buffer
            return
        except OSError:
            pass
        except Exception as cause:  # noqa: BLE001 - a fault in a message's handler ends only its own connection
            self._loop.call_exception_handler({"message": "a connection's reader failed", "exception": cause})
        self._on_lost()

    async def _receive(self, buffer: bytearray, at_once: bool) -> int:
        """Read bytes; returns their number, 0 at the end.  `at_once`: try to read before waiting.  Raises `OSError`."""
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
        """Send what the socket takes; wait for room where it is full."""
        self._retry_timer = None
        while self._pending and not self.closed:
            batch = self._batch()
            size = sum(map(len, batch))
            if self.closed:  # by a deferred write's `make`
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
        """The bytes of the next writes, as of now."""
        batch, size = [], 0
        for write in list(self._pending):
            data = write.render()
            batch.append(data)
            if (size := size + len(data)) >= MAX_BATCH_BYTES:
                break
        return batch

    def _record_sent(self, writes: int, count: int) -> None:
        """Account for `count` bytes that the socket took of the first `writes` writes."""
        if count:
            self.last_write_progress = self._loop.time()
        for _ in range(writes):
            write = self._pending[0]
            count = write.consume(count)
            if not write.complete:
                return
            self._pending.popleft()
            self._pending_bytes -= write.size

    def _watch_writable(self, for_room: bool) -> None:
        """Call `_flush` whenever the socket has room, or stop doing so."""
        if for_room != self._awaits_writable:
            self._awaits_writable = for_room
            if for_room:
                self._loop.add_writer(self.transport.sock, self._flush)
            else:
                self._loop.remove_writer(self.transport.sock)

    def _on_all_written(self) -> None:
        """Every write is sent: shut down the sending side of a connection that is closing."""
        if self._closing:
            try:
                self.transport.shutdown_write()
            except OSError:
                self._on_lost()


def _ignore(*_: object) -> None:
    """Replaces the user's callbacks once the connection is closed."""


async def connect(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_ms: float) -> socket.socket:
    """A connected socket; the host of `address` is an IP address.  Transient failures are retried with backoff.
    Raises `OSError`, and its subclass `TimeoutError` after `within_ms`.

    Does not use the loop's own `sock_connect`: that resolves each address in a thread pool, whose threads receive the
    process's signals after the loop has removed its handlers, and costs CPU for each connection.
    """
    deadline, pause_ms = loop.time() + within_ms / 1000, CONNECT_RETRY_MS
    while True:
        try:
            return await _connect_once(loop, address, deadline - loop.time())
        except OSError as cause:
            if not is_connect_retryable(cause) or loop.time() + pause_ms / 1000 >= deadline:
                raise
        await asyncio.sleep(pause_ms / 1000)
        pause_ms = min(LONGEST_CONNECT_RETRY_MS, 2 * pause_ms)


async def _connect_once(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_s: float) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
        while code == EINTR:  # the next call says whether the connect continues by itself
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
    writable: asyncio.Future[None] = loop.create_future()
    loop.add_writer(sock, _mark_writable, writable)
    try:
        async with asyncio.timeout(within_s):
            await writable
    finally:
        loop.remove_writer(sock)


def _mark_writable(writable: asyncio.Future[None]) -> None:
    if not writable.done():
        writable.set_result(None)
