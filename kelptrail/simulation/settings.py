"""Assumptions of a simulation about processes, disks and networks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Assumed times of processes, disks and networks in ms; the field names are keys of experiments."""

    network_ms: float = 0.15  # one way, including the delay of the event loops on both ends
    cpu_ms: float = 0.1  # CPU time of a dispatcher for each call, answer of a worker or disconnect of a client
    sync_ms: float = 2.0  # time to write and sync a batch on a dispatcher's disk
    start_ms: float = 600.0  # time from the start of a dispatcher or planner until it serves
    restart_ms: float = 700.0  # time from a worker's start until it serves
