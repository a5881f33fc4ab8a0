"""Overload control: stages with hysteresis, spaced retry-after times, and requests that must not be delayed."""

from __future__ import annotations

import random
from heapq import heappop, heappush

from kelptrail.gateway.overload import OverloadController, OverloadSettings, OverloadStage


def run_load(
    controller: OverloadController,
    start: float,
    seconds: float,
    per_s: float,
    rejected_share: float,
    completed_share: float,
    seed: int = 1,
    retry_share: float = 0.0,
) -> tuple[float, list[float]]:
    """Send requests at a rate; a share of them is rejected, and a share of the others completed.

    `retry_share` is the probability that a request is the immediate retry of a rejected one.  Returns the time of the
    last request and the retry-after times.
    """
    random_source, now = random.Random(seed), start
    retry_after_ms, rejected_clients = list[float](), list[str]()
    number = 0
    while now < start + seconds * 1000:
        now += random_source.expovariate(per_s / 1000)
        number += 1
        is_retry = rejected_clients and random_source.random() < retry_share
        client = rejected_clients.pop(0) if is_retry else f"{seed}-{start}-{number}"
        wait_ms = controller.on_request(now, client)
        if wait_ms is not None:
            retry_after_ms.append(wait_ms)
            rejected_clients.append(client)
        elif random_source.random() < rejected_share:
            retry_after_ms.append(controller.on_rejected(now, client, 1000.0))
            rejected_clients.append(client)
        elif random_source.random() < completed_share:
            controller.on_completed(now, client)
    return now, retry_after_ms


def test_a_retry_storm_is_detected_as_it_starts_and_ends_in_steps() -> None:
    controller = OverloadController(OverloadSettings(), 1)
    now, retry_after_ms = run_load(controller, 0.0, 10, 400, 0.0, 1.0)
    assert controller.stage is OverloadStage.CALM and not retry_after_ms
    storm_start = now
    now, retry_after_ms = run_load(controller, now, 6, 1600, 0.8, 1.0, 2, retry_share=0.6)
    assert controller.stage is OverloadStage.STORM
    entered_at = dict(reversed([(stage, when) for when, stage in controller.stage_history]))
    assert (
        entered_at[OverloadStage.RISING] - storm_start < 1000 and entered_at[OverloadStage.STORM] - storm_start < 2500
    )
    now, _ = run_load(controller, now, 2, 420, 0.02, 1.0, 3)
    assert controller.stage is OverloadStage.RECOVERING
    now, _ = run_load(controller, now, 6, 400, 0.0, 1.0, 4)
    assert controller.stage is OverloadStage.CALM
    order = [stage for _, stage in controller.stage_history]
    assert order[:2] == [OverloadStage.RISING, OverloadStage.STORM] and order[-2:] == [
        OverloadStage.RECOVERING,
        OverloadStage.CALM,
    ]
    assert len(order) <= 8, "few changes of stage"


def test_a_burst_that_is_served_or_a_few_rejections_do_not_start_a_storm() -> None:
    for rejected_share, per_s in ((0.0, 2000.0), (0.1, 400.0), (0.1, 1200.0)):
        controller = OverloadController(OverloadSettings(), 1)
        now, _ = run_load(controller, 0.0, 10, 400, 0.0, 1.0)
        _, retry_after_ms = run_load(controller, now, 8, per_s, rejected_share, 1.0, 2)
        assert controller.stage is OverloadStage.CALM, (rejected_share, per_s)
        assert set(retry_after_ms) <= {1000.0}, "the dispatcher's own retry-after time"


