"""The one helper file: a dispatcher with its parts, and short ways to talk to it."""

from __future__ import annotations

from typing import Any

from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import (
    Attempt,
    Function,
    Idempotency,
    LoadOrder,
    Request,
    RequestClass,
    Tenant,
    Worker,
)
from kelptrail.dispatch.instance_table import InstanceTable
from kelptrail.dispatch.outlier_detection import OutlierDetector
from kelptrail.dispatch.placement import Placement
from kelptrail.dispatch.queues import RequestQueues
from kelptrail.dispatch.safety import SafetyGuard
from kelptrail.dispatch.timer_queue import TimerQueue

GATE = {
    "seed": 1,
    "parallel": True,
    "most_sends": 4,
    "tip": 3.0,
    "tip_ms": 2000.0,
    "cold_share": 0.2,
    "cold_ms": 2000.0,
    "ration": (True, 5.0, 0.3, 5000.0),
}


def make(workers: int = 3, return_ms: float = 500.0, shared: float = 0.0, **gate: Any) -> Dispatcher:
    """A dispatcher with live, warm workers; `shared`: what it believes of copies that stand for others."""
    seed = gate.get("seed", 1)
    rules, agenda, health = SafetyGuard(**(GATE | gate)), TimerQueue(), OutlierDetector()
    placement, queues = Placement(rules, health, 0, seed), RequestQueues(seed, [kind(), kind(utility=8.0)], [])
    copies = InstanceTable(agenda, 8000.0)
    copies.shared_ratio = shared
    dispatcher = Dispatcher(rules, health, placement, copies, queues, agenda, True, return_ms)
    dispatcher.on_endpoints(0.0, [Worker(f"w{n}", zone=n % 2, cell=n % 2) for n in range(workers)], [])
    return dispatcher


def kind(effect: Idempotency = Idempotency.IDEMPOTENT, scope: str = "all", utility: float = 2.0) -> RequestClass:
    return RequestClass(effect.value, effect, 500.0, utility, 0.3, scope, 5000.0)


def model(name: str = "f", lanes: int = 2, type_: RequestClass | None = None) -> Function:
    return Function(name, type_ or kind(), 300.0, lanes)


def activation(function: Function, now: float, n: int = 0, ms: float = 3000.0, of: Tenant | None = None) -> Request:
    return Request(f"{function.id}/{n}", function.request_class, function, of, now, now + ms)


def pull(dispatcher: Dispatcher, now: float) -> list[Attempt | LoadOrder | Request | str]:
    """All decisions of the moment."""
    found = []
    while (decision := dispatcher.decide(now)) is not None:
        found.append(decision)
    return found
