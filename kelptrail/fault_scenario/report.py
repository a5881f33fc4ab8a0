"""The report of a scenario: the checker's counts, latency by request class, a timeline, and its plot."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from kelptrail.history_checker.checker import CheckResult, Event
from kelptrail.settings.deployment import Deployment


def latencies(events: list[Event]) -> dict[str, dict[str, float]]:
    """Percentiles (ms) of completed blocking calls by request class, from an HDR histogram of microseconds."""
    calls = {e["call"]: e for e in events if e["what"] == "call"}
    kinds: dict[str, HdrHistogram] = defaultdict(lambda: HdrHistogram(1, 600_000_000, 3))
    for event in events:
        if event["what"] == "final" and event["answer"] == "completed" and event.get("took") is None:
            call = calls[event["call"]]
            kinds[call["type"]].record_value(max(1, int((event["t"] - call["t"]) * 1000)))
    return {
        kind: {f"p{p:g}": round(h.get_value_at_percentile(p) / 1000, 2) for p in (50, 90, 99, 99.9)}
        | {"count": h.get_total_count()}
        for kind, h in sorted(kinds.items())
    }


def describe_deployment(deployment: Deployment, names: list[str], workers: int) -> dict[str, Any]:
    """What the history checker must know of the deployment."""
    rules = deployment.rules
    return {
        "types": [{"name": t.name, "effect": t.effect, "target_ms": t.target_ms} for t in deployment.types.values()],
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


def timeline(events: list[Event]) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Each second's calls and final answers, and the faults.  Seconds count from the start of the load."""
    (begin,) = [e for e in events if e["what"] == "begin"]
    start, seconds = begin["start"], int(begin["seconds"]) + 8
    targets = {t["name"]: t["target_ms"] for t in next(e for e in events if e["what"] == "world")["types"]}
    rows: list[dict[str, Any]] = [
        {"second": n, "calls": 0, "completed": 0, "in_time": 0, "rejected": 0, "aborted": 0, "sends": 0, "orders": 0}
        for n in range(seconds)
    ]
    calls = {e["call"]: e for e in events if e["what"] == "call"}
    faults = []
    for event in events:
        second = int((event["t"] - start) / 1000)
        if not 0 <= second < seconds:
            continue
        row, what = rows[second], event["what"]
        if what == "call":
            row["calls"] += 1
        elif what == "send":
            row["sends"] += 1
        elif what == "order":
            row["orders"] += 1
        elif what == "final" and event["answer"] in row:
            row[event["answer"]] += 1
            call = calls[event["call"]]
            latency_ms = event["took"] if event.get("took") is not None else event["t"] - call["t"]
            row["in_time"] += event["answer"] == "completed" and latency_ms <= targets[call["type"]]
        elif what == "trouble":
            faults.append(
                {
                    "kind": event["kind"],
                    "at": round((event["t"] - start) / 1000, 2),
                    "for": event["seconds"],
                    "of": event["of"],
                }
            )
    while rows and not any(v for k, v in rows[-1].items() if k != "second"):
        rows.pop()
    return rows, faults


MAX_LEASE_GAP_MS = 300.0  # between two uses of a lease: past it no dispatcher is counted as its holder


def lease_holders(events: list[Event], seconds: int) -> dict[str, Any]:
    """For each task which dispatcher held its lease from when to when, in seconds of the load, and the times without a
    holder: from uses that the side-effect log accepted, by when their users had checked their leases."""
    (begin,) = [e for e in events if e["what"] == "begin"]
    lease_uses: dict[str, list[Event]] = defaultdict(list)
    for event in sorted((e for e in events if e["what"] in ("act", "done") and e["taken"]), key=lambda e: e["looked"]):
        lease_uses[event["task"]].append(event)
    out: dict[str, Any] = {}
    for task, found in sorted(lease_uses.items()):
        spans: list[dict[str, Any]] = []
        for event in found:
            at, who = (event["looked"] - begin["start"]) / 1000, f"{event['token'][0]}.{event['token'][1]}"
            if spans and spans[-1]["token"] == who and at - spans[-1]["until"] <= MAX_LEASE_GAP_MS / 1000:
                spans[-1]["until"] = round(at, 3)
            else:
                spans.append({"by": event["by"], "token": who, "from": round(at, 3), "until": round(at, 3)})
        gaps = [round(b["from"] - a["until"], 3) for a, b in pairwise(spans) if b["from"] > 0]
        last = spans[-1]["until"] if spans else 0.0
        if seconds - last > MAX_LEASE_GAP_MS / 1000:
            gaps.append(round(seconds - last, 3))
        out[task] = {
            "spans": spans,
            "without_s": round(sum(g for g in gaps if g > MAX_LEASE_GAP_MS / 1000), 3),
            "longest_without_s": max(gaps, default=0.0),
            "acts": len(found),
        }
    return out


