"""Leases measured: `python bench/leases.py explore | failover | askers | cost`; one JSON line a figure.

explore: products of voters and askers, breadth first, and seeded walks, on all given processes.  failover: seven real
dispatchers, the holder killed, paused, cut off or told to hand over, time and again.  askers: messages and CPU at
voters and askers in the lab, by the number of askers, in peace and after an outage.  cost: what a call costs in another
checkout (`--before`), here without leases, and here at a voter that holds the fleet's tasks, in turns on one core.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from kelptrail.emulator.capture import Capture
from kelptrail.emulator.cluster import Cluster, Process, http_json
from kelptrail.fault_scenario.report import describe_deployment
from kelptrail.history_checker.checker import check_history, read_captures
from kelptrail.lease.messages import LeaseSettings
from kelptrail.lease.model import Budget, Model, ModelSetup
from kelptrail.model_checking.explorer import explore, random_walk
from kelptrail.settings.deployment import load
from kelptrail.simulation.event_queue import EventQueue
from kelptrail.simulation.leases import Link, SimulatedLeases, SimulatedLeaseSettings

ROOT = Path(__file__).parent.parent
FIGURES: dict[str, Any] = {
    "max_lease_ms": 100.0,
    "request_timeout_ms": 8.0,
    "retry_pause_ms": 5.0,
    "queue_spacing_ms": 0.0,
    "transfer_reservation_ms": 20.0,
    "clock_rate_bound": 0.02,
}
SET = LeaseSettings(("a", "b", "c"), **FIGURES)
NEXT = LeaseSettings(("a", "b", "d"), 2, ("a", "b", "c"), **FIGURES)
RATES = (("a", 1.02), ("b", 1.02), ("c", 1.02), ("x", 0.98), ("y", 0.98), ("z", 0.98))
PRODUCTS: dict[str, tuple[tuple[str, ...], Budget, int, dict[str, Any]]] = {
    "2 askers, loss, copies, late": (("x", "y"), Budget(drops=1, duplicates=1, delays=2, actions=1), 14, {}),
    "2 askers, voter starts anew": (("x", "y"), Budget(delays=2, restarts=1, sync_failures=1), 14, {}),
    "2 askers, disk lost": (("x", "y"), Budget(drops=1, delays=3, disk_losses=1), 16, {}),
    "2 askers, pauses, runs": (("x", "y"), Budget(delays=2, pauses=2, client_restarts=1, actions=1), 14, {}),
    "2 askers, released": (("x", "y"), Budget(drops=1, delays=2, releases=2, actions=2), 16, {}),
    "2 askers, set changed": (("x", "y"), Budget(delays=2), 16, {"next_settings": NEXT}),
    "3 askers, loss, late": (("x", "y", "z"), Budget(drops=1, delays=1), 12, {}),
    "2 askers, founding": (("x", "y"), Budget(delays=2, restarts=1), 18, {"is_founded": False}),
}
WALKS = {
    "all": (
        Budget(
            drops=9,
            duplicates=9,
            delays=60,
            restarts=3,
            disk_losses=1,
            sync_failures=3,
            client_restarts=3,
            pauses=3,
            releases=3,
            actions=9,
        ),
        0.12,
        400,
        {},
    ),
    "late": (Budget(drops=30, duplicates=9, delays=200, pauses=9, actions=20), 0.3, 800, {}),
    "disk lost": (Budget(drops=10, duplicates=2, delays=200, disk_losses=1, client_restarts=1), 0.3, 600, {}),
    "set changed": (
        Budget(drops=5, duplicates=3, delays=100, restarts=3, client_restarts=2),
        0.1,
        500,
        {"next_settings": NEXT},
    ),
}
WALKS |= {
    f"{name}, with notes": (budget, faults, length, how | {"with_notes": True})
    for name, (budget, faults, length, how) in WALKS.items()
}


def product(name: str, most_states: int) -> dict[str, Any]:
    askers, budget, depth, how = PRODUCTS[name]
    began, looks = time.monotonic(), Counter[str]()

    def look(world: Model) -> None:
        world.check()
        looks["states"] += 1
        if looks["states"] % 20 == 0:  # healing is a whole run of its own
            world.check_recovery(3000.0)

    found = explore(Model(ModelSetup(SET, askers, budget, clock_rates=RATES, **how)), look, depth, most_states)
    return {"product": name, **asdict(found), "seconds": round(time.monotonic() - began, 1)}


def walks(name: str, first: int, count: int) -> int:
    budget, faults, length, how = WALKS[name]
    states = 0
    for seed in range(first, first + count):
        last = [Model(ModelSetup(SET, ("x", "y") if seed % 2 else ("x", "y", "z"), budget, clock_rates=RATES, **how))]

        def look(world: Model, last: list[Model] = last) -> None:
            world.check()
            last[0] = world

        states += random_walk(last[0], look, seed, length, faults).states
        last[0].check_recovery(3000.0)
    return states


def look_through(processes: int, most_states: int, count: int) -> None:
    with ProcessPoolExecutor(processes) as pool:
        for found in pool.map(product, PRODUCTS, [most_states] * len(PRODUCTS)):
            print(json.dumps(found), flush=True)
        for name in WALKS:
            began, parts = time.monotonic(), range(0, count, 50)
            states = sum(pool.map(walks, [name] * len(parts), parts, [50] * len(parts)))
            print(
                json.dumps(
                    {"walks": name, "seeds": count, "states": states, "seconds": round(time.monotonic() - began, 1)}
                ),
                flush=True,
            )


# Time without a holder.


class Rig:
    """Seven dispatchers that want one task, without load."""

    def __init__(self, folder: Path) -> None:
        self.deployment, self.folder = load(ROOT / "examples" / "fleet.sexp"), folder
        (folder / "captures").mkdir(parents=True)
        self.capture = Capture(folder / "captures" / "player.jsonl", "player")
        self.place = Cluster(
            self.deployment, str(ROOT / "examples" / "fleet.sexp"), folder / "captures", 1, "info", folder
        )
        self.chance = np.random.default_rng(7)

    async def holder(self) -> Process:
        while True:
            for child in self.place.dispatchers:
                try:
                    async with asyncio.timeout(0.5):
                        if (
                            child.running
                            and "sweep" in (await http_json(child.said["asked_at"], "GET", "/leases"))["holds"]
                        ):
                            return child
                except (OSError, TimeoutError):
                    continue
            await asyncio.sleep(0.05)

    async def befall(self, kind: str, child: Process) -> None:
        place, others = self.place, [c.name for c in self.place.dispatchers]
        others.remove(child.name)
        if kind == "kill":
            place.kill(child)
        elif kind == "pause":
            place.signal(child, signal.SIGSTOP)
        elif kind == "cut":
            await place.set_link_fault(cut=[p for o in others for p in ((child.name, o), (o, child.name))])
        elif kind == "cut-one-way":
            await place.set_link_fault(cut=[(o, child.name) for o in others])
        else:
            place.signal(child, signal.SIGTERM)  # it gives back what it holds
        await asyncio.sleep(5.0)
        if kind == "pause":
            place.signal(child, signal.SIGCONT)
        elif kind.startswith("cut"):
            await place.set_link_fault(cut=[])
        else:
            if child.process is not None:
                await child.process.wait()
            await place.launch(child)
        await asyncio.sleep(float(self.chance.uniform(2.5, 3.5)))


async def failover(times: int, plot: Path | None, kinds: tuple[str, ...]) -> None:
    with tempfile.TemporaryDirectory() as name:
        rig = Rig(Path(name))
        await rig.place.start(2, 7, Path(name) / "state", tasks=("sweep",))
        rig.capture.write("world", **describe_deployment(rig.deployment, [d.name for d in rig.place.dispatchers], 2))
        began: dict[str, list[float]] = {}
        for kind in kinds or ("kill", "pause", "cut", "cut-one-way", "ended"):
            for _ in range(times):
                child = await rig.holder()
                began.setdefault(kind, []).append(time.monotonic() * 1000)
                await rig.befall(kind, child)
        await rig.place.stop()
        events = read_captures(Path(name) / "captures")
        acts = sorted((e for e in events if e["what"] in ("act", "done") and e["taken"]), key=lambda e: e["looked"])
        every: dict[str, list[float]] = {}
        for kind, moments in began.items():
            gaps = []
            for at in moments:
                before = [e for e in acts if e["looked"] <= at][-1]
                old = [e for e in acts if e["token"] == before["token"]][-1]
                new = next(e for e in acts if e["looked"] > old["looked"] and e["token"] > old["token"])
                gaps.append(new["looked"] - old["looked"])
            every[kind] = gaps
            print(
                json.dumps(
                    {
                        "without_a_holder_ms": kind,
                        "times": len(gaps),
                        "median": round(statistics.median(gaps)),
                        "worst": round(max(gaps)),
                        "all": [round(g) for g in sorted(gaps)],
                    }
                ),
                flush=True,
            )
        leases = rig.deployment.leases
        assert leases is not None
        # A grant just before the end, on the slowest voter; the pause; the places; one silent first voter; two round
        # trips of questions with their syncs.
        bound = (
            leases.length_ms / (1 - leases.clock_rate_bound)
            + 1.5 * leases.retry_pause_ms
            + 7 * leases.queue_spacing_ms
            + leases.request_timeout_ms
            + 100
        )
        print(json.dumps({"bound_ms": round(bound)}))
        if plot is not None:
            draw(plot, every, bound)
        verdict = check_history([e for e in events if e["what"] in ("act", "done", "world", "trouble")])
        print(
            json.dumps(
                {
                    "acts": verdict.lease_uses,
                    "holders_two": verdict.holders_two,
                    "old_tokens_taken": verdict.old_tokens_taken,
                }
            )
        )


async def real_askers(count: int, seconds: float) -> dict[str, Any]:
    """`count` real dispatchers that all want one task, without load: messages and CPU at voters and at others."""
    with tempfile.TemporaryDirectory() as name:
        rig = Rig(Path(name))
        await rig.place.start(2, count, Path(name) / "state", tasks=("sweep",))
        await asyncio.sleep(8.0)

        async def look() -> list[tuple[float, float]]:
            found = []
            for child in rig.place.dispatchers:
                said = await http_json(child.said["asked_at"], "GET", "/leases")
                assert child.process is not None
                words = Path(f"/proc/{child.process.pid}/stat").read_text().rpartition(")")[2].split()
                found.append((said["messages"], (int(words[11]) + int(words[12])) * 10.0))
            return found

        before, began = await look(), time.monotonic()
        await asyncio.sleep(seconds)
        after, took = await look(), time.monotonic() - began
        await rig.place.stop()
    rows = [((m2 - m1) / took, (c2 - c1) / took) for (m1, c1), (m2, c2) in zip(before, after, strict=True)]
    voters, others = rows[:5], rows[5:]
    return {
        "real_askers": count,
        "voter_messages_per_s": round(max(m for m, _ in voters), 1),
        "voter_cpu_ms_per_s": round(max(c for _, c in voters), 1),
        "other_messages_per_s": round(statistics.median(m for m, _ in others), 2),
        "other_cpu_ms_per_s": round(statistics.median(c for _, c in others), 1),
    }


def draw(file: Path, every: dict[str, list[float]], bound: float) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for number, gaps in enumerate(every.values()):
        axes.scatter([number] * len(gaps), gaps, alpha=0.6)
    axes.axhline(bound, color="black", linewidth=0.8, label=f"bound from the settings, {bound:.0f} ms")
    axes.set_xticks(range(len(every)), list(every))
    axes.set_ylabel("ms without a holder")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=110)


# Many askers.


def lab_askers(count: int, seconds: float, outage: bool) -> dict[str, Any]:
    """`count` dispatchers want one task, five of them vote; with `outage` all links are cut for a while first."""
    engine, names = EventQueue(), [f"dispatcher-{n:03d}" for n in range(count)]
    settings = LeaseSettings(tuple(names[:5]), max_lease_ms=4000.0)
    acts: list[float] = []
    simulated = SimulatedLeaseSettings(settings, length_ms=4000.0, sync_ms=2.0, network_ms=0.2, silent_ms=3000.0)
    leases = SimulatedLeases(engine, simulated, names, 1, lambda what, **f: acts.append(engine.now))
    leases.contend(("sweep",), names)
    engine.run(20_000.0)
    if outage:
        links = [Link(a, b) for a in names for b in names if a != b]
        leases.cut(links)
        engine.run(35_000.0)
        healed = engine.now
        leases.heal(links)
    start, before = engine.now, {name: node.messages_received for name, node in leases.nodes.items()}
    peak, cpu, step = 0.0, time.process_time(), 100.0
    while engine.now < start + seconds * 1000:
        at = {name: node.messages_received for name, node in leases.nodes.items()}
        engine.run(engine.now + step)
        peak = max(peak, max(leases.nodes[n].messages_received - at[n] for n in names[:5]) * 1000 / step)
    cpu = time.process_time() - cpu
    told = {name: (node.messages_received - before[name]) / seconds for name, node in leases.nodes.items()}
    row = {
        "askers": count,
        "outage": outage,
        "voter_messages_per_s": round(max(told[n] for n in names[:5]), 1),
        "voter_peak_per_s_in_100_ms": round(peak),
        "asker_messages_per_s": round(statistics.median(told[n] for n in names[5:]), 2),
        "all_messages_per_s": round(sum(told.values())),
        "cpu_us_a_message": round(
            cpu * 1e6 / max(1, sum(node.messages_received for node in leases.nodes.values()) - sum(before.values())), 1
        ),
    }
    if outage:
        row["held_again_after_ms"] = round(min(a for a in acts if a > healed) - healed)
    return row


def cost(before: Path, runs: int, seconds: float) -> None:
    from overhead import DEPLOYMENT, HERE, STARTED, List, Process, load

    names = ["v0", "v1", "v2"]
    own = DEPLOYMENT.format(functions=10)
    leased = (
        own.rstrip()[:-1]
        + f"""
  (peers {" ".join(f"(peer {n})" for n in names)}) (leases (voters {" ".join(names)}) (usage-ms 1000)))"""
    )
    try:
        with tempfile.TemporaryDirectory() as folder:
            plain, with_leases = Path(folder) / "plain.sexp", Path(folder) / "leased.sexp"
            plain.write_text(own)
            with_leases.write_text(leased)
            workers = [Process(n % 2, sys.executable, str(HERE / "echo_worker.py")) for n in range(2)]
            roster = List([w.address for w in workers], 2)

            def serve(core: int, name: str, file: Path, cwd: Path) -> Process:
                return Process(
                    core,
                    sys.executable,
                    "-m",
                    "kelptrail",
                    "--log-level",
                    "error",
                    "serve",
                    str(file),
                    "--name",
                    name,
                    "--roster",
                    roster.process.address,
                    "--state",
                    f"{folder}/{name}",
                    cwd=cwd,
                )

            served = {
                "before": serve(3, "before", plain, before),
                "now": serve(3, "now", plain, ROOT),
                "now, voter and holder": serve(3, "v0", with_leases, ROOT),
            }
            for core, name in ((6, "v1"), (7, "v2")):
                time.sleep(6)  # the first alone holds nothing; with the second it has all tasks
                serve(core, name, with_leases, ROOT)
            time.sleep(8)
            target = "/api/v1/namespaces/_/actions/f-0?blocking=true&result=true"
            rows: dict[str, list[tuple[float, float, float]]] = {name: [] for name in served}
            for number in range(runs + 1):
                for name, process in served.items():
                    began = process.cpu_s()
                    run = load(5, process.address, target, 32, seconds)
                    if number:
                        rows[name].append((run["per_s"], (process.cpu_s() - began) / run["calls"] * 1e6, run["p99_us"]))
            for name, found in rows.items():
                per_s, cpu, p99 = zip(*found, strict=True)
                print(
                    json.dumps(
                        {
                            "cost": name,
                            "runs": runs,
                            "calls_per_s": round(statistics.median(per_s)),
                            "cpu_us_a_call": round(statistics.median(cpu), 1),
                            "cpu_us_least_most": [round(min(cpu), 1), round(max(cpu), 1)],
                            "p99_us": round(statistics.median(p99)),
                        }
                    ),
                    flush=True,
                )
    finally:
        for child in STARTED:
            child.end()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["explore", "failover", "askers", "cost"])
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--most-states", type=int, default=150_000)
    parser.add_argument("--walks", type=int, default=4000)
    parser.add_argument("--times", type=int, default=10)
    parser.add_argument("--kind", action="append", default=[], help="Of failover; default: all.")
    parser.add_argument("--plot", type=Path, help="A picture of the times without a holder.")
    parser.add_argument("--before", type=Path, default=ROOT, help="A checkout of another build.")
    options = parser.parse_args()
    if options.what == "explore":
        look_through(options.processes, options.most_states, options.walks)
    elif options.what == "failover":
        uvloop.run(failover(options.times, options.plot, tuple(options.kind)))
    elif options.what == "cost":
        cost(options.before.resolve(), options.times, 3.0)
    else:
        for count in (7, 30, 200):
            for outage in (False, True):
                print(json.dumps(lab_askers(count, 30.0, outage)), flush=True)
        for count in (7, 30):
            print(json.dumps(uvloop.run(real_askers(count, 20.0))), flush=True)


if __name__ == "__main__":
    main()
