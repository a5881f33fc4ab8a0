"""Fault scenarios, read from S-expressions: length, processes, load and faults.  Times are in seconds."""

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
    """Kinds of faults.  The values are written in scenario files and captures."""

    # Faults of workers; `WorkerFault` of the emulator describes those without a remark.
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
    ROLLING_DEPLOY = "rolling-deploy"  # Workers are drained, stopped and restarted, one after the other
    DRAIN = "drain"  # Workers are drained and stopped, one after the other

    # Faults of the model store.
    STORE_SLOW = "store-slow"
    STORE_REFUSE = "store-refuse"
    STORE_STOPPED = "store-stopped"

    # Faults of dispatchers' disks.
    DISK_SLOW = "disk-slow"
    DISK_FAILS = "disk-fails"
    DISK_FULL = "disk-full"

    # Faults of planners.
    KILL_PLANNERS = "kill-planners"
    PLANNERS_SLOW = "planners-slow"
    PLANNERS_FORGET = "planners-forget"  # Kills planners, and restarts them without their saved state
    PLANNERS_WRONG = "planners-wrong"  # Plans are based on request rates that are wrong by a factor
    PAUSE_PLANNERS = "pause-planners"
    CUT_PLANNERS = "cut-planners"  # Links of planners are cut

    # Faults of dispatchers that have peers, and of the links between peers.
    CUT_PEERS = "cut-peers"  # Links are cut
    SLOW_PEERS = "slow-peers"  # Messages on links are delayed
    RESET_PEERS = "reset-peers"  # Connections between peers are reset
    PAUSE_DISPATCHERS = "pause-dispatchers"
    LOSE_MACHINES = "lose-machines"  # Dispatchers are killed and their disks removed
    CLOCK_RATE = "clock-rate"  # Clocks run too fast or too slow by a factor
    CLOCK_STEP = "clock-step"  # Clocks are set forward or back

    # Faults of dispatchers, the endpoint list and connections.
    KILL_DISPATCHERS = "kill-dispatchers"
    LIST_LATE = "list-late"  # Changes of workers' entries are delayed
    LIST_UNREACHABLE_WORKER = "list-names-nobody"  # The list contains a worker at whose address no process listens
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
# Key in a scenario file -> field of `Fault`, where they differ.
FIELD_OF_FAULT_KEY = {"for": "duration", "hall": "zone"}
# `runner.py` also checks that the deployment has more than one zone.
MIN_DISPATCHERS_FOR_PEER_FAULTS = 5


class ScenarioError(ValueError):
    """Raised for a scenario that its deployment does not support."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its kind, when it begins and how long it lasts (in seconds), and which processes it affects.

    `share` (of requests, instances, messages or connections), `factor`, `ms`, `type`, `count` and `one_way` are
    settings that only some kinds use.  `(set trouble.KEY VALUE)` of an experiment names a field by the `key` in its
    metadata, or else by its name.
    """

    kind: str
    at: float
    duration: float = field(metadata={"key": "last"})
    part: float  # Share of the eligible processes that the fault affects
    share: float
    factor: float
    ms: float
    type: str
    count: int
    one_way: bool
    # A fault of dispatchers affects all those of this zone instead of `part`; the simulation ignores it.
    zone: str = field(metadata={"key": "hall"})


def _make_fault(kind: str, **settings: Any) -> Fault:
    fields = {FIELD_OF_FAULT_KEY.get(key, key): value for key, value in settings.items()}
    return Fault(kind, **fields)


@dataclass(frozen=True, slots=True)
class FaultScenario:
    """A fault scenario, as read from its file."""

    name: str
    deployment: str  # Path of the deployment file
    seconds: float
    workers: int
    dispatchers: int
    client_processes: int
    planners: int
    solver: str
    load: list[Load]
    faults: list[Fault] = field(metadata={"key": "trouble"})
    # Tasks whose leases all dispatchers try to acquire; the holder uses its lease at the side-effect log.
    tasks: tuple[str, ...] = ()

    @property
    def last_fault_ends(self) -> float:
        """The time at which the last fault ends, in seconds."""
        return max((fault.at + fault.duration for fault in self.faults), default=0.0)


def _make_scenario(name: str, **settings: Any) -> FaultScenario:
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
    build=_make_fault,
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
    build=_make_scenario,
)


def load_scenario(path: str | Path) -> FaultScenario:
    """Read and check a scenario file.

    Raises `SettingsError` with all mistakes in the file, or `OSError` if it cannot be read.
    """
    text = Path(path).read_text(encoding="utf-8", errors="replace")
    checker = Checker()
    root = _root_form(checker, read(text, str(path)), str(path))
    _check_kinds(checker, root)
    scenario: FaultScenario = checker.form(root, SCENARIO)
    checker.raise_faults()
    for form, load in zip(_forms_with_head(root, "load"), scenario.load, strict=True):
        check_load(checker, form.position, load, Path(path).parent)
    _check_faults(checker, root, scenario)
    checker.raise_faults()
    deployment = Path(scenario.deployment)
    if not deployment.is_absolute():
        deployment = Path(path).parent / deployment
    return replace(scenario, deployment=str(deployment))


def _root_form(checker: Checker, forms: Sequence[Atom | Form], path: str) -> Form:
    """Return the `(bad-day NAME ...)` of a file.  Raises `SettingsError` if it is not the only expression."""
    if len(forms) == 1 and isinstance(forms[0], Form) and forms[0].head == "bad-day":
        return forms[0]
    checker.fault(SourcePosition(path, 1, 1), f"{len(forms)} expressions", "one (bad-day NAME ...)")
    checker.raise_faults()
    raise AssertionError("unreachable: raise_faults() raises after a fault")


def _forms_with_head(root: Form, head: str) -> list[Form]:
    return [item for item in root.items if isinstance(item, Form) and item.head == head]


def _check_kinds(checker: Checker, root: Form) -> None:
    for form in _forms_with_head(root, "trouble"):
        if len(form.items) > 1 and str(form.items[1]) not in KINDS:
            kind = form.items[1]
            checker.fault(kind.position, kind, "a kind of trouble: " + ", ".join(KINDS))


def _check_faults(checker: Checker, root: Form, scenario: FaultScenario) -> None:
    """Check constraints that involve several fields of a fault, or the scenario and its faults together.

    Messages have the words of scenario files: "trouble" is a fault, "hall" a zone.
    """
    for form, fault in zip(_forms_with_head(root, "trouble"), scenario.faults, strict=True):
        if fault.ms < 0 and fault.kind != FaultKind.CLOCK_STEP:
            checker.fault(form.position, f"{fault.ms:g} ms", "0 or more; only clock-step may be negative")
    if scenario.dispatchers >= MIN_DISPATCHERS_FOR_PEER_FAULTS:
        return
    for form in _forms_with_head(root, "trouble"):
        if str(form.items[1]) in PEER_FAULTS:
            checker.fault(
                form.position,
                f"{form.items[1]} among {scenario.dispatchers} dispatchers",
                f"{MIN_DISPATCHERS_FOR_PEER_FAULTS} dispatchers at least, in different halls",
            )
