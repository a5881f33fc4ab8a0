"""Processes pinned to one core each: the gateway under test, echo workers, an endpoint service, load generators."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple

HERE = Path(__file__).parent
AUTH = "00000000-0000-0000-0000-000000000001:k"
DEPLOYMENT = """(deployment bench
  (type t (effect repeatable) (target-ms 5000) (timeout-ms 10000))
  (namespace n (uuid "00000000-0000-0000-0000-000000000001") (key "k"))
  (action f (type t) (memory-mb 1) (lanes 64) (count {functions}))
  (rules (cold-ms 0) (free-loads 1000))
  (dispatcher (records 5000)))
"""
STOP_TIMEOUT_S = 20
HTTP_TIMEOUT_S = 5


class ProcessStartError(RuntimeError):
    """A process ended before it was ready."""


class PinnedProcess:
    """A child process on one core; its first line of output is its address, either alone or in a JSON object."""

    def __init__(self, core: int, *command: str, cwd: Path | None = None) -> None:
        self.process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            cwd=cwd,
            preexec_fn=lambda: os.sched_setaffinity(0, {core}),
        )
        assert self.process.stdout is not None
        line = self.process.stdout.readline().strip()
        if not line:
            raise ProcessStartError(f"{' '.join(command)} ended before it printed its address")
        self.ready_line: dict[str, Any] = json.loads(line) if line.startswith("{") else {"address": line}
        self.address: str = self.ready_line["address"]
        _running.append(self)

    def cpu_s(self) -> float:
        """Return the CPU seconds of the process so far."""
        return cpu_seconds(self.process.pid)

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * 4096 / 1e6

    def control(self, target: str) -> Any:
        """Return the JSON at `target` of the process's control port, whose address is `asked_at` in the ready line."""
        with urllib.request.urlopen(
            f"http://{self.ready_line['asked_at']}/{target}", timeout=HTTP_TIMEOUT_S
        ) as response:
            return json.loads(response.read())

    def stop(self) -> None:
        """End the process by SIGTERM and wait for its exit."""
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(STOP_TIMEOUT_S)
        _running.remove(self)

    def kill(self) -> None:
        """End the process by SIGKILL and wait for its exit."""
        self.process.kill()
        self.process.wait()
        _running.remove(self)


_running: list[PinnedProcess] = []


def stop_all() -> None:
    """End all processes that are still running."""
    while _running:  # `stop` removes the process from the list
        _running[-1].stop()


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def start_echo_worker(core: int) -> PinnedProcess:
    """Start a worker that answers immediately."""
    return PinnedProcess(core, sys.executable, str(HERE / "echo_worker.py"))


def start_endpoint_service(core: int, workers: list[str]) -> PinnedProcess:
    """Start an emulated endpoint service that lists the workers at these addresses."""
    service = PinnedProcess(core, sys.executable, "-m", "kelptrail", "emulate", "endpoint-service")
    for n, address in enumerate(workers):
        endpoint = {"id": f"w{n}", "address": address, "incarnation": "1", "hall": "", "cell": n, "age_ms": 1e9}
        url = f"http://{service.address}/register"
        request = urllib.request.Request(url, data=json.dumps(endpoint).encode(), method="POST")
        urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S)
    return service


def start_dispatcher(
    core: int, deployment: Path, endpoint_service: PinnedProcess, *options: str, cwd: Path | None = None
) -> PinnedProcess:
    """Start a dispatcher of a deployment file; `cwd` is the checkout from which it runs."""
    command = [sys.executable, "-m", "kelptrail", "--log-level", "error", "serve", str(deployment)]
    return PinnedProcess(core, *command, "--roster", endpoint_service.address, *options, cwd=cwd)


class LoadResult(NamedTuple):
    """The figures that a load generator measured."""

    calls: int
    per_s: float
    statuses: dict[str, int]
    p50_us: float
    p99_us: float


def run_load(core: int, address: str, target: str, connections: int, seconds: float, rate: float = 0.0) -> LoadResult:
    """Run bench/load.py: a closed loop, or an open loop of `rate` calls a second."""
    arguments = [address, target, AUTH, str(connections), str(seconds), str(rate)]
    return LoadResult(**run_pinned(core, str(HERE / "load.py"), *arguments))


def run_pinned(core: int, script: str, *arguments: str) -> Any:
    """Run a script on a core; return the JSON of its last line of output."""
    completed = subprocess.run(
        [sys.executable, script, *arguments],
        capture_output=True,
        text=True,
        check=True,
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )
    return json.loads(completed.stdout.strip().splitlines()[-1])
