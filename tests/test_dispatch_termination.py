"""Tests of requests that end without a response of a worker: their status, time and Retry-After."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import pytest
from helpers import (
    AMPLE_LOADS,
    complete,
    decide_all,
    load_and_serve_one,
    make_dispatcher,
    make_function,
    make_request_class,
    new_request,
    submit,
    tick,
)

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    Idempotency,
    LoadOrder,
    Request,
    Worker,
)
from kelptrail.dispatch.worker_delays import MAX_AGE_MS, WorkerDelays

# Mean numbers of attempts in flight at a worker, below and above the limit for a worker that counts as idle.
IDLE, BUSY = 0.0, 0.5
IN_TIME_MS, LATE_MS = 50.0, 600.0  # latencies


def test_a_request_that_cannot_meet_its_deadline_is_rejected_at_once() -> None:
    dispatcher, function = make_dispatcher(), make_function()
    load_and_serve_one(dispatcher, function)
    function.mean_latency_ms = 400.0
    (end,) = submit(dispatcher, function, 100.0, 1, 150.0)
    assert isinstance(end, Request) and end.final_status == "rejected"


def test_late_responses_shed_the_lowest_priority_first_and_responses_in_time_end_the_shedding() -> None:
    queues = make_dispatcher().parts.queues
    for n in range(60):
        queues.observe_worker_delay(make_function(f"f{n}"), True)
    low = sum(queues.should_shed(1.0, new_request(make_function(), 0.0)) for _ in range(200))
    high = sum(
        queues.should_shed(1.0, new_request(make_function(request_class=make_request_class(weight=8.0)), 0.0))
        for _ in range(200)
    )
    assert low > 190 > high > 0
    for _ in range(60):
        queues.observe_worker_delay(make_function(), False)
    assert not any(queues.should_shed(1.0, new_request(make_function(), 0.0)) for _ in range(200))


@pytest.mark.parametrize(
    ("refused", "completed", "mean_in_flight", "latency_ms", "sheds"),
    [
        # One worker refuses a few attempts, or two workers refuse one each.
        ([1], 2, BUSY, IN_TIME_MS, False),
        ([2], 4, BUSY, IN_TIME_MS, False),
        ([3], 6, BUSY, IN_TIME_MS, False),
        ([1, 1], 4, BUSY, IN_TIME_MS, False),
        # More refusals: attempts in time end the shedding only at idle workers.
        ([3, 1], 8, BUSY, IN_TIME_MS, True),
        ([2, 1], 6, BUSY, IN_TIME_MS, True),
        ([2, 2, 2, 2], 16, BUSY, IN_TIME_MS, True),
        ([2, 2, 2, 2], 16, IDLE, IN_TIME_MS, False),
        # Fewer attempts in time than make up for the refusals.
        ([1], 1, BUSY, IN_TIME_MS, True),
        ([2], 3, BUSY, IN_TIME_MS, True),
        ([2, 2, 2, 2], 8, IDLE, IN_TIME_MS, True),
        # Late attempts: at busy workers they neither cause nor end shedding.
        ([], 8, BUSY, LATE_MS, False),
        ([1], 8, BUSY, LATE_MS, True),
        ([], 8, IDLE, LATE_MS, True),
    ],
)
def test_refused_and_late_attempts_shed_requests_until_enough_others_are_in_time(
    refused: list[int], completed: int, mean_in_flight: float, latency_ms: float, sheds: bool
) -> None:
    """Idle workers refuse these numbers of attempts each, then other workers complete attempts."""
    dispatcher = make_dispatcher(workers=16, load_ration=AMPLE_LOADS)
    attempts = start_attempts_by_worker(dispatcher)
    for count in refused:
        for attempt in attempts.pop()[:count]:
            finish_attempt(dispatcher, attempt, IDLE, AttemptStatus.OUT_OF_CAPACITY, IN_TIME_MS)
    others = [attempt for worker_attempts in attempts for attempt in worker_attempts]
    for attempt in others[:completed]:
        finish_attempt(dispatcher, attempt, mean_in_flight, AttemptStatus.COMPLETED, latency_ms)
    assert (shed_count(dispatcher) > 0) is sheds


def test_delays_count_only_for_a_limited_time() -> None:
    delays = WorkerDelays()
    for n in range(3):
        delays.observe(0.0, Worker(f"w{n}"), delayed_or_refused=True)
    assert not delays.are_few(MAX_AGE_MS - 1)
    assert delays.are_few(MAX_AGE_MS)


def start_attempts_by_worker(dispatcher: Dispatcher) -> list[list[Attempt]]:
    """Start three attempts at each worker at 0 ms, all of different functions; return those of each worker."""
    for n in range(3 * len(dispatcher.workers)):
        start_attempt(dispatcher, new_request(make_function(f"f{n}"), 0.0), 0.0)
    attempts = [list(worker.attempts) for worker in dispatcher.workers]
    assert all(len(worker_attempts) == 3 for worker_attempts in attempts)
    return attempts


def finish_attempt(
    dispatcher: Dispatcher, attempt: Attempt, mean_in_flight: float, status: AttemptStatus, now: float
) -> None:
    """Finish an attempt, and with it its request, at a worker with this mean number of attempts in flight."""
    attempt.instance.worker.mean_in_flight = mean_in_flight
    dispatcher.on_attempt_finished(now, attempt, AttemptResult(status, request_done=True))


def shed_count(dispatcher: Dispatcher) -> int:
    """Return how many of 200 further requests would be shed."""
    requests = [new_request(make_function(), 0.0) for _ in range(200)]
    return sum(dispatcher.parts.queues.should_shed(1.0, request) for request in requests)


def test_a_deduplicated_request_that_may_have_run_is_rejected_only_with_a_valid_key() -> None:
    cases = ((True, 100.0, "rejected"), (True, 9000.0, "aborted"), (False, 100.0, "aborted"))
    for has_key, elapsed_ms, final_status in cases:
        dispatcher = make_dispatcher(workers=1)
        function = make_function(request_class=make_request_class(Idempotency.DEDUPLICATED))
        load_and_serve_one(dispatcher, function)
        (attempt,) = submit(dispatcher, function, 100.0, 1)
        attempt.request.has_idempotency_key = has_key
        assert dispatcher.parts.safety.finish(100.0 + elapsed_ms, attempt.request).final_status == final_status


def test_a_retry_after_beyond_the_deduplication_window_makes_no_rejection() -> None:
    """A client that retries after the given time must find its request within the deduplication window."""
    dispatcher = make_dispatcher(workers=1, retry_after_ms=500.0)
    function = make_function(request_class=make_request_class(Idempotency.DEDUPLICATED))
    load_and_serve_one(dispatcher, function)
    (attempt,) = submit(dispatcher, function, 100.0, 1)
    function.load_ms = 1000.0
    # The deduplication window is 5 s, Retry-After 0.5 s.
    within_window, beyond_window = 100.0 + 5000.0 - 600.0, 100.0 + 5000.0 - 400.0
    assert dispatcher.terminate(within_window, attempt.request).final_status == "rejected"
    attempt.request.final_status = None
    assert dispatcher.terminate(beyond_window, attempt.request).final_status == "aborted"


def start_attempt(dispatcher: Dispatcher, request: Request, now: float) -> Attempt:
    """Start an attempt of the request; load an instance first if there is none."""
    dispatcher.on_request(now, request)
    decisions = decide_all(dispatcher, now)
    for order in (d for d in decisions if isinstance(d, LoadOrder)):
        dispatcher.on_load_report(now, order, AttemptStatus.COMPLETED, order.count)
    (attempt,) = (d for d in [*decisions, *decide_all(dispatcher, now)] if isinstance(d, Attempt))
    return attempt


def answer(dispatcher: Dispatcher, attempt: Attempt, status: AttemptStatus, now: float) -> None:
    dispatcher.on_attempt_finished(now, attempt, AttemptResult(status, False))


class Termination(NamedTuple):
    """The expected result of a scenario: the requests that end at `now`, and their status."""

    now: float
    requests: list[Request]
    final_status: str


def past_the_queue_limit(dispatcher: Dispatcher) -> Termination:
    requests = [new_request(make_function("f", 1), 0.0, n) for n in range(30)]
    for request in requests:
        request.function = requests[0].function
        dispatcher.on_request(0.0, request)
    return Termination(0.0, requests[4:], "rejected")


def too_little_time(dispatcher: Dispatcher) -> Termination:
    function = make_function()
    complete(dispatcher, start_attempt(dispatcher, new_request(function, 0.0), 0.0), 400.0)
    request = new_request(function, 500.0, 1, 150.0)
    dispatcher.on_request(500.0, request)
    return Termination(500.0, [request], "rejected")


def out_of_attempts(dispatcher: Dispatcher) -> Termination:
    dispatcher.parts.safety._max_attempts = 1
    request = new_request(make_function(), 0.0)
    answer(dispatcher, start_attempt(dispatcher, request, 0.0), AttemptStatus.OUT_OF_CAPACITY, 40.0)
    return Termination(40.0, [request], "rejected")


def at_most_once_lost(dispatcher: Dispatcher) -> Termination:
    request = new_request(make_function(request_class=make_request_class(Idempotency.AT_MOST_ONCE)), 0.0)
    answer(dispatcher, start_attempt(dispatcher, request, 0.0), AttemptStatus.CONNECTION_LOST, 40.0)
    return Termination(40.0, [request], "aborted")


def past_the_deduplication_window(dispatcher: Dispatcher) -> Termination:
    request = new_request(make_function(request_class=make_request_class(Idempotency.DEDUPLICATED)), 0.0, 0, 9000.0)
    answer(dispatcher, start_attempt(dispatcher, request, 0.0), AttemptStatus.CONNECTION_LOST, 5100.0)
    return Termination(5100.0, [request], "aborted")


def too_late_to_retry(dispatcher: Dispatcher) -> Termination:
    function = make_function()
    complete(dispatcher, start_attempt(dispatcher, new_request(function, 0.0), 0.0), 400.0)
    request = new_request(function, 500.0, 1, 900.0)
    answer(dispatcher, start_attempt(dispatcher, request, 500.0), AttemptStatus.OUT_OF_CAPACITY, 1250.0)
    return Termination(1250.0, [request], "rejected")


def function_not_loadable(dispatcher: Dispatcher) -> Termination:
    requests = [new_request(make_function("bogus"), 0.0, n) for n in range(4)]
    for request in requests:
        request.function = requests[0].function
        dispatcher.on_request(0.0, request)
    for now in (0.0, 30.0):
        (order,) = (d for d in decide_all(dispatcher, tick(dispatcher, now)) if isinstance(d, LoadOrder))
        dispatcher.on_load_report(now + 1, order, AttemptStatus.ERROR, 0)
    return Termination(31.0, requests, "rejected")


def load_shed(dispatcher: Dispatcher) -> Termination:
    dispatcher.parts.queues._admitted_share = 0.05
    requests = [new_request(make_function(), 0.0, n) for n in range(2)]
    for request in requests:
        dispatcher.on_request(0.0, request)
    return Termination(0.0, requests, "rejected")


def deadline_reached(dispatcher: Dispatcher) -> Termination:
    request = new_request(make_function(request_class=make_request_class(Idempotency.AT_MOST_ONCE)), 0.0)
    start_attempt(dispatcher, request, 0.0)
    return Termination(2995.0, [request], "aborted")


def too_little_time_in_the_queue(dispatcher: Dispatcher) -> Termination:
    function = make_function(concurrency=1)
    complete(dispatcher, start_attempt(dispatcher, new_request(function, 0.0), 0.0), 400.0)
    start_attempt(dispatcher, new_request(function, 500.0, 1), 500.0)
    for worker in dispatcher.workers:
        dispatcher.parts.outliers.eject(500.0, worker.outlier_state)
    behind = new_request(function, 500.0, 3, 800.0)
    for request in (new_request(function, 500.0, 2), behind):
        dispatcher.on_request(500.0, request)
    decide_all(dispatcher, 500.0)
    # Half of the mean latency is left to this request, and the one ahead of it may still wait.
    return Termination(1100.0, [behind], "rejected")


def deduplication_window_ends_in_the_queue(dispatcher: Dispatcher) -> Termination:
    function = make_function(concurrency=1, request_class=make_request_class(Idempotency.DEDUPLICATED))
    request = new_request(function, 0.0, 0, 9000.0)
    attempt = start_attempt(dispatcher, request, 0.0)
    for worker in dispatcher.workers:
        worker.outlier_state.ejected_until = 8000.0
    answer(dispatcher, attempt, AttemptStatus.CONNECTION_LOST, 100.0)
    decide_all(dispatcher, 100.0)
    function.queue.appendleft(new_request(function, 100.0, 1, 9000.0))
    return Termination(4980.0, [request], "aborted")


SCENARIOS = [
    past_the_queue_limit,
    too_little_time,
    out_of_attempts,
    at_most_once_lost,
    past_the_deduplication_window,
    too_late_to_retry,
    function_not_loadable,
    load_shed,
    deadline_reached,
    too_little_time_in_the_queue,
    deduplication_window_ends_in_the_queue,
]


@pytest.mark.parametrize("max_retry_after_ms", [500.0, 0.0])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_requests_that_cannot_complete_end_at_once_with_retry_after_where_allowed(
    scenario: Callable[[Dispatcher], Termination], max_retry_after_ms: float
) -> None:
    dispatcher = make_dispatcher(retry_after_ms=max_retry_after_ms)
    now, requests, final_status = scenario(dispatcher)
    ended = [d for d in decide_all(dispatcher, now) if isinstance(d, Request)]
    assert sorted(a.id for a in ended) == sorted(a.id for a in requests)
    for request in ended:
        assert request.final_status == final_status
        assert request.retry_after_ms == (max_retry_after_ms if final_status == "rejected" else 0.0)
