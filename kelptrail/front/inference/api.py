"""The Open Inference Protocol over gRPC as a handler of calls; all work is the gateway's.

A model name is an action's path.  Credentials come in the metadata (`authorization`, as on the first front) or in the
client's certificate.  Request parameters that are ours: `idempotency_key` (the mark against repeats), `deferred` (an id
in place of the answer), `poll` (the id of a deferred call, with `wait_ms`).  Ours in responses: `activation_id`,
`deferred`, `part`, `final_response`.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import zlib
from collections.abc import Callable
from typing import Any

import msgspec
from google.protobuf.message import DecodeError

from kelptrail.clock import now_ms, wall_ms
from kelptrail.codec.grpc import Code, GrpcError
from kelptrail.codec.infer import Payload
from kelptrail.codec.tensors import JsonTensor, TensorError, fill, scalars, to_json, write_scalars
from kelptrail.front.callers import UNSURE, Callers, Finder
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.gateway.idempotency_keys import KeyConflictError
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.limits import REJECTION_MESSAGES
from kelptrail.gateway.records import Record
from kelptrail.net.grpc_server import GrpcStream
from kelptrail.settings.deployment import ActionSettings, Deployment, NamespaceSettings

from . import inference_pb2 as pb

SERVICE = "/inference.GRPCInferenceService/"
OURS = ("idempotency_key", "deferred", "poll", "wait_ms")
VERSION = "0.2.0"
EXTENSIONS = ("model_stream_infer", "deferred", "idempotency_key")
RISK = {
    "repeatable": "it may have run; running it again does no harm",
    "deduplicated": "it may have run; a repeat is dropped only with the same mark, in its group and time",
    "once-only": "it may have run; a repeat may have a second effect",
}


class _Result(msgspec.Struct):
    outputs: list[JsonTensor] = []
    parameters: dict[str, str | int | float | bool] = {}


_result = msgspec.json.Decoder(_Result).decode


class InferenceApi:
    """Handles the calls of one dispatcher's second front."""

    def __init__(self, deployment: Deployment, driver: GatewayDriver, callers: Callers) -> None:
        self._deployment, self._driver, self._callers = deployment, driver, callers
        self._front = deployment.inference
        self._loop = asyncio.get_running_loop()
        self._calls = 0
        self._trace_salt = os.urandom(8).hex()
        self.copies: Finder | None = None  # who else may have an activation
        self.leaving = False  # the dispatcher drains: nothing new is taken
        self._unary: dict[str, tuple[Any, Callable[[GrpcStream, NamespaceSettings, Any], None]]] = {
            "ServerLive": (pb.ServerLiveRequest, self._live),
            "ServerReady": (pb.ServerReadyRequest, self._ready),
            "ServerMetadata": (pb.ServerMetadataRequest, self._server),
            "ModelReady": (pb.ModelReadyRequest, self._model_ready),
            "ModelMetadata": (pb.ModelMetadataRequest, self._model),
            "ModelInfer": (pb.ModelInferRequest, self._infer),
        }

    def handle(self, stream: GrpcStream) -> None:
        """A call's headers are read.  Raises `GrpcError` where nothing more is wanted of it."""
        name = stream.path.removeprefix(SERVICE)
        if name == "ModelStreamInfer" and stream.path.startswith(SERVICE):
            caller = self._caller(stream)
            stream.request_complete = True  # it stays open as long as its client likes
            _Streamed(self, stream, caller)
            return
        found = self._unary.get(name) if stream.path.startswith(SERVICE) else None
        if found is None:
            raise GrpcError(Code.UNIMPLEMENTED, f"there is no method {stream.path[:100]}")
        kind, method = found
        caller = self._caller(stream)
        messages: list[bytes] = []
        stream.on_message = lambda data: self._one(messages, data)

        def whole() -> None:
            if not messages:
                raise GrpcError(Code.INVALID_ARGUMENT, "the call has no message")
            try:
                request = kind.FromString(messages[0])
            except DecodeError as cause:
                raise GrpcError(Code.INVALID_ARGUMENT, f"no {kind.DESCRIPTOR.name}: {cause}") from None
            method(stream, caller, request)

        stream.on_end = whole

    @staticmethod
    def _one(messages: list[bytes], data: bytes) -> None:
        if messages:
            raise GrpcError(Code.INVALID_ARGUMENT, "the call takes one message")
        messages.append(data)

    def _caller(self, stream: GrpcStream) -> NamespaceSettings:
        header = stream.metadata.get("authorization", "")
        found = self._callers.of(header) if header else None
        if found is None and not header and stream.identity:
            found = self._deployment.namespaces.get(stream.identity)
        if found is None:
            raise GrpcError(Code.UNAUTHENTICATED, "The supplied authentication is invalid.")
        return found

    # What is told of the server and its models.

    def _live(self, stream: GrpcStream, caller: NamespaceSettings, request: Any) -> None:
        self._say(stream, pb.ServerLiveResponse(live=True))

    def _ready(self, stream: GrpcStream, caller: NamespaceSettings, request: Any) -> None:
        able = any(worker.live for worker in self._driver.gateway.members)
        self._say(stream, pb.ServerReadyResponse(ready=able and not self.leaving))

    def _server(self, stream: GrpcStream, caller: NamespaceSettings, request: Any) -> None:
        self._say(stream, pb.ServerMetadataResponse(name="kelptrail", version=VERSION, extensions=EXTENSIONS))

    def _model_ready(self, stream: GrpcStream, caller: NamespaceSettings, request: Any) -> None:
        self._action(request.name, request.version)  # models are loaded on demand: one that is known is ready
        self._say(stream, pb.ModelReadyResponse(ready=any(w.live for w in self._driver.gateway.members)))

    def _model(self, stream: GrpcStream, caller: NamespaceSettings, request: Any) -> None:
        action = self._action(request.name, request.version)
        out = pb.ModelMetadataResponse(name=action.path, versions=["1"], platform="kelptrail")
        for tensors, name in ((out.inputs, "params"), (out.outputs, "result")):
            tensors.add(name=name, datatype="BYTES", shape=[1])
        self._say(stream, out)

    @staticmethod
    def _say(stream: GrpcStream, message: Any) -> None:
        stream.send(message.SerializeToString())
        stream.finish()

    def _action(self, name: str, version: str) -> ActionSettings:
        action = self._deployment.actions.get(name)
        if action is None:
            raise GrpcError(Code.NOT_FOUND, f"there is no model {name[:200]!r}")
        if version not in ("", "1"):
            raise GrpcError(Code.NOT_FOUND, f"there is no version {version[:50]!r} of model {name!r}, only 1")
        return action

    # Inference.

    def _infer(self, stream: GrpcStream, caller: NamespaceSettings, request: Any) -> None:
        given = scalars(request.parameters)
        raw = bool(request.raw_input_contents)
        if "poll" in given:
            self._poll(stream, caller, request, str(given["poll"]), given.get("wait_ms", 0))
            return
        action, payload, key = self._read(request, given)
        deferred = given.get("deferred", False)
        if not isinstance(deferred, bool):
            raise GrpcError(Code.INVALID_ARGUMENT, "parameter 'deferred' is a bool")
        limit = self._limit(stream)
        waits = _Unary(self, stream, request.id, raw)
        gateway, digest = self._driver.gateway, ""
        if key is not None:
            digest = hashlib.blake2b(payload, digest_size=16).hexdigest()
            try:
                known = gateway.find_by_key(caller.name, action.path, key, digest)
            except KeyConflictError as cause:
                raise GrpcError(Code.ALREADY_EXISTS, f"Conflict: {cause}.") from None
            if known is not None:
                waits.join(known, deferred)
                return
        if deferred and self._deployment.most_promised and len(payload) > self._deployment.most_promised:
            raise GrpcError(
                Code.RESOURCE_EXHAUSTED,
                f"A deferred call's tensors take at most "
                f"{self._deployment.most_promised} bytes here: they are held by others.",
            )
        if deferred and not gateway.accepts_deferred():
            raise GrpcError(
                Code.UNAVAILABLE,
                "Deferred calls cannot be kept safe at the moment; the call was not taken.",
                1000.0,
                "NOT_TAKEN",
            )
        who = self.admit(caller, action, payload, key)
        ivk = gateway.submit(
            now_ms(),
            wall_ms(),
            Submission(
                caller.name,
                action,
                payload,
                key,
                self._trace(stream),
                deferred,
                digest,
                float("inf") if deferred else limit,
                "tensors",
                client_key=who,
            ),
            waits.ended,
        )
        if deferred:
            self._driver.schedule_decisions(lambda: waits.promise(ivk))
            return
        waits.wait(ivk, key)
        self._driver.schedule_decisions()

    def admit(self, caller: NamespaceSettings, action: ActionSettings, payload: bytes, key: str | None = None) -> str:
        """Refuse what is beyond a bound, or comes while the dispatcher closes, before anything is done for it.
        Returns by what its client's coming again is known."""
        if self.leaving:
            raise GrpcError(
                Code.UNAVAILABLE, "This dispatcher is closing; the call was not taken.", 1000.0, "NOT_TAKEN"
            )
        who = key or f"{zlib.crc32(payload):08x}{len(payload):x}"
        refused = self._driver.gateway.on_connect(now_ms(), caller.name, action.path, len(payload), who)
        if refused is not None:
            raise GrpcError(Code.RESOURCE_EXHAUSTED, REJECTION_MESSAGES[refused[0]], refused[1], "NOT_TAKEN")
        return who

    def _limit(self, stream: GrpcStream) -> float:
        """What the client's deadline leaves, in ms."""
        return stream.deadline - now_ms() if stream.deadline is not None else float("inf")

    def _trace(self, stream: GrpcStream) -> str:
        self._calls += 1
        span = f"{self._calls & (1 << 64) - 1:016x}"
        parts = stream.metadata.get("traceparent", "").strip().lower().split("-")
        if (
            len(parts) == 4
            and [len(p) for p in parts] == [2, 32, 16, 2]
            and parts[1] != "0" * 32
            and all(c in "0123456789abcdef" for p in parts for c in p)
        ):
            return f"00-{parts[1]}-{span}-{parts[3]}"
        return f"00-{self._trace_salt}{span}-{span}-00"

    def _read(self, request: Any, given: dict[str, Any]) -> tuple[ActionSettings, bytes, str | None]:
        """A request checked whole: its action, its tensors as workers have them, its mark."""
        action = self._action(request.model_name, request.model_version)
        raws = request.raw_input_contents
        if raws and len(raws) != len(request.inputs):
            raise GrpcError(Code.INVALID_ARGUMENT, f"{len(raws)} raw contents for {len(request.inputs)} inputs")
        names = [tensor.name for tensor in request.inputs]
        if len(set(names)) != len(names):
            twice = next(name for name in names if names.count(name) > 1)
            raise GrpcError(Code.INVALID_ARGUMENT, f"tensor {twice!r} is there twice")
        try:
            inputs = [to_json(tensor, raws[n] if raws else None) for n, tensor in enumerate(request.inputs)]
        except TensorError as cause:
            raise GrpcError(Code.INVALID_ARGUMENT, str(cause), reason="TENSOR") from None
        key = given.get("idempotency_key")
        if key is not None and (not isinstance(key, str) or not 0 < len(key) <= 255):
            raise GrpcError(Code.INVALID_ARGUMENT, "parameter 'idempotency_key' is a text of 1 to 255 characters")
        outputs = [{"name": out.name} for out in request.outputs]
        kept = Payload(
            msgspec.Raw(msgspec.json.encode(inputs)),
            msgspec.Raw(msgspec.json.encode(outputs)),
            {name: value for name, value in given.items() if name not in OURS},
        )
        payload = msgspec.json.encode(kept)
        if len(payload) > self._front.message_bytes * 4:
            raise GrpcError(Code.RESOURCE_EXHAUSTED, "the tensors take too much room")
        return action, payload, key

    def _poll(self, stream: GrpcStream, caller: NamespaceSettings, request: Any, id_: str, wait: Any) -> None:
        gateway = self._driver.gateway
        record = gateway.records.get(caller.name, id_)
        if record is None and self.copies is not None and not gateway.records.has(id_):
            self.copies.find(id_, lambda at: self._looked_for(stream, at))
            return
        if record is None:
            peer = gateway.members.issuer_of(id_)
            told = {"asked_at": peer.address} if peer is not None else {}
            raise GrpcError(
                Code.NOT_FOUND,
                "This dispatcher does not know the activation; whoever gave the id may.",
                reason="ELSEWHERE" if peer is not None else "UNKNOWN_ID",
                details=told,
            )
        if isinstance(wait, bool) or not isinstance(wait, int | float) or wait < 0:
            raise GrpcError(Code.INVALID_ARGUMENT, "parameter 'wait_ms' is a number of milliseconds")
        waits = _Unary(self, stream, request.id, False)
        if record.visible:
            waits.ended(record)
            return
        ivk = gateway.in_flight_of(id_)
        if not wait or ivk is None:
            raise GrpcError(Code.UNAVAILABLE, "The activation is in hand and has no result yet.", 1000.0, "IN_HAND")
        waits.long_poll(ivk, min(float(wait), self._deployment.front.longest_wait_ms))

    @staticmethod
    def _looked_for(stream: GrpcStream, at: str | None) -> None:
        """What others said of an activation that is not here."""
        if stream.ended:
            return
        if at:
            stream.fail(
                GrpcError(
                    Code.NOT_FOUND,
                    "Another dispatcher has the activation now.",
                    reason="ELSEWHERE",
                    details={"asked_at": at},
                )
            )
        elif at is None:
            stream.fail(
                GrpcError(
                    Code.NOT_FOUND,
                    "No dispatcher knows the activation: it never was, or is no longer "
                    "kept, or all that held it are lost.",
                    reason="UNKNOWN_ID",
                )
            )
        else:
            stream.fail(
                GrpcError(
                    Code.UNAVAILABLE,
                    "The activation is not known yet: whoever may have it is being taken over, or cannot be heard.",
                    1000.0,
                    "NOT_YET",
                )
            )

    def response(self, record: Record, id_: str, raw: bool, result: bytes, **more: str | int | float | bool) -> Any:
        """A record's result, or a part of one, as a response.  Raises `GrpcError` where a worker's tensors are none."""
        out = pb.ModelInferResponse(model_name=record.path, model_version="1", id=id_)
        parameters: dict[str, Any] = {"activation_id": record.id} | more
        try:
            if record.payload_format == "tensors":
                told = _result(result)
                for tensor in told.outputs:
                    packed = fill(out.outputs.add(), tensor, raw)
                    if packed is not None:
                        out.raw_output_contents.append(packed)
                if out.raw_output_contents and len(out.raw_output_contents) != len(out.outputs):
                    raise TensorError("outputs of which only some have typed contents; ask in raw form")
                parameters = told.parameters | parameters
            elif result != b"{}" or not more.get("final_response"):
                out.outputs.add(name="result", datatype="BYTES", shape=[1]).contents.bytes_contents.append(result)
        except (TensorError, msgspec.MsgspecError) as cause:
            raise GrpcError(
                Code.INTERNAL,
                f"the model's answer is none: {cause}",
                reason="MODEL_ANSWER",
                details={"activation": record.id},
            ) from None
        write_scalars(out.parameters, parameters)
        return out

    def fault(self, record: Record) -> GrpcError:
        """A final answer that is no result, as a status that says what retrying would risk."""
        told = {"activation": record.id, "effect": record.idempotency, "sends": str(record.attempt_count)}
        if record.answer == "rejected":
            if record.deduplicated_for_ms:
                told["repeat_within_ms"] = str(round(record.deduplicated_for_ms))
            return GrpcError(
                Code.RESOURCE_EXHAUSTED,
                "The call was rejected before it had any effect that a repeat would double; try again later.",
                record.retry_after_ms,
                "REJECTED",
                told,
            )
        if record.answer == "aborted":
            text = msgspec.json.decode(record.result).get("error", "aborted")
            ran = record.attempt_count > 0
            told["retrying"] = RISK[record.idempotency] if ran else "nothing of it ran"
            return GrpcError(
                Code.DEADLINE_EXCEEDED if record.timed_out else Code.ABORTED,
                text,
                None,
                "MAY_HAVE_RUN" if ran else "NEVER_RAN",
                told,
            )
        text = record.result[:500].decode("utf-8", "replace")
        return GrpcError(Code.UNKNOWN, f"The model failed: {text}", None, "MODEL_FAILED", told)


