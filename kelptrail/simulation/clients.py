"""Simulated clients: arrivals of a load, calls with patience, retries and polling, and their results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from kelptrail.gateway.admission import Submission
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.records import Record
from kelptrail.load.arrivals import Arrivals, popularity
from kelptrail.load.client_behavior import ClientBehavior, ClientOutcome, behavior_of, retry_delay_ms
from kelptrail.load.plan import Load
from kelptrail.settings.deployment import ActionSettings, NamespaceSettings

from .dispatchers import WALL_CLOCK_ORIGIN_MS, SimulatedDispatcher
from .event_queue import Timer

if TYPE_CHECKING:
    from .cluster import SimulatedCluster

POLL_MS = 150.0  # between two polls of a deferred call
POLLING_GRACE_MS = 3000.0  # beyond the call's timeout, until a polling client gives up


@dataclass(slots=True, eq=False)
class ClientCall:
    """A call that a client wants done, over all its attempts to get it accepted and answered."""

    ticket: str
    action: ActionSettings
    namespace: NamespaceSettings
    deferred: bool
    behavior: ClientBehavior
    tries: int
    dispatcher: int = 0
    sent_at: float = 0.0
    activation: str = ""
    number: str = ""
    first_sent_at: float = 0.0  # simulated ms
    patience_timer: Timer | None = None
    invocation: Invocation | None = None
    run: int = 0  # start number of the dispatcher that accepted it
    after: Callable[[], None] | None = None  # in a closed loop: the client's next step


class SimulatedClients:
    """All clients of one shard; they call its dispatchers and enter the outcomes in the cluster's results."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster, self._event_queue, self._settings = cluster, cluster.event_queue, cluster.settings
        self._deployment, self._scenario = cluster.deployment, cluster.scenario
        seed, (number, count) = cluster.seed, cluster.shard_part
        self._random = np.random.default_rng([seed, 7, number, count] if count > 1 else [seed, 7])
        self._id_prefix = f"{number}-" if count > 1 else ""
        self._ticket_count = self._call_count = 0
        self._namespaces = list(cluster.deployment.namespaces.values())
        shares = np.array([namespace.allowed_per_s for namespace in self._namespaces])
        self._cumulative_shares = np.cumsum(shares / shares.sum())

    def schedule_arrivals(self, load: Load) -> None:
        """A load's arrivals, drawn a second at a time; of a closed loop its clients, spread over their first pause."""
        end = min(self._scenario.seconds, load.at + load.duration)
        actions = list(self._deployment.actions.values())
        by_path = {a.path: a for a in actions}
        cumulative_popularity = np.cumsum(popularity(list(by_path), load))
        # A stream of its own: variants of an experiment meet the same arrivals, whatever their clients do.
        random = np.random.default_rng(
            [self._cluster.seed, 13, self._scenario.load.index(load), self._cluster.shard_part[0]]
        )
        arrivals = Arrivals(load, random, self._cluster.shard_part)

        def draw_second(at: float) -> None:
            span_s = min(1.0, end - at)
            if span_s <= 0:
                return
            found = arrivals.draw(at, span_s)
            picks = np.searchsorted(cumulative_popularity, random.random(len(found)))
            for (when, named), pick in zip(found, picks, strict=True):
                self._event_queue.at(
                    self._cluster.start + when * 1000, self._begin_call, by_path.get(named) or actions[int(pick)], load
                )
            self._event_queue.at(self._cluster.start + (at + span_s) * 1000, draw_second, at + span_s)

        def call_now() -> None:
            if self._event_queue.now < self._cluster.start + end * 1000:
                self._begin_call(
                    actions[int(np.searchsorted(cumulative_popularity, self._random.random()))], load, pause
                )

        def pause() -> None:
            self._event_queue.after(float(self._random.exponential(load.think)) * 1000, call_now)

        if load.shape == "closed":
            for _ in range(self._cluster.shard_part[0], load.clients, self._cluster.shard_part[1]):
                self._event_queue.at(self._cluster.start + load.at * 1000, pause)
        else:
            self._event_queue.at(self._cluster.start + load.at * 1000, draw_second, load.at)

    def _begin_call(self, action: ActionSettings, load: Load, after: Callable[[], None] | None = None) -> None:
        self._ticket_count += 1
        random = self._random
        namespace = (
            self._deployment.namespaces.get(load.namespace)
            or (self._namespaces[int(np.searchsorted(self._cumulative_shares, random.random()))])
        )
        call = ClientCall(
            f"t{self._id_prefix}{self._ticket_count}",
            action,
            namespace,
            bool(random.random() < load.deferred),
            behavior_of(float(random.random()), load.retry_after_share, load.half_retry_after_share),
            1 + load.retries,
            first_sent_at=self._event_queue.now,
            after=after,
        )
        self._cluster.by_namespace[namespace.name][0] += 1
        self._send_call(call, None)

    def _send_call(self, call: ClientCall, last: int | None) -> None:
        call.tries -= 1
        self._call_count += 1
        count, kind = len(self._cluster.local_dispatchers), self._deployment.types[call.action.type]
        call.dispatcher = int(self._random.integers(count)) if last is None else (last + 1) % count
        call.number, call.sent_at, call.activation, call.invocation = (
            f"c{self._id_prefix}{self._call_count}",
            self._event_queue.now,
            "",
            None,
        )
        second = self._cluster.second()
        second.calls += 1
        second.repeats += self._event_queue.now > call.first_sent_at
        if self._cluster.record_event is not None:
            self._cluster.record_event(
                "call",
                call=call.number,
                ticket=call.ticket,
                action=call.action.path,
                type=kind.name,
                dispatcher=self._cluster.local_dispatchers[call.dispatcher].number,
                deferred=call.deferred,
                limit_ms=kind.timeout_ms,
                front=False,
            )
        dispatcher = self._cluster.local_dispatchers[call.dispatcher]
        call.patience_timer = self._event_queue.after(kind.timeout_ms + 500, self._on_patience_over, call, call.number)
        self._event_queue.after(self._settings.network_ms, self._arrive, dispatcher, call, call.number)

    def _arrive(self, dispatcher: SimulatedDispatcher, call: ClientCall, number: str) -> None:
        if not dispatcher.up:
            self._on_not_taken(call)
        else:
            dispatcher.enqueue_input(self._on_call_arrived, dispatcher, call, number)

    def _on_not_taken(self, call: ClientCall) -> None:
        self._cancel_patience(call)
        self._cluster.second().not_taken += 1
        if self._cluster.record_event is not None:
            self._cluster.record_event("not-taken", call=call.number)
        self._retry_or_end(call, ClientOutcome.NOT_TAKEN)

    def _cancel_patience(self, call: ClientCall) -> None:
        if call.patience_timer is not None:
            call.patience_timer.cancel()
            call.patience_timer = None

    def _on_call_arrived(self, dispatcher: SimulatedDispatcher, call: ClientCall, number: str) -> None:
        if call.number != number:
            return
        gateway, now = dispatcher.gateway, self._event_queue.now
        kind = self._deployment.types[call.action.type]
        key = call.ticket if kind.effect == "deduplicated" else None
        if key is not None:
            known = gateway.find_by_key(call.namespace.name, call.action.path, key, "")
            if known is not None:
                self._join_activation(dispatcher, call, known)
                return
        if call.deferred and gateway.durability.journal is not None and not gateway.durability.journal.is_accepting():
            self._on_not_taken(call)
            return
        refused = gateway.on_connect(now, call.namespace.name, call.action.path, 100, call.ticket)
        if refused is not None:
            self._finish_call(call, "", "rejected", refused.retry_after_ms, None)
            return
        invocation = gateway.submit(
            now,
            WALL_CLOCK_ORIGIN_MS + now,
            Submission(call.namespace.name, call.action, b"{}", key, deferred=call.deferred, client_key=call.ticket),
            lambda record: self._deliver_record(call, number, record),
        )
        call.invocation, call.run = invocation, dispatcher.starts
        if call.deferred:
            dispatcher.schedule_decisions()
            if not invocation.record.final:
                gateway.when_durable(
                    invocation, lambda safe: self._on_promise_settled(dispatcher, call, invocation, safe)
                )
                dispatcher.schedule_decisions()

    def _join_activation(self, dispatcher: SimulatedDispatcher, call: ClientCall, record: Record) -> None:
        invocation = dispatcher.gateway.in_flight_of(record.id)
        if record.visible:
            self._deliver_record(call, call.number, record)
        elif call.deferred or invocation is None:
            self._on_accepted(call, record.id)
        else:
            number = call.number
            invocation.waiters.append(lambda ended: self._deliver_record(call, number, ended))

    def _on_promise_settled(
        self, dispatcher: SimulatedDispatcher, call: ClientCall, invocation: Invocation, safe: bool | None
    ) -> None:
        if safe:
            invocation.waiters.clear()
            self._on_accepted(call, invocation.record.id)
        else:
            dispatcher.gateway.on_client_gone(self._event_queue.now, invocation)
            self._on_not_taken(call)

    def _on_accepted(self, call: ClientCall, activation_id: str) -> None:
        self._cancel_patience(call)
        call.activation = activation_id
        if self._cluster.record_event is not None:
            self._cluster.record_event("accepted", call=call.number, activation=activation_id)
        self._event_queue.after(POLL_MS, self._poll, call)

    def _poll(self, call: ClientCall) -> None:
        kind, dispatcher = (
            self._deployment.types[call.action.type],
            self._cluster.local_dispatchers[call.dispatcher],
        )
        record = dispatcher.gateway.records.get(call.namespace.name, call.activation) if dispatcher.up else None
        if record is not None and record.visible:
            self._finish_with_record(call, record, record.end - record.start)
        elif self._event_queue.now - call.sent_at > kind.timeout_ms + POLLING_GRACE_MS:
            self._on_call_lost(call, "polled")
        else:
            self._event_queue.after(POLL_MS, self._poll, call)

    def _deliver_record(self, call: ClientCall, number: str, record: Record) -> None:
        self._event_queue.after(self._settings.network_ms, self._on_record_received, call, number, record)

    def _on_record_received(self, call: ClientCall, number: str, record: Record) -> None:
        if call.number == number and call.patience_timer is not None:
            self._cancel_patience(call)
            self._finish_with_record(call, record, None)

    def _finish_with_record(self, call: ClientCall, record: Record, took: float | None) -> None:
        repeat_within_ms = record.deduplicated_for_ms or None
        answer = record.answer.value if record.answer is not None else ""
        self._finish_call(call, record.id, answer, record.retry_after_ms, repeat_within_ms, took, record.code)

    def _on_patience_over(self, call: ClientCall, number: str) -> None:
        if call.number == number and call.patience_timer is not None:
            call.patience_timer = None
            dispatcher = self._cluster.local_dispatchers[call.dispatcher]
            if (
                dispatcher.up
                and call.run == dispatcher.starts
                and call.invocation is not None
                and not call.invocation.record.key
            ):
                call.invocation.waiters.clear()
                dispatcher.enqueue_input(self._tell_client_gone, dispatcher, call.invocation)
            self._on_call_lost(call, "no-answer")

    @staticmethod
    def _tell_client_gone(dispatcher: SimulatedDispatcher, invocation: Invocation) -> None:
        dispatcher.gateway.on_client_gone(dispatcher._event_queue.now, invocation)

    def _on_call_lost(self, call: ClientCall, ending: str) -> None:
        self._cluster.second().lost += 1
        self._cluster.give_ups[ending] = self._cluster.give_ups.get(ending, 0) + 1
        if self._cluster.record_event is not None:
            self._cluster.record_event("no-answer", call=call.number, ending=ending)
        self._retry_or_end(call, ClientOutcome.LOST)

    def _finish_call(
        self,
        call: ClientCall,
        activation: str,
        answer: str,
        return_ms: float,
        repeat_within_ms: float | None,
        took: float | None = None,
        code: int = 0,
    ) -> None:
        self._cancel_patience(call)
        kind, second = self._deployment.types[call.action.type], self._cluster.second()
        if self._cluster.record_event is not None:
            self._cluster.record_event(
                "final", call=call.number, activation=activation, answer=answer, status=0, lag=0.0, took=took, code=code
            )
        if answer == "completed":
            took = self._event_queue.now - call.sent_at if took is None else took
            second.completed += 1
            second.in_time += took <= kind.target_ms
            self._cluster.by_namespace[call.namespace.name][1] += took <= kind.target_ms
            self._cluster.latency[kind.name].append(took)
        else:
            self._cluster.give_ups[answer] = self._cluster.give_ups.get(answer, 0) + 1
            if answer == "rejected":
                second.rejected += 1
            else:
                second.aborted += 1
        self._retry_or_end(call, ClientOutcome(answer), return_ms, repeat_within_ms)

    def _retry_or_end(
        self, call: ClientCall, outcome: ClientOutcome, retry_after_ms: float = 0.0, within_ms: float | None = None
    ) -> None:
        """Retry or end the call, by the client's behavior."""
        kind = self._deployment.types[call.action.type]
        wait = retry_delay_ms(
            call.behavior,
            outcome,
            kind.effect,
            kind.timeout_ms,
            retry_after_ms,
            within_ms,
            self._event_queue.now - call.sent_at,
        )
        if wait is not None and outcome is ClientOutcome.NOT_TAKEN and call.tries > -20:
            self._event_queue.after(wait, self._send_call, call, call.dispatcher)
        elif wait is not None and outcome is not ClientOutcome.NOT_TAKEN and call.tries > 0:
            self._event_queue.after(
                wait * float(self._random.uniform(*call.behavior.jitter)), self._send_call, call, call.dispatcher
            )
        elif call.after is not None:
            call.after()
