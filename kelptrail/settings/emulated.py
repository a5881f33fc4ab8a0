"""Settings of the emulated workers and the emulated model store.

Times are in milliseconds, sizes in `_mb` are in megabytes.  The shapes below hold the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shape import Shape, milliseconds, number


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The emulated workers.

    `workers`: their number.  Limits of each worker: `queue`: jobs that wait; `connections`: open connections; `loads`:
    loads that run at the same time; `keep_alive_ms`: time for which an idle instance stays loaded.
    """

    workers: int
    cores: int
    memory_mb: float
    queue: int
    connections: int
    loads: int
    keep_alive_ms: float = field(metadata={"key": "keep_ms"})


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The emulated model store.

    `fetches`: concurrent fetches that run at full speed; `most`: concurrent fetches at which a further one is refused;
    `fetch_share`: share of a load's time that its fetch takes.
    """

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
