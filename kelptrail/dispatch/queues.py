"""Queueing delay, limits, load shedding and fair shares of the functions' queues.  Times are milliseconds."""

from __future__ import annotations

from zlib import crc32

from .entities import Activation, Customer, Function
from .entities import NamespaceType as Type
from .sliding_window import drop_until


class Queues:
    """Lag, limit, bound and fairness of the queues, one for each function."""

    def __init__(self, seed: int, types: list[Type], customers: list[Customer]) -> None:
        self._seed, self._draws, self._most = seed, 0, max(type_.utility for type_ in types)
        self._open, self._hurt = 1.0, None  # the share admitted, and the last function late at a worker
        self._customers, self._limit, self._per_lane = customers, 4, 4  # copies at first; waiting a lane

    def felt(self, function: Function, bad: bool) -> None:
        """Lag at the workers is lag too: late and turned-away sends, of functions in turn."""
        if not bad:
            self._open = min(1.0, self._open + 0.02)
        elif function is not self._hurt:
            self._open, self._hurt = max(0.05, 0.96 * self._open), function

    def shed(self, part: float, act: Activation) -> bool:
        """Guards against overload that shows in no dispatcher's own queues: the least useful go first."""
        self._draws += self._open < 1
        part = self._open ** (self._most / act.type.utility / part)
        return self._open < 1 and crc32(f"{self._seed} shed {self._draws}".encode()) > part * 2**32

    def over_share(self, now: float, act: Activation) -> bool:
        if act.customer is None:  # guards against a customer's surge that crowds out the rest
            return False
        seen = sum(len(drop_until(customer.taken, now - 2000)) for customer in self._customers)
        allowed = act.customer.allowed_per_s / sum(customer.allowed_per_s for customer in self._customers)
        return len(act.customer.taken) > 1.25 * allowed * seen

    def last(self, act: Activation) -> float:
        """Guards against runs that nobody waits for: impatient clients, late hours of a queue."""
        return act.deadline - max(5.0, 0.5 * act.function.usual_ms)

    def beyond(self, now: float, act: Activation, lanes: int) -> bool:
        """Whether the lag is past its bound, here or at the workers; beyond a share at half of it."""
        function, part = act.function, 0.5 if self.over_share(now, act) else 1.0
        return function.lag >= part * self._per_lane * max(lanes, function.lanes) or self.shed(part, act)

    def limit(self, now: float, function: Function, room: bool) -> int:
        """Lag that outlasts a load time raises it by what the lag would fill, at most twofold.  Guards
        against a start with nothing, where one by one took some twenty load times."""
        function.limit = function.limit or self._limit
        function.lag_since = now if function.lag_since is None else function.lag_since
        if room and now - function.lag_since > function.load_ms:
            deep = function.lag // (self._per_lane * function.lanes)
            function.limit, function.lag_since = function.limit + max(1, min(function.limit, deep)), now
        return max(function.limit, int(function.spread))
