"""Checks invariants at run time, just before an attempt, load order or answer is sent or a client connection closed.

The readiness of a worker is computed independently of the code that decides by it (see `Invariants`); the other checks
compare an item with its time limits, the state of its worker and earlier events.  A violation is counted by its name
and logged with its request.  The checks raise nothing and change no behaviour.  `docs/invariants.md` lists the
invariants, the code that ensures each, and where it is checked.  Times are milliseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from kelptrail.dispatch.entities import (
    NEVER,
    NEVER_RAN,
    Attempt,
    AttemptStatus,
    Idempotency,
    LoadOrder,
    ProbeKind,
    ReadinessProbe,
    Worker,
)

CLIENT_GONE_SLACK_MS = 100.0  # time after a client cancelled or disconnected in which an attempt may still start
LIMIT_SLACK_MS = 150.0  # a worker's time limit may exceed the time left until the client's deadline by this
# The platform's rules allow a start on a socket this long after its time limit; a later start is a violation.
START_SLACK_MS = 50.0


class Violation(Enum):
    """The violations of the invariants; each value is the name in the log and in the counts."""

    ATTEMPT_AFTER_CLIENT_LEFT = "attempt after client left"
    ATTEMPT_AFTER_ANSWER = "attempt after final answer"
    ATTEMPT_TO_DRAINING_WORKER = "attempt to draining worker"  # the worker is draining or removed
    READINESS_UNKNOWN = "start at a worker not known to be ready"
    ATTEMPT_PAST_ITS_TIME = "attempt past its time"  # first byte sent after `latest_start`
    SECOND_EFFECT = "second effect"  # the request may be executed twice, which its idempotency forbids
    LIMIT_OVER_TIME_LEFT = "limit over time left"  # worker's time limit longer than the time left until the deadline
    LOAD_ORDER_LATE = "load order late"  # first byte sent after `latest_start`, or to a worker that is not live
    SECOND_ANSWER = "second answer"
    CLOSED_OVER_REQUEST = "closed over request"  # connection closed with an open request or unread bytes
    ENDED_OVER_REQUEST = "ended over request"  # connection with an open request closed by a shutdown


LogFunction = Callable[..., None]
"""Logs an event: its name, then its fields as keyword arguments."""


@dataclass(frozen=True, slots=True)
class DrainTiming:
    """Time limits on starting work at a worker that may be draining."""

    # Time since the list was last confirmed after which an unreported drain counts as notified; NEVER: no check.
    notification_ms: float = NEVER
    grace_ms: float = 0.0  # time after the notification during which new work may still start


class Invariants:
    """Counts the violations of one dispatcher.

    The readiness of a worker is computed here from the data read on the sockets, independently of
    `dispatch.readiness`, which decides by it: a check against the state of that module could never fail.
    """

    def __init__(self, log: LogFunction, drain_timing: DrainTiming | None = None) -> None:
        self._log, self._drain_timing = log, drain_timing or DrainTiming()
        self._list_confirmed_at = NEVER  # until the first list is applied, no start is late
        self._health_checks_answered = False  # whether any worker has answered a health check
        # By worker id, the send time of the latest item whose outcome proved that the worker was ready.
        self._ready_at: dict[str, float] = {}
        self.violations: Counter[str] = Counter()

    def on_initial_list(self, now: float) -> None:
        """Record that the list of the configuration was applied.

        Its age is unknown, so an unreported drain counts as notified from now on.
        """
        self._list_confirmed_at = now - self._drain_timing.notification_ms

    def on_list_confirmed(self, now: float) -> None:
        """Record that the endpoint list was confirmed as complete."""
        self._list_confirmed_at = now

    def forget_worker(self, worker: str) -> None:
        """Remove the state of a worker that no longer exists."""
        self._ready_at.pop(worker, None)

    def on_item_finished(self, item: Attempt | LoadOrder | ReadinessProbe, status: AttemptStatus) -> None:
        """Record the end of an item; only an outcome that proves the readiness of its worker counts.

        A load query proves it only if no worker answers health checks, because a draining worker may answer a load
        query, too.
        """
        if isinstance(item, ReadinessProbe):
            self._on_probe_finished(item, status)
        elif status is AttemptStatus.COMPLETED:
            self._record_ready(item.instance.worker, item.write_started_at)

    def _on_probe_finished(self, probe: ReadinessProbe, status: AttemptStatus) -> None:
        is_check = probe.kind is ProbeKind.HEALTH_CHECK
        if is_check and status in (AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY):
            self._health_checks_answered = True
        if status is AttemptStatus.COMPLETED and (is_check or not self._health_checks_answered):
            self._record_ready(probe.question.instance.worker, probe.question.write_started_at)

    def _record_ready(self, worker: Worker, sent_at: float | None) -> None:
        if sent_at is not None:
            self._ready_at[worker.id] = max(sent_at, self._ready_at.get(worker.id, sent_at))

    def _check_readiness(self, now: float, worker: Worker, request_id: str) -> None:
        timing = self._drain_timing
        if timing.notification_ms == NEVER:
            return
        known_ready_until = max(self._list_confirmed_at + timing.notification_ms, self._ready_at.get(worker.id, 0.0))
        late_ms = now - known_ready_until - timing.grace_ms
        if late_ms > START_SLACK_MS:
            self.report_violation(Violation.READINESS_UNKNOWN, request_id, worker=worker.id, late_ms=round(late_ms))

    def report_violation(self, violation: Violation, request: str = "-", **fields: object) -> None:
        """Count and log a violation; the log has its name under the key `rule`."""
        self.violations[violation.value] += 1
        self._log("invariant violated", rule=violation.value, request=request, **fields)

    def check_attempt_start(self, now: float, attempt: Attempt, client_gone_at: float | None, limit_ms: float) -> None:
        """Check an attempt just before its first byte is sent.  `limit_ms` is the time limit passed to the worker, and
        `client_gone_at` the time at which the client cancelled the request or disconnected.
        """
        request, request_id = attempt.request, attempt.request.id
        if client_gone_at is not None and now > client_gone_at + CLIENT_GONE_SLACK_MS:
            self.report_violation(Violation.ATTEMPT_AFTER_CLIENT_LEFT, request_id, late_ms=round(now - client_gone_at))
        if request.final_status is not None:
            self.report_violation(Violation.ATTEMPT_AFTER_ANSWER, request_id, final_status=request.final_status)
        if limit_ms > request.deadline - now + LIMIT_SLACK_MS:
            self.report_violation(
                Violation.LIMIT_OVER_TIME_LEFT, request_id, limit_ms=limit_ms, left_ms=round(request.deadline - now)
            )
        if now > attempt.latest_start + START_SLACK_MS:
            self.report_violation(
                Violation.ATTEMPT_PAST_ITS_TIME, request_id, late_ms=round(now - attempt.latest_start)
            )
        if not attempt.instance.worker.live:
            self.report_violation(Violation.ATTEMPT_TO_DRAINING_WORKER, request_id, worker=attempt.instance.worker.id)
        self._check_readiness(now, attempt.instance.worker, request_id)
        self._check_second_effect(now, attempt)

    def _check_second_effect(self, now: float, attempt: Attempt) -> None:
        """Check that the attempt cannot repeat the effect of another one that may have been executed."""
        request = attempt.request
        others = [other for other in request.attempts if other is not attempt and other.may_have_run]
        started = [
            other for other in others if other.write_started_at is not None or other.status not in (None, *NEVER_RAN)
        ]
        if not started:
            return
        if request.request_class.idempotency is Idempotency.AT_MOST_ONCE:
            self.report_violation(Violation.SECOND_EFFECT, request.id, attempt=attempt.number)
        elif request.request_class.idempotency is Idempotency.DEDUPLICATED:
            first_start = min(
                other.started_at if other.write_started_at is None else other.write_started_at for other in started
            )
            if now > first_start + request.request_class.deduplication_window_ms:
                self.report_violation(
                    Violation.SECOND_EFFECT, request.id, attempt=attempt.number, after_ms=round(now - first_start)
                )

    def check_load_order_start(self, now: float, order: LoadOrder) -> None:
        """Check a load order just before its first byte is sent."""
        self._check_readiness(now, order.instance.worker, order.instance.function.id)
        if now > order.latest_start + START_SLACK_MS or not order.instance.worker.live:
            self.report_violation(
                Violation.LOAD_ORDER_LATE, order.instance.function.id, worker=order.instance.worker.id
            )
