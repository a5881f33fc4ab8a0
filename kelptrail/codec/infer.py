"""The Open Inference Protocol v2 over HTTP with the model repository extension, as workers speak it.

An activation's parameters travel as one BYTES tensor that holds a JSON object, its mark against repeats as the
request's `id`.  A worker proves that a send never ran by the header `never-ran` on its refusal (`full` or
`miss`); a refusal without it proves nothing.  Load is reported by the ORCA header `endpoint-load-metrics` in
its TEXT form; `found` and `company` tell whether a copy stood loaded and how many others of the model were there.
"""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from .events import CONTENT_TYPE
from .http import Response, encode_request, encode_response
from .tensors import JsonTensor, TensorError, values_of
from .tensors import JsonTensor as Tensor

NEVER_RAN = "never-ran"
LOAD_REPORT = "endpoint-load-metrics"


class InferRequest(msgspec.Struct):
    """The body of `POST /v2/models/{model}/infer`."""

    id: str
    inputs: list[JsonTensor]
    parameters: dict[str, str | int | float | bool] = {}


class InferResponse(msgspec.Struct):
    """The body of its answer; `parameters.success` false: the function itself failed."""

    model_name: str
    id: str
    outputs: list[JsonTensor]
    parameters: dict[str, str | int | float | bool] = {}


class LoadRequest(msgspec.Struct):
    """The body of `POST /v2/repository/models/{model}/load`; `copies` is the number to hold."""

    parameters: dict[str, str | int | float | bool] = {}


class LoadResponse(msgspec.Struct):
    """Its answer: how many copies stand."""

    standing: int = 0
    error: str = ""


class TensorsRequest(msgspec.Struct, omit_defaults=True):
    """The body of a send whose payload is the caller's own tensors; `outputs` names those that it wants."""

    id: str
    inputs: msgspec.Raw
    parameters: dict[str, str | int | float | bool] = {}
    outputs: msgspec.Raw = msgspec.Raw(b"[]")


class Payload(msgspec.Struct, omit_defaults=True):
    """What a call in tensors carries, as it is kept."""

    inputs: msgspec.Raw
    outputs: msgspec.Raw = msgspec.Raw(b"[]")
    parameters: dict[str, str | int | float | bool] = {}


class MalformedError(Exception):
    """A body that is not of the protocol."""


_encode = msgspec.json.Encoder().encode
_request = msgspec.json.Decoder(InferRequest).decode
_response = msgspec.json.Decoder(InferResponse).decode
_load = msgspec.json.Decoder(LoadRequest).decode
_payload = msgspec.json.Decoder(Payload).decode
_loaded = msgspec.json.Decoder(LoadResponse).decode


def infer_request(
    host: str,
    model: str,
    mark: str,
    payload: bytes,
    parameters: dict[str, str | int | float | bool],
    headers: dict[str, str],
    form: str = "json",
) -> bytes:
    """A send, as bytes.  A caller's own parameters go along, but never in place of ours."""
    body: InferRequest | TensorsRequest
    if form == "tensors":
        kept = _payload(payload)
        body = TensorsRequest(mark, kept.inputs, kept.parameters | parameters, kept.outputs)
    else:
        body = InferRequest(mark, [Tensor("params", "BYTES", [1], [payload.decode()])], parameters)
    return encode_request("POST", f"/v2/models/{quote(model, safe='')}/infer", host, _encode(body), headers)


def read_infer(body: bytes) -> tuple[InferRequest, str]:
    """A send's body and the JSON text it carries, empty for a call in tensors.  Raises `MalformedError`."""
    try:
        request = _request(body)
        if request.parameters.get("form") == "tensors":
            for tensor in request.inputs:
                values_of(tensor)
            return request, ""
        return request, _only(request.inputs, "params")
    except TensorError as cause:
        raise MalformedError(str(cause)) from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as cause:
        raise MalformedError(str(cause)) from None


def tensors_answer(model: str, mark: str, outputs: list[JsonTensor], **parameters: str | int | float | bool) -> bytes:
    """The body of an answer in tensors."""
    return _encode(InferResponse(model, mark, outputs, parameters))


def infer_answer(model: str, mark: str, result: str, success: bool) -> bytes:
    """The body of an answer."""
    out = InferResponse(model, mark, [Tensor("result", "BYTES", [1], [result])], {"success": success})
    return _encode(out)


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """What a worker's response to a send says."""

    kind: str  # "completed", "error", "full" or "miss"
    result: bytes = b""
    success: bool = True
    load_failed: bool = False
    instance_loaded: bool | None = None
    other_instances: int = 0
    report: dict[str, float] | None = None
    streamed: bool = False  # its parts were read as they came


