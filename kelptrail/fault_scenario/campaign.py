"""Campaigns: many fault scenarios drawn from seeds, run through real processes and checked; the results in one table.

A scenario of the lease campaign has five to seven dispatchers in three zones, three or five of them acceptors, two
tasks that all want, and five to seven faults between them that overlap: at most instants three or more are active.  A
scenario of the replication campaign has seven dispatchers, most calls deferred, machines lost with their disks (never
more than the replicas cover at once) and four to six other faults that overlap.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from kelptrail.history_checker.checker import CheckResult

LEASE_SECONDS, LEASE_LOAD = 16.0, 10.0
CLOCK_RATE_BOUND = 0.01  # of clock rates, as the drawn settings state it
LEASE_FAULTS = (
    "kill-dispatchers",
    "cut-peers",
    "cut-peers",
    "one-way",
    "slow-peers",
    "reset-peers",
    "pause-dispatchers",
    "looked",
    "lose-machines",
    "clock-rate",
    "clock-rate",
    "clock-step",
    "disk-fails",
    "disk-slow",
)


def draw_lease_scenario(seed: int, settings: str) -> tuple[str, str]:
    """Draw a scenario; returns its deployment, made of the text `settings` without peers and leases, and its script."""
    random = np.random.default_rng([seed, 25])
    dispatchers, acceptors = int(random.integers(5, 8)), int(random.choice([3, 5]))
    names = [f"dispatcher-{n}" for n in range(dispatchers)]
    chosen = sorted(names[int(n)] for n in random.choice(dispatchers, acceptors, replace=False))
    length = int(random.choice([1000, 1500, 2000]))
    deployment = (
        settings[: settings.index("\n  (peers")]
        + f"""
  (peers {" ".join(f"(peer {name})" for name in chosen)} (beat-ms 200) (silent-ms 1000))
  (leases (voters {" ".join(chosen)}) (length-ms {length}) (longest-ms {length})
          (clock-bound {CLOCK_RATE_BOUND}) (ask-ms 100)))
