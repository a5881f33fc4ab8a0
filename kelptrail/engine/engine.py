"""Embeds one dispatcher: builds it from the settings object, and translates between ids and entities.

The simulator's adapter (`kelptrail/simulator_adapter`) and the platform (`kelptrail/platform`) use it.  It decides
nothing.  Times are milliseconds with fractions on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.components import Components, DispatcherOptions
from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import (
    NEVER,
    Attempt,
    AttemptStatus,
    Decision,
    Function,
    LoadOrder,
    ReadinessProbe,
    Request,
    Worker,
    WorkerState,
)
from kelptrail.dispatch.function_table import FunctionLimits
from kelptrail.dispatch.instance_table import InstanceTable
from kelptrail.dispatch.outlier_detection import OutlierDetector
from kelptrail.dispatch.placement import Placement
from kelptrail.dispatch.queues import RequestQueues
from kelptrail.dispatch.readiness import ReadinessLimits
from kelptrail.dispatch.safety import SafetyGuard, SafetySettings
from kelptrail.dispatch.slow_start import SlowStartSettings
from kelptrail.dispatch.timer_queue import TimerQueue

from .events import RequestArrival
from .settings import DispatcherSettings, ReadinessSettings, read_readiness_settings, read_settings


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One worker of an endpoint list; `started_at` is on the caller's clock, None for a long time ago."""

    id: str
    zone: int
    kind: int
    cell: int
    state: WorkerState
    size: float
    started_at: float | None


@dataclass(frozen=True, slots=True)
class EndpointListTiming:
    """Times in milliseconds after which a dispatcher counts as notified of a change that did not reach it.

    The protocol of the endpoint list sets them.
    """

    notification_ms: float = NEVER  # time since the list was last confirmed
    broken_notification_ms: float = NEVER  # time since the connection to the list broke


PUSHED_LIST = EndpointListTiming()  # the source pushes each change, which counts as notified when it arrives


@dataclass(frozen=True, slots=True)
class ReadinessReport:
    """The known readiness of the workers, for the operators."""

    list_is_stale: bool
    known: int  # number of live workers that may get new work
    unknown: int  # number of live workers that get no new work until they prove their readiness
    questions: Mapping[str, int]  # number of questions by result, since the start
    held_queues: int  # number of functions whose requests wait for a worker that is known to be ready


