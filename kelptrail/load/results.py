"""Results of a run of the simulation or the load generator, and the tables that they are written to."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pyarrow
import pyarrow.parquet

Rows = list[dict[str, Any]]
# A run has recovered once this share of new calls is completed in time, for this number of consecutive seconds.
RECOVERED_SHARE, RECOVERED_SECONDS = 0.95, 3
SECONDS_AFTER_END = 60  # extra seconds that count calls which end after the run
PERCENTILES = (1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


# Columns of the table `seconds` whose names differ from the fields of `Second`.
COLUMN_NAMES = {
    "attempts": "sends",
    "load_orders": "orders",
    "retries": "repeats",
    "calls_in_flight": "in_hand",
    "overloaded_dispatchers": "storming",
}


class Second(msgspec.Struct, rename=COLUMN_NAMES):
    """Counters of one second of a run."""

    calls: int = 0  # attempts that clients send
    completed: int = 0
    in_time: int = 0  # completed within the latency objective
    rejected: int = 0
    aborted: int = 0
    lost: int = 0
    not_taken: int = 0
    attempts: int = 0  # attempts that dispatchers send to workers
    load_orders: int = 0
    loads: int = 0  # fetches from the model store; counted by the simulation only
    retries: int = 0  # calls that are retries of clients
    calls_in_flight: int = 0  # number at the end of the second
    idle_mb: float = 0.0  # memory of idle instances at the end of the second
    overloaded_dispatchers: int = 0  # dispatchers with active overload control at the end of the second

    def add(self, other: Second) -> None:
        """Add the counts of `other`."""
        for counter in self.__struct_fields__:
            setattr(self, counter, getattr(self, counter) + getattr(other, counter))

    def columns(self) -> dict[str, int | float]:
        """Return the counts by column of the table `seconds`."""
        return {COLUMN_NAMES.get(counter, counter): getattr(self, counter) for counter in self.__struct_fields__}


def empty_seconds(length: float) -> list[Second]:
    """Return counters for each second of a run of this length, and for the time in which its last calls may end."""
    return [Second() for _ in range(int(length) + SECONDS_AFTER_END)]


@dataclass(slots=True)
class Result:
    """Result of one run.  `latency` holds the latencies of completed calls in ms, by request class."""

    seconds: list[Second]
    latency: dict[str, list[float]]
    give_ups: dict[str, int]  # number of attempts that did not complete, by reason
    events: int  # callbacks that the simulation has run; 0 for the load generator
    loads: int  # fetches from the model store; 0 for the load generator
    extra: dict[str, float] = field(default_factory=dict)


def figures(length: float, last_fault_ends: float, result: Result) -> dict[str, float]:
    """Return the row of one run in the table `runs`, without key columns.

    Times are in ms, except `recovery_s` in seconds; `recovery` defines it.
    """
    seconds = result.seconds[: int(length)]
    calls = sum(s.calls for s in seconds) or 1
    new_calls = calls - sum(s.retries for s in seconds) or 1
    latencies = (
        np.concatenate([np.asarray(v) for v in result.latency.values()])
        if any(result.latency.values())
        else np.zeros(1)
    )
    in_time = sum(s.in_time for s in seconds)
    return {
        "calls": calls,
        "wishes": new_calls,
        "completed": sum(s.completed for s in seconds),
        "in_time": in_time,
        "served_share": in_time / new_calls,
        "rejected": sum(s.rejected for s in seconds),
        "aborted": sum(s.aborted for s in seconds),
        "lost": sum(s.lost for s in seconds),
        "not_taken": sum(s.not_taken for s in seconds),
        "sends": sum(s.attempts for s in seconds),
        "orders": sum(s.load_orders for s in seconds),
        "loads": result.loads,
        "p50_ms": float(np.percentile(latencies, 50)),
        "p99_ms": float(np.percentile(latencies, 99)),
        "recovery_s": recovery(length, last_fault_ends, result),
        "events": result.events,
    } | result.extra


def recovery(length: float, last_fault_ends: float, result: Result) -> float:
    """Return the time to recover in seconds, from the end of the last fault, or from the start if there is none.

    The run has recovered when 95% of the new calls are completed in time in three consecutive seconds.  If that never
    happens, the result is the remaining time of the run.
    """
    consecutive_seconds = 0
    for number in range(int(last_fault_ends), min(int(length), len(result.seconds))):
        second = result.seconds[number]
        new_calls = second.calls - second.retries
        consecutive_seconds = consecutive_seconds + 1 if second.in_time >= RECOVERED_SHARE * new_calls else 0
        if consecutive_seconds == RECOVERED_SECONDS:
            return max(0.0, number - RECOVERED_SECONDS + 1 - last_fault_ends)
    return max(0.0, length - last_fault_ends)


def rows_of(key_columns: dict[str, Any], length: float, result: Result) -> Rows:
    """Return the rows of the table `seconds`, one for each second of the run."""
    return [key_columns | {"second": n} | s.columns() for n, s in enumerate(result.seconds[: int(length)])]


def spread_of(key_columns: dict[str, Any], result: Result) -> Rows:
    """Return the rows of the table `spread`: latency percentiles by request class, and failed attempts by reason."""
    rows: Rows = []
    for name, latencies in result.latency.items():
        if latencies:
            rows += [
                key_columns | {"what": "latency_ms", "name": name, "part": percentile, "value": float(value)}
                for percentile, value in zip(
                    PERCENTILES, np.percentile(np.asarray(latencies), PERCENTILES), strict=True
                )
            ]
    return rows + reason_rows(key_columns, result)


def reason_rows(key_columns: dict[str, Any], result: Result) -> Rows:
    """Return the rows of the table `spread` that count failed attempts by reason."""
    return [
        key_columns | {"what": "give_ups", "name": reason, "part": 0.0, "value": float(count)}
        for reason, count in result.give_ups.items()
    ]


def write(folder: Path, runs: Rows, seconds: Rows, spread: Rows) -> None:
    """Write `runs.parquet`, `seconds.parquet` and `spread.parquet`."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, table in (("runs", runs), ("seconds", seconds), ("spread", spread)):
        pyarrow.parquet.write_table(pyarrow.Table.from_pylist(table), folder / f"{name}.parquet", compression="zstd")


def read(folder: Path, name: str) -> Rows:
    """Read one of the tables.  Raises `OSError` if its file is missing."""
    return list(pyarrow.parquet.read_table(folder / f"{name}.parquet").to_pylist())


def read_runs(folder: Path) -> Rows:
    """Read the table `runs`.  Raises `OSError` if its file is missing."""
    return read(folder, "runs")


def read_seconds(folder: Path) -> Rows:
    """Read the table `seconds`.  Raises `OSError` if its file is missing."""
    return read(folder, "seconds")
