"""The program's clock: milliseconds that only go forward, shared by all processes of one machine."""

from __future__ import annotations

import time

# Clock faults for tests: another rate of the clock, an offset of the wall clock.
_rate, _base, _since, _step = 1.0, 0.0, 0.0, 0.0


def now_ms() -> float:
    """Monotonic milliseconds with fractions (CLOCK_MONOTONIC)."""
    return _base + (time.monotonic() * 1000.0 - _since) * _rate


def wall_ms() -> float:
    """Milliseconds since the epoch; for display only, never for comparisons."""
    return time.time() * 1000.0 + _step


def true_ms() -> float:
    """Monotonic milliseconds without clock faults; for captures."""
    return time.monotonic() * 1000.0


def set_skew(rate: float, step_ms: float) -> None:
    """Inject a clock fault: from now on `now_ms` runs at `rate`, and the wall clock is offset by `step_ms`."""
    global _rate, _base, _since, _step
    _base, _since = now_ms(), true_ms()
    _rate, _step = rate, step_ms