"""
    )
    faults = []
    count = int(random.integers(5, 8))
    for number, kind in enumerate(random.choice(LEASE_FAULTS, count)):
        at = 2.0 + 8.0 * number / count + float(random.uniform(0, 1))
        duration, part = float(random.uniform(2.0, 4.5)), round(float(random.choice([1, 2])) / dispatchers, 2)
        rate = 1 + CLOCK_RATE_BOUND * float(random.choice([1, -1, 10, -10]))
        more = {
            "one-way": "(one-way yes)",
            "slow-peers": f"(ms {random.integers(20, 400)}) (share 0.3)",
            "reset-peers": "(share 0.5)",
            "looked": "(type looked)",
            "disk-slow": "(ms 300)",
            "clock-step": f"(ms {random.choice([3_600_000, -3_600_000])})",
            "clock-rate": f"(factor {rate:g})",
        }
        name = {"one-way": "cut-peers", "looked": "pause-dispatchers"}.get(kind, kind)
        if kind == "lose-machines":
            part = round(1 / dispatchers, 2)
        faults.append(f"  (trouble {name} (at {at:.1f}) (for {duration:.1f}) (part {part}) {more.get(kind, '')})")
    script = (
        f"""(bad-day leases-{seed} (deployment "fleet-{seed}.sexp") (seconds {LEASE_SECONDS:g}) (workers 2)
  (dispatchers {dispatchers}) (tasks sweep tally) (load (rate {LEASE_LOAD:g}) (deferred 0.2))
"""
        + "\n".join(faults)
        + ")\n"
    )
    return deployment, script


REPLICATION_FAULTS = (
    "kill-dispatchers",
    "cut-peers",
    "cut-peers",
    "one-way",
    "slow-peers",
    "reset-peers",
    "pause-dispatchers",
    "clock-rate",
    "clock-step",
    "disk-fails",
    "disk-full",
    "disk-slow",
)
REPLICATION_SECONDS, REPLICATION_LOAD = 30.0, 25.0


def draw_replication_scenario(seed: int, settings: str) -> tuple[str, str]:
    """Draw a scenario of losses; returns its deployment, `settings` with one replica or two, and its script."""
    random = np.random.default_rng([seed, 26])
    dispatchers, replicas = 7, int(random.integers(1, 3))
    first = float(random.uniform(5, 8))
    losses = [(first, int(random.integers(1, replicas + 1))), (first + 11.0, 1)]
    faults = [
        f"  (trouble lose-machines (at {at:.1f}) (for {random.uniform(2, 5):.1f}) (part {count / dispatchers:.2f}))"
        for at, count in losses
    ]
    count = int(random.integers(4, 7))
    for number, kind in enumerate(random.choice(REPLICATION_FAULTS, count)):
        at = first - 2.0 + 9.0 * number / count + float(random.uniform(0, 1))
        duration, part = float(random.uniform(2.0, 4.5)), round(float(random.choice([1, 2])) / dispatchers, 2)
        more = {
            "one-way": "(one-way yes)",
            "slow-peers": f"(ms {random.integers(20, 400)}) (share 0.3)",
            "reset-peers": "(share 0.5)",
            "disk-slow": "(ms 300)",
            "clock-step": f"(ms {random.choice([60_000, -60_000])})",
            "clock-rate": f"(factor {1 + CLOCK_RATE_BOUND * float(random.choice([1, -1])):g})",
        }
        name = "cut-peers" if kind == "one-way" else kind
        faults.append(f"  (trouble {name} (at {at:.1f}) (for {duration:.1f}) (part {part}) {more.get(kind, '')})")
    script = (
        f"""(bad-day copies-{seed} (deployment "fleet-{seed}.sexp") (seconds {REPLICATION_SECONDS:g}) (workers 3)
  (dispatchers {dispatchers}) (load (rate {REPLICATION_LOAD:g}) (deferred 0.8))
"""
        + "\n".join(faults)
        + ")\n"
    )
    return settings.replace("(copies 2)", f"(copies {replicas})"), script


DRAWERS = {"leases": draw_lease_scenario, "copies": draw_replication_scenario}


async def _run_one(seed: int, settings: str, out: Path, kind: str) -> dict[str, Any]:
    folder = out / f"{seed:03d}"
    folder.mkdir(parents=True, exist_ok=True)
    deployment, script = DRAWERS[kind](seed, settings)
    (folder / f"fleet-{seed}.sexp").write_text(deployment)
    (folder / "day.sexp").write_text(script)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "kelptrail",
        "fault-scenario",
        str(folder / "day.sexp"),
        "--seed",
        str(seed),
        "--out",
        str(folder / "out"),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    _, error = await process.communicate()
    file = folder / "out" / "report.json"
    if not file.exists():
        return {"seed": seed, "failed": error.decode(errors="replace")[-400:]}
    report = msgspec.json.decode(file.read_bytes())
    return {
        "seed": seed,
        "exit": process.returncode,
        "dispatchers": report["dispatchers"],
        "troubles": [t["kind"] for t in report["troubles"]],
        "broken": {name: report[name] for name in CheckResult.BREACHES if report[name]},
        "without_s": max((t["without_s"] for t in report["leases"].values()), default=0.0),
        "longest_without_s": max((t["longest_without_s"] for t in report["leases"].values()), default=0.0),
        "holders": sum(len(t["spans"]) for t in report["leases"].values()),
        "details": report["details"][:5],
        **{
            name: report[name]
            for name in (
                "taken",
                "acts",
                "old_tokens_refused",
                "holders_two_by_clocks",
                "lost_with_disk",
                "lost_with_dispatcher",
                "not_taken",
                "completed",
                "rejected",
                "aborted",
            )
        },
    }


async def run_campaign(
    kind: str, seeds: list[int], settings: Path, out: Path, at_once: int, done: Callable[[dict[str, Any]], None]
) -> list[dict[str, Any]]:
    """Run all seeds, some at once; a row each, in order, also in `campaign.json`."""
    text, gate = settings.read_text(), asyncio.Semaphore(at_once)

    async def one(seed: int) -> dict[str, Any]:
        async with gate:
            row = await _run_one(seed, text, out, kind)
            done(row)
            return row

    rows = list(await asyncio.gather(*(one(seed) for seed in seeds)))
    (out / "campaign.json").write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")
    return rows


def summarize(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """All rows in one: sums, the worst case, and the seeds that broke a rule."""
    good = [row for row in rows if "failed" not in row]
    sums = {
        name: sum(row[name] for row in good)
        for name in (
            "taken",
            "acts",
            "holders",
            "old_tokens_refused",
            "holders_two_by_clocks",
            "lost_with_disk",
            "lost_with_dispatcher",
            "completed",
            "rejected",
            "aborted",
        )
    }
    breaches: dict[str, int] = {}
    for row in good:
        for name, count in row["broken"].items():
            breaches[name] = breaches.get(name, 0) + count
    return {
        "seeds": len(rows),
        "failed": [row["seed"] for row in rows if "failed" in row],
        "broken": [row["seed"] for row in good if row["broken"]],
        "breaches": breaches,
        **sums,
        "longest_without_s": max((row["longest_without_s"] for row in good), default=0.0),
    }
