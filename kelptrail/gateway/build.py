"""Builds a dispatcher of `kelptrail.dispatch` from the settings of a deployment."""

from __future__ import annotations

from kelptrail.dispatch.components import Components, DispatcherOptions
from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import Function, Idempotency, ProbeKind, RequestClass, Tenant
from kelptrail.dispatch.instance_table import InstanceTable
from kelptrail.dispatch.outlier_detection import OutlierDetector
from kelptrail.dispatch.placement import Placement
from kelptrail.dispatch.queues import RequestQueues
from kelptrail.dispatch.readiness import ReadinessLimits
from kelptrail.dispatch.retries import RetryBudget
from kelptrail.dispatch.safety import LoadRation, SafetyGuard, SafetySettings
from kelptrail.dispatch.slow_start import SlowStartSettings
from kelptrail.dispatch.timer_queue import TimerQueue
from kelptrail.settings.deployment import Deployment, DispatcherSettings, RuleSettings, TypeSettings

# Time since the endpoint list was last confirmed at which a change of the list counts as notified: two long polls,
# which the endpoint source holds for 2 s each.  A poll without an answer after this time is lost.
LIST_NOTIFICATION_MS = 4_000.0


def _request_class(settings: TypeSettings) -> RequestClass:
    return RequestClass(
        settings.name,
        Idempotency(settings.effect),
        settings.latency_objective_ms,
        settings.priority_weight,
        settings.late_value_share,
        settings.deduplication_scope,
        settings.deduplication_window_ms,
        settings.hedge,
    )


def _safety_guard(settings: DispatcherSettings, rules: RuleSettings, seed: int) -> SafetyGuard:
    ration = LoadRation(rules.loads_allowed, rules.free_loads, rules.loads_per_request, rules.load_window_ms)
    slow_start = SlowStartSettings(
        rules.overload_multiple, rules.overload_window_ms, rules.slow_start_share, rules.slow_start_ms
    )
    safety = SafetySettings(settings.parallel_attempts, settings.max_attempts, ration)
    probe_kinds = (ProbeKind.LOAD_QUERY,) if rules.loads_allowed else ()
    readiness = ReadinessLimits(LIST_NOTIFICATION_MS, LIST_NOTIFICATION_MS, rules.drain_grace_ms, probe_kinds)
    return SafetyGuard(seed, safety, slow_start, readiness)


class DispatcherParts:
    """The dispatcher of one process, and the request classes, tenants and functions that its deployment defines."""

    def __init__(self, deployment: Deployment, zone: str, seed: int) -> None:
        settings = deployment.dispatcher
        self.deployment = deployment
        self.request_classes = {name: _request_class(type_) for name, type_ in deployment.types.items()}
        self.tenants = {n.name: Tenant(n.name, n.quota_per_s) for n in deployment.namespaces.values()}
        self.zones = {name: number for number, name in enumerate(deployment.zones)}
        safety = self.safety = _safety_guard(settings, deployment.rules, seed)
        health, timers = OutlierDetector(), TimerQueue()
        parts = Components(
            safety,
            health,
            Placement(safety, health, self.zones.get(zone, 0), seed),
            InstanceTable(timers, settings.keep_alive_ms),
            RequestQueues(seed, list(self.request_classes.values()), list(self.tenants.values())),
            timers,
            RetryBudget(settings.retry_budget_share, settings.retry_budget_capacity),
        )
        self.dispatcher = Dispatcher(parts, DispatcherOptions(settings.can_cancel, settings.max_retry_after_ms))
        self._functions: dict[str, Function] = {}
        self.paths = {action.model: path for path, action in deployment.actions.items()}  # action paths by model

    def function(self, path: str) -> Function:
        """Return the function of an action, and create it if there is none."""
        function = self._functions.get(path)
        if function is None:
            action = self.deployment.actions[path]
            function = self._functions[path] = Function(
                action.model, self.request_classes[action.type], action.memory_mb, action.concurrency, action.load_ms
            )
        return function

    def forget_function(self, function: Function) -> None:
        """Remove a function that is no longer used; the next request for its action creates another one."""
        self._functions = {p: f for p, f in self._functions.items() if f is not function}
