"""Injection of a scenario's faults into a simulated cluster; every shard draws the same targets."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, TypeVar

import numpy as np

from kelptrail.fault_scenario.scenario import (
    DISK_FAULTS,
    PEER_FAULTS,
    PLANNER_FAULTS,
    STORE_FAULTS,
    WORKER_FAULTS,
    Fault,
    FaultKind,
)

from .dispatchers import SimulatedDispatcher
from .remote import RemoteDispatcher, RemoteWorker
from .workers import SimulatedWorker

if TYPE_CHECKING:
    from .cluster import SimulatedCluster


T = TypeVar("T")
DRAIN_TIMEOUT_MS = 1500.0  # time for running work, from the end of the drain grace to the worker's stop
DEPLOY_INTERVAL_MS = 1000.0  # additional time between two workers of a rolling deploy or a drain
LEASE_FAULT_OF_PLANNER_FAULT: dict[str, FaultKind] = {
    FaultKind.PAUSE_PLANNERS: FaultKind.PAUSE_DISPATCHERS,
    FaultKind.CUT_PLANNERS: FaultKind.CUT_PEERS,
}


class FaultInjector:
    """Injects faults into one cluster; a separate random stream draws the targets."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster, self._event_queue, self._settings = cluster, cluster.event_queue, cluster.settings
        self._deployment, self._scenario = cluster.deployment, cluster.scenario
        self._random = np.random.default_rng([cluster.seed, 11])

    def inject(self, fault: Fault) -> None:
        """Draw the targets of a fault and inject it for its duration."""
        if fault.kind in WORKER_FAULTS:
            self._inject_worker_fault(fault)
        elif fault.kind in PLANNER_FAULTS:
            self._record_fault(fault, [planner.name for planner in self._cluster.planners])
            self._inject_planner_fault(fault)
        elif fault.kind in STORE_FAULTS:
            self._record_fault(fault, [])
            self._cluster.store.inject(fault.kind.removeprefix("store-"), fault.factor, fault.duration * 1000)
        else:
            self._inject_dispatcher_fault(fault)

    def _draw_targets(self, processes: list[T], count: int) -> list[T]:
        return [processes[int(n)] for n in self._random.choice(len(processes), count, replace=False)]

    def _record(self, event: str, /, **fields: Any) -> None:
        if self._cluster.record_event is not None:
            self._cluster.record_event(event, **fields)

    def _record_fault(self, fault: Fault, names: list[str]) -> None:
        """Record a fault of the complete run; only the first shard records these."""
        if self._cluster.shard_part[0] == 0:
            self._record("trouble", kind=fault.kind, seconds=fault.duration, factor=fault.factor, of=names)

    def _inject_worker_fault(self, fault: Fault) -> None:
        kind = fault.kind
        running = [worker for worker in self._cluster.workers.values() if worker.up]
        count = min(len(running), max(1, round(fault.part * len(running))))
        targets = self._draw_targets(running, count) if running else []
        self._record_fault(fault, [worker.id for worker in targets])
        for number, worker in enumerate(targets):
            if kind == FaultKind.CRASH:
                self._crash(worker, fault.duration * 1000)
            elif kind in (FaultKind.ROLLING_DEPLOY, FaultKind.DRAIN):
                time_per_worker_ms = fault.duration * 1000 / max(1, len(targets))
                self._event_queue.after(
                    number * (time_per_worker_ms + DEPLOY_INTERVAL_MS),
                    self._deploy,
                    worker,
                    kind == FaultKind.ROLLING_DEPLOY,
                )
            else:
                worker.inject(kind, fault)
                if kind == FaultKind.RESTART_COLD:
                    worker.close_connections()
                    self._cluster.publish_endpoints()

    def _inject_dispatcher_fault(self, fault: Fault) -> None:
        kind, duration_ms = fault.kind, fault.duration * 1000
        targets = self._cluster.dispatchers
        if kind == FaultKind.KILL_DISPATCHERS or kind in (*DISK_FAULTS, *PEER_FAULTS):
            targets = self._draw_targets(targets, max(1, round(fault.part * len(targets))))
        self._record_fault(fault, [dispatcher.name for dispatcher in targets])
        if kind == FaultKind.LIST_LATE:
            self._cluster.endpoints_delay_ms = fault.ms
            self._event_queue.after(duration_ms, setattr, self._cluster, "endpoints_delay_ms", 0.0)
        elif kind == FaultKind.KILL_DISPATCHERS:
            for dispatcher in targets:
                self._kill(dispatcher, duration_ms)
        elif kind == FaultKind.LOSE_MACHINES:
            permanent = fault.at + fault.duration > self._scenario.seconds
            for dispatcher in targets:
                self._kill(dispatcher, None if permanent else duration_ms, True)
        elif kind in PEER_FAULTS:
            self._inject_peer_fault(fault, targets)
        elif kind in DISK_FAULTS:
            for dispatcher in targets:
                self._inject_disk_fault(fault, dispatcher)

    def _inject_peer_fault(self, fault: Fault, targets: list[SimulatedDispatcher | RemoteDispatcher]) -> None:
        if fault.kind == FaultKind.PAUSE_DISPATCHERS:
            for dispatcher in self._cluster.local_dispatchers:
                if dispatcher in targets:
                    dispatcher.pause(fault.duration * 1000)
                    if self._cluster.record_event is not None:
                        self._record("stopped", dispatcher=dispatcher.number)
                        self._event_queue.after(fault.duration * 1000, self._record_resumed, dispatcher)
        if self._cluster.leases is not None:
            names = [dispatcher.name for dispatcher in targets]
            self._cluster.leases.inject(fault, names, self._draw_is_outgoing)

    def _draw_is_outgoing(self) -> bool:
        """Return whether a one-way cut stops the messages that a node sends; otherwise it stops those it receives."""
        return bool(self._random.random() < 0.5)

    def _inject_disk_fault(self, fault: Fault, dispatcher: SimulatedDispatcher | RemoteDispatcher) -> None:
        if fault.kind == FaultKind.DISK_SLOW:
            dispatcher.sync_ms = fault.ms
        else:
            dispatcher.disk_fails = True
        if self._cluster.leases is not None:
            self._cluster.leases.set_disk(dispatcher.name, dispatcher.sync_ms, dispatcher.disk_fails)
        self._event_queue.after(fault.duration * 1000, self._restore_disk, dispatcher)

    def _inject_planner_fault(self, fault: Fault) -> None:
        planners = self._cluster.planners
        if not planners:
            return
        for planner in self._draw_targets(planners, max(1, round(fault.part * len(planners)))):
            if fault.kind == FaultKind.PLANNERS_SLOW:
                planner.slow_ms = fault.ms
                self._event_queue.after(fault.duration * 1000, setattr, planner, "slow_ms", 0.0)
            elif fault.kind == FaultKind.PLANNERS_WRONG:
                planner.core.demand.error_factor = fault.factor
                self._event_queue.after(fault.duration * 1000, setattr, planner.core.demand, "error_factor", 1.0)
            elif fault.kind in LEASE_FAULT_OF_PLANNER_FAULT:
                assert self._cluster.leases is not None
                lease_fault = replace(fault, kind=LEASE_FAULT_OF_PLANNER_FAULT[fault.kind])
                self._cluster.leases.inject(lease_fault, [planner.name], self._draw_is_outgoing)
            else:
                planner.kill()
                self._event_queue.after(
                    fault.duration * 1000 + self._settings.start_ms,
                    planner.start_process,
                    fault.kind == FaultKind.PLANNERS_FORGET,
                )

    def _restore_disk(self, dispatcher: SimulatedDispatcher | RemoteDispatcher) -> None:
        dispatcher.sync_ms, dispatcher.disk_fails = self._settings.sync_ms, False
        if self._cluster.leases is not None:
            self._cluster.leases.set_disk(dispatcher.name, dispatcher.sync_ms, False)

    def _kill(
        self, dispatcher: SimulatedDispatcher | RemoteDispatcher, down_ms: float | None, disk_lost: bool = False
    ) -> None:
        """Kill a dispatcher, and start it again after `down_ms`, or never if that is None."""
        if not dispatcher.up:
            return
        if dispatcher in self._cluster.local_dispatchers:
            self._record("kill", dispatcher=dispatcher.number)
            if disk_lost:
                self._record("disk-lost", dispatcher=dispatcher.number)
        dispatcher.kill()
        if disk_lost and isinstance(dispatcher, SimulatedDispatcher):
            dispatcher.lose_disk()
        if self._cluster.leases is not None:
            self._cluster.leases.kill(dispatcher.name, disk_lost)
        if down_ms is not None:
            self._event_queue.after(down_ms + self._settings.start_ms, self._restart_dispatcher, dispatcher)

    def _restart_dispatcher(self, dispatcher: SimulatedDispatcher | RemoteDispatcher) -> None:
        dispatcher.start_process()
        if self._cluster.leases is not None:
            self._cluster.leases.start_process(self._cluster.leases.nodes[dispatcher.name])
        if isinstance(dispatcher, SimulatedDispatcher) and dispatcher.edge is not None:
            dispatcher.edge.start_process()
        if dispatcher in self._cluster.local_dispatchers:
            self._record("restarted", dispatcher=dispatcher.number)

    def _record_resumed(self, dispatcher: SimulatedDispatcher) -> None:
        self._record("woken", dispatcher=dispatcher.number)

    def _crash(self, worker: SimulatedWorker | RemoteWorker, down_ms: float) -> None:
        worker.up = False
        worker.close_connections()
        self._cluster.publish_endpoints()
        self._event_queue.after(down_ms + self._settings.restart_ms, self._restart_worker, worker)

    def _restart_worker(self, worker: SimulatedWorker | RemoteWorker) -> None:
        worker.up, worker.state = True, "live"
        worker.start_process(warm=False)
        self._cluster.publish_endpoints()

    def _deploy(self, worker: SimulatedWorker | RemoteWorker, restart: bool) -> None:
        """Drain the worker, stop it after drain grace and drain timeout, and start it again if `restart` is set."""
        if not worker.up:
            return
        worker.state = "draining"
        self._cluster.publish_endpoints()
        drain_grace_ms = self._deployment.rules.drain_grace_ms
        self._event_queue.after(drain_grace_ms, setattr, worker, "draining", True)
        self._event_queue.after(drain_grace_ms + DRAIN_TIMEOUT_MS, self._stop_deployed, worker, restart)

    def _stop_deployed(self, worker: SimulatedWorker | RemoteWorker, restart: bool) -> None:
        worker.up = False
        worker.close_connections()
        self._cluster.publish_endpoints()
        if restart:
            self._event_queue.after(self._settings.restart_ms, self._restart_worker, worker)
