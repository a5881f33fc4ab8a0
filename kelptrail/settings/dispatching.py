"""The figures of the dispatch rules, what a dispatcher may do and keep, and the connections to a worker.

Times are milliseconds, memory is megabytes.  Every default is stated here, once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shape import Shape, milliseconds, number, word, yes_no


@dataclass(frozen=True, slots=True)
class RuleSettings:
    """The figures of the five rules."""

    drain_grace_ms: float
    overload_multiple: float = field(metadata={"key": "tip"})
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

    zone: str = field(metadata={"key": "hall"})
    parallel: bool
    max_attempts: int = field(metadata={"key": "most_sends"})
    cancels: bool
    answer_margin_ms: float
    longest_return_ms: float
    keep_alive_ms: float = field(metadata={"key": "keep_ms"})
    records: int
    records_mb: float
    record_ms: float
    held: int
    held_mb: float
    held_each: int
    second_share: float
    second_most: float


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of the connections to one worker."""

    connections: int
    connect_ms: float
    idle_ms: float
    order_ms: float
    answer_bytes: int


@dataclass(frozen=True, slots=True)
class StormPlan:
    """Damping of storms of clients that come again."""

    damp: bool
    longest_return_ms: float
    most_known: int


RULES = Shape(
    {
        "drain-grace-ms": milliseconds(0, 60_000, 500.0),
        "tip": number(1, 1000, default=3.0),
        "tip-ms": milliseconds(1, 600_000, 3000.0),
        "cold-share": number(0.01, 1, default=0.2),
        "cold-ms": milliseconds(0, 600_000, 10_000.0),
        "orders": yes_no(True),
        "free-loads": number(0, 1e6, default=6.0),
        "load-share": number(0, 1000, default=0.3),
        "load-span-ms": milliseconds(0, 600_000, 10_000.0),
    },
    build=RuleSettings,
)


DISPATCHER = Shape(
    {
        "hall": word(default=""),
        "parallel": yes_no(True),
        "most-sends": number(1, 16, whole=True, default=6),
        "cancels": yes_no(True),
        "answer-margin-ms": milliseconds(0, 10_000, 100.0),
        "longest-return-ms": milliseconds(0, 600_000, 1000.0),
        "keep-ms": milliseconds(100, 3.6e6, 8000.0),
        "records": number(1, 10_000_000, whole=True, default=20_000),
        "records-mb": number(0.001, 100_000, default=64.0),
        "record-ms": milliseconds(1000, 8.64e7, 600_000.0),
        "held": number(1, 10_000_000, whole=True, default=20_000),
        "held-mb": number(0.001, 100_000, default=256.0),
        "held-each": number(1, 10_000_000, whole=True, default=20_000),
        "second-share": number(0, 16, default=0.2),
        "second-most": number(0, 1_000_000, default=60.0),
    },
    build=DispatcherSettings,
)


POOL = Shape(
    {
        "connections": number(1, 100_000, whole=True, default=128),
        "connect-ms": milliseconds(1, 60_000, 250.0),
        "idle-ms": milliseconds(10, 3.6e6, 15_000.0),
        "order-ms": milliseconds(10, 600_000, 10_000.0),
        "answer-bytes": number(64, 1 << 30, whole=True, default=4_194_304),
    },
    build=PoolSettings,
)


STORM = Shape(
    {
        "damp": yes_no(True),
        "longest-return-ms": milliseconds(100, 600_000, 12_000.0),
        "most-known": number(1, 10_000_000, whole=True, default=200_000),
    },
    build=StormPlan,
)
