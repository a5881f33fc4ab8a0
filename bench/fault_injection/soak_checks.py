"""Checks of bench/soak.py: each request against its captured attempts, the drains, slow start, and the logs."""

from __future__ import annotations

from fault_injection.captured_attempts import AttemptCapture, CapturedAttempt
from fault_injection.drain_check import DrainCheck
from fault_injection.loop_delay import LoopDelayMonitor
from fault_injection.request_checks import (
    check_at_most_once,
    check_results,
    check_run,
    check_single_answer,
)
from fault_injection.run_state import RunState, SentRequest, WorkerCall
from fault_injection.settings import (
    BUSY_MACHINE_SLACK_S,
    CANCEL_SLACK_S,
    DEDUPLICATION_WINDOW_S,
    RequestKind,
)
from fault_injection.slow_start_check import SlowStartCheck
from fault_injection.soak_faults import SoakFaults
from fault_injection.soak_processes import SoakProcesses

LIMIT_SLACK_S = 0.15  # tolerance of the time limits that are passed to workers
# Time from SIGTERM until a process may close connections on which requests arrive (ARRIVALS_MS in
# kelptrail/dispatch/shutdown.py).
SHUTDOWN_CLOSE_S = 0.7
LOG_PROBLEMS = ("invariant violated", "failed problem", "Traceback")


class SoakChecks:
    """Checks what was observed in one run and adds the problems to it."""

    def __init__(
        self,
        run: RunState,
        capture: AttemptCapture,
        processes: SoakProcesses,
        faults: SoakFaults,
        loop_delays: LoopDelayMonitor,
    ) -> None:
        self._run = run
        self._capture = capture
        self._processes = processes
        self._faults = faults
        self._loop_delays = loop_delays
        self.unanswered_at_close = 0  # requests without an answer, sent as the dispatcher closed the connection

    def check_all(self) -> None:
        """Check requests, drains, logs and slow start."""
        check_run(self._run, self._problems_of, [])
        drains = DrainCheck(self._run.drained_at, self._faults.list_outages)
        self._run.problems += drains.problems([*self._capture, *self._capture.orders])
        for n in range(len(self._processes)):
            self._check_log(n)
        self._check_slow_start()

    def _check_log(self, n: int) -> None:
        for line in self._run.log_file(n).read_text(errors="replace").splitlines():
            if any(text in line for text in LOG_PROBLEMS):
                self._run.problems.append(f"log {n}: {line}")

    def _check_slow_start(self) -> None:
        # A process that started with a stepped clock cannot determine when a worker started.
        excluded = self._processes.started_with_stepped_clock
        attempts = (attempt for attempt in self._capture if attempt.process not in excluded)
        calls = (call for calls in self._run.calls.values() for call in calls)
        check = SlowStartCheck(attempts, calls)
        for worker, started_at in self._faults.new_worker_starts.items():
            self._run.problems += check.problems(worker, started_at)

    def _problems_of(self, request: SentRequest) -> list[str]:
        calls = self._run.calls.get(request.id, [])
        attempts = self._capture.of_request(request.id)
        # A delay of this program's loop may count twice: when it accepts a connection and when it reads from it.
        end = request.answers[0].at if request.answers else request.deadline
        slack_s = BUSY_MACHINE_SLACK_S + 2 * self._loop_delays.max_delay_s(request.written_at, end)
        problems = check_single_answer(request)
        for attempt in attempts:
            problems += _attempt_problems(request, attempt, slack_s)
        if request.is_open:
            problems += self._missing_answer(request, attempts)
        elif request.client_left_at is None and request.answers[0].at > request.deadline + slack_s:
            problems.append(f"answered {request.answers[0].at - request.deadline:.3f} s late")
        problems += check_results(self._run, request)
        problems += check_at_most_once(request, calls)
        problems += _retry_past_window(request, calls, attempts, slack_s)
        if problems:
            problems += _timeline(request, calls, attempts)
        return problems

    def _missing_answer(self, request: SentRequest, attempts: list[CapturedAttempt]) -> list[str]:
        """Report a request without an answer, unless its process was killed, or the dispatcher closed its connection
        just as it was sent, because the connection was idle or the process was shutting down."""
        # `written_at` may be late by the delay of this program's loop.
        delay_s = self._loop_delays.max_delay_s(request.written_at, request.deadline)
        if request.may_be_lost_by_kill(self._run.kills, delay_s):
            return []
        open_s = None if request.closed_at is None else request.closed_at - request.written_at
        closed_at_once = not attempts and open_s is not None and open_s < 0.05 + BUSY_MACHINE_SLACK_S
        if closed_at_once and (request.after_idle or self._was_shutting_down(request)):
            self.unanswered_at_close += 1
            return []
        ended = None if open_s is None else round(open_s, 3)
        return [
            f"no answer; written at {request.written_at:.3f}, connection ended after {ended} s; its process was killed "
            f"{self._last_kill_before(request)} and sent SIGTERM {self._last_shutdown_before(request)} s before; "
            f"loop delay {delay_s:.2f} s"
        ]

    def _was_shutting_down(self, request: SentRequest) -> bool:
        return any(
            request.written_at > shutdown.signalled_at + SHUTDOWN_CLOSE_S
            for shutdown in self._processes.shutdowns[request.process]
            if request.written_at < shutdown.exited_at
        )

    def _last_kill_before(self, request: SentRequest) -> list[float]:
        times = [kill.at for kill in self._run.kills if kill.process == request.process]
        return _last_before(request, times)

    def _last_shutdown_before(self, request: SentRequest) -> list[float]:
        times = [shutdown.signalled_at for shutdown in self._processes.shutdowns[request.process]]
        return _last_before(request, times)


