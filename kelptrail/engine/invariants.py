"""Rules that must hold whatever is decided, checked where they could break, beside the code that keeps them.

The checks know nothing of how a decision came about: each looks at what is about to happen and at what happened
before.  A violation is counted by its name and logged with its request; it never raises, and changes nothing.
`docs/invariants.md` lists the rules, who keeps each, and where it is checked.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from kelptrail.dispatch.entities import NEVER_RAN, Attempt, Idempotency, LoadOrder

CLIENT_GONE_SLACK_MS = 100.0  # an attempt may begin so long after its client has gone
LIMIT_SLACK_MS = 150.0  # the limit passed to a worker may exceed what the client has left by so much
DRAIN_SLACK_MS = 50.0  # each limit of the rules is so much longer on sockets


class Violation(Enum):
    """The rules, by the name of their breach."""

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


Note = Callable[..., None]


class Invariants:
    """Counts violations of one dispatcher.  Times in milliseconds of the monotonic clock."""

    def __init__(self, note: Note, drain_grace_ms: float = 0.0) -> None:
        self._note, self._drain_grace_ms = note, drain_grace_ms
        self.violations: Counter[str] = Counter()

    def violated(self, violation: Violation, request: str = "-", **fields: object) -> None:
        """Counts and logs a violation."""
        self.violations[violation.value] += 1
        self._note("invariant violated", rule=violation.value, request=request, **fields)

    def attempt_begins(self, now: float, attempt: Attempt, client_gone: float | None, limit_ms: float) -> None:
        """An attempt's first byte is about to leave, with that limit; its client went at `client_gone`."""
        request, act = attempt.request, attempt.request.id
        if client_gone is not None and now > client_gone + CLIENT_GONE_SLACK_MS:
            self.violated(Violation.ATTEMPT_AFTER_CLIENT_LEFT, act, late_ms=round(now - client_gone))
        if request.final_status is not None:
            self.violated(Violation.ATTEMPT_AFTER_ANSWER, act, verdict=request.final_status)
        if limit_ms > request.deadline - now + LIMIT_SLACK_MS:
            self.violated(Violation.LIMIT_OVER_TIME_LEFT, act, limit_ms=limit_ms, left_ms=round(request.deadline - now))
        if now > attempt.latest_start + DRAIN_SLACK_MS:
            self.violated(Violation.ATTEMPT_PAST_ITS_TIME, act, late_ms=round(now - attempt.latest_start))
        if not attempt.instance.worker.live:
            self.violated(Violation.ATTEMPT_TO_DRAINING_WORKER, act, worker=attempt.instance.worker.id)
        self._effect(now, attempt)

    def _effect(self, now: float, attempt: Attempt) -> None:
        """No attempt may have a second effect beside one before it that may have run."""
        request = attempt.request
        earlier = [other for other in request.attempts if other is not attempt and other.may_have_run]
        begun = [
            other for other in earlier if other.write_started_at is not None or other.status not in (None, *NEVER_RAN)
        ]
        if not begun:
            return
        if request.request_class.idempotency is Idempotency.AT_MOST_ONCE:
            self.violated(Violation.SECOND_EFFECT, request.id, attempt=attempt.number)
        elif request.request_class.idempotency is Idempotency.DEDUPLICATED:
            first = min(
                other.started_at if other.write_started_at is None else other.write_started_at for other in begun
            )
            if now > first + request.request_class.deduplication_window_ms:
                self.violated(Violation.SECOND_EFFECT, request.id, attempt=attempt.number, after_ms=round(now - first))

    def order_begins(self, now: float, order: LoadOrder) -> None:
        """A load order's first byte is about to leave."""
        if now > order.latest_start + DRAIN_SLACK_MS or not order.instance.worker.live:
            self.violated(Violation.LOAD_ORDER_LATE, order.instance.function.id, worker=order.instance.worker.id)
