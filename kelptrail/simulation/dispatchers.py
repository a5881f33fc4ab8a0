"""Simulated dispatchers: the real gateway core, driven in simulated time, with its journal on an emulated disk.

A dispatcher is driven as the program's driver does it: inputs, then effects until there are none, and one timer.  Each
input costs CPU time, so an overloaded dispatcher falls behind here, too.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import CancelAttempt, CancelReason, FinalAnswer, StartAttempt, StartLoad
from kelptrail.gateway.invocation import Invocation
from kelptrail.membership.members import EndpointList
from kelptrail.store.activation_journal import ActivationEntries
from kelptrail.store.entries import Accepted, Ended, MayRun
from kelptrail.store.group_commit import GroupCommit

from .event_queue import Timer
from .planners import SimulatedEdge
from .sharding import RemoteWorker
from .workers import ConnectedWorker, Reply

if TYPE_CHECKING:
    from .cluster import SimulatedCluster

WALL_CLOCK_ORIGIN_MS = 1e12  # the wall clock at simulated time 0


class SimulatedDispatcher:
    """One dispatcher's process."""

    def __init__(self, cluster: SimulatedCluster, number: int, zone: str) -> None:
        self._cluster, self.number, self.name, self._zone = cluster, number, f"dispatcher-{number}", zone
        self.up, self.starts, self._journal_entries = False, 0, dict[str, ActivationEntries]()
        self._settings, self._event_queue = cluster.settings, cluster.event_queue
        self.sync_ms, self.disk_fails = cluster.settings.sync_ms, False
        self.endpoints: EndpointList | None = None
        self.start_process()
        self.edge = SimulatedEdge(cluster, self) if cluster.scenario.planners else None

    def start_process(self) -> None:
        """Start the process with nothing but the last endpoint list and the journal."""
        self.starts += 1
        self.boot = f"{zlib.crc32(f'{self.name}/{self.starts}'.encode()):08x}{self.number:04x}{self.starts:04x}"
        self.process_id = f"{self.name}/{self.boot}"
        cluster = self._cluster
        self.journal = (
            GroupCommit(cluster.deployment.journal.max_pending_entries) if cluster.deployment.journal.enabled else None
        )
        world = DispatcherParts(cluster.deployment, self._zone, zlib.crc32(self.boot.encode()))
        self.gateway = Gateway(world, self.boot, self.journal)
        self.gateway.state.answer_ms = 2 * self._settings.cpu_ms
        self._busy_until, self._timer, self._timer_at, self._deciding = 0.0, None, float("inf"), False
        self._open_orders: dict[LoadOrder, Timer] = {}
        self._open_attempts: dict[Attempt, None] = {}
        self._syncing = False
        self.up = True
        if self.journal is not None and self._journal_entries:
            margin = 2 * cluster.deployment.dispatcher.answer_margin_ms
            self.gateway.recover(
                self._event_queue.now,
                WALL_CLOCK_ORIGIN_MS + self._event_queue.now,
                self._journal_entries.values(),
                margin,
                cluster.deployment.journal.max_resumed,
            )
        if self.endpoints is not None:
            self.gateway.on_endpoints(self._event_queue.now, self.endpoints)
        self.schedule_decisions()

    _timer: Timer | None
    edge: SimulatedEdge | None

    def kill(self) -> None:
        """End the process; its journal remains."""
        self.up = False

    def lose_disk(self) -> None:
        """Erase the journal."""
        self._journal_entries = {}

    def pause(self, duration_ms: float) -> None:
        """Stop the process for a time; inputs queue meanwhile."""
        self._busy_until = max(self._busy_until, self._event_queue.now) + duration_ms

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """A new endpoint list has arrived."""
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
            self.schedule_decisions()

    def enqueue_input(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Queue an input for the dispatcher's CPU."""
        start = self.starts
        self._busy_until = max(self._busy_until, self._event_queue.now) + self._settings.cpu_ms
        self._event_queue.at(self._busy_until, self._run_input, start, callback, arguments)

    def _run_input(self, start: int, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        if start == self.starts and self.up:
            callback(*arguments)
            self.schedule_decisions()

    # What the driver does in the program.

    def schedule_decisions(self) -> None:
        """Carry out effects of the core until there are none, then write the journal and set the timer."""
        if self._deciding:
            return
        self._deciding = True
        now, gateway = self._event_queue.now, self.gateway
        try:
            while (effect := gateway.next_effect(now)) is not None:
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
                    outcome = (
                        AttemptStatus.CANCELLED if effect.reason is CancelReason.CANCELLED else AttemptStatus.SILENT
                    )
                    self._event_queue.after(0.0, self._on_attempt_finished, self.starts, effect.attempt, outcome, None)
        finally:
            self._deciding = False
        self._write_journal()
        due = gateway.next_due()
        if due < self._timer_at - 0.01 or self._timer is None:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self._event_queue.at(due, self._on_timer, self.starts)

    def _on_timer(self, start: int) -> None:
        if start == self.starts and self.up:
            self._timer, self._timer_at = None, float("inf")
            self.schedule_decisions()

    def _on_attempt_finished(
        self, start: int, attempt: Attempt, outcome: AttemptStatus, answer: WorkerAnswer | None
    ) -> None:
        if start == self.starts and self.up and attempt.status is None:
            self.gateway.on_attempt_finished(self._event_queue.now, attempt, outcome, answer)
            self.schedule_decisions()

    def _start_attempt(self, invocation: Invocation, attempt: Attempt) -> None:
        worker = self._cluster.workers[attempt.instance.worker.id]
        start, network_ms = self.starts, self._settings.network_ms
        self._open_attempts[attempt] = None
        self._cluster.second().sends += 1

        def finish(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            if self.up and start == self.starts and attempt in self._open_attempts:
                del self._open_attempts[attempt]
                self.enqueue_input(self._on_attempt_finished, start, attempt, outcome, answer)

        if not isinstance(worker, RemoteWorker):
            self._event_queue.after(network_ms, self._arrive_at_worker, worker, invocation, attempt, finish)
        elif worker.up:
            worker.request(
                "send",
                finish,
                invocation.action.path,
                invocation.deduplication_id,
                invocation.record.id,
                attempt.number,
                self.process_id,
                attempt.request.deadline - attempt.started_at,
            )
        else:
            self._event_queue.after(2 * network_ms, finish, AttemptStatus.UNREACHABLE, None)

    def _arrive_at_worker(
        self, worker: ConnectedWorker, invocation: Invocation, attempt: Attempt, finish: Reply
    ) -> None:
        def send_back(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            if attempt in self._open_attempts:
                self._event_queue.after(self._settings.network_ms, finish, outcome, answer)

        def end(outcome: AttemptStatus, answer: WorkerAnswer | None) -> None:
            worker.open_replies.pop(send_back, None)
            send_back(outcome, answer)

        if not worker.up:
            send_back(AttemptStatus.UNREACHABLE, None)
            return
        worker.open_replies[send_back] = None
        worker.start_attempt(
            invocation.action,
            invocation.deduplication_id,
            invocation.record.id,
            attempt.number,
            self.process_id,
            attempt.request.deadline - attempt.started_at,
            end,
        )

    def _start_load(self, order: LoadOrder) -> None:
        worker, start, network_ms = (
            self._cluster.workers[order.instance.worker.id],
            self.starts,
            self._settings.network_ms,
        )
        action = self._cluster.by_model[order.instance.function.id]
        if order.count:
            self._cluster.second().orders += 1

        def reply(outcome: AttemptStatus, loaded: int) -> None:
            self._event_queue.after(network_ms, finish, outcome, loaded)

        def finish(outcome: AttemptStatus, loaded: int) -> None:
            timer = self._open_orders.pop(order, None) if start == self.starts else None
            if timer is not None and self.up:
                timer.cancel()
                self.gateway.on_load_report(self._event_queue.now, order, outcome, loaded)
                self.schedule_decisions()

        def arrive() -> None:
            assert not isinstance(worker, RemoteWorker)
            if worker.up:
                worker.order_instances(action, order.count, self.process_id, reply)
            else:
                reply(AttemptStatus.UNREACHABLE, 0)

        self._open_orders[order] = self._event_queue.after(
            self._cluster.deployment.pool.load_timeout_ms, finish, AttemptStatus.SILENT, 0
        )
        if isinstance(worker, RemoteWorker):
            worker.request("order", finish, order.instance.function.id, order.count, self.process_id)
        else:
            self._event_queue.after(network_ms, arrive)

    def _write_journal(self) -> None:
        """Write the next batch of the journal, one batch at a time."""
        if self.journal is None or self._syncing:
            return
        batch = self.journal.next_batch(self._event_queue.now)
        if batch is not None:
            self._syncing = True
            self._event_queue.after(self.sync_ms, self._on_journal_written, self.starts, batch)

    def _on_journal_written(self, start: int, batch: Any) -> None:
        if start != self.starts or not self.up or self.journal is None:
            return
        self._syncing = False
        if self.disk_fails:
            self.journal.on_batch_failed(self._event_queue.now, batch.number, "the disk fails")
        else:
            for endpoint in batch.entries:
                if isinstance(endpoint, Accepted):
                    self._journal_entries.setdefault(endpoint.id, ActivationEntries(endpoint))
                elif (entries := self._journal_entries.get(endpoint.id)) is not None:
                    if isinstance(endpoint, MayRun):
                        entries.may_run = entries.may_run or endpoint
                    elif isinstance(endpoint, Ended):
                        entries.ended = entries.ended or endpoint
            self.journal.on_batch_durable(batch.number)
        self.schedule_decisions()
