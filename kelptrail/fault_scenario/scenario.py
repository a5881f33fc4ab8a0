"""A fault scenario as an S-expression: its length, processes, load and faults.  Times are seconds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from pathlib import Path
from typing import Any

from kelptrail.load.plan import LOAD, Load, check_load
from kelptrail.settings.reader import Atom, Form, SourcePosition, read
from kelptrail.settings.shape import Checker, Repeated, Shape, list_of, number, word, yes_no


class FaultKind(StrEnum):
    """Kinds of faults; the values are the words of scenario files and of captures."""

    # At workers.
    STALL = "stall"
    CUT = "cut"
    FAIL_FAST = "fail-fast"
    FAIL_TYPE = "fail-type"
    HANG = "hang"
    SILENT = "silent"
    PAUSE = "pause"
    MODELS_VOIDED = "models-voided"
    HEAVY_WORK = "heavy-work"
    HANDSHAKES_SLOW = "handshakes-slow"
    ANSWERS_LOST = "answers-lost"
    ANSWERS_TWICE = "answers-twice"
    ANSWERS_LATE = "answers-late"
    CRASH = "crash"
    RESTART_COLD = "restart-cold"
    ROLLING_DEPLOY = "rolling-deploy"
    DRAIN = "drain"

    # At the model store.
    STORE_SLOW = "store-slow"
    STORE_REFUSE = "store-refuse"
    STORE_STOPPED = "store-stopped"

    # At disks of dispatchers.
    DISK_SLOW = "disk-slow"
    DISK_FAILS = "disk-fails"
    DISK_FULL = "disk-full"

    # At planners.
    KILL_PLANNERS = "kill-planners"
    PLANNERS_SLOW = "planners-slow"
    PLANNERS_FORGET = "planners-forget"
    PLANNERS_WRONG = "planners-wrong"
    PAUSE_PLANNERS = "pause-planners"
    CUT_PLANNERS = "cut-planners"

    # At dispatchers that have peers, and between them.
    CUT_PEERS = "cut-peers"
    SLOW_PEERS = "slow-peers"
    RESET_PEERS = "reset-peers"
    PAUSE_DISPATCHERS = "pause-dispatchers"
    LOSE_MACHINES = "lose-machines"
    CLOCK_RATE = "clock-rate"
    CLOCK_STEP = "clock-step"

    # At dispatchers, the endpoint list and connections.
    KILL_DISPATCHERS = "kill-dispatchers"
    LIST_LATE = "list-late"
    LIST_NAMES_NOBODY = "list-names-nobody"
    IDLE_CONNECTIONS = "idle-connections"
    SLOW_READERS = "slow-readers"


WORKER_FAULTS = (
    FaultKind.STALL,
    FaultKind.CUT,
    FaultKind.FAIL_FAST,
    FaultKind.FAIL_TYPE,
    FaultKind.HANG,
    FaultKind.SILENT,
    FaultKind.PAUSE,
    FaultKind.MODELS_VOIDED,
    FaultKind.HEAVY_WORK,
    FaultKind.HANDSHAKES_SLOW,
    FaultKind.ANSWERS_LOST,
    FaultKind.ANSWERS_TWICE,
    FaultKind.ANSWERS_LATE,
    FaultKind.CRASH,
    FaultKind.RESTART_COLD,
    FaultKind.ROLLING_DEPLOY,
    FaultKind.DRAIN,
)
STORE_FAULTS = (
    FaultKind.STORE_SLOW,
    FaultKind.STORE_REFUSE,
    FaultKind.STORE_STOPPED,
)
DISK_FAULTS = (
    FaultKind.DISK_SLOW,
    FaultKind.DISK_FAILS,
    FaultKind.DISK_FULL,
)
PLANNER_FAULTS = (
    FaultKind.KILL_PLANNERS,
    FaultKind.PLANNERS_SLOW,
    FaultKind.PLANNERS_FORGET,
    FaultKind.PLANNERS_WRONG,
    FaultKind.PAUSE_PLANNERS,
    FaultKind.CUT_PLANNERS,
)
PEER_FAULTS = (
    FaultKind.CUT_PEERS,
    FaultKind.SLOW_PEERS,
    FaultKind.RESET_PEERS,
    FaultKind.PAUSE_DISPATCHERS,
    FaultKind.LOSE_MACHINES,
    FaultKind.CLOCK_RATE,
    FaultKind.CLOCK_STEP,
)
KINDS = tuple(FaultKind)
RENAMED_FAULT_KEYS = {"for": "duration", "hall": "zone"}
MIN_PEERS = 5  # dispatchers, in different zones, of a scenario with faults of peers


class ScenarioError(ValueError):
    """A scenario that this deployment cannot run."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its kind, when it begins and how long it lasts (seconds), and which processes it hits.

    `key` in a field's metadata: its name in `(set trouble.KEY VALUE)` of an experiment, where that differs.
    """

    kind: str
    at: float
    duration: float = field(metadata={"key": "last"})
    part: float  # share of the processes that it can hit
    share: float
    factor: float
    ms: float
    type: str
    count: int
    one_way: bool
    zone: str = field(metadata={"key": "hall"})  # all dispatchers of this zone are hit, in place of a part


def _fault_of(kind: str, **settings: Any) -> Fault:
    fields = {RENAMED_FAULT_KEYS.get(key, key): value for key, value in settings.items()}
    return Fault(kind, **fields)


@dataclass(frozen=True, slots=True)
class FaultScenario:
    """A scenario as read from its file."""

    name: str
    deployment: str  # path of its file
    seconds: float
    workers: int
    dispatchers: int
    client_processes: int
    planners: int
    solver: str
    load: list[Load]
    faults: list[Fault] = field(metadata={"key": "trouble"})
    tasks: tuple[str, ...] = ()  # all dispatchers acquire them as leases and use them at the side-effect log

    @property
    def last_fault_ends(self) -> float:
        """When the last fault is over."""
        return max((fault.at + fault.duration for fault in self.faults), default=0.0)


def _scenario_of(name: str, **settings: Any) -> FaultScenario:
    faults = settings.pop("trouble")
    return FaultScenario(name, faults=faults, **settings)


FAULT = Shape(
    {
        "at": number(0, 86_400),
        "for": number(0, 86_400, default=5.0),
        "part": number(0, 1, default=0.2),
        "share": number(0, 1, default=1.0),
        "factor": number(0.1, 1000, default=5.0),
        "ms": number(-86_400_000, 86_400_000, default=500.0),
        "type": word(default=""),
        "count": number(1, 100_000, integer=True, default=100),
        "one-way": yes_no(False),
        "hall": word(default=""),
    },
    ("kind",),
    build=_fault_of,
)

SCENARIO = Shape(
    {
        "deployment": word(),
        "seconds": number(1, 86_400),
        "workers": number(1, 10_000, integer=True, default=8),
        "dispatchers": number(1, 1000, integer=True, default=3),
        "client-processes": number(1, 64, integer=True, default=1),
        "planners": number(0, 16, integer=True, default=0),
        "solver": word(("program", "greedy"), "program"),
        "tasks": list_of(word(), ()),
        "load": Repeated(LOAD, 1),
        "trouble": Repeated(FAULT),
    },
    ("name",),
    build=_scenario_of,
)


def load_scenario(path: str | Path) -> FaultScenario:
    """Read and check a scenario.  Raises `SettingsError` with every fault, `OSError` where unreadable."""
    text = Path(path).read_text(encoding="utf-8", errors="replace")
    checker = Checker()
    root = _root_form(checker, read(text, str(path)), str(path))
    _check_kinds(checker, root)
    scenario: FaultScenario = checker.form(root, SCENARIO)
    checker.raise_faults()
    for form, load in zip(_forms(root, "load"), scenario.load, strict=True):
        check_load(checker, form.position, load, Path(path).parent)
    _check_faults(checker, root, scenario)
    checker.raise_faults()
    deployment = Path(scenario.deployment)
    if not deployment.is_absolute():
        deployment = Path(path).parent / deployment
    return replace(scenario, deployment=str(deployment))


def _root_form(checker: Checker, forms: Sequence[Atom | Form], path: str) -> Form:
    """The one `(bad-day NAME ...)` of a file.  Raises `SettingsError` where there is another or none."""
    if len(forms) == 1 and isinstance(forms[0], Form) and forms[0].head == "bad-day":
        return forms[0]
    checker.fault(SourcePosition(path, 1, 1), f"{len(forms)} expressions", "one (bad-day NAME ...)")
    checker.raise_faults()
    raise AssertionError("unreachable: done() raises after a fault")


def _forms(root: Form, head: str) -> list[Form]:
    return [item for item in root.items if isinstance(item, Form) and item.head == head]


def _check_kinds(checker: Checker, root: Form) -> None:
    for form in _forms(root, "trouble"):
        if len(form.items) > 1 and str(form.items[1]) not in KINDS:
            kind = form.items[1]
            checker.fault(kind.position, kind, "a kind of trouble: " + ", ".join(KINDS))


def _check_faults(checker: Checker, root: Form, scenario: FaultScenario) -> None:
    """Check what concerns several fields of a fault, or the scenario with its faults."""
    for form, fault in zip(_forms(root, "trouble"), scenario.faults, strict=True):
        if fault.ms < 0 and fault.kind != FaultKind.CLOCK_STEP:
            checker.fault(form.position, f"{fault.ms:g} ms", "0 or more; only clock-step goes back")
    if scenario.dispatchers >= MIN_PEERS:
        return
    for form in _forms(root, "trouble"):
        if str(form.items[1]) in PEER_FAULTS:
            checker.fault(
                form.position,
                f"{form.items[1]} among {scenario.dispatchers} dispatchers",
                f"{MIN_PEERS} dispatchers at least, in different halls",
            )
