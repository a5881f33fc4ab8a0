"""Lease rules: a task has one holder at a time, and no use is accepted under an old fencing token.

Holders record the machine's time at which they checked their lease (`looked`).  If a check passes while a newer token
is already in use, the task had two holders.  Tokens of accepted uses must not get older in the order in which the uses
reached the side-effect log.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from .history import ROUNDING_TOLERANCE, Event, History
from .outages import Period
from .result import Breach, CheckResult

# A lease whose end was computed while a clock ran at a wrong rate may still be held for this long after that period.
CLOCK_RECOVERY_MS = 10_000.0
NO_TOKEN: list[Any] = [0, ""]  # older than every token


def check_leases(history: History, result: CheckResult) -> None:
    """Check all uses of all leases."""
    wrong_clocks = _wrong_clock_periods(history)
    # By task; the beginning and the end of a use are two events.
    uses, accepted_uses = defaultdict[str, list[Event]](list), defaultdict[str, list[Event]](list)
    for event in sorted(history.events_of("act", "done"), key=lambda e: e["t"]):
        uses[event["task"]].append(event)
        if event["taken"]:
            accepted_uses[event["task"]].append(event)
        else:
            result.old_tokens_refused += 1
    result.lease_uses = len(history.events_of("act"))
    for task, task_uses in uses.items():
        _check_single_holder(task, task_uses, wrong_clocks, result)
    for task, task_uses in accepted_uses.items():
        _check_token_order(task, task_uses, result)


def _wrong_clock_periods(history: History) -> list[Period]:
    """Return the periods in which a clock ran at a rate outside the bound that the leases assume."""
    bound = history.deployment.get("clock_bound", 0.0)
    return [
        Period(event["t"], event["t"] + event["seconds"] * 1000)
        for event in history.events_of("trouble")
        if event["kind"] == "clock-rate" and abs(event.get("factor", 1.0) - 1) > bound + ROUNDING_TOLERANCE
    ]


def _check_single_holder(task: str, uses: list[Event], wrong_clocks: list[Period], result: CheckResult) -> None:
    """Check that tokens never get older in the order in which their holders checked their leases.

    A second holder during or shortly after a period of `wrong_clocks` is counted, but is no breach.
    """
    newest = NO_TOKEN
    for event in sorted(uses, key=lambda e: e["looked"]):
        if event["token"] >= newest:
            newest = event["token"]
        elif any(start <= event["looked"] <= end + CLOCK_RECOVERY_MS for start, end in wrong_clocks):
            result.holders_two_by_clocks += 1
        else:
            result.add_breach(Breach.HOLDERS_TWO, f"{task}: {event['by']} under {event['token']} while {newest}")


def _check_token_order(task: str, uses: list[Event], result: CheckResult) -> None:
    """Check that tokens never get older in the order in which the side-effect log accepted their uses."""
    newest = NO_TOKEN
    for event in uses:
        if event["token"] < newest:
            result.add_breach(Breach.OLD_TOKENS_TAKEN, f"{task}: {event['token']} after {newest}")
        newest = max(newest, event["token"])
