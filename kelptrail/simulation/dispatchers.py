"""Simulated dispatchers: the real gateway core in simulated time, with its journal on a simulated disk.

The core is driven as in the program: after each input its effects are carried out until none is left, and a timer runs
it when it is due.  Each input takes CPU time, so that an overloaded dispatcher falls behind as a real one does.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import CancelAttempt, CancelReason, Effect, FinalAnswer, StartAttempt, StartLoad
from kelptrail.gateway.invocation import Invocation
from kelptrail.membership.members import EndpointList
from kelptrail.settings.deployment import ActionSettings
from kelptrail.store.activation_journal import ActivationEntries
from kelptrail.store.group_commit import GroupCommit

from .event_queue import Timer
from .journal_disk import JournalDisk
from .planners import SimulatedEdge
from .remote import RemoteWorker
from .shard import MessageKind
from .worker_messages import AttemptMessage, AttemptReply, OrderReply
from .workers import SimulatedWorker

if TYPE_CHECKING:
    from .cluster import SimulatedCluster

WALL_CLOCK_ORIGIN_MS = 1e12  # wall-clock time at simulated time 0
MIN_RUN_FACTOR = 2  # minimum time left for a recovered call to be run, as a multiple of `answer_margin_ms`
TIMER_TOLERANCE_MS = 0.01  # a timer is replaced only by one that is due earlier by more than this


class SimulatedDispatcher:
    """One dispatcher, including the restarts of its process.

    `start_number` identifies the process; callbacks for an earlier process are ignored.
    """

    def __init__(self, cluster: SimulatedCluster, number: int, zone: str) -> None:
        self._cluster, self.number, self.name, self._zone = cluster, number, f"dispatcher-{number}", zone
        self.up, self.start_number, self._disk = False, 0, JournalDisk()
        self._settings, self._event_queue = cluster.settings, cluster.event_queue
        self.sync_ms, self.disk_fails = cluster.settings.sync_ms, False
        self.endpoints: EndpointList | None = None
        self._timer: Timer | None = None
        self.edge: SimulatedEdge | None = None
        self.start_process()
        self.edge = SimulatedEdge(cluster, self) if cluster.scenario.planners else None

    def start_process(self) -> None:
        """Start the process; only the last endpoint list, the journal and the edge remain from an earlier one.

        The caller restarts the edge.
        """
        self.start_number += 1
        self.boot = (
            f"{zlib.crc32(f'{self.name}/{self.start_number}'.encode()):08x}{self.number:04x}{self.start_number:04x}"
        )
        self.process_id = f"{self.name}/{self.boot}"
        deployment = self._cluster.deployment
        self.journal = GroupCommit(deployment.journal.max_pending_entries) if deployment.journal.enabled else None
        parts = DispatcherParts(deployment, self._zone, zlib.crc32(self.boot.encode()))
        self.gateway = Gateway(parts, self.boot, self.journal)
        # The time to write an answer; `GatewayDriver` measures it, the simulation assumes it.
        self.gateway.state.answer_ms = 2 * self._settings.cpu_ms
        self._busy_until, self._timer, self._timer_at, self._running_effects = 0.0, None, float("inf"), False
        self._open_orders: dict[LoadOrder, Timer] = {}
        self._open_attempts: dict[Attempt, None] = {}
        self._syncing = False
        self.up = True
        if self.journal is not None and (stored := self._disk.stored()):
            self._recover(stored)
        if self.endpoints is not None:
            self.gateway.on_endpoints(self._event_queue.now, self.endpoints)
        self.run_effects()

    def _recover(self, stored: list[ActivationEntries]) -> None:
        """Recover the activations in the journal."""
        now, deployment = self._event_queue.now, self._cluster.deployment
        min_run_ms = MIN_RUN_FACTOR * deployment.dispatcher.answer_margin_ms
        max_resumed = deployment.journal.max_resumed
        self.gateway.recover(now, WALL_CLOCK_ORIGIN_MS + now, stored, min_run_ms, max_resumed)

    def kill(self) -> None:
        """End the process; its journal remains."""
        self.up = False

    def lose_disk(self) -> None:
        """Erase the journal."""
        self._disk.erase()

    def pause(self, duration_ms: float) -> None:
        """Process inputs that arrive from now on only after `duration_ms`.

        Timers, endpoint lists, load reports, plans and journal writes are not delayed.
        """
        self._busy_until = max(self._busy_until, self._event_queue.now) + duration_ms

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """Store a new endpoint list, and apply it if the process is up."""
        self.endpoints = endpoints
        if self.up:
            self.gateway.on_endpoints(self._event_queue.now, endpoints)
            if self.edge is not None:
                self.edge.on_endpoints()
            if self._cluster.record_event is not None:
                self._cluster.record_event(
                    "list",
                    to=self.process_id,
                    version=endpoints.version,
                    workers={w.id: [w.state, w.incarnation] for w in endpoints.workers},
                )
            self.run_effects()

    def on_client_gone(self, invocation: Invocation) -> None:
        """Notify the core that the client of an invocation has stopped waiting."""
        self.gateway.on_client_gone(self._event_queue.now, invocation)

    def enqueue_input(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Queue an input; it runs once the dispatcher's CPU has processed the earlier ones."""
        start_number = self.start_number
        self._busy_until = max(self._busy_until, self._event_queue.now) + self._settings.cpu_ms
        self._event_queue.at(self._busy_until, self._run_input, start_number, callback, arguments)

    def _run_input(self, start_number: int, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        if start_number == self.start_number and self.up:
            callback(*arguments)
            self.run_effects()

    # Effects, as `GatewayDriver` carries them out in the program.

    def run_effects(self) -> None:
        """Carry out the core's effects until none is left, then write the journal and set the timer."""
        if self._running_effects:
            return
        self._running_effects = True
        now, gateway = self._event_queue.now, self.gateway
        try:
            while (effect := gateway.next_effect(now)) is not None:
                self._execute(effect)
        finally:
            self._running_effects = False
        self._write_journal()
        self._set_timer(gateway.next_due())

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, StartAttempt):
            self._start_attempt(effect.invocation, effect.attempt)
        elif isinstance(effect, FinalAnswer):
            waiters, effect.invocation.waiters = effect.invocation.waiters, []
            for waiter in waiters:
                waiter(effect.invocation.record)
        elif isinstance(effect, StartLoad):
            self._start_load(effect.order)
        elif isinstance(effect, CancelAttempt) and effect.attempt in self._open_attempts:
            del self._open_attempts[effect.attempt]
            cancelled = effect.reason is CancelReason.CANCELLED
            status = AttemptStatus.CANCELLED if cancelled else AttemptStatus.SILENT
            self._event_queue.after(0.0, self._on_attempt_finished, self.start_number, effect.attempt, status, None)

    def _set_timer(self, due: float) -> None:
        """Set the timer that runs the core when it is due; a timer for an earlier time stays."""
        if due < self._timer_at - TIMER_TOLERANCE_MS or self._timer is None:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self._event_queue.at(due, self._on_timer, self.start_number)

    def _on_timer(self, start_number: int) -> None:
        if start_number == self.start_number and self.up:
            self._timer, self._timer_at = None, float("inf")
            self.run_effects()

    def _on_attempt_finished(
        self, start_number: int, attempt: Attempt, status: AttemptStatus, answer: WorkerAnswer | None
    ) -> None:
        if start_number == self.start_number and self.up and attempt.status is None:
            self.gateway.on_attempt_finished(self._event_queue.now, attempt, status, answer)
            self.run_effects()

    def _start_attempt(self, invocation: Invocation, attempt: Attempt) -> None:
        worker, network_ms = self._cluster.workers[attempt.instance.worker.id], self._settings.network_ms
        self._open_attempts[attempt] = None
        self._cluster.current_second().attempts += 1
        finish = partial(self._on_attempt_answered, self.start_number, attempt)
        if not isinstance(worker, RemoteWorker):
            self._event_queue.after(network_ms, self._deliver_attempt, worker, invocation, attempt, finish)
        elif worker.up:
            message = self._attempt_message(invocation, attempt)
            worker.request(
                MessageKind.ATTEMPT,
                finish,
                message.action.path,
                message.deduplication_id,
                message.activation,
                message.number,
                message.dispatcher,
                message.limit_ms,
            )
        else:
            self._event_queue.after(2 * network_ms, finish, AttemptStatus.UNREACHABLE, None)

    def _attempt_message(self, invocation: Invocation, attempt: Attempt) -> AttemptMessage:
        return AttemptMessage(
            invocation.action,
            invocation.deduplication_id,
            invocation.record.id,
            attempt.number,
            self.process_id,
            attempt.request.deadline - attempt.started_at,
        )

    def _deliver_attempt(
        self, worker: SimulatedWorker, invocation: Invocation, attempt: Attempt, finish: AttemptReply
    ) -> None:
        reply = partial(self._return_answer, attempt, finish)
        worker.receive_attempt(self._attempt_message(invocation, attempt), reply)

    def _return_answer(
        self, attempt: Attempt, finish: AttemptReply, status: AttemptStatus, answer: WorkerAnswer | None
    ) -> None:
        """Send a worker's answer to the dispatcher, unless the attempt was cancelled."""
        if attempt in self._open_attempts:
            self._event_queue.after(self._settings.network_ms, finish, status, answer)

    def _on_attempt_answered(
        self, start_number: int, attempt: Attempt, status: AttemptStatus, answer: WorkerAnswer | None
    ) -> None:
        if self.up and start_number == self.start_number and attempt in self._open_attempts:
            del self._open_attempts[attempt]
            self.enqueue_input(self._on_attempt_finished, start_number, attempt, status, answer)

    def _start_load(self, order: LoadOrder) -> None:
        worker, function_id = self._cluster.workers[order.instance.worker.id], order.instance.function.id
        if order.count:  # an order for 0 instances is only a query
            self._cluster.current_second().load_orders += 1
        finish = partial(self._on_load_answered, self.start_number, order)
        self._open_orders[order] = self._event_queue.after(
            self._cluster.deployment.pool.load_timeout_ms, finish, AttemptStatus.SILENT, 0
        )
        if isinstance(worker, RemoteWorker):
            worker.request(MessageKind.LOAD_ORDER, finish, function_id, order.count, self.process_id)
        else:
            action = self._cluster.actions_by_model[function_id]
            self._event_queue.after(self._settings.network_ms, self._deliver_load_order, worker, action, order, finish)

    def _deliver_load_order(
        self, worker: SimulatedWorker, action: ActionSettings, order: LoadOrder, finish: OrderReply
    ) -> None:
        worker.receive_order(action, order.count, self.process_id, partial(self._return_load_report, finish))

    def _return_load_report(self, finish: OrderReply, status: AttemptStatus, loaded: int) -> None:
        """Send a worker's answer to a load order to the dispatcher."""
        self._event_queue.after(self._settings.network_ms, finish, status, loaded)

    def _on_load_answered(self, start_number: int, order: LoadOrder, status: AttemptStatus, loaded: int) -> None:
        timer = self._open_orders.pop(order, None) if start_number == self.start_number else None
        if timer is not None and self.up:
            timer.cancel()
            self.gateway.on_load_report(self._event_queue.now, order, status, loaded)
            self.run_effects()

    def _write_journal(self) -> None:
        """Write the next batch of the journal, unless a write is in progress."""
        if self.journal is None or self._syncing:
            return
        batch = self.journal.next_batch(self._event_queue.now)
        if batch is not None:
            self._syncing = True
            self._event_queue.after(self.sync_ms, self._on_journal_written, self.start_number, batch)

    def _on_journal_written(self, start_number: int, batch: Any) -> None:
        if start_number != self.start_number or not self.up or self.journal is None:
            return
        self._syncing = False
        if self.disk_fails:
            self.journal.on_batch_failed(self._event_queue.now, batch.number, "the disk fails")
        else:
            self._disk.write(batch.entries)
            self.journal.on_batch_durable(batch.number)
        self.run_effects()
