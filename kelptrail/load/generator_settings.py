"""Settings of one process of the load generator."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GeneratorSettings:
    """What the processes are started with; only `index` differs from one to the next."""

    addresses: tuple[str, ...]  # of dispatchers
    index: int
    process_count: int
    seed: int
    close_share: float = 0.0  # of attempts that ask for their connection to be closed
    connections: int = 2000  # at most, to one address
    connect_timeout_ms: float = 2000.0
