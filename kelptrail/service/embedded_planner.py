"""A planner that runs in a dispatcher's process, if the settings enable it."""

from __future__ import annotations

from typing import Any

from kelptrail.planner.driver import PlannerDriver, PlannerOptions
from kelptrail.settings.deployment import Deployment

from .fleet import Fleet
from .options import DispatcherOptions


def start_embedded_planner(deployment: Deployment, options: DispatcherOptions, fleet: Fleet, log: Any) -> PlannerDriver:
    """Start a planner on a free loopback port; it plans while it holds the planner's lease."""
    assert fleet.leases is not None
    planner_options = PlannerOptions(
        f"{options.name}-planner", "127.0.0.1", 0, options.endpoint_service, options.state_folder
    )
    planner = PlannerDriver(deployment, planner_options, fleet.leases, fleet.lease_length_ms, log)
    planner.restore()
    planner.listen()
    planner.start()
    return planner
