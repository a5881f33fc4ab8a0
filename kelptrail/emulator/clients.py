"""A fleet of stand-in clients: open-loop load on the invoke API, polling, giving up, coming back.

Clients repeat only what is harmless by the answer they got; those without heed come back at once.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec
import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.grpc import Code
from kelptrail.codec.http import Response, encode_request
from kelptrail.codec.tensors import scalars
from kelptrail.front.inference import inference_pb2 as pb
from kelptrail.front.inference.api import SERVICE
from kelptrail.load.arrivals import Arrivals, popularity
from kelptrail.load.client_behavior import ClientBehavior, ClientOutcome, behavior_of, retry_delay_ms
from kelptrail.load.plan import Load
from kelptrail.net.grpc_client import CallResult, GrpcClient
from kelptrail.net.pool import Call, CallOutcome, WorkerPool
from kelptrail.settings.deployment import ActionSettings, Deployment, NamespaceSettings, TypeSettings

from .capture import Capture, Lag

POLL_MS, PATIENCE_MS = 150.0, 3000.0
TAKEN_OVER_MS = 20_000.0  # what a client allows for another dispatcher to take up what a lost one held
STREAM_MS = 5000.0  # what a client allows for a whole stream, beyond the time to its first part
ABORTED = ("MAY_HAVE_RUN", "NEVER_RAN")


@dataclass(slots=True, eq=False)
class Wish:
    """What a client wants done, over all its tries."""

    ticket: str
    action: ActionSettings
    namespace: NamespaceSettings
    deferred: bool
    habits: ClientBehavior
    tries: int
    dispatcher: int = 0
    began: float = 0.0
    activation: str = ""
    number: str = ""
    asked_at: str = ""
    grpc: bool = False  # over the second front
    streamed: bool = False
    parts: int = 0


class ClientEmulator:
    """All clients of one place."""

    def __init__(
        self,
        deployment: Deployment,
        addresses: list[str],
        capture: Capture,
        seed: int,
        front: bool = False,
        second: list[str] | None = None,
        part: tuple[int, int] = (0, 1),
    ) -> None:
        self._part, self._mark = part, f"{part[0]}-" if part[1] > 1 else ""
        self._second = [GrpcClient(address) for address in second or ()]
        self._deployment, self._addresses, self._capture = deployment, addresses, capture
        self._front = front  # the addresses are shared ones: who answers is not known beforehand
        self._chance = np.random.default_rng([seed, 7, *part] if part[1] > 1 else [seed, 7])
        self._loop = asyncio.get_running_loop()
        self._pools = [self._pool(a) for a in addresses]
        self._asked: dict[str, WorkerPool] = {}  # where deferred calls are asked for
        self._auth = {
            n.name: "Basic " + base64.b64encode(f"{n.uuid}:{n.key}".encode()).decode()
            for n in deployment.namespaces.values()
        }
        self._tickets = self._calls = 0
        self.out = self.polling = 0  # requests out; deferred calls without their final answer
        self._lag = Lag()

    @staticmethod
    def _pool(address: str) -> WorkerPool:
        return WorkerPool(address, 2000, 500.0, 10_000.0, 1 << 22)

    def arrivals(self, load: Load, end: float) -> list[tuple[float, ActionSettings]]:
        """A load's arrivals (seconds) with the action of each, popular ones first by rank."""
        actions = list(self._deployment.actions.values())
        by_path = {a.path: a for a in actions}
        drawn = Arrivals(load, self._chance, self._part).draw(load.at, max(0.0, end - load.at))
        picks = self._chance.choice(len(actions), len(drawn), p=popularity(list(by_path), load))
        return [(t, by_path.get(named) or actions[int(n)]) for (t, named), n in zip(drawn, picks, strict=True)]

    def wish(
        self,
        action: ActionSettings,
        deferred: float,
        heed: float,
        retries: int,
        grpc: float = 0.0,
        streams: float = 0.0,
        half: float = 0.0,
        namespace: str = "",
    ) -> None:
        """One client comes; `grpc` and `streams` are the shares that call by the second front, and in streams there."""
        self._tickets += 1
        spaces = list(self._deployment.namespaces.values())
        shares = np.array([s.allowed_per_s for s in spaces])
        space = (
            self._deployment.namespaces.get(namespace)
            or (spaces[int(self._chance.choice(len(spaces), p=shares / shares.sum()))])
        )
        wish = Wish(
            f"t{self._mark}{self._tickets}",
            action,
            space,
            bool(self._chance.random() < deferred),
            behavior_of(float(self._chance.random()), heed, half),
            1 + retries,
        )
        if grpc:
            wish.grpc = bool(self._chance.random() < grpc)
            wish.streamed = wish.grpc and bool(self._chance.random() < streams)
            wish.deferred = wish.deferred and not wish.streamed
        self._try(wish)

    def _try(self, wish: Wish, last: int | None = None) -> None:
        wish.tries -= 1
        self._calls += 1
        count = len(self._pools)
        wish.dispatcher = int(self._chance.integers(count)) if last is None else (last + 1) % count
        wish.number, wish.began, wish.activation = f"c{self._mark}{self._calls}", now_ms(), ""
        kind = self._deployment.types[wish.action.type]
        if wish.grpc and self._second:
            self._infer(wish, kind)
            return
        self._capture.note(
            "call",
            call=wish.number,
            ticket=wish.ticket,
            action=wish.action.path,
            type=kind.name,
            dispatcher=wish.dispatcher,
            deferred=wish.deferred,
            limit_ms=kind.timeout_ms,
            front=self._front,
        )
        self._post(wish, self._pools[wish.dispatcher], self._addresses[wish.dispatcher])

    def _post(self, wish: Wish, pool: WorkerPool, address: str) -> None:
        kind = self._deployment.types[wish.action.type]
        target = f"/api/v1/namespaces/_/actions/{wish.action.path}?blocking={str(not wish.deferred).lower()}"
        headers = {"authorization": self._auth[wish.namespace.name]}
        if kind.effect == "deduplicated":
            headers["idempotency-key"] = wish.ticket
        data = encode_request("POST", target, address, msgspec.json.encode({"ticket": wish.ticket}), headers)
        self.out += 1
        call = pool.start(data, self._answered, wish)
        self._loop.call_later((kind.timeout_ms + 500) / 1000, call.cancel, "patience")

    def _infer(self, wish: Wish, kind: TypeSettings) -> None:
        """The same wish by the second front."""
        request = pb.ModelInferRequest(model_name=wish.action.path, id=wish.ticket)
        request.inputs.add(name="ticket", datatype="BYTES", shape=[1]).contents.bytes_contents.append(
            wish.ticket.encode()
        )
        if kind.effect == "deduplicated" and not wish.streamed:
            request.parameters["idempotency_key"].string_param = wish.ticket
        if wish.deferred:
            request.parameters["deferred"].bool_param = True
        wish.parts = 0
        limit = kind.timeout_ms + (STREAM_MS if wish.streamed else 0.0)
        self._capture.note(
            "call",
            call=wish.number,
            ticket=wish.ticket,
            action=wish.action.path,
            type=kind.name,
            dispatcher=wish.dispatcher,
            deferred=wish.deferred,
            limit_ms=limit,
            front=self._front,
            grpc=True,
            streamed=wish.streamed,
        )
        self.out += 1
        method = "ModelStreamInfer" if wish.streamed else "ModelInfer"
        message = self._streamed if wish.streamed else self._inferred
        self._second[wish.dispatcher].call(
            SERVICE + method,
            request.SerializeToString(),
            {"authorization": self._auth[wish.namespace.name]},
            lambda data: message(wish, data),
            lambda ended: self._over(wish, ended),
            limit,
            500.0,
        )

    def _inferred(self, wish: Wish, data: bytes) -> None:
        response = pb.ModelInferResponse.FromString(data)
        wish.activation = response.parameters["activation_id"].string_param
        if response.parameters["deferred"].bool_param:
            wish.asked_at = self._addresses[wish.dispatcher]
            self._capture.note("accepted", call=wish.number, activation=wish.activation)
            self.polling += 1
            self._loop.call_later(POLL_MS / 1000, self._poll, wish)
        else:
            self._told(wish, "completed", wish.activation)

    def _streamed(self, wish: Wish, data: bytes) -> None:
        message = pb.ModelStreamInferResponse.FromString(data)
        told = scalars(message.infer_response.parameters)
        activation = str(told.get("activation_id", ""))
        if not told.get("final_response"):
            wish.parts += 1
            if wish.parts == 1:
                self._capture.note("part", call=wish.number, activation=activation, lag=self._lag.now())
            return
        wish.activation = "final"  # its call's status is no answer of its own
        reason = told.get("reason")
        if not message.error_message:
            self._told(wish, "completed", activation)
        elif reason == "NOT_TAKEN":
            self._capture.note("not-taken", call=wish.number)
        else:
            retry = told.get("retry_after_ms")
            answer = "rejected" if reason == "REJECTED" else "aborted" if reason in ABORTED else "failed"
            self._told(wish, answer, activation, float(retry) if retry is not None else 0.0)

    def _told(
        self, wish: Wish, answer: str, activation: str, retry_ms: float = 0.0, within_ms: float | None = None
    ) -> None:
        self._capture.note(
            "final",
            call=wish.number,
            activation=activation,
            answer=answer,
            status=0,
            lag=self._lag.now(),
            took=None,
            code=0 if answer == "completed" else None,
        )
        if answer in ("rejected", "aborted"):
            self._again(wish, ClientOutcome(answer), retry_ms, within_ms)

    def _over(self, wish: Wish, ended: CallResult) -> None:
        self.out -= 1
        if ended.code is Code.OK or wish.activation == "final":
            return
        if ended.refused or not ended.written or ended.reason == "NOT_TAKEN":
            self._capture.note("not-taken", call=wish.number)
            self._again(wish, ClientOutcome.NOT_TAKEN, ended.retry_ms or 0.0)
        elif ended.code is None:
            self._capture.note("no-answer", call=wish.number, ending=ended.text)
            self._again(wish, ClientOutcome.LOST)
        else:
            answer = (
                "rejected"
                if ended.reason == "REJECTED"
                else "aborted"
                if ended.reason in ABORTED
                else (f"status-{ended.code.name}")
            )
            within = ended.details.get("repeat_within_ms")
            self._told(
                wish,
                answer,
                ended.details.get("activation", ""),
                ended.retry_ms or 0.0,
                float(within) if within is not None else None,
            )

    def _answered(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        wish: Wish = call.tag
        self.out -= 1
        if ending in (CallOutcome.UNREACHABLE, CallOutcome.UNSENT) or (response is not None and response.status == 503):
            self._capture.note("not-taken", call=wish.number)
            told = response.headers.get("retry-after-ms", "0") if response is not None else "0"
            self._again(wish, ClientOutcome.NOT_TAKEN, float(told))
            return
        if response is None:
            self._capture.note("no-answer", call=wish.number, ending=ending.value)
            self._again(wish, ClientOutcome.LOST)
            return
        if response.status == 307:  # another has the call under this key
            wish.asked_at = response.headers["location"].removeprefix("http://").partition("/")[0]
            self._post(wish, self._asked.setdefault(wish.asked_at, self._pool(wish.asked_at)), wish.asked_at)
            return
        body = msgspec.json.decode(response.body)
        if response.status == 202:
            wish.activation = body["activationId"]
            wish.asked_at = response.headers["location"].removeprefix("http://").partition("/")[0]
            self._capture.note("accepted", call=wish.number, activation=wish.activation)
            self.polling += 1
            self._loop.call_later(POLL_MS / 1000, self._poll, wish)
            return
        self._final(wish, response.status, body)

    def _final(self, wish: Wish, status: int, body: dict[str, Any]) -> None:
        notes = {n["key"]: n["value"] for n in body.get("annotations", [])}
        told = notes.get("kelptrail", body)
        answer = told.get("answer", f"status-{status}")
        self._capture.note(
            "final",
            call=wish.number,
            activation=body.get("activationId", ""),
            answer=answer,
            status=status,
            lag=self._lag.now(),
            took=body.get("duration") if wish.deferred else None,
            code=body.get("response", {}).get("statusCode"),
        )
        if answer in ("rejected", "aborted"):
            self._again(
                wish, ClientOutcome(answer), float(told.get("retry_after_ms", 0.0)), told.get("repeat_within_ms")
            )

    def _again(self, wish: Wish, heard: ClientOutcome, told_ms: float = 0.0, within_ms: float | None = None) -> None:
        kind = self._deployment.types[wish.action.type]
        wait = retry_delay_ms(
            wish.habits, heard, kind.effect, kind.timeout_ms, told_ms, within_ms, now_ms() - wish.began
        )
        if wait is None:
            return
        if heard is ClientOutcome.NOT_TAKEN:
            if wish.tries > -20:
                self._loop.call_later(wait / 1000, self._try, wish, wish.dispatcher)
        elif wish.tries > 0:
            self._loop.call_later(wait / 1000 * float(self._chance.uniform(*wish.habits.jitter)), self._try, wish)

    def _poll(self, wish: Wish) -> None:
        kind = self._deployment.types[wish.action.type]
        copies = self._deployment.peers is not None and self._deployment.peers.copies
        if now_ms() - wish.began > kind.timeout_ms + (TAKEN_OVER_MS if copies else PATIENCE_MS):
            self._capture.note("no-answer", call=wish.number, ending="polled")
            self.polling -= 1
            return
        data = encode_request(
            "GET",
            f"/api/v1/namespaces/_/activations/{wish.activation}",
            wish.asked_at,
            b"",
            {"authorization": self._auth[wish.namespace.name]},
        )
        self.out += 1
        if wish.asked_at not in self._asked:
            self._asked[wish.asked_at] = self._pool(wish.asked_at)
        poll = self._asked[wish.asked_at].start(data, self._polled, wish)
        self._loop.call_later(2.0, poll.cancel, "patience")

    def _polled(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        self.out -= 1
        wish: Wish = call.tag
        if response is not None and response.status == 200:
            self.polling -= 1
            self._final(wish, 200, msgspec.json.decode(response.body))
            return
        if response is None:  # whoever promised it is gone: any other may know
            wish.asked_at = self._addresses[int(self._chance.integers(len(self._addresses)))]
        elif response.status == 307:
            wish.asked_at = response.headers["location"].removeprefix("http://").partition("/")[0]
        elif response.status == 404 and "No dispatcher knows" in response.body.decode(errors="replace"):
            self._capture.note("denied", call=wish.number, activation=wish.activation, at=wish.asked_at)
        self._loop.call_later(POLL_MS / 1000, self._poll, wish)

    def plan(self, loads: list[Load], seconds: float) -> list[tuple[float, Callable[[], None]]]:
        """All that comes by a script's loads: when (seconds), and the coming.  Closed loops are the load tool's."""
        out: list[tuple[float, Callable[[], None]]] = []
        for load in loads:
            for when, action in self.arrivals(load, min(seconds, load.at + load.duration)):
                out.append(
                    (
                        when,
                        partial(
                            self.wish,
                            action,
                            load.deferred,
                            load.retry_after_share,
                            load.retries,
                            load.grpc,
                            load.streams,
                            load.half_retry_after_share,
                            load.namespace,
                        ),
                    )
                )
        out.sort(key=lambda pair: pair[0])
        return out

    async def settled(self, until: float) -> None:
        """Wait for the last answer, at the longest until a time (ms of the clock)."""
        while (self.out or self.polling) and now_ms() < until:
            await asyncio.sleep(0.05)

    async def play(self, arrivals: list[tuple[float, Callable[[], None]]], start: float) -> None:
        """Let clients come at their times (seconds after `start`, in ms of the clock)."""
        for when, come in arrivals:
            wait = start / 1000 + when - now_ms() / 1000
            if wait > 0:
                await asyncio.sleep(wait)
            come()

    def close(self) -> None:
        """Close all connections."""
        self._lag.stop()
        for pool in [*self._pools, *self._asked.values()]:
            pool.close()
        for client in self._second:
            client.close()
