"""Handles gRPC calls of the Open Inference Protocol; the gateway executes the inference requests.

The name of a model is the path of an action.  Credentials are in the metadata (`authorization`, as in the invoke API)
or in the client's certificate.

Request parameters that extend the protocol: `idempotency_key`; `deferred`: reply with the activation id instead of the
answer; `poll`: reply with the answer to the deferred request that has this activation id; `wait_ms`: longest time that
a poll waits for the answer.

Response parameters that extend the protocol: `activation_id`; `deferred`: the request was accepted, its answer must be
polled for; `final_response`: this response ends the answer to a streamed request.  An error of a streamed request also
has `status` (the gRPC code), `reason` (an `ErrorReason`), the error's details and, if a retry may succeed,
`retry_after_ms`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError

from kelptrail.codec.grpc import Code, GrpcError
from kelptrail.front.authentication import Authenticator
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.net.grpc_server import GrpcStream
from kelptrail.settings.deployment import Deployment, NamespaceSettings

from . import inference_pb2 as pb
from .context import InferenceContext
from .errors import invalid
from .request_parsing import MODEL_VERSION, find_action
from .responses import reply
from .stream_inference import StreamInference
from .unary_inference import UnaryInference

SERVICE = "/inference.GRPCInferenceService/"
STREAM_METHOD = "ModelStreamInfer"
SERVER_NAME = PLATFORM = "kelptrail"
SERVER_VERSION = "0.2.0"
EXTENSIONS = ("model_stream_infer", "deferred", "idempotency_key")
SHOWN_PATH_CHARACTERS = 100  # Maximum length of the path of an unknown method in an error


@dataclass(frozen=True, slots=True)
class UnaryMethod:
    """Method with one request message and one response message."""

    request_type: Any  # Class of `inference_pb2`
    handler: Callable[[GrpcStream, NamespaceSettings, Any], None]


class InferenceApi:
    """Handles the calls that one dispatcher receives over gRPC."""

    def __init__(self, deployment: Deployment, driver: GatewayDriver, authenticator: Authenticator) -> None:
        self.context = InferenceContext(deployment, driver)
        self._authenticator = authenticator
        self._unary_methods = {
            "ServerLive": UnaryMethod(pb.ServerLiveRequest, self._server_live),
            "ServerReady": UnaryMethod(pb.ServerReadyRequest, self._server_ready),
            "ServerMetadata": UnaryMethod(pb.ServerMetadataRequest, self._server_metadata),
            "ModelReady": UnaryMethod(pb.ModelReadyRequest, self._model_ready),
            "ModelMetadata": UnaryMethod(pb.ModelMetadataRequest, self._model_metadata),
            "ModelInfer": UnaryMethod(pb.ModelInferRequest, UnaryInference(self.context).handle),
        }

    def handle(self, stream: GrpcStream) -> None:
        """Handle a call whose headers have been read.  Raises `GrpcError` if it fails immediately."""
        name = stream.path.removeprefix(SERVICE) if stream.path.startswith(SERVICE) else ""
        if name == STREAM_METHOD:
            namespace = self._authenticate(stream)
            stream.request_complete = True  # Exempts the stream from the limit on the read time of a request
            StreamInference(self.context, stream, namespace)
            return
        method = self._unary_methods.get(name)
        if method is None:
            raise GrpcError(Code.UNIMPLEMENTED, f"there is no method {stream.path[:SHOWN_PATH_CHARACTERS]}")
        _UnaryCall(stream, self._authenticate(stream), method)

    def _authenticate(self, stream: GrpcStream) -> NamespaceSettings:
        """Return the client's namespace.  Raises `GrpcError`."""
        header = stream.metadata.get("authorization", "")
        namespace = self._authenticator.authenticate(header, stream.identity)
        if namespace is None:
            raise GrpcError(Code.UNAUTHENTICATED, "The supplied authentication is invalid.")
        return namespace

    # Server and models.

    def _has_live_worker(self) -> bool:
        return any(worker.live for worker in self.context.gateway.members)

    def _server_live(self, stream: GrpcStream, _namespace: NamespaceSettings, _request: pb.ServerLiveRequest) -> None:
        reply(stream, pb.ServerLiveResponse(live=True))

    def _server_ready(self, stream: GrpcStream, _namespace: NamespaceSettings, _request: pb.ServerReadyRequest) -> None:
        ready = self._has_live_worker() and not self.context.draining
        reply(stream, pb.ServerReadyResponse(ready=ready))

    def _server_metadata(
        self, stream: GrpcStream, _namespace: NamespaceSettings, _request: pb.ServerMetadataRequest
    ) -> None:
        reply(stream, pb.ServerMetadataResponse(name=SERVER_NAME, version=SERVER_VERSION, extensions=EXTENSIONS))

    def _model_ready(self, stream: GrpcStream, _namespace: NamespaceSettings, request: pb.ModelReadyRequest) -> None:
        """Reply that an existing model is ready if a worker is live, as models are loaded on demand."""
        find_action(self.context.deployment, request.name, request.version)
        reply(stream, pb.ModelReadyResponse(ready=self._has_live_worker()))

    def _model_metadata(
        self, stream: GrpcStream, _namespace: NamespaceSettings, request: pb.ModelMetadataRequest
    ) -> None:
        action = find_action(self.context.deployment, request.name, request.version)
        response = pb.ModelMetadataResponse(name=action.path, versions=[MODEL_VERSION], platform=PLATFORM)
        response.inputs.add(name="params", datatype="BYTES", shape=[1])
        response.outputs.add(name="result", datatype="BYTES", shape=[1])
        reply(stream, response)


class _UnaryCall:
    """Reads the single message of a call and passes it to the handler of the method."""

    def __init__(self, stream: GrpcStream, namespace: NamespaceSettings, method: UnaryMethod) -> None:
        self._stream, self._namespace, self._method = stream, namespace, method
        self._message: bytes | None = None
        stream.on_message, stream.on_end = self._on_message, self._on_end

    def _on_message(self, data: bytes) -> None:
        if self._message is not None:
            raise invalid("the call takes one message")
        self._message = data

    def _on_end(self) -> None:
        if self._message is None:
            raise invalid("the call has no message")
        request_type = self._method.request_type
        try:
            request = request_type.FromString(self._message)
        except DecodeError as cause:
            # "no" means: not a valid message of this type.
            raise invalid(f"no {request_type.DESCRIPTOR.name}: {cause}") from None
        self._method.handler(self._stream, self._namespace, request)
