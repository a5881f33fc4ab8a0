"""The Open Inference Protocol v2 over HTTP with the model repository extension, as workers implement it.

The parameters of a request are sent as one BYTES tensor that holds a JSON object; the `id` is the idempotency key.  A
worker proves that an attempt never ran with the header `never-ran` on its rejection: `full` if it has no capacity,
`miss` if no instance is loaded.  A rejection without the header proves nothing.  Load is reported in the ORCA header
`endpoint-load-metrics` in its TEXT form.  Its metric `found` reports whether an instance was loaded, `company` how many
other requests of the model the worker had.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import quote

import msgspec

from .events import CONTENT_TYPE
from .http import Response, encode_request, encode_response
from .tensors import JsonTensor, TensorError, tensor_values

NEVER_RAN = "never-ran"
LOAD_REPORT = "endpoint-load-metrics"


class InferRequest(msgspec.Struct):
    """The body of `POST /v2/models/{model}/infer`."""

    id: str
    inputs: list[JsonTensor]
    parameters: dict[str, str | int | float | bool] = {}


class InferResponse(msgspec.Struct):
    """The body of the response to an `InferRequest`.  If `parameters.success` is false, the function itself failed."""

    model_name: str
    id: str
    outputs: list[JsonTensor]
    parameters: dict[str, str | int | float | bool] = {}


class LoadRequest(msgspec.Struct):
    """The body of `POST /v2/repository/models/{model}/load`.

    The parameter `copies` is the number of instances to keep loaded.
    """

    parameters: dict[str, str | int | float | bool] = {}


class LoadResponse(msgspec.Struct):
    """The body of the response to a `LoadRequest`; `standing` is the number of loaded instances."""

    standing: int = 0
    error: str = ""


class TensorsRequest(msgspec.Struct, omit_defaults=True):
    """The body of an attempt whose payload is tensors of the caller; `outputs` names the requested output tensors."""

    id: str
    inputs: msgspec.Raw
    parameters: dict[str, str | int | float | bool] = {}
    outputs: msgspec.Raw = msgspec.Raw(b"[]")


class Payload(msgspec.Struct, omit_defaults=True):
    """The payload of a tensor request, as it is stored."""

    inputs: msgspec.Raw
    outputs: msgspec.Raw = msgspec.Raw(b"[]")
    parameters: dict[str, str | int | float | bool] = {}


class MalformedError(Exception):
    """Raised for a body that does not follow the protocol."""


_encode = msgspec.json.Encoder().encode
_decode_request = msgspec.json.Decoder(InferRequest).decode
_decode_response = msgspec.json.Decoder(InferResponse).decode
_decode_load_request = msgspec.json.Decoder(LoadRequest).decode
_decode_payload = msgspec.json.Decoder(Payload).decode
_decode_load_response = msgspec.json.Decoder(LoadResponse).decode


def infer_request(
    host: str,
    model: str,
    request_id: str,
    payload: bytes,
    parameters: dict[str, str | int | float | bool],
    headers: dict[str, str],
    form: str = "json",
) -> bytes:
    """Encode the request of one attempt.

    `form` is the form of `payload`: "json", or "tensors" for an encoded `Payload`, whose parameters are included but
    never override `parameters`.
    """
    body: InferRequest | TensorsRequest
    if form == "tensors":
        tensors = _decode_payload(payload)
        body = TensorsRequest(request_id, tensors.inputs, tensors.parameters | parameters, tensors.outputs)
    else:
        body = InferRequest(request_id, [JsonTensor("params", "BYTES", [1], [payload.decode()])], parameters)
    return encode_request("POST", f"/v2/models/{quote(model, safe='')}/infer", host, _encode(body), headers)


class ParsedInfer(NamedTuple):
    """The body of an attempt and its JSON text, which is empty for a tensor request."""

    request: InferRequest
    payload: str


def read_infer(body: bytes) -> ParsedInfer:
    """Parse the body of an attempt.  Raises `MalformedError`."""
    try:
        request = _decode_request(body)
        if request.parameters.get("form") == "tensors":
            for tensor in request.inputs:
                tensor_values(tensor)
            return ParsedInfer(request, "")
        return ParsedInfer(request, _only_element(request.inputs, "params"))
    except TensorError as cause:
        raise MalformedError(str(cause)) from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as cause:
        raise MalformedError(str(cause)) from None


def tensors_answer(
    model: str, request_id: str, outputs: list[JsonTensor], **parameters: str | int | float | bool
) -> bytes:
    """Encode the body of a response in tensors."""
    return _encode(InferResponse(model, request_id, outputs, parameters))


def infer_answer(model: str, request_id: str, result: str, success: bool) -> bytes:
    """Encode the body of a response with a JSON result."""
    response = InferResponse(model, request_id, [JsonTensor("result", "BYTES", [1], [result])], {"success": success})
    return _encode(response)


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """Content of a worker's response to an attempt.

    `load_failed` is whether the worker reports that the model could not be loaded.  `instance_loaded` is None if it was
    not reported.  `other_requests` is the reported number of other requests of the model at the worker, capped at 30.
    `report` is the load report, by metric name.
    """

    kind: str  # "completed", "error", "full" or "miss"
    result: bytes = b""
    success: bool = True
    load_failed: bool = False
    instance_loaded: bool | None = None
    other_requests: int = 0
    report: dict[str, float] | None = None
    streamed: bool = False  # whether its parts were passed on as they arrived


class ResultPart(NamedTuple):
    """One response of the protocol; `result` is in the form of the request (JSON or tensors)."""

    result: bytes
    is_last: bool
    success: bool


def read_part(data: bytes, request_id: str, form: str = "json") -> ResultPart:
    """Parse one response body.  Raises `MalformedError`, also if its `id` is not `request_id`."""
    try:
        body = _decode_response(data)
        if body.id != request_id:  # an answer to another request proves nothing about this attempt
            raise MalformedError(f"the answer has the id {body.id!r} of another request, not {request_id!r}")
        if form == "tensors":
            result = _encode(
                {"outputs": body.outputs}
                | (
                    {"parameters": parameters}
                    if (parameters := {k: v for k, v in body.parameters.items() if k not in ("success", "final")})
                    else {}
                )
            )
        elif body.parameters.get("final") is True and not body.outputs:  # the last part of a stream may have no result
            result = b"{}"
        else:
            result = _only_element(body.outputs, "result").encode()
            msgspec.json.decode(result)
    except (msgspec.MsgspecError, UnicodeDecodeError) as cause:
        raise MalformedError(str(cause)) from None
    return ResultPart(result, body.parameters.get("final") is True, bool(body.parameters.get("success", True)))


def read_answer(response: Response, request_id: str, form: str = "json") -> WorkerAnswer:
    """Parse the response to an attempt.

    A response that does not follow the protocol has the kind "error": the attempt may have run.
    """
    report = read_load_report(response.headers.get(LOAD_REPORT))
    instance_loaded, other_requests = None, 0
    if report is not None:
        instance_loaded = {0.0: False, 1.0: True}.get(report.pop("found", -1.0))
        other_requests = max(0, min(30, int(report.pop("company", 0.0))))
    if response.status == 200:
        if response.headers.get("content-type", "").startswith(CONTENT_TYPE):
            return WorkerAnswer("completed", b"{}", True, False, instance_loaded, other_requests, report, streamed=True)
        try:
            result, _, success = read_part(response.body, request_id, form)
        except MalformedError:
            return WorkerAnswer("error", report=report)
        return WorkerAnswer("completed", result, success, False, instance_loaded, other_requests, report)
    proof = response.headers.get(NEVER_RAN)
    load_failed = response.headers.get("load-failed") == "1"
    if response.status == 503 and proof == "full":
        return WorkerAnswer("full", other_requests=other_requests, report=report)
    if response.status == 404 and proof == "miss":
        return WorkerAnswer("miss", load_failed=load_failed, report=report)
    return WorkerAnswer("error", load_failed=load_failed, report=report)


def load_request(host: str, model: str, copies: int, dispatcher: str) -> bytes:
    """Encode a load order, which requests a worker to keep `copies` instances of the model loaded."""
    body = _encode(LoadRequest({"copies": copies, "dispatcher": dispatcher}))
    return encode_request("POST", f"/v2/repository/models/{quote(model, safe='')}/load", host, body)


class LoadOrderBody(NamedTuple):
    """A load order as a worker receives it: the number of instances and the requesting dispatcher."""

    instances: int
    dispatcher: str


def read_load(body: bytes) -> LoadOrderBody:
    """Parse the body of a load order.  Raises `MalformedError`."""
    try:
        request = _decode_load_request(body or b"{}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as cause:
        raise MalformedError(str(cause)) from None
    copies = request.parameters.get("copies", 1)
    if not isinstance(copies, int) or isinstance(copies, bool) or not 0 <= copies <= 16:
        raise MalformedError("copies is a whole number from 0 to 16")
    return LoadOrderBody(copies, str(request.parameters.get("dispatcher", "")))


class LoadResult(NamedTuple):
    """How a load order ended ("completed", "full" or "error") and the number of loaded instances."""

    kind: str
    loaded_instances: int


def read_loaded(response: Response) -> LoadResult:
    """Parse the response to a load order."""
    try:
        body = _decode_load_response(response.body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return LoadResult("error", 0)
    kind = {200: "completed", 503: "full"}.get(response.status, "error")
    return LoadResult(kind, max(0, body.standing))


def error_response(status: int, text: str, headers: dict[str, str] | None = None) -> bytes:
    """Encode an error response of the protocol: `{"error": text}`."""
    return encode_response(status, _encode({"error": text}), headers)


def read_load_report(text: str | None) -> dict[str, float] | None:
    """Return the values of an ORCA header in TEXT form by metric name, or None for another form.

    `cpu_utilization` is renamed to `util`; malformed fields are skipped.
    """
    if not text or not text.startswith("TEXT "):
        return None
    metrics: dict[str, float] = {}
    for part in text[5:].split(","):
        name, equals, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if equals and number == number and abs(number) < 1e9:
            metrics["util" if name == "cpu_utilization" else name.removeprefix("named_metrics.")] = number
    return metrics


def write_report(util: float, **named: float) -> str:
    """Encode an ORCA header in TEXT form."""
    named_metrics = "".join(f", named_metrics.{name}={value:g}" for name, value in named.items())
    return f"TEXT cpu_utilization={util:.3g}{named_metrics}"


def _only_element(tensors: list[JsonTensor], name: str) -> str:
    for tensor in tensors:
        if tensor.name == name:
            if (
                tensor.datatype != "BYTES"
                or tensor.shape != [1]
                or len(tensor.data) != 1
                or (not isinstance(tensor.data[0], str))
            ):
                raise MalformedError(f"tensor {name} is one BYTES element")
            return tensor.data[0]
    raise MalformedError(f"no tensor {name}")
