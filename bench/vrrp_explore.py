"""Explores products of VRRP cores deeply and plays 1,000 seeded failovers: `python bench/vrrp_explore.py`."""

from __future__ import annotations

import argparse
import json
import statistics
import time
from dataclasses import asdict
from functools import partial
from ipaddress import ip_address

import numpy as np

from kelptrail.vrrp.model import FaultBudget, explore
from kelptrail.vrrp.simulation import simulate_failovers
from kelptrail.vrrp.state_machine import RouterSettings, VirtualRouter

FRONT = (ip_address("127.0.2.1"),)
PRODUCTS = (
    ("two, preempting", (200, 100), True, FaultBudget(), 14),
    ("two, equal", (100, 100), True, FaultBudget(), 12),
    ("two, not preempting", (200, 100), False, FaultBudget(), 12),
    ("two, one owner", (255, 100), True, FaultBudget(), 12),
    ("three, preempting", (200, 150, 100), True, FaultBudget(), 8),
    ("three, not preempting", (200, 150, 100), False, FaultBudget(), 7),
)


def cores(priorities: tuple[int, ...], preempt: bool) -> list[VirtualRouter]:
    return [
        VirtualRouter(RouterSettings(1, p, FRONT, 100, preempt), ip_address(f"127.0.1.{n + 1}"))
        for n, p in enumerate(priorities)
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--failovers", type=int, default=1000)
    parser.add_argument("--most-states", type=int, default=200_000)
    options = parser.parse_args()
    for name, priorities, preempt, budget, depth in PRODUCTS:
        began = time.monotonic()
        found = explore(partial(cores, priorities, preempt), budget, depth, options.most_states, 9000.0)
        print(json.dumps({"product": name, **asdict(found), "seconds": round(time.monotonic() - began, 1)}), flush=True)
    found = simulate_failovers(range(options.failovers))
    print(
        json.dumps(
            {
                "failovers": found.failovers,
                "broken": found.broken[:5],
                "median_ms": round(statistics.median(found.took), 1),
                "p99_ms": round(float(np.percentile(found.took, 99)), 1),
                "worst_ms": round(max(found.took), 1),
                "worst_of_bound": round(found.worst_ratio, 4),
                "seconds_none": round(found.none_ms / 1000, 1),
                "seconds_one": round(found.one_ms / 1000, 1),
                "seconds_more": round(found.more_ms / 1000, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
