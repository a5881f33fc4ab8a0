"""Instances of the emulated worker: load orders, loads through the shared store, and eviction of idle instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from kelptrail.clock import now_ms
from kelptrail.codec.http import Response, encode_request, encode_response
from kelptrail.codec.infer import NEVER_RAN, LoadResponse, error_response
from kelptrail.net.pool import WorkerPool
from kelptrail.net.server import Exchange

from .worker_load_report import LoadReporter
from .worker_state import HostedModel, WaitingLoadOrder, WorkerState

FETCH_TIMEOUT_S = 30


class InstanceLoader:
    """Loads and unloads instances; `on_load_ended` is called after each load, successful or not."""

    def __init__(
        self,
        state: WorkerState,
        store: WorkerPool,
        fetch_share: float,
        reporter: LoadReporter,
        on_load_ended: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state, self._store, self._reporter, self._on_load_ended = state, store, reporter, on_load_ended
        self._fetch_share = fetch_share  # the fetch's share of a model's load time

    def handle_order(self, model: HostedModel, instance_count: int, exchange: Exchange) -> None:
        """Execute a load order.

        It is answered once `instance_count` instances are loaded or a load has failed, or immediately if there is no
        capacity or the worker is draining.
        """
        state = self._state
        if state.draining:
            self._answer(model, exchange, 503)
            return
        model.last_used = now_ms()
        while model.loaded + model.loading < instance_count:
            # The queue holds at most twice as many loads as may run at a time.
            if len(state.load_queue) >= 2 * state.fleet.loads or not self._evict_for(model):
                self._answer(model, exchange, 503)
                return
            model.loading += 1
            state.load_queue.append(model)
            self._start_loads()
        if model.loaded >= instance_count:
            self._answer(model, exchange, 200)
        else:
            model.load_orders.append(WaitingLoadOrder(instance_count, exchange))

    def unload(self, model: HostedModel, exchange: Exchange) -> None:
        """Unload a model unless it runs jobs; the answer reports success in both cases."""
        if not model.running:
            model.loaded = 0
        exchange.reply_encoded(encode_response(200, b"{}"))

    def unload_unused(self, now: float) -> None:
        """Unload the idle models that were last used longer ago than the keep-alive time."""
        for model in self._state.models.values():
            if model.loaded and not model.running and now - model.last_used > self._state.fleet.keep_alive_ms:
                model.loaded = 0

    def _answer(self, model: HostedModel, exchange: Exchange, status: int) -> None:
        exchange.reply_encoded(encode_response(status, msgspec.json.encode(LoadResponse(model.loaded))))

    def _evict_for(self, model: HostedModel) -> bool:
        """Free memory for another instance by unloading other idle models, least recently used first.

        Return whether there is enough memory.
        """
        models = self._state.models.values()
        allocated_mb = sum(hosted.allocated_mb for hosted in models)
        idle = sorted(
            (m for m in models if m.loaded and not m.running and m is not model and not m.queue),
            key=lambda m: m.last_used,
        )
        while allocated_mb + model.action.memory_mb > self._state.fleet.memory_mb:
            if not idle:
                return False
            evicted = idle.pop(0)
            allocated_mb -= evicted.loaded * evicted.action.memory_mb
            evicted.loaded = 0
        return True

    def _start_loads(self) -> None:
        state = self._state
        while state.load_queue and state.active_loads < state.fleet.loads:
            state.active_loads += 1
            self._loop.create_task(self._load(state.load_queue.popleft(), state.incarnation))

    async def _load(self, model: HostedModel, incarnation: str) -> None:
        fetch_ms = model.action.load_ms * self._fetch_share
        succeeded = await self._fetch(model, fetch_ms)
        if succeeded:
            load_ms = model.action.load_ms - fetch_ms
            await asyncio.sleep(load_ms / 1000 / self._state.slow_start.capacity_factor)
        if incarnation != self._state.incarnation:
            return
        self._state.active_loads -= 1
        model.loading -= 1
        model.loaded += succeeded
        model.last_used = now_ms()
        self._answer_waiting_orders(model, succeeded)
        if not model.loaded and not model.loading:
            self._reject_queued_jobs(model)
        self._start_loads()
        self._on_load_ended()

    async def _fetch(self, model: HostedModel, fetch_ms: float) -> bool:
        """Fetch a model from the store, and return whether that succeeded."""
        fetched: asyncio.Future[Response | None] = self._loop.create_future()
        target = f"/blobs/{model.action.model}?ms={fetch_ms:g}"
        call = self._store.start(
            encode_request("GET", target, self._store.address),
            lambda _call, _outcome, response: None if fetched.done() else fetched.set_result(response),
        )
        timer = self._loop.call_later(FETCH_TIMEOUT_S, call.cancel, "revoked")
        response = await fetched
        timer.cancel()
        return response is not None and response.status == 200

    def _answer_waiting_orders(self, model: HostedModel, load_succeeded: bool) -> None:
        still_waiting = []
        for order in model.load_orders:
            if model.loaded >= order.instance_count:
                self._answer(model, order.exchange, 200)
            elif not load_succeeded:
                self._answer(model, order.exchange, 500)
            else:
                still_waiting.append(order)
        model.load_orders = still_waiting

    def _reject_queued_jobs(self, model: HostedModel) -> None:
        while model.queue:
            job = model.queue.popleft()
            headers = {NEVER_RAN: "miss", "load-failed": "1"} | self._reporter.header(False, 0)
            job.exchange.reply_encoded(error_response(404, "the load failed", headers))
