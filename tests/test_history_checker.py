"""The history checker: a valid history passes, and each breach of a rule is reported."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from kelptrail.history_checker.checker import check_history, read_captures
from kelptrail.history_checker.result import Breach

BOOT = "0123456789abcdef"
DISPATCHER = f"d0/{BOOT}"
DEPLOYMENT = {
    "t": 0,
    "what": "world",
    "types": [
        {"name": "check", "effect": "repeatable", "target_ms": 300},
        {"name": "activate", "effect": "deduplicated", "target_ms": 300},
        {"name": "grant", "effect": "once-only", "target_ms": 300},
    ],
    "rules": {
        "drain_grace_ms": 500,
        "tip": 3,
        "tip_ms": 1000,
        "free_loads": 2,
        "load_share": 0.5,
        "order_wait_ms": 100,
        "load_span_ms": 5000,
    },
}


def valid_history() -> list[dict[str, Any]]:
    """Return a history with two calls of each type, a worker in slow start, a draining worker and two load orders."""
    events: list[dict[str, Any]] = [
        DEPLOYMENT,
        {
            "t": 1,
            "what": "start",
            "worker": "w0",
            "incarnation": "i0",
            "started": -1e6,
            "cores": 2,
            "cold_ms": 3000,
            "cold_share": 0.2,
        },
        {
            "t": 1,
            "what": "start",
            "worker": "w1",
            "incarnation": "i1",
            "started": 1,
            "cores": 2,
            "cold_ms": 3000,
            "cold_share": 0.2,
        },
        {"t": 2, "what": "list", "to": DISPATCHER, "workers": {"w0": ["live", "i0"], "w1": ["live", "i1"]}},
        {"t": 3000, "what": "list", "to": DISPATCHER, "workers": {"w0": ["draining", "i0"], "w1": ["live", "i1"]}},
    ]
    for n, type_name in enumerate(["check", "activate", "grant"] * 2):
        t, activation = 1000.0 + 400 * n, f"{BOOT}{n:016x}"
        worker = "w0" if n < 3 else "w1"
        events += [
            {
                "t": t,
                "what": "call",
                "call": f"c{n}",
                "ticket": f"t{n}",
                "action": type_name,
                "type": type_name,
                "dispatcher": 0,
                "deferred": n % 2 == 1,
                "limit_ms": 900,
            },
            {"t": t + 1, "what": "order", "worker": worker, "dispatcher": DISPATCHER, "copies": int(n < 2), "lag": 0},
            {
                "t": t + 5,
                "what": "send",
                "worker": worker,
                "incarnation": f"i{worker[1]}",
                "mark": f"m{n}",
                "dispatcher": DISPATCHER,
                "activation": activation,
                "send": 0,
                "lag": 0,
                "work": 50,
            },
            {
                "t": t + 55,
                "what": "effect",
                "worker": worker,
                "mark": f"m{n}",
                "type": type_name,
                "activation": activation,
            },
        ]
        if n % 2:
            events.append({"t": t + 2, "what": "accepted", "call": f"c{n}", "activation": activation})
        events.append(
            {
                "t": t + 60,
                "what": "final",
                "call": f"c{n}",
                "activation": activation,
                "answer": "completed",
                "status": 200,
                "lag": 0,
                "took": 58 if n % 2 else None,
                "code": 0,
            }
        )
    return sorted(events, key=lambda e: e["t"])


def find_event(events: list[dict[str, Any]], what: str, **fields: Any) -> dict[str, Any]:
    return next(e for e in events if e["what"] == what and all(e.get(k) == v for k, v in fields.items()))


def test_a_valid_history_breaks_no_rule() -> None:
    result = check_history(valid_history())
    assert not result.broken, result.details
    assert (result.taken, result.completed, result.attempts, result.loads, result.effects) == (6, 6, 6, 2, 6)


def remove_final(events):
    events.remove(find_event(events, "final", call="c2"))


def delay_final(events):
    find_event(events, "final", call="c0")["t"] += 1000


def delay_deferred_final(events):
    find_event(events, "final", call="c1")["took"] = 1000


def add_second_final(events):
    events.append(find_event(events, "final", call="c1") | {"answer": "aborted", "t": 9000})


def attempt_after_final(events):
    events.append(find_event(events, "send", activation=f"{BOOT}{0:016x}") | {"t": 1500})


def repeat_effect(events):
    events.append(find_event(events, "effect", mark="m1") | {"worker": "w1"})


def repeat_once_only_effect(events):
    """Let two once-only calls share a ticket, as if the second were the client's retry."""
    find_event(events, "call", call="c5")["ticket"] = "t2"


def reject_after_effect(events):
    find_event(events, "final", call="c2")["answer"] = "rejected"


def attempt_at_draining_worker(events):
    find_event(events, "send", activation=f"{BOOT}{5:016x}").update(t=3700, worker="w0", incarnation="i0")
    find_event(events, "final", call="c5")["t"] = 3800


def load_order_to_removed_worker(events):
    events.append({"t": 3000, "what": "list", "to": DISPATCHER, "workers": {"w1": ["live", "i1"]}})
    events.append(find_event(events, "order", copies=1) | {"t": 3700, "worker": "w0"})


