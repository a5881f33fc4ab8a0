"""Tests of the queues, instances, load orders and placement of one dispatcher."""

from __future__ import annotations

from helpers import (
    AMPLE_LOADS,
    complete,
    decide_all,
    load_and_serve_one,
    make_dispatcher,
    make_function,
    make_request_class,
    make_safety,
    new_request,
    submit,
    tick,
)

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    Idempotency,
    LoadOrder,
    Request,
    Worker,
)
from kelptrail.dispatch.safety import LoadRation


def test_queued_requests_add_instances_and_requests_over_the_limit_are_rejected() -> None:
    dispatcher, function = make_dispatcher(), make_function(concurrency=2)
    first = load_and_serve_one(dispatcher, function)
    decisions = submit(dispatcher, function, 100.0, 30)
    assert [d.instance.worker for d in decisions if isinstance(d, Attempt)] == [first] * 2, (
        "both slots of the loaded instance are used"
    )
    orders = [d for d in decisions if isinstance(d, LoadOrder)]
    assert orders and all(o.count == 1 and o.instance.worker is not first for o in orders), (
        "orders for one instance each go to workers without one"
    )
    rejected = [d for d in decisions if isinstance(d, Request)]
    assert rejected and all(a.final_status == "rejected" and a.retry_after_ms > 0 for a in rejected)
    assert len(function.queue) + 2 == 8, "the limit is four requests for each slot, and two have started"


def test_dispatchers_choose_the_same_worker_without_communication() -> None:
    functions = [make_function(f"m{n}") for n in range(20)]
    dispatchers = make_dispatcher(8, load_ration=AMPLE_LOADS), make_dispatcher(8, load_ration=AMPLE_LOADS)
    chosen_workers = [
        [load_and_serve_one(dispatcher, make_function(f.id)).id for f in functions] for dispatcher in dispatchers
    ]
    assert sum(a == b for a, b in zip(*chosen_workers, strict=True)) > 10 and len(set(chosen_workers[0])) > 3


def test_a_not_loaded_answer_orders_a_load_and_retries() -> None:
    dispatcher, function = make_dispatcher(), make_function(request_class=make_request_class(Idempotency.AT_MOST_ONCE))
    load_and_serve_one(dispatcher, function)
    (attempt,) = submit(dispatcher, function, 100.0, 1)
    dispatcher.on_attempt_finished(101.0, attempt, AttemptResult(AttemptStatus.NOT_LOADED, False))
    (order,) = decide_all(dispatcher, 101.0)
    assert isinstance(order, LoadOrder) and order.count == 1
    dispatcher.on_load_report(900.0, order, AttemptStatus.COMPLETED, 1)
    (retry,) = decide_all(dispatcher, 900.0)
    assert retry.request is attempt.request and retry.number == 1


def test_a_used_instance_is_renewed_and_an_idle_one_expires() -> None:
    dispatcher, function = make_dispatcher(), make_function()
    worker = load_and_serve_one(dispatcher, function)
    (renewal,) = decide_all(dispatcher, 6500.0)
    assert isinstance(renewal, LoadOrder) and renewal.instance.worker is worker and renewal.count == 1
    dispatcher.on_load_report(6501.0, renewal, AttemptStatus.COMPLETED, 1)
    assert decide_all(dispatcher, 13000.0) == [], "an instance idle for more than ten seconds is not renewed"
    decide_all(dispatcher, 14600.0)
    assert not function.instances


def test_unused_functions_and_finished_requests_are_removed() -> None:
    dispatcher = make_dispatcher(load_ration=AMPLE_LOADS)
    for n in range(30):
        load_and_serve_one(dispatcher, make_function(f"scan{n}"), 200.0 * n)
    for n in range(40):
        dispatcher.on_tick(80_000.0 + n)
    decide_all(dispatcher, 90_000.0)
    assert len(dispatcher.take_removed_functions()) == 30 and not dispatcher.timers
    assert not any(w.instances or w.attempts for w in dispatcher.workers)


