"""Experiments: variants, sweeps and seeds of one fault scenario, run in parallel, with results as tables.

    (experiment NAME (script FILE) (seeds 1 2 3)
      (variant as-is)
      (variant no-second-sends (set dispatcher.second-share 0) (set dispatcher.second-most 0))
      (sweep load.heed 1 0.5 0))

A name in `set` and `sweep` is SECTION.KEY.  The section is one of the deployment's (`dispatcher`, `rules`, `fleet`,
`store` and so on), `script` for the scenario itself, `load` or `trouble` for all its loads or faults, or `lab` for
`SimulationSettings`.
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import Any, NamedTuple

from kelptrail.fault_scenario.scenario import FaultScenario, load_scenario
from kelptrail.load.results import Rows, figures, rows_of, spread_of, write
from kelptrail.settings.deployment import Deployment
from kelptrail.settings.deployment import load as load_deployment
from kelptrail.settings.reader import Form, SourcePosition, read
from kelptrail.settings.shape import Checker, fields_by_key

from .cluster import play
from .settings import SimulationSettings

DEPLOYMENT_SECTIONS = ("dispatcher", "rules", "fleet", "store", "front", "pool", "journal", "storm")


class ChangeError(ValueError):
    """A change names an unknown section or key, or has a value of another type; the text says what is expected."""


@dataclass(frozen=True, slots=True)
class Change:
    """One changed setting of a variant or of a point of the sweep."""

    section: str
    key: str
    value: float | bool | str
    position: SourcePosition

    def __str__(self) -> str:
        return f"{self.section}.{self.key.replace('_', '-')}={self.value}"


class PlannedRun(NamedTuple):
    """One run of an experiment; `point` is None without a sweep."""

    variant: str
    point: Change | None
    seed: int


class RunInputs(NamedTuple):
    """Inputs of one simulated run."""

    scenario: FaultScenario
    deployment: Deployment
    simulation: SimulationSettings


class RunTables(NamedTuple):
    """Rows of the three tables of `kelptrail.load.results`: runs, seconds, and distributions."""

    runs: Rows
    seconds: Rows
    spread: Rows


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment that has been read and checked."""

    name: str
    script: str  # path of the scenario file
    seeds: tuple[int, ...]
    variants: dict[str, tuple[Change, ...]]
    sweep: tuple[Change, ...]  # one change for each point; empty for a single point without a change

    def runs(self) -> Iterator[PlannedRun]:
        """Yield all runs: every seed at every point of every variant."""
        for variant in self.variants:
            for point in self.sweep or (None,):
                for seed in self.seeds:
                    yield PlannedRun(variant, point, seed)


def load(path: str | Path) -> Experiment:
    """Read and check an experiment.  Raises `SettingsError` with all errors, `OSError` if the file is unreadable."""
    checker, file_start = Checker(), SourcePosition(str(path), 1, 1)
    forms = read(Path(path).read_text(encoding="utf-8", errors="replace"), str(path))
    form = forms[0] if forms else None
    if len(forms) != 1 or not isinstance(form, Form) or form.head != "experiment" or len(form.items) < 2:
        checker.fault(file_start, f"{len(forms)} expressions", "one (experiment NAME ...)")
        checker.raise_faults()
    assert isinstance(form, Form)
    script, seeds = "", tuple[int, ...]()
    variants, sweep = dict[str, tuple[Change, ...]](), list[Change]()
    for item in form.items[2:]:
        if not isinstance(item, Form):
            checker.fault(form.position, item, "forms after the name")
        elif item.head == "script" and len(item.items) == 2:
            script = str(_value_of(item.items[1]))
        elif item.head == "seeds":
            seeds = _parse_seeds(checker, item)
        elif item.head == "variant" and len(item.items) > 1:
            variants[str(_value_of(item.items[1]))] = tuple(_parse_variant(checker, item))
        elif item.head == "sweep" and len(item.items) > 2:
            for value in item.items[2:]:
                sweep += _parse_change(checker, item.position, item.items[1], value)
        else:
            checker.fault(item.position, item.head, "one of script, seeds, variant, sweep, with their values")
    if not script:
        checker.fault(form.position, "no script", "(script FILE)")
    checker.raise_faults()
    file = Path(script) if Path(script).is_absolute() else Path(path).parent / script
    name = str(_value_of(form.items[1]))
    experiment = Experiment(name, str(file), seeds or (1,), variants or {"as-is": ()}, tuple(sweep))
    _check_changes(checker, experiment)
    return experiment


def _parse_seeds(checker: Checker, form: Form) -> tuple[int, ...]:
    try:
        return tuple(int(float(str(_value_of(seed)))) for seed in form.items[1:])
    except ValueError:
        checker.fault(form.position, "seeds", "whole numbers")
        return ()


def _parse_variant(checker: Checker, variant: Form) -> list[Change]:
    changes = list[Change]()
    for item in variant.items[2:]:
        if isinstance(item, Form) and item.head == "set" and len(item.items) == 3:
            changes += _parse_change(checker, item.position, item.items[1], item.items[2])
        else:
            checker.fault(variant.position, item, "(set SECTION.KEY VALUE)")
    return changes