def overload_cold_worker(events):
    attempt = find_event(events, "send", worker="w1")
    events += [attempt | {"t": 2200 + n} for n in range(150)]


def report_overload_of_cold_worker(events):
    events.append({"t": 2500, "what": "fell", "worker": "w1", "incarnation": "i1"})


def exceed_load_ration(events):
    events += [find_event(events, "order", copies=1) | {"t": 3300, "worker": "w1"} for _ in range(4)]


def attempt_after_part(events):
    first_attempt = find_event(events, "send")
    second_attempt = dict(first_attempt, worker="other", send=1, t=first_attempt["t"] + 300)
    events.append(
        {
            "what": "part",
            "t": first_attempt["t"] + 20,
            "call": "c1",
            "activation": first_attempt["activation"],
            "lag": 0.0,
        }
    )
    events.append(second_attempt)


@pytest.mark.parametrize(
    ("corrupt", "breach"),
    [
        (attempt_after_part, Breach.ATTEMPTS_AFTER_PART),
        (remove_final, Breach.UNANSWERED),
        (delay_final, Breach.LATE_FINALS),
        (delay_deferred_final, Breach.LATE_FINALS),
        (add_second_final, Breach.FINALS_TWICE),
        (attempt_after_final, Breach.ATTEMPTS_AFTER_FINAL),
        (repeat_effect, Breach.EFFECTS_TWICE),
        (repeat_once_only_effect, Breach.EFFECTS_TWICE),
        (reject_after_effect, Breach.FALSE_REJECTIONS),
        (attempt_at_draining_worker, Breach.DRAIN_BREACHES),
        (load_order_to_removed_worker, Breach.DRAIN_BREACHES),
        (overload_cold_worker, Breach.COLD_BREACHES),
        (report_overload_of_cold_worker, Breach.COLD_BREACHES),
        (exceed_load_ration, Breach.RATION_BREACHES),
    ],
)
def test_each_breach_is_reported(corrupt, breach: Breach) -> None:
    events = copy.deepcopy(valid_history())
    corrupt(events)
    events.sort(key=lambda e: e["t"])
    result = check_history(events)
    assert getattr(result, breach) >= 1 and result.counts()[breach.report_key] >= 1, result.counts()
    others = set(Breach) - {breach, Breach.ATTEMPTS_AFTER_FINAL}
    assert not any(getattr(result, other) for other in others), result.details


def test_an_uncertain_arrival_time_is_taken_in_the_dispatchers_favour() -> None:
    events = valid_history()
    attempt = find_event(events, "send", activation=f"{BOOT}{5:016x}")
    attempt.update(t=3700, worker="w0", incarnation="i0", lag=400)  # A worker read it after a pause.
    find_event(events, "final", call="c5")["t"] = 3800
    assert not check_history(sorted(events, key=lambda e: e["t"])).broken


def test_a_worker_listed_as_live_again_before_the_latest_possible_arrival_was_live() -> None:
    events = valid_history()
    find_event(events, "send", activation=f"{BOOT}{5:016x}").update(t=3700, worker="w0", incarnation="i0", lag=50)
    find_event(events, "final", call="c5")["t"] = 3800
    events.append(
        {"t": 3680, "what": "list", "to": DISPATCHER, "workers": {"w0": ["live", "i0"], "w1": ["live", "i1"]}}
    )
    assert not check_history(sorted(events, key=lambda e: e["t"])).broken


def test_calls_of_a_killed_dispatcher_need_no_answer() -> None:
    events = valid_history()
    remove_final(events)
    events += [
        {"t": 1810, "what": "kill", "dispatcher": 0},
        {"t": 1812, "what": "no-answer", "call": "c2", "ending": "broken"},
    ]
    result = check_history(sorted(events, key=lambda e: e["t"]))
    assert not result.broken and result.lost_with_dispatcher == 1


def test_an_acknowledged_activation_must_be_known_after_its_dispatcher_is_killed() -> None:
    events = copy.deepcopy(valid_history())
    events[0]["kept"] = True
    events.remove(find_event(events, "final", call="c1"))
    events += [
        {"t": 1410, "what": "kill", "dispatcher": 0},
        {"t": 2400, "what": "restarted", "dispatcher": 0},
        {"t": 6000, "what": "no-answer", "call": "c1", "ending": "polled"},
    ]
    result = check_history(sorted(events, key=lambda e: e["t"]))
    assert result.accepted_lost == 1 and result.broken


def test_captures_are_merged_in_order_of_time_and_an_incomplete_last_line_is_skipped(tmp_path: Path) -> None:
    (tmp_path / "a.jsonl").write_text("\n".join(json.dumps(e) for e in valid_history()[::2]) + '\n{"t": 1, "wh')
    (tmp_path / "b.jsonl").write_text("\n".join(json.dumps(e) for e in valid_history()[1::2]) + "\n")
    assert not check_history(read_captures(tmp_path)).broken
    (tmp_path / "c.jsonl").write_text('nonsense\n{"t": 1}\n{"t": 2}\n')
    with pytest.raises(ValueError, match=r"c\.jsonl:1"):
        read_captures(tmp_path)
