"""Greedy placement: the functions of the highest value first, where they are loaded, then on the least used workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from .placement import MEMORY_SHARE, FunctionDemand, Placement, Solver, WorkerCapacity, placement_cost
from .plan import InstanceCounts

MAX_WORKERS_WITHOUT_MEMORY = 64  # tried for one function before the next function follows


@dataclass(slots=True)
class _Assignment:
    """A placement under construction: what is placed, and what each worker has left."""

    workers: dict[str, WorkerCapacity]
    free_mb: dict[str, float]
    used_share: dict[str, float]  # busy cores by all cores
    instances: InstanceCounts = field(default_factory=dict)

    def add(self, demand: FunctionDemand, worker: str, count: int) -> None:
        """Place `count` more instances of a function on a worker."""
        on_workers = self.instances.setdefault(demand.model, {})
        on_workers[worker] = on_workers.get(worker, 0) + count
        self.free_mb[worker] -= count * demand.memory_mb
        self.used_share[worker] += (
            count * demand.rate * demand.work_ms / 1000 / demand.instances_needed / self.workers[worker].cores
        )

    def placed(self, demand: FunctionDemand) -> int:
        """How many instances of a function are placed."""
        return sum(self.instances.get(demand.model, {}).values())


def place_greedily(workers: list[WorkerCapacity], demands: list[FunctionDemand], budget: int) -> Placement:
    """Place functions in the order of their value: first where they are loaded, then on the least used worker that has
    memory left.  `budget`: new instances allowed.
    """
    assignment = _Assignment(
        {worker.id: worker for worker in workers},
        {worker.id: worker.memory_mb * MEMORY_SHARE for worker in workers},
        {worker.id: 0.0 for worker in workers},
    )
    by_value = sorted(demands, key=lambda demand: (-demand.priority_weight * demand.rate, demand.model))
    for demand in by_value:
        _keep_loaded(assignment, demand)
    _add_new(assignment, by_value, [worker for worker in workers if not worker.warming_up], budget)
    cost = placement_cost(assignment.instances, workers, demands)
    return Placement(assignment.instances, *cost, Solver.GREEDY)


def _keep_loaded(assignment: _Assignment, demand: FunctionDemand) -> None:
    """Place a function where it is loaded already, which costs nothing; workers with most instances first."""
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
    assignment: _Assignment, by_value: list[FunctionDemand], workers: list[WorkerCapacity], budget: int
) -> None:
    """Place what is still missing as new instances, while the budget lasts."""
    least_used = [(assignment.used_share[worker.id], worker.id) for worker in workers]
    heapify(least_used)
    for demand in by_value:
        missing = demand.instances_needed - assignment.placed(demand)
        budget -= _add_new_of(assignment, demand, least_used, min(missing, budget))


def _add_new_of(
    assignment: _Assignment, demand: FunctionDemand, least_used: list[tuple[float, str]], wanted: int
) -> int:
    """Place up to `wanted` new instances of a function; returns how many were placed.  `least_used`: a heap, whose
    entries may be out of date.
    """
    without_memory: list[tuple[float, str]] = []
    placed = 0
    while placed < wanted and least_used:
        used_share, worker = heappop(least_used)
        if used_share != assignment.used_share[worker]:  # the worker was given more since
            heappush(least_used, (assignment.used_share[worker], worker))
            continue
        if len(without_memory) >= MAX_WORKERS_WITHOUT_MEMORY:
            without_memory.append((used_share, worker))
            break
        if assignment.free_mb[worker] < demand.memory_mb:
            without_memory.append((used_share, worker))
            continue
        assignment.add(demand, worker, 1)
        placed += 1
        heappush(least_used, (assignment.used_share[worker], worker))
    for entry in without_memory:
        heappush(least_used, entry)
    return placed
