"""Scenarios and experiments in simulated time: `simulate play`, `simulate run`, `simulate compare`."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .console import print_json_line, read_deployment, read_input, read_scenario
from .errors import CommandFailedError, ExitCode, UnusableInputError
from .options import ExampleCommand, output_folder_option, seed_option

if TYPE_CHECKING:
    from kelptrail.fault_scenario.scenario import FaultScenario
    from kelptrail.simulation.settings import SimulationSettings

SHOWN_DETAILS = 20


@click.group()
def simulate() -> None:
    """Run scenarios and experiments in simulated time: the gateway's real code in an emulated cluster."""


@simulate.command("play", cls=ExampleCommand, example="kelptrail simulate play examples/bad-days/kills.sexp")
@click.argument("script")
@seed_option
@click.option("--processes", default=1, show_default=True, type=click.IntRange(1, 64), help="Number of processes.")
@click.option(
    "--network-ms", default=0.15, show_default=True, type=click.FloatRange(0.01, 1000), help="One-way latency."
)
@click.option(
    "--audit/--no-audit", "audited", default=True, show_default=True, help="Record all events and check them."
)
def play(script: str, seed: int, processes: int, network_ms: float, audited: bool) -> None:
    """Run a fault scenario SCRIPT in simulated time and check its history.  Exit 6 if a rule is broken."""
    from kelptrail.load.results import figures
    from kelptrail.simulation.settings import SimulationSettings

    scenario = read_scenario(script)
    _check_processes(scenario, processes)
    started = time.perf_counter()
    result, events = _play(scenario, seed, SimulationSettings(network_ms=network_ms), processes, audited)
    took_s = time.perf_counter() - started
    row = figures(scenario.seconds, scenario.last_fault_ends, result)
    timing = {"took_s": round(took_s, 1), "simulated_s_a_second": round(scenario.seconds / took_s, 3)}
    if not audited:
        print_json_line(name=scenario.name, seed=seed, **row, **timing)
        return
    _check_and_exit(scenario.name, seed, events, row, timing)


def _check_processes(scenario: FaultScenario, processes: int) -> None:
    """Raise `UnusableInputError` if the scenario cannot be distributed over this number of processes."""
    if processes > 1 and scenario.planners:
        raise UnusableInputError("a scenario with planners runs in one process only")
    if processes > scenario.dispatchers or processes > (scenario.workers + 1) // 2:
        raise UnusableInputError(
            f"{processes} processes are too many for {scenario.dispatchers} dispatchers, {scenario.workers} workers: "
            "at most one for each dispatcher, and one for every two workers, rounded up"
        )


def _play(
    scenario: FaultScenario, seed: int, settings: SimulationSettings, processes: int, audited: bool
) -> tuple[Any, list[dict[str, Any]]]:
    """Run a simulation and return its result and events.  Raises `CommandFailedError` if one of its processes fails."""
    from kelptrail.simulation.cluster import SimulatedCluster, result_of
    from kelptrail.simulation.sharding import ShardError, play_sharded

    deployment = read_deployment(scenario.deployment)
    if processes == 1:
        cluster = SimulatedCluster(scenario, deployment, seed, settings, audited)
        cluster.run()
        return result_of(cluster), sorted(cluster.events, key=lambda event: event["t"])
    try:
        return play_sharded(scenario, deployment, seed, settings, processes, audited)
    except ShardError as cause:
        raise CommandFailedError(str(cause)) from None


def _check_and_exit(
    name: str, seed: int, events: list[dict[str, Any]], row: dict[str, Any], timing: dict[str, float]
) -> None:
    """Check the history, print the verdict with the figures, and exit with the matching code."""
    from kelptrail.fault_scenario.report import latencies
    from kelptrail.history_checker.checker import check_history

    verdict = check_history(events)
    print_json_line(
        name=name,
        seed=seed,
        **verdict.counts(),
        broken=verdict.broken,
        details=verdict.details[:SHOWN_DETAILS],
        latency_ms=latencies(events),
        served_share=row["served_share"],
        recovery_s=row["recovery_s"],
        **timing,
    )
    sys.exit(ExitCode.RULE_BROKEN if verdict.broken else ExitCode.COMPLETED)


@simulate.command(
    "run", cls=ExampleCommand, example="kelptrail simulate run examples/experiments/ramp.sexp --out out/r"
)
@click.argument("experiment")
@output_folder_option
@click.option("--processes", default=4, show_default=True, type=click.IntRange(1, 256))
def run(experiment: str, out: Path, processes: int) -> None:
    """Run an EXPERIMENT's variants, points and seeds in parallel; write tables, plots and a report."""
    from kelptrail.load.results import read
    from kelptrail.simulation.experiment import load
    from kelptrail.simulation.experiment import run as run_all
    from kelptrail.simulation.experiment_report import write_report

    count = sum(1 for _ in read_input(load, experiment).runs())
    with click.progressbar(length=count, label="runs", file=sys.stderr) as bar:
        runs = run_all(experiment, out, processes, lambda _row: bar.update(1))
    file = write_report(out, runs, read(out, "seconds"), read(out, "spread"))
    print_json_line(runs=len(runs), report=str(file))


@simulate.command(
    "compare", cls=ExampleCommand, example="kelptrail simulate compare out/ramp --first as-is --second other"
)
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
@click.option("--first", required=True, help="Name of the first variant.")
@click.option("--second", required=True, help="Name of the variant to compare with the first.")
@click.option(
    "--other-folder",
    type=click.Path(path_type=Path, exists=True),
    help="Folder with the second variant's runs, if another.",
)
def compare(folder: Path, first: str, second: str, other_folder: Path | None) -> None:
    """Print for each point and figure whether the second variant is better, worse or not told apart from the first.

    They are not told apart if the 95 % confidence interval of their mean difference contains zero.
    """
    from dataclasses import asdict

    from kelptrail.load.results import read_runs
    from kelptrail.simulation.compare import compare as compare_variants

    first_runs = [row for row in read_runs(folder) if row["variant"] == first]
    second_runs = [row for row in read_runs(other_folder or folder) if row["variant"] == second]
    try:
        differences = compare_variants(first_runs, second_runs)
    except ValueError as cause:
        raise CommandFailedError(str(cause)) from None
    for difference in differences:
        print_json_line(**asdict(difference))
