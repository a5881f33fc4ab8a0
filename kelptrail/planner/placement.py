"""Placements: how many instances of each function to load on which workers; what they cost and what must hold.

It must hold: never more memory on a worker than it has, nothing on a worker that is not live, no more new instances
than the budget allows.  The cost counts missing instances, new instances by their load time, and crowded workers.
`greedy_placement` always has an answer; that of `program_placement` is used where it costs less.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from .plan import InstanceCounts

HEADROOM = 1.3  # concurrency slots planned for each one in use
MEMORY_SHARE = 0.8  # of a worker's memory that plans use: the rest is for what no plan foresaw
EVEN_SHARE = 0.7  # of a worker's cores: use beyond it is crowding
MISSING_COST = 20.0  # of a missing instance, by its load cost and priority weight
CROWDED_COST = 1.0  # of a worker whose use is one whole worker beyond the even share
MIN_LOAD_S = 0.05  # loads that take less cost as much as this
MEMORY_TOLERANCE_MB = 1e-6


class Solver(Enum):
    """How a placement was found."""

    GREEDY = "greedy"
    PROGRAM = "program"


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """A live worker.  `warming_up`: it started lately, and no new instances are planned for it."""

    id: str
    memory_mb: float
    cores: float
    warming_up: bool = False


@dataclass(frozen=True, slots=True)
class FunctionDemand:
    """A function: what an instance takes, how often it is called, and where it is loaded."""

    model: str
    memory_mb: float
    concurrency: int  # requests that an instance serves at once
    load_ms: float
    work_ms: float
    priority_weight: float
    rate: float  # calls a second
    loaded: dict[str, int] = field(default_factory=dict)  # instances by worker
    previously_planned: int = 0  # instances in the plan before

    @property
    def instances_needed(self) -> int:
        """Concurrency slots by Little's law, with headroom and, as arrivals come in bunches, a standard deviation."""
        if self.rate <= 0:
            return 0
        busy = self.rate * max(1.0, self.work_ms) / 1000
        return max(1, math.ceil((busy * HEADROOM + math.sqrt(busy)) / self.concurrency))


@dataclass(frozen=True, slots=True)
class Placement:
    """A placement, its cost, and which solver found it."""

    instances: InstanceCounts
    cost: float
    missing: int
    new: int
    solver: Solver


class PlacementCost(NamedTuple):
    """The cost of a placement, with its missing and its new instances."""

    total: float
    missing: int
    new: int


def violations(
    instances: InstanceCounts, workers: list[WorkerCapacity], demands: list[FunctionDemand], budget: int
) -> list[str]:
    """What a placement breaks, as sentences; none for the placements of this module."""
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
                found.append(f"{model} anew on {worker}, which is warming up")
    for worker, used in used_mb.items():
        if used > by_id[worker].memory_mb * MEMORY_SHARE + MEMORY_TOLERANCE_MB:
            found.append(f"{used:.0f} MB on {worker}")
    if new_instances > budget:
        found.append(f"{new_instances} new instances, {budget} allowed")
    return found


def placement_cost(
    instances: InstanceCounts, workers: list[WorkerCapacity], demands: list[FunctionDemand]
) -> PlacementCost:
    """What a placement costs."""
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
            cores_each = busy_cores(demand) / max(placed, demand.instances_needed)
            for worker, count in on_workers.items():
                cores_in_use[worker] += count * cores_each
    for capacity in workers:
        total += CROWDED_COST * max(0.0, cores_in_use[capacity.id] / capacity.cores - EVEN_SHARE)
    return PlacementCost(total, all_missing, all_new)


def load_cost(demand: FunctionDemand) -> float:
    """Cost of loading an instance: its load time in seconds."""
    return max(MIN_LOAD_S, demand.load_ms / 1000)


def busy_cores(demand: FunctionDemand) -> float:
    """Cores that the requests of a function keep busy."""
    return demand.rate * demand.work_ms / 1000
