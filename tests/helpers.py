"""Helpers for the tests of the dispatch package: build a dispatcher with its components, and call it."""

from __future__ import annotations

from typing import Any

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.components import Components, DispatcherOptions
from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    Decision,
    Function,
    Idempotency,
    LoadOrder,
    Request,
    RequestClass,
    Tenant,
    Worker,
)
from kelptrail.dispatch.function_table import FunctionLimits
from kelptrail.dispatch.instance_table import InstanceTable
from kelptrail.dispatch.outlier_detection import OutlierDetector
from kelptrail.dispatch.placement import Placement
from kelptrail.dispatch.queues import RequestQueues
from kelptrail.dispatch.readiness import ReadinessLimits
from kelptrail.dispatch.safety import LoadRation, SafetyGuard, SafetySettings
from kelptrail.dispatch.slow_start import SlowStartSettings
from kelptrail.dispatch.timer_queue import TimerQueue

KEEP_ALIVE_MS = 8000.0  # time for which a worker keeps an idle instance
FUNCTION_MEMORY_MB = 300.0
LATENCY_OBJECTIVE_MS, DEDUPLICATION_WINDOW_MS = 500.0, 5000.0
LATE_VALUE_SHARE = 0.3  # has no effect

# The values of a `LoadRation`: loads are allowed, free loads, further loads for each request, window in ms.
SAFETY: dict[str, Any] = {
    "seed": 1,
    "parallel_attempts": True,
    "max_attempts": 4,
    "load_ration": LoadRation(True, 5.0, 0.3, 5000.0),
    "overload_multiple": 3.0,
    "overload_window_ms": 2000.0,
    "initial_capacity": 0.2,
    "slow_start_ms": 2000.0,
    "max_delivery_ms": 0.0,
    "readiness": ReadinessLimits(),
}

AMPLE_LOADS = LoadRation(True, 99.0, 0.3, 5000.0)  # limits no load order in the tests that use it


def make_safety(**changes: Any) -> SafetyGuard:
    """Return a safety guard with the settings `SAFETY` and the given changes."""
    values = SAFETY | changes
    assert values.keys() == SAFETY.keys(), "unknown setting"
    settings = SafetySettings(values["parallel_attempts"], values["max_attempts"], values["load_ration"])
    slow_start = SlowStartSettings(
        values["overload_multiple"],
        values["overload_window_ms"],
        values["initial_capacity"],
        values["slow_start_ms"],
        values["max_delivery_ms"],
    )
    return SafetyGuard(values["seed"], settings, slow_start, values["readiness"])


def make_dispatcher(
    workers: int = 3,
    retry_after_ms: float = 500.0,
    shared: float = 0.0,
    loads_on_demand: bool = False,
    function_limits: FunctionLimits | None = None,
    **safety_settings: Any,
) -> Dispatcher:
    """Return a dispatcher with live workers that are not in slow start, alternating between two zones and two cells.

    `retry_after_ms` is its longest retry-after time; `shared` is the initial `shared_ratio` of its instance table: the
    estimated share of instances that are already loaded at their first use.  With `loads_on_demand` a worker loads a
    function when an attempt arrives.  `function_limits`: None for no limits.
    """
    seed = safety_settings.get("seed", 1)
    safety, outliers, timers = make_safety(**safety_settings), OutlierDetector(), TimerQueue()
    instances = InstanceTable(timers, KEEP_ALIVE_MS, loads_on_demand)
    instances.shared_ratio = shared
    parts = Components(
        safety,
        outliers,
        Placement(safety, outliers, 0, seed),
        instances,
        # Only the largest weight of the classes counts: 8, four times that of the default class.
        RequestQueues(seed, [make_request_class(), make_request_class(weight=8.0)], []),
        timers,
    )
    options = DispatcherOptions(
        can_cancel=True, max_retry_after_ms=retry_after_ms, function_limits=function_limits or FunctionLimits()
    )
    dispatcher = Dispatcher(parts, options)
    dispatcher.on_endpoints(0.0, [Worker(f"w{n}", zone=n % 2, cell=n % 2) for n in range(workers)], [])
    return dispatcher


def make_request_class(
    idempotency: Idempotency = Idempotency.IDEMPOTENT, scope: str = "all", weight: float = 2.0
) -> RequestClass:
    """Return a request class with a latency objective of 500 ms and a deduplication window of 5 s."""
    return RequestClass(
        idempotency.value, idempotency, LATENCY_OBJECTIVE_MS, weight, LATE_VALUE_SHARE, scope, DEDUPLICATION_WINDOW_MS
    )


def make_function(name: str = "f", concurrency: int = 2, request_class: RequestClass | None = None) -> Function:
    """Return a function whose instances have `concurrency` slots."""
    return Function(name, request_class or make_request_class(), FUNCTION_MEMORY_MB, concurrency)


def new_request(
    function: Function, now: float, number: int = 0, timeout_ms: float = 3000.0, tenant: Tenant | None = None
) -> Request:
    """Return a request that arrives at `now`, with `timeout_ms` left until its deadline."""
    return Request(f"{function.id}/{number}", function.request_class, function, tenant, now, now + timeout_ms)


def decide_all(dispatcher: Dispatcher, now: float) -> list[Decision]:
    """Return all decisions that are due at `now`."""
    decisions: list[Decision] = []
    while (decision := dispatcher.decide(now)) is not None:
        decisions.append(decision)
    return decisions


def load_and_serve_one(dispatcher: Dispatcher, function: Function, now: float = 0.0, instances: int = 1) -> Worker:
    """Load an instance (or `instances`) for one request, and complete its attempt after 50 ms; return the worker.

    Also sets the `shared_ratio` of the instance table to 0, so that a load order is sent before any trial attempt.
    """
    request = new_request(function, now)
    dispatcher.on_request(now, request)
    dispatcher.parts.instances.shared_ratio = 0.0
    (order,) = decide_all(dispatcher, now)
    assert isinstance(order, LoadOrder)
    dispatcher.on_load_report(now, order, AttemptStatus.COMPLETED, instances)
    (attempt,) = decide_all(dispatcher, now)
    assert isinstance(attempt, Attempt)
    complete(dispatcher, attempt, now + 50)
    return attempt.instance.worker


def complete(dispatcher: Dispatcher, attempt: Attempt, now: float) -> None:
    """Report the attempt as completed, which ends its request; the instance was loaded when the attempt arrived."""
    dispatcher.on_attempt_finished(now, attempt, AttemptResult(AttemptStatus.COMPLETED, True, warm=True))


def submit(
    dispatcher: Dispatcher, function: Function, now: float, count: int, timeout_ms: float = 3000.0
) -> list[Decision]:
    """Submit `count` requests; return all decisions that are due."""
    for number in range(count):
        dispatcher.on_request(now, new_request(function, now, number, timeout_ms))
    return decide_all(dispatcher, now)


def tick(dispatcher: Dispatcher, now: float) -> float:
    """Let the dispatcher do its periodic work; return `now`."""
    dispatcher.on_tick(now)
    return now
