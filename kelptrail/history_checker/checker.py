"""Checks the five rules against captured traffic: clients' calls and answers, what reached workers, endpoint lists.

It imports nothing of the program.  Times are milliseconds of one machine's monotonic clock.  Where a capture has only
the time of a read, `lag` is how much earlier it may have arrived; in doubt the dispatcher is taken to be right.
"""

from __future__ import annotations

import json
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

Event = dict[str, Any]
STARTUP_MS = 250.0  # a process that reports ready still has to read what arrived while it started
CLOCK_RECOVERY_MS = 10_000.0  # a lease computed while a clock ran at a wrong rate may last so much longer
SLACK_MS = 60.0  # added to a time by loopback, a loaded machine and the capturing process


class CaptureError(ValueError):
    """A line of a capture that cannot be read."""


@dataclass(slots=True)
class CheckResult:
    """Counts of what happened, and of each rule's breaches with details.  Field names are keys of `report.json`."""

    taken: int = 0
    completed: int = 0
    rejected: int = 0
    aborted: int = 0
    unanswered: int = 0
    accepted_lost: int = 0
    late_finals: int = 0
    finals_twice: int = 0
    sends_after_final: int = 0
    sends_after_part: int = 0
    effects_twice: int = 0
    false_rejections: int = 0
    drain_breaches: int = 0
    cold_breaches: int = 0
    ration_breaches: int = 0
    holders_two: int = 0
    old_tokens_taken: int = 0
    promises_denied: int = 0  # polls of an acknowledged activation that were answered as unknown
    holders_two_by_clocks: int = 0  # while a clock ran at a rate outside its bound
    old_tokens_refused: int = 0
    acts: int = 0
    lost_with_disk: int = 0
    lost_with_dispatcher: int = 0
    not_taken: int = 0
    other_answers: int = 0
    sends: int = 0
    loads: int = 0
    effects: int = 0
    details: list[str] = field(default_factory=list)

    BREACHES = (
        "unanswered",
        "accepted_lost",
        "late_finals",
        "finals_twice",
        "sends_after_final",
        "sends_after_part",
        "effects_twice",
        "false_rejections",
        "drain_breaches",
        "cold_breaches",
        "ration_breaches",
        "holders_two",
        "old_tokens_taken",
        "promises_denied",
    )

    @property
    def broken(self) -> bool:
        """Whether any rule was broken."""
        return any(getattr(self, name) for name in self.BREACHES)

    def add_breach(self, name: str, words: str) -> None:
        """Count a breach and keep its details."""
        setattr(self, name, getattr(self, name) + 1)
        if len(self.details) < 200:
            self.details.append(f"{name}: {words}")

    def counts(self) -> dict[str, int]:
        """All counts by name."""
        return {name: value for name in self.__slots__ if isinstance(value := getattr(self, name), int)}


def read_captures(folder: Path) -> list[Event]:
    """All captures of a folder in order of time.  A torn last line of a killed process is skipped.  Raises
    `CaptureError` with the first other line that cannot be read."""
    events: list[Event] = []
    for file in sorted(folder.glob("*.jsonl")):
        lines = file.read_text(encoding="utf-8").split("\n")
        for number, line in enumerate(lines):
            if not line:
                continue
            try:
                events.append(json.loads(line))
            except ValueError:
                if number < len(lines) - 2:
                    raise CaptureError(f"{file.name}:{number + 1} is no capture line") from None
    events.sort(key=lambda event: event["t"])
    return events


def check_history(events: Iterable[Event]) -> CheckResult:
    """Check all rules on the events of one run."""
    by_kind: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        by_kind[event["what"]].append(event)
    (deployment,) = by_kind["world"]
    result = CheckResult()
    calls = {event["call"]: event for event in by_kind["call"]}
    finals = _check_answers(result, by_kind, calls)
    _check_effects(result, by_kind, calls, finals, deployment)
    _check_attempts_after_final(result, by_kind, finals)
    _check_attempts_after_part(result, by_kind)
    _check_draining(result, by_kind, deployment)
    _check_slow_start(result, by_kind, deployment)
    _check_load_ration(result, by_kind, calls, finals, deployment)
    _check_leases(result, by_kind, deployment)
    result.sends = len(by_kind["send"])
    result.loads = sum(event["copies"] > 0 for event in by_kind["order"])
    result.effects = len(by_kind["effect"])
    return result