def test_a_load_order_whose_connection_is_lost_is_repeated_and_unloads_nothing() -> None:
    dispatcher, function = make_dispatcher(workers=2, load_ration=AMPLE_LOADS), make_function(concurrency=1)
    dispatcher.on_request(0.0, new_request(function, 0.0))
    (order,) = (d for d in decide_all(dispatcher, 0.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(5.0, order, AttemptStatus.CONNECTION_LOST, 0)
    (repeated,) = (d for d in decide_all(dispatcher, 40.0) if isinstance(d, LoadOrder))
    assert repeated.instance is order.instance and not order.instance.worker.outlier_state.ejection_ms
    dispatcher.on_load_report(900.0, repeated, AttemptStatus.COMPLETED, 1)
    for n in range(3):
        dispatcher.on_request(901.0, new_request(function, 901.0, n))
    (more,) = (d for d in decide_all(dispatcher, 901.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(905.0, more, AttemptStatus.CONNECTION_LOST, 0)
    assert function.instances[repeated.instance.worker].loaded == 1


def test_without_load_ration_a_trial_attempt_starts_and_a_not_loaded_answer_suspends_the_instance() -> None:
    dispatcher, function = make_dispatcher(load_ration=LoadRation(True, 0.0, 0.0, 5000.0)), make_function()
    (attempt,) = submit(dispatcher, function, 0.0, 1)
    assert isinstance(attempt, Attempt)
    dispatcher.on_attempt_finished(1.0, attempt, AttemptResult(AttemptStatus.NOT_LOADED, False))
    decisions = [d for step in range(50) for d in decide_all(dispatcher, tick(dispatcher, 30.0 + 30 * step))]
    (second,) = [d for d in decisions if isinstance(d, Attempt)]
    assert second.started_at > 1000.0, "no other worker is tried at once, as an instance there is no more likely"


def test_a_trial_attempt_precedes_a_load_order_where_others_load_most_functions() -> None:
    dispatcher, loaded, missing = make_dispatcher(shared=0.6), make_function("loaded"), make_function("missing")
    (attempt,) = submit(dispatcher, loaded, 0.0, 1)
    assert isinstance(attempt, Attempt), "the attempt uses none of the load ration"
    complete(dispatcher, attempt, 50.0)
    assert dispatcher.parts.instances.shared_ratio > 0.6 and attempt.instance.loaded == 1
    (attempt,) = submit(dispatcher, missing, 60.0, 1)
    assert isinstance(attempt, Attempt)
    dispatcher.on_attempt_finished(62.0, attempt, AttemptResult(AttemptStatus.NOT_LOADED, False))
    (order,) = decide_all(dispatcher, 62.0)
    assert isinstance(order, LoadOrder) and order.instance is attempt.instance and order.count == 1
    shared_ratio = dispatcher.parts.instances.shared_ratio
    dispatcher.on_load_report(900.0, order, AttemptStatus.COMPLETED, 1)
    assert dispatcher.parts.instances.shared_ratio == shared_ratio, "the load does not count as a second observation"
    assert [d.instance for d in decide_all(dispatcher, 900.0) if isinstance(d, Attempt)] == [attempt.instance]


def test_the_share_of_instances_loaded_by_others_is_measured_at_first_uses() -> None:
    # Functions 0 to 3 are already loaded by others.  The share rises above 0.5 with the first of them, so that the next
    # use starts with a trial attempt, and falls below it again with the third that is not loaded, which is function 6.
    dispatcher = make_dispatcher(8, shared=0.5, load_ration=AMPLE_LOADS)
    for n, load_ms in enumerate([0.0] * 4 + [900.0] * 12):
        dispatcher.on_request(2000.0 * n, new_request(make_function(f"f{n}"), 2000.0 * n))
        (first,) = (
            d
            for d in decide_all(dispatcher, 2000.0 * n)
            if isinstance(d, Attempt | LoadOrder) and (d.instance.function.id == f"f{n}")
        )
        if isinstance(first, Attempt):
            status = AttemptStatus.NOT_LOADED if load_ms else AttemptStatus.COMPLETED
            dispatcher.on_attempt_finished(2000.0 * n + 1, first, AttemptResult(status, not load_ms))
        else:
            assert isinstance(first, LoadOrder)
            dispatcher.on_load_report(2000.0 * n + load_ms, first, AttemptStatus.COMPLETED, 1)
        decide_all(dispatcher, 2000.0 * n + load_ms)
        assert isinstance(first, Attempt) == (1 <= n <= 6), n


def test_load_orders_delayed_by_a_connection_keep_the_budget_on_arrival() -> None:
    guard, dispatcher = make_safety(max_delivery_ms=250.0), make_dispatcher(8)
    instances = [
        dispatcher.parts.instances.get_or_add(make_function(f"f{n}"), dispatcher.workers[0]) for n in range(12)
    ]
    order_times = [now for now in (0.0, 5100.0) for instance in instances if guard.start_load(now, instance, 1)]
    assert order_times == [0.0] * 5, "orders of the first window may have arrived 250 ms late, and so still count"
    assert guard.start_load(5251.0, instances[0], 1) is not None


def test_an_instance_is_placed_on_its_preferred_worker_unless_its_load_is_far_above_the_mean() -> None:
    for reported, on_preferred in ((3.0, True), (12.0, False)):
        dispatcher, function = make_dispatcher(8), make_function()
        preferred = load_and_serve_one(dispatcher, function)
        for worker in dispatcher.workers:  # every worker has sent a load report
            worker.mean_response_gap, worker.load_report = (
                10.0,
                {"x1": reported if worker is preferred else 1.0, "util": 0.7},
            )
        # A function with the same name prefers the same workers, and has no instances yet.
        chosen, _ = dispatcher.parts.placement.choose_worker(5000.0, make_function(), dispatcher.workers)
        assert (chosen is preferred) == on_preferred


def test_an_unchanged_list_is_not_ranked_again_and_a_response_without_queue_scans_no_instances() -> None:
    dispatcher, function = make_dispatcher(8), make_function()
    load_and_serve_one(dispatcher, function)
    preferred_workers = function.preferred_workers
    dispatcher.on_endpoints(100.0, list(dispatcher.workers), [])
    dispatcher.parts.placement.choose_worker(100.0, function, dispatcher.workers)
    assert function.preferred_workers is preferred_workers
    dispatcher.on_endpoints(200.0, [*dispatcher.workers, Worker("new")], [])
    dispatcher.parts.placement.choose_worker(200.0, function, dispatcher.workers)
    assert len(function.preferred_workers) == 9 and function.preferred_workers is not preferred_workers
    budget_checks = list[float]()  # times of the calls of `has_budget`, which is replaced by one that returns True
    dispatcher.parts.safety.has_budget = lambda now, worker: not budget_checks.append(now)  # type: ignore[method-assign]
    (attempt,) = submit(dispatcher, function, 300.0, 1)
    budget_checks.clear()
    assert isinstance(attempt, Attempt)
    complete(dispatcher, attempt, 340.0)
    assert not decide_all(dispatcher, 340.0) and not budget_checks


def test_a_load_order_is_for_sixteen_instances_at_most() -> None:
    dispatcher, function = make_dispatcher(workers=1), make_function()
    instance = load_and_serve_one(dispatcher, function, instances=16).instances[function]
    assert dispatcher.parts.safety.start_load(100.0, instance, 17).count == 16


def test_load_of_other_dispatchers_spreads_a_function_and_its_absence_concentrates_it() -> None:
    dispatcher, function = make_dispatcher(8, load_ration=AMPLE_LOADS), make_function(concurrency=1)
    load_and_serve_one(dispatcher, function)
    for foreign_in_flight, spreads in ((9, True), (0, False)):
        before = function.target_worker_count
        for n in range(12):
            now = 1000.0 * (n + 1) + 20_000 * (not spreads)  # the second series starts after the first
            for decision in submit(dispatcher, function, now, 1) + decide_all(dispatcher, now + 2):
                if isinstance(decision, Attempt):
                    status = AttemptStatus.COMPLETED
                    dispatcher.on_attempt_finished(
                        now + 40, decision, AttemptResult(status, True, warm=True, foreign_in_flight=foreign_in_flight)
                    )
                elif isinstance(decision, LoadOrder):
                    dispatcher.on_load_report(now + 1, decision, AttemptStatus.COMPLETED, 1)
        assert (function.target_worker_count > before) is spreads
        assert not spreads or len(function.instances) > 3


def test_where_workers_load_on_demand_the_first_attempt_needs_no_load_order() -> None:
    for loads_on_demand in (True, False):
        dispatcher, function = (
            # `shared` is the initial value that `InstanceTable` sets.
            make_dispatcher(4, shared=0.5 + loads_on_demand, loads_on_demand=loads_on_demand, load_ration=AMPLE_LOADS),
            make_function(),
        )
        for _ in range(20):
            dispatcher.parts.instances.observe_first_use(False)  # no instance was loaded by other dispatchers
        decisions = submit(dispatcher, function, 10.0, 1)
        assert [type(decision) for decision in decisions] == [Attempt if loads_on_demand else LoadOrder]


def test_an_instance_is_added_elsewhere_while_a_cold_worker_may_get_no_attempt() -> None:
    dispatcher, function = make_dispatcher(8, load_ration=AMPLE_LOADS), make_function()
    preferred = load_and_serve_one(dispatcher, function)
    preferred.started_at = 2000.0
    dispatcher.on_endpoints(2000.0, dispatcher.workers, [preferred])
    preferred.instances[function].loaded = 1  # loaded again by another dispatcher
    safety = dispatcher.parts.safety
    # No attempt may start at a cold worker: the throughput of warm workers counts as 0, and is not measured again.
    safety._warm_throughput, safety._measured_at = 0.0, 1e9
    (order,) = (d for d in submit(dispatcher, function, 2001.0, 1) if isinstance(d, LoadOrder))
    assert order.instance.worker is not preferred


def test_cancelled_requests_and_functions_that_cannot_load_do_not_count_for_the_load_ration() -> None:
    dispatcher = make_dispatcher(3, load_ration=LoadRation(True, 2.0, 0.5, 5000.0))
    guard, not_loadable = dispatcher.parts.safety, make_function("bogus")
    for n in range(40):
        request = new_request(make_function(f"t{n}"), 0.0, n)
        dispatcher.on_request(0.0, request)
        dispatcher.on_client_gone(request)
    assert not guard.counted_requests and not decide_all(dispatcher, 0.0)
    calls = [new_request(not_loadable, 1.0, n) for n in range(4)]
    for request in calls:
        dispatcher.on_request(1.0, request)
    (first,) = (d for d in decide_all(dispatcher, 1.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(2.0, first, AttemptStatus.ERROR, 0)
    assert not guard.counted_requests
    (second,) = (d for d in decide_all(dispatcher, 30.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(31.0, second, AttemptStatus.ERROR, 0)
    assert {d for d in decide_all(dispatcher, 31.0) if isinstance(d, Request)} == set(calls), "they end at once"
    assert all(request.final_status == "rejected" for request in calls)


def test_a_failed_load_of_a_function_that_was_loaded_before_ends_no_requests() -> None:
    dispatcher, function = make_dispatcher(3, load_ration=AMPLE_LOADS), make_function()
    now = 0.0
    for status, loaded in (
        (AttemptStatus.COMPLETED, 1),
        (AttemptStatus.ERROR, 0),
        (AttemptStatus.ERROR, 0),
        (AttemptStatus.ERROR, 0),
    ):
        for n in range(4):
            dispatcher.on_request(now, new_request(function, now, n))
        decisions = [d for d in decide_all(dispatcher, now) if isinstance(d, LoadOrder)]
        for order in decisions:
            dispatcher.on_load_report(now + 1, order, status, loaded)
        assert not [d for d in decide_all(dispatcher, now + 1) if isinstance(d, Request)]
        now += 30
