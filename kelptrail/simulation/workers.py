"""Simulated workers, which follow the rules of the emulated worker in simulated time.

A worker has cores, a bounded queue, instances that are loaded and unloaded, a slow start after a restart, a log of
effects that it shares with the workers of its deduplication scope, and the faults of fault scenarios.
`docs/simulation.md` lists what is not simulated.
"""

from __future__ import annotations

import zlib
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import numpy as np

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.fault_scenario.scenario import Fault, FaultKind
from kelptrail.membership.members import Endpoint
from kelptrail.settings.deployment import ActionSettings, Deployment

from .attempt_executor import AttemptExecutor, WorkFactors
from .event_queue import EventQueue
from .model_store import SimulatedStore
from .slow_start import SlowStart
from .worker_instances import QueuedAttempt, WorkerInstances
from .worker_messages import AttemptMessage, AttemptReply, EventRecorder, OrderReply, WorkerIdentity

if TYPE_CHECKING:
    from .remote import RemoteStore

MAX_OTHER_ATTEMPTS = 30  # largest number that a worker's answer can report


class SimulatedWorker:
    """One worker with its open connections; at first its slow start is already over.

    `record_event` records the events that the history checker reads; it is None without a capture.
    """

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
        self._work_factors = WorkFactors(self._random)
        self._record_event = record_event
        self._open_replies: dict[AttemptReply, None] = {}
        self.faults: dict[str, Fault] = {}  # active faults by kind
        self.up, self._start_number, self.paused_until = True, 0, 0.0
        self.state = "live"
        self.start_process(warm=True)

    def start_process(self, warm: bool) -> None:
        """Start a new process without instances; with `warm` its slow start is already over."""
        now = self._event_queue.now
        self._start_number += 1
        self.incarnation = f"{zlib.crc32(self.id.encode()):08x}-{self._start_number}"
        self.started = now - (self._rules.slow_start_ms + 1 if warm else 0.0)
        self.instances = WorkerInstances(self, self._event_queue, self._deployment, self._store)
        self.executor = AttemptExecutor(self, self._event_queue, self._fleet, self._work_factors, self._effect_log)
        self._slow_start = SlowStart(self._rules, self._fleet.cores, self.started)
        self.draining = False
        self.record(
            "start",
            incarnation=self.incarnation,
            started=self.started,
            cores=self._fleet.cores,
            cold_ms=self._rules.slow_start_ms,
            cold_share=self._rules.slow_start_share,
        )

    def record(self, event: str, /, **fields: Any) -> None:
        """Record an event of this worker if there is a capture."""
        if self._record_event is not None:
            self._record_event(event, worker=self.id, **fields)

    @property
    def endpoint(self) -> Endpoint:
        """Entry of the worker in the endpoint list."""
        return Endpoint(
            self.id, self.id, self.state, self.incarnation, self._event_queue.now - self.started, self.zone, self.cell
        )

    @property
    def slow_start_capacity(self) -> float:
        """Share of its full capacity, 0 to 1, that the worker has at its age."""
        return self._slow_start.capacity_factor(self._event_queue.now)

    @property
    def collapsed(self) -> bool:
        """True if the worker was overloaded during its slow start and no longer answers."""
        return self._slow_start.collapsed

    @property
    def idle_mb(self) -> float:
        """Memory in MB of loaded instances without running attempts."""
        return self.instances.idle_mb

    # Connections.

    def receive_attempt(self, attempt: AttemptMessage, reply: AttemptReply) -> None:
        """Receive an attempt; `reply` is also called if the worker is down or the connection is lost."""
        if not self.up:
            reply(AttemptStatus.UNREACHABLE, None)
            return
        self._open_replies[reply] = None

        def finish(status: AttemptStatus, answer: WorkerAnswer | None) -> None:
            """Remove the attempt from the open ones, and send its answer."""
            self._open_replies.pop(reply, None)
            reply(status, answer)

        self.start_attempt(attempt, finish)

    def receive_order(self, action: ActionSettings, instance_count: int, dispatcher: str, reply: OrderReply) -> None:
        """Receive an order to keep `instance_count` instances loaded; `reply` is also called if the worker is down."""
        if self.up:
            self.order_instances(action, instance_count, dispatcher, reply)
        else:
            reply(AttemptStatus.UNREACHABLE, 0)

    def close_connections(self) -> None:
        """Close all connections, which fails their open attempts."""
        open_replies, self._open_replies = self._open_replies, {}
        for reply in open_replies:
            reply(AttemptStatus.CONNECTION_LOST, None)

    # Attempts.

    def start_attempt(self, attempt: AttemptMessage, reply: AttemptReply, read_delay_ms: float = 0.0) -> None:
        """Read an attempt `read_delay_ms` after its arrival, and answer it through `reply`."""
        now, action = self._event_queue.now, attempt.action
        if now < self.paused_until:  # the attempt stays unread in the socket
            wait_ms = self.paused_until - now
            delayed = replace(attempt, limit_ms=attempt.limit_ms - wait_ms)
            self._event_queue.at(self.paused_until, self.start_attempt, delayed, reply, read_delay_ms + wait_ms)
            return
        model = self.instances.model(action)
        self.record(
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
        if self.collapsed or FaultKind.HANG in self.faults:
            return
        queued = QueuedAttempt(
            model,
            attempt.deduplication_id,
            attempt.activation,
            attempt.number,
            reply,
            other_attempts=min(MAX_OTHER_ATTEMPTS, model.busy + len(model.waiting)),
            was_loaded=bool(model.loaded),
            deadline=now + attempt.limit_ms,
        )
        self._fail_or_queue(queued)

    def _add_to_slow_start(self, work_ms: float) -> None:
        had_collapsed = self.collapsed
        self._slow_start.add_arrival(self._event_queue.now, work_ms)
        if self.collapsed and not had_collapsed:
            self.record("fell", incarnation=self.incarnation)

    def _fail_or_queue(self, attempt: QueuedAttempt) -> None:
        """Fail an attempt at once due to a fault, an absent model, draining or a full queue; otherwise queue it."""
        model, reply = attempt.model, attempt.reply
        if self.fault_applies(FaultKind.FAIL_FAST) or self._fails_type(model.type.name):
            reply(AttemptStatus.ERROR, WorkerAnswer("error"))
        elif model.is_absent:
            reply(AttemptStatus.NOT_LOADED, WorkerAnswer("miss", report=self.executor.report()))
        elif self.draining or self.executor.is_full:
            reply(AttemptStatus.OUT_OF_CAPACITY, WorkerAnswer("full", report=self.executor.report()))
        else:
            self.executor.enqueue(attempt)

    # Instances.

    def order_instances(
        self,
        action: ActionSettings,
        instance_count: int,
        dispatcher: str,
        reply: OrderReply,
        read_delay_ms: float = 0.0,
    ) -> None:
        """Read an order to keep `instance_count` instances loaded, `read_delay_ms` after its arrival."""
        now = self._event_queue.now
        if now < self.paused_until:
            wait_ms = self.paused_until - now
            self._event_queue.at(
                self.paused_until,
                self.order_instances,
                action,
                instance_count,
                dispatcher,
                reply,
                read_delay_ms + wait_ms,
            )
            return
        model = self.instances.model(action)
        self.record("order", model=action.model, copies=instance_count, dispatcher=dispatcher, lag=read_delay_ms)
        if FaultKind.HANG in self.faults or FaultKind.SILENT in self.faults:
            return
        if self.draining:
            reply(AttemptStatus.OUT_OF_CAPACITY, model.loaded)
            return
        self.instances.keep_loaded(model, instance_count, reply)

    # Faults.

    def fault_applies(self, kind: str) -> bool:
        """Return whether an active fault of this kind applies now; the fault's share is the probability."""
        fault = self.faults.get(kind)
        return fault is not None and bool(self._random.random() < fault.share)

    def _fails_type(self, type_name: str) -> bool:
        fault = self.faults.get(FaultKind.FAIL_TYPE)
        return fault is not None and fault.type == type_name

    def inject(self, kind: str, fault: Fault) -> None:
        """Inject a fault for its duration; a loss of models and a restart take effect once."""
        if kind == FaultKind.MODELS_VOIDED:
            self._unload_models(fault.share)
        elif kind == FaultKind.RESTART_COLD:
            self.start_process(warm=False)
        elif kind == FaultKind.PAUSE:  # the process stops; when it resumes, it reads what has arrived
            self.paused_until = self._event_queue.now + fault.duration * 1000
        else:
            self.faults[kind] = fault
            self._event_queue.after(fault.duration * 1000, self._end_fault, kind)

    def _end_fault(self, kind: str) -> None:
        self.faults.pop(kind, None)

    def _unload_models(self, share: float) -> None:
        """Unload each model with probability `share`, except for the instances that running attempts need."""
        for model in self.instances.loaded_models():
            if self._random.random() < share:
                self.instances.unload(model, model.loaded - model.instances_needed)
