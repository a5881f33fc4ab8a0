"""Loads instances ahead of demand, at the workers that a plan names.  Times are milliseconds."""

from __future__ import annotations

from collections import deque

from .components import Components, DispatchState
from .entities import Function, Instance, LoadOrder, Worker
from .placement import WorkerChoice
from .request_lifecycle import RequestLifecycle

Plan = dict[Function, dict[Worker, int]]
"""The wanted number of instances by function and worker."""

# Maximum number of instances examined to find the next load order; saves CPU with plans of thousands of
# instances.
MAX_INSTANCES_PER_SEARCH = 16
DEMAND_RESERVE = 0.5  # the share of the load ration that is left for queued requests


class PlannedPlacement:
    """Places instances according to the current plan.  The plan is not binding: instances may also be loaded
    for queued requests, for which a share of the load ration is reserved, and `SafetyGuard` checks every load
    order.
    """

    def __init__(self, parts: Components, state: DispatchState, lifecycle: RequestLifecycle) -> None:
        self._safety, self._outliers, self._instance_table = parts.safety, parts.outliers, parts.instances
        self._state, self._lifecycle = state, lifecycle
        self._planned: dict[Instance, None] = {}
        self._examination_queue = deque[Instance]()

    def replace_plan(self, plan: Plan) -> None:
        """Replace the current plan; an empty plan cancels it."""
        for instance in self._planned:
            instance.planned_count, instance.function.planned = 0, False
        self._planned = {}
        for function, counts in plan.items():
            function.planned = True
            for worker, count in counts.items():
                if worker.live and count:
                    instance = self._instance_table.get_or_add(function, worker)
                    instance.planned_count, self._planned[instance] = count, None
        self._examination_queue = deque(self._planned)

    def start_loads(self, now: float) -> None:
        """Create load orders for planned instances that are not loaded yet, as far as the load ration
        allows.
        """
        while self._examination_queue and (order := self._next_load(now)):
            self._state.decisions.append(order)

    def planned_worker(self, now: float, function: Function) -> WorkerChoice | None:
        """Return a usable worker with fewer loaded instances of the function than planned, or None.  Without
        this rule, after new models are released (all instances are lost at once), each dispatcher could
        choose a different worker, so that the function would be loaded at many workers.
        """
        if function.planned:
            for instance in function.instances.values():
                if (
                    instance.loaded < instance.planned_count
                    and not instance.load_order
                    and now >= max(instance.unavailable_until, instance.worker.out_of_capacity_until)
                    and self._outliers.usable(now, instance.worker, function.request_class)
                    and self._safety.readiness.may_become_known(now, instance.worker)
                ):
                    # Counts as below the mean load, so that the instance limit can be raised for it.
                    return WorkerChoice(instance.worker, True)
        return None

    def _next_load(self, now: float) -> LoadOrder | None:
        """Return the next load order ahead of demand.  Skip workers that are in slow start, ejected, out of
        capacity or not known to be ready.
        """
        for _ in range(min(MAX_INSTANCES_PER_SEARCH, len(self._examination_queue))):
            instance, worker = self._examination_queue[0], self._examination_queue[0].worker
            self._examination_queue.rotate(-1)
            if (
                instance.loaded >= instance.planned_count
                or instance.load_order
                or instance.function not in self._state.functions
                or now < max(instance.unavailable_until, worker.out_of_capacity_until)
            ):
                continue
            if (
                self._safety.capacity_factor(now, worker) < 1
                or not self._outliers.usable(now, worker, instance.function.request_class)
                or not self._safety.readiness.is_known(now, worker)
            ):
                continue
            # Add the instance again if `InstanceTable` has removed it since the plan was set.
            if instance.function.instances.get(worker) is not instance:
                instance.function.instances[worker] = worker.instances[instance.function] = instance
            return self._lifecycle.start_load(now, instance, instance.planned_count, DEMAND_RESERVE)
        return None
