"""The audit is audited: a sound capture passes, and one doctored breach of each rule is caught."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from kelptrail.history_checker.checker import check_history, read_captures

BOOT = "0123456789abcdef"
WHO = f"d0/{BOOT}"
WORLD = {
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


def sound() -> list[dict[str, Any]]:
    """Two calls of each type, one worker that starts cold, one that drains, two orders."""
    events: list[dict[str, Any]] = [
        WORLD,
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
        {"t": 2, "what": "list", "to": WHO, "workers": {"w0": ["live", "i0"], "w1": ["live", "i1"]}},
        {"t": 3000, "what": "list", "to": WHO, "workers": {"w0": ["draining", "i0"], "w1": ["live", "i1"]}},
    ]
    for n, kind in enumerate(["check", "activate", "grant"] * 2):
        t, id_ = 1000.0 + 400 * n, f"{BOOT}{n:016x}"
        worker = "w0" if n < 3 else "w1"
        events += [
            {
                "t": t,
                "what": "call",
                "call": f"c{n}",
                "ticket": f"t{n}",
                "action": kind,
                "type": kind,
                "dispatcher": 0,
                "deferred": n % 2 == 1,
                "limit_ms": 900,
            },
            {"t": t + 1, "what": "order", "worker": worker, "dispatcher": WHO, "copies": int(n < 2), "lag": 0},
            {
                "t": t + 5,
                "what": "send",
                "worker": worker,
                "incarnation": f"i{worker[1]}",
                "mark": f"m{n}",
                "dispatcher": WHO,
                "activation": id_,
                "send": 0,
                "lag": 0,
                "work": 50,
            },
            {"t": t + 55, "what": "effect", "worker": worker, "mark": f"m{n}", "type": kind, "activation": id_},
        ]
        if n % 2:
            events.append({"t": t + 2, "what": "accepted", "call": f"c{n}", "activation": id_})
        events.append(
            {
                "t": t + 60,
                "what": "final",
                "call": f"c{n}",
                "activation": id_,
                "answer": "completed",
                "status": 200,
                "lag": 0,
                "took": 58 if n % 2 else None,
                "code": 0,
            }
        )
    return sorted(events, key=lambda e: e["t"])


def pick(events: list[dict[str, Any]], what: str, **fields: Any) -> dict[str, Any]:
    return next(e for e in events if e["what"] == what and all(e.get(k) == v for k, v in fields.items()))


def test_a_sound_capture_breaks_nothing() -> None:
    verdict = check_history(sound())
    assert not verdict.broken, verdict.details
    assert (verdict.taken, verdict.completed, verdict.sends, verdict.loads, verdict.effects) == (6, 6, 6, 2, 6)


def lose_final(events):
    events.remove(pick(events, "final", call="c2"))


def late(events):
    pick(events, "final", call="c0")["t"] += 1000


def late_deferred(events):
    pick(events, "final", call="c1")["took"] = 1000


def two_finals(events):
    events.append(pick(events, "final", call="c1") | {"answer": "aborted", "t": 9000})


def send_after(events):
    events.append(pick(events, "send", activation=f"{BOOT}{0:016x}") | {"t": 1500})


def effect_twice(events):
    events.append(pick(events, "effect", mark="m1") | {"worker": "w1"})


def once_only_twice(events):
    """The client's next try, after a rejection, has a second effect."""
    pick(events, "call", call="c5")["ticket"] = "t2"


def false_rejection(events):
    pick(events, "final", call="c2")["answer"] = "rejected"


def send_to_drained(events):
    pick(events, "send", activation=f"{BOOT}{5:016x}").update(t=3700, worker="w0", incarnation="i0")
    pick(events, "final", call="c5")["t"] = 3800


def order_to_gone(events):
    events.append({"t": 3000, "what": "list", "to": WHO, "workers": {"w1": ["live", "i1"]}})
    events.append(pick(events, "order", copies=1) | {"t": 3700, "worker": "w0"})


def push_cold(events):
    send = pick(events, "send", worker="w1")
    events += [send | {"t": 2200 + n} for n in range(150)]


def fell(events):
    events.append({"t": 2500, "what": "fell", "worker": "w1", "incarnation": "i1"})


