"""A bad day as an S-expression: how long, how many, what load, which troubles and when.  Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from pathlib import Path

from kelptrail.load.plan import LOAD, Load, check_load
from kelptrail.settings.reader import Form, SourcePosition, read
from kelptrail.settings.shape import Checker, Many, Shape, number, some, word, yes_no

ON_WORKERS = (
    "stall",
    "cut",
    "fail-fast",
    "fail-type",
    "hang",
    "silent",
    "pause",
    "models-voided",
    "heavy-work",
    "handshakes-slow",
    "answers-lost",
    "answers-twice",
    "answers-late",
    "crash",
    "restart-cold",
    "rolling-deploy",
    "drain",
)
ON_STORE = ("store-slow", "store-refuse", "store-stopped")
ON_DISKS = ("disk-slow", "disk-fails", "disk-full")
ON_PLANNERS = ("kill-planners", "planners-slow", "planners-forget", "planners-wrong", "pause-planners", "cut-planners")
ON_PEERS = ("cut-peers", "slow-peers", "reset-peers", "pause-dispatchers", "lose-machines", "clock-rate", "clock-step")
LEAST_PEERS = 5  # dispatchers, in different halls, of a script with such troubles
OTHERS = ("kill-dispatchers", "list-late", "list-names-nobody", "idle-connections", "slow-readers")
KINDS = ON_WORKERS + ON_STORE + ON_DISKS + ON_PLANNERS + ON_PEERS + OTHERS


@dataclass(frozen=True, slots=True)
class Fault:
    """One trouble: its kind, from when, for how long, on which part of those it can befall."""

    kind: str
    at: float
    last: float
    part: float
    share: float
    factor: float
    ms: float
    type: str
    count: int
    one_way: bool
    hall: str  # whose dispatchers it befalls, in place of a part

    def __init__(self, kind: str, at: float, **rest: object) -> None:
        for name, value in {"kind": kind, "at": at, "last": rest.pop("for"), **rest}.items():
            object.__setattr__(self, name, value)

    def as_kind(self, kind: str) -> Fault:
        """The same of another kind."""
        rest: dict[str, object] = {
            f.name: getattr(self, f.name) for f in fields(self) if f.name not in ("kind", "last")
        }
        return Fault(kind, **rest | {"for": self.last})  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class FaultScenario:
    """A whole script."""

    name: str
    deployment: str  # path of its file
    seconds: float
    workers: int
    dispatchers: int
    client_processes: int
    planners: int
    solver: str
    load: list[Load]
    trouble: list[Fault]
    tasks: tuple[str, ...] = ()  # wanted by all dispatchers under leases, acted under at the witness

    @property
    def ends(self) -> float:
        """When the last trouble is over."""
        return max((t.at + t.last for t in self.trouble), default=0.0)


TROUBLE = Shape(
    {
        "at": number(0, 86_400),
        "for": number(0, 86_400, default=5.0),
        "part": number(0, 1, default=0.2),
        "share": number(0, 1, default=1.0),
        "factor": number(0.1, 1000, default=5.0),
        "ms": number(-86_400_000, 86_400_000, default=500.0),
        "type": word(default=""),
        "count": number(1, 100_000, whole=True, default=100),
        "one-way": yes_no(False),
        "hall": word(default=""),
    },
    ("kind",),
    build=Fault,
)

BAD_DAY = Shape(
    {
        "deployment": word(),
        "seconds": number(1, 86_400),
        "workers": number(1, 10_000, whole=True, default=8),
        "dispatchers": number(1, 1000, whole=True, default=3),
        "client-processes": number(1, 64, whole=True, default=1),
        "planners": number(0, 16, whole=True, default=0),
        "solver": word(("program", "greedy"), "program"),
        "tasks": some(word(), ()),
        "load": Many(LOAD, 1),
        "trouble": Many(TROUBLE),
    },
    ("name",),
    FaultScenario,
)


def load(path: str | Path) -> FaultScenario:
    """Read and check a script.  Raises `SettingsError` with every fault, `OSError` where unreadable."""
    text = Path(path).read_text(encoding="utf-8", errors="replace")
    checker = Checker()
    forms = read(text, str(path))
    if len(forms) != 1 or not isinstance(forms[0], Form) or forms[0].head != "bad-day":
        checker.fault(SourcePosition(str(path), 1, 1), f"{len(forms)} expressions", "one (bad-day NAME ...)")
        checker.done()
    whole = forms[0]
    assert isinstance(whole, Form)
    for item in whole.items:
        if isinstance(item, Form) and item.head == "trouble" and len(item.items) > 1:
            kind = item.items[1]
            if str(kind) not in KINDS:
                checker.fault(kind.place, kind, "a kind of trouble: " + ", ".join(KINDS))
    day = checker.form(whole, BAD_DAY)
    checker.done()
    made: FaultScenario = day
    for form, one in zip((i for i in whole.items if isinstance(i, Form) and i.head == "load"), made.load, strict=True):
        check_load(checker, form.place, one, Path(path).parent)
    for form, trouble in zip(
        (i for i in whole.items if isinstance(i, Form) and i.head == "trouble"), made.trouble, strict=True
    ):
        if trouble.ms < 0 and trouble.kind != "clock-step":
            checker.fault(form.place, f"{trouble.ms:g} ms", "0 or more; only clock-step goes back")
    if made.dispatchers < LEAST_PEERS:
        for form in (i for i in whole.items if isinstance(i, Form) and i.head == "trouble"):
            if str(form.items[1]) in ON_PEERS:
                checker.fault(
                    form.place,
                    f"{form.items[1]} among {made.dispatchers} dispatchers",
                    f"{LEAST_PEERS} dispatchers at least, in different halls",
                )
    checker.done()
    file = Path(made.deployment)
    if not file.is_absolute():
        file = Path(path).parent / file
    return replace(made, deployment=str(file))
