"""Experiments: variants, sweeps and seeds of one script, played in parallel, kept in columns.

    (experiment NAME (script FILE) (seeds 1 2 3)
      (variant as-is)
      (variant no-second-sends (set dispatcher.second-share 0) (set dispatcher.second-most 0))
      (sweep load.heed 1 0.5 0))

A name in `set` and `sweep` is a section and a key: of the deployment (`dispatcher`, `rules`, `fleet`, `store` and so
on), of the script (`script`, `load`, `trouble`: all of them), or of what the lab assumes (`lab`).
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np
import pyarrow
import pyarrow.parquet

from kelptrail.badday.script import BadDay
from kelptrail.badday.script import load as load_script
from kelptrail.settings.deployment import Deployment
from kelptrail.settings.deployment import load as load_deployment
from kelptrail.settings.reader import Form, Place, read
from kelptrail.settings.shape import Checker

from .site import LabSettings, Result, play

OF_DEPLOYMENT = ("dispatcher", "rules", "fleet", "store", "front", "pool", "journal", "storm")
RUN_SECONDS = 3  # that many good ones in a row: recovered


@dataclass(frozen=True, slots=True)
class Change:
    """One setting of a variant or of a sweep's point."""

    section: str
    key: str
    value: float | bool | str
    place: Place

    def __str__(self) -> str:
        return f"{self.section}.{self.key.replace('_', '-')}={self.value}"


@dataclass(frozen=True, slots=True)
class Experiment:
    """A whole experiment, read and checked."""

    name: str
    script: str
    seeds: tuple[int, ...]
    variants: dict[str, tuple[Change, ...]]
    sweep: tuple[Change, ...]  # one point each; none: a single point without a change

    def runs(self) -> Iterator[tuple[str, Change | None, int]]:
        """Variant, point and seed of each run."""
        for variant in self.variants:
            for point in self.sweep or (None,):
                for seed in self.seeds:
                    yield variant, point, seed


def load(path: str | Path) -> Experiment:
    """Read and check an experiment.  Raises `SettingsError` with every fault, `OSError` where unreadable."""
    checker, start = Checker(), Place(str(path), 1, 1)
    forms = read(Path(path).read_text(encoding="utf-8", errors="replace"), str(path))
    whole = forms[0] if forms else None
    if len(forms) != 1 or not isinstance(whole, Form) or whole.head != "experiment" or len(whole.items) < 2:
        checker.fault(start, f"{len(forms)} expressions", "one (experiment NAME ...)")
        checker.done()
    assert isinstance(whole, Form)
    script, seeds = "", tuple[int, ...]()
    variants, sweep = dict[str, tuple[Change, ...]](), list[Change]()
    for item in whole.items[2:]:
        if not isinstance(item, Form):
            checker.fault(whole.place, item, "forms after the name")
        elif item.head == "script" and len(item.items) == 2:
            script = str(_value(item.items[1]))
        elif item.head == "seeds":
            try:
                seeds = tuple(int(float(str(_value(one)))) for one in item.items[1:])
            except ValueError:
                checker.fault(item.place, "seeds", "whole numbers")
        elif item.head == "variant" and len(item.items) > 1:
            changes = []
            for one in item.items[2:]:
                if isinstance(one, Form) and one.head == "set" and len(one.items) == 3:
                    changes += _change(checker, one.place, one.items[1], one.items[2])
                else:
                    checker.fault(item.place, one, "(set SECTION.KEY VALUE)")
            variants[str(_value(item.items[1]))] = tuple(changes)
        elif item.head == "sweep" and len(item.items) > 2:
            for value in item.items[2:]:
                sweep += _change(checker, item.place, item.items[1], value)
        else:
            checker.fault(item.place, item.head, "one of script, seeds, variant, sweep, with what they need")
    if not script:
        checker.fault(whole.place, "no script", "(script FILE)")
    checker.done()
    file = Path(script) if Path(script).is_absolute() else Path(path).parent / script
    made = Experiment(str(_value(whole.items[1])), str(file), seeds or (1,), variants or {"as-is": ()}, tuple(sweep))
    day = load_script(made.script)
    deployment = load_deployment(day.deployment)
    for change in [*(c for changes in made.variants.values() for c in changes), *made.sweep]:
        try:
            changed(day, deployment, LabSettings(), [change])
        except ValueError as cause:
            checker.fault(change.place, str(change), str(cause))
    checker.done()
    return made


def _value(item: Any) -> Any:
    return getattr(item, "value", item)


def _change(checker: Checker, place: Place, name: Any, value: Any) -> list[Change]:
    section, dot, key = str(_value(name)).partition(".")
    if not dot or not key:
        checker.fault(place, name, "SECTION.KEY")
        return []
    text = str(_value(value))
    read_as: float | bool | str
    try:
        read_as = float(text)
    except ValueError:
        read_as = {"yes": True, "no": False}.get(text, text)
    return [Change(section, key.replace("-", "_"), read_as, place)]


