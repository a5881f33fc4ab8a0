"""Placements: how many copies of a function, and on which workers; greedy, and by a mixed-integer program.

Both answers keep what must hold: never more memory on a worker than it has, nothing on a worker that is not live, no
more new copies than the budget allows.  The greedy one is always there; the program's is taken where it is better by
the same price.  Priced are copies that are missing, new copies by what they cost to load, and crowded workers.

Weighed: CP-SAT (its logarithmic presolve shines on rules that this problem has not, at 30 MB a dependency), min-cost
flow (no memory in it, as a copy takes several kinds of room), HiGHS through scipy (taken: it is there for the
statistics, it takes sparse rows, and a node limit keeps its answer the same on every machine; a time limit would not).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from zlib import crc32

import numpy as np
from scipy import optimize, sparse

from .plan import InstanceCounts

HEADROOM = 1.3  # lanes planned beside lanes in use
MISSING, CROWDED = 20.0, 1.0  # prices: a missing copy beside its load, a worker's whole use over what is even
MEMORY_SHARE = 0.8  # of a worker: the rest is for what no plan foresaw


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """A live worker.  `cold`: it started lately, and no new copies are planned for it."""

    id: str
    memory_mb: float
    cores: float
    warming_up: bool = False


@dataclass(frozen=True, slots=True)
class FunctionDemand:
    """A function: what a copy takes, what it is asked for, and where it stands."""

    model: str
    memory_mb: float
    concurrency: int
    load_ms: float
    work_ms: float
    priority_weight: float
    rate: float  # calls a second
    loaded: dict[str, int] = field(default_factory=dict)
    previously_planned: int = 0  # by the plan before

    @property
    def instances_needed(self) -> int:
        """How many it needs: lanes by Little's law, with headroom and, as arrivals come in bunches, a deviation."""
        busy = self.rate * max(1.0, self.work_ms) / 1000
        return max(1, math.ceil((busy * HEADROOM + math.sqrt(busy)) / self.concurrency)) if self.rate > 0 else 0


@dataclass(frozen=True, slots=True)
class Placement:
    """A placement, its price, and how it was found."""

    instances: InstanceCounts
    cost: float
    missing: int
    new: int
    solver: str


def violations(
    wants: InstanceCounts, hosts: list[WorkerCapacity], needs: list[FunctionDemand], budget: int
) -> list[str]:
    """What a placement breaks: nothing, for both of ours."""
    by_id, memory = {h.id: h for h in hosts}, dict[str, float]()
    size, standing = {n.model: n.memory_mb for n in needs}, {n.model: n.loaded for n in needs}
    out, moves = [], 0
    for model, at in wants.items():
        for worker, count in at.items():
            if worker not in by_id:
                out.append(f"{model} on {worker}, which is not live")
                continue
            memory[worker] = memory.get(worker, 0.0) + count * size[model]
            moves += (new := max(0, count - standing[model].get(worker, 0)))
            if new and by_id[worker].warming_up:
                out.append(f"{model} anew on {worker}, which is cold")
    out += [f"{used:.0f} MB on {w}" for w, used in memory.items() if used > by_id[w].memory_mb * MEMORY_SHARE + 1e-6]
    if moves > budget:
        out.append(f"{moves} new copies, {budget} allowed")
    return out


def placement_cost(
    wants: InstanceCounts, hosts: list[WorkerCapacity], needs: list[FunctionDemand]
) -> tuple[float, int, int]:
    """The price, how many copies are missing, how many are new."""
    total, missing, moves = 0.0, 0, 0
    used = dict.fromkeys((h.id for h in hosts), 0.0)
    for need in needs:
        at = wants.get(need.model, {})
        placed = sum(at.values())
        short = max(0, need.instances_needed - placed)
        new = sum(max(0, n - need.loaded.get(w, 0)) for w, n in at.items())
        missing, moves = missing + short, moves + new
        total += short * MISSING * need.priority_weight * _load(need) + new * _load(need)
        if placed:
            each = need.rate * need.work_ms / 1000 / max(placed, need.instances_needed)
            for worker, n in at.items():
                used[worker] += n * each
    for host in hosts:
        total += CROWDED * max(0.0, used[host.id] / host.cores - 0.7)
    return total, missing, moves


def _load(need: FunctionDemand) -> float:
    return max(0.05, need.load_ms / 1000)


def _homes(need: FunctionDemand, hosts: list[WorkerCapacity], count: int) -> list[WorkerCapacity]:
    """Workers that a function prefers, by a hash of both names: the same from plan to plan."""
    return sorted(hosts, key=lambda h: crc32(f"{need.model} {h.id}".encode()))[:count]


