"""Simulated workers: the rules of the emulated worker, in simulated time.

A worker has cores, a bounded queue, instances that are loaded and unloaded, a slow start after a restart, a log of
effects shared by its group against repeats, and the faults of fault scenarios.  `docs/simulation.md` says what is left
out.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING, Any, NamedTuple

import numpy as np

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.membership.members import Endpoint
from kelptrail.settings.deployment import ActionSettings, Deployment

from .event_queue import EventQueue
from .model_store import SimulatedStore
from .slow_start import SlowStart
from .worker_instances import ModelState, QueuedAttempt, WorkerInstances
from .worker_messages import AttemptMessage, AttemptReply, EventRecorder, OrderReply, WorkerIdentity

if TYPE_CHECKING:
    from kelptrail.fault_scenario.scenario import Fault

    from .remote import RemoteStore

UTILIZATION_WINDOW_MS = 250.0  # of the moving average, as the emulated worker reports it
REPORT_INTERVAL_MS = 200.0  # a report is made anew at most so often
MAX_FOREIGN_IN_FLIGHT = 30  # as a worker's answer can say
WORK_SIGMA, WORK_FACTORS_DRAWN = 0.2, 512  # of the lognormal factor of an attempt's work
NEVER = -1e18


class LoadReport(NamedTuple):
    """What a worker reports of itself: shares of its cores and its memory, and its open loads."""

    utilization: float
    open_loads: int
    memory: float


class SimulatedWorker:
    """One worker with its open connections; `record_event` records what the history checker reads, None without a
    capture.  It starts past its slow start."""

    def __init__(
        self,
        event_queue: EventQueue,
        deployment: Deployment,
        identity: WorkerIdentity,
        store: SimulatedStore | RemoteStore,
        effect_log: dict[tuple[str, str], float],
        seed: int,
        record_event: EventRecorder | None,
    ) -> None:
        self._event_queue, self._deployment, self._store = event_queue, deployment, store
        self.id, self.zone, self.cell = identity
        self._fleet, self._rules, self._effect_log = deployment.fleet, deployment.rules, effect_log
        self._random = np.random.default_rng([seed, zlib.crc32(self.id.encode())])
        self._work_factors = np.empty(0)
        self._record_event = record_event
        self._open_replies: dict[AttemptReply, None] = {}
        self.faults: dict[str, Fault] = {}  # those that are active, by kind
        self.up, self._starts, self.paused_until = True, 0, 0.0
        self.state = "live"
        self.start_process(warm=True)

    def start_process(self, warm: bool) -> None:
        """Start the process anew, empty; `warm`: past its slow start already."""
        now = self._event_queue.now
        self._starts += 1
        self.incarnation = f"{zlib.crc32(self.id.encode()):08x}-{self._starts}"
        self.started = now - (self._rules.slow_start_ms + 1 if warm else 0.0)
        self.instances = WorkerInstances(self, self._event_queue, self._deployment, self._store)
        self._slow_start = SlowStart(self._rules, self._fleet.cores, self.started)
        self._running = 0
        self._queue: deque[ModelState] = deque()  # a model once for each of its waiting attempts
        self.draining = False
        self._utilization_at, self._utilization = now, 0.0
        self._last_report, self._reported_at = LoadReport(0.0, 0, 0.0), NEVER
        self._record(
            "start",
            incarnation=self.incarnation,
            started=self.started,
            cores=self._fleet.cores,
            cold_ms=self._rules.slow_start_ms,
            cold_share=self._rules.slow_start_share,
        )

    def _record(self, event: str, /, **fields: Any) -> None:
        if self._record_event is not None:
            self._record_event(event, worker=self.id, **fields)

    @property
    def endpoint(self) -> Endpoint:
        """The worker as the endpoint list shows it."""
        return Endpoint(
            self.id, self.id, self.state, self.incarnation, self._event_queue.now - self.started, self.zone, self.cell
        )

    @property
    def slow_start_capacity(self) -> float:
        """The share of its capacity, 0 to 1, that the worker has at its age."""
        return self._slow_start.capacity(self._event_queue.now)

    @property
    def collapsed(self) -> bool:
        """Whether the worker was overloaded during its slow start; it answers nothing any more."""
        return self._slow_start.collapsed

    @property
    def idle_mb(self) -> float:
        """Memory in MB of loaded instances on which nothing runs."""
        return self.instances.idle_mb

    # Connections.

    def receive_attempt(self, attempt: AttemptMessage, reply: AttemptReply) -> None:
        """An attempt arrives; `reply` is called also where the worker is down or the connection is lost."""
        if not self.up:
            reply(AttemptStatus.UNREACHABLE, None)
            return
        self._open_replies[reply] = None

        def finish(status: AttemptStatus, answer: WorkerAnswer | None) -> None:
            """Answer on the connection, which then has this attempt no longer."""
            self._open_replies.pop(reply, None)
            reply(status, answer)

        self.start_attempt(attempt, finish)

    def receive_order(self, action: ActionSettings, instances: int, dispatcher: str, reply: OrderReply) -> None:
        """An order to keep `instances` loaded arrives; `reply` is called also where the worker is down."""
        if self.up:
            self.order_instances(action, instances, dispatcher, reply)
        else:
            reply(AttemptStatus.UNREACHABLE, 0)

    def close_connections(self) -> None:
        """Fail all open attempts: their connections are lost."""
        open_replies, self._open_replies = self._open_replies, {}
        for reply in open_replies:
            reply(AttemptStatus.CONNECTION_LOST, None)

    # Attempts.

    def start_attempt(self, attempt: AttemptMessage, reply: AttemptReply, read_delay_ms: float = 0.0) -> None:
        """Read an attempt, `read_delay_ms` after it arrived, and answer it through `reply`."""
        now, action = self._event_queue.now, attempt.action
        if now < self.paused_until:  # unread in the socket
            wait_ms = self.paused_until - now
            delayed = replace(attempt, limit_ms=attempt.limit_ms - wait_ms)
            self._event_queue.at(self.paused_until, self.start_attempt, delayed, reply, read_delay_ms + wait_ms)
            return
        model = self.instances.model(action)
        self._record(
            "send",
            model=action.model,
            mark=attempt.deduplication_id,
            lag=read_delay_ms,
            dispatcher=attempt.dispatcher,
            activation=attempt.activation,
            send=attempt.number,
            incarnation=self.incarnation,
            work=action.work_ms,
        )
        self._add_to_slow_start(action.work_ms)
        if self.collapsed or "hang" in self.faults:
            return
        queued = QueuedAttempt(
            model,
            attempt.deduplication_id,
            attempt.activation,
            attempt.number,
            reply,
            foreign_in_flight=min(MAX_FOREIGN_IN_FLIGHT, model.busy + len(model.waiting)),
            was_loaded=bool(model.loaded),
            deadline=now + attempt.limit_ms,
        )
        self._fail_or_queue(queued)

    def _add_to_slow_start(self, work_ms: float) -> None:
        had_collapsed = self.collapsed
        self._slow_start.add_arrival(self._event_queue.now, work_ms)
        if self.collapsed and not had_collapsed:
            self._record("fell", incarnation=self.incarnation)

    def _fail_or_queue(self, attempt: QueuedAttempt) -> None:
        """Answer an attempt at once by a fault, a model that is not loaded or a full queue; else queue it."""
        model, reply = attempt.model, attempt.reply
        if self._hits("fail-fast") or self._fails_type(model.type.name):
            reply(AttemptStatus.ERROR, WorkerAnswer("error"))
        elif model.is_absent:
            reply(AttemptStatus.NOT_LOADED, WorkerAnswer("miss", report=self._report()))
        elif self.draining or len(self._queue) >= self._fleet.queue:
            reply(AttemptStatus.OUT_OF_CAPACITY, WorkerAnswer("full", report=self._report()))
        else:
            model.waiting.append(attempt)
            self._queue.append(model)
            self.start_queued()

    def _hits(self, kind: str) -> bool:
        """Whether a fault of this kind is active and hits the attempt, drawn by the fault's share."""
        fault = self.faults.get(kind)
        return fault is not None and bool(self._random.random() < fault.share)

    def _fails_type(self, type_name: str) -> bool:
        fault = self.faults.get("fail-type")
        return fault is not None and fault.type == type_name

    def start_queued(self) -> None:
        """Start the waiting attempts for which there are a core and an instance, in order of arrival."""
        for _ in range(len(self._queue)):
            if self._running >= self._fleet.cores:
                return
            model = self._queue.popleft()
            if not model.waiting:
                continue
            if model.busy >= model.loaded * model.action.concurrency:
                self._queue.append(model)
                continue
            attempt = model.waiting.popleft()
            if self._event_queue.now >= attempt.deadline:
                attempt.reply(AttemptStatus.ERROR, WorkerAnswer("error"))
                continue
            self._update_utilization()
            self._running += 1
            model.busy += 1
            self._event_queue.after(self._work_duration_ms(model), self._on_work_done, attempt, self._starts)

    def fail_waiting(self, model: ModelState) -> None:
        """Answer all waiting attempts of a model whose load has failed."""
        while model.waiting:
            answer = WorkerAnswer("miss", load_failed=True, report=self._report())
            model.waiting.popleft().reply(AttemptStatus.NOT_LOADED, answer)

    def _work_duration_ms(self, model: ModelState) -> float:
        if not len(self._work_factors):
            self._work_factors = self._random.lognormal(0.0, WORK_SIGMA, WORK_FACTORS_DRAWN)
        factor, self._work_factors = float(self._work_factors[-1]), self._work_factors[:-1]
        if self._hits("heavy-work"):
            factor *= self.faults["heavy-work"].factor
        return model.action.work_ms * factor / self.slow_start_capacity

    def _on_work_done(self, attempt: QueuedAttempt, start: int) -> None:
        if self._event_queue.now < self.paused_until:
            self._event_queue.at(self.paused_until, self._on_work_done, attempt, start)
            return
        if start != self._starts or not self.up:
            return
        model = attempt.model
        self._update_utilization()
        self._running -= 1
        model.busy -= 1
        model.last_used = self._event_queue.now
        if not self._is_repeat(attempt):
            self._record(
                "effect",
                mark=attempt.deduplication_id,
                type=model.type.name,
                activation=attempt.activation,
                send=attempt.number,
            )
        if "silent" not in self.faults and not self._hits("answers-lost"):
            self._answer_completed(attempt)
        self.start_queued()

    def _is_repeat(self, attempt: QueuedAttempt) -> bool:
        """Whether the group has had this effect within the deduplication window; enters it otherwise."""
        type_ = attempt.model.type
        if type_.effect != "deduplicated":
            return False
        now = self._event_queue.now
        group = {"all": "all", "zone": self.zone, "cell": f"cell-{self.cell}"}[type_.deduplication_scope]
        last_effect_at = self._effect_log.get((group, attempt.deduplication_id), NEVER)
        if now - last_effect_at <= type_.deduplication_window_ms:
            return True
        self._effect_log[group, attempt.deduplication_id] = now
        return False

    def _answer_completed(self, attempt: QueuedAttempt) -> None:
        answer = WorkerAnswer(
            "completed", b"{}", True, False, attempt.was_loaded, attempt.foreign_in_flight, self._report()
        )
        late = self.faults.get("answers-late")
        delay_ms = late.ms if late is not None else 0.0
        self._event_queue.after(delay_ms, attempt.reply, AttemptStatus.COMPLETED, answer)

    # Reports of load.

    def _update_utilization(self) -> None:
        now = self._event_queue.now
        elapsed_ms = now - self._utilization_at
        if elapsed_ms > 0:
            weight = min(1.0, elapsed_ms / UTILIZATION_WINDOW_MS)
            self._utilization += weight * (self._running / self._fleet.cores - self._utilization)
            self._utilization_at = now

    def _report(self) -> dict[str, float]:
        if self._event_queue.now - self._reported_at > REPORT_INTERVAL_MS:
            self._reported_at = self._event_queue.now
            self._update_utilization()
            memory = self.instances.busy_mb / self._fleet.memory_mb
            self._last_report = LoadReport(self._utilization, self.instances.open_loads, memory)
        report = self._last_report
        return {"util": report.utilization, "x1": report.open_loads, "x0": report.memory}

    # Instances.

    def order_instances(
        self,
        action: ActionSettings,
        instances: int,
        dispatcher: str,
        reply: OrderReply,
        read_delay_ms: float = 0.0,
    ) -> None:
        """Read an order to keep `instances` loaded, `read_delay_ms` after it arrived."""
        now = self._event_queue.now
        if now < self.paused_until:
            wait_ms = self.paused_until - now
            self._event_queue.at(
                self.paused_until, self.order_instances, action, instances, dispatcher, reply, read_delay_ms + wait_ms
            )
            return
        model = self.instances.model(action)
        self._record("order", model=action.model, copies=instances, dispatcher=dispatcher, lag=read_delay_ms)
        if "hang" in self.faults or "silent" in self.faults:
            return
        if self.draining:
            reply(AttemptStatus.OUT_OF_CAPACITY, model.loaded)
            return
        self.instances.keep_loaded(model, instances, reply)

    # Faults.

    def inject(self, kind: str, fault: Fault) -> None:
        """Inject a fault for its duration."""
        if kind == "models-voided":
            self._void_models(fault.share)
        elif kind == "restart-cold":
            self.start_process(warm=False)
        elif kind == "pause":  # the process stops; later it reads what arrived meanwhile
            self.paused_until = self._event_queue.now + fault.duration * 1000
        else:
            self.faults[kind] = fault
            self._event_queue.after(fault.duration * 1000, self._end_fault, kind)

    def _end_fault(self, kind: str) -> None:
        self.faults.pop(kind, None)

    def _void_models(self, share: float) -> None:
        """Unload a share of the models, except for the instances that their running attempts need."""
        for model in self.instances.loaded_models():
            if self._random.random() < share:
                self.instances.unload(model, model.loaded - model.instances_needed)
