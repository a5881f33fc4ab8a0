"""Measures replication and take-over: `python bench/replication.py cost|takeover|refill|walks`.

`cost`: deferred calls on three real dispatchers with 0, 1 and 2 replicas, on disk and in memory.  `takeover`: one
process reads, recovers and resumes the activations of a journal; timers replace the workers.  `refill`: real processes
under load, one of which is lost with its disk and its replica.  `walks`: random walks over the model of one journal.
"""

from __future__ import annotations

import argparse
import json
import shutil
import statistics
import tempfile
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any, NamedTuple

import uvloop
from pinned_processes import (
    DEPLOYMENT,
    LoadResult,
    PinnedProcess,
    run_load,
    start_dispatcher,
    start_echo_worker,
    start_endpoint_service,
    stop_all,
)
from replication_takeover import measure_takeover

from kelptrail.replication.model import Model

NAMES = ("d0", "d1", "d2")
FIRST_DISPATCHER_CORE, LOAD_CORE, CONNECTIONS = 2, 5, 32
TARGET = "/api/v1/namespaces/_/actions/f-0?blocking=false"
FIXED_RATE = 400.0  # calls a second
START_TIMEOUT_S, REFILL_TIMEOUT_S = 20, 60
COST_CASES = ((0, "disk"), (1, "disk"), (2, "disk"), (1, "memory"), (2, "memory"))
EFFECTS = ("repeatable", "once-only")
WALK_STEPS, SEEDS_PER_TASK = 400, 50


def deployment_text(replicas: int, medium: str, effect: str = "repeatable") -> str:
    """Return the text of a deployment of three peers with `replicas` replicas, on disk or in memory."""
    text = DEPLOYMENT.format(functions=2).replace("(effect repeatable)", f"(effect {effect})").rstrip()
    text = text.replace("(records 5000)", "(records 200000) (records-mb 2000)")
    peers, acceptors = " ".join(f"(peer {name})" for name in NAMES), " ".join(NAMES)
    return (
        text[:-1]
        + f"""
  (peers {peers} (beat-ms 200) (silent-ms 1500) (copies {replicas}) (copies-in {medium}))
  (leases (voters {acceptors}) (length-ms 2000) (longest-ms 2000) (usage-ms 0)))
"""
    )


class ReplicationCluster:
    """Three dispatchers that are peers, and one worker that answers immediately."""

    def __init__(self, folder: Path, replicas: int, medium: str, effect: str = "repeatable") -> None:
        folder.mkdir()
        self.folder = folder
        self._deployment = folder / "bench.sexp"
        self._deployment.write_text(deployment_text(replicas, medium, effect))
        self._worker = start_echo_worker(0)
        self._endpoint_service = start_endpoint_service(1, [self._worker.address])
        self.dispatchers = [self._start(n) for n in range(len(NAMES))]
        if replicas:
            self._wait_until_replicated()

    @property
    def primary(self) -> PinnedProcess:
        """The dispatcher that receives the load."""
        return self.dispatchers[0]

    def lose(self, name: str) -> None:
        """Kill a dispatcher and delete its state, as if its disk were lost."""
        lost = self.dispatchers[NAMES.index(name)]
        lost.kill()
        shutil.rmtree(self.folder / name)
        self.dispatchers.remove(lost)

    def stop(self) -> None:
        """End all processes."""
        for process in (*self.dispatchers, self._endpoint_service, self._worker):
            process.stop()

    def _start(self, n: int) -> PinnedProcess:
        options = ("--name", NAMES[n], "--control", "127.0.0.1:0", "--state", str(self.folder / NAMES[n]))
        return start_dispatcher(FIRST_DISPATCHER_CORE + n, self._deployment, self._endpoint_service, *options)

    def _wait_until_replicated(self) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end and not all(d.control("copies")["promising"] for d in self.dispatchers):
            time.sleep(0.1)


def own_journal(process: PinnedProcess) -> dict[str, Any]:
    """Return the counters of the journal to which a dispatcher currently writes."""
    return next(journal for journal in process.control("copies")["owned"].values() if journal["current"])


