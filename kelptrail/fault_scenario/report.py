"""What a bad day came to: the audit's counts, latency by type, a timeline, and a picture of it."""

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
    """Percentiles (ms) of completed blocking calls by namespace type, from an HDR histogram of microseconds."""
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


def world_of(deployment: Deployment, names: list[str], workers: int) -> dict[str, Any]:
    """What the audit must know of a place."""
    rules = deployment.rules
    return {
        "types": [{"name": t.name, "effect": t.effect, "target_ms": t.target_ms} for t in deployment.types.values()],
        "rules": {
            "drain_grace_ms": rules.drain_grace_ms,
            "tip": rules.tip,
            "tip_ms": rules.tip_ms,
            "order_wait_ms": deployment.pool.connect_ms,
            "free_loads": rules.free_loads,
            "load_share": rules.load_share,
            "load_span_ms": rules.load_span_ms if rules.orders else 0.0,
        },
        "clock_bound": deployment.leases.clock_bound if deployment.leases is not None else 0.0,
        "copies": deployment.peers.copies if deployment.peers is not None else 0,
        "kept": deployment.journal.keep,
        "names": names,
        "workers": workers,
        "dispatchers": len(names),
    }


def timeline(events: list[Event]) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Each second's calls and final answers, and the troubles.  Seconds count from the start of the load."""
    (begin,) = [e for e in events if e["what"] == "begin"]
    start, seconds = begin["start"], int(begin["seconds"]) + 8
    targets = {t["name"]: t["target_ms"] for t in next(e for e in events if e["what"] == "world")["types"]}
    rows: list[dict[str, Any]] = [
        {"second": n, "calls": 0, "completed": 0, "in_time": 0, "rejected": 0, "aborted": 0, "sends": 0, "orders": 0}
        for n in range(seconds)
    ]
    calls = {e["call"]: e for e in events if e["what"] == "call"}
    troubles = []
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
            took = event["took"] if event.get("took") is not None else event["t"] - call["t"]
            row["in_time"] += event["answer"] == "completed" and took <= targets[call["type"]]
        elif what == "trouble":
            troubles.append(
                {
                    "kind": event["kind"],
                    "at": round((event["t"] - start) / 1000, 2),
                    "for": event["seconds"],
                    "of": event["of"],
                }
            )
    while rows and not any(v for k, v in rows[-1].items() if k != "second"):
        rows.pop()
    return rows, troubles


GAP_MS = 300.0  # between two acts on a task: past it nobody is taken to hold it


def holders(events: list[Event], seconds: int) -> dict[str, Any]:
    """Of each task who held it from when to when, in seconds of the load, and the times without a holder: from acts
    that the witness took, by when their actors had looked at their leases."""
    (begin,) = [e for e in events if e["what"] == "begin"]
    acts: dict[str, list[Event]] = defaultdict(list)
    for event in sorted((e for e in events if e["what"] in ("act", "done") and e["taken"]), key=lambda e: e["looked"]):
        acts[event["task"]].append(event)
    out: dict[str, Any] = {}
    for task, found in sorted(acts.items()):
        spans: list[dict[str, Any]] = []
        for event in found:
            at, who = (event["looked"] - begin["start"]) / 1000, f"{event['token'][0]}.{event['token'][1]}"
            if spans and spans[-1]["token"] == who and at - spans[-1]["until"] <= GAP_MS / 1000:
                spans[-1]["until"] = round(at, 3)
            else:
                spans.append({"by": event["by"], "token": who, "from": round(at, 3), "until": round(at, 3)})
        gaps = [round(b["from"] - a["until"], 3) for a, b in pairwise(spans) if b["from"] > 0]
        last = spans[-1]["until"] if spans else 0.0
        if seconds - last > GAP_MS / 1000:
            gaps.append(round(seconds - last, 3))
        out[task] = {
            "spans": spans,
            "without_s": round(sum(g for g in gaps if g > GAP_MS / 1000), 3),
            "longest_without_s": max(gaps, default=0.0),
            "acts": len(found),
        }
    return out


def write(
    folder: Path,
    name: str,
    seed: int,
    events: list[Event],
    verdict: CheckResult,
    clean: bool,
    memory: list[tuple[float, list[int]]],
    states: list[dict[str, Any]],
) -> dict[str, Any]:
    """Write report.json and timeline.png into `folder`; returns the report."""
    rows, troubles = timeline(events)
    world = next(e for e in events if e["what"] == "world")
    report: dict[str, Any] = {
        "name": name,
        "seed": seed,
        "workers": world["workers"],
        "dispatchers": world["dispatchers"],
        **verdict.counts(),
        "broken": verdict.broken,
        "drained_cleanly": clean,
        "latency_ms": latencies(events),
        "dispatcher_memory_mb": {
            "first": [kb // 1024 for kb in memory[0][1]] if memory else [],
            "last": [kb // 1024 for kb in memory[-1][1]] if memory else [],
        },
        "second_sends": sum(s["second_sends"] for s in states),  # since their last starts
        "second_saved": sum(s["second_saved"] for s in states),
        "journal": [s["journal"] for s in states if s.get("journal")],
        "leases": holders(events, int(rows[-1]["second"]) + 1 if rows else 0),
        "troubles": troubles,
        "details": verdict.details,
        "timeline": rows,
    }
    (folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report)) + b"\n")
    draw(folder / "timeline.png", name, rows, troubles, report["leases"])
    return report


def draw(
    file: Path, name: str, rows: list[dict[str, Any]], troubles: list[dict[str, Any]], leases: dict[str, Any]
) -> None:
    """A picture: what became of the calls each second, who held which task, and the troubles below."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = [row["second"] for row in rows]
    figure, (top, middle, held, low) = pyplot.subplots(
        4,
        1,
        figsize=(11, 8 + 0.5 * len(leases)),
        sharex=True,
        height_ratios=[3, 1.5, 0.5 * len(leases) + 0.01, max(1.0, 0.16 * len(troubles))],
    )
    _draw_leases(held, leases)
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
    for number, trouble in enumerate(troubles):
        low.barh(number, max(0.3, trouble["for"]), left=trouble["at"], color="#8a5a83")
        low.text(trouble["at"] + max(0.3, trouble["for"]) + 0.2, number, trouble["kind"], fontsize=7, va="center")
    low.set_yticks([])
    low.set_xlabel("seconds")
    low.set_ylabel("troubles")
    figure.tight_layout()
    figure.savefig(file, dpi=110)
    pyplot.close(figure)


def _draw_leases(held: Any, leases: dict[str, Any]) -> None:
    """A line for each task, a colour for each holder."""
    names = sorted({span["by"] for task in leases.values() for span in task["spans"]})
    colors = {name: f"C{number}" for number, name in enumerate(names)}
    for row, task in enumerate(leases.values()):
        for span in task["spans"]:
            held.barh(row, span["until"] - span["from"], left=span["from"], color=colors[span["by"]], height=0.7)
    held.set_yticks(range(len(leases)), list(leases), fontsize=8)
    if not leases:
        held.set_axis_off()
    for name in names:
        held.barh(0, 0, color=colors[name], label=name)
    if names:
        held.legend(loc="lower right", bbox_to_anchor=(1, 1), ncols=len(names), fontsize=6)
