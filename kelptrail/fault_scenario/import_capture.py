"""Imports a capture of the bench (`--tap FILE`) as a deployment and a scenario with the same kinds of faults.

Only what the captured messages show can be imported: arrivals, the mix of functions, endpoint lists, and the faults
that `inferred_faults` derives from attempt results by fixed thresholds.  `docs/replay.md` lists what is lost.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from .captured_run import CapturedRun, read_capture
from .inferred_faults import fault_intervals

# Effect classes by their names in the capture.
EFFECTS = {"free": "repeatable", "guarded": "deduplicated", "single_shot": "once-only"}
BLOCK_S = 5  # Length of a block of arrivals at a constant rate
SHORTEST_BLOCK_S = 0.5
DEFAULT_LOAD_MS, DEFAULT_WORK_MS = 500.0, 50.0  # Used if the capture shows no loads or no latencies
# Percentile of the latencies that serves as the execution time of an attempt, without waiting.
WORK_PERCENTILE = 25
SHORTEST_WORK_MS = 5.0
RANKED_FUNCTIONS = 50  # Number of most called functions to which the Zipf exponent is fitted
DEFAULT_ZIPF, HIGHEST_ZIPF = 1.0, 4.0
LOWEST_RATE = 0.01


class ImportedCapture(NamedTuple):
    """The texts of a deployment file and of a scenario file."""

    deployment: str
    scenario: str


def import_capture(file: Path, name: str, rate_scale: float, workers: int, dispatchers: int) -> ImportedCapture:
    """Convert a capture to a deployment and a scenario, which refers to the deployment as `NAME.sexp`.

    `rate_scale` scales the arrival rates but not the number of functions.  Raises `CaptureError` for a file that is not
    a valid capture.
    """
    captured = read_capture(file)
    env = captured.env
    deployment = [
        f"; Turned from a captured day of {env['balancers']} dispatchers and {len(captured.workers)} workers.",
        f"(deployment {name}",
        "  (halls " + " ".join(env["failure_domains"]) + ")",
        *_type_forms(env["classes"]),
        *_namespace_forms(env, rate_scale),
        *_action_forms(captured),
        *_rule_forms(env),
        *_fleet_forms(captured, workers),
        "",
    ]
    scenario = [
        f"; Turned from a captured day; rates are {rate_scale:g} of it.",
        f"(bad-day {name}",
        f'  (deployment "{name}.sexp")',
        f"  (seconds {captured.length:.0f}) (workers {workers}) (dispatchers {dispatchers})",
        *_load_forms(captured, rate_scale),
        *(fault.to_scenario_line() for fault in fault_intervals(captured)),
    ]
    return ImportedCapture("\n".join(deployment), "\n".join(scenario) + ")\n")


def _type_forms(classes: list[dict[str, Any]]) -> list[str]:
    forms = []
    for class_ in classes:
        deduplication = ""
        if class_["effect"] == "guarded":
            scope, window_ms = class_["key_scope"] or "all", class_["window_us"] / 1000
            deduplication = f" (scope {scope}) (remembered-ms {window_ms:g})"
        forms.append(
            f"  (type {class_['name']} (effect {EFFECTS[class_['effect']]}) (target-ms {class_['aim_us'] / 1000:g}) "
            f"(timeout-ms {class_['give_up_us'] / 1000:g}) (utility {class_['gain']:g}) "
            f"(late-share {class_['late_worth']:g}){deduplication})"
        )
    return forms


def _namespace_forms(env: dict[str, Any], rate_scale: float) -> list[str]:
    tenants = env.get("customers") or [{"name": "all", "allowance_per_s": 1e6}]
    return [
        f'  (namespace {tenant["name"]} (uuid "00000000-0000-4000-8000-{number:012d}") '
        f'(key "loopback-only-{number}") (allowed-per-s {tenant["allowance_per_s"] * rate_scale:g}))'
        for number, tenant in enumerate(tenants)
    ]


def _calls_by_function(captured: CapturedRun) -> list[tuple[str, int]]:
    """Return the functions with their numbers of calls, the most called first."""
    return Counter(request.function for request in captured.requests).most_common()


def _action_forms(captured: CapturedRun) -> list[str]:
    """Return an action for each function, named after the rank of the function by number of calls."""
    load_ms = float(np.median([load.duration_ms for load in captured.loads])) if captured.loads else DEFAULT_LOAD_MS
    classes = captured.env["classes"]
    forms = []
    for rank, (name, _) in enumerate(_calls_by_function(captured)):
        function = captured.functions[name]
        latencies = captured.latency_ms.get(function.request_class)
        work_ms = DEFAULT_WORK_MS
        if latencies:
            work_ms = max(SHORTEST_WORK_MS, float(np.percentile(latencies, WORK_PERCENTILE)))
        forms.append(
            f"  (action f{rank} (type {classes[function.request_class]['name']}) (memory-mb {function.memory_mb:g}) "
            f"(lanes {function.concurrency}) (load-ms {load_ms:.0f}) (work-ms {work_ms:.0f}))"
        )
    return forms


def _rule_forms(env: dict[str, Any]) -> list[str]:
    """Return the rules, and the limits of a dispatcher."""
    rules, bounds, specifics = env["rules"], env["bounds"], env["specifics"]
    return [
        f"  (rules (drain-grace-ms {rules['stop_sending_within_us'] / 1000:g}) (tip {rules['tip_multiple']:g}) "
        f"(tip-ms {rules['fall_us'] / 1000:g}) (cold-share {rules['start_capacity']:g})",
        f"         (cold-ms {rules['cold_us'] / 1000:g}) (free-loads {specifics['free_loads']:g}) "
        f"(load-share {specifics['load_share']:g}) (load-span-ms {specifics['load_span_us'] / 1000:g}))",
        f"  (dispatcher (parallel {_yes_no(bounds['parallel_tries'])}) (most-sends {bounds['max_attempts']}) "
        f"(cancels {_yes_no(bounds['may_cancel'])}) (keep-ms {specifics['idle_life_us'] / 1000:g})",
        f"              (longest-return-ms {bounds['max_retry_after_us'] / 1000:g}))",
    ]


def _fleet_forms(captured: CapturedRun, workers: int) -> list[str]:
    """Return the fleet of workers, over which the captured memory is spread, and the model store."""
    specifics = captured.env["specifics"]
    worker_mb = float(np.median(specifics["machine_mb"])) * len(captured.workers) / workers
    return [
        f"  (fleet (workers {workers}) (cores 8) (memory-mb {worker_mb:.0f}) "
        f"(keep-ms {specifics['idle_life_us'] / 1000:g}) (queue 128))",
        "  (store (fetches 16) (most 64)))",
    ]


def _load_forms(captured: CapturedRun, rate_scale: float) -> list[str]:
    """Return the arrivals as blocks of constant rate, which share one Zipf exponent."""
    zipf = min(HIGHEST_ZIPF, max(0.0, _zipf_exponent(captured)))
    requests_by_block = Counter(int(request.at // BLOCK_S) for request in captured.requests)
    forms = []
    for block in sorted(requests_by_block):
        seconds = min(BLOCK_S, captured.length - block * BLOCK_S)
        if seconds > SHORTEST_BLOCK_S:
            rate = max(LOWEST_RATE, requests_by_block[block] / seconds * rate_scale)
            forms.append(
                f"  (load (rate {rate:.1f}) (at {block * BLOCK_S}) (for {seconds:.1f}) (zipf {zipf:.2f}) "
                f"(deferred 0.1))"
            )
    return forms


def _zipf_exponent(captured: CapturedRun) -> float:
    """Return the exponent of a Zipf distribution that is fitted to the calls of the most called functions."""
    counts = _calls_by_function(captured)
    if len(counts) <= 3:
        return DEFAULT_ZIPF
    ranks = np.arange(1, len(counts) + 1)[:RANKED_FUNCTIONS]
    calls = np.array([count for _, count in counts], float)[:RANKED_FUNCTIONS]
    return float(-np.polyfit(np.log(ranks), np.log(calls), 1)[0])


def _yes_no(value: bool) -> str:
    return "yes" if value else "no"
