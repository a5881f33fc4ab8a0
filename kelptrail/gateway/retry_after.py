"""Retry-after times of rejected clients: they are spaced at the rate at which retries can be served."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .overload_settings import EARLY_TOLERANCE_MS, OverloadSettings
from .seeded_draws import SeededDraws

MIN_RANDOM_FACTOR = 0.75  # smallest random factor of a retry-after time; the largest is 1
MAX_COUNTED_EARLY_RETRIES = 3  # each counted early retry adds half of the unextended wait


@dataclass(slots=True)
class RejectedClient:
    """A client that was given a retry-after time."""

    retry_at: float
    early_retries: int = 0  # number of early retries since the client was first rejected

    def is_early(self, now: float) -> bool:
        """Return whether a retry at `now` is before the retry-after time."""
        return now < self.retry_at - EARLY_TOLERANCE_MS


class RetryAfterQueue:
    """The recently rejected clients, and the queue of their retry-after times."""

    def __init__(self, settings: OverloadSettings, draws: SeededDraws) -> None:
        self._settings, self._draws = settings, draws
        self._clients: OrderedDict[str, RejectedClient] = OrderedDict()
        self.last_slot_at = 0.0  # time of the last slot assigned in the queue
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
        """Assign a time to retry to one client and return the wait until then in ms, at least `min_ms`.

        The time is the next slot in a queue that advances at the rate at which retries can be served.  A client that
        returns early takes no further slot; its remaining wait is extended.  Each of its first
        `MAX_COUNTED_EARLY_RETRIES` early retries makes the wait longer, up to `max_retry_after_ms`.  A random factor
        shortens the wait, so that clients do not all return at the same moment.  Below that limit a client gains
        nothing by returning early.
        """
        self.assigned += 1
        rejected_client = self._clients.get(client)
        if rejected_client is None or not rejected_client.is_early(now):
            self.last_slot_at = max(self.last_slot_at, now) + 1000 / retry_capacity_per_s
            wait_ms = self.last_slot_at - now
        else:
            wait_ms = rejected_client.retry_at - now
        if rejected_client is not None:
            wait_ms *= 1 + min(MAX_COUNTED_EARLY_RETRIES, rejected_client.early_retries) / 2
        max_ms = self._settings.max_retry_after_ms
        # The name "back" stays as it is, because it determines the draws.
        random_factor = MIN_RANDOM_FACTOR + (1 - MIN_RANDOM_FACTOR) * self._draws.draw("back")
        # The factor is applied after the limit, so that limited waits differ, too.
        wait_ms = max(min_ms, min(max_ms, wait_ms) * random_factor)
        self.last_slot_at = min(self.last_slot_at, now + max_ms)
        self.remember(client, now + wait_ms)
        return wait_ms

    def remember(self, client: str, retry_at: float) -> None:
        """Store a client's retry-after time; beyond the maximum number, those stored longest ago are forgotten."""
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
        """Forget clients that have not returned within `forget_after_ms` of their retry-after time.

        Clients are checked in the order of their last rejection; one behind a client that is not yet due is forgotten
        later.
        """
        while self._clients:
            client, oldest = next(iter(self._clients.items()))
            if now < oldest.retry_at + self._settings.forget_after_ms:
                break
            del self._clients[client]

    def restart(self) -> None:
        """Discard the assigned slots: the next one counts from the present.  Rejected clients remain known."""
        self.last_slot_at = 0.0
