"""Arrivals of calls: load models of open loops, drawn a span at a time; free of I/O but for recorded traces.

poisson   independent clients at a steady rate
diurnal   the rate swings around its mean: `period` seconds from low to low, `swing` its share (thinning, Lewis and
          Shedler 1979)
bursts    a two-state modulated Poisson process: `burst` seconds at `factor` times the quiet rate, `quiet` seconds
          between, both exponential; the mean is the load's rate
heavy     gaps from a Lomax (Pareto II) distribution with tail index `tail`: long pauses, then many arrivals at once
trace     a recording: lines of `seconds[,action]`, repeated from its start when it ends
closed    no arrivals of its own: `clients` that each call again `think` seconds (exponential) after their answer
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import numpy as np
from scipy import stats

from .load_settings import Load

SHAPES = ("poisson", "diurnal", "bursts", "heavy", "trace", "closed")
MIN_TRACE_S = 1e-3
MIN_DRAWN_GAPS = 16  # of a renewal process, at a time


class TraceError(ValueError):
    """A recording is malformed; the message begins with the file and the line."""


class Arrival(NamedTuple):
    """One call: when it arrives, in seconds, and its action; "" to draw one by popularity."""

    time: float
    action: str


@dataclass(frozen=True, slots=True)
class Trace:
    """A recording: times in seconds from its start, the action of each ("": by popularity), its length."""

    times: np.ndarray
    actions: list[str]
    length_s: float


def read_trace(file: Path) -> Trace:
    """Read a recording.  Raises `TraceError` with the line of the first fault, `OSError` where unreadable."""
    times, actions = list[float](), list[str]()
    for number, line in enumerate(file.read_text(encoding="utf-8", errors="replace").splitlines(), 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        time_text, _, action = text.partition(",")
        try:
            time = float(time_text)
        except ValueError:
            raise TraceError(f"{file}:{number}: {time_text!r} is no time in seconds") from None
        if not np.isfinite(time) or time < (times[-1] if times else 0.0):
            raise TraceError(f"{file}:{number}: {time_text} is before the time above it, or no time")
        times.append(time)
        actions.append(action.strip())
    if not times:
        raise TraceError(f"{file}: no arrivals")
    mean_gap_share = 1 / len(times)  # the pause after the last arrival, before the recording repeats
    return Trace(np.array(times), actions, max(times[-1] * (1 + mean_gap_share), MIN_TRACE_S))


def popularity(paths: list[str], load: Load) -> np.ndarray:
    """The share of each action: the one that the load names, or by rank (Zipf)."""
    if load.action:
        weights = np.array([float(path == load.action) for path in paths])
    else:
        weights = 1.0 / np.arange(1, len(paths) + 1) ** load.zipf
    shares: np.ndarray = weights / weights.sum()
    return shares


class Arrivals:
    """One load's arrivals; `part` n of m of them, for a load that several processes generate together."""

    def __init__(self, load: Load, random: np.random.Generator, part: tuple[int, int] = (0, 1)) -> None:
        self._load, self._random, self._part = load, random, part
        self._rate = load.rate / part[1]
        self._next_arrival = 0.0  # of a renewal process
        self._state_ends, self._in_burst = 0.0, False  # of the present state of a modulated process
        self._trace = read_trace(Path(load.file)) if load.shape == "trace" else None

    def draw(self, at: float, span: float) -> list[Arrival]:
        """The arrivals from `at` for `span` seconds, in order.  To be called for spans one after the other."""
        if self._load.shape == "closed":
            return []
        if self._trace is not None:
            return list(self._recorded(self._trace, at, span))
        return [Arrival(float(time), "") for time in self._draw_times(at, span)]

    def _draw_times(self, at: float, span: float) -> np.ndarray:
        if self._load.shape == "heavy":
            return self._renewal(at, span)
        if self._load.shape == "bursts":
            return self._modulated(at, span)
        if self._load.shape == "diurnal":
            return self._diurnal(at, span)
        return self._poisson(self._rate, at, span)

    def _poisson(self, rate: float, at: float, span: float) -> np.ndarray:
        count = int(self._random.poisson(rate * span))
        return np.sort(self._random.uniform(at, at + span, count))

    def _diurnal(self, at: float, span: float) -> np.ndarray:
        """A Poisson process at the highest rate, thinned to the present one."""
        load = self._load
        times = self._poisson(self._rate * (1 + load.swing), at, span)
        relative_rates = 1 - load.swing * np.cos(2 * np.pi * times / load.period)
        return times[self._random.random(len(times)) * (1 + load.swing) < relative_rates]

    def _renewal(self, at: float, span: float) -> np.ndarray:
        tail, drawn = self._load.tail, list[np.ndarray]()
        gaps = stats.lomax(tail, scale=(tail - 1) / self._rate)
        self._next_arrival = max(self._next_arrival, at)
        while self._next_arrival < at + span:
            gap_count = max(MIN_DRAWN_GAPS, int(self._rate * span))
            times = self._next_arrival + np.cumsum(gaps.rvs(gap_count, random_state=self._random))
            drawn.append(times[times < at + span])
            arrived = len(drawn[-1])
            self._next_arrival = float(times[arrived]) if arrived < len(times) else float(times[-1])
        return np.concatenate(drawn) if drawn else np.empty(0)

    def _modulated(self, at: float, span: float) -> np.ndarray:
        load, drawn, now = self._load, list[np.ndarray](), at
        quiet_rate = self._rate * (load.burst + load.quiet) / (load.burst * load.factor + load.quiet)
        while now < at + span:
            if now >= self._state_ends:
                self._in_burst = not self._in_burst if self._state_ends else False
                self._state_ends = now + float(self._random.exponential(load.burst if self._in_burst else load.quiet))
            end = min(self._state_ends, at + span)
            drawn.append(self._poisson(quiet_rate * (load.factor if self._in_burst else 1.0), now, end - now))
            now = end
        return np.concatenate(drawn) if drawn else np.empty(0)

    def _recorded(self, trace: Trace, at: float, span: float) -> Iterator[Arrival]:
        """The arrivals of a recording that repeats; with several processes each has every m-th of them."""
        part, part_count = self._part
        repetition = int(at // trace.length_s)
        while repetition * trace.length_s < at + span:
            begin = repetition * trace.length_s
            first = int(np.searchsorted(trace.times, at - begin))
            last = int(np.searchsorted(trace.times, at + span - begin))
            for index in range(first, last):
                if index % part_count == part:
                    yield Arrival(begin + float(trace.times[index]), trace.actions[index])
            repetition += 1
