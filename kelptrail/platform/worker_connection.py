"""One connection to a worker, and the attempts, loads and probes that are open on it.

The state of the socket determines the status of an item that ends without an answer.  If the connection could not be
established, the item is unreachable, or not sent if the cause was a lack of local resources.  If the connection ends
later, or delivers data that cannot be parsed, the item has lost its connection if the socket had accepted all of its
bytes; otherwise it was not sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kelptrail.codec.lines import LineError, LineReader, WorkerAnswer, encode_cancel
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder, ReadinessProbe
from kelptrail.net.connecting import connect
from kelptrail.net.connection import Connection
from kelptrail.net.errors import is_local_shortage
from kelptrail.net.pending_write import PendingWrite

from . import log_events
from .log import LogWriter

STATUS_BY_WORD = {
    "OK": AttemptStatus.COMPLETED,
    "MISS": AttemptStatus.NOT_LOADED,
    "BUSY": AttemptStatus.OUT_OF_CAPACITY,
    "ERR": AttemptStatus.ERROR,
    "VOID": AttemptStatus.NOT_SENT,
    "UP": AttemptStatus.COMPLETED,
    "DOWN": AttemptStatus.OUT_OF_CAPACITY,
}
MAX_UNREAD_BYTES = 1 << 20  # limit of the bytes that wait for a worker to read them; beyond it the connection is closed
KERNEL_UNSENT_BYTES = 16_384  # limit of unsent bytes in the kernel, which can be neither changed nor cancelled

WorkItem = Attempt | LoadOrder | ReadinessProbe
RenderBytes = Callable[[], bytes]  # encodes an item when it is sent; returns no bytes if it may no longer start


@dataclass(slots=True)
class WorkerConnectionLimits:
    """Limits and timeouts of the connections to workers, shared by all workers.

    `open_count` is the number of open connections to all workers.  `close_longest_idle` closes an idle connection to
    any worker and returns whether there was one.
    """

    connect_ms: float  # timeout of a connect, and of an answer that stalls
    idle_ms: float  # idle time after which a worker closes a connection
    streams: int  # limit of open items on one connection
    max_total: int  # limit of connections to all workers
    answer_bytes: int  # limit of the body of an answer
    may_cancel: bool  # whether the protocol allows CANCEL
    parallel_attempts: bool  # whether two attempts of a request may run at the same time
    max_timeout_ms: float  # longest timeout of any request: late answers may arrive for this time
    close_longest_idle: Callable[[], bool]
    max_per_worker: int = 1  # limit of connections to one worker
    open_count: int = 0


@dataclass(slots=True)
class OpenItem:
    """An item that is open on a connection; it has a pending write once the connection is established."""

    item: WorkItem
    render: RenderBytes
    size: int  # approximate size in bytes
    pending_write: PendingWrite | None = None


class ConnectionOwner(Protocol):
    """All connections to one worker."""

    id: str
    address: tuple[str, int]
    limits: WorkerConnectionLimits
    log: LogWriter

    def on_not_sent(self, item: WorkItem) -> None:
        """Handle an item that may no longer start: its `render` returned no bytes."""

    def on_item_finished(self, item: WorkItem, status: AttemptStatus, answer: WorkerAnswer | None) -> None:
        """Handle the end of an item."""

    def on_connection_closed(self, connection: WorkerConnection) -> None:
        """Handle the end of a connection."""


class WorkerConnection:
    """One connection and its open items.  Times are in seconds of the loop's clock."""

    __slots__ = (
        "_connect_task",
        "_loop",
        "_owner",
        "_reader",
        "connection",
        "last_received_at",
        "last_used_at",
        "open_items",
        "suspect",
        "used_ids",
    )

    def __init__(self, owner: ConnectionOwner, loop: asyncio.AbstractEventLoop) -> None:
        self._owner, self._loop = owner, loop
        self._reader = LineReader(owner.limits.answer_bytes)
        self.open_items: dict[str, OpenItem] = {}  # by id, in order of start
        # By id, the time until which late answers to an earlier item with this id may arrive.
        self.used_ids: dict[str, float] = {}
        self.suspect = False  # whether a started item was cancelled, and no complete answer was received since
        self.last_used_at = self.last_received_at = loop.time()
        self.connection: Connection | None = None
        self._connect_task: asyncio.Task[None] | None = loop.create_task(self._connect())

    @property
    def rank(self) -> tuple[bool, int, float]:
        """Sort key for the choice of a connection; the lowest is used next.

        Connections that are not suspect come first, then those with the fewest open items, then the most recently used
        ones, because connections that were idle for long may be dead.
        """
        return self.suspect, len(self.open_items), -self.last_used_at

    def start(self, id_: str, item: WorkItem, render: RenderBytes, size: int) -> None:
        """Open an item and send it once connected; it ends as not sent if `render` returns no bytes at that time."""
        self.last_used_at = self._loop.time()
        self.used_ids[id_] = self.last_used_at + self._owner.limits.max_timeout_ms / 1000
        opened = self.open_items[id_] = OpenItem(item, render, size)
        if self.connection is not None:
            self._write(self.connection, opened)

    def _write(self, connection: Connection, opened: OpenItem) -> None:
        def render() -> bytes:
            data = opened.render()
            if not data:
                self._loop.call_soon(self._owner.on_not_sent, opened.item)
            return data

        opened.pending_write = connection.write_deferred(render, opened.size)

    def cancel_unsent(self, id_: str) -> bool:
        """Cancel an item whose first byte was not sent; return whether it was cancelled."""
        write = self.open_items[id_].pending_write
        if write is not None and self.connection is not None and not self.connection.cancel_unsent(write):
            return False
        del self.open_items[id_]
        return True

    def cancel(self, id_: str) -> bool:
        """Cancel an item and return whether it may still reach the worker.

        An item that is partly sent is sent completely, because the worker counts its bytes.
        """
        if self.cancel_unsent(id_):
            return False
        del self.open_items[id_]
        self.suspect = True
        if self._owner.limits.may_cancel and self.connection is not None:
            self.connection.write(encode_cancel(id_))
            # Without this flush, another connection whose flush is already scheduled could send the next attempt first.
            self.connection.flush_now()
            if self.connection.has_pending_writes and not self._owner.limits.parallel_attempts:
                self.close()  # the worker does not read; closing the connection cancels its items
        return True

    def expire_ids(self, now: float) -> None:
        """Remove ids whose late answers can no longer arrive."""
        for id_ in [id_ for id_, until in self.used_ids.items() if until < now and id_ not in self.open_items]:
            del self.used_ids[id_]

    def is_stalled(self, now: float) -> bool:
        """Return whether an answer is incomplete and no bytes have arrived for the time of the connect timeout."""
        return self._reader.partial and now - self.last_received_at > self._owner.limits.connect_ms / 1000

    def close(self) -> None:
        """Close the connection; open items end as connection lost if they were sent, otherwise as not sent."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self.connection is not None:
            self.connection.close()
        self._finish_all(AttemptStatus.NOT_SENT)

    async def _connect(self) -> None:
        try:
            sock = await connect(self._loop, self._owner.address, self._owner.limits.connect_ms)
        except asyncio.CancelledError:  # raised by `close`, which ends the open items
            return
        except OSError as cause:
            self._on_connect_failed(cause)
            return
        self._connect_task = None
        self.last_received_at = self._loop.time()
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, KERNEL_UNSENT_BYTES)
        self.connection = Connection(self._loop, sock, self._on_data, self._on_closed, MAX_UNREAD_BYTES)
        for opened in self.open_items.values():
            self._write(self.connection, opened)

    def _on_connect_failed(self, cause: OSError) -> None:
        """End all items as unreachable.

        After a local shortage, such as of descriptors, they end as not sent: the worker is not at fault.
        """
        self._connect_task = None
        status = AttemptStatus.NOT_SENT if is_local_shortage(cause) else AttemptStatus.UNREACHABLE
        self._owner.log(log_events.WORKER_CONNECT_FAILED, worker=self._owner.id, cause=cause, outcome=status.value)
        self._finish_all(status)

    def _on_data(self, data: memoryview) -> None:
        self.last_received_at = self._loop.time()
        self._reader.feed(data)
        try:
            while (answer := self._reader.next()) is not None:
                self.suspect = False
                found = self.open_items.pop(answer.id, None)
                if found is not None:  # otherwise a duplicate, late or unknown answer
                    self.last_used_at = self.last_received_at
                    # A duplicate answer would arrive soon after the first one.
                    self.used_ids[answer.id] = self.last_received_at + self._owner.limits.connect_ms / 1000
                    status = STATUS_BY_WORD.get(answer.status, AttemptStatus.CONNECTION_LOST)
                    self._owner.on_item_finished(found.item, status, answer)
        except LineError as cause:
            self._owner.log(log_events.WORKER_UNREADABLE, worker=self._owner.id, cause=str(cause))
            self.close()

    def _on_closed(self) -> None:
        self._finish_all(AttemptStatus.NOT_SENT)

    def _finish_all(self, status_if_not_sent: AttemptStatus) -> None:
        self._owner.on_connection_closed(self)
        ended, self.open_items = self.open_items, {}
        for opened in ended.values():
            sent = opened.pending_write is not None and opened.pending_write.sent
            self._owner.on_item_finished(
                opened.item, AttemptStatus.CONNECTION_LOST if sent else status_if_not_sent, None
            )
