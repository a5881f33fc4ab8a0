"""The load tool: several processes drive the real program with a script's load; results as those of the simulation.

Considered: threads (one interpreter lock), one process (the tool would be what is measured), a pool of workers that
get each call from a coordinator (which costs more than the calls).  Chosen: each process draws its own share of the
arrivals and sends its counters once, at its end.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from kelptrail.clock import now_ms
from kelptrail.net.http_client import HttpClient

from .generator_counters import PackedCounters, latency_histogram
from .generator_settings import GeneratorSettings
from .plan import Script
from .results import PERCENTILES, Result, Rows, Second, empty_seconds, figures, reason_rows, rows_of, write

STARTUP_MS = 1500.0  # until the processes have started
STATE_TIMEOUT_S = 0.8  # for a dispatcher's answer, each second
OUTPUT_BYTES = 1 << 26  # of a process's counters


class GeneratorError(Exception):
    """A process of the tool ended without its counters."""


@dataclass(frozen=True, slots=True)
class GeneratorOutput:
    """What a run of all processes gave."""

    counters: list[PackedCounters]  # of each process
    states: list[list[dict[str, Any]]]  # each second, of each dispatcher; empty for one that did not answer


@dataclass(frozen=True, slots=True)
class MergedCounters:
    """The counters of all processes as one result.  Histograms are in microseconds."""

    result: Result
    latencies: dict[str, HdrHistogram]  # by request class
    send_lag: HdrHistogram


async def run_generators(
    script_file: str, script: Script, settings: GeneratorSettings, controls: list[str]
) -> GeneratorOutput:
    """Run all processes, and ask the dispatchers at `controls` for their state each second.

    Raises `GeneratorError`.
    """
    start = now_ms() + STARTUP_MS
    command = _generator_command(script_file, settings, start)
    processes = await asyncio.gather(
        *(
            asyncio.create_subprocess_exec(
                *command, "--number", str(number), stdout=asyncio.subprocess.PIPE, limit=OUTPUT_BYTES
            )
            for number in range(settings.process_count)
        )
    )
    sampling = asyncio.create_task(_sample_states(controls, start, script.seconds))
    outputs = await asyncio.gather(*(process.communicate() for process in processes))
    states = await sampling
    counters = []
    for number, (output, _) in enumerate(outputs):
        if processes[number].returncode or not output:
            raise GeneratorError(f"process {number} of the load tool ended with {processes[number].returncode}")
        counters.append(msgspec.json.decode(output, type=PackedCounters))
    return GeneratorOutput(counters, states)


def _generator_command(script_file: str, settings: GeneratorSettings, start: float) -> list[str]:
    """The command line of one process, but for its number."""
    command = [
        sys.executable,
        "-m",
        "kelptrail",
        "load-generator",
        script_file,
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
        command += ["--at", address]
    return command


async def _sample_states(controls: list[str], start: float, seconds: float) -> list[list[dict[str, Any]]]:
    """Each second the state of each dispatcher; empty for one that does not answer."""
    states = []
    for number in range(int(seconds) + 1):
        await asyncio.sleep(max(0.0, (start + number * 1000 - now_ms()) / 1000))
        states.append(list(await asyncio.gather(*(_state(control) for control in controls))))
    return states


async def _state(control: str) -> dict[str, Any]:
    client = HttpClient(control)
    try:
        async with asyncio.timeout(STATE_TIMEOUT_S):
            state: dict[str, Any] = await client.json("GET", "/state")
            return state
    except (OSError, TimeoutError, ValueError):
        return {}
    finally:
        client.close()


def merge_counters(script: Script, output: GeneratorOutput) -> MergedCounters:
    """The counters of all processes and the states of the dispatchers as one result."""
    seconds = empty_seconds(script.seconds)
    reasons: dict[str, int] = {}
    latencies: dict[str, HdrHistogram] = {}
    send_lag = latency_histogram()
    for counters in output.counters:
        for total, second in zip(seconds, counters.seconds, strict=True):
            total.add(second)
        for reason, count in counters.give_ups.items():
            reasons[reason] = reasons.get(reason, 0) + count
        for name, histogram in counters.latencies.items():
            latencies.setdefault(name, latency_histogram()).decode_and_add(histogram)
        send_lag.decode_and_add(counters.send_lag)
    _add_states(seconds, output.states)
    result = Result(seconds, {}, reasons, 0, 0)
    result.extra["connections"] = float(sum(counters.connections for counters in output.counters))
    return MergedCounters(result, latencies, send_lag)


def _add_states(seconds: list[Second], states: list[list[dict[str, Any]]]) -> None:
    """Enter what the dispatchers did in each second, by the difference to their last state that is known."""
    last_counts: dict[int, tuple[int, int]] = {}  # attempts and load orders of each dispatcher
    for second, states_then in zip(seconds, states[1:], strict=False):
        for number, state in enumerate(states_then):
            if not state:
                continue
            attempts, load_orders = state["sends"], state["orders"]
            last_attempts, last_load_orders = last_counts.get(number, (attempts, load_orders))
            second.attempts += max(0, attempts - last_attempts)
            second.load_orders += max(0, load_orders - last_load_orders)
            second.calls_in_flight += state["in_hand"]
            second.overloaded_dispatchers += state["storm"]["stage"] != "calm"
            last_counts[number] = (attempts, load_orders)


def write_results(out: Path, key_columns: dict[str, Any], script: Script, output: GeneratorOutput) -> dict[str, Any]:
    """Write the three tables, with `key_columns` in each row; returns the run's row.  Latencies are milliseconds."""
    merged = merge_counters(script, output)
    all_latencies = latency_histogram()
    for histogram in merged.latencies.values():
        all_latencies.add(histogram)
    run_row = (
        key_columns
        | figures(script.seconds, script.last_fault_ends, merged.result)
        | {
            "p50_ms": _percentile_ms(all_latencies, 50),
            "p99_ms": _percentile_ms(all_latencies, 99),
            "late_p99_ms": _percentile_ms(merged.send_lag, 99),
            "took_s": script.seconds,
            "simulated_s_a_second": 1.0,
        }
    )
    spread = _latency_rows(key_columns, merged.latencies) + reason_rows(key_columns, merged.result)
    write(out, [run_row], rows_of(key_columns, script.seconds, merged.result), spread)
    return run_row


def _latency_rows(key_columns: dict[str, Any], latencies: dict[str, HdrHistogram]) -> Rows:
    return [
        key_columns
        | {"what": "latency_ms", "name": name, "part": percentile, "value": _percentile_ms(histogram, percentile)}
        for name, histogram in latencies.items()
        if histogram.get_total_count()
        for percentile in PERCENTILES
    ]


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    value_us: float = histogram.get_value_at_percentile(percentile)
    return value_us / 1000
