"""What copies cost and how long taking over takes: `python bench/copies.py cost|takeover|refill|walks`.

`cost`: deferred calls on three real dispatchers, copies 0, 1 and 2, on disk and in memory.  `takeover`: lives of a book
read, judged and resumed in one process, workers emulated.  `refill`: a holder lost with its disk under load, real
processes.  `walks`: the model of one book over many seeds.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import shutil
import statistics
import sys
import tempfile
import time
import urllib.request
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import uvloop
from overhead import DEPLOYMENT, STARTED, List, Process, load

from kelptrail.clock import now_ms, wall_ms
from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import FinalAnswer, StartAttempt, StartLoad
from kelptrail.lease.messages import FencingToken
from kelptrail.membership.members import Endpoint, EndpointList
from kelptrail.replication.messages import ReplicaEntry
from kelptrail.replication.model import Model as Walk
from kelptrail.replication.replica import Fence, ReplicaWrite
from kelptrail.replication.replica_store import ReadRequest, open_replica_store
from kelptrail.settings.deployment import parse
from kelptrail.store.entries import Accepted, Ended, MayRun, encode_entry

NAMES = ("d0", "d1", "d2")
TARGET = "/api/v1/namespaces/_/actions/f-0?blocking=false"


def settings(copies: int, where: str, effect: str = "repeatable") -> str:
    text = DEPLOYMENT.format(functions=2).replace("(effect repeatable)", f"(effect {effect})").rstrip()
    text = text.replace("(records 5000)", "(records 200000) (records-mb 2000)")
    return (
        text[:-1]
        + f"""
  (peers {" ".join(f"(peer {n})" for n in NAMES)} (beat-ms 200) (silent-ms 1500) (copies {copies}) (copies-in {where}))
  (leases (voters {" ".join(NAMES)}) (length-ms 2000) (longest-ms 2000) (usage-ms 0)))
