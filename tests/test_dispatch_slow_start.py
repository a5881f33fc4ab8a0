"""Tests of slow start: the budget of a cold worker at one dispatcher and over many that do not communicate."""

from __future__ import annotations

import random

import pytest
from helpers import (
    AMPLE_LOADS,
    load_and_serve_one,
    make_dispatcher,
    make_function,
    make_safety,
    new_request,
)

from kelptrail.dispatch.entities import (
    Instance,
    Worker,
)
from kelptrail.dispatch.safety import LoadRation, SafetyGuard


def test_many_small_dispatchers_together_do_not_overload_a_cold_worker() -> None:
    started = 0
    for seed in range(100):
        dispatcher, function = make_dispatcher(workers=5, load_ration=AMPLE_LOADS, seed=seed), make_function(f"f{seed}")
        load_and_serve_one(dispatcher, function)  # each dispatcher completes one request: 100 over four warm workers
        cold = dispatcher.workers[seed % 5]
        cold.started_at = 100.0
        dispatcher.on_endpoints(100.0, dispatcher.workers, [cold])
        request = new_request(function, 110.0)
        started += dispatcher.parts.safety.may_attempt(110.0, request, cold)
    # Three times the product of overload margin, overload multiple, initial capacity and requests per warm worker.
    assert 0 < started < 0.5 * 3.0 * 0.2 * 100 / 4 * 3


def test_a_random_draw_for_a_cold_worker_admits_one_attempt() -> None:
    admitted = {100.0: 0, 2100.0: 0, 4100.0: 0}
    admitted_again = 0
    for seed in range(400):
        guard, cold = make_safety(seed=seed, slow_start_ms=1e9), Worker("cold", started_at=0.0)
        # This throughput of warm workers makes a budget of 0.15 attempts in a window.
        guard._warm_throughput, guard._measured_at = 0.5, 1e9
        one, two = (new_request(make_function(), 4000.0, n) for n in (1, 2))
        for now in admitted:
            admitted[now] += guard.may_attempt(now, one, cold)
        if guard.may_attempt(4100.0, one, cold):
            guard.start_attempt(4100.0, one, Instance(one.function, cold, 1))
            admitted_again += guard.may_attempt(4101.0, two, cold)
    # The probability of a draw is 0.12: the budget of 0.15 multiplied by `DRAW_SHARE`.
    assert all(0.7 * 400 * 0.12 < count < 1.3 * 400 * 0.12 for count in admitted.values()), (
        "the probability is the same in each window"
    )
    assert not admitted_again, "each draw is used once"


@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize(
    ("dispatcher_count", "per_s"),
    [(1, 5.0), (1, 100.0), (2, 20.0), (5, 40.0), (5, 100.0), (20, 100.0), (30, 100.0), (30, 400.0), (200, 400.0)],
)
def test_all_dispatchers_together_keep_the_budget_of_a_cold_worker(
    dispatcher_count: int, per_s: float, uneven: bool
) -> None:
    """Each dispatcher starts attempts whenever its guard admits them.  All are notified late of the worker's start, and
    some restart without state.  The limit N + 2 sqrt(N) + 2 for any window is that of the terms of service, where N
    is the overload multiple times the number of attempts that match the worker's mean capacity in the window."""
    warm_count, overload_multiple, window_ms, slow_start_ms, initial_capacity = 10, 3.0, 3000.0, 17_000.0, 0.2
    exceeded = window_count = started = 0
    for seed in range(6 if dispatcher_count < 100 else 2):
        rng, start, function = random.Random(seed), 4000.0, make_function()
        weights = [rng.lognormvariate(0, 1.2) if uneven else 1.0 for _ in range(dispatcher_count)]

        def make_guard(rng: random.Random = rng, start: float = start) -> tuple[SafetyGuard, list[Worker], Worker]:
            guard = make_safety(
                seed=rng.getrandbits(64),
                max_attempts=100,
                load_ration=LoadRation(False, 0.0, 0.0, 0.0),
                overload_multiple=overload_multiple,
                overload_window_ms=window_ms,
                initial_capacity=initial_capacity,
                slow_start_ms=slow_start_ms,
                max_delivery_ms=250.0,
            )
            workers, cold = [Worker(f"w{n}") for n in range(warm_count)], Worker("cold", started_at=start)
            guard.set_workers([*workers, cold])
            return guard, workers, cold

        dispatchers = [make_guard() for _ in range(dispatcher_count)]
        known_from = [start + (rng.random() * 1500 if seed % 2 else 5000.0) for _ in range(dispatcher_count)]
        start_times: list[float] = []
        for step in range(int(start / 50 + 160)):
            now = 50.0 * step
            if rng.random() < 0.02 * dispatcher_count / 20:  # one dispatcher restarts with another seed
                dispatchers[rng.randrange(dispatcher_count)] = make_guard()
            for n, (guard, workers, cold) in enumerate(dispatchers):
                # Completed attempts of the dispatcher in this step of 50 ms, rounded up or down at random.
                due = weights[n] / sum(weights) * per_s * 0.05
                for _ in range(int(due) + (rng.random() < due % 1)):
                    guard.completed(now, rng.choice(workers))
                while now >= known_from[n] and guard.start_attempt(
                    now, new_request(function, now), Instance(function, cold, 1)
                ):
                    start_times.append(now)
        started += len(start_times)
        for at in start_times:
            count = sum(at - window_ms < other <= at for other in start_times)
            mean_capacity = (
                initial_capacity
                + (1 - initial_capacity) * ((at + max(start, at - window_ms)) / 2 - start) / slow_start_ms
            )
            budget = overload_multiple * mean_capacity * per_s / warm_count * window_ms / 1000
            exceeded += count > budget + 2 * budget**0.5 + 2
            window_count += 1
    assert not exceeded, f"{exceeded} of {window_count} windows"
    # Each run ends 8 s after the start of the worker.  At least 15% of the budget at the initial capacity is used.
    assert (
        started
        > (6 if dispatcher_count < 100 else 2) * 0.15 * overload_multiple * initial_capacity * per_s / warm_count * 8
    ), "the budget is used"
