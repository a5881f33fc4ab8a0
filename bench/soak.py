"""Soak test of many processes of the platform's program on loopback.

    python bench/soak.py --seeds 20 --first 1

The processes run between workers, proxies, endpoint lists and clients of the soak.  Two or three faults at a time are
injected, among them signals, failing system calls and stepped clocks.  The soak checks what passed over the sockets and
the violations that the processes log.

Each seed is one run.  Its first half is quiet and starts without faults, its second half is busy.  The seed determines
the random choices, but not their timing.  The exit code is 1 if a problem was found.  System calls fail and clocks are
stepped by a library that the soak builds from bench/soak_shim.c; without a C compiler the soak prints a note, and these
two kinds of faults have no effect.
"""

from __future__ import annotations

import argparse
import asyncio
import resource
import shutil
import sys
import tempfile
from pathlib import Path

import uvloop
from fault_injection.captured_attempts import AttemptCapture
from fault_injection.clients import Clients
from fault_injection.endpoint_list import EndpointList
from fault_injection.loop_delay import LoopDelayMonitor
from fault_injection.proxied_workers import ProxiedWorkers
from fault_injection.run_state import RunState
from fault_injection.settings import settings
from fault_injection.slow_start_check import SLOW_START_CAPACITY, SLOW_START_S
from fault_injection.soak_checks import SoakChecks
from fault_injection.soak_faults import LISTED_WORKERS, SoakFaults
from fault_injection.soak_processes import SoakProcesses
from fault_injection.system_calls import build_library, find_compiler

LIMITS_MS = (1, 5, 20, 60, 300, 700, 1500)  # time limits of requests
PROCESSES = 24
QUIET_CLIENTS, FURTHER_BUSY_CLIENTS = 6, 24
# Upper bounds of the pause of a client between two connections.
QUIET_CLIENT_PAUSE_S, BUSY_CLIENT_PAUSE_S = 0.1 / 0.3, 0.1 / 2.0
QUIET_FAULTS, BUSY_FAULTS = 2, 3  # faults at the same time
FAULT_FREE_SHARE = 0.4  # share of the quiet half before its first fault
CROWD_EVERY, CROWD_CLIENTS = 4, 60  # seeds that are multiples of 4 have 60 more clients in their busy half
MIN_DESCRIPTORS = 16_384  # descriptor limit to which this program raises its own
SHOWN_PROBLEMS = 20  # per run


class SoakRun:
    """The run of one seed."""

    def __init__(self, seed: int, seconds: float, folder: Path, processes: int, library: Path | None) -> None:
        self._half_s = seconds / 2
        self.state = RunState(seed, folder)
        self.loop_delays = LoopDelayMonitor()
        capture = AttemptCapture()
        self.workers = ProxiedWorkers(self.state, processes, capture)
        self.lists = [self._endpoint_list(n) for n in range(processes)]
        hosts = [f"127.{seed // 200 % 200}.{20 + seed % 200}.{n + 1}" for n in range(processes)]
        platform_settings = settings(SLOW_START_CAPACITY, SLOW_START_S)
        self.processes = SoakProcesses(self.state, hosts, self.lists, platform_settings, library, self.loop_delays)
        self.faults = SoakFaults(self.state, self.processes, self.workers, self.lists)
        self.checks = SoakChecks(self.state, capture, self.processes, self.faults, self.loop_delays)
        self._clients = Clients(self.state, self.processes, LIMITS_MS, QUIET_CLIENT_PAUSE_S)

    def _endpoint_list(self, process: int) -> EndpointList:
        return EndpointList(self.state, lambda worker: self.workers.proxied_port(process, worker))

    async def start(self) -> None:
        """Start workers, endpoint lists and processes."""
        for _ in range(LISTED_WORKERS):
            await self.workers.open()
        for endpoint_list in self.lists:
            await endpoint_list.open()
            endpoint_list.set_initial(LISTED_WORKERS)
        await self.processes.start_all()

    async def execute(self) -> None:
        """Run everything, then check what was observed; problems are in `state.problems`."""
        delay_task = asyncio.create_task(self.loop_delays.watch())
        await self.start()
        clients = [asyncio.create_task(self._clients.run_one()) for _ in range(QUIET_CLIENTS)]
        await asyncio.sleep(self._half_s * FAULT_FREE_SHARE)
        outage_task = asyncio.create_task(self.faults.drain_in_outage())
        await self.faults.inject(self._half_s * (1 - FAULT_FREE_SHARE), QUIET_FAULTS)
        self._clients.max_pause_s = BUSY_CLIENT_PAUSE_S
        clients += [asyncio.create_task(self._clients.run_one()) for _ in range(FURTHER_BUSY_CLIENTS)]
        if self.state.seed % CROWD_EVERY == 0:
            clients += [asyncio.create_task(self._clients.run_one()) for _ in range(CROWD_CLIENTS)]
        await asyncio.gather(self.faults.replace_worker(), self.faults.inject(self._half_s, BUSY_FAULTS), outage_task)
        self.state.running = False
        await asyncio.gather(*clients)
        for control in self.processes.controls:
            control.stop_failures()
        await self.processes.stop_all()
        await asyncio.sleep(0.2)  # time for the connections to the endpoint lists to end
        delay_task.cancel()
        self.checks.check_all()


def run_seed(seed: int, seconds: float, processes: int, keep: Path | None = None) -> SoakRun:
    """Execute one run; its problems are in `state.problems`.  If `keep` is given, the logs stay in a subfolder."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) if keep is None else keep / f"seed{seed}"
        if keep is not None:
            shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True, exist_ok=True)
        run = SoakRun(seed, seconds, folder, processes, build_library(folder))
        try:
            uvloop.run(run.execute())
        finally:
            run.processes.release()
    return run


def report(seed: int, run: SoakRun) -> None:
    """Print one line on a run, and its first problems."""
    problems = run.state.problems
    print(
        f"seed {seed}: {len(run.state.requests)} requests, answers {run.state.answer_counts()}, "
        f"{run.checks.unanswered_at_close} unanswered at a close, faults {dict(run.faults.counts)}, "
        f"loop delay {run.loop_delays.max_delay_s():.2f} s, {len(problems)} problems",
        flush=True,
    )
    for problem in problems[:SHOWN_PROBLEMS]:
        print("   ", problem, flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds, each a run")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=10.0, help="duration of each run")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    parser.add_argument("--keep", type=Path, help="keep the logs of the processes in this folder")
    options = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, MIN_DESCRIPTORS)), hard))
    if find_compiler() is None:
        print("no C compiler: system calls do not fail and clocks are not stepped in this run")
    runs_with_problems = requests = 0
    for seed in range(options.first, options.first + options.seeds):
        run = run_seed(seed, options.seconds, options.processes, options.keep)
        requests += len(run.state.requests)
        runs_with_problems += bool(run.state.problems)
        report(seed, run)
    print(f"{requests} requests on {options.seeds} runs, {runs_with_problems} runs with a problem")
    return 1 if runs_with_problems else 0


if __name__ == "__main__":
    sys.exit(main())
