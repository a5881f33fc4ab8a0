"""Checks of bench/platform_fuzz.py, which compare each request with the calls that the workers read for it."""

from __future__ import annotations

from fault_injection.request_checks import check_at_most_once, check_results, check_single_answer
from fault_injection.run_state import RunState, SentRequest, WorkerCall
from fault_injection.settings import (
    BUSY_MACHINE_SLACK_S,
    CANCEL_SLACK_S,
    DEDUPLICATION_WINDOW_S,
    RequestKind,
)


class FuzzRequestChecks:
    """Finds the problems of the requests of one run."""

    def __init__(self, run: RunState) -> None:
        self._run = run

    def problems_of(self, request: SentRequest) -> list[str]:
        """Return the problems of a request, followed by its calls; empty if there are none."""
        calls = self._run.calls.get(request.id, [])
        problems = check_single_answer(request)
        if request.client_left_at is not None:
            problems += _attempts_after_cancel(request.client_left_at, calls)
        elif not request.answers:
            problems += self._missing_answer(request, calls)
        elif request.answers[0].at > request.deadline + BUSY_MACHINE_SLACK_S:
            problems.append(f"answered {request.answers[0].at - request.deadline:.3f} s late")
        problems += check_results(self._run, request)
        problems += check_at_most_once(request, calls)
        problems += _retry_past_window(request, calls)
        if problems:
            timeline = [(round(call.at - request.written_at, 3), str(call.behavior), call.worker) for call in calls]
            problems.append(f"calls {timeline}")
        return problems

    def _missing_answer(self, request: SentRequest, calls: list[WorkerCall]) -> list[str]:
        """Report a request without an answer, unless its process was killed, or the dispatcher closed the connection
        just as the request was sent."""
        open_s = None if request.closed_at is None else request.closed_at - request.written_at
        closed_at_once = not calls and open_s is not None and open_s < 0.05 + BUSY_MACHINE_SLACK_S
        if closed_at_once or request.may_be_lost_by_kill(self._run.kills):
            return []
        ended = None if open_s is None else round(open_s, 3)
        return [f"no answer; calls {[str(call.behavior) for call in calls]}, connection ended after {ended} s"]


def _attempts_after_cancel(client_left_at: float, calls: list[WorkerCall]) -> list[str]:
    latest = client_left_at + CANCEL_SLACK_S + BUSY_MACHINE_SLACK_S / 2
    late = [call.at for call in calls if call.at > latest]
    return [f"an attempt started {late[-1] - client_left_at:.3f} s after its client left"] if late else []


def _retry_past_window(request: SentRequest, calls: list[WorkerCall]) -> list[str]:
    runs = [call for call in calls if call.may_have_run]
    if request.kind is not RequestKind.DEDUPLICATED or not runs:
        return []
    first, last = runs[0].at, calls[-1].at
    if last <= first + DEDUPLICATION_WINDOW_S + 0.05 + BUSY_MACHINE_SLACK_S / 2:
        return []
    return [f"a retry {last - first:.3f} s after the first attempt"]
