"""Compares scenarios on sockets with their simulation: `python bench/side_by_side.py OUT [SCENARIO ...]`."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
SCENARIOS = ("first", "kills", "second-sends", "outage", "storm")
COUNTS = ("taken", "completed", "rejected", "aborted", "lost_with_dispatcher", "sends", "loads")
PERCENTILES = ("p50", "p90", "p99")

Report = dict[str, Any]


def run_command(*arguments: str) -> Report:
    """Run a command of the program; return the report that it prints."""
    completed = subprocess.run(
        [sys.executable, "-m", "kelptrail", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return dict(json.loads(completed.stdout))


def scenario_file(name: str) -> str:
    return f"examples/bad-days/{name}.sexp"


def run_processes(name: str, out: Path) -> Report:
    """Run a scenario with real processes."""
    return run_command("fault-scenario", scenario_file(name), "--out", str(out / name))


def simulate(name: str) -> Report:
    """Run a scenario in simulated time."""
    return run_command("simulate", "play", scenario_file(name))


def table_row(name: str, medium: str, report: Report) -> str:
    """Return a row of the table: the counts, and the latencies of the first request class."""
    request_class, latencies = next(iter(report["latency_ms"].items()))
    counts = " | ".join(f"{report[count]:,}" for count in COUNTS)
    times = ", ".join(f"{latencies[percentile]:.0f}" for percentile in PERCENTILES)
    return f"| {name}, {medium} | {counts} | {request_class} {times} | {report['broken']} |"


def main(out: Path, names: list[str]) -> None:
    print("| script | " + " | ".join(COUNTS) + " | p50, p90, p99 ms | broken |")
    print("|" + " --- |" * (len(COUNTS) + 3))
    for name in names or SCENARIOS:
        print(table_row(name, "sockets", run_processes(name, out)), flush=True)
        print(table_row(name, "simulated", simulate(name)), flush=True)


if __name__ == "__main__":
    main(Path(sys.argv[1]), sys.argv[2:])
