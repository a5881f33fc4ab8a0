"""Rule 2: no call has more side effects than the effect class of its type allows."""

from __future__ import annotations

from collections import Counter
from typing import Any

from .history import Event, History
from .result import Breach, CheckResult


def check_effects(history: History, result: CheckResult) -> None:
    """Check rule 2 at the workers.

    Effects of deduplicated types are counted by idempotency key (`mark`), and effects of once-only types by the
    client's call, including its retries.  A once-only call that was rejected must not have run.
    """
    effect_of_type = {type_["name"]: type_["effect"] for type_ in history.deployment["types"]}
    tickets = _tickets_by_activation(history)
    effect_counts: Counter[tuple[str, Any]] = Counter()
    activations_run: set[str] = set()
    for event in history.events_of("effect"):
        activations_run.add(event["activation"])
        effect = effect_of_type[event["type"]]
        if effect == "repeatable":
            continue
        key = event["mark"] if effect == "deduplicated" else tickets.get(event["activation"], event["activation"])
        effect_counts[event["type"], key] += 1
        if effect_counts[event["type"], key] == 2:
            result.add_breach(Breach.EFFECTS_TWICE, f"{event['type']} {key}")
    for activation, final in history.finals.items():
        if (
            final["answer"] == "rejected"
            and activation in activations_run
            and _is_once_only(history, effect_of_type, final)
        ):
            result.add_breach(Breach.FALSE_REJECTIONS, f"{activation} was rejected and ran")


def _is_once_only(history: History, effect_of_type: dict[str, str], final: Event) -> bool:
    call = history.calls.get(final["call"])
    return call is not None and effect_of_type.get(call["type"]) == "once-only"


def _tickets_by_activation(history: History) -> dict[str, Any]:
    """Map each activation to the client's ticket, which all retries of a call share."""
    calls = history.calls
    tickets = {
        activation: calls[final["call"]]["ticket"]
        for activation, final in history.finals.items()
        if final["call"] in calls
    }
    for event in history.events_of("accepted"):
        if event["call"] in calls:
            tickets.setdefault(event["activation"], calls[event["call"]]["ticket"])
    return tickets
