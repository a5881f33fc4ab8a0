"""Time without a lease holder after the holder, a real dispatcher, is killed, paused, cut off or shut down."""

from __future__ import annotations

import asyncio
import json
import signal
import statistics
import tempfile
import time
from enum import StrEnum
from pathlib import Path
from typing import Any

import numpy as np

from kelptrail.emulator.capture import Capture
from kelptrail.emulator.cluster import Cluster, Process, http_json
from kelptrail.fault_scenario.report import describe_deployment
from kelptrail.history_checker.checker import check_history, read_captures
from kelptrail.settings.cooperation import LeasesConfig
from kelptrail.settings.deployment import load

FLEET = Path(__file__).parent.parent.parent / "examples" / "fleet.sexp"
TASK = "sweep"
DISPATCHERS, WORKERS = 7, 2
FAULT_S = 5.0
SEED = 7


class HolderFault(StrEnum):
    """A fault of the lease holder."""

    KILL = "kill"
    PAUSE = "pause"
    CUT = "cut"
    CUT_ONE_WAY = "cut-one-way"
    SHUTDOWN = "ended"  # the holder releases its leases


class LeaseCluster:
    """Dispatchers that contend for one task, without load."""

    def __init__(self, folder: Path) -> None:
        self.deployment = load(FLEET)
        self._folder = folder
        captures = folder / "captures"
        captures.mkdir(parents=True)
        # "player" is the name of this program in captures.
        self.capture = Capture(captures / "player.jsonl", "player")
        self.cluster = Cluster(self.deployment, str(FLEET), captures, 1, "info", folder)
        self._rng = np.random.default_rng(SEED)

    async def start(self, dispatchers: int) -> None:
        """Start the processes."""
        await self.cluster.start(WORKERS, dispatchers, self._folder / "state", tasks=(TASK,))

    async def find_holder(self) -> Process:
        """Wait until a dispatcher reports that it holds the lease, and return it."""
        while True:
            for dispatcher in self.cluster.dispatchers:
                try:
                    async with asyncio.timeout(0.5):
                        if dispatcher.running and TASK in (await lease_report(dispatcher))["holds"]:
                            return dispatcher
                except (OSError, TimeoutError):
                    continue
            await asyncio.sleep(0.05)

    async def inject(self, fault: HolderFault, holder: Process) -> None:
        """Inject a fault into the holder for `FAULT_S`, end the fault, and wait some seconds for recovery."""
        others = [each.name for each in self.cluster.dispatchers if each.name != holder.name]
        match fault:
            case HolderFault.KILL:
                self.cluster.kill(holder)
            case HolderFault.PAUSE:
                self.cluster.signal(holder, signal.SIGSTOP)
            case HolderFault.CUT:
                both_ways = [pair for other in others for pair in ((holder.name, other), (other, holder.name))]
                await self.cluster.set_link_fault(cut=both_ways)
            case HolderFault.CUT_ONE_WAY:
                await self.cluster.set_link_fault(cut=[(other, holder.name) for other in others])
            case HolderFault.SHUTDOWN:
                self.cluster.signal(holder, signal.SIGTERM)
        await asyncio.sleep(FAULT_S)
        await self._end_fault(fault, holder)
        await asyncio.sleep(float(self._rng.uniform(2.5, 3.5)))

    async def _end_fault(self, fault: HolderFault, holder: Process) -> None:
        match fault:
            case HolderFault.PAUSE:
                self.cluster.signal(holder, signal.SIGCONT)
            case HolderFault.CUT | HolderFault.CUT_ONE_WAY:
                await self.cluster.set_link_fault(cut=[])
            case HolderFault.KILL | HolderFault.SHUTDOWN:
                if holder.process is not None:
                    await holder.process.wait()
                await self.cluster.launch(holder)


async def lease_report(dispatcher: Process) -> dict[str, Any]:
    """Return what the control port of a dispatcher reports on leases."""
    report: dict[str, Any] = await http_json(dispatcher.ready_info["asked_at"], "GET", "/leases")
    return report


