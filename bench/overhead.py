"""Compares the gateway with a bare pass-through, in turns on one core each: `python bench/overhead.py`.

Prints medians of several runs: calls a second over 32 connections, median and 99th percentile of latency at half the
gateway's rate, and CPU per activation.  Also prints the gateway's memory over 200,000 activations.  Echo workers answer
immediately.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from pinned_processes import (
    DEPLOYMENT,
    HERE,
    LoadResult,
    PinnedProcess,
    run_load,
    start_dispatcher,
    start_echo_worker,
    start_endpoint_service,
    stop_all,
)

FUNCTIONS = 10
LOAD_CORE = 5
CONNECTIONS, OPEN_LOOP_CONNECTIONS, WARM_UP_CONNECTIONS = 32, 64, 4
WARM_UP_S = 0.3
TARGET = "/api/v1/namespaces/_/actions/f-{}?blocking=true&result=true"


class MeasuredLoad(NamedTuple):
    """The result of a load and the CPU per call of the process under load."""

    load: LoadResult
    cpu_us: float


class MemorySample(NamedTuple):
    """Memory of the gateway after a number of calls."""

    calls: int
    mb: float


def start_processes(folder: Path) -> dict[str, PinnedProcess]:
    """Start the gateway and the bare pass-through; return them by name."""
    deployment = folder / "bench.sexp"
    deployment.write_text(DEPLOYMENT.format(functions=FUNCTIONS))
    workers = [start_echo_worker(core) for core in (0, 1)]
    endpoint_service = start_endpoint_service(2, [worker.address for worker in workers])
    gateway = start_dispatcher(3, deployment, endpoint_service)
    bare = PinnedProcess(4, sys.executable, str(HERE / "passthrough.py"), workers[0].address)
    return {"gateway": gateway, "bare": bare}


def measure_in_turns(
    processes: dict[str, PinnedProcess], runs: int, measure: Callable[[PinnedProcess], MeasuredLoad]
) -> dict[str, list[MeasuredLoad]]:
    """Measure each process `runs` times, in turns."""
    results: dict[str, list[MeasuredLoad]] = {name: [] for name in processes}
    for _ in range(runs):
        for name, process in processes.items():
            results[name].append(measure(process))
    return results


def measure_load(process: PinnedProcess, connections: int, seconds: float, rate: float = 0.0) -> MeasuredLoad:
    """Load one process and measure its CPU per call."""
    before_s = process.cpu_s()
    load = run_load(LOAD_CORE, process.address, TARGET.format(0), connections, seconds, rate)
    return MeasuredLoad(load, (process.cpu_s() - before_s) / load.calls * 1e6)


def measure_memory(gateway: PinnedProcess, calls: int, seconds: float) -> list[MemorySample]:
    """Measure memory after each load, until there were `calls` calls in total."""
    samples: list[MemorySample] = []
    total = 0
    while total < calls:
        total += run_load(LOAD_CORE, gateway.address, TARGET.format(total % FUNCTIONS), CONNECTIONS, seconds).calls
        samples.append(MemorySample(total, round(gateway.memory_mb(), 1)))
    return samples


def median(values: list[float]) -> float:
    return round(statistics.median(values), 1)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--memory-calls", type=int, default=200_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        processes = start_processes(Path(folder))
        gateway = processes["gateway"]
        for n in range(FUNCTIONS):
            run_load(LOAD_CORE, gateway.address, TARGET.format(n), WARM_UP_CONNECTIONS, WARM_UP_S)
        full = measure_in_turns(processes, options.runs, lambda p: measure_load(p, CONNECTIONS, options.seconds))
        half_rate = statistics.median(run.load.per_s for run in full["gateway"]) / 2
        half = measure_in_turns(
            processes, options.runs, lambda p: measure_load(p, OPEN_LOOP_CONNECTIONS, options.seconds, half_rate)
        )
        report: dict[str, Any] = {"runs": options.runs, "half_load_per_s": round(half_rate, 1)}
        for name in processes:
            report[name] = {
                "per_s": median([run.load.per_s for run in full[name]]),
                "cpu_us": median([run.cpu_us for run in full[name]]),
                "statuses": full[name][-1].load.statuses,
                "half_p50_us": median([run.load.p50_us for run in half[name]]),
                "half_p99_us": median([run.load.p99_us for run in half[name]]),
            }
        report["rate_ratio"] = round(report["gateway"]["per_s"] / report["bare"]["per_s"], 3)
        start = time.monotonic()
        report["memory_mb"] = measure_memory(gateway, options.memory_calls, options.seconds)
        report["memory_s"] = round(time.monotonic() - start, 1)
        print(json.dumps(report, indent=1))


if __name__ == "__main__":
    try:
        main()
    finally:
        stop_all()
