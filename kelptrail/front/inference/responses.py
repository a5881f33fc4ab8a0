"""Renders and sends the responses of the inference API."""

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

TENSORS_FORMAT = "tensors"  # of payloads and results, as a record keeps it
EMPTY_RESULT = b"{}"


class TensorsResult(msgspec.Struct):
    """A result, or a part of one, as workers answer a request in tensors."""

    outputs: list[JsonTensor] = []
    parameters: dict[str, Scalar] = {}


_decode_tensors = msgspec.json.Decoder(TensorsResult).decode


def reply(stream: GrpcStream, message: Message) -> None:
    """End a unary call with its one response."""
    stream.send(message.SerializeToString())
    stream.finish()


def succeeded(record: Record) -> bool:
    """Whether the final answer is a result."""
    return record.answer == FinalStatus.COMPLETED and not record.code


def render_result(
    record: Record, request_id: str, raw: bool, result: bytes, final: bool = False
) -> pb.ModelInferResponse:
    """A record's result, or a part of one, as a response.

    `raw`: with raw contents, as the request had.  `final`: this ends a streamed answer.  Raises `GrpcError` where the
    worker's answer is malformed.
    """
    response = pb.ModelInferResponse(model_name=record.path, model_version=MODEL_VERSION, id=request_id)
    parameters: dict[str, Scalar] = {"activation_id": record.id}
    if final:
        parameters["final_response"] = True
    try:
        if record.payload_format == TENSORS_FORMAT:
            parameters = _add_tensors(response, raw, result) | parameters
        elif result != EMPTY_RESULT or not final:
            output = response.outputs.add(name="result", datatype="BYTES", shape=[1])
            output.contents.bytes_contents.append(result)
    except (TensorError, msgspec.MsgspecError) as cause:
        text, details = f"the model's answer is none: {cause}", {"activation": record.id}
        raise GrpcError(Code.INTERNAL, text, reason=ErrorReason.MODEL_ANSWER, details=details) from None
    write_parameters(response.parameters, parameters)
    return response


def _add_tensors(response: pb.ModelInferResponse, raw: bool, result: bytes) -> dict[str, Scalar]:
    """Add the tensors of a result; returns its parameters.  Raises `TensorError` and `MsgspecError`."""
    decoded = _decode_tensors(result)
    for tensor in decoded.outputs:
        raw_contents = write_tensor(response.outputs.add(), tensor, raw)
        if raw_contents is not None:
            response.raw_output_contents.append(raw_contents)
    if response.raw_output_contents and len(response.raw_output_contents) != len(response.outputs):
        raise TensorError("outputs of which only some have typed contents; ask in raw form")
    return decoded.parameters


def render_accepted(record: Record, request_id: str) -> pb.ModelInferResponse:
    """The response to a deferred request: the activation id."""
    response = pb.ModelInferResponse(model_name=record.path, model_version=MODEL_VERSION, id=request_id)
    write_parameters(response.parameters, {"activation_id": record.id, "deferred": True})
    return response


def render_stream_error(
    request_id: str, model: str, error: GrpcError, activation_id: str = ""
) -> pb.ModelStreamInferResponse:
    """The end of one request within a stream that goes on: its status in the text and in parameters."""
    response = pb.ModelInferResponse(model_name=model, id=request_id)
    parameters: dict[str, Scalar] = {"final_response": True, "status": error.code.name, "reason": error.reason}
    if error.retry_ms is not None:
        parameters["retry_after_ms"] = float(error.retry_ms)
    if activation_id:
        parameters["activation_id"] = activation_id
    write_parameters(response.parameters, parameters | dict(error.details))
    return pb.ModelStreamInferResponse(error_message=f"{error.code.name}: {error.text}", infer_response=response)
