"""Processes of the platform's program under test: their configurations, starts and ends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

from fault_injection.endpoint_list import EndpointList
from fault_injection.run_state import ProcessKill, RunState
from fault_injection.settings import MAX_DESCRIPTORS

READY_TIMEOUT_S = 10.0
SHUTDOWN_TIMEOUT_S = 5.0
FURTHER_SIGNAL_COUNTS = (0, 0, 0, 1, 1, 4)  # choices for the number of signals after the SIGTERM of a shutdown
MAX_FURTHER_SIGNAL_DELAY_S = 0.6


class StopSignal(StrEnum):
    """The signal that ends a process."""

    TERMINATE = "TERM"
    KILL = "KILL"


class Address(NamedTuple):
    """The address at which a process listens; the port is 0 until its first start."""

    host: str
    port: int = 0


class PlatformProcesses:
    """The processes of one run, numbered from 0; `lists` contains the endpoint list of each."""

    def __init__(
        self, run: RunState, hosts: Sequence[str], lists: Sequence[EndpointList], settings: dict[str, Any]
    ) -> None:
        self._run = run
        self._lists = lists
        self._settings = settings
        self.addresses = [Address(host) for host in hosts]
        self.processes: list[asyncio.subprocess.Process | None] = [None] * len(hosts)

    def __len__(self) -> int:
        return len(self.addresses)

    def configuration(self, n: int) -> str:
        """Return the configuration of a process, with a new seed and one of its list's addresses."""
        host, port = self.addresses[n]
        endpoint_list = self._lists[n]
        return json.dumps(
            {
                "name": f"n{n}",
                "listen": f"{host}:{port}",
                "seed": f"{self._run.rng.getrandbits(60):x}",
                "limits": {"cores": 1, "memory_mb": 64, "sockets": MAX_DESCRIPTORS},
                "journal": self._run.rng.choice(endpoint_list.addresses),
                "known": {"pos": endpoint_list.entries[-1]["pos"], "entries": endpoint_list.entries},
                "settings": self._settings,
            }
        )

    def configuration_file(self, n: int) -> Path:
        """Return the file from which a process reads its configuration."""
        return self._run.folder / f"c{n}.json"

    async def start_all(self) -> None:
        """Start every process and wait until each accepts clients."""
        await asyncio.gather(*(self.start(n) for n in range(len(self))))

    async def start(self, n: int) -> None:
        """Start a process and wait until it accepts clients; record a problem if it does not."""
        if not self.addresses[n].port:
            self.addresses[n] = self._choose_address(n)
        file = self.configuration_file(n)
        file.write_text(self.configuration(n))
        with open(self._run.log_file(n), "ab") as log:
            self.processes[n] = await asyncio.create_subprocess_exec(
                *self._command(),
                env=os.environ | {"LB_CONFIG": str(file)} | self._environment(n),
                stdout=log,
                stderr=log,
            )
        await self._wait_until_ready(n)

    def _choose_address(self, n: int) -> Address:
        with socket.socket() as unused:
            unused.bind((self.addresses[n].host, 0))
            return Address(*unused.getsockname())

    def _command(self) -> Sequence[str]:
        return (sys.executable, "-m", "kelptrail.platform")

    def _environment(self, n: int) -> dict[str, str]:
        return {}

    async def _wait_until_ready(self, n: int) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.addresses[n])
                writer.close()
                return
            await asyncio.sleep(0.02)
        self._run.problems.append(f"process {n} was not ready within {READY_TIMEOUT_S} s")

    async def stop(self, n: int, stop_signal: StopSignal) -> None:
        """End a process; record a problem if it had already ended.

        After a SIGTERM, also record a problem if it exits with an error or does not exit in time.  SIGTERM may be
        followed by further signals at random."""
        process = self.processes[n]
        assert process is not None
        if process.returncode is not None:
            self._run.problems.append(f"process {n} had already ended with code {process.returncode}")
            return
        if stop_signal is StopSignal.KILL:
            self._run.kills.append(ProcessKill(n, time.monotonic()))
            process.kill()
            await process.wait()
            return
        process.send_signal(signal.SIGTERM)
        for _ in range(self._run.rng.choice(FURTHER_SIGNAL_COUNTS)):
            await asyncio.sleep(self._run.rng.random() * MAX_FURTHER_SIGNAL_DELAY_S)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(self._run.rng.choice([signal.SIGTERM, signal.SIGHUP]))
        await self._wait_for_exit(n, process)

    async def _wait_for_exit(self, n: int, process: asyncio.subprocess.Process) -> None:
        try:
            code = await asyncio.wait_for(process.wait(), SHUTDOWN_TIMEOUT_S)
        except TimeoutError:
            self._run.problems.append(f"process {n} did not exit")
            process.kill()
            return
        if code:
            self._run.problems.append(f"process {n} exited with code {code}")
