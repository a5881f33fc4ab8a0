"""Scheduler of background jobs: decides which step runs next, if any; free of I/O and clocks.

Jobs run in steps that are never interrupted; a step's CPU time is charged afterwards to a budget that refills at a
share of real time.  The most urgent of the due jobs runs first; one that has waited for longer than its bound runs
before all others and may overdraw the budget, so no job starves; debt is paid off before anything else runs.  While
requests are in flight only a part of the budget may be used.  A job that costs more than its share is delayed
accordingly.

Alternatives considered: one timer for each job (they fire together, just when requests come), low-priority threads (one
interpreter lock), a process for each job (no shared state; used only for the solver, which runs for seconds).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MAX_WAIT_MS = 1000.0  # longest pause between two looks at the jobs


class DuplicateJobError(ValueError):
    """A job of this name exists already."""


class JobNotRunningError(ValueError):
    """The job whose step is reported as done is not the running one."""


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """`share`: of real time that background work may use; `busy_share`: of that, while requests are in flight;
    `max_budget_ms`: the most unused CPU time that is saved up.
    """

    share: float = 0.1
    busy_share: float = 0.5
    max_budget_ms: float = 200.0


@dataclass(slots=True, eq=False)
class Job:
    """A periodic or requested job.  `step` does one piece and returns whether more remains of this run.  Times in ms.

    `interval_ms`: from the end of one run to the next; 0: only by `request_run`.  `max_wait_ms`: a job that is overdue
    by more runs first.  `share`: of real time that this job may use.
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
    """The background jobs of a process and their CPU budget."""

    def __init__(self, settings: SchedulerSettings, now: float) -> None:
        self._settings, self._refilled_at = settings, now
        self._budget_ms, self._busy = settings.max_budget_ms, False
        self.jobs: dict[str, Job] = {}
        self._running: Job | None = None

    def add(self, now: float, job: Job, after_ms: float | None = None) -> Job:
        """Add a job; a periodic one is due after its interval, or after `after_ms`.

        Raises `DuplicateJobError` for a name that is in use.
        """
        if job.name in self.jobs:
            raise DuplicateJobError(f"there is a job {job.name} already")
        self.jobs[job.name] = job
        if job.interval_ms:
            job.due_at = now + (job.interval_ms if after_ms is None else after_ms)
        return job

    def request_run(self, now: float, name: str) -> None:
        """Make a job due now, unless it is due already."""
        job = self.jobs[name]
        job.due_at = min(job.due_at, now)

    def next_job(self, now: float, busy: bool) -> Job | None:
        """The job whose step must run now, or None; report its end by `on_step_done`."""
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
        """Charge a finished step.  Raises `JobNotRunningError`."""
        if job is not self._running:
            raise JobNotRunningError(f"{job.name} is not running")
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
        """Time in ms until a job may be due, at most `MAX_WAIT_MS`."""
        self._refill_budget(now, busy)
        wait = MAX_WAIT_MS
        floor = self._settings.max_budget_ms * (1 - self._settings.busy_share) if busy else 0.0
        for job in self.jobs.values():
            ready = max(job.due_at, job.not_before) - now
            if self._budget_ms <= floor and ready < MAX_WAIT_MS:  # until the budget suffices, or the job is starved
                ready = min(
                    max(ready, (floor - self._budget_ms + 0.1) / self._settings.share),
                    max(ready, job.due_at + job.max_wait_ms - now + 0.1),
                )
            wait = min(wait, ready)
        return max(0.0, wait)

    def status(self) -> dict[str, dict[str, float]]:
        """Counters of each job, for operators."""
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
