"""Placements: how many instances of each function to load on which workers, with their constraints and cost.

A valid placement uses at most `MEMORY_SHARE` of a worker's memory, only live workers, and no more new instances than
the budget allows, none of them on a worker that is warming up.  The cost counts missing instances by
their priority weight and load time, new instances by their load time, and overloaded workers.  `greedy_placement`
always has a solution; that of `program_placement` is used where it costs less.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from .plan import InstanceCounts

HEADROOM = 1.3  # planned concurrency slots per slot in use
MEMORY_SHARE = 0.8  # share of a worker's memory that plans may use; the rest is reserved for unplanned instances
TARGET_UTILIZATION = 0.7  # share of a worker's cores above which it counts as overloaded
MISSING_COST = 20.0  # cost of a missing instance, multiplied by its load cost and priority weight
OVERLOAD_COST = 1.0  # cost of a utilization that is 1.0 above the target
MIN_LOAD_S = 0.05  # shorter loads cost as much as this load time
MEMORY_TOLERANCE_MB = 1e-6


class Solver(Enum):
    """Method that found a placement."""

    GREEDY = "greedy"
    PROGRAM = "program"


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """Capacity of a live worker.  `warming_up`: it started recently, so no new instances are planned for it."""

    id: str
    memory_mb: float
    cores: float
    warming_up: bool = False


@dataclass(frozen=True, slots=True)
class FunctionDemand:
    """Demand of a function: the resources of an instance, the rate of calls, and where instances are loaded."""

    model: str
    memory_mb: float
    concurrency: int  # requests that an instance serves at the same time
    load_ms: float
    work_ms: float
    priority_weight: float
    rate: float  # calls per second
    loaded: dict[str, int] = field(default_factory=dict)  # instances by worker
    previously_planned: int = 0  # instances in the previous plan

    @property
    def instances_needed(self) -> int:
        """Number of instances that the demand needs.

        By Little's law, rate times work is the number of concurrency slots in use.  Headroom is added and, because
        arrivals come in bursts, one standard deviation.
        """
        if self.rate <= 0:
            return 0
        busy = self.rate * max(1.0, self.work_ms) / 1000
        return max(1, math.ceil((busy * HEADROOM + math.sqrt(busy)) / self.concurrency))


@dataclass(frozen=True, slots=True)
class Placement:
    """A placement, its cost, its numbers of missing and new instances, and the solver that found it."""

    instances: InstanceCounts
    cost: float
    missing: int
    new: int
    solver: Solver


class PlacementCost(NamedTuple):
    """Cost of a placement, and its numbers of missing and new instances."""

    total: float
    missing: int
    new: int


def violations(
    instances: InstanceCounts, workers: list[WorkerCapacity], demands: list[FunctionDemand], budget: int
) -> list[str]:
    """Return the constraints that a placement violates, as texts; the solvers' placements violate none."""
    by_id, used_mb = {worker.id: worker for worker in workers}, dict[str, float]()
    sizes, loaded = {d.model: d.memory_mb for d in demands}, {d.model: d.loaded for d in demands}
    found, new_instances = [], 0
    for model, on_workers in instances.items():
        for worker, count in on_workers.items():
            if worker not in by_id:
                found.append(f"{model} on {worker}, which is not live")
                continue
            used_mb[worker] = used_mb.get(worker, 0.0) + count * sizes[model]
            new = max(0, count - loaded[model].get(worker, 0))
            new_instances += new
            if new and by_id[worker].warming_up:
                found.append(f"{model} newly placed on {worker}, which is warming up")
    for worker, used in used_mb.items():
        if used > by_id[worker].memory_mb * MEMORY_SHARE + MEMORY_TOLERANCE_MB:
            found.append(f"{used:.0f} MB used on {worker}")
    if new_instances > budget:
        found.append(f"{new_instances} new instances, {budget} allowed")
    return found


def placement_cost(
    instances: InstanceCounts, workers: list[WorkerCapacity], demands: list[FunctionDemand]
) -> PlacementCost:
    """Return the cost of a placement."""
    total, all_missing, all_new = 0.0, 0, 0
    cores_in_use = dict.fromkeys((worker.id for worker in workers), 0.0)
    for demand in demands:
        on_workers = instances.get(demand.model, {})
        placed = sum(on_workers.values())
        missing = max(0, demand.instances_needed - placed)
        new = sum(max(0, count - demand.loaded.get(worker, 0)) for worker, count in on_workers.items())
        all_missing, all_new = all_missing + missing, all_new + new
        cost_per_load = load_cost(demand)
        total += missing * MISSING_COST * demand.priority_weight * cost_per_load + new * cost_per_load
        if placed:
            cores_per_instance = busy_cores(demand) / max(placed, demand.instances_needed)
            for worker, count in on_workers.items():
                cores_in_use[worker] += count * cores_per_instance
    for capacity in workers:
        total += OVERLOAD_COST * max(0.0, cores_in_use[capacity.id] / capacity.cores - TARGET_UTILIZATION)
    return PlacementCost(total, all_missing, all_new)


def load_cost(demand: FunctionDemand) -> float:
    """Return the cost of loading an instance: its load time in seconds, at least `MIN_LOAD_S`."""
    return max(MIN_LOAD_S, demand.load_ms / 1000)


def busy_cores(demand: FunctionDemand) -> float:
    """Return the number of cores that the requests of a function keep busy."""
    return demand.rate * demand.work_ms / 1000
