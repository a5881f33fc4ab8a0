"""Measures the gateway beside a bare pass-through, in turns on one core each: `python bench/overhead.py`.

Prints medians of several runs: calls a second with 32 clients, median and 99th percentile at half the gateway's
rate, CPU an activation, and memory over 200,000 activations.  Echo workers answer at once.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
DEPLOYMENT = """(deployment bench
  (type t (effect repeatable) (target-ms 5000) (timeout-ms 10000))
  (namespace n (uuid "00000000-0000-0000-0000-000000000001") (key "k"))
  (action f (type t) (memory-mb 1) (lanes 64) (count {functions}))
  (rules (cold-ms 0) (free-loads 1000))
  (dispatcher (records 5000)))
"""
AUTH = "00000000-0000-0000-0000-000000000001:k"


STARTED: list[Process] = []


class Process:
    """A child whose first line tells where it listens; pinned to a core."""

    def __init__(self, core: int, *words: str, cwd: Path | None = None) -> None:
        self.process = subprocess.Popen(
            words,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            cwd=cwd,
            preexec_fn=lambda: os.sched_setaffinity(0, {core}),
        )
        assert self.process.stdout is not None
        line = self.process.stdout.readline().strip()
        if not line:
            raise RuntimeError(f"{' '.join(words)} did not start")
        self.said = json.loads(line) if line.startswith("{") else {"address": line}
        self.address = self.said["address"]
        STARTED.append(self)

    def cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * 4096 / 1e6

    def end(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(20)


class List:
    """The stand-in roster with echo workers in it."""

    def __init__(self, workers: list[str], core: int) -> None:
        import urllib.request

        self.process = Process(core, sys.executable, "-m", "kelptrail", "emulate", "endpoint-service")
        for n, address in enumerate(workers):
            body = json.dumps(
                {"id": f"w{n}", "address": address, "incarnation": "1", "hall": "", "cell": n, "age_ms": 1e9}
            ).encode()
            urllib.request.urlopen(
                urllib.request.Request(f"http://{self.process.address}/register", data=body, method="POST"), timeout=5
            )


def load(core: int, address: str, target: str, connections: int, seconds: float, rate: float = 0.0) -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, str(HERE / "load.py"), address, target, AUTH, str(connections), str(seconds), str(rate)],
        capture_output=True,
        text=True,
        check=True,
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )
    return json.loads(done.stdout)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--memory-calls", type=int, default=200_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "bench.sexp"
        file.write_text(DEPLOYMENT.format(functions=10))
        workers = [Process(n % 2, sys.executable, str(HERE / "echo_worker.py")) for n in range(2)]
        roster = List([w.address for w in workers], 2)
        gateway = Process(
            3,
            sys.executable,
            "-m",
            "kelptrail",
            "--log-level",
            "error",
            "serve",
            str(file),
            "--roster",
            roster.process.address,
        )
        bare = Process(4, sys.executable, str(HERE / "passthrough.py"), workers[0].address)
        target = "/api/v1/namespaces/_/actions/f-{}?blocking=true&result=true"
        for n in range(10):
            load(5, gateway.address, target.format(n), 4, 0.3)
        rows: dict[str, list[dict[str, Any]]] = {"gateway": [], "bare": []}
        for _ in range(options.runs):
            for name, process in (("gateway", gateway), ("bare", bare)):
                before = process.cpu_s()
                run = load(5, process.address, target.format(0), 32, options.seconds)
                run["cpu_us"] = (process.cpu_s() - before) / run["calls"] * 1e6
                rows[name].append(run)
        half = statistics.median(r["per_s"] for r in rows["gateway"]) / 2
        slow: dict[str, list[dict[str, Any]]] = {"gateway": [], "bare": []}
        for _ in range(options.runs):
            for name, process in (("gateway", gateway), ("bare", bare)):
                slow[name].append(load(5, process.address, target.format(0), 64, options.seconds, half))

        def mid(found: list[dict[str, Any]], key: str) -> float:
            return round(statistics.median(r[key] for r in found), 1)

        out: dict[str, Any] = {"runs": options.runs, "half_load_per_s": round(half, 1)}
        for name in rows:
            out[name] = {
                "per_s": mid(rows[name], "per_s"),
                "cpu_us": mid(rows[name], "cpu_us"),
                "statuses": rows[name][-1]["statuses"],
                "half_p50_us": mid(slow[name], "p50_us"),
                "half_p99_us": mid(slow[name], "p99_us"),
            }
        out["rate_ratio"] = round(out["gateway"]["per_s"] / out["bare"]["per_s"], 3)
        memory, calls, began = [], 0, time.monotonic()
        while calls < options.memory_calls:
            calls += load(5, gateway.address, target.format(calls % 10), 32, options.seconds)["calls"]
            memory.append((calls, round(gateway.memory_mb(), 1)))
        out["memory_mb"] = memory
        out["memory_s"] = round(time.monotonic() - began, 1)
        print(json.dumps(out, indent=1))


if __name__ == "__main__":
    try:
        main()
    finally:
        for child in STARTED:
            child.end()
