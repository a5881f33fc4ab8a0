"""Queueing delay, limits, load shedding and fair shares of the functions' queues.  Times are milliseconds."""

from __future__ import annotations

from zlib import crc32

from .entities import Function, Request, RequestClass, Tenant
from .sliding_window import drop_until

ADMIT_MORE_STEP = 0.02  # the admitted share grows by so much for each timely response
ADMIT_LESS_FACTOR = 0.96  # and shrinks to this share of itself for each late or refused attempt
MIN_ADMITTED_SHARE = 0.05  # enough requests to notice that an overload has ended
QUOTA_WINDOW_MS = 2000  # a tenant's share of the requests is measured over this time
QUOTA_TOLERANCE = 1.25  # a tenant may exceed its share by so much
OVER_QUOTA_SHARE = 0.5  # of the limits, for requests beyond the tenant's quota
MIN_RUN_MS = 5.0  # no attempt starts with less time left to the deadline
LATENCY_SHARE = 0.5  # nor with less than this share of the function's mean latency
INITIAL_INSTANCE_LIMIT = 4  # instances of one function, until queueing raises the limit
QUEUED_PER_SLOT = 4  # queued requests for each concurrency slot
CRC_RANGE = 2**32


class RequestQueues:
    """Limits and fairness of the queues, one for each function."""

    def __init__(self, seed: int, request_classes: list[RequestClass], tenants: list[Tenant]) -> None:
        self._seed, self._draws, self._tenants = seed, 0, tenants
        self._max_weight = max(request_class.priority_weight for request_class in request_classes)
        self._admitted_share = 1.0
        self._last_delayed: Function | None = None

    def observe_worker_delay(self, function: Function, delayed: bool) -> None:
        """Record whether an attempt was late or refused for capacity: queueing at the workers counts like
        queueing here.  Delays of one function in a row count once.
        """
        if not delayed:
            self._admitted_share = min(1.0, self._admitted_share + ADMIT_MORE_STEP)
        elif function is not self._last_delayed:
            self._admitted_share = max(MIN_ADMITTED_SHARE, ADMIT_LESS_FACTOR * self._admitted_share)
            self._last_delayed = function

    def should_shed(self, quota_factor: float, request: Request) -> bool:
        """Whether to shed the request.  Guards against overload that shows in no dispatcher's own queues:
        requests of the lowest priority are shed first.
        """
        self._draws += self._admitted_share < 1
        weight = request.request_class.priority_weight
        admitted = self._admitted_share ** (self._max_weight / weight / quota_factor)
        draw = crc32(f"{self._seed} shed {self._draws}".encode())
        return self._admitted_share < 1 and draw > admitted * CRC_RANGE

    def over_quota(self, now: float, request: Request) -> bool:
        """Whether the tenant exceeds its share of the requests.  Guards against one tenant's surge that
        crowds out the others.
        """
        if request.tenant is None:
            return False
        total = sum(len(drop_until(tenant.request_times, now - QUOTA_WINDOW_MS)) for tenant in self._tenants)
        share = request.tenant.quota_per_s / sum(tenant.quota_per_s for tenant in self._tenants)
        return len(request.tenant.request_times) > QUOTA_TOLERANCE * share * total

    def latest_start(self, request: Request) -> float:
        """When the last useful attempt starts.  Guards against executions whose result no client waits for:
        short deadlines, and requests that spent most of theirs in a queue.
        """
        return request.deadline - max(MIN_RUN_MS, LATENCY_SHARE * request.function.mean_latency_ms)

    def over_limit(self, now: float, request: Request, slots: int) -> bool:
        """Whether the queue is over its limit, here or at the workers; beyond the tenant's quota, over half
        of it.
        """
        function = request.function
        quota_factor = OVER_QUOTA_SHARE if self.over_quota(now, request) else 1.0
        limit = quota_factor * QUEUED_PER_SLOT * max(slots, function.concurrency)
        return function.queue_depth >= limit or self.should_shed(quota_factor, request)

    def instance_limit(self, now: float, function: Function, has_capacity: bool) -> int:
        """The most instances of the function.  A queue that lasts longer than a load raises it by the
        instances that the queue would fill, at most twofold.  Guards against a cold start in which instances
        added one by one took some twenty load times.
        """
        function.instance_limit = function.instance_limit or INITIAL_INSTANCE_LIMIT
        function.queued_since = now if function.queued_since is None else function.queued_since
        if has_capacity and now - function.queued_since > function.load_ms:
            needed = function.queue_depth // (QUEUED_PER_SLOT * function.concurrency)
            function.instance_limit += max(1, min(function.instance_limit, needed))
            function.queued_since = now
        return max(function.instance_limit, int(function.target_worker_count))
