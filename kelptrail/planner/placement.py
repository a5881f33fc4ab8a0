"""Placements: how many instances of each function to load on which workers; greedy, and by a mixed-integer program.

Both answers keep what must hold: never more memory on a worker than it has, nothing on a worker that is not live, no
more new instances than the budget allows.  The greedy one always exists; the program's is taken where it costs less.
The cost counts missing instances, new instances by their load time, and crowded workers.

Considered: CP-SAT (its logarithmic presolve helps with constraints that this problem does not have, for a dependency of
30 MB), min-cost flow (it cannot express memory, as instances differ in size), HiGHS through scipy (chosen: scipy is
there for the statistics, it takes sparse rows, and a node limit keeps its answer the same on every machine; a time
limit would not).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from heapq import heapify, heappop, heappush
from typing import NamedTuple
from zlib import crc32

import numpy as np
from scipy import optimize, sparse

from .plan import InstanceCounts

HEADROOM = 1.3  # concurrency slots planned for each one in use
MEMORY_SHARE = 0.8  # of a worker's memory that plans use: the rest is for what no plan foresaw
EVEN_SHARE = 0.7  # of a worker's cores: use beyond it is crowding
MISSING_COST = 20.0  # of a missing instance, by its load cost and priority weight
CROWDED_COST = 1.0  # of a worker whose use is one whole worker beyond the even share
INSTANCE_COST = 1e-6  # of any instance, so that the program places none without a reason
MIN_LOAD_S = 0.05  # loads that take less cost as much as this
COST_TOLERANCE = 1e-9
MEMORY_TOLERANCE_MB = 1e-6
MAX_WORKERS_WITHOUT_ROOM = 64  # tried for one function before the greedy placement goes on to the next
MAX_PREFERENCES = 4_000_000  # function-worker hashes: past this many the program does without preferred workers


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
    solver: str


class PlacementCost(NamedTuple):
    """The cost of a placement, with its missing and its new instances."""

    total: float
    missing: int
    new: int


@dataclass(frozen=True, slots=True)
class ProgramLimits:
    """Limits of the mixed-integer program.  `pairs`: of a function and a worker; `preferred`: workers for a function
    beside those where it is loaded and those of the greedy placement."""

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
    busy_cores = dict.fromkeys((worker.id for worker in workers), 0.0)
    for demand in demands:
        on_workers = instances.get(demand.model, {})
        placed = sum(on_workers.values())
        missing = max(0, demand.instances_needed - placed)
        new = sum(max(0, count - demand.loaded.get(worker, 0)) for worker, count in on_workers.items())
        all_missing, all_new = all_missing + missing, all_new + new
        load_cost = _load_cost(demand)
        total += missing * MISSING_COST * demand.priority_weight * load_cost + new * load_cost
        if placed:
            cores_each = _busy_cores(demand) / max(placed, demand.instances_needed)
            for worker, count in on_workers.items():
                busy_cores[worker] += count * cores_each
    for capacity in workers:
        total += CROWDED_COST * max(0.0, busy_cores[capacity.id] / capacity.cores - EVEN_SHARE)
    return PlacementCost(total, all_missing, all_new)


def _load_cost(demand: FunctionDemand) -> float:
    return max(MIN_LOAD_S, demand.load_ms / 1000)


def _busy_cores(demand: FunctionDemand) -> float:
    return demand.rate * demand.work_ms / 1000


def _preferred_workers(demand: FunctionDemand, workers: list[WorkerCapacity], count: int) -> list[WorkerCapacity]:
    """Workers that a function prefers, by a hash of both names: the same ones from plan to plan."""
    return sorted(workers, key=lambda worker: crc32(f"{demand.model} {worker.id}".encode()))[:count]


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
    memory left.  `budget`: new instances allowed."""
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
    return Placement(assignment.instances, *cost, Solver.GREEDY.value)


def _keep_loaded(assignment: _Assignment, demand: FunctionDemand) -> None:
    """Place a function where it is loaded already, which costs nothing; workers with most instances first."""
    remaining = demand.instances_needed
    for worker, loaded in sorted(demand.loaded.items(), key=lambda item: (-item[1], item[0])):
        if worker not in assignment.workers or remaining <= 0:
            continue
        fitting = int(assignment.free_mb[worker] // demand.memory_mb) if demand.memory_mb else loaded
        kept = min(remaining, loaded, fitting)
        if kept > 0:
            assignment.add(demand, worker, kept)
            remaining -= kept


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
    entries may be out of date."""
    without_room: list[tuple[float, str]] = []
    placed = 0
    while placed < wanted and least_used:
        used_share, worker = heappop(least_used)
        if used_share != assignment.used_share[worker]:  # the worker was given more since
            heappush(least_used, (assignment.used_share[worker], worker))
            continue
        if len(without_room) >= MAX_WORKERS_WITHOUT_ROOM:
            without_room.append((used_share, worker))
            break
        if assignment.free_mb[worker] < demand.memory_mb:
            without_room.append((used_share, worker))
            continue
        assignment.add(demand, worker, 1)
        placed += 1
        heappush(least_used, (assignment.used_share[worker], worker))
    for entry in without_room:
        heappush(least_used, entry)
    return placed


def place_by_program(
    workers: list[WorkerCapacity],
    demands: list[FunctionDemand],
    budget: int,
    limits: ProgramLimits = PROGRAM_LIMITS,
) -> Placement:
    """The mixed-integer program's placement where it costs less than the greedy one, else the greedy one.  That one
    also stands where the program is too large or takes too long."""
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
    return Placement(instances, *cost, Solver.PROGRAM.value)


def _candidate_pairs(
    workers: list[WorkerCapacity], requested: list[FunctionDemand], greedy: Placement, limits: ProgramLimits
) -> list[Pair]:
    """For each function the workers that it may be placed on: where it is loaded, those of the greedy placement, and a
    few that it prefers."""
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
        self._load_cost = np.array([_load_cost(demand) for demand in requested])
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
        busy_cores = np.array([_busy_cores(demand) / demand.instances_needed for demand in self._requested])
        cores = np.array([worker.cores for worker in self._workers])
        shares = busy_cores[self._functions] / cores[self._on_workers]
        used = self._rows(shares, self._on_workers, self._instance_columns, self._worker_count)
        workers = np.arange(self._worker_count)
        crowded = self._rows(np.ones(self._worker_count), workers, self._crowded_columns, self._worker_count)
        return optimize.LinearConstraint(used - crowded, -np.inf, np.full(self._worker_count, EVEN_SHARE))

    def _loaded(self, pair: Pair) -> int:
        return self._requested[pair.function].loaded.get(self._workers[pair.worker].id, 0)

    def _rows(self, data: np.ndarray, rows: np.ndarray, columns: np.ndarray, row_count: int) -> sparse.csr_array:
        return sparse.csr_array((data, (rows, columns)), shape=(row_count, self._variable_count))
