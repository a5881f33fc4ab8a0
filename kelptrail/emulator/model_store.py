"""Emulated model store, and the store in which workers record effects.

`GET /blobs/{model}?ms=N` takes N ms at full pace; more fetches than it serves at once slow all of them, past
a limit it refuses.  `POST /effects/known` and `/effects/commit` are how a group of workers
deduplicates calls: entries are shared by the group and kept for the deduplication window.
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
MAX_FETCH_STEP_MS = 50.0  # after which the pace of a fetch is determined again
DEFAULT_SLOWDOWN = 4


class ModelStore:
    """The store's state and its faults: `slow` (a factor), `refuse` and `stopped`."""

    def __init__(self, settings: StoreSettings, capture: Capture) -> None:
        self._settings, self._capture = settings, capture
        self._loop = asyncio.get_running_loop()
        self._fetching = 0
        self.fetches = 0
        self._slowdown, self._refusing = 1.0, False
        self._running = asyncio.Event()
        self._running.set()
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
            exchange.reply(200, msgspec.json.encode({"fetches": self.fetches, "fetching": self._fetching}))
        else:
            exchange.reply(404, b'{"error":"no such thing"}')

    async def _fetch(self, model: str, ms: float, exchange: Exchange) -> None:
        if self._refusing or self._fetching >= self._settings.most:
            self._capture.write("fetch-refused", model=model)
            exchange.reply(503, b'{"error":"too many fetches"}')
            return
        self._fetching += 1
        self.fetches += 1
        self._capture.write("fetch", model=model, fetching=self._fetching)
        try:
            left = ms
            while left > 0:
                await self._running.wait()
                pace = min(1.0, self._settings.fetches / self._fetching) / self._slowdown
                step = min(MAX_FETCH_STEP_MS, left / pace)
                await asyncio.sleep(step / 1000)
                left -= step * pace
            await self._running.wait()
        finally:
            self._fetching -= 1
        exchange.reply(200, b"{}")

    def _handle_effect(self, operation: str, body: dict[str, Any], exchange: Exchange) -> None:
        now, key = now_ms(), (body["group"], body["mark"])
        known = self._effects.get(key)
        if known is not None and now - known[0] > body["remembered_ms"]:
            known = None
        if operation == "commit" and known is None:
            self._effects[key] = (now, body["result"])
            if len(self._effects) > MAX_EFFECTS:
                del self._effects[next(iter(self._effects))]
        exchange.reply(200, msgspec.json.encode({"known": known is not None, "result": known[1] if known else ""}))

    def _handle_fault(self, body: dict[str, Any]) -> None:
        kind, ms = body["kind"], float(body.get("for_ms", 0))
        self._capture.write("fault", kind=kind, for_ms=ms)
        if kind == "slow":
            self._slowdown = float(body.get("factor", DEFAULT_SLOWDOWN))
        elif kind == "refuse":
            self._refusing = True
        elif kind == "stopped":
            self._running.clear()
        if ms:
            self._loop.call_later(ms / 1000, self._end_fault, kind)

    def _end_fault(self, kind: str) -> None:
        if kind == "slow":
            self._slowdown = 1.0
        elif kind == "refuse":
            self._refusing = False
        else:
            self._running.set()
