"""Applies the events of the endpoint list to the engine's workers and to the connections to them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial

from kelptrail.codec.feed import READY, TERMINATED, EndpointEvent, EndpointRecord, FeedReader
from kelptrail.dispatch.entities import AttemptStatus, Worker, WorkerState
from kelptrail.engine.engine import Endpoint, Engine
from kelptrail.engine.invariants import Invariants
from kelptrail.engine.wall_clock import WallClockReader

from . import log_events
from .close_reasons import CancelReason
from .config import Config
from .endpoint_watch import EndpointWatch, WatchListener
from .log import event_log
from .worker_connections import OnItemFinished
from .worker_pool import WorkerPool

WORKER_STATES = {READY: WorkerState.LIVE, TERMINATED: WorkerState.REMOVED}  # all other states mean draining


class EndpointUpdates:
    """Applies the configuration's initial events, then follows the endpoint list.  Times are in milliseconds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        workers: WorkerPool,
        wall_clock: WallClockReader,
        on_item_finished: OnItemFinished,
        schedule_decisions: Callable[[], None],
        invariants: Invariants,
    ) -> None:
        self._loop, self._engine, self._workers, self._wall_clock = loop, engine, workers, wall_clock
        self._invariants, self._was_stale = invariants, False
        self._on_item_finished, self._schedule_decisions = on_item_finished, schedule_decisions
        # Start time of each worker: its value in the list, and the time on the loop's clock.
        self._started: dict[str, tuple[int, float]] = {}
        self.watch: EndpointWatch | None = None  # set by `follow`

    @property
    def last_event_number(self) -> int:
        """The number of the last event that was applied."""
        return 0 if self.watch is None else self.watch.last_event_number

    @property
    def list_age_ms(self) -> float:
        """Time since the last complete event, or since the start of the watch, in milliseconds."""
        return 0.0 if self.watch is None else self.watch.silent_ms

    def follow(self, config: Config) -> None:
        """Apply the initial events, then watch the list."""
        for event in config.initial_events:
            self.on_event(event)
        self._engine.on_initial_list(self._now())
        self._invariants.on_initial_list(self._now())
        self.watch = EndpointWatch(
            self._loop,
            config.endpoint_list,
            config.initial_events[-1].number if config.initial_events else 0,
            partial(FeedReader, len(config.sockets.zones), len(config.sockets.kinds)),
            WatchListener(self.on_event, self._on_list_confirmed, self._on_connection_lost),
            event_log,
        )

    def set_address(self, address: tuple[str, int]) -> None:
        """Change the address at which the list is watched."""
        if self.watch is not None:
            self.watch.set_address(address)

    def close(self) -> None:
        """Stop watching."""
        if self.watch is not None:
            self.watch.close()

    def check_age(self) -> None:
        """Log if the list has become too old for new work, or recent enough again, since the last call."""
        report = self._engine.readiness(self._now())
        if report.list_is_stale == self._was_stale:
            return
        self._was_stale = report.list_is_stale
        event_log(
            log_events.READINESS_UNKNOWN if report.list_is_stale else log_events.READINESS_KNOWN,
            number=self.last_event_number,
            list_age_ms=round(self.list_age_ms),
            known=report.known,
            unknown=report.unknown,
        )

    def _now(self) -> float:
        return self._loop.time() * 1000

    def _on_list_confirmed(self) -> None:
        now = self._now()
        self._engine.on_list_confirmed(now)
        self._invariants.on_list_confirmed(now)
        if self._was_stale:
            self._schedule_decisions()

    def _on_connection_lost(self) -> None:
        self._engine.on_list_lost(self._now())

    def on_event(self, event: EndpointEvent) -> None:
        """Apply one event of the list."""
        now = self._loop.time() * 1000
        records = event.records or ()
        endpoints = [self._endpoint(now, record) for record in records]
        before = dict(self._engine.workers)
        states_before = {id_: worker.state for id_, worker in before.items()}
        restarted = self._engine.on_endpoints(now, event.is_snapshot, endpoints)
        for record in records:
            self._workers.addresses[record.id] = record.address, record.port
        for worker in {**before, **self._engine.workers}.values():
            is_restarted = worker in restarted
            if worker.state is not states_before.get(worker.id, WorkerState.LIVE) or is_restarted:
                state = worker.state.value
                event_log(log_events.WORKER_STATE, worker=worker.id, state=state, restarted=is_restarted)
            self._update_connections(worker, is_restarted)
            if worker.removed and worker.id not in self._engine.workers:
                self._workers.addresses.pop(worker.id, None)
                self._started.pop(worker.id, None)
                self._invariants.forget_worker(worker.id)
        count = len(self._engine.workers)
        live = sum(worker.live for worker in self._engine.workers.values())
        self._workers.share_descriptors(count)
        event_log(log_events.ENDPOINT_LIST, number=event.number, workers=count, live=live)
        self._schedule_decisions()

    def _endpoint(self, now: float, record: EndpointRecord) -> Endpoint:
        return Endpoint(
            record.id,
            record.zone,
            record.kind,
            record.cell,
            WORKER_STATES.get(record.state, WorkerState.DRAINING),
            record.capacity,
            self._started_at(now, record),
        )

    def _update_connections(self, worker: Worker, is_restarted: bool) -> None:
        connections = self._workers.get(worker)
        if connections is None:
            return
        if is_restarted or connections.address != self._workers.addresses[worker.id]:
            self._workers.drop(worker)
        elif worker.removed:  # another worker may get its address before they are established
            connections.close_connecting()
        elif not worker.live:  # queued items could otherwise be sent after the drain grace period
            for item in connections.cancel_all_unsent():
                event_log(log_events.CANCELLED_FOR_DRAIN, worker=worker.id, reason=CancelReason.DRAINING.value)
                self._on_item_finished(item, AttemptStatus.NOT_SENT, None)

    def _started_at(self, now: float, record: EndpointRecord) -> float | None:
        """Return the time on the loop's clock at which a worker started, or None if the list does not give it.

        For one worker the same `record.started` always gives the same time, even if the wall clock is stepped in
        between.
        """
        if not record.started:
            return None
        known, started = self._started.get(record.id, (0, 0.0))
        if known != record.started:
            self._wall_clock.observe(time.time() * 1000, now)
            # The list did not contain this start yet at its last event.
            unknown_at = self.watch.last_event_at * 1000 if self.watch is not None else float("-inf")
            started = self._wall_clock.monotonic_ms(record.started, now, unknown_at)
            self._started[record.id] = record.started, started
        return started
