"""The five rules, enforced where every send, order and final answer passes.  Times are milliseconds."""

from __future__ import annotations

from collections import deque
from contextlib import suppress

from .entities import Activation, Copy, Effect, Order, Send, Worker
from .sliding_window import drop_until
from .slow_start import SlowStart


class Gate(SlowStart):
    """The five rules, enforced where every send, order and final answer passes."""

    def __init__(
        self,
        seed: int,
        parallel: bool,
        most_sends: int,
        tip: float,
        tip_ms: float,
        cold_share: float,
        cold_ms: float,
        ration: tuple[bool, float, float, float],
        connect_ms: float = 0.0,
    ) -> None:
        super().__init__(seed, tip, tip_ms, cold_share, cold_ms, connect_ms)
        self._parallel, self._most_sends = parallel, most_sends
        self._loads, self._free, self._share, self._span = ration  # any orders; free ones, a share, a time
        self._orders, self.taken = deque[float](), deque[float]()

    def open(self, now: float, act: Activation) -> bool:
        """Rules 1 and 2, as far as they do not depend on the worker."""
        out = sum(send.outcome is None for send in act.sends)
        if act.verdict or act.bound or len(act.sends) >= self._most_sends or out > self._parallel:
            return False
        return now < min(act.deadline, self.shuts(act))

    def shuts(self, act: Activation) -> float:
        """When another run has a second effect, where the group that drops repeats is kept to."""
        if (
            act.type.effect is Effect.REPEATABLE
            or (first := next((send for send in act.sends if send.may_have_run), None)) is None
        ):
            return float("inf")
        return first.sent + act.type.remembered_ms - 20 if act.type.effect is Effect.DEDUPLICATED else 0.0

    def may_send(self, now: float, act: Activation, worker: Worker) -> bool:
        if not worker.live or not self.open(now, act):
            return False
        if act.type.effect is Effect.DEDUPLICATED and act.type.scope != "all":
            first = next((s.copy.worker for s in act.sends if s.may_have_run), worker)
            if getattr(first, act.type.scope) != getattr(worker, act.type.scope):
                return False
        return self.spare(now, worker)

    def send(self, now: float, act: Activation, copy: Copy) -> Send | None:
        if not self.may_send(now, act, copy.worker):
            return None
        until = self.shuts(act)
        if self.warmth(now, copy.worker) < 1:
            copy.worker.recent.append(now)
            until = min(until, now + (self._late or float("inf")))
        send = Send(act, copy, len(act.sends), now, until=until)
        act.sends.append(send)
        return send

    def order(self, now: float, copy: Copy, count: int, spare: float = 0.0) -> Order | None:
        """A hold order within the ration; `spare` of the ration is left for others.  Count 0 only asks.
        Guards against orders that wait for a connection and arrive among those of the time after."""
        if count and self._loads:
            ration = self._free + self._share * len(drop_until(self.taken, now - self._span + self._late + 1))
            orders = len(drop_until(self._orders, now - self._span - self._late)) + 1
            if not copy.worker.live or (self._span and orders > ration * (1 - spare)):
                return None
            self._orders.append(now)
        if not self._loads:
            return None
        until = now + self._late if count and self._late else float("inf")
        return Order(copy, min(count, 16), now, until)  # the most that an order may name

    def may_begin(self, now: float, item: Send | Order) -> bool:
        """Whether a send or an order that was decided may begin to leave now.  Guards against what came
        between the decision and a connection that takes it: a client that went, an answer, a drain, time."""
        if not (item.copy.worker.live and now < item.until):
            return False
        if isinstance(item, Order):
            return item.copy.order is item
        return item.outcome is None and not item.revoked and item.act.verdict is None

    def uncount(self, act: Activation) -> None:
        """It earns no orders.  Guards against calls that are no work: taken back unsent, nowhere loadable."""
        with suppress(ValueError):
            self.taken.remove(act.taken)

    def end(self, now: float, act: Activation, return_ms: float = 0.0) -> Activation:
        """The one final answer: rejected where that promises the truth, else aborted.  Guards against clients
        that come again without the mark, or when nobody remembers it, and have a second effect; `return_ms`
        is when they are told to."""
        free = act.type.effect is not Effect.DEDUPLICATED or (act.marked and act.type.scope == "all")
        again = (free and now + return_ms < self.shuts(act)) or not any(s.may_have_run for s in act.sends)
        again = again and act.bound is None  # its client has seen a part of a streamed answer
        act.verdict = "rejected" if again else "aborted"
        return act
