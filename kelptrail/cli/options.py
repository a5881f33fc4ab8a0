"""Option decorators and the command class that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

Decorator = Callable[[Any], Any]


class ExampleCommand(click.Command):
    """A command whose help ends with an example."""

    def __init__(self, *args: Any, example: str = "", **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        if example:
            self.epilog = f"Example: {example}"


def combined(*decorators: Decorator) -> Decorator:
    """Combine several decorators into one; the help lists their options in this order."""

    def decorate(function: Any) -> Any:
        for decorator in reversed(decorators):
            function = decorator(function)
        return function

    return decorate


def peer_addresses(_context: click.Context, parameter: click.Parameter, values: tuple[str, ...]) -> dict[str, str]:
    """Convert repeated NAME=ADDRESS options to a mapping (click callback)."""
    addresses: dict[str, str] = {}
    for assignment in values:
        name, _, address = assignment.partition("=")
        if not name or not address:
            raise click.BadParameter(f"{assignment}: expected NAME=ADDRESS", param=parameter, param_hint="--peer")
        addresses[name] = address
    return addresses


host_option = click.option("--host", default="127.0.0.1", show_default=True)
port_option = click.option("--port", default=0, show_default=True, help="Port to listen on; 0: any free port.")
# Stop at the end of standard input, so that a child process ends with its parent.
with_stdin_option = click.option("--with-stdin", "stop_at_stdin_end", is_flag=True, hidden=True)
endpoint_service_option = click.option(
    "--roster", "endpoint_service", required=True, help="Address of the endpoint service."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print the complete status as JSON.")
output_folder_option = click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="Folder for the results."
)
seed_option = click.option("--seed", default=1, show_default=True)
