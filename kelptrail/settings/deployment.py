"""A deployment: its types, namespaces, actions, the rules' figures, limits and stand-ins.

Everything the program may know of a place stands in one file; every default is stated here, once.
Times are milliseconds, memory is megabytes.
"""

from __future__ import annotations

import contextlib
import re
from dataclasses import dataclass, field, replace
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from .reader import Form, SourcePosition, read
from .shape import Checker, Group, Many, Shape, Value, number, some, word, yes_no

_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_@ .\-]{0,254}")
_DIGEST = re.compile(r"sha256:[0-9a-fA-F]{64}")
_UUID = re.compile(r"[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}")


@dataclass(frozen=True, slots=True)
class TypeSettings:
    """A namespace type."""

    name: str
    effect: str
    target_ms: float
    timeout_ms: float
    utility: float
    late_share: float
    scope: str
    remembered_ms: float
    hedge: bool = False
    stream_ms: float = 600_000.0
    stall_ms: float = 10_000.0


@dataclass(frozen=True, slots=True)
class KeyHash:
    """A key known by its digest: `sha256:HEX`.  Two may live at once while one takes over from the other."""

    digest: str


@dataclass(frozen=True, slots=True)
class CertificateName:
    """A name in a client's certificate that stands for the namespace."""

    name: str


@dataclass(frozen=True, slots=True)
class NamespaceSettings:
    """A namespace: who calls, and what it may take of the whole."""

    name: str
    uuid: str
    key: str
    allowed_per_s: float
    key_hash: list[KeyHash] = field(default_factory=list)
    certificate: list[CertificateName] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ActionSettings:
    """An action: a name to call, the model that runs it and what a copy takes."""

    name: str
    package: str
    type: str
    model: str
    memory_mb: float
    lanes: int
    load_ms: float
    work_ms: float
    count: int

    @property
    def path(self) -> str:
        """`package/name`, or `name` where there is no package."""
        return f"{self.package}/{self.name}" if self.package else self.name


@dataclass(frozen=True, slots=True)
class RuleSettings:
    """The figures of the five rules."""

    drain_grace_ms: float
    tip: float
    tip_ms: float
    cold_share: float
    cold_ms: float
    orders: bool
    free_loads: float
    load_share: float
    load_span_ms: float


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """What a dispatcher may do, and what it keeps."""

    hall: str
    parallel: bool
    most_sends: int
    cancels: bool
    answer_margin_ms: float
    longest_return_ms: float
    keep_ms: float
    records: int
    records_mb: float
    record_ms: float
    held: int
    held_mb: float
    held_each: int
    second_share: float
    second_most: float


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Limits of the invoke API's door."""

    connections: int
    header_bytes: int
    body_bytes: int
    pipelined: int
    longest_wait_ms: float
    read_ms: float
    write_ms: float
    idle_ms: float
    drain_ms: float
    linger_ms: float
    unread_mb: float
    connects_at_once: float
    connects_per_s: float


@dataclass(frozen=True, slots=True)
class InferenceSettings:
    """Limits of the second front, the inference protocol over gRPC."""

    serve: bool
    port: int
    connections: int
    streams: int
    stream_requests: int
    header_bytes: int
    message_bytes: int
    partial_mb: float
    unread_mb: float
    stream_bytes: int
    read_ms: float
    write_ms: float
    idle_ms: float
    handshake_ms: float
    age_ms: float
    grace_ms: float
    flood_at_once: int
    flood_per_s: float
    connects_at_once: float
    connects_per_s: float


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of the connections to one worker."""

    connections: int
    connect_ms: float
    idle_ms: float
    order_ms: float
    answer_bytes: int


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The stand-in workers."""

    workers: int
    cores: int
    memory_mb: float
    queue: int
    connections: int
    loads: int
    keep_ms: float


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The stand-in model store."""

    fetches: int
    most: int
    fetch_share: float


@dataclass(frozen=True, slots=True)
class KeySettings:
    """A key that peers share; the first of the file is sent with, all are accepted."""

    number: str
    secret: str


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """A dispatcher that takes part: where its datagrams come from, and where others send to reach it."""

    name: str
    udp: str
    via: str

    @property
    def reached_at(self) -> str:
        """The address that peers send to."""
        return self.via or self.udp


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """An instance's part in one virtual router."""

    name: str
    priority: int


