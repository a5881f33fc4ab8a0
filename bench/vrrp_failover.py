"""Failovers of a shared front address through real processes: `python bench/vrrp_failover.py --failovers 30`.

Three dispatchers back two addresses behind a relay that harms their datagrams; clients call the addresses throughout.
Each failover kills, stops, pauses or cuts off the present master of the first address.  Who holds an address is counted
from the machine's list of listening sockets and from the datagrams at the relay, nothing else.  The audit judges what
passed.  Writes report.json and masters.png into --out; exit 6 where a rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import statistics
import sys
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import pairwise
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from kelptrail.clock import now_ms
from kelptrail.emulator.capture import Capture
from kelptrail.emulator.clients import ClientEmulator
from kelptrail.emulator.cluster import Cluster, Process, http_json
from kelptrail.fault_scenario.report import describe_deployment, latencies
from kelptrail.history_checker.checker import check_history, read_captures
from kelptrail.load.plan import steady_load
from kelptrail.settings.deployment import Deployment, load

# a master that is only cut off from what the others send keeps the address, as they hear it: no take-over
KINDS = ("kill", "term", "pause", "cut", "cut-out", "cut-in")
SAMPLE_MS, HARM_S, REST_S = 5.0, 1.6, 2.4


class Sampler:
    """Counts the listening sockets on addresses, from /proc/net/tcp (proc(5)), every few milliseconds."""

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self._wanted = {
            "".join(f"{int(part):02X}" for part in reversed(host.split("."))) + f":{port:04X}": n
            for n, (host, port) in enumerate(addresses)
        }
        self.samples: list[tuple[float, tuple[frozenset[str], ...]]] = []

    def look(self) -> None:
        held: list[set[str]] = [set() for _ in self._wanted]
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file:
                fields = line.split()
                if fields[3] == "0A" and fields[1] in self._wanted:  # LISTEN
                    held[self._wanted[fields[1]]].add(fields[9])  # the socket's inode
        self.samples.append((now_ms(), tuple(frozenset(h) for h in held)))

    async def run(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(SAMPLE_MS / 1000)

    def now(self) -> frozenset[str]:
        """Who listens on the first address at this moment."""
        self.look()
        return self.samples[-1][1][0]


class Trial:
    """One run."""

    def __init__(self, deployment: Deployment, file: str, seed: int, out: Path, rate: float) -> None:
        self._deployment, self._file, self._seed, self._out, self._rate = deployment, file, seed, out, rate
        self._chance = np.random.default_rng(seed)
        for folder in (out / "captures", out / "logs"):
            folder.mkdir(parents=True, exist_ok=True)
        for old in (out / "captures").glob("*.jsonl"):
            old.unlink()
        self._capture = Capture(out / "captures" / "player.jsonl", "player")
        self._place = Cluster(deployment, file, out / "captures", seed, logs=out / "logs")
        assert deployment.vrrp is not None
        self._routers = deployment.vrrp.router
        self._sampler = Sampler([(r.address, r.port) for r in self._routers])
        self.took: list[tuple[str, float]] = []
        self.start = 0.0

    async def play(self, failovers: int) -> bool:
        place = self._place
        await place.start(self._deployment.fleet.workers, len(self._deployment.vrrp.instance), self._out / "state")
        self._capture.write(
            "world",
            **describe_deployment(
                self._deployment, [d.name for d in place.dispatchers], self._deployment.fleet.workers
            ),
        )
        sampling = asyncio.create_task(self._sampler.run())
        while not self._sampler.now():
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        clients = ClientEmulator(
            self._deployment,
            [f"{r.address}:{r.port}" for r in self._routers],
            Capture(self._out / "captures" / "clients.jsonl", "clients"),
            self._seed,
            front=True,
        )
        seconds = failovers * (HARM_S + REST_S + 1.5) + 2
        client_load = replace(steady_load(self._rate, seconds, 0.8), deferred=0.25)
        arrivals: list[tuple[float, Callable[[], None]]] = [
            (when, partial(clients.start_call, action, client_load))
            for when, action in clients.arrivals(client_load, seconds)
        ]
        self.start = now_ms()
        self._capture.write("begin", start=self.start, seconds=seconds)
        calling = asyncio.create_task(clients.run(arrivals, self.start))
        for number in range(failovers):
            await asyncio.sleep(REST_S)
            await self._failover(KINDS[number % len(KINDS)], number)
        calling.cancel()
        end = now_ms() + 9000
        while (clients.open_requests or clients.polling) and now_ms() < end:
            await asyncio.sleep(0.05)
        sampling.cancel()
        clients.close()
        return await place.stop()

    async def _master(self) -> Process:
        """Who says that it is Master of the first router."""
        while True:
            for child in self._place.dispatchers:
                status = await http_json(child.said["asked_at"], "GET", "/vrrp")
                if status["routers"][0]["state"] == "master":
                    return child
            await asyncio.sleep(0.02)

    async def _relay(self, **knobs: Any) -> None:
        assert self._place.datagram_proxy is not None
        await http_json(self._place.datagram_proxy.said["address"], "POST", "/", knobs)

    async def _failover(self, kind: str, number: int) -> None:
        place, child = self._place, await self._master()
        index, others = place.dispatchers.index(child), [d for d in place.dispatchers if d is not child]
        await self._relay(
            loss=float(self._chance.uniform(0, 0.08)),
            copy=float(self._chance.uniform(0, 0.3)),
            delay_ms=[0.0, float(self._chance.uniform(0, 40))],
        )
        before, began = self._sampler.now(), now_ms()
        self._capture.write("failover", kind=kind, number=number, of=child.name)
        if kind == "kill":
            self._capture.write("kill", dispatcher=index)
            place.kill(child)
        elif kind == "term":
            ending = asyncio.create_task(place.terminate(child))
        elif kind == "pause":
            self._capture.write("stopped", dispatcher=index)
            place.signal(child, signal.SIGSTOP)
        else:
            cut = [[child.name, o.name] for o in others] if kind in ("cut", "cut-out") else []
            cut += [[o.name, child.name] for o in others] if kind in ("cut", "cut-in") else []
            await self._relay(cut=cut)
        while now_ms() < began + HARM_S * 1000:
            if self._sampler.now() - before:
                self.took.append((kind, now_ms() - began))
                break
            await asyncio.sleep(0.002)
        await asyncio.sleep(max(0.0, HARM_S - (now_ms() - began) / 1000))
        if kind == "kill":
            await place.launch(child)
            self._capture.write("restarted", dispatcher=index)
        elif kind == "term":
            await ending
            await place.launch(child)
        elif kind == "pause":
            place.signal(child, signal.SIGCONT)
            self._capture.write("woken", dispatcher=index)
        else:
            await self._relay(cut=[])
        end = now_ms() + 8000  # then the best holds it again, alone
        best = max(self._routers[0].member, key=lambda m: m.priority).name
        while now_ms() < end and ((await self._master()).name != best or len(self._sampler.now()) != 1):
            await asyncio.sleep(0.02)

    def held(self, router: int) -> tuple[dict[str, float], list[tuple[float, int]]]:
        """For how long none, one, two or more held an address (seconds), and the count over time."""
        out = {"none": 0.0, "one": 0.0, "two": 0.0, "more": 0.0}
        line: list[tuple[float, int]] = []
        samples = self._sampler.samples
        for (at, held), (until, _) in pairwise(samples):
            if at >= self.start:
                count = len(held[router])
                out[("none", "one", "two", "more")[min(3, count)]] += (until - at) / 1000
                if not line or line[-1][1] != count:
                    line.append(((at - self.start) / 1000, count))
        return {name: round(value, 3) for name, value in out.items()}, line


def told(events: list[dict[str, Any]], vrid: int, interval_ms: float, start: float) -> tuple[dict[str, float], Any]:
    """The same from datagrams alone: who advertised within the last interval and a half, and did not release."""
    adverts = [(e["t"], e["sender"], e["priority"]) for e in events if e["what"] == "advert" and e["vrid"] == vrid]
    out, line, last = {"none": 0.0, "one": 0.0, "two": 0.0, "more": 0.0}, [], dict[str, float]()
    if not adverts:
        return out, line
    at, place = start, 0
    while at < adverts[-1][0]:
        while place < len(adverts) and adverts[place][0] <= at:
            when, sender, priority = adverts[place]
            last[sender] = when if priority else float("-inf")
            place += 1
        count = sum(at - when <= 1.5 * interval_ms for when in last.values())
        out[("none", "one", "two", "more")[min(3, count)]] += SAMPLE_MS / 1000
        if not line or line[-1][1] != count:
            line.append(((at - start) / 1000, count))
        at += SAMPLE_MS
    return {name: round(value, 3) for name, value in out.items()}, line


def draw(file: Path, lines: dict[str, Any], marks: list[tuple[float, str]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(lines), 1, figsize=(12, 2.2 * len(lines)), sharex=True, squeeze=False)
    for axis, (name, line) in zip(axes[:, 0], lines.items(), strict=True):
        if line:
            axis.step([t for t, _ in line], [c for _, c in line], where="post", linewidth=0.9)
        axis.set_ylabel(name, fontsize=8)
        axis.set_yticks([0, 1, 2, 3])
        for when, kind in marks:
            axis.axvline(when, color="#a63d40", linewidth=0.4)
            axis.text(when, 3.05, kind, fontsize=5, rotation=60)
        axis.set_ylim(-0.1, 3.6)
    axes[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(file, dpi=110)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--failovers", type=int, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--settings", default=str(Path(__file__).parent.parent / "examples" / "shared-address.sexp"))
    parser.add_argument("--out", type=Path, default=Path("out/vrrp"))
    options = parser.parse_args()
    deployment = load(options.settings)
    assert deployment.vrrp is not None
    trial = Trial(deployment, options.settings, options.seed, options.out, options.rate)
    clean = uvloop.run(trial.play(options.failovers))
    events = read_captures(options.out / "captures")
    verdict = check_history(events)
    first = deployment.vrrp.router[0]
    interval = first.interval_cs * 10.0
    priorities = sorted((m.priority for m in first.member), reverse=True)
    bound = (3 + (256 - priorities[1]) / 256) * interval
    took = [ms for kind, ms in trial.took if kind != "term"]
    lines: dict[str, Any] = {}
    out: dict[str, Any] = {
        "failovers": options.failovers,
        "taken_over": len(trial.took),
        "interval_ms": interval,
        "master_down_interval_ms": round(bound, 1),
        "drained_cleanly": clean,
        "take_over_ms": {
            "median": round(statistics.median(took), 1) if took else None,
            "p99": round(float(np.percentile(took, 99)), 1) if took else None,
            "worst": round(max(took), 1) if took else None,
        },
        "take_over_by_kind_ms": {kind: [round(ms, 1) for k, ms in trial.took if k == kind] for kind in KINDS},
        "seconds_held_by": {},
        "seconds_advertised_by": {},
    }
    for number, router in enumerate(deployment.vrrp.router):
        out["seconds_held_by"][router.address], lines[f"sockets {router.address}"] = trial.held(number)
        out["seconds_advertised_by"][router.address], lines[f"datagrams {router.vrid}"] = told(
            events, int(router.vrid), interval, trial.start
        )
    marks = [((e["t"] - trial.start) / 1000, e["kind"]) for e in events if e["what"] == "failover"]
    draw(options.out / "masters.png", lines, marks)
    out |= verdict.counts() | {
        "broken": verdict.broken,
        "details": verdict.details[:40],
        "latency_ms": latencies(events),
    }
    (options.out / "report.json").write_text(json.dumps(out, indent=1) + "\n")
    print(json.dumps(out, indent=1))
    wanted = sum(KINDS[n % len(KINDS)] != "cut-in" for n in range(options.failovers))
    sys.exit(6 if verdict.broken or len(trial.took) < wanted else 0)


if __name__ == "__main__":
    main()
