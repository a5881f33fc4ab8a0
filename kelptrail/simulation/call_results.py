"""Outcomes of simulated clients' calls, recorded in the cluster's results and its capture."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from kelptrail.settings.deployment import TypeSettings

if TYPE_CHECKING:
    from .clients import ClientCall
    from .cluster import SimulatedCluster


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """A final answer as the client receives it."""

    activation: str
    answer: str  # "completed", "rejected" or "aborted"
    retry_after_ms: float = 0.0
    repeat_within_ms: float | None = None  # time for which a retry is safe; None if it always is
    latency_ms: float | None = None  # from the record of a deferred call; None if the client measures it
    code: int = 0


class CallResults:
    """Adds outcomes of calls to the results of the second in which the client observes them."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster

    def _record(self, event: str, /, **fields: Any) -> None:
        if self._cluster.record_event is not None:
            self._cluster.record_event(event, **fields)

    def on_new_call(self, call: ClientCall) -> None:
        """Count a new call of a client."""
        self._cluster.calls_by_namespace[call.namespace.name][0] += 1

    def on_call_sent(self, call: ClientCall, dispatcher: int, timeout_ms: float) -> None:
        """Record that a client calls a dispatcher, for the first time or in a retry."""
        second = self._cluster.current_second()
        second.calls += 1
        second.retries += self._cluster.event_queue.now > call.first_sent_at
        self._record(
            "call",
            call=call.call_id,
            ticket=call.ticket,
            action=call.action.path,
            type=call.action.type,
            dispatcher=dispatcher,
            deferred=call.deferred,
            limit_ms=timeout_ms,
            front=False,
        )

    def on_not_accepted(self, call: ClientCall) -> None:
        """Record that a dispatcher did not accept the call."""
        self._cluster.current_second().not_taken += 1
        self._record("not-taken", call=call.call_id)

    def on_accepted(self, call: ClientCall) -> None:
        """Record that a deferred call was acknowledged."""
        self._record("accepted", call=call.call_id, activation=call.activation)

    def on_lost(self, call: ClientCall, cause: str) -> None:
        """Record that the client stopped waiting (cause "no-answer") or polling (cause "polled")."""
        self._cluster.current_second().lost += 1
        self._count_give_up(cause)
        self._record("no-answer", call=call.call_id, ending=cause)

    def on_final(self, call: ClientCall, answer: ReceivedAnswer, type_: TypeSettings) -> None:
        """Record the final answer of a call."""
        self._record(
            "final",
            call=call.call_id,
            activation=answer.activation,
            answer=answer.answer,
            status=0,
            lag=0.0,
            took=answer.latency_ms,
            code=answer.code,
        )
        second = self._cluster.current_second()
        if answer.answer == "completed":
            now = self._cluster.event_queue.now
            latency_ms = now - call.sent_at if answer.latency_ms is None else answer.latency_ms
            in_time = latency_ms <= type_.latency_objective_ms
            second.completed += 1
            second.in_time += in_time
            self._cluster.calls_by_namespace[call.namespace.name][1] += in_time
            self._cluster.latency[type_.name].append(latency_ms)
            return
        self._count_give_up(answer.answer)
        if answer.answer == "rejected":
            second.rejected += 1
        else:
            second.aborted += 1

    def _count_give_up(self, cause: str) -> None:
        self._cluster.give_ups[cause] = self._cluster.give_ups.get(cause, 0) + 1
