"""ModelInfer: submits an inference request, or polls for the answer of a deferred one."""

from __future__ import annotations

from functools import partial

from kelptrail.clock import now_ms, wall_ms
from kelptrail.codec.grpc import Code, GrpcError
from kelptrail.codec.tensors import Scalar, read_parameters
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.idempotency_keys import KeyConflictError
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.records import Record
from kelptrail.net.grpc_server import GrpcStream
from kelptrail.settings.deployment import NamespaceSettings

from . import inference_pb2 as pb
from .client_wait import ClientWait
from .context import InferenceContext, time_left_ms
from .errors import ErrorReason, in_flight, lookup_error, not_accepted
from .request_parsing import POLL, InferenceRequest, parse_deferred, parse_request, parse_wait_ms
from .responses import TENSORS_FORMAT


class UnaryInference:
    """Handles all calls of ModelInfer."""

    def __init__(self, context: InferenceContext) -> None:
        self._context = context

    def handle(self, stream: GrpcStream, namespace: NamespaceSettings, message: pb.ModelInferRequest) -> None:
        """Handle the single message of a call.  Raises `GrpcError`."""
        parameters = read_parameters(message.parameters)
        if POLL in parameters:
            self._poll(stream, namespace, message.id, parameters)
            return
        request = parse_request(self._context.deployment, message, parameters)
        deferred = parse_deferred(parameters)
        limit_ms = float("inf") if deferred else time_left_ms(stream)
        wait = ClientWait(self._context, stream, message.id, bool(message.raw_input_contents))
        if request.key is not None:
            record = self._find_by_key(namespace, request, request.key)
            if record is not None:
                wait.join(record, deferred)
                return
        if deferred:
            self._check_deferrable(request.payload)
        invocation = self._submit(stream, namespace, request, wait, deferred, limit_ms)
        if deferred:
            self._context.driver.schedule_decisions(lambda: wait.accept_when_durable(invocation))
        else:
            wait.watch_client(invocation, request.key)
            self._context.driver.schedule_decisions()

    def _find_by_key(self, namespace: NamespaceSettings, request: InferenceRequest, key: str) -> Record | None:
        try:
            return self._context.gateway.find_by_key(namespace.name, request.action.path, key, request.digest)
        except KeyConflictError as cause:
            raise GrpcError(Code.ALREADY_EXISTS, f"Conflict: {cause}.") from None

    def _submit(
        self,
        stream: GrpcStream,
        namespace: NamespaceSettings,
        request: InferenceRequest,
        wait: ClientWait,
        deferred: bool,
        limit_ms: float,
    ) -> Invocation:
        retry_key = self._context.admit(namespace, request)
        return self._context.gateway.submit(
            now_ms(),
            wall_ms(),
            Submission(
                namespace.name,
                request.action,
                request.payload,
                request.key,
                self._context.next_traceparent(stream),
                deferred,
                request.digest,
                limit_ms,
                TENSORS_FORMAT,
                client_key=retry_key,
            ),
            wait.on_final,
        )

    def _check_deferrable(self, payload: bytes) -> None:
        """Check that a deferred request could be made durable.  Raises `GrpcError` if not."""
        limit = self._context.deployment.max_deferred_bytes
        if limit and len(payload) > limit:
            text = f"A deferred call's tensors take at most {limit} bytes here: they are held by others."
            raise GrpcError(Code.RESOURCE_EXHAUSTED, text)
        if not self._context.gateway.accepts_deferred():
            raise not_accepted("Deferred calls cannot be kept safe at the moment; the call was not taken.")

    def _poll(
        self, stream: GrpcStream, namespace: NamespaceSettings, request_id: str, parameters: dict[str, Scalar]
    ) -> None:
        gateway = self._context.gateway
        id_ = str(parameters[POLL])
        record = gateway.records.get(namespace.name, id_)
        if record is None:
            self._find_at_other_dispatchers(stream, id_)
            return
        wait_ms = parse_wait_ms(parameters)
        wait = ClientWait(self._context, stream, request_id, raw=False)
        if record.visible:
            wait.on_final(record)
            return
        invocation = gateway.in_flight_of(id_)
        if not wait_ms or invocation is None:
            raise in_flight()
        wait.poll(invocation, min(float(wait_ms), self._context.deployment.front.longest_wait_ms))

    def _find_at_other_dispatchers(self, stream: GrpcStream, id_: str) -> None:
        """Respond to a poll for an activation without a record here.

        The response is always an error; it contains the address of the dispatcher that has the activation if that
        dispatcher is found.  Raises `GrpcError`.
        """
        gateway, lookup = self._context.gateway, self._context.activation_lookup
        # A record that exists here belongs to another namespace.
        if lookup is not None and not gateway.records.has(id_):
            lookup.find(id_, partial(_fail_after_lookup, stream))
            return
        text = "This dispatcher does not know the activation; whoever gave the id may."
        peer = gateway.members.issuer_of(id_)
        if peer is None:
            raise GrpcError(Code.NOT_FOUND, text, reason=ErrorReason.UNKNOWN_ID)
        raise GrpcError(Code.NOT_FOUND, text, reason=ErrorReason.ELSEWHERE, details={"asked_at": peer.address})


def _fail_after_lookup(stream: GrpcStream, address: str | None) -> None:
    if not stream.ended:
        stream.fail(lookup_error(address))
