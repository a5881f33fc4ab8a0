"""The invoke API (OpenWhisk REST API v1) as a handler of HTTP requests; all work is the gateway's.

Routes, below `/api/v1`: `namespaces`, `namespaces/{ns}/actions[/{pkg}]/{name}` (GET and POST), and
`namespaces/{ns}/activations[/{id}[/result|/logs]]`; `_` stands for the caller's own namespace.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import os
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import islice
from typing import Any

import msgspec

from kelptrail.clock import now_ms, wall_ms
from kelptrail.codec.events import CONTENT_TYPE as EVENT_STREAM
from kelptrail.codec.events import encode_event
from kelptrail.codec.http import Request
from kelptrail.front.callers import UNSURE, Callers, Finder
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.gateway.idempotency_keys import KeyConflictError
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.limits import REJECTION_MESSAGES
from kelptrail.gateway.records import Record
from kelptrail.membership.members import ID_PREFIX_DIGITS
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import ActionSettings, Deployment, NamespaceSettings

from . import views

MOST_LISTED = 200
UNKNOWN = "Another dispatcher has taken over; whether it has this call is not known here.  Ask before a repeat."
LOOKS, LOOK_MS = 15, 500.0  # how often others are asked for a call whose book another has taken, and how far apart
IN_HAND = "The activation is in hand and has no result yet."


class ApiError(Exception):
    """An answer other than the wanted one."""

    def __init__(self, status: int, text: str, headers: dict[str, str] | None = None, **more: Any) -> None:
        super().__init__(text)
        self.status, self.headers, self.more = status, headers, more


@dataclass(frozen=True, slots=True)
class _Route:
    """What the target of an invocation says."""

    space: str
    action: ActionSettings
    blocking: bool
    bare: bool
    wait_ms: float


class InvokeApi:
    """Handles the requests of one dispatcher's front."""

    def __init__(
        self, deployment: Deployment, driver: GatewayDriver, boot: str, callers: Callers | None = None
    ) -> None:
        self._deployment, self._driver, self._boot = deployment, driver, boot
        self._front = deployment.front
        self._most_promised = deployment.most_promised
        self._loop = asyncio.get_running_loop()
        self._callers = callers or Callers(deployment)
        self._routes: dict[tuple[str, str], _Route] = {}  # invocations already read, a few thousand
        self._requests = 0
        self._trace_salt = os.urandom(8).hex()
        self.own = ""  # where this dispatcher can be asked for what it took, whoever holds the front address
        self.copies: Finder | None = None  # who else may have an activation
        self.leaving = False  # the dispatcher drains: nothing new is taken

    def handle(self, request: Request, exchange: Exchange) -> None:
        """Answer a request, at once or when its activation ends."""
        self._requests += 1
        code = f"{self._boot[:8]}{self._requests:x}"
        try:
            self._route(request, exchange)
        except ApiError as cause:
            exchange.reply(cause.status, views.error(str(cause), code, **cause.more), cause.headers)

    def _route(self, request: Request, exchange: Exchange) -> None:
        known = self._routes.get((request.method, request.target))
        if known is not None:
            caller = self._caller(request, exchange)
            if known.space in ("_", caller.name):
                self._invoke(request, exchange, caller, known)
                return
        parts = request.segments
        if parts[:2] != ["api", "v1"]:
            raise ApiError(404, "The requested resource does not exist.")
        if len(parts) == 2:
            self._only(request, "GET")
            exchange.reply(
                200,
                views.encode(
                    {
                        "description": "kelptrail invoke API",
                        "api_version": "1.0.0",
                        "api_paths": ["/namespaces", "/actions", "/activations"],
                    }
                ),
            )
            return
        caller = self._caller(request, exchange)
        if parts[2] != "namespaces":
            raise ApiError(404, "The requested resource does not exist.")
        if len(parts) == 3:
            self._only(request, "GET")
            exchange.reply(200, views.encode([caller.name]))
            return
        if parts[3] not in ("_", caller.name):
            raise ApiError(403, "The supplied authentication is not authorized to access this resource.")
        kind, rest = (parts[4] if len(parts) > 4 else ""), parts[5:]
        if kind == "actions" and len(rest) <= 2:
            self._actions(request, exchange, caller, rest)
        elif kind == "activations" and len(rest) <= 2:
            self._activations(request, exchange, caller, rest)
        else:
            raise ApiError(404, "The requested resource does not exist.")

    @staticmethod
    def _only(request: Request, *methods: str) -> None:
        if request.method not in methods:
            raise ApiError(405, f"Only {' and '.join(methods)} can be used here.", {"allow": ", ".join(methods)})

    def _caller(self, request: Request, exchange: Exchange) -> NamespaceSettings:
        """Who calls, by basic authentication (RFC 7617) with `uuid:key`."""
        header = request.headers.get("authorization", "")
        found = self._callers.of(header)
        if found is None and not header and exchange.identity:  # named by its certificate
            found = self._deployment.namespaces.get(exchange.identity)
        if found is None:
            raise ApiError(
                401, "The supplied authentication is invalid.", {"www-authenticate": 'Basic realm="kelptrail"'}
            )
        return found

    # Actions.

    def _actions(self, request: Request, exchange: Exchange, caller: NamespaceSettings, rest: list[str]) -> None:
        if not rest or rest == [""]:
            self._only(request, "GET")
            limit, skip = self._page(request)
            found = [views.action(self._deployment, caller.name, a) for a in self._deployment.actions.values()]
            exchange.reply(200, views.encode(found[skip : skip + limit]))
            return
        self._only(request, "GET", "POST")
        path = "/".join(rest).removeprefix("default/")
        action = self._deployment.actions.get(path)
        if action is None:
            raise ApiError(404, "The requested resource does not exist.")
        if request.method == "GET":
            exchange.reply(200, views.encode(views.action(self._deployment, caller.name, action)))
            return
        query = request.query
        wait_ms = self._front.longest_wait_ms
        if "timeout" in query:
            wait_ms = _number(query, "timeout", 1, self._front.longest_wait_ms)
        route = _Route(request.segments[3], action, _flag(query, "blocking"), _flag(query, "result"), wait_ms)
        if len(self._routes) < 8192:
            self._routes[request.method, request.target] = route
        self._invoke(request, exchange, caller, route)

    def _key_looked_for(
        self, request: Request, exchange: Exchange, caller: NamespaceSettings, route: _Route, at: str | None
    ) -> None:
        """What others said of a client's key that is not known here."""
        code = f"{self._boot[:8]}{self._requests:x}"
        if exchange.replied or exchange.client_gone:
            return
        if at:
            exchange.reply(
                307,
                views.error(f"The call under this key is at {at} now; ask there.", code),
                {"location": f"http://{at}{request.target}"},
            )
        elif at is None:
            try:
                self._invoke(request, exchange, caller, route, False)
            except ApiError as cause:
                exchange.reply(cause.status, views.error(str(cause), code, **cause.more), cause.headers)
        else:
            exchange.reply(
                503,
                views.error("Whether a call under this key was taken is not known yet; nothing was done.", code),
                {"retry-after": "1"},
            )

    def _invoke(
        self, request: Request, exchange: Exchange, caller: NamespaceSettings, route: _Route, first: bool = True
    ) -> None:
        action, blocking = route.action, route.blocking
        if self.leaving:
            raise ApiError(503, "This dispatcher is closing; the call was not taken.", {"retry-after": "1"})
        payload = _object(request)
        key = request.headers.get("idempotency-key")
        if key is not None and not 0 < len(key) <= 255:
            raise ApiError(400, "An Idempotency-Key has 1 to 255 characters.")
        trace = _trace(request.headers.get("traceparent"), self._trace_salt, self._requests)
        gateway, digest = self._driver.gateway, ""
        if key is not None:
            digest = hashlib.blake2b(payload, digest_size=16).hexdigest()
            try:
                known = gateway.find_by_key(caller.name, action.path, key, digest)
            except KeyConflictError as cause:
                raise ApiError(409, f"Conflict: {cause}.") from None
            if known is not None:
                self._repeat(exchange, known, route)
                return
        flows = EVENT_STREAM in request.headers.get("accept", "")
        if flows and (key is not None or not blocking):
            raise ApiError(400, "A streamed call is blocking and takes no Idempotency-Key.")
        if flows and request.version == "1.0":
            raise ApiError(406, "HTTP/1.0 has no streamed answers.")
        if not blocking and self._most_promised and len(payload) > self._most_promised:
            raise ApiError(413, f"A deferred call's body has at most {self._most_promised} bytes here: others hold it.")
        if not blocking and not gateway.accepts_deferred():
            raise ApiError(
                503, "Deferred calls cannot be kept safe at the moment; the call was not taken.", {"retry-after": "1"}
            )
        if key is not None and not blocking and self.copies is not None and first:
            # The same key may have been promised elsewhere, by one that is lost.
            self.copies.find(
                f"key:{caller.name}/{action.path}/{key}",
                partial(self._key_looked_for, request, exchange, caller, route),
            )
            return
        who = key or f"{zlib.crc32(payload):08x}{len(payload):x}"
        if (refused := gateway.on_connect(now_ms(), caller.name, action.path, len(payload), who)) is not None:
            reason, back = refused
            raise ApiError(
                429,
                REJECTION_MESSAGES[reason],
                {"retry-after": str(max(1, math.ceil(back / 1000)))},
                answer="rejected",
                retry_after_ms=round(back, 3),
            )
        if flows:
            self._flow(exchange, caller, action, payload, trace, route.bare, who)
            return
        wait = _Wait(self, exchange, route.bare)
        ivk = gateway.submit(
            now_ms(),
            wall_ms(),
            Submission(caller.name, action, payload, key, trace, not blocking, digest, client_key=who),
            wait.ended,
        )
        if blocking:
            exchange.on_client_gone = lambda: self._left(ivk, wait)
            wait.blocking(ivk, route.wait_ms)
        # A deferred call that is refused at once is answered 429, not 202: so decide first.
        self._driver.schedule_decisions(None if blocking else lambda: wait.promise(ivk))

    def _flow(
        self,
        exchange: Exchange,
        caller: NamespaceSettings,
        action: ActionSettings,
        payload: bytes,
        trace: str,
        bare: bool,
        who: str,
    ) -> None:
        """A streamed answer as server-sent events: `part`s, then one `final` with the record."""
        driver = self._driver
        ivk = driver.gateway.submit(
            now_ms(), wall_ms(), Submission(caller.name, action, payload, None, trace, streamed=True, client_key=who)
        )
        held = False

        def part(data: bytes) -> None:
            nonlocal held
            if not exchange.replied:
                exchange.start_stream(
                    200, {"x-openwhisk-activation-id": ivk.record.id, "cache-control": "no-store"}, EVENT_STREAM
                )
            exchange.write_chunk(encode_event(data, "part"))
            if not exchange.can_write and not held:  # a slow reader holds its worker back
                held = True
                driver.set_reading(ivk, False)

        def room() -> None:
            nonlocal held
            held = False
            driver.set_reading(ivk, True)

        def ended(record: Record) -> None:
            if exchange.replied:
                exchange.write_chunk(encode_event(views.encode(views.activation(record)), "final"))
                exchange.end_stream()
            else:  # nothing of it was given: an answer like any other
                self.reply_final(exchange, record, bare)

        def gone() -> None:
            ivk.waiters.clear()
            ivk.on_part = None
            driver.gateway.on_client_gone(now_ms(), ivk)
            driver.schedule_decisions()

        ivk.on_part, exchange.on_client_gone, exchange.on_writable = part, gone, room
        ivk.waiters.append(ended)
        driver.schedule_decisions()

    def _left(self, ivk: Invocation, wait: _Wait) -> None:
        """A client went away.  One that named a key may come back for the answer; without one nobody wants it."""
        if ivk.record.key:
            self._driver.gateway.remove_waiter(ivk.record, wait.ended)
            return
        ivk.waiters.clear()
        self._driver.gateway.on_client_gone(now_ms(), ivk)
        self._driver.schedule_decisions()

    def _repeat(self, exchange: Exchange, record: Record, route: _Route) -> None:
        """A client's own repeat: it gets the recorded answer or joins the activation in hand."""
        wait, ivk = _Wait(self, exchange, route.bare), self._driver.gateway.in_flight_of(record.id)
        if record.visible:
            record.fetched = True
            wait.ended(record)
        elif not route.blocking or ivk is None:  # one that a restart found and has not taken up yet is in hand, too
            wait.deferred(record)
        else:
            ivk.waiters.append(wait.ended)
            exchange.on_client_gone = lambda: self._driver.gateway.remove_waiter(record, wait.ended)
            wait.blocking(ivk, route.wait_ms)

    def cannot_promise(self, ivk: Invocation) -> None:
        """A deferred call whose record did not become safe: its client was promised nothing, and nobody will ask."""
        self._driver.gateway.on_client_gone(now_ms(), ivk)
        self._driver.schedule_decisions()

    def reply_final(self, exchange: Exchange, record: Record, bare: bool) -> None:
        """The final answer of a blocking call, or of a deferred one that is refused at once."""
        headers = {"x-openwhisk-activation-id": record.id}
        if record.answer == "rejected":
            told = views.answer(record)
            if record.retry_after_ms > 0:
                headers["retry-after"] = str(max(1, math.ceil(record.retry_after_ms / 1000)))
            body = views.error(
                "The call was rejected before it had any effect that a repeat would double; try again later.",
                f"{self._boot[:8]}{self._requests:x}",
                activationId=record.id,
                **told,
            )
            exchange.reply(429, body, headers)
            return
        status = 200 if record.code == 0 else 502
        if bare:
            exchange.reply(status, record.result, headers)
        else:
            exchange.reply(status, views.encode(views.activation(record)), headers)

    # Activations.

    def _activations(self, request: Request, exchange: Exchange, caller: NamespaceSettings, rest: list[str]) -> None:
        self._only(request, "GET", *(("DELETE",) if len(rest) == 1 and rest[0] else ()))
        records = self._driver.gateway.records
        query = request.query
        if not rest or rest == [""]:
            limit, skip = self._page(request)
            since = _number(query, "since", 0, 1e15) if "since" in query else 0.0
            upto = _number(query, "upto", 0, 1e15) if "upto" in query else float("inf")
            found = records.newest(caller.name, query.get("name"), since, upto)
            if _flag(query, "count"):
                exchange.reply(200, views.encode({"activations": max(0, sum(1 for _ in found) - skip)}))
                return
            show = views.activation if _flag(query, "docs") else views.summary
            exchange.reply(200, views.encode([show(r) for r in islice(found, skip, skip + limit)]))
            return
        record = records.get(caller.name, rest[0])
        if record is None and self.copies is not None and not records.has(rest[0]):
            self._look_for(request, exchange, rest[0])
            return
        if record is None:
            raise self._not_here(request, rest[0])
        if request.method == "DELETE":
            self._cancel(exchange, record)
            return
        shown: Callable[[Record], Any] = views.activation
        if len(rest) == 2:
            if rest[1] not in ("result", "logs"):
                raise ApiError(404, "The requested resource does not exist.")
            shown = views.result if rest[1] == "result" else lambda r: {"logs": r.logs}
        if record.visible:
            record.fetched = True
            exchange.reply(200, views.encode(shown(record)))
            return
        wait_ms = _number(query, "wait", 0, self._front.longest_wait_ms) if "wait" in query else 0.0
        ivk = self._driver.gateway.in_flight_of(record.id)
        if not wait_ms or ivk is None:  # as specified: no record until there is a result
            raise ApiError(404, IN_HAND, {"retry-after": "1"})
        self._long_poll(exchange, ivk, wait_ms, shown)

    def _look_for(self, request: Request, exchange: Exchange, id_: str) -> None:
        """Others may have taken it over: ask them, and lead the client there."""
        code = f"{self._boot[:8]}{self._requests:x}"

        def found(at: str | None) -> None:
            if exchange.replied or exchange.client_gone:
                return
            if at:
                exchange.reply(
                    307,
                    views.error(f"The activation is at {at} now; ask there.", code),
                    {"location": f"http://{at}{request.target}"},
                )
            elif at is None:
                exchange.reply(
                    404,
                    views.error(
                        "No dispatcher knows the activation: it never was, or is no longer "
                        "kept, or all that held it are lost.",
                        code,
                    ),
                )
            else:
                exchange.reply(
                    404,
                    views.error(
                        "The activation is not known yet: whoever may have it is being taken over, or cannot be heard.",
                        code,
                        known="not-yet",
                    ),
                    {"retry-after": "1"},
                )

        assert self.copies is not None
        self.copies.find(id_, found)

    def _not_here(self, request: Request, id_: str) -> ApiError:
        """Of what others may have in hand nothing is said but where to ask; `boot` starts with our own prefix."""
        if id_[:ID_PREFIX_DIGITS] == self._boot[:ID_PREFIX_DIGITS]:
            return ApiError(404, "The requested resource does not exist: its record is not, or no longer, kept here.")
        peer = self._driver.gateway.members.issuer_of(id_)
        if peer is None:
            return ApiError(404, "This dispatcher does not know the activation; whoever gave the id may.")
        return ApiError(
            307,
            f"The activation was given by {peer.name}; ask there.",
            {"location": f"http://{peer.address}{request.target}"},
        )

    def _long_poll(self, exchange: Exchange, ivk: Invocation, wait_ms: float, shown: Callable[[Record], Any]) -> None:
        """Answer when the final answer is there, at the latest after `wait_ms`."""

        def ended(record: Record) -> None:
            timer.cancel()
            record.fetched = True
            exchange.reply(200, views.encode(shown(record)))

        def late() -> None:
            self._driver.gateway.remove_waiter(ivk.record, ended)
            exchange.reply(404, views.error(IN_HAND, f"{self._boot[:8]}{self._requests:x}"), {"retry-after": "1"})

        timer = self._loop.call_later(wait_ms / 1000, late)
        ivk.waiters.append(ended)

        def gone() -> None:
            timer.cancel()
            self._driver.gateway.remove_waiter(ivk.record, ended)

        exchange.on_client_gone = gone

    def _cancel(self, exchange: Exchange, record: Record) -> None:
        """Cancel one in hand where no effect can be half done: never sent, or repeatable."""
        ivk = self._driver.gateway.in_flight_of(record.id)
        if record.final or ivk is None:
            raise ApiError(409, "The activation has its final answer, or is being resumed; nothing was cancelled.")
        if record.idempotency != "repeatable" and any(send.may_have_run for send in ivk.request.attempts):
            raise ApiError(409, "The activation may have run; cancelling would not undo its effect.")
        self._driver.gateway.on_client_gone(now_ms(), ivk)
        self._driver.schedule_decisions()
        exchange.reply(202, views.encode({"activationId": record.id}))

    @staticmethod
    def _page(request: Request) -> tuple[int, int]:
        query = request.query
        limit = int(_number(query, "limit", 0, MOST_LISTED)) if "limit" in query else 30
        skip = int(_number(query, "skip", 0, 1e9)) if "skip" in query else 0
        return limit or MOST_LISTED, skip