@dataclass(frozen=True, slots=True)
class RouterPlan:
    """One virtual router: its front address and who backs it."""

    vrid: str
    address: str
    port: int
    interval_cs: int
    preempt: bool
    accept: bool
    member: list[MemberSettings]
    grpc_port: int = 0


@dataclass(frozen=True, slots=True)
class TrackPlan:
    """What lowers the priority while it fails."""

    name: str
    weight: int
    fall_ms: float
    rise_ms: float
    release: bool


@dataclass(frozen=True, slots=True)
class VrrpSettings:
    """Front addresses that survive their dispatcher's host (RFC 9568)."""

    pseudo_header: bool
    key: list[KeySettings]
    instance: list[InstanceSettings]
    router: list[RouterPlan]
    track: list[TrackPlan]


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """One side's TLS: `front` (both fronts), `to-workers`, or `runners` (the stand-in workers).  Paths count from the
    settings file's folder."""

    side: str
    certificate: str
    key: str
    authority: str
    peers: str
    least: str
    ciphers: str
    warn_days: float


@dataclass(frozen=True, slots=True)
class StormPlan:
    """Damping of storms of clients that come again."""

    damp: bool
    longest_return_ms: float
    most_known: int


@dataclass(frozen=True, slots=True)
class PlannerPlan:
    """Planning ahead.  `within`: a dispatcher brings a planner of its own along."""

    within: bool
    every_ms: float
    valid_ms: float
    down_ms: float
    moves_share: float
    moves_least: int


@dataclass(frozen=True, slots=True)
class PeerPlan:
    """A dispatcher that is known by name; `at`: where its channel listens, `hall`: where it stands, if the worker list
    does not tell."""

    name: str
    at: str
    hall: str


@dataclass(frozen=True, slots=True)
class PeersPlan:
    """The channel between dispatchers."""

    peer: list[PeerPlan]
    beat_ms: float
    silent_ms: float
    connect_ms: float
    most_kb: float
    per_s: float
    copies: int  # further dispatchers that hold each deferred call
    copies_in: str  # where they have it: on "disk" or in "memory"
    copies_short: str  # with fewer: "refuse" new deferred calls, or "promise" them all the same
    copies_kb: float  # a larger body is not promised
    take_ms: float  # an owner that is not heard for so long is taken to be lost
    slow_ms: float  # a holder that does not answer for so long is replaced
    fill_kb_per_s: float  # pace at which a holder is filled up


@dataclass(frozen=True, slots=True)
class LeasesPlan:
    """Leases on fleet-wide tasks; see `kelptrail/lease/messages.py`."""

    voters: tuple[str, ...]
    number: int
    before: tuple[str, ...]
    clock_bound: float
    length_ms: float
    longest_ms: float
    ask_ms: float
    retry_ms: float
    gap_ms: float
    reserve_ms: float
    first_round: int
    usage_ms: float  # how often usage is collected over the fleet; 0: never


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """What outlives a dispatcher's process; needs a state folder."""

    keep: bool
    most_mb: float
    resume_at_once: int
    most_waiting: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """One place, whole and checked."""

    name: str
    halls: tuple[str, ...]
    types: dict[str, TypeSettings]
    namespaces: dict[str, NamespaceSettings]
    actions: dict[str, ActionSettings]  # by path, in order of the file
    rules: RuleSettings
    dispatcher: DispatcherSettings
    front: FrontSettings
    inference: InferenceSettings
    pool: PoolSettings
    fleet: FleetSettings
    store: StoreSettings
    vrrp: VrrpSettings | None = None
    journal: JournalSettings = JournalSettings(True, 1024.0, 64, 100_000)
    tls: dict[str, TlsSettings] = field(default_factory=dict)
    storm: StormPlan = StormPlan(True, 12_000.0, 200_000)
    planner: PlannerPlan = PlannerPlan(False, 5000.0, 60_000.0, 60_000.0, 0.05, 8)
    peers: PeersPlan | None = None
    leases: LeasesPlan | None = None
    folder: Path = Path()  # of the settings file

    @property
    def most_promised(self) -> int:
        """Bytes that a deferred call's body may have, as others must hold it; 0: no bound of theirs."""
        return int(self.peers.copies_kb * 1024) if self.peers is not None and self.peers.copies else 0


