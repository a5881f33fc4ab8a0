"""The decisions: seeded random runs that check the five rules after every step and that the removal of a guard
is detected, then single cases."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest
from helpers import SAFETY, kind, make, make_safety, model, new_request, pull

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import (
    NEVER_RAN,
    Attempt,
    AttemptStatus,
    Decision,
    Function,
    Idempotency,
    Instance,
    LoadOrder,
    Request,
    RequestClass,
    Worker,
    WorkerState,
)
from kelptrail.dispatch.safety import LoadRation, SafetyGuard

KINDS = [kind(), kind(Idempotency.DEDUPLICATED), kind(Idempotency.DEDUPLICATED, "zone"), kind(Idempotency.AT_MOST_ONCE)]
SLACK_MS = 16.0
PLENTY = LoadRation(True, 99.0, 0.3, 5000.0)


class Watch:
    """Judges decisions by the rules' own words, knowing nothing of how they were reached."""

    def __init__(self, **settings: Any) -> None:
        self.settings = SAFETY | settings
        self.ended: dict[Request, float] = {}
        self.taken: list[float] = []
        self.orders: list[float] = []
        self.sends: list[Attempt] = []
        self.told: dict[Worker, float] = {}  # when a start was told
        self.fleet: list[Worker] = []

    def end(self, now: float, act: Request) -> None:
        assert act not in self.ended, "one final answer"
        assert now <= act.deadline + SLACK_MS, "in time"
        self.ended[act] = now

    def see(self, now: float, decision: Decision) -> None:
        if isinstance(decision, Request):
            self.end(now, decision)
            if decision.final_status == "rejected":
                doubtful = [s for s in decision.attempts if s.status not in NEVER_RAN]
                effect, scope = decision.request_class.idempotency, decision.request_class.deduplication_scope
                kept = all(now < s.started_at + decision.request_class.deduplication_window_ms for s in doubtful)
                dropped = (
                    effect is Idempotency.DEDUPLICATED and scope == "all" and decision.has_idempotency_key and kept
                )
                harmless = not doubtful or effect is Idempotency.IDEMPOTENT or dropped
                assert harmless, "a rejection promises the truth"
        elif isinstance(decision, LoadOrder) and decision.count:
            assert decision.instance.worker.state is WorkerState.LIVE, "drains kept for orders"
            self.orders.append(now)
            ration = self.settings["load_ration"]
            span = now - ration.window_ms
            allowed = ration.free_loads + ration.loads_per_request * sum(t > span for t in self.taken)
            assert sum(t > span for t in self.orders) <= allowed, "orders rationed"
        elif isinstance(decision, Attempt) and not decision.cancelled:
            self.sent(now, decision)

    def sent(self, now: float, send: Attempt) -> None:
        act, worker = send.request, send.instance.worker
        assert act not in self.ended and act.final_status is None, "nothing sent after the end"
        assert worker.state is WorkerState.LIVE, "drains kept for sends"
        earlier = act.attempts[:-1]
        assert len(act.attempts) <= self.settings["max_attempts"]
        assert sum(s.status is None for s in earlier) <= (1 if self.settings["parallel_attempts"] else 0)
        doubtful = [s for s in earlier if s.status not in NEVER_RAN]
        if doubtful and act.request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert act.request_class.idempotency is Idempotency.DEDUPLICATED, "once-only is never sent twice"
            assert now <= doubtful[0].started_at + act.request_class.deduplication_window_ms, (
                "within what runners remember"
            )
            assert act.request_class.deduplication_scope == "all" or worker.zone == doubtful[0].instance.worker.zone, (
                "inside the group"
            )
        self.sends.append(send)
        if worker.started_at is not None and now - worker.started_at < self.settings["slow_start_ms"]:
            span = now - self.settings["overload_window_ms"]
            mine = sum(s.started_at > max(span, self.told[worker]) and s.instance.worker is worker for s in self.sends)
            warm_ms, least = self.settings["slow_start_ms"], self.settings["initial_capacity"]
            others = [w for w in self.fleet if w.state is WorkerState.LIVE and now - (w.started_at or -1e9) >= warm_ms]
            warm = sum(s.started_at > span and s.instance.worker in others for s in self.sends)
            share = least + (1 - least) * (now - worker.started_at) / warm_ms
            usual = warm / max(1, len(others))
            assert mine <= max(1.0, self.settings["overload_multiple"] * share * usual), (
                "a cold worker is not pushed over"
            )


def play(seed: int, steps: int = 1500, **settings: Any) -> tuple[Dispatcher, Watch]:
    """A random life of one dispatcher; every decision passes the watch."""
    chance, watch = random.Random(seed), Watch(**settings)
    dispatcher = make(workers=6, shared=0.2 * (seed % 6), **settings)
    fleet = watch.fleet = list(dispatcher.workers)
    functions = [model(f"f{n}", chance.choice((1, 2, 4)), KINDS[n % len(KINDS)]) for n in range(8)]
    now, serial, out, orders, open_acts = 0.0, 0, [], [], []
    for step in range(steps + 400):
        due = dispatcher.timers.next_due()  # the host never sleeps past a due time
        ahead = chance.choice((0.0, 1.0, 4.0, 15.0)) if step < steps else 50.0
        now = min(now + ahead, max(now, due or now) + 4)
        for _ in range(chance.randrange(4) if step < steps else 0):
            serial += 1
            act = new_request(chance.choice(functions), now, serial, chance.choice((300.0, 1500.0, 4000.0)))
            watch.taken.append(now)
            open_acts.append(act)
            dispatcher.on_request(now, act)
        for order in [o for o in orders if chance.random() < 0.05]:
            orders.remove(order)
            outcome = chance.choice(
                [AttemptStatus.COMPLETED] * 6 + [AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.CONNECTION_LOST]
            )
            dispatcher.on_load_report(now, order, outcome, chance.randrange(order.count + 2))
        for send in [s for s in out if s.instance.worker is not fleet[seed % 6] and chance.random() < 0.1]:
            out.remove(send)
            outcome = chance.choice([AttemptStatus.COMPLETED] * 9 + list(AttemptStatus)[1:])
            outcome = AttemptStatus.CANCELLED if send.cancelled else outcome
            if (
                outcome is AttemptStatus.COMPLETED
                and send.request.final_status is None
                and now <= send.request.deadline
            ):
                watch.end(now, send.request)
                dispatcher.on_attempt_finished(now, send, AttemptResult(outcome, True))
            else:
                ended = send.request in watch.ended
                outcome = AttemptStatus.SILENT if outcome is AttemptStatus.COMPLETED else outcome
                dispatcher.on_attempt_finished(now, send, AttemptResult(outcome, ended))
        for act in [a for a in open_acts if a.final_status is None and chance.random() < 0.0005]:
            watch.end(now, act)
            dispatcher.on_client_gone(act)
        if chance.random() < 0.02:
            worker = chance.choice(fleet[:3])
            worker.state = chance.choice(
                [WorkerState.LIVE, WorkerState.LIVE, WorkerState.DRAINING, WorkerState.REMOVED]
            )
            restarted = [worker] if worker.state is WorkerState.LIVE and chance.random() < 0.7 else []
            for again in restarted:
                again.started_at, watch.told[again] = now - chance.choice((0.0, 500.0)), now
            dispatcher.on_endpoints(now, [w for w in fleet if w.state is not WorkerState.REMOVED], restarted)
        if step % 5 == 0:
            dispatcher.on_tick(now)
        while (decision := dispatcher.decide(now)) is not None:
            watch.see(now, decision)
            if isinstance(decision, Attempt) and not decision.cancelled:
                out.append(decision)
            elif isinstance(decision, LoadOrder):
                orders.append(decision)
    assert len(watch.ended) == serial, "every activation got its final answer"
    assert len(watch.sends) > steps / 10 and watch.orders
    return dispatcher, watch


