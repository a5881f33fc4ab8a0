"""Invariants that hold for every decision, checked at run time where an attempt or an answer is about to leave.

The checks are independent of the code that decides: each compares what is about to happen with what happened
before.  A violation is counted by its name and logged with its request; it never raises, and changes no behaviour.
`docs/invariants.md` lists the invariants, the code that ensures each, and where it is checked.  Times are
milliseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from kelptrail.dispatch.entities import NEVER_RAN, Attempt, Idempotency, LoadOrder

CLIENT_GONE_SLACK_MS = 100.0  # an attempt may start so long after its client disconnected
LIMIT_SLACK_MS = 150.0  # the time limit passed to a worker may exceed what its client has left by so much
START_SLACK_MS = 50.0  # on sockets each time limit of the rules is extended by so much


class Violation(Enum):
    """The invariants, by the name of their violation."""

    ATTEMPT_AFTER_CLIENT_LEFT = "attempt after client left"
    ATTEMPT_AFTER_ANSWER = "attempt after final answer"
    ATTEMPT_TO_DRAINING_WORKER = "attempt to draining worker"
    ATTEMPT_PAST_ITS_TIME = "attempt past its time"
    SECOND_EFFECT = "second effect"
    LIMIT_OVER_TIME_LEFT = "limit over time left"
    LOAD_ORDER_LATE = "load order late"
    SECOND_ANSWER = "second answer"
    CLOSED_OVER_REQUEST = "closed over request"
    ENDED_OVER_REQUEST = "ended over request"


LogFunction = Callable[..., None]
"""Logs an event: its name, then its fields as keyword arguments."""


class Invariants:
    """Counts the violations of one dispatcher."""

    def __init__(self, log: LogFunction) -> None:
        self._log = log
        self.violations: Counter[str] = Counter()

    def violated(self, violation: Violation, request: str = "-", **fields: object) -> None:
        """Count and log a violation."""
        self.violations[violation.value] += 1
        self._log("invariant violated", rule=violation.value, request=request, **fields)

    def attempt_begins(self, now: float, attempt: Attempt, client_gone: float | None, limit_ms: float) -> None:
        """An attempt's first byte is about to leave, with the time limit `limit_ms` for the worker; its client
        disconnected at `client_gone`.
        """
        request, request_id = attempt.request, attempt.request.id
        if client_gone is not None and now > client_gone + CLIENT_GONE_SLACK_MS:
            self.violated(Violation.ATTEMPT_AFTER_CLIENT_LEFT, request_id, late_ms=round(now - client_gone))
        if request.final_status is not None:
            self.violated(Violation.ATTEMPT_AFTER_ANSWER, request_id, final_status=request.final_status)
        if limit_ms > request.deadline - now + LIMIT_SLACK_MS:
            self.violated(
                Violation.LIMIT_OVER_TIME_LEFT, request_id, limit_ms=limit_ms, left_ms=round(request.deadline - now)
            )
        if now > attempt.latest_start + START_SLACK_MS:
            self.violated(Violation.ATTEMPT_PAST_ITS_TIME, request_id, late_ms=round(now - attempt.latest_start))
        if not attempt.instance.worker.live:
            self.violated(Violation.ATTEMPT_TO_DRAINING_WORKER, request_id, worker=attempt.instance.worker.id)
        self._check_second_effect(now, attempt)

    def _check_second_effect(self, now: float, attempt: Attempt) -> None:
        """No attempt may have a second effect after an earlier one that may have been executed."""
        request = attempt.request
        earlier = [other for other in request.attempts if other is not attempt and other.may_have_run]
        started = [
            other for other in earlier if other.write_started_at is not None or other.status not in (None, *NEVER_RAN)
        ]
        if not started:
            return
        if request.request_class.idempotency is Idempotency.AT_MOST_ONCE:
            self.violated(Violation.SECOND_EFFECT, request.id, attempt=attempt.number)
        elif request.request_class.idempotency is Idempotency.DEDUPLICATED:
            first = min(
                other.started_at if other.write_started_at is None else other.write_started_at for other in started
            )
            if now > first + request.request_class.deduplication_window_ms:
                self.violated(Violation.SECOND_EFFECT, request.id, attempt=attempt.number, after_ms=round(now - first))

    def order_begins(self, now: float, order: LoadOrder) -> None:
        """A load order's first byte is about to leave."""
        if now > order.latest_start + START_SLACK_MS or not order.instance.worker.live:
            self.violated(Violation.LOAD_ORDER_LATE, order.instance.function.id, worker=order.instance.worker.id)
