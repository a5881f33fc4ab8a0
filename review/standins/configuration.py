"""The settings and the configuration file of one dispatcher of a small deployment.

The figures are those that the users' pages give for their first deployment: deadline 5 s, a deduplication memory of
5 s over all runners, a drain grace of 500 ms, 6 orders to load and 30% of the requests in 10 s.
"""

from __future__ import annotations

import json
import secrets
import socket
from pathlib import Path
from typing import Any

ZONES = ["hall-1", "hall-2", "hall-3"]
MODEL = "std"
TEAM = "acme"
CHECK, ACTIVATE = "check", "activate"  # a class that may be repeated, and a keyed one
DEADLINE_S = 5.0
DEDUPLICATION_S = 5.0
RULE_SLACK_S = 0.05  # on sockets each time limit of the rules is longer by this
LATE_ANSWER_S = 0.5  # an answer later than this after the request's time is a lost request


def request_class(name: str, effect: str, deadline_s: float) -> dict[str, Any]:
    """Return the settings of one request class."""
    return {
        "name": name,
        "effect": effect,
        "aim_us": 500_000,
        "give_up_us": int(deadline_s * 1e6),
        "gain": 2.0,
        "late_worth": 0.3,
        "key_scope": "all",
        "window_us": int(DEDUPLICATION_S * 1e6),
        "streaming": False,
    }


def settings(deadline_s: float = DEADLINE_S) -> dict[str, Any]:
    """Return the settings object."""
    return {
        "balancers": 3,
        "position": 0,
        "my_zone": 0,
        "failure_domains": ZONES,
        "models": [MODEL],
        "tier": 0,
        "tiers": ["runners"],
        "domain_type": "warm",
        "discovery": "push",
        "classes": [request_class(CHECK, "free", deadline_s), request_class(ACTIVATE, "guarded", deadline_s)],
        "clients": {"marks_retry": False},
        "customers": [{"name": TEAM, "allowance_per_s": 116.0, "share": 1.0}],
        "counted_by": "request",
        "weight_source": "nominal",
        "report": {"fields": ["cpu", "x1", "x0"], "how": "inline"},
        "rules": {
            "answer_slack_us": 16_000,
            "stop_sending_within_us": 500_000,
            "tip_multiple": 3.0,
            "fall_us": 3_000_000,
            "start_capacity": 0.2,
            "cold_us": 17_000_000,
        },
        "bounds": {
            "connect_timeout_us": 250_000,
            "idle_close_us": 15_000_000,
            "max_attempts": 6,
            "may_cancel": True,
            "may_tell": False,
            "multiplex": 100,
            "parallel_tries": True,
            "probes": True,
            "retry_after": True,
            "max_retry_after_us": 500_000,
            "most_held": 20_000,
        },
        "specifics": {
            "answer_within_us": 10_000_000,
            "free_loads": 6.0,
            "load_share": 0.3,
            "load_span_us": 10_000_000,
            "load_control": True,
            "idle_life_us": 8_100_000,
            "machine_mb": [55_424.0],
            "not_loaded": "miss",
            "says_company": True,
            "says_warm": True,
        },
    }


def target(number: int, address: tuple[str, int], zone: int) -> dict[str, Any]:
    """Return one runner of the list, in the form of the configuration."""
    return {
        "uid": f"s-{number:08x}",
        "endpoint": f"{address[0]}:{address[1]}",
        "az": ZONES[zone],
        "model": MODEL,
        "pod_group": 0,
        "state": "in_service",
        "capacity_hint": 1,
        "boot_ms": 0,
    }


def free_address() -> tuple[str, int]:
    """Return a loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
    return host, port


def write(
    path: Path,
    listen: tuple[str, int],
    journal: tuple[str, int],
    targets: list[dict[str, Any]],
    limits: dict[str, float],
    settings_object: dict[str, Any],
) -> None:
    """Write the configuration file."""
    content = {
        "name": "n0",
        "listen": f"{listen[0]}:{listen[1]}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0} | limits,
        "journal": f"{journal[0]}:{journal[1]}",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": targets}}]},
        "settings": settings_object,
    }
    path.write_text(json.dumps(content))