def _ms(low: float, high: float, default: Any = ...) -> Value:
    return number(low, high) if default is ... else number(low, high, default=default)


TYPE = Shape(
    {
        "effect": word(("repeatable", "deduplicated", "once-only")),
        "target-ms": _ms(1, 3.6e6),
        "timeout-ms": _ms(1, 3.6e6),
        "utility": number(0.001, 1e6, default=1.0),
        "late-share": number(0, 1, default=0.0),
        "scope": word(("all", "zone", "cell"), "all"),
        "remembered-ms": _ms(0, 3.6e6, 0.0),
        "hedge": yes_no(False),
        "stream-ms": _ms(1, 8.64e7, 600_000.0),
        "stall-ms": _ms(1, 3.6e6, 10_000.0),
    },
    ("name",),
    TypeSettings,
)

NAMESPACE = Shape(
    {
        "uuid": word(),
        "key": word(default=""),
        "allowed-per-s": number(0.001, 1e7, default=1e6),
        "key-hash": Many(Shape({}, ("digest",), KeyHash)),
        "certificate": Many(Shape({}, ("name",), CertificateName)),
    },
    ("name",),
    NamespaceSettings,
)

ACTION = Shape(
    {
        "package": word(default=""),
        "type": word(),
        "model": word(default=""),
        "memory-mb": number(0.001, 1e7),
        "lanes": number(1, 4096, whole=True, default=1),
        "load-ms": _ms(0, 3.6e6, 0.0),
        "work-ms": _ms(0, 3.6e6, 50.0),
        "count": number(1, 100_000, whole=True, default=1),
    },
    ("name",),
    ActionSettings,
)

RULES = Shape(
    {
        "drain-grace-ms": _ms(0, 60_000, 500.0),
        "tip": number(1, 1000, default=3.0),
        "tip-ms": _ms(1, 600_000, 3000.0),
        "cold-share": number(0.01, 1, default=0.2),
        "cold-ms": _ms(0, 600_000, 10_000.0),
        "orders": yes_no(True),
        "free-loads": number(0, 1e6, default=6.0),
        "load-share": number(0, 1000, default=0.3),
        "load-span-ms": _ms(0, 600_000, 10_000.0),
    },
    build=RuleSettings,
)

DISPATCHER = Shape(
    {
        "hall": word(default=""),
        "parallel": yes_no(True),
        "most-sends": number(1, 16, whole=True, default=6),
        "cancels": yes_no(True),
        "answer-margin-ms": _ms(0, 10_000, 100.0),
        "longest-return-ms": _ms(0, 600_000, 1000.0),
        "keep-ms": _ms(100, 3.6e6, 8000.0),
        "records": number(1, 10_000_000, whole=True, default=20_000),
        "records-mb": number(0.001, 100_000, default=64.0),
        "record-ms": _ms(1000, 8.64e7, 600_000.0),
        "held": number(1, 10_000_000, whole=True, default=20_000),
        "held-mb": number(0.001, 100_000, default=256.0),
        "held-each": number(1, 10_000_000, whole=True, default=20_000),
        "second-share": number(0, 16, default=0.2),
        "second-most": number(0, 1_000_000, default=60.0),
    },
    build=DispatcherSettings,
)

FRONT = Shape(
    {
        "connections": number(1, 1_000_000, whole=True, default=10_000),
        "header-bytes": number(256, 1_048_576, whole=True, default=16_384),
        "body-bytes": number(1, 1 << 30, whole=True, default=1_048_576),
        "pipelined": number(1, 10_000, whole=True, default=32),
        "longest-wait-ms": _ms(1, 3.6e6, 60_000.0),
        "read-ms": _ms(10, 600_000, 10_000.0),
        "write-ms": _ms(10, 600_000, 30_000.0),
        "idle-ms": _ms(10, 3.6e6, 75_000.0),
        "drain-ms": _ms(0, 600_000, 10_000.0),
        "linger-ms": _ms(0, 60_000, 1000.0),
        "unread-mb": number(0.001, 100_000, default=256.0),
        "connects-at-once": number(1, 1_000_000, default=2000.0),
        "connects-per-s": number(0, 1_000_000, default=1000.0),
    },
    build=FrontSettings,
)

