"""Model-checks products of VRRP state machines and simulates 1,000 failovers: `python bench/vrrp_explore.py`."""

from __future__ import annotations

import argparse
import json
import statistics
import time
from dataclasses import asdict
from functools import partial
from ipaddress import ip_address
from typing import NamedTuple

import numpy as np

from kelptrail.vrrp.model import FaultBudget, explore
from kelptrail.vrrp.simulation import simulate_failovers
from kelptrail.vrrp.state_machine import RouterSettings, VirtualRouter

VIRTUAL_ADDRESS = (ip_address("127.0.2.1"),)
ROUTER_ID, ADVERTISEMENT_INTERVAL_CS = 1, 100
RECOVERY_TIMEOUT_MS = 9000.0
SHOWN_VIOLATIONS = 5


class Product(NamedTuple):
    """The priorities of routers that share an address, and the depth to which their states are searched."""

    name: str
    priorities: tuple[int, ...]
    preempt: bool
    depth: int


PRODUCTS = (
    Product("two, preempting", (200, 100), True, 14),
    Product("two, equal", (100, 100), True, 12),
    Product("two, not preempting", (200, 100), False, 12),
    Product("two, one owner", (255, 100), True, 12),
    Product("three, preempting", (200, 150, 100), True, 8),
    Product("three, not preempting", (200, 150, 100), False, 7),
)


def routers(product: Product) -> list[VirtualRouter]:
    """Return the routers of a product before their start."""
    settings = (
        RouterSettings(ROUTER_ID, priority, VIRTUAL_ADDRESS, ADVERTISEMENT_INTERVAL_CS, product.preempt)
        for priority in product.priorities
    )
    return [VirtualRouter(each, ip_address(f"127.0.1.{n + 1}")) for n, each in enumerate(settings)]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--failovers", type=int, default=1000)
    parser.add_argument("--most-states", type=int, default=200_000)
    options = parser.parse_args()
    for product in PRODUCTS:
        start = time.monotonic()
        make_routers = partial(routers, product)
        result = explore(make_routers, FaultBudget(), product.depth, options.most_states, RECOVERY_TIMEOUT_MS)
        row = {"product": product.name, **asdict(result), "seconds": round(time.monotonic() - start, 1)}
        print(json.dumps(row), flush=True)
    simulated = simulate_failovers(range(options.failovers))
    row = {
        "failovers": simulated.failovers,
        "broken": simulated.violations[:SHOWN_VIOLATIONS],
        "median_ms": round(statistics.median(simulated.take_over_times_ms), 1),
        "p99_ms": round(float(np.percentile(simulated.take_over_times_ms, 99)), 1),
        "worst_ms": round(max(simulated.take_over_times_ms), 1),
        "worst_of_bound": round(simulated.worst_ratio, 4),  # largest ratio of a take-over time to its bound
        "seconds_none": round(simulated.none_ms / 1000, 1),
        "seconds_one": round(simulated.one_ms / 1000, 1),
        "seconds_more": round(simulated.more_ms / 1000, 1),
    }
    print(json.dumps(row))


if __name__ == "__main__":
    main()
