"""Planners in the lab: the real core and the real edge's side; emulated ways, solvers that take their time, faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelptrail.lease.messages import FencingToken
from kelptrail.membership.members import EndpointList
from kelptrail.planner.build import function_profiles, planner_settings, worker_capacities
from kelptrail.planner.channel import LeaderContact
from kelptrail.planner.core import PlacementProblem, Planner, Role
from kelptrail.planner.driver import LEASE_NAME
from kelptrail.planner.placement import place_by_program, place_greedily
from kelptrail.planner.plan import FORMAT, InstanceCounts, Plan, PlanOrder, PlanPacket
from kelptrail.planner.plan_follower import PlanState

if TYPE_CHECKING:
    from .cluster import SimulatedCluster, SimulatedDispatcher

TICK_MS, REPORT_MS, HOUR = 250.0, 1000.0, 8
SOLVE_MS = 200.0  # what a plan takes, beyond what a trouble adds


class SimulatedPlanner:
    """One planner's process."""

    def __init__(self, site: SimulatedCluster, number: int, solver: str) -> None:
        self._site, self.name, self._solver = site, f"planner-{number}", solver
        self._settings = planner_settings(site.deployment)
        self._models = function_profiles(site.deployment)
        self.up, self.slow_ms, self._starts = False, 0.0, 0
        self._kept: InstanceCounts = {}
        self.plans = self.moves = 0
        self.begin(True)

    def begin(self, forget: bool = False) -> None:
        """Start, with the snapshot or with nothing."""
        self.up, self._starts = True, self._starts + 1
        leases = self._site.leases
        if leases is not None and self._starts > 1:
            leases.begin(leases.nodes[self.name])
        self.core = Planner(self.name, self._settings, self._models, self._site.engine.now)
        if not forget:
            self.core.restore_plan(self._kept)
        if self._site.listing is not None:
            self.listed(self._site.listing)
        self._site.engine.after(TICK_MS, self._tick, self._starts)

    def led(self, token: FencingToken) -> None:
        """It holds the lease."""
        self.core.on_lease_acquired(self._site.engine.now, token.round, token.client_id)

    def stood_down(self) -> None:
        """It holds it no more."""
        self.core.on_lease_lost()

    def kill(self) -> None:
        """Gone."""
        self.up = False
        if self._site.leases is not None:
            self._site.leases.kill(self.name)

    def listed(self, listing: EndpointList) -> None:
        """A new list."""
        self.core.on_endpoints(
            self._site.engine.now, worker_capacities(self._site.deployment, listing), (listing.lineage, listing.version)
        )

    def _tick(self, start: int) -> None:
        if start != self._starts or not self.up:
            return
        now, engine = self._site.engine.now, self._site.engine
        self.core.tick(now, HOUR)
        if (problem := self.core.next_problem(now, HOUR)) is not None:
            engine.after(SOLVE_MS + self.slow_ms, self._solved, start, problem)
        self._kept = self.core.target
        self._send()
        engine.after(TICK_MS, self._tick, start)

    def _solved(self, start: int, problem: PlacementProblem) -> None:
        if start == self._starts and self.up:
            how = place_greedily if self._solver == "greedy" else place_by_program
            self.core.on_solution(
                self._site.engine.now, problem.number, how(problem.workers, problem.demands, problem.budget)
            )
            self.plans, self.moves = self.core.counters.plans, self.core.counters.new_instances
            self._send()

    def _send(self) -> None:
        now, net = self._site.engine.now, self._site.settings.network_ms
        by_name = {d.name: d for d in self._site.own}
        leases = self._site.leases
        may = leases is not None and leases.holds(self.name, LEASE_NAME) is not None
        for edge, plan in self.core.plans_to_send(now) if may else ():
            if (side := by_name[edge].edge) is not None:
                self._site.engine.after(net, side.offered, self, plan, self.core.plan_age_ms(now))

    @property
    def acting(self) -> bool:
        """Whether it makes plans."""
        return self.up and self.core.role is Role.LEADER


class SimulatedEdge:
    """The edge's side in one dispatcher's process; a new start keeps the last plan, as the disk does."""

    def __init__(self, site: SimulatedCluster, dispatcher: SimulatedDispatcher) -> None:
        self._site, self._dispatcher = site, dispatcher
        self._kept: Plan | None = None
        self.begin()

    def begin(self) -> None:
        """A new start of the dispatcher."""
        now = self._site.engine.now
        self._start = self._dispatcher.starts
        self.follower, self._led = PlanState(self._site.deployment.name), LeaderContact(now)
        self._applied: PlanOrder | None = None
        if self._kept is not None:
            self.follower.restore(now, self._kept, 10_000.0, self._live())
            self.apply()
        self._site.engine.after(REPORT_MS * (0.5 + self._dispatcher.number % 50 / 100), self._report, self._start)

    def _live(self) -> set[str]:
        return {w.id for w in self._dispatcher.gateway.members if w.live}

    def listed(self) -> None:
        """The list has changed."""
        members = self._dispatcher.gateway.members
        self.follower.on_endpoints(self._site.engine.now, self._live(), (members.lineage, members.version))
        self._applied = None
        self.apply()

    def apply(self) -> None:
        """Tell the core what the plan in force wants."""
        wants = self.follower.target(self._site.engine.now)
        order = self.follower.plan.header.order if wants is not None and self.follower.plan is not None else None
        if order != self._applied or order is None:
            self._applied = order
            self._dispatcher.gateway.on_plan(wants)
            self._dispatcher.stir()

    def offered(self, planner: SimulatedPlanner, plan: Plan, age_ms: float) -> None:
        """A plan has come."""
        if not self._dispatcher.up:
            return
        now, members = self._site.engine.now, self._dispatcher.gateway.members
        report = self.follower.on_plan(
            now,
            PlanPacket(FORMAT, plan.header, 0, age_ms, plan.instances),
            self._live(),
            (members.lineage, members.version),
        )
        if report is None:
            self._led.last_ms, self._kept = now, self.follower.plan
            self.apply()
        elif planner.up:
            self._site.engine.after(
                self._site.settings.network_ms,
                planner.core.on_plan_refused,
                now,
                self._dispatcher.name,
                report.reason.value,
                self.follower.fence,
            )

    def _report(self, start: int) -> None:
        if start != self._dispatcher.starts or not self._dispatcher.up:
            return
        now, gateway = self._site.engine.now, self._dispatcher.gateway
        tallies, standing = gateway.counters(), gateway.loaded_instances()
        for planner in self._site.planners:
            if planner.up:
                if planner.acting and (planner.core.epoch, planner.core.owner) >= self.follower.fence[:2]:
                    self._led.last_ms = now
                planner.core.on_report(now, self._dispatcher.name, self.follower.fence, tallies, standing)
        if self.follower.target(now) is None and self._applied is not None:
            self.apply()  # it has run out
        self._site.engine.after(REPORT_MS, self._report, start)
