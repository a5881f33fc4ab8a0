"""Coordinator of the load generator: starts several processes that send a scenario's load, and merges their results.

The results have the same tables as those of the simulation.  Each process draws its own share of the arrivals and sends
its counters once, at its end.  Rejected alternatives: threads share one interpreter lock, a single process would be
the bottleneck that is measured, and handing each call to a pool of processes costs more than the call itself.
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

STARTUP_MS = 1500.0  # time for the processes to start
STATE_TIMEOUT_S = 0.8  # below the sampling interval of 1 s
OUTPUT_BUFFER_BYTES = 1 << 26  # limit for the counters of one process


class GeneratorError(Exception):
    """A load generator process failed or sent no counters."""


@dataclass(frozen=True, slots=True)
class GeneratorOutput:
    """Output of a run of all processes."""

    counters: list[PackedCounters]  # one per process
    states: list[list[dict[str, Any]]]  # per second and dispatcher; a state is empty if the dispatcher did not answer


@dataclass(frozen=True, slots=True)
class MergedCounters:
    """Merged counters of all processes.  Histograms are in microseconds."""

    result: Result
    latencies: dict[str, HdrHistogram]  # by request class
    send_lag: HdrHistogram


async def run_generators(
    script_file: str, script: Script, settings: GeneratorSettings, control_addresses: list[str]
) -> GeneratorOutput:
    """Run all processes, and query the state of the dispatchers at `control_addresses` each second.

    Raises `GeneratorError` if a process fails.
    """
    start = now_ms() + STARTUP_MS
    command = _generator_command(script_file, settings, start)
    processes = await asyncio.gather(
        *(
            asyncio.create_subprocess_exec(
                *command, "--number", str(number), stdout=asyncio.subprocess.PIPE, limit=OUTPUT_BUFFER_BYTES
            )
            for number in range(settings.process_count)
        )
    )
    sampling = asyncio.create_task(_sample_states(control_addresses, start, script.seconds))
    outputs = await asyncio.gather(*(process.communicate() for process in processes))
    states = await sampling
    counters = []
    for number, (output, _) in enumerate(outputs):
        if processes[number].returncode or not output:
            raise GeneratorError(
                f"load generator process {number} failed or sent no counters, exit code {processes[number].returncode}"
            )
        counters.append(msgspec.json.decode(output, type=PackedCounters))
    return GeneratorOutput(counters, states)


def _generator_command(script_file: str, settings: GeneratorSettings, start: float) -> list[str]:
    """Return the command line of a process without its `--number` option."""
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


async def _sample_states(control_addresses: list[str], start: float, seconds: float) -> list[list[dict[str, Any]]]:
    """Return the state of each dispatcher for each second; a state is empty if the dispatcher did not answer."""
    states = []
    for number in range(int(seconds) + 1):
        await asyncio.sleep(max(0.0, (start + number * 1000 - now_ms()) / 1000))
        states.append(list(await asyncio.gather(*(_query_state(address) for address in control_addresses))))
    return states


async def _query_state(control_address: str) -> dict[str, Any]:
    client = HttpClient(control_address)
    try:
        async with asyncio.timeout(STATE_TIMEOUT_S):
            state: dict[str, Any] = await client.json("GET", "/state")
            return state
    except (OSError, TimeoutError, ValueError):
        return {}
    finally:
        client.close()


def merge_counters(script: Script, output: GeneratorOutput) -> MergedCounters:
    """Merge the counters of all processes and the states of the dispatchers into one result."""
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
    """Add the counts of the dispatchers at the end of each second.

    Attempts and load orders are counted since the last known state of their dispatcher.
    """
    last_counts: dict[int, tuple[int, int]] = {}  # attempts and load orders by dispatcher
    for second, second_states in zip(seconds, states[1:], strict=False):
        for number, state in enumerate(second_states):
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
    """Write the three tables, with `key_columns` in each row, and return the row of `runs`.  Latencies are in ms."""
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