INFERENCE = Shape(
    {
        "serve": yes_no(True),
        "port": number(0, 65535, whole=True, default=0),
        "connections": number(1, 1_000_000, whole=True, default=10_000),
        "streams": number(1, 1_000_000, whole=True, default=1000),
        "stream-requests": number(1, 100_000, whole=True, default=64),
        "header-bytes": number(256, 1_048_576, whole=True, default=16_384),
        "message-bytes": number(1, 1 << 30, whole=True, default=4_194_304),
        "partial-mb": number(0.001, 100_000, default=256.0),
        "unread-mb": number(0.001, 100_000, default=256.0),
        "stream-bytes": number(1024, 1 << 30, whole=True, default=262_144),
        "read-ms": _ms(10, 600_000, 10_000.0),
        "write-ms": _ms(10, 600_000, 30_000.0),
        "idle-ms": _ms(10, 8.64e7, 300_000.0),
        "handshake-ms": _ms(10, 600_000, 5000.0),
        "age-ms": _ms(0, 8.64e7, 0.0),
        "grace-ms": _ms(0, 3.6e6, 10_000.0),
        "flood-at-once": number(1, 1_000_000, whole=True, default=200),
        "flood-per-s": number(0.01, 1_000_000, default=20.0),
        "connects-at-once": number(1, 1_000_000, default=2000.0),
        "connects-per-s": number(0, 1_000_000, default=1000.0),
    },
    build=InferenceSettings,
)

POOL = Shape(
    {
        "connections": number(1, 100_000, whole=True, default=128),
        "connect-ms": _ms(1, 60_000, 250.0),
        "idle-ms": _ms(10, 3.6e6, 15_000.0),
        "order-ms": _ms(10, 600_000, 10_000.0),
        "answer-bytes": number(64, 1 << 30, whole=True, default=4_194_304),
    },
    build=PoolSettings,
)

FLEET = Shape(
    {
        "workers": number(1, 10_000, whole=True, default=4),
        "cores": number(1, 4096, whole=True, default=4),
        "memory-mb": number(1, 1e8, default=8000.0),
        "queue": number(0, 1_000_000, whole=True, default=64),
        "connections": number(1, 1_000_000, whole=True, default=1024),
        "loads": number(1, 1024, whole=True, default=4),
        "keep-ms": _ms(100, 3.6e6, 8000.0),
    },
    build=FleetSettings,
)

STORE = Shape(
    {
        "fetches": number(1, 100_000, whole=True, default=8),
        "most": number(1, 100_000, whole=True, default=64),
        "fetch-share": number(0, 1, default=0.6),
    },
    build=StoreSettings,
)

VRRP = Shape(
    {
        "pseudo-header": yes_no(True),
        "key": Many(Shape({}, ("number", "secret"), KeySettings)),
        "instance": Many(Shape({"udp": word(), "via": word(default="")}, ("name",), InstanceSettings), 1),
        "router": Many(
            Shape(
                {
                    "address": word(),
                    "port": number(1, 65535, whole=True),
                    "interval-cs": number(1, 4095, whole=True, default=100),
                    "preempt": yes_no(True),
                    "accept": yes_no(True),
                    "grpc-port": number(0, 65535, whole=True, default=0),
                    "member": Many(Shape({"priority": number(1, 255, whole=True)}, ("name",), MemberSettings), 1),
                },
                ("vrid",),
                RouterPlan,
            ),
            1,
        ),
        "track": Many(
            Shape(
                {
                    "weight": number(0, 254, whole=True),
                    "fall-ms": _ms(0, 600_000, 1000.0),
                    "rise-ms": _ms(0, 600_000, 3000.0),
                    "release": yes_no(False),
                },
                ("name",),
                TrackPlan,
            )
        ),
    },
    build=VrrpSettings,
)

JOURNAL = Shape(
    {
        "keep": yes_no(True),
        "most-mb": number(0.1, 1e7, default=1024.0),
        "resume-at-once": number(1, 100_000, whole=True, default=64),
        "most-waiting": number(1, 10_000_000, whole=True, default=100_000),
    },
    build=JournalSettings,
)

PLANNER = Shape(
    {
        "within": yes_no(False),
        "every-ms": _ms(100, 600_000, 5000.0),
        "valid-ms": _ms(1000, 8.64e7, 60_000.0),
        "down-ms": _ms(0, 8.64e7, 60_000.0),
        "moves-share": number(0, 10, default=0.05),
        "moves-least": number(0, 100_000, whole=True, default=8),
    },
    build=PlannerPlan,
)

