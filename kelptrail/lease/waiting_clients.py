"""Retry times for the clients that wait for a held task, so that those of a whole fleet do not retry all at once."""

from __future__ import annotations

MAX_WAITING_CLIENTS = 1000  # clients for a task whose position in the queue is remembered


class WaitingClients:
    """The queue of each task at one acceptor: clients in order of their first refusal, with their retry times.

    Retry times are `spacing_ms` apart.  A client that is `max_lease_ms` past its retry time is no longer waiting.
    """

    def __init__(self, spacing_ms: float, max_lease_ms: float) -> None:
        self._spacing_ms, self._max_lease_ms = spacing_ms, max_lease_ms
        self._queues: dict[str, dict[str, float]] = {}  # by task: client to its retry time

    def retry_delay_ms(self, now: float, task: str, client: str, free_at: float) -> float:
        """Add a client to the queue, unless it is full; returns how long the client should wait, in ms.

        `free_at`: when the task may be free for the first client of the queue.
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
        """The client has the task and waits no longer."""
        self._queues.get(task, {}).pop(client, None)

    def first(self, task: str) -> str:
        """The client that has waited longest; empty if none waits."""
        return next(iter(self._queues.get(task, ())), "")

    def clone(self) -> WaitingClients:
        """An independent copy, for the model checker."""
        clone = WaitingClients(self._spacing_ms, self._max_lease_ms)
        clone._queues = {task: dict(queue) for task, queue in self._queues.items()}
        return clone
