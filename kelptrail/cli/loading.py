"""Load tests of running dispatchers: `load`, and the hidden `load-generator`, whose processes `load` starts."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import msgspec

from .console import print_json_line, read_deployment, read_scenario, run_async
from .errors import CommandFailedError
from .options import ExampleCommand, output_folder_option, seed_option


@click.command(
    cls=ExampleCommand,
    example="kelptrail load examples/bad-days/steady.sexp --at 127.0.0.1:8080 --processes 2 --out out/load",
)
@click.argument("script")
@click.option("--at", "addresses", multiple=True, required=True, help="Address of a dispatcher; repeatable.")
@click.option(
    "--control",
    "controls",
    multiple=True,
    help="Control address of a dispatcher, to read its counts of attempts and load orders.",
)
@output_folder_option
@click.option("--processes", default=2, show_default=True, type=click.IntRange(1, 64))
@seed_option
@click.option("--variant", default="as-is", show_default=True, help="Name of this run in comparisons.")
@click.option(
    "--churn",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Share of attempts after which the connection is closed.",
)
@click.option("--connections", default=2000, show_default=True, help="Maximum number from one process to one address.")
def load(script: str, controls: tuple[str, ...], out: Path, variant: str, **values: Any) -> None:
    """Run the load of the fault scenario file SCRIPT, without its faults, on running dispatchers.

    Write the same tables as `simulate`.
    """
    from kelptrail.load.coordinator import GeneratorError, run_generators, write_results
    from kelptrail.load.generator_settings import GeneratorSettings

    scenario = read_scenario(script)
    settings = GeneratorSettings(
        values["addresses"], 0, values["processes"], values["seed"], values["churn"], values["connections"]
    )
    try:
        result = run_async(run_generators(script, scenario, settings, list(controls)))
    except GeneratorError as cause:
        raise CommandFailedError(str(cause)) from None
    key_columns = {"experiment": scenario.name, "variant": variant, "point": "", "value": 0.0, "seed": values["seed"]}
    print_json_line(**write_results(out, key_columns, scenario, result))


@click.command("load-generator", hidden=True)
@click.argument("script")
@click.option("--at", "addresses", multiple=True)
# Start of the load, in ms of the monotonic clock.
@click.option("--start", type=float)
# Index of this process, and the number of processes.
@click.option("--number", type=int)
@click.option("--of", type=int)
@click.option("--seed", type=int)
# Share of attempts after which the connection is closed.
@click.option("--churn", type=float)
# Maximum number of connections to one address.
@click.option("--connections", type=int)
def load_generator(script: str, start: float, **values: Any) -> None:
    """Generate one process's share of the load and print its counters."""
    from kelptrail.load.generator import LoadGenerator
    from kelptrail.load.generator_settings import GeneratorSettings

    scenario = read_scenario(script)
    settings = GeneratorSettings(
        values["addresses"], values["number"], values["of"], values["seed"], values["churn"], values["connections"]
    )

    async def generate() -> None:
        deployment = read_deployment(scenario.deployment)
        counters = await LoadGenerator(scenario, deployment, settings, start).run()
        print_json_line(**msgspec.to_builtins(counters.pack()))

    run_async(generate())
