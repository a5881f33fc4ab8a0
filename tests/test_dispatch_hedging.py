"""Tests of hedged requests, retries of overdue attempts, and the retry budget."""

from __future__ import annotations

import pytest
from helpers import (
    AMPLE_LOADS,
    decide_all,
    make_dispatcher,
    make_function,
    make_request_class,
    new_request,
)

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    Function,
    Idempotency,
    LoadOrder,
    Request,
    RequestClass,
)


def serve_in_sequence(dispatcher: Dispatcher, function: Function, now: float, latency_ms: float, n: int) -> float:
    """Complete `n` requests one after the other, so that the mean latency is known; return the time afterwards."""
    for number in range(n):
        _, attempts = submit_one(dispatcher, function, now, 1000 + number)  # numbers that the tests do not use
        for attempt in attempts:
            dispatcher.on_attempt_finished(now + latency_ms, attempt, AttemptResult(AttemptStatus.COMPLETED, True))
        now += latency_ms
        decide_all(dispatcher, now)
    return now


def hedged_class(idempotency: Idempotency = Idempotency.IDEMPOTENT) -> RequestClass:
    """Return a request class as `make_request_class` does, but with hedging."""
    return RequestClass(idempotency.value, idempotency, 500.0, 2.0, 0.3, "all", 5000.0, hedged=True)


def submit_one(dispatcher: Dispatcher, function: Function, now: float, n: int = 1) -> tuple[Request, list[Attempt]]:
    """Submit request `n` and complete its load orders at once; return it with the attempts that have started."""
    request = new_request(function, now, n)
    dispatcher.on_request(now, request)
    attempts = []
    for _ in range(3):
        for decision in decide_all(dispatcher, now):
            if isinstance(decision, LoadOrder):
                dispatcher.on_load_report(now, decision, AttemptStatus.COMPLETED, decision.count)
            elif isinstance(decision, Attempt):
                attempts.append(decision)
    return request, attempts


def load_everywhere(dispatcher: Dispatcher, function: Function, now: float) -> None:
    """Load an instance on every worker."""
    for worker in dispatcher.workers:
        dispatcher.parts.instances.set_loaded(now, dispatcher.parts.instances.get_or_add(function, worker), 1)


@pytest.mark.parametrize("idempotency", [Idempotency.IDEMPOTENT, Idempotency.DEDUPLICATED])
def test_a_hedge_starts_after_the_usual_deviation_on_another_worker(idempotency: Idempotency) -> None:
    dispatcher = make_dispatcher(3, load_ration=AMPLE_LOADS)
    function = make_function(request_class=hedged_class(idempotency))
    now = serve_in_sequence(dispatcher, function, 0.0, 40.0, 30)
    load_everywhere(dispatcher, function, now)
    request, (first,) = submit_one(dispatcher, function, now)
    delay_ms = dispatcher.parts.retry_budget.hedge_delay(function, first.instance.worker)
    assert 40 <= delay_ms < 60, "steady latencies have a small deviation"
    assert not decide_all(dispatcher, now + delay_ms - 1)
    (second,) = [d for d in decide_all(dispatcher, now + delay_ms + 1) if isinstance(d, Attempt)]
    assert second.request is request and second.instance.worker is not first.instance.worker
    dispatcher.on_attempt_finished(now + 90, second, AttemptResult(AttemptStatus.COMPLETED, True))
    # The decision to cancel an attempt is the attempt itself.
    assert [d for d in decide_all(dispatcher, now + 90) if isinstance(d, Attempt)] == [first] and first.cancelled


def test_no_hedge_without_permission_without_a_free_slot_or_without_budget() -> None:
    for request_class, has_free_slot, has_budget in (
        (make_request_class(), True, True),
        (hedged_class(), False, True),
        (hedged_class(), True, False),
    ):
        dispatcher = make_dispatcher(3, load_ration=AMPLE_LOADS)
        function = make_function(request_class=request_class)
        now = serve_in_sequence(dispatcher, function, 0.0, 40.0, 30)
        if has_free_slot:
            load_everywhere(dispatcher, function, now)
        if not has_budget:
            while dispatcher.parts.retry_budget.try_spend():
                pass
        _, (first,) = submit_one(dispatcher, function, now)
        others = [
            instance for instance in function.instances.values() if instance is not first.instance and instance.loaded
        ]
        for instance in () if has_free_slot else others:
            instance.loaded = 0
        assert not [d for d in decide_all(dispatcher, now + 150) if isinstance(d, Attempt)]
        assert not function.queue_depth, "a hedge is never queued"


