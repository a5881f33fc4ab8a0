"""The connections to one worker: chooses a connection for each item, and opens and closes connections.

The engine chooses the worker; this module chooses only among the connections to it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kelptrail.codec.lines import WorkerAnswer, encode_health_check, encode_load
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder, ProbeKind, ReadinessProbe

from . import log_events
from .log import LogWriter
from .worker_connection import RenderBytes, WorkerConnection, WorkerConnectionLimits, WorkItem

SWEEP_IDLE_SHARE = 0.2  # share of the workers' own idle timeout after which an idle connection is closed

OnItemFinished = Callable[[WorkItem, AttemptStatus, WorkerAnswer | None], None]


class WorkerConnections:
    """The connections to one worker.  `on_finished` is called once for each item that was not cancelled."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        id_: str,
        address: tuple[str, int],
        limits: WorkerConnectionLimits,
        on_finished: OnItemFinished,
        log: LogWriter,
    ) -> None:
        self._loop, self.id, self.address, self.limits = loop, id_, address, limits
        self._on_finished, self.log = on_finished, log
        self._connections: dict[WorkerConnection, None] = {}
        self._locations: dict[WorkItem, tuple[WorkerConnection, str]] = {}  # connection and id of each open item
        self._load_count = self._probe_count = 0

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def open_item_count(self) -> int:
        """The number of open attempts, loads and probes."""
        return sum(len(connection.open_items) for connection in self._connections)

    def start_attempt(self, attempt: Attempt, render: RenderBytes, size: int) -> None:
        """Send an attempt, encoded by `render` at the time of sending; `size` is approximate, in bytes."""
        self._start(attempt.request.id, attempt, render, size)

    def start_load(self, order: LoadOrder, may_start: Callable[[], bool]) -> None:
        """Send a load order unless `may_start` returns False at the time of sending."""
        self._load_count += 1
        id_ = f"o{self._load_count}"
        data = encode_load(id_, order.instance.function.id, order.count)
        self._start(id_, order, lambda: data if may_start() else b"", len(data))

    def start_probe(self, probe: ReadinessProbe, on_write: Callable[[], None]) -> None:
        """Send a readiness probe; `on_write` is called before its first byte is sent.

        A connection is opened only if no open one can take the probe: the number of connections to a worker is limited,
        and a probe does not queue behind other items at the worker.
        """
        self._probe_count += 1
        id_ = f"q{self._probe_count}"
        function = probe.question.instance.function.id
        data = encode_health_check(id_) if probe.kind is ProbeKind.HEALTH_CHECK else encode_load(id_, function, 0)

        def render() -> bytes:
            """Return the bytes of the probe and report that they are about to be sent."""
            on_write()
            return data

        self._start(id_, probe, render, len(data), may_open_more=False)

    def on_not_sent(self, item: WorkItem) -> None:
        """Cancel an item that may no longer start and report it as not sent, unless it has already ended."""
        if self.cancel_unsent(item):
            self._on_finished(item, AttemptStatus.NOT_SENT, None)

    def cancel(self, item: WorkItem) -> bool | None:
        """Cancel an item; return whether it may still reach the worker, or None if it has ended."""
        location = self._locations.pop(item, None)
        return None if location is None else location[0].cancel(location[1])

    def cancel_unsent(self, item: WorkItem) -> bool:
        """Cancel an item whose first byte was not sent; return whether it was cancelled."""
        location = self._locations.get(item)
        if location is None or not location[0].cancel_unsent(location[1]):
            return False
        del self._locations[item]
        return True

    def cancel_all_unsent(self) -> list[WorkItem]:
        """Cancel all items whose first byte was not sent, and return them."""
        return [item for item in list(self._locations) if self.cancel_unsent(item)]

    @property
    def longest_idle(self) -> WorkerConnection | None:
        """The least recently used connection among those without open items."""
        idle = (connection for connection in self._connections if not connection.open_items)
        return min(idle, key=lambda connection: connection.last_used_at, default=None)

    def close_connecting(self) -> None:
        """Close connections that are not established yet, because another worker may use the address by now."""
        for connection in [each for each in self._connections if each.connection is None]:
            connection.close()

    def sweep(self) -> None:
        """Close connections that stalled in an answer, and those without open items that are suspect or long idle."""
        now = self._loop.time()
        for connection in list(self._connections):
            if connection.is_stalled(now):
                self.log(log_events.WORKER_STALLED, worker=self.id)
                connection.close()
            elif not connection.open_items and (
                connection.suspect or (now - connection.last_used_at) * 1000 > SWEEP_IDLE_SHARE * self.limits.idle_ms
            ):
                connection.close()
            else:
                connection.expire_ids(now)

    def close(self) -> None:
        """Close all connections, which ends their open items."""
        for connection in list(self._connections):
            connection.close()

    def on_item_finished(self, item: WorkItem, status: AttemptStatus, answer: WorkerAnswer | None) -> None:
        """Report an item that was answered or whose connection has ended."""
        del self._locations[item]
        self._on_finished(item, status, answer)

    def on_connection_closed(self, connection: WorkerConnection) -> None:
        """Remove a connection that has ended."""
        if connection in self._connections:
            del self._connections[connection]
            self.limits.open_count -= 1

    def _start(self, id_: str, item: WorkItem, render: RenderBytes, size: int, may_open_more: bool = True) -> None:
        connection = self._choose_connection(id_)
        if connection is None or (
            may_open_more and (connection.open_items or connection.suspect) and self._has_capacity()
        ):
            if connection is None and not self._has_capacity() and not self._evict_idle():
                self._on_finished(item, AttemptStatus.NOT_SENT, None)
                return
            connection = WorkerConnection(self, self._loop)
            self._connections[connection] = None
            self.limits.open_count += 1
        self._locations[item] = connection, id_
        connection.start(id_, item, render, size)

    def _choose_connection(self, id_: str) -> WorkerConnection | None:
        """Return the connection with the lowest rank that can take an item with this id, or None."""
        chosen, now = None, self._loop.time()
        for connection in self._connections:
            # A late answer to an earlier attempt with this id would be taken for the answer to the new one.
            id_in_use = id_ in connection.open_items or connection.used_ids.get(id_, now) > now
            if id_in_use or len(connection.open_items) >= self.limits.streams:
                continue
            if chosen is None or connection.rank < chosen.rank:
                chosen = connection
        return chosen

    def _has_capacity(self) -> bool:
        limits = self.limits
        return len(self._connections) < limits.max_per_worker and limits.open_count < limits.max_total

    def _evict_idle(self) -> bool:
        """Close an idle connection and return whether there was one.

        Connections to this worker come first.  One to another worker is closed only if the limit for this worker is not
        reached.
        """
        if (idle := self.longest_idle) is not None:
            idle.close()
            return True
        return len(self._connections) < self.limits.max_per_worker and self.limits.close_longest_idle()
