"""Settings of one process of the load generator."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GeneratorSettings:
    """Settings of one process; only `index` differs between the processes of a run."""

    addresses: tuple[str, ...]  # addresses of the dispatchers
    index: int
    process_count: int
    seed: int
    close_share: float = 0.0  # share of attempts that send `connection: close`
    connections: int = 2000  # maximum per address
    connect_timeout_ms: float = 2000.0