def _attempt_problems(request: SentRequest, attempt: CapturedAttempt, slack_s: float) -> list[str]:
    if not attempt.is_timed:
        return []
    problems = []
    left_at = request.client_left_at
    if left_at is not None and attempt.at > left_at + CANCEL_SLACK_S + slack_s:
        problems.append(f"an attempt started {attempt.at - left_at:.3f} s after its client left")
    excess_s = attempt.at + attempt.limit_s - request.deadline
    if request.written_at and excess_s > LIMIT_SLACK_S + slack_s:
        problems.append(f"a time limit {excess_s:.3f} s over the remaining time of its client")
    if request.answers and attempt.at > request.answers[0].at + CANCEL_SLACK_S + slack_s:
        problems.append(f"an attempt started {attempt.at - request.answers[0].at:.3f} s after the answer")
    return problems


def _retry_past_window(
    request: SentRequest, calls: list[WorkerCall], attempts: list[CapturedAttempt], slack_s: float
) -> list[str]:
    runs = [call for call in calls if call.may_have_run]
    timed = [attempt.at for attempt in attempts if attempt.is_timed]
    if request.kind is not RequestKind.DEDUPLICATED or not runs or not timed:
        return []
    if max(timed) <= runs[0].at + DEDUPLICATION_WINDOW_S + slack_s:
        return []
    return [f"a retry {max(timed) - runs[0].at:.3f} s after the first attempt that may have run"]


def _timeline(request: SentRequest, calls: list[WorkerCall], attempts: list[CapturedAttempt]) -> list[str]:
    sent = [(round(each.at - request.written_at, 3), each.worker, each.limit_s, each.is_timed) for each in attempts]
    received = [(round(call.at - request.written_at, 3), str(call.behavior), call.worker) for call in calls]
    return [f"attempts {sent}", f"ends {received}, limit {request.limit_s}"]


def _last_before(request: SentRequest, times: list[float]) -> list[float]:
    """Return the seconds from the last of `times` to the writing of a request; negative if it was written earlier.

    Times later than 1 s after its deadline do not count; the list is empty if no time is left."""
    return [round(request.written_at - at, 3) for at in times if at <= request.deadline + 1][-1:]
