"""Measures the inference API: `python bench/inference.py`.

Compares its unary calls with the invoke API and with plain echo servers, with and without TLS, and its streams with
streams directly from a worker.  Each server is pinned to one core; the workers echo.  Prints JSON lines: rates and CPU
of unary calls, TLS handshakes a second, times of streams, and memory per stream.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from inference_load import HELD_LINE
from pinned_processes import (
    HERE,
    PinnedProcess,
    run_load,
    run_pinned,
    start_dispatcher,
    start_echo_worker,
    start_endpoint_service,
    stop_all,
)

LOAD_SCRIPT = str(HERE / "inference_load.py")
LOAD_CORE, CONNECTIONS = 4, 32
ECHO_SERVERS = ("h2", "ours", "grpcio", "grpcio-uvloop")
TARGET = "/api/v1/namespaces/_/actions/f?blocking=true&result=true"
STREAMS, PARTS, GAP_MS = 60, 20, 5.0
HELD_STREAMS = 1000
DEPLOYMENT = """(deployment bench
  (type t (effect repeatable) (target-ms 5000) (timeout-ms 10000))
  (namespace n (uuid "00000000-0000-0000-0000-000000000001") (key "k"))
  (action f (type t) (memory-mb 1) (lanes 4000))
  (rules (cold-ms 0) (free-loads 1000))
  (pool (connections 2000) (connect-ms 3000))
  (dispatcher (records 5000)) {tls})
"""


class Deployments(NamedTuple):
    """The deployment files, and the certificate authority of the one with TLS."""

    plain: Path
    with_tls: Path
    authority: str


class UnaryCase(NamedTuple):
    """A server under unary load; `options` are further arguments of the load."""

    process: PinnedProcess
    address: str
    options: tuple[str, ...] = ()


def write_deployments(folder: Path) -> Deployments:
    """Write the deployment files of both gateways, and certificates."""
    keys = [sys.executable, "-m", "kelptrail", "keys"]
    for arguments in (["init", str(folder)], ["issue", str(folder), "front", "--server", "--also", "127.0.0.1"]):
        subprocess.run([*keys, *arguments], check=True, capture_output=True)
    files = Deployments(folder / "plain.sexp", folder / "tls.sexp", str(folder / "authority.pem"))
    files.plain.write_text(DEPLOYMENT.format(tls=""))
    files.with_tls.write_text(DEPLOYMENT.format(tls='(tls front (certificate "front.pem"))'))
    return files


def load_inference(part: str, address: str, *arguments: str) -> dict[str, Any]:
    """Run one part of the load on its own core; return its figures."""
    result: dict[str, Any] = run_pinned(LOAD_CORE, LOAD_SCRIPT, part, address, *arguments)
    return result


def report(case: str, figures: dict[str, Any]) -> None:
    """Print the figures of a case as one line of JSON."""
    print(json.dumps({"case": case} | figures), flush=True)


def medians(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the median of each figure and the status codes of the last run."""
    figures = [key for key, value in rows[0].items() if isinstance(value, int | float)]
    codes = rows[-1].get("codes", rows[-1].get("statuses"))
    return {key: round(statistics.median(row[key] for row in rows), 1) for key in figures} | {"codes": codes}


def measure_unary_calls(cases: dict[str, UnaryCase], plain: PinnedProcess, runs: int, seconds: float) -> None:
    """Measure unary calls to all servers in turns, and to the invoke API of the gateway without TLS."""
    rows: dict[str, list[dict[str, Any]]] = {}
    for _ in range(runs):
        for case, (process, address, options) in cases.items():
            before_s = process.cpu_s()
            row = load_inference("closed", address, str(seconds), *options)
            row["cpu_us"] = (process.cpu_s() - before_s) / row["calls"] * 1e6
            rows.setdefault(case, []).append(row)
        before_s = plain.cpu_s()
        row = run_load(LOAD_CORE, plain.address, TARGET, CONNECTIONS, seconds)._asdict()
        row["cpu_us"] = (plain.cpu_s() - before_s) / row["calls"] * 1e6
        rows.setdefault("gateway, invoke API", []).append(row)
    for case, case_rows in rows.items():
        report(case, medians(case_rows))


def start_worker(deployment: Path, endpoint_service: PinnedProcess) -> PinnedProcess:
    """Start an emulated worker with a model store; the worker has loaded all models."""
    emulate = (sys.executable, "-m", "kelptrail", "emulate")
    store = PinnedProcess(1, *emulate, "model-store", str(deployment))
    options = ("--id", "w", "--store", store.address, "--roster", endpoint_service.address, "--warm")
    return PinnedProcess(0, *emulate, "worker", str(deployment), *options)


def measure_streams(gateway: PinnedProcess, worker: PinnedProcess) -> None:
    """Measure streams through the gateway and directly from the worker."""
    address: str = gateway.ready_line["grpc"]
    load_inference("streams", address, "5", "3", "1")  # warm-up
    arguments = (str(STREAMS), str(PARTS), str(GAP_MS))
    report("streams through the gateway", load_inference("streams", address, *arguments))
    report("streams straight from the worker", load_inference("direct", worker.address, *arguments))


def measure_stream_memory(gateway: PinnedProcess) -> None:
    """Measure the memory of the gateway while it holds streams open."""
    before_mb = gateway.memory_mb()
    command = [sys.executable, LOAD_SCRIPT, "held", gateway.ready_line["grpc"], str(HELD_STREAMS)]
    load = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert load.stdout is not None and load.stdout.readline().strip() == HELD_LINE
    kb_each = round((gateway.memory_mb() - before_mb) * 1000 / HELD_STREAMS, 1)
    report("memory a stream", {"streams": HELD_STREAMS, "kb": kb_each})
    load.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        files = write_deployments(Path(name))
        endpoint_service = start_endpoint_service(1, [start_echo_worker(0).address])
        plain = start_dispatcher(2, files.plain, endpoint_service)
        secure = start_dispatcher(3, files.with_tls, endpoint_service)
        cases = {
            "gateway, gRPC": UnaryCase(plain, plain.ready_line["grpc"]),
            "gateway, gRPC under TLS": UnaryCase(secure, secure.ready_line["grpc"], (files.authority,)),
        }
        for kind in ECHO_SERVERS:
            server = PinnedProcess(5, sys.executable, str(HERE / "grpc_echo.py"), kind)
            cases[f"echo, {kind}"] = UnaryCase(server, server.address)
        measure_unary_calls(cases, plain, options.runs, options.seconds)
        handshakes = [
            load_inference("handshakes", secure.address, str(options.seconds), files.authority)
            for _ in range(options.runs)
        ]
        report("TLS handshakes", medians(handshakes))
        endpoint_service = start_endpoint_service(1, [])
        worker = start_worker(files.plain, endpoint_service)
        gateway = start_dispatcher(2, files.plain, endpoint_service)
        time.sleep(1)  # time for the worker to be listed
        measure_streams(gateway, worker)
        measure_stream_memory(gateway)


if __name__ == "__main__":
    try:
        main()
    finally:
        stop_all()
