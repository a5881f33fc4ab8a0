"""Trial of bench/vrrp_failover.py: dispatchers that share front addresses, clients, and faults of the master."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import replace
from enum import StrEnum
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
from vrrp_holders import HolderSample, HolderSampler

from kelptrail.clock import now_ms
from kelptrail.emulator.capture import Capture
from kelptrail.emulator.clients import ClientEmulator
from kelptrail.emulator.cluster import Cluster, Process, http_json
from kelptrail.fault_scenario.report import describe_deployment
from kelptrail.load.plan import steady_load
from kelptrail.settings.deployment import Deployment

FAULT_S, PAUSE_BEFORE_FAULT_S = 1.6, 2.4
SETTLE_S = 1.5  # average time until the cluster has recovered from a failover
RECOVERY_TIMEOUT_MS, LAST_ANSWERS_TIMEOUT_MS = 8000, 9000
POLL_S = 0.02
DEFERRED_SHARE, ZIPF = 0.25, 0.8
MAX_LOSS, MAX_DUPLICATES, MAX_DELAY_MS = 0.08, 0.3, 40


class MasterFault(StrEnum):
    """A fault of the current master."""

    KILL = "kill"
    SHUTDOWN = "term"
    PAUSE = "pause"
    CUT = "cut"  # datagrams are dropped in both directions
    CUT_SENDING = "cut-out"
    CUT_RECEIVING = "cut-in"  # the master stays master, as the others still receive its advertisements


MASTER_FAULTS = tuple(MasterFault)


class Takeover(NamedTuple):
    """The time from a fault until another process held the address."""

    fault: MasterFault
    ms: float


class FailoverTrial:
    """A run of several faults of the master, each of which causes a failover, except `CUT_RECEIVING`."""

    def __init__(self, deployment: Deployment, file: str, seed: int, out: Path, rate: float) -> None:
        assert deployment.vrrp is not None
        self._deployment = deployment
        self._seed = seed
        self._out = out
        self._rate = rate
        self._rng = np.random.default_rng(seed)
        for folder in (out / "captures", out / "logs"):
            folder.mkdir(parents=True, exist_ok=True)
        for old in (out / "captures").glob("*.jsonl"):
            old.unlink()
        # "player" is the name of this program in captures.
        self._capture = Capture(out / "captures" / "player.jsonl", "player")
        self._cluster = Cluster(deployment, file, out / "captures", seed, logs=out / "logs")
        self._dispatcher_count = len(deployment.vrrp.instance)
        self._routers = deployment.vrrp.router
        self._sampler = HolderSampler([(router.address, router.port) for router in self._routers])
        self.takeovers: list[Takeover] = []
        self.expected_takeovers = 0
        self.start_ms = 0.0

    @property
    def samples(self) -> list[HolderSample]:
        """Samples of the holders of the addresses."""
        return self._sampler.samples

    async def run(self, failovers: int) -> bool:
        """Run the failovers under load; return whether all dispatchers drained cleanly at the end."""
        await self._start_cluster()
        sampling_task = asyncio.create_task(self._sampler.run())
        while not self._sampler.current_holders():
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(1.0)
        clients = self._client_emulator()
        seconds = failovers * (FAULT_S + PAUSE_BEFORE_FAULT_S + SETTLE_S) + 2
        load = replace(steady_load(self._rate, seconds, ZIPF), deferred=DEFERRED_SHARE)
        arrivals: list[tuple[float, Callable[[], None]]] = [
            (when, partial(clients.start_call, action, load)) for when, action in clients.arrivals(load, seconds)
        ]
        self.start_ms = now_ms()
        self._capture.write("begin", start=self.start_ms, seconds=seconds)
        client_task = asyncio.create_task(clients.run(arrivals, self.start_ms))
        for number in range(failovers):
            await asyncio.sleep(PAUSE_BEFORE_FAULT_S)
            await self._fail_over(MASTER_FAULTS[number % len(MASTER_FAULTS)], number)
        client_task.cancel()
        end = now_ms() + LAST_ANSWERS_TIMEOUT_MS
        while (clients.open_requests or clients.polling) and now_ms() < end:
            await asyncio.sleep(0.05)
        sampling_task.cancel()
        clients.close()
        return await self._cluster.stop()

    async def _start_cluster(self) -> None:
        workers = self._deployment.fleet.workers
        await self._cluster.start(workers, self._dispatcher_count, self._out / "state")
        dispatchers = [dispatcher.name for dispatcher in self._cluster.dispatchers]
        self._capture.write("world", **describe_deployment(self._deployment, dispatchers, workers))

    def _client_emulator(self) -> ClientEmulator:
        addresses = [f"{router.address}:{router.port}" for router in self._routers]
        capture = Capture(self._out / "captures" / "clients.jsonl", "clients")
        return ClientEmulator(self._deployment, addresses, capture, self._seed, shared_address=True)

    async def _fail_over(self, fault: MasterFault, number: int) -> None:
        """Inject a fault into the master, end the fault, and wait for recovery."""
        master = await self._find_master()
        await self._set_datagram_faults(
            loss=float(self._rng.uniform(0, MAX_LOSS)),
            copy=float(self._rng.uniform(0, MAX_DUPLICATES)),
            delay_ms=[0.0, float(self._rng.uniform(0, MAX_DELAY_MS))],
        )
        self.expected_takeovers += fault is not MasterFault.CUT_RECEIVING
        holders, start_ms = self._sampler.current_holders(), now_ms()
        self._capture.write("failover", kind=fault.value, number=number, of=master.name)
        shutdown = await self._inject(fault, master)
        await self._await_takeover(fault, holders, start_ms)
        await asyncio.sleep(max(0.0, FAULT_S - (now_ms() - start_ms) / 1000))
        await self._end_fault(fault, master, shutdown)
        await self._await_recovery()

    async def _inject(self, fault: MasterFault, master: Process) -> asyncio.Task[int | None] | None:
        """Inject a fault into the master; return the task of a shutdown, None for any other fault."""
        index = self._cluster.dispatchers.index(master)
        match fault:
            case MasterFault.KILL:
                self._capture.write("kill", dispatcher=index)
                self._cluster.kill(master)
            case MasterFault.SHUTDOWN:
                return asyncio.create_task(self._cluster.terminate(master))
            case MasterFault.PAUSE:
                self._capture.write("stopped", dispatcher=index)
                self._cluster.signal(master, signal.SIGSTOP)
            case _:
                await self._set_datagram_faults(cut=self._cut_links(fault, master))
        return None

    def _cut_links(self, fault: MasterFault, master: Process) -> list[list[str]]:
        others = [each.name for each in self._cluster.dispatchers if each is not master]
        links: list[list[str]] = []
        if fault is not MasterFault.CUT_RECEIVING:
            links += [[master.name, other] for other in others]
        if fault is not MasterFault.CUT_SENDING:
            links += [[other, master.name] for other in others]
        return links

    async def _await_takeover(self, fault: MasterFault, holders: frozenset[str], start_ms: float) -> None:
        """Wait until another process holds the address, but no longer than `FAULT_S` from `start_ms` on."""
        while now_ms() < start_ms + FAULT_S * 1000:
            if self._sampler.current_holders() - holders:
                self.takeovers.append(Takeover(fault, now_ms() - start_ms))
                return
            await asyncio.sleep(0.002)

    async def _end_fault(self, fault: MasterFault, master: Process, shutdown: asyncio.Task[int | None] | None) -> None:
        index = self._cluster.dispatchers.index(master)
        match fault:
            case MasterFault.KILL:
                await self._cluster.launch(master)
                self._capture.write("restarted", dispatcher=index)
            case MasterFault.SHUTDOWN:
                assert shutdown is not None
                await shutdown
                await self._cluster.launch(master)
            case MasterFault.PAUSE:
                self._cluster.signal(master, signal.SIGCONT)
                self._capture.write("woken", dispatcher=index)
            case _:
                await self._set_datagram_faults(cut=[])

    async def _await_recovery(self) -> None:
        """Wait until the router of the highest priority alone holds the first address.

        Gives up after `RECOVERY_TIMEOUT_MS`, without an error."""
        end = now_ms() + RECOVERY_TIMEOUT_MS
        preferred = max(self._routers[0].member, key=lambda member: member.priority).name
        while now_ms() < end:
            if (await self._find_master()).name == preferred and len(self._sampler.current_holders()) == 1:
                return
            await asyncio.sleep(POLL_S)

    async def _find_master(self) -> Process:
        """Wait until a dispatcher reports itself as master of the first virtual router, and return it."""
        while True:
            for dispatcher in self._cluster.dispatchers:
                status = await http_json(dispatcher.ready_info["asked_at"], "GET", "/vrrp")
                if status["routers"][0]["state"] == "master":
                    return dispatcher
            await asyncio.sleep(POLL_S)

    async def _set_datagram_faults(self, **faults: Any) -> None:
        assert self._cluster.datagram_proxy is not None
        await http_json(self._cluster.datagram_proxy.ready_info["address"], "POST", "/", faults)
