"""Campaigns: many fault scenarios drawn from seeds, run with real processes, checked, and summarized.

`campaign.json` has a row for each run, and `summarize` adds up the rows.

A scenario of the lease campaign has five to seven dispatchers, of which three or five are acceptors, and two tasks
whose leases all dispatchers try to acquire.  Its five to seven faults begin between 2 and 10 s and last 2 to 4.5 s
each, so that usually two or three of them are active at a time.

A scenario of the replication campaign has seven dispatchers, mostly deferred calls, two faults that lose machines with
their disks (never more at once than the replicas cover), and four to six other faults, which may overlap.
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

# Length of a scenario in seconds, and the rate of its calls per second.
LEASE_RUN_S, LEASE_RUN_RATE = 16.0, 10.0
REPLICATION_RUN_S, REPLICATION_RUN_RATE = 30.0, 25.0
REPLICATION_DISPATCHERS = 7
CLOCK_RATE_BOUND = 0.01  # Deviation of a clock's rate that the drawn deployments allow
SECONDS_BETWEEN_LOSSES = 11.0  # Leaves time to replicate again after a loss
# Kinds of faults to draw from.  A kind that is listed twice is drawn twice as often.
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
# Variants of a fault kind that are drawn with their own settings: cuts of one direction only, and pauses between a
# check of a lease and the use of the lease.
FAULT_OF_VARIANT = {"one-way": "cut-peers", "looked": "pause-dispatchers"}
FAILURE_TEXT_CHARACTERS, DETAILS_PER_SEED = 400, 5
# Counts of a report that a row of `campaign.json` contains.  "acts" counts the uses of leases.
ROW_COUNTS = (
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
# Counts of the rows that the summary adds up.  "holders" counts the periods in which a dispatcher held a lease.
SUMMED_COUNTS = (
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
    """A drawn scenario: the texts of its deployment file and of its scenario file."""

    deployment: str
    script: str


class FaultExtent(NamedTuple):
    """When a fault begins, how long it lasts (both in seconds), and the share of dispatchers that it affects."""

    at: float
    duration: float
    part: float


def draw_lease_scenario(seed: int, deployment_text: str) -> DrawnScenario:
    """Draw a scenario of lease faults.  Its deployment is `deployment_text` with the drawn peers and leases."""
    random = np.random.default_rng([seed, 25])  # 25 separates these random numbers from others of the same seed
    dispatchers, acceptor_count = int(random.integers(5, 8)), int(random.choice([3, 5]))
    names = [f"dispatcher-{n}" for n in range(dispatchers)]
    acceptors = sorted(names[int(n)] for n in random.choice(dispatchers, acceptor_count, replace=False))
    length_ms = int(random.choice([1000, 1500, 2000]))
    deployment = _with_leases(deployment_text, acceptors, length_ms)
    faults = _draw_lease_faults(random, dispatchers)
    header = f"""(bad-day leases-{seed} (deployment "fleet-{seed}.sexp") (seconds {LEASE_RUN_S:g}) (workers 2)
  (dispatchers {dispatchers}) (tasks sweep tally) (load (rate {LEASE_RUN_RATE:g}) (deferred 0.2))
"""
    return DrawnScenario(deployment, header + "\n".join(faults) + ")\n")


def _with_leases(deployment_text: str, acceptors: list[str], length_ms: int) -> str:
    """Return a deployment's text with everything from `(peers` to its end replaced by these peers and leases."""
    return (
        deployment_text[: deployment_text.index("\n  (peers")]
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
        # All settings are drawn for every fault, so that its kind does not affect the later random draws.
        # Ten times the bound makes two holders of a lease at a time possible; the history checker counts these
        # separately, as `holders_two_by_clocks`.
        rate = 1 + CLOCK_RATE_BOUND * float(random.choice([1, -1, 10, -10]))
        settings_by_kind = {
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
        faults.append(_fault_form(kind, extent, settings_by_kind))
    return faults


def draw_replication_scenario(seed: int, deployment_text: str) -> DrawnScenario:
    """Draw a scenario of lost machines.  Its deployment is `deployment_text` with one replica or two."""
    random = np.random.default_rng([seed, 26])  # 26 separates these random numbers from others of the same seed
    replicas = int(random.integers(1, 3))
    first_loss = float(random.uniform(5, 8))
    losses = _draw_losses(random, first_loss, replicas)
    faults = [*losses, *_draw_replication_faults(random, first_loss)]
    header = f"""(bad-day copies-{seed} (deployment "fleet-{seed}.sexp") (seconds {REPLICATION_RUN_S:g}) (workers 3)
  (dispatchers {REPLICATION_DISPATCHERS}) (load (rate {REPLICATION_RUN_RATE:g}) (deferred 0.8))
"""
    deployment = deployment_text.replace("(copies 2)", f"(copies {replicas})")
    return DrawnScenario(deployment, header + "\n".join(faults) + ")\n")


def _draw_losses(random: np.random.Generator, first_loss: float, replicas: int) -> list[str]:
    """Draw two faults that lose machines and their disks.

    The first fault loses at most as many machines as there are replicas, the later one loses one machine.
    """
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
        # All settings are drawn for every fault, so that its kind does not affect the later random draws.
        settings_by_kind = {
            "one-way": "(one-way yes)",
            "slow-peers": f"(ms {random.integers(20, 400)}) (share 0.3)",
            "reset-peers": "(share 0.5)",
            "disk-slow": "(ms 300)",
            "clock-step": f"(ms {random.choice([60_000, -60_000])})",
            "clock-rate": f"(factor {1 + CLOCK_RATE_BOUND * float(random.choice([1, -1])):g})",
        }
        faults.append(_fault_form(kind, extent, settings_by_kind))
    return faults


def _draw_extent(random: np.random.Generator, earliest: float, dispatchers: int) -> FaultExtent:
    """Draw the extent of a fault that begins within a second after `earliest` and affects one or two dispatchers."""
    at = earliest + float(random.uniform(0, 1))
    duration = float(random.uniform(2.0, 4.5))
    part = round(float(random.choice([1, 2])) / dispatchers, 2)
    return FaultExtent(at, duration, part)


def _fault_form(kind: str, extent: FaultExtent, settings_by_kind: dict[str, str]) -> str:
    """Return a fault as a line of a scenario file, with the settings of its kind."""
    name = FAULT_OF_VARIANT.get(kind, kind)
    return (
        f"  (trouble {name} (at {extent.at:.1f}) (for {extent.duration:.1f}) (part {extent.part}) "
        f"{settings_by_kind.get(kind, '')})"
    )


SCENARIO_GENERATORS = {"leases": draw_lease_scenario, "copies": draw_replication_scenario}


async def _draw_and_run(seed: int, deployment_text: str, out: Path, kind: str) -> dict[str, Any]:
    """Draw the scenario of a seed, run it in a separate process, and return its row of `campaign.json`.

    If the run writes no report, the row has only the seed and the end of the error output, as `failed`.
    """
    folder = out / f"{seed:03d}"
    folder.mkdir(parents=True, exist_ok=True)
    scenario = SCENARIO_GENERATORS[kind](seed, deployment_text)
    (folder / f"fleet-{seed}.sexp").write_text(scenario.deployment)
    (folder / "day.sexp").write_text(scenario.script)
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
    """Return the row of `campaign.json` for a run's report.

    `without_s` and `longest_without_s` are the total and the longest time without a lease holder, each of the task with
    the most.
    """
    leases = report["leases"].values()
    return {
        "seed": seed,
        "exit": exit_code,
        "dispatchers": report["dispatchers"],
        "troubles": [fault["kind"] for fault in report["troubles"]],
        "broken": {breach.report_key: report[breach.report_key] for breach in Breach if report[breach.report_key]},
        "without_s": max((task["without_s"] for task in leases), default=0.0),
        "longest_without_s": max((task["longest_without_s"] for task in leases), default=0.0),
        "holders": sum(len(task["spans"]) for task in leases),
        "details": report["details"][:DETAILS_PER_SEED],
        **{name: report[name] for name in ROW_COUNTS},
    }


async def run_campaign(
    kind: str,
    seeds: list[int],
    deployment_file: Path,
    out: Path,
    at_once: int,
    on_row: Callable[[dict[str, Any]], None],
) -> list[dict[str, Any]]:
    """Run the scenarios of all seeds, `at_once` at a time, and return a row for each, in the order of the seeds.

    The deployment of each scenario is the content of `deployment_file` with drawn changes.  `on_row` is called with
    each row as its run ends.  The rows are also written to `campaign.json`.
    """
    deployment_text, run_limit = deployment_file.read_text(), asyncio.Semaphore(at_once)

    async def run_seed(seed: int) -> dict[str, Any]:
        """Wait until fewer than `at_once` scenarios are running, then run the one of this seed."""
        async with run_limit:
            row = await _draw_and_run(seed, deployment_text, out, kind)
            on_row(row)
            return row

    rows = list(await asyncio.gather(*(run_seed(seed) for seed in seeds)))
    (out / "campaign.json").write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")
    return rows


def summarize(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Summarize the rows.

    The result has the seeds without a report (`failed`) and those that broke a rule (`broken`), the breaches by rule,
    the sums of counts, and the longest time without a lease holder.
    """
    reported = [row for row in rows if "failed" not in row]
    sums = {name: sum(row[name] for row in reported) for name in SUMMED_COUNTS}
    breaches: dict[str, int] = {}
    for row in reported:
        for name, count in row["broken"].items():
            breaches[name] = breaches.get(name, 0) + count
    return {
        "seeds": len(rows),
        "failed": [row["seed"] for row in rows if "failed" in row],
        "broken": [row["seed"] for row in reported if row["broken"]],
        "breaches": breaches,
        **sums,
        "longest_without_s": max((row["longest_without_s"] for row in reported), default=0.0),
    }