PEERS = Shape(
    {
        "peer": Many(Shape({"at": word(default=""), "hall": word(default="")}, ("name",), PeerPlan)),
        "beat-ms": _ms(50, 60_000, 500.0),
        "silent-ms": _ms(100, 600_000, 3000.0),
        "connect-ms": _ms(10, 60_000, 1000.0),
        "most-kb": number(1, 1e6, default=1024.0),
        "per-s": number(1, 1e6, default=2000.0),
        "copies": number(0, 4, whole=True, default=0),
        "copies-in": word(("disk", "memory"), "disk"),
        "copies-short": word(("refuse", "promise"), "refuse"),
        "copies-kb": number(1, 1e6, default=256.0),
        "take-ms": _ms(100, 600_000, 1500.0),
        "slow-ms": _ms(50, 600_000, 1500.0),
        "fill-kb-per-s": number(1, 1e7, default=20_000.0),
    },
    build=PeersPlan,
)

LEASES = Shape(
    {
        "voters": some(word()),
        "number": number(1, 1_000_000_000, whole=True, default=1),
        "before": some(word(), ()),
        "clock-bound": number(0, 0.2, default=0.01),
        "length-ms": _ms(100, 600_000, 4000.0),
        "longest-ms": _ms(100, 600_000, 4000.0),
        "ask-ms": _ms(5, 60_000, 250.0),
        "retry-ms": _ms(5, 60_000, 100.0),
        "gap-ms": _ms(0, 60_000, 20.0),
        "reserve-ms": _ms(0, 60_000, 1000.0),
        "first-round": number(0, 1e15, whole=True, default=0),
        "usage-ms": _ms(0, 3.6e6, 5000.0),
    },
    build=LeasesPlan,
)

STORM = Shape(
    {
        "damp": yes_no(True),
        "longest-return-ms": _ms(100, 600_000, 12_000.0),
        "most-known": number(1, 10_000_000, whole=True, default=200_000),
    },
    build=StormPlan,
)

TLS = Shape(
    {
        "certificate": word(default=""),
        "key": word(default=""),
        "authority": word(default=""),
        "peers": word(("none", "asked", "required"), "none"),
        "least": word(("tls-1.2", "tls-1.3"), "tls-1.2"),
        "ciphers": word(default=""),
        "warn-days": number(0, 3650, default=14.0),
    },
    ("side",),
    TlsSettings,
)
SIDES = ("front", "to-workers", "runners")

TRACKED = ("workers", "front", "journal")

DEPLOYMENT = Shape(
    {
        "halls": some(word(), ("hall",)),
        "type": Many(TYPE, 1),
        "namespace": Many(NAMESPACE, 1),
        "action": Many(ACTION, 1),
        "rules": Group(RULES),
        "dispatcher": Group(DISPATCHER),
        "front": Group(FRONT),
        "inference": Group(INFERENCE),
        "pool": Group(POOL),
        "fleet": Group(FLEET),
        "store": Group(STORE),
        "tls": Many(TLS),
        "storm": Group(STORM),
        "planner": Group(PLANNER),
        "vrrp": Group(VRRP, optional=True),
        "peers": Group(PEERS, optional=True),
        "leases": Group(LEASES, optional=True),
        "journal": Group(JOURNAL),
    },
    ("name",),
)


def load(path: str | Path) -> Deployment:
    """Read and check a deployment file.  Raises `SettingsError` with every fault, `OSError` where unreadable."""
    return parse(Path(path).read_text(encoding="utf-8", errors="replace"), str(path))


def parse(text: str, file: str) -> Deployment:
    """Check the text of a deployment file; see `load`."""
    checker = Checker()
    forms = read(text, file)
    start = SourcePosition(file, 1, 1)
    whole = [f for f in forms if isinstance(f, Form) and f.head == "deployment"]
    for item in forms:
        if item not in whole:
            checker.fault(item.place, item, "(deployment NAME ...) and nothing beside it")
    if len(whole) != 1:
        place = whole[1].place if whole else start
        checker.fault(place, f"{len(whole)} deployments", "one (deployment NAME ...)")
        checker.done()
    fields = checker.form(whole[0], DEPLOYMENT)
    _across(checker, whole[0])
    checker.done()
    actions: dict[str, ActionSettings] = {}
    for action in fields["action"]:
        for one in _spread(action):
            actions[one.path] = one
    return Deployment(
        fields["name"],
        fields["halls"],
        {t.name: t for t in fields["type"]},
        {n.name: n for n in fields["namespace"]},
        actions,
        fields["rules"],
        fields["dispatcher"],
        fields["front"],
        fields["inference"],
        fields["pool"],
        fields["fleet"],
        fields["store"],
        fields["vrrp"],
        fields["journal"],
        {t.side: t for t in fields["tls"]},
        fields["storm"],
        fields["planner"],
        fields["peers"],
        fields["leases"],
        Path(file).parent,
    )


