"""What differs from one dispatcher of a deployment to the next: the command line's part of its configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True, slots=True)
class DispatcherOptions:
    """Options of one dispatcher process.  The names of crash points, fault files and trials are for tests only."""

    name: str
    zone: str
    host: str
    port: int
    endpoint_service: str  # address of the endpoint service
    state_folder: Path | None
    shared_port: bool = False
    crash_at: str = ""  # a step at which the process kills itself, for crash tests
    pause_at: str = ""  # a step at which the process stops itself, once, for tests of a suspended process
    control: str | None = None  # address of the control port; None: no such port
    grpc_port: int | None = None  # of the gRPC front; None: the settings'
    planners: tuple[str, ...] = ()  # addresses of planners to follow
    disk_fault_file: Path | None = None  # names the faults of the disk under the journal, for tests
    peers: str | None = None  # address its peer channel listens on; None: as the settings say, or a free port
    peer_addresses: dict[str, str] = field(default_factory=dict)  # by name; they precede settings and endpoint list
    clock_fault_file: Path | None = None  # names the faults of the clock, for trials
    trial_side_effect_log: str = ""  # address of the log of writes under `trial_leases`, for trials
    trial_leases: tuple[str, ...] = ()