@pytest.mark.parametrize("seed", range(12))
def test_random_lives_keep_the_rules(seed: int) -> None:
    play(seed, parallel_attempts=seed % 3 != 0)


def always(answer: Any) -> Callable[..., Any]:
    return lambda *_: answer


def reject(_: SafetyGuard, now: float, act: Request, retry_after_ms: float = 0.0) -> Request:
    act.final_status = "rejected"
    return act


@pytest.mark.parametrize(
    ("guard", "instead", "message"),
    [
        ("accepts_attempt", always(True), "once-only is never sent twice|end|remember|assert"),
        (
            "may_attempt",
            lambda self, now, act, worker: self.accepts_attempt(now, act),
            "drains kept|inside the group|pushed over",
        ),
        ("capacity_factor", always(1.0), "pushed over"),
        ("finish", reject, "promises the truth"),
        ("start_load", lambda self, now, copy, count, reserve=0.0: LoadOrder(copy, count, now), "rationed|drains kept"),
    ],
)
def test_a_missing_guard_is_seen(monkeypatch: pytest.MonkeyPatch, guard: str, instead: Any, message: str) -> None:
    monkeypatch.setattr(SafetyGuard, guard, instead)
    with pytest.raises(AssertionError, match=message):
        for seed in range(4):
            play(seed)


# Plain cases, each a failure met once or a step of the mechanism.


def ready(dispatcher: Dispatcher, function: Function, now: float = 0.0, copies: int = 1) -> Worker:
    """Have one activation ordered for, its copies standing, and its send answered."""
    act = new_request(function, now)
    dispatcher.on_request(now, act)
    dispatcher.parts.instances.shared_ratio = 0.0
    (order,) = pull(dispatcher, now)
    assert isinstance(order, LoadOrder)
    dispatcher.on_load_report(now, order, AttemptStatus.COMPLETED, copies)
    (send,) = pull(dispatcher, now)
    assert isinstance(send, Attempt)
    complete(dispatcher, send, now + 50)
    return send.instance.worker


def complete(dispatcher: Dispatcher, send: Attempt, now: float) -> None:
    dispatcher.on_attempt_finished(now, send, AttemptResult(AttemptStatus.COMPLETED, True, warm=True))


def take(dispatcher: Dispatcher, function: Function, now: float, count: int, ms: float = 3000.0) -> list[Decision]:
    for n in range(count):
        dispatcher.on_request(now, new_request(function, now, n, ms))
    return pull(dispatcher, now)


def test_activations_wait_for_lanes_then_lag_orders_and_the_bound_refuses() -> None:
    dispatcher, function = make(), model(concurrency=2)
    first = ready(dispatcher, function)
    found = take(dispatcher, function, 100.0, 30)
    assert [d.instance.worker for d in found if isinstance(d, Attempt)] == [first] * 2, "two lanes, on its own copy"
    orders = [d for d in found if isinstance(d, LoadOrder)]
    assert orders and all(o.count == 1 and o.instance.worker is not first for o in orders), "one that holds none"
    refused = [d for d in found if isinstance(d, Request)]
    assert refused and all(a.final_status == "rejected" and a.retry_after_ms > 0 for a in refused)
    assert len(function.queue) + 2 == 8, "four a lane, two of them sent on"


def test_dispatchers_that_share_nothing_choose_the_same_worker() -> None:
    function = [model(f"m{n}") for n in range(20)]
    pair = make(8, load_ration=PLENTY), make(8, load_ration=PLENTY)
    hosts = [[ready(dispatcher, model(f.id)).id for f in function] for dispatcher in pair]
    assert sum(a == b for a, b in zip(*hosts, strict=True)) > 10 and len(set(hosts[0])) > 3


def test_a_miss_orders_again_and_sends_again() -> None:
    dispatcher, function = make(), model(request_class=kind(Idempotency.AT_MOST_ONCE))
    ready(dispatcher, function)
    (send,) = take(dispatcher, function, 100.0, 1)
    dispatcher.on_attempt_finished(101.0, send, AttemptResult(AttemptStatus.NOT_LOADED, False))
    (order,) = pull(dispatcher, 101.0)
    assert isinstance(order, LoadOrder) and order.count == 1
    dispatcher.on_load_report(900.0, order, AttemptStatus.COMPLETED, 1)
    (again,) = pull(dispatcher, 900.0)
    assert again.request is send.request and again.number == 1


def test_a_used_copy_is_renewed_and_an_idle_one_runs_out() -> None:
    dispatcher, function = make(), model()
    worker = ready(dispatcher, function)
    (renewal,) = pull(dispatcher, 6500.0)
    assert isinstance(renewal, LoadOrder) and renewal.instance.worker is worker and renewal.count == 1
    dispatcher.on_load_report(6501.0, renewal, AttemptStatus.COMPLETED, 1)
    assert pull(dispatcher, 13000.0) == [], "idle for more than ten seconds"
    pull(dispatcher, 14600.0)
    assert not function.instances


