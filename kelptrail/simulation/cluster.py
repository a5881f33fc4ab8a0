"""A cluster in simulated time: real gateway cores with simulated network, disks, clients and endpoint lists."""

from __future__ import annotations

from typing import Any

import numpy as np

from kelptrail.fault_scenario.report import describe_deployment
from kelptrail.fault_scenario.scenario import FaultScenario, ScenarioError
from kelptrail.gateway.overload_settings import OverloadStage
from kelptrail.load.results import Result, Second, empty_seconds
from kelptrail.membership.members import EndpointList
from kelptrail.planner.driver import LEASE_NAME
from kelptrail.service.fleet import lease_settings
from kelptrail.settings.deployment import Deployment, LeasesConfig

from .clients import SimulatedClients
from .dispatchers import SimulatedDispatcher
from .event_queue import EventQueue
from .faults import FaultInjector
from .leases import SimulatedLeases, SimulatedLeaseSettings
from .model_store import SimulatedStore
from .planners import SimulatedPlanner
from .remote import RemoteDispatcher, RemoteStore, RemoteWorker, SharedEffectLog
from .settings import SimulationSettings
from .shard import Shard
from .worker_messages import WorkerIdentity
from .workers import SimulatedWorker

DEFAULT_SILENCE_TIMEOUT_MS = 3000.0  # for deployments without (peers ...)
LOAD_START_MS = 200.0  # simulated time at which the load starts
LAST_ANSWERS_MS = 5000.0  # time for the last answers to arrive, after the longest timeout
SAMPLE_OFFSET_MS = 999.0  # time of the sample within each second of the load


