"""A cluster in simulated time: real gateway cores with emulated network, disks, clients and endpoint lists.

A dispatcher is the program's `Gateway` with its journal on an emulated disk.  It is driven as the program's driver does
it: inputs, then effects until there are none, and one timer.  Each input costs CPU time, so an overloaded dispatcher
falls behind here, too.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import numpy as np

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder
from kelptrail.fault_scenario.report import describe_deployment
from kelptrail.fault_scenario.scenario import (
    DISK_FAULTS,
    PEER_FAULTS,
    PLANNER_FAULTS,
    STORE_FAULTS,
    WORKER_FAULTS,
    Fault,
    FaultScenario,
)
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import CancelAttempt, FinalAnswer, StartAttempt, StartLoad
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.overload import OverloadStage
from kelptrail.gateway.records import Record
from kelptrail.load.arrivals import Arrivals, popularity
from kelptrail.load.client_behavior import ClientBehavior, ClientOutcome, behavior_of, retry_delay_ms
from kelptrail.load.plan import Load
from kelptrail.load.results import Result, Second
from kelptrail.membership.members import EndpointList
from kelptrail.planner.driver import LEASE_NAME
from kelptrail.service.fleet import lease_settings
from kelptrail.settings.deployment import ActionSettings, Deployment, NamespaceSettings
from kelptrail.store.activation_journal import ActivationEntries
from kelptrail.store.entries import Accepted, Ended, MayRun
from kelptrail.store.group_commit import GroupCommit

from .event_queue import EventQueue, Timer
from .leases import SimulatedLeases
from .planners import SimulatedEdge, SimulatedPlanner
from .sharding import RemoteDispatcher, RemoteStore, RemoteWorker, Shard, SharedEffectLog, answer_remote
from .workers import SimulatedStore, SimulatedWorker

POLL_MS, POLLING_GRACE_MS, WALL_CLOCK_ORIGIN_MS = 150.0, 3000.0, 1e12


class SimulationError(ValueError):
    """A scenario that its deployment does not support."""


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """What the simulation assumes of machines and networks, in ms; field names are keys of experiments."""

    network_ms: float = 0.15  # one way, with what the loops on both ends add
    cpu_ms: float = 0.1  # of a dispatcher, for each call and each answer
    sync_ms: float = 2.0  # of its disk
    start_ms: float = 600.0  # a dispatcher's start until it serves
    restart_ms: float = 700.0  # a worker's


@dataclass(slots=True, eq=False)
class ClientCall:
    """A call that a client wants done, over all its attempts to get it accepted and answered."""

    ticket: str
    action: ActionSettings
    namespace: NamespaceSettings
    deferred: bool
    behavior: ClientBehavior
    tries: int
    dispatcher: int = 0
    sent_at: float = 0.0
    activation: str = ""
    number: str = ""
    first_sent_at: float = 0.0  # simulated ms
    patience_timer: Timer | None = None
    invocation: Invocation | None = None
    run: int = 0  # start number of the dispatcher that accepted it
    after: Callable[[], None] | None = None  # in a closed loop: the client's next step


class SimulatedDispatcher:
    """One dispatcher's process."""

    def __init__(self, cluster: SimulatedCluster, number: int, zone: str) -> None:
        self._cluster, self.number, self.name, self._zone = cluster, number, f"dispatcher-{number}", zone
        self.up, self.starts, self._journal_entries = False, 0, dict[str, ActivationEntries]()
        self._settings, self._event_queue = cluster.settings, cluster.event_queue
        self.sync_ms, self.disk_fails = cluster.settings.sync_ms, False
        self.endpoints: EndpointList | None = None
        self.start_process()
        self.edge = SimulatedEdge(cluster, self) if cluster.scenario.planners else None

    def start_process(self) -> None:
        """Start the process with nothing but the last endpoint list and the journal."""
        self.starts += 1
        self.boot = f"{zlib.crc32(f'{self.name}/{self.starts}'.encode()):08x}{self.number:04x}{self.starts:04x}"
        self.process_id = f"{self.name}/{self.boot}"
        cluster = self._cluster
        self.journal = GroupCommit(cluster.deployment.journal.most_waiting) if cluster.deployment.journal.keep else None
        world = DispatcherParts(cluster.deployment, self._zone, zlib.crc32(self.boot.encode()))
        self.gateway = Gateway(world, self.boot, self.journal)
        self.gateway.answer_ms = 2 * self._settings.cpu_ms
        self._busy_until, self._timer, self._timer_at, self._deciding = 0.0, None, float("inf"), False
        self._open_orders: dict[LoadOrder, Timer] = {}
        self._open_attempts: dict[Attempt, None] = {}
        self._syncing = False
        self.up = True
        if self.journal is not None and self._journal_entries:
            margin = 2 * cluster.deployment.dispatcher.answer_margin_ms
            self.gateway.recover(
                self._event_queue.now,
                WALL_CLOCK_ORIGIN_MS + self._event_queue.now,
                self._journal_entries.values(),
                margin,
                cluster.deployment.journal.resume_at_once,
            )
        if self.endpoints is not None:
            self.gateway.on_endpoints(self._event_queue.now, self.endpoints)
        self.schedule_decisions()

    _timer: Timer | None
    edge: SimulatedEdge | None

    def kill(self) -> None:
        """End the process; its journal remains."""
        self.up = False

    def lose_disk(self) -> None:
        """Erase the journal."""
        self._journal_entries = {}

    def pause(self, duration_ms: float) -> None:
        """Stop the process for a time; inputs queue meanwhile."""
        self._busy_until = max(self._busy_until, self._event_queue.now) + duration_ms

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """A new endpoint list has arrived."""
        self.endpoints = endpoints
        if self.up:
            self.gateway.on_endpoints(self._event_queue.now, endpoints)
            if self.edge is not None:
                self.edge.on_endpoints()
            if self._cluster.record_event is not None:
                self._cluster.record_event(
                    "list",
                    to=self.process_id,
                    version=endpoints.version,
                    workers={w.id: [w.state, w.incarnation] for w in endpoints.workers},
                )
            self.schedule_decisions()

    def enqueue_input(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Queue an input for the dispatcher's CPU."""
        start = self.starts
        self._busy_until = max(self._busy_until, self._event_queue.now) + self._settings.cpu_ms
        self._event_queue.at(self._busy_until, self._run_input, start, callback, arguments)

    def _run_input(self, start: int, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        if start == self.starts and self.up:
            callback(*arguments)
            self.schedule_decisions()

    # What the driver does in the program.

    def schedule_decisions(self) -> None:
        """Carry out effects of the core until there are none, then write the journal and set the timer."""
        if self._deciding:
            return
        self._deciding = True
        now, gateway = self._event_queue.now, self.gateway
        try:
            while (effect := gateway.next_effect(now)) is not None:
                if isinstance(effect, StartAttempt):
                    self._start_attempt(effect.invocation, effect.attempt)
                elif isinstance(effect, FinalAnswer):
                    waiters, effect.invocation.waiters = effect.invocation.waiters, []
                    for waiter in waiters:
                        waiter(effect.invocation.record)
                elif isinstance(effect, StartLoad):
                    self._start_load(effect.order)
                elif isinstance(effect, CancelAttempt) and effect.attempt in self._open_attempts:
                    del self._open_attempts[effect.attempt]
                    outcome = AttemptStatus.CANCELLED if effect.reason == "revoked" else AttemptStatus.SILENT
                    self._event_queue.after(0.0, self._on_attempt_finished, self.starts, effect.attempt, outcome, None)
        finally:
            self._deciding = False
        self._write_journal()
        due = gateway.next_due()
        if due < self._timer_at - 0.01 or self._timer is None:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self._event_queue.at(due, self._on_timer, self.starts)

    def _on_timer(self, start: int) -> None:
        if start == self.starts and self.up:
            self._timer, self._timer_at = None, float("inf")
            self.schedule_decisions()

    def _on_attempt_finished(
        self, start: int, attempt: Attempt, outcome: AttemptStatus, answer: WorkerAnswer | None
    ) -> None:
        if start == self.starts and self.up and attempt.status is None:
            self.gateway.on_attempt_finished(self._event_queue.now, attempt, outcome, answer)
            self.schedule_decisions()

    def _start_attempt(self, invocation: Invocation, attempt: Attempt) -> None:
        worker = self._cluster.workers[attempt.instance.worker.id]
        start, network_ms = self.starts, self._settings.network_ms
        self._open_attempts[attempt] = None
        self._cluster.second().sends += 1
        if isinstance(worker, RemoteWorker):
            if worker.up:
                worker.request(
                    "send",
                    lambda outcome, answer: finish(outcome, answer),
                    invocation.action.path,
                    invocation.deduplication_id,
                    invocation.record.id,
                    attempt.number,
                    self.process_id,
                    attempt.request.deadline - attempt.started_at,
                )
            else:
                self._event_queue.after(2 * network_ms, lambda: finish(AttemptStatus.UNREACHABLE, None))

        def send_back(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            if attempt in self._open_attempts:
                self._event_queue.after(network_ms, finish, outcome, answer)

        def finish(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            if self.up and start == self.starts and attempt in self._open_attempts:
                del self._open_attempts[attempt]
                self.enqueue_input(self._on_attempt_finished, start, attempt, outcome, answer)

        def arrive() -> None:
            assert not isinstance(worker, RemoteWorker)
            if not worker.up:
                send_back(AttemptStatus.UNREACHABLE, None)
                return
            worker.open_replies[send_back] = None
            worker.start_attempt(
                invocation.action,
                invocation.deduplication_id,
                invocation.record.id,
                attempt.number,
                self.process_id,
                attempt.request.deadline - attempt.started_at,
                end,
            )

        def end(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            assert not isinstance(worker, RemoteWorker)
            worker.open_replies.pop(send_back, None)
            send_back(outcome, answer)

        if not isinstance(worker, RemoteWorker):
            self._event_queue.after(network_ms, arrive)

    def _start_load(self, order: LoadOrder) -> None:
        worker, start, network_ms = (
            self._cluster.workers[order.instance.worker.id],
            self.starts,
            self._settings.network_ms,
        )
        action = self._cluster.by_model[order.instance.function.id]
        if order.count:
            self._cluster.second().orders += 1

        def reply(outcome: AttemptStatus, loaded: int) -> None:
            self._event_queue.after(network_ms, finish, outcome, loaded)

        def finish(outcome: AttemptStatus, loaded: int) -> None:
            timer = self._open_orders.pop(order, None) if start == self.starts else None
            if timer is not None and self.up:
                timer.cancel()
                self.gateway.on_load_report(self._event_queue.now, order, outcome, loaded)
                self.schedule_decisions()

        def arrive() -> None:
            assert not isinstance(worker, RemoteWorker)
            if worker.up:
                worker.order_instances(action, order.count, self.process_id, reply)
            else:
                reply(AttemptStatus.UNREACHABLE, 0)

        self._open_orders[order] = self._event_queue.after(
            self._cluster.deployment.pool.order_ms, finish, AttemptStatus.SILENT, 0
        )
        if isinstance(worker, RemoteWorker):
            worker.request("order", finish, order.instance.function.id, order.count, self.process_id)
        else:
            self._event_queue.after(network_ms, arrive)

    def _write_journal(self) -> None:
        """Write the next batch of the journal, one batch at a time."""
        if self.journal is None or self._syncing:
            return
        batch = self.journal.next_batch(self._event_queue.now)
        if batch is not None:
            self._syncing = True
            self._event_queue.after(self.sync_ms, self._on_journal_written, self.starts, batch)

    def _on_journal_written(self, start: int, batch: Any) -> None:
        if start != self.starts or not self.up or self.journal is None:
            return
        self._syncing = False
        if self.disk_fails:
            self.journal.on_batch_failed(self._event_queue.now, batch.number, "the disk fails")
        else:
            for endpoint in batch.entries:
                if isinstance(endpoint, Accepted):
                    self._journal_entries.setdefault(endpoint.id, ActivationEntries(endpoint))
                elif (entries := self._journal_entries.get(endpoint.id)) is not None:
                    if isinstance(endpoint, MayRun):
                        entries.may_run = entries.may_run or endpoint
                    elif isinstance(endpoint, Ended):
                        entries.ended = entries.ended or endpoint
            self.journal.on_batch_durable(batch.number)
        self.schedule_decisions()


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
        """`shard`: this process's part of a run over several.  Raises `SimulationError` for planners without leases."""
        shard_part, self.shard = (shard.number, shard.shard_count) if shard is not None else (0, 1), shard
        self._seed = seed
        self._shard_part, self._id_prefix = shard_part, f"{shard_part[0]}-" if shard_part[1] > 1 else ""
        self.scenario, self.deployment, self.settings = scenario, deployment, settings or SimulationSettings()
        self.event_queue = EventQueue()
        self.events: list[dict[str, Any]] = []
        self.record_event = self._record_event if capture else None
        self._random = np.random.default_rng([seed, 11])
        self._client_random = np.random.default_rng([seed, 7, *shard_part] if shard_part[1] > 1 else [seed, 7])
        self.store: Any = SimulatedStore(self.event_queue, deployment.store)
        self.by_model = {a.model: a for a in deployment.actions.values()}
        self._effect_log: dict[tuple[str, str], float] = {}
        if shard is not None:
            self._effect_log = SharedEffectLog(shard, self.event_queue, self.settings)
            if shard.number:
                self.store = RemoteStore(shard, self.event_queue, self.settings)
        self._endpoints_delay_ms, self._version = 0.0, 0
        halls = deployment.halls
        self.seconds: list[Second] = [Second() for _ in range(int(scenario.seconds) + 60)]
        self.latency: dict[str, list[float]] = {name: [] for name in deployment.types}
        self.give_ups: dict[str, int] = {}
        is_first_shard = shard_part[0] == 0
        if self.record_event is not None and is_first_shard:
            names = [f"dispatcher-{n}" for n in range(scenario.dispatchers)]
            self.record_event("world", **describe_deployment(deployment, names, scenario.workers))
        self.workers: dict[str, _Worker | RemoteWorker] = {}
        for n in range(scenario.workers):
            worker_id, zone, cell = f"worker-{n}", halls[n % len(halls)], n // 2
            if shard is not None and shard.shard_of_worker(n) != shard.number:
                self.workers[worker_id] = RemoteWorker(
                    shard,
                    shard.shard_of_worker(n),
                    worker_id,
                    zone,
                    cell,
                    self.event_queue,
                    self.settings,
                    deployment.rules.cold_ms,
                )
            else:
                self.workers[worker_id] = _Worker(
                    self.event_queue,
                    deployment,
                    worker_id,
                    zone,
                    cell,
                    self.store,
                    self._effect_log,
                    seed,
                    True,
                    self.record_event,
                )
        self.dispatchers: list[SimulatedDispatcher | RemoteDispatcher] = [
            SimulatedDispatcher(self, n, halls[n % len(halls)])
            if shard is None or shard.has_dispatcher(n)
            else RemoteDispatcher(n)
            for n in range(scenario.dispatchers)
        ]
        self.endpoints: EndpointList | None = None
        self.planners: list[SimulatedPlanner] = []
        self.leases: SimulatedLeases | None = None
        self.local_dispatchers = [d for d in self.dispatchers if isinstance(d, SimulatedDispatcher)]
        if scenario.planners and deployment.leases is None:
            raise SimulationError(
                f"{scenario.name}: planners act under a lease: {scenario.deployment} needs (leases ...)"
            )
        self.planners = [SimulatedPlanner(self, n, scenario.solver) for n in range(scenario.planners)]
        if deployment.leases is not None and shard is None:
            names = [d.name for d in self.local_dispatchers]
            self.leases = SimulatedLeases(
                self.event_queue,
                lease_settings(deployment.leases),
                deployment.leases.length_ms,
                names + [p.name for p in self.planners],
                seed,
                self.settings.sync_ms,
                self.settings.network_ms,
                deployment.peers.silent_ms if deployment.peers is not None else 3000.0,
                self.record_event,
            )
            self.leases.contend(scenario.tasks, names)
            for planner in self.planners:
                self.leases.want(
                    self.leases.nodes[planner.name], LEASE_NAME, planner.on_lease_acquired, planner.on_lease_lost
                )
        self._publish_endpoints()
        self.by_namespace: dict[str, list[int]] = {n: [0, 0] for n in deployment.namespaces}  # wanted, served in time
        self._ticket_count = self._call_count = 0
        self.start = self.event_queue.now + 200
        if self.record_event is not None and is_first_shard:
            self.record_event("begin", start=self.start, seconds=scenario.seconds)
        spaces = list(deployment.namespaces.values())
        shares = np.array([s.allowed_per_s for s in spaces])
        self._namespaces, self._cumulative_shares = spaces, np.cumsum(shares / shares.sum())
        for load in scenario.load:
            self._schedule_arrivals(load)
        for fault in scenario.faults:
            self.event_queue.at(self.start + fault.at * 1000, self._inject, fault)
        self._fetches_before = 0
        self.event_queue.at(self.start + 999.0, self._sample_second)

    def _sample_second(self) -> None:
        """Enter the gauges at the end of each second of the load."""
        second = self.second()
        second.in_hand = sum(d.gateway.in_flight for d in self.local_dispatchers if d.up)
        second.loads, self._fetches_before = self.store.fetches - self._fetches_before, self.store.fetches
        second.idle_mb = sum(w.idle_mb for w in self.workers.values() if isinstance(w, _Worker) and w.up)
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

    def _publish_endpoints(self) -> None:
        self._version += 1
        entries = [worker.endpoint for worker in self.workers.values() if worker.up]
        endpoints = self.endpoints = EndpointList(self._version, entries, "lab")
        for planner in self.planners:
            if planner.up:
                self.event_queue.after(
                    self._endpoints_delay_ms + self.settings.network_ms, planner.on_endpoints, endpoints
                )
        for dispatcher in self.dispatchers:
            self.event_queue.after(
                self._endpoints_delay_ms + self.settings.network_ms, dispatcher.on_endpoints, endpoints
            )

    # Clients.

    def _schedule_arrivals(self, load: Load) -> None:
        """A load's arrivals, drawn a second at a time; of a closed loop its clients, spread over their first pause."""
        end = min(self.scenario.seconds, load.at + load.duration)
        actions = list(self.deployment.actions.values())
        by_path = {a.path: a for a in actions}
        cumulative_popularity = np.cumsum(popularity(list(by_path), load))
        # A stream of its own: variants of an experiment meet the same arrivals, whatever their clients do.
        random = np.random.default_rng([self._seed, 13, self.scenario.load.index(load), self._shard_part[0]])
        arrivals = Arrivals(load, random, self._shard_part)

        def draw_second(at: float) -> None:
            span_s = min(1.0, end - at)
            if span_s <= 0:
                return
            found = arrivals.draw(at, span_s)
            picks = np.searchsorted(cumulative_popularity, random.random(len(found)))
            for (when, named), pick in zip(found, picks, strict=True):
                self.event_queue.at(
                    self.start + when * 1000, self._begin_call, by_path.get(named) or actions[int(pick)], load
                )
            self.event_queue.at(self.start + (at + span_s) * 1000, draw_second, at + span_s)

        def call_now() -> None:
            if self.event_queue.now < self.start + end * 1000:
                self._begin_call(
                    actions[int(np.searchsorted(cumulative_popularity, self._client_random.random()))], load, pause
                )

        def pause() -> None:
            self.event_queue.after(float(self._client_random.exponential(load.think)) * 1000, call_now)

        if load.shape == "closed":
            for _ in range(self._shard_part[0], load.clients, self._shard_part[1]):
                self.event_queue.at(self.start + load.at * 1000, pause)
        else:
            self.event_queue.at(self.start + load.at * 1000, draw_second, load.at)

    def _begin_call(self, action: ActionSettings, load: Load, after: Callable[[], None] | None = None) -> None:
        self._ticket_count += 1
        random = self._client_random
        namespace = (
            self.deployment.namespaces.get(load.namespace)
            or (self._namespaces[int(np.searchsorted(self._cumulative_shares, random.random()))])
        )
        call = ClientCall(
            f"t{self._id_prefix}{self._ticket_count}",
            action,
            namespace,
            bool(random.random() < load.deferred),
            behavior_of(float(random.random()), load.retry_after_share, load.half_retry_after_share),
            1 + load.retries,
            first_sent_at=self.event_queue.now,
            after=after,
        )
        self.by_namespace[namespace.name][0] += 1
        self._send_call(call, None)

    def _send_call(self, call: ClientCall, last: int | None) -> None:
        call.tries -= 1
        self._call_count += 1
        count, kind = len(self.local_dispatchers), self.deployment.types[call.action.type]
        call.dispatcher = int(self._client_random.integers(count)) if last is None else (last + 1) % count
        call.number, call.sent_at, call.activation, call.invocation = (
            f"c{self._id_prefix}{self._call_count}",
            self.event_queue.now,
            "",
            None,
        )
        second = self.second()
        second.calls += 1
        second.repeats += self.event_queue.now > call.first_sent_at
        if self.record_event is not None:
            self.record_event(
                "call",
                call=call.number,
                ticket=call.ticket,
                action=call.action.path,
                type=kind.name,
                dispatcher=self.local_dispatchers[call.dispatcher].number,
                deferred=call.deferred,
                limit_ms=kind.timeout_ms,
                front=False,
            )
        dispatcher = self.local_dispatchers[call.dispatcher]
        call.patience_timer = self.event_queue.after(kind.timeout_ms + 500, self._on_patience_over, call, call.number)
        self.event_queue.after(self.settings.network_ms, self._arrive, dispatcher, call, call.number)

    def _arrive(self, dispatcher: SimulatedDispatcher, call: ClientCall, number: str) -> None:
        if not dispatcher.up:
            self._on_not_taken(call)
        else:
            dispatcher.enqueue_input(self._on_call_arrived, dispatcher, call, number)

    def _on_not_taken(self, call: ClientCall) -> None:
        self._cancel_patience(call)
        self.second().not_taken += 1
        if self.record_event is not None:
            self.record_event("not-taken", call=call.number)
        self._retry_or_end(call, ClientOutcome.NOT_TAKEN)

    def _cancel_patience(self, call: ClientCall) -> None:
        if call.patience_timer is not None:
            call.patience_timer.cancel()
            call.patience_timer = None

    def _on_call_arrived(self, dispatcher: SimulatedDispatcher, call: ClientCall, number: str) -> None:
        if call.number != number:
            return
        gateway, now = dispatcher.gateway, self.event_queue.now
        kind = self.deployment.types[call.action.type]
        key = call.ticket if kind.effect == "deduplicated" else None
        if key is not None:
            known = gateway.find_by_key(call.namespace.name, call.action.path, key, "")
            if known is not None:
                self._join_activation(dispatcher, call, known)
                return
        if call.deferred and gateway.durability.journal is not None and not gateway.durability.journal.is_accepting():
            self._on_not_taken(call)
            return
        refused = gateway.on_connect(now, call.namespace.name, call.action.path, 100, call.ticket)
        if refused is not None:
            self._finish_call(call, "", "rejected", refused[1], None)
            return
        invocation = gateway.submit(
            now,
            WALL_CLOCK_ORIGIN_MS + now,
            call.namespace.name,
            call.action,
            b"{}",
            key,
            "",
            lambda record: self._deliver_record(call, number, record),
            call.deferred,
            client_key=call.ticket,
        )
        call.invocation, call.run = invocation, dispatcher.starts
        if call.deferred:
            dispatcher.schedule_decisions()
            if not invocation.record.final:
                gateway.when_durable(
                    invocation, lambda safe: self._on_promise_settled(dispatcher, call, invocation, safe)
                )
                dispatcher.schedule_decisions()

    def _join_activation(self, dispatcher: SimulatedDispatcher, call: ClientCall, record: Record) -> None:
        invocation = dispatcher.gateway.in_flight_of(record.id)
        if record.visible:
            self._deliver_record(call, call.number, record)
        elif call.deferred or invocation is None:
            self._on_accepted(call, record.id)
        else:
            number = call.number
            invocation.waiters.append(lambda ended: self._deliver_record(call, number, ended))

    def _on_promise_settled(
        self, dispatcher: SimulatedDispatcher, call: ClientCall, invocation: Invocation, safe: bool | None
    ) -> None:
        if safe:
            invocation.waiters.clear()
            self._on_accepted(call, invocation.record.id)
        else:
            dispatcher.gateway.on_client_gone(self.event_queue.now, invocation)
            self._on_not_taken(call)

    def _on_accepted(self, call: ClientCall, activation_id: str) -> None:
        self._cancel_patience(call)
        call.activation = activation_id
        if self.record_event is not None:
            self.record_event("accepted", call=call.number, activation=activation_id)
        self.event_queue.after(POLL_MS, self._poll, call)

    def _poll(self, call: ClientCall) -> None:
        kind, dispatcher = self.deployment.types[call.action.type], self.local_dispatchers[call.dispatcher]
        record = dispatcher.gateway.records.get(call.namespace.name, call.activation) if dispatcher.up else None
        if record is not None and record.visible:
            self._finish_with_record(call, record, record.end - record.start)
        elif self.event_queue.now - call.sent_at > kind.timeout_ms + POLLING_GRACE_MS:
            self._on_call_lost(call, "polled")
        else:
            self.event_queue.after(POLL_MS, self._poll, call)

    def _deliver_record(self, call: ClientCall, number: str, record: Record) -> None:
        self.event_queue.after(self.settings.network_ms, self._on_record_received, call, number, record)

    def _on_record_received(self, call: ClientCall, number: str, record: Record) -> None:
        if call.number == number and call.patience_timer is not None:
            self._cancel_patience(call)
            self._finish_with_record(call, record, None)

    def _finish_with_record(self, call: ClientCall, record: Record, took: float | None) -> None:
        repeat_within_ms = record.deduplicated_for_ms or None
        self._finish_call(
            call, record.id, record.answer or "", record.retry_after_ms, repeat_within_ms, took, record.code
        )

    def _on_patience_over(self, call: ClientCall, number: str) -> None:
        if call.number == number and call.patience_timer is not None:
            call.patience_timer = None
            dispatcher = self.local_dispatchers[call.dispatcher]
            if (
                dispatcher.up
                and call.run == dispatcher.starts
                and call.invocation is not None
                and not call.invocation.record.key
            ):
                call.invocation.waiters.clear()
                dispatcher.enqueue_input(self._tell_client_gone, dispatcher, call.invocation)
            self._on_call_lost(call, "no-answer")

    @staticmethod
    def _tell_client_gone(dispatcher: SimulatedDispatcher, invocation: Invocation) -> None:
        dispatcher.gateway.on_client_gone(dispatcher._event_queue.now, invocation)

    def _on_call_lost(self, call: ClientCall, ending: str) -> None:
        self.second().lost += 1
        self.give_ups[ending] = self.give_ups.get(ending, 0) + 1
        if self.record_event is not None:
            self.record_event("no-answer", call=call.number, ending=ending)
        self._retry_or_end(call, ClientOutcome.LOST)

    def _finish_call(
        self,
        call: ClientCall,
        activation: str,
        answer: str,
        return_ms: float,
        repeat_within_ms: float | None,
        took: float | None = None,
        code: int = 0,
    ) -> None:
        self._cancel_patience(call)
        kind, second = self.deployment.types[call.action.type], self.second()
        if self.record_event is not None:
            self.record_event(
                "final", call=call.number, activation=activation, answer=answer, status=0, lag=0.0, took=took, code=code
            )
        if answer == "completed":
            took = self.event_queue.now - call.sent_at if took is None else took
            second.completed += 1
            second.in_time += took <= kind.target_ms
            self.by_namespace[call.namespace.name][1] += took <= kind.target_ms
            self.latency[kind.name].append(took)
        else:
            self.give_ups[answer] = self.give_ups.get(answer, 0) + 1
            if answer == "rejected":
                second.rejected += 1
            else:
                second.aborted += 1
        self._retry_or_end(call, ClientOutcome(answer), return_ms, repeat_within_ms)

    def _retry_or_end(
        self, call: ClientCall, outcome: ClientOutcome, retry_after_ms: float = 0.0, within_ms: float | None = None
    ) -> None:
        """Retry or end the call, by the client's behavior."""
        kind = self.deployment.types[call.action.type]
        wait = retry_delay_ms(
            call.behavior,
            outcome,
            kind.effect,
            kind.timeout_ms,
            retry_after_ms,
            within_ms,
            self.event_queue.now - call.sent_at,
        )
        if wait is not None and outcome is ClientOutcome.NOT_TAKEN and call.tries > -20:
            self.event_queue.after(wait, self._send_call, call, call.dispatcher)
        elif wait is not None and outcome is not ClientOutcome.NOT_TAKEN and call.tries > 0:
            self.event_queue.after(
                wait * float(self._client_random.uniform(*call.behavior.jitter)), self._send_call, call, call.dispatcher
            )
        elif call.after is not None:
            call.after()

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
            assert isinstance(worker, _Worker)
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

    # Faults.

    def _inject(self, fault: Fault) -> None:
        kind = fault.kind
        if kind in WORKER_FAULTS:
            up = [w for w in self.workers.values() if w.up]
            count = min(len(up), max(1, round(fault.part * len(up))))
            victims = [up[int(n)] for n in self._random.choice(len(up), count, replace=False)] if up else []
            self._record_fault(kind, fault, [w.id for w in victims])
            for number, worker in enumerate(victims):
                if kind == "crash":
                    self._crash(worker, fault.duration * 1000)
                elif kind in ("rolling-deploy", "drain"):
                    pause = fault.duration * 1000 / max(1, len(victims))
                    self.event_queue.after(number * (pause + 1000), self._deploy, worker, kind == "rolling-deploy")
                else:
                    worker.inject(kind, fault)
                    if kind == "restart-cold":
                        worker.close_connections()
                        self._publish_endpoints()
            return
        if kind in PLANNER_FAULTS:
            self._record_fault(kind, fault, [p.name for p in self.planners])
            self._inject_planner_fault(fault)
            return
        dispatchers = self.dispatchers
        if kind == "kill-dispatchers" or kind in (*DISK_FAULTS, *PEER_FAULTS):
            count = max(1, round(fault.part * len(self.dispatchers)))
            dispatchers = [
                self.dispatchers[int(n)] for n in self._random.choice(len(self.dispatchers), count, replace=False)
            ]
        self._record_fault(kind, fault, [d.name for d in dispatchers] if kind not in STORE_FAULTS else [])
        if kind in STORE_FAULTS:
            self.store.inject(kind.removeprefix("store-"), fault.factor, fault.duration * 1000)
        elif kind == "list-late":
            self._endpoints_delay_ms = fault.ms
            self.event_queue.after(fault.duration * 1000, setattr, self, "_endpoints_delay_ms", 0.0)
        elif kind == "kill-dispatchers":
            for dispatcher in dispatchers:
                self._kill(dispatcher, fault.duration * 1000)
        elif kind == "lose-machines":
            for_good = fault.at + fault.duration > self.scenario.seconds
            for dispatcher in dispatchers:
                self._kill(dispatcher, None if for_good else fault.duration * 1000, True)
        elif kind in PEER_FAULTS:
            if kind == "pause-dispatchers":
                for dispatcher in self.local_dispatchers:
                    if dispatcher in dispatchers:
                        dispatcher.pause(fault.duration * 1000)
                        if self.record_event is not None:
                            self.record_event("stopped", dispatcher=dispatcher.number)
                            self.event_queue.after(fault.duration * 1000, self._record_resumed, dispatcher)
            if self.leases is not None:
                self.leases.inject(fault, [d.name for d in dispatchers], lambda: bool(self._random.random() < 0.5))
        elif kind in DISK_FAULTS:
            for dispatcher in dispatchers:
                if kind == "disk-slow":
                    dispatcher.sync_ms = fault.ms
                else:
                    dispatcher.disk_fails = True
                if self.leases is not None:
                    self.leases.set_disk(dispatcher.name, dispatcher.sync_ms, dispatcher.disk_fails)
                self.event_queue.after(fault.duration * 1000, self._restore_disk, dispatcher)

    def _inject_planner_fault(self, fault: Fault) -> None:
        count = max(1, round(fault.part * len(self.planners))) if self.planners else 0
        victims = (
            [self.planners[int(n)] for n in self._random.choice(len(self.planners), count, replace=False)]
            if (count)
            else []
        )
        for planner in victims:
            if fault.kind == "planners-slow":
                planner.slow_ms = fault.ms
                self.event_queue.after(fault.duration * 1000, setattr, planner, "slow_ms", 0.0)
            elif fault.kind == "planners-wrong":
                planner.core.demand.error_factor = fault.factor
                self.event_queue.after(fault.duration * 1000, setattr, planner.core.demand, "error_factor", 1.0)
            elif fault.kind in ("pause-planners", "cut-planners"):
                assert self.leases is not None
                self.leases.inject(
                    replace(
                        fault, kind={"pause-planners": "pause-dispatchers", "cut-planners": "cut-peers"}[fault.kind]
                    ),
                    [planner.name],
                    lambda: bool(self._random.random() < 0.5),
                )
            else:
                planner.kill()
                self.event_queue.after(
                    fault.duration * 1000 + self.settings.start_ms,
                    planner.start_process,
                    fault.kind == "planners-forget",
                )

    def _record_fault(self, kind: str, fault: Fault, names: list[str]) -> None:
        if self.record_event is not None and self._shard_part[0] == 0:
            self.record_event("trouble", kind=kind, seconds=fault.duration, factor=fault.factor, of=names)

    def _restore_disk(self, dispatcher: SimulatedDispatcher | RemoteDispatcher) -> None:
        dispatcher.sync_ms, dispatcher.disk_fails = self.settings.sync_ms, False
        if self.leases is not None:
            self.leases.set_disk(dispatcher.name, dispatcher.sync_ms, False)

    def _kill(
        self, dispatcher: SimulatedDispatcher | RemoteDispatcher, down_ms: float | None, disk: bool = False
    ) -> None:
        if not dispatcher.up:
            return
        if self.record_event is not None and dispatcher in self.local_dispatchers:
            self.record_event("kill", dispatcher=dispatcher.number)
            if disk:
                self.record_event("disk-lost", dispatcher=dispatcher.number)
        dispatcher.kill()
        if disk and isinstance(dispatcher, SimulatedDispatcher):
            dispatcher.lose_disk()
        if self.leases is not None:
            self.leases.kill(dispatcher.name, disk)
        if down_ms is not None:
            self.event_queue.after(down_ms + self.settings.start_ms, self._restart_dispatcher, dispatcher)

    def _restart_dispatcher(self, dispatcher: SimulatedDispatcher | RemoteDispatcher) -> None:
        dispatcher.start_process()
        if self.leases is not None:
            self.leases.start_process(self.leases.nodes[dispatcher.name])
        if isinstance(dispatcher, SimulatedDispatcher) and dispatcher.edge is not None:
            dispatcher.edge.start_process()
        if self.record_event is not None and dispatcher in self.local_dispatchers:
            self.record_event("restarted", dispatcher=dispatcher.number)

    def _record_resumed(self, dispatcher: SimulatedDispatcher) -> None:
        if self.record_event is not None:
            self.record_event("woken", dispatcher=dispatcher.number)

    def _crash(self, worker: _Worker | RemoteWorker, down_ms: float) -> None:
        worker.up = False
        worker.close_connections()
        self._publish_endpoints()
        self.event_queue.after(down_ms + self.settings.restart_ms, self._restart_worker, worker)

    def _restart_worker(self, worker: _Worker | RemoteWorker) -> None:
        worker.up, worker.state = True, "live"
        worker.start_process(warm=False)
        self._publish_endpoints()

    def _deploy(self, worker: _Worker | RemoteWorker, restart: bool) -> None:
        """Drain the worker, stop it, and with `restart` start it anew."""
        if not worker.up:
            return
        worker.state = "draining"
        self._publish_endpoints()
        self.event_queue.after(self.deployment.rules.drain_grace_ms, setattr, worker, "draining", True)
        down = self.deployment.rules.drain_grace_ms + 1500

        def stop() -> None:
            worker.up = False
            worker.close_connections()
            self._publish_endpoints()
            if restart:
                self.event_queue.after(self.settings.restart_ms, self._restart_worker, worker)

        self.event_queue.after(down, stop)


class _Worker(SimulatedWorker):
    """A worker with its open connections."""

    def __init__(self, *arguments: Any) -> None:
        self.open_replies: dict[Callable[[AttemptStatus, WorkerAnswer | None], None], None] = {}
        super().__init__(*arguments)

    def close_connections(self) -> None:
        """Fail all open attempts: their connections are lost."""
        open_replies, self.open_replies = self.open_replies, {}
        for send_back in open_replies:
            send_back(AttemptStatus.CONNECTION_LOST, None)


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