def test_retry_after_times_are_spaced_according_to_the_retry_capacity() -> None:
    controller = OverloadController(OverloadSettings(max_retry_after_ms=600_000.0), 1)
    now, _ = run_load(controller, 0.0, 10, 400, 0.0, 1.0)
    now, _ = run_load(controller, now, 4, 1600, 0.7, 1.0, 2)
    assert controller.stage is OverloadStage.STORM
    completed_per_s, first_tries_per_s = controller.signals.completed_per_s, controller.signals.first_tries_per_s
    retry_capacity_per_s = max(completed_per_s - first_tries_per_s, 0.1 * completed_per_s, 1.0)
    before = controller.retry_after.last_slot_at
    times = sorted(now + controller.on_rejected(now, f"x{n}", 0.0) for n in range(200))
    queued_ms = controller.retry_after.last_slot_at - before
    assert queued_ms > 0.9 * 200 * 1000 / retry_capacity_per_s, "each client has its own slot"
    assert len({round(t) for t in times}) > 190, "the times are spread"
    bounded = OverloadController(OverloadSettings(max_retry_after_ms=3000.0), 1)
    now, _ = run_load(bounded, 0.0, 10, 400, 0.0, 1.0)
    now, retry_after_ms = run_load(bounded, now, 6, 4000, 0.95, 1.0, 2)
    assert max(retry_after_ms) <= 3000
    assert len({round(t) for t in retry_after_ms[-200:]}) > 100, "the times are also spread at the maximum"
    assert bounded.retry_after.last_slot_at <= now + 3000


def test_an_early_retry_is_rejected_on_arrival_with_a_longer_but_bounded_retry_after_time() -> None:
    controller = OverloadController(OverloadSettings(), 1)
    now, _ = run_load(controller, 0.0, 10, 400, 0.0, 1.0)
    now, _ = run_load(controller, now, 6, 1600, 0.8, 1.0, 2, retry_share=0.6)
    assert controller.stage is OverloadStage.STORM
    first = controller.on_rejected(now, "early-client", 4000.0)
    slot = controller.retry_after.last_slot_at
    waits_ms = [controller.on_request(now + 10 + n, "early-client") for n in range(8)]
    assert all(b is not None and b <= 12_000 for b in waits_ms)
    assert controller.retry_after.last_slot_at == slot, "an early retry does not take another slot"
    assert waits_ms[0] is not None and waits_ms[0] > 0.74 * min(12_000.0, 1.5 * (first - 10)), "the time grows"
    last = waits_ms[-1]
    assert last is not None
    assert controller.on_request(now + 20 + last + 100, "early-client") is None, "a retry at its time is admitted"
    controller.on_completed(now + 30_000, "early-client")
    assert "early-client" not in controller.retry_after


def test_clients_that_never_retry_are_removed() -> None:
    controller = OverloadController(OverloadSettings(forget_after_ms=2000.0), 1)
    now, _ = run_load(controller, 0.0, 5, 400, 0.3, 1.0)
    assert len(controller.retry_after) > 300
    run_load(controller, now, 5, 200, 0.0, 1.0, 2)
    assert len(controller.retry_after) == 0


def test_a_disabled_controller_only_measures_and_bounds_its_memory() -> None:
    controller = OverloadController(OverloadSettings(enabled=False, max_clients=500), 1)
    now, _ = run_load(controller, 0.0, 5, 400, 0.0, 1.0)
    _, retry_after_ms = run_load(controller, now, 6, 1600, 0.8, 1.0, 2, retry_share=0.6)
    assert controller.stage is OverloadStage.STORM
    assert set(retry_after_ms) == {1000.0} and len(controller.retry_after) <= 500
    assert controller.status()["stage"] == "storm"


def test_connections_and_missing_instances_raise_the_stage_but_start_no_storm() -> None:
    controller = OverloadController(OverloadSettings(), 1)
    now = 0.0
    while now < 10_000:
        now += 5
        controller.on_connection(now) if now % 50 == 0 else controller.on_attempt_answered(now, False)
    assert controller.stage is OverloadStage.CALM
    while now < 12_000:  # all clients reconnect
        now += 2
        controller.on_connection(now)
    assert controller.stage is OverloadStage.RISING
    assert [stage for _, stage in controller.stage_history] == [OverloadStage.RISING]
    while now < 15_000:
        now += 50
        controller.on_connection(now)
    assert controller.stage is OverloadStage.CALM
    controller.signals.cold_share = 0.1
    for share, stage in ((0.1, OverloadStage.CALM), (0.6, OverloadStage.RISING)):
        controller.signals.cold_share = share
        for _ in range(600):
            now += 3
            controller.on_attempt_answered(now, True)
        assert controller.stage is stage, "missing instances count only while workers are cold"


