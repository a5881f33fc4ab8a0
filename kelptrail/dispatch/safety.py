"""The five rules, enforced where every send, order and final answer passes.  Times are milliseconds."""

from __future__ import annotations

from collections import deque
from contextlib import suppress

from .entities import Attempt, FinalStatus, Idempotency, Instance, LoadOrder, Request, Worker
from .sliding_window import drop_until
from .slow_start import SlowStart


class SafetyGuard(SlowStart):
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
        self._parallel, self._max_attempts = parallel, most_sends
        self._loads, self._free, self._share, self._span = ration  # any orders; free ones, a share, a time
        self._load_times, self.request_times = deque[float](), deque[float]()

    def accepts_attempt(self, now: float, request: Request) -> bool:
        """Rules 1 and 2, as far as they do not depend on the worker."""
        out = sum(attempt.status is None for attempt in request.attempts)
        if (
            request.final_status
            or request.streaming_attempt
            or len(request.attempts) >= self._max_attempts
            or out > self._parallel
        ):
            return False
        return now < min(request.deadline, self.retry_closes_at(request))

    def retry_closes_at(self, request: Request) -> float:
        """When another run has a second effect, where the group that drops repeats is kept to."""
        if (
            request.request_class.idempotency is Idempotency.IDEMPOTENT
            or (first := next((attempt for attempt in request.attempts if attempt.may_have_run), None))
            is None
        ):
            return float("inf")
        return (
            first.started_at + request.request_class.deduplication_window_ms - 20
            if request.request_class.idempotency is Idempotency.DEDUPLICATED
            else 0.0
        )

    def may_attempt(self, now: float, request: Request, worker: Worker) -> bool:
        if not worker.live or not self.accepts_attempt(now, request):
            return False
        if (
            request.request_class.idempotency is Idempotency.DEDUPLICATED
            and request.request_class.deduplication_scope != "all"
        ):
            first = next((s.instance.worker for s in request.attempts if s.may_have_run), worker)
            if getattr(first, request.request_class.deduplication_scope) != getattr(
                worker, request.request_class.deduplication_scope
            ):
                return False
        return self.has_budget(now, worker)

    def start_attempt(self, now: float, request: Request, instance: Instance) -> Attempt | None:
        if not self.may_attempt(now, request, instance.worker):
            return None
        until = self.retry_closes_at(request)
        if self.capacity_factor(now, instance.worker) < 1:
            instance.worker.recent_times.append(now)
            until = min(until, now + (self._max_delivery_ms or float("inf")))
        attempt = Attempt(request, instance, len(request.attempts), now, latest_start=until)
        request.attempts.append(attempt)
        return attempt

    def start_load(self, now: float, instance: Instance, count: int, spare: float = 0.0) -> LoadOrder | None:
        """A hold order within the ration; `spare` of the ration is left for others.  Count 0 only asks.
        Guards against orders that wait for a connection and arrive among those of the time after."""
        if count and self._loads:
            ration = self._free + self._share * len(
                drop_until(self.request_times, now - self._span + self._max_delivery_ms + 1)
            )
            orders = len(drop_until(self._load_times, now - self._span - self._max_delivery_ms)) + 1
            if not instance.worker.live or (self._span and orders > ration * (1 - spare)):
                return None
            self._load_times.append(now)
        if not self._loads:
            return None
        until = now + self._max_delivery_ms if count and self._max_delivery_ms else float("inf")
        return LoadOrder(instance, min(count, 16), now, until)  # the most that an order may name

    def may_start(self, now: float, item: Attempt | LoadOrder) -> bool:
        """Whether a send or an order that was decided may begin to leave now.  Guards against what came
        between the decision and a connection that takes it: a client that went, an answer, a drain, time."""
        if not (item.instance.worker.live and now < item.latest_start):
            return False
        if isinstance(item, LoadOrder):
            return item.instance.load_order is item
        return item.status is None and not item.cancelled and item.request.final_status is None

    def uncount_request(self, request: Request) -> None:
        """It earns no orders.  Guards against calls that are no work: taken back unsent, nowhere loadable."""
        with suppress(ValueError):
            self.request_times.remove(request.received_at)

    def finish(self, now: float, request: Request, return_ms: float = 0.0) -> Request:
        """The one final answer: rejected where that promises the truth, else aborted.  Guards against clients
        that come again without the mark, or when nobody remembers it, and have a second effect; `return_ms`
        is when they are told to."""
        free = request.request_class.idempotency is not Idempotency.DEDUPLICATED or (
            request.has_idempotency_key and request.request_class.deduplication_scope == "all"
        )
        again = (free and now + return_ms < self.retry_closes_at(request)) or not any(
            s.may_have_run for s in request.attempts
        )
        again = again and request.streaming_attempt is None  # its client has seen a part of a streamed answer
        request.final_status = FinalStatus.REJECTED if again else FinalStatus.FAILED
        return request
