"""What every case has in common: the temporary folder, the record, the time limit and the exit code."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from . import configuration
from .dispatcher import CannotRunError, Dispatcher
from .journal import Journal
from .record import Record
from .runner import Fleet, Model, Runner

HELD, BROKEN, CANNOT_RUN = 0, 1, 2  # exit codes
TIME_LIMIT_S = 110.0


@dataclass
class Deployment:
    """A small deployment: one dispatcher, its runners and its journal service."""

    record: Record
    folder: Path  # temporary, private to this run
    fleet: Fleet
    dispatcher: Dispatcher
    address: tuple[str, int]  # where clients connect


Play = Callable[[Record, Path, bool], Awaitable[bool]]
"""Plays the case in a temporary folder, with or without its disruption; returns whether the rule was broken."""


async def deploy(
    record: Record,
    folder: Path,
    fleet: Fleet,
    runner_addresses: list[tuple[str, int]],
    zones: list[int],
    limits: dict[str, float],
    settings: dict[str, object] | None = None,
) -> Deployment:
    """Start the journal service and the dispatcher, and wait until the dispatcher is ready."""
    journal = await Journal().open()
    listen = configuration.free_address()  # last, so that no stand-in takes it
    targets = [
        configuration.target(number, address, zone)
        for number, (address, zone) in enumerate(zip(runner_addresses, zones, strict=True), 1)
    ]
    path = folder / "config.json"
    configuration.write(path, listen, journal, targets, limits, settings or configuration.settings())
    dispatcher = Dispatcher(path, listen, int(limits["sockets"]), folder)
    try:
        await dispatcher.wait_until_ready(listen)
    except BaseException:
        dispatcher.kill()
        raise
    record(f"dispatcher ready at {listen[0]}:{listen[1]}, runners {runner_addresses}")
    return Deployment(record, folder, fleet, dispatcher, listen)


async def open_runners(fleet: Fleet, count: int) -> list[tuple[str, int]]:
    """Start runners and return their addresses."""
    return [await Runner(f"runner-{number}", fleet).open() for number in range(1, count + 1)]


def new_fleet(record: Record, models: dict[str, Model]) -> Fleet:
    """Return what a group of runners shares."""
    return Fleet(record, models)


def main(case_folder: Path, play: Play) -> None:
    """Play the case of a folder and end the process with its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case_folder / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record(f"disruption: {'yes' if trouble else 'no'}")
    try:
        code = asyncio.run(_bounded(record, folder, trouble, play))
    except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as cause:
        record(f"cannot run: {cause!r}")
        code = CANNOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}[code]
    record(verdict)
    record.close()
    print(verdict)
    sys.exit(code)


async def _bounded(record: Record, folder: Path, trouble: bool, play: Play) -> int:
    loop = asyncio.get_running_loop()
    # If the run is ended from outside, it still ends the processes that it started.
    task = asyncio.current_task()
    if task is not None:
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    # Connections that end with the run are no event of the case.
    loop.set_exception_handler(lambda _, __: None)
    async with asyncio.timeout(TIME_LIMIT_S):
        return BROKEN if await play(record, folder, trouble) else HELD
