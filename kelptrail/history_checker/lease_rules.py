"""Leases: one holder of a task at a time, and no use accepted under an old fencing token.

Holders record when they checked their lease, by the machine's clock.  One that passed its check at a time when a newer
token was in use was one of two holders.  What the side-effect log accepted is checked in order of arrival.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from .history import ROUNDING, Event, History
from .outages import Period
from .result import Breach, CheckResult

CLOCK_RECOVERY_MS = 10_000.0  # a lease computed while a clock ran at a wrong rate may last so much longer
NO_TOKEN: list[Any] = [0, ""]


def check_leases(history: History, result: CheckResult) -> None:
    """Check the uses of all leases."""
    wrong_clocks = _wrong_clock_periods(history)
    uses, accepted_uses = defaultdict[str, list[Event]](list), defaultdict[str, list[Event]](list)
    for event in sorted(history.of("act", "done"), key=lambda e: e["t"]):
        uses[event["task"]].append(event)
        if event["taken"]:
            accepted_uses[event["task"]].append(event)
        else:
            result.old_tokens_refused += 1
    result.lease_uses = len(history.of("act"))
    for task, of_task in uses.items():
        _check_holders(task, of_task, wrong_clocks, result)
    for task, of_task in accepted_uses.items():
        _check_tokens(task, of_task, result)


def _wrong_clock_periods(history: History) -> list[Period]:
    """When a clock ran at a rate outside the bound that the leases assume."""
    bound = history.deployment.get("clock_bound", 0.0)
    return [
        Period(event["t"], event["t"] + event["seconds"] * 1000)
        for event in history.of("trouble")
        if event["kind"] == "clock-rate" and abs(event.get("factor", 1.0) - 1) > bound + ROUNDING
    ]


def _check_holders(task: str, uses: list[Event], wrong_clocks: list[Period], result: CheckResult) -> None:
    """Tokens never get older in the order in which their holders checked their leases."""
    newest = NO_TOKEN
    for event in sorted(uses, key=lambda e: e["looked"]):
        if event["token"] >= newest:
            newest = event["token"]
        elif any(since <= event["looked"] <= until + CLOCK_RECOVERY_MS for since, until in wrong_clocks):
            result.holders_two_by_clocks += 1
        else:
            result.add_breach(Breach.HOLDERS_TWO, f"{task}: {event['by']} under {event['token']} while {newest}")


def _check_tokens(task: str, uses: list[Event], result: CheckResult) -> None:
    """Tokens never get older in the order in which the side-effect log accepted their uses."""
    newest = NO_TOKEN
    for event in uses:
        if event["token"] < newest:
            result.add_breach(Breach.OLD_TOKENS_TAKEN, f"{task}: {event['token']} after {newest}")
        newest = max(newest, event["token"])
