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
from typing import Any, NamedTuple

import msgspec
import numpy as np

from kelptrail.history_checker.result import Breach

LEASE_SECONDS, LEASE_LOAD = 16.0, 10.0
REPLICATION_SECONDS, REPLICATION_LOAD = 30.0, 25.0
REPLICATION_DISPATCHERS = 7
CLOCK_RATE_BOUND = 0.01  # of clock rates, as the drawn settings state it
SECONDS_BETWEEN_LOSSES = 11.0  # enough to replicate again
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
FAULT_OF_VARIANT = {"one-way": "cut-peers", "looked": "pause-dispatchers"}  # variants with settings of their own
FAILURE_TEXT_CHARACTERS, DETAILS_PER_SEED = 400, 5
ROW_COUNTS = (  # of the report, in a row of `campaign.json`
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
SUMMED_COUNTS = (  # of the rows, in the summary
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


class DrawnScenario(NamedTuple):
    """The texts of a drawn scenario's deployment file and of its script."""

    deployment: str
    script: str


class FaultExtent(NamedTuple):
    """When a fault begins, how long it lasts (seconds), and the part of the dispatchers that it hits."""

    at: float
    duration: float
    part: float


def draw_lease_scenario(seed: int, settings: str) -> DrawnScenario:
    """Draw a scenario of lease faults; its deployment is the text `settings` with peers and leases as drawn."""
    random = np.random.default_rng([seed, 25])
    dispatchers, acceptors = int(random.integers(5, 8)), int(random.choice([3, 5]))
    names = [f"dispatcher-{n}" for n in range(dispatchers)]
    chosen = sorted(names[int(n)] for n in random.choice(dispatchers, acceptors, replace=False))
    length_ms = int(random.choice([1000, 1500, 2000]))
    deployment = _with_leases(settings, chosen, length_ms)
    faults = _draw_lease_faults(random, dispatchers)
    head = f"""(bad-day leases-{seed} (deployment "fleet-{seed}.sexp") (seconds {LEASE_SECONDS:g}) (workers 2)
  (dispatchers {dispatchers}) (tasks sweep tally) (load (rate {LEASE_LOAD:g}) (deferred 0.2))
"""
    return DrawnScenario(deployment, head + "\n".join(faults) + ")\n")


def _with_leases(settings: str, acceptors: list[str], length_ms: int) -> str:
    """A deployment's text with these peers and leases in place of its own."""
    return (
        settings[: settings.index("\n  (peers")]
        + f"""
  (peers {" ".join(f"(peer {name})" for name in acceptors)} (beat-ms 200) (silent-ms 1000))
  (leases (voters {" ".join(acceptors)}) (length-ms {length_ms}) (longest-ms {length_ms})
          (clock-bound {CLOCK_RATE_BOUND}) (ask-ms 100)))
"""
    )


def _draw_lease_faults(random: np.random.Generator, dispatchers: int) -> list[str]:
    faults = []
    count = int(random.integers(5, 8))
    for number, kind in enumerate(random.choice(LEASE_FAULTS, count)):
        extent = _draw_extent(random, 2.0 + 8.0 * number / count, dispatchers)
        # Every setting is drawn for every fault: which kinds are drawn must not change what follows.
        rate = 1 + CLOCK_RATE_BOUND * float(random.choice([1, -1, 10, -10]))
        settings = {
            "one-way": "(one-way yes)",
            "slow-peers": f"(ms {random.integers(20, 400)}) (share 0.3)",
            "reset-peers": "(share 0.5)",
            "looked": "(type looked)",
            "disk-slow": "(ms 300)",
            "clock-step": f"(ms {random.choice([3_600_000, -3_600_000])})",
            "clock-rate": f"(factor {rate:g})",
        }
        if kind == "lose-machines":
            extent = extent._replace(part=round(1 / dispatchers, 2))
        faults.append(_fault_form(kind, extent, settings))
    return faults


def draw_replication_scenario(seed: int, settings: str) -> DrawnScenario:
    """Draw a scenario of lost machines; its deployment is the text `settings` with one replica or two."""
    random = np.random.default_rng([seed, 26])
    replicas = int(random.integers(1, 3))
    first_loss = float(random.uniform(5, 8))
    losses = _draw_losses(random, first_loss, replicas)
    faults = [*losses, *_draw_replication_faults(random, first_loss)]
    head = f"""(bad-day copies-{seed} (deployment "fleet-{seed}.sexp") (seconds {REPLICATION_SECONDS:g}) (workers 3)
  (dispatchers {REPLICATION_DISPATCHERS}) (load (rate {REPLICATION_LOAD:g}) (deferred 0.8))
"""
    deployment = settings.replace("(copies 2)", f"(copies {replicas})")
    return DrawnScenario(deployment, head + "\n".join(faults) + ")\n")


def _draw_losses(random: np.random.Generator, first_loss: float, replicas: int) -> list[str]:
    """Machines lost with their disks: first as many as the replicas cover at most, later one."""
    losses = [(first_loss, int(random.integers(1, replicas + 1))), (first_loss + SECONDS_BETWEEN_LOSSES, 1)]
    return [
        f"  (trouble lose-machines (at {at:.1f}) (for {random.uniform(2, 5):.1f}) "
        f"(part {count / REPLICATION_DISPATCHERS:.2f}))"
        for at, count in losses
    ]


def _draw_replication_faults(random: np.random.Generator, first_loss: float) -> list[str]:
    faults = []
    count = int(random.integers(4, 7))
    for number, kind in enumerate(random.choice(REPLICATION_FAULTS, count)):
        extent = _draw_extent(random, first_loss - 2.0 + 9.0 * number / count, REPLICATION_DISPATCHERS)
        # Every setting is drawn for every fault: which kinds are drawn must not change what follows.
        settings = {
            "one-way": "(one-way yes)",
            "slow-peers": f"(ms {random.integers(20, 400)}) (share 0.3)",
            "reset-peers": "(share 0.5)",
            "disk-slow": "(ms 300)",
            "clock-step": f"(ms {random.choice([60_000, -60_000])})",
            "clock-rate": f"(factor {1 + CLOCK_RATE_BOUND * float(random.choice([1, -1])):g})",
        }
        faults.append(_fault_form(kind, extent, settings))
    return faults


def _draw_extent(random: np.random.Generator, earliest: float, dispatchers: int) -> FaultExtent:
    """A fault that begins within a second of `earliest` and hits one dispatcher or two."""
    at = earliest + float(random.uniform(0, 1))
    duration = float(random.uniform(2.0, 4.5))
    part = round(float(random.choice([1, 2])) / dispatchers, 2)
    return FaultExtent(at, duration, part)


def _fault_form(kind: str, extent: FaultExtent, settings: dict[str, str]) -> str:
    """A fault as a line of a script, with the settings of its kind."""
    name = FAULT_OF_VARIANT.get(kind, kind)
    return (
        f"  (trouble {name} (at {extent.at:.1f}) (for {extent.duration:.1f}) (part {extent.part}) "
        f"{settings.get(kind, '')})"
    )


DRAWERS = {"leases": draw_lease_scenario, "copies": draw_replication_scenario}


async def _run_one(seed: int, settings: str, out: Path, kind: str) -> dict[str, Any]:
    """Draw a seed's scenario and run it in a process of its own; its row of the table."""
    folder = out / f"{seed:03d}"
    folder.mkdir(parents=True, exist_ok=True)
    drawn = DRAWERS[kind](seed, settings)
    (folder / f"fleet-{seed}.sexp").write_text(drawn.deployment)
    (folder / "day.sexp").write_text(drawn.script)
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
        return {"seed": seed, "failed": error.decode(errors="replace")[-FAILURE_TEXT_CHARACTERS:]}
    return _campaign_row(seed, process.returncode, msgspec.json.decode(file.read_bytes()))


def _campaign_row(seed: int, exit_code: int | None, report: dict[str, Any]) -> dict[str, Any]:
    """A row of `campaign.json`, from the report of a run."""
    leases = report["leases"].values()
    return {
        "seed": seed,
        "exit": exit_code,
        "dispatchers": report["dispatchers"],
        "troubles": [t["kind"] for t in report["troubles"]],
        "broken": {breach.report_key: report[breach.report_key] for breach in Breach if report[breach.report_key]},
        "without_s": max((t["without_s"] for t in leases), default=0.0),
        "longest_without_s": max((t["longest_without_s"] for t in leases), default=0.0),
        "holders": sum(len(t["spans"]) for t in leases),
        "details": report["details"][:DETAILS_PER_SEED],
        **{name: report[name] for name in ROW_COUNTS},
    }


async def run_campaign(
    kind: str, seeds: list[int], settings: Path, out: Path, at_once: int, done: Callable[[dict[str, Any]], None]
) -> list[dict[str, Any]]:
    """Run all seeds, `at_once` at a time; a row each, in order, also in `campaign.json`.  `done` gets each row."""
    text, free_slots = settings.read_text(), asyncio.Semaphore(at_once)

    async def run_seed(seed: int) -> dict[str, Any]:
        """Run one seed once a slot is free."""
        async with free_slots:
            row = await _run_one(seed, text, out, kind)
            done(row)
            return row

    rows = list(await asyncio.gather(*(run_seed(seed) for seed in seeds)))
    (out / "campaign.json").write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")
    return rows


def summarize(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """All rows in one: sums, the worst case, and the seeds that broke a rule."""
    good = [row for row in rows if "failed" not in row]
    sums = {name: sum(row[name] for row in good) for name in SUMMED_COUNTS}
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
