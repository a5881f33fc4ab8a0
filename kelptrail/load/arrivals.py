"""Arrival processes of calls in an open loop, drawn one time span after the other.  The only I/O is reading traces.

poisson   independent clients at a steady rate
diurnal   a sinusoidal rate that starts at its minimum: `period` is the length of a cycle in seconds, `swing` the
          amplitude as a share of the mean (thinning, Lewis and Shedler 1979)
bursts    a two-state modulated Poisson process: bursts at `factor` times the quiet rate, with quiet periods between
          them; `burst` and `quiet` are the mean lengths in seconds (exponential); the overall mean is the load's rate
heavy     heavy-tailed gaps from a Lomax (Pareto II) distribution with tail index `tail`: long pauses, then many
          arrivals in quick succession
trace     a recorded trace: lines of `seconds[,action]`, repeated from its start when it ends
closed    a closed loop without an arrival process: each of `clients` calls again after it received its answer and
          waited for a think time (exponential, mean `think` seconds)
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
MIN_TRACE_S = 1e-3  # minimum length of a trace, whose times may all be 0
MIN_GAPS_PER_DRAW = 16


class TraceError(ValueError):
    """A trace file is malformed; the message begins with the file and, for a faulty line, its number."""


class Arrival(NamedTuple):
    """Time of one call in seconds, and the path of its action; the path is "" if the action is drawn by popularity."""

    time: float
    action: str


@dataclass(frozen=True, slots=True)
class Trace:
    """A recorded trace."""

    times: np.ndarray  # time of each arrival from the start of the trace, in seconds
    actions: list[str]  # path of each arrival's action; "" if the action is drawn by popularity
    length_s: float


def read_trace(file: Path) -> Trace:
    """Read a trace file.  Raises `TraceError` with the first malformed line, `OSError` if the file is unreadable."""
    times, actions = list[float](), list[str]()
    for number, line in enumerate(file.read_text(encoding="utf-8", errors="replace").splitlines(), 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        time_text, _, action = text.partition(",")
        try:
            time = float(time_text)
        except ValueError:
            raise TraceError(f"{file}:{number}: {time_text!r} is not a time in seconds") from None
        if not np.isfinite(time) or time < (times[-1] if times else 0.0):
            raise TraceError(f"{file}:{number}: {time_text} is negative, before the previous time, or not finite")
        times.append(time)
        actions.append(action.strip())
    if not times:
        raise TraceError(f"{file}: no arrivals")
    mean_gap_share = 1 / len(times)  # the trace repeats one mean gap after its last arrival
    return Trace(np.array(times), actions, max(times[-1] * (1 + mean_gap_share), MIN_TRACE_S))


def popularity(paths: list[str], load: Load) -> np.ndarray:
    """Return each action's share of the calls: 1 for the action that the load names, or a Zipf distribution.

    The rank in that distribution is the position in `paths`.
    """
    if load.action:
        weights = np.array([float(path == load.action) for path in paths])
    else:
        weights = 1.0 / np.arange(1, len(paths) + 1) ** load.zipf
    shares: np.ndarray = weights / weights.sum()
    return shares


class Arrivals:
    """Arrivals of one load.  `part` is (index, count) when several processes generate one load in equal parts."""

    def __init__(self, load: Load, random: np.random.Generator, part: tuple[int, int] = (0, 1)) -> None:
        self._load, self._random, self._part = load, random, part
        self._rate = load.rate / part[1]
        self._next_arrival = 0.0  # state of the renewal process
        self._state_end, self._in_burst = 0.0, False  # state of the modulated process
        self._trace = read_trace(Path(load.file)) if load.shape == "trace" else None

    def draw(self, start: float, span: float) -> list[Arrival]:
        """Return the arrivals from `start` for `span` seconds, in order.  Calls must use consecutive spans."""
        if self._load.shape == "closed":
            return []
        if self._trace is not None:
            return list(self._repeat_trace(self._trace, start, span))
        return [Arrival(float(time), "") for time in self._draw_times(start, span)]

    def _draw_times(self, start: float, span: float) -> np.ndarray:
        if self._load.shape == "heavy":
            return self._draw_renewal(start, span)
        if self._load.shape == "bursts":
            return self._draw_modulated(start, span)
        if self._load.shape == "diurnal":
            return self._draw_diurnal(start, span)
        return self._draw_poisson(self._rate, start, span)

    def _draw_poisson(self, rate: float, start: float, span: float) -> np.ndarray:
        count = int(self._random.poisson(rate * span))
        return np.sort(self._random.uniform(start, start + span, count))

    def _draw_diurnal(self, start: float, span: float) -> np.ndarray:
        """Draw a Poisson process at the peak rate, and thin it to the rate at each time."""
        load = self._load
        times = self._draw_poisson(self._rate * (1 + load.swing), start, span)
        relative_rates = 1 - load.swing * np.cos(2 * np.pi * times / load.period)
        return times[self._random.random(len(times)) * (1 + load.swing) < relative_rates]

    def _draw_renewal(self, start: float, span: float) -> np.ndarray:
        tail, chunks = self._load.tail, list[np.ndarray]()
        gaps = stats.lomax(tail, scale=(tail - 1) / self._rate)
        self._next_arrival = max(self._next_arrival, start)
        while self._next_arrival < start + span:
            gap_count = max(MIN_GAPS_PER_DRAW, int(self._rate * span))
            times = self._next_arrival + np.cumsum(gaps.rvs(gap_count, random_state=self._random))
            chunks.append(times[times < start + span])
            used_count = len(chunks[-1])
            self._next_arrival = float(times[used_count]) if used_count < len(times) else float(times[-1])
        return np.concatenate(chunks) if chunks else np.empty(0)

    def _draw_modulated(self, start: float, span: float) -> np.ndarray:
        load, chunks, now = self._load, list[np.ndarray](), start
        quiet_rate = self._rate * (load.burst + load.quiet) / (load.burst * load.factor + load.quiet)
        while now < start + span:
            if now >= self._state_end:
                self._in_burst = not self._in_burst if self._state_end else False
                self._state_end = now + float(self._random.exponential(load.burst if self._in_burst else load.quiet))
            end = min(self._state_end, start + span)
            chunks.append(self._draw_poisson(quiet_rate * (load.factor if self._in_burst else 1.0), now, end - now))
            now = end
        return np.concatenate(chunks) if chunks else np.empty(0)

    def _repeat_trace(self, trace: Trace, start: float, span: float) -> Iterator[Arrival]:
        """Yield the arrivals of the repeating trace; each of m processes takes every m-th of them."""
        part, part_count = self._part
        repetition = int(start // trace.length_s)
        while repetition * trace.length_s < start + span:
            repetition_start = repetition * trace.length_s
            first = int(np.searchsorted(trace.times, start - repetition_start))
            last = int(np.searchsorted(trace.times, start + span - repetition_start))
            for index in range(first, last):
                if index % part_count == part:
                    yield Arrival(repetition_start + float(trace.times[index]), trace.actions[index])
            repetition += 1
