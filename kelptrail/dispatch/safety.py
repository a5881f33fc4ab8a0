"""Enforces the five rules of `docs/design.md` where attempts, load orders and final answers are created.

Times are milliseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .entities import (
    NEVER,
    Attempt,
    FinalStatus,
    Idempotency,
    Instance,
    LoadOrder,
    Request,
    Worker,
)
from .readiness import Readiness, ReadinessLimits
from .sliding_window import EventWindow, drop_until
from .slow_start import SlowStart, SlowStartSettings

DEDUPLICATION_MARGIN_MS = 20.0  # minimum time from a retry to the end of the deduplication window
MAX_LOAD_COUNT = 16  # maximum number of instances in one load order


@dataclass(frozen=True, slots=True)
class LoadRation:
    """The limit on the load orders of one dispatcher.  The fields are in the order of the platform's keys."""

    loads_allowed: bool  # the platform accepts load orders at all
    free_loads: float  # load orders allowed in a window without requests
    loads_per_request: float  # further load orders for each request in the window
    window_ms: float  # 0: no limit


@dataclass(frozen=True, slots=True)
class SafetySettings:
    """The limits on attempts and load orders."""

    parallel_attempts: bool  # two attempts of one request may be in flight
    max_attempts: int
    load_ration: LoadRation


