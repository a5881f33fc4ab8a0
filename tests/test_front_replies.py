"""Error replies of both APIs, compared exactly: status, headers and body."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import Callable
from typing import Any

import grpc
import msgspec
import pytest
from program import (
    DEPLOYMENT,
    Dispatcher,
    ScriptedWorker,
    answer,
    authorization,
    never_answer,
    run,
    running_dispatcher,
    send_request,
)

from kelptrail.codec.grpc import read_trailers
from kelptrail.codec.http import encode_request
from kelptrail.front.inference import inference_pb2 as pb
from kelptrail.membership.members import EndpointList, Peer, id_prefix
from kelptrail.settings.deployment import parse

BASE = "/api/v1/namespaces/_"
BOOT = "b" * 16
SERVICE = "/inference.GRPCInferenceService/"


class FakeLookup:
    """Answers each lookup of an activation with the next of the given results."""

    def __init__(self, *results: str | None) -> None:
        self.results = list(results)
        self.targets: list[str] = []

    def find(self, target: str, on_result: Callable[[str | None], None]) -> None:
        self.targets.append(target)
        on_result(self.results.pop(0))


async def request(
    dispatcher: Dispatcher, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> tuple[int, dict[str, str], str]:
    """Send a request; return the status, the headers that not every reply has, and the body."""
    data = encode_request(method, target, "x", body, authorization() | (headers or {}))
    return await send(dispatcher, data)


async def send(dispatcher: Dispatcher, data: bytes) -> tuple[int, dict[str, str], str]:
    reply = await send_request(dispatcher.server.address, data)
    headers = dict(reply.headers)
    assert headers.pop("content-type") == "application/json" and int(headers.pop("content-length")) == len(reply.body)
    return reply.status, headers, reply.body.decode()


def error(status: int, message: str, code: int | str, headers: dict[str, str] | None = None, **details: Any) -> Any:
    """Return the expected reply with an error body; an int `code` is the number of the request since the start."""
    shown_code = code if isinstance(code, str) else f"{BOOT[:8]}{code:x}"
    body = msgspec.json.encode({"error": message, "code": shown_code} | details).decode()
    return status, headers or {}, body


def activation_id(number: int) -> str:
    return f"{BOOT}{number:016x}"


@pytest.mark.parametrize(
    ("method", "target", "headers", "body", "status", "reply_headers", "message"),
    [
        ("GET", "/elsewhere", {}, b"", 404, {}, "The requested resource does not exist."),
        ("POST", "/api/v1", {}, b"", 405, {"allow": "GET"}, "Only GET can be used here."),
        ("GET", "/api/v1/nothing", {}, b"", 404, {}, "The requested resource does not exist."),
        ("POST", "/api/v1/namespaces", {}, b"", 405, {"allow": "GET"}, "Only GET can be used here."),
        (
            "GET",
            "/api/v1/namespaces/two/actions",
            {},
            b"",
            403,
            {},
            "The supplied authentication is not authorized to access this resource.",
        ),
        ("GET", f"{BASE}", {}, b"", 404, {}, "The requested resource does not exist."),
        ("GET", f"{BASE}/rules", {}, b"", 404, {}, "The requested resource does not exist."),
        ("GET", f"{BASE}/actions/a/b/c", {}, b"", 404, {}, "The requested resource does not exist."),
        ("GET", f"{BASE}/activations/a/b/c", {}, b"", 404, {}, "The requested resource does not exist."),
        (
            "GET",
            f"{BASE}/actions",
            {"authorization": ""},
            b"",
            401,
            {"www-authenticate": 'Basic realm="kelptrail"'},
            "The supplied authentication is invalid.",
        ),
        (
            "GET",
            f"{BASE}/actions",
            {"authorization": "Basic !!"},
            b"",
            401,
            {"www-authenticate": 'Basic realm="kelptrail"'},
            "The supplied authentication is invalid.",
        ),
        (
            "GET",
            f"{BASE}/actions",
            {"authorization": "Bearer abc"},
            b"",
            401,
            {"www-authenticate": 'Basic realm="kelptrail"'},
            "The supplied authentication is invalid.",
        ),
        (
            "GET",
            f"{BASE}/actions",
            authorization(key="wrong"),
            b"",
            401,
            {"www-authenticate": 'Basic realm="kelptrail"'},
            "The supplied authentication is invalid.",
        ),
        (
            "GET",
            "/api/v1/nothing",
            {"authorization": ""},
            b"",
            401,
            {"www-authenticate": 'Basic realm="kelptrail"'},
            "The supplied authentication is invalid.",
        ),
        ("POST", f"{BASE}/actions", {}, b"", 405, {"allow": "GET"}, "Only GET can be used here."),
        (
            "DELETE",
            f"{BASE}/actions/grant",
            {},
            b"",
            405,
            {"allow": "GET, POST"},
            "Only GET and POST can be used here.",
        ),
        ("GET", f"{BASE}/actions/none", {}, b"", 404, {}, "The requested resource does not exist."),
        ("POST", f"{BASE}/actions/check", {}, b"", 404, {}, "The requested resource does not exist."),
        (
            "GET",
            f"{BASE}/actions?limit=-1",
            {},
            b"",
            400,
            {},
            "The query parameter 'limit' is a whole number from 0 to 200, not '-1'.",
        ),
        (
            "GET",
            f"{BASE}/actions?limit=201",
            {},
            b"",
            400,
            {},
            "The query parameter 'limit' is a whole number from 0 to 200, not '201'.",
        ),
        (
            "GET",
            f"{BASE}/actions?limit=",
            {},
            b"",
            400,
            {},
            "The query parameter 'limit' is a whole number from 0 to 200, not ''.",
        ),
        (
            "GET",
            f"{BASE}/actions?skip=x",
            {},
            b"",
            400,
            {},
            "The query parameter 'skip' is a whole number from 0 to 1000000000, not 'x'.",
        ),
        (
            "GET",
            f"{BASE}/actions?skip=1e3",
            {},
            b"",
            400,
            {},
            "The query parameter 'skip' is a whole number from 0 to 1000000000, not '1e3'.",
        ),
        (
            "GET",
            f"{BASE}/actions?skip=9999999999",
            {},
            b"",
            400,
            {},
            "The query parameter 'skip' is a whole number from 0 to 1000000000, not '9999999999'.",
        ),
        (
            "GET",
            f"{BASE}/activations?limit=201",
            {},
            b"",
            400,
            {},
            "The query parameter 'limit' is a whole number from 0 to 200, not '201'.",
        ),
        (
            "GET",
            f"{BASE}/activations?since=1e3",
            {},
            b"",
            400,
            {},
            "The query parameter 'since' is a whole number from 0 to 1000000000000000, not '1e3'.",
        ),
        (
            "GET",
            f"{BASE}/activations?upto=-1",
            {},
            b"",
            400,
            {},
            "The query parameter 'upto' is a whole number from 0 to 1000000000000000, not '-1'.",
        ),
        (
            "GET",
            f"{BASE}/activations?count=yes",
            {},
            b"",
            400,
            {},
            "The query parameter 'count' is true or false, not 'yes'.",
        ),
        (
            "GET",
            f"{BASE}/activations?docs=mmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmm",
            {},
            b"",
            400,
            {},
            "The query parameter 'docs' is true or false, not 'mmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmm'.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant?timeout=0",
            {},
            b"",
            400,
            {},
            "The query parameter 'timeout' is a whole number from 1 to 60000, not '0'.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant?timeout=99999999",
            {},
            b"",
            400,
            {},
            "The query parameter 'timeout' is a whole number from 1 to 60000, not '99999999'.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant?timeout=" + "9" * 50,
            {},
            b"",
            400,
            {},
            f"The query parameter 'timeout' is a whole number from 1 to 60000, not '{'9' * 40}'.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant?blocking=maybe",
            {},
            b"",
            400,
            {},
            "The query parameter 'blocking' is true or false, not 'maybe'.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant?result=1",
            {},
            b"",
            400,
            {},
            "The query parameter 'result' is true or false, not '1'.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant",
            {"content-type": "text/plain"},
            b"{}",
            415,
            {},
            "The body is application/json.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant",
            {},
            b"[1]",
            400,
            {},
            "The request content was malformed: a JSON object is expected.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant",
            {},
            b"{",
            400,
            {},
            "The request content was malformed: Input data was truncated",
        ),
        (
            "POST",
            f"{BASE}/actions/grant",
            {},
            b'{"a":"\xff"}',
            400,
            {},
            "The request content was malformed: 'utf-8' codec can't decode byte 0xff in position 6: invalid start byte",
        ),
        (
            "POST",
            f"{BASE}/actions/grant",
            {},
            b"7",
            400,
            {},
            "The request content was malformed: a JSON object is expected.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant",
            {"idempotency-key": ""},
            b"{}",
            400,
            {},
            "An Idempotency-Key has 1 to 255 characters.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant",
            {"idempotency-key": "k" * 256},
            b"{}",
            400,
            {},
            "An Idempotency-Key has 1 to 255 characters.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant",
            {"accept": "text/event-stream"},
            b"{}",
            400,
            {},
            "A streamed call is blocking and takes no Idempotency-Key.",
        ),
        (
            "POST",
            f"{BASE}/actions/grant?blocking=true",
            {"accept": "text/event-stream", "idempotency-key": "k"},
            b"{}",
            400,
            {},
            "A streamed call is blocking and takes no Idempotency-Key.",
        ),
        ("POST", f"{BASE}/activations", {}, b"", 405, {"allow": "GET"}, "Only GET can be used here."),
        ("DELETE", f"{BASE}/activations", {}, b"", 405, {"allow": "GET"}, "Only GET can be used here."),
        (
            "PUT",
            f"{BASE}/activations/x",
            {},
            b"",
            405,
            {"allow": "GET, DELETE"},
            "Only GET and DELETE can be used here.",
        ),
        ("DELETE", f"{BASE}/activations/x/logs", {}, b"", 405, {"allow": "GET"}, "Only GET can be used here."),
        (
            "GET",
            f"{BASE}/activations/x",
            {},
            b"",
            404,
            {},
            "This dispatcher does not know the activation; whoever gave the id may.",
        ),
        (
            "GET",
            f"{BASE}/activations/bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb",
            {},
            b"",
            404,
            {},
            "The requested resource does not exist: its record is not, or no longer, kept here.",
        ),
        (
            "GET",
            f"{BASE}/activations/bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb/logs",
            {},
            b"",
            404,
            {},
            "The requested resource does not exist: its record is not, or no longer, kept here.",
        ),
    ],
)
def test_replies_to_invalid_requests(
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    status: int,
    reply_headers: dict[str, str],
    message: str,
) -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            reply = await request(dispatcher, method, target, headers, body)
            assert reply == error(status, message, 1, reply_headers)
            assert dispatcher.gateway.counts.received == 0

    run(main())


def test_replies_to_invocations_that_are_not_accepted() -> None:
    target, retry = f"{BASE}/actions/activate", {"retry-after": "1"}

    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            http_1_0_request = encode_request(
                "POST", f"{target}?blocking=true", "x", b"{}", authorization() | {"accept": "text/event-stream"}
            ).replace(b"HTTP/1.1", b"HTTP/1.0")
            assert await send(dispatcher, http_1_0_request) == error(
                406, "HTTP/1.0 has no streamed answers.", 1, {"connection": "close"}
            )
            key = {"idempotency-key": "k"}
            assert (await request(dispatcher, "POST", f"{target}?blocking=true", key, b'{"a":1}'))[0] == 200
            reply = await request(dispatcher, "POST", f"{target}?blocking=true", key, b'{"a":2}')
            assert reply[0] == 409 and reply[2].startswith('{"error":"Conflict: ')
            dispatcher.api.context.draining = True
            reply = await request(dispatcher, "POST", target, None, b"{")
            assert reply == error(503, "This dispatcher is closing; the call was not taken.", 4, retry)
            dispatcher.api.context.draining = False
            dispatcher.gateway.accepts_deferred = lambda: False  # type: ignore[method-assign]
            reply = await request(dispatcher, "POST", target, None, b"{}")
            message = "Deferred calls cannot be kept safe at the moment; the call was not taken."
            assert reply == error(503, message, 5, retry)
            assert dispatcher.gateway.counts.received == 1

    run(main())


def test_replies_at_the_limits_of_bodies_and_namespaces() -> None:
    text = DEPLOYMENT.replace("(records 1000)", "(records 1000) (held-each 1)")

    async def main() -> None:
        worker = ScriptedWorker("w", never_answer)
        dispatcher = Dispatcher([worker], parse(text, "t"), BOOT)
        call = asyncio.create_task(request(dispatcher, "POST", f"{BASE}/actions/grant?blocking=true", None, b"{}"))
        while not dispatcher.gateway.in_flight:
            await asyncio.sleep(0.01)
        reply = await request(dispatcher, "POST", f"{BASE}/actions/grant", None, b"{}")
        message = "Too many concurrent requests in flight for this namespace."
        details = {"answer": "rejected", "retry_after_ms": 1000.0}
        assert reply == error(429, message, 2, {"retry-after": "1"}, **details)
        assert (await call)[0] == 502
        await dispatcher.server.drain(0)
        await worker.server.drain(0)

    run(main())


def test_replies_to_polls_and_cancels() -> None:
    async def main() -> None:
        async with running_dispatcher(never_answer) as (dispatcher, (worker,)):
            accepted = await request(dispatcher, "POST", f"{BASE}/actions/grant", None, b"{}")
            id_ = activation_id(1)
            assert accepted == (202, {"x-openwhisk-activation-id": id_}, f'{{"activationId":"{id_}"}}')
            target, retry = f"{BASE}/activations/{id_}", {"retry-after": "1"}
            in_flight = "The activation is in hand and has no result yet."
            assert await request(dispatcher, "GET", target) == error(404, in_flight, 2, retry)
            assert await request(dispatcher, "GET", f"{target}/result") == error(404, in_flight, 3, retry)
            assert await request(dispatcher, "GET", f"{target}?wait=20") == error(404, in_flight, 4, retry)
            missing = "The requested resource does not exist."
            assert await request(dispatcher, "GET", f"{target}/other") == error(404, missing, 5)
            message = "The query parameter 'wait' is a whole number from 0 to 60000, not 'x'."
            assert await request(dispatcher, "GET", f"{target}?wait=x") == error(400, message, 6)
            while not worker.attempts:
                await asyncio.sleep(0.01)
            message = "The activation may have run; cancelling would not undo its effect."
            assert await request(dispatcher, "DELETE", target) == error(409, message, 7)
            await dispatcher.wait_for_record(id_)
            status, _, body = await request(dispatcher, "DELETE", target)
            message = "The activation has its final answer, or is being resumed; nothing was cancelled."
            assert status == 409 and msgspec.json.decode(body)["error"] == message
            assert (await request(dispatcher, "POST", f"{BASE}/actions/p/check", None, b"{}"))[0] == 202
            id_ = activation_id(2)
            reply = await request(dispatcher, "DELETE", f"{BASE}/activations/{id_}")
            assert reply == (202, {}, f'{{"activationId":"{id_}"}}')

    run(main())


def test_replies_about_activations_of_other_dispatchers() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, (worker,)):
            peers = [Peer("one", "127.0.0.1:1234")]
            dispatcher.driver.on_endpoints(EndpointList(9, [worker.endpoint], "test", peers))
            target = f"{BASE}/activations/{id_prefix('one')}{'0' * 26}"
            reply = await request(dispatcher, "GET", f"{target}?wait=5")
            location = {"location": f"http://127.0.0.1:1234{target}?wait=5"}
            assert reply == error(307, "The activation was given by one; ask there.", 1, location)
            lookup = dispatcher.api.context.activation_lookup = FakeLookup("h:1", None, "", "h:1")
            location = {"location": f"http://h:1{target}"}
            message = "The activation is at h:1 now; ask there."
            assert await request(dispatcher, "GET", target) == error(307, message, 2, location)
            message = (
                "No dispatcher knows the activation: it never was, or is no longer kept, or all that held it are lost."
            )
            assert await request(dispatcher, "GET", target) == error(404, message, 3)
            message = "The activation is not known yet: whoever may have it is being taken over, or cannot be heard."
            reply = await request(dispatcher, "GET", target)
            assert reply == error(404, message, 4, {"retry-after": "1"}, known="not-yet")
            message = "The activation is at h:1 now; ask there."
            assert await request(dispatcher, "DELETE", target) == error(307, message, 5, location)
            assert lookup.targets == [target.rpartition("/")[2]] * 4

    run(main())


def test_replies_about_keys_of_other_dispatchers() -> None:
    target, key = f"{BASE}/actions/activate", {"idempotency-key": "k"}

    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            lookup = dispatcher.api.context.activation_lookup = FakeLookup("h:1", "", None)
            message = "The call under this key is at h:1 now; ask there."
            reply = await request(dispatcher, "POST", target, key, b"{}")
            assert reply == error(307, message, 1, {"location": f"http://h:1{target}"})
            message = "Whether a call under this key was taken is not known yet; nothing was done."
            reply = await request(dispatcher, "POST", target, key, b"{}")
            assert reply == error(503, message, 2, {"retry-after": "1"})
            reply = await request(dispatcher, "POST", target, key, b"{}")
            id_ = activation_id(1)
            assert reply == (202, {"x-openwhisk-activation-id": id_}, f'{{"activationId":"{id_}"}}')
            assert lookup.targets == ["key:one/activate/k"] * 3
            status, _, body = await request(dispatcher, "POST", target, key, b'{"a":1}')
            assert status == 409 and msgspec.json.decode(body)["code"] == "bbbbbbbb4"

    run(main())


def test_replies_when_a_deferred_request_is_not_durable() -> None:
    target, retry = f"{BASE}/actions/grant", {"retry-after": "1"}
    not_accepted = "The call could not be kept safe and was not taken."
    unknown = "Another dispatcher has taken over; whether it has this call is not known here.  Ask before a repeat."

    async def main() -> None:
        async with running_dispatcher(never_answer) as (dispatcher, _):
            durable: bool | None = False
            dispatcher.gateway.when_durable = lambda invocation, done: done(durable)  # type: ignore[method-assign]
            reply = await request(dispatcher, "POST", target, None, b"{}")
            assert reply == error(503, not_accepted, "journal", retry)
            assert dispatcher.gateway.counts.failed == 1, "the request was not accepted and ends as failed"
            durable = None
            reply = await request(dispatcher, "POST", target, None, b"{}")
            assert reply == error(500, unknown, "unknown", activationId=activation_id(2))
            lookup = dispatcher.api.context.activation_lookup = FakeLookup("", "h:1", None)
            reply = await request(dispatcher, "POST", target, None, b"{}")
            id_ = activation_id(3)
            headers = {"x-openwhisk-activation-id": id_}
            headers["location"] = f"http://h:1/api/v1/namespaces/one/activations/{id_}"
            assert reply == (202, headers, f'{{"activationId":"{id_}"}}')
            reply = await request(dispatcher, "POST", target, None, b"{}")
            assert reply == error(503, not_accepted, "journal", retry)
            assert lookup.targets == [activation_id(3)] * 2 + [activation_id(4)]

    run(main())


# Inference API.


Status = tuple[str, str, float | None, str, dict[str, str]]


class InferenceClient:
    """Client that returns the complete content of an error status."""

    def __init__(self, dispatcher: Dispatcher, metadata: dict[str, str] | None = None) -> None:
        self.channel = grpc.aio.insecure_channel(dispatcher.grpc.address)
        self.metadata = list((authorization() if metadata is None else metadata).items())

    async def status(self, method: str, message: bytes, path: str = SERVICE) -> Status:
        """Return code, text, retry delay in ms, reason and details of the status that ends a unary call."""
        call = self.channel.unary_unary(path + method)
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            await call(message, metadata=self.metadata)
        return self._read(caught.value)

    @staticmethod
    def _read(cause: grpc.aio.AioRpcError) -> Status:
        encoded_details = dict(cause.trailing_metadata() or ()).get("grpc-status-details-bin", b"")
        trailers = {
            "grpc-status": str(cause.code().value[0]),
            "grpc-status-details-bin": b64encode(encoded_details).decode(),
        }
        status = read_trailers(trailers)
        return cause.code().name, cause.details() or "", status.retry_ms, status.reason, status.details

    async def infer(self, model: str, inputs: Any = (), raw: Any = (), **parameters: Any) -> Status:
        return await self.status("ModelInfer", infer_request(model, inputs, raw, **parameters).SerializeToString())

    async def stream(self, *requests: bytes) -> list[Any]:
        """Return the responses to all requests of one stream."""
        call = self.channel.stream_stream(
            f"{SERVICE}ModelStreamInfer", response_deserializer=pb.ModelStreamInferResponse.FromString
        )
        return [response async for response in call(iter(requests), metadata=self.metadata)]


def infer_request(model: str, inputs: Any = (), raw: Any = (), **parameters: Any) -> Any:
    message = pb.ModelInferRequest(model_name=model, id="7", inputs=inputs, raw_input_contents=raw)
    fields = {bool: "bool_param", int: "int64_param", str: "string_param", float: "double_param"}
    for name, value in parameters.items():
        setattr(message.parameters[name], fields[type(value)], value)
    return message


def tensor(name: str = "t", values: tuple[int, ...] = (1,)) -> Any:
    input_tensor = pb.ModelInferRequest.InferInputTensor(name=name, datatype="INT8", shape=[len(values)])
    input_tensor.contents.int_contents.extend(values)
    return input_tensor


def test_statuses_of_invalid_inference_calls() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            client = InferenceClient(dispatcher)
            invalid = "INVALID_ARGUMENT"
            no_details: tuple[None, str, dict[str, str]] = (None, "", {})
            unauthenticated = ("UNAUTHENTICATED", "The supplied authentication is invalid.", *no_details)
            for metadata in ({}, {"authorization": "Basic !!"}, authorization(key="wrong")):
                assert await InferenceClient(dispatcher, metadata).infer("grant") == unauthenticated
            status = await client.status("Other", b"")
            assert status == ("UNIMPLEMENTED", f"there is no method {SERVICE}Other", *no_details)
            status = await client.status("ModelInfer", b"", "/other.Service/")
            assert status == ("UNIMPLEMENTED", "there is no method /other.Service/ModelInfer", *no_details)
            status = await client.status("ModelInfer", b"\xff\xff")
            assert status[0] == invalid and status[1].startswith("no ModelInferRequest: ")
            status = await client.infer("none")
            assert status == ("NOT_FOUND", "there is no model 'none'", *no_details)
            message = pb.ModelReadyRequest(name="grant", version="3").SerializeToString()
            status = await client.status("ModelReady", message)
            assert status == ("NOT_FOUND", "there is no version '3' of model 'grant', only 1", *no_details)
            status = await client.infer("grant", [tensor()], [b"", b""])
            assert status == (invalid, "2 raw contents for 1 inputs", *no_details)
            status = await client.infer("grant", [tensor("a"), tensor("b"), tensor("a")])
            assert status == (invalid, "tensor 'a' is there twice", *no_details)
            status = await client.infer("grant", [tensor("a", (300,))])
            assert status[0] == invalid and "'a'" in status[1] and status[2:] == (None, "TENSOR", {})
            text = "parameter 'idempotency_key' is a text of 1 to 255 characters"
            for key in ("", "k" * 256, 3):
                assert await client.infer("grant", idempotency_key=key) == (invalid, text, *no_details)
            status = await client.infer("grant", deferred=3)
            assert status == (invalid, "parameter 'deferred' is a bool", *no_details)
            text = "This dispatcher does not know the activation; whoever gave the id may."
            assert await client.infer("grant", poll="0" * 32) == ("NOT_FOUND", text, None, "UNKNOWN_ID", {})
            await client.channel.close()

    run(main())


def test_statuses_of_inference_calls_that_are_not_accepted() -> None:
    text = DEPLOYMENT.replace("(records 1000)", "(records 1000) (held-each 1)")

    async def main() -> None:
        worker = ScriptedWorker("w", never_answer)
        dispatcher = Dispatcher([worker], parse(text, "t"), BOOT)
        client = InferenceClient(dispatcher)
        waiting = asyncio.create_task(client.infer("grant"))
        while not dispatcher.gateway.in_flight:
            await asyncio.sleep(0.01)
        message = "Too many concurrent requests in flight for this namespace."
        assert await client.infer("grant") == ("RESOURCE_EXHAUSTED", message, 1000.0, "NOT_TAKEN", {})
        dispatcher.inference.context.draining = True
        message = "This dispatcher is closing; the call was not taken."
        closing = ("UNAVAILABLE", message, 1000.0, "NOT_TAKEN", {})
        assert await client.infer("grant") == closing
        dispatcher.gateway.accepts_deferred = lambda: False  # type: ignore[method-assign]
        message = "Deferred calls cannot be kept safe at the moment; the call was not taken."
        assert await client.infer("grant", deferred=True) == ("UNAVAILABLE", message, 1000.0, "NOT_TAKEN", {})
        status = await waiting
        details = {
            "activation": activation_id(1),
            "effect": "once-only",
            "sends": "1",
            "retrying": "it may have run; a repeat may have a second effect",
        }
        assert (status[0], *status[2:]) == ("DEADLINE_EXCEEDED", None, "MAY_HAVE_RUN", details)
        await client.channel.close()
        await dispatcher.grpc.drain(0)
        await worker.server.drain(0)

    run(main())


def test_statuses_about_activations_of_other_dispatchers() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, (worker,)):
            client = InferenceClient(dispatcher)
            peers = [Peer("one", "127.0.0.1:1234")]
            dispatcher.driver.on_endpoints(EndpointList(9, [worker.endpoint], "test", peers))
            id_ = id_prefix("one") + "0" * 26
            message = "This dispatcher does not know the activation; whoever gave the id may."
            details = {"asked_at": "127.0.0.1:1234"}
            assert await client.infer("grant", poll=id_) == ("NOT_FOUND", message, None, "ELSEWHERE", details)
            dispatcher.inference.context.activation_lookup = FakeLookup("h:1", None, "")
            message = "Another dispatcher has the activation now."
            status = await client.infer("grant", poll=id_)
            assert status == ("NOT_FOUND", message, None, "ELSEWHERE", {"asked_at": "h:1"})
            message = (
                "No dispatcher knows the activation: it never was, or is no longer kept, or all that held it are lost."
            )
            assert await client.infer("grant", poll=id_) == ("NOT_FOUND", message, None, "UNKNOWN_ID", {})
            message = "The activation is not known yet: whoever may have it is being taken over, or cannot be heard."
            assert await client.infer("grant", poll=id_) == ("UNAVAILABLE", message, 1000.0, "NOT_YET", {})
            await client.channel.close()

    run(main())


def test_statuses_when_a_deferred_inference_is_not_durable() -> None:
    async def main() -> None:
        async with running_dispatcher(never_answer) as (dispatcher, _):
            client = InferenceClient(dispatcher)
            durable: bool | None = False
            dispatcher.gateway.when_durable = lambda invocation, done: done(durable)  # type: ignore[method-assign]
            message = "The call could not be kept safe and was not taken."
            status = await client.infer("grant", deferred=True)
            assert status == ("UNAVAILABLE", message, 1000.0, "NOT_TAKEN", {})
            assert dispatcher.gateway.counts.failed == 1
            durable = None
            message = (
                "Another dispatcher has taken over; whether it has this call "
                f"is not known here.  Ask for {activation_id(2)} before a repeat."
            )
            assert await client.infer("grant", deferred=True) == ("UNKNOWN", message, None, "", {})
            status = await client.infer("grant", poll=activation_id(2))
            message = "The activation is in hand and has no result yet."
            in_flight = ("UNAVAILABLE", message, 1000.0, "IN_HAND", {})
            assert status == in_flight
            assert await client.infer("grant", poll=activation_id(2), wait_ms=20) == in_flight
            message = "parameter 'wait_ms' is a number of milliseconds"
            for wait_ms in (-1, True, "x"):
                status = await client.infer("grant", poll=activation_id(2), wait_ms=wait_ms)
                assert status == ("INVALID_ARGUMENT", message, None, "", {})
            await client.channel.close()

    run(main())


def test_statuses_within_a_stream() -> None:
    text = DEPLOYMENT.replace("(pool ", "(inference (stream-requests 1))\n  (pool ")

    async def main() -> None:
        worker = ScriptedWorker("w", never_answer)
        dispatcher = Dispatcher([worker], parse(text, "t"), BOOT)
        client = InferenceClient(dispatcher)
        requests = [
            infer_request("none"),
            infer_request("grant", [tensor()], idempotency_key="k"),
            infer_request("grant", [tensor()]),
            infer_request("p/check", [tensor()]),
        ]
        responses = await client.stream(*(item.SerializeToString() for item in requests))
        received = [
            (
                response.error_message,
                response.infer_response.id,
                response.infer_response.model_name,
                {
                    name: getattr(value, value.WhichOneof("parameter_choice"))
                    for name, value in response.infer_response.parameters.items()
                },
            )
            for response in responses
        ]
        final = {"final_response": True, "reason": ""}
        message = "NOT_FOUND: there is no model 'none'"
        assert received[0] == (message, "7", "none", final | {"status": "NOT_FOUND"})
        message = "INVALID_ARGUMENT: a streamed request is neither deferred, polled nor marked"
        assert received[1] == (message, "7", "grant", final | {"status": "INVALID_ARGUMENT"})
        message = "RESOURCE_EXHAUSTED: Too many requests are under way in this stream."
        parameters = {"status": "RESOURCE_EXHAUSTED", "reason": "NOT_TAKEN", "retry_after_ms": 1000.0}
        assert received[2] == (message, "7", "p/check", final | parameters)
        assert received[3][0].startswith("DEADLINE_EXCEEDED: ") and received[3][1:3] == ("7", "grant")
        assert received[3][3] == {
            "final_response": True,
            "status": "DEADLINE_EXCEEDED",
            "reason": "MAY_HAVE_RUN",
            "activation_id": activation_id(1),
            "activation": activation_id(1),
            "effect": "once-only",
            "sends": "1",
            "retrying": "it may have run; a repeat may have a second effect",
        }
        assert len(received) == 4
        await client.channel.close()
        await dispatcher.grpc.drain(0)
        await worker.server.drain(0)

    run(main())