def test_a_hung_worker_neither_stalls_its_queue_nor_keeps_what_may_run_again() -> None:
    for effect, again in (
        (Idempotency.IDEMPOTENT, True),
        (Idempotency.DEDUPLICATED, True),
        (Idempotency.AT_MOST_ONCE, False),
    ):
        dispatcher, function = make(), model(concurrency=4, request_class=kind(effect))
        hung = ready(dispatcher, function)
        for n in range(20):
            (send,) = take(dispatcher, function, 100.0 + 60 * n, 1)
            complete(dispatcher, send, 150.0 + 60 * n)
        (send,) = take(dispatcher, function, 2000.0, 1, 5000.0)
        found = []
        for step in range(60):
            dispatcher.on_tick(2000.0 + 50 * step)
            found += pull(dispatcher, 2000.0 + 50 * step)
        assert any(isinstance(d, str) and hung.id in d for d in found), "the log names it"
        orders = [d for d in found if isinstance(d, LoadOrder) and d.instance.worker is not hung]
        assert bool(orders) is again
        if again:
            dispatcher.on_load_report(5000.0, orders[0], AttemptStatus.COMPLETED, 1)
            assert [d.request for d in pull(dispatcher, 5000.0) if isinstance(d, Attempt)] == [send.request]


def test_a_worker_that_fails_fast_is_barred_then_tried_with_one_send() -> None:
    dispatcher, function = make(workers=1), model(concurrency=4)
    worker, now = ready(dispatcher, function), 100.0
    for send in take(dispatcher, function, now, 4):
        dispatcher.on_attempt_finished(now + 1, send, AttemptResult(AttemptStatus.ERROR, False))
    assert [d for d in pull(dispatcher, now + 2) if isinstance(d, Attempt)] == [], "they come back to the queue"
    tried = [d for step in range(15) for d in pull(dispatcher, stir(dispatcher, now + 50 * step))]
    assert (
        len([d for d in tried if isinstance(d, Attempt)]) == 1
        and worker.outlier_state_by_class[function.request_class].ejection_ms > 0
    )


def stir(dispatcher: Dispatcher, now: float) -> float:
    dispatcher.on_tick(now)
    return now


def test_what_a_client_will_not_wait_for_is_refused_at_once() -> None:
    dispatcher, function = make(), model()
    ready(dispatcher, function)
    function.mean_latency_ms = 400.0
    (end,) = take(dispatcher, function, 100.0, 1, 150.0)
    assert isinstance(end, Request) and end.final_status == "rejected"


def test_a_send_turned_away_bars_that_copy_and_leaves_its_worker_open() -> None:
    dispatcher, function, other = make(workers=1), model("a"), model("b")
    worker = ready(dispatcher, function)
    ready(dispatcher, other, 60.0)
    (send,) = take(dispatcher, function, 200.0, 1)
    dispatcher.on_attempt_finished(201.0, send, AttemptResult(AttemptStatus.OUT_OF_CAPACITY, False))
    assert not [d for d in pull(dispatcher, 201.0) if isinstance(d, Attempt)]
    assert [d.instance.worker for d in take(dispatcher, other, 202.0, 1) if isinstance(d, Attempt)] == [worker]


def test_functions_no_longer_asked_for_and_finished_activations_are_forgotten() -> None:
    dispatcher = make(load_ration=PLENTY)
    for n in range(30):
        ready(dispatcher, model(f"scan{n}"), 200.0 * n)
    gone = [dispatcher.on_tick(80_000.0 + n) for n in range(40)]
    pull(dispatcher, 90_000.0)
    assert sum(f is not None for f in gone) == 30 and not dispatcher.timers
    assert not any(w.instances or w.attempts for w in dispatcher.workers)


def test_broken_connections_bar_nobody_that_answers_and_void_nothing_four_in_a_row_bar() -> None:
    dispatcher, function = make(workers=1), model(concurrency=4)
    worker = ready(dispatcher, function)
    for n in range(12):  # every third is lost: the rest is answered
        (send,) = take(dispatcher, function, 100.0 + 50 * n, 1)
        if n % 3 == 2:
            dispatcher.on_attempt_finished(110.0 + 50 * n, send, AttemptResult(AttemptStatus.CONNECTION_LOST, False))
            (again,) = (d for d in pull(dispatcher, 110.0 + 50 * n) if isinstance(d, Attempt))
            assert again.request is send.request
            send = again
        complete(dispatcher, send, 120.0 + 50 * n)
    assert not worker.outlier_state.ejection_ms
    for n, send in enumerate(take(dispatcher, function, 1000.0, 4)):
        assert not worker.outlier_state.ejection_ms or n > 1
        dispatcher.on_attempt_finished(1001.0 + n, send, AttemptResult(AttemptStatus.CONNECTION_LOST, False))
    assert worker.outlier_state.ejected_until > 1004.0 and function.instances[worker].loaded == 1
    assert not [d for d in pull(dispatcher, 1004.0) if isinstance(d, Attempt)]


