"""State of the emulated worker: models, instances and queues, all of which a restart loses."""

from __future__ import annotations

import os
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kelptrail.codec.infer import InferRequest
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import ActionSettings, Deployment, TypeSettings

from .worker_slow_start import SlowStart

DEFAULT_WORK_MS = 1.0  # of a request for a model that the worker does not know


class WaitingLoadOrder(NamedTuple):
    """A load order that is answered once so many instances are loaded."""

    instance_count: int
    exchange: Exchange


@dataclass(slots=True, eq=False)
class HostedModel:
    """A model that the worker may load, and its instances here."""

    action: ActionSettings
    type: TypeSettings
    loaded: int = 0
    loading: int = 0
    running: int = 0
    last_used: float = 0.0
    queue: deque[InferenceJob] = field(default_factory=deque)
    load_orders: list[WaitingLoadOrder] = field(default_factory=list)

    @property
    def busy_instances(self) -> int:
        """The number of instances that the running jobs need, at the action's concurrency."""
        return -(-self.running // self.action.concurrency)

    @property
    def allocated_mb(self) -> float:
        """Memory of the instances that are loaded or being loaded."""
        return (self.loaded + self.loading) * self.action.memory_mb


@dataclass(slots=True, eq=False)
class InferenceJob:
    """One attempt that the worker has accepted."""

    model: HostedModel
    request: InferRequest
    payload: str
    exchange: Exchange
    other_requests: int  # of the model, when the attempt arrived
    instance_loaded: bool  # when the attempt arrived
    incarnation: str
    latest_start: float  # the client has gone after it, and a retry may no longer be deduplicated


class WorkerState:
    """The present incarnation of a worker; `restart` begins another."""

    def __init__(self, deployment: Deployment, warm: bool) -> None:
        self._deployment = deployment
        self.fleet = deployment.fleet
        self.restart(warm)

    def restart(self, warm: bool) -> None:
        """Lose everything and begin a new incarnation; a warm one has its slow start behind it."""
        self.incarnation = os.urandom(4).hex()
        self.slow_start = SlowStart(self._deployment, warm)
        self.models = {
            action.model: HostedModel(action, self._deployment.types[action.type])
            for action in self._deployment.actions.values()
        }
        self.running_jobs = self.active_loads = 0
        self.job_queue: deque[HostedModel] = deque()  # one entry for each job that waits
        self.load_queue: deque[HostedModel] = deque()  # one entry for each instance that is to be loaded
        self.draining = False

    def is_current(self, job: InferenceJob) -> bool:
        """Whether the job was accepted by the present incarnation."""
        return job.incarnation == self.incarnation

    def work_ms(self, model: HostedModel | None) -> float:
        """The mean time of a job at full capacity."""
        return model.action.work_ms if model else DEFAULT_WORK_MS