def measure_cost(runs: int, seconds: float) -> None:
    """Measure calls a second, latency of the 202, and CPU and bytes per call, for each effect and replication.

    Calls a second, CPU and bytes are those of a closed loop over 32 connections, latency is that at a fixed rate."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        for effect in EFFECTS:
            for replicas, medium in COST_CASES:
                cluster = ReplicationCluster(Path(folder) / f"{effect}-{replicas}-{medium}", replicas, medium, effect)
                run_load(LOAD_CORE, cluster.primary.address, TARGET, CONNECTIONS, 1.0)
                rows = [measure_calls(cluster, replicas, seconds) for _ in range(runs)]
                cluster.stop()
                medians = {key: round(statistics.median(row[key] for row in rows), 1) for key in rows[0]}
                print(json.dumps({"effect": effect, "copies": replicas, "in": medium} | medians), flush=True)


def measure_calls(cluster: ReplicationCluster, replicas: int, seconds: float) -> dict[str, float]:
    """Run the closed loop once and the fixed rate once; return their figures."""
    primary = cluster.primary
    cpu_before = [each.cpu_s() for each in cluster.dispatchers]
    before = own_journal(primary) if replicas else {}
    closed = run_load(LOAD_CORE, primary.address, TARGET, CONNECTIONS, seconds)
    after = own_journal(primary) if replicas else {}
    cpu_s = [each.cpu_s() - cpu for each, cpu in zip(cluster.dispatchers, cpu_before, strict=True)]
    fixed = run_load(LOAD_CORE, primary.address, TARGET, CONNECTIONS, seconds, FIXED_RATE)
    row = {
        "calls_a_s": closed.per_s,
        "promised": closed.statuses.get("202", 0) / closed.calls,  # share of accepted calls
        "p50_us": fixed.p50_us,
        "p99_us": fixed.p99_us,
        "owner_us_a_call": 1e6 * cpu_s[0] / closed.calls,  # CPU of the primary
        "others_us_a_call": 1e6 * sum(cpu_s[1:]) / closed.calls,
    }
    if replicas:
        row["bytes_a_call"] = (after["bytes_out"] - before["bytes_out"]) / closed.calls
        row["calls_a_batch"] = closed.calls / (after["batches"] - before["batches"])
    return row


def measure_refill(count: int, rate: float) -> dict[str, Any]:
    """Measure the refill of the replica that replaces one lost with its disk, at `rate` calls a second.

    The primary has at least `count` records before the loss."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        cluster = ReplicationCluster(Path(folder) / "trio", 1, "disk")
        primary = cluster.primary
        while own_journal(primary)["entries"] < 2 * count:
            run_load(LOAD_CORE, primary.address, TARGET, 2 * CONNECTIONS, 1.0)
        before = run_load(LOAD_CORE, primary.address, TARGET, CONNECTIONS, 4.0, rate)
        replica = next(iter(own_journal(primary)["holders"]))
        risk_ms, lost_at = own_journal(primary)["risk_ms"], time.monotonic()
        cluster.lose(replica)
        during = run_load(LOAD_CORE, primary.address, TARGET, CONNECTIONS, 8.0, rate)
        while not own_journal(primary)["full"] and time.monotonic() - lost_at < REFILL_TIMEOUT_S:
            time.sleep(0.05)
        after = own_journal(primary)
        cluster.stop()
    return {
        "records": count,
        "at_risk_ms": after["risk_ms"] - risk_ms,
        "filled_mb": round(sum(each["filled"] for each in after["holders"].values()) / 1e6, 2),
        **latency_pairs(before, during),
        "statuses": during.statuses,
    }


def latency_pairs(before: LoadResult, during: LoadResult) -> dict[str, list[float]]:
    """Return the median and the 99th percentile of latency, each before and during a refill."""
    return {"p50_us": [before.p50_us, during.p50_us], "p99_us": [before.p99_us, during.p99_us]}


class WalkCounts(NamedTuple):
    """Counts of events in walks over the model."""

    takeovers: int
    acknowledged: int
    all_disks_lost: int


def walk_seeds(seeds: range) -> WalkCounts:
    """Run one random walk over the model of one journal for each seed.  Raises `PropertyError`."""
    counts = []
    for seed in seeds:
        model = Model(seed)
        for _ in range(WALK_STEPS):
            model.step()
        model.run_without_faults()
        counts.append(WalkCounts(model.takeovers, len(model.acknowledged), bool(model.all_disks_lost)))
    return total(counts)


def total(counts: Iterable[WalkCounts]) -> WalkCounts:
    """Return the sum of several counts."""
    return WalkCounts(*(sum(column) for column in zip(*counts, strict=True)))


def walk_all(seeds: int, processes: int) -> dict[str, Any]:
    """Run `seeds` random walks on several processes."""
    start = time.monotonic()
    with ProcessPoolExecutor(processes, mp_context=get_context("forkserver")) as pool:
        ranges = [range(first, first + SEEDS_PER_TASK) for first in range(0, seeds, SEEDS_PER_TASK)]
        counts = total(pool.map(walk_seeds, ranges))
    return {
        "seeds": seeds,
        "takeovers": counts.takeovers,
        "promised": counts.acknowledged,
        "all_disks_lost": counts.all_disks_lost,
        "seconds": round(time.monotonic() - start, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["cost", "takeover", "refill", "walks"])
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seeds", type=int, default=2000)
    parser.add_argument("--processes", type=int, default=6)
    options = parser.parse_args()
    if options.what == "cost":
        measure_cost(options.runs, options.seconds)
    elif options.what == "refill":
        for count in (1_000, 10_000):
            print(json.dumps(measure_refill(count, FIXED_RATE)), flush=True)
    elif options.what == "takeover":
        text = deployment_text(1, "disk")
        for count in (1_000, 10_000, 100_000):
            print(json.dumps(uvloop.run(measure_takeover(text, count, 0.1, 5.0, 64))), flush=True)
    else:
        print(json.dumps(walk_all(options.seeds, options.processes)))


if __name__ == "__main__":
    try:
        main()
    finally:
        stop_all()
