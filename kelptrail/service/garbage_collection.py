"""Schedules the interpreter's garbage collector in a process that answers calls."""

from __future__ import annotations

import gc

from kelptrail.gateway.core import Gateway

# Arguments of `gc.set_threshold`; the third one makes automatic full collections rare.
GC_THRESHOLDS = (50_000, 20, 1_000_000)
MAX_POSTPONED = 10  # number of steps after which a full collection runs even if requests are in flight


def freeze_startup_objects() -> None:
    """Exempt all existing objects from collection and make automatic full collections rare.

    A full collection stops the process for up to 100 ms, so it must not run while calls are in flight.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


class FullCollections:
    """Runs a full collection when no request is in flight, or after `max_postponed` steps at the latest."""

    def __init__(self, gateway: Gateway, max_postponed: int = MAX_POSTPONED) -> None:
        self._gateway, self._max_postponed, self._postponed = gateway, max_postponed, 0

    def step(self) -> None:
        """Run a full collection, or postpone it to a later step; runs as a background job."""
        self._postponed += 1
        if not self._gateway.in_flight or self._postponed >= self._max_postponed:
            self._postponed = 0
            gc.collect()
