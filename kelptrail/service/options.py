"""Command-line options of a dispatcher process; the settings file is shared by all dispatchers of a deployment."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True, slots=True)
class DispatcherOptions:
    """Options of one dispatcher process.  Crash and pause points, fault files and trials are for tests only."""

    name: str
    zone: str
    host: str
    port: int
    endpoint_service: str  # address of the endpoint service
    state_folder: Path | None
    shared_port: bool = False
    crash_at: str = ""  # step at which the process kills itself
    pause_at: str = ""  # step at which the process suspends itself, once
    control: str | None = None  # address of the control port; None: no control port
    grpc_port: int | None = None  # port of the gRPC front; None: the port in the settings
    planners: tuple[str, ...] = ()  # addresses of planners to follow
    disk_fault_file: Path | None = None  # file with the faults to inject into the disk that holds the journal
    peers: str | None = None  # address of the peer channel; None: the address in the settings, or a free port
    # Addresses by name, which take precedence over those in the settings and in the endpoint list.
    peer_addresses: dict[str, str] = field(default_factory=dict)
    clock_fault_file: Path | None = None  # file with the clock faults to inject
    trial_side_effect_log: str = ""  # address of the log for writes under `trial_leases`
    trial_leases: tuple[str, ...] = ()