def _spread(action: ActionSettings) -> list[ActionSettings]:
    """`(count N)` stands for N actions, NAME-0 to NAME-(N-1), each with a model of its own."""
    if action.count == 1:
        return [replace(action, model=action.model or action.name)]
    return [
        replace(action, name=f"{action.name}-{n}", model=f"{action.model or action.name}-{n}", count=1)
        for n in range(action.count)
    ]


def _across(checker: Checker, whole: Form) -> None:
    """Faults that show only between forms: names twice, types that nothing names, keys shared."""
    named: dict[tuple[str, str], SourcePosition] = {}
    keys: dict[str, SourcePosition] = {}
    parts = [f for f in whole.items if isinstance(f, Form)]
    types = {_first(f) for f in parts if f.head == "type"}
    halls = {str(a) for f in parts if f.head == "halls" for a in f.items[1:]} or {"hall"}
    for form in parts:
        name = _first(form)
        if form.head in ("type", "namespace", "action") and name:
            package = _value(form, "package") if form.head == "action" else None
            full = f"{package[0]}/{name}" if package else name
            if not _NAME.fullmatch(name):
                checker.fault(form.place, name, "a name of letters, digits, _ @ . - that starts with no dot")
            if (form.head, full) in named:
                checker.fault(
                    form.place,
                    f"{form.head} {full} again",
                    f"another name; line {named[form.head, full].line} has it already",
                )
            named[form.head, full] = form.place
        if form.head == "type":
            effect, kept = _value(form, "effect"), _value(form, "remembered-ms")
            if effect and effect[0] == "deduplicated" and not (kept and _number(kept[0]) > 0):
                checker.fault(
                    form.place,
                    f"type {name} without (remembered-ms ...)",
                    "for how long repeats of a deduplicated type are dropped, above 0",
                )
            if effect and effect[0] == "once-only" and (hedge := _value(form, "hedge")) and hedge[0] == "yes":
                checker.fault(hedge[1], "hedge yes", "no: a once-only type is never sent beside a send that is out")
            target, timeout = _value(form, "target-ms"), _value(form, "timeout-ms")
            margin = next(
                (_number(m[0]) for f in parts if f.head == "dispatcher" and (m := _value(f, "answer-margin-ms"))), 100.0
            )
            if timeout and 0 < _number(timeout[0]) <= 2 * margin:
                checker.fault(timeout[1], timeout[0], f"over twice the answer-margin-ms, {margin:g}")
            first, whole_ms = _value(form, "timeout-ms"), _value(form, "stream-ms")
            if first and whole_ms and _number(whole_ms[0]) < _number(first[0]):
                checker.fault(whole_ms[1], whole_ms[0], f"a stream's time of at least the timeout, {first[0]}")
            if target and timeout and _number(timeout[0]) < _number(target[0]):
                checker.fault(timeout[1], timeout[0], f"a timeout of at least the target, {target[0]}")
        if form.head == "action" and (kind := _value(form, "type")) and kind[0] not in types:
            checker.fault(kind[1], kind[0], "a type of this file: " + ", ".join(sorted(types)))
        if form.head == "dispatcher" and (hall := _value(form, "hall")) and hall[0] not in halls:
            checker.fault(hall[1], hall[0], "a hall of this file: " + ", ".join(sorted(halls)))
        if form.head == "tls":
            _across_tls(checker, form, name, named)
        if form.head == "vrrp":
            _across_vrrp(checker, form)
        if (
            form.head == "planner"
            and (within := _value(form, "within"))
            and within[0] == "yes"
            and not any(f.head == "leases" for f in parts)
        ):
            checker.fault(within[1], "within yes", "(leases ...) beside it: planners act under a lease")
        if form.head == "peers" and (copies := _value(form, "copies")) and _number(copies[0]):
            if not any(f.head == "leases" for f in parts):
                checker.fault(copies[1], f"copies {copies[0]}", "(leases ...) beside it: a book is owned under a lease")
            bound, link = _value(form, "copies-kb"), _value(form, "most-kb")
            if (_number(bound[0]) if bound else 256.0) > (_number(link[0]) if link else 1024.0) / 4:
                place = (bound or link or copies)[1]
                checker.fault(place, f"copies-kb {bound[0] if bound else 256}", "a fourth of most-kb at the most")
            if any((keep := _value(f, "keep")) and keep[0] == "no" for f in parts if f.head == "journal"):
                checker.fault(copies[1], f"copies {copies[0]}", "(journal (keep yes)): what is copied is kept")
        if form.head == "leases":
            _across_leases(checker, form, next((f for f in parts if f.head == "peers"), None))
        if form.head == "namespace":
            hashes = [h for h in form.items if isinstance(h, Form) and h.head == "key-hash"]
            if (
                not hashes
                and not _value(form, "key")
                and not any(isinstance(c, Form) and c.head == "certificate" for c in form.items)
            ):
                checker.fault(
                    form.place,
                    f"namespace {name} without credentials",
                    "(key ...), (key-hash ...) or (certificate ...)",
                )
            if len(hashes) > 2:
                checker.fault(hashes[2].place, "a third key-hash", "two at most: the old one and the new one")
            for one in hashes:
                digest = _first(one).strip('"')
                if not _DIGEST.fullmatch(digest):
                    checker.fault(one.place, digest[:12] + "...", "sha256: and 64 hex digits")
        if form.head == "namespace" and (uuid := _value(form, "uuid")):
            if not _UUID.fullmatch(uuid[0]):
                checker.fault(uuid[1], uuid[0], "a UUID, as 8-4-4-4-12 hex digits")
            if uuid[0].lower() in keys:
                checker.fault(uuid[1], uuid[0], f"a UUID of its own; line {keys[uuid[0].lower()].line} has it already")
            keys[uuid[0].lower()] = uuid[1]


