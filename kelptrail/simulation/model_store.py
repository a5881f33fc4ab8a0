"""Simulated model store from which workers fetch models."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from kelptrail.settings.deployment import StoreSettings

from .event_queue import EventQueue, Timer

REFUSAL_DELAY_MS = 0.2  # time until a refused fetch fails
COMPLETION_TOLERANCE_MS = 1e-6  # rounding may leave this much of a complete fetch's remaining time


@dataclass(slots=True, eq=False)
class OpenFetch:
    """A fetch in progress, with its remaining time at the full rate."""

    remaining_ms: float
    on_done: Callable[[bool], None]


class SimulatedStore:
    """The model store: concurrent fetches beyond its capacity share its rate; above a limit it refuses them."""

    def __init__(self, event_queue: EventQueue, settings: StoreSettings) -> None:
        self._event_queue, self._settings = event_queue, settings
        self._open_fetches: list[OpenFetch] = []
        self._updated_at = 0.0
        self._completion_timer: Timer | None = None
        self._slow_factor, self._refusing, self._stopped = 1.0, False, False
        self.fetches = self.refused = 0

    def _service_rate(self) -> float:
        """Return the rate of each open fetch, as a share of the full rate."""
        if self._stopped or not self._open_fetches:
            return 0.0
        return min(1.0, self._settings.fetches / len(self._open_fetches)) / self._slow_factor

    def _advance(self) -> None:
        """Subtract the work done since the last update from every open fetch."""
        done_ms = (self._event_queue.now - self._updated_at) * self._service_rate()
        self._updated_at = self._event_queue.now
        if done_ms:
            for fetch in self._open_fetches:
                fetch.remaining_ms -= done_ms

    def _schedule_completion(self) -> None:
        if self._completion_timer is not None:
            self._completion_timer.cancel()
        service_rate = self._service_rate()
        if service_rate:
            shortest_ms = max(0.0, min(fetch.remaining_ms for fetch in self._open_fetches))
            self._completion_timer = self._event_queue.after(shortest_ms / service_rate, self._complete_fetches)

    def _complete_fetches(self) -> None:
        self._completion_timer = None
        self._advance()
        complete = [fetch for fetch in self._open_fetches if fetch.remaining_ms <= COMPLETION_TOLERANCE_MS]
        self._open_fetches = [fetch for fetch in self._open_fetches if fetch.remaining_ms > COMPLETION_TOLERANCE_MS]
        self._schedule_completion()
        for fetch in complete:
            fetch.on_done(True)

    def fetch(self, fetch_ms: float, on_done: Callable[[bool], None]) -> None:
        """Start a fetch that takes `fetch_ms` at the full rate; `on_done` gets whether it succeeded."""
        self._advance()
        if self._refusing or len(self._open_fetches) >= self._settings.most:
            self.refused += 1
            self._event_queue.after(REFUSAL_DELAY_MS, on_done, False)
            return
        self.fetches += 1
        self._open_fetches.append(OpenFetch(fetch_ms, on_done))
        self._schedule_completion()

    def inject(self, kind: str, factor: float, duration_ms: float) -> None:
        """Inject the fault `slow`, `refuse` or `stopped` for `duration_ms`; `factor` is the slowdown of `slow`."""
        self._advance()
        if kind == "slow":
            self._slow_factor = factor
        elif kind == "refuse":
            self._refusing = True
        else:
            self._stopped = True
        self._schedule_completion()
        self._event_queue.after(duration_ms, self._end_fault, kind)

    def _end_fault(self, kind: str) -> None:
        self._advance()
        if kind == "slow":
            self._slow_factor = 1.0
        elif kind == "refuse":
            self._refusing = False
        else:
            self._stopped = False
        self._schedule_completion()