def _check_answers(result: CheckResult, by_kind: dict[str, list[Event]], calls: dict[str, Event]) -> dict[str, Event]:
    """Rule 1, at the clients: each accepted call has one final answer in time.  Returns final answers by activation."""
    downs: dict[int, list[tuple[float, float]]] = defaultdict(list)  # from a kill or a pause until it runs again
    for event in [*by_kind["kill"], *by_kind["stopped"]]:
        back = (
            e["t"]
            for e in [*by_kind["restarted"], *by_kind["woken"]]
            if e["dispatcher"] == event["dispatcher"] and e["t"] > event["t"]
        )
        downs[event["dispatcher"]].append((event["t"], min(back, default=float("inf"))))
    names = {name: number for number, name in enumerate(by_kind["world"][0].get("names", []))}
    apart: dict[int, list[tuple[float, float]]] = defaultdict(list)  # cut off from the others
    for event in by_kind["trouble"]:
        for name in event.get("of", []) if event["kind"] == "cut-peers" else []:
            apart[names.get(name, -1)].append((event["t"], event["t"] + event["seconds"] * 1000))

    def was_down(call: Event, end: float) -> bool:
        """Whether a dispatcher that may have accepted the call was down during it."""
        spans = [s for found in downs.values() for s in found] if call.get("front") else downs[call["dispatcher"]]
        return any(call["t"] <= back + STARTUP_MS and since <= end + SLACK_MS for since, back in spans)

    not_taken = {event["call"] for event in by_kind["not-taken"]}
    result.not_taken = len(not_taken)
    # An acknowledged activation must be found again, whatever happened to its dispatcher, where that keeps a journal.
    accepted = {event["call"] for event in by_kind["accepted"]} if by_kind["world"][0].get("kept") else set()
    copied = by_kind["world"][0].get("copies", 0)
    gone = {event["dispatcher"] for event in by_kind["disk-lost"]} if not copied else set()
    for event in by_kind["denied"]:
        if event["call"] in accepted:
            result.add_breach("promises_denied", f"{event['activation']} at {event['at']}")
    final_of: dict[str, list[Event]] = defaultdict(list)
    ends: dict[str, float] = {event["call"]: event["t"] for event in by_kind["no-answer"]}
    by_activation: dict[str, Event] = {}
    for event in by_kind["final"]:
        final_of[event["call"]].append(event)
        if event["activation"]:
            known = by_activation.setdefault(event["activation"], event)
            if known is not event and known["answer"] != event["answer"]:
                result.add_breach("finals_twice", f"{event['activation']} {known['answer']}, {event['answer']}")
    for number, call in calls.items():
        if number in not_taken:
            continue
        result.taken += 1
        found = final_of.get(number)
        if not found:
            end = ends.get(number, float("inf"))
            if number in accepted and call["dispatcher"] in gone:
                result.lost_with_disk += 1  # stored on that one disk alone
            elif number in accepted and any(event["call"] == number for event in by_kind["no-answer"]):
                result.add_breach("accepted_lost", f"{number} {call['action']} was acknowledged and is not known")
            elif was_down(call, end):
                result.lost_with_dispatcher += 1
            else:
                result.add_breach("unanswered", f"{number} {call['action']} by {call['dispatcher']}")
            continue
        if len(found) > 1:
            result.add_breach("finals_twice", number)
        final = found[0]
        if final["answer"] in ("completed", "rejected", "aborted"):
            setattr(result, final["answer"], getattr(result, final["answer"]) + 1)
        else:
            result.other_answers += 1
        took = final["took"] if final.get("took") is not None else final["t"] - final["lag"] - call["t"]
        if (
            took > call["limit_ms"] + SLACK_MS
            and not was_down(call, final["t"])
            and not (
                copied
                and number in accepted
                and any(call["t"] <= back and since <= final["t"] for since, back in apart[call["dispatcher"]])
            )
        ):
            result.add_breach("late_finals", f"{number} took {took:.0f} of {call['limit_ms']:.0f} ms")
    return by_activation


