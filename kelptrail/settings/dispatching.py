"""Limits of the dispatch rules, of one dispatcher, of the connections to a worker, and of overload control.

Times are in milliseconds, sizes in `_mb` are in megabytes.  The shapes below hold the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shape import Shape, milliseconds, number, word, yes_no


@dataclass(frozen=True, slots=True)
class RuleSettings:
    """Limits of the dispatch rules.

    - `drain_grace_ms`: time after the notification that a worker drains in which new work may still start there.
    - `overload_multiple`, `overload_window_ms`: a worker in slow start fails if it receives more work than this
      multiple of its capacity within this time.
    - `slow_start_share`: share of its capacity that a worker has at the beginning of slow start.
    - `slow_start_ms`: length of slow start.
    - `loads_allowed`, `free_loads`, `loads_per_request`, `load_window_ms`: the load ration
      (`kelptrail.dispatch.safety.LoadRation`).
    """

    drain_grace_ms: float
    overload_multiple: float = field(metadata={"key": "tip"})
    overload_window_ms: float = field(metadata={"key": "tip_ms"})
    slow_start_share: float = field(metadata={"key": "cold_share"})
    slow_start_ms: float = field(metadata={"key": "cold_ms"})
    loads_allowed: bool = field(metadata={"key": "orders"})
    free_loads: float
    loads_per_request: float = field(metadata={"key": "load_share"})
    load_window_ms: float = field(metadata={"key": "load_span_ms"})


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """Permissions and limits of one dispatcher.

    - `parallel_attempts`: two attempts of one request may be in flight.
    - `max_attempts`: maximum number of attempts of one request.
    - `can_cancel`: attempts in flight may be cancelled.
    - `answer_margin_ms`: minimum time between the final answer and the client's timeout.
    - `max_retry_after_ms`: longest Retry-After of a request that the dispatch rules reject; overload control has a
      limit of its own (`OverloadConfig`).
    - `keep_alive_ms`: time for which an idle instance stays loaded.
    - `max_records`, `max_records_mb`, `max_record_age_ms`: limits of the activation records with a final answer.
    - `max_in_flight`, `max_in_flight_mb`, `max_in_flight_per_namespace`: limits of the requests without a final answer.
    - `retry_budget_share`: tokens that each completed attempt adds to the retry budget, which limits hedges and the
      retries of overdue or lost attempts.
    - `retry_budget_capacity`: maximum number of tokens in the retry budget.
    """

    zone: str = field(metadata={"key": "hall"})
    parallel_attempts: bool = field(metadata={"key": "parallel"})
    max_attempts: int = field(metadata={"key": "most_sends"})
    can_cancel: bool = field(metadata={"key": "cancels"})
    answer_margin_ms: float
    max_retry_after_ms: float = field(metadata={"key": "longest_return_ms"})
    keep_alive_ms: float = field(metadata={"key": "keep_ms"})
    max_records: int = field(metadata={"key": "records"})
    max_records_mb: float = field(metadata={"key": "records_mb"})
    max_record_age_ms: float = field(metadata={"key": "record_ms"})
    max_in_flight: int = field(metadata={"key": "held"})
    max_in_flight_mb: float = field(metadata={"key": "held_mb"})
    max_in_flight_per_namespace: int = field(metadata={"key": "held_each"})
    retry_budget_share: float = field(metadata={"key": "second_share"})
    retry_budget_capacity: float = field(metadata={"key": "second_most"})


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of the connections to one worker.

    `connections`: their maximum number; `connect_ms`: timeout of connecting; `idle_ms`: maximum idle time of a
    connection; `load_timeout_ms`: timeout of a load order or a probe; `max_answer_bytes`: maximum size of an answer.
    """

    connections: int
    connect_ms: float
    idle_ms: float
    load_timeout_ms: float = field(metadata={"key": "order_ms"})
    max_answer_bytes: int = field(metadata={"key": "answer_bytes"})


@dataclass(frozen=True, slots=True)
class OverloadConfig:
    """Overload control, which damps retry storms.

    `max_retry_after_ms`: longest Retry-After; `max_clients`: maximum number of clients whose retries are tracked.
    """

    enabled: bool = field(metadata={"key": "damp"})
    max_retry_after_ms: float = field(metadata={"key": "longest_return_ms"})
    max_clients: int = field(metadata={"key": "most_known"})


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
        "most-sends": number(1, 16, integer=True, default=6),
        "cancels": yes_no(True),
        "answer-margin-ms": milliseconds(0, 10_000, 100.0),
        "longest-return-ms": milliseconds(0, 600_000, 1000.0),
        "keep-ms": milliseconds(100, 3.6e6, 8000.0),
        "records": number(1, 10_000_000, integer=True, default=20_000),
        "records-mb": number(0.001, 100_000, default=64.0),
        "record-ms": milliseconds(1000, 8.64e7, 600_000.0),
        "held": number(1, 10_000_000, integer=True, default=20_000),
        "held-mb": number(0.001, 100_000, default=256.0),
        "held-each": number(1, 10_000_000, integer=True, default=20_000),
        "second-share": number(0, 16, default=0.2),
        "second-most": number(0, 1_000_000, default=60.0),
    },
    build=DispatcherSettings,
)


POOL = Shape(
    {
        "connections": number(1, 100_000, integer=True, default=128),
        "connect-ms": milliseconds(1, 60_000, 250.0),
        "idle-ms": milliseconds(10, 3.6e6, 15_000.0),
        "order-ms": milliseconds(10, 600_000, 10_000.0),
        "answer-bytes": number(64, 1 << 30, integer=True, default=4_194_304),
    },
    build=PoolSettings,
)


STORM = Shape(
    {
        "damp": yes_no(True),
        "longest-return-ms": milliseconds(100, 600_000, 12_000.0),
        "most-known": number(1, 10_000_000, integer=True, default=200_000),
    },
    build=OverloadConfig,
)
