"""What simulated clients saw of their calls, entered in the cluster's results and its capture."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from kelptrail.settings.deployment import TypeSettings

if TYPE_CHECKING:
    from .clients import ClientCall
    from .cluster import SimulatedCluster


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """A final answer as a client gets it."""

    activation: str
    answer: str  # the stored value of a final status
    retry_after_ms: float = 0.0
    repeat_within_ms: float | None = None
    took_ms: float | None = None  # as the record of a deferred call says, None where the client measures it
    code: int = 0


class CallResults:
    """Enters outcomes of calls in the results of the second in which they are seen."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster

    def _record(self, event: str, /, **fields: Any) -> None:
        if self._cluster.record_event is not None:
            self._cluster.record_event(event, **fields)

    def on_call_wanted(self, call: ClientCall) -> None:
        """A client wants a new call done."""
        self._cluster.by_namespace[call.namespace.name][0] += 1

    def on_call_sent(self, call: ClientCall, dispatcher: int, timeout_ms: float) -> None:
        """A client calls a dispatcher, for the first time or in a retry."""
        second = self._cluster.second()
        second.calls += 1
        second.retries += self._cluster.event_queue.now > call.first_sent_at
        self._record(
            "call",
            call=call.number,
            ticket=call.ticket,
            action=call.action.path,
            type=call.action.type,
            dispatcher=dispatcher,
            deferred=call.deferred,
            limit_ms=timeout_ms,
            front=False,
        )

    def on_not_taken(self, call: ClientCall) -> None:
        """A dispatcher did not accept the call."""
        self._cluster.second().not_taken += 1
        self._record("not-taken", call=call.number)

    def on_accepted(self, call: ClientCall) -> None:
        """A deferred call was acknowledged."""
        self._record("accepted", call=call.number, activation=call.activation)

    def on_lost(self, call: ClientCall, ending: str) -> None:
        """The client has given up waiting."""
        self._cluster.second().lost += 1
        self._count_give_up(ending)
        self._record("no-answer", call=call.number, ending=ending)

    def on_final(self, call: ClientCall, answer: ReceivedAnswer, type_: TypeSettings) -> None:
        """The client has its final answer."""
        self._record(
            "final",
            call=call.number,
            activation=answer.activation,
            answer=answer.answer,
            status=0,
            lag=0.0,
            took=answer.took_ms,
            code=answer.code,
        )
        second = self._cluster.second()
        if answer.answer == "completed":
            now = self._cluster.event_queue.now
            took_ms = now - call.sent_at if answer.took_ms is None else answer.took_ms
            in_time = took_ms <= type_.latency_objective_ms
            second.completed += 1
            second.in_time += in_time
            self._cluster.by_namespace[call.namespace.name][1] += in_time
            self._cluster.latency[type_.name].append(took_ms)
            return
        self._count_give_up(answer.answer)
        if answer.answer == "rejected":
            second.rejected += 1
        else:
            second.aborted += 1

    def _count_give_up(self, cause: str) -> None:
        self._cluster.give_ups[cause] = self._cluster.give_ups.get(cause, 0) + 1