def _check_effects(
    result: CheckResult,
    by_kind: dict[str, list[Event]],
    calls: dict[str, Event],
    finals: dict[str, Event],
    deployment: Event,
) -> None:
    """Rule 2, at the workers: no call of a client has a second effect beyond its class."""
    effects = {t["name"]: t["effect"] for t in deployment["types"]}
    ticket_of = {a: calls[f["call"]]["ticket"] for a, f in finals.items() if f["call"] in calls}
    for event in by_kind["accepted"]:
        if event["call"] in calls:
            ticket_of.setdefault(event["activation"], calls[event["call"]]["ticket"])
    seen: Counter[tuple[str, Any]] = Counter()
    ran: set[str] = set()
    for event in by_kind["effect"]:
        kind = effects[event["type"]]
        ran.add(event["activation"])
        if kind == "repeatable":
            continue
        whose = event["mark"] if kind == "deduplicated" else ticket_of.get(event["activation"], event["activation"])
        seen[event["type"], whose] += 1
        if seen[event["type"], whose] == 2:
            result.add_breach("effects_twice", f"{event['type']} {whose}")
    for activation, final in finals.items():
        kind = effects.get(calls[final["call"]]["type"]) if final["call"] in calls else None
        if final["answer"] == "rejected" and kind == "once-only" and activation in ran:
            result.add_breach("false_rejections", f"{activation} was rejected and ran")


def _check_attempts_after_final(result: CheckResult, by_kind: dict[str, list[Event]], finals: dict[str, Event]) -> None:
    """Rule 1, at the workers: no attempt begins once the client has its answer."""
    for event in by_kind["send"]:
        final = finals.get(event["activation"])
        if final is not None and event["t"] - event["lag"] > final["t"] + SLACK_MS:
            result.add_breach(
                "sends_after_final",
                f"{event['activation']} at {event['worker']}, {event['t'] - final['t']:.0f} ms later",
            )


def _check_attempts_after_part(result: CheckResult, by_kind: dict[str, list[Event]]) -> None:
    """Rule 1, streamed answers: no attempt begins once the client has received a part."""
    seen = {event["activation"]: event["t"] for event in reversed(by_kind["part"])}
    for event in by_kind["send"]:
        since = seen.get(event["activation"])
        if since is not None and event["t"] - event["lag"] > since + SLACK_MS:
            result.add_breach(
                "sends_after_part", f"{event['activation']} at {event['worker']}, {event['t'] - since:.0f} ms later"
            )


def _check_draining(result: CheckResult, by_kind: dict[str, list[Event]], deployment: Event) -> None:
    """Rule 3: no attempt or load order to a worker after the grace period that follows its draining."""
    grace = deployment["rules"]["drain_grace_ms"] + SLACK_MS
    told: dict[tuple[str, str], list[tuple[float, bool]]] = defaultdict(list)  # (recipient, worker): since, live
    listed: dict[str, set[str]] = defaultdict(set)
    for event in by_kind["list"]:
        who = event["to"]
        for worker, (state, _incarnation) in event["workers"].items():
            told[who, worker].append((event["t"], state == "live"))
        for worker in listed[who] - set(event["workers"]):
            told[who, worker].append((event["t"], False))
        listed[who] |= set(event["workers"])
    for event in [*by_kind["send"], *(e for e in by_kind["order"] if e["copies"] > 0)]:
        history = told.get((event["dispatcher"], event["worker"]), [])
        came = event["t"] - event["lag"]
        shut: float | None = None
        for since, is_open in history:  # listed as live again within the uncertainty, it was live
            if since > (event["t"] if is_open else came):
                break
            shut = None if is_open else (since if shut is None else shut)
        if shut is not None and came > shut + grace:
            result.add_breach(
                "drain_breaches",
                f"{event['what']} to {event['worker']} {came - shut:.0f} ms after {event['dispatcher']} was told",
            )


def _check_slow_start(result: CheckResult, by_kind: dict[str, list[Event]], deployment: Event) -> None:
    """Rule 4, slow start: work sent to a worker that warms up stays under multiple x capacity x span in any span."""
    rules = deployment["rules"]
    sends: dict[str, list[Event]] = defaultdict(list)
    for event in by_kind["send"]:
        sends[event["incarnation"]].append(event)
    fell = {event["incarnation"] for event in by_kind["fell"]}
    for start in by_kind["start"]:
        incarnation, cold_ms = start["incarnation"], start["cold_ms"]
        if not cold_ms or start["t"] - start["started"] >= cold_ms:
            continue
        span, total, first = rules["tip_ms"], 0.0, 0
        here = sends[incarnation]
        broken = incarnation in fell
        for event in here:
            age = event["t"] - start["started"]
            if age >= cold_ms:
                break
            total += event["work"]
            while here[first]["t"] < event["t"] - span:
                total -= here[first]["work"]
                first += 1
            warmth = start["cold_share"] + (1 - start["cold_share"]) * age / cold_ms
            broken = broken or total > 1.1 * rules["tip"] * warmth * start["cores"] * span
        if broken:
            result.add_breach("cold_breaches", f"{start['worker']} ({incarnation}) was sent too much while cold")


