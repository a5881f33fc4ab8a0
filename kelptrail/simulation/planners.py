"""Simulated planners: the real planner core and plan follower, with simulated network, solver time and faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelptrail.lease.messages import FencingToken
from kelptrail.membership.members import EndpointList
from kelptrail.planner.build import function_profiles, planner_settings, worker_capacities
from kelptrail.planner.channel import LeaderContact
from kelptrail.planner.core import PlacementProblem, Planner, Role
from kelptrail.planner.driver import LEASE_NAME
from kelptrail.planner.greedy_placement import place_greedily
from kelptrail.planner.plan import FORMAT, EndpointsVersion, InstanceCounts, Plan, PlanOrder, PlanPacket
from kelptrail.planner.plan_follower import PlanState
from kelptrail.planner.program_placement import place_by_program

if TYPE_CHECKING:
    from .cluster import SimulatedCluster
    from .dispatchers import SimulatedDispatcher

TICK_INTERVAL_MS = 250.0  # time between two ticks of a planner
REPORT_INTERVAL_MS = 1000.0  # time between two reports of a dispatcher to the planners
HOUR_OF_DAY = 8  # hour at which the whole run takes place, for the planners' forecasts
SOLVE_MS = 200.0  # time to compute a plan, without the delay that a fault adds


class SimulatedPlanner:
    """One planner, including the restarts of its process; its snapshot outlives them."""

    def __init__(self, cluster: SimulatedCluster, number: int, solver: str) -> None:
        self._cluster, self.name, self._solver = cluster, f"planner-{number}", solver
        self._settings = planner_settings(cluster.deployment)
        self._function_profiles = function_profiles(cluster.deployment)
        self.up, self.slow_ms, self._start_number = False, 0.0, 0
        self._snapshot: InstanceCounts = {}
        self.plans = self.moves = 0  # plans and new instances, as counted by the process of the latest plan
        self.start_process(True)

    def start_process(self, without_snapshot: bool = False) -> None:
        """Start the process from its snapshot, or empty if `without_snapshot` is set."""
        self.up, self._start_number = True, self._start_number + 1
        leases = self._cluster.leases
        if leases is not None and self._start_number > 1:
            leases.start_process(leases.nodes[self.name])
        self.core = Planner(self.name, self._settings, self._function_profiles, self._cluster.event_queue.now)
        if not without_snapshot:
            self.core.restore_plan(self._snapshot)
        if self._cluster.endpoints is not None:
            self.on_endpoints(self._cluster.endpoints)
        self._cluster.event_queue.after(TICK_INTERVAL_MS, self._tick, self._start_number)

    def on_lease_acquired(self, token: FencingToken) -> None:
        """Make the planner the leader, since it has acquired the lease."""
        self.core.on_lease_acquired(self._cluster.event_queue.now, token.round, token.client_id)

    def on_lease_lost(self) -> None:
        """End the planner's leadership, since it has lost the lease."""
        self.core.on_lease_lost()

    def kill(self) -> None:
        """End the process."""
        self.up = False
        if self._cluster.leases is not None:
            self._cluster.leases.kill(self.name)

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """Pass a new endpoint list to the planner core."""
        self.core.on_endpoints(
            self._cluster.event_queue.now,
            worker_capacities(self._cluster.deployment, endpoints),
            EndpointsVersion(endpoints.lineage, endpoints.version),
        )

    def _tick(self, start_number: int) -> None:
        if start_number != self._start_number or not self.up:
            return
        now, event_queue = self._cluster.event_queue.now, self._cluster.event_queue
        self.core.tick(now, HOUR_OF_DAY)
        if (problem := self.core.next_problem(now, HOUR_OF_DAY)) is not None:
            event_queue.after(SOLVE_MS + self.slow_ms, self._on_solved, start_number, problem)
        self._snapshot = self.core.target
        self._send_plans()
        event_queue.after(TICK_INTERVAL_MS, self._tick, start_number)

    def _on_solved(self, start_number: int, problem: PlacementProblem) -> None:
        if start_number == self._start_number and self.up:
            solve = place_greedily if self._solver == "greedy" else place_by_program
            solution = solve(problem.workers, problem.demands, problem.budget)
            self.core.on_solution(self._cluster.event_queue.now, problem.number, solution)
            self.plans, self.moves = self.core.counters.plans, self.core.counters.new_instances
            self._send_plans()

    def _send_plans(self) -> None:
        now, network_ms = self._cluster.event_queue.now, self._cluster.settings.network_ms
        dispatchers = {d.name: d for d in self._cluster.local_dispatchers}
        leases = self._cluster.leases
        holds_lease = leases is not None and leases.held_token(self.name, LEASE_NAME) is not None
        for dispatcher_name, plan in self.core.plans_to_send(now) if holds_lease else ():
            if (edge := dispatchers[dispatcher_name].edge) is not None:
                self._cluster.event_queue.after(
                    network_ms, edge.on_plan_offered, self, plan, self.core.plan_age_ms(now)
                )

    @property
    def is_leading(self) -> bool:
        """True if the planner is up and leads."""
        return self.up and self.core.role is Role.LEADER