def test_an_order_whose_connection_breaks_voids_nothing_and_is_given_again() -> None:
    dispatcher, function = make(workers=2, load_ration=PLENTY), model(concurrency=1)
    dispatcher.on_request(0.0, new_request(function, 0.0))
    (order,) = (d for d in pull(dispatcher, 0.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(5.0, order, AttemptStatus.CONNECTION_LOST, 0)
    (again,) = (d for d in pull(dispatcher, 40.0) if isinstance(d, LoadOrder))
    assert again.instance is order.instance and not order.instance.worker.outlier_state.ejection_ms
    dispatcher.on_load_report(900.0, again, AttemptStatus.COMPLETED, 1)
    for n in range(3):
        dispatcher.on_request(901.0, new_request(function, 901.0, n))
    (more,) = (d for d in pull(dispatcher, 901.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(905.0, more, AttemptStatus.CONNECTION_LOST, 0)
    assert function.instances[again.instance.worker].loaded == 1


def test_a_spent_ration_sends_unordered_and_a_miss_bars_that_copy() -> None:
    dispatcher, function = make(load_ration=LoadRation(True, 0.0, 0.0, 5000.0)), model()
    (send,) = take(dispatcher, function, 0.0, 1)
    assert isinstance(send, Attempt)
    dispatcher.on_attempt_finished(1.0, send, AttemptResult(AttemptStatus.NOT_LOADED, False))
    again = [d for step in range(50) for d in pull(dispatcher, stir(dispatcher, 30.0 + 30 * step))]
    (second,) = [d for d in again if isinstance(d, Attempt)]
    assert second.started_at > 1000.0, "not another worker at once: a copy there is no likelier"


def test_where_copies_mostly_stand_for_others_a_send_goes_first_and_a_miss_is_ordered_at_once() -> None:
    dispatcher, stands, missing = make(shared=0.6), model("stands"), model("missing")
    (send,) = take(dispatcher, stands, 0.0, 1)
    assert isinstance(send, Attempt), "no part of the ration is spent on asking"
    complete(dispatcher, send, 50.0)
    assert dispatcher.parts.instances.shared_ratio > 0.6 and send.instance.loaded == 1
    (send,) = take(dispatcher, missing, 60.0, 1)
    assert isinstance(send, Attempt)
    dispatcher.on_attempt_finished(62.0, send, AttemptResult(AttemptStatus.NOT_LOADED, False))
    (order,) = pull(dispatcher, 62.0)
    assert isinstance(order, LoadOrder) and order.instance is send.instance and order.count == 1
    shared = dispatcher.parts.instances.shared_ratio
    dispatcher.on_load_report(900.0, order, AttemptStatus.COMPLETED, 1)
    assert dispatcher.parts.instances.shared_ratio == shared, "one find is counted once"
    assert [d.instance for d in pull(dispatcher, 900.0) if isinstance(d, Attempt)] == [send.instance]


def test_what_is_believed_of_others_copies_follows_orders_and_first_sends() -> None:
    dispatcher = make(8, shared=0.5, load_ration=PLENTY)
    for n, took in enumerate([0.0] * 4 + [900.0] * 12):
        dispatcher.on_request(2000.0 * n, new_request(model(f"f{n}"), 2000.0 * n))
        (first,) = (
            d
            for d in pull(dispatcher, 2000.0 * n)
            if isinstance(d, Attempt | LoadOrder) and (d.instance.function.id == f"f{n}")
        )
        if isinstance(first, Attempt):
            found = AttemptStatus.NOT_LOADED if took else AttemptStatus.COMPLETED
            dispatcher.on_attempt_finished(2000.0 * n + 1, first, AttemptResult(found, not took))
        else:
            assert isinstance(first, LoadOrder)
            dispatcher.on_load_report(2000.0 * n + took, first, AttemptStatus.COMPLETED, 1)
        pull(dispatcher, 2000.0 * n + took)
        assert isinstance(first, Attempt) == (1 <= n <= 6), n


def test_orders_that_wait_for_a_connection_keep_the_ration_when_they_arrive() -> None:
    gate, dispatcher = make_safety(max_delivery_ms=250.0), make(8)
    copies = [dispatcher.parts.instances.get_or_add(model(f"f{n}"), dispatcher.workers[0]) for n in range(12)]
    given = [now for now in (0.0, 5100.0) for copy in copies if gate.start_load(now, copy, 1)]
    assert given == [0.0] * 5, "those of the start may have arrived 250 ms late"
    assert gate.start_load(5251.0, copies[0], 1) is not None


def test_a_copy_goes_to_its_usual_worker_until_that_is_far_over_the_average() -> None:
    for reported, at_home in ((3.0, True), (12.0, False)):
        dispatcher, function = make(8), model()
        home = ready(dispatcher, function)
        for worker in dispatcher.workers:  # all were heard of, with one load under way each
            worker.mean_response_gap, worker.load_report = (
                10.0,
                {"x1": reported if worker is home else 1.0, "util": 0.7},
            )
        host, _ = dispatcher.parts.placement.choose_worker(5000.0, model(), dispatcher.workers)
        assert (host is home) == at_home


def test_a_list_of_the_same_workers_costs_no_sorting_and_an_answer_without_lag_no_look_at_copies() -> None:
    dispatcher, function = make(8), model()
    ready(dispatcher, function)
    homes = function.preferred_workers
    dispatcher.on_endpoints(100.0, list(dispatcher.workers), [])
    dispatcher.parts.placement.choose_worker(100.0, function, dispatcher.workers)
    assert function.preferred_workers is homes
    dispatcher.on_endpoints(200.0, [*dispatcher.workers, Worker("new")], [])
    dispatcher.parts.placement.choose_worker(200.0, function, dispatcher.workers)
    assert len(function.preferred_workers) == 9 and function.preferred_workers is not homes
    seen = list[float]()
    dispatcher.parts.safety.has_budget = lambda now, worker: not seen.append(now)  # type: ignore[method-assign]
    (send,) = take(dispatcher, function, 300.0, 1)
    seen.clear()
    assert isinstance(send, Attempt)
    complete(dispatcher, send, 340.0)
    assert not pull(dispatcher, 340.0) and not seen


def test_an_order_names_sixteen_copies_at_most() -> None:
    dispatcher, function = make(workers=1), model()
    copy = ready(dispatcher, function, copies=16).instances[function]
    assert dispatcher.parts.safety.start_load(100.0, copy, 17).count == 16


def test_company_met_spreads_a_function_and_an_empty_copy_draws_it_together() -> None:
    dispatcher, function = make(8, load_ration=PLENTY), model(concurrency=1)
    ready(dispatcher, function)
    for company, wider in ((9, True), (0, False)):
        before = function.target_worker_count
        for n in range(12):
            now = 1000.0 * (n + 1) + 20_000 * (not wider)
            for decision in take(dispatcher, function, now, 1) + pull(dispatcher, now + 2):
                if isinstance(decision, Attempt):
                    how = AttemptStatus.COMPLETED
                    dispatcher.on_attempt_finished(
                        now + 40, decision, AttemptResult(how, True, warm=True, foreign_in_flight=company)
                    )
                elif isinstance(decision, LoadOrder):
                    dispatcher.on_load_report(now + 1, decision, AttemptStatus.COMPLETED, 1)
        assert (function.target_worker_count > before) is wider
        assert not wider or len(function.instances) > 3


def test_a_worker_that_fails_one_type_serves_the_others_and_a_lost_answer_is_sent_again() -> None:
    dispatcher, fails, well = make(workers=1), model("a", 4), model("b", 4, kind(Idempotency.AT_MOST_ONCE))
    worker = ready(dispatcher, fails)
    ready(dispatcher, well, 60.0)
    for send in take(dispatcher, fails, 200.0, 3):
        dispatcher.on_attempt_finished(201.0, send, AttemptResult(AttemptStatus.ERROR, True))
    assert not dispatcher.parts.outliers.usable(202.0, worker, fails.request_class)
    (lost, *_) = [d for d in take(dispatcher, well, 202.0, 1) if isinstance(d, Attempt)]
    assert lost.instance.worker is worker
    dispatcher, function = make(workers=2, load_ration=PLENTY), model(concurrency=4)
    ready(dispatcher, function)
    (lost,) = take(dispatcher, function, 100.0, 1)
    found: list[Decision] = []
    for n in range(10):  # the worker goes on answering others
        found += take(dispatcher, function, 200.0 + 60 * n, 1)
        for send in [d for d in found if isinstance(d, Attempt) and d.request is not lost.request and d.status is None]:
            complete(dispatcher, send, 240.0 + 60 * n)
        found += pull(dispatcher, stir(dispatcher, 245.0 + 60 * n))
    assert lost.overdue and len(lost.request.attempts) + lost.request.queued > 1


def test_many_small_dispatchers_together_spare_a_cold_worker() -> None:
    sent = 0
    for seed in range(100):
        dispatcher, function = make(workers=5, load_ration=PLENTY, seed=seed), model(f"f{seed}")
        ready(dispatcher, function)  # each completes one: a hundred on four warm workers
        cold = dispatcher.workers[seed % 5]
        cold.started_at = 100.0
        dispatcher.on_endpoints(100.0, dispatcher.workers, [cold])
        act = new_request(function, 110.0)
        sent += dispatcher.parts.safety.may_attempt(110.0, act, cold)
    assert 0 < sent < 0.5 * 3.0 * 0.2 * 100 / 4 * 3


def test_a_draw_at_a_cold_worker_is_used_once_and_not_kept() -> None:
    drawn = {100.0: 0, 2100.0: 0, 4100.0: 0}
    again = 0
    for seed in range(400):
        gate, cold = make_safety(seed=seed, slow_start_ms=1e9), Worker("cold", started_at=0.0)
        gate._warm_throughput, gate._measured_at = 0.5, 1e9  # what warm ones carry: a part of 0.15 from here
        one, two = (new_request(model(), 4000.0, n) for n in (1, 2))
        for now in drawn:
            drawn[now] += gate.may_attempt(now, one, cold)
        if gate.may_attempt(4100.0, one, cold):
            gate.start_attempt(4100.0, one, Instance(one.function, cold, 1))
            again += gate.may_attempt(4101.0, two, cold)
    assert all(0.7 * 400 * 0.12 < count < 1.3 * 400 * 0.12 for count in drawn.values()), "as many at any time"
    assert not again, "each draw is used once"


@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize(
    ("many", "per_s"),
    [(1, 5.0), (1, 100.0), (2, 20.0), (5, 40.0), (5, 100.0), (20, 100.0), (30, 100.0), (30, 400.0), (200, 400.0)],
)
def test_all_dispatchers_together_keep_the_budget_of_a_cold_worker(many: int, per_s: float, uneven: bool) -> None:
    """Each sends whenever its gate lets it, at once or all from one moment on; some are told late, some restart and
    know of nothing.  Counted as the platform counts: what any span gets beyond N + 2 root N + 2."""
    warm, tip, tip_ms, cold_ms, least = 10, 3.0, 3000.0, 17_000.0, 0.2
    over = spans = sent = 0
    for seed in range(6 if many < 100 else 2):
        chance, start, function = random.Random(seed), 4000.0, model()
        weights = [chance.lognormvariate(0, 1.2) if uneven else 1.0 for _ in range(many)]

        def gate(chance: random.Random = chance, start: float = start) -> tuple[SafetyGuard, list[Worker], Worker]:
            made = make_safety(
                seed=chance.getrandbits(64),
                max_attempts=100,
                load_ration=LoadRation(False, 0.0, 0.0, 0.0),
                overload_multiple=tip,
                overload_window_ms=tip_ms,
                initial_capacity=least,
                slow_start_ms=cold_ms,
                max_delivery_ms=250.0,
            )
            workers, cold = [Worker(f"w{n}") for n in range(warm)], Worker("cold", started_at=start)
            made.set_workers([*workers, cold])
            return made, workers, cold

        fleet = [gate() for _ in range(many)]
        told = [start + (chance.random() * 1500 if seed % 2 else 5000.0) for _ in range(many)]
        times: list[float] = []
        for step in range(int(start / 50 + 160)):
            now = 50.0 * step
            if chance.random() < 0.02 * many / 20:  # one restarts, with another seed
                fleet[chance.randrange(many)] = gate()
            for n, (own, workers, cold) in enumerate(fleet):
                due = weights[n] / sum(weights) * per_s * 0.05
                for _ in range(int(due) + (chance.random() < due % 1)):
                    own.completed(now, chance.choice(workers))
                while now >= told[n] and own.start_attempt(
                    now, new_request(function, now), Instance(function, cold, 1)
                ):
                    times.append(now)
        sent += len(times)
        for at in times:
            count = sum(at - tip_ms < other <= at for other in times)
            share = least + (1 - least) * ((at + max(start, at - tip_ms)) / 2 - start) / cold_ms  # on the mean
            budget = tip * share * per_s / warm * tip_ms / 1000
            over += count > budget + 2 * budget**0.5 + 2
            spans += 1
    assert not over, f"{over} of {spans} spans"
    assert sent > (6 if many < 100 else 2) * 0.15 * tip * least * per_s / warm * 8, "it is used all the same"


def test_where_a_worker_loads_for_a_send_the_first_goes_without_an_order() -> None:
    for loads in (True, False):
        dispatcher, function = make(4, shared=0.5 + loads, loads_on_demand=loads, load_ration=PLENTY), model()
        for _ in range(20):
            dispatcher.parts.instances.observe_first_use(False)  # nothing stood for others
        found = take(dispatcher, function, 10.0, 1)
        assert [type(each) for each in found] == [Attempt if loads else LoadOrder]


def test_copies_go_where_this_dispatcher_may_send_and_barred_lanes_are_not_held() -> None:
    dispatcher, function = make(8, load_ration=PLENTY), model()
    home = ready(dispatcher, function)
    home.started_at = 2000.0
    dispatcher.on_endpoints(2000.0, dispatcher.workers, [home])
    home.instances[function].loaded = 1  # loaded again, for others
    safety = dispatcher.parts.safety
    safety._warm_throughput, safety._measured_at = 0.0, 1e9  # no attempt may start at a cold worker
    (order,) = (d for d in take(dispatcher, function, 2001.0, 1) if isinstance(d, LoadOrder))
    assert order.instance.worker is not home


def test_late_answers_close_admission_for_the_least_useful_first_and_timely_ones_open_it() -> None:
    queues = make().parts.queues
    for n in range(60):
        queues.observe_worker_delay(model(f"f{n}"), True)
    low = sum(queues.should_shed(1.0, new_request(model(), 0.0)) for _ in range(200))
    high = sum(queues.should_shed(1.0, new_request(model(request_class=kind(weight=8.0)), 0.0)) for _ in range(200))
    assert low > 190 > high > 0
    for _ in range(60):
        queues.observe_worker_delay(model(), False)
    assert not any(queues.should_shed(1.0, new_request(model(), 0.0)) for _ in range(200))


def test_a_deduplicated_one_that_may_have_run_is_rejected_only_while_its_mark_holds() -> None:
    cases = ((True, 100.0, "rejected"), (True, 9000.0, "aborted"), (False, 100.0, "aborted"))
    for marked, later, verdict in cases:
        dispatcher = make(workers=1)
        function = model(request_class=kind(Idempotency.DEDUPLICATED))
        ready(dispatcher, function)
        (send,) = take(dispatcher, function, 100.0, 1)
        send.request.has_idempotency_key = marked
        assert dispatcher.parts.safety.finish(100.0 + later, send.request).final_status == verdict


def test_a_refusal_that_names_a_time_beyond_the_window_is_none() -> None:
    """A client that comes back when it was told to must still be remembered."""
    dispatcher = make(workers=1, retry_after_ms=500.0)
    function = model(request_class=kind(Idempotency.DEDUPLICATED))
    ready(dispatcher, function)
    (send,) = take(dispatcher, function, 100.0, 1)
    function.load_ms = 1000.0
    within, beyond = 100.0 + 5000.0 - 600.0, 100.0 + 5000.0 - 400.0  # of the window of 5 s, half a second to come back
    assert dispatcher.terminate(within, send.request).final_status == "rejected"
    send.request.final_status = None
    assert dispatcher.terminate(beyond, send.request).final_status == "aborted"


# Second sends.


def settle(dispatcher: Dispatcher, function: Function, now: float, took: float, n: int) -> float:
    """Calls that end one after the other, so that the usual time is known."""
    for number in range(n):
        _, sends = out(dispatcher, function, now, 1000 + number)
        for send in sends:
            dispatcher.on_attempt_finished(now + took, send, AttemptResult(AttemptStatus.COMPLETED, True))
        now += took
        pull(dispatcher, now)
    return now


def hedged(effect: Idempotency = Idempotency.IDEMPOTENT) -> RequestClass:
    return RequestClass(effect.value, effect, 500.0, 2.0, 0.3, "all", 5000.0, True)


def out(dispatcher: Dispatcher, function: Function, now: float, n: int = 1) -> tuple[Request, list[Attempt]]:
    act = new_request(function, now, n)
    dispatcher.on_request(now, act)
    sends = []
    for _ in range(3):
        for decision in pull(dispatcher, now):
            if isinstance(decision, LoadOrder):
                dispatcher.on_load_report(now, decision, AttemptStatus.COMPLETED, decision.count)
            elif isinstance(decision, Attempt):
                sends.append(decision)
    return act, sends


def stand(dispatcher: Dispatcher, function: Function, now: float) -> None:
    """A copy at every worker."""
    for worker in dispatcher.workers:
        dispatcher.parts.instances.set_loaded(now, dispatcher.parts.instances.get_or_add(function, worker), 1)


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.DEDUPLICATED])
def test_a_hedge_goes_past_the_spread_of_times_to_another_worker(effect: Idempotency) -> None:
    dispatcher = make(3, load_ration=PLENTY)
    function = model(request_class=hedged(effect))
    now = settle(dispatcher, function, 0.0, 40.0, 30)
    stand(dispatcher, function, now)
    act, (first,) = out(dispatcher, function, now)
    wait = dispatcher.parts.retry_budget.hedge_delay(function, first.instance.worker)
    assert 40 <= wait < 60, "steady times leave little doubt"
    assert not pull(dispatcher, now + wait - 1)
    (second,) = [d for d in pull(dispatcher, now + wait + 1) if isinstance(d, Attempt)]
    assert second.request is act and second.instance.worker is not first.instance.worker
    dispatcher.on_attempt_finished(now + 90, second, AttemptResult(AttemptStatus.COMPLETED, True))
    assert [d for d in pull(dispatcher, now + 90) if isinstance(d, Attempt)] == [first] and first.cancelled


def test_no_hedge_without_leave_without_a_free_lane_or_without_budget() -> None:
    for type_, copies, budget in ((kind(), True, True), (hedged(), False, True), (hedged(), True, False)):
        dispatcher = make(3, load_ration=PLENTY)
        function = model(request_class=type_)
        now = settle(dispatcher, function, 0.0, 40.0, 30)
        if copies:
            stand(dispatcher, function, now)
        if not budget:
            while dispatcher.parts.retry_budget.try_spend():
                pass
        _, (first,) = out(dispatcher, function, now)
        others = [copy for copy in function.instances.values() if copy is not first.instance and copy.loaded]
        for copy in () if copies else others:
            copy.loaded = 0
        assert not [d for d in pull(dispatcher, now + 150) if isinstance(d, Attempt)]
        assert not function.queue_depth, "a hedge never waits in a queue"


def test_the_budget_for_second_sends_follows_what_is_completed() -> None:
    dispatcher = make(2, load_ration=PLENTY)
    attempts = dispatcher.parts.retry_budget
    spent = 0
    while attempts.try_spend():
        spent += 1
    assert 0 < spent <= 100
    for _ in range(51):
        attempts.deposit()
    again = 0
    while attempts.try_spend():
        again += 1
    assert again == 10, "a fifth of what was completed"


def test_rescues_beyond_the_budget_wait_until_it_has_room() -> None:
    """Guards against a fleet that falls silent under load and is sent everything a second time at once."""
    dispatcher = make(4, load_ration=PLENTY)
    function = model(concurrency=8)
    now = settle(dispatcher, function, 0.0, 40.0, 20)
    stand(dispatcher, function, now)
    while dispatcher.parts.retry_budget.try_spend():
        pass
    acts = [out(dispatcher, function, now, n) for n in range(6)]
    sends = [send for _, found in acts for send in found]
    assert len(sends) == 6
    now += 1500  # unusually long
    dispatcher.on_tick(now)
    assert all(send.overdue for send in sends) and not [d for d in pull(dispatcher, now) if isinstance(d, Attempt)]
    for _ in range(11):
        dispatcher.parts.retry_budget.deposit()
    now += 600  # workers that fell silent are barred for a time
    dispatcher.on_tick(now)
    assert len([d for d in pull(dispatcher, now) if isinstance(d, Attempt)]) == 2
    dispatcher.on_attempt_finished(now + 50, sends[5], AttemptResult(AttemptStatus.COMPLETED, True))
    for _ in range(100):
        dispatcher.parts.retry_budget.deposit()
    dispatcher.on_tick(now + 100)
    late = [d for d in pull(dispatcher, now + 100) if isinstance(d, Attempt) and not d.cancelled]
    assert 0 < len(late) <= 4 and all(d.request is not sends[5].request for d in late), (
        "what has ended is not sent again"
    )


def test_a_spread_of_times_and_a_slow_worker_make_the_wait_longer() -> None:
    dispatcher = make(2, load_ration=PLENTY)
    steady, spread, attempts = model("a"), model("b"), dispatcher.parts.retry_budget
    one, slow = dispatcher.workers
    for n in range(200):
        attempts.observe_latency(steady, one, 40.0)
        attempts.observe_latency(spread, one, 10.0 if n % 2 else 70.0)
    assert attempts.hedge_delay(spread, one) > 2 * attempts.hedge_delay(steady, one)
    for _ in range(50):
        attempts.observe_latency(spread, slow, 3 * spread.mean_latency_ms)
        attempts.observe_latency(spread, one, 0.3 * spread.mean_latency_ms)
    assert attempts.hedge_delay(spread, slow) == pytest.approx(
        2 * (spread.mean_latency_ms + 4 * spread.latency_deviation_ms), rel=0.2
    )


def test_what_a_client_takes_back_or_nobody_can_load_earns_no_orders() -> None:
    dispatcher = make(3, load_ration=LoadRation(True, 2.0, 0.5, 5000.0))
    gate, bogus = dispatcher.parts.safety, model("bogus")
    for n in range(40):
        act = new_request(model(f"t{n}"), 0.0, n)
        dispatcher.on_request(0.0, act)
        dispatcher.on_client_gone(act)
    assert not gate.request_times and not pull(dispatcher, 0.0)
    calls = [new_request(bogus, 1.0, n) for n in range(4)]
    for act in calls:
        dispatcher.on_request(1.0, act)
    (first,) = (d for d in pull(dispatcher, 1.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(2.0, first, AttemptStatus.ERROR, 0)
    assert not gate.request_times
    (second,) = (d for d in pull(dispatcher, 30.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(31.0, second, AttemptStatus.ERROR, 0)
    assert {d for d in pull(dispatcher, 31.0) if isinstance(d, Request)} == set(calls), "given up at once"
    assert all(act.final_status == "rejected" for act in calls)


def test_a_load_that_fails_of_a_function_that_stood_gives_up_nothing() -> None:
    dispatcher, function = make(3, load_ration=PLENTY), model()
    now = 0.0
    for outcome, standing in (
        (AttemptStatus.COMPLETED, 1),
        (AttemptStatus.ERROR, 0),
        (AttemptStatus.ERROR, 0),
        (AttemptStatus.ERROR, 0),
    ):
        for n in range(4):
            dispatcher.on_request(now, new_request(function, now, n))
        found = [d for d in pull(dispatcher, now) if isinstance(d, LoadOrder)]
        for order in found:
            dispatcher.on_load_report(now + 1, order, outcome, standing)
        assert not [d for d in pull(dispatcher, now + 1) if isinstance(d, Request)]
        now += 30


def test_one_send_that_merely_takes_long_bars_no_worker() -> None:
    dispatcher, function = make(1, load_ration=PLENTY), model(concurrency=4)
    worker = dispatcher.workers[0]
    acts = [new_request(function, 0.0, n, 9000.0) for n in range(3)]
    for act in acts:
        dispatcher.on_request(0.0, act)
    (order,) = (d for d in pull(dispatcher, 0.0) if isinstance(d, LoadOrder))
    dispatcher.on_load_report(0.0, order, AttemptStatus.COMPLETED, 1)
    sends = [d for d in pull(dispatcher, 0.0) if isinstance(d, Attempt)]
    dispatcher.on_attempt_finished(100.0, sends[0], AttemptResult(AttemptStatus.COMPLETED, True, warm=True))
    dispatcher.on_attempt_finished(101.0, sends[1], AttemptResult(AttemptStatus.COMPLETED, True, warm=True))
    dispatcher.on_tick(600.0)
    assert not worker.outlier_state.ejection_ms, "four usual times"
    dispatcher.on_tick(1400.0)
    assert sends[2].overdue and not worker.outlier_state.ejection_ms, "one answer is missing"
    for n in (8, 9):
        dispatcher.on_request(1400.0, new_request(function, 1400.0, n, 9000.0))
    assert len([d for d in pull(dispatcher, 1400.0) if isinstance(d, Attempt)]) == 2
    dispatcher.on_tick(2900.0)
    assert worker.outlier_state.ejection_ms, "two more are missing, and nothing else came"


def test_an_order_at_a_barred_worker_is_no_lane_under_way_and_load_times_are_learnt() -> None:
    dispatcher, function = make(3, load_ration=PLENTY), model()
    dispatcher.on_request(0.0, new_request(function, 0.0))
    (order,) = (d for d in pull(dispatcher, 0.0) if isinstance(d, LoadOrder))
    dispatcher.parts.outliers.eject(100.0, order.instance.worker.outlier_state)
    dispatcher.on_tick(200.0)
    (other,) = (d for d in pull(dispatcher, 200.0) if isinstance(d, LoadOrder))
    assert other.instance.worker is not order.instance.worker
    dispatcher.on_load_report(800.0, other, AttemptStatus.COMPLETED, 1)
    assert 600.0 < function.load_ms < 1000.0


# Ways in which the module gives up: each final answer comes in the round of decisions in which it falls.


def placed(dispatcher: Dispatcher, act: Request, now: float) -> Attempt:
    """Taken, and sent to a copy that its order brought, if none stood."""
    dispatcher.on_request(now, act)
    found = pull(dispatcher, now)
    for order in (d for d in found if isinstance(d, LoadOrder)):
        dispatcher.on_load_report(now, order, AttemptStatus.COMPLETED, order.count)
    (send,) = (d for d in [*found, *pull(dispatcher, now)] if isinstance(d, Attempt))
    return send


def answer(dispatcher: Dispatcher, send: Attempt, outcome: AttemptStatus, now: float) -> None:
    dispatcher.on_attempt_finished(now, send, AttemptResult(outcome, False))


Given = tuple[float, list[Request], str]  # when, what is given up then, and with which answer


def past_the_bound(dispatcher: Dispatcher) -> Given:
    acts = [new_request(model("f", 1), 0.0, n) for n in range(30)]
    for act in acts:
        act.function = acts[0].function
        dispatcher.on_request(0.0, act)
    return 0.0, acts[4:], "rejected"


def impatient(dispatcher: Dispatcher) -> Given:
    function = model()
    complete(dispatcher, placed(dispatcher, new_request(function, 0.0), 0.0), 400.0)
    act = new_request(function, 500.0, 1, 150.0)
    dispatcher.on_request(500.0, act)
    return 500.0, [act], "rejected"


def out_of_sends(dispatcher: Dispatcher) -> Given:
    dispatcher.parts.safety._max_attempts = 1
    act = new_request(model(), 0.0)
    answer(dispatcher, placed(dispatcher, act, 0.0), AttemptStatus.OUT_OF_CAPACITY, 40.0)
    return 40.0, [act], "rejected"


def once_only_broke(dispatcher: Dispatcher) -> Given:
    act = new_request(model(request_class=kind(Idempotency.AT_MOST_ONCE)), 0.0)
    answer(dispatcher, placed(dispatcher, act, 0.0), AttemptStatus.CONNECTION_LOST, 40.0)
    return 40.0, [act], "aborted"


def remembered_no_more(dispatcher: Dispatcher) -> Given:
    act = new_request(model(request_class=kind(Idempotency.DEDUPLICATED)), 0.0, 0, 9000.0)
    answer(dispatcher, placed(dispatcher, act, 0.0), AttemptStatus.CONNECTION_LOST, 5100.0)
    return 5100.0, [act], "aborted"


def too_late_to_send_again(dispatcher: Dispatcher) -> Given:
    function = model()
    complete(dispatcher, placed(dispatcher, new_request(function, 0.0), 0.0), 400.0)
    act = new_request(function, 500.0, 1, 900.0)
    answer(dispatcher, placed(dispatcher, act, 500.0), AttemptStatus.OUT_OF_CAPACITY, 1250.0)
    return 1250.0, [act], "rejected"


def nobody_can_load(dispatcher: Dispatcher) -> Given:
    acts = [new_request(model("bogus"), 0.0, n) for n in range(4)]
    for act in acts:
        act.function = acts[0].function
        dispatcher.on_request(0.0, act)
    for now in (0.0, 30.0):
        (order,) = (d for d in pull(dispatcher, stir(dispatcher, now)) if isinstance(d, LoadOrder))
        dispatcher.on_load_report(now + 1, order, AttemptStatus.ERROR, 0)
    return 31.0, acts, "rejected"


def overload_felt(dispatcher: Dispatcher) -> Given:
    dispatcher.parts.queues._admitted_share = 0.05
    acts = [new_request(model(), 0.0, n) for n in range(2)]
    for act in acts:
        dispatcher.on_request(0.0, act)
    return 0.0, acts, "rejected"


def time_is_up(dispatcher: Dispatcher) -> Given:
    act = new_request(model(request_class=kind(Idempotency.AT_MOST_ONCE)), 0.0)
    placed(dispatcher, act, 0.0)
    return 2995.0, [act], "aborted"


def hopeless_behind_others(dispatcher: Dispatcher) -> Given:
    function = model(concurrency=1)
    complete(dispatcher, placed(dispatcher, new_request(function, 0.0), 0.0), 400.0)
    placed(dispatcher, new_request(function, 500.0, 1), 500.0)
    for worker in dispatcher.workers:
        dispatcher.parts.outliers.eject(500.0, worker.outlier_state)
    behind = new_request(function, 500.0, 3, 800.0)
    for act in (new_request(function, 500.0, 2), behind):
        dispatcher.on_request(500.0, act)
    pull(dispatcher, 500.0)
    return 1100.0, [behind], "rejected"  # half of the usual time is left, and the first may still wait


def forgotten_behind_others(dispatcher: Dispatcher) -> Given:
    function = model(concurrency=1, request_class=kind(Idempotency.DEDUPLICATED))
    act = new_request(function, 0.0, 0, 9000.0)
    send = placed(dispatcher, act, 0.0)
    for worker in dispatcher.workers:
        worker.outlier_state.ejected_until = 8000.0
    answer(dispatcher, send, AttemptStatus.CONNECTION_LOST, 100.0)
    pull(dispatcher, 100.0)
    function.queue.appendleft(new_request(function, 100.0, 1, 9000.0))
    return 4980.0, [act], "aborted"


WAYS = [
    past_the_bound,
    impatient,
    out_of_sends,
    once_only_broke,
    remembered_no_more,
    too_late_to_send_again,
    nobody_can_load,
    overload_felt,
    time_is_up,
    hopeless_behind_others,
    forgotten_behind_others,
]


@pytest.mark.parametrize("longest", [500.0, 0.0])
@pytest.mark.parametrize("way", WAYS)
def test_what_is_given_up_gets_its_answer_at_once_and_a_time_to_return_where_allowed(
    way: Callable[[Dispatcher], Given], longest: float
) -> None:
    dispatcher = make(retry_after_ms=longest)
    now, acts, verdict = way(dispatcher)
    ended = [d for d in pull(dispatcher, now) if isinstance(d, Request)]
    assert sorted(a.id for a in ended) == sorted(a.id for a in acts)
    for act in ended:
        assert act.final_status == verdict
        assert act.retry_after_ms == (longest if verdict == "rejected" else 0.0)
