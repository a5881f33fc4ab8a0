"""Tests of the five rules of `docs/design.md`, checked for every decision of seeded random schedules.

Further runs, with one guard removed, test that the checks detect this.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest
from helpers import (
    SAFETY,
    make_dispatcher,
    make_function,
    make_request_class,
    new_request,
)

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import (
    NEVER_RAN,
    Attempt,
    AttemptStatus,
    Decision,
    Idempotency,
    LoadOrder,
    Request,
    Worker,
    WorkerState,
)
from kelptrail.dispatch.safety import SafetyGuard

REQUEST_CLASSES = [
    make_request_class(),
    make_request_class(Idempotency.DEDUPLICATED),
    make_request_class(Idempotency.DEDUPLICATED, "zone"),
    make_request_class(Idempotency.AT_MOST_ONCE),
]

SLACK_MS = 16.0  # time after its deadline within which a request may still get its final answer


class DecisionChecker:
    """Checks each decision against the five rules, independently of the code that decides."""

    def __init__(self, **settings: Any) -> None:
        self.settings = SAFETY | settings
        self.finished: dict[Request, float] = {}
        self.request_times: list[float] = []
        self.load_times: list[float] = []
        self.attempts: list[Attempt] = []
        self.restart_known_at: dict[Worker, float] = {}  # time at which the endpoint list reported the restart
        self.workers: list[Worker] = []

    def on_final_answer(self, now: float, request: Request) -> None:
        assert request not in self.finished, "one final answer"
        assert now <= request.deadline + SLACK_MS, "within the deadline"
        self.finished[request] = now

    def on_decision(self, now: float, decision: Decision) -> None:
        if isinstance(decision, Request):
            self.on_final_answer(now, decision)
            if decision.final_status == "rejected":
                may_have_run = [other for other in decision.attempts if other.status not in NEVER_RAN]
                idempotency, scope = decision.request_class.idempotency, decision.request_class.deduplication_scope
                in_window = all(
                    now < other.started_at + decision.request_class.deduplication_window_ms for other in may_have_run
                )
                deduplicated = (
                    idempotency is Idempotency.DEDUPLICATED
                    and scope == "all"
                    and decision.has_idempotency_key
                    and in_window
                )
                no_second_effect = not may_have_run or idempotency is Idempotency.IDEMPOTENT or deduplicated
                assert no_second_effect, "a retry of a rejected request has no second effect"
        elif isinstance(decision, LoadOrder) and decision.count:
            assert decision.instance.worker.state is WorkerState.LIVE, "no load order at a draining or removed worker"
            self.load_times.append(now)
            ration = self.settings["load_ration"]
            window_start = now - ration.window_ms
            allowed = ration.free_loads + ration.loads_per_request * sum(t > window_start for t in self.request_times)
            assert sum(t > window_start for t in self.load_times) <= allowed, "load ration kept"
        elif isinstance(decision, Attempt) and not decision.cancelled:
            self.on_attempt(now, decision)

    def on_attempt(self, now: float, attempt: Attempt) -> None:
        request, worker = attempt.request, attempt.instance.worker
        assert request not in self.finished and request.final_status is None, "no attempt after the final answer"
        assert worker.state is WorkerState.LIVE, "no attempt at a draining or removed worker"
        earlier = request.attempts[:-1]
        assert len(request.attempts) <= self.settings["max_attempts"]
        assert sum(other.status is None for other in earlier) <= (1 if self.settings["parallel_attempts"] else 0)
        may_have_run = [other for other in earlier if other.status not in NEVER_RAN]
        if may_have_run and request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert request.request_class.idempotency is Idempotency.DEDUPLICATED, (
                "at most once: no attempt after one that may have run"
            )
            assert now <= may_have_run[0].started_at + request.request_class.deduplication_window_ms, (
                "inside the deduplication window"
            )
            assert (
                request.request_class.deduplication_scope == "all"
                or worker.zone == may_have_run[0].instance.worker.zone
            ), "inside the deduplication scope"
        self.attempts.append(attempt)
        if worker.started_at is not None and now - worker.started_at < self.settings["slow_start_ms"]:
            window_start = now - self.settings["overload_window_ms"]
            own_attempts = sum(
                other.started_at > max(window_start, self.restart_known_at[worker]) and other.instance.worker is worker
                for other in self.attempts
            )
            slow_start_ms, initial_capacity = self.settings["slow_start_ms"], self.settings["initial_capacity"]
            warm_workers = [
                w for w in self.workers if w.state is WorkerState.LIVE and now - (w.started_at or -1e9) >= slow_start_ms
            ]
            warm_attempts = sum(
                other.started_at > window_start and other.instance.worker in warm_workers for other in self.attempts
            )
            share = initial_capacity + (1 - initial_capacity) * (now - worker.started_at) / slow_start_ms
            mean_attempts = warm_attempts / max(1, len(warm_workers))
            assert own_attempts <= max(1.0, self.settings["overload_multiple"] * share * mean_attempts), (
                "slow start: not overloaded"
            )


def run_random_schedule(seed: int, steps: int = 1500, **settings: Any) -> tuple[Dispatcher, DecisionChecker]:
    """Run one dispatcher with random events, and check every decision."""
    rng, checker = random.Random(seed), DecisionChecker(**settings)
    dispatcher = make_dispatcher(workers=6, shared=0.2 * (seed % 6), **settings)
    workers = checker.workers = list(dispatcher.workers)
    functions = [
        make_function(f"f{n}", rng.choice((1, 2, 4)), REQUEST_CLASSES[n % len(REQUEST_CLASSES)]) for n in range(8)
    ]
    now, serial, in_flight, orders, open_requests = 0.0, 0, [], [], []
    for step in range(steps + 400):  # no requests arrive in the last 400 steps, so that all requests end
        due = dispatcher.timers.next_due()  # `decide` is called at most 4 ms after a due time
        step_ms = rng.choice((0.0, 1.0, 4.0, 15.0)) if step < steps else 50.0
        now = min(now + step_ms, max(now, due or now) + 4)
        for _ in range(rng.randrange(4) if step < steps else 0):
            serial += 1
            request = new_request(rng.choice(functions), now, serial, rng.choice((300.0, 1500.0, 4000.0)))
            checker.request_times.append(now)
            open_requests.append(request)
            dispatcher.on_request(now, request)
        for order in [o for o in orders if rng.random() < 0.05]:
            orders.remove(order)
            status = rng.choice(
                [AttemptStatus.COMPLETED] * 6 + [AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.CONNECTION_LOST]
            )
            dispatcher.on_load_report(now, order, status, rng.randrange(order.count + 2))
        # The attempts at one worker, which the seed selects, are never reported as finished.
        for attempt in [
            other for other in in_flight if other.instance.worker is not workers[seed % 6] and rng.random() < 0.1
        ]:
            in_flight.remove(attempt)
            status = rng.choice([AttemptStatus.COMPLETED] * 9 + list(AttemptStatus)[1:])
            status = AttemptStatus.CANCELLED if attempt.cancelled else status
            if (
                status is AttemptStatus.COMPLETED
                and attempt.request.final_status is None
                and now <= attempt.request.deadline
            ):
                checker.on_final_answer(now, attempt.request)
                dispatcher.on_attempt_finished(now, attempt, AttemptResult(status, True))
            else:  # a completion after the request's end or deadline is reported as no answer
                request_done = attempt.request in checker.finished
                status = AttemptStatus.SILENT if status is AttemptStatus.COMPLETED else status
                dispatcher.on_attempt_finished(now, attempt, AttemptResult(status, request_done))
        for request in [a for a in open_requests if a.final_status is None and rng.random() < 0.0005]:
            checker.on_final_answer(now, request)
            dispatcher.on_client_gone(request)
        if rng.random() < 0.02:
            worker = rng.choice(workers[:3])
            worker.state = rng.choice([WorkerState.LIVE, WorkerState.LIVE, WorkerState.DRAINING, WorkerState.REMOVED])
            restarted = [worker] if worker.state is WorkerState.LIVE and rng.random() < 0.7 else []
            for restarted_worker in restarted:
                restarted_worker.started_at, checker.restart_known_at[restarted_worker] = (
                    now - rng.choice((0.0, 500.0)),
                    now,
                )
            dispatcher.on_endpoints(now, [w for w in workers if w.state is not WorkerState.REMOVED], restarted)
        if step % 5 == 0:
            dispatcher.on_tick(now)
        while (decision := dispatcher.decide(now)) is not None:
            checker.on_decision(now, decision)
            if isinstance(decision, Attempt) and not decision.cancelled:
                in_flight.append(decision)
            elif isinstance(decision, LoadOrder):
                orders.append(decision)
    assert len(checker.finished) == serial, "every request got its final answer"
    assert len(checker.attempts) > steps / 10 and checker.load_times
    return dispatcher, checker


@pytest.mark.parametrize("seed", range(12))
def test_random_schedules_keep_the_rules(seed: int) -> None:
    run_random_schedule(seed, parallel_attempts=seed % 3 != 0)


def always_return(answer: Any) -> Callable[..., Any]:
    return lambda *_: answer


def always_reject(_: SafetyGuard, now: float, request: Request, retry_after_ms: float = 0.0) -> Request:
    request.final_status = "rejected"
    return request


@pytest.mark.parametrize(
    ("guard", "replacement", "message"),
    [
        ("accepts_attempt", always_return(True), "at most once|final answer|deduplication window|assert"),
        (
            "may_attempt",
            lambda self, now, request, worker: self.accepts_attempt(now, request),
            "draining or removed worker|inside the deduplication scope|not overloaded",
        ),
        ("capacity_factor", always_return(1.0), "not overloaded"),
        ("finish", always_reject, "has no second effect"),
        (
            "start_load",
            lambda self, now, instance, count, reserve=0.0: LoadOrder(instance, count, now),
            "load ration|draining or removed worker",
        ),
    ],
)
def test_a_removed_guard_is_detected(
    monkeypatch: pytest.MonkeyPatch, guard: str, replacement: Any, message: str
) -> None:
    monkeypatch.setattr(SafetyGuard, guard, replacement)
    with pytest.raises(AssertionError, match=message):
        for seed in range(4):
            run_random_schedule(seed)
