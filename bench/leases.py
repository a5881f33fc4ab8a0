"""Measures leases: `python bench/leases.py explore | failover | askers | cost`.  Prints JSON lines.

explore: searches products of acceptors and lease clients breadth first, and walks at random, on several processes.
failover: seven real dispatchers whose lease holder is repeatedly killed, paused, cut off or shut down.  askers:
messages and CPU at acceptors and lease clients by the number of clients, simulated without faults and after an outage,
then with real dispatchers.  cost: CPU and latency of a request in another checkout (`--before`), in this one without
leases, and in this one at an acceptor that holds the fleet's tasks, in turns on one core.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

import uvloop
from lease_measurements.client_load import measure_real_clients, simulate_clients
from lease_measurements.exploration import search_all
from lease_measurements.failover import measure_failover
from lease_measurements.request_cost import ROOT, measure_request_cost
from pinned_processes import stop_all

SIMULATED_CLIENTS, SIMULATED_S = (7, 30, 200), 30.0
REAL_CLIENTS, REAL_S = (7, 30), 20.0
COST_RUN_S = 3.0


def measure_client_load() -> None:
    """Measure messages and CPU by the number of lease clients."""
    for count in SIMULATED_CLIENTS:
        for outage in (False, True):
            print(json.dumps(simulate_clients(count, SIMULATED_S, outage)), flush=True)
    for count in REAL_CLIENTS:
        print(json.dumps(uvloop.run(measure_real_clients(count, REAL_S))), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["explore", "failover", "askers", "cost"])
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--most-states", type=int, default=150_000)
    parser.add_argument("--walks", type=int, default=4000)
    parser.add_argument("--times", type=int, default=10)
    parser.add_argument("--kind", action="append", default=[], help="fault of the holder in failover; default: all")
    parser.add_argument("--plot", type=Path, help="file for a plot of the times without a holder")
    parser.add_argument("--before", type=Path, default=ROOT, help="a checkout of another build")
    options = parser.parse_args()
    if options.what == "explore":
        search_all(options.processes, options.most_states, options.walks)
    elif options.what == "failover":
        uvloop.run(measure_failover(options.times, options.plot, tuple(options.kind)))
    elif options.what == "cost":
        measure_request_cost(options.before.resolve(), options.times, COST_RUN_S)
    else:
        measure_client_load()


if __name__ == "__main__":
    try:
        main()
    finally:
        stop_all()
