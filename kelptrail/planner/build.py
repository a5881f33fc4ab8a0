"""From settings and lists to what the planner's core takes; free of I/O."""

from __future__ import annotations

from kelptrail.membership.members import EndpointList
from kelptrail.settings.deployment import Deployment

from .core import FunctionProfile, PlannerSettings
from .placement import WorkerCapacity


def planner_settings(deployment: Deployment) -> PlannerSettings:
    """A deployment's planner settings."""
    config = deployment.planner
    return PlannerSettings(
        deployment.name,
        config.interval_ms,
        config.valid_ms,
        config.scale_down_ms,
        config.new_instances_share,
        config.new_instances_min,
    )


def function_profiles(deployment: Deployment) -> dict[str, FunctionProfile]:
    """What the settings say of functions."""
    return {
        a.model: FunctionProfile(a.memory_mb, a.concurrency, a.load_ms, deployment.types[a.type].priority_weight)
        for a in deployment.actions.values()
    }


def worker_capacities(deployment: Deployment, listing: EndpointList) -> list[WorkerCapacity]:
    """The live workers of a list; what each holds is the settings' matter."""
    fleet, cold_ms = deployment.fleet, deployment.rules.slow_start_ms
    return [
        WorkerCapacity(w.id, fleet.memory_mb, fleet.cores * w.size, w.age_ms < cold_ms)
        for w in listing.workers
        if w.state == "live"
    ]
