"""The planner: from what edges report to plans, free of I/O, clocks and chance.

Told of the list, of reports, of edges that come and go; pulled for problems to solve (by whoever has a process for it)
and for plans to send.  Who acts is not decided here: a planner leads from when it is told a lease's token until it is
told that it holds it no more, and hears the edges all the while.  Every plan carries the token, and edges take none
under an older one than they have seen; a planner that learns of a later one from an edge stands down at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from kelptrail.gateway.counters import FunctionCounters

from .demand import Demand
from .placement import FunctionDemand, Placement, WorkerCapacity
from .plan import BEFORE_ALL_PLANS, InstanceCounts, Plan, PlanOrder, difference, make_plan


class Role(Enum):
    """What a planner is doing."""

    STANDBY = "standby"
    LEADER = "acting"


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Times in milliseconds.  `moves_share` and `moves_least`: new copies that a plan may bring, as a share of the
    calls that the next minute brings and at least; `down_ms`: how long less must have been asked for before copies
    go."""

    lineage: str
    interval_ms: float = 5000.0
    valid_ms: float = 60_000.0
    scale_down_ms: float = 60_000.0
    new_instances_share: float = 0.05
    new_instances_min: int = 8
    interest_ms: float = 120_000.0  # an edge is told of the functions that it asked for within this time
    min_rate: float = 0.05  # calls a second, below which no copy is planned
    edge_timeout_ms: float = 3000.0  # an edge that has not been heard of for so long has gone


@dataclass(frozen=True, slots=True)
class FunctionProfile:
    """What the settings say of a function."""

    memory_mb: float
    concurrency: int
    load_ms: float
    priority_weight: float


@dataclass(frozen=True, slots=True)
class PlacementProblem:
    """What a solver is asked."""

    number: int
    workers: list[WorkerCapacity]
    demands: list[FunctionDemand]
    budget: int
    endpoints_version: tuple[str, int]


@dataclass(slots=True)
class Edge:
    """What is known of one edge."""

    name: str
    heard: float
    order: PlanOrder = BEFORE_ALL_PLANS  # the latest plan that it has seen


@dataclass(slots=True)
class PlannerCounters:
    """What has happened."""

    plans: int = 0
    unchanged: int = 0  # plans that said what the one before said
    by_solver: dict[str, int] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)
    new_instances: int = 0


