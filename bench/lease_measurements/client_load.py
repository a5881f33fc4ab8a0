"""Messages and CPU at acceptors and lease clients by the number of clients, simulated and with real dispatchers.

The reports call acceptors voters and lease clients askers.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from pinned_processes import cpu_seconds

from kelptrail.lease.messages import LeaseSettings
from kelptrail.simulation.event_queue import EventQueue
from kelptrail.simulation.lease_links import Link
from kelptrail.simulation.leases import SimulatedLeases, SimulatedLeaseSettings
from lease_measurements.failover import TASK, LeaseCluster, lease_report

ACCEPTORS = 5
LEASE_MS, SYNC_MS, NETWORK_MS, SILENT_MS = 4000.0, 2.0, 0.2, 3000.0
SEED = 1
SETTLE_MS, OUTAGE_MS, STEP_MS = 20_000.0, 35_000.0, 100.0
REAL_SETTLE_S = 8.0


def simulate_clients(count: int, seconds: float, outage: bool) -> dict[str, Any]:
    """Simulate `count` dispatchers that contend for one task; five of them are acceptors.

    With `outage`, all links are cut for `OUTAGE_MS` before the measurement."""
    queue, names = EventQueue(), [f"dispatcher-{n:03d}" for n in range(count)]
    acceptors, clients = names[:ACCEPTORS], names[ACCEPTORS:]
    settings = LeaseSettings(tuple(acceptors), max_lease_ms=LEASE_MS)
    used_at: list[float] = []
    simulated = SimulatedLeaseSettings(settings, LEASE_MS, SYNC_MS, NETWORK_MS, SILENT_MS)
    leases = SimulatedLeases(queue, simulated, names, SEED, lambda what, **fields: used_at.append(queue.now))
    leases.contend((TASK,), names)
    queue.run(SETTLE_MS)
    if outage:
        _cut_all_links(leases, queue, names)
    measured_from, before = queue.now, _message_counts(leases)
    peak_per_s, cpu_s = 0.0, time.process_time()
    while queue.now < measured_from + seconds * 1000:
        counts = _message_counts(leases)
        queue.run(queue.now + STEP_MS)
        messages = max(leases.nodes[name].messages_received - counts[name] for name in acceptors)
        peak_per_s = max(peak_per_s, messages * 1000 / STEP_MS)
    cpu_s = time.process_time() - cpu_s
    after = _message_counts(leases)
    per_s = {name: (after[name] - before[name]) / seconds for name in names}
    row = {
        "askers": count,
        "outage": outage,
        "voter_messages_per_s": round(max(per_s[name] for name in acceptors), 1),
        "voter_peak_per_s_in_100_ms": round(peak_per_s),
        "asker_messages_per_s": round(statistics.median(per_s[name] for name in clients), 2),
        "all_messages_per_s": round(sum(per_s.values())),
        "cpu_us_a_message": round(cpu_s * 1e6 / max(1, sum(after.values()) - sum(before.values())), 1),
    }
    if outage:
        row["held_again_after_ms"] = round(min(at for at in used_at if at > measured_from) - measured_from)
    return row


def _cut_all_links(leases: SimulatedLeases, queue: EventQueue, names: list[str]) -> None:
    links = [Link(a, b) for a in names for b in names if a != b]
    leases.links.cut(links)
    queue.run(OUTAGE_MS)
    leases.links.heal(links)


def _message_counts(leases: SimulatedLeases) -> dict[str, int]:
    return {name: node.messages_received for name, node in leases.nodes.items()}


class LeaseLoad(NamedTuple):
    """Lease messages that a dispatcher has received, and its CPU time, so far."""

    messages: float
    cpu_ms: float


async def measure_real_clients(count: int, seconds: float) -> dict[str, Any]:
    """Measure messages and CPU at `count` real dispatchers that contend for one task, without load."""
    with tempfile.TemporaryDirectory() as name:
        leases = LeaseCluster(Path(name))
        await leases.start(count)
        await asyncio.sleep(REAL_SETTLE_S)
        before, start = await _read_loads(leases), time.monotonic()
        await asyncio.sleep(seconds)
        after, took_s = await _read_loads(leases), time.monotonic() - start
        await leases.cluster.stop()
    rates = [
        LeaseLoad((new.messages - old.messages) / took_s, (new.cpu_ms - old.cpu_ms) / took_s)
        for old, new in zip(before, after, strict=True)
    ]
    acceptors, others = rates[:ACCEPTORS], rates[ACCEPTORS:]
    return {
        "real_askers": count,
        "voter_messages_per_s": round(max(rate.messages for rate in acceptors), 1),
        "voter_cpu_ms_per_s": round(max(rate.cpu_ms for rate in acceptors), 1),
        "other_messages_per_s": round(statistics.median(rate.messages for rate in others), 2),
        "other_cpu_ms_per_s": round(statistics.median(rate.cpu_ms for rate in others), 1),
    }


async def _read_loads(leases: LeaseCluster) -> list[LeaseLoad]:
    loads = []
    for dispatcher in leases.cluster.dispatchers:
        report = await lease_report(dispatcher)
        assert dispatcher.process is not None
        loads.append(LeaseLoad(report["messages"], cpu_seconds(dispatcher.process.pid) * 1000))
    return loads
