"""Background jobs: priorities, budgets and maximum waits, with random jobs and on the event loop."""

from __future__ import annotations

import asyncio
import random
import time

import pytest
from program import RecordingLog, run

from kelptrail.background.core import Job, Scheduler, SchedulerSettings
from kelptrail.background.driver import Background
from kelptrail.clock import now_ms


def job(
    name: str, priority: int = 1, interval_ms: float = 100.0, max_wait_ms: float = 2000.0, share: float = 0.5
) -> Job:
    return Job(name, lambda: False, priority, interval_ms, max_wait_ms, share)


def test_the_job_of_the_highest_priority_runs_first_one_at_a_time_and_only_when_due() -> None:
    scheduler = Scheduler(SchedulerSettings(1.0, 1.0, 1000.0), 0.0)
    low, high = scheduler.add(0.0, job("low", 5)), scheduler.add(0.0, job("high", 1, 0.0))
    with pytest.raises(ValueError, match="already"):
        scheduler.add(0.0, job("low"))
    assert scheduler.next_job(50.0, False) is None and scheduler.wait_ms(50.0, False) == 50.0
    scheduler.request_run(60.0, "high")
    assert scheduler.next_job(100.0, False) is high and scheduler.next_job(100.0, False) is None
    with pytest.raises(ValueError, match="not running"):
        scheduler.on_step_done(100.0, low, 1.0, False)
    scheduler.on_step_done(101.0, high, 0.0, False)
    assert scheduler.next_job(101.0, False) is low
    scheduler.on_step_done(102.0, low, 0.0, True)
    assert scheduler.next_job(102.0, False) is low, "a run that has more steps goes on"
    scheduler.on_step_done(103.0, low, 0.0, False)
    assert scheduler.next_job(150.0, False) is None and low.due_at == 203.0 and high.due_at == float("inf")


@pytest.mark.parametrize("seed", range(12))
def test_budgets_are_kept_and_no_job_starves(seed: int) -> None:
    rng, now = random.Random(seed), 0.0
    settings = SchedulerSettings(rng.uniform(0.05, 0.4), 0.5, 100.0)
    scheduler = Scheduler(settings, now)
    jobs = [
        scheduler.add(
            now,
            job(f"j{n}", n, rng.choice([50.0, 300.0, 1000.0]), rng.uniform(500, 4000), rng.uniform(0.02, 0.3)),
        )
        for n in range(6)
    ]
    spent_ms, started_at, max_step_ms = 0.0, dict[Job, float](), 40.0
    while now < 120_000:
        busy = (now // 10_000) % 2 == 1
        due_job = scheduler.next_job(now, busy)
        if due_job is None:
            wait_ms = scheduler.wait_ms(now, busy)
            assert wait_ms > 0, "a wait of 0 without a job to run would be a busy loop"
            now += min(wait_ms, 50.0)
            continue
        started_at[due_job] = now
        cost_ms = rng.uniform(0, max_step_ms if rng.random() < 0.1 else 5)
        now += cost_ms
        spent_ms += cost_ms
        scheduler.on_step_done(now, due_job, cost_ms, rng.random() < 0.3)
        assert spent_ms <= settings.share * now + 2 * settings.max_budget_ms + max_step_ms
    assert all(j.runs >= 5 for j in jobs), [(j.name, j.runs) for j in jobs]
    all_steps_ms = sum(max_step_ms for _ in jobs)
    for j in jobs:
        assert j.worst_wait_ms <= j.max_wait_ms + (all_steps_ms + 2 * settings.max_budget_ms) / settings.share


def test_while_requests_are_in_flight_only_a_part_of_the_budget_is_used() -> None:
    used_ms = {}
    for busy in (False, True):
        scheduler, now = Scheduler(SchedulerSettings(0.1, 0.3, 200.0), 0.0), 0.0
        only_job = scheduler.add(now, job("one", 1, 1.0, 1e9, 1.0))
        while now < 150:
            due_job = scheduler.next_job(now, busy)
            now += 10
            if due_job is not None:
                scheduler.on_step_done(now, due_job, 10.0, True)
        used_ms[busy] = only_job.cpu_ms
    assert used_ms[True] < 0.6 * used_ms[False]


def test_steps_on_the_event_loop_yield_to_requests_and_an_error_in_one_job_does_not_stop_others() -> None:
    async def main() -> None:
        log, executed = RecordingLog(), list[str]()
        background = Background(SchedulerSettings(0.3, 0.5, 50.0), now_ms, lambda: True, log)

        def slow_step() -> bool:
            end = time.thread_time() + 0.01
            while time.thread_time() < end:
                pass
            executed.append("slow")
            return True

        def failing_step() -> None:
            raise RuntimeError("no")

        background.add("slow", slow_step, 1, 1.0, 60_000.0, 0.5)
        background.add("broken", failing_step, 0, 30.0)
        background.add("late", lambda: executed.append("late"), 9, 0.0)
        background.start()
        turn_gaps_ms, last_turn, end = list[float](), now_ms(), now_ms() + 800
        background.request_run("late")
        while now_ms() < end:
            await asyncio.sleep(0.001)
            turn_gaps_ms.append(now_ms() - last_turn)
            last_turn = now_ms()
        background.stop()
        status = background.scheduler.status()
        assert (
            status["broken"]["failures"] >= 3
            and ("background-failed", {"job": "broken", "reason": "RuntimeError: no"}) in log.lines
        )
        # The limit is the share of 800 ms, the initial budget of 50 ms, and 40 ms of tolerance.
        assert executed.count("slow") >= 3 and status["slow"]["cpu_ms"] <= 0.3 * 800 + 50 + 40
        assert executed.count("late") <= 1 and sorted(turn_gaps_ms)[len(turn_gaps_ms) // 2] < 8, (
            "most gaps between turns of the event loop are short"
        )

    run(main())
