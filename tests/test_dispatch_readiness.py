"""Tests of readiness while the endpoint list is unreachable, readiness questions, worker delays and load reports."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import AMPLE_LOADS, decide_all, load_and_serve_one, make_dispatcher, make_function, make_request_class
from helpers import new_request as make_request

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    FinalStatus,
    Function,
    Idempotency,
    LoadOrder,
    ProbeKind,
    ReadinessQuestion,
    Request,
    TerminationReason,
    Worker,
)
from kelptrail.dispatch.placement import LOAD_REPORT_AGE_MS
from kelptrail.dispatch.readiness import ANSWER_TIMEOUT_MS, EARLY_SHARE, ReadinessLimits
from kelptrail.dispatch.readiness_questions import IGNORED_CHECK_MS, MAX_CREDIT, UNPROVEN_PAUSE_MS
from kelptrail.dispatch.worker_delays import WorkerDelays

# A change of the list counts as notified NOTIFICATION_MS after the last confirmation of the list, or
# BROKEN_NOTIFICATION_MS after the connection to it broke.  New work may start for GRACE_MS after that.
NOTIFICATION_MS, BROKEN_NOTIFICATION_MS, GRACE_MS = 4000.0, 2000.0, 500.0
ALL_PROBES = (ProbeKind.HEALTH_CHECK, ProbeKind.LOAD_QUERY)
STALE_AT = NOTIFICATION_MS + GRACE_MS  # latest time at which a list confirmed at time 0 expires
IGNORING_COUNT = 4  # workers that do not answer health checks, of the eight in the test that uses it
UP, DOWN, NO_ANSWER = AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.SILENT


def make_dispatcher_with_list(probe_kinds: tuple[ProbeKind, ...] = ALL_PROBES, **settings: Any) -> Dispatcher:
    """Return a dispatcher whose list was confirmed at time 0, and that may send probes of `probe_kinds`."""
    limits = ReadinessLimits(NOTIFICATION_MS, BROKEN_NOTIFICATION_MS, GRACE_MS, probe_kinds)
    dispatcher = make_dispatcher(readiness=limits, load_ration=AMPLE_LOADS, **settings)
    dispatcher.on_list_confirmed(0.0)
    return dispatcher


def request_at(dispatcher: Dispatcher, now: float, function: Function, n: int = 1) -> Request:
    request = make_request(function, now, n)
    dispatcher.on_request(now, request)
    return request


def send_question(dispatcher: Dispatcher, now: float, function: Function, n: int = 1) -> ReadinessQuestion:
    """Submit a request and return the question that the dispatcher sends for it."""
    request_at(dispatcher, now, function, n)
    (question,) = decide_all(dispatcher, now)
    assert isinstance(question, ReadinessQuestion)
    return question


def answer_probes(
    dispatcher: Dispatcher, now: float, question: ReadinessQuestion, *statuses: AttemptStatus, loaded: int = 0
) -> None:
    for probe, status in zip(question.probes, statuses, strict=True):
        dispatcher.on_probe_finished(now, probe, status, loaded)


def complete(dispatcher: Dispatcher, now: float, attempt: Attempt) -> None:
    dispatcher.on_attempt_finished(now, attempt, AttemptResult(AttemptStatus.COMPLETED, True, warm=True))


def test_a_list_is_valid_until_the_notification_time_and_the_grace_time_have_passed() -> None:
    dispatcher = make_dispatcher_with_list()
    worker, readiness = dispatcher.workers[0], dispatcher.parts.safety.readiness
    assert readiness.is_known(STALE_AT * (1 - EARLY_SHARE), worker)
    assert not readiness.is_known(STALE_AT, worker)
    dispatcher.on_list_confirmed(STALE_AT)
    assert readiness.is_known(STALE_AT, worker)


def test_a_list_expires_earlier_if_its_connection_breaks_and_an_initial_list_expires_after_the_grace_time() -> None:
    dispatcher = make_dispatcher_with_list()
    worker, readiness = dispatcher.workers[0], dispatcher.parts.safety.readiness
    dispatcher.on_list_lost(100.0)
    dispatcher.on_list_lost(1500.0)  # only the first break counts
    assert readiness.is_known(100.0 + BROKEN_NOTIFICATION_MS + GRACE_MS - 1, worker)
    assert not readiness.is_known(100.0 + BROKEN_NOTIFICATION_MS + GRACE_MS, worker)
    dispatcher.on_initial_list(9000.0)
    assert readiness.is_known(9000.0 + GRACE_MS - 1, worker) and not readiness.is_known(9000.0 + GRACE_MS, worker)


def test_processes_stop_relying_on_their_lists_at_different_times() -> None:
    ends = {make_dispatcher_with_list(seed=seed).parts.safety.readiness.list_expires_at for seed in range(20)}
    assert len(ends) == 20 and max(ends) <= STALE_AT and min(ends) >= STALE_AT - EARLY_SHARE * NOTIFICATION_MS


def test_a_request_in_an_outage_sends_a_question_before_its_load_order() -> None:
    dispatcher = make_dispatcher_with_list()
    question = send_question(dispatcher, STALE_AT, make_function())
    assert [probe.kind for probe in question.probes] == list(ALL_PROBES)
    answer_probes(dispatcher, STALE_AT + 5, question, UP, UP)
    (order,) = decide_all(dispatcher, STALE_AT + 5)
    assert isinstance(order, LoadOrder) and order.instance.worker is question.instance.worker


def test_an_instance_that_the_load_query_found_gets_the_attempt_without_a_load_order() -> None:
    dispatcher = make_dispatcher_with_list()
    question = send_question(dispatcher, STALE_AT, make_function())
    answer_probes(dispatcher, STALE_AT + 5, question, UP, UP, loaded=1)
    (attempt,) = decide_all(dispatcher, STALE_AT + 5)
    assert isinstance(attempt, Attempt) and attempt.instance.worker is question.instance.worker


@pytest.mark.parametrize("statuses", [(DOWN, UP), (UP, DOWN), (DOWN, DOWN), (NO_ANSWER, UP), (UP, NO_ANSWER)])
@pytest.mark.parametrize("reverse", [False, True])
def test_a_proof_needs_positive_answers_to_both_probes_in_any_order(
    statuses: tuple[AttemptStatus, ...], reverse: bool
) -> None:
    """A draining worker was observed to answer load queries as a ready one does, and health checks with DOWN."""
    dispatcher = make_dispatcher_with_list(workers=1)
    question = send_question(dispatcher, STALE_AT, make_function())
    answers = list(zip(question.probes, statuses, strict=True))
    for probe, status in reversed(answers) if reverse else answers:
        dispatcher.on_probe_finished(STALE_AT + 5, probe, status, 1)
    assert not dispatcher.parts.safety.readiness.is_known(STALE_AT + 5, dispatcher.workers[0])
    assert decide_all(dispatcher, STALE_AT + 5) == []


def test_a_proof_is_dated_from_its_question_and_checked_again_before_the_first_byte_is_sent() -> None:
    dispatcher = make_dispatcher_with_list(workers=1)
    question = send_question(dispatcher, STALE_AT, make_function())
    question.write_started_at = STALE_AT + 100
    answer_probes(dispatcher, STALE_AT + 400, question, UP, UP, loaded=1)
    (attempt,) = decide_all(dispatcher, STALE_AT + 400)
    assert isinstance(attempt, Attempt)
    assert dispatcher.may_start(STALE_AT + 100 + GRACE_MS - 1, attempt)
    assert not dispatcher.may_start(STALE_AT + 100 + GRACE_MS, attempt)


@pytest.mark.parametrize(
    ("idempotency", "status", "proves"),
    [
        (Idempotency.IDEMPOTENT, AttemptStatus.COMPLETED, True),
        (Idempotency.AT_MOST_ONCE, AttemptStatus.COMPLETED, True),
        (Idempotency.DEDUPLICATED, AttemptStatus.COMPLETED, False),  # the response may be that of an earlier attempt
        (Idempotency.IDEMPOTENT, AttemptStatus.OUT_OF_CAPACITY, False),
        (Idempotency.IDEMPOTENT, AttemptStatus.NOT_LOADED, False),
        (Idempotency.IDEMPOTENT, AttemptStatus.ERROR, False),
    ],
)
def test_which_attempt_results_prove_readiness(idempotency: Idempotency, status: AttemptStatus, proves: bool) -> None:
    dispatcher = make_dispatcher_with_list(workers=1)
    function = make_function(request_class=make_request_class(idempotency))
    load_and_serve_one(dispatcher, function)
    request_at(dispatcher, 3000.0, function)
    (attempt,) = decide_all(dispatcher, 3000.0)
    assert isinstance(attempt, Attempt)
    attempt.write_started_at = STALE_AT
    dispatcher.on_attempt_finished(STALE_AT + 100, attempt, AttemptResult(status, status is UP, warm=True))
    assert dispatcher.parts.safety.readiness.is_known(STALE_AT + 100, dispatcher.workers[0]) is proves


def test_the_number_of_questions_is_limited_by_the_number_of_requests() -> None:
    dispatcher = make_dispatcher_with_list(workers=200)
    questions_sent = 0
    for n in range(100):
        now = STALE_AT + 20 * n
        request_at(dispatcher, now, make_function(f"f{n}"), n)
        for decision in decide_all(dispatcher, now):
            questions_sent += isinstance(decision, ReadinessQuestion)
    assert questions_sent <= 100 + MAX_CREDIT


def test_a_worker_that_did_not_prove_its_readiness_is_skipped_for_a_time() -> None:
    dispatcher = make_dispatcher_with_list(workers=2)
    first = send_question(dispatcher, STALE_AT, make_function())
    answer_probes(dispatcher, STALE_AT + 5, first, DOWN, UP)
    (second,) = decide_all(dispatcher, STALE_AT + 5)
    assert isinstance(second, ReadinessQuestion) and second.instance.worker is not first.instance.worker
    answer_probes(dispatcher, STALE_AT + 10, second, DOWN, UP)
    assert decide_all(dispatcher, STALE_AT + 10) == []
    next_question_at = STALE_AT + 10 + UNPROVEN_PAUSE_MS
    dispatcher.on_tick(next_question_at)
    (third,) = decide_all(dispatcher, next_question_at)
    assert isinstance(third, ReadinessQuestion)


def test_a_worker_that_does_not_answer_a_question_does_not_delay_requests_at_others() -> None:
    dispatcher = make_dispatcher_with_list(workers=2)
    first = send_question(dispatcher, STALE_AT, make_function())
    dispatcher.on_tick(STALE_AT + ANSWER_TIMEOUT_MS)
    (second,) = decide_all(dispatcher, STALE_AT + ANSWER_TIMEOUT_MS)
    assert isinstance(second, ReadinessQuestion) and second.instance.worker is not first.instance.worker


def ignore_health_checks(dispatcher: Dispatcher) -> list[ReadinessQuestion]:
    """Let every worker answer its load query and ignore its health check; return all questions sent."""
    questions = []
    for n in range(len(dispatcher.workers)):
        new_questions = [
            decision for decision in decide_all(dispatcher, STALE_AT) if isinstance(decision, ReadinessQuestion)
        ]
        if not new_questions:
            request_at(dispatcher, STALE_AT, make_function(f"f{n}"), n)
            new_questions = [
                decision for decision in decide_all(dispatcher, STALE_AT) if isinstance(decision, ReadinessQuestion)
            ]
        for question in new_questions:
            dispatcher.on_probe_finished(STALE_AT, question.probes[1], UP, 1)
        questions += new_questions
    dispatcher.on_tick(STALE_AT + IGNORED_CHECK_MS)
    return questions


def test_a_fleet_that_ignores_health_checks_proves_its_readiness_by_load_queries() -> None:
    dispatcher = make_dispatcher_with_list(workers=1)
    (question,) = ignore_health_checks(dispatcher)
    worker = question.instance.worker
    assert dispatcher.parts.safety.readiness.is_known(STALE_AT + 100, worker)
    dispatcher.on_probe_finished(STALE_AT + 200, question.probes[0], DOWN)
    assert not dispatcher.parts.safety.readiness.is_known(STALE_AT + 200, worker), (
        "the worker does answer health checks"
    )


def test_load_queries_are_no_proof_if_only_some_workers_ignore_health_checks() -> None:
    dispatcher = make_dispatcher_with_list(workers=8)
    ignoring: set[Worker] = set()
    for n in range(20):
        request_at(dispatcher, STALE_AT, make_function(f"f{n}"), n)
        for question in decide_all(dispatcher, STALE_AT):
            assert isinstance(question, ReadinessQuestion)
            if len(ignoring) < IGNORING_COUNT:
                ignoring.add(question.instance.worker)
                dispatcher.on_probe_finished(STALE_AT, question.probes[1], UP, 1)
    assert len(ignoring) == IGNORING_COUNT
    dispatcher.on_tick(STALE_AT + IGNORED_CHECK_MS)
    readiness = dispatcher.parts.safety.readiness
    assert not any(readiness.is_known(STALE_AT + IGNORED_CHECK_MS, worker) for worker in dispatcher.workers)


def test_load_queries_are_no_proof_once_a_worker_has_answered_a_health_check() -> None:
    dispatcher = make_dispatcher_with_list(workers=3)
    answer_probes(dispatcher, STALE_AT, send_question(dispatcher, STALE_AT, make_function("first")), DOWN, UP)
    decide_all(dispatcher, STALE_AT)
    for worker in dispatcher.workers:
        if worker.readiness_question is not None:
            dispatcher.on_probe_finished(STALE_AT, worker.readiness_question.probes[1], UP, 1)
    dispatcher.on_tick(STALE_AT + 100)
    assert not any(dispatcher.parts.safety.readiness.is_known(STALE_AT + 100, worker) for worker in dispatcher.workers)


def test_without_probes_requests_are_rejected_at_once_unless_responses_prove_readiness() -> None:
    dispatcher = make_dispatcher_with_list((), workers=1)
    function = make_function()
    load_and_serve_one(dispatcher, function)
    request_at(dispatcher, 4000.0, function)
    (attempt,) = decide_all(dispatcher, 4000.0)
    assert isinstance(attempt, Attempt)
    attempt.write_started_at = 4400.0
    complete(dispatcher, 4450.0, attempt)
    request_at(dispatcher, STALE_AT, function, 2)
    assert [type(decision) for decision in decide_all(dispatcher, STALE_AT)] == [Attempt]
    rejected = request_at(dispatcher, 4400.0 + GRACE_MS, function, 3)
    assert decide_all(dispatcher, 4400.0 + GRACE_MS) == [rejected]
    assert rejected.final_status is FinalStatus.REJECTED and rejected.reason is TerminationReason.READINESS_UNKNOWN


def test_a_request_does_not_wait_for_an_instance_at_a_worker_that_cannot_prove_its_readiness() -> None:
    """Guards against requests that wait until their deadline although another worker is ready.

    The only instance of the function is at a worker whose readiness is not known, and no probe is allowed.
    """
    dispatcher = make_dispatcher_with_list((), workers=2)
    function, now = make_function(), STALE_AT + 50
    unproven = load_and_serve_one(dispatcher, function)
    functions_by_worker = {
        load_and_serve_one(dispatcher, other, 1.0 + n): other
        for n, other in enumerate(make_function(f"other-{n}") for n in range(20))
    }
    (ready,) = functions_by_worker.keys() - {unproven}
    request_at(dispatcher, 4000.0, functions_by_worker[ready])
    (attempt,) = decide_all(dispatcher, 4000.0)
    assert isinstance(attempt, Attempt)
    attempt.write_started_at = 4400.0
    complete(dispatcher, 4450.0, attempt)
    readiness = dispatcher.parts.safety.readiness
    assert readiness.is_known(now + 200, ready) and not readiness.is_known(now, unproven)
    request_at(dispatcher, now, function, 2)
    decisions = [decision for elapsed_ms in range(0, 201, 10) for decision in decide_all(dispatcher, now + elapsed_ms)]
    assert decisions, "the dispatcher makes a decision within 200 ms"


@pytest.mark.parametrize(
    ("probe_kinds", "confirmed_at", "proven_at", "requests", "expected"),
    [
        (ALL_PROBES, 0.0, 0.0, 2, [ReadinessQuestion]),
        ((ProbeKind.LOAD_QUERY,), 0.0, 0.0, 2, [ReadinessQuestion]),
        ((), STALE_AT, 0.0, 4, [Attempt, Attempt]),
        ((), 0.0, STALE_AT, 4, [Attempt, Attempt]),
    ],
    ids=["all probes allowed", "load query allowed", "fresh list", "worker proved its readiness"],
)
def test_no_load_order_elsewhere_if_the_slots_of_a_worker_that_is_ready_or_may_be_queried_suffice(
    probe_kinds: tuple[ProbeKind, ...], confirmed_at: float, proven_at: float, requests: int, expected: list[type]
) -> None:
    """Guards against load orders at another worker for a queue that the two slots of an instance can serve.

    The number of requests that stay queued is two, the number of slots; one more would need another instance.
    """
    dispatcher = make_dispatcher_with_list(probe_kinds, workers=2)
    function, now = make_function(), STALE_AT + 50
    worker = load_and_serve_one(dispatcher, function)
    (other,) = set(dispatcher.workers) - {worker}
    dispatcher.on_list_confirmed(confirmed_at)
    worker.ready_proven_at, other.ready_proven_at = proven_at, STALE_AT
    assert dispatcher.parts.safety.readiness.is_known(now + 200, other)
    for n in range(requests):
        request_at(dispatcher, now, function, n)
    decisions = []
    for elapsed_ms in range(0, 201, 10):
        dispatcher.on_tick(now + elapsed_ms)
        decisions += decide_all(dispatcher, now + elapsed_ms)
    assert [type(decision) for decision in decisions] == expected
    assert function.queue_depth == 2 and list(function.instances) == [worker]


def test_a_worker_whose_connection_was_lost_in_an_outage_counts_as_restarted() -> None:
    dispatcher = make_dispatcher_with_list(workers=1)
    function = make_function()
    worker = load_and_serve_one(dispatcher, function)
    request_at(dispatcher, 3900.0, function)
    (attempt,) = decide_all(dispatcher, 3900.0)
    assert isinstance(attempt, Attempt)
    result = AttemptResult(AttemptStatus.CONNECTION_LOST, False)
    dispatcher.on_attempt_finished(3950.0, attempt, result)
    assert worker.instances[function].loaded == 0
    assert dispatcher.parts.safety.capacity_factor(3950.0, worker) < 1
    dispatcher.on_list_confirmed(STALE_AT)
    assert dispatcher.parts.safety.capacity_factor(STALE_AT, worker) == 1


def test_a_lost_connection_while_the_list_is_reachable_leaves_the_worker_warm() -> None:
    dispatcher = make_dispatcher_with_list(workers=1)
    function = make_function()
    worker = load_and_serve_one(dispatcher, function)
    request_at(dispatcher, 500.0, function)
    (attempt,) = decide_all(dispatcher, 500.0)
    assert isinstance(attempt, Attempt)
    dispatcher.on_attempt_finished(600.0, attempt, AttemptResult(AttemptStatus.CONNECTION_LOST, False))
    assert worker.instances[function].loaded == 1
    assert dispatcher.parts.safety.capacity_factor(600.0, worker) == 1


def test_a_deduplicated_request_is_not_retried_at_a_worker_that_may_have_restarted() -> None:
    dispatcher = make_dispatcher_with_list(workers=1)
    function = make_function(request_class=make_request_class(Idempotency.DEDUPLICATED))
    worker = load_and_serve_one(dispatcher, function)
    request = request_at(dispatcher, 3900.0, function)
    (attempt,) = decide_all(dispatcher, 3900.0)
    assert isinstance(attempt, Attempt)
    dispatcher.on_attempt_finished(3950.0, attempt, AttemptResult(AttemptStatus.CONNECTION_LOST, False))
    worker.ready_proven_at = 4000.0
    assert not dispatcher.parts.safety.may_attempt(4000.0, request, worker)
    dispatcher.on_list_confirmed(STALE_AT)
    assert dispatcher.parts.safety.may_attempt(STALE_AT, request, worker)


def test_held_queues_resume_when_the_list_is_confirmed() -> None:
    dispatcher = make_dispatcher_with_list(workers=1)
    answer_probes(dispatcher, STALE_AT + 5, send_question(dispatcher, STALE_AT, make_function()), DOWN, DOWN)
    assert decide_all(dispatcher, STALE_AT + 5) == []
    dispatcher.on_list_confirmed(STALE_AT + 300)
    assert [type(decision) for decision in decide_all(dispatcher, STALE_AT + 300)] == [LoadOrder]


def test_one_worker_that_delays_attempts_is_distinguished_from_a_fleet_that_does() -> None:
    delays, workers = WorkerDelays(), [Worker(f"w{n}") for n in range(4)]
    for _ in range(20):
        for n, worker in enumerate(workers):
            delays.observe(0.0, worker, delayed_or_refused=n == 0)
    assert [delays.is_outlier(0.0, worker) for worker in workers] == [True, False, False, False]
    for _ in range(20):
        for worker in workers:
            delays.observe(0.0, worker, delayed_or_refused=True)
    assert not any(delays.is_outlier(0.0, worker) for worker in workers)
    delays.observe(60_000.0, workers[0], delayed_or_refused=True)
    assert not delays.is_outlier(60_000.0, workers[0]), "there is no other worker to compare it with"


def test_a_load_report_expires_so_that_the_worker_is_used_again() -> None:
    """A worker that is avoided for its load report gets no attempt, and so could never send another report."""
    dispatcher = make_dispatcher(workers=1)
    function, placement = make_function(), dispatcher.parts.placement
    worker = load_and_serve_one(dispatcher, function)
    request_at(dispatcher, 1000.0, function)
    (attempt,) = decide_all(dispatcher, 1000.0)
    assert isinstance(attempt, Attempt)
    load_without_report = placement.load(1000.0, worker)
    result = AttemptResult(AttemptStatus.COMPLETED, True, warm=True, load_report={"util": 1.0, "x1": 30.0})
    dispatcher.on_attempt_finished(1050.0, attempt, result)
    assert placement.load(2000.0, worker) > 5 * load_without_report
    assert placement.load(1050.0 + LOAD_REPORT_AGE_MS, worker) <= load_without_report
