"""Emulated dispatchers around the real gateway core, their network, clients and list: one place in simulated time.

A dispatcher is the program's `Gateway` (and in it the module), with its journal on an emulated disk.  It is driven as
the program's driver does: told what happens, pulled until there is nothing left, one timer.  Each input costs CPU time,
so a dispatcher that is overloaded falls behind here, too.
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
from kelptrail.gateway.overload import OverloadStage as Calm
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

POLL_MS, PATIENCE_MS, WALL = 150.0, 3000.0, 1e12


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """What the emulation assumes of machines and networks.  Milliseconds."""

    network_ms: float = 0.15  # one way, with what the loops on both ends add
    cpu_ms: float = 0.1  # of a dispatcher, for each call taken and each answer
    sync_ms: float = 2.0  # of its disk
    start_ms: float = 600.0  # a dispatcher's start until it serves
    restart_ms: float = 700.0  # a worker's


@dataclass(slots=True, eq=False)
class Wish:
    """What a client wants done, over all its tries."""

    ticket: str
    action: ActionSettings
    space: NamespaceSettings
    deferred: bool
    habits: ClientBehavior
    tries: int
    dispatcher: int = 0
    began: float = 0.0
    activation: str = ""
    number: str = ""
    first: float = 0.0  # when it first came
    patience: Timer | None = None
    ivk: Invocation | None = None
    run: int = 0  # of the dispatcher that took it
    after: Callable[[], None] | None = None  # of a closed loop: what its client does next


class SimulatedDispatcher:
    """One dispatcher's process."""

    def __init__(self, site: SimulatedCluster, number: int, hall: str) -> None:
        self._site, self.number, self.name, self._hall = site, number, f"dispatcher-{number}", hall
        self.up, self.starts, self._book = False, 0, dict[str, ActivationEntries]()
        self._settings, self._engine = site.settings, site.engine
        self.sync_ms, self.disk_fails = site.settings.sync_ms, False
        self.listing: EndpointList | None = None
        self.begin()
        self.edge = SimulatedEdge(site, self) if site.day.planners else None

    def begin(self) -> None:
        """Start with nothing but the last list and the book."""
        self.starts += 1
        self.boot = f"{zlib.crc32(f'{self.name}/{self.starts}'.encode()):08x}{self.number:04x}{self.starts:04x}"
        self.who = f"{self.name}/{self.boot}"
        site = self._site
        self.journal = GroupCommit(site.deployment.journal.most_waiting) if site.deployment.journal.keep else None
        world = DispatcherParts(site.deployment, self._hall, zlib.crc32(self.boot.encode()))
        self.gateway = Gateway(world, self.boot, self.journal)
        self.gateway.answer_ms = 2 * self._settings.cpu_ms
        self._busy, self._wake, self._wake_at, self._stirring = 0.0, None, float("inf"), False
        self._orders: dict[LoadOrder, Timer] = {}
        self._open: dict[Attempt, None] = {}
        self._syncing = False
        self.up = True
        if self.journal is not None and self._book:
            margin = 2 * site.deployment.dispatcher.answer_margin_ms
            self.gateway.recover(
                self._engine.now,
                WALL + self._engine.now,
                self._book.values(),
                margin,
                site.deployment.journal.resume_at_once,
            )
        if self.listing is not None:
            self.gateway.on_endpoints(self._engine.now, self.listing)
        self.stir()

    _wake: Timer | None
    edge: SimulatedEdge | None

    def kill(self) -> None:
        """The process is gone; its book stays."""
        self.up = False

    def lose_disk(self) -> None:
        """Its book is gone."""
        self._book = {}

    def pause(self, for_ms: float) -> None:
        """It does nothing for a while; what comes waits for its turn."""
        self._busy = max(self._busy, self._engine.now) + for_ms

    def listed(self, listing: EndpointList) -> None:
        """A new list."""
        self.listing = listing
        if self.up:
            self.gateway.on_endpoints(self._engine.now, listing)
            if self.edge is not None:
                self.edge.listed()
            if self._site.note is not None:
                self._site.note(
                    "list",
                    to=self.who,
                    version=listing.version,
                    workers={w.id: [w.state, w.incarnation] for w in listing.workers},
                )
            self.stir()

    def do(self, what: Callable[..., None], *words: Any) -> None:
        """An input: it waits for its turn on the dispatcher's core."""
        start = self.starts
        self._busy = max(self._busy, self._engine.now) + self._settings.cpu_ms
        self._engine.at(self._busy, self._done, start, what, words)

    def _done(self, start: int, what: Callable[..., None], words: tuple[Any, ...]) -> None:
        if start == self.starts and self.up:
            what(*words)
            self.stir()

    # As the driver does.

    def stir(self) -> None:
        """Pull effects until there is none; see to the timer and the disk."""
        if self._stirring:
            return
        self._stirring = True
        now, gateway = self._engine.now, self.gateway
        try:
            while (effect := gateway.next_effect(now)) is not None:
                if isinstance(effect, StartAttempt):
                    self._send(effect.invocation, effect.attempt)
                elif isinstance(effect, FinalAnswer):
                    waiters, effect.invocation.waiters = effect.invocation.waiters, []
                    for waiter in waiters:
                        waiter(effect.invocation.record)
                elif isinstance(effect, StartLoad):
                    self._order(effect.order)
                elif isinstance(effect, CancelAttempt) and effect.attempt in self._open:
                    del self._open[effect.attempt]
                    outcome = AttemptStatus.CANCELLED if effect.reason == "revoked" else AttemptStatus.SILENT
                    self._engine.after(0.0, self._answered, self.starts, effect.attempt, outcome, None)
        finally:
            self._stirring = False
        self._sync()
        due = gateway.next_due()
        if due < self._wake_at - 0.01 or self._wake is None:
            if self._wake is not None:
                self._wake.cancel()
            self._wake_at = due
            self._wake = self._engine.at(due, self._rung, self.starts)

    def _rung(self, start: int) -> None:
        if start == self.starts and self.up:
            self._wake, self._wake_at = None, float("inf")
            self.stir()

    def _answered(self, start: int, send: Attempt, outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
        if start == self.starts and self.up and send.status is None:
            self.gateway.on_attempt_finished(self._engine.now, send, outcome, answer)
            self.stir()

    def _send(self, ivk: Invocation, send: Attempt) -> None:
        worker = self._site.workers[send.instance.worker.id]
        start, net = self.starts, self._settings.network_ms
        self._open[send] = None
        self._site.second().sends += 1
        if isinstance(worker, RemoteWorker):
            if worker.up:
                worker.go(
                    "send",
                    lambda outcome, answer: over(outcome, answer),
                    ivk.action.path,
                    ivk.deduplication_id,
                    ivk.record.id,
                    send.number,
                    self.who,
                    send.request.deadline - send.started_at,
                )
            else:
                self._engine.after(2 * net, lambda: over(AttemptStatus.UNREACHABLE, None))

        def back(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            if send in self._open:
                self._engine.after(net, over, outcome, answer)

        def over(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            if self.up and start == self.starts and send in self._open:
                del self._open[send]
                self.do(self._answered, start, send, outcome, answer)

        def arrive() -> None:
            assert not isinstance(worker, RemoteWorker)
            if not worker.up:
                back(AttemptStatus.UNREACHABLE, None)
                return
            worker.out[back] = None
            worker.send(
                ivk.action,
                ivk.deduplication_id,
                ivk.record.id,
                send.number,
                self.who,
                send.request.deadline - send.started_at,
                end,
            )

        def end(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            assert not isinstance(worker, RemoteWorker)
            worker.out.pop(back, None)
            back(outcome, answer)

        if not isinstance(worker, RemoteWorker):
            self._engine.after(net, arrive)

    def _order(self, order: LoadOrder) -> None:
        worker, start, net = self._site.workers[order.instance.worker.id], self.starts, self._settings.network_ms
        action = self._site.by_model[order.instance.function.id]
        if order.count:
            self._site.second().orders += 1

        def told(outcome: AttemptStatus, standing: int) -> None:
            self._engine.after(net, over, outcome, standing)

        def over(outcome: AttemptStatus, standing: int) -> None:
            timer = self._orders.pop(order, None) if start == self.starts else None
            if timer is not None and self.up:
                timer.cancel()
                self.gateway.on_load_report(self._engine.now, order, outcome, standing)
                self.stir()

        def arrive() -> None:
            assert not isinstance(worker, RemoteWorker)
            if worker.up:
                worker.order(action, order.count, self.who, told)
            else:
                told(AttemptStatus.UNREACHABLE, 0)

        self._orders[order] = self._engine.after(self._site.deployment.pool.order_ms, over, AttemptStatus.SILENT, 0)
        if isinstance(worker, RemoteWorker):
            worker.go("order", over, order.instance.function.id, order.count, self.who)
        else:
            self._engine.after(net, arrive)

    def _sync(self) -> None:
        """The journal's disk: one batch at a time."""
        if self.journal is None or self._syncing:
            return
        batch = self.journal.next_batch(self._engine.now)
        if batch is not None:
            self._syncing = True
            self._engine.after(self.sync_ms, self._synced, self.starts, batch)

    def _synced(self, start: int, batch: Any) -> None:
        if start != self.starts or not self.up or self.journal is None:
            return
        self._syncing = False
        if self.disk_fails:
            self.journal.on_batch_failed(self._engine.now, batch.number, "the disk fails")
        else:
            for entry in batch.entries:
                if isinstance(entry, Accepted):
                    self._book.setdefault(entry.id, ActivationEntries(entry))
                elif (life := self._book.get(entry.id)) is not None:
                    if isinstance(entry, MayRun):
                        life.may_run = life.may_run or entry
                    elif isinstance(entry, Ended):
                        life.ended = life.ended or entry
            self.journal.on_batch_durable(batch.number)
        self.stir()


class SimulatedCluster:
    """One run of a script.  `capture`: keep all events, so that the audit and the bad days' report can read them."""

    def __init__(
        self,
        day: FaultScenario,
        deployment: Deployment,
        seed: int,
        settings: SimulationSettings | None = None,
        capture: bool = False,
        shard: Shard | None = None,
    ) -> None:
        """`shard`: this process's part of a run over several."""
        part, self.shard = (shard.number, shard.of) if shard is not None else (0, 1), shard
        self._seed = seed
        self._part, self._mark = part, f"{part[0]}-" if part[1] > 1 else ""
        self.day, self.deployment, self.settings = day, deployment, settings or SimulationSettings()
        self.engine = EventQueue()
        self.events: list[dict[str, Any]] = []
        self.note = self._note if capture else None
        self._chance = np.random.default_rng([seed, 11])
        self._clients = np.random.default_rng([seed, 7, *part] if part[1] > 1 else [seed, 7])
        self.store: Any = SimulatedStore(self.engine, deployment.store)
        self.by_model = {a.model: a for a in deployment.actions.values()}
        self._ledger: dict[tuple[str, str], float] = {}
        if shard is not None:
            self._ledger = SharedEffectLog(shard, self.engine, self.settings)
            if shard.number:
                self.store = RemoteStore(shard, self.engine, self.settings)
        self._listed_ms, self._version = 0.0, 0
        halls = deployment.zones
        self.seconds: list[Second] = [Second() for _ in range(int(day.seconds) + 60)]
        self.latency: dict[str, list[float]] = {name: [] for name in deployment.types}
        self.give_ups: dict[str, int] = {}
        first = part[0] == 0
        if self.note is not None and first:
            names = [f"dispatcher-{n}" for n in range(day.dispatchers)]
            self.note("world", **describe_deployment(deployment, names, day.workers))
        self.workers: dict[str, _Worker | RemoteWorker] = {}
        for n in range(day.workers):
            id_, hall, cell = f"worker-{n}", halls[n % len(halls)], n // 2
            if shard is not None and shard.home(n) != shard.number:
                self.workers[id_] = RemoteWorker(
                    shard, shard.home(n), id_, hall, cell, self.engine, self.settings, deployment.rules.cold_ms
                )
            else:
                self.workers[id_] = _Worker(
                    self.engine, deployment, id_, hall, cell, self.store, self._ledger, seed, True, self.note
                )
        self.dispatchers: list[SimulatedDispatcher | RemoteDispatcher] = [
            SimulatedDispatcher(self, n, halls[n % len(halls)])
            if shard is None or shard.has(n)
            else RemoteDispatcher(n)
            for n in range(day.dispatchers)
        ]
        self.listing: EndpointList | None = None
        self.planners: list[SimulatedPlanner] = []
        self.leases: SimulatedLeases | None = None
        self.own = [d for d in self.dispatchers if isinstance(d, SimulatedDispatcher)]
        if day.planners and deployment.leases is None:
            raise ValueError(f"{day.name}: planners act under a lease: {day.deployment} needs (leases ...)")
        self.planners = [SimulatedPlanner(self, n, day.solver) for n in range(day.planners)]
        if deployment.leases is not None and shard is None:
            names = [d.name for d in self.own]
            self.leases = SimulatedLeases(
                self.engine,
                lease_settings(deployment.leases),
                deployment.leases.length_ms,
                names + [p.name for p in self.planners],
                seed,
                self.settings.sync_ms,
                self.settings.network_ms,
                deployment.peers.silent_ms if deployment.peers is not None else 3000.0,
                self.note,
            )
            self.leases.contend(day.tasks, names)
            for planner in self.planners:
                self.leases.want(self.leases.nodes[planner.name], LEASE_NAME, planner.led, planner.stood_down)
        self._tell_lists()
        self.by_space: dict[str, list[int]] = {n: [0, 0] for n in deployment.namespaces}  # wanted, served in time
        self._tickets = self._calls = 0
        self.start = self.engine.now + 200
        if self.note is not None and first:
            self.note("begin", start=self.start, seconds=day.seconds)
        spaces = list(deployment.namespaces.values())
        shares = np.array([s.allowed_per_s for s in spaces])
        self._spaces, self._shares = spaces, np.cumsum(shares / shares.sum())
        for load in day.load:
            self._arrivals(load)
        for trouble in day.faults:
            self.engine.at(self.start + trouble.at * 1000, self._befall, trouble)
        self._fetched = 0
        self.engine.at(self.start + 999.0, self._sample)

    def _sample(self) -> None:
        """What a second ends with."""
        second = self.second()
        second.in_hand = sum(d.gateway.in_flight for d in self.own if d.up)
        second.loads, self._fetched = self.store.fetches - self._fetched, self.store.fetches
        second.idle_mb = sum(w.idle_mb for w in self.workers.values() if isinstance(w, _Worker) and w.up)
        second.storming = sum(d.up and d.gateway.overload.stage is not Calm.CALM for d in self.own)
        if self.engine.now < self.start + (len(self.seconds) - 1) * 1000:
            self.engine.after(1000.0, self._sample)

    def _note(self, what: str, **fields: Any) -> None:
        self.events.append({"what": what, "t": self.engine.now, **fields})

    def run(self) -> None:
        """Play it whole, and then until the last client has its answer."""
        longest = max(t.timeout_ms for t in self.deployment.types.values())
        self.engine.run(self.start + self.day.seconds * 1000 + longest + 5000)

    def second(self) -> Second:
        """The second that it is, from the start of the load."""
        return self.seconds[max(0, min(len(self.seconds) - 1, int((self.engine.now - self.start) / 1000)))]

    # The list.

    def _tell_lists(self) -> None:
        self._version += 1
        entries = [worker.entry for worker in self.workers.values() if worker.up]
        listing = self.listing = EndpointList(self._version, entries, "lab")
        for planner in self.planners:
            if planner.up:
                self.engine.after(self._listed_ms + self.settings.network_ms, planner.listed, listing)
        for dispatcher in self.dispatchers:
            self.engine.after(self._listed_ms + self.settings.network_ms, dispatcher.listed, listing)

    # Clients.

    def _arrivals(self, load: Load) -> None:
        """A load's arrivals, drawn a second at a time; of a closed loop its clients, spread over their first pause."""
        end = min(self.day.seconds, load.at + load.duration)
        actions = list(self.deployment.actions.values())
        by_path = {a.path: a for a in actions}
        odds = np.cumsum(popularity(list(by_path), load))
        # A stream of its own: variants of an experiment meet the same arrivals, whatever their clients do.
        chance = np.random.default_rng([self._seed, 13, self.day.load.index(load), self._part[0]])
        drawn = Arrivals(load, chance, self._part)

        def draw(at: float) -> None:
            span = min(1.0, end - at)
            if span <= 0:
                return
            found = drawn.draw(at, span)
            picks = np.searchsorted(odds, chance.random(len(found)))
            for (when, named), pick in zip(found, picks, strict=True):
                self.engine.at(self.start + when * 1000, self._wish, by_path.get(named) or actions[int(pick)], load)
            self.engine.at(self.start + (at + span) * 1000, draw, at + span)

        def come() -> None:
            if self.engine.now < self.start + end * 1000:
                self._wish(actions[int(np.searchsorted(odds, self._clients.random()))], load, think)

        def think() -> None:
            self.engine.after(float(self._clients.exponential(load.think)) * 1000, come)

        if load.shape == "closed":
            for _ in range(self._part[0], load.clients, self._part[1]):
                self.engine.at(self.start + load.at * 1000, think)
        else:
            self.engine.at(self.start + load.at * 1000, draw, load.at)

    def _wish(self, action: ActionSettings, load: Load, after: Callable[[], None] | None = None) -> None:
        self._tickets += 1
        chance = self._clients
        space = (
            self.deployment.namespaces.get(load.namespace)
            or (self._spaces[int(np.searchsorted(self._shares, chance.random()))])
        )
        wish = Wish(
            f"t{self._mark}{self._tickets}",
            action,
            space,
            bool(chance.random() < load.deferred),
            behavior_of(float(chance.random()), load.retry_after_share, load.half_retry_after_share),
            1 + load.retries,
            first=self.engine.now,
            after=after,
        )
        self.by_space[space.name][0] += 1
        self._try(wish, None)

    def _try(self, wish: Wish, last: int | None) -> None:
        wish.tries -= 1
        self._calls += 1
        count, kind = len(self.own), self.deployment.types[wish.action.type]
        wish.dispatcher = int(self._clients.integers(count)) if last is None else (last + 1) % count
        wish.number, wish.began, wish.activation, wish.ivk = f"c{self._mark}{self._calls}", self.engine.now, "", None
        second = self.second()
        second.calls += 1
        second.repeats += self.engine.now > wish.first
        if self.note is not None:
            self.note(
                "call",
                call=wish.number,
                ticket=wish.ticket,
                action=wish.action.path,
                type=kind.name,
                dispatcher=self.own[wish.dispatcher].number,
                deferred=wish.deferred,
                limit_ms=kind.timeout_ms,
                front=False,
            )
        dispatcher = self.own[wish.dispatcher]
        wish.patience = self.engine.after(kind.timeout_ms + 500, self._patience, wish, wish.number)
        self.engine.after(self.settings.network_ms, self._arrive, dispatcher, wish, wish.number)

    def _arrive(self, dispatcher: SimulatedDispatcher, wish: Wish, number: str) -> None:
        if not dispatcher.up:
            self._not_taken(wish)
        else:
            dispatcher.do(self._taken, dispatcher, wish, number)

    def _not_taken(self, wish: Wish) -> None:
        self._unwait(wish)
        self.second().not_taken += 1
        if self.note is not None:
            self.note("not-taken", call=wish.number)
        self._again(wish, ClientOutcome.NOT_TAKEN)

    def _unwait(self, wish: Wish) -> None:
        if wish.patience is not None:
            wish.patience.cancel()
            wish.patience = None

    def _taken(self, dispatcher: SimulatedDispatcher, wish: Wish, number: str) -> None:
        if wish.number != number:
            return
        gateway, now = dispatcher.gateway, self.engine.now
        kind = self.deployment.types[wish.action.type]
        key = wish.ticket if kind.effect == "deduplicated" else None
        if key is not None:
            known = gateway.find_by_key(wish.space.name, wish.action.path, key, "")
            if known is not None:
                self._join(dispatcher, wish, known)
                return
        if wish.deferred and gateway.durability.journal is not None and not gateway.durability.journal.is_accepting():
            self._not_taken(wish)
            return
        refused = gateway.on_connect(now, wish.space.name, wish.action.path, 100, wish.ticket)
        if refused is not None:
            self._final(wish, "", "rejected", refused[1], None)
            return
        ivk = gateway.submit(
            now,
            WALL + now,
            wish.space.name,
            wish.action,
            b"{}",
            key,
            "",
            lambda record: self._waited(wish, number, record),
            wish.deferred,
            client_key=wish.ticket,
        )
        wish.ivk, wish.run = ivk, dispatcher.starts
        if wish.deferred:
            dispatcher.stir()
            if not ivk.record.final:
                gateway.when_durable(ivk, lambda safe: self._promised(dispatcher, wish, ivk, safe))
                dispatcher.stir()

    def _join(self, dispatcher: SimulatedDispatcher, wish: Wish, record: Record) -> None:
        ivk = dispatcher.gateway.in_flight_of(record.id)
        if record.visible:
            self._waited(wish, wish.number, record)
        elif wish.deferred or ivk is None:
            self._accepted(wish, record.id)
        else:
            number = wish.number
            ivk.waiters.append(lambda ended: self._waited(wish, number, ended))

    def _promised(self, dispatcher: SimulatedDispatcher, wish: Wish, ivk: Invocation, safe: bool | None) -> None:
        if safe:
            ivk.waiters.clear()
            self._accepted(wish, ivk.record.id)
        else:
            dispatcher.gateway.on_client_gone(self.engine.now, ivk)
            self._not_taken(wish)

    def _accepted(self, wish: Wish, id_: str) -> None:
        self._unwait(wish)
        wish.activation = id_
        if self.note is not None:
            self.note("accepted", call=wish.number, activation=id_)
        self.engine.after(POLL_MS, self._poll, wish)

    def _poll(self, wish: Wish) -> None:
        kind, dispatcher = self.deployment.types[wish.action.type], self.own[wish.dispatcher]
        record = dispatcher.gateway.records.get(wish.space.name, wish.activation) if dispatcher.up else None
        if record is not None and record.visible:
            self._told(wish, record, record.end - record.start)
        elif self.engine.now - wish.began > kind.timeout_ms + PATIENCE_MS:
            self._lost(wish, "polled")
        else:
            self.engine.after(POLL_MS, self._poll, wish)

    def _waited(self, wish: Wish, number: str, record: Record) -> None:
        self.engine.after(self.settings.network_ms, self._shown, wish, number, record)

    def _shown(self, wish: Wish, number: str, record: Record) -> None:
        if wish.number == number and wish.patience is not None:
            self._unwait(wish)
            self._told(wish, record, None)

    def _told(self, wish: Wish, record: Record, took: float | None) -> None:
        within = record.deduplicated_for_ms or None
        self._final(wish, record.id, record.answer or "", record.retry_after_ms, within, took, record.code)

    def _patience(self, wish: Wish, number: str) -> None:
        if wish.number == number and wish.patience is not None:
            wish.patience = None
            dispatcher = self.own[wish.dispatcher]
            if dispatcher.up and wish.run == dispatcher.starts and wish.ivk is not None and not wish.ivk.record.key:
                wish.ivk.waiters.clear()
                dispatcher.do(self._left, dispatcher, wish.ivk)
            self._lost(wish, "no-answer")

    @staticmethod
    def _left(dispatcher: SimulatedDispatcher, ivk: Invocation) -> None:
        dispatcher.gateway.on_client_gone(dispatcher._engine.now, ivk)

    def _lost(self, wish: Wish, ending: str) -> None:
        self.second().lost += 1
        self.give_ups[ending] = self.give_ups.get(ending, 0) + 1
        if self.note is not None:
            self.note("no-answer", call=wish.number, ending=ending)
        self._again(wish, ClientOutcome.LOST)

    def _final(
        self,
        wish: Wish,
        activation: str,
        answer: str,
        return_ms: float,
        within: float | None,
        took: float | None = None,
        code: int = 0,
    ) -> None:
        self._unwait(wish)
        kind, second = self.deployment.types[wish.action.type], self.second()
        if self.note is not None:
            self.note(
                "final", call=wish.number, activation=activation, answer=answer, status=0, lag=0.0, took=took, code=code
            )
        if answer == "completed":
            took = self.engine.now - wish.began if took is None else took
            second.completed += 1
            second.in_time += took <= kind.target_ms
            self.by_space[wish.space.name][1] += took <= kind.target_ms
            self.latency[kind.name].append(took)
        else:
            self.give_ups[answer] = self.give_ups.get(answer, 0) + 1
            if answer == "rejected":
                second.rejected += 1
            else:
                second.aborted += 1
        self._again(wish, ClientOutcome(answer), return_ms, within)

    def _again(self, wish: Wish, heard: ClientOutcome, told_ms: float = 0.0, within_ms: float | None = None) -> None:
        """The client's next step, by its habits."""
        kind = self.deployment.types[wish.action.type]
        wait = retry_delay_ms(
            wish.habits, heard, kind.effect, kind.timeout_ms, told_ms, within_ms, self.engine.now - wish.began
        )
        if wait is not None and heard is ClientOutcome.NOT_TAKEN and wish.tries > -20:
            self.engine.after(wait, self._try, wish, wish.dispatcher)
        elif wait is not None and heard is not ClientOutcome.NOT_TAKEN and wish.tries > 0:
            self.engine.after(
                wait * float(self._clients.uniform(*wish.habits.jitter)), self._try, wish, wish.dispatcher
            )
        elif wish.after is not None:
            wish.after()

    # Other shards.

    def mail(self, what: str, words: tuple[Any, ...]) -> None:
        """What another shard sent arrives now."""
        shard, net = self.shard, self.settings.network_ms
        assert shard is not None
        if what == "reply":
            shard.replied(*words)
        elif what == "mark":
            assert isinstance(self._ledger, SharedEffectLog)
            self._ledger.heard(*words)
        else:
            to, number, *rest = words
            reply = answer_remote(shard, self.engine, net, to, number)
            if what == "fetch":
                self.store.fetch(rest[0], reply)
                return
            worker = self.workers[rest[0]]
            assert isinstance(worker, _Worker)
            if not worker.up:
                reply(AttemptStatus.UNREACHABLE, None if what == "send" else 0)
            elif what == "order":
                worker.order(self.by_model[rest[1]], rest[2], rest[3], reply)
            else:
                path, mark, activation, send, who, limit = rest[1:]
                worker.out[reply] = None

                def end(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
                    worker.out.pop(reply, None)
                    reply(outcome, answer)

                worker.send(self.deployment.actions[path], mark, activation, send, who, limit, end)

    # Troubles.

    def _befall(self, trouble: Fault) -> None:
        kind = trouble.kind
        if kind in WORKER_FAULTS:
            up = [w for w in self.workers.values() if w.up]
            count = min(len(up), max(1, round(trouble.part * len(up))))
            victims = [up[int(n)] for n in self._chance.choice(len(up), count, replace=False)] if up else []
            self._trouble(kind, trouble, [w.id for w in victims])
            for number, worker in enumerate(victims):
                if kind == "crash":
                    self._crash(worker, trouble.duration * 1000)
                elif kind in ("rolling-deploy", "drain"):
                    pause = trouble.duration * 1000 / max(1, len(victims))
                    self.engine.after(number * (pause + 1000), self._deploy, worker, kind == "rolling-deploy")
                else:
                    worker.fault(kind, trouble)
                    if kind == "restart-cold":
                        worker.break_all()
                        self._tell_lists()
            return
        if kind in PLANNER_FAULTS:
            self._trouble(kind, trouble, [p.name for p in self.planners])
            self._on_planners(trouble)
            return
        victims_d = self.dispatchers
        if kind == "kill-dispatchers" or kind in (*DISK_FAULTS, *PEER_FAULTS):
            count = max(1, round(trouble.part * len(self.dispatchers)))
            victims_d = [
                self.dispatchers[int(n)] for n in self._chance.choice(len(self.dispatchers), count, replace=False)
            ]
        self._trouble(kind, trouble, [d.name for d in victims_d] if kind not in STORE_FAULTS else [])
        if kind in STORE_FAULTS:
            self.store.fault(kind.removeprefix("store-"), trouble.factor, trouble.duration * 1000)
        elif kind == "list-late":
            self._listed_ms = trouble.ms
            self.engine.after(trouble.duration * 1000, setattr, self, "_listed_ms", 0.0)
        elif kind == "kill-dispatchers":
            for dispatcher in victims_d:
                self._kill(dispatcher, trouble.duration * 1000)
        elif kind == "lose-machines":
            gone = trouble.at + trouble.duration > self.day.seconds
            for dispatcher in victims_d:
                self._kill(dispatcher, None if gone else trouble.duration * 1000, True)
        elif kind in PEER_FAULTS:
            if kind == "pause-dispatchers":
                for dispatcher in self.own:
                    if dispatcher in victims_d:
                        dispatcher.pause(trouble.duration * 1000)
                        if self.note is not None:
                            self.note("stopped", dispatcher=dispatcher.number)
                            self.engine.after(trouble.duration * 1000, self._woken, dispatcher)
            if self.leases is not None:
                self.leases.befall(trouble, [d.name for d in victims_d], lambda: bool(self._chance.random() < 0.5))
        elif kind in DISK_FAULTS:
            for dispatcher in victims_d:
                if kind == "disk-slow":
                    dispatcher.sync_ms = trouble.ms
                else:
                    dispatcher.disk_fails = True
                if self.leases is not None:
                    self.leases.disk(dispatcher.name, dispatcher.sync_ms, dispatcher.disk_fails)
                self.engine.after(trouble.duration * 1000, self._heal_disk, dispatcher)

    def _on_planners(self, trouble: Fault) -> None:
        count = max(1, round(trouble.part * len(self.planners))) if self.planners else 0
        victims = (
            [self.planners[int(n)] for n in self._chance.choice(len(self.planners), count, replace=False)]
            if (count)
            else []
        )
        for planner in victims:
            if trouble.kind == "planners-slow":
                planner.slow_ms = trouble.ms
                self.engine.after(trouble.duration * 1000, setattr, planner, "slow_ms", 0.0)
            elif trouble.kind == "planners-wrong":
                planner.core.demand.error_factor = trouble.factor
                self.engine.after(trouble.duration * 1000, setattr, planner.core.demand, "error_factor", 1.0)
            elif trouble.kind in ("pause-planners", "cut-planners"):
                assert self.leases is not None
                self.leases.befall(
                    replace(
                        trouble, kind={"pause-planners": "pause-dispatchers", "cut-planners": "cut-peers"}[trouble.kind]
                    ),
                    [planner.name],
                    lambda: bool(self._chance.random() < 0.5),
                )
            else:
                planner.kill()
                self.engine.after(
                    trouble.duration * 1000 + self.settings.start_ms, planner.begin, trouble.kind == "planners-forget"
                )

    def _trouble(self, kind: str, trouble: Fault, of: list[str]) -> None:
        if self.note is not None and self._part[0] == 0:
            self.note("trouble", kind=kind, seconds=trouble.duration, factor=trouble.factor, of=of)

    def _heal_disk(self, dispatcher: SimulatedDispatcher | RemoteDispatcher) -> None:
        dispatcher.sync_ms, dispatcher.disk_fails = self.settings.sync_ms, False
        if self.leases is not None:
            self.leases.disk(dispatcher.name, dispatcher.sync_ms, False)

    def _kill(
        self, dispatcher: SimulatedDispatcher | RemoteDispatcher, down_ms: float | None, disk: bool = False
    ) -> None:
        if not dispatcher.up:
            return
        if self.note is not None and dispatcher in self.own:
            self.note("kill", dispatcher=dispatcher.number)
            if disk:
                self.note("disk-lost", dispatcher=dispatcher.number)
        dispatcher.kill()
        if disk and isinstance(dispatcher, SimulatedDispatcher):
            dispatcher.lose_disk()
        if self.leases is not None:
            self.leases.kill(dispatcher.name, disk)
        if down_ms is not None:
            self.engine.after(down_ms + self.settings.start_ms, self._up_again, dispatcher)

    def _up_again(self, dispatcher: SimulatedDispatcher | RemoteDispatcher) -> None:
        dispatcher.begin()
        if self.leases is not None:
            self.leases.begin(self.leases.nodes[dispatcher.name])
        if isinstance(dispatcher, SimulatedDispatcher) and dispatcher.edge is not None:
            dispatcher.edge.begin()
        if self.note is not None and dispatcher in self.own:
            self.note("restarted", dispatcher=dispatcher.number)

    def _woken(self, dispatcher: SimulatedDispatcher) -> None:
        if self.note is not None:
            self.note("woken", dispatcher=dispatcher.number)

    def _crash(self, worker: _Worker | RemoteWorker, down_ms: float) -> None:
        worker.up = False
        worker.break_all()
        self._tell_lists()
        self.engine.after(down_ms + self.settings.restart_ms, self._back_up, worker)

    def _back_up(self, worker: _Worker | RemoteWorker) -> None:
        worker.up, worker.state = True, "live"
        worker.begin(warm=False)
        self._tell_lists()

    def _deploy(self, worker: _Worker | RemoteWorker, again: bool) -> None:
        """Drain, tell the worker, let its work end, stop it, start it anew."""
        if not worker.up:
            return
        worker.state = "draining"
        self._tell_lists()
        self.engine.after(self.deployment.rules.drain_grace_ms, setattr, worker, "draining", True)
        down = self.deployment.rules.drain_grace_ms + 1500

        def stop() -> None:
            worker.up = False
            worker.break_all()
            self._tell_lists()
            if again:
                self.engine.after(self.settings.restart_ms, self._back_up, worker)

        self.engine.after(down, stop)


class _Worker(SimulatedWorker):
    """A worker with the ends of its connections."""

    def __init__(self, *words: Any) -> None:
        self.out: dict[Callable[[AttemptStatus, WorkerAnswer | None], None], None] = {}
        super().__init__(*words)

    def break_all(self) -> None:
        """All its connections end."""
        out, self.out = self.out, {}
        for back in out:
            back(AttemptStatus.CONNECTION_LOST, None)


def result_of(site: SimulatedCluster) -> Result:
    """What a run in one process came to."""
    served = {f"served_{name}": good / wanted for name, (wanted, good) in site.by_space.items() if wanted}
    planned = {
        "plans": float(sum(p.plans for p in site.planners)),
        "moves": float(sum(p.moves for p in site.planners)),
        "idle_mb": float(np.mean([s.idle_mb for s in site.seconds[: int(site.day.seconds)]])),
    }
    return Result(site.seconds, site.latency, site.give_ups, site.engine.events, site.store.fetches, served | planned)


def play(day: FaultScenario, deployment: Deployment, seed: int, settings: SimulationSettings | None = None) -> Result:
    """One run, for figures."""
    site = SimulatedCluster(day, deployment, seed, settings)
    site.run()
    return result_of(site)
