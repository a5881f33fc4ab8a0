"""Measures the CPU cost of the run-time checks, relative to all CPU that the platform's program uses for a request.

    python bench/guard_cost.py --calls 4000

One process runs between eight connections and the workers and endpoint list of this program; its CPU is read from the
kernel's accounting.  The checks of one attempt (whether it may start, and the invariants of an attempt) are then timed
alone, on objects like those in a process.  Prints the CPU of a request, that of the checks, and the ratio.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import uvloop
from fault_injection.captured_attempts import AttemptCapture
from fault_injection.endpoint_list import EndpointList
from fault_injection.processes import PlatformProcesses, StopSignal
from fault_injection.proxied_workers import ProxiedWorkers
from fault_injection.run_state import RunState
from fault_injection.settings import TENANT, RequestKind, settings
from fault_injection.slow_start_check import SLOW_START_CAPACITY, SLOW_START_S

from kelptrail.codec import frames
from kelptrail.dispatch.entities import Attempt, Function, Idempotency, Instance, Request, RequestClass, Worker
from kelptrail.dispatch.safety import LoadRation, SafetyGuard, SafetySettings
from kelptrail.dispatch.slow_start import SlowStartSettings
from kelptrail.engine.invariants import Invariants

CONNECTIONS = 8
WORKERS = 6
HOST = "127.0.9.1"
PAYLOAD = bytes(40)
FUNCTIONS = 9


class MeasuredRequests(NamedTuple):
    """CPU seconds of the process per request, and the number of requests served."""

    cpu_s: float
    served: int


class ImmediateWorkers(ProxiedWorkers):
    """Workers that answer every call immediately."""

    def answer_call(self, number: int, id_: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"%s OK tell=up,ahead=0 %d\r\n%s\r\n" % (id_.encode(), len(body), body))


class FaultFreeProcess:
    """One process without faults, with its workers and endpoint list."""

    def __init__(self, folder: Path) -> None:
        self.state = RunState(1, folder)
        self._workers = ImmediateWorkers(self.state, 1, AttemptCapture())
        self._list = EndpointList(self.state, lambda worker: self._workers.proxied_port(0, worker))
        platform_settings = settings(SLOW_START_CAPACITY, SLOW_START_S)
        self.processes = PlatformProcesses(self.state, [HOST], [self._list], platform_settings)

    async def start(self) -> None:
        """Start workers, endpoint list and process, and wait until the process accepts clients."""
        for _ in range(WORKERS):
            await self._workers.open()
        await self._list.open()
        self._list.set_initial(WORKERS)
        await self.processes.start_all()

    async def stop(self) -> None:
        """End the process."""
        self.state.running = False
        await self.processes.stop(0, StopSignal.TERMINATE)

    def cpu_s(self) -> float:
        """Return the CPU seconds of the process so far."""
        process = self.processes.processes[0]
        assert process is not None
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def request(self, count: int) -> int:
        """Send `count` requests one after the other on one connection; return how many were served."""
        reader, writer = await asyncio.open_connection(*self.processes.addresses[0])
        answers, served = frames.FrameReader(1 << 20), 0
        for stream in range(1, count + 1):
            fields = {
                "verb": RequestKind.IDEMPOTENT.value,
                "txn": self.state.rng.randbytes(8).hex(),
                "limit": "1500",
                "team": TENANT,
                "info": "memory_mb:300;lanes:4",
                "item": f"{self.state.rng.randrange(FUNCTIONS):016x}",
            }
            writer.write(frames.encode_frame(frames.REQUEST, stream, frames.encode_fields(fields) + PAYLOAD))
            while (frame := answers.next()) is None:
                answers.feed(await reader.read(65536))
            served += frame[2][0] == frames.SERVED
        writer.close()
        return served


async def measure_requests(count: int, folder: Path) -> MeasuredRequests:
    """Measure the CPU per request of `count` requests, after a warm-up that loads the instances."""
    process = FaultFreeProcess(folder)
    await process.start()
    await asyncio.gather(*(process.request(count // 20) for _ in range(CONNECTIONS)))
    before = process.cpu_s()
    served = sum(await asyncio.gather(*(process.request(count // CONNECTIONS) for _ in range(CONNECTIONS))))
    used_s = process.cpu_s() - before
    await process.stop()
    return MeasuredRequests(used_s / count, served)


def measure_checks(rounds: int = 100_000) -> float:
    """Return the CPU seconds of the checks of one attempt."""
    request_class = RequestClass("t", Idempotency.IDEMPOTENT, 200.0, 1.0)
    function = Function("f", request_class, 300.0, 4)
    guard = SafetyGuard(
        1,
        SafetySettings(True, 6, LoadRation(True, 20.0, 0.5, 5000.0)),
        SlowStartSettings(3.0, 2000.0, 0.3, 5000.0, 250.0),
    )
    invariants = Invariants(lambda *_, **__: None)
    request = Request("a", request_class, function, None, 0.0, 1500.0)
    attempt = Attempt(request, Instance(function, Worker("w")), 0, 1.0)
    request.attempts.append(attempt)
    before = time.process_time()
    for _ in range(rounds):
        guard.may_start(2.0, attempt)
        invariants.check_attempt_start(2.0, attempt, None, 1400.0)
    return (time.process_time() - before) / rounds


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--calls", type=int, default=4000)
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    for _ in range(options.runs):
        with tempfile.TemporaryDirectory() as folder:
            measured = uvloop.run(measure_requests(options.calls, Path(folder)))
        checks_s = measure_checks()
        print(
            f"{measured.served} served; a request {measured.cpu_s * 1e6:.0f} us, checks {checks_s * 1e6:.2f} us, "
            f"{checks_s / measured.cpu_s:.2%}"
        )


if __name__ == "__main__":
    main()