class _Unary:
    """A client that waits for one answer."""

    def __init__(self, api: InferenceApi, stream: GrpcStream, id_: str, raw: bool) -> None:
        self._api, self._stream, self._id, self._raw = api, stream, id_, raw
        self._timer: asyncio.TimerHandle | None = None

    def wait(self, ivk: Invocation, key: str | None) -> None:
        """Wait for the final answer; the client's deadline, should it come first, ends the wait with its status."""
        gateway, stream = self._api._driver.gateway, self._stream

        def gone() -> None:
            self._cancel()
            if key is not None:  # one that named a mark may come back for the answer
                gateway.remove_waiter(ivk.record, self.ended)
            else:
                ivk.waiters.clear()
                gateway.on_client_gone(now_ms(), ivk)
                self._api._driver.schedule_decisions()

        stream.on_client_gone = gone
        if stream.deadline is not None:

            def late() -> None:
                gateway.remove_waiter(ivk.record, self.ended)
                stream.on_client_gone = _nothing
                told = {"activation": ivk.record.id, "retrying": RISK[ivk.record.idempotency]}
                stream.finish(Code.DEADLINE_EXCEEDED, "The client's deadline has come.", None, "MAY_HAVE_RUN", told)

            self._timer = self._api._loop.call_later(max(0.0, stream.deadline - now_ms()) / 1000, late)

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def join(self, record: Record, deferred: bool) -> None:
        """A client's own repeat: the recorded answer, or that of the activation in hand."""
        ivk = self._api._driver.gateway.in_flight_of(record.id)
        if record.visible:
            self.ended(record)
        elif deferred or ivk is None:
            self.deferred(record)
        else:
            ivk.waiters.append(self.ended)
            self.wait(ivk, record.key)

    def long_poll(self, ivk: Invocation, wait_ms: float) -> None:
        """Answer when the final answer is there, at the latest after `wait_ms`."""
        gateway = self._api._driver.gateway

        def late() -> None:
            gateway.remove_waiter(ivk.record, self.ended)
            self._stream.fail(
                GrpcError(Code.UNAVAILABLE, "The activation is in hand and has no result yet.", 1000.0, "IN_HAND")
            )

        def gone() -> None:
            self._cancel()
            gateway.remove_waiter(ivk.record, self.ended)

        if self._stream.deadline is not None:
            wait_ms = max(0.0, min(wait_ms, self._stream.deadline - now_ms() - 20))
        self._timer = self._api._loop.call_later(wait_ms / 1000, late)
        self._stream.on_client_gone = gone
        ivk.waiters.append(self.ended)

    def promise(self, ivk: Invocation) -> None:
        """The id once the call's record is safe."""
        if not self._stream.ended:
            self._api._driver.gateway.when_durable(ivk, lambda safe: self._promised(ivk, safe))
            self._api._driver.start_writes()
            if self._api.copies is not None:  # as on the first front
                self._timer = self._api._loop.call_later(
                    UNSURE * ivk.record.timeout_ms / 1000, self._promised, ivk, None
                )

    def _promised(self, ivk: Invocation, safe: bool | None) -> None:
        if safe:
            self.deferred(ivk.record)
        elif safe is None:
            if not self._stream.ended:
                self._stream.fail(
                    GrpcError(
                        Code.UNKNOWN,
                        "Another dispatcher has taken over; whether it has this call "
                        f"is not known here.  Ask for {ivk.record.id} before a repeat.",
                    )
                )
        elif not self._stream.ended:
            self._stream.fail(
                GrpcError(Code.UNAVAILABLE, "The call could not be kept safe and was not taken.", 1000.0, "NOT_TAKEN")
            )
            self._api._driver.gateway.on_client_gone(now_ms(), ivk)
            self._api._driver.schedule_decisions()

    def deferred(self, record: Record) -> None:
        """The id, unless the final answer has been given."""
        self._cancel()
        if self._stream.ended:
            return
        record.deferred = True
        out = pb.ModelInferResponse(model_name=record.path, model_version="1", id=self._id)
        write_scalars(out.parameters, {"activation_id": record.id, "deferred": True})
        self._api._say(self._stream, out)

    def ended(self, record: Record) -> None:
        """The final answer is there."""
        self._cancel()
        record.fetched = True
        if self._stream.ended:
            return
        if record.answer != "completed" or record.code:
            self._stream.fail(self._api.fault(record))
            return
        try:
            self._api._say(self._stream, self._api.response(record, self._id, self._raw, record.result))
        except GrpcError as cause:
            self._stream.fail(cause)