def place_greedily(hosts: list[WorkerCapacity], needs: list[FunctionDemand], budget: int) -> Placement:
    """The most useful first: kept where it stands, then on the least used worker with room."""
    by_id = {h.id: h for h in hosts}
    room = {h.id: h.memory_mb * MEMORY_SHARE for h in hosts}
    used = {h.id: 0.0 for h in hosts}
    wants: InstanceCounts = {}
    order = sorted(needs, key=lambda n: (-n.priority_weight * n.rate, n.model))

    def put(need: FunctionDemand, worker: str, count: int) -> None:
        at = wants.setdefault(need.model, {})
        at[worker] = at.get(worker, 0) + count
        room[worker] -= count * need.memory_mb
        used[worker] += count * need.rate * need.work_ms / 1000 / need.instances_needed / by_id[worker].cores

    for need in order:  # what stands goes first: it costs nothing
        left = need.instances_needed
        for worker, count in sorted(need.loaded.items(), key=lambda e: (-e[1], e[0])):
            if worker in by_id and left > 0:
                keep = min(left, count, int(room[worker] // need.memory_mb) if need.memory_mb else count)
                if keep > 0:
                    put(need, worker, keep)
                    left -= keep
    warm = [(used[h.id], h.id) for h in hosts if not h.warming_up]
    heapify(warm)
    for need in order:
        left, aside = need.instances_needed - sum(wants.get(need.model, {}).values()), list[tuple[float, str]]()
        while left > 0 and budget > 0 and warm:
            seen, worker = heappop(warm)
            if seen != used[worker]:  # it has been given more since
                heappush(warm, (used[worker], worker))
                continue
            aside.append((seen, worker))
            if room[worker] < need.memory_mb or len(aside) > 64:
                if len(aside) > 64:
                    break
                continue
            aside.pop()
            put(need, worker, 1)
            budget, left = budget - 1, left - 1
            heappush(warm, (used[worker], worker))
        for entry in aside:
            heappush(warm, entry)
    cost, missing, moves = placement_cost(wants, hosts, needs)
    return Placement(wants, cost, missing, moves, "greedy")


def place_by_program(
    hosts: list[WorkerCapacity],
    needs: list[FunctionDemand],
    budget: int,
    nodes: int = 200,
    seconds: float = 20.0,
    candidates: int = 4,
    most: int = 60_000,
) -> Placement:
    """The program's placement where it is better than the greedy one, else that.  A function's candidates are the
    workers where it stands, those of the greedy answer and a few that it prefers; past `most` variables, or past
    `seconds`, the greedy answer stands."""
    start = place_greedily(hosts, needs, budget)
    live = {h.id: i for i, h in enumerate(hosts)}
    pairs: list[tuple[int, int]] = []
    asked = [n for n in needs if n.instances_needed]
    warm = [h for h in hosts if not h.warming_up]
    for f, need in enumerate(asked):
        found = {w for w in need.loaded if w in live} | set(start.instances.get(need.model, {}))
        found |= {h.id for h in _homes(need, warm, candidates)} if len(warm) * len(asked) <= 4_000_000 else set()
        pairs += [(f, live[w]) for w in sorted(found)]
    if not pairs or len(pairs) > most:
        return start
    # Variables: copies of each pair, of these new ones, copies that are missing, and how far each worker is crowded.
    p, nf, nw = len(pairs), len(asked), len(hosts)
    fs, ws = np.array([f for f, _ in pairs]), np.array([w for _, w in pairs])
    load, worth = np.array([_load(n) for n in asked]), np.array([n.priority_weight for n in asked])
    each = np.array([n.rate * n.work_ms / 1000 / n.instances_needed for n in asked])
    size, cores = np.array([n.memory_mb for n in asked]), np.array([h.cores for h in hosts])
    stand = np.array([asked[f].loaded.get(hosts[w].id, 0) for f, w in pairs], dtype=float)
    cost = np.concatenate([np.full(p, 1e-6), load[fs], MISSING * worth * load, np.full(nw, CROWDED)])
    col = np.arange(p)
    rows = []

    def row(data: np.ndarray, at: np.ndarray, columns: np.ndarray, count: int) -> sparse.csr_array:
        return sparse.csr_array((data, (at, columns)), shape=(count, 2 * p + nf + nw))

    one = np.ones(p)
    enough = row(one, fs, col, nf) + row(np.ones(nf), np.arange(nf), 2 * p + np.arange(nf), nf)
    rows.append(optimize.LinearConstraint(enough, [n.instances_needed for n in asked], np.inf))
    room = [h.memory_mb * MEMORY_SHARE for h in hosts]
    rows.append(optimize.LinearConstraint(row(size[fs], ws, col, nw), -np.inf, room))
    fresh = row(one, col, col, p) - row(one, col, p + col, p)
    rows.append(optimize.LinearConstraint(fresh, -np.inf, stand))
    rows.append(optimize.LinearConstraint(row(one, np.zeros(p, int), p + col, 1), -np.inf, budget))
    crowd = row(each[fs] / cores[ws], ws, col, nw) - row(np.ones(nw), np.arange(nw), 2 * p + nf + np.arange(nw), nw)
    rows.append(optimize.LinearConstraint(crowd, -np.inf, np.full(nw, 0.7)))
    copies = np.array([n.instances_needed for n in asked], dtype=float)
    new_most = np.where([hosts[w].warming_up for _, w in pairs], 0.0, copies[fs])
    highest = np.concatenate([copies[fs], new_most, copies, np.full(nw, np.inf)])
    bounds = optimize.Bounds(np.zeros(2 * p + nf + nw), highest)
    whole = np.concatenate([np.ones(p), np.zeros(p + nf + nw)])
    found = optimize.milp(
        cost,
        constraints=rows,
        bounds=bounds,
        integrality=whole,
        options={"node_limit": nodes, "time_limit": seconds, "mip_rel_gap": 0.005},
    )
    if found.x is None:
        return start
    wants: InstanceCounts = {}
    for (f, w), count in zip(pairs, np.round(found.x[:p]).astype(int), strict=True):
        if count:
            wants.setdefault(asked[f].model, {})[hosts[w].id] = int(count)
    total, missing, moves = placement_cost(wants, hosts, needs)
    if total >= start.cost - 1e-9 or violations(wants, hosts, needs, budget):
        return start
    return Placement(wants, total, missing, moves, "program")
