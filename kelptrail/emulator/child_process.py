"""Child process of a cluster: its command line, its start or restart on the same ports, and its ready line.

Each process runs in its own session, exits when its standard input is closed, and prints one line of JSON,
`{"ready": true, "address": ...}`, once it is ready.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

READY_TIMEOUT_S = 30


class ProcessStartError(RuntimeError):
    """A child process did not print a line of JSON in time, or exited before."""


@dataclass(slots=True, eq=False)
class Process:
    """One child process; `ready_info` is its decoded ready line, with its addresses."""

    name: str
    arguments: list[str]
    process: asyncio.subprocess.Process | None = None
    ready_info: dict[str, Any] = field(default_factory=dict)
    starts: int = 0
    stop_requested: bool = False

    @property
    def running(self) -> bool:
        """True if the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def option(self, name: str) -> str:
        """Return the value of an option in the command line.  Raises `ValueError` if the option is missing."""
        return self.arguments[self.arguments.index(name) + 1]

    def start_arguments(self) -> list[str]:
        """Return the arguments for the next start.

        Once a start has become ready, restarts use its ports and omit `--warm`, so that a worker has a slow start.
        """
        if not self.ready_info:
            return list(self.arguments)
        arguments = [*self.arguments, "--port", _port_of(self.ready_info["address"])]
        # `grpc` and `peers` are null in the ready line of a dispatcher without them.
        if self.ready_info.get("grpc"):
            arguments += ["--grpc-port", _port_of(self.ready_info["grpc"])]
        if self.ready_info.get("peers"):
            arguments += ["--peers-port", _port_of(self.ready_info["peers"])]
        if "control" in self.ready_info:
            arguments += ["--control-port", _port_of(self.ready_info["control"])]
        return [argument for argument in arguments if argument != "--warm"]


def _port_of(address: str) -> str:
    return address.rpartition(":")[2]


async def spawn(child: Process, logs: Path | None, quiet: bool) -> asyncio.subprocess.Process:
    """Start or restart `child`, and return its operating-system process.

    Its standard error is appended to a file in `logs`.  Without `logs`, it is discarded if `quiet` is set or the
    command is `kelptrail emulate`, else inherited.
    """
    arguments = child.start_arguments()
    child.starts, child.stop_requested = child.starts + 1, False
    if logs is not None:
        stderr: Any = open(logs / f"{child.name}.log", "ab")  # noqa: SIM115
    else:
        stderr = subprocess.DEVNULL if quiet or arguments[0] == "emulate" else None
    process = child.process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "kelptrail",
        *arguments,
        "--with-stdin",
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=stderr,
        start_new_session=True,
    )
    if logs is not None:
        stderr.close()
    return process


async def read_ready_line(child: Process, process: asyncio.subprocess.Process) -> None:
    """Read the ready line of a process.  Raises `ProcessStartError` if it is late, missing or not JSON."""
    assert process.stdout is not None
    try:
        line = await asyncio.wait_for(process.stdout.readline(), READY_TIMEOUT_S)
        child.ready_info = msgspec.json.decode(line)
    except (TimeoutError, msgspec.DecodeError):
        raise ProcessStartError(f"{child.name} did not print a line of JSON within {READY_TIMEOUT_S} s") from None


def memory_kb(pid: int) -> int:
    """Return the resident memory of a process in KiB, from /proc/PID/statm (proc(5))."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024
