"""Emulated model store, which also stores the effects of workers for deduplication.

`GET /blobs/{model}?ms=N` takes N ms at full speed.  More concurrent fetches than the setting `fetches` slow all of them
down; more than `most` are refused.  A group of workers deduplicates calls with `POST /effects/known` and
`/effects/commit`: the group shares the entries, which are valid for the deduplication window.  The key `mark` is the
idempotency key.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from kelptrail.clock import now_ms
from kelptrail.codec.http import Request
from kelptrail.net.server import Exchange, HttpServer
from kelptrail.settings.deployment import StoreSettings

from .capture import Capture

MAX_EFFECTS = 100_000
MAX_FETCH_STEP_MS = 50.0  # interval at which the speed of a fetch is computed again
DEFAULT_SLOWDOWN = 4


class ModelStore:
    """State of the store and its faults: `slow` (by a factor), `refuse`, and `stopped` (no fetch proceeds)."""

    def __init__(self, settings: StoreSettings, capture: Capture) -> None:
        self._settings, self._capture = settings, capture
        self._loop = asyncio.get_running_loop()
        self._active_fetches = 0
        self.fetches = 0  # number of accepted fetches
        self._slowdown, self._refusing = 1.0, False
        self._not_stopped = asyncio.Event()
        self._not_stopped.set()
        # Time in ms and result of each effect, by group and idempotency key.
        self._effects: dict[tuple[str, str], tuple[float, str]] = {}
        self.server = HttpServer(self._handle)

    def _handle(self, request: Request, exchange: Exchange) -> None:
        parts = request.segments
        if parts[0] == "blobs":
            self._loop.create_task(self._fetch(parts[1], float(request.query.get("ms", "0")), exchange))
        elif parts[0] == "effects":
            self._handle_effect(parts[1], msgspec.json.decode(request.body), exchange)
        elif parts == ["fault"]:
            self._handle_fault(msgspec.json.decode(request.body))
            exchange.reply(200, b"{}")
        elif parts == ["state"]:
            exchange.reply(200, msgspec.json.encode({"fetches": self.fetches, "fetching": self._active_fetches}))
        else:
            exchange.reply(404, b'{"error":"no such thing"}')

    async def _fetch(self, model: str, ms: float, exchange: Exchange) -> None:
        if self._refusing or self._active_fetches >= self._settings.most:
            self._capture.write("fetch-refused", model=model)
            exchange.reply(503, b'{"error":"too many fetches"}')
            return
        self._active_fetches += 1
        self.fetches += 1
        self._capture.write("fetch", model=model, fetching=self._active_fetches)
        try:
            remaining_ms = ms
            while remaining_ms > 0:
                await self._not_stopped.wait()
                speed = min(1.0, self._settings.fetches / self._active_fetches) / self._slowdown
                step_ms = min(MAX_FETCH_STEP_MS, remaining_ms / speed)
                await asyncio.sleep(step_ms / 1000)
                remaining_ms -= step_ms * speed
            await self._not_stopped.wait()
        finally:
            self._active_fetches -= 1
        exchange.reply(200, b"{}")

    def _handle_effect(self, operation: str, body: dict[str, Any], exchange: Exchange) -> None:
        now, key = now_ms(), (body["group"], body["mark"])
        entry = self._effects.get(key)
        if entry is not None and now - entry[0] > body["remembered_ms"]:  # deduplication window
            entry = None
        if operation == "commit" and entry is None:
            self._effects[key] = (now, body["result"])
            if len(self._effects) > MAX_EFFECTS:
                del self._effects[next(iter(self._effects))]
        exchange.reply(200, msgspec.json.encode({"known": entry is not None, "result": entry[1] if entry else ""}))

    def _handle_fault(self, body: dict[str, Any]) -> None:
        kind, duration_ms = body["kind"], float(body.get("for_ms", 0))
        self._capture.write("fault", kind=kind, for_ms=duration_ms)
        if kind == "slow":
            self._slowdown = float(body.get("factor", DEFAULT_SLOWDOWN))
        elif kind == "refuse":
            self._refusing = True
        elif kind == "stopped":
            self._not_stopped.clear()
        if duration_ms:
            self._loop.call_later(duration_ms / 1000, self._end_fault, kind)

    def _end_fault(self, kind: str) -> None:
        if kind == "slow":
            self._slowdown = 1.0
        elif kind == "refuse":
            self._refusing = False
        else:
            self._not_stopped.set()
