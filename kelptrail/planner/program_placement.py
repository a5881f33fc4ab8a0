"""Placement by a mixed-integer program, used where it costs less than the greedy placement.

The program is solved by HiGHS through scipy: scipy is a dependency already, for statistics; it accepts sparse rows; and
a node limit, unlike a time limit, gives the same result on every machine.  Alternatives considered: CP-SAT, a
dependency of 30 MB whose logarithmic presolve helps only with constraints that this problem does not have; and min-cost
flow, which cannot express memory limits because instances differ in size.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

import numpy as np
from scipy import optimize, sparse

from .greedy_placement import place_greedily
from .placement import (
    MEMORY_SHARE,
    MISSING_COST,
    OVERLOAD_COST,
    TARGET_UTILIZATION,
    FunctionDemand,
    Placement,
    Solver,
    WorkerCapacity,
    busy_cores,
    load_cost,
    placement_cost,
    violations,
)
from .plan import InstanceCounts

INSTANCE_COST = 1e-6  # cost of any instance, so that the program places no unneeded ones
COST_TOLERANCE = 1e-9  # smaller differences between costs are rounding errors
MAX_PREFERENCES = 4_000_000  # limit of function-worker hashes; above it no preferred workers are used


@dataclass(frozen=True, slots=True)
class ProgramLimits:
    """Limits of the mixed-integer program.

    `preferred_workers`: candidates for a function besides the workers where it is loaded and those of the greedy
    placement; `max_pairs`: pairs of a function and a candidate, above which the program is not solved.  `max_nodes`
    ends the search at the same point on every machine; `max_seconds` is a further limit, which does not.
    `relative_gap` ends it once the cost is within this share of its lower bound.
    """

    max_nodes: int = 200
    max_seconds: float = 20.0
    relative_gap: float = 0.005
    preferred_workers: int = 4
    max_pairs: int = 60_000


PROGRAM_LIMITS = ProgramLimits()


class Pair(NamedTuple):
    """Indexes of a function and of a worker on which it may be placed."""

    function: int
    worker: int


def _preferred_workers(demand: FunctionDemand, workers: list[WorkerCapacity], count: int) -> list[WorkerCapacity]:
    """Return the `count` workers that a function prefers by a hash of both names, so that they rarely change."""
    return sorted(workers, key=lambda worker: crc32(f"{demand.model} {worker.id}".encode()))[:count]


def place_by_program(
    workers: list[WorkerCapacity],
    demands: list[FunctionDemand],
    budget: int,
    limits: ProgramLimits = PROGRAM_LIMITS,
) -> Placement:
    """Return the placement of the mixed-integer program if it costs less than the greedy one, else the greedy one.

    The greedy placement is also returned if the program is too large or has no valid solution within its limits.
    """
    greedy = place_greedily(workers, demands, budget)
    requested = [demand for demand in demands if demand.instances_needed]
    pairs = _candidate_pairs(workers, requested, greedy, limits)
    if not pairs or len(pairs) > limits.max_pairs:
        return greedy
    program = _Program(workers, requested, pairs)
    instances = program.solve(budget, limits)
    if instances is None:
        return greedy
    cost = placement_cost(instances, workers, demands)
    if cost.total >= greedy.cost - COST_TOLERANCE or violations(instances, workers, demands, budget):
        return greedy
    return Placement(instances, *cost, Solver.PROGRAM)


def _candidate_pairs(
    workers: list[WorkerCapacity], requested: list[FunctionDemand], greedy: Placement, limits: ProgramLimits
) -> list[Pair]:
    """Return each function's candidate workers as pairs.

    Candidates are the workers where it is loaded, those of the greedy placement and, unless that takes more than
    `MAX_PREFERENCES` hashes, the `limits.preferred_workers` that it prefers most and that are not warming up.
    """
    worker_numbers = {worker.id: number for number, worker in enumerate(workers)}
    warm = [worker for worker in workers if not worker.warming_up]
    with_preferred = len(warm) * len(requested) <= MAX_PREFERENCES
    pairs: list[Pair] = []
    for function, demand in enumerate(requested):
        candidates = {worker for worker in demand.loaded if worker in worker_numbers}
        candidates |= set(greedy.instances.get(demand.model, {}))
        if with_preferred:
            candidates |= {worker.id for worker in _preferred_workers(demand, warm, limits.preferred_workers)}
        pairs += [Pair(function, worker_numbers[worker]) for worker in sorted(candidates)]
    return pairs


class _Program:
    """The placement as a mixed-integer program.

    Its variables, in this order: the instances of each pair, the new ones among them, the missing instances of each
    function, and the overload of each worker.
    """

    def __init__(self, workers: list[WorkerCapacity], requested: list[FunctionDemand], pairs: list[Pair]) -> None:
        self._workers, self._requested, self._pairs = workers, requested, pairs
        self._pair_count, self._function_count, self._worker_count = len(pairs), len(requested), len(workers)
        self._variable_count = 2 * self._pair_count + self._function_count + self._worker_count
        self._pair_functions = np.array([pair.function for pair in pairs])
        self._pair_workers = np.array([pair.worker for pair in pairs])
        self._load_costs = np.array([load_cost(demand) for demand in requested])
        self._needed = np.array([demand.instances_needed for demand in requested], dtype=float)
        self._instance_columns = np.arange(self._pair_count)
        self._new_columns = self._pair_count + self._instance_columns
        self._missing_columns = 2 * self._pair_count + np.arange(self._function_count)
        self._overload_columns = 2 * self._pair_count + self._function_count + np.arange(self._worker_count)

    def solve(self, budget: int, limits: ProgramLimits) -> InstanceCounts | None:
        """Return the cheapest instances found within the limits, or None if none were found."""
        result = optimize.milp(
            self._costs(),
            constraints=self._constraints(budget),
            bounds=optimize.Bounds(np.zeros(self._variable_count), self._upper_bounds()),
            integrality=self._integrality(),
            options={
                "node_limit": limits.max_nodes,
                "time_limit": limits.max_seconds,
                "mip_rel_gap": limits.relative_gap,
            },
        )
        if result.x is None:
            return None
        instances: InstanceCounts = {}
        counts = np.round(result.x[: self._pair_count]).astype(int)
        for pair, count in zip(self._pairs, counts, strict=True):
            if count:
                model, worker = self._requested[pair.function].model, self._workers[pair.worker].id
                instances.setdefault(model, {})[worker] = int(count)
        return instances

    def _costs(self) -> np.ndarray:
        weights = np.array([demand.priority_weight for demand in self._requested])
        return np.concatenate(
            [
                np.full(self._pair_count, INSTANCE_COST),
                self._load_costs[self._pair_functions],
                MISSING_COST * weights * self._load_costs,
                np.full(self._worker_count, OVERLOAD_COST),
            ]
        )

    def _upper_bounds(self) -> np.ndarray:
        """Return the upper bounds of the variables.

        There are no new instances on workers that are warming up, and nowhere more instances than a function needs.
        """
        warming_up = [self._workers[pair.worker].warming_up for pair in self._pairs]
        needed_by_pair = self._needed[self._pair_functions]
        max_new = np.where(warming_up, 0.0, needed_by_pair)
        return np.concatenate([needed_by_pair, max_new, self._needed, np.full(self._worker_count, np.inf)])

    def _integrality(self) -> np.ndarray:
        """Return 1 for each variable that must be an integer, else 0.

        These are the instances of each pair; the other variables follow from them.
        """
        return np.concatenate(
            [np.ones(self._pair_count), np.zeros(self._pair_count + self._function_count + self._worker_count)]
        )

    def _constraints(self, budget: int) -> list[optimize.LinearConstraint]:
        return [
            self._instance_constraint(),
            self._memory_constraint(),
            self._new_instance_constraint(),
            self._budget_constraint(budget),
            self._overload_constraint(),
        ]

    def _instance_constraint(self) -> optimize.LinearConstraint:
        """Require that a function's placed and missing instances add up to at least those that it needs."""
        ones = np.ones(self._pair_count)
        placed = self._rows(ones, self._pair_functions, self._instance_columns, self._function_count)
        functions = np.arange(self._function_count)
        missing = self._rows(np.ones(self._function_count), functions, self._missing_columns, self._function_count)
        return optimize.LinearConstraint(
            placed + missing, [demand.instances_needed for demand in self._requested], np.inf
        )

    def _memory_constraint(self) -> optimize.LinearConstraint:
        """Limit the memory that instances use on each worker to `MEMORY_SHARE` of it."""
        sizes = np.array([demand.memory_mb for demand in self._requested])
        used = self._rows(sizes[self._pair_functions], self._pair_workers, self._instance_columns, self._worker_count)
        return optimize.LinearConstraint(used, -np.inf, [worker.memory_mb * MEMORY_SHARE for worker in self._workers])

    def _new_instance_constraint(self) -> optimize.LinearConstraint:
        """Count the instances of a pair beyond those that are loaded there as new."""
        ones, count = np.ones(self._pair_count), self._pair_count
        placed = self._rows(ones, self._instance_columns, self._instance_columns, count)
        new = self._rows(ones, self._instance_columns, self._new_columns, count)
        loaded = np.array([self._loaded(pair) for pair in self._pairs], dtype=float)
        return optimize.LinearConstraint(placed - new, -np.inf, loaded)

    def _budget_constraint(self, budget: int) -> optimize.LinearConstraint:
        """Limit the new instances on all workers together to `budget`."""
        ones, first_row = np.ones(self._pair_count), np.zeros(self._pair_count, int)
        return optimize.LinearConstraint(self._rows(ones, first_row, self._new_columns, 1), -np.inf, budget)

    def _overload_constraint(self) -> optimize.LinearConstraint:
        """Count the utilization of a worker beyond `TARGET_UTILIZATION` as its overload."""
        cores_per_instance = np.array([busy_cores(demand) / demand.instances_needed for demand in self._requested])
        cores = np.array([worker.cores for worker in self._workers])
        utilization_per_instance = cores_per_instance[self._pair_functions] / cores[self._pair_workers]
        used = self._rows(utilization_per_instance, self._pair_workers, self._instance_columns, self._worker_count)
        workers = np.arange(self._worker_count)
        overload = self._rows(np.ones(self._worker_count), workers, self._overload_columns, self._worker_count)
        return optimize.LinearConstraint(used - overload, -np.inf, np.full(self._worker_count, TARGET_UTILIZATION))

    def _loaded(self, pair: Pair) -> int:
        """Return how many instances of the pair's function are loaded on its worker."""
        return self._requested[pair.function].loaded.get(self._workers[pair.worker].id, 0)

    def _rows(self, data: np.ndarray, rows: np.ndarray, columns: np.ndarray, row_count: int) -> sparse.csr_array:
        """Return a matrix with a column for each variable and `data` at the positions in `rows` and `columns`."""
        return sparse.csr_array((data, (rows, columns)), shape=(row_count, self._variable_count))
