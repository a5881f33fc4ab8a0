"""Retry-after times of rejected clients: one after the other, at the rate at which retries can be served."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .overload_settings import EARLY_TOLERANCE_MS, OverloadSettings
from .seeded_draws import SeededDraws

MIN_SPREAD = 0.75  # of a retry-after time: the rest of it is drawn
MAX_COUNTED_EARLY_RETRIES = 3  # each makes the next retry-after time longer by half


@dataclass(slots=True)
class RejectedClient:
    """A client that was given a retry-after time."""

    retry_at: float
    early_retries: int = 0  # how often it returned before that

    def is_early(self, now: float) -> bool:
        """Whether a retry at `now` comes before the retry-after time."""
        return now < self.retry_at - EARLY_TOLERANCE_MS


class RetryAfterQueue:
    """The clients rejected lately, and the queue of their retry-after times."""

    def __init__(self, settings: OverloadSettings, draws: SeededDraws) -> None:
        self._settings, self._draws = settings, draws
        self._clients: OrderedDict[str, RejectedClient] = OrderedDict()
        self.next_retry_at = 0.0  # until when retry-after times are assigned
        self.early_retries = 0  # before the retry-after time
        self.assigned = 0  # retry-after times

    def __len__(self) -> int:
        return len(self._clients)

    def __contains__(self, client: str) -> bool:
        return client in self._clients

    def find(self, client: str) -> RejectedClient | None:
        """A client rejected lately, or None."""
        return self._clients.get(client)

    def on_early_retry(self, client: RejectedClient) -> None:
        """A client returns before its time."""
        self.early_retries += 1
        client.early_retries += 1

    def assign(self, now: float, client: str, min_ms: float, retry_capacity_per_s: float) -> float:
        """A retry-after time of the client's own, at least `min_ms`.

        It is the next slot in a queue that moves at the rate of what can be served beyond first tries; longer, within
        the bound, for a client that keeps returning early.  Guards against all clients returning at one moment, and
        against clients that ignore their retry-after time.
        """
        self.assigned += 1
        known = self._clients.get(client)
        if known is None or not known.is_early(now):
            self.next_retry_at = max(self.next_retry_at, now) + 1000 / retry_capacity_per_s
            wait_ms = self.next_retry_at - now
        else:  # a client that returns early keeps its slot
            wait_ms = known.retry_at - now
        if known is not None:
            wait_ms *= 1 + min(MAX_COUNTED_EARLY_RETRIES, known.early_retries) / 2
        max_ms = self._settings.max_retry_after_ms
        spread = MIN_SPREAD + (1 - MIN_SPREAD) * self._draws.draw("back")  # also where the bound cuts
        wait_ms = max(min_ms, min(max_ms, wait_ms) * spread)
        self.next_retry_at = min(self.next_retry_at, now + max_ms)
        self.remember(client, now + wait_ms)
        return wait_ms

    def remember(self, client: str, retry_at: float) -> None:
        """A client may retry at `retry_at`; beyond the limit, the clients rejected first are forgotten."""
        known = self._clients.pop(client, None)
        if known is None:
            known = RejectedClient(retry_at)
        known.retry_at = retry_at
        self._clients[client] = known
        while len(self._clients) > self._settings.max_clients:
            self._clients.popitem(last=False)

    def forget(self, client: str) -> None:
        """A client's request is completed."""
        self._clients.pop(client, None)

    def forget_absent(self, now: float) -> None:
        """Forget the clients whose retry-after time has passed long ago."""
        while self._clients:
            client, oldest = next(iter(self._clients.items()))
            if now < oldest.retry_at + self._settings.forget_after_ms:
                break
            del self._clients[client]

    def restart(self) -> None:
        """Assign retry-after times from the present again."""
        self.next_retry_at = 0.0
