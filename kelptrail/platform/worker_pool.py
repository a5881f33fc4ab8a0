"""The connections to all workers, limited by the descriptors of the process."""

from __future__ import annotations

import asyncio

from kelptrail.codec import frames
from kelptrail.dispatch.entities import Worker

from .config import SocketSettings
from .log import LogWriter
from .worker_connection import WorkerConnectionLimits
from .worker_connections import OnItemFinished, WorkerConnections

MIN_CONNECTIONS_PER_WORKER = 2  # smallest value of the limit of connections to one worker
MAX_ANSWER_BYTES = 8 * frames.MAX_BODY_BYTES  # limit of the body of an answer; `MAX_BODY_BYTES` is that of a request


class WorkerPool:
    """The connections to all workers, opened on first use."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: SocketSettings,
        max_connections: int,
        descriptors: int,
        on_finished: OnItemFinished,
        log: LogWriter,
    ) -> None:
        self._loop, self._descriptors, self._on_finished, self._log = loop, descriptors, on_finished, log
        self.addresses: dict[str, tuple[str, int]] = {}  # by worker id
        self.connections: dict[Worker, WorkerConnections] = {}
        self.limits = WorkerConnectionLimits(
            connect_ms=settings.connect_ms,
            idle_ms=settings.idle_ms,
            streams=settings.streams,
            max_total=max_connections,
            answer_bytes=MAX_ANSWER_BYTES,
            may_cancel=settings.may_cancel,
            parallel_attempts=settings.parallel_attempts,
            max_timeout_ms=max(settings.max_timeout_ms.values()),
            close_longest_idle=self._close_longest_idle,
        )

    @property
    def connection_count(self) -> int:
        """The number of connections to all workers."""
        return sum(len(of_worker) for of_worker in self.connections.values())

    @property
    def open_item_count(self) -> int:
        """The number of attempts, loads and probes that are open on connections."""
        return sum(of_worker.open_item_count for of_worker in self.connections.values())

    def share_descriptors(self, worker_count: int) -> None:
        """Limit the connections to each worker to an equal share of a quarter of the descriptors, but at least two."""
        share = self._descriptors // 4 // max(1, worker_count)
        self.limits.max_per_worker = max(MIN_CONNECTIONS_PER_WORKER, share)

    def get(self, worker: Worker) -> WorkerConnections | None:
        """Return the connections to a worker, or None before their first use and after they were dropped."""
        return self.connections.get(worker)

    def get_or_create(self, worker: Worker) -> WorkerConnections:
        """Return the connections to a worker, whose address must be known; create them on first use."""
        connections = self.connections.get(worker)
        if connections is None:
            connections = self.connections[worker] = WorkerConnections(
                self._loop, worker.id, self.addresses[worker.id], self.limits, self._on_finished, self._log
            )
        return connections

    def drop(self, worker: Worker) -> None:
        """Close all connections to a worker.  Raises `KeyError` before their first use and after they were dropped."""
        self.connections.pop(worker).close()

    def sweep(self) -> None:
        """Close stalled, suspect and long idle connections, and drop those to removed workers that have no open items.

        `WorkerConnections.sweep` decides which connections are closed.
        """
        for worker, connections in list(self.connections.items()):
            connections.sweep()
            if worker.removed and not connections.open_item_count:
                del self.connections[worker]
                connections.close()

    def close(self) -> None:
        """Close all connections."""
        for connections in list(self.connections.values()):
            connections.close()

    def _close_longest_idle(self) -> bool:
        idle = [found for connections in self.connections.values() if (found := connections.longest_idle) is not None]
        if idle:
            min(idle, key=lambda connection: connection.last_used_at).close()
        return bool(idle)