class SimulatedCluster:
    """One run of a fault scenario; with `capture` it keeps all events for the history checker and the reports."""

    def __init__(
        self,
        scenario: FaultScenario,
        deployment: Deployment,
        seed: int,
        settings: SimulationSettings | None = None,
        capture: bool = False,
        shard: Shard | None = None,
    ) -> None:
        """Create the simulated processes and schedule the scenario; `shard` is None unless the run is sharded.

        Raises `ScenarioError` if the scenario has planners and the deployment has no leases.
        """
        if scenario.planners and deployment.leases is None:
            raise ScenarioError(
                f"{scenario.name}: planners need a lease, but {scenario.deployment} has no (leases ...)"
            )
        self.scenario, self.deployment, self.settings = scenario, deployment, settings or SimulationSettings()
        self.seed, self.shard = seed, shard
        self.shard_part = (shard.number, shard.shard_count) if shard is not None else (0, 1)
        self.event_queue = EventQueue()
        self.events: list[dict[str, Any]] = []
        self.record_event = self._record_event if capture else None
        self._make_results()
        self._make_processes()
        self.publish_endpoints()
        self.load_start = self.event_queue.now + LOAD_START_MS
        self._record_for_run("begin", start=self.load_start, seconds=scenario.seconds)
        self._schedule_scenario()

    def _make_results(self) -> None:
        self.seconds: list[Second] = empty_seconds(self.scenario.seconds)
        self.latency: dict[str, list[float]] = {name: [] for name in self.deployment.types}
        self.give_ups: dict[str, int] = {}
        # By namespace: the number of new calls, and of calls that were completed in time.
        self.calls_by_namespace: dict[str, list[int]] = {n: [0, 0] for n in self.deployment.namespaces}

    def _make_processes(self) -> None:
        """Create the store, workers, dispatchers, planners and lease nodes."""
        scenario, deployment, shard = self.scenario, self.deployment, self.shard
        self.actions_by_model = {action.model: action for action in deployment.actions.values()}
        self.store: SimulatedStore | RemoteStore = SimulatedStore(self.event_queue, deployment.store)
        self.effect_log: dict[tuple[str, str], float] = {}  # time of the last effect by scope and deduplication id
        if shard is not None:
            self.effect_log = SharedEffectLog(shard, self.event_queue, self.settings)
            if shard.number:
                self.store = RemoteStore(shard, self.event_queue, self.settings)
        self.endpoints: EndpointList | None = None
        self.endpoints_delay_ms, self._endpoints_version = 0.0, 0
        dispatcher_names = [f"dispatcher-{n}" for n in range(scenario.dispatchers)]
        self._record_for_run("world", **describe_deployment(deployment, dispatcher_names, scenario.workers))
        self.workers: dict[str, SimulatedWorker | RemoteWorker] = {
            f"worker-{n}": self._make_worker(n) for n in range(scenario.workers)
        }
        self.dispatchers = [self._make_dispatcher(n) for n in range(scenario.dispatchers)]
        self.local_dispatchers = [d for d in self.dispatchers if isinstance(d, SimulatedDispatcher)]
        self.leases: SimulatedLeases | None = None
        self.planners: list[SimulatedPlanner] = []
        self.planners = [SimulatedPlanner(self, n, scenario.solver) for n in range(scenario.planners)]
        if deployment.leases is not None and shard is None:
            self.leases = self._make_leases(deployment.leases)
            self.leases.contend(scenario.tasks, [dispatcher.name for dispatcher in self.local_dispatchers])
            for planner in self.planners:
                node = self.leases.nodes[planner.name]
                self.leases.request_lease(node, LEASE_NAME, planner.on_lease_acquired, planner.on_lease_lost)

    def _make_worker(self, number: int) -> SimulatedWorker | RemoteWorker:
        zones = self.deployment.zones
        identity = WorkerIdentity(f"worker-{number}", zones[number % len(zones)], cell=number // 2)
        if self.shard is not None and (home_shard := self.shard.shard_of_worker(number)) != self.shard.number:
            slow_start_ms = self.deployment.rules.slow_start_ms
            return RemoteWorker(self.shard, home_shard, identity, self.event_queue, self.settings, slow_start_ms)
        return SimulatedWorker(
            self.event_queue, self.deployment, identity, self.store, self.effect_log, self.seed, self.record_event
        )

    def _make_dispatcher(self, number: int) -> SimulatedDispatcher | RemoteDispatcher:
        if self.shard is not None and not self.shard.has_dispatcher(number):
            return RemoteDispatcher(number)
        zones = self.deployment.zones
        return SimulatedDispatcher(self, number, zones[number % len(zones)])

    def _make_leases(self, config: LeasesConfig) -> SimulatedLeases:
        peers = self.deployment.peers
        settings = SimulatedLeaseSettings(
            lease_settings(config),
            config.length_ms,
            sync_ms=self.settings.sync_ms,
            network_ms=self.settings.network_ms,
            silent_ms=peers.silence_timeout_ms if peers is not None else DEFAULT_SILENCE_TIMEOUT_MS,
        )
        names = [dispatcher.name for dispatcher in self.local_dispatchers]
        names += [planner.name for planner in self.planners]
        return SimulatedLeases(self.event_queue, settings, names, self.seed, self.record_event)

    def _schedule_scenario(self) -> None:
        """Schedule the loads, the faults and the first sample."""
        clients, fault_injector = SimulatedClients(self), FaultInjector(self)
        for load in self.scenario.load:
            clients.schedule_arrivals(load)
        for fault in self.scenario.faults:
            self.event_queue.at(self.load_start + fault.at * 1000, fault_injector.inject, fault)
        self._fetches_at_last_sample = 0
        self.event_queue.at(self.load_start + SAMPLE_OFFSET_MS, self._sample_second)

    def _sample_second(self) -> None:
        """Record the fetches and the gauges of the current second, and schedule the next sample."""
        second = self.current_second()
        second.calls_in_flight = sum(d.gateway.in_flight for d in self.local_dispatchers if d.up)
        second.loads, self._fetches_at_last_sample = (
            self.store.fetches - self._fetches_at_last_sample,
            self.store.fetches,
        )
        second.idle_mb = sum(w.idle_mb for w in self.workers.values() if isinstance(w, SimulatedWorker) and w.up)
        second.overloaded_dispatchers = sum(
            d.up and d.gateway.overload.stage is not OverloadStage.CALM for d in self.local_dispatchers
        )
        if self.event_queue.now < self.load_start + (len(self.seconds) - 1) * 1000:
            self.event_queue.after(1000.0, self._sample_second)

    def _record_event(self, event: str, /, **fields: Any) -> None:
        self.events.append({"what": event, "t": self.event_queue.now, **fields})

    def _record_for_run(self, event: str, /, **fields: Any) -> None:
        """Record an event of the complete run; only the first shard records these."""
        if self.record_event is not None and self.shard_part[0] == 0:
            self.record_event(event, **fields)

    def run(self) -> None:
        """Run the scenario, and then long enough for the last answers to arrive."""
        longest_timeout_ms = max(t.timeout_ms for t in self.deployment.types.values())
        self.event_queue.run(self.load_start + self.scenario.seconds * 1000 + longest_timeout_ms + LAST_ANSWERS_MS)

    def current_second(self) -> Second:
        """Return the counts of the current second of the load; times outside count in its first or last second."""
        return self.seconds[max(0, min(len(self.seconds) - 1, int((self.event_queue.now - self.load_start) / 1000)))]

    def publish_endpoints(self) -> None:
        """Send the current endpoint list to all planners and dispatchers."""
        self._endpoints_version += 1
        entries = [worker.endpoint for worker in self.workers.values() if worker.up]
        endpoints = self.endpoints = EndpointList(self._endpoints_version, entries, "lab")
        delay_ms = self.endpoints_delay_ms + self.settings.network_ms
        for planner in self.planners:
            if planner.up:
                self.event_queue.after(delay_ms, planner.on_endpoints, endpoints)
        for dispatcher in self.dispatchers:
            self.event_queue.after(delay_ms, dispatcher.on_endpoints, endpoints)


def result_of(cluster: SimulatedCluster) -> Result:
    """Return the results of a run in one process."""
    served = {
        f"served_{name}": in_time / calls for name, (calls, in_time) in cluster.calls_by_namespace.items() if calls
    }
    planned = {
        "plans": float(sum(p.plans for p in cluster.planners)),
        "moves": float(sum(p.moves for p in cluster.planners)),
        "idle_mb": float(np.mean([s.idle_mb for s in cluster.seconds[: int(cluster.scenario.seconds)]])),
    }
    return Result(
        cluster.seconds,
        cluster.latency,
        cluster.give_ups,
        cluster.event_queue.events,
        cluster.store.fetches,
        served | planned,
    )


def play(
    scenario: FaultScenario, deployment: Deployment, seed: int, settings: SimulationSettings | None = None
) -> Result:
    """Run a scenario in this process without a capture, and return its results."""
    cluster = SimulatedCluster(scenario, deployment, seed, settings)
    cluster.run()
    return result_of(cluster)
