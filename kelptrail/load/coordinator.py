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

from .generator import DIGITS, LONGEST_US, GeneratorSettings
from .plan import Script
from .results import PARTS, Result, Rows, Second, figures, rows_of, write

START_MS = 1500.0  # for the processes to be there


class GeneratorError(Exception):
    """A process of the tool ended without its tally."""


async def drive(script: str, day: Script, settings: GeneratorSettings, controls: list[str]) -> list[dict[str, Any]]:
    """Run all processes; their tallies as they were packed, and the dispatchers' states each second as the last."""
    start = now_ms() + START_MS
    words = [
        sys.executable,
        "-m",
        "kelptrail",
        "load-generator",
        script,
        "--start",
        str(start),
        "--of",
        str(settings.of),
        "--seed",
        str(settings.seed),
        "--churn",
        str(settings.churn),
        "--connections",
        str(settings.connections),
    ]
    for address in settings.addresses:
        words += ["--at", address]
    hands = await asyncio.gather(
        *(
            asyncio.create_subprocess_exec(*words, "--number", str(n), stdout=asyncio.subprocess.PIPE, limit=1 << 26)
            for n in range(settings.of)
        )
    )
    watch = asyncio.create_task(_watch(controls, start, day.seconds))
    outs = await asyncio.gather(*(hand.communicate() for hand in hands))
    states = await watch
    tallies = []
    for number, (out, _) in enumerate(outs):
        if hands[number].returncode or not out:
            raise GeneratorError(f"process {number} of the load tool ended with {hands[number].returncode}")
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
    errand = HttpClient(control)
    try:
        async with asyncio.timeout(0.8):
            found: dict[str, Any] = await errand.json("GET", "/state")
            return found
    except (OSError, TimeoutError, ValueError):
        return {}
    finally:
        errand.close()


def joined(day: Script, found: list[dict[str, Any]]) -> tuple[Result, dict[str, HdrHistogram], HdrHistogram]:
    """All tallies as one result, with the latencies and the tool's own lateness."""
    *tallies, last = found
    seconds = [Second() for _ in range(int(day.seconds) + 60)]
    give_ups: dict[str, int] = {}
    took: dict[str, HdrHistogram] = {}
    late = HdrHistogram(1, LONGEST_US, DIGITS)
    for tally in tallies:
        for mine, its in zip(seconds, tally["seconds"], strict=True):
            for name, value in its.items():
                setattr(mine, name, getattr(mine, name) + value)
        for cause, count in tally["give_ups"].items():
            give_ups[cause] = give_ups.get(cause, 0) + count
        for name, text in tally["took"].items():
            took.setdefault(name, HdrHistogram(1, LONGEST_US, DIGITS)).decode_and_add(text)
        late.decode_and_add(tally["late"])
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
    return result, took, late


def keep(out: Path, who: dict[str, Any], day: Script, found: list[dict[str, Any]]) -> dict[str, Any]:
    """Write the three tables; the run's row.  Latencies are milliseconds."""
    result, took, late = joined(day, found)
    every = HdrHistogram(1, LONGEST_US, DIGITS)
    spread: Rows = []
    for name, found_h in took.items():
        every.add(found_h)
        if found_h.get_total_count():
            spread += [
                who
                | {
                    "what": "latency_ms",
                    "name": name,
                    "part": part,
                    "value": found_h.get_value_at_percentile(part) / 1000,
                }
                for part in PARTS
            ]
    spread += [
        who | {"what": "give_ups", "name": cause, "part": 0.0, "value": float(count)}
        for cause, count in result.give_ups.items()
    ]
    row = (
        who
        | figures(day.seconds, day.ends, result)
        | {
            "p50_ms": every.get_value_at_percentile(50) / 1000,
            "p99_ms": every.get_value_at_percentile(99) / 1000,
            "late_p99_ms": late.get_value_at_percentile(99) / 1000,
            "took_s": day.seconds,
            "simulated_s_a_second": 1.0,
        }
    )
    write(out, [row], rows_of(who, day.seconds, result), spread)
    return row