def flood(events):
    events += [pick(events, "order", copies=1) | {"t": 3300, "worker": "w1"} for _ in range(4)]


def send_after_part(events):
    send = pick(events, "send")
    again = dict(send, worker="other", send=1, t=send["t"] + 300)
    events.append({"what": "part", "t": send["t"] + 20, "call": "c1", "activation": send["activation"], "lag": 0.0})
    events.append(again)


@pytest.mark.parametrize(
    ("doctor", "name"),
    [
        (send_after_part, "sends_after_part"),
        (lose_final, "unanswered"),
        (late, "late_finals"),
        (late_deferred, "late_finals"),
        (two_finals, "finals_twice"),
        (send_after, "sends_after_final"),
        (effect_twice, "effects_twice"),
        (once_only_twice, "effects_twice"),
        (false_rejection, "false_rejections"),
        (send_to_drained, "drain_breaches"),
        (order_to_gone, "drain_breaches"),
        (push_cold, "cold_breaches"),
        (fell, "cold_breaches"),
        (flood, "ration_breaches"),
    ],
)
def test_each_doctored_breach_is_caught(doctor, name: str) -> None:
    events = copy.deepcopy(sound())
    doctor(events)
    events.sort(key=lambda e: e["t"])
    verdict = check_history(events)
    assert getattr(verdict, name) >= 1, verdict.counts()
    others = set(verdict.BREACHES) - {name, "sends_after_final"}
    assert not any(getattr(verdict, other) for other in others), verdict.details


def test_doubt_counts_for_the_dispatcher() -> None:
    events = sound()
    send = pick(events, "send", activation=f"{BOOT}{5:016x}")
    send.update(t=3700, worker="w0", incarnation="i0", lag=400)  # read late by a worker that was held up
    pick(events, "final", call="c5")["t"] = 3800
    assert not check_history(sorted(events, key=lambda e: e["t"])).broken


def test_a_worker_told_to_be_live_again_within_the_doubt_was_open() -> None:
    events = sound()
    pick(events, "send", activation=f"{BOOT}{5:016x}").update(t=3700, worker="w0", incarnation="i0", lag=50)
    pick(events, "final", call="c5")["t"] = 3800
    events.append({"t": 3680, "what": "list", "to": WHO, "workers": {"w0": ["live", "i0"], "w1": ["live", "i1"]}})
    assert not check_history(sorted(events, key=lambda e: e["t"])).broken


def test_calls_of_a_killed_dispatcher_are_no_longer_its_duty() -> None:
    events = sound()
    lose_final(events)
    events += [
        {"t": 1810, "what": "kill", "dispatcher": 0},
        {"t": 1812, "what": "no-answer", "call": "c2", "ending": "broken"},
    ]
    verdict = check_history(sorted(events, key=lambda e: e["t"]))
    assert not verdict.broken and verdict.lost_with_dispatcher == 1


def test_what_was_acknowledged_is_found_also_after_a_kill() -> None:
    events = copy.deepcopy(sound())
    events[0]["kept"] = True
    events.remove(pick(events, "final", call="c1"))
    events += [
        {"t": 1410, "what": "kill", "dispatcher": 0},
        {"t": 2400, "what": "restarted", "dispatcher": 0},
        {"t": 6000, "what": "no-answer", "call": "c1", "ending": "polled"},
    ]
    verdict = check_history(sorted(events, key=lambda e: e["t"]))
    assert verdict.accepted_lost == 1 and verdict.broken


def test_captures_are_read_in_order_and_a_torn_line_is_passed_over(tmp_path: Path) -> None:
    (tmp_path / "a.jsonl").write_text("\n".join(json.dumps(e) for e in sound()[::2]) + '\n{"t": 1, "wh')
    (tmp_path / "b.jsonl").write_text("\n".join(json.dumps(e) for e in sound()[1::2]) + "\n")
    assert not check_history(read_captures(tmp_path)).broken
    (tmp_path / "c.jsonl").write_text('nonsense\n{"t": 1}\n{"t": 2}\n')
    with pytest.raises(ValueError, match=r"c\.jsonl:1"):
        read_captures(tmp_path)
