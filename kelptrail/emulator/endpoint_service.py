"""The stand-in worker list: knows only whether processes run, and tells every dispatcher, late where told to.

`GET /workers?who=&known=&wait=` is a long poll; workers announce themselves by `POST /register`, whoever minds
their processes tells of ends and drains by `POST /state`.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass, field
from typing import Any

import msgspec

from kelptrail.clock import now_ms
from kelptrail.codec.http import Request
from kelptrail.net.server import Exchange, HttpServer

from .capture import Capture


@dataclass(slots=True)
class _Seen:
    entry: dict[str, Any]
    started: float


@dataclass(slots=True, eq=False)
class _Poll:
    who: str
    known: str
    exchange: Exchange
    timer: asyncio.TimerHandle = field(repr=False)


class EndpointService:
    """The list and whoever waits for its next version; `late_ms` delays changes."""

    def __init__(self, capture: Capture) -> None:
        self._capture = capture
        self._loop = asyncio.get_running_loop()
        self._lineage, self._version = os.urandom(4).hex(), 0
        self._workers: dict[str, _Seen] = {}
        # Where each and its channel are, and its hall; kept, as they come again.
        self._dispatchers: dict[str, tuple[str, str, str]] = {}
        self._polls: dict[_Poll, None] = {}
        self.late_ms = 0.0
        self.server = HttpServer(self._handle)

    def _handle(self, request: Request, exchange: Exchange) -> None:
        parts, query = request.segments, request.query
        if parts == ["workers"]:
            known, name = query.get("known", ""), query.get("who", "").partition("/")[0]
            at = query.get("at", ""), query.get("channel", ""), query.get("hall", "")
            if at[0] and self._dispatchers.get(name) != at:
                self._dispatchers[name] = at
                self._changed()
            if known != f"{self._lineage}:{self._version}":
                self._tell(query.get("who", ""), exchange)
                return
            wait = min(30_000.0, float(query.get("wait", "0")))
            poll = _Poll(query.get("who", ""), known, exchange, self._loop.call_later(0, int))
            poll.timer = self._loop.call_later(wait / 1000, self._nothing, poll)
            self._polls[poll] = None
            exchange.on_client_gone = lambda: self._drop(poll)
            return
        body = msgspec.json.decode(request.body) if request.body else {}
        if parts == ["register"]:
            self._later(self._register, body)
        elif parts == ["state"]:
            self._later(self._state, body)
        elif parts == ["fault"] and body.get("kind") == "late":
            self.late_ms = float(body.get("late_ms", 2000))
            if "for_ms" in body:
                self._loop.call_later(float(body["for_ms"]) / 1000, setattr, self, "late_ms", 0.0)
        else:
            exchange.reply(404, b'{"error":"no such thing"}')
            return
        exchange.reply(200, b"{}")

    def _later(self, change: Any, body: dict[str, Any]) -> None:
        now = now_ms()
        if self.late_ms:
            self._loop.call_later(self.late_ms / 1000, change, body, now)
        else:
            change(body, now)

    def _register(self, body: dict[str, Any], now: float) -> None:
        started = now - float(body.pop("age_ms", 0.0))
        self._workers[body["id"]] = _Seen(body | {"state": "live"}, started)
        self._changed()

    def _state(self, body: dict[str, Any], _now: float) -> None:
        seen = self._workers.get(body["id"])
        if seen is None:
            return
        if body["state"] == "gone":
            if body.get("incarnation", seen.entry["incarnation"]) == seen.entry["incarnation"]:
                del self._workers[body["id"]]
        else:
            seen.entry["state"] = body["state"]
        self._changed()

    def _changed(self) -> None:
        self._version += 1
        polls, self._polls = self._polls, {}
        for poll in polls:
            poll.timer.cancel()
            self._tell(poll.who, poll.exchange)

    def _tell(self, who: str, exchange: Exchange) -> None:
        now = now_ms()
        workers = [seen.entry | {"age_ms": now - seen.started} for seen in self._workers.values()]
        self._capture.note(
            "list", to=who, version=self._version, workers={w["id"]: [w["state"], w["incarnation"]] for w in workers}
        )
        exchange.reply(
            200,
            msgspec.json.encode(
                {
                    "version": self._version,
                    "lineage": self._lineage,
                    "workers": workers,
                    "dispatchers": [
                        {"name": name, "address": at, "channel": channel, "hall": hall}
                        for name, (at, channel, hall) in self._dispatchers.items()
                    ],
                }
            ),
        )

    def _nothing(self, poll: _Poll) -> None:
        self._drop(poll)
        poll.exchange.reply_encoded(b"HTTP/1.1 304 Not Modified\r\ncontent-length: 0\r\n\r\n")

    def _drop(self, poll: _Poll) -> None:
        self._polls.pop(poll, None)
        poll.timer.cancel()
