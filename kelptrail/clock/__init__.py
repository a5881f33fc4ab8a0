"""The program's clock: milliseconds that only go forward, shared by all processes of one machine."""

from __future__ import annotations

import time

# For trials: this process's clock may run at another rate, and its wall clock may be off.
_rate, _base, _since, _step = 1.0, 0.0, 0.0, 0.0


def now_ms() -> float:
    """Monotonic milliseconds with fractions (CLOCK_MONOTONIC)."""
    return _base + (time.monotonic() * 1000.0 - _since) * _rate


def wall_ms() -> float:
    """Milliseconds since the epoch; only ever shown, never compared."""
    return time.time() * 1000.0 + _step


def true_ms() -> float:
    """What `now_ms` would say of a sound clock; for captures."""
    return time.monotonic() * 1000.0


def set_skew(rate: float, step_ms: float) -> None:
    """From now on the clock runs at `rate`, and the wall clock is off by `step_ms`."""
    global _rate, _base, _since, _step
    _base, _since = now_ms(), true_ms()
    _rate, _step = rate, step_ms
