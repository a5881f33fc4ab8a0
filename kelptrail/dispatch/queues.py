"""Queueing delay, limits, load shedding and fair shares of the functions' queues.  Times are milliseconds."""

from __future__ import annotations

from zlib import crc32

from .entities import Function, Request, Tenant
from .entities import RequestClass as Type
from .sliding_window import drop_until


class RequestQueues:
    """Lag, limit, bound and fairness of the queues, one for each function."""

    def __init__(self, seed: int, types: list[Type], customers: list[Tenant]) -> None:
        self._seed, self._draws, self._most = (
            seed,
            0,
            max(request_class.priority_weight for request_class in types),
        )
        self._open, self._hurt = 1.0, None  # the share admitted, and the last function late at a worker
        self._customers, self._limit, self._per_lane = customers, 4, 4  # copies at first; waiting a lane

    def observe_worker_delay(self, function: Function, bad: bool) -> None:
        """Lag at the workers is lag too: late and turned-away sends, of functions in turn."""
        if not bad:
            self._open = min(1.0, self._open + 0.02)
        elif function is not self._hurt:
            self._open, self._hurt = max(0.05, 0.96 * self._open), function

    def should_shed(self, part: float, request: Request) -> bool:
        """Guards against overload that shows in no dispatcher's own queues: the least useful go first."""
        self._draws += self._open < 1
        part = self._open ** (self._most / request.request_class.priority_weight / part)
        return self._open < 1 and crc32(f"{self._seed} shed {self._draws}".encode()) > part * 2**32

    def over_quota(self, now: float, request: Request) -> bool:
        if request.tenant is None:  # guards against a customer's surge that crowds out the rest
            return False
        seen = sum(len(drop_until(tenant.request_times, now - 2000)) for tenant in self._customers)
        allowed = request.tenant.quota_per_s / sum(customer.quota_per_s for customer in self._customers)
        return len(request.tenant.request_times) > 1.25 * allowed * seen

    def latest_start(self, request: Request) -> float:
        """Guards against runs that nobody waits for: impatient clients, late hours of a queue."""
        return request.deadline - max(5.0, 0.5 * request.function.mean_latency_ms)

    def over_limit(self, now: float, request: Request, lanes: int) -> bool:
        """Whether the lag is past its bound, here or at the workers; beyond a share at half of it."""
        function, part = request.function, 0.5 if self.over_quota(now, request) else 1.0
        return function.queue_depth >= part * self._per_lane * max(
            lanes, function.concurrency
        ) or self.should_shed(part, request)

    def instance_limit(self, now: float, function: Function, room: bool) -> int:
        """Lag that outlasts a load time raises it by what the lag would fill, at most twofold.  Guards
        against a start with nothing, where one by one took some twenty load times."""
        function.instance_limit = function.instance_limit or self._limit
        function.queued_since = now if function.queued_since is None else function.queued_since
        if room and now - function.queued_since > function.load_ms:
            deep = function.queue_depth // (self._per_lane * function.concurrency)
            function.instance_limit, function.queued_since = (
                function.instance_limit + max(1, min(function.instance_limit, deep)),
                now,
            )
        return max(function.instance_limit, int(function.target_worker_count))
