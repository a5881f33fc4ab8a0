"""Hosts one dispatcher: builds it from the settings object and turns ids into objects and back.

The simulator's adapter (`kelptrail/simulator_adapter`) and the platform (`kelptrail/platform`) use it.  Nothing is
chosen here.  Times are milliseconds with fractions on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from kelptrail.dispatch.dispatcher import Decision, Dispatcher
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    Function,
    LoadOrder,
    Request,
    RequestClass,
    Tenant,
    Worker,
    WorkerState,
)
from kelptrail.dispatch.instance_table import InstanceTable
from kelptrail.dispatch.outlier_detection import OutlierDetector
from kelptrail.dispatch.placement import Placement
from kelptrail.dispatch.queues import RequestQueues
from kelptrail.dispatch.safety import SafetyGuard
from kelptrail.dispatch.timer_queue import TimerQueue

from .settings import read_settings


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of a worker list; `started` on the door's clock, None for long ago."""

    id: str
    zone: int
    kind: int
    cell: int
    state: WorkerState
    size: float
    started_at: float | None


class Engine:
    """One dispatcher, apart from all others, and the objects behind the ids it is told of."""

    def __init__(self, seed: int, settings: Mapping[str, Any]) -> None:
        told = read_settings(settings)
        self.request_classes, self.tenants, self.report_fields = told.request_classes, told.tenants, told.report_fields
        self.reports_warm = told.reports_warm
        timers, outliers = TimerQueue(), OutlierDetector()
        safety = SafetyGuard(
            seed,
            told.parallel_attempts,
            told.max_attempts,
            told.overload_multiple,
            told.overload_window_ms,
            told.initial_capacity,
            told.slow_start_ms,
            told.load_ration,
            told.connect_timeout_ms,
        )
        self._dispatcher = Dispatcher(
            safety,
            outliers,
            Placement(safety, outliers, told.zone, seed),
            InstanceTable(timers, told.keep_alive_ms, told.loads_on_demand),
            RequestQueues(seed, self.request_classes, self.tenants),
            timers,
            told.can_cancel,
            told.max_retry_after_ms,
        )
        self.tick_ms = self._dispatcher.tick_ms
        self.next_due = timers.next_due
        self.workers: dict[str, Worker] = {}
        self.functions: dict[str, Function] = {}
        self.requests: dict[str, Request] = {}

    def on_request(
        self,
        now: float,
        id_: str,
        request_class: RequestClass,
        tenant: Tenant | None,
        function_id: str,
        left_ms: float,
        memory_mb: float,
        lanes: int,
        load_ms: float | None,
        effort_ms: float | None,
    ) -> Request:
        """An activation that is owed a final answer within `left_ms`."""
        function = self.functions.get(function_id)
        if function is None:
            function = self.functions[function_id] = Function(
                function_id, request_class, memory_mb, max(1, lanes), load_ms or 0.0
            )
        request = Request(id_, request_class, function, tenant, now, now + left_ms, effort_ms)
        self.requests[id_] = request
        self._dispatcher.on_request(now, request)
        return request

    def on_attempt_finished(
        self,
        now: float,
        attempt: Attempt,
        status: AttemptStatus,
        over: bool,
        load_failed: bool = False,
        warm: bool | None = None,
        foreign_in_flight: int = 0,
        report: Sequence[float] | None = None,
    ) -> None:
        """How a send ended; `report` in the order of the settings' fields."""
        told = dict(zip(self.report_fields, report, strict=True)) if report else None
        self._dispatcher.on_attempt_finished(
            now, attempt, status, over, load_failed, warm if self.reports_warm else None, foreign_in_flight, told
        )
        self.forget_if_settled(attempt.request)

    def on_client_gone(self, request: Request) -> None:
        """Nobody waits for it any more."""
        self._dispatcher.on_client_gone(request)
        self.forget_if_settled(request)

    def on_load_report(self, now: float, order: LoadOrder, status: AttemptStatus, standing: int) -> None:
        """How a hold order ended, and how many copies stand."""
        self._dispatcher.on_load_report(now, order, status, standing)

    def on_endpoints(self, now: float, whole: bool, entries: Iterable[Endpoint]) -> list[Worker]:
        """A list or what changed of it; returns the workers that started anew under their id."""
        entries = list(entries)
        named = {entry.id for entry in entries}
        restarted = []
        for id_, worker in self.workers.items():
            if whole and id_ not in named:
                worker.state = WorkerState.REMOVED
        for entry in entries:
            worker = self.workers.get(entry.id)
            if worker is None:
                worker = self.workers[entry.id] = Worker(entry.id)
            if entry.started_at != worker.started_at and entry.started_at is not None:
                restarted.append(worker)
            worker.zone, worker.cell, worker.kind = entry.zone, entry.cell, entry.kind
            worker.size, worker.state, worker.started_at = entry.size, entry.state, entry.started_at
        self._dispatcher.on_endpoints(now, list(self.workers.values()), restarted)
        for id_ in [id_ for id_, worker in self.workers.items() if worker.removed and not worker.attempts]:
            del self.workers[id_]
        return restarted

    def terminate(self, now: float, request: Request) -> Request:
        """The process ends and can wait for a request no longer: the request with its final answer."""
        ended = self._dispatcher.terminate(now, request)
        self.forget_if_settled(ended)
        return ended

    def may_start(self, now: float, item: Attempt | LoadOrder) -> bool:
        """Whether a send or an order that was decided may still begin to leave."""
        return self._dispatcher.may_start(now, item)

    def on_tick(self, now: float) -> None:
        """The periodic work, every `beat_ms`."""
        if (stale := self._dispatcher.on_tick(now)) is not None:
            del self.functions[stale.id]

    def decide(self, now: float) -> Decision | None:
        """The next decision of the moment, or None."""
        decision = self._dispatcher.decide(now)
        if isinstance(decision, Request):
            self.forget_if_settled(decision)
        return decision

    def forget_if_settled(self, request: Request) -> None:
        """Forget an activation once it is over and nothing of it is out."""
        if request.final_status is not None and all(attempt.status is not None for attempt in request.attempts):
            self.requests.pop(request.id, None)
