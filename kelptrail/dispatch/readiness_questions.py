"""Asks workers whether they are ready, where the endpoint list no longer says so and a request needs to know.

A question is asked on demand, for the worker that would get the request, and pays from a credit that each
request adds to: an outage seen by all dispatchers at once costs the workers about one question a request,
however many workers there are.  Times are milliseconds.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from .components import Components, DispatchState
from .entities import LONG_AGO, AttemptStatus, Function, ProbeKind, ReadinessProbe, ReadinessQuestion, Worker

CREDIT_PER_REQUEST = 1.0
CREDIT_PER_TICK = 0.1  # while requests wait: one question a second, so that the last one is not stranded
MAX_CREDIT = 8.0  # requests before the outage do not pay for a burst in it
UNPROVEN_PAUSE_MS = 1_000.0  # a worker that did not prove its readiness is not asked again for so long
# A worker that answered the load query, and for so long not the health check before it, ignores it.
IGNORED_CHECK_MS = 50.0
HEALTH_CHECK_ANSWERS = (AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY)


class QuestionResult(StrEnum):
    """What came of the questions, for the operators."""

    ASKED = "asked"
    PROVEN = "proven"
    UNPROVEN = "unproven"
    NO_CREDIT = "no credit"


class ReadinessQuestions:
    """The questions of one dispatcher, and the functions whose requests wait for their answers."""

    def __init__(self, parts: Components, state: DispatchState) -> None:
        self._readiness, self._instances, self._state = parts.safety.readiness, parts.instances, state
        self._credit = MAX_CREDIT
        self._waiting: dict[Function, None] = {}
        self._half_answered: dict[
            ReadinessQuestion, float
        ] = {}  # the load query was answered then, the check not yet
        self._check_was_answered = False  # by any worker
        self._ignored_by: set[str] = set()  # workers that did not answer a health check
        self.results: Counter[str] = Counter()  # by `QuestionResult`

    @property
    def held_queues(self) -> int:
        """Functions whose requests wait for a worker that is known to be ready."""
        return len(self._waiting)

    def on_request(self) -> None:
        """A request arrived."""
        self._credit = min(MAX_CREDIT, self._credit + CREDIT_PER_REQUEST)

    def hold(self, function: Function) -> None:
        """The function's queue is to be served again once another worker is known to be ready."""
        self._waiting[function] = None
        for request in (*function.queue, *function.late_queue):
            request.held_for_readiness = True

    def resume_all(self) -> None:
        """Serve all queues that were held: a worker is ready, another has to be asked, or the list is heard
        again.
        """
        self._state.runnable.update(self._waiting)
        self._waiting.clear()

    def ask(self, now: float, function: Function, worker: Worker) -> ReadinessQuestion | None:
        """A question to the worker; None if one is in flight, or there is no credit.  Holds the function's
        queue.
        """
        self.hold(function)
        if not self._may_ask(now, worker):
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

    def _may_ask(self, now: float, worker: Worker) -> bool:
        previous = worker.readiness_question
        in_flight = previous is not None and now < previous.asked_at + self._readiness.proof_lifetime_ms
        return bool(self._readiness.probe_kinds) and not in_flight and now >= worker.ask_again_at

    def on_probe_finished(
        self, now: float, probe: ReadinessProbe, status: AttemptStatus, loaded_count: int
    ) -> None:
        """A probe was answered, or ended without an answer."""
        if probe.status is not None:
            return
        probe.status, question = status, probe.question
        if probe.kind is ProbeKind.HEALTH_CHECK and status in HEALTH_CHECK_ANSWERS:
            self._check_was_answered = True
        if probe.kind is ProbeKind.LOAD_QUERY and status is AttemptStatus.COMPLETED:
            question.loaded_count = loaded_count
        if question.instance.worker.readiness_question is not question:
            self._on_late_answer(probe)
        elif _proves_nothing(probe):
            self._on_unproven(now, question)
        elif all(each.status is not None for each in question.probes) or self._fleet_ignores_checks:
            self._on_proven(now, question)
        else:
            self._half_answered[question] = now

    @property
    def _fleet_ignores_checks(self) -> bool:
        """Guards against a fleet whose workers do not know health checks, which would get no work in an
        outage.  Each live worker has to have ignored one, and none ever answered: a few that hang, and
        perhaps drain, show nothing.
        """
        if self._check_was_answered or not self._ignored_by:
            return False
        return all(worker.id in self._ignored_by for worker in self._state.workers if worker.live)

    def _on_late_answer(self, probe: ReadinessProbe) -> None:
        """The question was settled, or replaced by a later one; that the worker drains holds all the same."""
        worker = probe.question.instance.worker
        if probe.status is AttemptStatus.OUT_OF_CAPACITY and worker.ready_proven_at <= _asked_at(
            probe.question
        ):
            worker.ready_proven_at = LONG_AGO

    def on_tick(self, now: float) -> None:
        """Find workers that answer load queries and ignore health checks; let held queues ask on, slowly."""
        if self._waiting:
            self._credit = min(1.0, self._credit + CREDIT_PER_TICK) if self._credit < 1 else self._credit
        for question, since in list(self._half_answered.items()):
            check = next(probe for probe in question.probes if probe.kind is ProbeKind.HEALTH_CHECK)
            if check.status is not None or question.instance.worker.readiness_question is not question:
                del self._half_answered[question]
            elif now >= since + IGNORED_CHECK_MS:
                del self._half_answered[question]
                self._on_ignored_check(now, question)

    def _on_ignored_check(self, now: float, question: ReadinessQuestion) -> None:
        if not self._check_was_answered:
            self._ignored_by.add(question.instance.worker.id)
        if self._fleet_ignores_checks:
            self._on_proven(now, question)

    def _on_unproven(self, now: float, question: ReadinessQuestion) -> None:
        worker = question.instance.worker
        self._half_answered.pop(question, None)
        worker.readiness_question = None
        worker.ask_again_at = now + UNPROVEN_PAUSE_MS
        self.results[QuestionResult.UNPROVEN] += 1
        self._resume(question)

    def _on_proven(self, now: float, question: ReadinessQuestion) -> None:
        instance = question.instance
        worker = instance.worker
        self._half_answered.pop(question, None)
        worker.readiness_question = None
        worker.ready_proven_at = max(worker.ready_proven_at, _asked_at(question))
        self.results[QuestionResult.PROVEN] += 1
        if question.loaded_count is not None and not instance.load_order and not instance.in_flight:
            self._instances.set_loaded(now, instance, question.loaded_count)
            if not question.loaded_count:
                instance.not_loaded_at = now
        self._resume(question)

    def _resume(self, question: ReadinessQuestion) -> None:
        """Serve the queues that were held; that of the question at once."""
        question.instance.function.examined_at = LONG_AGO
        self._forget_unused(question)
        self.resume_all()

    def _forget_unused(self, question: ReadinessQuestion) -> None:
        """Remove an instance that is known for the question alone."""
        instance = question.instance
        in_use = instance.loaded or instance.load_order or instance.in_flight or instance.planned_count
        if not in_use and instance.not_loaded_at < question.asked_at and not instance.unavailable_until:
            self._instances.remove(instance)


def _asked_at(question: ReadinessQuestion) -> float:
    return question.asked_at if question.write_started_at is None else question.write_started_at


def _proves_nothing(probe: ReadinessProbe) -> bool:
    """Whether the end of a probe leaves open that the worker drains.  An error of a load query is the
    function's.
    """
    if probe.kind is ProbeKind.LOAD_QUERY and probe.status is AttemptStatus.ERROR:
        return len(probe.question.probes) == 1
    return probe.status is not AttemptStatus.COMPLETED
