"""What is asked for, by function and hour, from what edges report; free of I/O and clocks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kelptrail.gateway.counters import FunctionCounters

HOURS = 24


@dataclass(slots=True)
class FunctionLoad:
    """One function over all edges."""

    fast_rate: float = 0.0  # calls a second, on averages over some 10 s and some minutes
    slow_rate: float = 0.0
    work_ms: float = 0.0  # of a call
    queue_depth: float = 0.0
    not_loaded_rate: float = 0.0
    below_plan_since: float = 0.0  # since when it has been below what is planned
    planned: int = 0
    window: dict[str, FunctionCounters] = field(default_factory=dict)  # of this window, by edge
    hourly_rates: list[float] = field(default_factory=lambda: [0.0] * HOURS)  # usual calls a second by hour


class Demand:
    """Rates from reports; a window a second.  `hour` (0 to 23) is handed in by whoever has a clock."""

    def __init__(self, window_ms: float = 1000.0, fast_ms: float = 8000.0, slow_ms: float = 90_000.0) -> None:
        self._window_ms, self._fast, self._slow = window_ms, fast_ms, slow_ms
        self.functions: dict[str, FunctionLoad] = {}
        self.error_factor = 1.0  # for trials: by how much all figures are wrong
        self._closed: float | None = None
        self.requested_at: dict[
            str, dict[str, float]
        ] = {}  # of each edge its functions, and when it last asked for them

    def add_report(self, now: float, edge: str, tallies: dict[str, FunctionCounters]) -> None:
        """An edge's counts since its last report."""
        asked = self.requested_at.setdefault(edge, {})
        for model, tally in tallies.items():
            mine = self.functions.setdefault(model, FunctionLoad())
            mine.window[edge] = mine.window.get(edge, FunctionCounters()).plus(tally)
            if tally.taken:
                asked[model] = now

    def restore_hourly_rates(self, hours: dict[str, list[float]]) -> None:
        """What was usual by hour, from a snapshot."""
        for model, usual in hours.items():
            if len(usual) == HOURS:
                self.functions.setdefault(model, FunctionLoad()).hourly_rates = list(usual)

    def remove_edge(self, edge: str) -> None:
        """An edge has gone."""
        self.requested_at.pop(edge, None)

    def recently_requested(self, now: float, edge: str, within_ms: float) -> set[str]:
        """The functions that an edge has asked for lately."""
        return {model for model, at in self.requested_at.get(edge, {}).items() if now - at <= within_ms}

    def close_window(self, now: float, hour: int) -> None:
        """Turn what was reported since the last time into rates."""
        if self._closed is None:
            self._closed = now - self._window_ms
        seconds = (now - self._closed) / 1000
        if seconds <= 0:
            return
        self._closed = now
        fast, slow = (1 - math.exp(-seconds * 1000 / t) for t in (self._fast, self._slow))
        for model, mine in list(self.functions.items()):
            tallies, mine.window = mine.window.values(), {}
            rate = self.error_factor * sum(t.taken for t in tallies) / seconds
            done = sum(t.completed for t in tallies)
            mine.fast_rate += fast * (rate - mine.fast_rate)
            mine.slow_rate += slow * (rate - mine.slow_rate)
            mine.queue_depth += fast * (sum(t.queue_depth for t in tallies) - mine.queue_depth)
            mine.not_loaded_rate += fast * (sum(t.missed for t in tallies) / seconds - mine.not_loaded_rate)
            if done:
                spent = sum(t.work_ms for t in tallies) / done
                mine.work_ms += (0.3 if mine.work_ms else 1.0) * (spent - mine.work_ms)
            usual = mine.hourly_rates[hour]
            mine.hourly_rates[hour] = rate if not usual else usual + min(1.0, 0.2 * slow) * (rate - usual)
            if mine.fast_rate < 1e-3 and mine.slow_rate < 1e-3 and not mine.planned and not any(mine.hourly_rates):
                del self.functions[model]

    def forecast(self, model: str, hour: int) -> float:
        """Calls a second that the next minute is planned for: what comes now, or what usually comes in the hour, scaled
        by how today goes beside the usual day, at most twice what comes now.  Guards against a forecast that is wrong
        on a release day: it can cost no more than as much again."""
        mine = self.functions[model]
        now = max(mine.fast_rate, 0.7 * mine.slow_rate)
        usual, before = mine.hourly_rates[hour], mine.hourly_rates[(hour - 1) % HOURS]
        if not usual or not before:
            return now
        return max(now, min(2 * now, now * usual / before))
