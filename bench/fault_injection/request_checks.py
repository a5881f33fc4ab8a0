"""Checks of requests and attempts that the fuzz and the soak share.  They return the problems as text."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fault_injection.run_state import RunState, SentRequest, WorkerAttempt, WorkerCall
from fault_injection.settings import BUSY_MACHINE_SLACK_S, DRAIN_GRACE_S, RequestKind
from kelptrail.codec import frames

DRAINED_WORKER = 0  # the worker that each run drains and replaces
BROKEN_LIST_DELAY_S = 1.0  # allowed delay of an event while its list has a fault


def check_run(
    run: RunState, problems_of: Callable[[SentRequest], list[str]], attempts: Iterable[WorkerAttempt]
) -> None:
    """Check each request by `problems_of`, `attempts` against the drain, and that calls belong to known requests.

    Adds the problems to those of the run."""
    for request in run.requests.values():
        for problem in problems_of(request):
            run.problems.append(f"{request.id} ({request.kind}, process {request.process}): {problem}")
    run.problems += _attempts_at_drained_worker(run, attempts)
    run.problems += _attempts_for_unknown_requests(run)


def _attempts_at_drained_worker(run: RunState, attempts: Iterable[WorkerAttempt]) -> list[str]:
    if DRAINED_WORKER not in run.drained_at:
        return []
    drained_at = run.drained_at[DRAINED_WORKER]
    latest = drained_at + DRAIN_GRACE_S + BROKEN_LIST_DELAY_S + BUSY_MACHINE_SLACK_S
    late = [each.at for each in attempts if each.worker == DRAINED_WORKER and each.at > latest]
    if not late:
        return []
    return [f"{len(late)} attempts at a draining worker, the last {max(late) - drained_at:.2f} s after the drain"]


def _attempts_for_unknown_requests(run: RunState) -> list[str]:
    unknown = [id_ for id_ in run.calls if id_ not in run.requests and id_ not in run.started_ids]
    return [f"attempts for unknown requests: {unknown[:3]}"] if unknown else []


def check_single_answer(request: SentRequest) -> list[str]:
    """Check that a request gets at most one answer."""
    codes = [answer.code for answer in request.answers]
    return [f"{len(codes)} answers: {codes}"] if len(codes) > 1 else []


def check_results(run: RunState, request: SentRequest) -> list[str]:
    """Check that each result of a request is one that a worker gave for it."""
    return [
        "served a result that no worker gave"
        for answer in request.answers
        if answer.code == frames.SERVED
        and (answer.body not in run.result_bodies or request.id.encode() not in answer.body)
    ]


def check_at_most_once(request: SentRequest, calls: list[WorkerCall]) -> list[str]:
    """Check that an at-most-once request runs at most once, and is rejected only if it has not run."""
    if request.kind is not RequestKind.AT_MOST_ONCE:
        return []
    problems = []
    runs = [call for call in calls if call.may_have_run]
    if len(runs) > 1:
        problems.append(f"at-most-once request ran {len(runs)} times: {[str(call.behavior) for call in calls]}")
    if runs and any(answer.code == frames.REFUSED for answer in request.answers):
        problems.append("at-most-once request rejected though it may have run")
    return problems
