"""Starts second attempts: hedges of attempts that take long, and retries of attempts that are overdue.

Times are milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from .components import Components, DispatchState
from .entities import Attempt, Idempotency, LogMessage
from .request_lifecycle import RequestLifecycle

MEAN_IN_FLIGHT_WEIGHT = 0.06  # weight of one tick in the moving average of a worker's attempts in flight
INACTIVE_IN_FLIGHT = 0.05  # a worker without attempts and with a lower mean is no longer examined


class SecondAttempts:
    """Starts a second attempt if the first has probably failed or will be late, within the retry budget."""

    def __init__(self, parts: Components, state: DispatchState, lifecycle: RequestLifecycle) -> None:
        self._safety, self._outliers, self._placement = parts.safety, parts.outliers, parts.placement
        self._queues, self._retry_budget = parts.queues, parts.retry_budget
        self._state, self._lifecycle = state, lifecycle
        self._deferred = deque[Attempt]()  # overdue attempts whose retry waits for tokens

    def check_workers(self, now: float) -> None:
        """Update the workers' moving averages, and retry attempts that are overdue."""
        # Examining only active workers saves CPU: most workers of a large fleet have no attempts of this
        # dispatcher.
        for worker in list(self._state.active_workers):
            worker.mean_in_flight += MEAN_IN_FLIGHT_WEIGHT * (len(worker.attempts) - worker.mean_in_flight)
            if not worker.attempts and worker.mean_in_flight < INACTIVE_IN_FLIGHT:
                del self._state.active_workers[worker]
            elif overdue := self._outliers.overdue_attempts(now, worker):
                message = f"worker {worker.id} unusually silent, {len(overdue)} out"
                self._state.decisions.append(LogMessage(message))
                self.retry(now, overdue)
                self._state.runnable.update(dict.fromkeys(worker.instances))
            worker.suspect = any(attempt.overdue for attempt in worker.attempts)

    def retry_deferred(self, now: float) -> None:
        """Retry, in the same order, the attempts for which the budget had no token."""
        deferred, self._deferred = self._deferred, deque()
        self.retry(now, reversed(deferred))

    def retry(self, now: float, attempts: Iterable[Attempt]) -> None:
        """Requeue the requests of attempts that are overdue or were lost with their worker.  Each needs
        a token of the retry budget, else its retry is deferred.  They are requeued in reverse order, so that
        the first one ends up at the head of its queue.
        """
        for attempt in reversed(list(attempts)):
            request = attempt.request
            if (
                attempt.status
                or request.final_status
                or attempt.cancelled
                or request.streaming_attempt
                or request.request_class.idempotency is Idempotency.AT_MOST_ONCE
            ):
                continue
            if self._safety.accepts_attempt(now, request):
                if request.queued or self._retry_budget.try_spend():
                    self._lifecycle.requeue(now, request)
                else:
                    self._deferred.append(attempt)
            elif sum(other.status is None for other in request.attempts) == 1:
                # Without parallel attempts the retry can start only when this attempt has ended.  The attempt
                # is also cancelled if the request may have no further attempt.
                self._lifecycle.cancel_attempts(request)

    def start_hedge(self, now: float, first: Attempt) -> Attempt | None:
        """Start a second attempt beside one that takes unusually long.  Like a late request, it may use only
        a share of each concurrency limit, so that it delays no other request.
        """
        request = first.request
        if (
            first.status
            or first.overdue
            or request.queued
            or request.function.queue_depth
            or not self._safety.accepts_attempt(now, request)
            or now >= self._queues.latest_start(request)
            or (instance := self._placement.find_slot(now, request, True)) is None
            or not self._retry_budget.try_spend()
        ):
            return None
        request.queued = True
        request.function.queue.append(request)
        return self._lifecycle.start_attempt(now, request, instance)