def _check_load_ration(
    result: CheckResult,
    by_kind: dict[str, list[Event]],
    calls: dict[str, Event],
    finals: dict[str, Event],
    deployment: Event,
) -> None:
    """Rule 5: a dispatcher's load orders of a span stay under a fixed number and a share of its accepted calls."""
    rules = deployment["rules"]
    span = rules["load_span_ms"]
    if not span:
        return
    # A load order may have waited for a connection for so long before the worker read it.
    doubt = SLACK_MS + rules["order_wait_ms"]
    taken_at: dict[str, float] = {}
    for event in [*by_kind["accepted"], *finals.values()]:
        if event["activation"] and event["call"] in calls:
            taken_at[event["activation"]] = calls[event["call"]]["t"]
    boots: dict[str, list[float]] = defaultdict(list)
    known = {event["call"] for event in [*by_kind["accepted"], *finals.values(), *by_kind["not-taken"]]}
    lost: dict[int, list[float]] = defaultdict(list)  # calls that no known incarnation of the dispatcher accepted
    for id_, call in calls.items():
        if id_ not in known:
            lost[call["dispatcher"]].append(call["t"])
    numbers = {name: number for number, name in enumerate(deployment.get("names", []))}
    for event in by_kind["send"]:
        taken_at.setdefault(event["activation"], event["t"])
    for activation, when in taken_at.items():
        boots[activation[:16]].append(when)
    for times in boots.values():
        times.sort()
    orders: dict[str, list[float]] = defaultdict(list)
    for event in by_kind["order"]:
        if event["copies"] > 0:
            orders[event["dispatcher"]].append(event["t"])
    for dispatcher, times in orders.items():
        name, _, boot = dispatcher.rpartition("/")
        taken = sorted(boots.get(boot, []) + lost[numbers.get(name, -1)])
        for number, when in enumerate(times):
            recent = number + 1 - bisect_right(times, when - span + doubt)
            came = bisect_right(taken, when) - bisect_left(taken, when - span - SLACK_MS)
            allowed = rules["free_loads"] + rules["load_share"] * came
            if recent > allowed + 1e-9:
                result.add_breach("ration_breaches", f"{dispatcher}: {recent} orders, {allowed:.1f} allowed")


def _check_leases(result: CheckResult, by_kind: dict[str, list[Event]], deployment: Event) -> None:
    """Leases: one holder of a task at a time, and no use accepted under an old fencing token.

    Holders record when they checked their lease, by the machine's clock.  One that passed its check at a time when a
    newer token was in use was one of two holders.  What the side-effect log accepted is checked in order of arrival."""
    bound = deployment.get("clock_bound", 0.0)
    wrong = [
        (e["t"], e["t"] + e["seconds"] * 1000)
        for e in by_kind["trouble"]
        if e["kind"] == "clock-rate" and abs(e.get("factor", 1.0) - 1) > bound + 1e-9
    ]
    looks, came = defaultdict[str, list[Event]](list), defaultdict[str, list[Event]](list)
    for event in sorted([*by_kind["act"], *by_kind["done"]], key=lambda e: e["t"]):
        looks[event["task"]].append(event)
        if event["taken"]:
            came[event["task"]].append(event)
        else:
            result.old_tokens_refused += 1
    result.acts = len(by_kind["act"])
    for task, found in looks.items():
        newest: list[Any] = [0, ""]
        for event in sorted(found, key=lambda e: e["looked"]):
            if event["token"] >= newest:
                newest = event["token"]
            elif any(since <= event["looked"] <= until + CLOCK_RECOVERY_MS for since, until in wrong):
                result.holders_two_by_clocks += 1
            else:
                result.add_breach("holders_two", f"{task}: {event['by']} under {event['token']} while {newest}")
    for task, found in came.items():
        newest = [0, ""]
        for event in found:
            if event["token"] < newest:
                result.add_breach("old_tokens_taken", f"{task}: {event['token']} after {newest}")
            newest = max(newest, event["token"])
