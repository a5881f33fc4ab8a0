"""Ejects workers for a time because of unusual silence or failures.  Times are milliseconds."""

from __future__ import annotations

from .entities import Attempt, Idempotency, OutlierState, RequestClass, Worker

GAP_WEIGHT = 0.05  # weight of one response in the moving averages of a worker's response gaps
# Weight of one response in the failure rate.  From 0, two failures in a row exceed a rate of 0.3, four 0.5.
FAILURE_WEIGHT = 0.2
# A worker is ejected above this failure rate, and has recovered after a success at a rate below it.
EJECTION_FAILURE_RATE = 0.3
# Failure rate above which a lost connection ejects; it is higher because the network may be at fault.
LOST_CONNECTION_FAILURE_RATE = 0.5
# If another request class has a higher failure rate than this, a failure counts against the worker in all
# classes.
OTHER_CLASS_FAILURE_RATE = 0.1
LATE_FACTOR = 4  # an attempt is late after this multiple of its usual latency
LOST_FACTOR = 8  # after this multiple an attempt counts as lost, although the worker answers others
MIN_SILENCE_MS = 50  # a silence shorter than this is never unusual
# A silence is unusual past the sum of `MIN_SILENCE_MS`, the mean gap and this many deviations.
SILENCE_DEVIATIONS = 10


class OutlierDetector:
    """Detects workers that are unusually silent or fail, separately for each request class."""

    def __init__(self, ejection_ms: float = 500.0, max_ejection_ms: float = 8000.0) -> None:
        """Create a detector whose first ejection of a worker lasts `ejection_ms`.  Each ejection that follows
        without a recovery lasts twice as long, up to `max_ejection_ms`.
        """
        self._ejection_ms, self._max_ejection_ms = ejection_ms, max_ejection_ms

    def usable(
        self,
        now: float,
        worker: Worker,
        request_class: RequestClass,
        idempotency: Idempotency | None = None,
    ) -> bool:
        """Return whether the worker may get an attempt.  After an ejection and until it has recovered, it
        gets one attempt at a time, and none of an at-most-once request.
        """
        for state in (worker.outlier_state, worker.outlier_state_by_class[request_class]):
            if now < state.ejected_until or (
                state.ejection_ms
                and (
                    idempotency is Idempotency.AT_MOST_ONCE
                    or any(attempt.started_at >= state.ejected_until for attempt in worker.attempts)
                )
            ):
                return False
        return worker.live

    def on_response(
        self,
        now: float,
        worker: Worker,
        request_class: RequestClass,
        failed: bool,
        connection_lost: bool = False,
    ) -> bool:
        """Record a response or a lost connection; return whether it ejects the worker.  Without ejection a
        worker that fails fast would appear to be the least loaded.  A worker that fails one request class and
        serves the others is ejected for that class only; it is ejected for all if a second class fails or its
        connections are lost.
        """
        gap, worker.silent_since = now - worker.silent_since, now
        worker.response_gap_deviation += (
            GAP_WEIGHT * (abs(gap - worker.mean_response_gap) - worker.response_gap_deviation)
            if worker.mean_response_gap
            else gap
        )
        worker.mean_response_gap += (
            GAP_WEIGHT * (gap - worker.mean_response_gap) if worker.mean_response_gap else gap
        )
        state = worker.outlier_state_by_class[request_class]
        counts_for_all_classes = failed and (
            connection_lost
            or any(
                other.failure_rate > OTHER_CLASS_FAILURE_RATE
                for other in worker.outlier_state_by_class.values()
                if other is not state
            )
        )
        return self.record(now, state, failed, connection_lost) | self.record(
            now, worker.outlier_state, counts_for_all_classes, connection_lost
        )

    def record(self, now: float, state: OutlierState, failed: bool, connection_lost: bool = False) -> bool:
        """Record one success or failure; return whether it ejects the worker.  A lost connection ejects it
        at a failure rate above one half (four in a row), as the worker may still answer over other links.
        Any other failure ejects it at a rate above 0.3 (two in a row).
        """
        state.failure_rate += FAILURE_WEIGHT * (failed - state.failure_rate)
        if not failed and state.failure_rate < EJECTION_FAILURE_RATE:
            state.ejection_ms = 0.0
        limit = LOST_CONNECTION_FAILURE_RATE if connection_lost else EJECTION_FAILURE_RATE
        return failed and state.failure_rate > limit and self.eject(now, state)

    def eject(self, now: float, state: OutlierState) -> bool:
        """Eject the worker, for the class that `state` belongs to or for all, for the initial time or for
        twice the previous time up to the maximum.  Return False if it is already ejected.
        """
        if now < state.ejected_until:
            return False
        state.ejection_ms = min(self._max_ejection_ms, max(self._ejection_ms, 2 * state.ejection_ms))
        state.ejected_until = now + state.ejection_ms
        return True

    def overdue_attempts(self, now: float, worker: Worker) -> list[Attempt]:
        """Mark and return the attempts that are newly overdue.  If the worker is unusually silent, eject it;
        all its attempts are then overdue, except streamed ones.  Otherwise only attempts past `LOST_FACTOR`
        are overdue, as single responses can get lost.  Each counts as a failure in its request class.
        """
        usual_ms = {
            attempt: attempt.request.function.mean_latency_ms
            or attempt.request.request_class.latency_objective_ms
            for attempt in worker.attempts
            if not attempt.overdue and not attempt.request.streaming_attempt
        }
        late = [attempt for attempt, ms in usual_ms.items() if now - attempt.started_at > LATE_FACTOR * ms]
        if not late:
            return late
        if self._is_unusually_silent(now, worker, len(late)):
            self.eject(now, worker.outlier_state)
            overdue = list(usual_ms)
        else:
            overdue = [
                attempt for attempt in late if now - attempt.started_at > LOST_FACTOR * usual_ms[attempt]
            ]
        for attempt in overdue:
            attempt.overdue = True
            self.record(now, worker.outlier_state_by_class[attempt.request.request_class], True)
        return overdue

    def _is_unusually_silent(self, now: float, worker: Worker, late_count: int) -> bool:
        """Return whether the silence of a worker with `late_count` late attempts is unusual.  One response
        that is late or lost must not eject a worker, as all instances loaded there would become unusable.
        """
        silence = now - max(worker.silent_since, worker.outlier_state.ejected_until)
        lost_count = sum(
            attempt.overdue and attempt.started_at >= worker.silent_since for attempt in worker.attempts
        )
        return (
            late_count + lost_count > 1
            and bool(worker.mean_response_gap)
            and silence
            > MIN_SILENCE_MS + worker.mean_response_gap + SILENCE_DEVIATIONS * worker.response_gap_deviation
        )
