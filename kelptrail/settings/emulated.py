"""The emulated workers and the emulated model store.

Times are milliseconds, memory is megabytes.  Every default is stated here, once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shape import Shape, milliseconds, number


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The emulated workers."""

    workers: int
    cores: int
    memory_mb: float
    queue: int
    connections: int
    loads: int
    keep_alive_ms: float = field(metadata={"key": "keep_ms"})


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The emulated model store."""

    fetches: int
    most: int
    fetch_share: float


FLEET = Shape(
    {
        "workers": number(1, 10_000, integer=True, default=4),
        "cores": number(1, 4096, integer=True, default=4),
        "memory-mb": number(1, 1e8, default=8000.0),
        "queue": number(0, 1_000_000, integer=True, default=64),
        "connections": number(1, 1_000_000, integer=True, default=1024),
        "loads": number(1, 1024, integer=True, default=4),
        "keep-ms": milliseconds(100, 3.6e6, 8000.0),
    },
    build=FleetSettings,
)


STORE = Shape(
    {
        "fetches": number(1, 100_000, integer=True, default=8),
        "most": number(1, 100_000, integer=True, default=64),
        "fetch-share": number(0, 1, default=0.6),
    },
    build=StoreSettings,
)
