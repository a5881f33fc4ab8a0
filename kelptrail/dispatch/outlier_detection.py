"""Judges workers by silence and failures, and ejects them for a time.  Times are milliseconds."""

from __future__ import annotations

from .entities import Attempt, Idempotency, OutlierState, Worker
from .entities import RequestClass as Type


class OutlierDetector:
    """Judges workers, for each namespace type, by how unusual their silence is and by failures."""

    def __init__(self, bar_ms: float = 500.0, longest_ms: float = 8000.0) -> None:
        self._bar_ms, self._longest_ms = bar_ms, longest_ms

    def usable(
        self, now: float, worker: Worker, request_class: Type, effect: Idempotency | None = None
    ) -> bool:
        """A worker whose bar has run out is tried with one send at a time, of what may run again."""
        for view in (worker.outlier_state, worker.outlier_state_by_class[request_class]):
            if now < view.ejected_until or (
                view.ejection_ms
                and (
                    effect is Idempotency.AT_MOST_ONCE
                    or any(s.started_at >= view.ejected_until for s in worker.attempts)
                )
            ):
                return False
        return worker.live

    def on_response(
        self, now: float, worker: Worker, request_class: Type, failed: bool, cut: bool = False
    ) -> bool:
        """An answer; True if it bars, as one that fails fast must not look least loaded.  Guards against
        workers that fail one namespace type and serve the rest: to bar the whole, a second must fail."""
        gap, worker.silent_since = now - worker.silent_since, now
        worker.response_gap_deviation += (
            0.05 * (abs(gap - worker.mean_response_gap) - worker.response_gap_deviation)
            if worker.mean_response_gap
            else gap
        )
        worker.mean_response_gap += (
            0.05 * (gap - worker.mean_response_gap) if worker.mean_response_gap else gap
        )
        view = worker.outlier_state_by_class[request_class]
        whole = failed and (
            cut or any(v.failure_rate > 0.1 for v in worker.outlier_state_by_class.values() if v is not view)
        )
        return self.record(now, view, failed, cut) | self.record(now, worker.outlier_state, whole, cut)

    def record(self, now: float, view: OutlierState, failed: bool, cut: bool = False) -> bool:
        """One more good or bad sign; True if it bars.  Guards against links that lose connections, where the
        worker answers on others: those bar past a half (four in a row), the rest as the second of two."""
        view.failure_rate += 0.2 * (failed - view.failure_rate)
        if not failed and view.failure_rate < 0.3:
            view.ejection_ms = 0.0
        return failed and view.failure_rate > (0.5 if cut else 0.3) and self.eject(now, view)

    def eject(self, now: float, view: OutlierState) -> bool:
        if now < view.ejected_until:
            return False
        view.ejection_ms = min(self._longest_ms, max(self._bar_ms, 2 * view.ejection_ms))
        view.ejected_until = now + view.ejection_ms
        return True

    def overdue_attempts(self, now: float, worker: Worker) -> list[Attempt]:
        """All there, if the silence is unusual for the worker's gaps; else one by one: answers get lost."""
        usual = {
            s: s.request.function.mean_latency_ms or s.request.request_class.latency_objective_ms
            for s in worker.attempts
            if not s.overdue and not s.request.streaming_attempt
        }
        if not (late := [attempt for attempt, ms in usual.items() if now - attempt.started_at > 4 * ms]):
            return late
        silence = now - max(worker.silent_since, worker.outlier_state.ejected_until)
        # Guards against barring a worker, and all that stands there, for one answer that is late or lost.
        lost = sum(send.overdue and send.started_at >= worker.silent_since for send in worker.attempts)
        if (
            len(late) + lost > 1
            and worker.mean_response_gap
            and silence > 50 + worker.mean_response_gap + 10 * worker.response_gap_deviation
        ):
            self.eject(now, worker.outlier_state)
            late = list(usual)
        else:
            late = [send for send in late if now - send.started_at > 8 * usual[send]]
        for send in late:
            send.overdue = True
            self.record(now, worker.outlier_state_by_class[send.request.request_class], True)
        return late
