"""Retry times for clients that wait for a held task, so that they do not all retry at the same time."""

from __future__ import annotations

MAX_WAITING_CLIENTS = 1000  # maximum length of the queue of one task


class WaitingClients:
    """Queues of one acceptor, one per task: clients in the order of their first refusal, with their retry times.

    Retry times are `spacing_ms` apart.  A client that has not retried within `max_lease_ms` after its retry time is
    removed.
    """

    def __init__(self, spacing_ms: float, max_lease_ms: float) -> None:
        self._spacing_ms, self._max_lease_ms = spacing_ms, max_lease_ms
        self._queues: dict[str, dict[str, float]] = {}  # retry time by client, for each task

    def retry_delay_ms(self, now: float, task: str, client: str, free_at: float) -> float:
        """Add a client to the queue of a task, unless it is full, and return how long the client should wait, in ms.

        `free_at` is the estimated time at which the first client of the queue can acquire the task.
        """
        queue = self._queues.setdefault(task, {})
        for name in [n for n, retry_at in queue.items() if retry_at < now - self._max_lease_ms]:
            del queue[name]
        if len(queue) < MAX_WAITING_CLIENTS or client in queue:
            queue.setdefault(client, now)
        position = list(queue).index(client) if client in queue else len(queue)
        retry_at = free_at + position * self._spacing_ms
        if client in queue:
            queue[client] = retry_at
        return retry_at - now

    def remove(self, task: str, client: str) -> None:
        """Remove a client from the queue of a task that it has acquired."""
        self._queues.get(task, {}).pop(client, None)

    def first(self, task: str) -> str:
        """Return the client that has waited longest, or an empty string if no client waits."""
        return next(iter(self._queues.get(task, ())), "")

    def clone(self) -> WaitingClients:
        """Return an independent copy, for the model checker."""
        clone = WaitingClients(self._spacing_ms, self._max_lease_ms)
        clone._queues = {task: dict(queue) for task, queue in self._queues.items()}
        return clone
