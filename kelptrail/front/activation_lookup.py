"""Lookup of activations at other dispatchers, used by both client APIs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# Share of a request's timeout after which the client is notified that durability is unknown.
DURABILITY_WAIT_SHARE = 0.75


class ActivationLookup(Protocol):
    """Queries the other dispatchers for the one that has an activation."""

    def find(self, target: str, on_result: Callable[[str | None], None]) -> None:
        """Look up an activation id, or an idempotency key as `key:NAMESPACE/ACTION/KEY`.

        `on_result` receives the address of the dispatcher that has the activation, None if no dispatcher has it, or ""
        if it is not known yet whether one has it.
        """
