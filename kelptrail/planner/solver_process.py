"""Solves placement problems in a separate process, so that the event loop is not blocked."""

from __future__ import annotations

import asyncio
import time
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from multiprocessing import get_context
from typing import Any

from .core import PlacementProblem
from .greedy_placement import place_greedily
from .placement import FunctionDemand, Placement, Solver, WorkerCapacity
from .program_placement import place_by_program


def solve_in_process(
    solver: str, delay_ms: float, workers: list[WorkerCapacity], demands: list[FunctionDemand], budget: int
) -> Placement:
    """Solve one problem; runs in the solver process."""
    if delay_ms:
        time.sleep(delay_ms / 1000)
    if solver == Solver.GREEDY.value:
        return place_greedily(workers, demands, budget)
    return place_by_program(workers, demands, budget)


class SolverProcess:
    """The solver process.  `solver`: a value of `Solver`; `timeout_s`: time after which a problem is abandoned."""

    def __init__(self, solver: str, timeout_s: float, log: Any) -> None:
        self._solver, self._timeout_s, self._log = solver, timeout_s, log
        self._pool: ProcessPoolExecutor | None = None

    async def solve(self, problem: PlacementProblem, delay_ms: float) -> Placement | None:
        """Solve a problem; return None if this fails or takes too long, which is logged.

        `delay_ms`: delay added to the solution, for fault tests.
        """
        if self._pool is None:
            self._pool = ProcessPoolExecutor(1, mp_context=get_context("forkserver"))
        try:
            job = self._pool.submit(
                solve_in_process, self._solver, delay_ms, problem.workers, problem.demands, problem.budget
            )
            return await asyncio.wait_for(asyncio.wrap_future(job), self._timeout_s)
        except TimeoutError:
            self._log.warning("plan-timed-out", number=problem.number)
            self.kill()
        except (BrokenProcessPool, ValueError, MemoryError) as cause:
            self._log.error("plan-failed", number=problem.number, reason=str(cause) or type(cause).__name__)
            self.kill()
        return None

    def kill(self) -> None:
        """Kill the process, which may hang; the next problem starts a new one."""
        pool, self._pool = self._pool, None
        if pool is not None:
            for process in list(getattr(pool, "_processes", {}).values()):
                process.kill()
            pool.shutdown(wait=False, cancel_futures=True)
