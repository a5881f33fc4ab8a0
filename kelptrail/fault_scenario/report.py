"""The report of a scenario: the checker's counts, latency by request class, a timeline, and its plot."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from kelptrail.history_checker.history import Event
from kelptrail.history_checker.result import CheckResult
from kelptrail.settings.deployment import Deployment

from .timeline import Timeline
from .timeline import timeline as timeline
from .timeline_plot import draw_timeline

PERCENTILES = (50, 90, 99, 99.9)
LONGEST_LATENCY_US = 600_000_000
# During a longer gap between two uses of a lease, no dispatcher counts as its holder.
MAX_LEASE_GAP_MS = 300.0


class MemorySample(NamedTuple):
    """Resident memory of each running dispatcher in KiB, at a time in seconds from the start of the load."""

    seconds: float
    resident_kb: list[int]


@dataclass(frozen=True, slots=True)
class RunObservations:
    """Observations of a run with real processes that its captures do not contain."""

    drained_cleanly: bool  # True if every dispatcher's last process exited with code 0, that is, drained cleanly
    memory: list[MemorySample]
    states: list[dict[str, Any]]  # Answers of the dispatchers' control ports to `/state`, before they are stopped


def latencies(events: list[Event]) -> dict[str, dict[str, float]]:
    """Return latency percentiles in ms of completed blocking calls, by request class.

    They are computed from an HDR histogram of microseconds.  The final answer of a deferred call has a duration,
    `took`, from its activation record; that of a blocking call has none.
    """
    calls = {e["call"]: e for e in events if e["what"] == "call"}
    histograms: dict[str, HdrHistogram] = defaultdict(lambda: HdrHistogram(1, LONGEST_LATENCY_US, 3))
    for event in events:
        if event["what"] == "final" and event["answer"] == "completed" and event.get("took") is None:
            call = calls[event["call"]]
            histograms[call["type"]].record_value(max(1, int((event["t"] - call["t"]) * 1000)))
    return {
        type_name: {f"p{p:g}": round(histogram.get_value_at_percentile(p) / 1000, 2) for p in PERCENTILES}
        | {"count": histogram.get_total_count()}
        for type_name, histogram in sorted(histograms.items())
    }


def describe_deployment(deployment: Deployment, names: list[str], workers: int) -> dict[str, Any]:
    """Return the properties of the deployment that the history checker needs."""
    rules = deployment.rules
    return {
        "types": [
            {"name": type_.name, "effect": type_.effect, "target_ms": type_.latency_objective_ms}
            for type_ in deployment.types.values()
        ],
        "rules": {
            "drain_grace_ms": rules.drain_grace_ms,
            "tip": rules.overload_multiple,
            "tip_ms": rules.overload_window_ms,
            "order_wait_ms": deployment.pool.connect_ms,
            "free_loads": rules.free_loads,
            "load_share": rules.loads_per_request,
            "load_span_ms": rules.load_window_ms if rules.loads_allowed else 0.0,
        },
        "clock_bound": deployment.leases.clock_rate_bound if deployment.leases is not None else 0.0,
        "copies": deployment.peers.replicas if deployment.peers is not None else 0,
        "kept": deployment.journal.enabled,
        "names": names,
        "workers": workers,
        "dispatchers": len(names),
    }


def lease_holders(events: list[Event], seconds: int) -> dict[str, Any]:
    """Return for each task the spans in which a dispatcher held its lease, and the time without a holder.

    Times are in seconds of the load.  Spans are derived from the uses that the side-effect log accepted (`taken`), each
    at the time at which its holder had checked the lease (`looked`).
    """
    (begin,) = [e for e in events if e["what"] == "begin"]
    lease_uses: dict[str, list[Event]] = defaultdict(list)
    for event in sorted((e for e in events if e["what"] in ("act", "done") and e["taken"]), key=lambda e: e["looked"]):
        lease_uses[event["task"]].append(event)
    leases_by_task: dict[str, Any] = {}
    for task, uses in sorted(lease_uses.items()):
        spans = _lease_spans(uses, begin["start"])
        gaps = _lease_gaps(spans, seconds)
        leases_by_task[task] = {
            "spans": spans,
            "without_s": round(sum(g for g in gaps if g > MAX_LEASE_GAP_MS / 1000), 3),
            "longest_without_s": max(gaps, default=0.0),
            "acts": len(uses),
        }
    return leases_by_task


def _lease_spans(uses: list[Event], start: float) -> list[dict[str, Any]]:
    """Return spans of uses under one token without a long gap between them, in seconds of the load."""
    spans: list[dict[str, Any]] = []
    for event in uses:
        at, token = (event["looked"] - start) / 1000, f"{event['token'][0]}.{event['token'][1]}"
        if spans and spans[-1]["token"] == token and at - spans[-1]["until"] <= MAX_LEASE_GAP_MS / 1000:
            spans[-1]["until"] = round(at, 3)
        else:
            spans.append({"by": event["by"], "token": token, "from": round(at, 3), "until": round(at, 3)})
    return spans


def _lease_gaps(spans: list[dict[str, Any]], seconds: int) -> list[float]:
    """Return the gaps between spans in seconds, and the one from the last span to the end of the load if it is long.

    Gaps that end before the load starts are left out.
    """
    gaps: list[float] = [round(b["from"] - a["until"], 3) for a, b in pairwise(spans) if b["from"] > 0]
    last = spans[-1]["until"] if spans else 0.0
    if seconds - last > MAX_LEASE_GAP_MS / 1000:
        gaps.append(round(seconds - last, 3))
    return gaps


def write_report(
    folder: Path, name: str, seed: int, events: list[Event], result: CheckResult, observations: RunObservations
) -> dict[str, Any]:
    """Write report.json and timeline.png to `folder`, and return the report."""
    rows, faults = timeline(events)
    deployment = next(e for e in events if e["what"] == "world")
    memory, states = observations.memory, observations.states
    report: dict[str, Any] = {
        "name": name,
        "seed": seed,
        "workers": deployment["workers"],
        "dispatchers": deployment["dispatchers"],
        **result.counts(),
        "broken": result.broken,
        "drained_cleanly": observations.drained_cleanly,
        "latency_ms": latencies(events),
        "dispatcher_memory_mb": {
            "first": [kb // 1024 for kb in memory[0].resident_kb] if memory else [],
            "last": [kb // 1024 for kb in memory[-1].resident_kb] if memory else [],
        },
        "second_sends": sum(s["second_sends"] for s in states),  # Counted since the last start of each dispatcher
        "second_saved": sum(s["second_saved"] for s in states),
        "journal": [s["journal"] for s in states if s.get("journal")],
        "leases": lease_holders(events, int(rows[-1]["second"]) + 1 if rows else 0),
        "troubles": faults,
        "details": result.details,
        "timeline": rows,
    }
    (folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report)) + b"\n")
    draw_timeline(folder / "timeline.png", name, Timeline(rows, faults), report["leases"])
    return report
