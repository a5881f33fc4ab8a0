"""Models of the lease protocol: settings, fault budgets and walks shared by the tests and the deep searches."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from kelptrail.lease.messages import LeaseSettings
from kelptrail.lease.model import Budget, Model, ModelSetup
from kelptrail.model_checking.explorer import random_walk

RECOVERY_TIMEOUT_MS = 3000.0
TIMES: dict[str, Any] = {
    "max_lease_ms": 100.0,
    "request_timeout_ms": 8.0,
    "retry_pause_ms": 5.0,
    "queue_spacing_ms": 0.0,
    "transfer_reservation_ms": 20.0,
    "clock_rate_bound": 0.02,
}
SETTINGS = LeaseSettings(("a", "b", "c"), **TIMES)
NEXT_SETTINGS = LeaseSettings(("a", "b", "d"), 2, ("a", "b", "c"), **TIMES)
CLOCK_RATES = (("a", 1.02), ("b", 1.02), ("c", 1.02), ("x", 0.98), ("y", 0.98), ("z", 0.98))
TWO_CLIENTS, THREE_CLIENTS = ("x", "y"), ("x", "y", "z")

ALL_FAULTS = Budget(
    drops=9,
    duplicates=9,
    delays=60,
    restarts=3,
    disk_losses=1,
    sync_failures=3,
    client_restarts=3,
    pauses=3,
    releases=3,
    actions=9,
)
DELAYS = Budget(drops=30, duplicates=9, delays=200, pauses=9, actions=20)
DISK_LOSS = Budget(drops=10, duplicates=2, delays=200, disk_losses=1, client_restarts=1)
CONFIG_CHANGE = Budget(drops=5, duplicates=3, delays=100, restarts=3, client_restarts=2)


@dataclass(frozen=True, slots=True)
class WalkSetup:
    """A kind of random walk.

    `options` has further fields of `ModelSetup`; its `settings`, if given, replace `SETTINGS`."""

    budget: Budget
    fault_share: float
    length: int
    options: dict[str, Any] = field(default_factory=dict)

    def with_notes(self) -> WalkSetup:
        """Return the same walk with lease holders that write notes."""
        return WalkSetup(self.budget, self.fault_share, self.length, self.options | {"with_notes": True})


def initial_state(seed: int, budget: Budget, options: dict[str, Any]) -> Model:
    """Return a model with three lease clients for an even seed, and with two for an odd one."""
    clients = TWO_CLIENTS if seed % 2 else THREE_CLIENTS
    settings = options.get("settings", SETTINGS)
    further = {name: value for name, value in options.items() if name != "settings"}
    return Model(ModelSetup(settings, clients, budget, clock_rates=CLOCK_RATES, **further))


def walk(seed: int, setup: WalkSetup) -> int:
    """Run one random walk; check every state, and that the last one recovers.  Return the number of states.

    Raises `PropertyError`."""
    last = [initial_state(seed, setup.budget, setup.options)]

    def check(state: Model) -> None:
        state.check()
        last[0] = state

    result = random_walk(last[0], check, seed, setup.length, setup.fault_share)
    last[0].check_recovery(RECOVERY_TIMEOUT_MS)
    return result.states
