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

from kelptrail.fault_scenario.scenario import FaultScenario
from kelptrail.fault_scenario.scenario import load_scenario as load_script
from kelptrail.load.results import Rows, figures, rows_of, spread_of, write
from kelptrail.settings.deployment import Deployment
from kelptrail.settings.deployment import load as load_deployment
from kelptrail.settings.reader import Form, SourcePosition, read
from kelptrail.settings.shape import Checker, fields_by_key

from .cluster import SimulationSettings, play

OF_DEPLOYMENT = ("dispatcher", "rules", "fleet", "store", "front", "pool", "journal", "storm")


@dataclass(frozen=True, slots=True)
class Change:
    """One setting of a variant or of a sweep's point."""

    section: str
    key: str
    value: float | bool | str
    place: SourcePosition

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
    checker, start = Checker(), SourcePosition(str(path), 1, 1)
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
            changed(day, deployment, SimulationSettings(), [change])
        except ValueError as cause:
            checker.fault(change.place, str(change), str(cause))
    checker.done()
    return made


def _value(item: Any) -> Any:
    return getattr(item, "value", item)


def _change(checker: Checker, place: SourcePosition, name: Any, value: Any) -> list[Change]:
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


def changed(
    day: FaultScenario, deployment: Deployment, lab: SimulationSettings, changes: list[Change]
) -> tuple[FaultScenario, Deployment, SimulationSettings]:
    """The three with changes made.  Raises `ValueError` for a name that there is not, or a value of another kind."""
    for change in changes:
        section, key, value = change.section, change.key, change.value
        if section == "lab":
            lab = _with(lab, key, value)
        elif section == "script":
            day = _with(day, key, value)
        elif section in ("load", "trouble"):
            parts = getattr(day, fields_by_key(day)[section])
            day = _with(day, section, [_with(part, key, value) for part in parts])
        elif section in OF_DEPLOYMENT:
            deployment = _with(deployment, section, _with(getattr(deployment, section), key, value))
        else:
            raise ValueError("a section: lab, script, load, trouble, " + ", ".join(OF_DEPLOYMENT))
    return day, deployment, lab


def _fit(one: Any, key: str, value: Any) -> Any:
    fields = fields_by_key(one)
    if key not in fields:
        raise ValueError("a key: " + ", ".join(name.replace("_", "-") for name in fields))
    before = getattr(one, fields[key])
    if isinstance(before, int) and not isinstance(before, bool) and isinstance(value, float):
        return int(value)
    if isinstance(before, bool | str) is not isinstance(value, bool | str) and not isinstance(before, list):
        raise ValueError(f"a value like {before}")
    return value


def _with(one: Any, key: str, value: Any) -> Any:
    fitting = _fit(one, key, value)
    return dataclasses.replace(one, **{fields_by_key(one)[key]: fitting})


def one(path: str, variant: str, point: Change | None, seed: int) -> tuple[Rows, Rows, Rows]:
    """One run in a process of its own: its figures, its seconds, its latencies."""
    experiment = load(path)
    day = load_script(experiment.script)
    changes = [*experiment.variants[variant], *([point] if point is not None else [])]
    day, deployment, lab = changed(day, load_deployment(day.deployment), SimulationSettings(), changes)
    began = time.perf_counter()
    result = play(day, deployment, seed, lab)
    took = time.perf_counter() - began
    who = {
        "experiment": experiment.name,
        "variant": variant,
        "point": str(point) if point is not None else "",
        "value": float(point.value) if point is not None and isinstance(point.value, float) else 0.0,
        "seed": seed,
    }
    row = (
        who
        | figures(day.seconds, day.last_fault_ends, result)
        | {"took_s": took, "simulated_s_a_second": day.seconds / took}
    )
    return [row], rows_of(who, day.seconds, result), spread_of(who, result)


def run(path: str, out: Path, workers: int, progress: Callable[[dict[str, Any]], None]) -> Rows:
    """Play all runs over several processes; write the tables of `kelptrail.load.results`."""
    experiment = load(path)
    tables: tuple[Rows, Rows, Rows] = ([], [], [])
    with ProcessPoolExecutor(workers) as pool:
        jobs = [pool.submit(one, path, *words) for words in experiment.runs()]
        for job in as_completed(jobs):
            found = job.result()
            for table, rows in zip(tables, found, strict=True):
                table += rows
            progress(found[0][0])
    tables[0].sort(key=lambda r: (r["variant"], r["value"], r["point"], r["seed"]))
    write(out, *tables)
    return tables[0]
