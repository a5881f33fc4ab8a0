"""Times and costs of plans by the number of workers and functions, for the greedy solver and the linear program."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from kelptrail.planner.greedy_placement import place_greedily
from kelptrail.planner.placement import FunctionDemand, WorkerCapacity, violations
from kelptrail.planner.program_placement import place_by_program

SIZES = ((10, 50), (30, 150), (100, 500), (300, 1500), (1000, 5000))  # workers, functions
MEMORY_FACTORS = (1.0, 0.12)  # ample memory, and too little for all instances
SOLVERS = {"greedy": place_greedily, "program": place_by_program}
MEMORY_MB, CONCURRENCY = 24_000.0, 4
SEED = 1


class PlanningProblem(NamedTuple):
    """The input from which a plan is computed."""

    capacities: list[WorkerCapacity]
    demands: list[FunctionDemand]


def random_problem(workers: int, functions: int, seed: int, memory_factor: float) -> PlanningProblem:
    """Return workers, and functions whose calls take half of the workers' throughput.

    The call rates follow Zipf's law with the exponent 0.8.  Each function is loaded at one or two workers."""
    rng = np.random.default_rng(seed)
    capacities = [WorkerCapacity(f"worker-{n}", MEMORY_MB * memory_factor, CONCURRENCY) for n in range(workers)]
    rates = 1 / np.arange(1, functions + 1) ** 0.8
    rates *= 0.5 * workers * CONCURRENCY / 0.1 / rates.sum()  # each call takes 0.1 s
    demands = []
    for n in range(functions):
        loaded_at = {f"worker-{int(worker)}": 1 for worker in rng.integers(workers, size=1 + n % 2)}
        memory_mb, weight = float(rng.choice([250, 500, 1000])), float(rng.choice([1, 3]))
        demands.append(
            FunctionDemand(f"m-{n}", memory_mb, CONCURRENCY, 1000.0, 100.0, weight, float(rates[n]), loaded_at)
        )
    return PlanningProblem(capacities, demands)


def measure_times(out: Path) -> None:
    """Solve all problems, print a line for each and plot the times."""
    rows = []
    for workers, functions in SIZES:
        for memory_factor in MEMORY_FACTORS:
            problem = random_problem(workers, functions, SEED, memory_factor)
            for solver in SOLVERS:
                row = {"workers": workers, "functions": functions, "memory": memory_factor, "how": solver}
                rows.append(row | solve(problem, solver))
                print(json.dumps(rows[-1]), flush=True)
    draw_times(out / "plan-times.png", rows)


def solve(problem: PlanningProblem, solver: str) -> dict[str, Any]:
    """Compute and check one plan; return its figures."""
    max_new = max(8, len(problem.demands) // 5)
    start = time.perf_counter()
    plan = SOLVERS[solver](problem.capacities, problem.demands, max_new)
    took_s = time.perf_counter() - start
    assert not violations(plan.instances, problem.capacities, problem.demands, max_new)
    return {
        "by": plan.solver.value,
        "s": round(took_s, 3),
        "price": round(plan.cost, 1),
        "missing": plan.missing,
        "moves": plan.new,
    }


def draw_times(file: Path, rows: list[dict[str, Any]]) -> None:
    """Plot the seconds of a plan against the size of its problem."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(7, 4))
    for solver in SOLVERS:
        for memory_factor in MEMORY_FACTORS:
            series = [row for row in rows if row["how"] == solver and row["memory"] == memory_factor]
            sizes, times = [row["workers"] * row["functions"] for row in series], [row["s"] for row in series]
            axis.plot(sizes, times, marker="o", label=f"{solver}, memory x {memory_factor}")
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.set_xlabel("workers x functions")
    axis.set_ylabel("s a plan")
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(file, dpi=100)
