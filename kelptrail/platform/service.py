"""One dispatcher on the loop: the host between its clients, its workers and the worker list, and its one timer."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections import Counter
from typing import Any

from kelptrail.codec import frames
from kelptrail.codec.feed import GONE, READY, EndpointEvent, EndpointRecord, FeedReader
from kelptrail.codec.lines import WorkerAnswer, encode_call
from kelptrail.dispatch.entities import Attempt, AttemptStatus, FinalStatus, LoadOrder, Request, Worker, WorkerState
from kelptrail.dispatch.shutdown import ARRIVALS_MS, NOT_PLANNED, plan_shutdown
from kelptrail.dispatch.timer_queue import TimerQueue
from kelptrail.engine.engine import Endpoint, Engine
from kelptrail.engine.invariants import Invariants
from kelptrail.engine.wall_clock import WallClockReader

from .client_server import ClientRequest, ClientServer, ParsedRequest
from .close_reasons import WithdrawReason
from .config import Config
from .endpoint_watch import EndpointWatch
from .log import EventLog
from .worker_connections import Bounds, Item, WorkerConnections

STATES = {READY: WorkerState.LIVE, GONE: WorkerState.REMOVED}
STATE_MS = 5_000.0  # how often the log compares what is believed with what the sockets show
LAST_MS = ARRIVALS_MS
PART_MS = 50.0  # for which clients may read on at the end
CALL_BYTES = 160  # of a call beside its body, some
OTHERS = 24  # descriptors that are neither clients' nor workers': the loop, the list and its next connection, the log


note = EventLog()


def failed(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """What no part expected ends where it happened, with a line."""
    cause = context.get("exception")
    where = traceback.extract_tb(cause.__traceback__)[-1] if cause is not None and cause.__traceback__ else None
    note(
        "failed",
        problem=context.get("message"),
        task=context.get("task"),
        cause=repr(cause),
        at=f"{where.filename.rpartition('/')[2]}:{where.lineno}" if where else "-",
    )


class Service:
    """The dispatcher of one configuration."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config) -> None:
        self._loop, self.config, sockets = loop, config, config.sockets
        loop.set_exception_handler(failed)
        self._host = Engine(config.seed, config.settings)
        self._wall_clock = WallClockReader(time.time() * 1000, self._now())
        self._started: dict[str, tuple[int, float]] = {}  # of each worker: as the list tells it, and on our clock
        self._order_ms, self._descriptors = sockets.order_ms, config.descriptors
        # A third of the descriptors is the usual clients'; some more hold those that come too many.
        clients = config.descriptors * 5 // 12
        workers = max(4, config.descriptors - clients - min(OTHERS, config.descriptors // 8))
        self._bounds = Bounds(
            sockets.connect_ms,
            sockets.idle_ms,
            sockets.streams,
            workers,
            frames.MAX_BODY_BYTES * 8,
            sockets.cancels,
            sockets.parallel,
            max(sockets.longest_ms.values()),
            self._make_room,
        )
        self.invariants = Invariants(note)
        self._front = ClientServer(
            loop,
            sockets,
            self._host.request_classes,
            self._host.tenants,
            clients,
            int(config.memory_mb * (1 << 20) / 16),
            self._take,
            self._left,
            lambda id_: id_ in self._host.requests,
            note,
            self.invariants,
        )
        self._requests: dict[Request, ClientRequest] = {}
        self._links: dict[Worker, WorkerConnections] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._due = TimerQueue()  # what the sockets owe: sends whose time is up, orders out for too long
        self._timer: asyncio.TimerHandle | None = None
        self._armed = float("inf")
        self._beat_due = self._now() + self._host.tick_ms
        self._soon = self._closed = False
        self._state_due = self._now() + STATE_MS
        self._counts: Counter[str] = Counter()
        self._shutdown = NOT_PLANNED
        self.over = loop.create_future()
        self._feed: EndpointWatch | None = None
        for event in config.known:
            self._listed(event)
        zones, kinds = len(sockets.zones), len(sockets.kinds)
        self._feed = EndpointWatch(
            loop,
            config.journal,
            config.known[-1].number if config.known else 0,
            lambda: FeedReader(zones, kinds),
            self._listed,
            note,
        )

    @property
    def number(self) -> int:
        """The last event of the worker list that was taken in."""
        return 0 if self._feed is None else self._feed.number

    @property
    def ending(self) -> bool:
        """Whether it was told to end."""
        return not self._front.ready

    def open(self) -> int:
        """Begin to serve; returns the port.  Raises `OSError`."""
        port = self._front.open(self.config.listen)
        self._stir_soon()
        return port

    def reload(self, config: Config) -> None:
        """A new configuration: the worker list may be told at another address."""
        self.config = config
        note("configuration", journal=config.journal)
        if self._feed is not None:
            self._feed.moved(config.journal)

    def end(self) -> None:
        """A planned end: nothing new is asked for, what was taken and what still comes is answered."""
        if self._front.ready:
            note("ending", in_hand=len(self._requests))
            self._front.go_away()
            self._shutdown = plan_shutdown(self._now(), self._bounds.longest_ms, LAST_MS)
            self._loop.call_later(LAST_MS / 1000, self._end_if_idle)

    def close(self) -> None:
        """Close all sockets; nothing is decided from then on, though what was open ends."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._feed is not None:
            self._feed.close()
        self._front.close()
        for links in list(self._links.values()):
            links.close()

    def _end_if_idle(self) -> None:
        """The last look, and the end in the same turn: nothing can come in between unseen."""
        now, plan = self._now(), self._shutdown
        if now >= plan.refuse:
            self._front.refuse_new()
        unfinished = not self._front.shut() or self._requests or not self._front.settled
        if unfinished and now < plan.end:
            self._loop.call_later(0.02, self._end_if_idle)
            return
        for request in list(self._requests):
            self._final(self._host.terminate(now, request))
        self._front.finish(PART_MS)
        self._loop.call_later(PART_MS / 1000, self._end)

    def _end(self) -> None:
        if not self.over.done():
            self.over.set_result(None)

    def _now(self) -> float:
        return self._loop.time() * 1000

    # What happens.

    def _take(self, request: ClientRequest, asked: ParsedRequest) -> None:
        act = request.act = self._host.on_request(
            self._now(),
            asked.id,
            asked.type,
            asked.customer,
            asked.item,
            asked.left_ms,
            asked.memory_mb,
            asked.lanes,
            asked.load_ms,
            asked.work_ms,
        )
        self._requests[act] = request
        self._stir_soon()

    def _left(self, request: ClientRequest) -> None:
        if request.act is not None and self._requests.pop(request.act, None) is not None:
            self._host.on_client_gone(request.act)
            self._take_back(request.act, WithdrawReason.CLIENT_GONE)
            self._stir_soon()

    def _take_back(self, request: Request, reason: WithdrawReason) -> None:
        """Nobody waits any more for what has not begun to leave: behind a slow worker, or a connection not up yet."""
        for attempt in request.attempts:
            if attempt.status is None:
                self._withdraw(attempt, reason)

    def _withdraw(self, attempt: Attempt, reason: WithdrawReason) -> None:
        links = self._links.get(attempt.instance.worker)
        if links is not None and links.withdraw(attempt):
            note("attempt withdrawn", request=attempt.request.id, attempt=attempt.number, reason=reason.value)
            self._host.on_attempt_finished(
                self._now(), attempt, AttemptStatus.NOT_SENT, attempt.request.final_status is not None
            )
            self._stir_soon()

    def _ended(self, item: Item, status: AttemptStatus, answer: WorkerAnswer | None) -> None:
        now = self._now()
        self._counts[status.value] += 1
        if isinstance(item, LoadOrder):
            units = answer.loaded_instances if answer is not None else 0
            self._host.on_load_report(now, item, status, units)
        else:
            over = item.request.final_status is not None
            if (
                status is AttemptStatus.COMPLETED
                and answer is not None
                and (request := self._requests.pop(item.request, None)) is not None
            ):
                self._front.answer(request, frames.SERVED, answer.body)
                over = True
            said = answer or WorkerAnswer("", "")
            report = (
                None
                if said.metrics is None
                else [
                    said.metrics.get(name, said.metrics.get("cpu", 0.0) if name == "util" else 0.0)
                    for name in self._host.report_fields
                ]
            )
            self._host.on_attempt_finished(
                now, item, status, over, said.notice == "crashed", said.notice == "up", said.queue_ahead, report
            )
            if over:
                self._take_back(item.request, WithdrawReason.FINISHED)
        self._stir_soon()

    def _listed(self, event: EndpointEvent) -> None:
        now = self._now()
        entries = [
            Endpoint(
                r.id,
                r.zone,
                r.kind,
                r.cell,
                STATES.get(r.state, WorkerState.DRAINING),
                r.capacity,
                self._started_at(now, r),
            )
            for r in event.records or ()
        ]
        before = dict(self._host.workers)
        states = {id_: worker.state for id_, worker in before.items()}
        restarted = self._host.on_endpoints(now, event.is_snapshot, entries)
        for record in event.records or ():
            self._addresses[record.id] = record.address, record.port
        for worker in {**before, **self._host.workers}.values():
            if worker.state is not states.get(worker.id, WorkerState.LIVE) or worker in restarted:
                note("worker state", worker=worker.id, state=worker.state.value, restarted=worker in restarted)
            links = self._links.get(worker)
            if links is not None and (worker in restarted or links.address != self._addresses[worker.id]):
                del self._links[worker]
                links.close()
            elif links is not None and worker.removed:  # its address may be another's from now on
                links.unreached()
            elif links is not None and not worker.live:  # what waits behind others could leave after the grace
                for item in links.withdraw_all():
                    note("withdrawn", worker=worker.id, reason=WithdrawReason.DRAINING.value)
                    self._ended(item, AttemptStatus.NOT_SENT, None)
            if worker.removed and worker.id not in self._host.workers:
                self._addresses.pop(worker.id, None)
                self._started.pop(worker.id, None)
        live = sum(worker.live for worker in self._host.workers.values())
        self._bounds.most = max(2, self._descriptors // 4 // max(1, len(self._host.workers)))
        note("list", number=event.number, workers=len(self._host.workers), live=live)
        self._stir_soon()

    def _started_at(self, now: float, record: EndpointRecord) -> float | None:
        """When a worker started; the same for the same word of the list, whatever the wall clock does in between."""
        if not record.started:
            return None
        told, started = self._started.get(record.id, (0, 0.0))
        if told != record.started:
            self._wall_clock.observe(time.time() * 1000, now)
            unknown_at = self._feed.heard_at * 1000 if self._feed is not None else float("-inf")
            started = self._wall_clock.monotonic_ms(record.started, now, unknown_at)
            self._started[record.id] = record.started, started
        return started

    # What to do.

    def _stir_soon(self) -> None:
        """Decide once all that the loop has ready was taken in."""
        if not self._soon:
            self._soon = True
            self._loop.call_soon(self._stir)

    def _stir(self) -> None:
        self._soon = False
        if self._closed:
            return
        now = self._now()
        try:
            while (decision := self._host.decide(now)) is not None:
                if isinstance(decision, Attempt):
                    if decision.cancelled:
                        self._give_up(now, decision, AttemptStatus.CANCELLED)
                    else:
                        self._send(now, decision)
                elif isinstance(decision, LoadOrder):
                    self._order(decision)
                    self._due.add(now + self._order_ms, decision)
                elif isinstance(decision, Request):
                    self._final(decision)
                else:
                    note(decision)
        finally:
            self._arm()

    def _send(self, now: float, attempt: Attempt) -> None:
        act, request = attempt.request, self._requests.get(attempt.request)
        if request is None:  # guards against one decision too many: it must not end the round
            self._host.on_attempt_finished(now, attempt, AttemptStatus.NOT_SENT, True)
            return
        if attempt.latest_start < act.deadline:
            self._due.add(attempt.latest_start, attempt)
        if attempt.number:
            note("retry", request=act.id, attempt=attempt.number, after=[_how(other) for other in act.attempts[:-1]])
        size = len(request.body) + CALL_BYTES
        self._links_to(attempt.instance.worker).send(attempt, lambda: self._call(attempt, request), size)

    def _order(self, order: LoadOrder) -> None:
        def may_leave() -> bool:
            now = time.monotonic() * 1000
            if may := self._host.may_start(now, order):
                self.invariants.order_begins(now, order)
            return may

        self._links_to(order.instance.worker).order(order, may_leave)

    def _call(self, attempt: Attempt, request: ClientRequest) -> bytes:
        """The bytes of a send as it leaves, with the time that its client has left then; none if it may not begin."""
        act, now = attempt.request, time.monotonic() * 1000
        limit_ms = int(act.deadline - now)
        if limit_ms < 1 or not self._host.may_start(now, attempt):
            note("attempt not begun", request=act.id, attempt=attempt.number, left_ms=limit_ms)
            return b""
        attempt.write_started_at = now
        self.invariants.attempt_begins(now, attempt, request.gone_ms, limit_ms)
        return encode_call(act.id, act.request_class.name, act.function.id, limit_ms, request.key, request.body)

    def _final(self, act: Request) -> None:
        request = self._requests.pop(act, None)
        if request is not None:
            rejected = act.final_status is FinalStatus.REJECTED
            note(
                "request refused" if rejected else "request failed",
                request=act.id,
                reason=None if act.reason is None else act.reason.value,
                attempts=[_how(attempt) for attempt in act.attempts],
            )
            self._front.answer(
                request,
                frames.REFUSED if rejected else frames.FAILED,
                later_ms=round(act.retry_after_ms) if rejected else 0,
            )
        self._take_back(act, WithdrawReason.FINISHED)
        for send in act.attempts:
            if send.status is None:
                self._due.add(act.deadline, send)

    def _give_up(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        links = self._links.get(attempt.instance.worker)
        arrived = None if links is None else links.give_up(attempt)
        if attempt.status is None and arrived is not None:
            self._host.on_attempt_finished(
                now, attempt, status if arrived else AttemptStatus.NOT_SENT, attempt.request.final_status is not None
            )

    def _links_to(self, worker: Worker) -> WorkerConnections:
        links = self._links.get(worker)
        if links is None:
            links = self._links[worker] = WorkerConnections(
                self._loop, worker.id, self._addresses[worker.id], self._bounds, self._ended, note
            )
        return links

    def _make_room(self) -> bool:
        idle = [found for links in self._links.values() if (found := links.idlest) is not None]
        if idle:
            min(idle, key=lambda each: each.used).close()
        return bool(idle)

    def _state(self) -> None:
        """What the module believes of load and health, beside the traffic on the sockets."""
        workers = self._host.workers.values()
        note(
            "state",
            in_hand=len(self._requests),
            clients=len(self._front),
            believed_out=sum(len(worker.attempts) for worker in workers),
            open=sum(links.open for links in self._links.values()),
            connections=sum(len(links) for links in self._links.values()),
            barred=sum(self._now() < worker.outlier_state.ejected_until for worker in workers),
            doubted=sum(worker.suspect for worker in workers),
            ends=dict(self._counts),
            violations=dict(self.invariants.violations),
            events=dict(note.counts),
        )
        self._counts.clear()

    # The one timer.

    def _arm(self) -> None:
        due = min(self._beat_due, self._host.next_due() or self._beat_due, self._due.next_due() or self._beat_due)
        if self._timer is None or due < self._armed - 0.01:
            if self._timer is not None:
                self._timer.cancel()
            self._armed = due
            self._timer = self._loop.call_at(due / 1000, self._rung)

    def _rung(self) -> None:
        self._timer, now = None, self._now()
        try:
            self._periodic(now)
        finally:
            self._stir()

    def _periodic(self, now: float) -> None:
        while (item := self._due.pop_due(now)) is not None:
            if (
                isinstance(item, Attempt) and item.request.final_status is None
            ):  # it may begin no more; if it has, it goes on
                self._withdraw(item, WithdrawReason.TOO_LATE_TO_BEGIN)
            elif isinstance(item, Attempt):
                self._give_up(now, item, AttemptStatus.SILENT)
            else:
                links = self._links.get(item.instance.worker)
                if links is not None and links.give_up(item) is not None:
                    self._host.on_load_report(now, item, AttemptStatus.SILENT, 0)
        if now >= self._beat_due:
            self._beat_due = now + self._host.tick_ms
            if self._wall_clock.observe(time.time() * 1000, now):
                note("wall clock stepped", steps=self._wall_clock.steps)
            self._host.on_tick(now)
            self._front.sweep()
            for worker, links in list(self._links.items()):
                links.sweep()
                if worker.removed and not links.open:
                    del self._links[worker]
                    links.close()
        if now >= self._state_due:
            self._state_due = now + STATE_MS
            self._state()


def _how(attempt: Attempt) -> str:
    """How an attempt ended."""
    return "out" if attempt.status is None else attempt.status.value
