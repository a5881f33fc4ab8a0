"""Functions shared by the commands: event loop, input files, output, logs and stop signals."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import threading
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, TypeVar

import click
import msgspec

from .errors import UnusableInputError

if TYPE_CHECKING:
    from kelptrail.fault_scenario.scenario import FaultScenario
    from kelptrail.settings.deployment import Deployment

T = TypeVar("T")

STDIN_READ_BYTES = 4096


def run_async(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a new uvloop event loop."""
    import uvloop

    return uvloop.run(main)


def read_input(load: Callable[[str], T], file: str) -> T:
    """Load a file with `load`.  Raises `UnusableInputError` with all errors in it, or why it is unreadable."""
    from kelptrail.settings.reader import SettingsError

    try:
        return load(file)
    except SettingsError as cause:
        faults = [str(fault) for fault in cause.faults]
        raise UnusableInputError("\n".join([*faults, f"{len(faults)} faults"])) from None
    except OSError as cause:
        raise UnusableInputError(f"{file}: {cause.strerror}") from None


def read_deployment(file: str) -> Deployment:
    """Read and check a deployment file.  Raises `UnusableInputError`."""
    from kelptrail.settings.deployment import load

    return read_input(load, file)


def read_scenario(file: str) -> FaultScenario:
    """Read and check a fault scenario file.  Raises `UnusableInputError`."""
    from kelptrail.fault_scenario.scenario import load_scenario

    return read_input(load_scenario, file)


def print_json_line(**fields: Any) -> None:
    """Print one JSON line on standard output and flush it, because a parent process may wait for it."""
    sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
    sys.stdout.flush()


def print_json(value: Any) -> None:
    """Print a value as indented JSON on standard output."""
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def start_log(context: click.Context, **bound: Any) -> Any:
    """Configure logging from the group's options and return a logger with the fields `bound` in every line."""
    from .logs import configure_logging

    return configure_logging(context.obj["level"], context.obj["form"], **bound)


def call_at_end_of_stdin(stop: Callable[[], None]) -> None:
    """Call `stop` in the running loop when standard input ends, so that a child ends with its parent."""
    loop = asyncio.get_running_loop()

    def watch() -> None:
        while os.read(0, STDIN_READ_BYTES):
            pass
        with contextlib.suppress(RuntimeError):  # the loop is already closed
            loop.call_soon_threadsafe(stop)

    threading.Thread(target=watch, daemon=True).start()


def stop_event_on_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    return stop


async def wait_until_stopped(stop_at_stdin_end: bool) -> None:
    """Return on SIGTERM, on SIGINT or, if `stop_at_stdin_end`, at the end of standard input."""
    stop = stop_event_on_signals()
    if stop_at_stdin_end:
        call_at_end_of_stdin(stop.set)
    await stop.wait()