class _Wait:
    """A client that waits for one activation, for a time."""

    __slots__ = ("_api", "_bare", "_exchange", "_timer")

    def __init__(self, api: InvokeApi, exchange: Exchange, bare: bool) -> None:
        self._api, self._exchange, self._bare = api, exchange, bare
        self._timer: asyncio.TimerHandle | None = None

    def blocking(self, ivk: Invocation, wait_ms: float) -> None:
        """Wait for the final answer; past `wait_ms` the client gets the id and may poll."""
        if wait_ms < ivk.record.timeout_ms:
            self._timer = self._api._loop.call_later(wait_ms / 1000, self._past, ivk)

    def _past(self, ivk: Invocation) -> None:
        """The wait is over: the client goes on with the id, which must be worth something after a crash."""
        gateway = self._api._driver.gateway
        gateway.make_durable(now_ms(), ivk)
        if ivk.lifecycle.journaled:
            gateway.when_durable(ivk, lambda _safe: self.deferred(ivk.record))
            self._api._driver.schedule_decisions()
        else:
            self.deferred(ivk.record)

    def promise(self, ivk: Invocation) -> None:
        """202 once the call's record is safe; 503 where it cannot be."""
        if not self._exchange.replied:
            self._api._driver.gateway.when_durable(ivk, lambda safe: self._promised(ivk, safe))
            self._api._driver.start_writes()
            if self._api.copies is not None and not self._exchange.replied:
                # Nothing can be safe while no majority of voters is heard: its client hears so before it gives up.
                self._timer = self._api._loop.call_later(
                    UNSURE * ivk.record.timeout_ms / 1000, self._taken_over, ivk.record, 0
                )

    def _promised(self, ivk: Invocation, safe: bool | None) -> None:
        if safe:
            self.deferred(ivk.record)
        elif safe is None:
            self._taken_over(ivk.record, LOOKS)
        elif not self._exchange.replied:
            self._exchange.reply(
                503, views.error("The call could not be kept safe and was not taken.", "journal"), {"retry-after": "1"}
            )
            self._api.cannot_promise(ivk)

    def _taken_over(self, record: Record, looks: int) -> None:
        """Another dispatcher has the book that the call may be in: ask until that is known."""
        copies = self._api.copies
        if copies is None or looks == 0:
            if not self._exchange.replied:
                self._exchange.reply(500, views.error(UNKNOWN, "unknown", activationId=record.id))
            return

        def found(at: str | None) -> None:
            if self._exchange.replied or self._exchange.client_gone:
                return
            if at:
                self.deferred(record, f"http://{at}")
            elif at is None:  # nobody has it: whoever owns the book now has looked
                self._exchange.reply(
                    503,
                    views.error("The call could not be kept safe and was not taken.", "journal"),
                    {"retry-after": "1"},
                )
            else:
                self._api._loop.call_later(LOOK_MS / 1000, self._taken_over, record, looks - 1)

        copies.find(record.id, found)

    def deferred(self, record: Record, at: str = "") -> None:
        """202 with the id, unless the final answer has been given; `at`: whom to ask, if not this dispatcher."""
        if self._timer is not None:
            self._timer.cancel()
        if not self._exchange.replied:
            headers = {"x-openwhisk-activation-id": record.id}
            if at or self._api.own:
                headers["location"] = (
                    f"{at or self._api.own}/api/v1/namespaces/{record.namespace}/activations/{record.id}"
                )
            record.deferred = True
            self._exchange.reply(202, views.encode({"activationId": record.id}), headers)

    def ended(self, record: Record) -> None:
        """The final answer is there."""
        if self._timer is not None:
            self._timer.cancel()
        if not self._exchange.replied and not self._exchange.client_gone:
            self._api.reply_final(self._exchange, record, self._bare)


