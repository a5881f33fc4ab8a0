"""Measures planning: `python bench/planner.py times OUT`, `... edge OUT`, `... channel OUT`.  Prints JSON lines.

times: time and cost of plans by the number of workers and functions, for the greedy solver and the linear program.
edge: latency of an edge while a planner on the same machine solves for 1,000 workers and 5,000 functions, or is idle.
channel: bytes a second between a planner and 30 edges whose calls are spread over 5,000 functions.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

import uvloop
from planner_edges import EdgeTotals, FakeEdge
from planner_times import measure_times

from kelptrail.emulator.cluster import Cluster, Process, http_json
from kelptrail.settings.deployment import Deployment, load

ROOT = Path(__file__).parent.parent
SMALL, LARGE = ROOT / "examples" / "nursery.sexp", ROOT / "examples" / "large.sexp"
STEADY_LOAD = ROOT / "examples" / "bad-days" / "steady.sexp"
LARGE_WORKERS = 1000
BUSY_EDGES, BUSY_EDGE_RATE, BUSY_SETTLE_S = 4, 1.0, 12
CHANNEL_EDGES, CHANNEL_CALLS_PER_S, CHANNEL_FUNCTIONS = 30, 3000, 5000
CHANNEL_SETTLE_S, CHANNEL_S = 15, 30
STOP_TIMEOUT_S = 5


class PlannerProcesses(NamedTuple):
    """A planner of the large deployment and its endpoint service."""

    planner: Process
    endpoint_service: Process


async def start_planner(cluster: Cluster, endpoint_service_name: str) -> PlannerProcesses:
    """Start an endpoint service with this process name, and a planner that uses it."""
    endpoint_service = await cluster.start_process(endpoint_service_name, ["emulate", "endpoint-service"])
    options = ["--roster", endpoint_service.ready_info["address"], "--control", "127.0.0.1:0"]
    planner = await cluster.start_process("planner", ["planner", str(LARGE), *options])
    return PlannerProcesses(planner, endpoint_service)


async def stop_planner(cluster: Cluster, processes: PlannerProcesses) -> None:
    """End the planner and its endpoint service."""
    for process in processes:
        await cluster.terminate(process, STOP_TIMEOUT_S)


async def register_workers(endpoint_service: Process) -> None:
    """Register the workers of the large deployment; nothing listens at their addresses."""
    for n in range(LARGE_WORKERS):
        endpoint = {
            "id": f"worker-{n}",
            "address": f"127.0.0.1:{20_000 + n}",
            "incarnation": "a",
            "hall": "",
            "cell": n // 2,
            "age_ms": 1e9,
        }
        await http_json(endpoint_service.ready_info["address"], "POST", "/register", endpoint)


def fake_edges(deployment: Deployment, planner: Process, count: int, rate: float) -> list[FakeEdge]:
    """Return `count` edges that report `rate` calls a second for each function."""
    models = [action.model for action in deployment.actions.values()]
    address = planner.ready_info["address"]
    return [FakeEdge(f"e{n}", deployment.name, address, models, rate) for n in range(count)]


async def run_load(address: str, out: Path) -> dict[str, Any]:
    """Run the steady load on one dispatcher; return its report."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "kelptrail", "load", str(STEADY_LOAD)),
        *("--at", address, "--processes", "1", "--out", str(out)),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    report: dict[str, Any] = json.loads(output)
    return report


async def measure_edge(out: Path, solving: bool) -> dict[str, Any]:
    """Measure an edge of the example deployment under steady load while a planner is solving or idle."""
    cluster = Cluster(load(SMALL), str(SMALL), None, 1, "warning", None, quiet=True)
    await cluster.start(4, 1, None)
    processes = await start_planner(cluster, "roster-2")
    tasks: list[asyncio.Task[None]] = []
    if solving:
        await register_workers(processes.endpoint_service)
        edges = fake_edges(load(LARGE), processes.planner, BUSY_EDGES, BUSY_EDGE_RATE)
        tasks = [asyncio.create_task(edge.run()) for edge in edges]
        await asyncio.sleep(BUSY_SETTLE_S)
    report = await run_load(cluster.dispatchers[0].ready_info["address"], out / f"edge-{solving}")
    state = await http_json(processes.planner.ready_info["control"], "GET", "/")
    for task in tasks:
        task.cancel()
    await stop_planner(cluster, processes)
    await cluster.stop()
    return {
        "planner": "solving" if solving else "idle",
        **{key: report[key] for key in ("p50_ms", "p99_ms", "late_p99_ms", "completed")},
        **{key: state[key] for key in ("plans", "models", "solve_ms", "by")},
    }


async def measure_edges(out: Path) -> None:
    """Measure an edge twice with an idle planner and twice with a solving one."""
    for _ in range(2):
        for solving in (False, True):
            print(json.dumps(await measure_edge(out, solving)), flush=True)


def totals(edges: list[FakeEdge]) -> EdgeTotals:
    """Return the sums of what the edges have exchanged so far."""
    return EdgeTotals(*(sum(column) for column in zip(*(edge.totals for edge in edges), strict=True)))


async def measure_channel() -> None:
    """Measure 30 edges, 1,000 workers and 5,000 functions at 3,000 calls a second in total, for 30 s."""
    deployment = load(LARGE)
    cluster = Cluster(deployment, str(LARGE), None, 1, "warning", None, quiet=True)
    processes = await start_planner(cluster, "roster")
    await register_workers(processes.endpoint_service)
    rate = CHANNEL_CALLS_PER_S / CHANNEL_EDGES / CHANNEL_FUNCTIONS
    edges = fake_edges(deployment, processes.planner, CHANNEL_EDGES, rate)
    tasks = [asyncio.create_task(edge.run()) for edge in edges]
    await asyncio.sleep(CHANNEL_SETTLE_S)
    for task in tasks:
        if task.done():
            task.result()  # raises the error that ended the task
    before = totals(edges)
    await asyncio.sleep(CHANNEL_S)
    after = totals(edges)
    state = await http_json(processes.planner.ready_info["control"], "GET", "/")
    row = {
        "edges": CHANNEL_EDGES,
        "to_edges_bytes_s": round((after.bytes_in - before.bytes_in) / CHANNEL_S),
        "from_edges_bytes_s": round((after.bytes_out - before.bytes_out) / CHANNEL_S),
        "plans_s": round((after.plans - before.plans) / CHANNEL_S),
        **{key: state[key] for key in ("models", "copies", "solve_ms", "by", "background")},
    }
    print(json.dumps(row))
    for task in tasks:
        task.cancel()
    await stop_planner(cluster, processes)


def main(measurement: str, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    if measurement == "times":
        measure_times(folder)
    elif measurement == "edge":
        uvloop.run(measure_edges(folder))
    else:
        uvloop.run(measure_channel())


if __name__ == "__main__":
    main(sys.argv[1], Path(sys.argv[2]))
