"""The planner: from what edges report to plans, free of I/O, clocks and chance.

Endpoint lists, usage reports and edges that connect or go come in as events; the driver asks for the next problem to
solve and for the plans to send.  Leadership is not decided here: a planner leads from the event that it acquired the
lease to the event that it lost it, and receives reports all the while.  Every plan carries the lease's fencing token.
Edges accept no plan with an older token than they have seen; a planner that learns of a later one from an edge stops
leading at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from kelptrail.gateway.counters import FunctionCounters

from .demand import Demand, FunctionLoad
from .placement import FunctionDemand, Placement, WorkerCapacity
from .plan import BEFORE_ALL_PLANS, EndpointsVersion, InstanceCounts, Plan, PlanOrder, difference, make_plan
from .plan_follower import RefusalReason

LOADED_VALID_MS = 30_000.0  # how long a reported instance counts as loaded
RETRY_MS = 500.0  # until the next plan when an edge refused one over its workers
DEFAULT_WORK_MS = 100.0  # of a call, while none has been measured
SECONDS_PER_MINUTE = 60
BISECTION_STEPS = 40


class Role(Enum):
    """Whether a planner makes plans; the values are shown to operators."""

    STANDBY = "standby"
    LEADER = "acting"


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Times in milliseconds.  A plan may bring as many new instances as `new_instances_share` of the calls expected in
    the next minute, and `new_instances_min` at least.  `scale_down_ms`: how long demand must have been lower before a
    function's instances are reduced.
    """

    lineage: str
    interval_ms: float = 5000.0
    valid_ms: float = 60_000.0
    scale_down_ms: float = 60_000.0
    new_instances_share: float = 0.05
    new_instances_min: int = 8
    interest_ms: float = 120_000.0  # an edge gets plans for the functions that it requested within this time
    min_rate: float = 0.05  # calls a second, below which no instance is planned
    edge_timeout_ms: float = 3000.0  # an edge that sent no report for so long is dropped


@dataclass(frozen=True, slots=True)
class FunctionProfile:
    """What the settings say about a function."""

    memory_mb: float
    concurrency: int
    load_ms: float
    priority_weight: float


@dataclass(frozen=True, slots=True)
class PlacementProblem:
    """One placement to solve.  `budget`: new instances allowed."""

    number: int
    workers: list[WorkerCapacity]
    demands: list[FunctionDemand]
    budget: int
    endpoints_version: EndpointsVersion


class ReportedInstances(NamedTuple):
    """Instances of a function that an edge believed to be loaded on a worker, and when it said so (ms)."""

    instances: int
    reported_at: float


@dataclass(slots=True)
class Edge:
    """What is known about one edge."""

    name: str
    last_heard_ms: float
    plan_order: PlanOrder = BEFORE_ALL_PLANS  # the latest plan that it has seen


@dataclass(slots=True)
class PlannerCounters:
    """What this planner has done since its start."""

    plans: int = 0
    unchanged: int = 0  # plans equal to the one before
    by_solver: dict[str, int] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)
    new_instances: int = 0


