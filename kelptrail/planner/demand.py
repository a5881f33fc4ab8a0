"""What is asked for, by function and hour, from what edges report; free of I/O and clocks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kelptrail.gateway.counters import FunctionCounters

HOURS = 24


@dataclass(slots=True)
class Asked:
    """One function over all edges."""

    fast: float = 0.0  # calls a second, on averages over some 10 s and some minutes
    slow: float = 0.0
    work_ms: float = 0.0  # of a call
    lag: float = 0.0
    missed: float = 0.0
    calm_since: float = 0.0  # since when it has been below what is planned
    planned: int = 0
    now: dict[str, FunctionCounters] = field(default_factory=dict)  # of this window, by edge
    hours: list[float] = field(default_factory=lambda: [0.0] * HOURS)  # usual calls a second by hour


class Demand:
    """Rates from reports; a window a second.  `hour` (0 to 23) is handed in by whoever has a clock."""

    def __init__(self, window_ms: float = 1000.0, fast_ms: float = 8000.0, slow_ms: float = 90_000.0) -> None:
        self._window_ms, self._fast, self._slow = window_ms, fast_ms, slow_ms
        self.functions: dict[str, Asked] = {}
        self.factor = 1.0  # for trials: by how much all figures are wrong
        self._closed: float | None = None
        self.edges: dict[str, dict[str, float]] = {}  # of each edge its functions, and when it last asked for them

    def report(self, now: float, edge: str, tallies: dict[str, FunctionCounters]) -> None:
        """An edge's counts since its last report."""
        asked = self.edges.setdefault(edge, {})
        for model, tally in tallies.items():
            mine = self.functions.setdefault(model, Asked())
            mine.now[edge] = mine.now.get(edge, FunctionCounters()).plus(tally)
            if tally.received:
                asked[model] = now

    def restore(self, hours: dict[str, list[float]]) -> None:
        """What was usual by hour, from a snapshot."""
        for model, usual in hours.items():
            if len(usual) == HOURS:
                self.functions.setdefault(model, Asked()).hours = list(usual)

    def gone(self, edge: str) -> None:
        """An edge has gone."""
        self.edges.pop(edge, None)

    def asks(self, now: float, edge: str, within_ms: float) -> set[str]:
        """The functions that an edge has asked for lately."""
        return {model for model, at in self.edges.get(edge, {}).items() if now - at <= within_ms}

    def close(self, now: float, hour: int) -> None:
        """Turn what was reported since the last time into rates."""
        if self._closed is None:
            self._closed = now - self._window_ms
        seconds = (now - self._closed) / 1000
        if seconds <= 0:
            return
        self._closed = now
        fast, slow = (1 - math.exp(-seconds * 1000 / t) for t in (self._fast, self._slow))
        for model, mine in list(self.functions.items()):
            tallies, mine.now = mine.now.values(), {}
            rate = self.factor * sum(t.received for t in tallies) / seconds
            done = sum(t.completed for t in tallies)
            mine.fast += fast * (rate - mine.fast)
            mine.slow += slow * (rate - mine.slow)
            mine.lag += fast * (sum(t.queue_depth for t in tallies) - mine.lag)
            mine.missed += fast * (sum(t.not_loaded for t in tallies) / seconds - mine.missed)
            if done:
                spent = sum(t.work_ms for t in tallies) / done
                mine.work_ms += (0.3 if mine.work_ms else 1.0) * (spent - mine.work_ms)
            usual = mine.hours[hour]
            mine.hours[hour] = rate if not usual else usual + min(1.0, 0.2 * slow) * (rate - usual)
            if mine.fast < 1e-3 and mine.slow < 1e-3 and not mine.planned and not any(mine.hours):
                del self.functions[model]

    def ahead(self, model: str, hour: int) -> float:
        """Calls a second that the next minute is planned for: what comes now, or what usually comes in the hour, scaled
        by how today goes beside the usual day, at most twice what comes now.  Guards against a forecast that is wrong
        on a release day: it can cost no more than as much again."""
        mine = self.functions[model]
        now = max(mine.fast, 0.7 * mine.slow)
        usual, before = mine.hours[hour], mine.hours[(hour - 1) % HOURS]
        if not usual or not before:
            return now
        return max(now, min(2 * now, now * usual / before))
