"""Placement by a mixed-integer program, used where it costs less than the greedy placement.

Considered: CP-SAT (its logarithmic presolve helps with constraints that this problem does not have, for a dependency of
30 MB), min-cost flow (it cannot express memory, as instances differ in size), HiGHS through scipy (chosen: scipy is
there for the statistics, it takes sparse rows, and a node limit keeps its answer the same on every machine; a time
limit would not).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

import numpy as np
from scipy import optimize, sparse

from .greedy_placement import place_greedily
from .placement import (
    CROWDED_COST,
    EVEN_SHARE,
    MEMORY_SHARE,
    MISSING_COST,
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

INSTANCE_COST = 1e-6  # of any instance, so that the program places none without a reason
COST_TOLERANCE = 1e-9
MAX_PREFERENCES = 4_000_000  # function-worker hashes: past this many the program does without preferred workers


@dataclass(frozen=True, slots=True)
class ProgramLimits:
    """Limits of the mixed-integer program.  `pairs`: of a function and a worker; `preferred`: workers for a function
    beside those where it is loaded and those of the greedy placement.
    """

    nodes: int = 200
    seconds: float = 20.0
    relative_gap: float = 0.005
    preferred: int = 4
    pairs: int = 60_000


PROGRAM_LIMITS = ProgramLimits()


class Pair(NamedTuple):
    """Positions of a function and of a worker that it may be placed on."""

    function: int
    worker: int


def _preferred_workers(demand: FunctionDemand, workers: list[WorkerCapacity], count: int) -> list[WorkerCapacity]:
    """Workers that a function prefers, by a hash of both names: the same ones from plan to plan."""
    return sorted(workers, key=lambda worker: crc32(f"{demand.model} {worker.id}".encode()))[:count]


def place_by_program(
    workers: list[WorkerCapacity],
    demands: list[FunctionDemand],
    budget: int,
    limits: ProgramLimits = PROGRAM_LIMITS,
) -> Placement:
    """The mixed-integer program's placement where it costs less than the greedy one, else the greedy one.  That one
    also stands where the program is too large or takes too long.
    """
    greedy = place_greedily(workers, demands, budget)
    requested = [demand for demand in demands if demand.instances_needed]
    pairs = _candidate_pairs(workers, requested, greedy, limits)
    if not pairs or len(pairs) > limits.pairs:
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
    """For each function the workers that it may be placed on: where it is loaded, those of the greedy placement, and a
    few that it prefers.
    """
    number_of = {worker.id: number for number, worker in enumerate(workers)}
    warm = [worker for worker in workers if not worker.warming_up]
    with_preferred = len(warm) * len(requested) <= MAX_PREFERENCES
    pairs: list[Pair] = []
    for function, demand in enumerate(requested):
        candidates = {worker for worker in demand.loaded if worker in number_of}
        candidates |= set(greedy.instances.get(demand.model, {}))
        if with_preferred:
            candidates |= {worker.id for worker in _preferred_workers(demand, warm, limits.preferred)}
        pairs += [Pair(function, number_of[worker]) for worker in sorted(candidates)]
    return pairs


class _Program:
    """The placement as a mixed-integer program.

    Its variables, in this order: the instances of each pair, the new ones among these, the missing instances of each
    function, and by how much each worker is crowded.
    """

    def __init__(self, workers: list[WorkerCapacity], requested: list[FunctionDemand], pairs: list[Pair]) -> None:
        self._workers, self._requested, self._pairs = workers, requested, pairs
        self._pair_count, self._function_count, self._worker_count = len(pairs), len(requested), len(workers)
        self._variable_count = 2 * self._pair_count + self._function_count + self._worker_count
        self._functions = np.array([pair.function for pair in pairs])
        self._on_workers = np.array([pair.worker for pair in pairs])
        self._load_cost = np.array([load_cost(demand) for demand in requested])
        self._needed = np.array([demand.instances_needed for demand in requested], dtype=float)
        self._instance_columns = np.arange(self._pair_count)
        self._new_columns = self._pair_count + self._instance_columns
        self._missing_columns = 2 * self._pair_count + np.arange(self._function_count)
        self._crowded_columns = 2 * self._pair_count + self._function_count + np.arange(self._worker_count)

    def solve(self, budget: int, limits: ProgramLimits) -> InstanceCounts | None:
        """The instances that cost least, or None where none were found within the limits."""
        found = optimize.milp(
            self._costs(),
            constraints=self._constraints(budget),
            bounds=optimize.Bounds(np.zeros(self._variable_count), self._upper_bounds()),
            integrality=self._integrality(),
            options={"node_limit": limits.nodes, "time_limit": limits.seconds, "mip_rel_gap": limits.relative_gap},
        )
        if found.x is None:
            return None
        instances: InstanceCounts = {}
        counts = np.round(found.x[: self._pair_count]).astype(int)
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
                self._load_cost[self._functions],
                MISSING_COST * weights * self._load_cost,
                np.full(self._worker_count, CROWDED_COST),
            ]
        )

    def _upper_bounds(self) -> np.ndarray:
        """No new instances on workers that are warming up, and nowhere more than a function needs."""
        warming_up = [self._workers[pair.worker].warming_up for pair in self._pairs]
        needed_by_pair = self._needed[self._functions]
        most_new = np.where(warming_up, 0.0, needed_by_pair)
        return np.concatenate([needed_by_pair, most_new, self._needed, np.full(self._worker_count, np.inf)])

    def _integrality(self) -> np.ndarray:
        """Instances are whole numbers; the others follow from them."""
        return np.concatenate(
            [np.ones(self._pair_count), np.zeros(self._pair_count + self._function_count + self._worker_count)]
        )

    def _constraints(self, budget: int) -> list[optimize.LinearConstraint]:
        return [
            self._enough_instances(),
            self._within_memory(),
            self._new_are_counted(),
            self._within_budget(budget),
            self._crowding_is_counted(),
        ]

    def _enough_instances(self) -> optimize.LinearConstraint:
        """The placed and the missing instances of a function are at least those that it needs."""
        ones = np.ones(self._pair_count)
        placed = self._rows(ones, self._functions, self._instance_columns, self._function_count)
        functions = np.arange(self._function_count)
        missing = self._rows(np.ones(self._function_count), functions, self._missing_columns, self._function_count)
        return optimize.LinearConstraint(
            placed + missing, [demand.instances_needed for demand in self._requested], np.inf
        )

    def _within_memory(self) -> optimize.LinearConstraint:
        sizes = np.array([demand.memory_mb for demand in self._requested])
        used = self._rows(sizes[self._functions], self._on_workers, self._instance_columns, self._worker_count)
        return optimize.LinearConstraint(used, -np.inf, [worker.memory_mb * MEMORY_SHARE for worker in self._workers])

    def _new_are_counted(self) -> optimize.LinearConstraint:
        """What a pair has beyond the instances that are loaded there is new."""
        ones, count = np.ones(self._pair_count), self._pair_count
        placed = self._rows(ones, self._instance_columns, self._instance_columns, count)
        new = self._rows(ones, self._instance_columns, self._new_columns, count)
        loaded = np.array([self._loaded(pair) for pair in self._pairs], dtype=float)
        return optimize.LinearConstraint(placed - new, -np.inf, loaded)

    def _within_budget(self, budget: int) -> optimize.LinearConstraint:
        ones, first_row = np.ones(self._pair_count), np.zeros(self._pair_count, int)
        return optimize.LinearConstraint(self._rows(ones, first_row, self._new_columns, 1), -np.inf, budget)

    def _crowding_is_counted(self) -> optimize.LinearConstraint:
        """A worker's used share beyond the even one is crowding."""
        cores_each = np.array([busy_cores(demand) / demand.instances_needed for demand in self._requested])
        cores = np.array([worker.cores for worker in self._workers])
        shares = cores_each[self._functions] / cores[self._on_workers]
        used = self._rows(shares, self._on_workers, self._instance_columns, self._worker_count)
        workers = np.arange(self._worker_count)
        crowded = self._rows(np.ones(self._worker_count), workers, self._crowded_columns, self._worker_count)
        return optimize.LinearConstraint(used - crowded, -np.inf, np.full(self._worker_count, EVEN_SHARE))

    def _loaded(self, pair: Pair) -> int:
        return self._requested[pair.function].loaded.get(self._workers[pair.worker].id, 0)

    def _rows(self, data: np.ndarray, rows: np.ndarray, columns: np.ndarray, row_count: int) -> sparse.csr_array:
        return sparse.csr_array((data, (rows, columns)), shape=(row_count, self._variable_count))