class SimulatedEdge:
    """The plan follower of one dispatcher; its last plan outlives a restart, as a plan on disk does."""

    def __init__(self, cluster: SimulatedCluster, dispatcher: SimulatedDispatcher) -> None:
        self._cluster, self._dispatcher = cluster, dispatcher
        self._saved_plan: Plan | None = None
        self.start_process()

    def start_process(self) -> None:
        """Start together with the dispatcher's process, from the last plan if there is one."""
        now = self._cluster.event_queue.now
        self._start_number = self._dispatcher.start_number
        self.follower, self._leader_contact = PlanState(self._cluster.deployment.name), LeaderContact(now)
        self._applied: PlanOrder | None = None  # order of the plan whose target the gateway core has
        if self._saved_plan is not None:
            # The saved plan counts as valid for another 10 s.
            self.follower.restore(now, self._saved_plan, 10_000.0, self._live_workers())
            self.apply()
        # Spreads the first reports of the dispatchers over 500 to 990 ms.
        self._cluster.event_queue.after(
            REPORT_INTERVAL_MS * (0.5 + self._dispatcher.number % 50 / 100), self._report, self._start_number
        )

    def _live_workers(self) -> set[str]:
        return {w.id for w in self._dispatcher.gateway.members if w.live}

    def on_endpoints(self) -> None:
        """Pass the dispatcher's new endpoint list to the plan follower, and apply the target again."""
        members = self._dispatcher.gateway.members
        self.follower.on_endpoints(
            self._cluster.event_queue.now, self._live_workers(), EndpointsVersion(members.lineage, members.version)
        )
        self._applied = None
        self.apply()

    def apply(self) -> None:
        """Pass the target of the plan in force to the gateway core."""
        target = self.follower.target(self._cluster.event_queue.now)
        order = self.follower.plan.header.order if target is not None and self.follower.plan is not None else None
        if order != self._applied or order is None:
            self._applied = order
            self._dispatcher.gateway.on_plan(target)
            self._dispatcher.run_effects()

    def on_plan_offered(self, planner: SimulatedPlanner, plan: Plan, age_ms: float) -> None:
        """Apply a planner's plan, or report to the planner why it is refused."""
        if not self._dispatcher.up:
            return
        now, members = self._cluster.event_queue.now, self._dispatcher.gateway.members
        report = self.follower.on_plan(
            now,
            PlanPacket(FORMAT, plan.header, 0, age_ms, plan.instances),
            self._live_workers(),
            EndpointsVersion(members.lineage, members.version),
        )
        if report is None:
            self._leader_contact.last_ms, self._saved_plan = now, self.follower.plan
            self.apply()
        elif planner.up:
            self._cluster.event_queue.after(
                self._cluster.settings.network_ms,
                planner.core.on_plan_refused,
                now,
                self._dispatcher.name,
                report.reason.value,
                self.follower.fence,
            )

    def _report(self, start_number: int) -> None:
        """Report to all planners, record contact with the leader, and withdraw a plan that has expired."""
        if start_number != self._dispatcher.start_number or not self._dispatcher.up:
            return
        now, gateway = self._cluster.event_queue.now, self._dispatcher.gateway
        counters, loaded = gateway.counters(), gateway.loaded_instances()
        for planner in self._cluster.planners:
            if planner.up:
                if planner.is_leading and (planner.core.epoch, planner.core.owner) >= self.follower.fence[:2]:
                    self._leader_contact.last_ms = now
                planner.core.on_report(now, self._dispatcher.name, self.follower.fence, counters, loaded)
        if self.follower.target(now) is None and self._applied is not None:
            self.apply()
        self._cluster.event_queue.after(REPORT_INTERVAL_MS, self._report, start_number)
