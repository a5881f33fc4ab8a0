"""Converts settings and endpoint lists to the inputs of the planner core; free of I/O."""

from __future__ import annotations

from kelptrail.membership.members import EndpointList
from kelptrail.settings.deployment import Deployment

from .core import FunctionProfile, PlannerSettings
from .placement import WorkerCapacity


def planner_settings(deployment: Deployment) -> PlannerSettings:
    """Return the planner settings of a deployment."""
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
    """Return the profiles of all functions of a deployment, by model."""
    return {
        action.model: FunctionProfile(
            action.memory_mb, action.concurrency, action.load_ms, deployment.types[action.type].priority_weight
        )
        for action in deployment.actions.values()
    }


def worker_capacities(deployment: Deployment, endpoints: EndpointList) -> list[WorkerCapacity]:
    """Return the capacities of the live workers of an endpoint list.

    Memory and cores come from the settings; the cores are multiplied by the worker's size.  A worker counts
    as warming up during its slow start.
    """
    fleet, warm_up_ms = deployment.fleet, deployment.rules.slow_start_ms
    return [
        WorkerCapacity(worker.id, fleet.memory_mb, fleet.cores * worker.size, worker.age_ms < warm_up_ms)
        for worker in endpoints.workers
        if worker.state == "live"
    ]
