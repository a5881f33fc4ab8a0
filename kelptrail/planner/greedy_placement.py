"""Greedy placement: keeps instances where they are loaded, then places the missing ones on the least used workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from .placement import MEMORY_SHARE, FunctionDemand, Placement, Solver, WorkerCapacity, placement_cost
from .plan import InstanceCounts

MAX_WORKERS_WITHOUT_MEMORY = 64  # limit of workers without enough memory that are tried for one function


@dataclass(slots=True)
class _Assignment:
    """A placement under construction: the placed instances, and the free memory and utilization of each worker."""

    workers: dict[str, WorkerCapacity]
    free_mb: dict[str, float]
    utilization: dict[str, float]  # busy cores divided by all cores
    instances: InstanceCounts = field(default_factory=dict)

    def add(self, demand: FunctionDemand, worker: str, count: int) -> None:
        """Place `count` more instances of a function on a worker."""
        on_workers = self.instances.setdefault(demand.model, {})
        on_workers[worker] = on_workers.get(worker, 0) + count
        self.free_mb[worker] -= count * demand.memory_mb
        self.utilization[worker] += (
            count * demand.rate * demand.work_ms / 1000 / demand.instances_needed / self.workers[worker].cores
        )

    def placed(self, demand: FunctionDemand) -> int:
        """Return how many instances of a function are placed."""
        return sum(self.instances.get(demand.model, {}).values())


def place_greedily(workers: list[WorkerCapacity], demands: list[FunctionDemand], budget: int) -> Placement:
    """Place functions in descending order of value, which is priority weight times rate.

    First, all functions are placed where they are loaded; then, each missing instance on the least used worker that has
    enough free memory and is not warming up.  `budget`: maximum number of new instances.
    """
    assignment = _Assignment(
        {worker.id: worker for worker in workers},
        {worker.id: worker.memory_mb * MEMORY_SHARE for worker in workers},
        {worker.id: 0.0 for worker in workers},
    )
    demands_by_value = sorted(demands, key=lambda demand: (-demand.priority_weight * demand.rate, demand.model))
    for demand in demands_by_value:
        _keep_loaded(assignment, demand)
    _add_new(assignment, demands_by_value, [worker for worker in workers if not worker.warming_up], budget)
    cost = placement_cost(assignment.instances, workers, demands)
    return Placement(assignment.instances, *cost, Solver.GREEDY)


def _keep_loaded(assignment: _Assignment, demand: FunctionDemand) -> None:
    """Place a function where it is already loaded, which needs no load; workers with the most instances first."""
    remaining = demand.instances_needed
    for worker, loaded in sorted(demand.loaded.items(), key=lambda item: (-item[1], item[0])):
        if worker not in assignment.workers or remaining <= 0:
            continue
        fitting = int(assignment.free_mb[worker] // demand.memory_mb) if demand.memory_mb else loaded
        reused = min(remaining, loaded, fitting)
        if reused > 0:
            assignment.add(demand, worker, reused)
            remaining -= reused


def _add_new(
    assignment: _Assignment, demands_by_value: list[FunctionDemand], workers: list[WorkerCapacity], budget: int
) -> None:
    """Place the missing instances of all functions as new ones until the budget is used up."""
    least_used = [(assignment.utilization[worker.id], worker.id) for worker in workers]
    heapify(least_used)
    for demand in demands_by_value:
        missing = demand.instances_needed - assignment.placed(demand)
        budget -= _add_new_of(assignment, demand, least_used, min(missing, budget))


def _add_new_of(
    assignment: _Assignment, demand: FunctionDemand, least_used: list[tuple[float, str]], max_new: int
) -> int:
    """Place up to `max_new` new instances of a function, and return how many were placed.

    `least_used`: heap of utilizations and workers; an entry is out of date if its worker's utilization has changed.
    """
    without_memory: list[tuple[float, str]] = []
    placed = 0
    while placed < max_new and least_used:
        utilization, worker = heappop(least_used)
        if utilization != assignment.utilization[worker]:  # the entry is out of date
            heappush(least_used, (assignment.utilization[worker], worker))
            continue
        if len(without_memory) >= MAX_WORKERS_WITHOUT_MEMORY:
            without_memory.append((utilization, worker))
            break
        if assignment.free_mb[worker] < demand.memory_mb:
            without_memory.append((utilization, worker))
            continue
        assignment.add(demand, worker, 1)
        placed += 1
        heappush(least_used, (assignment.utilization[worker], worker))
    for entry in without_memory:
        heappush(least_used, entry)
    return placed
