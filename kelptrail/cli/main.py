"""The `kelptrail` command group and its commands.

Exit codes: see `ExitCode` in errors.py.
"""

from __future__ import annotations

import click

from .calls import invoke, poll
from .certificates import keys
from .emulator import emulate
from .loading import load, load_generator
from .operations import copies, leases, retire, usage, vrrp
from .scenarios import audit, campaign, fault_scenario, import_capture
from .serving import check, demo, edge, planner, platform, serve
from .simulation import simulate

COMMANDS = (
    *(check, serve, edge, planner, platform, demo),
    *(vrrp, usage, leases, copies, retire),
    *(invoke, poll),
    *(fault_scenario, campaign, audit, import_capture),
    *(simulate, load, load_generator),
    *(keys, emulate),
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="Minimum level of the log lines on standard error.",
)
@click.option(
    "--log-form",
    type=click.Choice(["auto", "json", "text"]),
    default="auto",
    show_default=True,
    help="JSON lines, or readable text; auto: text on a terminal.",
)
@click.pass_context
def main(context: click.Context, log_level: str, log_form: str) -> None:
    """Run a gateway for calls on workers that load functions or models on demand."""
    context.obj = {"level": log_level, "form": log_form}


for command in COMMANDS:
    main.add_command(command)