class Engine:
    """One dispatcher, independent of all others, and the entities for the ids that its caller uses."""

    def __init__(
        self,
        seed: int,
        settings: Mapping[str, Any],
        list_timing: EndpointListTiming = PUSHED_LIST,
        function_limits: FunctionLimits | None = None,
    ) -> None:
        """Build the dispatcher from its settings; without `function_limits` it keeps any number of functions.

        Raises `MalformedError` if the settings cannot be used.
        """
        parsed = read_settings(settings)
        self.request_classes, self.tenants = parsed.request_classes, parsed.tenants
        self.report_fields, self.reports_warm = parsed.report_fields, parsed.reports_warm
        limits = _readiness_limits(read_readiness_settings(settings), list_timing)
        parts = _build_components(seed, parsed, limits)
        options = DispatcherOptions(parsed.can_cancel, parsed.max_retry_after_ms, function_limits or FunctionLimits())
        self._dispatcher = Dispatcher(parts, options)
        self.tick_ms = self._dispatcher.tick_ms
        self.readiness_limits = limits
        self.probe_timeout_ms = parts.safety.readiness.proof_lifetime_ms  # a later answer is no proof
        self.next_due = parts.timers.next_due
        self.workers: dict[str, Worker] = {}
        self.functions: dict[str, Function] = {}
        self.requests: dict[str, Request] = {}

    @property
    def unproven_functions(self) -> int:
        """The number of known functions that no worker is known to run."""
        return self._dispatcher.unproven_functions

    def on_request(self, now: float, arrival: RequestArrival) -> Request:
        """Accept a request that arrived."""
        request_class = arrival.request_class
        function = self.functions.get(arrival.function_id)
        if function is None:
            function = self.functions[arrival.function_id] = Function(
                arrival.function_id,
                request_class,
                arrival.memory_mb,
                max(1, arrival.concurrency),
                arrival.load_ms or 0.0,
            )
        deadline = now + arrival.timeout_ms
        request = Request(
            arrival.id,
            request_class,
            function,
            arrival.tenant,
            now,
            deadline,
            arrival.work_ms,
            client=arrival.client,
        )
        self.requests[request.id] = request
        self._dispatcher.on_request(now, request)
        self._remove_functions()
        return request

    def on_attempt_finished(
        self, now: float, attempt: Attempt, result: AttemptResult, load_values: Sequence[float] | None = None
    ) -> None:
        """Record the result of an attempt; its response reported `load_values`, in the order of `report_fields`."""
        if load_values:
            result = result._replace(load_report=dict(zip(self.report_fields, load_values, strict=True)))
        if not self.reports_warm:
            result = result._replace(warm=None)
        self._dispatcher.on_attempt_finished(now, attempt, result)
        self.remove_if_finished(attempt.request)

    def on_client_gone(self, request: Request) -> None:
        """Cancel a request whose client no longer waits for an answer."""
        self._dispatcher.on_client_gone(request)
        self.remove_if_finished(request)

    def on_load_report(self, now: float, order: LoadOrder, status: AttemptStatus, loaded_count: int) -> None:
        """Record the result of a load order; `loaded_count` instances are now loaded at its worker."""
        self._dispatcher.on_load_report(now, order, status, loaded_count)

    def on_endpoints(self, now: float, complete: bool, entries: Iterable[Endpoint]) -> list[Worker]:
        """Apply an endpoint list, or only its changes if it is not `complete`.

        Return the workers with a new start time: those that restarted, and new workers whose start time is known.
        """
        entries = list(entries)
        listed = {entry.id for entry in entries}
        restarted = []
        for id_, worker in self.workers.items():
            if complete and id_ not in listed:
                worker.state = WorkerState.REMOVED
        for entry in entries:
            if entry.id not in self.workers:
                self.workers[entry.id] = Worker(entry.id)
            worker = self.workers[entry.id]
            if entry.started_at != worker.started_at and entry.started_at is not None:
                restarted.append(worker)
            worker.zone, worker.cell, worker.kind = entry.zone, entry.cell, entry.kind
            worker.size, worker.state, worker.started_at = entry.size, entry.state, entry.started_at
        self._dispatcher.on_endpoints(now, list(self.workers.values()), restarted)
        for id_ in [id_ for id_, worker in self.workers.items() if worker.removed and not worker.attempts]:
            del self.workers[id_]
        return restarted

    def on_initial_list(self, now: float) -> None:
        """Record that the endpoint list is of unknown age, as one that was read from the configuration."""
        self._dispatcher.on_initial_list(now)

    def on_list_confirmed(self, now: float) -> None:
        """Record that the endpoint list is complete as of now."""
        self._dispatcher.on_list_confirmed(now)

    def on_list_lost(self, now: float) -> None:
        """Record that the connection to the endpoint list broke, or could not be made."""
        self._dispatcher.on_list_lost(now)

    def on_probe_finished(
        self, now: float, probe: ReadinessProbe, status: AttemptStatus, loaded_count: int = 0
    ) -> None:
        """Record the result of a probe; a load query reports `loaded_count` loaded instances."""
        self._dispatcher.on_probe_finished(now, probe, status, loaded_count)

    def readiness(self, now: float) -> ReadinessReport:
        """Return a report of the known readiness of the workers."""
        readiness = self._dispatcher.parts.safety.readiness
        live = [worker for worker in self.workers.values() if worker.live]
        known = sum(readiness.is_known(now, worker) for worker in live)
        questions = self._dispatcher.questions
        results = {str(name): count for name, count in questions.results.items()}
        is_stale = readiness.list_is_stale(now)
        return ReadinessReport(is_stale, known, len(live) - known, results, questions.held_queues)

    def terminate(self, now: float, request: Request) -> Request:
        """End a request that a shutdown cannot wait for; return it with its final answer."""
        ended = self._dispatcher.terminate(now, request)
        self.remove_if_finished(ended)
        return ended

    def may_start(self, now: float, item: Attempt | LoadOrder) -> bool:
        """Return whether the first byte of a decided attempt or load order may still be sent."""
        return self._dispatcher.may_start(now, item)

    def on_tick(self, now: float) -> None:
        """Do the periodic work of one tick, which is due every `tick_ms`."""
        self._dispatcher.on_tick(now)
        self._remove_functions()

    def _remove_functions(self) -> None:
        for function in self._dispatcher.take_removed_functions():
            del self.functions[function.id]

    def decide(self, now: float) -> Decision | None:
        """Return the next decision, or None if there is none until the next input or due time."""
        decision = self._dispatcher.decide(now)
        if isinstance(decision, Request):
            self.remove_if_finished(decision)
        return decision

    def remove_if_finished(self, request: Request) -> None:
        """Remove the request if it has its final status and no attempt in flight."""
        if request.final_status is None or any(attempt.status is None for attempt in request.attempts):
            return
        if self.requests.get(request.id) is request:  # its client may use the id again
            del self.requests[request.id]


def _readiness_limits(settings: ReadinessSettings, timing: EndpointListTiming) -> ReadinessLimits:
    """Return the readiness limits: none if the settings have no rule on draining workers, and no probes if the grace
    time is 0, so that no answer could arrive in time.
    """
    if settings.drain_grace_ms is None:
        return ReadinessLimits()
    probe_kinds = settings.probe_kinds if settings.drain_grace_ms else ()
    return ReadinessLimits(timing.notification_ms, timing.broken_notification_ms, settings.drain_grace_ms, probe_kinds)


def _build_components(seed: int, settings: DispatcherSettings, readiness: ReadinessLimits) -> Components:
    """Build the components of a dispatcher from its settings."""
    timers, outliers = TimerQueue(), OutlierDetector()
    safety = SafetyGuard(
        seed,
        SafetySettings(settings.parallel_attempts, settings.max_attempts, settings.load_ration),
        SlowStartSettings(
            settings.overload_multiple,
            settings.overload_window_ms,
            settings.initial_capacity,
            settings.slow_start_ms,
            settings.connect_timeout_ms,
        ),
        readiness,
    )
    return Components(
        safety,
        outliers,
        Placement(safety, outliers, settings.zone, seed),
        InstanceTable(timers, settings.keep_alive_ms, settings.loads_on_demand),
        RequestQueues(seed, settings.request_classes, settings.tenants),
        timers,
    )
