"""Infers faults from a capture.

Each kind is inferred from a symptom that no other fault causes, where such a symptom exists.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np

from .captured_run import AttemptResult, CapturedRun
from .scenario import FaultKind

# A second with fewer answers of a worker is not evaluated for errors, one with fewer results not for a hang.
MIN_ANSWERS = 5
MIN_SYMPTOM_SECONDS = 2  # Shorter runs of a symptom do not count as a fault
FAILING_SHARE = 0.25  # Share of errors in a worker's answers above which the worker counts as failing
MISSES_SHARE = 0.15  # Share of misses in the results of all workers above which models may have been unloaded
MISSES_FACTOR = 4  # Ratio of that share to its median that it also has to exceed
MISSES_SETTLE_S = 5  # Time after an inferred loss of models in which no other is inferred
SLOW_LOADS_FACTOR = 2.5  # Ratio to the median load time above which loads count as slow
MIN_LOADS = 3  # Seconds with fewer loads are not evaluated
ROLLING_DEPLOY_S, WORKER_DOWN_S, COLD_RESTART_S = 3.0, 3.0, 1.0  # Durations where the capture does not show the end
SHORTEST_DOWN_S = 0.5
MERGED_WITHIN_S = 2.0  # Intervals that begin within this time after the first of them count as one fault

Interval = tuple[float, float]  # Start and length, in seconds


@dataclass(slots=True)
class FaultInterval:
    """An inferred fault, as the scenario states it; times in seconds."""

    kind: str
    at: float
    duration: float
    part: float
    settings: dict[str, float | str] = field(default_factory=dict)

    def to_scenario_line(self) -> str:
        """Return the fault as a line of a scenario file."""
        settings = "".join(f" ({k} {v if isinstance(v, str) else f'{v:.3g}'})" for k, v in self.settings.items())
        return f"  (trouble {self.kind} (at {self.at:.1f}) (for {self.duration:.1f}) (part {self.part:.2f}){settings})"


def fault_intervals(captured: CapturedRun) -> list[FaultInterval]:
    """Return all faults inferred from a capture, in order of time."""
    seconds = int(captured.length) + 1
    found = [
        *_killed_dispatchers(captured),
        *_listed_faults(captured),
        *_worker_faults(captured, seconds),
        *_voided_models(captured, seconds),
        *_slow_store(captured, seconds),
    ]
    return sorted(found, key=lambda interval: interval.at)


def _killed_dispatchers(captured: CapturedRun) -> list[FaultInterval]:
    """Infer kills of dispatchers from their exits; a kill lasts until the next start of the dispatcher."""
    outages: list[Interval] = []
    for at, name in captured.exits:
        restarted_at = next((t for t, other in captured.restarts if other == name and t >= at), captured.length)
        outages.append((at, max(SHORTEST_DOWN_S, restarted_at - at)))
    return _merge_intervals(FaultKind.KILL_DISPATCHERS, outages, len(captured.dispatchers))


def _listed_faults(captured: CapturedRun) -> list[FaultInterval]:
    """Infer drains, crashes and restarts of workers from the endpoint lists."""
    intervals: dict[str, list[Interval]] = defaultdict(list)
    for at, worker, state in captured.state_changes:
        if state == "quiescing":
            intervals[FaultKind.ROLLING_DEPLOY].append((at, ROLLING_DEPLOY_S))
        elif state == "dead":
            restarted_at = next(
                (t for t, w, s in captured.state_changes if w == worker and s != "dead" and t > at),
                at + WORKER_DOWN_S,
            )
            intervals[FaultKind.CRASH].append((at, max(SHORTEST_DOWN_S, restarted_at - at)))
        elif state == "restarted":
            intervals[FaultKind.RESTART_COLD].append((at, COLD_RESTART_S))
    found: list[FaultInterval] = []
    for kind, kind_intervals in intervals.items():
        found += _merge_intervals(kind, kind_intervals, len(captured.workers))
    return found


class Symptom(NamedTuple):
    """A symptom of a worker in one second: the kind of fault, the share of attempts it affected, and the request class.

    The class is None unless the symptom affected one class only.
    """

    kind: str
    share: float
    request_class: int | None


class SymptomRun(NamedTuple):
    """Consecutive seconds in which a worker showed the same symptom."""

    kind: str
    first: float
    last: float
    share: float
    request_class: int | None


def _worker_faults(captured: CapturedRun, seconds: int) -> list[FaultInterval]:
    """Infer faults of workers that failed or did not answer."""
    runs_by_kind: dict[str, list[SymptomRun]] = defaultdict(list)
    for worker in sorted(captured.workers):
        for run in _symptom_runs(captured, worker, seconds):
            runs_by_kind[run.kind].append(run)
    found: list[FaultInterval] = []
    for kind, runs in runs_by_kind.items():
        settings: dict[str, float | str] = {}
        if kind != FaultKind.HANG:
            settings["share"] = float(np.mean([run.share for run in runs]))
        if kind == FaultKind.FAIL_TYPE:
            settings["type"] = _most_common_class(captured, runs)
        intervals = [(run.first, run.last - run.first + 1.0) for run in runs]
        found += _merge_intervals(kind, intervals, len(captured.workers), settings)
    return found


def _most_common_class(captured: CapturedRun, runs: list[SymptomRun]) -> str:
    classes = Counter(run.request_class for run in runs if run.request_class is not None)
    number = classes.most_common(1)[0][0]
    return str(captured.env["classes"][number]["name"])


def _symptom_runs(captured: CapturedRun, worker: str, seconds: int) -> Iterator[SymptomRun]:
    """Yield the runs of seconds in which a worker showed one symptom.

    A run that still lasts in the second after the last request is left out.
    """
    run: list[Symptom] = []
    for second in range(seconds + 1):
        symptom = _symptom(captured.results.get((worker, second), Counter()))
        if run and (symptom is None or symptom.kind != run[0].kind):
            if len(run) >= MIN_SYMPTOM_SECONDS:
                share = float(np.mean([entry.share for entry in run]))
                first = float(second - len(run))
                yield SymptomRun(run[0].kind, first, float(second - 1), share, run[0].request_class)
            run = []
        if symptom is not None:
            run.append(symptom)


def _symptom(results: Counter[AttemptResult]) -> Symptom | None:
    """Return the symptom in a worker's results of one second, or None.

    Symptoms are results without any answer, and a large share of errors.  Errors of only one class out of several count
    as a fault of that class.
    """
    total = sum(results.values())
    answered = sum(count for (ending, _), count in results.items() if ending in "SEFM")
    if total >= MIN_ANSWERS and not answered:
        return Symptom(FaultKind.HANG, 1.0, None)
    errors = Counter({class_: count for (ending, class_), count in results.items() if ending == "E"})
    if answered < MIN_ANSWERS or sum(errors.values()) / answered <= FAILING_SHARE:
        return None
    totals = {failing: sum(count for (_, class_), count in results.items() if class_ == failing) for failing in errors}
    share = max(count / totals[class_] for class_, count in errors.items())
    classes = {class_ for (_, class_) in results}
    if len(errors) == 1 and len(classes) > 1:
        return Symptom(FaultKind.FAIL_TYPE, share, next(iter(errors)))
    return Symptom(FaultKind.FAIL_FAST, share, None)


def _voided_models(captured: CapturedRun, seconds: int) -> list[FaultInterval]:
    """Infer losses of loaded models, for example when new ones are released, from a sudden rise of misses.

    A miss is an attempt that found its model not loaded.  The misses of all workers count together.
    """
    misses, totals = np.zeros(seconds + 1), np.ones(seconds + 1)
    for (_, second), results in captured.results.items():
        if second <= seconds:
            misses[second] += sum(count for (ending, _), count in results.items() if ending == "M")
            totals[second] += sum(results.values())
    share = misses / totals
    median = float(np.median(share))
    found = []
    second = 3
    while second < seconds:
        if share[second] > max(MISSES_SHARE, MISSES_FACTOR * median) and share[second] > 2 * share[second - 1]:
            voided_share = float(min(1.0, 2 * share[second]))
            found.append(FaultInterval(FaultKind.MODELS_VOIDED, float(second), 1.0, 1.0, {"share": voided_share}))
            second += MISSES_SETTLE_S
        second += 1
    return found


def _slow_store(captured: CapturedRun, seconds: int) -> list[FaultInterval]:
    """Infer a slow model store from seconds in which the median load time over all workers is long."""
    if not captured.loads:
        return []
    times = np.array([load.at for load in captured.loads])
    durations = np.array([load.duration_ms for load in captured.loads])
    median = float(np.median(durations))
    slow_seconds = []
    for second in range(seconds):
        load_times = durations[(times >= second) & (times < second + 1)]
        if load_times.size >= MIN_LOADS and float(np.median(load_times)) > SLOW_LOADS_FACTOR * median:
            slow_seconds.append(second)
    found = []
    for first, last in _consecutive(slow_seconds):
        if last - first >= 2:
            factor = float(np.median(durations[(times >= first) & (times <= last + 1)])) / median
            found.append(
                FaultInterval(FaultKind.STORE_SLOW, float(first), float(last - first + 1), 1.0, {"factor": factor})
            )
    return found


def _consecutive(seconds: list[int]) -> list[tuple[int, int]]:
    """Return the first and the last second of each run; gaps of one second do not end a run."""
    runs: list[tuple[int, int]] = []
    for second in seconds:
        if runs and second - runs[-1][1] <= 2:
            runs[-1] = (runs[-1][0], second)
        else:
            runs.append((second, second))
    return runs


def _merge_intervals(
    kind: str, intervals: list[Interval], process_count: int, settings: dict[str, float | str] | None = None
) -> list[FaultInterval]:
    """Merge intervals that begin close together into one fault.

    The part of a fault is the number of its intervals relative to `process_count`.
    """
    found: list[FaultInterval] = []
    group: list[Interval] = []
    for interval in [*sorted(intervals), (float("inf"), 0.0)]:
        if group and interval[0] - group[0][0] > MERGED_WITHIN_S:
            duration = float(np.median([length for _, length in group]))
            part = min(1.0, len(group) / max(1, process_count))
            found.append(FaultInterval(kind, group[0][0], duration, part, dict(settings or {})))
            group = []
        group.append(interval)
    return found
