"""A cluster in simulated time: real gateway cores with emulated network, disks, clients and endpoint lists.

A dispatcher is the program's `Gateway` with its journal on an emulated disk.  It is driven as the program's driver does
it: inputs, then effects until there are none, and one timer.  Each input costs CPU time, so an overloaded dispatcher
falls behind here, too.
"""

from __future__ import annotations

from typing import Any

import numpy as np

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.fault_scenario.report import describe_deployment
from kelptrail.fault_scenario.scenario import FaultScenario, ScenarioError
from kelptrail.gateway.overload import OverloadStage
from kelptrail.load.results import Result, Second
from kelptrail.membership.members import EndpointList
from kelptrail.planner.driver import LEASE_NAME
from kelptrail.service.fleet import lease_settings
from kelptrail.settings.deployment import Deployment, LeasesConfig

from .clients import SimulatedClients
from .dispatchers import SimulatedDispatcher
from .event_queue import EventQueue
from .faults import FaultInjector
from .leases import SimulatedLeases
from .planners import SimulatedPlanner
from .settings import SimulationSettings
from .sharding import RemoteDispatcher, RemoteStore, RemoteWorker, Shard, SharedEffectLog, answer_remote
from .workers import ConnectedWorker, SimulatedStore

DEFAULT_SILENCE_MS = 3000.0  # where a deployment has no (peers ...)


