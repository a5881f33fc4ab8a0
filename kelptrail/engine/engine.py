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
    Activation,
    Customer,
    Function,
    NamespaceType,
    Order,
    Outcome,
    Send,
    State,
    Worker,
)
from kelptrail.dispatch.instance_table import Copies
from kelptrail.dispatch.outlier_detection import Health
from kelptrail.dispatch.placement import Placement
from kelptrail.dispatch.queues import Queues
from kelptrail.dispatch.safety import Gate
from kelptrail.dispatch.timer_queue import Agenda

from .settings import read


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of a worker list; `started` on the door's clock, None for long ago."""

    id: str
    zone: int
    kind: int
    cell: int
    state: State
    size: float
    started: float | None


class Host:
    """One dispatcher, apart from all others, and the objects behind the ids it is told of."""

    def __init__(self, seed: int, settings: Mapping[str, Any]) -> None:
        told = read(settings)
        self.types, self.customers, self.fields = told.types, told.customers, told.fields
        self.tells_warm = told.tells_warm
        agenda, health = Agenda(), Health()
        gate = Gate(
            seed,
            told.parallel,
            told.most_sends,
            told.tip,
            told.tip_ms,
            told.cold_share,
            told.cold_ms,
            told.ration,
            told.connect_ms,
        )
        self._dispatcher = Dispatcher(
            gate,
            health,
            Placement(gate, health, told.zone, seed),
            Copies(agenda, told.keep_ms, told.loads),
            Queues(seed, self.types, self.customers),
            agenda,
            told.cancels,
            told.longest_return_ms,
        )
        self.beat_ms = self._dispatcher.beat_ms
        self.next_due = agenda.next_due
        self.workers: dict[str, Worker] = {}
        self.functions: dict[str, Function] = {}
        self.acts: dict[str, Activation] = {}

    def taken(
        self,
        now: float,
        id_: str,
        type_: NamespaceType,
        customer: Customer | None,
        function_id: str,
        left_ms: float,
        memory_mb: float,
        lanes: int,
        load_ms: float | None,
        effort_ms: float | None,
    ) -> Activation:
        """An activation that is owed a final answer within `left_ms`."""
        function = self.functions.get(function_id)
        if function is None:
            function = self.functions[function_id] = Function(
                function_id, type_, memory_mb, max(1, lanes), load_ms or 0.0
            )
        act = Activation(id_, type_, function, customer, now, now + left_ms, effort_ms)
        self.acts[id_] = act
        self._dispatcher.taken(now, act)
        return act

    def answered(
        self,
        now: float,
        send: Send,
        outcome: Outcome,
        over: bool,
        load_failed: bool = False,
        warm: bool | None = None,
        company: int = 0,
        report: Sequence[float] | None = None,
    ) -> None:
        """How a send ended; `report` in the order of the settings' fields."""
        told = dict(zip(self.fields, report, strict=True)) if report else None
        self._dispatcher.answered(
            now, send, outcome, over, load_failed, warm if self.tells_warm else None, company, told
        )
        self.settle(send.act)

    def left(self, act: Activation) -> None:
        """Nobody waits for it any more."""
        self._dispatcher.left(act)
        self.settle(act)

    def told(self, now: float, order: Order, outcome: Outcome, standing: int) -> None:
        """How a hold order ended, and how many copies stand."""
        self._dispatcher.told(now, order, outcome, standing)

    def listed(self, now: float, whole: bool, entries: Iterable[Entry]) -> list[Worker]:
        """A list or what changed of it; returns the workers that started anew under their id."""
        entries = list(entries)
        named = {entry.id for entry in entries}
        restarted = []
        for id_, worker in self.workers.items():
            if whole and id_ not in named:
                worker.state = State.GONE
        for entry in entries:
            worker = self.workers.get(entry.id)
            if worker is None:
                worker = self.workers[entry.id] = Worker(entry.id)
            if entry.started != worker.started and entry.started is not None:
                restarted.append(worker)
            worker.zone, worker.cell, worker.kind = entry.zone, entry.cell, entry.kind
            worker.size, worker.state, worker.started = entry.size, entry.state, entry.started
        self._dispatcher.listed(now, list(self.workers.values()), restarted)
        for id_ in [id_ for id_, worker in self.workers.items() if worker.gone and not worker.sends]:
            del self.workers[id_]
        return restarted

    def stopped(self, now: float, act: Activation) -> Activation:
        """The process ends and can wait for a request no longer: the request with its final answer."""
        ended = self._dispatcher.stopped(now, act)
        self.settle(ended)
        return ended

    def may_begin(self, now: float, item: Send | Order) -> bool:
        """Whether a send or an order that was decided may still begin to leave."""
        return self._dispatcher.may_begin(now, item)

    def beat(self, now: float) -> None:
        """The periodic work, every `beat_ms`."""
        if (stale := self._dispatcher.beat(now)) is not None:
            del self.functions[stale.id]

    def decide(self, now: float) -> Decision | None:
        """The next decision of the moment, or None."""
        decision = self._dispatcher.decide(now)
        if isinstance(decision, Activation):
            self.settle(decision)
        return decision

    def settle(self, act: Activation) -> None:
        """Forget an activation once it is over and nothing of it is out."""
        if act.verdict is not None and all(send.outcome is not None for send in act.sends):
            self.acts.pop(act.id, None)
