"""Cost of leases per request, measured in turns at three dispatchers.

They run from another checkout, from this one without leases, and from this one as an acceptor that holds the leases.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from pinned_processes import (
    DEPLOYMENT,
    PinnedProcess,
    run_load,
    start_dispatcher,
    start_echo_worker,
    start_endpoint_service,
)

ROOT = Path(__file__).parent.parent.parent
ACCEPTORS = ("v0", "v1", "v2")
MEASURED_CORE, LOAD_CORE, CONNECTIONS = 3, 5, 32
# Time between the starts of the acceptors.  The first cannot acquire a lease alone; it acquires the leases of all tasks
# when the second joins.
JOIN_INTERVAL_S = 6
SETTLE_S = 8
TARGET = "/api/v1/namespaces/_/actions/f-0?blocking=true&result=true"


class RequestCost(NamedTuple):
    """The figures of one run of the load."""

    calls_per_s: float
    cpu_us: float
    p99_us: float


def measure_request_cost(before: Path, runs: int, seconds: float) -> None:
    """Load each dispatcher in turns, after a warm-up run that is not counted; print a line of JSON for each."""
    with tempfile.TemporaryDirectory() as name:
        processes = _start_processes(Path(name), before)
        costs: dict[str, list[RequestCost]] = {case: [] for case in processes}
        for number in range(runs + 1):
            for case, process in processes.items():
                cost = _measure(process, seconds)
                if number:
                    costs[case].append(cost)
        for case, case_costs in costs.items():
            print(json.dumps({"cost": case, "runs": runs} | _summary(case_costs)), flush=True)


def _start_processes(folder: Path, before: Path) -> dict[str, PinnedProcess]:
    plain, with_leases = folder / "plain.sexp", folder / "leased.sexp"
    text = DEPLOYMENT.format(functions=10)
    plain.write_text(text)
    peers, acceptors = " ".join(f"(peer {name})" for name in ACCEPTORS), " ".join(ACCEPTORS)
    leases = f"(peers {peers}) (leases (voters {acceptors}) (usage-ms 1000))"
    with_leases.write_text(f"{text.rstrip()[:-1]}\n  {leases})")
    workers = [start_echo_worker(core) for core in (0, 1)]
    endpoint_service = start_endpoint_service(2, [worker.address for worker in workers])

    def start(core: int, name: str, deployment: Path, checkout: Path) -> PinnedProcess:
        options = ("--name", name, "--state", str(folder / name))
        return start_dispatcher(core, deployment, endpoint_service, *options, cwd=checkout)

    processes = {
        "before": start(MEASURED_CORE, "before", plain, before),
        "now": start(MEASURED_CORE, "now", plain, ROOT),
        "now, voter and holder": start(MEASURED_CORE, "v0", with_leases, ROOT),
    }
    for core, name in ((6, "v1"), (7, "v2")):
        time.sleep(JOIN_INTERVAL_S)
        start(core, name, with_leases, ROOT)
    time.sleep(SETTLE_S)
    return processes


def _measure(process: PinnedProcess, seconds: float) -> RequestCost:
    before_s = process.cpu_s()
    load = run_load(LOAD_CORE, process.address, TARGET, CONNECTIONS, seconds)
    return RequestCost(load.per_s, (process.cpu_s() - before_s) / load.calls * 1e6, load.p99_us)


def _summary(costs: list[RequestCost]) -> dict[str, Any]:
    cpu_us = [cost.cpu_us for cost in costs]
    return {
        "calls_per_s": round(statistics.median(cost.calls_per_s for cost in costs)),
        "cpu_us_a_call": round(statistics.median(cpu_us), 1),
        "cpu_us_least_most": [round(min(cpu_us), 1), round(max(cpu_us), 1)],
        "p99_us": round(statistics.median(cost.p99_us for cost in costs)),
    }