class SafetyGuard(SlowStart):
    """Enforces the five rules: creates all attempts, load orders and final answers without a result."""

    def __init__(
        self,
        seed: int,
        settings: SafetySettings,
        slow_start: SlowStartSettings,
        readiness: ReadinessLimits | None = None,
    ) -> None:
        super().__init__(seed, slow_start)
        self.readiness = Readiness(readiness or ReadinessLimits(), seed)
        self._parallel_attempts, self._max_attempts = settings.parallel_attempts, settings.max_attempts
        ration = settings.load_ration
        self._loads_allowed, self._free_loads = ration.loads_allowed, ration.free_loads
        self._loads_per_request, self._ration_window_ms = ration.loads_per_request, ration.window_ms
        self._load_times, self.counted_requests = deque[float](), EventWindow(ration.window_ms)

    def accepts_attempt(self, now: float, request: Request) -> bool:
        """Return whether the conditions of rules 1 and 2 that do not depend on the worker allow another
        attempt.
        """
        in_flight = sum(attempt.status is None for attempt in request.attempts)
        if (
            request.final_status
            or request.streaming_attempt
            or len(request.attempts) >= self._max_attempts
            or in_flight > self._parallel_attempts
        ):
            return False
        return now < min(request.deadline, self.latest_retry_at(request))

    def latest_retry_at(self, request: Request) -> float:
        """Return the time from which another execution could have a second effect, even within the
        deduplication scope: `NEVER` if none can have one, 0 if any can.
        """
        if (
            request.request_class.idempotency is Idempotency.IDEMPOTENT
            or (first := next((attempt for attempt in request.attempts if attempt.may_have_run), None))
            is None
        ):
            return NEVER
        return (
            first.started_at + request.request_class.deduplication_window_ms - DEDUPLICATION_MARGIN_MS
            if request.request_class.idempotency is Idempotency.DEDUPLICATED
            else 0.0
        )

    def may_attempt(self, now: float, request: Request, worker: Worker) -> bool:
        """Return whether an attempt of the request may start at the worker now."""
        return self.readiness.is_known(now, worker) and self.may_attempt_once_ready(now, request, worker)

    def may_attempt_once_ready(self, now: float, request: Request, worker: Worker) -> bool:
        """Return whether an attempt may start at the worker now, provided that the worker does not drain."""
        if not worker.live or not self.accepts_attempt(now, request):
            return False
        if request.request_class.idempotency is Idempotency.DEDUPLICATED and not _deduplicates_retry(
            request, worker
        ):
            return False
        return self.has_budget(now, worker)

    def start_attempt(self, now: float, request: Request, instance: Instance) -> Attempt | None:
        """Create the next attempt of the request; return None if the rules do not allow it."""
        if not self.may_attempt(now, request, instance.worker):
            return None
        latest_start = self.latest_retry_at(request)
        if self.capacity_factor(now, instance.worker) < 1:
            instance.worker.recent_times.append(now)
            latest_start = min(latest_start, now + (self._max_delivery_ms or NEVER))
        attempt = Attempt(request, instance, len(request.attempts), now, latest_start=latest_start)
        request.attempts.append(attempt)
        return attempt

    def start_load(
        self, now: float, instance: Instance, count: int, reserve: float = 0.0
    ) -> LoadOrder | None:
        """Create a load order within the load ration, or return None.  The share `reserve` of the ration is
        left for other loads.  The order has a latest start, so that orders that wait for a connection do not
        arrive together with those of the next window.
        """
        if not self._loads_allowed or not self.readiness.is_known(now, instance.worker):
            return None
        if not self._take_from_ration(now, instance.worker, reserve):
            return None
        latest_start = now + self._max_delivery_ms if self._max_delivery_ms else NEVER
        return LoadOrder(instance, min(count, MAX_LOAD_COUNT), now, latest_start)

    def _take_from_ration(self, now: float, worker: Worker, reserve: float) -> bool:
        """Count a load order if the worker is live and the ration allows it; return whether it does."""
        # The ration applies to orders as they arrive, up to `max_delivery_ms` after their decision.  Requests
        # therefore count for a shorter time than the window, and orders for a longer time.
        requests = self.counted_requests.count_after(now - self._ration_window_ms + self._max_delivery_ms + 1)
        ration = self._free_loads + self._loads_per_request * requests
        orders = len(drop_until(self._load_times, now - self._ration_window_ms - self._max_delivery_ms)) + 1
        if not worker.live or (self._ration_window_ms and orders > ration * (1 - reserve)):
            return False
        self._load_times.append(now)
        return True

    def may_start(self, now: float, item: Attempt | LoadOrder) -> bool:
        """Return whether the first byte of a decided attempt or load order may still be sent.  While it
        waited for a connection the client may have disconnected, a response may have arrived, the worker may
        drain or no longer be known to be ready, or a time limit may have passed.
        """
        worker = item.instance.worker
        if not (worker.live and now < item.latest_start):
            return False
        if not self.readiness.is_known(now, worker):
            return False
        if isinstance(item, LoadOrder):
            return item.instance.load_order is item
        return item.status is None and not item.cancelled and item.request.final_status is None

    def count_request(self, now: float, request: Request) -> None:
        """Count the request for the load ration."""
        request.ration_bucket = self.counted_requests.add(now)

    def uncount_request(self, request: Request) -> None:
        """Remove the request from those that the load ration counts.  This applies to calls that cause no
        work: they were cancelled before the first attempt, or their function failed and was never loaded.
        """
        if request.ration_bucket is not None:
            self.counted_requests.remove(request.ration_bucket)
            request.ration_bucket = None

    def finish(self, now: float, request: Request, retry_after_ms: float = 0.0) -> Request:
        """Set the final status: rejected if a retry of the client cannot have a second effect, else failed.
        If an attempt may have run, the retry of a deduplicated request could have a second effect if the
        request has no idempotency key or a limited deduplication scope, or if the window ends within
        `retry_after_ms`.  A request whose response has begun always fails.
        """
        retry_is_safe = request.request_class.idempotency is not Idempotency.DEDUPLICATED or (
            request.has_idempotency_key and request.request_class.deduplication_scope == "all"
        )
        rejected = (retry_is_safe and now + retry_after_ms < self.latest_retry_at(request)) or not any(
            attempt.may_have_run for attempt in request.attempts
        )
        if request.streaming_attempt is not None:
            rejected = False  # its client has received part of a response
        request.final_status = FinalStatus.REJECTED if rejected else FinalStatus.FAILED
        return request


def _deduplicates_retry(request: Request, worker: Worker) -> bool:
    """Return whether the worker drops a repeat of the first attempt that may have run.  This is not certain
    if it may have restarted without a report of the endpoint list, as it may then have forgotten the first
    attempt, or if it is in another deduplication scope.
    """
    first = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
    if first is None:
        return True
    if worker.assumed_started_at is not None and worker.assumed_started_at >= first.started_at:
        return False
    scope = request.request_class.deduplication_scope
    return scope == "all" or bool(getattr(first.instance.worker, scope) == getattr(worker, scope))
