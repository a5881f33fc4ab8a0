"""The channel between dispatchers, replication, leases, the activation journal and the planner.

Times are milliseconds, memory is megabytes.  Every default is stated here, once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shape import Many, Shape, milliseconds, number, some, word, yes_no


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
    zone: str = field(metadata={"key": "hall"})


@dataclass(frozen=True, slots=True)
class PeersPlan:
    """The channel between dispatchers."""

    peer: list[PeerPlan]
    beat_ms: float
    silent_ms: float
    connect_ms: float
    most_kb: float
    per_s: float
    replicas: int = field(metadata={"key": "copies"})  # further dispatchers that hold each deferred call
    copies_in: str  # where they have it: on "disk" or in "memory"
    copies_short: str  # with fewer: "refuse" new deferred calls, or "promise" them all the same
    copies_kb: float  # a larger body is not promised
    take_ms: float  # an owner that is not heard for so long is taken to be lost
    slow_ms: float  # a holder that does not answer for so long is replaced
    fill_kb_per_s: float  # pace at which a holder is filled up


@dataclass(frozen=True, slots=True)
class LeasesPlan:
    """Leases on fleet-wide tasks; see `kelptrail/lease/messages.py`."""

    acceptors: tuple[str, ...] = field(metadata={"key": "voters"})
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


PLANNER = Shape(
    {
        "within": yes_no(False),
        "every-ms": milliseconds(100, 600_000, 5000.0),
        "valid-ms": milliseconds(1000, 8.64e7, 60_000.0),
        "down-ms": milliseconds(0, 8.64e7, 60_000.0),
        "moves-share": number(0, 10, default=0.05),
        "moves-least": number(0, 100_000, whole=True, default=8),
    },
    build=PlannerPlan,
)


PEERS = Shape(
    {
        "peer": Many(Shape({"at": word(default=""), "hall": word(default="")}, ("name",), PeerPlan)),
        "beat-ms": milliseconds(50, 60_000, 500.0),
        "silent-ms": milliseconds(100, 600_000, 3000.0),
        "connect-ms": milliseconds(10, 60_000, 1000.0),
        "most-kb": number(1, 1e6, default=1024.0),
        "per-s": number(1, 1e6, default=2000.0),
        "copies": number(0, 4, whole=True, default=0),
        "copies-in": word(("disk", "memory"), "disk"),
        "copies-short": word(("refuse", "promise"), "refuse"),
        "copies-kb": number(1, 1e6, default=256.0),
        "take-ms": milliseconds(100, 600_000, 1500.0),
        "slow-ms": milliseconds(50, 600_000, 1500.0),
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
        "length-ms": milliseconds(100, 600_000, 4000.0),
        "longest-ms": milliseconds(100, 600_000, 4000.0),
        "ask-ms": milliseconds(5, 60_000, 250.0),
        "retry-ms": milliseconds(5, 60_000, 100.0),
        "gap-ms": milliseconds(0, 60_000, 20.0),
        "reserve-ms": milliseconds(0, 60_000, 1000.0),
        "first-round": number(0, 1e15, whole=True, default=0),
        "usage-ms": milliseconds(0, 3.6e6, 5000.0),
    },
    build=LeasesPlan,
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
