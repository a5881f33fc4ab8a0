"""Imports a capture of the bench (`--tap FILE`) as a deployment and a scenario with the same kinds of faults.

Only what the wire showed can be imported: arrivals, the mix of functions, endpoint lists, and faults inferred from
attempt results by stated thresholds.  `docs/replay.md` says what is lost.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

EFFECTS = {"free": "repeatable", "guarded": "deduplicated", "single_shot": "once-only"}
BLOCK_S = 5  # the load is written in blocks of so many seconds
MIN_ANSWERS = 5  # a second of a worker with fewer answers is not evaluated


class CaptureError(ValueError):
    """A file that is no capture, with the line at fault."""


@dataclass(slots=True)
class CapturedRun:
    """What a capture showed.  Seconds count from the first request."""

    env: dict[str, Any] = field(default_factory=dict)
    start: float = -1.0
    requests: list[tuple[float, int, str]] = field(default_factory=list)  # second, class, function
    functions: dict[str, tuple[int, float, int]] = field(default_factory=dict)  # class, memory, lanes
    outcomes: dict[tuple[str, int], Counter[tuple[str, int]]] = field(
        default_factory=lambda: defaultdict(Counter)
    )  # (worker, second): (ending, class)
    latency: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))  # ms by class
    loads: list[tuple[float, float]] = field(default_factory=list)  # second, ms
    instances: set[str] = field(default_factory=set)
    exits: list[tuple[float, str]] = field(default_factory=list)
    starts: list[tuple[float, str]] = field(default_factory=list)
    listed: list[tuple[float, str, str]] = field(default_factory=list)  # second, worker, state
    workers: set[str] = field(default_factory=set)


def read_batches(file: Path) -> Iterator[tuple[bool, dict[str, Any]]]:
    """Batches (True) and replies (False) of a capture.  Raises `CaptureError` with the line that is neither."""
    inward = True
    with open(file, encoding="utf-8") as source:
        for number, line in enumerate(source, 1):
            if line.startswith((">> ", "<< ")):
                inward = line.startswith(">>")
            elif line.strip():
                try:
                    yield inward, json.loads(line)
                except ValueError:
                    raise CaptureError(f"{file}:{number}: neither a batch nor a reply") from None


def read_capture(file: Path) -> CapturedRun:
    """Read a capture.  Raises `CaptureError` where it has no request."""
    captured, last_start, state = CapturedRun(), dict[str, float](), dict[str, str]()
    tables: dict[int, list[dict[str, Any]]] = {}
    request_class: dict[str, int] = {}
    for inward, batch in read_batches(file):
        if not inward:
            continue
        now = batch["now_us"] / 1e6
        for event in batch["arrivals"]:
            ((kind, e),) = event.items()
            at = now - captured.start if captured.start >= 0 else 0.0
            if kind == "Hello":
                captured.env = captured.env or e["env"]
                captured.instances.add(e["i"])
                if captured.start >= 0:
                    captured.starts.append((at, e["i"]))
            elif kind == "Exit":
                captured.exits.append((at, e["i"]))
            elif kind == "Req":
                if captured.start < 0:
                    captured.start = now
                if not e["again_by_client"]:  # repeats come from the script's own clients, where they are marked
                    captured.requests.append((now - captured.start, e["class"], e["fn"]))
                captured.functions[e["fn"]] = (e["class"], e["memory_mb"], max(1, int(e["parallel"])))
                request_class[e["handle"]] = e["class"]
            elif kind == "Answer":
                class_ = request_class.get(e["handle"], 0)
                captured.outcomes[e["runner"], int(at)][e["ending"], class_] += 1
                if e["ending"] == "S" and (e["remark"] or 0) % 8 in (0, 1):
                    captured.latency[class_].append(e["latency_us"] / 1000)
            elif kind == "ReadyThere" and e["ending"] == "S" and e["latency_us"] > 50_000:
                captured.loads.append((at, e["latency_us"] / 1000))
            elif kind == "Manifest":
                tables[e["table"]] = e["records"]
            elif kind == "Membership" and e["how"] != "X":
                for entry in tables.get(e["table"], []):
                    worker, start = entry["runner"], entry["last_start_us"] or 0
                    captured.workers.add(worker)
                    if captured.start >= 0 and entry["readiness"] != state.get(worker, "live"):
                        captured.listed.append((at, worker, entry["readiness"]))
                    elif captured.start >= 0 and start > last_start.get(worker, start):
                        captured.listed.append((at, worker, "restarted"))
                    state[worker], last_start[worker] = entry["readiness"], start
    if not captured.requests:
        raise CaptureError(f"{file}: no request in it")
    return captured


@dataclass(slots=True)
class FaultInterval:
    """One fault for the scenario."""

    kind: str
    at: float
    duration: float
    part: float
    settings: dict[str, float | str] = field(default_factory=dict)

    def write(self) -> str:
        """The fault as a line of a scenario."""
        more = "".join(f" ({k} {v if isinstance(v, str) else f'{v:.3g}'})" for k, v in self.settings.items())
        return f"  (trouble {self.kind} (at {self.at:.1f}) (for {self.duration:.1f}) (part {self.part:.2f}){more})"


def fault_intervals(captured: CapturedRun) -> list[FaultInterval]:
    """Faults inferred from lists and results; each by the symptom that only it causes, where there is one."""
    found: list[FaultInterval] = []
    length = max(at for at, _, _ in captured.requests)
    downs = []
    for at, name in captured.exits:
        back = next((t for t, other in captured.starts if other == name and t >= at), length)
        downs.append((at, max(0.5, back - at)))
    found += _merge_intervals("kill-dispatchers", downs, len(captured.instances))
    lists: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for at, worker, what in captured.listed:
        if what == "quiescing":
            lists["rolling-deploy"].append((at, 3.0))
        elif what == "dead":
            back = next((t for t, w, s in captured.listed if w == worker and s != "dead" and t > at), at + 3.0)
            lists["crash"].append((at, max(0.5, back - at)))
        elif what == "restarted":
            lists["restart-cold"].append((at, 1.0))
    for kind, intervals in lists.items():
        found += _merge_intervals(kind, intervals, len(captured.workers))
    signs: dict[str, list[tuple[float, float]]] = defaultdict(list)
    shares: dict[str, list[float]] = defaultdict(list)
    one_type: Counter[int] = Counter()
    for worker in sorted(captured.workers):
        for kind, first, last, share, class_ in _worker_faults(captured, worker, int(length) + 1):
            signs[kind].append((first, last - first + 1.0))
            shares[kind].append(share)
            if class_ is not None:
                one_type[class_] += 1
    for kind, intervals in signs.items():
        more: dict[str, float | str] = {"share": float(np.mean(shares[kind]))} if kind != "hang" else {}
        if kind == "fail-type":
            more["type"] = captured.env["classes"][one_type.most_common(1)[0][0]]["name"]
        found += _merge_intervals(kind, intervals, len(captured.workers), more)
    found += _fleet_wide(captured, int(length) + 1)
    return sorted(found, key=lambda interval: interval.at)


def _worker_faults(
    captured: CapturedRun, worker: str, seconds: int
) -> Iterator[tuple[str, float, float, float, int | None]]:
    """Runs of seconds in which a worker showed one symptom: errors, errors of one class, or no answer at all."""
    run: tuple[str, int, list[float], int | None] | None = None
    for second in range(seconds + 1):
        counts = captured.outcomes.get((worker, second), Counter())
        total = sum(counts.values())
        errors = Counter({c: n for (ending, c), n in counts.items() if ending == "E"})
        answered = sum(n for (ending, _), n in counts.items() if ending in "SEFM")
        sign: tuple[str, float, int | None] | None = None
        if total >= MIN_ANSWERS and not answered:
            sign = ("hang", 1.0, None)
        elif answered >= MIN_ANSWERS and sum(errors.values()) / answered > 0.25:
            of = {c: sum(n for (_, c2), n in counts.items() if c2 == c) for c in errors}
            classes = {c for (_, c) in counts}
            one = len(errors) == 1 and len(classes) > 1
            share = max(n / of[c] for c, n in errors.items())
            sign = ("fail-type" if one else "fail-fast", share, next(iter(errors)) if one else None)
        if run is not None and (sign is None or sign[0] != run[0]):
            if second - run[1] >= 2:
                yield run[0], float(run[1]), float(second - 1), float(np.mean(run[2])), run[3]
            run = None
        if sign is not None:
            if run is None:
                run = (sign[0], second, [], sign[2])
            run[2].append(sign[1])


def _fleet_wide(captured: CapturedRun, seconds: int) -> list[FaultInterval]:
    """Symptoms that all workers show at once: misses (a release), slow loads (the store)."""
    found = []
    misses, answers = np.zeros(seconds + 1), np.ones(seconds + 1)
    for (_, second), counts in captured.outcomes.items():
        if second <= seconds:
            misses[second] += sum(n for (ending, _), n in counts.items() if ending == "M")
            answers[second] += sum(counts.values())
    share = misses / answers
    usual = float(np.median(share))
    second = 3
    while second < seconds:
        if share[second] > max(0.15, 4 * usual) and share[second] > 2 * share[second - 1]:
            found.append(
                FaultInterval("models-voided", float(second), 1.0, 1.0, {"share": float(min(1.0, 2 * share[second]))})
            )
            second += 5
        second += 1
    if captured.loads:
        times, load_times = np.array([a for a, _ in captured.loads]), np.array([ms for _, ms in captured.loads])
        usual = float(np.median(load_times))
        slow = [
            s
            for s in range(seconds)
            if (here := load_times[(times >= s) & (times < s + 1)]).size >= 3 and float(np.median(here)) > 2.5 * usual
        ]
        for first, last in _consecutive(slow):
            if last - first >= 2:
                here = load_times[(times >= first) & (times <= last + 1)]
                found.append(
                    FaultInterval(
                        "store-slow",
                        float(first),
                        float(last - first + 1),
                        1.0,
                        {"factor": float(np.median(here)) / usual},
                    )
                )
    return found


def _consecutive(numbers: list[int]) -> list[tuple[int, int]]:
    runs: list[tuple[int, int]] = []
    for number in numbers:
        if runs and number - runs[-1][1] <= 2:
            runs[-1] = (runs[-1][0], number)
        else:
            runs.append((number, number))
    return runs


def _merge_intervals(
    kind: str, intervals: list[tuple[float, float]], of: int, more: dict[str, float | str] | None = None
) -> list[FaultInterval]:
    """Merge intervals that begin within two seconds of each other into one fault."""
    out: list[FaultInterval] = []
    group: list[tuple[float, float]] = []
    for interval in [*sorted(intervals), (float("inf"), 0.0)]:
        if group and interval[0] - group[0][0] > 2.0:
            last = float(np.median([length for _, length in group]))
            out.append(FaultInterval(kind, group[0][0], last, min(1.0, len(group) / max(1, of)), dict(more or {})))
            group = []
        group.append(interval)
    return out


def import_capture(file: Path, name: str, rate_scale: float, workers: int, dispatchers: int) -> tuple[str, str]:
    """A capture as the texts of a deployment file and of a scenario that names it `NAME.sexp`.

    `rate_scale` scales arrivals; function counts stay.  Raises `CaptureError` for a file that is no capture.
    """
    captured = read_capture(file)
    env = captured.env
    counts = Counter(fn for _, _, fn in captured.requests)
    classes, rules = env["classes"], env["rules"]
    extras, bounds = env["specifics"], env["bounds"]
    load_ms = float(np.median([ms for _, ms in captured.loads])) if captured.loads else 500.0
    out = [
        f"; Turned from a captured day of {env['balancers']} dispatchers and {len(captured.workers)} workers.",
        f"(deployment {name}",
        "  (halls " + " ".join(env["failure_domains"]) + ")",
    ]
    for c in classes:
        kept = (
            f" (scope {c['key_scope'] or 'all'}) (remembered-ms {c['window_us'] / 1000:g})"
            if c["effect"] == "guarded"
            else ""
        )
        out.append(
            f"  (type {c['name']} (effect {EFFECTS[c['effect']]}) (target-ms {c['aim_us'] / 1000:g}) "
            f"(timeout-ms {c['give_up_us'] / 1000:g}) (utility {c['gain']:g}) "
            f"(late-share {c['late_worth']:g}){kept})"
        )
    for number, tenant in enumerate(env.get("customers") or [{"name": "all", "allowance_per_s": 1e6}]):
        out.append(
            f'  (namespace {tenant["name"]} (uuid "00000000-0000-4000-8000-{number:012d}") '
            f'(key "loopback-only-{number}") (allowed-per-s {tenant["allowance_per_s"] * rate_scale:g}))'
        )
    names: dict[str, str] = {}
    for rank, (fn, _) in enumerate(counts.most_common()):
        class_, memory, concurrency = captured.functions[fn]
        names[fn] = f"f{rank}"
        quick = captured.latency.get(class_)
        work = max(5.0, float(np.percentile(quick, 25))) if quick else 50.0
        out.append(
            f"  (action f{rank} (type {classes[class_]['name']}) (memory-mb {memory:g}) (lanes {concurrency}) "
            f"(load-ms {load_ms:.0f}) (work-ms {work:.0f}))"
        )
    memory = float(np.median(extras["machine_mb"]))
    per_worker = memory * len(captured.workers) / workers
    out += [
        f"  (rules (drain-grace-ms {rules['stop_sending_within_us'] / 1000:g}) (tip {rules['tip_multiple']:g}) "
        f"(tip-ms {rules['fall_us'] / 1000:g}) (cold-share {rules['start_capacity']:g})",
        f"         (cold-ms {rules['cold_us'] / 1000:g}) (free-loads {extras['free_loads']:g}) "
        f"(load-share {extras['load_share']:g}) (load-span-ms {extras['load_span_us'] / 1000:g}))",
        f"  (dispatcher (parallel {_yes(bounds['parallel_tries'])}) (most-sends {bounds['max_attempts']}) "
        f"(cancels {_yes(bounds['may_cancel'])}) (keep-ms {extras['idle_life_us'] / 1000:g})",
        f"              (longest-return-ms {bounds['max_retry_after_us'] / 1000:g}))",
        f"  (fleet (workers {workers}) (cores 8) (memory-mb {per_worker:.0f}) "
        f"(keep-ms {extras['idle_life_us'] / 1000:g}) (queue 128))",
        "  (store (fetches 16) (most 64)))",
        "",
    ]
    length = max(at for at, _, _ in captured.requests)
    ranks = np.arange(1, len(counts) + 1)
    heights = np.array([n for _, n in counts.most_common()], float)
    zipf = float(-np.polyfit(np.log(ranks[:50]), np.log(heights[:50]), 1)[0]) if len(counts) > 3 else 1.0
    script = [
        f"; Turned from a captured day; rates are {rate_scale:g} of it.",
        f"(bad-day {name}",
        f'  (deployment "{name}.sexp")',
        f"  (seconds {length:.0f}) (workers {workers}) (dispatchers {dispatchers})",
    ]
    blocks = Counter(int(at // BLOCK_S) for at, _, _ in captured.requests)
    for block in sorted(blocks):
        last = min(BLOCK_S, length - block * BLOCK_S)
        if last > 0.5:
            script.append(
                f"  (load (rate {max(0.01, blocks[block] / last * rate_scale):.1f}) (at {block * BLOCK_S}) "
                f"(for {last:.1f}) (zipf {min(4.0, max(0.0, zipf)):.2f}) (deferred 0.1))"
            )
    script += [interval.write() for interval in fault_intervals(captured)]
    return "\n".join(out), "\n".join(script) + ")\n"


def _yes(value: bool) -> str:
    return "yes" if value else "no"