async def measure_failover(times: int, plot: Path | None, faults: tuple[str, ...]) -> None:
    """Inject each fault `times` times; print the times without a holder, their bound and the history check."""
    with tempfile.TemporaryDirectory() as name:
        leases = LeaseCluster(Path(name))
        await leases.start(DISPATCHERS)
        dispatchers = [each.name for each in leases.cluster.dispatchers]
        leases.capture.write("world", **describe_deployment(leases.deployment, dispatchers, WORKERS))
        fault_times_ms: dict[str, list[float]] = {}
        for fault in faults or tuple(HolderFault):
            for _ in range(times):
                holder = await leases.find_holder()
                fault_times_ms.setdefault(str(fault), []).append(time.monotonic() * 1000)
                await leases.inject(HolderFault(fault), holder)
        await leases.cluster.stop()
        events = read_captures(Path(name) / "captures")
    gaps_ms = {fault: holder_gaps_ms(events, times_ms) for fault, times_ms in fault_times_ms.items()}
    for fault, gaps in gaps_ms.items():
        print(json.dumps(gap_row(fault, gaps)), flush=True)
    assert leases.deployment.leases is not None
    bound_ms = gap_bound_ms(leases.deployment.leases)
    print(json.dumps({"bound_ms": round(bound_ms)}))
    if plot is not None:
        draw_gaps(plot, gaps_ms, bound_ms)
    verdict = check_history([e for e in events if e["what"] in ("act", "done", "world", "trouble")])
    row = {"acts": verdict.lease_uses, "holders_two": verdict.holders_two, "old_tokens_taken": verdict.old_tokens_taken}
    print(json.dumps(row))


def holder_gaps_ms(events: list[dict[str, Any]], fault_times_ms: list[float]) -> list[float]:
    """Return the number of milliseconds without a holder after each fault.

    This time lasts from the last use of the lease under the old token to the first under a newer one.  `looked` in an
    event is the time at which the holder checked its lease; `taken` tells whether the use was accepted."""
    uses = sorted((e for e in events if e["what"] in ("act", "done") and e["taken"]), key=lambda e: e["looked"])
    gaps = []
    for at in fault_times_ms:
        before = [e for e in uses if e["looked"] <= at][-1]
        old = [e for e in uses if e["token"] == before["token"]][-1]
        new = next(e for e in uses if e["looked"] > old["looked"] and e["token"] > old["token"])
        gaps.append(new["looked"] - old["looked"])
    return gaps


def gap_row(fault: str, gaps: list[float]) -> dict[str, Any]:
    """Return the figures of one fault."""
    return {
        "without_a_holder_ms": fault,
        "times": len(gaps),
        "median": round(statistics.median(gaps)),
        "worst": round(max(gaps)),
        "all": [round(gap) for gap in sorted(gaps)],
    }


def gap_bound_ms(leases: LeasesConfig) -> float:
    """Return the largest number of milliseconds without a holder that the settings allow.

    It is the sum of a lease granted just before the fault, on the clock of the slowest acceptor; 1.5 retry pauses; the
    queue spacing for seven dispatchers; the timeout of a request to a first acceptor that does not answer; and 100 ms
    for two round trips of requests with their syncs."""
    longest_lease_ms: float = leases.length_ms / (1 - leases.clock_rate_bound)
    waits_ms = 1.5 * leases.retry_pause_ms + 7 * leases.queue_spacing_ms + leases.request_timeout_ms
    return longest_lease_ms + waits_ms + 100


def draw_gaps(file: Path, gaps_ms: dict[str, list[float]], bound_ms: float) -> None:
    """Plot all times without a holder."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for number, gaps in enumerate(gaps_ms.values()):
        axes.scatter([number] * len(gaps), gaps, alpha=0.6)
    axes.axhline(bound_ms, color="black", linewidth=0.8, label=f"bound from the settings, {bound_ms:.0f} ms")
    axes.set_xticks(range(len(gaps_ms)), list(gaps_ms))
    axes.set_ylabel("ms without a holder")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=110)