def test_retries_of_a_tenant_over_quota_only_use_the_remaining_capacity() -> None:
    """While one tenant causes a retry storm, the usual requests and retries of the other tenant are admitted."""
    controller = OverloadController(OverloadSettings(), 1, {"quiet": 1.0, "loud": 1.0})
    random_source, now, number = random.Random(3), 0.0, 0
    held_back, admitted = {"quiet": 0, "loud": 0}, {"quiet": 0, "loud": 0}
    retries = list[tuple[float, str, str]]()  # time, tenant and client
    while now < 30_000:
        now += 1
        arrivals = [
            (tenant, f"{tenant}-{number}")
            for tenant, probability in (("quiet", 0.2), ("loud", 0.2 + (now > 8000)))
            if random_source.random() < probability
        ]
        while retries and retries[0][0] <= now:
            arrivals.append(heappop(retries)[1:])
        for tenant, client in arrivals:
            number += 1
            retry_after_ms = controller.on_request(now, client, tenant, 1.0)
            counted = now > 12_000 and controller.stage is OverloadStage.STORM
            if retry_after_ms is not None:
                held_back[tenant] += counted
                heappush(retries, (now + retry_after_ms, tenant, client))
            elif random_source.random() < (0.0 if now < 8000 else 0.7):
                admitted[tenant] += counted
                heappush(retries, (now + controller.on_rejected(now, client, 100.0), tenant, client))
            else:
                admitted[tenant] += counted
                controller.on_completed(now, client)
    assert (
        controller.quotas.held_back > 100
        and held_back["loud"] > 100
        and held_back["quiet"] == 0
        and admitted["quiet"] > 1000
    )


def test_a_tenant_over_quota_is_held_back_only_while_others_are_degraded() -> None:
    controller = OverloadController(OverloadSettings(), 1, {"quiet": 2.0, "loud": 1.0})
    random_source, now = random.Random(5), 0.0
    requests_by_second: dict[float, list[int]] = {}  # numbers of arrived and admitted requests
    while now < 30_000:
        now += 1
        surge = 10_000 < now < 20_000
        for tenant, probability in (("quiet", 0.4), ("loud", 1.0 if surge else 0.2)):
            if random_source.random() >= probability:
                continue
            client = f"{tenant} {now}"
            retry_after_ms = controller.on_request(now, client, tenant)
            counts = requests_by_second.setdefault(now // 1000, [0, 0])
            if tenant == "loud":
                counts[0] += 1
                counts[1] += retry_after_ms is None
            else:
                assert retry_after_ms is None, "a tenant within its quota is not held back"
            if retry_after_ms is None:
                # More requests are admitted than can be served.
                overloaded = surge and controller.quotas.admitted_share > 0.4
                controller.on_completed(now, client, tenant, late=overloaded and random_source.random() < 0.5)
    share = {second: admitted / arrived for second, (arrived, admitted) in requests_by_second.items() if arrived}
    assert all(share[n] == 1.0 for n in range(10)) and all(share[n] < 0.6 for n in range(13, 20))
    assert all(share[n] == 1.0 for n in range(24, 30)), "all requests are admitted once no other tenant is degraded"
    other = OverloadController(OverloadSettings(), 1, {"quiet": 2.0, "loud": 1.0})
    for step in range(20_000):  # one tenant is over its quota, but no other tenant is degraded
        tenant = "loud" if step % 2 else "quiet"
        assert other.on_request(step, f"{tenant} {step}", tenant) is None
        other.on_completed(step, f"{tenant} {step}", tenant)
    assert other.quotas.admitted_share == 1.0
