"""Measures deferred calls and recovery: `python bench/deferred.py`.

Compares deferred calls with a journal, deferred calls without one, and blocking calls.  Then measures the memory per
activation and the time of recovery.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from pinned_processes import (
    DEPLOYMENT,
    PinnedProcess,
    run_load,
    start_dispatcher,
    start_echo_worker,
    start_endpoint_service,
    stop_all,
)

from kelptrail.gateway.admission import Submission
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.settings.deployment import parse
from kelptrail.store.activation_journal import open_journal
from kelptrail.store.entries import Accepted, Ended
from kelptrail.store.group_commit import GroupCommit

LOAD_CORE, CONNECTIONS = 4, 32
TARGET = "/api/v1/namespaces/_/actions/f-0?result=true&blocking="
WITH_JOURNAL = "deferred, with a book"  # the report calls the journal a book
BODY = b'{"family":7}' * 20
MAX_ATTEMPTS_AT_ONCE = 64


def measure_rates(runs: int, seconds: float) -> dict[str, Any]:
    """Measure calls a second and the latency of the response (the 202 of a deferred call) in a closed loop."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        folder = Path(name)
        deployment = folder / "bench.sexp"
        deployment.write_text(DEPLOYMENT.format(functions=2))
        endpoint_service = start_endpoint_service(1, [start_echo_worker(0).address])
        state_options = ("--state", str(folder / "state"), "--control", "127.0.0.1:0")
        journalled = start_dispatcher(2, deployment, endpoint_service, *state_options)
        in_memory = start_dispatcher(3, deployment, endpoint_service)
        cases = {
            WITH_JOURNAL: (journalled, "false"),
            "deferred, without": (in_memory, "false"),
            "blocking, with a book": (journalled, "true"),
        }
        rows: dict[str, list[dict[str, Any]]] = {case: [] for case in cases}
        for _ in range(runs):
            for case, (process, blocking) in cases.items():
                before = journal_counts(journalled)
                load = run_load(LOAD_CORE, process.address, TARGET + blocking, CONNECTIONS, seconds)
                row: dict[str, Any] = load._asdict()
                if case == WITH_JOURNAL:
                    row |= commit_rates(before, journal_counts(journalled), seconds)
                rows[case].append(row)
    return {case: medians(case_rows) for case, case_rows in rows.items()}


def journal_counts(process: PinnedProcess) -> dict[str, Any]:
    """Return the journal's counters from the control port."""
    counts: dict[str, Any] = process.control("state")["journal"]
    return counts


def commit_rates(before: dict[str, Any], after: dict[str, Any], seconds: float) -> dict[str, float]:
    """Return the entries per commit and the commits per second between two readings of the counters."""
    commits = after["commits"] - before["commits"]
    return {
        "entries_a_sync": (after["entries"] - before["entries"]) / max(1, commits),
        "commits_a_second": commits / seconds,
    }


def medians(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the median of each figure and the statuses of the last run."""
    figures = {key: statistics.median(row[key] for row in rows) for key in rows[0] if key != "statuses"}
    return figures | {"statuses": rows[-1]["statuses"]}


def measure_memory(count: int, body: bytes) -> dict[str, Any]:
    """Measure in this process the memory of `count` activations in flight, without their connections."""
    settings = DEPLOYMENT.format(functions=2).replace("(records 5000)", "(records 1000000) (held 1000000)")
    deployment = parse(settings, "bench")
    gateway = Gateway(DispatcherParts(deployment, zone="hall", seed=1), "b" * 16, GroupCommit())
    action = deployment.actions["f-0"]
    gc.collect()
    before = own_memory()
    for n in range(count):
        # The concatenation copies the body: as for real calls, no two activations share one.
        submission = Submission("n", action, bytes(body) + b" ", f"key-{n}", "0" * 55, deferred=True)
        gateway.submit(0.0, 1e12, submission)
    gc.collect()
    bytes_each = round((own_memory() - before) / count)
    return {"in_hand": gateway.in_flight, "body_bytes": len(body), "bytes_each": bytes_each}


def own_memory() -> int:
    """Return the resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def write_journal(file: Path, count: int, wall_ms: float) -> None:
    """Write a journal of `count` activations, a tenth of them without an answer."""
    journal, _ = open_journal(file)
    entries: list[Any] = []
    for n in range(count):
        id_ = f"{n:032x}"
        entries.append(Accepted(id_, "n", "f-0", wall_ms - 5000 + n / count, 60_000.0, BODY))
        if n % 10:
            entries.append(Ended(id_, wall_ms, "completed", 0, BODY))
    journal.commit(entries)
    journal.close()


def measure_recovery(count: int) -> dict[str, Any]:
    """Measure the time to open a journal of `count` activations and recover them."""
    deployment = parse(DEPLOYMENT.format(functions=2).replace("(records 5000)", "(records 1000000)"), "bench")
    wall_ms = time.time() * 1000
    with tempfile.TemporaryDirectory(dir=".") as folder:
        file = Path(folder) / "book.sqlite"
        write_journal(file, count, wall_ms)
        start = time.monotonic()
        journal, _ = open_journal(file)
        gateway = Gateway(DispatcherParts(deployment, zone="hall", seed=1), "b" * 16, GroupCommit())
        counts = gateway.recover(0.0, wall_ms, journal.activations(), 200.0, MAX_ATTEMPTS_AT_ONCE)
        took_s = time.monotonic() - start
        size = file.stat().st_size
        journal.close()
    return {"activations": count, "seconds": round(took_s, 3), "mb": round(size / 1e6, 1), **counts}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    print(json.dumps(measure_rates(options.runs, options.seconds), indent=1))
    for size in (100, 4000):
        print(json.dumps(measure_memory(50_000, b"x" * size)), flush=True)
    for count in (1_000, 10_000, 100_000):
        print(json.dumps(measure_recovery(count)), flush=True)


if __name__ == "__main__":
    try:
        main()
    finally:
        stop_all()
