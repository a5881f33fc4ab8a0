"""Measures failovers of shared front addresses with real processes: `python bench/vrrp_failover.py --failovers 30`.

Three dispatchers serve two addresses behind a datagram proxy that injects faults; clients call the addresses all the
time.  Each failover kills, shuts down, pauses or cuts off the current master of the first address.  The holders of an
address are counted only from the machine's list of listening sockets and from the datagrams at the proxy.  The history
checker checks the captures.  Writes report.json and masters.png into --out.  The exit code is 6 if a rule was broken or
an expected take-over did not happen.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
from pathlib import Path
from typing import Any

import numpy as np
import uvloop
from vrrp_holders import HolderTimeline, advertised_timeline, draw_timelines, listening_timeline
from vrrp_trial import MASTER_FAULTS, FailoverTrial, MasterFault

from kelptrail.fault_scenario.report import latencies
from kelptrail.history_checker.checker import check_history, read_captures
from kelptrail.settings.deployment import Deployment, load

EXAMPLE = Path(__file__).parent.parent / "examples" / "shared-address.sexp"
RULE_BROKEN_EXIT = 6
SHOWN_DETAILS = 40


def master_down_interval_ms(deployment: Deployment) -> float:
    """Return the milliseconds of the Active_Down_Interval (RFC 9568), after which the router of the second-highest
    priority takes over."""
    assert deployment.vrrp is not None
    first = deployment.vrrp.router[0]
    priorities = sorted((member.priority for member in first.member), reverse=True)
    return (3 + (256 - priorities[1]) / 256) * first.interval_cs * 10.0


def takeover_figures(trial: FailoverTrial) -> dict[str, Any]:
    """Return the times until another process held the address: for all faults but shutdowns, and by fault."""
    times_ms = [each.ms for each in trial.takeovers if each.fault is not MasterFault.SHUTDOWN]
    by_fault = {
        fault.value: [round(each.ms, 1) for each in trial.takeovers if each.fault is fault] for fault in MASTER_FAULTS
    }
    figures = {
        "median": round(statistics.median(times_ms), 1) if times_ms else None,
        "p99": round(float(np.percentile(times_ms, 99)), 1) if times_ms else None,
        "worst": round(max(times_ms), 1) if times_ms else None,
    }
    return {"take_over_ms": figures, "take_over_by_kind_ms": by_fault}


def holder_figures(
    deployment: Deployment, trial: FailoverTrial, events: list[dict[str, Any]], out: Path
) -> dict[str, Any]:
    """Plot the number of holders of each address over time; return the seconds with each number.

    Holders are counted by sockets and, separately, by datagrams."""
    assert deployment.vrrp is not None
    interval_ms = deployment.vrrp.router[0].interval_cs * 10.0
    timelines: dict[str, HolderTimeline] = {}
    figures: dict[str, Any] = {"seconds_held_by": {}, "seconds_advertised_by": {}}
    for number, router in enumerate(deployment.vrrp.router):
        held = listening_timeline(trial.samples, number, trial.start_ms)
        advertised = advertised_timeline(events, int(router.vrid), interval_ms, trial.start_ms)
        timelines |= {f"sockets {router.address}": held, f"datagrams {router.vrid}": advertised}
        figures["seconds_held_by"][router.address] = held.rounded_seconds()
        figures["seconds_advertised_by"][router.address] = advertised.rounded_seconds()
    faults = [((e["t"] - trial.start_ms) / 1000, e["kind"]) for e in events if e["what"] == "failover"]
    draw_timelines(out / "masters.png", timelines, faults)
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--failovers", type=int, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--settings", default=str(EXAMPLE))
    parser.add_argument("--out", type=Path, default=Path("out/vrrp"))
    options = parser.parse_args()
    deployment = load(options.settings)
    assert deployment.vrrp is not None
    trial = FailoverTrial(deployment, options.settings, options.seed, options.out, options.rate)
    drained_cleanly = uvloop.run(trial.run(options.failovers))
    events = read_captures(options.out / "captures")
    verdict = check_history(events)
    report: dict[str, Any] = {
        "failovers": options.failovers,
        "taken_over": len(trial.takeovers),
        "interval_ms": deployment.vrrp.router[0].interval_cs * 10.0,
        "master_down_interval_ms": round(master_down_interval_ms(deployment), 1),
        "drained_cleanly": drained_cleanly,
        **takeover_figures(trial),
        **holder_figures(deployment, trial, events, options.out),
        **verdict.counts(),
        "broken": verdict.broken,
        "details": verdict.details[:SHOWN_DETAILS],
        "latency_ms": latencies(events),
    }
    (options.out / "report.json").write_text(json.dumps(report, indent=1) + "\n")
    print(json.dumps(report, indent=1))
    sys.exit(RULE_BROKEN_EXIT if verdict.broken or len(trial.takeovers) < trial.expected_takeovers else 0)


if __name__ == "__main__":
    main()
