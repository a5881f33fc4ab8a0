"""What the modules of a dispatcher share: its components, its options and its state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .entities import Decision, Function, Worker
from .instance_table import InstanceTable
from .outlier_detection import OutlierDetector
from .placement import Placement
from .queues import RequestQueues
from .retries import RetryBudget
from .safety import SafetyGuard
from .timer_queue import TimerQueue


@dataclass(frozen=True, slots=True, eq=False)
class Components:
    """The parts that a dispatcher is built from."""

    safety: SafetyGuard
    outliers: OutlierDetector
    placement: Placement
    instances: InstanceTable
    queues: RequestQueues
    timers: TimerQueue
    retry_budget: RetryBudget = field(default_factory=RetryBudget)


@dataclass(frozen=True, slots=True)
class DispatcherOptions:
    """What the deployment allows a dispatcher."""

    can_cancel: bool  # attempts in flight may be cancelled
    max_retry_after_ms: float  # the longest time after which a rejected client is told to retry


@dataclass(slots=True, eq=False)
class DispatchState:
    """What the inputs change and the decisions use.  The dictionaries are ordered sets."""

    decisions: deque[Decision] = field(default_factory=deque)  # made, not yet returned by `decide`
    runnable: dict[Function, None] = field(default_factory=dict)  # functions whose queue is to be served
    known_functions: dict[Function, None] = field(default_factory=dict)  # least recently requested first
    active_workers: dict[Worker, None] = field(default_factory=dict)  # recently with attempts in flight
    workers: list[Worker] = field(
        default_factory=list
    )  # of the endpoint list; replaced, never changed in place
