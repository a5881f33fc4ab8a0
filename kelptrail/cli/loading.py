"""Load tests of running dispatchers: `load`, and the hidden `load-generator`, which runs one of its processes."""

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
    help="Control address of a dispatcher, to read its attempts and load orders.",
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
    help="Share of calls after which the connection is closed.",
)
@click.option("--connections", default=2000, show_default=True, help="Maximum number from one process to one address.")
def load(script: str, controls: tuple[str, ...], out: Path, variant: str, **values: Any) -> None:
    """Run a SCRIPT's load, without its faults, on running dispatchers; write the same tables as `simulate`."""
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
    identity = {"experiment": scenario.name, "variant": variant, "point": "", "value": 0.0, "seed": values["seed"]}
    print_json_line(**write_results(out, identity, scenario, result))


@click.command("load-generator", hidden=True)
@click.argument("script")
@click.option("--at", "addresses", multiple=True)
@click.option("--start", type=float)
@click.option("--number", type=int)
@click.option("--of", type=int)
@click.option("--seed", type=int)
@click.option("--churn", type=float)
@click.option("--connections", type=int)
def load_generator(script: str, start: float, **values: Any) -> None:
    """Run one process of `load`."""
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
