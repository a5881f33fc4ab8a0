"""When clients come: load models of open loops, drawn a piece at a time; free of I/O but for recorded traces.

poisson   independent clients at a steady rate
diurnal   the rate swings around its mean: `period` seconds from low to low, `swing` its share (thinning, Lewis and
          Shedler 1979)
bursts    a two-state modulated Poisson process: `burst` seconds at `factor` times the quiet rate, `quiet` seconds
          between, both exponential; the mean is the load's rate
heavy     gaps from a Lomax (Pareto II) distribution with tail index `tail`: long lulls, then crowds
trace     a recording: lines of `seconds[,action]`, repeated from its start when it ends
closed    no arrivals of its own: `clients` that each come again `think` seconds (exponential) after their answer
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import numpy as np
from scipy import stats

if TYPE_CHECKING:
    from .plan import Load

SHAPES = ("poisson", "diurnal", "bursts", "heavy", "trace", "closed")


@dataclass(frozen=True, slots=True)
class Trace:
    """A recording: times in seconds from its start, the action of each ("": by popularity), its length."""

    times: np.ndarray
    actions: list[str]
    length_s: float


def read_trace(file: Path) -> Trace:
    """Read a recording.  Raises `ValueError` with the line of the first fault, `OSError` where unreadable."""
    times, actions = list[float](), list[str]()
    for number, line in enumerate(file.read_text(encoding="utf-8", errors="replace").splitlines(), 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        when, _, action = text.partition(",")
        try:
            value = float(when)
        except ValueError:
            raise ValueError(f"{file}:{number}: {when!r} is no time in seconds") from None
        if not np.isfinite(value) or value < (times[-1] if times else 0.0):
            raise ValueError(f"{file}:{number}: {when} is before the time above it, or no time")
        times.append(value)
        actions.append(action.strip())
    if not times:
        raise ValueError(f"{file}: no arrivals")
    return Trace(np.array(times), actions, max(times[-1] * (1 + 1 / len(times)), 1e-3))


def popularity(paths: list[str], load: Load) -> np.ndarray:
    """The share of each action: the one that the load names, or by rank (Zipf)."""
    if load.action:
        weights = np.array([float(path == load.action) for path in paths])
    else:
        weights = 1.0 / np.arange(1, len(paths) + 1) ** load.zipf
    shares: np.ndarray = weights / weights.sum()
    return shares


class Arrivals:
    """One load's arrivals; `part` n of m of them, for a load that several processes play together."""

    def __init__(self, load: Load, random: np.random.Generator, part: tuple[int, int] = (0, 1)) -> None:
        self._load, self._random, self._rate, self._part = load, random, load.rate / part[1], part
        self._next_arrival = 0.0  # of a renewal process
        self._state_ends, self._in_burst = 0.0, False  # of the present state of a modulated one
        self._trace = read_trace(Path(load.file)) if load.shape == "trace" else None

    def draw(self, at: float, span: float) -> list[tuple[float, str]]:
        """The arrivals from `at` for `span` seconds, in order, with the action where it is recorded.  To be called for
        spans one after the other."""
        shape = self._load.shape
        if shape == "closed":
            return []
        if self._trace is not None:
            return list(self._recorded(self._trace, at, span))
        if shape == "heavy":
            times = self._renewal(at, span)
        elif shape == "bursts":
            times = self._modulated(at, span)
        elif shape == "diurnal":
            load = self._load
            times = self._poisson(self._rate * (1 + load.swing), at, span)
            height = 1 - load.swing * np.cos(2 * np.pi * times / load.period)
            times = times[self._random.random(len(times)) * (1 + load.swing) < height]
        else:
            times = self._poisson(self._rate, at, span)
        return [(float(t), "") for t in times]

    def _poisson(self, rate: float, at: float, span: float) -> np.ndarray:
        count = int(self._random.poisson(rate * span))
        return np.sort(self._random.uniform(at, at + span, count))

    def _renewal(self, at: float, span: float) -> np.ndarray:
        tail, out = self._load.tail, list[np.ndarray]()
        gaps = stats.lomax(tail, scale=(tail - 1) / self._rate)
        self._next_arrival = max(self._next_arrival, at)
        while self._next_arrival < at + span:
            times = self._next_arrival + np.cumsum(gaps.rvs(max(16, int(self._rate * span)), random_state=self._random))
            out.append(times[times < at + span])
            self._next_arrival = float(times[len(out[-1])]) if len(out[-1]) < len(times) else float(times[-1])
        return np.concatenate(out) if out else np.empty(0)

    def _modulated(self, at: float, span: float) -> np.ndarray:
        load, out, here = self._load, list[np.ndarray](), at
        quiet = self._rate * (load.burst + load.quiet) / (load.burst * load.factor + load.quiet)
        while here < at + span:
            if here >= self._state_ends:
                self._in_burst = not self._in_burst if self._state_ends else False
                self._state_ends = here + float(self._random.exponential(load.burst if self._in_burst else load.quiet))
            end = min(self._state_ends, at + span)
            out.append(self._poisson(quiet * (load.factor if self._in_burst else 1.0), here, end - here))
            here = end
        return np.concatenate(out) if out else np.empty(0)

    def _recorded(self, trace: Trace, at: float, span: float) -> Iterator[tuple[float, str]]:
        number, of = self._part
        turn = int(at // trace.length_s)
        while turn * trace.length_s < at + span:
            begin = turn * trace.length_s
            first = int(np.searchsorted(trace.times, at - begin))
            last = int(np.searchsorted(trace.times, at + span - begin))
            for index in range(first, last):
                if index % of == number:
                    yield begin + float(trace.times[index]), trace.actions[index]
            turn += 1
