"""Platform processes of the soak test.

Their file descriptors are limited, their system calls fail at random, and the duration of their shutdowns is checked.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from fault_injection.endpoint_list import EndpointList
from fault_injection.loop_delay import LoopDelayMonitor
from fault_injection.processes import Address, PlatformProcesses, StopSignal
from fault_injection.run_state import RunState
from fault_injection.settings import BUSY_MACHINE_SLACK_S, MAX_DESCRIPTORS
from fault_injection.system_calls import SystemCallControl

FIRST_PORT = 20_000
# Earliest SIGKILL after SIGTERM, by the protocol: 0.7 s (kelptrail/dispatch/shutdown.py) plus the longest deadline in
# the settings, 2 s.
MAX_SHUTDOWN_S = 0.7 + 2.0


class Shutdown(NamedTuple):
    """The times at which a graceful shutdown of a process was requested and at which the process had exited."""

    signalled_at: float
    exited_at: float


class SoakProcesses(PlatformProcesses):
    """Platform processes that preload the library that makes system calls fail, if it could be built.

    Each process has its own control file."""

    def __init__(
        self,
        run: RunState,
        hosts: Sequence[str],
        lists: Sequence[EndpointList],
        settings: dict[str, Any],
        library: Path | None,
        loop_delays: LoopDelayMonitor,
    ) -> None:
        super().__init__(run, hosts, lists, settings)
        self._library = library
        self._loop_delays = loop_delays
        self.controls = [SystemCallControl(run.folder / f"control{n}", run.seed * 1000 + n) for n in range(len(hosts))]
        self.restarting: set[int] = set()
        self.started_with_stepped_clock: set[int] = set()
        self.shutdowns: dict[int, list[Shutdown]] = collections.defaultdict(list)

    async def start(self, n: int) -> None:
        """Start a process with its control file and wait until it accepts clients."""
        if self.controls[n].clock_step_s:
            self.started_with_stepped_clock.add(n)
        await super().start(n)

    def _choose_address(self, n: int) -> Address:
        return Address(self.addresses[n].host, FIRST_PORT + n)

    def _command(self) -> Sequence[str]:
        return ("/bin/sh", "-c", f"ulimit -n {MAX_DESCRIPTORS}; exec {sys.executable} -m kelptrail.platform")

    def _environment(self, n: int) -> dict[str, str]:
        if self._library is None:
            return {}
        return {"LD_PRELOAD": str(self._library), "SOAK_CONTROL": str(self.controls[n].path)}

    async def restart(self, n: int) -> None:
        """End a process by a random signal and start it again, unless it is already being restarted."""
        if n in self.restarting:
            return
        self.restarting.add(n)
        try:
            signals = (StopSignal.TERMINATE, StopSignal.TERMINATE, StopSignal.TERMINATE, StopSignal.KILL)
            await self.stop(n, self._run.rng.choice(signals))
            await self.start(n)
        finally:
            self.restarting.discard(n)

    async def stop(self, n: int, stop_signal: StopSignal) -> None:
        """End a process; record a problem if a graceful shutdown takes too long."""
        signalled_at = time.monotonic()
        process = self.processes[n]
        kill_task = None
        if stop_signal is StopSignal.TERMINATE and process is not None:
            kill_task = asyncio.create_task(self._kill_at_shutdown_limit(process, signalled_at))
        await super().stop(n, stop_signal)
        if kill_task is not None:
            kill_task.cancel()
        if stop_signal is StopSignal.KILL:
            return
        exited_at = time.monotonic()
        self.shutdowns[n].append(Shutdown(signalled_at, exited_at))
        slack_s = BUSY_MACHINE_SLACK_S + self._loop_delays.max_delay_s(signalled_at, exited_at)
        if exited_at - signalled_at > MAX_SHUTDOWN_S + slack_s:
            self._run.problems.append(f"process {n} took {exited_at - signalled_at:.2f} s to exit")

    async def _kill_at_shutdown_limit(self, process: asyncio.subprocess.Process, signalled_at: float) -> None:
        """Kill a process at the earliest time after SIGTERM at which its host may send SIGKILL.

        Requests in flight then get no answer.  The largest delay of this program's own loop is added to the time, as
        the processes were delayed by about as much."""
        await asyncio.sleep(MAX_SHUTDOWN_S)
        await asyncio.sleep(self._loop_delays.max_delay_s(signalled_at, time.monotonic()))
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    async def stop_all(self) -> None:
        """End every process by SIGTERM."""
        await asyncio.gather(*(self.stop(n, StopSignal.TERMINATE) for n in range(len(self))))

    def reload(self, n: int) -> None:
        """Send SIGHUP, unless the process has ended or is being restarted."""
        process = self.processes[n]
        if process is not None and process.returncode is None and n not in self.restarting:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGHUP)

    def release(self) -> None:
        """Kill the remaining processes and close the control files."""
        for process in self.processes:
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for control in self.controls:
            control.close()
