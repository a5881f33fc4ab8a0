"""Limits, load shedding and tenant quotas for the queues of functions.  Times are milliseconds."""

from __future__ import annotations

from zlib import crc32

from .entities import QUOTA_WINDOW_MS, Function, Request, RequestClass, Tenant

ADMIT_MORE_STEP = 0.02  # added to the admitted share for each response in time
ADMIT_LESS_FACTOR = 0.96  # multiplies the admitted share for each late or refused attempt
MIN_ADMITTED_SHARE = 0.05  # admits enough requests to detect that an overload has ended
QUOTA_TOLERANCE = 1.25  # a tenant may exceed its share by this factor
OVER_QUOTA_SHARE = 0.5  # multiplies the limits for requests beyond the quota of their tenant
MIN_RUN_MS = 5.0  # no attempt starts with less time left to the deadline
LATENCY_SHARE = 0.5  # no attempt starts if less than this share of the mean latency is left to the deadline
INITIAL_INSTANCE_LIMIT = 4  # limit on the instances of a function until queueing raises it
QUEUED_PER_SLOT = 4  # limit on queued requests for each concurrency slot
CRC_RANGE = 2**32


class RequestQueues:
    """Decides which requests may be queued and how many instances a function may have."""

    def __init__(self, seed: int, request_classes: list[RequestClass], tenants: list[Tenant]) -> None:
        self._seed, self._draws, self._tenants = seed, 0, tenants
        self._max_weight = max(request_class.priority_weight for request_class in request_classes)
        self._admitted_share = 1.0
        self._last_delayed: Function | None = None

    def observe_worker_delay(self, function: Function, delayed: bool) -> None:
        """Record whether an attempt was late or refused for lack of capacity.  Either shows that requests
        queue at the workers, and lowers the share of requests that are admitted.  Successive delays of the
        same function count once, even with attempts in time between them.
        """
        if not delayed:
            self._admitted_share = min(1.0, self._admitted_share + ADMIT_MORE_STEP)
        elif function is not self._last_delayed:
            self._admitted_share = max(MIN_ADMITTED_SHARE, ADMIT_LESS_FACTOR * self._admitted_share)
            self._last_delayed = function

    def should_shed(self, quota_factor: float, request: Request) -> bool:
        """Return whether to shed the request.  This handles overload of the workers that shows in no
        dispatcher's own queues.  The probability is higher for requests of a lower priority or beyond the
        quota of their tenant, whose `quota_factor` is less than 1.
        """
        self._draws += self._admitted_share < 1
        weight = request.request_class.priority_weight
        admitted = self._admitted_share ** (self._max_weight / weight / quota_factor)
        draw = crc32(f"{self._seed} shed {self._draws}".encode())
        return self._admitted_share < 1 and draw > admitted * CRC_RANGE

    def over_quota(self, now: float, request: Request) -> bool:
        """Return whether the tenant exceeds its share of the requests, so that a surge of one tenant does not
        displace the requests of others.
        """
        if request.tenant is None:
            return False
        total = sum(tenant.recent_requests.count_after(now - QUOTA_WINDOW_MS) for tenant in self._tenants)
        share = request.tenant.quota_per_s / sum(tenant.quota_per_s for tenant in self._tenants)
        return len(request.tenant.recent_requests) > QUOTA_TOLERANCE * share * total

    def latest_start(self, request: Request) -> float:
        """Return the latest time at which an attempt is useful.  Later attempts, of requests with a short
        deadline or a long time in the queue, would finish when no client waits for the result.
        """
        return request.deadline - max(MIN_RUN_MS, LATENCY_SHARE * request.function.mean_latency_ms)

    def over_limit(self, now: float, request: Request, slots: int) -> bool:
        """Return whether the request exceeds the limit of its queue or has to be shed.  Half of the limit
        applies to requests beyond their tenant's quota.
        """
        function = request.function
        quota_factor = OVER_QUOTA_SHARE if self.over_quota(now, request) else 1.0
        limit = quota_factor * QUEUED_PER_SLOT * max(slots, function.concurrency)
        return function.queue_depth >= limit or self.should_shed(quota_factor, request)

    def instance_limit(self, now: float, function: Function, has_capacity: bool) -> int:
        """Return the maximum number of instances of the function.  If there is capacity, a queue that lasts
        longer than one load time raises it by the number of instances that the queue would fill, but by at
        least one and at most to twice its value.  It is never less than the number of workers that share the
        function.  Adding one instance at a time would take some twenty load times at a cold start.
        """
        function.instance_limit = function.instance_limit or INITIAL_INSTANCE_LIMIT
        function.queued_since = now if function.queued_since is None else function.queued_since
        if has_capacity and now - function.queued_since > function.load_ms:
            needed = function.queue_depth // (QUEUED_PER_SLOT * function.concurrency)
            function.instance_limit += max(1, min(function.instance_limit, needed))
            function.queued_since = now
        return max(function.instance_limit, int(function.target_worker_count))
