"""The program's clock: milliseconds that only go forward, shared by all processes of one machine."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Monotonic milliseconds with fractions (CLOCK_MONOTONIC)."""
    return time.monotonic() * 1000.0


def wall_ms() -> float:
    """Milliseconds since the epoch; only ever shown, never compared."""
    return time.time() * 1000.0
