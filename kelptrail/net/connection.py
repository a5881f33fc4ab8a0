"""A plain TCP connection that reads whenever there is input, or in turns with others, and batches its writes.

Writes of one iteration of the event loop are sent in one call.  Each write is a `PendingWrite` that records whether the
socket accepted its first and its last byte.  So the caller can determine later which writes cannot have reached the
peer, and can cancel a write of which nothing was sent.  A deferred write is rendered only when it is sent, because its
bytes contain the time that remains for the request.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable

from .errors import is_transient
from .pending_write import PendingWrite
from .read_scheduler import ReadScheduler
from .transport import IdleState, Transport

READ_BUFFER_BYTES = 8_192
MAX_BATCH_BYTES = 65_536
# Maximum number of full buffers that a connection without a scheduler reads in one iteration of the loop; this way the
# end of a stream is detected soon, even if many bytes precede it.
MAX_CONSECUTIVE_READS = 32
# Limit on the input that is read and discarded after `close_gracefully`; a close with unread input would reset the
# connection, which destroys answers that the peer has not read.
MAX_DISCARDED_BYTES = 1 << 18
# Shared by all connections: the bytes are handled before the next read.
_READ_BUFFER = bytearray(READ_BUFFER_BYTES)
_READ_VIEW = memoryview(_READ_BUFFER)
LONG_WAIT_MS = 20.0  # of a connection for its turn; attempts may begin until 100 ms after a client has gone
RETRY_MS = 5.0  # pause after a transient failure of a send or receive


class Connection:
    """One open connection.

    `on_data` receives bytes as they arrive, and must not keep its argument.  `on_end` is called once, when the
    connection ends otherwise than by `close`: the peer closed it, it failed, or it exceeded a limit.  With more than
    `max_pending_bytes` unsent bytes the connection is closed, because its peer does not read.  With a `scheduler` the
    connection reads only when it is its turn.
    """

    __slots__ = (
        "__weakref__",
        "_awaits_writable",
        "_close_timer",
        "_closing",
        "_discarded_bytes",
        "_loop",
        "_max_pending_bytes",
        "_on_data",
        "_on_end",
        "_pending",
        "_pending_bytes",
        "_read_retry_timer",
        "_readable_since",
        "_reads",
        "_retry_timer",
        "_scheduler",
        "_sock",
        "_waits_for_turn",
        "_writing",
        "closed",
        "last_write_progress",
        "transport",
        "virtual_finish",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_data: Callable[[memoryview], None],
        on_end: Callable[[], None],
        max_pending_bytes: int,
        scheduler: ReadScheduler | None = None,
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
        self._pending: deque[PendingWrite] = deque()  # writes that are not completely sent
        self._pending_bytes = 0  # total size of the pending writes
        # Loop time (s) at which the socket last accepted bytes, or at which the first pending write was queued.
        self.last_write_progress = loop.time()
        self.closed = self._closing = self._writing = self._awaits_writable = False
        self._close_timer: asyncio.TimerHandle | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        self._sock, self._scheduler = sock, scheduler
        self._reads = self._waits_for_turn = False
        self._readable_since = 0.0  # loop time at which the connection began to wait for its turn
        self._read_retry_timer: asyncio.TimerHandle | None = None
        self._discarded_bytes = 0
        self.virtual_finish = 0.0  # set by the scheduler
        self._watch_readable(True)

    @property
    def has_pending_writes(self) -> bool:
        """Whether any write is not completely sent."""
        return bool(self._pending)

    def write(self, data: bytes) -> PendingWrite:
        """Queue bytes for sending, unless the connection is closed or closing."""
        return self._queue(PendingWrite(len(data), data))

    def write_deferred(self, make: Callable[[], bytes], size: int) -> PendingWrite:
        """Queue the bytes that `make` returns at the time of sending, about `size` of them.

        Nothing is queued if the connection is closed or closing.  `make` may return no bytes and may be called several
        times.  It must not write to the connection, but may close it.
        """
        return self._queue(PendingWrite(size, make=make))

    def _queue(self, write: PendingWrite) -> PendingWrite:
        if self.closed or self._closing:
            return write
        if not self._pending:
            self.last_write_progress = self._loop.time()
        self._pending.append(write)
        self._pending_bytes += write.size
        if self._pending_bytes > self._max_pending_bytes:  # the peer does not read its answers
            self._loop.call_soon(self._close_and_notify)
        elif not self._writing:
            self._writing = True
            self._loop.call_soon(self._flush)
        return write

    def cancel_unsent(self, write: PendingWrite) -> bool:
        """Cancel a write, and return whether this call cancelled it.

        Once its first byte was sent, a write cannot be cancelled: the peer needs the rest to parse what follows.
        """
        if write.started or write.cancelled:
            return False
        write.cancelled = True
        return True

    def flush_now(self) -> None:
        """Send pending writes now, before other connections send theirs in this iteration of the loop."""
        self._flush()

    def close_gracefully(self, within_ms: float) -> None:
        """Send all pending writes, shut down the sending side, then read and discard until the peer closes.

        The connection is closed after `within_ms` at the latest.  An immediate close could reset the connection, which
        would destroy data that the peer has not read yet.
        """
        if self.closed or self._closing:
            return
        self._closing = True
        self._close_timer = self._loop.call_later(within_ms / 1000, self._close_and_notify)
        if not self._writing:
            self._on_all_written()

    def close(self) -> None:
        """Close immediately, without sending the pending writes."""
        if self.closed:
            return
        self.closed = True
        self._pending.clear()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        # Breaks the reference cycle with the owner, which otherwise remains until the garbage collector runs.
        self._on_data = self._on_end = _ignore
        if self._close_timer is not None:
            self._close_timer.cancel()
        if self._read_retry_timer is not None:
            self._read_retry_timer.cancel()
        if self._waits_for_turn and self._scheduler is not None:
            self._scheduler.remove(self)
        self._watch_writable(False)
        self._watch_readable(False)
        self.transport.close()

    def close_if_ended(self) -> None:
        """Handle the end of a connection that its peer has closed, if it waits for its turn and has no unread bytes."""
        if self._waits_for_turn and not self.closed and self.transport.probe_idle() is IdleState.CLOSED:
            self._close_and_notify()

    def _close_and_notify(self) -> None:
        if not self.closed:
            on_end = self._on_end
            self.close()
            on_end()

    def _watch_readable(self, watch: bool) -> None:
        """Call `_on_readable` whenever there is input, or stop doing so."""
        if watch != self._reads:
            self._reads = watch
            if watch:
                self._loop.add_reader(self._sock, self._on_readable)
            else:
                self._loop.remove_reader(self._sock)

    def _on_readable(self) -> None:
        if self._scheduler is not None:
            if not self._waits_for_turn:
                self._waits_for_turn = True
                self._readable_since = self._loop.time()
                self._scheduler.add(self)
            return
        for _ in range(MAX_CONSECUTIVE_READS):
            if not self.read_once():
                return

    def on_read_finished(self) -> None:
        """Wait for further input."""
        self._waits_for_turn = False

    def read_once(self) -> bool:
        """Read and handle up to `READ_BUFFER_BYTES`; return whether there may be more input.

        After a long wait for its turn a connection is read once more: its peer may have closed it meanwhile, and what
        was read must not be acted on then.
        """
        count = self._receive()
        if 0 < count < READ_BUFFER_BYTES and self._has_waited_long():
            count = self._receive()
        return count == READ_BUFFER_BYTES and not self.closed

    def _has_waited_long(self) -> bool:
        return self._waits_for_turn and (self._loop.time() - self._readable_since) * 1000 >= LONG_WAIT_MS

    def _receive(self) -> int:
        """Receive and handle some bytes; return their number, 0 if there are none."""
        if self.closed:
            return 0
        try:
            count = self.transport.sock.recv_into(_READ_BUFFER)
        except BlockingIOError:
            return 0
        except OSError as cause:
            if is_transient(cause):
                self._watch_readable(False)
                self._read_retry_timer = self._loop.call_later(RETRY_MS / 1000, self._watch_readable, True)
            else:
                self._close_and_notify()
            return 0
        if not count:
            self._close_and_notify()
        elif self._closing:
            self._discard(count)
        else:
            self._handle(_READ_VIEW[:count])
        return count

    def _handle(self, data: memoryview) -> None:
        try:
            self._on_data(data)
        except Exception as cause:  # noqa: BLE001 - a bug in a message handler ends only its own connection
            self._loop.call_exception_handler({"message": "reading from a connection failed", "exception": cause})
            self._close_and_notify()

    def _discard(self, count: int) -> None:
        self._discarded_bytes += count
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._close_and_notify()

    def _flush(self) -> None:
        """Send as many pending writes as the socket accepts, and the rest once it is writable again."""
        self._retry_timer = None
        while self._pending and not self.closed:
            batch = self._render_batch()
            size = sum(map(len, batch))
            if self.closed:  # closed by the `make` of a deferred write
                return
            try:
                count = self.transport.sock.send(b"".join(batch)) if size else 0
            except BlockingIOError:
                count = 0
            except OSError as cause:
                if not is_transient(cause):
                    self._close_and_notify()
                    return
                self._watch_writable(False)
                self._retry_timer = self._loop.call_later(RETRY_MS / 1000, self._flush)
                return
            self._record_sent(len(batch), count)
            if count < size:  # the send buffer is full
                self._watch_writable(True)
                return
        if not self.closed:
            self._watch_writable(False)
            self._writing = False
            self._on_all_written()

    def _render_batch(self) -> list[bytes]:
        """Return the bytes of the next writes, one entry for each write, up to about `MAX_BATCH_BYTES`."""
        batch, size = [], 0
        for write in list(self._pending):
            data = write.render()
            batch.append(data)
            if (size := size + len(data)) >= MAX_BATCH_BYTES:
                break
        return batch

    def _record_sent(self, write_count: int, byte_count: int) -> None:
        """Account for `byte_count` bytes that the socket accepted of the first `write_count` pending writes."""
        if byte_count:
            self.last_write_progress = self._loop.time()
        for _ in range(write_count):
            write = self._pending[0]
            byte_count = write.consume(byte_count)
            if not write.complete:
                return
            self._pending.popleft()
            self._pending_bytes -= write.size

    def _watch_writable(self, watch: bool) -> None:
        """Call `_flush` whenever the socket is writable, or stop doing so."""
        if watch != self._awaits_writable:
            self._awaits_writable = watch
            if watch:
                self._loop.add_writer(self.transport.sock, self._flush)
            else:
                self._loop.remove_writer(self.transport.sock)

    def _on_all_written(self) -> None:
        """Shut down the sending side if the connection is closing; called whenever no write is pending any more."""
        if self._closing:
            try:
                self.transport.shutdown_write()
            except OSError:
                self._close_and_notify()


def _ignore(*_: object) -> None:
    """Do nothing: replaces the owner's callbacks once the connection is closed."""
