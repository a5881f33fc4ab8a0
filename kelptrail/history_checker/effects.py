"""Rule 2: no call of a client has a second effect beyond its class."""

from __future__ import annotations

from collections import Counter
from typing import Any

from .history import Event, History
from .result import Breach, CheckResult


def check_effects(history: History, result: CheckResult) -> None:
    """Rule 2, at the workers: by idempotency key where repeats are dropped, by call where there is at most one run."""
    effect_of_type = {t["name"]: t["effect"] for t in history.deployment["types"]}
    tickets = _tickets(history)
    effects: Counter[tuple[str, Any]] = Counter()
    ran: set[str] = set()
    for event in history.of("effect"):
        ran.add(event["activation"])
        kind = effect_of_type[event["type"]]
        if kind == "repeatable":
            continue
        key = event["mark"] if kind == "deduplicated" else tickets.get(event["activation"], event["activation"])
        effects[event["type"], key] += 1
        if effects[event["type"], key] == 2:
            result.add_breach(Breach.EFFECTS_TWICE, f"{event['type']} {key}")
    for activation, final in history.finals.items():
        if final["answer"] == "rejected" and activation in ran and _is_once_only(history, effect_of_type, final):
            result.add_breach(Breach.FALSE_REJECTIONS, f"{activation} was rejected and ran")


def _is_once_only(history: History, effect_of_type: dict[str, str], final: Event) -> bool:
    call = history.calls.get(final["call"])
    return call is not None and effect_of_type.get(call["type"]) == "once-only"


def _tickets(history: History) -> dict[str, Any]:
    """The client's ticket, one over all its retries, by activation."""
    calls = history.calls
    tickets = {a: calls[final["call"]]["ticket"] for a, final in history.finals.items() if final["call"] in calls}
    for event in history.of("accepted"):
        if event["call"] in calls:
            tickets.setdefault(event["activation"], calls[event["call"]]["ticket"])
    return tickets
