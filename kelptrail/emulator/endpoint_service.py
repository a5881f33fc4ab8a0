"""Emulated endpoint service: keeps the list of workers and dispatchers, and sends it to every dispatcher.

The list only shows which processes run, not whether they are healthy.  `GET /workers?who=&known=&wait=` is a long poll,
in which a dispatcher also registers itself with the parameters `at` (its address), `channel` and `hall` (its zone).
Workers register with `POST /register`; the supervisor of their processes reports exits and drains with `POST /state`.
A fault delays all changes of workers' entries.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from kelptrail.clock import now_ms
from kelptrail.codec.http import Request
from kelptrail.net.server import Exchange, HttpServer

from .capture import Capture

MAX_POLL_MS = 30_000.0
DEFAULT_DELAY_MS = 2000


@dataclass(slots=True)
class _ListedWorker:
    entry: dict[str, Any]
    started: float


class _ListedDispatcher(NamedTuple):
    address: str
    channel: str
    zone: str


@dataclass(slots=True, eq=False)
class _LongPoll:
    poller: str
    exchange: Exchange
    timer: asyncio.TimerHandle = field(repr=False)


class EndpointService:
    """The endpoint list, and the long polls that wait for its next version.

    `delay_ms` is the delay of changes of workers' entries.
    """

    def __init__(self, capture: Capture) -> None:
        self._capture = capture
        self._loop = asyncio.get_running_loop()
        # The lineage identifies this run of the service; versions are comparable only within a lineage.
        self._lineage, self._version = os.urandom(4).hex(), 0
        self._workers: dict[str, _ListedWorker] = {}
        # Dispatchers restart under the same name, so their entries are never removed.
        self._dispatchers: dict[str, _ListedDispatcher] = {}
        self._polls: dict[_LongPoll, None] = {}
        self.delay_ms = 0.0
        self.server = HttpServer(self._handle)

    def _handle(self, request: Request, exchange: Exchange) -> None:
        parts = request.segments
        if parts == ["workers"]:
            self._handle_poll(request.query, exchange)
            return
        body = msgspec.json.decode(request.body) if request.body else {}
        if parts == ["register"]:
            self._apply_delayed(self._register, body)
        elif parts == ["state"]:
            self._apply_delayed(self._set_state, body)
        elif parts == ["fault"] and body.get("kind") == "late":
            self.delay_ms = float(body.get("late_ms", DEFAULT_DELAY_MS))
            if "for_ms" in body:
                self._loop.call_later(float(body["for_ms"]) / 1000, self._end_delay)
        else:
            exchange.reply(404, b'{"error":"no such thing"}')
            return
        exchange.reply(200, b"{}")

    def _handle_poll(self, query: dict[str, str], exchange: Exchange) -> None:
        """Answer with the list immediately if the poller has another version, else once the list changes.

        Without a change within the waiting time, the answer is 304 (Not Modified).
        """
        poller, known_version = query.get("who", ""), query.get("known", "")
        dispatcher = _ListedDispatcher(query.get("at", ""), query.get("channel", ""), query.get("hall", ""))
        name = poller.partition("/")[0]
        if dispatcher.address and self._dispatchers.get(name) != dispatcher:
            self._dispatchers[name] = dispatcher
            self._publish()
        if known_version != f"{self._lineage}:{self._version}":
            self._send_list(poller, exchange)
            return
        wait_ms = min(MAX_POLL_MS, float(query.get("wait", "0")))
        # A placeholder for the timer, whose callback needs the poll.
        poll = _LongPoll(poller, exchange, self._loop.call_later(0, int))
        poll.timer = self._loop.call_later(wait_ms / 1000, self._send_not_modified, poll)
        self._polls[poll] = None
        exchange.on_client_gone = lambda: self._remove_poll(poll)

    def _end_delay(self) -> None:
        self.delay_ms = 0.0

    def _apply_delayed(self, change: Any, body: dict[str, Any]) -> None:
        now = now_ms()
        if self.delay_ms:
            self._loop.call_later(self.delay_ms / 1000, change, body, now)
        else:
            change(body, now)

    def _register(self, body: dict[str, Any], now: float) -> None:
        started = now - float(body.pop("age_ms", 0.0))
        self._workers[body["id"]] = _ListedWorker(body | {"state": "live"}, started)
        self._publish()

    def _set_state(self, body: dict[str, Any], _now: float) -> None:
        listed = self._workers.get(body["id"])
        if listed is None:
            return
        if body["state"] == "gone":
            # The exit of an earlier incarnation does not remove the entry of its successor.
            if body.get("incarnation", listed.entry["incarnation"]) == listed.entry["incarnation"]:
                del self._workers[body["id"]]
        else:
            listed.entry["state"] = body["state"]
        self._publish()

    def _publish(self) -> None:
        self._version += 1
        polls, self._polls = self._polls, {}
        for poll in polls:
            poll.timer.cancel()
            self._send_list(poll.poller, poll.exchange)

    def _send_list(self, poller: str, exchange: Exchange) -> None:
        now = now_ms()
        workers = [listed.entry | {"age_ms": now - listed.started} for listed in self._workers.values()]
        self._capture.write(
            "list",
            to=poller,
            version=self._version,
            workers={w["id"]: [w["state"], w["incarnation"]] for w in workers},
        )
        exchange.reply(
            200,
            msgspec.json.encode(
                {
                    "version": self._version,
                    "lineage": self._lineage,
                    "workers": workers,
                    "dispatchers": [
                        {"name": name, "address": listed.address, "channel": listed.channel, "hall": listed.zone}
                        for name, listed in self._dispatchers.items()
                    ],
                }
            ),
        )

    def _send_not_modified(self, poll: _LongPoll) -> None:
        self._remove_poll(poll)
        poll.exchange.reply_encoded(b"HTTP/1.1 304 Not Modified\r\ncontent-length: 0\r\n\r\n")

    def _remove_poll(self, poll: _LongPoll) -> None:
        self._polls.pop(poll, None)
        poll.timer.cancel()
