"""The components, options and state that the modules of a dispatcher share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .entities import Decision, Function, Worker
from .function_table import FunctionLimits, FunctionTable
from .instance_table import InstanceTable
from .outlier_detection import OutlierDetector
from .placement import Placement
from .queues import RequestQueues
from .retries import RetryBudget
from .safety import SafetyGuard
from .timer_queue import TimerQueue


@dataclass(frozen=True, slots=True, eq=False)
class Components:
    """The components of a dispatcher."""

    safety: SafetyGuard
    outliers: OutlierDetector
    placement: Placement
    instances: InstanceTable
    queues: RequestQueues
    timers: TimerQueue
    retry_budget: RetryBudget = field(default_factory=RetryBudget)


@dataclass(frozen=True, slots=True)
class DispatcherOptions:
    """Options that the deployment sets for a dispatcher."""

    can_cancel: bool  # attempts in flight may be cancelled
    max_retry_after_ms: float  # the longest Retry-After of a rejection; 0: none is given
    function_limits: FunctionLimits = field(default_factory=FunctionLimits)


@dataclass(slots=True, eq=False)
class DispatchState:
    """State that the modules of a dispatcher share.  The dictionaries are ordered sets."""

    functions: FunctionTable
    decisions: deque[Decision] = field(default_factory=deque)  # decisions not yet returned by `decide`
    runnable: dict[Function, None] = field(default_factory=dict)  # functions whose queue is to be served
    # Workers with attempts in flight, now or recently.
    active_workers: dict[Worker, None] = field(default_factory=dict)
    # Workers of the endpoint list.  The list is replaced, never changed in place.
    workers: list[Worker] = field(default_factory=list)
