"""Planner core: makes plans from the usage that edges report; free of I/O, clocks and randomness.

The driver passes in endpoint lists, usage reports and disconnected edges, and requests the next problem to solve and
the plans to send.  Leadership is not decided here: a planner leads from `on_lease_acquired` to `on_lease_lost`, and
processes reports whether it leads or not.  Every plan carries the lease's fencing token.  Edges refuse plans with an
older token than that of the latest plan that they have accepted; a planner that receives a later token from an edge
stops leading at once.
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
REPLAN_DELAY_MS = 500.0  # longest time to the next problem after an edge refused a plan because of its workers
DEFAULT_WORK_MS = 100.0  # assumed work per call before any has been measured
SECONDS_PER_MINUTE = 60
BISECTION_STEPS = 40


class Role(Enum):
    """Role of a planner: only the leader makes plans.  The values are shown to operators."""

    STANDBY = "standby"
    LEADER = "acting"


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of a planner; times in milliseconds.

    `lineage`: name of the deployment; `interval_ms`: time between two problems, unless an event makes the next one due
    earlier; `valid_ms`: time for which a plan is valid.  The number of new instances in a plan is limited to the share
    `new_instances_share` of the calls expected in the next minute; the limit is at least `new_instances_min`.
    `scale_down_ms`: how long demand must be lower before the instances of a function are reduced.
    """

    lineage: str
    interval_ms: float = 5000.0
    valid_ms: float = 60_000.0
    scale_down_ms: float = 60_000.0
    new_instances_share: float = 0.05
    new_instances_min: int = 8
    interest_ms: float = 120_000.0  # an edge receives plans for the functions that it requested within this time
    min_rate: float = 0.05  # calls per second below which no instance is planned
    edge_timeout_ms: float = 3000.0  # an edge that sends no report for this long is removed


@dataclass(frozen=True, slots=True)
class FunctionProfile:
    """Configured properties of a function."""

    memory_mb: float
    concurrency: int
    load_ms: float
    priority_weight: float


@dataclass(frozen=True, slots=True)
class PlacementProblem:
    """A placement problem for the solver.  `budget`: maximum number of new instances."""

    number: int
    workers: list[WorkerCapacity]
    demands: list[FunctionDemand]
    budget: int
    endpoints_version: EndpointsVersion


class ReportedInstances(NamedTuple):
    """Number of instances of a function that an edge reported as loaded on a worker, and time of the report in ms."""

    instances: int
    reported_at: float


@dataclass(slots=True)
class Edge:
    """State of one connected edge."""

    name: str
    last_report_ms: float
    plan_order: PlanOrder = BEFORE_ALL_PLANS  # order of the latest plan that the edge accepted or read from disk


@dataclass(slots=True)
class PlannerCounters:
    """Counters of a planner since its start."""

    plans: int = 0
    unchanged: int = 0  # plans with the same instances as the previous plan
    by_solver: dict[str, int] = field(default_factory=dict)  # plans by solver
    refusals: dict[str, int] = field(default_factory=dict)  # plans refused by edges, by reason
    new_instances: int = 0