class SimulatedCluster:
    """One run of a fault scenario.  `capture`: keep all events for the history checker and the reports."""

    def __init__(
        self,
        scenario: FaultScenario,
        deployment: Deployment,
        seed: int,
        settings: SimulationSettings | None = None,
        capture: bool = False,
        shard: Shard | None = None,
    ) -> None:
        """`shard`: this process's part of a run over several.  Raises `ScenarioError` for planners without leases."""
        shard_part, self.shard = (shard.number, shard.shard_count) if shard is not None else (0, 1), shard
        self.seed = seed
        self.shard_part = shard_part
        self.scenario, self.deployment, self.settings = scenario, deployment, settings or SimulationSettings()
        self.event_queue = EventQueue()
        self.events: list[dict[str, Any]] = []
        self.record_event = self._record_event if capture else None
        self.store: Any = SimulatedStore(self.event_queue, deployment.store)
        self.by_model = {a.model: a for a in deployment.actions.values()}
        self._effect_log: dict[tuple[str, str], float] = {}
        if shard is not None:
            self._effect_log = SharedEffectLog(shard, self.event_queue, self.settings)
            if shard.number:
                self.store = RemoteStore(shard, self.event_queue, self.settings)
        self.endpoints_delay_ms, self._version = 0.0, 0
        zones = deployment.zones
        self.seconds: list[Second] = [Second() for _ in range(int(scenario.seconds) + 60)]
        self.latency: dict[str, list[float]] = {name: [] for name in deployment.types}
        self.give_ups: dict[str, int] = {}
        is_first_shard = shard_part[0] == 0
        if self.record_event is not None and is_first_shard:
            names = [f"dispatcher-{n}" for n in range(scenario.dispatchers)]
            self.record_event("world", **describe_deployment(deployment, names, scenario.workers))
        self.workers: dict[str, ConnectedWorker | RemoteWorker] = {
            f"worker-{n}": self._make_worker(n) for n in range(scenario.workers)
        }
        self.dispatchers: list[SimulatedDispatcher | RemoteDispatcher] = [
            SimulatedDispatcher(self, n, zones[n % len(zones)])
            if shard is None or shard.has_dispatcher(n)
            else RemoteDispatcher(n)
            for n in range(scenario.dispatchers)
        ]
        self.endpoints: EndpointList | None = None
        self.planners: list[SimulatedPlanner] = []
        self.leases: SimulatedLeases | None = None
        self.local_dispatchers = [d for d in self.dispatchers if isinstance(d, SimulatedDispatcher)]
        if scenario.planners and deployment.leases is None:
            raise ScenarioError(
                f"{scenario.name}: planners act under a lease: {scenario.deployment} needs (leases ...)"
            )
        self.planners = [SimulatedPlanner(self, n, scenario.solver) for n in range(scenario.planners)]
        if deployment.leases is not None and shard is None:
            self.leases = self._make_leases(deployment.leases)
            self.leases.contend(scenario.tasks, [dispatcher.name for dispatcher in self.local_dispatchers])
            for planner in self.planners:
                node = self.leases.nodes[planner.name]
                self.leases.want(node, LEASE_NAME, planner.on_lease_acquired, planner.on_lease_lost)
        self.publish_endpoints()
        self.by_namespace: dict[str, list[int]] = {n: [0, 0] for n in deployment.namespaces}  # wanted, served in time
        self.start = self.event_queue.now + 200
        if self.record_event is not None and is_first_shard:
            self.record_event("begin", start=self.start, seconds=scenario.seconds)
        self._schedule_scenario()

    def _make_worker(self, number: int) -> ConnectedWorker | RemoteWorker:
        zones, worker_id, cell = self.deployment.zones, f"worker-{number}", number // 2
        zone = zones[number % len(zones)]
        if self.shard is not None and (home := self.shard.shard_of_worker(number)) != self.shard.number:
            cold_ms = self.deployment.rules.cold_ms
            return RemoteWorker(self.shard, home, worker_id, zone, cell, self.event_queue, self.settings, cold_ms)
        return ConnectedWorker(
            self.event_queue,
            self.deployment,
            worker_id,
            zone,
            cell,
            self.store,
            self._effect_log,
            self.seed,
            True,
            self.record_event,
        )

    def _make_leases(self, settings: LeasesConfig) -> SimulatedLeases:
        names = [dispatcher.name for dispatcher in self.local_dispatchers]
        peers = self.deployment.peers
        return SimulatedLeases(
            self.event_queue,
            lease_settings(settings),
            settings.length_ms,
            names + [planner.name for planner in self.planners],
            self.seed,
            self.settings.sync_ms,
            self.settings.network_ms,
            peers.silence_timeout_ms if peers is not None else DEFAULT_SILENCE_MS,
            self.record_event,
        )

    def _schedule_scenario(self) -> None:
        """Schedule the loads, the faults and the first sample."""
        clients, fault_injector = SimulatedClients(self), FaultInjector(self)
        for load in self.scenario.load:
            clients.schedule_arrivals(load)
        for fault in self.scenario.faults:
            self.event_queue.at(self.start + fault.at * 1000, fault_injector.inject, fault)
        self._fetches_before = 0
        self.event_queue.at(self.start + 999.0, self._sample_second)

    def _sample_second(self) -> None:
        """Enter the gauges at the end of each second of the load."""
        second = self.second()
        second.in_hand = sum(d.gateway.in_flight for d in self.local_dispatchers if d.up)
        second.loads, self._fetches_before = self.store.fetches - self._fetches_before, self.store.fetches
        second.idle_mb = sum(w.idle_mb for w in self.workers.values() if isinstance(w, ConnectedWorker) and w.up)
        second.storming = sum(
            d.up and d.gateway.overload.stage is not OverloadStage.CALM for d in self.local_dispatchers
        )
        if self.event_queue.now < self.start + (len(self.seconds) - 1) * 1000:
            self.event_queue.after(1000.0, self._sample_second)

    def _record_event(self, event: str, /, **fields: Any) -> None:
        self.events.append({"what": event, "t": self.event_queue.now, **fields})

    def run(self) -> None:
        """Run the scenario, and then until the last client has its answer."""
        longest_timeout_ms = max(t.timeout_ms for t in self.deployment.types.values())
        self.event_queue.run(self.start + self.scenario.seconds * 1000 + longest_timeout_ms + 5000)

    def second(self) -> Second:
        """The results of the current second, counted from the start of the load."""
        return self.seconds[max(0, min(len(self.seconds) - 1, int((self.event_queue.now - self.start) / 1000)))]

    # Endpoint lists.

    def publish_endpoints(self) -> None:
        """Send the current endpoint list to all planners and dispatchers."""
        self._version += 1
        entries = [worker.endpoint for worker in self.workers.values() if worker.up]
        endpoints = self.endpoints = EndpointList(self._version, entries, "lab")
        for planner in self.planners:
            if planner.up:
                self.event_queue.after(
                    self.endpoints_delay_ms + self.settings.network_ms, planner.on_endpoints, endpoints
                )
        for dispatcher in self.dispatchers:
            self.event_queue.after(
                self.endpoints_delay_ms + self.settings.network_ms, dispatcher.on_endpoints, endpoints
            )

    # Other shards.

    def on_shard_message(self, kind: str, arguments: tuple[Any, ...]) -> None:
        """A message of another shard arrives."""
        shard, network_ms = self.shard, self.settings.network_ms
        assert shard is not None
        if kind == "reply":
            shard.on_reply(*arguments)
        elif kind == "mark":
            assert isinstance(self._effect_log, SharedEffectLog)
            self._effect_log.on_remote_effect(*arguments)
        else:
            to, number, *rest = arguments
            reply = answer_remote(shard, self.event_queue, network_ms, to, number)
            if kind == "fetch":
                self.store.fetch(rest[0], reply)
                return
            worker = self.workers[rest[0]]
            assert isinstance(worker, ConnectedWorker)
            if not worker.up:
                reply(AttemptStatus.UNREACHABLE, None if kind == "send" else 0)
            elif kind == "order":
                worker.order_instances(self.by_model[rest[1]], rest[2], rest[3], reply)
            else:
                path, mark, activation, attempt, process_id, limit = rest[1:]
                worker.open_replies[reply] = None

                def end(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
                    worker.open_replies.pop(reply, None)
                    reply(outcome, answer)

                worker.start_attempt(self.deployment.actions[path], mark, activation, attempt, process_id, limit, end)


def result_of(cluster: SimulatedCluster) -> Result:
    """The results of a run in one process."""
    served = {f"served_{name}": in_time / wanted for name, (wanted, in_time) in cluster.by_namespace.items() if wanted}
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
    """The results of one run in this process, without a capture."""
    cluster = SimulatedCluster(scenario, deployment, seed, settings)
    cluster.run()
    return result_of(cluster)
