"""Campaigns: many bad days drawn from seeds, played through real processes and judged; what they came to in one table.

A day of the campaign on leases has five to seven dispatchers in three halls, three or five of them voters, two tasks
that all want, and five to seven troubles between them that overlap: at most instants three or more are on.  A day of
the campaign on copies has seven dispatchers, most calls deferred, machines lost with their disks (never more than the
copies cover at once) and four to six other troubles that overlap.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from kelptrail.history_checker.checker import Verdict

SECONDS, LOAD = 16.0, 10.0
BOUND = 0.01  # of clock rates, as the drawn settings state it
KINDS = (
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


def leases_day(seed: int, settings: str) -> tuple[str, str]:
    """A drawn day: its deployment, made of the text `settings` without its peers and leases, and its script."""
    chance = np.random.default_rng([seed, 25])
    dispatchers, voters = int(chance.integers(5, 8)), int(chance.choice([3, 5]))
    names = [f"dispatcher-{n}" for n in range(dispatchers)]
    chosen = sorted(names[int(n)] for n in chance.choice(dispatchers, voters, replace=False))
    length = int(chance.choice([1000, 1500, 2000]))
    deployment = (
        settings[: settings.index("\n  (peers")]
        + f"""
  (peers {" ".join(f"(peer {name})" for name in chosen)} (beat-ms 200) (silent-ms 1000))
  (leases (voters {" ".join(chosen)}) (length-ms {length}) (longest-ms {length}) (clock-bound {BOUND}) (ask-ms 100)))
"""
    )
    troubles = []
    count = int(chance.integers(5, 8))
    for number, kind in enumerate(chance.choice(KINDS, count)):
        at = 2.0 + 8.0 * number / count + float(chance.uniform(0, 1))
        last, part = float(chance.uniform(2.0, 4.5)), round(float(chance.choice([1, 2])) / dispatchers, 2)
        rate = 1 + BOUND * float(chance.choice([1, -1, 10, -10]))
        more = {
            "one-way": "(one-way yes)",
            "slow-peers": f"(ms {chance.integers(20, 400)}) (share 0.3)",
            "reset-peers": "(share 0.5)",
            "looked": "(type looked)",
            "disk-slow": "(ms 300)",
            "clock-step": f"(ms {chance.choice([3_600_000, -3_600_000])})",
            "clock-rate": f"(factor {rate:g})",
        }
        name = {"one-way": "cut-peers", "looked": "pause-dispatchers"}.get(kind, kind)
        if kind == "lose-machines":
            part = round(1 / dispatchers, 2)
        troubles.append(f"  (trouble {name} (at {at:.1f}) (for {last:.1f}) (part {part}) {more.get(kind, '')})")
    script = (
        f"""(bad-day leases-{seed} (deployment "fleet-{seed}.sexp") (seconds {SECONDS:g}) (workers 2)
  (dispatchers {dispatchers}) (tasks sweep tally) (load (rate {LOAD:g}) (deferred 0.2))
"""
        + "\n".join(troubles)
        + ")\n"
    )
    return deployment, script


WITH_LOSSES = (
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
COPIES_SECONDS, COPIES_LOAD = 30.0, 25.0


def copies_day(seed: int, settings: str) -> tuple[str, str]:
    """A drawn day of losses: its deployment, which is `settings`, with one copy or two, and its script."""
    chance = np.random.default_rng([seed, 26])
    dispatchers, copies = 7, int(chance.integers(1, 3))
    first = float(chance.uniform(5, 8))
    losses = [(first, int(chance.integers(1, copies + 1))), (first + 11.0, 1)]
    troubles = [
        f"  (trouble lose-machines (at {at:.1f}) (for {chance.uniform(2, 5):.1f}) (part {count / dispatchers:.2f}))"
        for at, count in losses
    ]
    count = int(chance.integers(4, 7))
    for number, kind in enumerate(chance.choice(WITH_LOSSES, count)):
        at = first - 2.0 + 9.0 * number / count + float(chance.uniform(0, 1))
        last, part = float(chance.uniform(2.0, 4.5)), round(float(chance.choice([1, 2])) / dispatchers, 2)
        more = {
            "one-way": "(one-way yes)",
            "slow-peers": f"(ms {chance.integers(20, 400)}) (share 0.3)",
            "reset-peers": "(share 0.5)",
            "disk-slow": "(ms 300)",
            "clock-step": f"(ms {chance.choice([60_000, -60_000])})",
            "clock-rate": f"(factor {1 + BOUND * float(chance.choice([1, -1])):g})",
        }
        name = "cut-peers" if kind == "one-way" else kind
        troubles.append(f"  (trouble {name} (at {at:.1f}) (for {last:.1f}) (part {part}) {more.get(kind, '')})")
    script = (
        f"""(bad-day copies-{seed} (deployment "fleet-{seed}.sexp") (seconds {COPIES_SECONDS:g}) (workers 3)
  (dispatchers {dispatchers}) (load (rate {COPIES_LOAD:g}) (deferred 0.8))
"""
        + "\n".join(troubles)
        + ")\n"
    )
    return settings.replace("(copies 2)", f"(copies {copies})"), script


DAYS = {"leases": leases_day, "copies": copies_day}


async def _one(seed: int, settings: str, out: Path, kind: str) -> dict[str, Any]:
    folder = out / f"{seed:03d}"
    folder.mkdir(parents=True, exist_ok=True)
    deployment, script = DAYS[kind](seed, settings)
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
        "broken": {name: report[name] for name in Verdict.BREACHES if report[name]},
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


async def play(
    kind: str, seeds: list[int], settings: Path, out: Path, at_once: int, done: Callable[[dict[str, Any]], None]
) -> list[dict[str, Any]]:
    """Play all seeds, some at once; a row each, in order, also in `campaign.json`."""
    text, gate = settings.read_text(), asyncio.Semaphore(at_once)

    async def one(seed: int) -> dict[str, Any]:
        async with gate:
            row = await _one(seed, text, out, kind)
            done(row)
            return row

    rows = list(await asyncio.gather(*(one(seed) for seed in seeds)))
    (out / "campaign.json").write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")
    return rows


def total(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """All rows in one: sums, the worst, and the seeds that broke anything."""
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