def read_part(data: bytes, mark: str, form: str = "json") -> tuple[bytes, bool, bool]:
    """One answer of the protocol: the result in its form, whether it is the last, whether it succeeded.
    Raises `MalformedError`."""
    try:
        body = _response(data)
        if body.id != mark:  # an answer to something else proves nothing of this send
            raise MalformedError("an answer to another call")
        if form == "tensors":
            result = _encode(
                {"outputs": body.outputs}
                | (
                    {"parameters": own}
                    if (own := {k: v for k, v in body.parameters.items() if k not in ("success", "final")})
                    else {}
                )
            )
        elif body.parameters.get("final") is True and not body.outputs:  # the end of a stream needs no result
            result = b"{}"
        else:
            result = _only(body.outputs, "result").encode()
            msgspec.json.decode(result)
    except (msgspec.MsgspecError, UnicodeDecodeError) as cause:
        raise MalformedError(str(cause)) from None
    return result, body.parameters.get("final") is True, bool(body.parameters.get("success", True))


def read_answer(response: Response, mark: str, form: str = "json") -> WorkerAnswer:
    """A response to a send.  Whatever is not of the protocol is an error that may have run."""
    report = load_report(response.headers.get(LOAD_REPORT))
    found, company = None, 0
    if report is not None:
        found = {0.0: False, 1.0: True}.get(report.pop("found", -1.0))
        company = max(0, min(30, int(report.pop("company", 0.0))))
    if response.status == 200:
        if response.headers.get("content-type", "").startswith(CONTENT_TYPE):
            return WorkerAnswer("completed", b"{}", True, False, found, company, report, streamed=True)
        try:
            result, _, success = read_part(response.body, mark, form)
        except MalformedError:
            return WorkerAnswer("error", report=report)
        return WorkerAnswer("completed", result, success, False, found, company, report)
    proof = response.headers.get(NEVER_RAN)
    failed = response.headers.get("load-failed") == "1"
    if response.status == 503 and proof == "full":
        return WorkerAnswer("full", other_instances=company, report=report)
    if response.status == 404 and proof == "miss":
        return WorkerAnswer("miss", load_failed=failed, report=report)
    return WorkerAnswer("error", load_failed=failed, report=report)


def load_request(host: str, model: str, copies: int, dispatcher: str) -> bytes:
    """A hold order, as bytes."""
    body = _encode(LoadRequest({"copies": copies, "dispatcher": dispatcher}))
    return encode_request("POST", f"/v2/repository/models/{quote(model, safe='')}/load", host, body)


def read_load(body: bytes) -> tuple[int, str]:
    """The copies asked for and by whom.  Raises `MalformedError`."""
    try:
        request = _load(body or b"{}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as cause:
        raise MalformedError(str(cause)) from None
    copies = request.parameters.get("copies", 1)
    if not isinstance(copies, int) or isinstance(copies, bool) or not 0 <= copies <= 16:
        raise MalformedError("copies is a whole number from 0 to 16")
    return copies, str(request.parameters.get("dispatcher", ""))


def read_loaded(response: Response) -> tuple[str, int]:
    """How a hold order ended ("completed", "full" or "error") and how many copies stand."""
    try:
        body = _loaded(response.body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return "error", 0
    kind = {200: "completed", 503: "full"}.get(response.status, "error")
    return kind, max(0, body.standing)


def error_response(status: int, text: str, headers: dict[str, str] | None = None) -> bytes:
    """An error as the protocol words it: `{"error": text}`."""
    return encode_response(status, _encode({"error": text}), headers)


def load_report(text: str | None) -> dict[str, float] | None:
    """An ORCA header in TEXT form to the names that the decisions know, or None.  Bad fields are passed over."""
    if not text or not text.startswith("TEXT "):
        return None
    out: dict[str, float] = {}
    for part in text[5:].split(","):
        name, equals, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if equals and number == number and abs(number) < 1e9:
            out["util" if name == "cpu_utilization" else name.removeprefix("named_metrics.")] = number
    return out


def write_report(util: float, **named: float) -> str:
    """The ORCA header in TEXT form."""
    rest = "".join(f", named_metrics.{name}={value:g}" for name, value in named.items())
    return f"TEXT cpu_utilization={util:.3g}{rest}"


def _only(tensors: list[Tensor], name: str) -> str:
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
