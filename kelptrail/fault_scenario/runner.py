"""Runs a fault scenario through real processes: a cluster, its clients, and faults at their times."""

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

READY_S = 20.0  # for acceptors to form a quorum and journals to be acquired
MEMORY_SAMPLE_S = 1.0
START_DELAY_MS = 200.0  # from the end of the preparation to the first arrival
CLIENT_PROCESSES_START_DELAY_MS = 3000.0  # the same, where clients are processes that have to start
LAST_ANSWERS_MS = 5000.0  # beyond the longest timeout, for the last answers to arrive
LAST_EVENTS_S = 0.5  # for emulators to write their last events
GC_THRESHOLDS = (50_000, 20, 1_000_000)


class ScenarioRunner:
    """One run.  The seed determines arrivals, fault targets and the emulators' random draws.  Raises `ScenarioError`
    for faults that the deployment cannot have.
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
        logs, self._captures, self._state_folder = out / "logs", out / "captures", out / "state"
        for folder in (out, logs, self._captures):
            folder.mkdir(parents=True, exist_ok=True)
        for old in self._captures.glob("*.jsonl"):
            old.unlink()
        self._capture = Capture(self._captures / "player.jsonl", "player")
        self._cluster = Cluster(deployment, scenario.deployment, self._captures, seed, log_level, logs)
        self._fault_injector = FaultInjector(
            scenario,
            deployment,
            self._cluster,
            self._capture,
            np.random.default_rng([seed, 11]),
            self._state_folder,
        )
        self._memory: list[MemorySample] = []
        self._start_ms = 0.0

    async def run(self) -> RunObservations:
        """Run all of the scenario; what was observed beside the captures."""
        await self._start_cluster()
        clients = self._make_clients() if self._scenario.client_processes == 1 else None
        arrivals = clients.plan(self._scenario.load, self._scenario.seconds) if clients is not None else []
        self._begin_load(START_DELAY_MS if clients is not None else CLIENT_PROCESSES_START_DELAY_MS)
        tasks = self._start_fault_tasks()
        if clients is not None:
            await self._run_clients(clients, arrivals)
        else:
            await self._run_client_processes()
        await asyncio.sleep(LAST_EVENTS_S)
        for task in tasks:
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
            await self._wait_until_replicated(READY_S)

    async def _wait_until_replicated(self, within_s: float) -> None:
        """Wait until all dispatchers have their replicas, as an operator would before admitting clients."""
        end = now_ms() + within_s * 1000
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
        """Fix the start of the load, and keep garbage collection rare: pauses of the clients' own process must not
        look like late answers.
        """
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._start_ms = now_ms() + delay_ms
        self._capture.write("begin", start=self._start_ms, seconds=self._scenario.seconds)

    def _start_fault_tasks(self) -> list[asyncio.Task[None]]:
        """A task for each fault, and the one that samples memory."""
        inject = self._fault_injector.inject_at_time
        faults = [asyncio.create_task(inject(fault, self._start_ms)) for fault in self._scenario.faults]
        return [*faults, asyncio.create_task(self._sample_memory())]

    async def _run_clients(self, clients: ClientEmulator, arrivals: list[tuple[float, Callable[[], None]]]) -> None:
        """Run the clients in this process until the load ends and the last answer has arrived."""
        await clients.run(arrivals, self._start_ms)
        longest_timeout_ms = max(t.timeout_ms for t in self._deployment.types.values())
        last_answer_by = now_ms() + longest_timeout_ms + LAST_ANSWERS_MS
        await asyncio.sleep(max(0.0, self._start_ms / 1000 + self._scenario.seconds - now_ms() / 1000))
        await clients.wait_until_answered(last_answer_by)

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
            await asyncio.sleep(MEMORY_SAMPLE_S)

    async def _query_states(self) -> list[dict[str, Any]]:
        """What the control port of each dispatcher that is up says."""
        states = []
        for dispatcher in self._cluster.dispatchers:
            with contextlib.suppress(OSError, HttpError):
                states.append(await http_json(dispatcher.ready_info["asked_at"], "GET", "/state"))
        return states
