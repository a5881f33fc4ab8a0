"""Demand for each function and hour of the day, measured from the edges' reports; free of I/O and clocks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kelptrail.gateway.counters import FunctionCounters

HOURS = 24
WORK_SMOOTHING = 0.3  # weight of a new window in the moving average of the work per call
HOURLY_SMOOTHING = 0.2  # weight of a window in the usual rate of an hour, relative to its weight in the slow average
SLOW_RATE_SHARE = 0.7  # lower bound of the present rate, as a share of the slow average
MAX_GROWTH = 2  # largest ratio of a forecast to the present rate
IDLE_RATE = 1e-3  # calls per second below which a function counts as not requested; see `FunctionLoad.is_idle`


@dataclass(slots=True)
class FunctionLoad:
    """Measured load of one function over all edges."""

    fast_rate: float = 0.0  # calls per second, averaged over about 8 s
    slow_rate: float = 0.0  # calls per second, averaged over about 90 s
    work_ms: float = 0.0  # average work per call: the time from start to answer of a completed attempt
    queue_depth: float = 0.0  # requests in the edges' queues, averaged over about 8 s; 0 in windows without a report
    not_loaded_rate: float = 0.0  # attempts per second whose worker had no instance, averaged over about 8 s
    below_plan_since: float = 0.0  # when all planned instances were last needed, or their number last reduced, in ms
    planned: int = 0  # instances in the latest plan
    window: dict[str, FunctionCounters] = field(default_factory=dict)  # counters of the open window, by edge
    hourly_rates: list[float] = field(default_factory=lambda: [0.0] * HOURS)  # usual calls per second by hour

    @property
    def is_idle(self) -> bool:
        """Whether the function's rates are below `IDLE_RATE`, and it has no planned instances and no usual rates."""
        is_requested = self.fast_rate >= IDLE_RATE or self.slow_rate >= IDLE_RATE
        return not is_requested and not self.planned and not any(self.hourly_rates)


class Demand:
    """Request rates measured from usage reports, in windows that end with each call of `close_window`.

    The caller has the clock and passes the hour (0 to 23).  `window_ms`: length of the first window; `fast_ms` and
    `slow_ms`: time constants of the two moving averages of a rate.
    """

    def __init__(self, window_ms: float = 1000.0, fast_ms: float = 8000.0, slow_ms: float = 90_000.0) -> None:
        self._window_ms, self._fast_ms, self._slow_ms = window_ms, fast_ms, slow_ms
        self.functions: dict[str, FunctionLoad] = {}
        self.error_factor = 1.0  # factor applied to the measured rates of calls, to inject forecast errors
        self._window_closed_at: float | None = None
        # Time of the last report with requests, by edge and function.
        self.requested_at: dict[str, dict[str, float]] = {}

    def add_report(self, now: float, edge: str, counters: dict[str, FunctionCounters]) -> None:
        """Add the counters that an edge has collected since its last report."""
        requested = self.requested_at.setdefault(edge, {})
        for model, counted in counters.items():
            load = self.functions.setdefault(model, FunctionLoad())
            load.window[edge] = load.window.get(edge, FunctionCounters()).plus(counted)
            if counted.received:
                requested[model] = now

    def restore_hourly_rates(self, hourly_rates: dict[str, list[float]]) -> None:
        """Restore the usual rates by hour from a snapshot; entries without a rate for each hour are ignored."""
        for model, rates in hourly_rates.items():
            if len(rates) == HOURS:
                self.functions.setdefault(model, FunctionLoad()).hourly_rates = list(rates)

    def remove_edge(self, edge: str) -> None:
        """Remove an edge that has disconnected; the counters that it reported still count."""
        self.requested_at.pop(edge, None)

    def recently_requested(self, now: float, edge: str, within_ms: float) -> set[str]:
        """Return the functions for which an edge has reported requests within the last `within_ms`."""
        return {model for model, last in self.requested_at.get(edge, {}).items() if now - last <= within_ms}

    def close_window(self, now: float, hour: int) -> None:
        """Turn the reports since the last call into rates, and remove idle functions."""
        if self._window_closed_at is None:
            self._window_closed_at = now - self._window_ms
        seconds = (now - self._window_closed_at) / 1000
        if seconds <= 0:
            return
        self._window_closed_at = now
        fast_weight, slow_weight = (
            1 - math.exp(-seconds * 1000 / average_ms) for average_ms in (self._fast_ms, self._slow_ms)
        )
        for model, load in list(self.functions.items()):
            counters, load.window = load.window.values(), {}
            rate = self.error_factor * sum(counted.received for counted in counters) / seconds
            completed = sum(counted.completed for counted in counters)
            load.fast_rate += fast_weight * (rate - load.fast_rate)
            load.slow_rate += slow_weight * (rate - load.slow_rate)
            load.queue_depth += fast_weight * (sum(counted.queue_depth for counted in counters) - load.queue_depth)
            load.not_loaded_rate += fast_weight * (
                sum(counted.not_loaded for counted in counters) / seconds - load.not_loaded_rate
            )
            if completed:
                work_ms = sum(counted.work_ms for counted in counters) / completed
                load.work_ms += (WORK_SMOOTHING if load.work_ms else 1.0) * (work_ms - load.work_ms)
            usual = load.hourly_rates[hour]
            load.hourly_rates[hour] = (
                rate if not usual else usual + min(1.0, HOURLY_SMOOTHING * slow_weight) * (rate - usual)
            )
            if load.is_idle:
                del self.functions[model]

    def forecast(self, model: str, hour: int) -> float:
        """Return the rate in calls per second to plan for in the next minute.

        This is the present rate or, if higher, the present rate scaled by the usual change from the previous hour to
        this one, at most `MAX_GROWTH` times the present rate.  The bound keeps a wrong forecast, as on a release day,
        from planning for more than twice the present rate.
        """
        load = self.functions[model]
        present = max(load.fast_rate, SLOW_RATE_SHARE * load.slow_rate)
        usual, usual_before = load.hourly_rates[hour], load.hourly_rates[(hour - 1) % HOURS]
        if not usual or not usual_before:
            return present
        return max(present, min(MAX_GROWTH * present, present * usual / usual_before))
