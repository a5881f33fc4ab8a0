"""Client emulator: open-loop load on the invoke and inference APIs, polling, timeouts, retries.

Clients retry only what is harmless by the answer they got (`load/client_behavior.py`).
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

from .capture import Capture, ReadLag

POLL_EVERY_MS, POLL_FOR_MS = 150.0, 3000.0
FAILOVER_WAIT_MS = 20_000.0  # how long a client polls on while another dispatcher takes over a lost one
STREAM_TIMEOUT_MS = 5000.0  # for a whole stream, beyond the time to its first part
FAILED_REASONS = ("MAY_HAVE_RUN", "NEVER_RAN")


@dataclass(slots=True, eq=False)
class ClientCall:
    """One call of a client, over all its attempts."""

    ticket: str
    action: ActionSettings
    namespace: NamespaceSettings
    deferred: bool
    behavior: ClientBehavior
    attempts_left: int
    dispatcher: int = 0
    attempt_started: float = 0.0
    activation: str = ""
    call_id: str = ""
    poll_address: str = ""
    grpc: bool = False  # over the gRPC front
    streamed: bool = False
    parts: int = 0


class ClientEmulator:
    """All clients of one cluster."""

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
        self._part, self._id_prefix = part, f"{part[0]}-" if part[1] > 1 else ""
        self._grpc_clients = [GrpcClient(address) for address in second or ()]
        self._deployment, self._addresses, self._capture = deployment, addresses, capture
        self._shared_address = front  # the addresses are shared: which dispatcher answers is not known beforehand
        self._random = np.random.default_rng([seed, 7, *part] if part[1] > 1 else [seed, 7])
        self._loop = asyncio.get_running_loop()
        self._pools = [self._pool(a) for a in addresses]
        self._poll_pools: dict[str, WorkerPool] = {}  # by address, where deferred calls are polled
        self._auth = {
            n.name: "Basic " + base64.b64encode(f"{n.uuid}:{n.key}".encode()).decode()
            for n in deployment.namespaces.values()
        }
        self._tickets = self._calls = 0
        self.open_requests = self.polling = 0  # requests out; deferred calls without their final answer
        self._read_lag = ReadLag()

    @staticmethod
    def _pool(address: str) -> WorkerPool:
        return WorkerPool(address, 2000, 500.0, 10_000.0, 1 << 22)

    def arrivals(self, load: Load, end: float) -> list[tuple[float, ActionSettings]]:
        """A load's arrivals (seconds) with the action of each, popular ones first by rank."""
        actions = list(self._deployment.actions.values())
        by_path = {a.path: a for a in actions}
        drawn = Arrivals(load, self._random, self._part).draw(load.at, max(0.0, end - load.at))
        picks = self._random.choice(len(actions), len(drawn), p=popularity(list(by_path), load))
        return [(t, by_path.get(named) or actions[int(n)]) for (t, named), n in zip(drawn, picks, strict=True)]

    def start_call(
        self,
        action: ActionSettings,
        deferred: float,
        retry_after_share: float,
        retries: int,
        grpc: float = 0.0,
        streams: float = 0.0,
        half_retry_after_share: float = 0.0,
        namespace: str = "",
    ) -> None:
        """Start one call; `grpc`: the share of calls over the gRPC front, `streams`: the share of those that stream."""
        self._tickets += 1
        spaces = list(self._deployment.namespaces.values())
        shares = np.array([s.allowed_per_s for s in spaces])
        namespace_settings = (
            self._deployment.namespaces.get(namespace)
            or (spaces[int(self._random.choice(len(spaces), p=shares / shares.sum()))])
        )
        client_call = ClientCall(
            f"t{self._id_prefix}{self._tickets}",
            action,
            namespace_settings,
            bool(self._random.random() < deferred),
            behavior_of(float(self._random.random()), retry_after_share, half_retry_after_share),
            1 + retries,
        )
        if grpc:
            client_call.grpc = bool(self._random.random() < grpc)
            client_call.streamed = client_call.grpc and bool(self._random.random() < streams)
            client_call.deferred = client_call.deferred and not client_call.streamed
        self._attempt(client_call)

    def _attempt(self, client_call: ClientCall, last: int | None = None) -> None:
        client_call.attempts_left -= 1
        self._calls += 1
        count = len(self._pools)
        client_call.dispatcher = int(self._random.integers(count)) if last is None else (last + 1) % count
        client_call.call_id = f"c{self._id_prefix}{self._calls}"
        client_call.attempt_started, client_call.activation = now_ms(), ""
        kind = self._deployment.types[client_call.action.type]
        if client_call.grpc and self._grpc_clients:
            self._send_grpc(client_call, kind)
            return
        self._capture.write(
            "call",
            call=client_call.call_id,
            ticket=client_call.ticket,
            action=client_call.action.path,
            type=kind.name,
            dispatcher=client_call.dispatcher,
            deferred=client_call.deferred,
            limit_ms=kind.timeout_ms,
            front=self._shared_address,
        )
        self._send_http(client_call, self._pools[client_call.dispatcher], self._addresses[client_call.dispatcher])

    def _send_http(self, client_call: ClientCall, pool: WorkerPool, address: str) -> None:
        kind = self._deployment.types[client_call.action.type]
        blocking = str(not client_call.deferred).lower()
        target = f"/api/v1/namespaces/_/actions/{client_call.action.path}?blocking={blocking}"
        headers = {"authorization": self._auth[client_call.namespace.name]}
        if kind.effect == "deduplicated":
            headers["idempotency-key"] = client_call.ticket
        data = encode_request("POST", target, address, msgspec.json.encode({"ticket": client_call.ticket}), headers)
        self.open_requests += 1
        call = pool.start(data, self._on_http_response, client_call)
        self._loop.call_later((kind.timeout_ms + 500) / 1000, call.cancel, "patience")

    def _send_grpc(self, client_call: ClientCall, kind: TypeSettings) -> None:
        """Send the call over the gRPC front."""
        request = pb.ModelInferRequest(model_name=client_call.action.path, id=client_call.ticket)
        request.inputs.add(name="ticket", datatype="BYTES", shape=[1]).contents.bytes_contents.append(
            client_call.ticket.encode()
        )
        if kind.effect == "deduplicated" and not client_call.streamed:
            request.parameters["idempotency_key"].string_param = client_call.ticket
        if client_call.deferred:
            request.parameters["deferred"].bool_param = True
        client_call.parts = 0
        limit = kind.timeout_ms + (STREAM_TIMEOUT_MS if client_call.streamed else 0.0)
        self._capture.write(
            "call",
            call=client_call.call_id,
            ticket=client_call.ticket,
            action=client_call.action.path,
            type=kind.name,
            dispatcher=client_call.dispatcher,
            deferred=client_call.deferred,
            limit_ms=limit,
            front=self._shared_address,
            grpc=True,
            streamed=client_call.streamed,
        )
        self.open_requests += 1
        method = "ModelStreamInfer" if client_call.streamed else "ModelInfer"
        message = self._on_stream_part if client_call.streamed else self._on_grpc_response
        self._grpc_clients[client_call.dispatcher].call(
            SERVICE + method,
            request.SerializeToString(),
            {"authorization": self._auth[client_call.namespace.name]},
            lambda data: message(client_call, data),
            lambda ended: self._on_grpc_ended(client_call, ended),
            limit,
            500.0,
        )

    def _on_grpc_response(self, client_call: ClientCall, data: bytes) -> None:
        response = pb.ModelInferResponse.FromString(data)
        client_call.activation = response.parameters["activation_id"].string_param
        if response.parameters["deferred"].bool_param:
            client_call.poll_address = self._addresses[client_call.dispatcher]
            self._capture.write("accepted", call=client_call.call_id, activation=client_call.activation)
            self.polling += 1
            self._loop.call_later(POLL_EVERY_MS / 1000, self._poll, client_call)
        else:
            self._on_grpc_answer(client_call, "completed", client_call.activation)

    def _on_stream_part(self, client_call: ClientCall, data: bytes) -> None:
        message = pb.ModelStreamInferResponse.FromString(data)
        answer_fields = scalars(message.infer_response.parameters)
        activation = str(answer_fields.get("activation_id", ""))
        if not answer_fields.get("final_response"):
            client_call.parts += 1
            if client_call.parts == 1:
                self._capture.write("part", call=client_call.call_id, activation=activation, lag=self._read_lag.now())
            return
        client_call.activation = "final"  # the status that ends the gRPC call is no second answer
        reason = answer_fields.get("reason")
        if not message.error_message:
            self._on_grpc_answer(client_call, "completed", activation)
        elif reason == "NOT_TAKEN":
            self._capture.write("not-taken", call=client_call.call_id)
        else:
            retry = answer_fields.get("retry_after_ms")
            answer = "rejected" if reason == "REJECTED" else "aborted" if reason in FAILED_REASONS else "failed"
            self._on_grpc_answer(client_call, answer, activation, float(retry) if retry is not None else 0.0)

    def _on_grpc_answer(
        self,
        client_call: ClientCall,
        answer: str,
        activation: str,
        retry_ms: float = 0.0,
        repeat_within_ms: float | None = None,
    ) -> None:
        self._capture.write(
            "final",
            call=client_call.call_id,
            activation=activation,
            answer=answer,
            status=0,
            lag=self._read_lag.now(),
            took=None,
            code=0 if answer == "completed" else None,
        )
        if answer in ("rejected", "aborted"):
            self._retry(client_call, ClientOutcome(answer), retry_ms, repeat_within_ms)

    def _on_grpc_ended(self, client_call: ClientCall, ended: CallResult) -> None:
        self.open_requests -= 1
        if ended.code is Code.OK or client_call.activation == "final":
            return
        if ended.refused or not ended.written or ended.reason == "NOT_TAKEN":
            self._capture.write("not-taken", call=client_call.call_id)
            self._retry(client_call, ClientOutcome.NOT_TAKEN, ended.retry_ms or 0.0)
        elif ended.code is None:
            self._capture.write("no-answer", call=client_call.call_id, ending=ended.text)
            self._retry(client_call, ClientOutcome.LOST)
        else:
            answer = (
                "rejected"
                if ended.reason == "REJECTED"
                else "aborted"
                if ended.reason in FAILED_REASONS
                else (f"status-{ended.code.name}")
            )
            within = ended.details.get("repeat_within_ms")
            self._on_grpc_answer(
                client_call,
                answer,
                ended.details.get("activation", ""),
                ended.retry_ms or 0.0,
                float(within) if within is not None else None,
            )

    def _on_http_response(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        client_call: ClientCall = call.tag
        self.open_requests -= 1
        if ending in (CallOutcome.UNREACHABLE, CallOutcome.UNSENT) or (response is not None and response.status == 503):
            self._capture.write("not-taken", call=client_call.call_id)
            answer_fields = response.headers.get("retry-after-ms", "0") if response is not None else "0"
            self._retry(client_call, ClientOutcome.NOT_TAKEN, float(answer_fields))
            return
        if response is None:
            self._capture.write("no-answer", call=client_call.call_id, ending=ending.value)
            self._retry(client_call, ClientOutcome.LOST)
            return
        if response.status == 307:  # another dispatcher has the call of this key
            client_call.poll_address = response.headers["location"].removeprefix("http://").partition("/")[0]
            self._send_http(
                client_call,
                self._poll_pools.setdefault(client_call.poll_address, self._pool(client_call.poll_address)),
                client_call.poll_address,
            )
            return
        body = msgspec.json.decode(response.body)
        if response.status == 202:
            client_call.activation = body["activationId"]
            client_call.poll_address = response.headers["location"].removeprefix("http://").partition("/")[0]
            self._capture.write("accepted", call=client_call.call_id, activation=client_call.activation)
            self.polling += 1
            self._loop.call_later(POLL_EVERY_MS / 1000, self._poll, client_call)
            return
        self._on_final_answer(client_call, response.status, body)

    def _on_final_answer(self, client_call: ClientCall, status: int, body: dict[str, Any]) -> None:
        notes = {n["key"]: n["value"] for n in body.get("annotations", [])}
        answer_fields = notes.get("kelptrail", body)
        answer = answer_fields.get("answer", f"status-{status}")
        self._capture.write(
            "final",
            call=client_call.call_id,
            activation=body.get("activationId", ""),
            answer=answer,
            status=status,
            lag=self._read_lag.now(),
            took=body.get("duration") if client_call.deferred else None,
            code=body.get("response", {}).get("statusCode"),
        )
        if answer in ("rejected", "aborted"):
            self._retry(
                client_call,
                ClientOutcome(answer),
                float(answer_fields.get("retry_after_ms", 0.0)),
                answer_fields.get("repeat_within_ms"),
            )

    def _retry(
        self,
        client_call: ClientCall,
        outcome: ClientOutcome,
        retry_after_ms: float = 0.0,
        repeat_within_ms: float | None = None,
    ) -> None:
        kind = self._deployment.types[client_call.action.type]
        wait = retry_delay_ms(
            client_call.behavior,
            outcome,
            kind.effect,
            kind.timeout_ms,
            retry_after_ms,
            repeat_within_ms,
            now_ms() - client_call.attempt_started,
        )
        if wait is None:
            return
        if outcome is ClientOutcome.NOT_TAKEN:
            if client_call.attempts_left > -20:
                self._loop.call_later(wait / 1000, self._attempt, client_call, client_call.dispatcher)
        elif client_call.attempts_left > 0:
            self._loop.call_later(
                wait / 1000 * float(self._random.uniform(*client_call.behavior.jitter)), self._attempt, client_call
            )

    def _poll(self, client_call: ClientCall) -> None:
        kind = self._deployment.types[client_call.action.type]
        copies = self._deployment.peers is not None and self._deployment.peers.replicas
        if now_ms() - client_call.attempt_started > kind.timeout_ms + (FAILOVER_WAIT_MS if copies else POLL_FOR_MS):
            self._capture.write("no-answer", call=client_call.call_id, ending="polled")
            self.polling -= 1
            return
        data = encode_request(
            "GET",
            f"/api/v1/namespaces/_/activations/{client_call.activation}",
            client_call.poll_address,
            b"",
            {"authorization": self._auth[client_call.namespace.name]},
        )
        self.open_requests += 1
        if client_call.poll_address not in self._poll_pools:
            self._poll_pools[client_call.poll_address] = self._pool(client_call.poll_address)
        poll = self._poll_pools[client_call.poll_address].start(data, self._on_poll_response, client_call)
        self._loop.call_later(2.0, poll.cancel, "patience")

    def _on_poll_response(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        self.open_requests -= 1
        client_call: ClientCall = call.tag
        if response is not None and response.status == 200:
            self.polling -= 1
            self._on_final_answer(client_call, 200, msgspec.json.decode(response.body))
            return
        if response is None:  # the dispatcher that accepted it is gone: any other may know it
            client_call.poll_address = self._addresses[int(self._random.integers(len(self._addresses)))]
        elif response.status == 307:
            client_call.poll_address = response.headers["location"].removeprefix("http://").partition("/")[0]
        elif response.status == 404 and "No dispatcher knows" in response.body.decode(errors="replace"):
            self._capture.write(
                "denied", call=client_call.call_id, activation=client_call.activation, at=client_call.poll_address
            )
        self._loop.call_later(POLL_EVERY_MS / 1000, self._poll, client_call)

    def plan(self, loads: list[Load], seconds: float) -> list[tuple[float, Callable[[], None]]]:
        """All calls of a script's loads: when (seconds), and what starts each.  Closed loops are for the load tool."""
        out: list[tuple[float, Callable[[], None]]] = []
        for load in loads:
            for when, action in self.arrivals(load, min(seconds, load.at + load.duration)):
                out.append(
                    (
                        when,
                        partial(
                            self.start_call,
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

    async def wait_until_answered(self, until: float) -> None:
        """Wait for the last answer, until a time (ms of the clock) at most."""
        while (self.open_requests or self.polling) and now_ms() < until:
            await asyncio.sleep(0.05)

    async def run(self, arrivals: list[tuple[float, Callable[[], None]]], start: float) -> None:
        """Start the calls at their times (seconds after `start`, which is in ms of the clock)."""
        for when, come in arrivals:
            wait = start / 1000 + when - now_ms() / 1000
            if wait > 0:
                await asyncio.sleep(wait)
            come()

    def close(self) -> None:
        """Close all connections."""
        self._read_lag.stop()
        for pool in [*self._pools, *self._poll_pools.values()]:
            pool.close()
        for client in self._grpc_clients:
            client.close()