def _flag(query: dict[str, str], name: str) -> bool:
    value = query.get(name, "false").lower()
    if value not in ("true", "false"):
        raise ApiError(400, f"The query parameter '{name}' is true or false, not '{value[:40]}'.")
    return value == "true"


def _number(query: dict[str, str], name: str, low: float, high: float) -> float:
    text = query[name]
    if not text.isascii() or not text.isdigit() or not low <= int(text[:18]) <= high:
        raise ApiError(
            400, f"The query parameter '{name}' is a whole number from {low:.0f} to {high:.0f}, not '{text[:40]}'."
        )
    return float(text)


def _object(request: Request) -> bytes:
    """The body as a JSON object.  Checked whole, passed on as it came."""
    if not request.body:
        return b"{}"
    if request.headers.get("content-type", "application/json").partition(";")[0].strip().lower() not in (
        "application/json",
        "application/x-www-form-urlencoded",
    ):
        raise ApiError(415, "The body is application/json.")
    try:
        request.body.decode()
        value = msgspec.json.decode(request.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as cause:
        raise ApiError(400, f"The request content was malformed: {cause}") from None
    if not isinstance(value, dict):
        raise ApiError(400, "The request content was malformed: a JSON object is expected.")
    return request.body


def _trace(given: str | None, salt: str, number: int) -> str:
    """The trace to go on with (W3C Trace Context, section 3.2): the client's, else one of ours."""
    span = f"{number & (1 << 64) - 1:016x}"
    if given is not None:
        parts = given.strip().lower().split("-")
        if (
            len(parts) >= 4
            and parts[0] != "ff"
            and [len(p) for p in parts[:4]] == [2, 32, 16, 2]
            and all(c in "0123456789abcdef" for p in parts[:4] for c in p)
            and parts[1] != "0" * 32
        ):
            return f"00-{parts[1]}-{span}-{parts[3]}"
    return f"00-{salt}{span}-{span}-00"
