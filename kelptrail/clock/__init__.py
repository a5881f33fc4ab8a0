"""The program's clocks in milliseconds; the monotonic one is shared by all processes of a machine."""

from __future__ import annotations

import time

# Clock faults for tests: the monotonic clock runs at `_rate` from `_base_ms`, which is its time at the true time
# `_base_true_ms`; the wall clock is offset by `_wall_offset_ms`.
_rate, _base_ms, _base_true_ms, _wall_offset_ms = 1.0, 0.0, 0.0, 0.0


def now_ms() -> float:
    """Return monotonic milliseconds with fractions (CLOCK_MONOTONIC)."""
    return _base_ms + (time.monotonic() * 1000.0 - _base_true_ms) * _rate


def wall_ms() -> float:
    """Return milliseconds since the Unix epoch, for display and for stored times.

    The wall clock may be set at any time, so use `now_ms` to measure durations within a run.
    """
    return time.time() * 1000.0 + _wall_offset_ms


def true_ms() -> float:
    """Return monotonic milliseconds without clock faults, for captures."""
    return time.monotonic() * 1000.0


def set_skew(rate: float, wall_offset_ms: float) -> None:
    """Inject a clock fault: `now_ms` runs at `rate` from now on, and the wall clock is offset by `wall_offset_ms`."""
    global _rate, _base_ms, _base_true_ms, _wall_offset_ms
    _base_ms, _base_true_ms = now_ms(), true_ms()
    _rate, _wall_offset_ms = rate, wall_offset_ms
