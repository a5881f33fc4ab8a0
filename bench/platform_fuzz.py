"""Seeded fuzz test of the platform's program.

    python bench/platform_fuzz.py --days 20 --seed 1

The program's processes run between clients, workers and an endpoint list that behave at random, and receive random
signals.  What passed over the sockets is checked against the five rules (kelptrail/dispatch/safety.py) and two further
conditions; the checks are in fault_injection/request_checks.py and fault_injection/fuzz_checks.py.

A run takes some seconds.  The seed determines the random choices, but not their timing.  The exit code is 1 if a
problem was found.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import signal
import sys
import tempfile
import time
from enum import StrEnum
from pathlib import Path

import uvloop
from fault_injection.clients import Clients
from fault_injection.endpoint_list import EndpointChange, EndpointList, EndpointState
from fault_injection.fuzz_checks import FuzzRequestChecks
from fault_injection.processes import PlatformProcesses, StopSignal
from fault_injection.request_checks import DRAINED_WORKER, check_run
from fault_injection.run_state import RunState, WorkerAttempt
from fault_injection.settings import settings
from fault_injection.workers import FakeWorkers

LIMITS_MS = (300, 700, 1500)
WORKERS = 4
LISTED_WORKERS = 3  # initially; the last worker is listed when the first drains
NEW_ENDPOINT_ID = 9
CLIENTS = 10
PROCESSES = 3
MAX_CLIENT_PAUSE_S = 0.05
SHOWN_PROBLEMS = 20  # per run


class ProcessEvent(StrEnum):
    """What happens to a process: a reload, a reload of a half-written configuration, or a restart after a signal."""

    RELOAD = "HUP"
    RELOAD_HALF_WRITTEN = "half"
    TERMINATE = "TERM"
    KILL = "KILL"


PROCESS_EVENTS = [
    ProcessEvent.RELOAD,
    ProcessEvent.RELOAD,
    ProcessEvent.RELOAD_HALF_WRITTEN,
    ProcessEvent.TERMINATE,
    ProcessEvent.KILL,
]
STOP_SIGNALS = {ProcessEvent.TERMINATE: StopSignal.TERMINATE, ProcessEvent.KILL: StopSignal.KILL}


class FuzzRun:
    """The run of one seed."""

    def __init__(self, seed: int, seconds: float, folder: Path, processes: int) -> None:
        self.state = RunState(seed, folder)
        self.event_counts: collections.Counter[str] = collections.Counter()
        self._seconds = seconds
        self._workers = FakeWorkers(self.state)
        self._list = EndpointList(
            self.state, lambda worker: self._workers.ports[worker], stalls_after_truncated_event=True
        )
        hosts = [f"127.0.{7 + seed % 200}.{n + 1}" for n in range(processes)]
        self._processes = PlatformProcesses(self.state, hosts, [self._list] * processes, settings())
        self._clients = Clients(self.state, self._processes, LIMITS_MS, MAX_CLIENT_PAUSE_S)

    async def execute(self) -> None:
        """Run everything, then check what was observed; problems are in `state.problems`."""
        for _ in range(WORKERS):
            await self._workers.open()
        await self._list.open()
        self._list.set_initial(LISTED_WORKERS)
        await self._processes.start_all()
        tasks = [asyncio.create_task(self._clients.run_one()) for _ in range(CLIENTS)]
        tasks += [asyncio.create_task(self._disturb_process(n)) for n in range(len(self._processes))]
        await self._replace_worker()
        self.state.running = False
        await asyncio.gather(*tasks)
        for n in range(len(self._processes)):
            await self._processes.stop(n, StopSignal.TERMINATE)
        await asyncio.sleep(0.2)  # time for the connections to the endpoint list to end
        attempts = [WorkerAttempt(call.at, call.worker) for calls in self.state.calls.values() for call in calls]
        check_run(self.state, FuzzRequestChecks(self.state).problems_of, attempts)

    async def _replace_worker(self) -> None:
        """Drain the first worker, list a new one, and later remove the first, spread over the time of the run."""
        quarter_s = self._seconds / 4
        await asyncio.sleep(quarter_s)
        self._list.publish(EndpointChange(DRAINED_WORKER, DRAINED_WORKER, EndpointState.DRAINING))
        self.state.drained_at[DRAINED_WORKER] = time.monotonic()
        self._list.publish(EndpointChange(NEW_ENDPOINT_ID, LISTED_WORKERS, EndpointState.LIVE))
        await asyncio.sleep(quarter_s)
        self._list.publish(EndpointChange(DRAINED_WORKER, DRAINED_WORKER, EndpointState.REMOVED))
        await asyncio.sleep(2 * quarter_s)

    async def _disturb_process(self, n: int) -> None:
        """Reload or restart one process at random times while the run lasts."""
        rng = self.state.rng
        while self.state.running:
            await asyncio.sleep(0.2 + rng.random() * 1.2)
            process, event = self._processes.processes[n], rng.choice(PROCESS_EVENTS)
            if process is None or not self.state.running:
                continue
            self.event_counts[event.value] += 1
            if event in STOP_SIGNALS:
                await self._processes.stop(n, STOP_SIGNALS[event])
                await self._processes.start(n)
            else:
                await self._reload(n, process, event is ProcessEvent.RELOAD_HALF_WRITTEN)

    async def _reload(self, n: int, process: asyncio.subprocess.Process, half_written: bool) -> None:
        text, file = self._processes.configuration(n), self._processes.configuration_file(n)
        file.write_text(text[: self.state.rng.randrange(len(text))] if half_written else text)
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.08)
        file.write_text(text)


def run_seed(seed: int, seconds: float = 6.0, processes: int = PROCESSES) -> FuzzRun:
    """Execute one run; its problems are in `state.problems`."""
    with tempfile.TemporaryDirectory() as folder:
        run = FuzzRun(seed, seconds, Path(folder), processes)
        uvloop.run(run.execute())
        for n in range(processes):
            for line in run.state.log_file(n).read_text(errors="replace").splitlines():
                if "failed problem" in line or "Traceback" in line:
                    run.state.problems.append(f"log {n}: {line}")
    return run


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--days", dest="runs", type=int, default=5, help="number of runs, each with its own seed")
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--seconds", type=float, default=6.0, help="duration of each run")
    options = parser.parse_args()
    runs_with_problems = requests = 0
    for seed in range(options.seed, options.seed + options.runs):
        run = run_seed(seed, options.seconds)
        problems = run.state.problems
        requests += len(run.state.requests)
        runs_with_problems += bool(problems)
        print(
            f"seed {seed}: {len(run.state.requests)} requests, answers {run.state.answer_counts()}, "
            f"signals {dict(run.event_counts)}, {len(problems)} problems",
            flush=True,
        )
        for problem in problems[:SHOWN_PROBLEMS]:
            print("   ", problem)
    print(f"{requests} requests on {options.runs} runs, {runs_with_problems} runs with a problem")
    return 1 if runs_with_problems else 0


if __name__ == "__main__":
    sys.exit(main())
