"""What the run-time checks cost: CPU of the checks of one call beside all CPU that a process of `run` takes for a call.

    python bench/guard_cost.py --calls 4000

One process between an own worker, list and eight connections; its CPU a call is read from the kernel's accounting.  The
checks of one call (may it begin, the invariants of an attempt) are then timed by themselves, on objects as they are in
a process.  Prints both and their ratio.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import tempfile
import time
from pathlib import Path

import uvloop
from soak import Soak

from kelptrail.codec import frames
from kelptrail.dispatch.entities import Attempt, Function, Idempotency, Instance, Request, RequestClass, Worker
from kelptrail.dispatch.safety import LoadRation, SafetyGuard, SafetySettings
from kelptrail.dispatch.slow_start import SlowStartSettings
from kelptrail.engine.invariants import Invariants

CONNECTIONS = 8


class Quiet(Soak):
    """One process without trouble, whose worker serves everything at once."""

    def _called(self, number: int, id_: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"%s OK tell=up,ahead=0 %d\r\n%s\r\n" % (id_.encode(), len(body), body))


def cpu_s(pid: int) -> float:
    """CPU seconds of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def ask(day: Quiet, calls: int) -> int:
    """So many calls one after the other on one connection; returns how many were served."""
    reader, writer = await asyncio.open_connection(*day.doors[0])
    found, served = frames.FrameReader(1 << 20), 0
    for stream in range(1, calls + 1):
        told = {
            "verb": "t",
            "txn": day.chance.randbytes(8).hex(),
            "limit": "1500",
            "team": "acme",
            "info": "memory_mb:300;lanes:4",
            "item": f"{day.chance.randrange(9):016x}",
        }
        writer.write(frames.encode_frame(frames.REQUEST, stream, frames.encode_fields(told) + bytes(40)))
        while (frame := found.next()) is None:
            found.feed(await reader.read(65536))
        served += frame[2][0] == frames.SERVED
    writer.close()
    return served


async def measure(calls: int, folder: Path) -> tuple[float, int]:
    """CPU seconds a call, and how many were served."""
    day = Quiet(1, 1.0, folder, 1, None)
    day.doors = [("127.0.9.1", 0)]
    day.stopping = set()
    for _ in range(6):
        await day.open_worker()
    await day.open_lists()
    targets = [day._target_of(0, each, each, "in_service") for each in range(6)]
    day.process_entries[0].append({"pos": 1, "hosts": {"rev": 1, "all": True, "targets": targets}})
    await day.start(0)
    process = day.processes[0]
    assert process is not None
    await asyncio.gather(*(ask(day, calls // 20) for _ in range(CONNECTIONS)))  # instances are loaded
    before = cpu_s(process.pid)
    served = sum(await asyncio.gather(*(ask(day, calls // CONNECTIONS) for _ in range(CONNECTIONS))))
    used = cpu_s(process.pid) - before
    day.more = False
    await day.end(0, "TERM")
    return used / calls, served


def check_s(rounds: int = 100_000) -> float:
    """CPU seconds of the checks of one attempt."""
    type_ = RequestClass("t", Idempotency.IDEMPOTENT, 200.0, 1.0)
    function = Function("f", type_, 300.0, 4)
    gate = SafetyGuard(
        1,
        SafetySettings(True, 6, LoadRation(True, 20.0, 0.5, 5000.0)),
        SlowStartSettings(3.0, 2000.0, 0.3, 5000.0, 250.0),
    )
    invariants = Invariants(lambda *_, **__: None)
    request = Request("a", type_, function, None, 0.0, 1500.0)
    send = Attempt(request, Instance(function, Worker("w")), 0, 1.0)
    request.attempts.append(send)
    before = time.process_time()
    for _ in range(rounds):
        gate.may_start(2.0, send)
        invariants.attempt_begins(2.0, send, None, 1400.0)
    return (time.process_time() - before) / rounds


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--calls", type=int, default=4000)
    parser.add_argument("--runs", type=int, default=3)
    asks = parser.parse_args()
    for _ in range(asks.runs):
        with tempfile.TemporaryDirectory() as folder:
            call_s, served = uvloop.run(measure(asks.calls, Path(folder)))
        checks_s = check_s()
        print(f"{served} served; a call {call_s * 1e6:.0f} us, checks {checks_s * 1e6:.2f} us, {checks_s / call_s:.2%}")


if __name__ == "__main__":
    main()