def _across_vrrp(checker: Checker, whole: Form) -> None:
    """Instances, routers and keys of a vrrp section beside each other."""
    parts = [f for f in whole.items if isinstance(f, Form)]
    instances = {_first(f): f for f in parts if f.head == "instance"}
    families: dict[str, int] = {}
    for name, form in instances.items():
        for key in ("udp", "via"):
            if (value := _value(form, key)) is None or not value[0]:
                continue
            host, _, port = value[0].rpartition(":")
            try:
                families[name] = ip_address(host.strip("[]")).version
                sound = 0 < int(port) < 65536
            except ValueError:
                sound = False
            if not sound:
                checker.fault(value[1], value[0], f"an address and a port for {key}, such as 127.0.1.1:8112")
    if len(set(families.values())) > 1:
        checker.fault(whole.place, "IPv4 and IPv6 instances", "one family for all instances")
    seen: dict[str, SourcePosition] = {}
    for form in parts:
        name = _first(form)
        if form.head in ("router", "key", "instance", "track"):
            known = seen.setdefault(f"{form.head} {name}", form.place)
            if known is not form.place:
                checker.fault(form.place, f"{form.head} {name} again", f"it once; line {known.line} has it already")
        if form.head == "router":
            if not name.isdigit() or not 1 <= int(name) <= 255:
                checker.fault(form.place, name, "a virtual router identifier from 1 to 255")
            if (address := _value(form, "address")) is not None:
                version: int | None = None
                with contextlib.suppress(ValueError):
                    version = ip_address(address[0]).version
                if version not in families.values():
                    checker.fault(address[1], address[0], "an IP address of the instances' family")
            owners = [
                f
                for f in form.items
                if isinstance(f, Form) and f.head == "member" and (_value(f, "priority") or ("", None))[0] == "255.0"
            ]
            if len(owners) > 1:
                checker.fault(owners[1].place, "a second priority 255", "one owner of the address at most")
            for member in (f for f in form.items if isinstance(f, Form) and f.head == "member"):
                if _first(member) not in instances:
                    checker.fault(
                        member.place, _first(member), "an instance of this section: " + ", ".join(sorted(instances))
                    )
        if form.head == "key" and (not name.isdigit() or not 0 <= int(name) <= 255):
            checker.fault(form.place, name, "a key number from 0 to 255")
        if form.head == "track" and name not in TRACKED:
            checker.fault(form.place, name, "one of " + ", ".join(TRACKED))


