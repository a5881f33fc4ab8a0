"""Faults that the proxies apply to traffic between processes: cut links, and seeded random faults."""

from __future__ import annotations

import asyncio
from typing import Any

import numpy as np


class NetworkFaults:
    """Faults of one proxy; `cut` holds ordered pairs of names, (source, target)."""

    def __init__(self, seed: int, salt: int) -> None:
        self.random = np.random.default_rng([seed, salt])
        self.cut: set[tuple[str, str]] = set()
        self._changed = asyncio.Event()

    def apply(self, body: dict[str, Any]) -> None:
        """Apply the settings from a request to the control port."""
        if "cut" in body:
            self.cut = {(a, b) for a, b in body["cut"]}
            self._changed.set()

    def draw(self, share: float) -> bool:
        """Draw whether a fault with this probability occurs."""
        return bool(share) and bool(self.random.random() < share)

    async def wait_until_connected(self, *pairs: tuple[str, str]) -> None:
        """Wait until none of these links is cut."""
        while any(pair in self.cut for pair in pairs):
            self._changed.clear()
            await self._changed.wait()
