"""The configuration of one dispatcher, with figures of the sites castanar-lanus and solna-campus."""

from __future__ import annotations

import copy
import socket
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Site:
    """Names and figures of a site, as far as clients and runners need them.  Times are in milliseconds."""

    name: str
    zones: list[str]
    kind: str
    repeatable_class: str
    keyed_class: str
    tenants: list[str]
    repeatable_deadline_ms: int
    keyed_deadline_ms: int
    lanes: int
    loads_on_demand: bool


CASTANAR = Site(
    "castanar-lanus",
    ["hall-a", "hall-b", "hall-c"],
    "std-3c",
    "place-check",
    "place-activate",
    ["red-ceibo", "red-aromo"],
    5000,
    5000,
    2,
    False,
)
SOLNA = Site(
    "solna-campus",
    ["hall-a", "hall-b"],
    "gen-a",
    "extract-read",
    "change-filing",
    ["norrbolag", "kvarnreg", "sjostad-reg"],
    2500,
    3000,
    2,
    True,
)


def _request_class(name: str, effect: str, gain: float, deadline_ms: int, late_worth: float) -> dict[str, Any]:
    return {
        "aim_us": 500_000,
        "effect": effect,
        "gain": gain,
        "give_up_us": deadline_ms * 1000,
        "key_scope": "all",
        "late_worth": late_worth,
        "name": name,
        "streaming": False,
        "window_us": deadline_ms * 1000,
    }


def _castanar_settings() -> dict[str, Any]:
    return {
        "balancers": 3,
        "bounds": {
            "connect_timeout_us": 250_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500_000,
            "idle_close_us": 15_000_000,
            "max_attempts": 6,
            "max_retry_after_us": 500_000,
            "may_cancel": True,
            "may_tell": False,
            "most_held": 20_000,
            "multiplex": 100,
            "parallel_tries": True,
            "probes": True,
            "retry_after": True,
        },
        "classes": [
            _request_class(CASTANAR.repeatable_class, "free", 2.0, CASTANAR.repeatable_deadline_ms, 0.3),
            _request_class(CASTANAR.keyed_class, "guarded", 5.0, CASTANAR.keyed_deadline_ms, 0.3),
        ],
        "clients": {"marks_retry": False},
        "costs": {"cross_zone": 0.021, "late_fail": 0.1, "origin": 0.055, "probe": 0.01, "waste": 0.03},
        "counted_by": "request",
        "customers": [
            {"allowance_per_s": 116.0, "name": CASTANAR.tenants[0], "share": 0.61},
            {"allowance_per_s": 74.0, "name": CASTANAR.tenants[1], "share": 0.39},
        ],
        "discovery": "push",
        "domain_type": "warm",
        "failure_domains": CASTANAR.zones,
        "models": [CASTANAR.kind],
        "my_zone": 0,
        "over_share_worth": 0.1,
        "period_us": 4000,
        "position": 0,
        "report": {"fields": ["cpu", "x1", "x0"], "how": "inline"},
        "result_mix": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1},
        "rules": {
            "answer_slack_us": 16_000,
            "ask_within_us": 10_000_000,
            "cold_us": 17_000_000,
            "fall_us": 3_000_000,
            "start_capacity": 0.2,
            "stop_sending_within_us": 500_000,
            "tip_multiple": 3.0,
        },
        "specifics": {
            "answer_within_us": 10_000_000,
            "free_loads": 6.0,
            "idle_life_us": 8_100_000,
            "idle_memory_cost": 0.05,
            "load_control": True,
            "load_share": 0.3,
            "load_span_us": 10_000_000,
            "machine_mb": [55_424.0],
            "not_loaded": "miss",
            "report_x0": "share of memory that is at work or loading",
            "report_x1": "loads under way or waiting",
            "says_company": True,
            "says_warm": True,
        },
        "tier": 0,
        "tiers": ["model-workers"],
        "weight_source": "nominal",
    }


def _solna_settings() -> dict[str, Any]:
    settings = copy.deepcopy(_castanar_settings())
    settings["balancers"] = 2
    settings["bounds"] |= {"idle_close_us": 30_000_000, "max_attempts": 4, "max_retry_after_us": 2_000_000}
    settings["classes"] = [
        _request_class(SOLNA.repeatable_class, "free", 1.0, SOLNA.repeatable_deadline_ms, 0.1),
        _request_class(SOLNA.keyed_class, "guarded", 2.0, SOLNA.keyed_deadline_ms, 0.3),
    ]
    settings["costs"] = {"cross_zone": 0.01, "late_fail": 0.08, "origin": 0.1, "probe": 0.01, "waste": 0.03}
    settings["customers"] = [
        {"allowance_per_s": 60.0, "name": SOLNA.tenants[0], "share": 0.36},
        {"allowance_per_s": 57.0, "name": SOLNA.tenants[1], "share": 0.34},
        {"allowance_per_s": 50.0, "name": SOLNA.tenants[2], "share": 0.3},
    ]
    settings["failure_domains"], settings["models"] = SOLNA.zones, [SOLNA.kind]
    settings["report"] = {"fields": [], "how": "off"}
    settings["rules"] |= {
        "cold_us": 14_000_000,
        "start_capacity": 0.16,
        "stop_sending_within_us": 1_000_000,
        "tip_multiple": 4.0,
    }
    settings["specifics"] |= {
        "free_loads": 2.0,
        "idle_life_us": 8_500_000,
        "load_span_us": 5_000_000,
        "machine_mb": [8_192.0],
        "not_loaded": "load",
    }
    settings["weight_source"] = "rough"
    return settings


def site_settings(site: Site) -> dict[str, Any]:
    """Return the settings object of a site."""
    return _castanar_settings() if site is CASTANAR else _solna_settings()


def free_port() -> int:
    """Return a port of the loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def configuration(
    site: Site,
    targets: list[dict[str, Any]],
    journal_port: int,
    listen_port: int,
    memory_mb: int = 192,
    sockets: int = 512,
) -> dict[str, Any]:
    """Return the configuration that `LB_CONFIG` names; event 1 holds the whole list of runners."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "journal": f"127.0.0.1:{journal_port}",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": targets}}]},
        "settings": site_settings(site),
    }
