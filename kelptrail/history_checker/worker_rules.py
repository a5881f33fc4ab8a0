"""Rules 3 to 5, checked at the workers: draining, slow start, and the load ration."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import NamedTuple

from .history import ROUNDING_TOLERANCE, SLACK_MS, Event, History, earliest_arrival
from .result import Breach, CheckResult

# The actual work of an attempt may differ from the work that the dispatcher expected.
OVERLOAD_TOLERANCE = 1.1
# An activation id begins with the boot id of the dispatcher that accepted the call.
BOOT_ID_LENGTH = 16


class ListedState(NamedTuple):
    """The time at which a recipient was sent an endpoint list, and whether the list shows a worker as live."""

    since: float
    is_live: bool


def check_draining(history: History, result: CheckResult) -> None:
    """Check rule 3: no attempt or load order reaches a worker after the grace period.

    The period starts when a list that was sent to the dispatcher no longer shows the worker as live.
    """
    grace_ms = history.rules["drain_grace_ms"] + SLACK_MS
    states = _listed_states(history)
    for event in [*history.events_of("send"), *history.load_orders()]:
        not_live_since = _not_live_since(states.get((event["dispatcher"], event["worker"]), []), event)
        arrived = earliest_arrival(event)
        if not_live_since is not None and arrived > not_live_since + grace_ms:
            late_ms = arrived - not_live_since
            result.add_breach(
                Breach.DRAIN_BREACHES,
                f"{event['what']} to {event['worker']} {late_ms:.0f} ms after {event['dispatcher']} was told",
            )


def _listed_states(history: History) -> dict[tuple[str, str], list[ListedState]]:
    """Return the states of each worker in the lists sent to each recipient, by (recipient, worker)."""
    states: dict[tuple[str, str], list[ListedState]] = defaultdict(list)
    listed: dict[str, set[str]] = defaultdict(set)
    for event in history.events_of("list"):
        recipient, workers = event["to"], event["workers"]
        for worker, (state, _incarnation) in workers.items():
            states[recipient, worker].append(ListedState(event["t"], state == "live"))
        for worker in listed[recipient] - set(workers):
            states[recipient, worker].append(ListedState(event["t"], False))
        listed[recipient] |= set(workers)
    return states


def _not_live_since(states: list[ListedState], event: Event) -> float | None:
    """Return the time since which the worker was listed as not live when the event arrived, or None if it was live.

    The event may have arrived at any time from its earliest arrival to its recorded time.  A worker that was listed as
    live again within that interval counts as live.
    """
    not_live_since: float | None = None
    for since, is_live in states:
        if since > (event["t"] if is_live else earliest_arrival(event)):
            break
        if is_live:
            not_live_since = None
        elif not_live_since is None:
            not_live_since = since
    return not_live_since


def check_slow_start(history: History, result: CheckResult) -> None:
    """Check rule 4: the work sent to a worker during its slow start stays within a multiple of its capacity.

    In any window, the limit is the multiple x the worker's capacity at that time x the length of the window.  A worker
    that reports its overload breaks the rule in any case.
    """
    attempts: dict[str, list[Event]] = defaultdict(list)
    for event in history.events_of("send"):
        attempts[event["incarnation"]].append(event)
    reported_overloaded = {event["incarnation"] for event in history.events_of("fell")}
    for start in history.events_of("start"):
        incarnation, cold_ms = start["incarnation"], start["cold_ms"]
        if not cold_ms or start["t"] - start["started"] >= cold_ms:
            continue
        if incarnation in reported_overloaded or _is_overloaded(start, attempts[incarnation], history.rules):
            result.add_breach(Breach.COLD_BREACHES, f"{start['worker']} ({incarnation}) was sent too much while cold")


def _is_overloaded(start: Event, attempts: list[Event], rules: dict[str, float]) -> bool:
    """Return whether a worker received more work in a window of its slow start than rule 4 allows."""
    window_ms, cold_ms, cold_share = rules["tip_ms"], start["cold_ms"], start["cold_share"]
    work_ms, first_in_window = 0.0, 0
    overloaded = False
    for event in attempts:
        age_ms = event["t"] - start["started"]
        if age_ms >= cold_ms:
            break
        work_ms += event["work"]
        while attempts[first_in_window]["t"] < event["t"] - window_ms:
            work_ms -= attempts[first_in_window]["work"]
            first_in_window += 1
        capacity_share = cold_share + (1 - cold_share) * age_ms / cold_ms
        allowed_ms = OVERLOAD_TOLERANCE * rules["tip"] * capacity_share * start["cores"] * window_ms
        overloaded = overloaded or work_ms > allowed_ms
    return overloaded


def check_load_ration(history: History, result: CheckResult) -> None:
    """Check rule 5: the load orders of a dispatcher in a window stay within the load ration.

    The ration is a fixed number of orders plus a share of the calls that the dispatcher accepted in the window.
    """
    rules = history.rules
    window_ms = rules["load_span_ms"]
    if not window_ms:
        return
    # A load order may have waited this long for a connection before the worker read it.
    uncertainty_ms = SLACK_MS + rules["order_wait_ms"]
    accepted_by_boot, unresolved_by_dispatcher = _accepted_by_boot(history), _unresolved_by_dispatcher(history)
    dispatcher_numbers = history.dispatcher_numbers()
    orders: dict[str, list[float]] = defaultdict(list)
    for event in history.load_orders():
        orders[event["dispatcher"]].append(event["t"])
    for dispatcher, times in orders.items():
        name, _, boot = dispatcher.rpartition("/")
        accepted = sorted(
            accepted_by_boot.get(boot, []) + unresolved_by_dispatcher.get(dispatcher_numbers.get(name, -1), [])
        )
        for number, at in enumerate(times):
            recent_orders = number + 1 - bisect_right(times, at - window_ms + uncertainty_ms)
            recent_calls = bisect_right(accepted, at) - bisect_left(accepted, at - window_ms - SLACK_MS)
            allowed = rules["free_loads"] + rules["load_share"] * recent_calls
            if recent_orders > allowed + ROUNDING_TOLERANCE:
                result.add_breach(
                    Breach.RATION_BREACHES, f"{dispatcher}: {recent_orders} orders, {allowed:.1f} allowed"
                )


def _accepted_by_boot(history: History) -> dict[str, list[float]]:
    """Return the times of accepted calls by the boot id of the dispatcher that accepted them.

    The time of a call is that at which the client sent it, or that of its first attempt if no event shows the call.
    """
    accepted_at: dict[str, float] = {}
    for event in [*history.events_of("accepted"), *history.finals.values()]:
        if event["activation"] and event["call"] in history.calls:
            accepted_at[event["activation"]] = history.calls[event["call"]]["t"]
    for event in history.events_of("send"):
        accepted_at.setdefault(event["activation"], event["t"])
    by_boot: dict[str, list[float]] = defaultdict(list)
    for activation, at in accepted_at.items():
        by_boot[activation[:BOOT_ID_LENGTH]].append(at)
    return by_boot


def _unresolved_by_dispatcher(history: History) -> dict[int, list[float]]:
    """Return the times of calls that no event shows as accepted, refused or answered, by their dispatcher's number.

    Any incarnation of the dispatcher may have accepted such a call.
    """
    known = {event["call"] for event in [*history.events_of("accepted", "not-taken"), *history.finals.values()]}
    times: dict[int, list[float]] = defaultdict(list)
    for call_id, call in history.calls.items():
        if call_id not in known:
            times[call["dispatcher"]].append(call["t"])
    return times