def _across_leases(checker: Checker, form: Form, peers: Form | None) -> None:
    """Voters that are known, as many as can have a majority, a set that may follow the one before, and lengths that
    leave something to hold."""
    known = {_first(f) for f in peers.items if isinstance(f, Form) and f.head == "peer"} if peers else set()
    sets: dict[str, list[str]] = {"voters": [], "before": []}
    for item in (i for i in form.items if isinstance(i, Form) and i.head in sets):
        names = [str(a) for a in item.items[1:]]
        sets[str(item.head)] = names
        for atom, name in zip(item.items[1:], names, strict=True):
            if item.head == "voters" and name not in known:
                checker.fault(
                    atom.place,
                    name,
                    "a peer of this file, as (peers (peer NAME)): " + (", ".join(sorted(known)) or "there is none"),
                )
        if len(names) not in (3, 5) or len(set(names)) < len(names):
            checker.fault(item.place, f"{len(names)} {item.head}: {' '.join(names)}", "three or five different names")
    voters, before = sets["voters"], sets["before"]
    stay, most = len(set(voters) & set(before)), max(len(voters), len(before))
    if before and stay < (most - 1 if len(voters) == len(before) else min(len(voters), len(before))):
        checker.fault(
            form.place,
            f"from {' '.join(before)} to {' '.join(voters)}",
            "one voter replaced, or two more, or two fewer, at a time",
        )

    def figure(key: str) -> float:
        field = LEASES.fields[key]
        assert isinstance(field, Value)
        found = _value(form, key)
        return _number(found[0]) if found else float(field.default)

    number, bound = _value(form, "number"), figure("clock-bound")
    if before and figure("number") < 2:
        checker.fault(number[1] if number else form.place, "number 1", "2 at least, where there is a set before")
    if not before and figure("number") > 1:
        checker.fault(
            number[1] if number else form.place,
            f"number {figure('number'):g}",
            "(before NAME ...) beside it: the set before",
        )
    if figure("longest-ms") < figure("length-ms"):
        place = _value(form, "longest-ms") or _value(form, "length-ms") or ("", form.place)
        checker.fault(place[1], f"{figure('longest-ms'):g}", f"at least the length-ms, {figure('length-ms'):g}")
    held, least = figure("length-ms") * (1 - bound) / (1 + bound), 4 * figure("ask-ms")
    if held < least:
        length = _value(form, "length-ms")
        checker.fault(
            length[1] if length else form.place,
            f"{figure('length-ms'):g}",
            f"a length of which at least four times the ask-ms is left, {least:g}: clocks take "
            f"{figure('length-ms') - held:.0f}",
        )


def _across_tls(checker: Checker, form: Form, side: str, named: dict[tuple[str, str], SourcePosition]) -> None:
    """Sides that there are, once each, with what they cannot do without."""
    if side not in SIDES:
        checker.fault(form.place, side, "one of " + ", ".join(SIDES))
    if ("tls", side) in named:
        checker.fault(form.place, f"tls {side} again", f"one; line {named['tls', side].line} has it already")
    named["tls", side] = form.place
    if side in ("front", "runners") and not _value(form, "certificate"):
        checker.fault(form.place, f"tls {side} without a certificate", "(certificate FILE)")
    peers = _value(form, "peers")
    if side == "to-workers" and not _value(form, "authority"):
        checker.fault(form.place, "tls to-workers without an authority", "(authority FILE): who vouches for workers")
    if peers and peers[0] in ("asked", "required") and not _value(form, "authority"):
        checker.fault(peers[1], f"peers {peers[0]}", "(authority FILE) beside it: who vouches for clients")


def _first(form: Form) -> str:
    return str(form.items[1]) if len(form.items) > 1 and not isinstance(form.items[1], Form) else ""


def _value(form: Form, key: str) -> tuple[str, SourcePosition] | None:
    for item in form.items:
        if isinstance(item, Form) and item.head == key and len(item.items) == 2:
            value = item.items[1]
            if not isinstance(value, Form):
                return str(value.value), value.place
    return None


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