class Planner:
    """One planner's decisions.  All times are milliseconds of the caller's clock."""

    def __init__(self, name: str, settings: PlannerSettings, profiles: dict[str, FunctionProfile], now: float) -> None:
        self.name, self._settings, self._profiles = name, settings, profiles
        self.role, self.epoch, self.owner, self._last_number = Role.STANDBY, 0, name, 0
        self.demand = Demand()
        self.workers: list[WorkerCapacity] = []
        self.endpoints_version = EndpointsVersion("", -1)
        self.edges: dict[str, Edge] = {}
        self.target: InstanceCounts = {}
        self._loaded: dict[str, dict[str, ReportedInstances]] = {}  # by model and worker
        self._next_problem_ms = now
        self._open_problem: int | None = None  # number of the problem that is being solved
        self._plan_made_ms = now
        self._edges_to_update: set[str] = set()  # edges that a new plan is to be sent to
        self.counters = PlannerCounters()

    # Inputs.

    def on_endpoints(self, now: float, workers: list[WorkerCapacity], version: EndpointsVersion) -> None:
        """A new endpoint list; `workers` are its live ones.  If the plan names others, a new one is made at once."""
        self.workers, self.endpoints_version = workers, version
        live = {worker.id for worker in workers}
        for by_worker in self._loaded.values():
            for worker in [worker for worker in by_worker if worker not in live]:
                del by_worker[worker]
        if any(worker not in live for by_worker in self.target.values() for worker in by_worker):
            self._next_problem_ms = min(self._next_problem_ms, now)

    def on_lease_acquired(self, now: float, epoch: int, owner: str) -> None:
        """The lease is held under the fencing token of `epoch` and `owner`, which all plans carry from now on."""
        self.role, self.epoch, self.owner = Role.LEADER, epoch, owner
        self._last_number, self._next_problem_ms, self._open_problem = 0, now, None

    def on_lease_lost(self) -> None:
        """The lease is not held any more: no plan is made or sent until it is held again."""
        self.role = Role.STANDBY
        self._edges_to_update.clear()

    def on_report(
        self, now: float, edge: str, order: PlanOrder, counters: dict[str, FunctionCounters], loaded: InstanceCounts
    ) -> None:
        """An edge's usage.  `order`: the latest plan it has seen; `loaded`: instances that it believes to be loaded."""
        known_edge = self.edges.get(edge)
        if known_edge is None:
            known_edge = self.edges[edge] = Edge(edge, now)
            self._edges_to_update.add(edge)
        known_edge.last_heard_ms, known_edge.plan_order = now, order
        before = self.demand.recently_requested(now, edge, self._settings.interest_ms)
        self.demand.add_report(now, edge, counters)
        for model, at in loaded.items():
            known = self._loaded.setdefault(model, {})
            for worker, count in at.items():
                known[worker] = ReportedInstances(count, now)
        self._check_fence(order)
        newly_requested = self.demand.recently_requested(now, edge, self._settings.interest_ms) - before
        if self.role is Role.LEADER and any(model in self.target for model in newly_requested):
            self._edges_to_update.add(edge)

    def on_plan_refused(self, now: float, edge: str, reason: str, order: PlanOrder) -> None:
        """An edge refused a plan: it gets a complete one, made anew where workers were the reason."""
        self.counters.refusals[reason] = self.counters.refusals.get(reason, 0) + 1
        known_edge = self.edges.get(edge)
        if known_edge is None:
            return
        known_edge.plan_order = max(known_edge.plan_order, order)
        self._check_fence(order)
        if reason == RefusalReason.WORKERS.value:
            self._next_problem_ms = min(self._next_problem_ms, now + RETRY_MS)
        elif reason == RefusalReason.BASE.value:
            self._edges_to_update.add(edge)

    def on_edge_gone(self, edge: str) -> None:
        """An edge has closed its connection."""
        self.edges.pop(edge, None)
        self.demand.remove_edge(edge)
        self._edges_to_update.discard(edge)

    def restore_plan(self, target: InstanceCounts) -> None:
        """Continue from the plan in an earlier run's snapshot."""
        self.target = target

    def on_solution(self, now: float, number: int, placement: Placement | None) -> None:
        """A problem's solution; None: it could not be solved, and the plan before stays in force."""
        if number != self._open_problem:
            return
        self._open_problem = None
        if placement is None or self.role is not Role.LEADER:
            return
        live = {worker.id for worker in self.workers}
        target = {
            model: on_live
            for model, by_worker in placement.instances.items()
            if (on_live := {worker: count for worker, count in by_worker.items() if worker in live})
        }
        solver = placement.solver.value
        self.counters.by_solver[solver] = self.counters.by_solver.get(solver, 0) + 1
        self.counters.new_instances += placement.new
        self.counters.plans += 1
        self.counters.unchanged += not difference(self.target, target)
        for model, load in self.demand.functions.items():
            load.planned = sum(target.get(model, {}).values())
        self.target, self._plan_made_ms = target, now
        self._last_number += 1
        self._edges_to_update = set(self.edges)

    # Outputs.

    def tick(self, now: float, hour: int) -> None:
        """Close the demand window and drop silent edges.  To be called about once a second."""
        settings = self._settings
        self.demand.close_window(now, hour)
        for edge in [e.name for e in self.edges.values() if now - e.last_heard_ms > settings.edge_timeout_ms]:
            self.on_edge_gone(edge)

    def next_problem(self, now: float, hour: int) -> PlacementProblem | None:
        """The problem to solve now, if any; one at a time."""
        if (
            self.role is not Role.LEADER
            or self._open_problem is not None
            or now < self._next_problem_ms
            or not self.workers
        ):
            return None
        self._next_problem_ms = now + self._settings.interval_ms
        self._last_number += 1
        self._open_problem = self._last_number
        demands = self._demands(now, hour)
        expected_calls = SECONDS_PER_MINUTE * sum(demand.rate for demand in demands)
        budget = max(self._settings.new_instances_min, int(expected_calls * self._settings.new_instances_share))
        return PlacementProblem(self._open_problem, self.workers, demands, budget, self.endpoints_version)

    def plans_to_send(self, now: float) -> list[tuple[str, Plan]]:
        """The plans to send now, by edge; each has only the functions that the edge requested lately."""
        if self.role is not Role.LEADER or not self._edges_to_update or not self._last_number:
            return []
        names, self._edges_to_update = sorted(self._edges_to_update), set()
        out = []
        for name in names:
            if name not in self.edges:
                continue
            requested = self.demand.recently_requested(now, name, self._settings.interest_ms)
            instances = {m: at for m, at in self.target.items() if m in requested}
            self._last_number += 1
            plan = make_plan(
                self._settings.lineage,
                (self.epoch, self.owner, self._last_number),
                self._settings.valid_ms,
                self.endpoints_version,
                instances,
            )
            out.append((name, plan))
        return out

    def plan_age_ms(self, now: float) -> float:
        """The age of the placement that plans carry."""
        return now - self._plan_made_ms

    # Internals.

    def _check_fence(self, order: PlanOrder) -> None:
        """Stop leading if an edge has seen a plan with a later token: the lease has passed on."""
        if self.role is Role.LEADER and order[:2] > (self.epoch, self.owner):
            self.on_lease_lost()

    def _demands(self, now: float, hour: int) -> list[FunctionDemand]:
        """The functions that the settings know and edges request or requested."""
        return [
            self._demand_of(now, hour, model, profile, load)
            for model, load in self.demand.functions.items()
            if (profile := self._profiles.get(model)) is not None
        ]

    def _demand_of(
        self, now: float, hour: int, model: str, profile: FunctionProfile, load: FunctionLoad
    ) -> FunctionDemand:
        rate = self.demand.forecast(model, hour)
        demand = FunctionDemand(
            model,
            profile.memory_mb,
            profile.concurrency,
            profile.load_ms,
            load.work_ms or DEFAULT_WORK_MS,
            profile.priority_weight,
            rate if rate >= self._settings.min_rate else 0.0,
            self._loaded_lately(now, model),
            load.planned,
        )
        # Scale up at once, down only after a while, so that instances are not unloaded and loaded again.
        if demand.instances_needed >= load.planned:
            load.below_plan_since = now
        elif now - load.below_plan_since < self._settings.scale_down_ms:
            return self._raised_to(demand, load.planned)
        else:
            load.below_plan_since = now
        return demand

    def _loaded_lately(self, now: float, model: str) -> dict[str, int]:
        """Instances of a function by worker, as far as edges have reported them within `LOADED_VALID_MS`."""
        return {
            worker: reported.instances
            for worker, reported in self._loaded.get(model, {}).items()
            if reported.instances and now - reported.reported_at < LOADED_VALID_MS
        }

    @staticmethod
    def _raised_to(demand: FunctionDemand, instances: int) -> FunctionDemand:
        """The same demand at a rate for which at least `instances` are needed, found by bisection."""
        low, high = demand.rate, max(1.0, demand.rate)
        while replace(demand, rate=high).instances_needed < instances:
            high *= 2
        for _ in range(BISECTION_STEPS):
            middle = (low + high) / 2
            if replace(demand, rate=middle).instances_needed >= instances:
                high = middle
            else:
                low = middle
        return replace(demand, rate=high)
