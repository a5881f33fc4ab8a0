"""Request classes, namespaces and actions.

Times are in milliseconds, sizes in `_mb` are in megabytes.  The shapes below hold the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shape import Repeated, Shape, milliseconds, number, word, yes_no


@dataclass(frozen=True, slots=True)
class TypeSettings:
    """A request class.

    - `effect`: idempotency of its requests: "repeatable", "deduplicated" or "once-only".
    - `timeout_ms`: maximum time from the receipt of a request to its answer, or to the beginning of a streamed one.
    - `priority_weight`: priority relative to the other classes.
    - `late_value_share`: has no effect.
    - `deduplication_scope`: the workers that share deduplication: "all", or those of a "zone" or a "cell".
    - `deduplication_window_ms`: time within which these workers drop a repeated request.
    - `hedge`: a second attempt may start while the first takes unusually long.
    - `max_stream_ms`: maximum time from the receipt of a streamed request to its end.
    - `stream_stall_ms`: maximum time between two parts of a streamed answer while the client reads.
    """

    name: str
    effect: str
    latency_objective_ms: float = field(metadata={"key": "target_ms"})
    timeout_ms: float
    priority_weight: float = field(metadata={"key": "utility"})
    late_value_share: float = field(metadata={"key": "late_share"})
    deduplication_scope: str = field(metadata={"key": "scope"})
    deduplication_window_ms: float = field(metadata={"key": "remembered_ms"})
    hedge: bool = False
    max_stream_ms: float = field(default=600_000.0, metadata={"key": "stream_ms"})
    stream_stall_ms: float = field(default=10_000.0, metadata={"key": "stall_ms"})


@dataclass(frozen=True, slots=True)
class KeyHash:
    """The digest of a key, `sha256:HEX`.  A namespace may have two, so that its key can be rotated."""

    digest: str


@dataclass(frozen=True, slots=True)
class CertificateName:
    """A name in a client's certificate that identifies the namespace."""

    name: str


@dataclass(frozen=True, slots=True)
class NamespaceSettings:
    """A namespace: the credentials of its callers, and its quota."""

    name: str
    uuid: str
    key: str
    quota_per_s: float = field(metadata={"key": "allowed_per_s"})
    key_hash: list[KeyHash] = field(default_factory=list)
    certificate: list[CertificateName] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ActionSettings:
    """An action: the name that is called, the model that runs it, and the resources of an instance.

    `concurrency`: requests that an instance runs at the same time; `load_ms`: time to load an instance; `work_ms`: time
    of a request at an emulated worker; `count`: number of actions that the form defines.
    """

    name: str
    package: str
    type: str
    model: str
    memory_mb: float
    concurrency: int = field(metadata={"key": "lanes"})
    load_ms: float
    work_ms: float
    count: int

    @property
    def path(self) -> str:
        """`package/name`, or `name` if there is no package."""
        return f"{self.package}/{self.name}" if self.package else self.name


TYPE = Shape(
    {
        "effect": word(("repeatable", "deduplicated", "once-only")),
        "target-ms": milliseconds(1, 3.6e6),
        "timeout-ms": milliseconds(1, 3.6e6),
        "utility": number(0.001, 1e6, default=1.0),
        "late-share": number(0, 1, default=0.0),
        "scope": word(("all", "zone", "cell"), "all"),
        "remembered-ms": milliseconds(0, 3.6e6, 0.0),
        "hedge": yes_no(False),
        "stream-ms": milliseconds(1, 8.64e7, 600_000.0),
        "stall-ms": milliseconds(1, 3.6e6, 10_000.0),
    },
    ("name",),
    TypeSettings,
)


NAMESPACE = Shape(
    {
        "uuid": word(),
        "key": word(default=""),
        "allowed-per-s": number(0.001, 1e7, default=1e6),
        "key-hash": Repeated(Shape({}, ("digest",), KeyHash)),
        "certificate": Repeated(Shape({}, ("name",), CertificateName)),
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
        "lanes": number(1, 4096, integer=True, default=1),
        "load-ms": milliseconds(0, 3.6e6, 0.0),
        "work-ms": milliseconds(0, 3.6e6, 50.0),
        "count": number(1, 100_000, integer=True, default=1),
    },
    ("name",),
    ActionSettings,
)
