"""Rules 3 to 5, at the workers: draining, slow start, and the ration of load orders."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import NamedTuple

from .history import ROUNDING, SLACK_MS, Event, History, arrived_by
from .result import Breach, CheckResult

OVERLOAD_TOLERANCE = 1.1  # attempts cost more or less than they were expected to
BOOT_ID_LENGTH = 16  # an activation id begins with the boot id of the dispatcher that accepted it


class ListedState(NamedTuple):
    """From when a worker is listed to a recipient as live, or as something else."""

    since: float
    is_live: bool


def check_draining(history: History, result: CheckResult) -> None:
    """Rule 3: no attempt or load order to a worker after the grace period that follows its draining."""
    grace_ms = history.rules["drain_grace_ms"] + SLACK_MS
    states = _listed_states(history)
    for event in [*history.of("send"), *history.load_orders()]:
        closed_at = _closed_at(states.get((event["dispatcher"], event["worker"]), []), event)
        arrived = arrived_by(event)
        if closed_at is not None and arrived > closed_at + grace_ms:
            late_ms = arrived - closed_at
            result.add_breach(
                Breach.DRAIN_BREACHES,
                f"{event['what']} to {event['worker']} {late_ms:.0f} ms after {event['dispatcher']} was told",
            )


def _listed_states(history: History) -> dict[tuple[str, str], list[ListedState]]:
    """What each recipient of endpoint lists was sent about each worker, by (recipient, worker)."""
    states: dict[tuple[str, str], list[ListedState]] = defaultdict(list)
    listed: dict[str, set[str]] = defaultdict(set)
    for event in history.of("list"):
        recipient, workers = event["to"], event["workers"]
        for worker, (state, _incarnation) in workers.items():
            states[recipient, worker].append(ListedState(event["t"], state == "live"))
        for worker in listed[recipient] - set(workers):
            states[recipient, worker].append(ListedState(event["t"], False))
        listed[recipient] |= set(workers)
    return states


def _closed_at(states: list[ListedState], event: Event) -> float | None:
    """Since when the worker was not live at the event's time; listed as live again within the doubt, it was live."""
    closed_at: float | None = None
    for since, is_live in states:
        if since > (event["t"] if is_live else arrived_by(event)):
            break
        if is_live:
            closed_at = None
        elif closed_at is None:
            closed_at = since
    return closed_at


def check_slow_start(history: History, result: CheckResult) -> None:
    """Rule 4: work sent to a worker that warms up stays under multiple x capacity x span in any span."""
    attempts: dict[str, list[Event]] = defaultdict(list)
    for event in history.of("send"):
        attempts[event["incarnation"]].append(event)
    collapsed = {event["incarnation"] for event in history.of("fell")}
    for start in history.of("start"):
        incarnation, cold_ms = start["incarnation"], start["cold_ms"]
        if not cold_ms or start["t"] - start["started"] >= cold_ms:
            continue
        if incarnation in collapsed or _is_overloaded(start, attempts[incarnation], history.rules):
            result.add_breach(Breach.COLD_BREACHES, f"{start['worker']} ({incarnation}) was sent too much while cold")


def _is_overloaded(start: Event, attempts: list[Event], rules: dict[str, float]) -> bool:
    """Whether a worker got more work within a span of its slow start than it may get."""
    span_ms, cold_ms, cold_share = rules["tip_ms"], start["cold_ms"], start["cold_share"]
    work_ms, first_in_span = 0.0, 0
    overloaded = False
    for event in attempts:
        age_ms = event["t"] - start["started"]
        if age_ms >= cold_ms:
            break
        work_ms += event["work"]
        while attempts[first_in_span]["t"] < event["t"] - span_ms:
            work_ms -= attempts[first_in_span]["work"]
            first_in_span += 1
        capacity_share = cold_share + (1 - cold_share) * age_ms / cold_ms
        allowed_ms = OVERLOAD_TOLERANCE * rules["tip"] * capacity_share * start["cores"] * span_ms
        overloaded = overloaded or work_ms > allowed_ms
    return overloaded


def check_load_ration(history: History, result: CheckResult) -> None:
    """Rule 5: a dispatcher's load orders of a span stay under a fixed number and a share of its accepted calls."""
    rules = history.rules
    span_ms = rules["load_span_ms"]
    if not span_ms:
        return
    # A load order may have waited for a connection for so long before the worker read it.
    doubt_ms = SLACK_MS + rules["order_wait_ms"]
    accepted_by_boot, unknown_by_dispatcher = _accepted_by_boot(history), _unknown_by_dispatcher(history)
    numbers = history.dispatcher_numbers()
    orders: dict[str, list[float]] = defaultdict(list)
    for event in history.load_orders():
        orders[event["dispatcher"]].append(event["t"])
    for dispatcher, times in orders.items():
        name, _, boot = dispatcher.rpartition("/")
        accepted = sorted(accepted_by_boot.get(boot, []) + unknown_by_dispatcher.get(numbers.get(name, -1), []))
        for number, when in enumerate(times):
            recent_orders = number + 1 - bisect_right(times, when - span_ms + doubt_ms)
            recent_calls = bisect_right(accepted, when) - bisect_left(accepted, when - span_ms - SLACK_MS)
            allowed = rules["free_loads"] + rules["load_share"] * recent_calls
            if recent_orders > allowed + ROUNDING:
                result.add_breach(
                    Breach.RATION_BREACHES, f"{dispatcher}: {recent_orders} orders, {allowed:.1f} allowed"
                )


def _accepted_by_boot(history: History) -> dict[str, list[float]]:
    """When activations were accepted, or first sent to a worker, by the boot id of their dispatcher."""
    accepted_at: dict[str, float] = {}
    for event in [*history.of("accepted"), *history.finals.values()]:
        if event["activation"] and event["call"] in history.calls:
            accepted_at[event["activation"]] = history.calls[event["call"]]["t"]
    for event in history.of("send"):
        accepted_at.setdefault(event["activation"], event["t"])
    by_boot: dict[str, list[float]] = defaultdict(list)
    for activation, when in accepted_at.items():
        by_boot[activation[:BOOT_ID_LENGTH]].append(when)
    return by_boot


def _unknown_by_dispatcher(history: History) -> dict[int, list[float]]:
    """Times of calls that no known incarnation of the dispatcher accepted, by the dispatcher's number."""
    known = {event["call"] for event in [*history.of("accepted", "not-taken"), *history.finals.values()]}
    times: dict[int, list[float]] = defaultdict(list)
    for number, call in history.calls.items():
        if number not in known:
            times[call["dispatcher"]].append(call["t"])
    return times