def _check_changes(checker: Checker, experiment: Experiment) -> None:
    """Apply each change separately.  Raises `SettingsError` with all changes that cannot be applied."""
    scenario = load_scenario(experiment.script)
    deployment = load_deployment(scenario.deployment)
    for change in [*(c for changes in experiment.variants.values() for c in changes), *experiment.sweep]:
        try:
            apply_changes(scenario, deployment, SimulationSettings(), [change])
        except ValueError as cause:
            checker.fault(change.position, str(change), str(cause))
    checker.raise_faults()


def _value_of(item: Any) -> Any:
    return getattr(item, "value", item)


def _parse_change(checker: Checker, position: SourcePosition, name: Any, value: Any) -> list[Change]:
    """Return a list with the change; it is empty if the name is malformed."""
    section, separator, key = str(_value_of(name)).partition(".")
    if not separator or not key:
        checker.fault(position, name, "SECTION.KEY")
        return []
    text = str(_value_of(value))
    parsed: float | bool | str
    try:
        parsed = float(text)
    except ValueError:
        parsed = {"yes": True, "no": False}.get(text, text)
    return [Change(section, key.replace("-", "_"), parsed, position)]


def apply_changes(
    scenario: FaultScenario, deployment: Deployment, simulation: SimulationSettings, changes: list[Change]
) -> RunInputs:
    """Return the inputs of a run with the changes applied.

    Raises `ChangeError` for an unknown section or key, or a value of another type.
    """
    for change in changes:
        section, key, value = change.section, change.key, change.value
        if section == "lab":
            simulation = _replace_key(simulation, key, value)
        elif section == "script":
            scenario = _replace_key(scenario, key, value)
        elif section in ("load", "trouble"):
            parts = getattr(scenario, fields_by_key(scenario)[section])
            scenario = _replace_key(scenario, section, [_replace_key(part, key, value) for part in parts])
        elif section in DEPLOYMENT_SECTIONS:
            deployment = _replace_key(deployment, section, _replace_key(_section_of(deployment, section), key, value))
        else:
            raise ChangeError("a section: lab, script, load, trouble, " + ", ".join(DEPLOYMENT_SECTIONS))
    return RunInputs(scenario, deployment, simulation)


def _convert_value(settings: Any, key: str, value: Any) -> Any:
    """Return the value in the type of the setting that it replaces; raises `ChangeError` if that is impossible."""
    fields = fields_by_key(settings)
    if key not in fields:
        raise ChangeError("a key: " + ", ".join(name.replace("_", "-") for name in fields))
    current = getattr(settings, fields[key])
    if isinstance(current, int) and not isinstance(current, bool) and isinstance(value, float):
        return int(value)
    if isinstance(current, bool | str) is not isinstance(value, bool | str) and not isinstance(current, list):
        raise ChangeError(f"a value like {current}")
    return value


def _section_of(deployment: Deployment, section: str) -> Any:
    return getattr(deployment, fields_by_key(deployment)[section])


def _replace_key(settings: Any, key: str, value: Any) -> Any:
    converted = _convert_value(settings, key, value)
    return dataclasses.replace(settings, **{fields_by_key(settings)[key]: converted})


def run_one(path: str, variant: str, point: Change | None, seed: int) -> RunTables:
    """Simulate one run in a process of the pool, and return its rows of all tables."""
    experiment = load(path)
    scenario = load_scenario(experiment.script)
    changes = [*experiment.variants[variant], *([point] if point is not None else [])]
    scenario, deployment, simulation = apply_changes(
        scenario, load_deployment(scenario.deployment), SimulationSettings(), changes
    )
    started_at = time.perf_counter()
    result = play(scenario, deployment, seed, simulation)
    took_s = time.perf_counter() - started_at
    run_key = {
        "experiment": experiment.name,
        "variant": variant,
        "point": str(point) if point is not None else "",
        "value": float(point.value) if point is not None and isinstance(point.value, float) else 0.0,
        "seed": seed,
    }
    row = (
        run_key
        | figures(scenario.seconds, scenario.last_fault_ends, result)
        | {"took_s": took_s, "simulated_s_a_second": scenario.seconds / took_s}
    )
    return RunTables([row], rows_of(run_key, scenario.seconds, result), spread_of(run_key, result))


def run(path: str, out: Path, workers: int, progress: Callable[[dict[str, Any]], None]) -> Rows:
    """Simulate all runs in `workers` processes and write their tables; return the rows of the table of runs.

    The processes are not forked from this one, which may have threads or gRPC objects that do not survive a fork.
    """
    experiment = load(path)
    tables = RunTables([], [], [])
    with ProcessPoolExecutor(workers, mp_context=get_context("forkserver")) as pool:
        jobs = [pool.submit(run_one, path, *arguments) for arguments in experiment.runs()]
        for job in as_completed(jobs):
            tables_of_run = job.result()
            for table, rows in zip(tables, tables_of_run, strict=True):
                table += rows
            progress(tables_of_run.runs[0])
    tables.runs.sort(key=lambda r: (r["variant"], r["value"], r["point"], r["seed"]))
    write(out, *tables)
    return tables.runs