class Planner:
    """One planner's mind."""

    def __init__(self, name: str, settings: PlannerSettings, models: dict[str, FunctionProfile], now: float) -> None:
        self.name, self._settings, self._models = name, settings, models
        self.role, self.epoch, self.owner, self._number = Role.STANDBY, 0, name, 0
        self.demand = Demand()
        self.workers: list[WorkerCapacity] = []
        self.endpoints_version: tuple[str, int] = ("", -1)
        self.edges: dict[str, Edge] = {}
        self.target: InstanceCounts = {}
        self._standing: dict[str, dict[str, tuple[int, float]]] = {}  # model: worker: copies, and when it was told
        self._next = now
        self._out: int | None = None  # the problem that is being solved
        self._made = now
        self._dirty: set[str] = set()  # edges that are to be sent a plan
        self.counters = PlannerCounters()

    # Inputs.

    def on_endpoints(self, now: float, hosts: list[WorkerCapacity], roster: tuple[str, int]) -> None:
        """The worker list: those that are live.  A plan that names others is made anew at once."""
        self.workers, self.endpoints_version = hosts, roster
        live = {h.id for h in hosts}
        for at in self._standing.values():
            for worker in [w for w in at if w not in live]:
                del at[worker]
        if any(worker not in live for at in self.target.values() for worker in at):
            self._next = min(self._next, now)

    def on_lease_acquired(self, now: float, epoch: int, owner: str) -> None:
        """A lease is held: plans are made under its token, the two."""
        self.role, self.epoch, self.owner = Role.LEADER, epoch, owner
        self._number, self._next, self._out = 0, now, None

    def on_lease_lost(self) -> None:
        """It is not held any more."""
        self.role = Role.STANDBY
        self._dirty.clear()

    def on_report(
        self, now: float, edge: str, order: PlanOrder, tallies: dict[str, FunctionCounters], standing: InstanceCounts
    ) -> None:
        """An edge's report.  `order`: the latest plan it has seen; `standing`: copies as it believes in them."""
        mine = self.edges.get(edge)
        if mine is None:
            mine = self.edges[edge] = Edge(edge, now)
            self._dirty.add(edge)
        mine.heard, mine.order = now, order
        before = self.demand.recently_requested(now, edge, self._settings.interest_ms)
        self.demand.add_report(now, edge, tallies)
        for model, at in standing.items():
            known = self._standing.setdefault(model, {})
            for worker, count in at.items():
                known[worker] = count, now
        self._fenced(order)
        if self.role is Role.LEADER and any(
            m in self.target for m in self.demand.recently_requested(now, edge, self._settings.interest_ms) - before
        ):
            self._dirty.add(edge)

    def on_plan_refused(self, now: float, edge: str, reason: str, order: PlanOrder) -> None:
        """An edge did not take a plan: it gets a whole one, made anew where workers were the reason."""
        self.counters.refusals[reason] = self.counters.refusals.get(reason, 0) + 1
        mine = self.edges.get(edge)
        if mine is None:
            return
        mine.order = max(mine.order, order)
        self._fenced(order)
        if reason == "workers":
            self._next = min(self._next, now + 500)
        elif reason == "base":
            self._dirty.add(edge)

    def on_edge_gone(self, edge: str) -> None:
        """An edge has closed its connection."""
        self.edges.pop(edge, None)
        self.demand.remove_edge(edge)
        self._dirty.discard(edge)

    def restore_plan(self, wants: InstanceCounts) -> None:
        """What a snapshot of an earlier run kept: its plan is gone on from."""
        self.target = wants

    def on_solution(self, now: float, number: int, placed: Placement | None) -> None:
        """A problem's answer; None: it could not be solved, the plan before stands."""
        if number != self._out:
            return
        self._out = None
        if placed is None or self.role is not Role.LEADER:
            return
        live = {h.id for h in self.workers}
        wants = {m: kept for m, at in placed.instances.items() if (kept := {w: n for w, n in at.items() if w in live})}
        self.counters.by_solver[placed.solver] = self.counters.by_solver.get(placed.solver, 0) + 1
        self.counters.new_instances += placed.new
        self.counters.plans += 1
        self.counters.unchanged += not difference(self.target, wants)
        for model, mine in self.demand.functions.items():
            mine.planned = sum(wants.get(model, {}).values())
        self.target, self._made = wants, now
        self._number += 1
        self._dirty = set(self.edges)

    # What is to be done.

    def tick(self, now: float, hour: int) -> None:
        """Windows pass; edges that are silent have gone.  To be called each second or so."""
        settings = self._settings
        self.demand.close_window(now, hour)
        for edge in [e.name for e in self.edges.values() if now - e.heard > settings.edge_timeout_ms]:
            self.on_edge_gone(edge)

    def next_problem(self, now: float, hour: int) -> PlacementProblem | None:
        """What is to be solved now, if anything; one at a time."""
        if self.role is not Role.LEADER or self._out is not None or now < self._next or not self.workers:
            return None
        self._next = now + self._settings.interval_ms
        self._number += 1
        self._out = self._number
        needs = self._needs(now, hour)
        coming = 60 * sum(n.rate for n in needs)
        budget = max(self._settings.new_instances_min, int(coming * self._settings.new_instances_share))
        return PlacementProblem(self._out, self.workers, needs, budget, self.endpoints_version)

    def plans_to_send(self, now: float) -> list[tuple[str, Plan]]:
        """Plans to send: for each edge what concerns it."""
        if self.role is not Role.LEADER or not self._dirty or not self._number:
            return []
        dirty, self._dirty = sorted(self._dirty), set()
        out = []
        for name in dirty:
            if name not in self.edges:
                continue
            asks = self.demand.recently_requested(now, name, self._settings.interest_ms)
            wants = {m: at for m, at in self.target.items() if m in asks}
            self._number += 1
            plan = make_plan(
                self._settings.lineage,
                (self.epoch, self.owner, self._number),
                self._settings.valid_ms,
                self.endpoints_version,
                wants,
            )
            out.append((name, plan))
        return out

    def plan_age_ms(self, now: float) -> float:
        """How old what the plans say is."""
        return now - self._made

    # Within.

    def _fenced(self, order: PlanOrder) -> None:
        """An edge has seen a plan under a later token: this one's lease is over, whatever its own clock says."""
        if self.role is Role.LEADER and order[:2] > (self.epoch, self.owner):
            self.on_lease_lost()

    def _needs(self, now: float, hour: int) -> list[FunctionDemand]:
        settings, out = self._settings, list[FunctionDemand]()
        for model, mine in self.demand.functions.items():
            known = self._models.get(model)
            if known is None:
                continue
            rate = self.demand.forecast(model, hour)
            standing = {w: n for w, (n, at) in self._standing.get(model, {}).items() if n and now - at < 30_000}
            need = FunctionDemand(
                model,
                known.memory_mb,
                known.concurrency,
                known.load_ms,
                mine.work_ms or 100.0,
                known.priority_weight,
                rate if rate >= settings.min_rate else 0.0,
                standing,
                mine.planned,
            )
            # Up at once, down only after a while: two plans in a row never thrash.
            if need.instances_needed >= mine.planned:
                mine.below_plan_since = now
            elif now - mine.below_plan_since < settings.scale_down_ms:
                need = self._at_least(need, mine.planned)
            else:
                mine.below_plan_since = now
            out.append(need)
        return out

    @staticmethod
    def _at_least(need: FunctionDemand, copies: int) -> FunctionDemand:
        """The same need at a rate for which as many copies are wanted as before."""
        low, high = need.rate, max(1.0, need.rate)
        while replace(need, rate=high).instances_needed < copies:
            high *= 2
        for _ in range(40):
            middle = (low + high) / 2
            if replace(need, rate=middle).instances_needed >= copies:
                high = middle
            else:
                low = middle
        return replace(need, rate=high)
