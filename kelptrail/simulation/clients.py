"""Simulated clients: calls with client-side timeouts, retries, and polling of deferred calls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from kelptrail.gateway.admission import Submission
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.records import Record
from kelptrail.load.choices import NamespaceChoice
from kelptrail.load.client_behavior import (
    ClientBehavior,
    ClientOutcome,
    behavior_of,
    has_attempts_left,
    retry_delay_ms,
)
from kelptrail.load.plan import Load
from kelptrail.settings.deployment import ActionSettings, NamespaceSettings, TypeSettings

from .call_arrivals import CallArrivals
from .call_results import CallResults, ReceivedAnswer
from .dispatchers import WALL_CLOCK_ORIGIN_MS, SimulatedDispatcher
from .event_queue import Timer

if TYPE_CHECKING:
    from .cluster import SimulatedCluster

POLL_INTERVAL_MS = 150.0  # time between two polls of a deferred call
POLL_TIMEOUT_MARGIN_MS = 3000.0  # a polling client gives up this long after the call's timeout
CLIENT_TIMEOUT_MARGIN_MS = 500.0  # a waiting client gives up this long after the call's timeout
REQUEST_BYTES = 100  # size of a request, as the overload control counts it


@dataclass(slots=True, eq=False)
class ClientCall:
    """A call of a client, and the state of its current attempt.  Times are in ms of simulated time."""

    ticket: str  # id of the call, and its idempotency key if its effect is deduplicated
    action: ActionSettings
    namespace: NamespaceSettings
    deferred: bool
    behavior: ClientBehavior
    attempts_left: int
    dispatcher: int = 0  # index in the shard's dispatchers
    sent_at: float = 0.0
    activation: str = ""  # activation id, once the call was acknowledged
    call_id: str = ""  # id of the current attempt, captured as "call"
    first_sent_at: float = 0.0
    timeout_timer: Timer | None = None
    invocation: Invocation | None = None
    dispatcher_start_number: int = 0  # start number of the dispatcher process that accepted the call
    on_finished: Callable[[], None] | None = None  # starts the next pause of a closed loop's client


class SimulatedClients:
    """All clients of one shard, which call its dispatchers and record the outcomes in the cluster's results."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster, self._event_queue, self._settings = cluster, cluster.event_queue, cluster.settings
        self._deployment, self._results = cluster.deployment, CallResults(cluster)
        seed, (number, count) = cluster.seed, cluster.shard_part
        # 7 separates these random numbers from others of the same seed.
        self._random = np.random.default_rng([seed, 7, number, count] if count > 1 else [seed, 7])
        self._arrivals = CallArrivals(cluster, self._random, self._begin_call)
        self._id_prefix = f"{number}-" if count > 1 else ""
        self._ticket_count = self._attempt_count = 0
        self._namespaces = NamespaceChoice(cluster.deployment.namespaces)

    def schedule_arrivals(self, load: Load) -> None:
        """Schedule the calls of a load."""
        self._arrivals.schedule(load)

    # Calls to dispatchers.

    def _begin_call(self, action: ActionSettings, load: Load, on_finished: Callable[[], None] | None = None) -> None:
        self._ticket_count += 1
        random = self._random
        call = ClientCall(
            f"t{self._id_prefix}{self._ticket_count}",
            action,
            self._namespaces.draw(random, load),
            bool(random.random() < load.deferred),
            behavior_of(float(random.random()), load.retry_after_share, load.half_retry_after_share),
            1 + load.retries,
            first_sent_at=self._event_queue.now,
            on_finished=on_finished,
        )
        self._results.on_new_call(call)
        self._call_dispatcher(call, None)

    def _call_dispatcher(self, call: ClientCall, last_dispatcher: int | None) -> None:
        """Call a random dispatcher, or in a retry the one after `last_dispatcher`."""
        call.attempts_left -= 1
        self._attempt_count += 1
        count = len(self._cluster.local_dispatchers)
        if last_dispatcher is None:
            call.dispatcher = int(self._random.integers(count))
        else:
            call.dispatcher = (last_dispatcher + 1) % count
        call.call_id, call.sent_at = f"c{self._id_prefix}{self._attempt_count}", self._event_queue.now
        call.activation, call.invocation = "", None
        dispatcher = self._cluster.local_dispatchers[call.dispatcher]
        timeout_ms = self._type_of(call).timeout_ms
        self._results.on_call_sent(call, dispatcher.number, timeout_ms)
        call.timeout_timer = self._event_queue.after(
            timeout_ms + CLIENT_TIMEOUT_MARGIN_MS, self._on_client_timeout, call, call.call_id
        )
        self._event_queue.after(self._settings.network_ms, self._deliver_call, dispatcher, call, call.call_id)

    def _type_of(self, call: ClientCall) -> TypeSettings:
        return self._deployment.types[call.action.type]

    def _deliver_call(self, dispatcher: SimulatedDispatcher, call: ClientCall, call_id: str) -> None:
        if not dispatcher.up:
            self._on_not_accepted(call)
        else:
            dispatcher.enqueue_input(self._handle_call, dispatcher, call, call_id)

    def _handle_call(self, dispatcher: SimulatedDispatcher, call: ClientCall, call_id: str) -> None:
        if call.call_id != call_id:
            return
        gateway, now = dispatcher.gateway, self._event_queue.now
        key = call.ticket if self._type_of(call).effect == "deduplicated" else None
        if key is not None:
            existing = gateway.find_by_key(call.namespace.name, call.action.path, key, "")
            if existing is not None:
                self._join_activation(dispatcher, call, existing)
                return
        if call.deferred and gateway.durability.journal is not None and not gateway.durability.journal.is_accepting():
            self._on_not_accepted(call)
            return
        refusal = gateway.check_admission(now, call.namespace.name, call.action.path, REQUEST_BYTES, call.ticket)
        if refusal is not None:
            self._finish_call(call, ReceivedAnswer("", "rejected", retry_after_ms=refusal.retry_after_ms))
            return
        self._submit(dispatcher, call, key)

    def _submit(self, dispatcher: SimulatedDispatcher, call: ClientCall, key: str | None) -> None:
        """Submit the call to the gateway core; a deferred call is acknowledged once its record is durable."""
        gateway, now, call_id = dispatcher.gateway, self._event_queue.now, call.call_id
        invocation = gateway.submit(
            now,
            WALL_CLOCK_ORIGIN_MS + now,
            Submission(call.namespace.name, call.action, b"{}", key, deferred=call.deferred, client_key=call.ticket),
            lambda record: self._deliver_record(call, call_id, record),
        )
        call.invocation, call.dispatcher_start_number = invocation, dispatcher.start_number
        if call.deferred:
            dispatcher.run_effects()
            if not invocation.record.final:
                gateway.when_durable(
                    invocation, lambda durable: self._on_durability_known(dispatcher, call, invocation, durable)
                )
                dispatcher.run_effects()

    def _join_activation(self, dispatcher: SimulatedDispatcher, call: ClientCall, record: Record) -> None:
        """Join a call to the activation with its idempotency key.

        A final answer that may be shown is sent at once.  Otherwise a deferred call is acknowledged, and so is any call
        whose activation is not in flight; all other calls wait for the end of the activation.
        """
        invocation = dispatcher.gateway.in_flight_of(record.id)
        if record.visible:
            self._deliver_record(call, call.call_id, record)
        elif call.deferred or invocation is None:
            self._on_accepted(call, record.id)
        else:
            call_id = call.call_id
            invocation.waiters.append(lambda ended: self._deliver_record(call, call_id, ended))

    def _on_durability_known(
        self, dispatcher: SimulatedDispatcher, call: ClientCall, invocation: Invocation, durable: bool | None
    ) -> None:
        """Acknowledge a deferred call if its record is durable; if not, or if that is unknown, it is not accepted."""
        if durable:
            invocation.waiters.clear()  # the client polls for the answer instead
            self._on_accepted(call, invocation.record.id)
        else:
            dispatcher.gateway.on_client_gone(self._event_queue.now, invocation)
            self._on_not_accepted(call)

    # Answers.

    def _on_accepted(self, call: ClientCall, activation_id: str) -> None:
        self._cancel_timeout(call)
        call.activation = activation_id
        self._results.on_accepted(call)
        self._event_queue.after(POLL_INTERVAL_MS, self._poll, call)

    def _poll(self, call: ClientCall) -> None:
        dispatcher = self._cluster.local_dispatchers[call.dispatcher]
        record = dispatcher.gateway.records.get(call.namespace.name, call.activation) if dispatcher.up else None
        if record is not None and record.visible:
            self._finish_with_record(call, record, record.end - record.start)
        elif self._event_queue.now - call.sent_at > self._type_of(call).timeout_ms + POLL_TIMEOUT_MARGIN_MS:
            self._on_call_lost(call, "polled")
        else:
            self._event_queue.after(POLL_INTERVAL_MS, self._poll, call)

    def _deliver_record(self, call: ClientCall, call_id: str, record: Record) -> None:
        self._event_queue.after(self._settings.network_ms, self._on_record_received, call, call_id, record)

    def _on_record_received(self, call: ClientCall, call_id: str, record: Record) -> None:
        if call.call_id == call_id and call.timeout_timer is not None:
            self._cancel_timeout(call)
            self._finish_with_record(call, record, None)

    def _finish_with_record(self, call: ClientCall, record: Record, latency_ms: float | None) -> None:
        answer = ReceivedAnswer(
            record.id,
            record.answer.value if record.answer is not None else "",
            retry_after_ms=record.retry_after_ms,
            repeat_within_ms=record.deduplicated_for_ms or None,
            latency_ms=latency_ms,
            code=record.code,
        )
        self._finish_call(call, answer)

    def _finish_call(self, call: ClientCall, answer: ReceivedAnswer) -> None:
        self._cancel_timeout(call)
        self._results.on_final(call, answer, self._type_of(call))
        self._retry_or_end(call, ClientOutcome(answer.answer), answer.retry_after_ms, answer.repeat_within_ms)

    # Calls without an answer.

    def _on_not_accepted(self, call: ClientCall) -> None:
        self._cancel_timeout(call)
        self._results.on_not_accepted(call)
        self._retry_or_end(call, ClientOutcome.NOT_TAKEN)

    def _cancel_timeout(self, call: ClientCall) -> None:
        if call.timeout_timer is not None:
            call.timeout_timer.cancel()
            call.timeout_timer = None

    def _on_client_timeout(self, call: ClientCall, call_id: str) -> None:
        if call.call_id != call_id or call.timeout_timer is None:
            return
        call.timeout_timer = None
        dispatcher, invocation = self._cluster.local_dispatchers[call.dispatcher], call.invocation
        same_process_is_up = dispatcher.up and call.dispatcher_start_number == dispatcher.start_number
        # An activation with an idempotency key continues, as the client may retry with the key.
        if same_process_is_up and invocation is not None and not invocation.record.key:
            invocation.waiters.clear()
            dispatcher.enqueue_input(dispatcher.on_client_gone, invocation)
        self._on_call_lost(call, "no-answer")

    def _on_call_lost(self, call: ClientCall, cause: str) -> None:
        self._results.on_lost(call, cause)
        self._retry_or_end(call, ClientOutcome.LOST)

    def _retry_or_end(
        self,
        call: ClientCall,
        outcome: ClientOutcome,
        retry_after_ms: float = 0.0,
        repeat_within_ms: float | None = None,
    ) -> None:
        """Retry the call or end it, according to the client's behavior."""
        type_ = self._type_of(call)
        delay_ms = retry_delay_ms(
            call.behavior,
            outcome,
            type_.effect,
            type_.timeout_ms,
            retry_after_ms,
            repeat_within_ms,
            self._event_queue.now - call.sent_at,
        )
        if delay_ms is None or not has_attempts_left(outcome, call.attempts_left):
            if call.on_finished is not None:
                call.on_finished()
            return
        if outcome is not ClientOutcome.NOT_TAKEN:
            delay_ms *= float(self._random.uniform(*call.behavior.jitter))
        self._event_queue.after(delay_ms, self._call_dispatcher, call, call.dispatcher)
