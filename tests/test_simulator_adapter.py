"""Tests of the simulator adapter as a process: batches of events on standard input, replies on standard output."""

import json
import subprocess
import sys
from typing import Any

CLASS = {
    "aim_us": 500000,
    "effect": "free",
    "gain": 2.0,
    "give_up_us": 5000000,
    "key_scope": "all",
    "late_worth": 0.3,
    "name": "t",
    "streaming": False,
    "window_us": 0,
}
ENV = {
    "balancers": 1,
    "counted_by": "request",
    "classes": [CLASS],
    "customers": [],
    "my_zone": 0,
    "report": {"fields": [], "how": "off"},
    "unheard_of": 1,
    "bounds": {
        "connect_timeout_us": 250000,
        "max_attempts": 3,
        "max_retry_after_us": 500000,
        "may_cancel": True,
        "parallel_tries": True,
        "retry_after": True,
    },
    "rules": {"cold_us": 9000000, "fall_us": 2000000, "start_capacity": 0.2, "tip_multiple": 3.0},
    "specifics": {
        "free_loads": 6.0,
        "idle_life_us": 8000000,
        "load_control": True,
        "load_share": 0.3,
        "load_span_us": 10000000,
        "not_loaded": "miss",
        "says_company": True,
        "says_warm": True,
    },
}
ENTRY = {
    "runner": "10.0.0.1:9",
    "az": 0,
    "shape": 0,
    "stripe": 0,
    "readiness": "live",
    "capacity_hint": 1,
    "last_start_us": None,
}
HELLO = [
    {"Hello": {"i": "dispatcher_0", "nonce64": 7, "env": ENV}},
    {"Manifest": {"table": 0, "records": [ENTRY]}},
    {"Membership": {"i": "dispatcher_0", "how": "C", "stamp": 1, "table": 0}},
]
REQ = {
    "Req": {
        "i": "dispatcher_0",
        "handle": "t/a",
        "class": 0,
        "project": 0,
        "fn": "h:f",
        "grace_us": 5000000,
        "cost_guess_us": None,
        "memory_mb": 384,
        "parallel": 2,
        "load_time_ms": None,
        "again_by_client": False,
        "update": False,
    }
}


def run_adapter(*batches: tuple[int, list[dict[str, Any]]] | str) -> tuple[int, list[Any], str]:
    """Run the adapter on batches; return its exit code, the actions in each reply, and its error output.

    A batch is a time in us with its events, or a raw input line.
    """
    lines = [
        batch if isinstance(batch, str) else json.dumps({"now_us": batch[0], "arrivals": batch[1]}) for batch in batches
    ]
    command, input_lines = [sys.executable, "-m", "kelptrail.simulator_adapter"], "\n".join(lines) + "\n"
    process = subprocess.run(command, input=input_lines, capture_output=True, text=True, timeout=30)
    return process.returncode, [json.loads(line)["actions"] for line in process.stdout.splitlines()], process.stderr


def actions_of(actions: list[dict[str, Any]], kind: str) -> list[dict[str, Any]]:
    return [action[kind] for action in actions if kind in action]


def test_an_activation_goes_from_arrival_to_answer() -> None:
    worker = {"i": "dispatcher_0", "runner": "10.0.0.1:9"}
    load_report = {"ReadyThere": worker | {"fn": "h:f", "ending": "S", "latency_us": 900, "copies": 1}}
    answer = {
        "Answer": worker
        | {
            "handle": "t/a",
            "remark": 1,
            "shot": 0,
            "latency_us": 90000,
            "ending": "S",
            "done_flag": True,
            "stats": None,
        }
    }
    client_disconnect = {"Aborted": {"i": "dispatcher_0", "handle": "t/a"}}
    batches = (1000, []), (2000, HELLO), (3000, [REQ]), (4000, [load_report]), (94000, [answer, client_disconnect])
    code, replies, _ = run_adapter(*batches)
    assert code == 0 and replies[0] == []
    assert actions_of(replies[2], "StartCopy") == [worker | {"fn": "h:f", "copies": 1}]
    assert not actions_of(replies[2], "Try")
    assert actions_of(replies[3], "Try") == [worker | {"handle": "t/a"}]
    assert not actions_of(replies[4], "Refuse") and not actions_of(replies[4], "DropRequest")


def test_malformed_input_ends_the_process_with_a_one_line_error() -> None:
    missing_field = {"Req": {k: v for k, v in REQ["Req"].items() if k != "grace_us"}}
    unknown_event = (1, [{"Huh": {"i": "dispatcher_0"}}])
    invalid_setting = (1, [{"Hello": HELLO[0]["Hello"] | {"env": ENV | {"rules": ENV["rules"] | {"fall_us": "soon"}}}}])
    for batch in ("{", "[]", '{"now_us":1}', unknown_event, (1, [REQ]), (1, [*HELLO, missing_field]), invalid_setting):
        code, replies, errors = run_adapter(batch)
        assert code != 0 and not replies
        assert batch is not invalid_setting or "settings.rules.fall_us" in errors
        assert errors.startswith("kelptrail.simulator_adapter: malformed input") and errors.count("\n") == 1
