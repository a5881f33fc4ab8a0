"""State of the emulated worker, which a restart discards: models, instances and queues."""

from __future__ import annotations

import os
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kelptrail.codec.infer import InferRequest
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import ActionSettings, Deployment, TypeSettings

from .worker_slow_start import SlowStart

DEFAULT_WORK_MS = 1.0  # for a request for an unknown model


class WaitingLoadOrder(NamedTuple):
    """A load order that is answered once `instance_count` instances are loaded."""

    instance_count: int
    exchange: Exchange


@dataclass(slots=True, eq=False)
class HostedModel:
    """A model that the worker may load, and its instances on this worker."""

    action: ActionSettings
    type: TypeSettings
    loaded: int = 0  # number of loaded instances
    loading: int = 0  # number of instances that are being loaded or queued for it
    running: int = 0  # number of running jobs
    last_used: float = 0.0  # time in ms
    queue: deque[InferenceJob] = field(default_factory=deque)
    load_orders: list[WaitingLoadOrder] = field(default_factory=list)

    @property
    def busy_instances(self) -> int:
        """Number of instances that the running jobs need, at the action's concurrency."""
        return -(-self.running // self.action.concurrency)

    @property
    def allocated_mb(self) -> float:
        """Memory of the instances that are loaded, being loaded or queued for it."""
        return (self.loaded + self.loading) * self.action.memory_mb


@dataclass(slots=True, eq=False)
class InferenceJob:
    """One attempt that the worker has accepted."""

    model: HostedModel
    request: InferRequest
    payload: str
    exchange: Exchange
    other_requests: int  # other requests for the model when the attempt arrived
    instance_loaded: bool  # True if an instance was loaded when the attempt arrived
    incarnation: str
    # Latest time to start the job, which is the request's deadline.  After it nobody waits for the answer, and a retry
    # may no longer be deduplicated.
    latest_start: float


class WorkerState:
    """State of the current incarnation of a worker; `restart` begins a new one."""

    def __init__(self, deployment: Deployment, warm: bool) -> None:
        self._deployment = deployment
        self.fleet = deployment.fleet
        self.restart(warm)

    def restart(self, warm: bool) -> None:
        """Discard the state and begin a new incarnation; a warm one has completed its slow start."""
        self.incarnation = os.urandom(4).hex()
        self.slow_start = SlowStart(self._deployment, warm)
        self.models = {
            action.model: HostedModel(action, self._deployment.types[action.type])
            for action in self._deployment.actions.values()
        }
        self.running_jobs = self.active_loads = 0
        self.job_queue: deque[HostedModel] = deque()  # model of each queued job
        self.load_queue: deque[HostedModel] = deque()  # model of each instance to load
        self.draining = False

    def is_current(self, job: InferenceJob) -> bool:
        """Return whether the current incarnation accepted the job."""
        return job.incarnation == self.incarnation

    def work_ms(self, model: HostedModel | None) -> float:
        """Return the mean execution time of a job in ms, at full capacity."""
        return model.action.work_ms if model else DEFAULT_WORK_MS