"""
    )


def told(process: Process, what: str) -> Any:
    """What a control port says."""
    with urllib.request.urlopen(f"http://{process.said['asked_at']}/{what}", timeout=5) as answer:
        return json.loads(answer.read())


class Trio:
    """Three dispatchers that know each other, one worker that answers at once."""

    def __init__(self, folder: Path, copies: int, where: str, effect: str = "repeatable") -> None:
        folder.mkdir()
        self.folder, self.file = folder, folder / "bench.sexp"
        self.file.write_text(settings(copies, where, effect))
        self.worker = Process(0, sys.executable, str(Path(__file__).parent / "echo_worker.py"))
        self.roster = List([self.worker.address], 1)
        self.dispatchers = [self.start(n) for n in range(3)]
        self.wait(copies)

    def start(self, n: int) -> Process:
        return Process(
            2 + n,
            sys.executable,
            "-m",
            "kelptrail",
            "--log-level",
            "error",
            "serve",
            str(self.file),
            "--roster",
            self.roster.process.address,
            "--name",
            NAMES[n],
            "--control",
            "127.0.0.1:0",
            "--state",
            str(self.folder / NAMES[n]),
        )

    def wait(self, copies: int) -> None:
        end = time.monotonic() + 20
        while copies and time.monotonic() < end and not all(told(d, "copies")["promising"] for d in self.dispatchers):
            time.sleep(0.1)

    def end(self) -> None:
        for process in (*self.dispatchers, self.roster.process, self.worker):
            process.end()
            STARTED.remove(process)


def cost(runs: int, seconds: float) -> None:
    """Calls a second (32 connections, closed loop) and latency of the 202 at a fixed rate; CPU and bytes a call."""
    cases = [(0, "disk"), (1, "disk"), (2, "disk"), (1, "memory"), (2, "memory")]
    with tempfile.TemporaryDirectory(dir=".") as name:
        for effect in ("repeatable", "once-only"):
            for copies, where in cases:
                trio = Trio(Path(name) / f"{effect}-{copies}-{where}", copies, where, effect)
                owner = trio.dispatchers[0]
                load(5, owner.address, TARGET, 32, 1.0)
                rows = []
                for _ in range(runs):
                    cpu = [d.cpu_s() for d in trio.dispatchers]
                    before = own(owner) if copies else {}
                    fast = load(5, owner.address, TARGET, 32, seconds)
                    after = own(owner) if copies else {}
                    calls = fast["calls"]
                    spent = [d.cpu_s() - c for d, c in zip(trio.dispatchers, cpu, strict=True)]
                    slow = load(5, owner.address, TARGET, 32, seconds, 400.0)
                    row = {
                        "calls_a_s": fast["per_s"],
                        "promised": fast["statuses"].get("202", 0) / fast["calls"],
                        "p50_us": slow["p50_us"],
                        "p99_us": slow["p99_us"],
                        "owner_us_a_call": 1e6 * spent[0] / calls,
                        "others_us_a_call": 1e6 * sum(spent[1:]) / calls,
                    }
                    if copies:
                        row["bytes_a_call"] = (after["bytes_out"] - before["bytes_out"]) / calls
                        row["calls_a_batch"] = calls / (after["batches"] - before["batches"])
                    rows.append(row)
                trio.end()
                print(
                    json.dumps(
                        {"effect": effect, "copies": copies, "in": where}
                        | {key: round(statistics.median(r[key] for r in rows), 1) for key in rows[0]}
                    ),
                    flush=True,
                )


def own(process: Process) -> dict[str, Any]:
    return next(o for o in told(process, "copies")["owned"].values() if o["current"])


def refill(counts: list[int], rate: float) -> None:
    """A holder lost with its disk while its owner has so many records and goes on at `rate` calls a second."""
    for count in counts:
        with tempfile.TemporaryDirectory(dir=".") as name:
            trio = Trio(Path(name) / "trio", 1, "disk")
            owner = trio.dispatchers[0]
            while own(owner)["entries"] < 2 * count:
                load(5, owner.address, TARGET, 64, 1.0)
            calm = load(5, owner.address, TARGET, 32, 4.0, rate)
            holder = next(iter(own(owner)["holders"]))
            lost = trio.dispatchers[NAMES.index(holder)]
            risk, began = own(owner)["risk_ms"], time.monotonic()
            lost.process.kill()
            lost.process.wait()
            shutil.rmtree(trio.folder / holder)
            STARTED.remove(lost)
            during = load(5, owner.address, TARGET, 32, 8.0, rate)
            while not own(owner)["full"] and time.monotonic() - began < 60:
                time.sleep(0.05)
            after = own(owner)
            median, worst = ([calm[key], during[key]] for key in ("p50_us", "p99_us"))
            print(
                json.dumps(
                    {
                        "records": count,
                        "at_risk_ms": after["risk_ms"] - risk,
                        "filled_mb": round(sum(w["filled"] for w in after["holders"].values()) / 1e6, 2),
                        "p50_us": median,
                        "p99_us": worst,
                        "statuses": during["statuses"],
                    }
                ),
                flush=True,
            )
            trio.dispatchers.remove(lost)
            trio.end()


class Book:
    """A book that is safe at once, to see what taking it up takes by itself."""

    def is_accepting(self) -> bool:
        return True

    def is_primary(self, now: float) -> bool:
        return True

    def write(self, entry: Any, waiter: Any = None, keep: bool = False) -> None:
        if waiter is not None:
            asyncio.get_running_loop().call_soon(waiter, True)

    def forget(self, id_: str) -> None:
        pass


async def takeover(count: int, share: float, run_ms: float, at_once: int) -> dict[str, Any]:
    """A book of so many activations, `share` of them without an answer; workers take `run_ms` a call, emulated."""
    deployment = parse(
        settings(1, "disk", "repeatable")
        .replace("(timeout-ms 10000)", "(timeout-ms 600000)")
        .replace("(records 200000)", "(records 2000000)"),
        "bench",
    )
    loop, wall = asyncio.get_running_loop(), wall_ms()
    with tempfile.TemporaryDirectory(dir=".") as folder:
        file = Path(folder) / "copies.sqlite"
        shelves, _ = open_replica_store(file)
        items: list[ReplicaEntry] = []
        for n in range(count):
            id_ = f"{n:032x}"
            entries: list[Any] = [Accepted(id_, "n", "f-0", wall - 3000, 600_000.0, b'{"family":7}' * 20)]
            if n >= count * share:
                entries += [MayRun(id_, wall - 2000, "w0"), Ended(id_, wall, "completed", 0, b'{"family":7}' * 20)]
            items += [
                ReplicaEntry(e.id, (Accepted, MayRun, Ended).index(type(e)), 3000.0, encode_entry(e)[0])
                for e in entries
            ]
        shelves.commit(
            [ReplicaWrite("lost.1", tuple(items), fence=Fence(FencingToken(1, "lost/1"), "lost"), wall_ms=wall)]
        )
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 1_000_000)  # as the program does
        began, reading = now_ms(), ReadRequest("lost.1", wall_ms=wall_ms())
        await loop.run_in_executor(None, shelves.commit, [reading])
        read = now_ms() - began
        gateway, book = Gateway(DispatcherParts(deployment, "hall", 1), "b" * 16), Book()
        gateway.on_endpoints(now_ms(), EndpointList(1, [Endpoint(f"w{n}", f"127.0.0.1:{n + 1}") for n in range(4)]))
        first = last = 0.0
        finals: set[str] = set()

        def stir() -> None:
            nonlocal first, last
            now = now_ms()
            while (effect := gateway.next_effect(now)) is not None:
                if isinstance(effect, FinalAnswer):
                    finals.add(effect.invocation.record.id)
                    last = now
                if isinstance(effect, StartLoad):
                    gateway.on_load_report(now, effect.order, AttemptStatus.COMPLETED, 64)
                elif isinstance(effect, StartAttempt):
                    first = first or now
                    loop.call_later(run_ms / 1000, answered, effect.attempt)

        def answered(send: Any) -> None:
            gateway.on_attempt_finished(
                now_ms(), send, AttemptStatus.COMPLETED, WorkerAnswer("completed", result=b"{}", success=True)
            )
            loop.call_soon(stir)

        lives = sorted(reading.activations, key=lambda life: (life.ended is not None, life.accepted.start))
        slowest = 0.0
        for n in range(0, len(lives), 200):
            step = now_ms()
            gateway.recover(now_ms(), wall_ms(), lives[n : n + 200], 200.0, at_once, book)
            stir()
            slowest = max(slowest, now_ms() - step)
            await asyncio.sleep(0.001)
        known = now_ms()
        while len(finals) < int(count * share) and now_ms() - began < 120_000:
            await asyncio.sleep(0.01)
            stir()
        shelves.close()
        return {
            "records": count,
            "unfinished": int(count * share),
            "resumed": len(finals),
            "read_ms": round(read),
            "first_resumed_ms": round(first - began),
            "all_known_ms": round(known - began),
            "last_resumed_ms": round(last - began),
            "longest_step_ms": round(slowest, 1),
        }


def walk(seeds: range) -> tuple[int, int, int]:
    took = promised = broken = 0
    for seed in seeds:
        world = Walk(seed)
        for _ in range(400):
            world.step()
        world.heal()
        took, promised, broken = (
            took + world.takeovers,
            promised + len(world.acknowledged),
            broken + bool(world.all_disks_lost),
        )
    return took, promised, broken


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["cost", "takeover", "refill", "walks"])
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seeds", type=int, default=2000)
    parser.add_argument("--processes", type=int, default=6)
    options = parser.parse_args()
    if options.what == "cost":
        cost(options.runs, options.seconds)
    elif options.what == "refill":
        refill([1_000, 10_000], 400.0)
    elif options.what == "takeover":
        for count in (1_000, 10_000, 100_000):
            print(json.dumps(uvloop.run(takeover(count, 0.1, 5.0, 64))), flush=True)
    else:
        began, parts = time.monotonic(), range(0, options.seeds, 50)
        with ProcessPoolExecutor(options.processes) as pool:
            found = list(pool.map(walk, [range(n, n + 50) for n in parts]))
        print(
            json.dumps(
                {
                    "seeds": options.seeds,
                    "takeovers": sum(f[0] for f in found),
                    "promised": sum(f[1] for f in found),
                    "all_disks_lost": sum(f[2] for f in found),
                    "seconds": round(time.monotonic() - began, 1),
                }
            )
        )


if __name__ == "__main__":
    try:
        main()
    finally:
        for child in STARTED:
            child.end()
