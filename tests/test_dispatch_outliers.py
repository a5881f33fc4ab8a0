"""Tests of outlier detection: which failures eject a worker or suspend an instance, and how a worker is probed."""

from __future__ import annotations

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
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    Decision,
    Idempotency,
    LoadOrder,
)


def test_requests_at_a_hung_worker_are_retried_at_another_unless_at_most_once() -> None:
    for idempotency, is_retried in (
        (Idempotency.IDEMPOTENT, True),
        (Idempotency.DEDUPLICATED, True),
        (Idempotency.AT_MOST_ONCE, False),
    ):
        dispatcher, function = (
            make_dispatcher(),
            make_function(concurrency=4, request_class=make_request_class(idempotency)),
        )
        hung = load_and_serve_one(dispatcher, function)
        for n in range(20):
            (attempt,) = submit(dispatcher, function, 100.0 + 60 * n, 1)
            complete(dispatcher, attempt, 150.0 + 60 * n)
        (attempt,) = submit(dispatcher, function, 2000.0, 1, 5000.0)  # with a timeout of 5 s
        decisions = []
        for step in range(60):
            dispatcher.on_tick(2000.0 + 50 * step)
            decisions += decide_all(dispatcher, 2000.0 + 50 * step)
        # A `LogMessage` is a string.
        assert any(isinstance(d, str) and hung.id in d for d in decisions), "the log names the hung worker"
        # A retry needs an instance at another worker.
        orders = [d for d in decisions if isinstance(d, LoadOrder) and d.instance.worker is not hung]
        assert bool(orders) is is_retried
        if is_retried:
            dispatcher.on_load_report(5000.0, orders[0], AttemptStatus.COMPLETED, 1)
            assert [d.request for d in decide_all(dispatcher, 5000.0) if isinstance(d, Attempt)] == [attempt.request]


def test_a_worker_that_fails_fast_is_ejected_for_its_class_then_probed_with_one_attempt() -> None:
    dispatcher, function = make_dispatcher(workers=1), make_function(concurrency=4)
    worker, now = load_and_serve_one(dispatcher, function), 100.0
    for attempt in submit(dispatcher, function, now, 4):
        dispatcher.on_attempt_finished(now + 1, attempt, AttemptResult(AttemptStatus.ERROR, False))
    assert [d for d in decide_all(dispatcher, now + 2) if isinstance(d, Attempt)] == [], (
        "no attempt starts at the ejected worker"
    )
    decisions = [d for step in range(15) for d in decide_all(dispatcher, tick(dispatcher, now + 50 * step))]
    assert (
        len([d for d in decisions if isinstance(d, Attempt)]) == 1
        and worker.outlier_state_by_class[function.request_class].ejection_ms > 0
    )


def test_a_rejected_attempt_suspends_its_instance_and_not_the_worker() -> None:
    dispatcher, function, other = make_dispatcher(workers=1), make_function("a"), make_function("b")
    worker = load_and_serve_one(dispatcher, function)
    load_and_serve_one(dispatcher, other, 60.0)
    (attempt,) = submit(dispatcher, function, 200.0, 1)
    dispatcher.on_attempt_finished(201.0, attempt, AttemptResult(AttemptStatus.OUT_OF_CAPACITY, False))
    assert not [d for d in decide_all(dispatcher, 201.0) if isinstance(d, Attempt)]
    assert [d.instance.worker for d in submit(dispatcher, other, 202.0, 1) if isinstance(d, Attempt)] == [worker]


def test_single_lost_connections_do_not_eject_a_worker_and_four_in_a_row_do() -> None:
    dispatcher, function = make_dispatcher(workers=1), make_function(concurrency=4)
    worker = load_and_serve_one(dispatcher, function)
    for n in range(12):  # every third attempt loses its connection, the others are answered
        (attempt,) = submit(dispatcher, function, 100.0 + 50 * n, 1)
        if n % 3 == 2:
            dispatcher.on_attempt_finished(110.0 + 50 * n, attempt, AttemptResult(AttemptStatus.CONNECTION_LOST, False))
            (retry,) = (d for d in decide_all(dispatcher, 110.0 + 50 * n) if isinstance(d, Attempt))
            assert retry.request is attempt.request
            attempt = retry
        complete(dispatcher, attempt, 120.0 + 50 * n)
    assert not worker.outlier_state.ejection_ms
    for n, attempt in enumerate(submit(dispatcher, function, 1000.0, 4)):
        assert not worker.outlier_state.ejection_ms or n > 1  # the first of the four does not eject yet
        dispatcher.on_attempt_finished(1001.0 + n, attempt, AttemptResult(AttemptStatus.CONNECTION_LOST, False))
    assert worker.outlier_state.ejected_until > 1004.0 and function.instances[worker].loaded == 1
    assert not [d for d in decide_all(dispatcher, 1004.0) if isinstance(d, Attempt)]