def write_report(
    folder: Path,
    name: str,
    seed: int,
    events: list[Event],
    result: CheckResult,
    clean: bool,
    memory: list[tuple[float, list[int]]],
    states: list[dict[str, Any]],
) -> dict[str, Any]:
    """Write report.json and timeline.png into `folder`; returns the report."""
    rows, faults = timeline(events)
    deployment = next(e for e in events if e["what"] == "world")
    report: dict[str, Any] = {
        "name": name,
        "seed": seed,
        "workers": deployment["workers"],
        "dispatchers": deployment["dispatchers"],
        **result.counts(),
        "broken": result.broken,
        "drained_cleanly": clean,
        "latency_ms": latencies(events),
        "dispatcher_memory_mb": {
            "first": [kb // 1024 for kb in memory[0][1]] if memory else [],
            "last": [kb // 1024 for kb in memory[-1][1]] if memory else [],
        },
        "second_sends": sum(s["second_sends"] for s in states),  # since their last starts
        "second_saved": sum(s["second_saved"] for s in states),
        "journal": [s["journal"] for s in states if s.get("journal")],
        "leases": lease_holders(events, int(rows[-1]["second"]) + 1 if rows else 0),
        "troubles": faults,
        "details": result.details,
        "timeline": rows,
    }
    (folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report)) + b"\n")
    draw_timeline(folder / "timeline.png", name, rows, faults, report["leases"])
    return report


def draw_timeline(
    file: Path, name: str, rows: list[dict[str, Any]], faults: list[dict[str, Any]], leases: dict[str, Any]
) -> None:
    """Plot the results of each second, the lease holders, and the faults below."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = [row["second"] for row in rows]
    figure, (top, middle, lease_axis, low) = pyplot.subplots(
        4,
        1,
        figsize=(11, 8 + 0.5 * len(leases)),
        sharex=True,
        height_ratios=[3, 1.5, 0.5 * len(leases) + 0.01, max(1.0, 0.16 * len(faults))],
    )
    _draw_leases(lease_axis, leases)
    late = [row["completed"] - row["in_time"] for row in rows]
    top.stackplot(
        seconds,
        [r["in_time"] for r in rows],
        late,
        [r["rejected"] for r in rows],
        [r["aborted"] for r in rows],
        labels=["in time", "late", "rejected", "aborted"],
        colors=["#3a7d44", "#d9b44a", "#4a6fa5", "#a63d40"],
    )
    top.plot(seconds, [r["calls"] for r in rows], color="black", linewidth=0.8, label="calls")
    top.set_ylabel("a second")
    top.set_title(name)
    top.legend(loc="upper right", ncols=5, fontsize=8)
    middle.plot(seconds, [r["sends"] for r in rows], label="sends", color="#555555")
    middle.plot(seconds, [r["orders"] for r in rows], label="hold orders", color="#c06014")
    middle.legend(loc="upper right", fontsize=8)
    for number, fault in enumerate(faults):
        low.barh(number, max(0.3, fault["for"]), left=fault["at"], color="#8a5a83")
        low.text(fault["at"] + max(0.3, fault["for"]) + 0.2, number, fault["kind"], fontsize=7, va="center")
    low.set_yticks([])
    low.set_xlabel("seconds")
    low.set_ylabel("troubles")
    figure.tight_layout()
    figure.savefig(file, dpi=110)
    pyplot.close(figure)


def _draw_leases(lease_axis: Any, leases: dict[str, Any]) -> None:
    """A line for each task, a colour for each holder."""
    names = sorted({span["by"] for task in leases.values() for span in task["spans"]})
    colors = {name: f"C{number}" for number, name in enumerate(names)}
    for row, task in enumerate(leases.values()):
        for span in task["spans"]:
            lease_axis.barh(row, span["until"] - span["from"], left=span["from"], color=colors[span["by"]], height=0.7)
    lease_axis.set_yticks(range(len(leases)), list(leases), fontsize=8)
    if not leases:
        lease_axis.set_axis_off()
    for name in names:
        lease_axis.barh(0, 0, color=colors[name], label=name)
    if names:
        lease_axis.legend(loc="lower right", bbox_to_anchor=(1, 1), ncols=len(names), fontsize=6)
