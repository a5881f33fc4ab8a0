"""Demand by function and hour of the day, measured from the edges' reports; free of I/O and clocks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kelptrail.gateway.counters import FunctionCounters

HOURS = 24
WORK_SMOOTHING = 0.3  # share of a new window in the average work of a call
HOURLY_SMOOTHING = 0.2  # share of the slow average's step by which the usual rate of an hour follows
SLOW_RATE_SHARE = 0.7  # of the slow average, below which a forecast does not fall
MAX_GROWTH = 2  # a forecast's largest multiple of the present rate
IDLE_RATE = 1e-3  # calls a second, below which a function without instances is forgotten


@dataclass(slots=True)
class FunctionLoad:
    """The measured load of one function over all edges."""

    fast_rate: float = 0.0  # calls a second, averaged over about 8 s; `slow_rate` over 90 s
    slow_rate: float = 0.0
    work_ms: float = 0.0  # of a call
    queue_depth: float = 0.0
    not_loaded_rate: float = 0.0
    below_plan_since: float = 0.0  # since when it has needed fewer instances than planned
    planned: int = 0
    window: dict[str, FunctionCounters] = field(default_factory=dict)  # counters of the open window, by edge
    hourly_rates: list[float] = field(default_factory=lambda: [0.0] * HOURS)  # usual calls a second by hour of the day

    @property
    def is_idle(self) -> bool:
        """Whether the function is not requested, not planned and has no usual rates."""
        is_requested = self.fast_rate >= IDLE_RATE or self.slow_rate >= IDLE_RATE
        return not is_requested and not self.planned and not any(self.hourly_rates)


class Demand:
    """Rates from usage reports, in windows of a second.  The caller, which has a clock, passes the hour (0 to 23)."""

    def __init__(self, window_ms: float = 1000.0, fast_ms: float = 8000.0, slow_ms: float = 90_000.0) -> None:
        self._window_ms, self._fast, self._slow = window_ms, fast_ms, slow_ms
        self.functions: dict[str, FunctionLoad] = {}
        self.error_factor = 1.0  # for trials: all measured rates are multiplied by it
        self._closed: float | None = None
        self.requested_at: dict[str, dict[str, float]] = {}  # by edge and function: when the edge last requested it

    def add_report(self, now: float, edge: str, counters: dict[str, FunctionCounters]) -> None:
        """Add an edge's counters since its last report."""
        requested = self.requested_at.setdefault(edge, {})
        for model, counted in counters.items():
            load = self.functions.setdefault(model, FunctionLoad())
            load.window[edge] = load.window.get(edge, FunctionCounters()).plus(counted)
            if counted.received:
                requested[model] = now

    def restore_hourly_rates(self, hours: dict[str, list[float]]) -> None:
        """Take the usual rates by hour from a snapshot."""
        for model, usual in hours.items():
            if len(usual) == HOURS:
                self.functions.setdefault(model, FunctionLoad()).hourly_rates = list(usual)

    def remove_edge(self, edge: str) -> None:
        """Forget an edge that has gone; what it reported still counts."""
        self.requested_at.pop(edge, None)

    def recently_requested(self, now: float, edge: str, within_ms: float) -> set[str]:
        """The functions that an edge has requested within the last `within_ms`."""
        return {model for model, at in self.requested_at.get(edge, {}).items() if now - at <= within_ms}

    def close_window(self, now: float, hour: int) -> None:
        """Turn the reports since the last call into rates."""
        if self._closed is None:
            self._closed = now - self._window_ms
        seconds = (now - self._closed) / 1000
        if seconds <= 0:
            return
        self._closed = now
        fast, slow = (1 - math.exp(-seconds * 1000 / t) for t in (self._fast, self._slow))
        for model, load in list(self.functions.items()):
            counters, load.window = load.window.values(), {}
            rate = self.error_factor * sum(each.received for each in counters) / seconds
            completed = sum(each.completed for each in counters)
            load.fast_rate += fast * (rate - load.fast_rate)
            load.slow_rate += slow * (rate - load.slow_rate)
            load.queue_depth += fast * (sum(each.queue_depth for each in counters) - load.queue_depth)
            load.not_loaded_rate += fast * (sum(each.not_loaded for each in counters) / seconds - load.not_loaded_rate)
            if completed:
                work_ms = sum(each.work_ms for each in counters) / completed
                load.work_ms += (WORK_SMOOTHING if load.work_ms else 1.0) * (work_ms - load.work_ms)
            usual = load.hourly_rates[hour]
            load.hourly_rates[hour] = rate if not usual else usual + min(1.0, HOURLY_SMOOTHING * slow) * (rate - usual)
            if load.is_idle:
                del self.functions[model]

    def forecast(self, model: str, hour: int) -> float:
        """Calls a second that the next minute is planned for: the present rate, or the present rate scaled by the usual
        change from the hour before to this one, at most twice the present rate.  The bound guards against a forecast
        that is wrong on a release day: it costs no more than as much again.
        """
        load = self.functions[model]
        present = max(load.fast_rate, SLOW_RATE_SHARE * load.slow_rate)
        usual, before = load.hourly_rates[hour], load.hourly_rates[(hour - 1) % HOURS]
        if not usual or not before:
            return present
        return max(present, min(MAX_GROWTH * present, present * usual / before))