def test_a_worker_that_fails_one_class_serves_the_others_and_a_lost_response_is_retried() -> None:
    dispatcher, failing, working = (
        make_dispatcher(workers=1),
        make_function("a", 4),
        make_function("b", 4, make_request_class(Idempotency.AT_MOST_ONCE)),
    )
    worker = load_and_serve_one(dispatcher, failing)
    load_and_serve_one(dispatcher, working, 60.0)
    for attempt in submit(dispatcher, failing, 200.0, 3):
        dispatcher.on_attempt_finished(201.0, attempt, AttemptResult(AttemptStatus.ERROR, True))
    assert not dispatcher.parts.outliers.usable(202.0, worker, failing.request_class)
    (served, *_) = [d for d in submit(dispatcher, working, 202.0, 1) if isinstance(d, Attempt)]
    assert served.instance.worker is worker
    dispatcher, function = make_dispatcher(workers=2, load_ration=AMPLE_LOADS), make_function(concurrency=4)
    load_and_serve_one(dispatcher, function)
    (lost,) = submit(dispatcher, function, 100.0, 1)  # its response never arrives
    decisions: list[Decision] = []
    for n in range(10):  # the worker still answers other requests
        decisions += submit(dispatcher, function, 200.0 + 60 * n, 1)
        for attempt in [
            d for d in decisions if isinstance(d, Attempt) and d.request is not lost.request and d.status is None
        ]:
            complete(dispatcher, attempt, 240.0 + 60 * n)
        decisions += decide_all(dispatcher, tick(dispatcher, 245.0 + 60 * n))
    # The request was sent again, or is queued for it.
    assert lost.overdue and len(lost.request.attempts) + lost.request.queued > 1


def test_one_slow_attempt_does_not_eject_a_worker_and_three_missing_responses_do() -> None:
    dispatcher, function = make_dispatcher(1, load_ration=AMPLE_LOADS), make_function(concurrency=4)
    worker = dispatcher.workers[0]
    requests = [new_request(function, 0.0, n, 9000.0) for n in range(3)]
    for request in requests:
        dispatcher.on_request(0.0, request)
    (order,) = (d for d in decide_all(dispatcher, 0.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(0.0, order, AttemptStatus.COMPLETED, 1)
    attempts = [d for d in decide_all(dispatcher, 0.0) if isinstance(d, Attempt)]
    dispatcher.on_attempt_finished(100.0, attempts[0], AttemptResult(AttemptStatus.COMPLETED, True, warm=True))
    dispatcher.on_attempt_finished(101.0, attempts[1], AttemptResult(AttemptStatus.COMPLETED, True, warm=True))
    dispatcher.on_tick(600.0)
    assert not worker.outlier_state.ejection_ms, (
        "one attempt that exceeds LATE_FACTOR times its usual latency does not eject"
    )
    dispatcher.on_tick(1400.0)
    assert attempts[2].overdue and not worker.outlier_state.ejection_ms, "one missing response does not eject"
    for n in (8, 9):
        dispatcher.on_request(1400.0, new_request(function, 1400.0, n, 9000.0))
    assert len([d for d in decide_all(dispatcher, 1400.0) if isinstance(d, Attempt)]) == 2
    dispatcher.on_tick(2900.0)
    assert worker.outlier_state.ejection_ms, "two more missing responses, and no other response since, eject the worker"


def test_a_load_at_an_ejected_worker_is_not_waited_for_and_load_times_are_measured() -> None:
    dispatcher, function = make_dispatcher(3, load_ration=AMPLE_LOADS), make_function()
    dispatcher.on_request(0.0, new_request(function, 0.0))
    (order,) = (d for d in decide_all(dispatcher, 0.0) if isinstance(d, LoadOrder))
    dispatcher.parts.outliers.eject(100.0, order.instance.worker.outlier_state)
    dispatcher.on_tick(200.0)
    (other,) = (d for d in decide_all(dispatcher, 200.0) if isinstance(d, LoadOrder))
    assert other.instance.worker is not order.instance.worker
    dispatcher.on_load_report(800.0, other, AttemptStatus.COMPLETED, 1)
    # The estimate has moved from the default of 1000 ms towards the 600 ms of this load.
    assert 600.0 < function.load_ms < 1000.0