def test_the_retry_budget_grows_with_completed_requests() -> None:
    dispatcher = make_dispatcher(2, load_ration=AMPLE_LOADS)
    retry_budget = dispatcher.parts.retry_budget
    tokens = 0
    while retry_budget.try_spend():
        tokens += 1
    assert 0 < tokens <= 100
    for _ in range(51):  # 50 deposits of 0.2 tokens, and one more because their sum is rounded
        retry_budget.deposit()
    earned_tokens = 0
    while retry_budget.try_spend():
        earned_tokens += 1
    assert earned_tokens == 10, "one token for five completed requests"


def test_retries_of_overdue_attempts_wait_for_the_retry_budget() -> None:
    """Guards against retrying all attempts at once when workers stop responding under load."""
    dispatcher = make_dispatcher(4, load_ration=AMPLE_LOADS)
    function = make_function(concurrency=8)
    now = serve_in_sequence(dispatcher, function, 0.0, 40.0, 20)
    load_everywhere(dispatcher, function, now)
    while dispatcher.parts.retry_budget.try_spend():
        pass
    requests = [submit_one(dispatcher, function, now, n) for n in range(6)]
    attempts = [attempt for _, started in requests for attempt in started]
    assert len(attempts) == 6
    now += 1500  # makes all attempts overdue
    dispatcher.on_tick(now)
    assert all(attempt.overdue for attempt in attempts) and not [
        d for d in decide_all(dispatcher, now) if isinstance(d, Attempt)
    ]
    for _ in range(11):  # two tokens, as ten deposits may add up to slightly less
        dispatcher.parts.retry_budget.deposit()
    now += 600  # past the ejection of the silent workers
    dispatcher.on_tick(now)
    assert len([d for d in decide_all(dispatcher, now) if isinstance(d, Attempt)]) == 2
    dispatcher.on_attempt_finished(now + 50, attempts[5], AttemptResult(AttemptStatus.COMPLETED, True))
    for _ in range(100):
        dispatcher.parts.retry_budget.deposit()
    dispatcher.on_tick(now + 100)
    retried = [d for d in decide_all(dispatcher, now + 100) if isinstance(d, Attempt) and not d.cancelled]
    assert 0 < len(retried) <= 4 and all(d.request is not attempts[5].request for d in retried), (
        "a finished request is not retried"
    )


def test_a_deferred_retry_does_not_cancel_an_attempt_whose_response_has_started() -> None:
    """Guards against cancelling a stream to a client because its attempt was overdue before the first part."""
    dispatcher = make_dispatcher(4, load_ration=AMPLE_LOADS)
    function = make_function(concurrency=8)
    now = serve_in_sequence(dispatcher, function, 0.0, 40.0, 20)
    load_everywhere(dispatcher, function, now)
    while dispatcher.parts.retry_budget.try_spend():
        pass
    _, (attempt,) = submit_one(dispatcher, function, now)
    now += 1500  # makes the attempt overdue
    dispatcher.on_tick(now)
    assert not any(isinstance(d, Attempt) for d in decide_all(dispatcher, now)) and attempt.overdue, (
        "no budget for a retry"
    )
    dispatcher.on_response_started(now + 1, attempt, now + 5000)
    for _ in range(11):
        dispatcher.parts.retry_budget.deposit()
    dispatcher.on_tick(now + 100)
    assert not attempt.cancelled and not decide_all(dispatcher, now + 100)


def test_latency_deviation_and_a_slow_worker_make_the_hedge_delay_longer() -> None:
    dispatcher = make_dispatcher(2, load_ration=AMPLE_LOADS)
    steady, spread, retry_budget = make_function("a"), make_function("b"), dispatcher.parts.retry_budget
    one, slow = dispatcher.workers
    for n in range(200):
        retry_budget.observe_latency(steady, one, 40.0)
        retry_budget.observe_latency(spread, one, 10.0 if n % 2 else 70.0)
    assert retry_budget.hedge_delay(spread, one) > 2 * retry_budget.hedge_delay(steady, one)
    for _ in range(50):
        retry_budget.observe_latency(spread, slow, 3 * spread.mean_latency_ms)
        retry_budget.observe_latency(spread, one, 0.3 * spread.mean_latency_ms)
    assert retry_budget.hedge_delay(spread, slow) == pytest.approx(
        2 * (spread.mean_latency_ms + 4 * spread.latency_deviation_ms), rel=0.2
    )
