"""Emulated resource that lease holders use: it captures each use, and rejects tokens older than the newest one seen.

`POST /act` reports the start of a use, and `POST /done` its end, with task, token, who, and `looked`: the time at which
the holder last checked its lease, by the machine's clock, which clock faults do not affect.
"""

from __future__ import annotations

from typing import Any

import msgspec

from kelptrail.codec.http import Request
from kelptrail.net.server import Exchange, HttpServer

from .capture import Capture


class SideEffectLog:
    """Log of the uses for all tasks."""

    def __init__(self, capture: Capture) -> None:
        self._capture = capture
        self._highest_tokens: dict[str, list[Any]] = {}  # highest token seen, by task
        self.server = HttpServer(self._handle)

    def _handle(self, request: Request, exchange: Exchange) -> None:
        if request.segments not in (["act"], ["done"]):
            exchange.reply(404, b'{"error":"no such thing"}')
            return
        body: dict[str, Any] = msgspec.json.decode(request.body)
        accepted = body["token"] >= self._highest_tokens.get(body["task"], [0, ""])
        if accepted:
            self._highest_tokens[body["task"]] = body["token"]
        self._capture.write(
            request.segments[0],
            task=body["task"],
            token=body["token"],
            by=body["who"],
            looked=body["looked"],
            taken=accepted,
        )
        exchange.reply(200, msgspec.json.encode({"taken": accepted}))
