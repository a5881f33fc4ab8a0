"""The timeline of a scenario: calls, answers and work of each second, and faults."""

from __future__ import annotations

from typing import Any, NamedTuple

from kelptrail.history_checker.history import Event

SECONDS_AFTER_LOAD = 8  # Time for the last answers to arrive


class Timeline(NamedTuple):
    """Rows of the report: one for each second, and one for each fault."""

    seconds: list[dict[str, Any]]
    faults: list[dict[str, Any]]


def timeline(events: list[Event]) -> Timeline:
    """Return the counts of calls, answers, attempts and load orders of each second, and the faults.

    Seconds count from the start of the load.  A call that is completed within the latency objective counts as in time.
    """
    (begin,) = [e for e in events if e["what"] == "begin"]
    start, seconds = begin["start"], int(begin["seconds"]) + SECONDS_AFTER_LOAD
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
            call = calls[event["call"]]
            row[event["answer"]] += 1
            row["in_time"] += event["answer"] == "completed" and _latency_ms(event, call) <= targets[call["type"]]
        elif what == "trouble":
            faults.append(_fault_row(event, start))
    while rows and not any(value for key, value in rows[-1].items() if key != "second"):
        rows.pop()
    return Timeline(rows, faults)


def _latency_ms(final: Event, call: Event) -> float:
    """Return the time to a final answer in ms: from the record of a deferred call, else as the client measured it."""
    if final.get("took") is not None:
        return float(final["took"])
    return float(final["t"] - call["t"])


def _fault_row(event: Event, start: float) -> dict[str, Any]:
    return {
        "kind": event["kind"],
        "at": round((event["t"] - start) / 1000, 2),
        "for": event["seconds"],
        "of": event["of"],
    }
