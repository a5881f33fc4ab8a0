"""What a simulation assumes of machines and networks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """What the simulation assumes of machines and networks, in ms; field names are keys of experiments."""

    network_ms: float = 0.15  # one way, with what the loops on both ends add
    cpu_ms: float = 0.1  # of a dispatcher, for each call and each answer
    sync_ms: float = 2.0  # of its disk
    start_ms: float = 600.0  # a dispatcher's start until it serves
    restart_ms: float = 700.0  # a worker's
