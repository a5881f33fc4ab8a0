"""Fault scenarios and checks of their histories: `fault-scenario`, `campaign`, `audit`, `import-capture`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .console import print_json, read_deployment, read_scenario, run_async
from .errors import ExitCode, UnusableInputError
from .options import ExampleCommand, output_folder_option, seed_option

SHOWN_DETAILS = 20
_OMITTED_FROM_SUMMARY = ("timeline", "details", "troubles")


@click.command(
    "fault-scenario",
    cls=ExampleCommand,
    example="kelptrail fault-scenario examples/bad-days/first.sexp --seed 1 --out out/first",
)
@click.argument("script")
@seed_option
@output_folder_option
@click.pass_context
def fault_scenario(context: click.Context, script: str, seed: int, out: Path) -> None:
    """Run a fault scenario on real processes and check its history.  Exit 6 if a rule was broken."""
    from kelptrail.fault_scenario.report import write_report
    from kelptrail.fault_scenario.runner import ScenarioRunner
    from kelptrail.history_checker.checker import check_history, read_captures

    scenario = read_scenario(script)
    deployment = read_deployment(scenario.deployment)
    try:
        runner = ScenarioRunner(scenario, deployment, seed, out, context.obj["level"], script)
    except ValueError as cause:
        raise UnusableInputError(f"{script}: {cause}") from None
    observations = run_async(runner.run())
    events = read_captures(out / "captures")
    report = write_report(out, scenario.name, seed, events, check_history(events), observations)
    print_json({key: value for key, value in report.items() if key not in _OMITTED_FROM_SUMMARY})
    for line in report["details"][:SHOWN_DETAILS]:
        click.echo(line, err=True)
    sys.exit(ExitCode.RULE_BROKEN if report["broken"] else ExitCode.COMPLETED)


@click.command(cls=ExampleCommand, example="kelptrail campaign examples/fleet.sexp --seeds 100 --out out/campaign")
@click.argument("settings", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--seeds", default=20, show_default=True, type=click.IntRange(1, 10_000), help="Number of seeds, each a run."
)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--at-once", default=3, show_default=True, type=click.IntRange(1, 64))
@output_folder_option
def campaign(settings: Path, seeds: int, first: int, at_once: int, out: Path) -> None:
    """Run random fault scenarios on real processes.  Exit 1 if a run failed, otherwise 6 if any of them broke a rule.

    The scenarios test replication if the settings enable it, and otherwise leases.
    """
    from kelptrail.fault_scenario.campaign import run_campaign, summarize

    peers = read_deployment(str(settings)).peers
    kind = "copies" if peers is not None and peers.replicas else "leases"
    with click.progressbar(length=seeds, label="runs", file=sys.stderr) as bar:
        rows = run_async(
            run_campaign(kind, list(range(first, first + seeds)), settings, out, at_once, lambda _row: bar.update(1))
        )
    totals = summarize(rows)
    print_json(totals)
    for row in rows:
        for line in [row["failed"]] if "failed" in row else row["details"]:
            click.echo(f"{row['seed']}: {line}", err=True)
    if totals["failed"]:
        sys.exit(ExitCode.FAILED)
    sys.exit(ExitCode.RULE_BROKEN if totals["broken"] else ExitCode.COMPLETED)


@click.command(cls=ExampleCommand, example="kelptrail audit out/first/captures")
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
def audit(folder: Path) -> None:
    """Check the captures of an earlier run.  Exit 6 if a rule was broken."""
    from kelptrail.history_checker.checker import check_history, read_captures

    try:
        verdict = check_history(read_captures(folder))
    except ValueError as cause:
        raise UnusableInputError(f"{folder}: {cause}") from None
    print_json(verdict.counts())
    for line in verdict.details:
        click.echo(line, err=True)
    sys.exit(ExitCode.RULE_BROKEN if verdict.broken else ExitCode.COMPLETED)


@click.command(
    "import-capture",
    cls=ExampleCommand,
    example="kelptrail import-capture day.tap --name day --scale 0.3 --out out/day",
)
@click.argument("tap", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--name", default="turned", show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Arrival rate, as a multiple of the captured one.")
@click.option("--workers", default=8, show_default=True)
@click.option("--dispatchers", default=3, show_default=True)
@output_folder_option
def import_capture(tap: Path, name: str, scale: float, workers: int, dispatchers: int, out: Path) -> None:
    """Create a deployment and a fault scenario from TAP, a capture of the bench (`--tap FILE`)."""
    from kelptrail.fault_scenario.import_capture import import_capture as convert

    try:
        deployment, scenario = convert(tap, name, scale, workers, dispatchers)
    except (ValueError, KeyError) as cause:
        raise UnusableInputError(f"{tap}: {cause}") from None
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{name}.sexp").write_text(deployment)
    scenario_file = out / f"{name}-day.sexp"
    scenario_file.write_text(scenario)
    click.echo(str(scenario_file))
