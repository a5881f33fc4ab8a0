"""Planners in the lab: the real core and the real edge's side; emulated ways, solvers that take their time, faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelptrail.lease.messages import FencingToken
from kelptrail.membership.members import EndpointList
from kelptrail.planner.build import hosts_of, models_of, settings_of
from kelptrail.planner.channel import Led
from kelptrail.planner.core import Planner, Problem, Role
from kelptrail.planner.driver import TASK
from kelptrail.planner.placement import greedy, solve
from kelptrail.planner.plan import FORMAT, Order, Packet, Plan, Wants
from kelptrail.planner.plan_follower import PlanState

if TYPE_CHECKING:
    from .cluster import SimulatedCluster, SimulatedDispatcher

TICK_MS, REPORT_MS, HOUR = 250.0, 1000.0, 8
SOLVE_MS = 200.0  # what a plan takes, beyond what a trouble adds


class SimulatedPlanner:
    """One planner's process."""

    def __init__(self, site: SimulatedCluster, number: int, solver: str) -> None:
        self._site, self.name, self._solver = site, f"planner-{number}", solver
        self._settings = settings_of(site.deployment)
        self._models = models_of(site.deployment)
        self.up, self.slow_ms, self._starts = False, 0.0, 0
        self._kept: Wants = {}
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
            self.core.restored(self._kept)
        if self._site.listing is not None:
            self.listed(self._site.listing)
        self._site.engine.after(TICK_MS, self._tick, self._starts)

    def led(self, token: FencingToken) -> None:
        """It holds the lease."""
        self.core.lead(self._site.engine.now, token.round, token.client_id)

    def stood_down(self) -> None:
        """It holds it no more."""
        self.core.stand_down()

    def kill(self) -> None:
        """Gone."""
        self.up = False
        if self._site.leases is not None:
            self._site.leases.kill(self.name)

    def listed(self, listing: EndpointList) -> None:
        """A new list."""
        self.core.listed(
            self._site.engine.now, hosts_of(self._site.deployment, listing), (listing.lineage, listing.version)
        )

    def _tick(self, start: int) -> None:
        if start != self._starts or not self.up:
            return
        now, engine = self._site.engine.now, self._site.engine
        self.core.tick(now, HOUR)
        if (problem := self.core.problem(now, HOUR)) is not None:
            engine.after(SOLVE_MS + self.slow_ms, self._solved, start, problem)
        self._kept = self.core.wants
        self._send()
        engine.after(TICK_MS, self._tick, start)

    def _solved(self, start: int, problem: Problem) -> None:
        if start == self._starts and self.up:
            how = greedy if self._solver == "greedy" else solve
            self.core.solved(self._site.engine.now, problem.number, how(problem.hosts, problem.needs, problem.budget))
            self.plans, self.moves = self.core.counts.plans, self.core.counts.moves
            self._send()

    def _send(self) -> None:
        now, net = self._site.engine.now, self._site.settings.network_ms
        by_name = {d.name: d for d in self._site.own}
        leases = self._site.leases
        may = leases is not None and leases.holds(self.name, TASK) is not None
        for edge, plan in self.core.plans(now) if may else ():
            if (side := by_name[edge].edge) is not None:
                self._site.engine.after(net, side.offered, self, plan, self.core.age_ms(now))

    @property
    def acting(self) -> bool:
        """Whether it makes plans."""
        return self.up and self.core.role is Role.ACTING


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
        self.follower, self._led = PlanState(self._site.deployment.name), Led(now)
        self._applied: Order | None = None
        if self._kept is not None:
            self.follower.restore(now, self._kept, 10_000.0, self._live())
            self.apply()
        self._site.engine.after(REPORT_MS * (0.5 + self._dispatcher.number % 50 / 100), self._report, self._start)

    def _live(self) -> set[str]:
        return {w.id for w in self._dispatcher.gateway.members if w.live}

    def listed(self) -> None:
        """The list has changed."""
        members = self._dispatcher.gateway.members
        self.follower.listed(self._site.engine.now, self._live(), (members.lineage, members.version))
        self._applied = None
        self.apply()

    def apply(self) -> None:
        """Tell the core what the plan in force wants."""
        wants = self.follower.wants(self._site.engine.now)
        order = self.follower.plan.head.order if wants is not None and self.follower.plan is not None else None
        if order != self._applied or order is None:
            self._applied = order
            self._dispatcher.gateway.on_plan(wants)
            self._dispatcher.stir()

    def offered(self, planner: SimulatedPlanner, plan: Plan, age_ms: float) -> None:
        """A plan has come."""
        if not self._dispatcher.up:
            return
        now, members = self._site.engine.now, self._dispatcher.gateway.members
        report = self.follower.offer(
            now, Packet(FORMAT, plan.head, 0, age_ms, plan.wants), self._live(), (members.lineage, members.version)
        )
        if report is None:
            self._led.at, self._kept = now, self.follower.plan
            self.apply()
        elif planner.up:
            self._site.engine.after(
                self._site.settings.network_ms,
                planner.core.refused,
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
                    self._led.at = now
                planner.core.reported(now, self._dispatcher.name, self.follower.fence, tallies, standing)
        if self.follower.wants(now) is None and self._applied is not None:
            self.apply()  # it has run out
        self._site.engine.after(REPORT_MS, self._report, start)
