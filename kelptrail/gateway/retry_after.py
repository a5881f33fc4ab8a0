"""Retry-after times of rejected clients: they are spaced at the rate at which retries can be served."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .overload_settings import EARLY_TOLERANCE_MS, OverloadSettings
from .seeded_draws import SeededDraws

MIN_SPREAD = 0.75  # fixed share of a retry-after time; a random draw sets the rest
MAX_COUNTED_EARLY_RETRIES = 3  # each counted early retry makes the next retry-after time longer by half


@dataclass(slots=True)
class RejectedClient:
    """A client that was given a retry-after time."""

    retry_at: float
    early_retries: int = 0  # number of retries before that time

    def is_early(self, now: float) -> bool:
        """Return whether a retry at `now` is before the retry-after time."""
        return now < self.retry_at - EARLY_TOLERANCE_MS


class RetryAfterQueue:
    """The recently rejected clients, and the queue of their retry-after times."""

    def __init__(self, settings: OverloadSettings, draws: SeededDraws) -> None:
        self._settings, self._draws = settings, draws
        self._clients: OrderedDict[str, RejectedClient] = OrderedDict()
        self.next_retry_at = 0.0  # time of the last slot assigned in the queue
        self.early_retries = 0  # number of retries before the retry-after time
        self.assigned = 0  # number of retry-after times assigned

    def __len__(self) -> int:
        return len(self._clients)

    def __contains__(self, client: str) -> bool:
        return client in self._clients

    def find(self, client: str) -> RejectedClient | None:
        """Return a recently rejected client, or None."""
        return self._clients.get(client)

    def on_early_retry(self, client: RejectedClient) -> None:
        """Count a retry before the client's retry-after time."""
        self.early_retries += 1
        client.early_retries += 1

    def assign(self, now: float, client: str, min_ms: float, retry_capacity_per_s: float) -> float:
        """Assign a retry-after time to one client, at least `min_ms`, and return it.

        It is the next slot in a queue that advances at the rate at which retries can be served; a client that returns
        early keeps its slot.  Each early retry of the client makes the time longer, up to the maximum, and a random
        factor varies it.  So not all clients return at the same moment, and a client gains nothing by ignoring its
        retry-after time.
        """
        self.assigned += 1
        rejected_client = self._clients.get(client)
        if rejected_client is None or not rejected_client.is_early(now):
            self.next_retry_at = max(self.next_retry_at, now) + 1000 / retry_capacity_per_s
            wait_ms = self.next_retry_at - now
        else:  # a client that returns early keeps its slot
            wait_ms = rejected_client.retry_at - now
        if rejected_client is not None:
            wait_ms *= 1 + min(MAX_COUNTED_EARLY_RETRIES, rejected_client.early_retries) / 2
        max_ms = self._settings.max_retry_after_ms
        spread = MIN_SPREAD + (1 - MIN_SPREAD) * self._draws.draw("back")  # also spreads times limited to the maximum
        wait_ms = max(min_ms, min(max_ms, wait_ms) * spread)
        self.next_retry_at = min(self.next_retry_at, now + max_ms)
        self.remember(client, now + wait_ms)
        return wait_ms

    def remember(self, client: str, retry_at: float) -> None:
        """Store a client's retry-after time; beyond the maximum number, the least recent ones are forgotten."""
        rejected_client = self._clients.pop(client, None)
        if rejected_client is None:
            rejected_client = RejectedClient(retry_at)
        rejected_client.retry_at = retry_at
        self._clients[client] = rejected_client
        while len(self._clients) > self._settings.max_clients:
            self._clients.popitem(last=False)

    def forget(self, client: str) -> None:
        """Forget a client whose request is completed."""
        self._clients.pop(client, None)

    def forget_absent(self, now: float) -> None:
        """Forget clients that have not returned within `forget_after_ms` of their retry-after time."""
        while self._clients:
            client, oldest = next(iter(self._clients.items()))
            if now < oldest.retry_at + self._settings.forget_after_ms:
                break
            del self._clients[client]

    def restart(self) -> None:
        """Reset the queue: the next retry-after time counts from the present."""
        self.next_retry_at = 0.0
