"""The load tool: several processes drive the real program with a script's load; results as the lab's.

Weighed: threads (one interpreter lock), one process (the tool would be what is measured), a pool of workers that are
told call by call (the telling costs more than the calls).  Taken: each process draws its own share of the arrivals and
sends its tallies back once.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from kelptrail.clock import now_ms
from kelptrail.net.http_client import HttpClient

from .generator import MAX_LATENCY_US, SIGNIFICANT_DIGITS, GeneratorSettings
from .plan import Script
from .results import PARTS, Result, Rows, Second, figures, rows_of, write

STARTUP_MS = 1500.0  # for the processes to be there


class GeneratorError(Exception):
    """A process of the tool ended without its tally."""


async def run_generators(
    script: str, day: Script, settings: GeneratorSettings, controls: list[str]
) -> list[dict[str, Any]]:
    """Run all processes; their tallies as they were packed, and the dispatchers' states each second as the last."""
    start = now_ms() + STARTUP_MS
    words = [
        sys.executable,
        "-m",
        "kelptrail",
        "load-generator",
        script,
        "--start",
        str(start),
        "--of",
        str(settings.process_count),
        "--seed",
        str(settings.seed),
        "--churn",
        str(settings.close_share),
        "--connections",
        str(settings.connections),
    ]
    for address in settings.addresses:
        words += ["--at", address]
    processes = await asyncio.gather(
        *(
            asyncio.create_subprocess_exec(*words, "--number", str(n), stdout=asyncio.subprocess.PIPE, limit=1 << 26)
            for n in range(settings.process_count)
        )
    )
    watch = asyncio.create_task(_watch(controls, start, day.seconds))
    outs = await asyncio.gather(*(process.communicate() for process in processes))
    states = await watch
    tallies = []
    for number, (out, _) in enumerate(outs):
        if processes[number].returncode or not out:
            raise GeneratorError(f"process {number} of the load tool ended with {processes[number].returncode}")
        tallies.append(msgspec.json.decode(out))
    return [*tallies, {"states": states}]


async def _watch(controls: list[str], start: float, seconds: float) -> list[list[dict[str, Any]]]:
    """Each second what each dispatcher says of itself; nothing for one that does not answer."""
    out = []
    for number in range(int(seconds) + 1):
        await asyncio.sleep(max(0.0, (start + number * 1000 - now_ms()) / 1000))
        out.append(list(await asyncio.gather(*(_state(c) for c in controls))))
    return out


async def _state(control: str) -> dict[str, Any]:
    client = HttpClient(control)
    try:
        async with asyncio.timeout(0.8):
            packed_counters: dict[str, Any] = await client.json("GET", "/state")
            return packed_counters
    except (OSError, TimeoutError, ValueError):
        return {}
    finally:
        client.close()


def merge_counters(
    script: Script, packed_counters: list[dict[str, Any]]
) -> tuple[Result, dict[str, HdrHistogram], HdrHistogram]:
    """All tallies as one result, with the latencies and the tool's own lateness."""
    *tallies, last = packed_counters
    seconds = [Second() for _ in range(int(script.seconds) + 60)]
    give_ups: dict[str, int] = {}
    latencies: dict[str, HdrHistogram] = {}
    send_lag = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for tally in tallies:
        for mine, its in zip(seconds, tally["seconds"], strict=True):
            for name, value in its.items():
                setattr(mine, name, getattr(mine, name) + value)
        for cause, count in tally["give_ups"].items():
            give_ups[cause] = give_ups.get(cause, 0) + count
        for name, text in tally["took"].items():
            latencies.setdefault(name, HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)).decode_and_add(text)
        send_lag.decode_and_add(tally["late"])
    before: dict[int, tuple[int, int]] = {}
    for mine, states in zip(seconds, last["states"][1:], strict=False):
        for number, state in enumerate(states):
            if not state:
                continue
            sends, orders = before.get(number, (state["sends"], state["orders"]))
            mine.sends += max(0, state["sends"] - sends)
            mine.orders += max(0, state["orders"] - orders)
            mine.in_hand += state["in_hand"]
            mine.storming += state["storm"]["stage"] != "calm"
            before[number] = (state["sends"], state["orders"])
    result = Result(seconds, {}, give_ups, 0, 0)
    result.extra["connections"] = float(sum(t["made"] for t in tallies))
    return result, latencies, send_lag


def write_results(
    out: Path, key_columns: dict[str, Any], script: Script, packed_counters: list[dict[str, Any]]
) -> dict[str, Any]:
    """Write the three tables; the run's row.  Latencies are milliseconds."""
    result, latencies, send_lag = merge_counters(script, packed_counters)
    all_latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    percentile_rows: Rows = []
    for name, found_h in latencies.items():
        all_latencies.add(found_h)
        if found_h.get_total_count():
            percentile_rows += [
                key_columns
                | {
                    "what": "latency_ms",
                    "name": name,
                    "part": part,
                    "value": found_h.get_value_at_percentile(part) / 1000,
                }
                for part in PARTS
            ]
    percentile_rows += [
        key_columns | {"what": "give_ups", "name": cause, "part": 0.0, "value": float(count)}
        for cause, count in result.give_ups.items()
    ]
    row = (
        key_columns
        | figures(script.seconds, script.last_fault_ends, result)
        | {
            "p50_ms": all_latencies.get_value_at_percentile(50) / 1000,
            "p99_ms": all_latencies.get_value_at_percentile(99) / 1000,
            "late_p99_ms": send_lag.get_value_at_percentile(99) / 1000,
            "took_s": script.seconds,
            "simulated_s_a_second": 1.0,
        }
    )
    write(out, [row], rows_of(key_columns, script.seconds, result), percentile_rows)
    return row
