"""The connections to one worker: which of them an item uses, and when one is opened or closed.

Only the connection is chosen here, among those to the worker that the engine decided on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kelptrail.codec.lines import WorkerAnswer, encode_health_check, encode_load
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder, ProbeKind, ReadinessProbe

from . import log_events
from .log import LogWriter
from .worker_connection import RenderBytes, WorkerConnection, WorkerConnectionLimits, WorkItem

SWEEP_IDLE_SHARE = 0.2  # a connection is closed after this share of the workers' own idle timeout

OnItemFinished = Callable[[WorkItem, AttemptStatus, WorkerAnswer | None], None]


class WorkerConnections:
    """The connections to one worker; `on_finished` is called once for each item that was not cancelled."""

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
        self._locations: dict[WorkItem, tuple[WorkerConnection, str]] = {}  # connection, and id on it
        self._load_count = self._probe_count = 0

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def open_items(self) -> int:
        """How many attempts and loads are open."""
        return sum(len(connection.open_items) for connection in self._connections)

    def start_attempt(self, attempt: Attempt, render: RenderBytes, size: int) -> None:
        """Send an attempt, whose bytes are rendered when they are sent."""
        self._start(attempt.request.id, attempt, render, size)

    def start_load(self, order: LoadOrder, may_start: Callable[[], bool]) -> None:
        """Send a load order, if it may still start when the connection takes it."""
        self._load_count += 1
        id_ = f"o{self._load_count}"
        data = encode_load(id_, order.instance.function.id, order.count)
        self._start(id_, order, lambda: data if may_start() else b"", len(data))

    def start_probe(self, probe: ReadinessProbe, on_write: Callable[[], None]) -> None:
        """Ask the worker; `on_write` is called as the first byte leaves.  A connection is opened only if there is none:
        connections are scarce at workers, and a question waits for nothing there.
        """
        self._probe_count += 1
        id_ = f"q{self._probe_count}"
        function = probe.question.instance.function.id
        data = encode_health_check(id_) if probe.kind is ProbeKind.HEALTH_CHECK else encode_load(id_, function, 0)

        def render() -> bytes:
            """The probe's bytes, as they are sent."""
            on_write()
            return data

        self._start(id_, probe, render, len(data), may_open_more=False)

    def on_not_sent(self, item: WorkItem) -> None:
        """The item's time to start is over."""
        if self.cancel_unsent(item):
            self._on_finished(item, AttemptStatus.NOT_SENT, None)

    def cancel(self, item: WorkItem) -> bool | None:
        """Cancel an item; whether it may still reach the worker.  None: it has ended."""
        location = self._locations.pop(item, None)
        return None if location is None else location[0].cancel(location[1])

    def cancel_unsent(self, item: WorkItem) -> bool:
        """Cancel an item whose first byte was not sent; whether it was cancelled."""
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
        """Of the connections without open items the one that was used the longest ago."""
        idle = (connection for connection in self._connections if not connection.open_items)
        return min(idle, key=lambda connection: connection.last_used_at, default=None)

    def close_connecting(self) -> None:
        """Close connections that are not up yet: another worker may answer at the address by now."""
        for connection in [each for each in self._connections if each.connection is None]:
            connection.close()

    def sweep(self) -> None:
        """Close connections that were idle too long, stalled in an answer, or are suspect and empty."""
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
        """Close all; open items end."""
        for connection in list(self._connections):
            connection.close()

    def on_item_finished(self, item: WorkItem, status: AttemptStatus, answer: WorkerAnswer | None) -> None:
        """An open item has ended."""
        del self._locations[item]
        self._on_finished(item, status, answer)

    def on_connection_closed(self, connection: WorkerConnection) -> None:
        """A connection has ended."""
        if connection in self._connections:
            del self._connections[connection]
            self.limits.open_count -= 1

    def _start(self, id_: str, item: WorkItem, render: RenderBytes, size: int, may_open_more: bool = True) -> None:
        best = self._best_connection(id_)
        if best is None or (may_open_more and (best.open_items or best.suspect) and self._has_room()):
            if best is None and not self._has_room() and not self._make_room():
                self._on_finished(item, AttemptStatus.NOT_SENT, None)
                return
            best = WorkerConnection(self, self._loop)
            self._connections[best] = None
            self.limits.open_count += 1
        self._locations[item] = best, id_
        best.start(id_, item, render, size)

    def _best_connection(self, id_: str) -> WorkerConnection | None:
        best, now = None, self._loop.time()
        for connection in self._connections:
            # A late answer to an earlier attempt under this id would be mistaken for the new attempt's answer.
            used = id_ in connection.open_items or connection.used_ids.get(id_, now) > now
            if used or len(connection.open_items) >= self.limits.streams:
                continue
            if best is None or connection.rank < best.rank:
                best = connection
        return best

    def _has_room(self) -> bool:
        limits = self.limits
        return len(self._connections) < limits.max_per_worker and limits.open_count < limits.max_in_all

    def _make_room(self) -> bool:
        """Close an idle connection, of this worker or, where only the total is used up, of any; whether one was."""
        if (idle := self.longest_idle) is not None:
            idle.close()
            return True
        return len(self._connections) < self.limits.max_per_worker and self.limits.close_longest_idle()
