"""Carries out the steps of a request: starts attempts and loads, cancels attempts, requeues and finishes
requests.

Times are milliseconds.
"""

from __future__ import annotations

from .components import Components, DispatcherOptions, DispatchState
from .entities import Attempt, FinalStatus, Instance, LoadOrder, Request, TerminationReason

FINAL_ANSWER_MARGIN_MS = 5  # time before the deadline at which a request without a result is finished


class RequestLifecycle:
    """Starts attempts and loads, cancels attempts, and requeues or finishes requests."""

    def __init__(self, parts: Components, state: DispatchState, options: DispatcherOptions) -> None:
        self._safety, self._queues, self._timers = parts.safety, parts.queues, parts.timers
        self._retry_budget, self._state = parts.retry_budget, state
        self._can_cancel, self._max_retry_after_ms = options.can_cancel, options.max_retry_after_ms

    def start_load(
        self, now: float, instance: Instance, count: int, reserve: float = 0.0
    ) -> LoadOrder | None:
        """Order `count` instances, if the rules allow it and the load ration, without its share `reserve`,
        is not used up.  Return the order, or None.
        """
        instance.load_order = self._safety.start_load(now, instance, count, reserve)
        instance.worker.pending_loads += instance.load_order is not None
        return instance.load_order

    def start_attempt(self, now: float, request: Request, instance: Instance) -> Attempt | None:
        """Start an attempt of the request at the head of its function's queue, if the rules allow it."""
        if attempt := self._safety.start_attempt(now, request, instance):
            function, worker = request.function, instance.worker
            (function.queue or function.late_queue).popleft()
            request.queued = False
            worker.silent_since = worker.silent_since if worker.attempts else now
            worker.attempts[attempt] = self._state.active_workers[worker] = None
            instance.in_flight, instance.last_used_at = instance.in_flight + 1, now
            if request.request_class.hedged and function.mean_latency_ms:
                self._timers.add(now + self._retry_budget.hedge_delay(function, worker), attempt)
        return attempt

    def finish(self, now: float, request: Request, reason: TerminationReason) -> Request:
        """End the request without a result.  Its reason is `READINESS_UNKNOWN` instead of `reason` if it
        waited for readiness and had no attempt.  The Retry-After of a rejection is the load time of the
        function (up to the configured maximum), after which capacity may be available.
        """
        request.reason = reason
        if request.held_for_readiness and not request.attempts:
            request.reason = TerminationReason.READINESS_UNKNOWN
        retry_after_ms = min(self._max_retry_after_ms, request.function.load_ms)
        rejected = self._safety.finish(now, request, retry_after_ms).final_status is FinalStatus.REJECTED
        request.retry_after_ms = retry_after_ms if rejected else 0.0
        self._state.functions.on_request_ended(request)
        return request

    def set_deadline(self, request: Request, deadline: float) -> None:
        """Replace the deadline of a request whose response has begun."""
        request.deadline = deadline
        self._timers.add(deadline - FINAL_ANSWER_MARGIN_MS, request)

    def check_deadline(self, now: float, request: Request) -> Request | None:
        """End the request if its time is over, else set a timer for the next check.  A queued request that
        can no longer start an attempt and has none in flight ends even if other requests are ahead of it in
        the queue.
        """
        give_up_at = now
        if request.queued:
            give_up_at = min(self._queues.latest_start(request), self._safety.latest_retry_at(request))
        if now >= request.deadline - FINAL_ANSWER_MARGIN_MS or (
            request.queued and now >= give_up_at and all(attempt.status for attempt in request.attempts)
        ):
            return self.finish(now, request, TerminationReason.DEADLINE_EXCEEDED)
        self._timers.add(
            give_up_at if give_up_at > now else request.deadline - FINAL_ANSWER_MARGIN_MS, request
        )
        return None

    def requeue(self, now: float, request: Request) -> None:
        """Put the request at the head of its queue for another attempt, or end it if there can be none and
        none is in flight.
        """
        if request.queued:
            return
        if self._safety.accepts_attempt(now, request) and now < self._queues.latest_start(request):
            request.queued = True
            request.function.queue.appendleft(request)
            self.check_deadline(now, request)
            self._state.runnable[request.function] = None
        elif all(attempt.status for attempt in request.attempts):
            ended = self.finish(now, request, TerminationReason.ATTEMPTS_EXHAUSTED)
            self._state.decisions.append(ended)

    def cancel_attempts(self, request: Request, keep: Attempt | None = None) -> None:
        """Cancel the attempts in flight except `keep`, if the deployment allows cancellation."""
        for attempt in request.attempts:
            if self._can_cancel and attempt is not keep and attempt.status is None and not attempt.cancelled:
                attempt.cancelled = True
                self._state.decisions.append(attempt)
