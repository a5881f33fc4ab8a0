"""Functions that render and send the responses of the inference API."""

from __future__ import annotations

import msgspec
from google.protobuf.message import Message

from kelptrail.codec.grpc import Code, GrpcError
from kelptrail.codec.tensors import JsonTensor, Scalar, TensorError, write_parameters, write_tensor
from kelptrail.dispatch.entities import FinalStatus
from kelptrail.gateway.records import Record
from kelptrail.net.grpc_server import GrpcStream

from . import inference_pb2 as pb
from .errors import ErrorReason
from .request_parsing import MODEL_VERSION

TENSORS_FORMAT = "tensors"  # `payload_format` of records whose payload and result are tensors
EMPTY_RESULT = b"{}"  # default result of a record; the final response of a stream omits it


class TensorsResult(msgspec.Struct):
    """A worker's answer to a request with tensors: a result, or a part of one."""

    outputs: list[JsonTensor] = []
    parameters: dict[str, Scalar] = {}


_decode_tensors = msgspec.json.Decoder(TensorsResult).decode


def reply(stream: GrpcStream, message: Message) -> None:
    """Send the response of a unary call and end the call."""
    stream.send(message.SerializeToString())
    stream.finish()


def succeeded(record: Record) -> bool:
    """Return whether the function completed and returned a result, not an error status (`record.code`)."""
    return record.answer == FinalStatus.COMPLETED and not record.code


def render_result(
    record: Record, request_id: str, raw: bool, result: bytes, final: bool = False
) -> pb.ModelInferResponse:
    """Render a record's result, or a part of one, as a response.

    `raw`: put the tensors into `raw_output_contents`, because those of the request had raw contents.  `final` marks the
    end of a streamed answer.  Raises `GrpcError` if the worker's answer is malformed.
    """
    response = pb.ModelInferResponse(model_name=record.path, model_version=MODEL_VERSION, id=request_id)
    parameters: dict[str, Scalar] = {"activation_id": record.id}
    if final:
        parameters["final_response"] = True
    try:
        if record.payload_format == TENSORS_FORMAT:
            parameters = _add_tensors(response, raw, result) | parameters
        elif result != EMPTY_RESULT or not final:  # a stream may end without another part
            output = response.outputs.add(name="result", datatype="BYTES", shape=[1])
            output.contents.bytes_contents.append(result)
    except (TensorError, msgspec.MsgspecError) as cause:
        # "none" means: not a valid answer.
        text, details = f"the model's answer is none: {cause}", {"activation": record.id}
        raise GrpcError(Code.INTERNAL, text, reason=ErrorReason.MODEL_ANSWER, details=details) from None
    write_parameters(response.parameters, parameters)
    return response


def _add_tensors(response: pb.ModelInferResponse, raw: bool, result: bytes) -> dict[str, Scalar]:
    """Add a result's tensors to a response; return the result's parameters.  Raises `TensorError`, `MsgspecError`."""
    decoded = _decode_tensors(result)
    for tensor in decoded.outputs:
        raw_contents = write_tensor(response.outputs.add(), tensor, raw)
        if raw_contents is not None:
            response.raw_output_contents.append(raw_contents)
    if response.raw_output_contents and len(response.raw_output_contents) != len(response.outputs):
        # Raw contents are all or nothing in a response; a client that asks for them gets all outputs in raw form.
        raise TensorError("outputs of which only some have typed contents; ask in raw form")
    return decoded.parameters


def render_accepted(record: Record, request_id: str) -> pb.ModelInferResponse:
    """Render the response to an accepted deferred request, which contains the activation id."""
    response = pb.ModelInferResponse(model_name=record.path, model_version=MODEL_VERSION, id=request_id)
    write_parameters(response.parameters, {"activation_id": record.id, "deferred": True})
    return response


def render_stream_error(
    request_id: str, model: str, error: GrpcError, activation_id: str = ""
) -> pb.ModelStreamInferResponse:
    """Render the error that ends one request of a stream; the stream continues.

    The status is in the error message and in the parameters of the response, which also contain the error's details.
    The detail `activation`, if present, is the same id as the parameter `activation_id`.
    """
    response = pb.ModelInferResponse(model_name=model, id=request_id)
    parameters: dict[str, Scalar] = {"final_response": True, "status": error.code.name, "reason": error.reason}
    if error.retry_ms is not None:
        parameters["retry_after_ms"] = float(error.retry_ms)
    if activation_id:
        parameters["activation_id"] = activation_id
    write_parameters(response.parameters, parameters | dict(error.details))
    return pb.ModelStreamInferResponse(error_message=f"{error.code.name}: {error.text}", infer_response=response)
