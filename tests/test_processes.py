"""Real processes on loopback: demo, fault scenarios, a killed dispatcher, bad settings, a port in use; and captures."""

from __future__ import annotations

import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import pytest

from kelptrail.fault_scenario.captured_run import read_capture
from kelptrail.fault_scenario.import_capture import import_capture
from kelptrail.fault_scenario.inferred_faults import fault_intervals
from kelptrail.settings.deployment import parse

ROOT = Path(__file__).parent.parent


def start(*arguments: str) -> tuple[subprocess.Popen[str], dict[str, Any]]:
    """Start a command; return its process and its decoded ready line."""
    process = subprocess.Popen(
        [sys.executable, "-m", "kelptrail", *arguments],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def request(ready: dict[str, Any], method: str, target: str, body: Any = None) -> tuple[int, Any]:
    """Send a request with the credentials of the demo's first namespace; return the status and the decoded body."""
    http_request = urllib.request.Request(
        f"{ready['invoke']}/api/v1/namespaces/_/{target}",
        method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={
            "authorization": "Basic " + base64.b64encode(ready["auth"].encode()).decode(),
            "content-type": "application/json",
        },
    )
    try:
        with urllib.request.urlopen(http_request, timeout=10) as reply:
            return reply.status, json.loads(reply.read())
    except urllib.error.HTTPError as cause:
        return cause.code, json.loads(cause.read())


@pytest.mark.timed
def test_the_demo_serves_every_request_class_and_drains() -> None:
    process, ready = start("demo", "--quiet-logs")
    try:
        assert ready["ready"] and {a["effect"] for a in ready["actions"]} == {"repeatable", "deduplicated", "once-only"}
        first_by_effect = {action["effect"]: action for action in reversed(ready["actions"])}
        for action in first_by_effect.values():
            path = f"{action['package']}/{action['name']}" if action["package"] else action["name"]
            status, record = request(ready, "POST", f"actions/{path}?blocking=true", {"family": 7})
            assert status == 200 and record["response"]["result"]["echo"] == {"family": 7}
        status, accepted = request(ready, "POST", "actions/grant", {"family": 8})
        assert status == 202
        command = [
            sys.executable,
            "-m",
            "kelptrail",
            "poll",
            accepted["activationId"],
            "--within",
            "5",
            "--url",
            ready["invoke"],
            "--auth",
            ready["auth"],
        ]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        assert done.returncode == 0 and json.loads(done.stdout)["activationId"] == accepted["activationId"]
    finally:
        process.send_signal(signal.SIGTERM)
        out, err = process.communicate(timeout=30)
    assert process.returncode == 0 and out == "", "exactly one line on standard output"
    assert "curl" in err


@pytest.mark.timed
def test_the_demo_ends_with_ctrl_c_and_leaves_no_child_process() -> None:
    process, _ready = start("demo", "--quiet-logs")
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    assert len(children) >= 7  # endpoint service, model store, at least four workers, dispatcher
    process.send_signal(signal.SIGINT)
    process.communicate(timeout=30)
    assert process.returncode == 0
    assert not any(os.path.exists(f"/proc/{child}") for child in children)


@pytest.mark.timed
def test_child_processes_end_when_their_parent_is_killed() -> None:
    process, _ = start("demo", "--quiet-logs")
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    process.kill()
    process.communicate()
    end = time.monotonic() + 15
    while any(os.path.exists(f"/proc/{child}") for child in children) and time.monotonic() < end:
        time.sleep(0.1)
    assert not any(os.path.exists(f"/proc/{child}") for child in children)


def run_scenario(text: str, folder: Path) -> subprocess.CompletedProcess[str]:
    """Run a fault scenario on real processes, with its output in `folder`."""
    script = folder / "scenario.sexp"
    script.write_text(text.format(root=ROOT))
    return subprocess.run(
        [sys.executable, "-m", "kelptrail", "fault-scenario", str(script), "--out", str(folder / "out")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )


SHORT_SCENARIO = """(bad-day short (deployment "{root}/examples/nursery.sexp") (seconds 9) (workers 5) (dispatchers 2)
  (load (rate 120) (deferred 0.3))
  (trouble hang (at 1) (for 3) (part 0.2))
  (trouble silent (at 2) (for 2) (part 0.2))
  (trouble models-voided (at 3) (part 1) (share 0.6))
  (trouble kill-dispatchers (at 4) (for 1) (part 0.5))
  (trouble store-stopped (at 4) (for 2))
  (trouble rolling-deploy (at 5) (for 2) (part 0.2))
  (trouble answers-lost (at 6) (for 2) (part 0.4) (share 0.5))
  (trouble crash (at 7) (for 1) (part 0.2)))
"""


@pytest.mark.scenarios
def test_a_short_fault_scenario_breaks_no_rule(tmp_path: Path) -> None:
    """A dispatcher is killed with about 200 calls in flight or deferred, and restarts with its saved endpoint list."""
    out = tmp_path / "out"
    done = run_scenario(SHORT_SCENARIO, tmp_path)
    assert done.returncode == 0, done.stdout + done.stderr
    report = json.loads((out / "report.json").read_text())
    assert report["taken"] > 800 and not report["broken"] and report["unanswered"] == 0
    assert report["taken"] == sum(report[k] for k in ("completed", "rejected", "aborted", "lost_with_dispatcher"))
    assert len(report["troubles"]) == 8 and (out / "timeline.png").stat().st_size > 10_000
    logs = "".join(f.read_text() for f in (out / "logs").glob("dispatcher-*.log"))
    assert '"from_last_list":true' in logs


KILLED_DISPATCHER_SCENARIO = """(bad-day killed
  (deployment "{root}/examples/halls.sexp") (seconds 9) (workers 6) (dispatchers 1)
  (load (rate 180) (deferred 0.2) (retries 0) (zipf 0.3))
  (trouble hang (at 2) (for 2) (part 1))
  (trouble kill-dispatchers (at 3.6) (for 0.5) (part 1)))
"""


@pytest.mark.scenarios
def test_a_dispatcher_killed_with_two_hundred_calls_in_flight_restarts_from_its_last_list(tmp_path: Path) -> None:
    out = tmp_path / "out"
    done = run_scenario(KILLED_DISPATCHER_SCENARIO, tmp_path)
    report = json.loads((out / "report.json").read_text())
    assert done.returncode == 0 and not report["broken"], report["details"]
    assert report["lost_with_dispatcher"] >= 150, "in flight when it was killed"
    log = (out / "logs" / "dispatcher-0.log").read_text()
    assert '"from_last_list":false' in log and '"from_last_list":true' in log
    assert sum(row["completed"] for row in report["timeline"] if row["second"] >= 5) > 50, "it serves again"


def test_malformed_settings_are_all_reported_with_exit_code_2(tmp_path: Path) -> None:
    bad = tmp_path / "bad.sexp"
    bad.write_text("(deployment d\n (type t (effect never))\n (what 1))")
    done = subprocess.run(
        [sys.executable, "-m", "kelptrail", "check", str(bad)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 2 and f"{bad}:2:" in done.stderr and f"{bad}:3:" in done.stderr


CAPTURED_SETTINGS = {
    "balancers": 2,
    "failure_domains": ["a", "b"],
    "customers": [{"name": "c", "allowance_per_s": 10.0}],
    "classes": [
        {
            "name": "t",
            "effect": "free",
            "aim_us": 500000,
            "give_up_us": 5000000,
            "gain": 2.0,
            "late_worth": 0.3,
            "key_scope": "all",
            "window_us": 0,
        }
    ],
    "rules": {
        "stop_sending_within_us": 500000,
        "tip_multiple": 3.0,
        "fall_us": 3000000,
        "start_capacity": 0.2,
        "cold_us": 17000000,
    },
    "specifics": {
        "machine_mb": [4000.0],
        "free_loads": 6.0,
        "load_share": 0.3,
        "load_span_us": 10000000,
        "idle_life_us": 8000000,
    },
    "bounds": {"parallel_tries": True, "max_attempts": 6, "may_cancel": True, "max_retry_after_us": 500000},
}


def write_capture(file: Path) -> None:
    """Write a capture of 20 s with two dispatchers and three workers.

    One worker hangs for 4 s (ending "T", no answer), another one fails for 4 s ("E", an error), and one dispatcher is
    down for 3 s.  The other requests succeed ("S").
    """
    batches = []

    def add_batch(second: float, *events: dict[str, Any]) -> None:
        batches.append({"now_us": int(second * 1e6), "arrivals": list(events)})

    worker_fields = {"az": 0, "shape": 0, "stripe": 0, "readiness": "live", "capacity_hint": 1, "last_start_us": None}
    table = {"Manifest": {"table": 0, "records": [{"runner": f"w{n}", **worker_fields} for n in range(3)]}}
    for name in ("d0", "d1"):
        add_batch(
            100,
            {"Hello": {"i": name, "nonce64": 1, "env": CAPTURED_SETTINGS}},
            table,
            {"Membership": {"i": name, "how": "C", "stamp": 1, "table": 0}},
        )
    for n in range(600):
        at, worker = 100 + n / 30, f"w{n % 3}"
        ending = "T" if worker == "w0" and 5 <= n / 30 < 9 else "E" if worker == "w1" and 12 <= n / 30 < 16 else "S"
        add_batch(
            at,
            {
                "Req": {
                    "i": "d0",
                    "handle": f"r{n}",
                    "class": 0,
                    "project": 0,
                    "fn": f"f{n % 7 % 5}",  # of each seven requests, f0 and f1 get two, and f2 to f4 one
                    "grace_us": 5000000,
                    "memory_mb": 300,
                    "parallel": 2,
                    "again_by_client": False,
                }
            },
            {
                "Answer": {
                    "i": "d0",
                    "handle": f"r{n}",
                    "runner": worker,
                    "remark": 1,
                    "shot": 0,
                    "latency_us": 40000,
                    "ending": ending,
                    "done_flag": True,
                    "stats": None,
                }
            },
        )
        if n == 300:
            add_batch(at, {"Exit": {"i": "d1"}})
        if n == 390:
            add_batch(at, {"Hello": {"i": "d1", "nonce64": 1, "env": CAPTURED_SETTINGS}})
    with open(file, "w") as sink:
        for batch in batches:
            text = json.dumps(batch)
            sink.write(f'>> process 0, {len(text)} bytes\n{text}\n<< process 0, 14 bytes\n{{"actions":[]}}\n')


def test_a_captured_run_becomes_a_scenario_with_its_faults(tmp_path: Path) -> None:
    write_capture(tmp_path / "day.tap")
    found = {(s.kind, round(s.at)): s for s in fault_intervals(read_capture(tmp_path / "day.tap"))}
    assert set(found) == {("hang", 5), ("kill-dispatchers", 10), ("fail-fast", 12)}
    assert abs(found["kill-dispatchers", 10].duration - 3) < 0.2 and found["hang", 5].duration == 4
    # With half the captured rate (30 per second), 4 workers and 2 dispatchers.
    deployment, script = import_capture(tmp_path / "day.tap", "day", 0.5, 4, 2)
    assert len(parse(deployment, "day").actions) == 5 and parse(deployment, "day").rules.free_loads == 6
    assert "(rate 15.0)" in script and "(trouble hang" in script
    (tmp_path / "no.tap").write_text("hello\n")
    with pytest.raises(ValueError, match=r"no\.tap:1"):
        read_capture(tmp_path / "no.tap")


BOTH_APIS_SCENARIO = """(bad-day both
  (deployment "{root}/examples/streams.sexp") (seconds 11) (workers 5) (dispatchers 2)
  (load (rate 80) (deferred 0.3) (zipf 0.8) (retries 1) (grpc 0.6) (streams 0.5))
  (trouble cut              (at 1.5) (for 3) (part 0.6) (share 0.3))
  (trouble stall            (at 3)   (for 2) (part 0.6) (share 0.3))
  (trouble disk-slow        (at 4)   (for 1) (part 1)   (ms 400))
  (trouble kill-dispatchers (at 5)   (for 0.4) (part 0.5))
  (trouble kill-dispatchers (at 6.4) (for 0.2) (part 1))
  (trouble kill-dispatchers (at 7.4) (for 0.2) (part 1)))
"""


@pytest.mark.scenarios
def test_both_apis_break_no_rule_through_cut_streams_slow_disks_and_repeated_kills(tmp_path: Path) -> None:
    """A short version of the long scenarios in examples/bad-days."""
    out = tmp_path / "out"
    done = run_scenario(BOTH_APIS_SCENARIO, tmp_path)
    report = json.loads((out / "report.json").read_text())
    assert done.returncode == 0 and not report["broken"], report["details"]
    assert report["taken"] > 600 and report["accepted_lost"] == 0
    calls = [json.loads(line) for line in (out / "captures" / "clients.jsonl").read_text().splitlines()]
    streamed = {c["call"] for c in calls if c["what"] == "call" and c.get("streamed")}
    ends = [c["answer"] for c in calls if c["what"] == "final" and c["call"] in streamed]
    assert ends.count("completed") > 100 and "aborted" in ends, "some were cut off, and their clients were notified"


def test_a_dispatcher_waits_for_an_address_that_is_in_use(tmp_path: Path) -> None:
    """A restarted dispatcher may find its port in use as the local port of another process's outgoing connection."""
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        port = str(occupied.getsockname()[1])
        command = [sys.executable, "-m", "kelptrail", "serve", str(ROOT / "examples" / "fleet.sexp")]
        options = ["--roster", "127.0.0.1:1", "--state", str(tmp_path), "--port", port]
        process = subprocess.Popen([*command, *options], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        while not (tmp_path / "book.sqlite").exists():  # created just before the dispatcher listens
            assert process.poll() is None
            time.sleep(0.02)
        time.sleep(0.7)  # the dispatcher tries to listen several times while the address is in use
    try:
        deadline = time.monotonic() + 8.0
        while True:
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", int(port))).close()
                break
            assert time.monotonic() < deadline and process.poll() is None
            time.sleep(0.05)
    finally:
        process.kill()
        process.communicate()