def changed(day: BadDay, deployment: Deployment, lab: LabSettings,
            changes: list[Change]) -> tuple[BadDay, Deployment, LabSettings]:
    """The three with changes made.  Raises `ValueError` for a name that there is not, or a value of another kind."""
    for change in changes:
        section, key, value = change.section, change.key, change.value
        if section == "lab":
            lab = _with(lab, key, value)
        elif section == "script":
            day = _with(day, key, value)
        elif section in ("load", "trouble"):
            day = _with(day, section, [_copied(one, key, value) for one in getattr(day, section)])
        elif section in OF_DEPLOYMENT:
            deployment = _with(deployment, section, _with(getattr(deployment, section), key, value))
        else:
            raise ValueError("a section: lab, script, load, trouble, " + ", ".join(OF_DEPLOYMENT))
    return day, deployment, lab


def _fit(one: Any, key: str, value: Any) -> Any:
    names = [f.name for f in dataclasses.fields(one)]
    if key not in names:
        raise ValueError("a key: " + ", ".join(name.replace("_", "-") for name in names))
    before = getattr(one, key)
    if isinstance(before, int) and not isinstance(before, bool) and isinstance(value, float):
        return int(value)
    if isinstance(before, bool | str) is not isinstance(value, bool | str) and not isinstance(before, list):
        raise ValueError(f"a value like {before}")
    return value


def _with(one: Any, key: str, value: Any) -> Any:
    return dataclasses.replace(one, **{key: _fit(one, key, value)})


def _copied(one: Any, key: str, value: Any) -> Any:
    import copy

    made = copy.copy(one)  # these build themselves by words of the script, not by their fields
    object.__setattr__(made, key, _fit(one, key, value))
    return made


def figures(day: BadDay, result: Result) -> dict[str, float]:
    """What one run came to.  Times in ms, `recovery_s` in seconds: see `recovery`."""
    seconds = result.seconds[:int(day.seconds)]
    calls = sum(s.calls for s in seconds) or 1
    wishes = calls - sum(s.repeats for s in seconds) or 1
    every = np.concatenate([np.asarray(v) for v in result.latency.values()]) if any(
        result.latency.values()) else np.zeros(1)
    good = sum(s.in_time for s in seconds)
    return {"calls": calls, "wishes": wishes, "completed": sum(s.completed for s in seconds), "in_time": good,
            "served_share": good / wishes, "rejected": sum(s.rejected for s in seconds),
            "aborted": sum(s.aborted for s in seconds), "lost": sum(s.lost for s in seconds),
            "sends": sum(s.sends for s in seconds), "orders": sum(s.orders for s in seconds), "loads": result.loads,
            "p50_ms": float(np.percentile(every, 50)), "p99_ms": float(np.percentile(every, 99)),
            "recovery_s": recovery(day, result), "events": result.events}


def recovery(day: BadDay, result: Result) -> float:
    """Seconds from the last trouble's end, or from the start where there is none, until three seconds in a row serve
    95% of what came new then, in time; the rest of the script where that never comes."""
    since = max((t.at + t.last for t in day.trouble), default=0.0)
    row = 0
    for number in range(int(since), int(day.seconds)):
        second = result.seconds[number]
        fresh = second.calls - second.repeats
        row = row + 1 if second.in_time >= 0.95 * fresh else 0
        if row == RUN_SECONDS:
            return max(0.0, number - RUN_SECONDS + 1 - since)
    return day.seconds - since


def one(path: str, variant: str, point: Change | None, seed: int) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """One run in a process of its own: its figures and its seconds."""
    experiment = load(path)
    day = load_script(experiment.script)
    changes = [*experiment.variants[variant], *([point] if point is not None else [])]
    day, deployment, lab = changed(day, load_deployment(day.deployment), LabSettings(), changes)
    began = time.perf_counter()
    result = play(day, deployment, seed, lab)
    took = time.perf_counter() - began
    who = {"experiment": experiment.name, "variant": variant, "point": str(point) if point is not None else "",
           "value": float(point.value) if point is not None and isinstance(point.value, float) else 0.0, "seed": seed}
    rows = [who | {"second": n} | {f.name: getattr(s, f.name) for f in dataclasses.fields(s)}
            for n, s in enumerate(result.seconds[:int(day.seconds)])]
    return who | figures(day, result) | {"took_s": took, "simulated_s_a_second": day.seconds / took}, rows


def run(path: str, out: Path, workers: int, progress: Callable[[dict[str, Any]], None]) -> list[dict[str, Any]]:
    """Play all runs over several processes; write `runs.parquet` and `seconds.parquet`."""
    experiment = load(path)
    runs, seconds = list[dict[str, Any]](), list[dict[str, Any]]()
    with ProcessPoolExecutor(workers) as pool:
        jobs = [pool.submit(one, path, *words) for words in experiment.runs()]
        for job in as_completed(jobs):
            row, rows = job.result()
            runs.append(row)
            seconds += rows
            progress(row)
    runs.sort(key=lambda r: (r["variant"], r["value"], r["point"], r["seed"]))
    out.mkdir(parents=True, exist_ok=True)
    for name, table in (("runs", runs), ("seconds", seconds)):
        pyarrow.parquet.write_table(pyarrow.Table.from_pylist(table), out / f"{name}.parquet", compression="zstd")
    return runs


def read_runs(folder: Path) -> list[dict[str, Any]]:
    """The runs of a folder.  Raises `OSError` where there are none."""
    return list(pyarrow.parquet.read_table(folder / "runs.parquet").to_pylist())


def read_seconds(folder: Path) -> list[dict[str, Any]]:
    """Their seconds."""
    return list(pyarrow.parquet.read_table(folder / "seconds.parquet").to_pylist())

