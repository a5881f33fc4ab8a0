"""What a run came to, in the lab and through the load tool alike: seconds, figures, latencies; kept in columns."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import numpy as np
import pyarrow
import pyarrow.parquet

Rows = list[dict[str, Any]]
RUN_SECONDS = 3  # that many good ones in a row: recovered
PARTS = (1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


@dataclass(slots=True)
class Second:
    """What became of the calls of one second."""

    calls: int = 0
    completed: int = 0
    in_time: int = 0
    rejected: int = 0
    aborted: int = 0
    lost: int = 0
    not_taken: int = 0
    sends: int = 0
    orders: int = 0
    loads: int = 0
    repeats: int = 0
    in_hand: int = 0  # at its end
    idle_mb: float = 0.0  # memory of copies on which nothing runs, at its end
    storming: int = 0  # dispatchers that are not calm at its end


@dataclass(slots=True)
class Result:
    """What one run came to.  Latencies in ms by type, of completed calls."""

    seconds: list[Second]
    latency: dict[str, list[float]]
    give_ups: dict[str, int]
    events: int
    loads: int
    extra: dict[str, float] = field(default_factory=dict)


def figures(length: float, trouble_ends: float, result: Result) -> dict[str, float]:
    """What one run came to.  Times in ms, `recovery_s` in seconds: see `recovery`."""
    seconds = result.seconds[: int(length)]
    calls = sum(s.calls for s in seconds) or 1
    wishes = calls - sum(s.repeats for s in seconds) or 1
    every = (
        np.concatenate([np.asarray(v) for v in result.latency.values()])
        if any(result.latency.values())
        else np.zeros(1)
    )
    good = sum(s.in_time for s in seconds)
    return {
        "calls": calls,
        "wishes": wishes,
        "completed": sum(s.completed for s in seconds),
        "in_time": good,
        "served_share": good / wishes,
        "rejected": sum(s.rejected for s in seconds),
        "aborted": sum(s.aborted for s in seconds),
        "lost": sum(s.lost for s in seconds),
        "not_taken": sum(s.not_taken for s in seconds),
        "sends": sum(s.sends for s in seconds),
        "orders": sum(s.orders for s in seconds),
        "loads": result.loads,
        "p50_ms": float(np.percentile(every, 50)),
        "p99_ms": float(np.percentile(every, 99)),
        "recovery_s": recovery(length, trouble_ends, result),
        "events": result.events,
    } | result.extra


def recovery(length: float, trouble_ends: float, result: Result) -> float:
    """Seconds from the last trouble's end, or from the start where there is none, until three seconds in a row serve
    95% of what came new then, in time; the rest of the run where that never comes."""
    row = 0
    for number in range(int(trouble_ends), min(int(length), len(result.seconds))):
        second = result.seconds[number]
        fresh = second.calls - second.repeats
        row = row + 1 if second.in_time >= 0.95 * fresh else 0
        if row == RUN_SECONDS:
            return max(0.0, number - RUN_SECONDS + 1 - trouble_ends)
    return max(0.0, length - trouble_ends)


def rows_of(who: dict[str, Any], length: float, result: Result) -> Rows:
    """A row a second."""
    return [
        who | {"second": n} | {f.name: getattr(s, f.name) for f in fields(s)}
        for n, s in enumerate(result.seconds[: int(length)])
    ]


def spread_of(who: dict[str, Any], result: Result) -> Rows:
    """A row a type with its percentiles, and a row a cause of giving up with its count."""
    out: Rows = []
    for kind, found in result.latency.items():
        if found:
            out += [
                who | {"what": "latency_ms", "name": kind, "part": part, "value": float(v)}
                for part, v in zip(PARTS, np.percentile(np.asarray(found), PARTS), strict=True)
            ]
    return out + [
        who | {"what": "give_ups", "name": cause, "part": 0.0, "value": float(count)}
        for cause, count in result.give_ups.items()
    ]


def write(folder: Path, runs: Rows, seconds: Rows, spread: Rows) -> None:
    """`runs.parquet`, `seconds.parquet` and `spread.parquet`."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, table in (("runs", runs), ("seconds", seconds), ("spread", spread)):
        pyarrow.parquet.write_table(pyarrow.Table.from_pylist(table), folder / f"{name}.parquet", compression="zstd")


def read(folder: Path, name: str) -> Rows:
    """One of the tables.  Raises `OSError` where it is not there."""
    return list(pyarrow.parquet.read_table(folder / f"{name}.parquet").to_pylist())


def read_runs(folder: Path) -> Rows:
    """The runs of a folder."""
    return read(folder, "runs")


def read_seconds(folder: Path) -> Rows:
    """Their seconds."""
    return read(folder, "seconds")
