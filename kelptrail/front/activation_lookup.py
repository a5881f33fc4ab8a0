"""Lookup of activations that another dispatcher may hold, as both client APIs use it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

UNCONFIRMED_AFTER_SHARE = 0.75  # share of a request's timeout after which its client hears that durability is unknown


class ActivationLookup(Protocol):
    """Asks the other dispatchers which of them has an activation."""

    def find(self, target: str, on_result: Callable[[str | None], None]) -> None:
        """Look up an activation id, or an idempotency key as `key:NAMESPACE/ACTION/KEY`.

        `on_result` gets the address of the dispatcher that has it; "" where that is not known yet; None where no
        dispatcher has it.
        """
