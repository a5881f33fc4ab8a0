"""Windows of recent requests: their memory and work do not depend on how many requests were seen."""

from __future__ import annotations

import random

import pytest
from helpers import AMPLE_LOADS, decide_all, make_dispatcher, make_function, new_request

from kelptrail.dispatch.entities import Request, Tenant
from kelptrail.dispatch.safety import LoadRation
from kelptrail.dispatch.sliding_window import MAX_BUCKETS, EventWindow

WINDOW_MS = 5000.0


# Guards against memory that grows with each request while no load is considered, some 25 MB an hour.
def test_an_hour_of_requests_for_loaded_functions_keeps_no_more_than_a_window() -> None:
    window = EventWindow(WINDOW_MS)
    for n in range(170 * 3600 // 10):
        window.add(n * 1000 / 17)
    assert len(window.buckets) <= MAX_BUCKETS + 1 and len(window) <= 17 * WINDOW_MS / 1000 + 1


def test_a_flood_of_requests_keeps_no_more_than_the_buckets_of_a_window() -> None:
    dispatcher = make_dispatcher(load_ration=AMPLE_LOADS)
    function, tenant = make_function(), Tenant("acme", 100.0)
    dispatcher.parts.queues._tenants = [tenant]
    counted = dispatcher.parts.safety.counted_requests
    for n in range(100_000):
        request = new_request(function, n / 20, n, timeout_ms=1.0, tenant=tenant)
        dispatcher.on_request(n / 20, request)
        if not n % 50:
            decide_all(dispatcher, n / 20)
    assert len(counted) == 100_000 and len(counted.buckets) <= MAX_BUCKETS + 1
    assert len(tenant.recent_requests.buckets) <= MAX_BUCKETS + 1


class ComparedTime(float):
    """A time that counts how often it is compared."""

    comparisons = 0

    def __eq__(self, other: object) -> bool:
        ComparedTime.comparisons += 1
        return float(self) == other

    __hash__ = float.__hash__


# Guards against a dispatcher that answers nobody: each request that was taken back searched all that were counted.
def test_taking_a_request_back_searches_no_other_requests() -> None:
    dispatcher, function = make_dispatcher(load_ration=AMPLE_LOADS), make_function()
    for n in range(20_000):
        dispatcher.count_request(n / 20, new_request(function, n / 20, n))
    request = new_request(function, ComparedTime(1000.0))
    dispatcher.on_request(1000.0, request)
    before, ComparedTime.comparisons = len(dispatcher.parts.safety.counted_requests), 0
    dispatcher.on_client_gone(request)
    assert ComparedTime.comparisons == 0
    assert len(dispatcher.parts.safety.counted_requests) == before - 1


@pytest.mark.parametrize("seed", range(20))
def test_a_window_never_counts_more_than_an_exact_one_and_loses_at_most_a_bucket(seed: int) -> None:
    draw, window, exact, now = random.Random(seed), EventWindow(WINDOW_MS), [], 0.0
    removable = []
    for _ in range(3000):
        now += draw.choice([0.0, 0.1, 1.0, 30.0, 400.0]) * draw.random()
        if draw.random() < 0.8:
            removable.append((window.add(now), now))
            exact.append(now)
        elif removable:
            bucket, at = removable.pop(draw.randrange(len(removable)))
            window.remove(bucket)
            exact.remove(at)
        until = now - WINDOW_MS
        count = window.count_after(until)
        assert count == len(window) <= sum(at > until for at in exact)
        assert count >= sum(at > until + WINDOW_MS / MAX_BUCKETS for at in exact)


def test_a_request_is_taken_out_of_the_ration_once_and_only_if_it_was_counted() -> None:
    dispatcher = make_dispatcher(3, load_ration=LoadRation(True, 2.0, 0.5, 5000.0))
    guard, function = dispatcher.parts.safety, make_function()
    counted, same_time, uncounted = (new_request(function, 0.0, n) for n in range(3))
    for request in (counted, same_time):
        dispatcher.on_request(0.0, request)
    dispatcher.on_request(0.0, uncounted, count=False)
    requests: list[Request] = [uncounted, counted, counted]
    for request in requests:
        guard.uncount_request(request)
    assert len(guard.counted_requests) == 1
