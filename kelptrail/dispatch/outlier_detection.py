"""Judges workers by silence and failures, and ejects them for a time.  Times are milliseconds."""

from __future__ import annotations

from .entities import Attempt, Idempotency, OutlierState, RequestClass, Worker

GAP_WEIGHT = 0.05  # of one response in the moving averages of a worker's response gaps
FAILURE_WEIGHT = 0.2  # of one response in the failure rate: two failures in a row pass 0.3, four pass 0.5
EJECTION_FAILURE_RATE = 0.3  # a worker is ejected above this rate, and trusted again below it
LOST_CONNECTION_FAILURE_RATE = 0.5  # the same if the connection was lost, which may be the network's fault
OTHER_CLASS_FAILURE_RATE = 0.1  # failures in another class above this rate speak against the whole worker
OVERDUE_FACTOR = 4  # an attempt is late after so many times its usual latency
LOST_FACTOR = 8  # and counted as lost after so many, although the worker answers others
MIN_SILENCE_MS = 50  # a silence shorter than this is never unusual
SILENCE_DEVIATIONS = 10  # a silence is unusual past the mean gap plus so many deviations


class OutlierDetector:
    """Judges workers, separately for each request class, by unusual silence and by failures."""

    def __init__(self, ejection_ms: float = 500.0, max_ejection_ms: float = 8000.0) -> None:
        """The first ejection lasts `ejection_ms`; each one that follows at once doubles, up to the
        maximum.
        """
        self._ejection_ms, self._max_ejection_ms = ejection_ms, max_ejection_ms

    def usable(
        self,
        now: float,
        worker: Worker,
        request_class: RequestClass,
        idempotency: Idempotency | None = None,
    ) -> bool:
        """Whether the worker may get an attempt.  After an ejection it is probed with one attempt at a time,
        never with an at-most-once request.
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
        """Record a response; True if it ejects, as a worker that fails fast must not look least loaded.
        Guards against workers that fail one request class and serve the rest: the whole worker is ejected
        only if a second class fails.
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
        whole_worker = failed and (
            connection_lost
            or any(
                other.failure_rate > OTHER_CLASS_FAILURE_RATE
                for other in worker.outlier_state_by_class.values()
                if other is not state
            )
        )
        return self.record(now, state, failed, connection_lost) | self.record(
            now, worker.outlier_state, whole_worker, connection_lost
        )

    def record(self, now: float, state: OutlierState, failed: bool, connection_lost: bool = False) -> bool:
        """Record one success or failure; True if it ejects.  Guards against links that lose connections,
        where the worker answers on others: a lost connection ejects above one half (four in a row), any other
        failure as the second of two.
        """
        state.failure_rate += FAILURE_WEIGHT * (failed - state.failure_rate)
        if not failed and state.failure_rate < EJECTION_FAILURE_RATE:
            state.ejection_ms = 0.0
        limit = LOST_CONNECTION_FAILURE_RATE if connection_lost else EJECTION_FAILURE_RATE
        return failed and state.failure_rate > limit and self.eject(now, state)

    def eject(self, now: float, state: OutlierState) -> bool:
        """Eject for the first time or for twice the previous time; False if it is ejected already."""
        if now < state.ejected_until:
            return False
        state.ejection_ms = min(self._max_ejection_ms, max(self._ejection_ms, 2 * state.ejection_ms))
        state.ejected_until = now + state.ejection_ms
        return True

    def overdue_attempts(self, now: float, worker: Worker) -> list[Attempt]:
        """Mark and return the attempts that are overdue: all of the worker's if its silence is unusual for
        its response gaps, else only those that are far too late, as single responses get lost.
        """
        usual_ms = {
            attempt: attempt.request.function.mean_latency_ms
            or attempt.request.request_class.latency_objective_ms
            for attempt in worker.attempts
            if not attempt.overdue and not attempt.request.streaming_attempt
        }
        overdue = [
            attempt for attempt, ms in usual_ms.items() if now - attempt.started_at > OVERDUE_FACTOR * ms
        ]
        if not overdue:
            return overdue
        if self._unusually_silent(now, worker, len(overdue)):
            self.eject(now, worker.outlier_state)
            overdue = list(usual_ms)
        else:
            overdue = [
                attempt for attempt in overdue if now - attempt.started_at > LOST_FACTOR * usual_ms[attempt]
            ]
        for attempt in overdue:
            attempt.overdue = True
            self.record(now, worker.outlier_state_by_class[attempt.request.request_class], True)
        return overdue

    def _unusually_silent(self, now: float, worker: Worker, late: int) -> bool:
        """Whether the silence of a worker with `late` late attempts is unusual.  Guards against the ejection
        of a worker, with all instances loaded there, for one response that is late or lost.
        """
        silence = now - max(worker.silent_since, worker.outlier_state.ejected_until)
        lost = sum(
            attempt.overdue and attempt.started_at >= worker.silent_since for attempt in worker.attempts
        )
        return (
            late + lost > 1
            and bool(worker.mean_response_gap)
            and silence
            > MIN_SILENCE_MS + worker.mean_response_gap + SILENCE_DEVIATIONS * worker.response_gap_deviation
        )
