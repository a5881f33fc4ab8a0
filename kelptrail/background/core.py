"""Scheduler of background jobs: decides which step runs next, if any; free of I/O and clocks.

Jobs run in steps that are never interrupted; the CPU time of a step is charged afterwards to a budget that refills at a
share of real time.  Among the due jobs the one with the highest priority runs first.  A job that has been due for
longer than its maximum wait runs before all others, so no job starves.  It may start while the budget is overdrawn by
less than the limit of accumulated CPU time; other jobs run only once the overdraft is repaid, and while requests are in
flight they may use only a part of the budget.  A job that exceeds its share of real time is delayed accordingly, unless
it has been due for its maximum wait.

Alternatives considered: one timer for each job (timers fire together, at the time when requests arrive), low-priority
threads (they share one interpreter lock), and a process for each job (no shared state; used only for the solver, which
runs for seconds).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MAX_WAIT_MS = 1000.0  # longest time between two checks of the jobs


class DuplicateJobError(ValueError):
    """Raised when a job of the same name exists already."""


class JobNotRunningError(ValueError):
    """Raised when a finished step is reported for a job that is not running."""


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of the CPU budget.

    `share`: share of real time that background jobs may use; `busy_share`: share of `max_budget_ms` that they may use
    while requests are in flight; `max_budget_ms`: limit of accumulated unused CPU time.
    """

    share: float = 0.1
    busy_share: float = 0.5
    max_budget_ms: float = 200.0


@dataclass(slots=True, eq=False)
class Job:
    """A periodic job, or one that runs only on request.  Times are in milliseconds.

    `step` does one step of a run and returns whether the run has more steps.  `interval_ms`: time from the end of one
    run until the next is due; 0 for a job that runs only on `request_run`.  `max_wait_ms`: a job that is overdue by
    more than this runs before all others.  `share`: share of real time that this job may use.
    """

    name: str
    step: Callable[[], bool]
    priority: int  # a smaller number runs first
    interval_ms: float = 0.0
    max_wait_ms: float = 10_000.0
    share: float = 0.05
    due_at: float = float("inf")  # time at which the current or next run is due
    not_before: float = 0.0  # earliest time of the next step, according to `share`
    runs: int = 0
    steps: int = 0
    cpu_ms: float = 0.0
    worst_wait_ms: float = 0.0  # longest time from when a run was due until its first step
    run_started: bool = False
    failures: int = 0  # number of steps that raised an exception


class Scheduler:
    """Background jobs of a process and their CPU budget."""

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
            raise DuplicateJobError(f"a job {job.name} exists already")
        self.jobs[job.name] = job
        if job.interval_ms:
            job.due_at = now + (job.interval_ms if after_ms is None else after_ms)
        return job

    def request_run(self, now: float, name: str) -> None:
        """Make a job due now, unless it is due already."""
        job = self.jobs[name]
        job.due_at = min(job.due_at, now)

    def next_job(self, now: float, busy: bool) -> Job | None:
        """Return the job whose step must run now, or None; its end must be reported by `on_step_done`."""
        self._refill_budget(now, busy)
        if self._running is not None:
            return None
        due = [job for job in self.jobs.values() if now >= job.due_at and now >= job.not_before]
        if not due:
            return None
        starved = [job for job in due if now - job.due_at > job.max_wait_ms]
        min_budget_ms = self._settings.max_budget_ms * (1 - self._settings.busy_share) if busy else 0.0
        if self._budget_ms <= (-self._settings.max_budget_ms if starved else min_budget_ms):
            return None
        job = min(starved or due, key=lambda job: (job.priority, job.due_at, job.name))
        if not job.run_started:
            job.run_started = True
            job.worst_wait_ms = max(job.worst_wait_ms, now - job.due_at)
        self._running = job
        return job

    def on_step_done(self, now: float, job: Job, cpu_ms: float, more: bool, failed: bool = False) -> None:
        """Charge the CPU time of a finished step, and end the run unless it has `more` steps.

        Raises `JobNotRunningError` if `job` is not running.
        """
        if job is not self._running:
            raise JobNotRunningError(f"{job.name} is not running")
        self._running = None
        self._budget_ms -= cpu_ms
        job.cpu_ms += cpu_ms
        job.steps += 1
        job.failures += failed
        starved = now - job.due_at >= job.max_wait_ms
        job.not_before = now if starved else now + max(0.0, cpu_ms / job.share - cpu_ms)
        if not more:
            job.run_started = False
            job.runs += 1
            job.due_at = now + job.interval_ms if job.interval_ms else float("inf")

    def wait_ms(self, now: float, busy: bool) -> float:
        """Return the time in ms until a job may be able to run, at most `MAX_WAIT_MS`."""
        self._refill_budget(now, busy)
        wait = MAX_WAIT_MS
        min_budget_ms = self._settings.max_budget_ms * (1 - self._settings.busy_share) if busy else 0.0
        for job in self.jobs.values():
            ready = max(job.due_at, job.not_before) - now
            if self._budget_ms <= min_budget_ms and ready < MAX_WAIT_MS:
                # The job can run when the budget suffices or, unless the overdraft has reached its limit, when the job
                # has been due for its maximum wait.  As `next_job` requires that the budget and the wait exceed these
                # limits and do not only reach them, 0.1 ms is added to each.
                ready = min(
                    max(ready, (min_budget_ms - self._budget_ms + 0.1) / self._settings.share),
                    max(ready, job.due_at + job.max_wait_ms - now + 0.1),
                )
            wait = min(wait, ready)
        return max(0.0, wait)

    def status(self) -> dict[str, dict[str, float]]:
        """Return the counters of each job, for operators."""
        return {
            job.name: {
                "turns": job.runs,
                "cpu_ms": round(job.cpu_ms, 1),
                "worst_wait_ms": round(job.worst_wait_ms, 1),
                "failures": job.failures,
            }
            for job in self.jobs.values()
        }

    def _refill_budget(self, now: float, busy: bool) -> None:
        elapsed_ms, self._refilled_at, self._busy = max(0.0, now - self._refilled_at), now, busy
        self._budget_ms = min(self._settings.max_budget_ms, self._budget_ms + elapsed_ms * self._settings.share)
