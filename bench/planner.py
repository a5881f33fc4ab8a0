"""Measures planning: `python bench/planner.py times OUT`, `... edge OUT`, `... channel OUT`.  Prints JSON lines.

times: plan time and price against workers x functions, greedy beside the program.
edge: an edge's latency while a planner solves for 1,000 workers and 5,000 functions, beside an idle planner and none.
channel: bytes a second between a planner and 30 edges that ask for all of it.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
import zlib
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from kelptrail.clock import now_ms
from kelptrail.emulator.cluster import Cluster, http_json
from kelptrail.gateway.counters import FunctionCounters
from kelptrail.peers.messages import VERSION, FrameReader, Heartbeat, Hello, encode_frame
from kelptrail.planner.channel import READ, UsageReport
from kelptrail.planner.greedy_placement import place_greedily
from kelptrail.planner.placement import FunctionDemand, WorkerCapacity, violations
from kelptrail.planner.plan import BEFORE_ALL_PLANS
from kelptrail.planner.program_placement import place_by_program
from kelptrail.settings.deployment import load

ROOT = Path(__file__).parent.parent
SIZES = ((10, 50), (30, 150), (100, 500), (300, 1500), (1000, 5000))


def world(workers: int, functions: int, seed: int, tight: float) -> tuple[list[WorkerCapacity], list[FunctionDemand]]:
    chance = np.random.default_rng(seed)
    hosts = [WorkerCapacity(f"worker-{n}", 24_000.0 * tight, 4) for n in range(workers)]
    rates = 1 / np.arange(1, functions + 1) ** 0.8
    rates *= 0.5 * workers * 4 / 0.1 / rates.sum()
    needs = []
    for n in range(functions):
        standing = {f"worker-{int(w)}": 1 for w in chance.integers(workers, size=1 + n % 2)}
        needs.append(
            FunctionDemand(
                f"m-{n}",
                float(chance.choice([250, 500, 1000])),
                4,
                1000.0,
                100.0,
                float(chance.choice([1, 3])),
                float(rates[n]),
                standing,
            )
        )
    return hosts, needs


def times(out: Path) -> None:
    rows = []
    for workers, functions in SIZES:
        for tight in (1.0, 0.12):
            hosts, needs = world(workers, functions, 1, tight)
            budget = max(8, functions // 5)
            for name, how in (("greedy", place_greedily), ("program", place_by_program)):
                began = time.perf_counter()
                found = how(hosts, needs, budget)
                took = time.perf_counter() - began
                assert not violations(found.instances, hosts, needs, budget)
                rows.append(
                    {
                        "workers": workers,
                        "functions": functions,
                        "memory": tight,
                        "how": name,
                        "by": found.solver.value,
                        "s": round(took, 3),
                        "price": round(found.cost, 1),
                        "missing": found.missing,
                        "moves": found.new,
                    }
                )
                print(json.dumps(rows[-1]), flush=True)
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(7, 4))
    for name in ("greedy", "program"):
        for tight in (1.0, 0.12):
            mine = [r for r in rows if r["how"] == name and r["memory"] == tight]
            axis.plot(
                [r["workers"] * r["functions"] for r in mine],
                [r["s"] for r in mine],
                marker="o",
                label=f"{name}, memory x {tight}",
            )
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.set_xlabel("workers x functions")
    axis.set_ylabel("s a plan")
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(out / "plan-times.png", dpi=100)


class FakeEdge:
    """Reports as an edge does, and takes what comes."""

    def __init__(self, name: str, lineage: str, address: str, models: list[str], rate: float) -> None:
        self.name, self._lineage, self._address, self._models, self._rate = name, lineage, address, models, rate
        self.bytes_in = self.bytes_out = self.plans = 0

    async def run(self) -> None:
        host, _, port = self._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        frames = FrameReader(READ)

        async def read() -> None:
            from kelptrail.planner.channel import PlanOffer, PlanReply
            from kelptrail.planner.plan import decode_plan

            while data := await reader.read(1 << 16):
                self.bytes_in += len(data)
                for message in frames.feed(data):
                    if isinstance(message, PlanOffer):
                        self.plans += 1
                        self._write(writer, encode_frame(PlanReply(decode_plan(message.data).header.order)))

        self._write(writer, encode_frame(Hello(VERSION, self.name, self._lineage, BEFORE_ALL_PLANS)))
        task = asyncio.create_task(read())
        chance = np.random.default_rng(zlib.crc32(self.name.encode()))
        began = now_ms()
        while True:
            counts = chance.poisson(self._rate, len(self._models))
            tallies = {
                m: FunctionCounters(int(c), int(c), 0, 0, 0, 0, 100.0 * float(c))
                for m, c in zip(self._models, counts, strict=True)
                if c
            }
            self._write(writer, encode_frame(UsageReport(BEFORE_ALL_PLANS, now_ms() - began, tallies, {}, False)))
            self._write(writer, encode_frame(Heartbeat()))
            await asyncio.sleep(1.0)
            if task.done():
                return

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.bytes_out += len(data)
        writer.write(data)


async def _planned(out: Path, big: bool, seconds: float, edges: int = 4) -> dict[str, Any]:
    """An edge on the example place under a steady load, and a planner beside it that is busy, idle or not there."""
    file = str(ROOT / "examples" / "nursery.sexp")
    place = Cluster(load(file), file, None, 1, "warning", None, quiet=True)
    await place.start(4, 1, None)
    large = ROOT / "examples" / "large.sexp"
    roster = await place.start_process("roster-2", ["emulate", "endpoint-service"])
    planner = await place.start_process(
        "planner", ["planner", str(large), "--roster", roster.said["address"], "--control", "127.0.0.1:0"]
    )
    fakes: list[asyncio.Task[None]] = []
    if big:
        for n in range(1000):
            await http_json(
                roster.said["address"],
                "POST",
                "/register",
                {
                    "id": f"worker-{n}",
                    "address": f"127.0.0.1:{20_000 + n}",
                    "incarnation": "a",
                    "hall": "",
                    "cell": n // 2,
                    "age_ms": 1e9,
                },
            )
        deployment = load(large)
        models = [a.model for a in deployment.actions.values()]
        fakes = [
            asyncio.create_task(FakeEdge(f"e{n}", deployment.name, planner.said["address"], models, 1.0).run())
            for n in range(edges)
        ]
        await asyncio.sleep(12)
    script = ROOT / "examples" / "bad-days" / "steady.sexp"
    load_process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "kelptrail",
        "load",
        str(script),
        "--at",
        place.dispatchers[0].said["address"],
        "--processes",
        "1",
        "--out",
        str(out / f"edge-{big}"),
        stdout=asyncio.subprocess.PIPE,
    )
    said, _ = await load_process.communicate()
    state = await http_json(planner.said["control"], "GET", "/")
    for fake in fakes:
        fake.cancel()
    for child in (planner, roster):
        await place.terminate(child, 5)
    await place.stop()
    row = json.loads(said)
    return {
        "planner": "solving" if big else "idle",
        "p50_ms": row["p50_ms"],
        "p99_ms": row["p99_ms"],
        "late_p99_ms": row["late_p99_ms"],
        "completed": row["completed"],
        "plans": state["plans"],
        "models": state["models"],
        "solve_ms": state["solve_ms"],
        "by": state["by"],
    }


async def edge(out: Path) -> None:
    for _ in range(2):
        for big in (False, True):
            print(json.dumps(await _planned(out, big, 20.0)), flush=True)


async def channel(out: Path) -> None:
    """30 edges, 1,000 workers, 5,000 functions at 3,000 calls a second in all, for half a minute."""
    large = ROOT / "examples" / "large.sexp"
    deployment = load(large)
    place = Cluster(deployment, str(large), None, 1, "warning", None, quiet=True)
    roster = await place.start_process("roster", ["emulate", "endpoint-service"])
    planner = await place.start_process(
        "planner", ["planner", str(large), "--roster", roster.said["address"], "--control", "127.0.0.1:0"]
    )
    for n in range(1000):
        await http_json(
            roster.said["address"],
            "POST",
            "/register",
            {
                "id": f"worker-{n}",
                "address": f"127.0.0.1:{20_000 + n}",
                "incarnation": "a",
                "hall": "",
                "cell": n // 2,
                "age_ms": 1e9,
            },
        )
    models = [a.model for a in deployment.actions.values()]
    fakes = [FakeEdge(f"e{n}", deployment.name, planner.said["address"], models, 3000 / 30 / 5000) for n in range(30)]
    tasks = [asyncio.create_task(fake.run()) for fake in fakes]
    await asyncio.sleep(15)
    for task in tasks:
        if task.done():
            task.result()
    before = sum(f.bytes_in for f in fakes), sum(f.bytes_out for f in fakes), sum(f.plans for f in fakes)
    await asyncio.sleep(30)
    after = sum(f.bytes_in for f in fakes), sum(f.bytes_out for f in fakes), sum(f.plans for f in fakes)
    state = await http_json(planner.said["control"], "GET", "/")
    down, up, plans = (round((b - a) / 30) for a, b in zip(before, after, strict=True))
    print(
        json.dumps(
            {
                "edges": 30,
                "to_edges_bytes_s": down,
                "from_edges_bytes_s": up,
                "plans_s": plans,
                "models": state["models"],
                "copies": state["copies"],
                "solve_ms": state["solve_ms"],
                "by": state["by"],
                "background": state["background"],
            }
        )
    )
    for task in tasks:
        task.cancel()
    for child in (planner, roster):
        await place.terminate(child, 5)


if __name__ == "__main__":
    what, folder = sys.argv[1], Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    if what == "times":
        times(folder)
    else:
        uvloop.run(edge(folder) if what == "edge" else channel(folder))
