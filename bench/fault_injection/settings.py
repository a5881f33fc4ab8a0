"""Settings of the processes under test, with arbitrary names and values, and the tolerances of the checks."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

BUSY_MACHINE_SLACK_S = 0.25  # tolerance for a busy machine; the checks look for faults, not for milliseconds
CANCEL_SLACK_S = 0.1  # an attempt may still start within this time after its client left
DRAIN_GRACE_S = 0.5
DEDUPLICATION_WINDOW_S = 0.7
OVERLOAD_MULTIPLE = 3.0  # calls that a worker in slow start may be sent, as a multiple of its share
OVERLOAD_WINDOW_S = 2.0
SLOW_START_S = 5.0
SLOW_START_CAPACITY = 0.3  # share of its capacity that a worker is given right after its start
MAX_DESCRIPTORS = 128  # per process
ZONE, MODEL, TENANT = "p", "m", "acme"


class RequestKind(StrEnum):
    """The request classes by their names on the wire."""

    IDEMPOTENT = "t"
    DEDUPLICATED = "k"
    AT_MOST_ONCE = "o"


# The idempotency of each request class, as the settings name it.
EFFECTS = {
    RequestKind.IDEMPOTENT: "free",
    RequestKind.DEDUPLICATED: "guarded",
    RequestKind.AT_MOST_ONCE: "single_shot",
}


def settings(start_capacity: float = SLOW_START_CAPACITY, slow_start_s: float = SLOW_START_S) -> dict[str, Any]:
    """Return the settings object of a process's configuration."""
    return {
        "my_zone": 0,
        "failure_domains": [ZONE, "q"],
        "models": [MODEL],
        "classes": [_request_class(kind, effect) for kind, effect in EFFECTS.items()],
        "customers": [{"name": TENANT, "allowance_per_s": 100.0}],
        "report": {"fields": ["cpu", "x1", "x0"]},
        "rules": {
            "tip_multiple": OVERLOAD_MULTIPLE,
            "fall_us": int(OVERLOAD_WINDOW_S * 1e6),
            "start_capacity": start_capacity,
            "cold_us": int(slow_start_s * 1e6),
            "stop_sending_within_us": int(DRAIN_GRACE_S * 1e6),
        },
        "bounds": _attempt_limits(),
        "specifics": _worker_behavior(),
    }


def _request_class(kind: RequestKind, effect: str) -> dict[str, Any]:
    return {
        "name": kind.value,
        "effect": effect,
        "aim_us": 200_000,
        "gain": 1.0,
        "late_worth": 0.2,
        "give_up_us": 2_000_000,
        "key_scope": "all",
        "window_us": int(DEDUPLICATION_WINDOW_S * 1e6),
    }


def _attempt_limits() -> dict[str, Any]:
    return {
        "parallel_tries": True,
        "may_cancel": True,
        "max_attempts": 6,
        "retry_after": True,
        "max_retry_after_us": 500_000,
        "connect_timeout_us": 200_000,
        "idle_close_us": 10_000_000,
        "multiplex": 100,
        "probes": True,
    }


def _worker_behavior() -> dict[str, Any]:
    return {
        "says_warm": True,
        "idle_life_us": 5_000_000,
        "load_control": True,
        "free_loads": 20.0,
        "load_share": 0.5,
        "load_span_us": 5_000_000,
        "answer_within_us": 3_000_000,
        "machine_mb": [50_000.0],
    }