class _Streamed:
    """One ModelStreamInfer: requests come, each is answered in parts of its own, told apart by its id."""

    def __init__(self, api: InferenceApi, stream: GrpcStream, caller: NamespaceSettings) -> None:
        self._api, self._stream, self._caller = api, stream, caller
        self._out: dict[Invocation, tuple[str, bool]] = {}  # what is under way: the request's id, whether in raw form
        self._held = False  # the client does not read: workers wait
        self._client_ended = False
        stream.on_message, stream.on_end, stream.on_client_gone = self._request, self._ended, self._gone
        stream.on_writable = self._room
        self._timer: asyncio.TimerHandle | None = None
        if stream.deadline is not None:
            self._timer = api._loop.call_later(max(0.0, stream.deadline - now_ms()) / 1000, self._late)

    def _request(self, data: bytes) -> None:
        api = self._api
        try:
            request = pb.ModelInferRequest.FromString(data)
        except DecodeError as cause:
            raise GrpcError(Code.INVALID_ARGUMENT, f"no ModelInferRequest: {cause}") from None
        try:
            if len(self._out) >= api._front.stream_requests:
                raise GrpcError(
                    Code.RESOURCE_EXHAUSTED, "Too many requests are under way in this stream.", 1000.0, "NOT_TAKEN"
                )
            given = scalars(request.parameters)
            if given.keys() & OURS:
                raise GrpcError(Code.INVALID_ARGUMENT, "a streamed request is neither deferred, polled nor marked")
            action, payload, _ = api._read(request, given)
            who = api.admit(self._caller, action, payload)
        except GrpcError as cause:
            self._refuse(request.id, request.model_name, cause)
            return
        # Until its first part it has its type's time, then the time of a stream.
        limit = api._limit(self._stream)
        ivk = api._driver.gateway.submit(
            now_ms(),
            wall_ms(),
            Submission(
                self._caller.name,
                action,
                payload,
                trace=api._trace(self._stream),
                limit_ms=limit,
                payload_format="tensors",
                streamed=True,
                client_key=who,
            ),
        )
        ivk.stream_limit_ms = limit
        ivk.on_part = lambda part: self._part(ivk, part)
        ivk.waiters.append(lambda record: self._final(ivk, record))
        self._out[ivk] = (request.id, bool(request.raw_input_contents))
        api._driver.schedule_decisions()

    def _part(self, ivk: Invocation, data: bytes) -> None:
        found = self._out.get(ivk)
        if found is None or self._stream.ended:
            return
        try:
            self._say(self._api.response(ivk.record, found[0], found[1], data))
        except GrpcError as cause:
            del self._out[ivk]
            self._refuse(found[0], ivk.record.path, cause)
            self._api._driver.gateway.on_client_gone(now_ms(), ivk)
            self._api._driver.schedule_decisions()

    def _final(self, ivk: Invocation, record: Record) -> None:
        found = self._out.pop(ivk, None)
        if found is not None and not self._stream.ended:
            if record.answer == "completed" and not record.code:
                try:
                    self._say(self._api.response(record, found[0], found[1], record.result, final_response=True))
                except GrpcError as cause:
                    self._refuse(found[0], record.path, cause)
            else:
                self._refuse(found[0], record.path, self._api.fault(record), record.id)
        self._over()

    def _say(self, response: Any) -> None:
        self._stream.send(pb.ModelStreamInferResponse(infer_response=response).SerializeToString())
        if not self._stream.can_write and not self._held:  # flow control goes on to the workers
            self._held = True
            for ivk in self._out:
                self._api._driver.set_reading(ivk, False)

    def _room(self) -> None:
        self._held = False
        for ivk in list(self._out):
            self._api._driver.set_reading(ivk, True)

    def _refuse(self, id_: str, model: str, cause: GrpcError, activation: str = "") -> None:
        """One request's end within a stream that goes on: the status in the text and in parameters."""
        out = pb.ModelInferResponse(model_name=model, id=id_)
        more: dict[str, Any] = {"final_response": True, "status": cause.code.name, "reason": cause.reason}
        if cause.retry_ms is not None:
            more["retry_after_ms"] = float(cause.retry_ms)
        if activation:
            more["activation_id"] = activation
        write_scalars(out.parameters, more | dict(cause.details))
        self._stream.send(
            pb.ModelStreamInferResponse(
                error_message=f"{cause.code.name}: {cause.text}", infer_response=out
            ).SerializeToString()
        )

    def _ended(self) -> None:
        self._client_ended = True
        self._over()

    def _over(self) -> None:
        if self._client_ended and not self._out and not self._stream.ended:
            self._cancel()
            self._stream.finish()

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _leave(self) -> None:
        out, self._out = self._out, {}
        for ivk in out:
            ivk.waiters.clear()
            ivk.on_part = None
            self._api._driver.gateway.on_client_gone(now_ms(), ivk)
        self._api._driver.schedule_decisions()

    def _gone(self) -> None:
        self._cancel()
        self._leave()

    def _late(self) -> None:
        self._stream.finish(
            Code.DEADLINE_EXCEEDED,
            "The client's deadline has come.",
            None,
            "MAY_HAVE_RUN",
            {"under_way": str(len(self._out))},
        )
        self._leave()


def _nothing() -> None:
    """Stands in for a callback."""
