"""When the interpreter's garbage collector may run in a process that answers calls."""

from __future__ import annotations

import gc

from kelptrail.gateway.core import Gateway

GC_THRESHOLDS = (50_000, 20, 1_000_000)  # as `gc.set_threshold` takes them; full collections are ours to start
MAX_POSTPONED = 10  # full collections that requests in flight may postpone in a row


def freeze_startup_objects() -> None:
    """Exempt all that exists now from collection and make automatic full collections rare.  A full collection stops
    the process for up to 100 ms; it must not come in the middle of calls.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


class FullCollections:
    """Full collections while no request is in flight; at the latest when `max_postponed` steps have passed."""

    def __init__(self, gateway: Gateway, max_postponed: int = MAX_POSTPONED) -> None:
        self._gateway, self._max_postponed, self._postponed = gateway, max_postponed, 0

    def step(self) -> None:
        """Background work: collect now or postpone."""
        self._postponed += 1
        if not self._gateway.in_flight or self._postponed >= self._max_postponed:
            self._postponed = 0
            gc.collect()
