"""The five rules, enforced where every attempt, load order and final answer passes.  Times are
milliseconds.
"""

from __future__ import annotations

from collections import deque
from contextlib import suppress
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
from .sliding_window import drop_until
from .slow_start import SlowStart, SlowStartSettings

DEDUPLICATION_MARGIN_MS = 20.0  # a retry is sent so long before the workers forget the first attempt
MAX_LOAD_COUNT = 16  # the most instances that one load order may name


@dataclass(frozen=True, slots=True)
class LoadRation:
    """How many load orders one dispatcher may send.  The order of the fields is that of the platform's
    settings.
    """

    loads_allowed: bool  # the platform accepts load orders at all
    free_loads: float  # load orders in a window without any request
    loads_per_request: float  # and so many more for each request in the window
    window_ms: float  # 0: no limit


@dataclass(frozen=True, slots=True)
class SafetySettings:
    """The limits on attempts and load orders."""

    parallel_attempts: bool  # two attempts of one request may be in flight
    max_attempts: int
    load_ration: LoadRation


class SafetyGuard(SlowStart):
    """Enforces the five rules: every attempt, load order and final answer is created here."""

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
        self._load_times, self.request_times = deque[float](), deque[float]()

    def accepts_attempt(self, now: float, request: Request) -> bool:
        """Rules 1 and 2, as far as they do not depend on the worker."""
        in_flight = sum(attempt.status is None for attempt in request.attempts)
        if (
            request.final_status
            or request.streaming_attempt
            or len(request.attempts) >= self._max_attempts
            or in_flight > self._parallel_attempts
        ):
            return False
        return now < min(request.deadline, self.retry_closes_at(request))

    def retry_closes_at(self, request: Request) -> float:
        """From when another execution would have a second effect, provided it stays in the deduplication
        scope.
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
        """Whether an attempt of the request may start at the worker now."""
        return self.readiness.is_known(now, worker) and self.may_attempt_once_ready(now, request, worker)

    def may_attempt_once_ready(self, now: float, request: Request, worker: Worker) -> bool:
        """Whether an attempt may start at the worker now if the worker does not drain."""
        if not worker.live or not self.accepts_attempt(now, request):
            return False
        if request.request_class.idempotency is Idempotency.DEDUPLICATED and not _drops_repeat(
            request, worker
        ):
            return False
        return self.has_budget(now, worker)

    def start_attempt(self, now: float, request: Request, instance: Instance) -> Attempt | None:
        """The next attempt of the request, or None if the rules do not allow it."""
        if not self.may_attempt(now, request, instance.worker):
            return None
        latest_start = self.retry_closes_at(request)
        if self.capacity_factor(now, instance.worker) < 1:
            instance.worker.recent_times.append(now)
            latest_start = min(latest_start, now + (self._max_delivery_ms or NEVER))
        attempt = Attempt(request, instance, len(request.attempts), now, latest_start=latest_start)
        request.attempts.append(attempt)
        return attempt

    def start_load(
        self, now: float, instance: Instance, count: int, reserve: float = 0.0
    ) -> LoadOrder | None:
        """A load order within the ration, or None; the share `reserve` of the ration is left for other loads.
        Guards against orders that wait for a connection and
        arrive together with those of the next window.
        """
        if not self._loads_allowed or not self.readiness.is_known(now, instance.worker):
            return None
        if not self._take_from_ration(now, instance.worker, reserve):
            return None
        latest_start = now + self._max_delivery_ms if self._max_delivery_ms else NEVER
        return LoadOrder(instance, min(count, MAX_LOAD_COUNT), now, latest_start)

    def _take_from_ration(self, now: float, worker: Worker, reserve: float) -> bool:
        requests = drop_until(self.request_times, now - self._ration_window_ms + self._max_delivery_ms + 1)
        ration = self._free_loads + self._loads_per_request * len(requests)
        orders = len(drop_until(self._load_times, now - self._ration_window_ms - self._max_delivery_ms)) + 1
        if not worker.live or (self._ration_window_ms and orders > ration * (1 - reserve)):
            return False
        self._load_times.append(now)
        return True

    def may_start(self, now: float, item: Attempt | LoadOrder) -> bool:
        """Whether the first byte of a decided attempt or load order may still leave.  Guards against what
        changed while it waited for a connection: the client disconnected, a response, a draining worker, a
        worker whose readiness was known when it was decided and is no longer, a time limit.
        """
        worker = item.instance.worker
        if not (worker.live and now < item.latest_start):
            return False
        if not self.readiness.is_known(now, worker):
            return False
        if isinstance(item, LoadOrder):
            return item.instance.load_order is item
        return item.status is None and not item.cancelled and item.request.final_status is None

    def uncount_request(self, request: Request) -> None:
        """Remove the request from those that earn load orders.  Guards against calls that are no work:
        cancelled before the first attempt, or of a function that cannot be loaded anywhere.
        """
        with suppress(ValueError):
            self.request_times.remove(request.received_at)

    def finish(self, now: float, request: Request, retry_after_ms: float = 0.0) -> Request:
        """Set the final status: rejected if a retry of the client cannot have a second effect, else failed.
        Guards against clients that retry without the idempotency key, or after `retry_after_ms` when no
        worker remembers the first attempt, and cause a second effect.
        """
        retry_is_safe = request.request_class.idempotency is not Idempotency.DEDUPLICATED or (
            request.has_idempotency_key and request.request_class.deduplication_scope == "all"
        )
        rejected = (retry_is_safe and now + retry_after_ms < self.retry_closes_at(request)) or not any(
            attempt.may_have_run for attempt in request.attempts
        )
        if request.streaming_attempt is not None:
            rejected = False  # its client has received part of a response
        request.final_status = FinalStatus.REJECTED if rejected else FinalStatus.FAILED
        return request


def _drops_repeat(request: Request, worker: Worker) -> bool:
    """Whether the worker drops a repeat of what the first worker may have run.  One that may have been
    started anew, with no list to say so, may have forgotten it, or may be in another group.
    """
    first = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
    if first is None:
        return True
    if worker.assumed_started_at is not None and worker.assumed_started_at >= first.started_at:
        return False
    scope = request.request_class.deduplication_scope
    return scope == "all" or bool(getattr(first.instance.worker, scope) == getattr(worker, scope))
