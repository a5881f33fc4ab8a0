"""Runs a fault scenario with real processes: a cluster, its clients, and faults at their scheduled times."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.http import HttpError
from kelptrail.emulator.capture import Capture
from kelptrail.emulator.clients import ClientEmulator
from kelptrail.emulator.cluster import Cluster, http_json, memory_kb
from kelptrail.settings.deployment import Deployment

from .fault_injector import FaultInjector
from .report import MemorySample, RunObservations, describe_deployment
from .scenario import PEER_FAULTS, FaultScenario, ScenarioError

READY_TIMEOUT_S = 20.0  # Time for acceptors to form a quorum and for dispatchers to acquire their journals
MEMORY_SAMPLE_INTERVAL_S = 1.0
START_DELAY_MS = 200.0  # Time from the end of the preparation to the first arrival
CLIENT_PROCESSES_START_DELAY_MS = 3000.0  # The same with separate client processes, which have to start first
LAST_ANSWERS_MS = 5000.0  # Time beyond the longest timeout for the last answers to arrive
LAST_EVENTS_S = 0.5  # Time for emulators to write their last events
GC_THRESHOLDS = (50_000, 20, 1_000_000)  # The third makes automatic full collections rare


class ScenarioRunner:
    """One run of a scenario.  The seed determines arrivals, fault targets and the emulators' random draws.

    `out` is the folder for logs, captures and state; `script` is the path of the scenario file, which separate client
    processes read.  Raises `ScenarioError` if the deployment does not support the faults of the scenario.
    """

    def __init__(
        self,
        scenario: FaultScenario,
        deployment: Deployment,
        seed: int,
        out: Path,
        log_level: str = "info",
        script: str = "",
    ) -> None:
        if len(deployment.zones) < 2 and any(fault.kind in PEER_FAULTS for fault in scenario.faults):
            raise ScenarioError(
                f"{scenario.name}: faults between dispatchers need dispatchers in different zones, "
                f"{deployment.name} has one"
            )
        self._script = script
        self._scenario, self._deployment, self._out = scenario, deployment, out
        self._seed = seed
        log_folder, self._captures, self._state_folder = out / "logs", out / "captures", out / "state"
        for folder in (out, log_folder, self._captures):
            folder.mkdir(parents=True, exist_ok=True)
        for old_capture in self._captures.glob("*.jsonl"):
            old_capture.unlink()
        self._capture = Capture(self._captures / "player.jsonl", "player")
        self._cluster = Cluster(deployment, scenario.deployment, self._captures, seed, log_level, log_folder)
        self._fault_injector = FaultInjector(
            scenario,
            deployment,
            self._cluster,
            self._capture,
            np.random.default_rng([seed, 11]),  # 11 separates these random numbers from others of the same seed
            self._state_folder,
        )
        self._memory: list[MemorySample] = []
        self._start_ms = 0.0

    async def run(self) -> RunObservations:
        """Run the scenario to its end, and return the observations that its captures do not contain."""
        await self._start_cluster()
        clients = self._make_clients() if self._scenario.client_processes == 1 else None
        arrivals = clients.plan(self._scenario.load, self._scenario.seconds) if clients is not None else []
        self._begin_load(START_DELAY_MS if clients is not None else CLIENT_PROCESSES_START_DELAY_MS)
        background_tasks = self._start_fault_tasks()
        if clients is not None:
            await self._run_clients(clients, arrivals)
        else:
            await self._run_client_processes()
        await asyncio.sleep(LAST_EVENTS_S)
        for task in background_tasks:
            task.cancel()
        if clients is not None:
            clients.close()
        states = await self._query_states()
        drained_cleanly = await self._cluster.stop()
        return RunObservations(drained_cleanly, self._memory, states)

    async def _start_cluster(self) -> None:
        scenario, deployment = self._scenario, self._deployment
        await self._cluster.start(
            scenario.workers,
            scenario.dispatchers,
            self._state_folder,
            scenario.planners,
            scenario.solver,
            scenario.tasks,
        )
        dispatcher_names = [dispatcher.name for dispatcher in self._cluster.dispatchers]
        self._capture.write("world", **describe_deployment(deployment, dispatcher_names, scenario.workers))
        if deployment.peers is not None and deployment.peers.replicas:
            await self._wait_until_replicated(READY_TIMEOUT_S)

    async def _wait_until_replicated(self, timeout_s: float) -> None:
        """Wait until all dispatchers accept deferred calls, for which they need their replicas.

        An operator does the same before admitting clients.  After `timeout_s` the run goes on in any case.
        """
        end = now_ms() + timeout_s * 1000
        for dispatcher in self._cluster.dispatchers:
            while (
                now_ms() < end
                and not (await http_json(dispatcher.ready_info["asked_at"], "GET", "/copies"))["promising"]
            ):
                await asyncio.sleep(0.1)

    def _make_clients(self) -> ClientEmulator:
        return ClientEmulator(
            self._deployment,
            self._invoke_addresses(),
            Capture(self._captures / "clients.jsonl", "clients"),
            self._seed,
            inference_addresses=self._inference_addresses(),
        )

    def _invoke_addresses(self) -> list[str]:
        return [dispatcher.ready_info["address"] for dispatcher in self._cluster.dispatchers]

    def _inference_addresses(self) -> list[str]:
        return [dispatcher.ready_info["grpc"] for dispatcher in self._cluster.dispatchers]

    def _begin_load(self, delay_ms: float) -> None:
        """Set the start of the load, and make garbage collection rare.

        A pause of the process in which the clients run would otherwise look like late answers.
        """
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._start_ms = now_ms() + delay_ms
        self._capture.write("begin", start=self._start_ms, seconds=self._scenario.seconds)

    def _start_fault_tasks(self) -> list[asyncio.Task[None]]:
        """Start a task for each fault and one that samples memory, and return them."""
        inject = self._fault_injector.inject_at_time
        faults = [asyncio.create_task(inject(fault, self._start_ms)) for fault in self._scenario.faults]
        return [*faults, asyncio.create_task(self._sample_memory())]

    async def _run_clients(self, clients: ClientEmulator, arrivals: list[tuple[float, Callable[[], None]]]) -> None:
        """Run the clients in this process until the load has ended and the last answer has arrived or is overdue."""
        await clients.run(arrivals, self._start_ms)
        longest_timeout_ms = max(t.timeout_ms for t in self._deployment.types.values())
        answers_deadline_ms = now_ms() + longest_timeout_ms + LAST_ANSWERS_MS
        await asyncio.sleep(max(0.0, self._start_ms / 1000 + self._scenario.seconds - now_ms() / 1000))
        await clients.wait_until_answered(answers_deadline_ms)

    async def _run_client_processes(self) -> None:
        await self._cluster.run_clients(
            self._script,
            self._scenario.client_processes,
            self._start_ms,
            self._invoke_addresses(),
            self._inference_addresses(),
        )

    async def _sample_memory(self) -> None:
        while True:
            pids = [d.process.pid for d in self._cluster.dispatchers if d.running and d.process is not None]
            with contextlib.suppress(OSError):
                seconds = (now_ms() - self._start_ms) / 1000
                self._memory.append(MemorySample(seconds, [memory_kb(pid) for pid in pids]))
            await asyncio.sleep(MEMORY_SAMPLE_INTERVAL_S)

    async def _query_states(self) -> list[dict[str, Any]]:
        """Return the state that the control port of each running dispatcher reports."""
        states = []
        for dispatcher in self._cluster.dispatchers:
            with contextlib.suppress(OSError, HttpError):
                states.append(await http_json(dispatcher.ready_info["asked_at"], "GET", "/state"))
        return states
