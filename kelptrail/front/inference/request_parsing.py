"""Parsing and validation of inference requests.  Malformed input raises `GrpcError`."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from kelptrail.codec.grpc import Code, GrpcError
from kelptrail.codec.infer import Payload
from kelptrail.codec.tensors import JsonTensor, Scalar, TensorError, to_json
from kelptrail.front.idempotency import MAX_KEY_LENGTH, is_valid_key, payload_digest
from kelptrail.settings.deployment import ActionSettings, Deployment

from . import inference_pb2 as pb
from .errors import ErrorReason, invalid

# Request parameters that unary calls evaluate and streamed requests must not have; all others are passed on to the
# worker.
IDEMPOTENCY_KEY, DEFERRED, POLL, WAIT_MS = "idempotency_key", "deferred", "poll", "wait_ms"
OWN_PARAMETERS = (IDEMPOTENCY_KEY, DEFERRED, POLL, WAIT_MS)
MODEL_VERSION = "1"  # Only version of each model
MAX_PAYLOAD_RATIO = 4  # Maximum size of a JSON payload, as a multiple of the maximum message size
SHOWN_NAME_CHARACTERS, SHOWN_VERSION_CHARACTERS = 200, 50  # Maximum lengths in error texts


class InferenceRequest(NamedTuple):
    """Validated inference request."""

    action: ActionSettings
    payload: bytes  # JSON for the worker: inputs, names of the requested outputs, and parameters
    key: str | None  # Idempotency key of the client
    digest: str  # Digest of the payload; empty without a key


def find_action(deployment: Deployment, name: str, version: str) -> ActionSettings:
    """Return the action of a model.  This API names a model by the path of its action, not by `action.model`."""
    action = deployment.actions.get(name)
    if action is None:
        raise GrpcError(Code.NOT_FOUND, f"there is no model {name[:SHOWN_NAME_CHARACTERS]!r}")
    if version not in ("", MODEL_VERSION):
        shown_version = version[:SHOWN_VERSION_CHARACTERS]
        text = f"there is no version {shown_version!r} of model {name!r}, only {MODEL_VERSION}"
        raise GrpcError(Code.NOT_FOUND, text)
    return action


def parse_request(
    deployment: Deployment, request: pb.ModelInferRequest, parameters: dict[str, Scalar]
) -> InferenceRequest:
    """Validate an inference request; `parameters` are its parameters as plain values."""
    action = find_action(deployment, request.model_name, request.model_version)
    inputs = _parse_inputs(request)
    key = _parse_key(parameters)
    payload = _encode_payload(request, inputs, parameters)
    if len(payload) > deployment.inference.message_bytes * MAX_PAYLOAD_RATIO:
        raise GrpcError(Code.RESOURCE_EXHAUSTED, "the tensors take too much room")
    digest = payload_digest(payload) if key is not None else ""
    return InferenceRequest(action, payload, key, digest)


def _parse_inputs(request: pb.ModelInferRequest) -> list[JsonTensor]:
    raw_contents = request.raw_input_contents
    if raw_contents and len(raw_contents) != len(request.inputs):
        raise invalid(f"{len(raw_contents)} raw contents for {len(request.inputs)} inputs")
    names = [tensor.name for tensor in request.inputs]
    if len(set(names)) != len(names):
        repeated = next(name for name in names if names.count(name) > 1)
        raise invalid(f"tensor {repeated!r} is there twice")
    try:
        return [
            to_json(tensor, raw_contents[index] if raw_contents else None)
            for index, tensor in enumerate(request.inputs)
        ]
    except TensorError as cause:
        raise invalid(str(cause), ErrorReason.TENSOR) from None


def _parse_key(parameters: dict[str, Scalar]) -> str | None:
    key = parameters.get(IDEMPOTENCY_KEY)
    if key is None:
        return None
    if not isinstance(key, str) or not is_valid_key(key):
        raise invalid(f"parameter '{IDEMPOTENCY_KEY}' is a text of 1 to {MAX_KEY_LENGTH} characters")
    return key


def _encode_payload(request: pb.ModelInferRequest, inputs: list[JsonTensor], parameters: dict[str, Scalar]) -> bytes:
    outputs = [{"name": output.name} for output in request.outputs]
    payload = Payload(
        msgspec.Raw(msgspec.json.encode(inputs)),
        msgspec.Raw(msgspec.json.encode(outputs)),
        {name: value for name, value in parameters.items() if name not in OWN_PARAMETERS},
    )
    return msgspec.json.encode(payload)


def parse_deferred(parameters: dict[str, Scalar]) -> bool:
    """Return whether the client requests the activation id instead of the answer."""
    deferred = parameters.get(DEFERRED, False)
    if not isinstance(deferred, bool):
        raise invalid(f"parameter '{DEFERRED}' is a bool")
    return deferred


def parse_wait_ms(parameters: dict[str, Scalar]) -> float:
    """Return the longest time that a poll waits for the final answer, in ms."""
    wait_ms: Any = parameters.get(WAIT_MS, 0)
    if isinstance(wait_ms, bool) or not isinstance(wait_ms, int | float) or wait_ms < 0:
        raise invalid(f"parameter '{WAIT_MS}' is a number of milliseconds")
    return wait_ms
