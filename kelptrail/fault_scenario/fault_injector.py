"""Injects the faults of a scenario into a cluster of real processes, each at its scheduled time."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import numpy as np

from kelptrail.clock import now_ms
from kelptrail.emulator.capture import Capture
from kelptrail.emulator.cluster import Cluster, Process, http_json
from kelptrail.settings.deployment import Deployment

from .dispatcher_faults import DispatcherFaults
from .held_connections import hold_connections
from .peer_links import PeerLinks
from .scenario import (
    DISK_FAULTS,
    PEER_FAULTS,
    PLANNER_FAULTS,
    STORE_FAULTS,
    WORKER_FAULTS,
    Fault,
    FaultKind,
    FaultScenario,
)

WORKER_DRAIN_S = 1.0  # Time from a worker's drain request to its SIGTERM
TERMINATION_TIMEOUT_S = 5  # Time from SIGTERM to SIGKILL
UNREACHABLE_WORKER = "worker-nobody"


class FaultInjector:
    """Draws the targets of each fault from `random`, injects the fault, and records it in `capture`."""

    def __init__(
        self,
        scenario: FaultScenario,
        deployment: Deployment,
        cluster: Cluster,
        capture: Capture,
        random: np.random.Generator,
        state_folder: Path,
    ) -> None:
        self._deployment, self._cluster, self._capture = deployment, cluster, capture
        self._random, self._state_folder = random, state_folder
        self._links = PeerLinks(cluster, random)
        self._dispatcher_faults = DispatcherFaults(cluster, capture, self._links, scenario.seconds)

    async def inject_at_time(self, fault: Fault, start_ms: float) -> None:
        """Wait until the fault is due, counted from `start_ms`, inject it, and return when it is over."""
        await asyncio.sleep(max(0.0, (start_ms - now_ms()) / 1000 + fault.at))
        targets = self._choose_targets(fault)
        self._capture.write(
            "trouble",
            kind=fault.kind,
            seconds=fault.duration,
            factor=fault.factor,
            of=[target.name for target in targets],
        )
        try:
            await self._inject(fault, targets)
        except (OSError, RuntimeError) as cause:  # For example, a target is already down
            self._capture.write("trouble-failed", kind=fault.kind, reason=str(cause))

    def _choose_targets(self, fault: Fault) -> list[Process]:
        cluster = self._cluster
        if fault.kind in WORKER_FAULTS:
            return self._draw_targets([w for w in cluster.workers if w.running], fault.part)
        if fault.kind == FaultKind.KILL_DISPATCHERS or fault.kind in (*DISK_FAULTS, *PEER_FAULTS):
            if fault.zone:
                return self._dispatchers_of_zone(fault.zone)
            return self._draw_targets(cluster.dispatchers, fault.part)
        if fault.kind in PLANNER_FAULTS and cluster.planners:
            return self._draw_targets(cluster.planners, fault.part)
        return []

    def _dispatchers_of_zone(self, zone: str) -> list[Process]:
        zones = self._deployment.zones
        return [
            dispatcher
            for number, dispatcher in enumerate(self._cluster.dispatchers)
            if zones[number % len(zones)] == zone
        ]

    def _draw_targets(self, processes: list[Process], part: float) -> list[Process]:
        count = max(1, round(part * len(processes)))
        return [processes[int(n)] for n in self._random.choice(len(processes), count, replace=False)]

    async def _inject(self, fault: Fault, targets: list[Process]) -> None:
        cluster, kind, duration_ms = self._cluster, fault.kind, fault.duration * 1000
        if kind in STORE_FAULTS:
            store_kind = kind.removeprefix("store-")
            await cluster.fault(cluster.store, kind=store_kind, for_ms=duration_ms, factor=fault.factor)
        elif kind == FaultKind.LIST_LATE:
            await cluster.fault(cluster.endpoint_service, kind="late", for_ms=duration_ms, late_ms=fault.ms)
        elif kind == FaultKind.LIST_UNREACHABLE_WORKER:
            await self._list_unreachable_worker(fault)
        elif kind in (FaultKind.IDLE_CONNECTIONS, FaultKind.SLOW_READERS):
            await hold_connections(cluster, fault)
        elif kind in PLANNER_FAULTS:
            await asyncio.gather(*(self._inject_planner_fault(target, fault) for target in targets))
        elif kind == FaultKind.KILL_DISPATCHERS:
            await asyncio.gather(*(self._dispatcher_faults.kill(target, fault.duration) for target in targets))
        elif kind in PEER_FAULTS:
            await self._dispatcher_faults.inject_peer_fault(fault, targets)
        elif kind in DISK_FAULTS:
            await self._dispatcher_faults.inject_disk_fault(fault, targets)
        else:
            await self._inject_worker_fault(fault, targets)

    async def _inject_worker_fault(self, fault: Fault, targets: list[Process]) -> None:
        if fault.kind == FaultKind.CRASH:
            await asyncio.gather(*(self._crash_worker(target, fault.duration) for target in targets))
            return
        if fault.kind in (FaultKind.ROLLING_DEPLOY, FaultKind.DRAIN):
            pause_s = fault.duration / max(1, len(targets))
            for target in targets:
                await self._replace_worker(target, restart=fault.kind == FaultKind.ROLLING_DEPLOY)
                await asyncio.sleep(pause_s)
            return
        settings: dict[str, Any] = {"share": fault.share, "factor": fault.factor, "ms": fault.ms}
        if fault.type:
            settings["type"] = fault.type
        duration_ms = fault.duration * 1000
        await asyncio.gather(
            *(self._cluster.fault(target, kind=fault.kind, for_ms=duration_ms, **settings) for target in targets)
        )

    async def _inject_planner_fault(self, target: Process, fault: Fault) -> None:
        """Inject a fault into one planner.

        It causes slow or wrong plans, a pause, a cut of the planner's links, or a kill and restart, in which the
        planner may lose its saved state.
        """
        if fault.kind in (FaultKind.PLANNERS_SLOW, FaultKind.PLANNERS_WRONG):
            settings = {"ms": fault.ms} if fault.kind == FaultKind.PLANNERS_SLOW else {"factor": fault.factor}
            await http_json(
                target.ready_info["control"], "POST", "/fault", settings | {"for_ms": fault.duration * 1000}
            )
            return
        if fault.kind == FaultKind.PAUSE_PLANNERS:
            self._cluster.signal(target, signal.SIGSTOP)
            await asyncio.sleep(fault.duration)
            self._cluster.signal(target, signal.SIGCONT)
            return
        if fault.kind == FaultKind.CUT_PLANNERS:
            await self._links.cut_off(fault, [target])
            return
        self._cluster.kill(target)
        if fault.kind == FaultKind.PLANNERS_FORGET:
            (self._state_folder / target.name / "planner.bin").unlink(missing_ok=True)
        await asyncio.sleep(fault.duration)
        await self._cluster.launch(target)

    async def _crash_worker(self, target: Process, down_s: float) -> None:
        await self._cluster.fault(target, kind=FaultKind.CRASH)
        await asyncio.sleep(down_s)
        await self._cluster.launch(target)

    async def _replace_worker(self, target: Process, restart: bool) -> None:
        """Drain the worker, give its work `WORKER_DRAIN_S` to end, stop it, and launch it again if `restart` is set."""
        await self._cluster.set_listed_state(target, "draining")
        await asyncio.sleep(self._deployment.rules.drain_grace_ms / 1000)
        await http_json(target.ready_info["control"], "POST", "/drain", {})
        await asyncio.sleep(WORKER_DRAIN_S)
        await self._cluster.terminate(target, TERMINATION_TIMEOUT_S)
        if restart:
            await self._cluster.launch(target)

    async def _list_unreachable_worker(self, fault: Fault) -> None:
        """Register a worker at an address on which no process listens, for the duration of the fault."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        endpoint_service = self._cluster.endpoint_service.ready_info["address"]
        await http_json(
            endpoint_service,
            "POST",
            "/register",
            {
                "id": UNREACHABLE_WORKER,
                "address": f"127.0.0.1:{port}",
                "incarnation": "nobody",
                "hall": "",
                "cell": 99,
                "age_ms": 1e9,
            },
        )
        await asyncio.sleep(fault.duration)
        await http_json(endpoint_service, "POST", "/state", {"id": UNREACHABLE_WORKER, "state": "gone"})
