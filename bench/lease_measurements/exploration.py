"""Model checking of leases: breadth-first searches of products of acceptors and clients, and random walks."""

from __future__ import annotations

import json
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from multiprocessing import get_context
from typing import Any, NamedTuple

from kelptrail.lease.model import Budget, Model, ModelSetup
from kelptrail.model_checking.explorer import explore
from lease_measurements.models import (
    ALL_FAULTS,
    CLOCK_RATES,
    CONFIG_CHANGE,
    DELAYS,
    DISK_LOSS,
    NEXT_SETTINGS,
    RECOVERY_TIMEOUT_MS,
    SETTINGS,
    THREE_CLIENTS,
    TWO_CLIENTS,
    WalkSetup,
    walk,
)

STATES_PER_RECOVERY_CHECK = 20  # not every state, as each check runs the model until it has recovered
SEEDS_PER_TASK = 50  # seeds per task of the process pool


class Product(NamedTuple):
    """A product of acceptors and clients, and the depth to which it is searched."""

    clients: tuple[str, ...]
    budget: Budget
    depth: int
    options: dict[str, Any]  # further fields of `ModelSetup`


PRODUCTS = {
    "2 clients, loss, duplicates, late": Product(
        TWO_CLIENTS, Budget(drops=1, duplicates=1, delays=2, actions=1), 14, {}
    ),
    "2 clients, acceptor restarts": Product(TWO_CLIENTS, Budget(delays=2, restarts=1, sync_failures=1), 14, {}),
    "2 clients, disk lost": Product(TWO_CLIENTS, Budget(drops=1, delays=3, disk_losses=1), 16, {}),
    "2 clients, pauses, restarts": Product(
        TWO_CLIENTS, Budget(delays=2, pauses=2, client_restarts=1, actions=1), 14, {}
    ),
    "2 clients, released": Product(TWO_CLIENTS, Budget(drops=1, delays=2, releases=2, actions=2), 16, {}),
    "2 clients, acceptors changed": Product(TWO_CLIENTS, Budget(delays=2), 16, {"next_settings": NEXT_SETTINGS}),
    "3 clients, loss, late": Product(THREE_CLIENTS, Budget(drops=1, delays=1), 12, {}),
    "2 clients, founding": Product(TWO_CLIENTS, Budget(delays=2, restarts=1), 18, {"is_founded": False}),
}
WALKS = {
    "all": WalkSetup(ALL_FAULTS, 0.12, 400),
    "late": WalkSetup(DELAYS, 0.3, 800),
    "disk lost": WalkSetup(DISK_LOSS, 0.3, 600),
    "acceptors changed": WalkSetup(CONFIG_CHANGE, 0.1, 500, {"next_settings": NEXT_SETTINGS}),
}
WALKS |= {f"{name}, with notes": setup.with_notes() for name, setup in WALKS.items()}


def search_product(name: str, max_states: int) -> dict[str, Any]:
    """Search one product breadth first."""
    clients, budget, depth, options = PRODUCTS[name]
    start = time.monotonic()
    checked = Counter[str]()

    def check(state: Model) -> None:
        state.check()
        checked["states"] += 1
        if checked["states"] % STATES_PER_RECOVERY_CHECK == 0:
            state.check_recovery(RECOVERY_TIMEOUT_MS)

    initial = Model(ModelSetup(SETTINGS, clients, budget, clock_rates=CLOCK_RATES, **options))
    result = explore(initial, check, depth, max_states)
    return {"product": name, **asdict(result), "seconds": round(time.monotonic() - start, 1)}


def walk_seeds(name: str, first: int, count: int) -> int:
    """Run one random walk for each of `count` seeds from `first` on; return the number of states."""
    return sum(walk(seed, WALKS[name]) for seed in range(first, first + count))


def search_all(processes: int, max_states: int, seeds: int) -> None:
    """Search all products and run all walks on several processes; print a line of JSON for each."""
    with ProcessPoolExecutor(processes, mp_context=get_context("forkserver")) as pool:
        for result in pool.map(search_product, PRODUCTS, [max_states] * len(PRODUCTS)):
            print(json.dumps(result), flush=True)
        for name in WALKS:
            start = time.monotonic()
            firsts = range(0, seeds, SEEDS_PER_TASK)
            counts = pool.map(walk_seeds, [name] * len(firsts), firsts, [SEEDS_PER_TASK] * len(firsts))
            row = {"walks": name, "seeds": seeds, "states": sum(counts)}
            print(json.dumps(row | {"seconds": round(time.monotonic() - start, 1)}), flush=True)