class Planner:
    """Decisions of one planner.  All times are milliseconds of the caller's clock."""

    def __init__(self, name: str, settings: PlannerSettings, profiles: dict[str, FunctionProfile], now: float) -> None:
        self.name, self._settings, self._profiles = name, settings, profiles
        self.role, self.epoch, self.owner = Role.STANDBY, 0, name
        self._last_number = 0  # number of the latest problem or plan under the current token
        self.demand = Demand()
        self.workers: list[WorkerCapacity] = []
        self.endpoints_version = EndpointsVersion("", -1)
        self.edges: dict[str, Edge] = {}
        self.target: InstanceCounts = {}
        self._loaded: dict[str, dict[str, ReportedInstances]] = {}  # by model and worker
        self._next_problem_ms = now
        self._open_problem: int | None = None  # number of the problem that is being solved
        self._plan_made_ms = now
        self._edges_to_update: set[str] = set()  # edges that must receive a new plan
        self.counters = PlannerCounters()

    # Inputs.

    def on_endpoints(self, now: float, workers: list[WorkerCapacity], version: EndpointsVersion) -> None:
        """Apply a new endpoint list with the live workers `workers`.

        If the current plan uses a worker that is not among them, the next problem is due at once.
        """
        self.workers, self.endpoints_version = workers, version
        live = {worker.id for worker in workers}
        for by_worker in self._loaded.values():
            for worker in [worker for worker in by_worker if worker not in live]:
                del by_worker[worker]
        if any(worker not in live for by_worker in self.target.values() for worker in by_worker):
            self._next_problem_ms = min(self._next_problem_ms, now)

    def on_lease_acquired(self, now: float, epoch: int, owner: str) -> None:
        """Start leading; plans carry the fencing token of `epoch` and `owner`, and the next problem is due at once."""
        self.role, self.epoch, self.owner = Role.LEADER, epoch, owner
        self._last_number, self._next_problem_ms, self._open_problem = 0, now, None

    def on_lease_lost(self) -> None:
        """Stop leading: no plan is made or sent until the lease is acquired again."""
        self.role = Role.STANDBY
        self._edges_to_update.clear()

    def on_report(
        self, now: float, edge: str, order: PlanOrder, counters: dict[str, FunctionCounters], loaded: InstanceCounts
    ) -> None:
        """Process the usage report of an edge, or its first message, which has no counters.

        `order`: order of the latest plan that the edge accepted or read from disk; `loaded`: instances that it reports
        as loaded.
        """
        known_edge = self.edges.get(edge)
        if known_edge is None:
            known_edge = self.edges[edge] = Edge(edge, now)
            self._edges_to_update.add(edge)
        known_edge.last_report_ms, known_edge.plan_order = now, order
        requested_before = self.demand.recently_requested(now, edge, self._settings.interest_ms)
        self.demand.add_report(now, edge, counters)
        for model, by_worker in loaded.items():
            reported = self._loaded.setdefault(model, {})
            for worker, count in by_worker.items():
                reported[worker] = ReportedInstances(count, now)
        self._check_fence(order)
        newly_requested = self.demand.recently_requested(now, edge, self._settings.interest_ms) - requested_before
        if self.role is Role.LEADER and any(model in self.target for model in newly_requested):
            self._edges_to_update.add(edge)

    def on_plan_refused(self, now: float, edge: str, reason: str, order: PlanOrder) -> None:
        """Record that an edge refused a plan; the edge's channel then sends the next plan complete.

        If the base of a difference was the reason, that plan is sent at once.  If the plan's workers were the reason,
        the next problem is due within `REPLAN_DELAY_MS`.
        """
        self.counters.refusals[reason] = self.counters.refusals.get(reason, 0) + 1
        known_edge = self.edges.get(edge)
        if known_edge is None:
            return
        known_edge.plan_order = max(known_edge.plan_order, order)
        self._check_fence(order)
        if reason == RefusalReason.WORKERS.value:
            self._next_problem_ms = min(self._next_problem_ms, now + REPLAN_DELAY_MS)
        elif reason == RefusalReason.BASE.value:
            self._edges_to_update.add(edge)

    def on_edge_disconnected(self, edge: str) -> None:
        """Remove an edge that has disconnected or stopped sending reports."""
        self.edges.pop(edge, None)
        self.demand.remove_edge(edge)
        self._edges_to_update.discard(edge)

    def restore_plan(self, target: InstanceCounts) -> None:
        """Continue from the plan in the snapshot of an earlier run."""
        self.target = target

    def on_solution(self, now: float, number: int, placement: Placement | None) -> None:
        """Make a plan from the solution of a problem.

        If `placement` is None, the problem could not be solved and the previous plan stays in force.  The solution is
        ignored if its problem is not the open one or this planner no longer leads.
        """
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
        """Close the demand window and remove silent edges.  Call it about once a second or more often."""
        settings = self._settings
        self.demand.close_window(now, hour)
        for edge in [e.name for e in self.edges.values() if now - e.last_report_ms > settings.edge_timeout_ms]:
            self.on_edge_disconnected(edge)

    def next_problem(self, now: float, hour: int) -> PlacementProblem | None:
        """Return the problem to solve now, if any; only one is open at a time."""
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
        """Return the plans to send now with the names of their edges.

        A plan has only the functions that its edge has recently requested.
        """
        if self.role is not Role.LEADER or not self._edges_to_update or not self._last_number:
            return []
        names, self._edges_to_update = sorted(self._edges_to_update), set()
        plans = []
        for name in names:
            if name not in self.edges:
                continue
            requested = self.demand.recently_requested(now, name, self._settings.interest_ms)
            instances = {model: by_worker for model, by_worker in self.target.items() if model in requested}
            self._last_number += 1
            plan = make_plan(
                self._settings.lineage,
                (self.epoch, self.owner, self._last_number),
                self._settings.valid_ms,
                self.endpoints_version,
                instances,
            )
            plans.append((name, plan))
        return plans

    def plan_age_ms(self, now: float) -> float:
        """Return the time in ms since the last solution was applied or, before the first one, since the start."""
        return now - self._plan_made_ms

    # Internals.

    def _check_fence(self, order: PlanOrder) -> None:
        """Stop leading if an edge has a plan with a later token: another planner has acquired the lease."""
        if self.role is Role.LEADER and order[:2] > (self.epoch, self.owner):
            self.on_lease_lost()

    def _demands(self, now: float, hour: int) -> list[FunctionDemand]:
        """Return the demands of all configured functions that have a measured load or usual rates."""
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
            self._recently_loaded(now, model),
            load.planned,
        )
        # Scale up at once, but down only after `scale_down_ms`, so that instances are not unloaded and loaded again.
        if demand.instances_needed >= load.planned:
            load.below_plan_since = now
        elif now - load.below_plan_since < self._settings.scale_down_ms:
            return self._raise_demand(demand, load.planned)
        else:
            load.below_plan_since = now
        return demand

    def _recently_loaded(self, now: float, model: str) -> dict[str, int]:
        """Return the instances of a function by worker that edges have reported within `LOADED_VALID_MS`."""
        return {
            worker: reported.instances
            for worker, reported in self._loaded.get(model, {}).items()
            if reported.instances and now - reported.reported_at < LOADED_VALID_MS
        }

    @staticmethod
    def _raise_demand(demand: FunctionDemand, instances: int) -> FunctionDemand:
        """Return the demand at the lowest rate for which at least `instances` are needed, found by bisection."""
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
