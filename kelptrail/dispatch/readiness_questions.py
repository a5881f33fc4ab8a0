"""Sends readiness questions to workers while the endpoint list is stale.

A question is sent on demand, to the worker that would get a request.  Each question uses one credit, and each
request adds one, so that in an outage that affects all dispatchers the workers get about one question for
each request, however many workers there are.  Times are milliseconds.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from .components import Components, DispatchState
from .entities import LONG_AGO, AttemptStatus, Function, ProbeKind, ReadinessProbe, ReadinessQuestion, Worker

CREDIT_PER_REQUEST = 1.0
# Allows one question a second (ten ticks) while queues are held, so that they are not held forever when no
# requests arrive.
CREDIT_PER_TICK = 0.1
MAX_CREDIT = 8.0  # limits the burst of questions from credit that was added before an outage
UNPROVEN_PAUSE_MS = 1_000.0  # minimum time until a worker that did not prove its readiness is queried again
# A worker counts as ignoring a health check that is unanswered this long after the answer to the load query.
IGNORED_CHECK_MS = 50.0
HEALTH_CHECK_ANSWERS = (AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY)


class QuestionResult(StrEnum):
    """Results of questions, counted for the operators."""

    ASKED = "asked"
    PROVEN = "proven"
    UNPROVEN = "unproven"
    NO_CREDIT = "no credit"


class ReadinessQuestions:
    """The readiness questions of one dispatcher, and the functions whose requests wait for the answers."""

    def __init__(self, parts: Components, state: DispatchState) -> None:
        self._readiness, self._instances, self._state = parts.safety.readiness, parts.instances, state
        self._credit = MAX_CREDIT
        self._held_functions: dict[Function, None] = {}
        # Time of the first answer to each question that still has an unanswered probe.  `on_tick` removes a
        # question whose unanswered probe is the load query.
        self._first_answered_at: dict[ReadinessQuestion, float] = {}
        self._health_check_was_answered = False  # whether any worker has answered a health check
        self._ignoring_workers: set[str] = set()  # ids of workers that did not answer a health check
        self.results: Counter[str] = Counter()  # counts by `QuestionResult`

    @property
    def held_queues(self) -> int:
        """The number of functions whose requests wait for a worker that is known to be ready."""
        return len(self._held_functions)

    def on_request(self) -> None:
        """Add the credit of a request that arrived."""
        self._credit = min(MAX_CREDIT, self._credit + CREDIT_PER_REQUEST)

    def hold_queue(self, function: Function) -> None:
        """Record that the function's queued requests wait for a worker that is known to be ready, so that
        `resume_held_queues` serves them again.
        """
        self._held_functions[function] = None
        for request in (*function.queue, *function.late_queue):
            request.held_for_readiness = True

    def forget(self, function: Function) -> None:
        """Remove a function that is no longer known."""
        self._held_functions.pop(function, None)

    def resume_held_queues(self) -> None:
        """Serve all held queues again.  This is needed when a question has ended, whether it proved that the
        worker is ready or another worker has to be queried, and when the endpoint list was confirmed.
        """
        self._state.runnable.update(self._held_functions)
        self._held_functions.clear()

    def create(self, now: float, function: Function, worker: Worker) -> ReadinessQuestion | None:
        """Hold the function's queue and create a question to the worker.  Return None if a question is in
        flight, the last one recently ended without a proof, no probes are allowed or there is no credit.
        """
        self.hold_queue(function)
        if not self._may_query(now, worker):
            return None
        if self._credit < 1:
            self.results[QuestionResult.NO_CREDIT] += 1
            return None
        self._credit -= 1
        self.results[QuestionResult.ASKED] += 1
        question = ReadinessQuestion(self._instances.get_or_add(function, worker), now)
        question.probes = [ReadinessProbe(question, kind) for kind in self._readiness.probe_kinds]
        worker.readiness_question = question
        return question

    def _may_query(self, now: float, worker: Worker) -> bool:
        previous = worker.readiness_question
        in_flight = previous is not None and now < previous.asked_at + self._readiness.proof_lifetime_ms
        return bool(self._readiness.probe_kinds) and not in_flight and now >= worker.next_question_at

    def on_probe_finished(
        self, now: float, probe: ReadinessProbe, status: AttemptStatus, loaded_count: int
    ) -> None:
        """Record that a probe was answered, or ended without an answer."""
        if probe.status is not None:
            return
        probe.status, question = status, probe.question
        if probe.kind is ProbeKind.HEALTH_CHECK and status in HEALTH_CHECK_ANSWERS:
            self._health_check_was_answered = True
        if probe.kind is ProbeKind.LOAD_QUERY and status is AttemptStatus.COMPLETED:
            question.loaded_count = loaded_count
        if question.instance.worker.readiness_question is not question:
            self._on_late_answer(probe)
        elif _is_inconclusive(probe):
            self._on_unproven(now, question)
        elif all(other.status is not None for other in question.probes) or self._fleet_ignores_checks:
            self._on_proven(now, question)
        else:
            self._first_answered_at[question] = now

    @property
    def _fleet_ignores_checks(self) -> bool:
        """Whether every live worker has ignored a health check, and none has ever answered one.

        The answer to a load query alone is then a proof of readiness.  Otherwise a fleet whose workers do not
        implement health checks would get no work in an outage of the endpoint list.  Silence of only some
        workers is no evidence, as these may hang or drain.
        """
        if self._health_check_was_answered or not self._ignoring_workers:
            return False
        return all(worker.id in self._ignoring_workers for worker in self._state.workers if worker.live)

    def _on_late_answer(self, probe: ReadinessProbe) -> None:
        """Handle an answer to a question that has ended or was replaced.  The answer may still show that the
        worker drains; an older proof of readiness then no longer counts.
        """
        worker = probe.question.instance.worker
        if probe.status is AttemptStatus.OUT_OF_CAPACITY and worker.ready_proven_at <= _question_sent_at(
            probe.question
        ):
            worker.ready_proven_at = LONG_AGO

    def on_tick(self, now: float) -> None:
        """Detect workers that ignore health checks, and add credit slowly while queues are held."""
        if self._held_functions:
            self._credit = min(1.0, self._credit + CREDIT_PER_TICK) if self._credit < 1 else self._credit
        for question, since in list(self._first_answered_at.items()):
            check = next(probe for probe in question.probes if probe.kind is ProbeKind.HEALTH_CHECK)
            if check.status is not None or question.instance.worker.readiness_question is not question:
                del self._first_answered_at[question]
            elif now >= since + IGNORED_CHECK_MS:
                del self._first_answered_at[question]
                self._on_ignored_check(now, question)

    def _on_ignored_check(self, now: float, question: ReadinessQuestion) -> None:
        if not self._health_check_was_answered:
            self._ignoring_workers.add(question.instance.worker.id)
        if self._fleet_ignores_checks:
            self._on_proven(now, question)

    def _on_unproven(self, now: float, question: ReadinessQuestion) -> None:
        worker = question.instance.worker
        self._first_answered_at.pop(question, None)
        worker.readiness_question = None
        worker.next_question_at = now + UNPROVEN_PAUSE_MS
        self.results[QuestionResult.UNPROVEN] += 1
        self._resume(question)

    def _on_proven(self, now: float, question: ReadinessQuestion) -> None:
        instance = question.instance
        worker = instance.worker
        self._first_answered_at.pop(question, None)
        worker.readiness_question = None
        worker.ready_proven_at = max(worker.ready_proven_at, _question_sent_at(question))
        self.results[QuestionResult.PROVEN] += 1
        if question.loaded_count is not None and not instance.load_order and not instance.in_flight:
            self._instances.set_loaded(now, instance, question.loaded_count)
            if not question.loaded_count:
                instance.not_loaded_at = now
        self._resume(question)

    def _resume(self, question: ReadinessQuestion) -> None:
        """Serve the held queues again, and allow an immediate worker search for the question's function."""
        question.instance.function.searched_at = LONG_AGO
        self._remove_unused_instance(question)
        self.resume_held_queues()

    def _remove_unused_instance(self, question: ReadinessQuestion) -> None:
        """Remove the question's instance if it was added only for the question."""
        instance = question.instance
        in_use = instance.loaded or instance.load_order or instance.in_flight or instance.planned_count
        if not in_use and instance.not_loaded_at < question.asked_at and not instance.unavailable_until:
            self._instances.remove(instance)


def _question_sent_at(question: ReadinessQuestion) -> float:
    return question.asked_at if question.write_started_at is None else question.write_started_at


def _is_inconclusive(probe: ReadinessProbe) -> bool:
    """Return whether the worker may drain according to the outcome of the probe.  An error of a load query
    comes from the function, so that it counts only if the load query is the only probe.
    """
    if probe.kind is ProbeKind.LOAD_QUERY and probe.status is AttemptStatus.ERROR:
        return len(probe.question.probes) == 1
    return probe.status is not AttemptStatus.COMPLETED
