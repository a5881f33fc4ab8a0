"""One connection to a worker, and the attempts and loads that are open on it.

The socket proves how an item ended.  A connection that never came up: unreachable.  Bytes that the socket never took
whole: not sent.  A connection that ends after that, or brings what cannot be parsed: connection lost, for all that is
open on it.
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
from kelptrail.net.connection import Connection, PendingWrite, connect
from kelptrail.net.errors import is_local_shortage

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
MAX_UNREAD_BYTES = 1 << 20  # written to a worker that does not read; beyond it the connection is closed
KERNEL_UNSENT_BYTES = 16_384  # that the kernel may hold unsent: they can be neither changed nor cancelled

WorkItem = Attempt | LoadOrder | ReadinessProbe
RenderBytes = Callable[[], bytes]  # the bytes of an item as they are sent; none if it may no longer start


@dataclass(slots=True)
class WorkerConnectionLimits:
    """What the settings allow of connections to workers.  `open_count` counts the open connections of all workers,
    `close_longest_idle` closes an idle one of any worker and returns whether there was one.
    """

    connect_ms: float
    idle_ms: float
    streams: int  # items open on one connection
    max_in_all: int  # connections to all workers
    answer_bytes: int
    may_cancel: bool  # whether the protocol allows CANCEL
    parallel_attempts: bool  # whether two attempts of a request may run at once
    max_timeout_ms: float  # of any request: a late answer may come for so long
    close_longest_idle: Callable[[], bool]
    max_per_worker: int = 1
    open_count: int = 0


@dataclass(slots=True)
class OpenItem:
    """An item that is open on a connection; its write is pending once the connection is up."""

    item: WorkItem
    render: RenderBytes
    size: int  # bytes, about
    pending_write: PendingWrite | None = None


class ConnectionOwner(Protocol):
    """All connections to one worker."""

    id: str
    address: tuple[str, int]
    limits: WorkerConnectionLimits
    log: LogWriter

    def on_not_sent(self, item: WorkItem) -> None:
        """The item's time to start is over."""

    def on_item_finished(self, item: WorkItem, status: AttemptStatus, answer: WorkerAnswer | None) -> None:
        """The item has ended."""

    def on_connection_closed(self, connection: WorkerConnection) -> None:
        """The connection has ended."""


class WorkerConnection:
    """One connection and its open items.  Times are seconds of the loop's clock."""

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
        self.open_items: dict[str, OpenItem] = {}  # by id, in the order of their start
        self.used_ids: dict[str, float] = {}  # ids used before, and until when a late answer to them may come
        self.suspect = False  # an item was cancelled without an answer, and nothing was received since
        self.last_used_at = self.last_received_at = loop.time()
        self.connection: Connection | None = None
        self._connect_task: asyncio.Task[None] | None = loop.create_task(self._connect())

    @property
    def rank(self) -> tuple[bool, int, float]:
        """The least is used next: not suspect, fewest open items, last used: long idle ones may be dead."""
        return self.suspect, len(self.open_items), -self.last_used_at

    def start(self, id_: str, item: WorkItem, render: RenderBytes, size: int) -> None:
        """Open an item; where `render` returns no bytes when it is about to be sent, it ends as not sent."""
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
        """Cancel an item whose first byte was not sent; whether it was cancelled."""
        write = self.open_items[id_].pending_write
        if write is not None and self.connection is not None and not self.connection.cancel_unsent(write):
            return False
        del self.open_items[id_]
        return True

    def cancel(self, id_: str) -> bool:
        """Cancel an item; whether it may still reach the worker.  Bytes that were begun are sent to their end, as the
        worker counts them.
        """
        if self.cancel_unsent(id_):
            return False
        del self.open_items[id_]
        self.suspect = True
        if self._owner.limits.may_cancel and self.connection is not None:
            self.connection.write(encode_cancel(id_))
            self.connection.flush_now()  # the next attempt, on a connection written before, must not overtake it
            if self.connection.has_pending_writes and not self._owner.limits.parallel_attempts:
                self.close()  # the worker does not read: the end of the connection cancels what it was sent
        return True

    def expire_ids(self, now: float) -> None:
        """Forget ids for which no late answer can come any more."""
        for id_ in [id_ for id_, until in self.used_ids.items() if until < now and id_ not in self.open_items]:
            del self.used_ids[id_]

    def is_stalled(self, now: float) -> bool:
        """Whether an answer stopped half way."""
        return self._reader.partial and now - self.last_received_at > self._owner.limits.connect_ms / 1000

    def close(self) -> None:
        """Close; open items end as lost, or as not sent."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self.connection is not None:
            self.connection.close()
        self._finish_all(AttemptStatus.NOT_SENT)

    async def _connect(self) -> None:
        try:
            sock = await connect(self._loop, self._owner.address, self._owner.limits.connect_ms)
        except asyncio.CancelledError:  # by `close`, which has ended the open items
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
        """A local shortage, such as of descriptors, says nothing about the worker."""
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
                if found is not None:  # else a duplicate, a late answer, or one to no request
                    self.last_used_at = self.last_received_at
                    # A duplicate answer, if any, comes soon after the first.
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
