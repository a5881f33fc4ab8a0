"""Executes the engine's decisions on the sockets; reports the results of attempts, loads and probes to the engine."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from kelptrail.codec import frames
from kelptrail.codec.lines import WorkerAnswer, encode_call
from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    FinalStatus,
    LoadOrder,
    ReadinessProbe,
    ReadinessQuestion,
    Request,
)
from kelptrail.dispatch.timer_queue import TimerQueue
from kelptrail.engine.engine import Engine
from kelptrail.engine.invariants import Invariants

from . import log_events
from .client_connection import ClientRequest
from .client_server import ClientServer
from .close_reasons import CancelReason
from .config import Config
from .log import event_log
from .parsed_request import ParsedRequest
from .worker_connection import WorkItem
from .worker_pool import WorkerPool

CALL_HEADER_BYTES = 160  # approximate size of a call without its body


class DecisionExecutor:
    """Passes requests, decisions and results between clients, engine and workers.

    Times are in milliseconds of the loop's clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        client_server: ClientServer,
        max_worker_connections: int,
        schedule_decisions: Callable[[], None],
        invariants: Invariants,
    ) -> None:
        self._loop, self._engine, self._client_server = loop, engine, client_server
        self._schedule_decisions, self._invariants = schedule_decisions, invariants
        self._load_timeout_ms = config.sockets.load_timeout_ms
        self.workers = WorkerPool(
            loop, config.sockets, max_worker_connections, config.descriptors, self.on_item_finished, event_log
        )
        self.client_requests: dict[Request, ClientRequest] = {}  # requests whose clients wait for the answer
        # Due times of open items: the latest start of an attempt, the deadline of an attempt in flight whose request
        # was rejected or has failed, and the timeout of a load or probe.
        self.timeouts = TimerQueue()
        # Number of attempts, loads and probes that ended since the last state line, by status.  Those that this
        # executor cancelled are not counted.
        self.status_counts: Counter[str] = Counter()

    # Events of the clients.

    def on_request(self, client_request: ClientRequest, parsed: ParsedRequest) -> None:
        """Pass an accepted request to the engine."""
        arrival = parsed.arrival(client_request.client)
        request = client_request.request = self._engine.on_request(self._loop.time() * 1000, arrival)
        self.client_requests[request] = client_request
        self._schedule_decisions()

    def on_client_gone(self, client_request: ClientRequest) -> None:
        """Cancel a request whose client cancelled it or disconnected, and its unsent attempts."""
        request = client_request.request
        if request is not None and self.client_requests.pop(request, None) is not None:
            self._engine.on_client_gone(request)
            self._cancel_unsent_attempts(request, CancelReason.CLIENT_GONE)
            self._schedule_decisions()

    def is_open(self, request_id: str) -> bool:
        """Return whether the engine has a request with this id that is unanswered or has an attempt in flight."""
        return request_id in self._engine.requests

    # Events of the workers.

    def on_item_finished(self, item: WorkItem, status: AttemptStatus, answer: WorkerAnswer | None) -> None:
        """Answer the client if the item is a completed attempt, and report the end of the item to the engine."""
        now = self._loop.time() * 1000
        self.status_counts[status.value] += 1
        loaded_count = answer.loaded_instances if answer is not None else 0
        if isinstance(item, LoadOrder):
            self._engine.on_load_report(now, item, status, loaded_count)
        elif isinstance(item, ReadinessProbe):
            self._on_probe_finished(now, item, status, loaded_count)
        else:
            self._on_attempt_finished(now, item, status, answer)
        self._invariants.on_item_finished(item, status)
        self._schedule_decisions()

    def _on_probe_finished(self, now: float, probe: ReadinessProbe, status: AttemptStatus, loaded_count: int) -> None:
        if status is not AttemptStatus.COMPLETED:
            worker = probe.question.instance.worker.id
            event_log(log_events.READINESS_DENIED, worker=worker, asked=probe.kind.value, answer=status.value)
        self._engine.on_probe_finished(now, probe, status, loaded_count)

    def _on_attempt_finished(
        self, now: float, attempt: Attempt, status: AttemptStatus, answer: WorkerAnswer | None
    ) -> None:
        request = attempt.request
        is_final = request.final_status is not None
        if (
            status is AttemptStatus.COMPLETED
            and answer is not None
            and (client_request := self.client_requests.pop(request, None)) is not None
        ):
            self._client_server.answer(client_request, frames.SERVED, answer.body)
            is_final = True
        if answer is None:
            self._engine.on_attempt_finished(now, attempt, AttemptResult(status, is_final, warm=False))
        else:
            load_failed, warm = answer.notice == "crashed", answer.notice == "up"
            result = AttemptResult(status, is_final, load_failed, warm, answer.queue_ahead)
            self._engine.on_attempt_finished(now, attempt, result, self._load_values(answer))
        if is_final:
            self._cancel_unsent_attempts(request, CancelReason.FINISHED)

    def _load_values(self, answer: WorkerAnswer) -> list[float] | None:
        """Return the metrics of an answer in the order of the settings, or None if it has none.

        `cpu` replaces a missing `util`; any other missing metric counts as 0.
        """
        if answer.metrics is None:
            return None
        return [
            answer.metrics.get(name, answer.metrics.get("cpu", 0.0) if name == "util" else 0.0)
            for name in self._engine.report_fields
        ]

    # Decisions.

    def execute_decisions(self, now: float) -> None:
        """Execute all decisions that the engine makes at the time `now`."""
        while (decision := self._engine.decide(now)) is not None:
            if isinstance(decision, Attempt):
                if decision.cancelled:
                    self._cancel_attempt(now, decision, AttemptStatus.CANCELLED)
                else:
                    self._start_attempt(now, decision)
            elif isinstance(decision, LoadOrder):
                self._start_load(decision)
                self.timeouts.add(now + self._load_timeout_ms, decision)
            elif isinstance(decision, ReadinessQuestion):
                self._send_probes(now, decision)
            elif isinstance(decision, Request):
                self.answer_final(decision)
            else:
                event_log(decision)

    def _start_attempt(self, now: float, attempt: Attempt) -> None:
        request, client_request = attempt.request, self._waiting_client_request(attempt.request)
        if client_request is None:  # already answered or cancelled; an exception would stop the other decisions
            self._engine.on_attempt_finished(now, attempt, AttemptResult(AttemptStatus.NOT_SENT, True))
            return
        if attempt.latest_start < request.deadline:
            self.timeouts.add(attempt.latest_start, attempt)
        if attempt.number:
            results = [_attempt_result(earlier) for earlier in request.attempts[:-1]]
            worker = attempt.instance.worker.id
            event_log(log_events.RETRY, request=request.id, attempt=attempt.number, worker=worker, after=results)
        size = len(client_request.body) + CALL_HEADER_BYTES
        self.workers.get_or_create(attempt.instance.worker).start_attempt(
            attempt, lambda: self._render_call(attempt, client_request), size
        )

    def _waiting_client_request(self, request: Request) -> ClientRequest | None:
        """Return the client's side of a request, None if its client does not wait for the answer any more."""
        client_request = self.client_requests.get(request)
        if client_request is None:
            return None
        client_request.client.connection.close_if_ended()
        return self.client_requests.get(request)

    def _start_load(self, order: LoadOrder) -> None:
        def may_start() -> bool:
            now = time.monotonic() * 1000
            if allowed := self._engine.may_start(now, order):
                order.write_started_at = now
                self._invariants.check_load_order_start(now, order)
            return allowed

        self.workers.get_or_create(order.instance.worker).start_load(order, may_start)

    def _send_probes(self, now: float, question: ReadinessQuestion) -> None:
        """Send all probes of a readiness question, on an open connection if there is one."""

        def on_write() -> None:
            """Record the time just before the first byte of the first probe is sent."""
            if question.write_started_at is None:
                question.write_started_at = time.monotonic() * 1000

        worker = question.instance.worker
        event_log(log_events.READINESS_QUESTION, worker=worker.id, function=question.instance.function.id)
        connections = self.workers.get_or_create(worker)
        for probe in question.probes:
            self.timeouts.add(now + self._engine.probe_timeout_ms, probe)
            connections.start_probe(probe, on_write)

    def _render_call(self, attempt: Attempt, client_request: ClientRequest) -> bytes:
        """Encode an attempt at the time of sending; its limit is the time in ms until the deadline of its request.

        Return no bytes if the attempt may no longer start.
        """
        request, now = attempt.request, time.monotonic() * 1000
        limit_ms = int(request.deadline - now)
        if limit_ms < 1 or not self._engine.may_start(now, attempt):
            event_log(log_events.ATTEMPT_NOT_STARTED, request=request.id, attempt=attempt.number, left_ms=limit_ms)
            return b""
        attempt.write_started_at = now
        self._invariants.check_attempt_start(now, attempt, client_request.client_gone_at_ms, limit_ms)
        return encode_call(
            request.id,
            request.request_class.name,
            request.function.id,
            limit_ms,
            client_request.key,
            client_request.body,
        )

    def answer_final(self, request: Request) -> None:
        """Answer a request that was rejected or has failed; cancel its unsent attempts now, others at its deadline."""
        client_request = self.client_requests.pop(request, None)
        if client_request is not None:
            is_rejected = request.final_status is FinalStatus.REJECTED
            event_log(
                log_events.REQUEST_REFUSED if is_rejected else log_events.REQUEST_FAILED,
                request=client_request.id,
                reason=None if request.reason is None else request.reason.value,
                attempts=[_attempt_result(attempt) for attempt in request.attempts],
            )
            code = frames.REFUSED if is_rejected else frames.FAILED
            retry_after_ms = round(request.retry_after_ms) if is_rejected else 0
            self._client_server.answer(client_request, code, retry_after_ms=retry_after_ms)
        self._cancel_unsent_attempts(request, CancelReason.FINISHED)
        for attempt in request.attempts:
            if attempt.status is None:
                self.timeouts.add(request.deadline, attempt)

    # Cancellation and timeouts.

    def expire_timeouts(self, now: float) -> None:
        """Cancel the items whose due time in `timeouts` has passed.

        An attempt whose request is open is cancelled only if it is unsent.
        """
        while (item := self.timeouts.pop_due(now)) is not None:
            if isinstance(item, LoadOrder):
                self._expire_load(now, item)
            elif isinstance(item, ReadinessProbe):
                self._expire_probe(now, item)
            elif item.request.final_status is None:  # at its latest start: an attempt that was sent continues
                self._cancel_unsent(item, CancelReason.TOO_LATE_TO_START)
            else:
                self._cancel_attempt(now, item, AttemptStatus.SILENT)

    def _expire_load(self, now: float, order: LoadOrder) -> None:
        connections = self.workers.get(order.instance.worker)
        if connections is not None and connections.cancel(order) is not None:
            self._engine.on_load_report(now, order, AttemptStatus.SILENT, 0)

    def _expire_probe(self, now: float, probe: ReadinessProbe) -> None:
        connections = self.workers.get(probe.question.instance.worker)
        if connections is not None and connections.cancel(probe) is not None:
            self._on_probe_finished(now, probe, AttemptStatus.SILENT, 0)

    def _cancel_attempt(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        connections = self.workers.get(attempt.instance.worker)
        may_arrive = None if connections is None else connections.cancel(attempt)
        if attempt.status is None and may_arrive is not None:
            is_final = attempt.request.final_status is not None
            result = AttemptResult(status if may_arrive else AttemptStatus.NOT_SENT, is_final)
            self._engine.on_attempt_finished(now, attempt, result)

    def _cancel_unsent_attempts(self, request: Request, reason: CancelReason) -> None:
        """Cancel the unsent attempts of a request, which wait for a connection or for a slow worker to read."""
        for attempt in request.attempts:
            if attempt.status is None:
                self._cancel_unsent(attempt, reason)

    def _cancel_unsent(self, attempt: Attempt, reason: CancelReason) -> None:
        connections = self.workers.get(attempt.instance.worker)
        if connections is not None and connections.cancel_unsent(attempt):
            request = attempt.request
            event_log(log_events.ATTEMPT_CANCELLED, request=request.id, attempt=attempt.number, reason=reason.value)
            result = AttemptResult(AttemptStatus.NOT_SENT, request.final_status is not None)
            self._engine.on_attempt_finished(self._loop.time() * 1000, attempt, result)
            self._schedule_decisions()


def _attempt_result(attempt: Attempt) -> str:
    """Return the status and the worker of an attempt as text for the log."""
    result = "in flight" if attempt.status is None else attempt.status.value
    return f"{result} at {attempt.instance.worker.id}"
