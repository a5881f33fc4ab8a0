"""Settings of replication, leases, the activation journal, the planner, and the channel between dispatchers.

Times are in milliseconds.  `_kb` is units of 1024 bytes, `_mb` of 10^6 bytes.  The `Shape` constants below contain the
permitted ranges and the defaults.  The subsystem of a class named `...Config` has `...Settings` classes of its own,
which are built from it.  If the settings key of a field differs from the field's name, the field's metadata contains
the key, written with underscores instead of hyphens.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shape import Repeated, Shape, list_of, milliseconds, number, word, yes_no


@dataclass(frozen=True, slots=True)
class PlannerConfig:
    """The planner.

    - `embedded`: whether each dispatcher runs a planner in its process.
    - `interval_ms`: time between two plans.
    - `valid_ms`: time for which a plan is valid after it was made.
    - `scale_down_ms`: time for which demand must stay below a function's planned instances before they are reduced.
    - `new_instances_share`, `new_instances_min`: limit on the new instances in a plan, as a share of the calls expected
      in the next minute; the limit is at least `new_instances_min`.
    """

    embedded: bool = field(metadata={"key": "within"})
    interval_ms: float = field(metadata={"key": "every_ms"})
    valid_ms: float
    scale_down_ms: float = field(metadata={"key": "down_ms"})
    new_instances_share: float = field(metadata={"key": "moves_share"})
    new_instances_min: int = field(metadata={"key": "moves_least"})


@dataclass(frozen=True, slots=True)
class PeerConfig:
    """A dispatcher that is listed in the settings.

    `at`: address of its peer channel; if it is empty, the address in the endpoint list is used.  `zone`: its failure
    zone; a zone in the endpoint list takes precedence.
    """

    name: str
    at: str
    zone: str = field(metadata={"key": "hall"})


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """The channel between dispatchers, and replication of the journals of deferred (non-blocking) calls over it.

    - `heartbeat_ms`: time without output after which a heartbeat is sent.
    - `silence_timeout_ms`: time without input after which a connection is closed.
    - `max_buffer_kb`: limit on the buffered output of a connection and on the size of a message; the window of a
      replication stream is a quarter of it.
    - `max_messages_per_s`: limit on messages accepted from one peer; messages beyond it are dropped.
    - `replicas`: number of further dispatchers that store each deferred call.
    - `replica_storage`: where they store it, "disk" or "memory".
    - `under_replication_policy`: whether new deferred calls are rejected ("refuse") or accepted ("promise") while
      fewer than `replicas` replicas are in sync.
    - `max_replicated_kb`: a deferred call with a larger body is rejected, and a larger result is replaced by an error
      text.
    - `primary_timeout_ms`: time without a message from a primary after which another dispatcher takes over its
      journals.
    - `replica_timeout_ms`: time without an answer after which a replica is replaced.
    - `repair_kb_per_s`: rate limit on the entries sent to bring one replica up to date.
    """

    peer: list[PeerConfig]
    heartbeat_ms: float = field(metadata={"key": "beat_ms"})
    silence_timeout_ms: float = field(metadata={"key": "silent_ms"})
    connect_timeout_ms: float = field(metadata={"key": "connect_ms"})
    max_buffer_kb: float = field(metadata={"key": "most_kb"})
    max_messages_per_s: float = field(metadata={"key": "per_s"})
    replicas: int = field(metadata={"key": "copies"})
    replica_storage: str = field(metadata={"key": "copies_in"})
    under_replication_policy: str = field(metadata={"key": "copies_short"})
    max_replicated_kb: float = field(metadata={"key": "copies_kb"})
    primary_timeout_ms: float = field(metadata={"key": "take_ms"})
    replica_timeout_ms: float = field(metadata={"key": "slow_ms"})
    repair_kb_per_s: float = field(metadata={"key": "fill_kb_per_s"})


@dataclass(frozen=True, slots=True)
class LeasesConfig:
    """Leases on fleet-wide tasks.

    `length_ms`: length of the leases that dispatchers request; `usage_interval_ms`: interval at which the call
    counts of all dispatchers are collected (`kelptrail/service/usage.py`), or 0 for never.  The other fields are those
    of `LeaseSettings` in `kelptrail/lease/messages.py`.
    """

    acceptors: tuple[str, ...] = field(metadata={"key": "voters"})
    config_number: int = field(metadata={"key": "number"})
    previous_acceptors: tuple[str, ...] = field(metadata={"key": "before"})
    clock_rate_bound: float = field(metadata={"key": "clock_bound"})
    length_ms: float
    max_lease_ms: float = field(metadata={"key": "longest_ms"})
    request_timeout_ms: float = field(metadata={"key": "ask_ms"})
    retry_pause_ms: float = field(metadata={"key": "retry_ms"})
    queue_spacing_ms: float = field(metadata={"key": "gap_ms"})
    transfer_reservation_ms: float = field(metadata={"key": "reserve_ms"})
    round_floor: int = field(metadata={"key": "first_round"})  # tokens need a round above it
    usage_interval_ms: float = field(metadata={"key": "usage_ms"})


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """The activation journal, which survives a restart of the dispatcher.  It is kept only with a state folder.

    `max_mb`: size limit of the file; `max_resumed`: number of recovered activations resumed at the same time;
    `max_pending_entries`: limit on entries that wait to be written.
    """

    enabled: bool = field(metadata={"key": "keep"})
    max_mb: float = field(metadata={"key": "most_mb"})
    max_resumed: int = field(metadata={"key": "resume_at_once"})
    max_pending_entries: int = field(metadata={"key": "most_waiting"})


PLANNER = Shape(
    {
        "within": yes_no(False),
        "every-ms": milliseconds(100, 600_000, 5000.0),
        "valid-ms": milliseconds(1000, 8.64e7, 60_000.0),
        "down-ms": milliseconds(0, 8.64e7, 60_000.0),
        "moves-share": number(0, 10, default=0.05),
        "moves-least": number(0, 100_000, integer=True, default=8),
    },
    build=PlannerConfig,
)


PEERS = Shape(
    {
        "peer": Repeated(Shape({"at": word(default=""), "hall": word(default="")}, ("name",), PeerConfig)),
        "beat-ms": milliseconds(50, 60_000, 500.0),
        "silent-ms": milliseconds(100, 600_000, 3000.0),
        "connect-ms": milliseconds(10, 60_000, 1000.0),
        "most-kb": number(1, 1e6, default=1024.0),
        "per-s": number(1, 1e6, default=2000.0),
        "copies": number(0, 4, integer=True, default=0),
        "copies-in": word(("disk", "memory"), "disk"),
        "copies-short": word(("refuse", "promise"), "refuse"),
        "copies-kb": number(1, 1e6, default=256.0),
        "take-ms": milliseconds(100, 600_000, 1500.0),
        "slow-ms": milliseconds(50, 600_000, 1500.0),
        "fill-kb-per-s": number(1, 1e7, default=20_000.0),
    },
    build=PeersConfig,
)


LEASES = Shape(
    {
        "voters": list_of(word()),
        "number": number(1, 1_000_000_000, integer=True, default=1),
        "before": list_of(word(), ()),
        "clock-bound": number(0, 0.2, default=0.01),
        "length-ms": milliseconds(100, 600_000, 4000.0),
        "longest-ms": milliseconds(100, 600_000, 4000.0),
        "ask-ms": milliseconds(5, 60_000, 250.0),
        "retry-ms": milliseconds(5, 60_000, 100.0),
        "gap-ms": milliseconds(0, 60_000, 20.0),
        "reserve-ms": milliseconds(0, 60_000, 1000.0),
        "first-round": number(0, 1e15, integer=True, default=0),
        "usage-ms": milliseconds(0, 3.6e6, 5000.0),
    },
    build=LeasesConfig,
)


JOURNAL = Shape(
    {
        "keep": yes_no(True),
        "most-mb": number(0.1, 1e7, default=1024.0),
        "resume-at-once": number(1, 100_000, integer=True, default=64),
        "most-waiting": number(1, 10_000_000, integer=True, default=100_000),
    },
    build=JournalSettings,
)
