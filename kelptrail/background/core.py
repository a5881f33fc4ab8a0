"""Which piece of background work runs next, if any; free of I/O and clocks.

Work comes in steps; a step runs whole, its CPU time is told afterwards and paid from a budget that fills at a share of
real time.  Among the jobs that are due the most urgent goes first; one that has waited for longer than its bound goes
before all others and may run the budget into debt, so nothing starves; debt is paid before anything else runs.  While
calls are in hand only a part of the budget may be used.  A job that costs more than it was meant to is put off for as
long as its share asks for.

Weighed: one timer each (they come together, just when calls do), nice threads (one interpreter lock), a process for
each (they share no state; taken only for the solver, which runs for seconds).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """`share`: of real time that background work may take; `busy_part`: of that, while calls are in hand; `most_ms`:
    what may be saved up."""

    share: float = 0.1
    busy_share: float = 0.5
    max_budget_ms: float = 200.0


@dataclass(slots=True, eq=False)
class Job:
    """A kind of work.  `step` does a piece and says whether more remains of this turn.  Times in milliseconds.

    `every_ms`: from the end of one turn to the next; 0: only when `wanted`.  `longest_wait_ms`: past it, it goes first.
    `share`: of real time that it alone may take.
    """

    name: str
    step: Callable[[], bool]
    priority: int  # smaller is more urgent
    interval_ms: float = 0.0
    max_wait_ms: float = 10_000.0
    share: float = 0.05
    due_at: float = float("inf")
    not_before: float = 0.0
    runs: int = 0
    steps: int = 0
    cpu_ms: float = 0.0
    worst_wait_ms: float = 0.0
    run_started: bool = False
    failures: int = 0


class Scheduler:
    """All background work of a process."""

    def __init__(self, settings: SchedulerSettings, now: float) -> None:
        self._settings, self._refilled_at = settings, now
        self._budget_ms, self._busy = settings.max_budget_ms, False
        self.jobs: dict[str, Job] = {}
        self._running: Job | None = None

    def add(self, now: float, job: Job, after_ms: float | None = None) -> Job:
        """Know a job; one that comes again is due after its time, or `after_ms`.  Raises `ValueError` for a name that
        is taken."""
        if job.name in self.jobs:
            raise ValueError(f"there is a job {job.name} already")
        self.jobs[job.name] = job
        if job.interval_ms:
            job.due_at = now + (job.interval_ms if after_ms is None else after_ms)
        return job

    def request_run(self, now: float, name: str) -> None:
        """Have a job run once, as soon as it may; nothing more where it is due already."""
        job = self.jobs[name]
        job.due_at = min(job.due_at, now)

    def next_job(self, now: float, busy: bool) -> Job | None:
        """The job whose step is to run now; its end must be told by `done`."""
        self._refill_budget(now, busy)
        if self._running is not None:
            return None
        due = [j for j in self.jobs.values() if now >= j.due_at and now >= j.not_before]
        if not due:
            return None
        starved = [j for j in due if now - j.due_at > j.max_wait_ms]
        floor = self._settings.max_budget_ms * (1 - self._settings.busy_share) if busy else 0.0
        if self._budget_ms <= (-self._settings.max_budget_ms if starved else floor):
            return None
        job = min(starved or due, key=lambda j: (j.priority, j.due_at, j.name))
        if not job.run_started:
            job.run_started = True
            job.worst_wait_ms = max(job.worst_wait_ms, now - job.due_at)
        self._running = job
        return job

    def on_step_done(self, now: float, job: Job, cpu_ms: float, more: bool, failed: bool = False) -> None:
        """A step has ended."""
        if job is not self._running:
            raise ValueError(f"{job.name} is not running")
        self._running = None
        self._budget_ms -= cpu_ms
        job.cpu_ms += cpu_ms
        job.steps += 1
        job.failures += failed
        late = now - job.due_at >= job.max_wait_ms
        job.not_before = now if late else now + max(0.0, cpu_ms / job.share - cpu_ms)
        if not more:
            job.run_started = False
            job.runs += 1
            job.due_at = now + job.interval_ms if job.interval_ms else float("inf")

    def wait_ms(self, now: float, busy: bool) -> float:
        """How long nothing will be due, at the most a second."""
        self._refill_budget(now, busy)
        wait = 1000.0
        floor = self._settings.max_budget_ms * (1 - self._settings.busy_share) if busy else 0.0
        for job in self.jobs.values():
            ready = max(job.due_at, job.not_before) - now
            if self._budget_ms <= floor and ready < 1000:  # until the budget has room, or it starves
                ready = min(
                    max(ready, (floor - self._budget_ms + 0.1) / self._settings.share),
                    max(ready, job.due_at + job.max_wait_ms - now + 0.1),
                )
            wait = min(wait, ready)
        return max(0.0, wait)

    def status(self) -> dict[str, dict[str, float]]:
        """What operators are shown."""
        return {
            j.name: {
                "turns": j.runs,
                "cpu_ms": round(j.cpu_ms, 1),
                "worst_wait_ms": round(j.worst_wait_ms, 1),
                "failures": j.failures,
            }
            for j in self.jobs.values()
        }

    def _refill_budget(self, now: float, busy: bool) -> None:
        passed, self._refilled_at, self._busy = max(0.0, now - self._refilled_at), now, busy
        self._budget_ms = min(self._settings.max_budget_ms, self._budget_ms + passed * self._settings.share)
