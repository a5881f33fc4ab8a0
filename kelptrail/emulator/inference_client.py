"""Client of the inference API: unary and streamed calls over gRPC."""

from __future__ import annotations

from functools import partial

from kelptrail.codec.grpc import Code
from kelptrail.codec.tensors import read_parameters
from kelptrail.front.inference import inference_pb2 as pb
from kelptrail.front.inference.api import SERVICE
from kelptrail.load.client_behavior import ClientOutcome
from kelptrail.load.invoke_api import authorization_of
from kelptrail.net.grpc_client import CallResult, GrpcClient
from kelptrail.settings.deployment import Deployment

from .client_calls import CallTracker, ClientAnswer, ClientCall, answer_of_reason
from .invoke_client import InvokeClient

STREAM_TIMEOUT_MS = 5000.0  # time for a complete stream, in addition to the timeout for its first part
CONNECT_TIMEOUT_MS = 500.0


def timeout_ms_of(call: ClientCall) -> float:
    """Return the timeout of a call over gRPC in ms."""
    return call.type.timeout_ms + (STREAM_TIMEOUT_MS if call.streamed else 0.0)


class InferenceClient:
    """Sends calls to dispatchers over gRPC.

    Deferred calls are polled over the invoke API: `poll_addresses` has each dispatcher's address of that API, in the
    order of `addresses`.
    """

    def __init__(
        self,
        deployment: Deployment,
        addresses: list[str],
        poll_addresses: list[str],
        tracker: CallTracker,
        invoke_client: InvokeClient,
    ) -> None:
        self._clients = [GrpcClient(address) for address in addresses]
        self._poll_addresses, self._tracker, self._invoke_client = poll_addresses, tracker, invoke_client
        self._authorization = {n.name: authorization_of(n) for n in deployment.namespaces.values()}
        self.open_requests = 0

    def send(self, call: ClientCall) -> None:
        """Send an attempt to the dispatcher chosen for it."""
        call.parts = 0
        call.final_part_received = False
        self.open_requests += 1
        on_message = self._on_stream_part if call.streamed else self._on_response
        self._clients[call.dispatcher].call(
            SERVICE + ("ModelStreamInfer" if call.streamed else "ModelInfer"),
            _request_of(call).SerializeToString(),
            {"authorization": self._authorization[call.namespace.name]},
            partial(on_message, call),
            partial(self._on_ended, call),
            timeout_ms_of(call),
            CONNECT_TIMEOUT_MS,
        )

    def _on_response(self, call: ClientCall, data: bytes) -> None:
        response = pb.ModelInferResponse.FromString(data)
        activation = response.parameters["activation_id"].string_param
        if response.parameters["deferred"].bool_param:
            self._invoke_client.poll_from(call, activation, self._poll_addresses[call.dispatcher])
        else:
            self._tracker.on_final(call, ClientAnswer(ClientOutcome.COMPLETED.value, activation, code=0))

    def _on_stream_part(self, call: ClientCall, data: bytes) -> None:
        message = pb.ModelStreamInferResponse.FromString(data)
        fields = read_parameters(message.infer_response.parameters)
        activation = str(fields.get("activation_id", ""))
        if not fields.get("final_response"):
            call.parts += 1
            if call.parts == 1:
                self._tracker.on_first_part(call, activation)
            return
        call.final_part_received = True
        reason = str(fields.get("reason", ""))
        if not message.error_message:
            self._tracker.on_final(call, ClientAnswer(ClientOutcome.COMPLETED.value, activation, code=0))
        elif reason == "NOT_TAKEN":
            self._tracker.on_stream_not_taken(call)
        else:
            retry_after_ms = float(fields.get("retry_after_ms", 0.0))
            answer = answer_of_reason(reason, "failed")
            self._tracker.on_final(call, ClientAnswer(answer, activation, retry_after_ms=retry_after_ms))

    def _on_ended(self, call: ClientCall, result: CallResult) -> None:
        self.open_requests -= 1
        if result.code is Code.OK or call.final_part_received:
            return
        if result.refused or not result.written or result.reason == "NOT_TAKEN":
            self._tracker.on_not_taken(call, result.retry_ms or 0.0)
        elif result.code is None:
            self._tracker.on_lost(call, result.text)
        else:
            self._tracker.on_final(call, _answer_of_error(result, result.code))

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()


def _request_of(call: ClientCall) -> pb.ModelInferRequest:
    request = pb.ModelInferRequest(model_name=call.action.path, id=call.ticket)
    ticket = request.inputs.add(name="ticket", datatype="BYTES", shape=[1])
    ticket.contents.bytes_contents.append(call.ticket.encode())
    if call.type.effect == "deduplicated" and not call.streamed:
        request.parameters["idempotency_key"].string_param = call.ticket
    if call.deferred:
        request.parameters["deferred"].bool_param = True
    return request


def _answer_of_error(result: CallResult, code: Code) -> ClientAnswer:
    repeat_within_ms = result.details.get("repeat_within_ms")
    return ClientAnswer(
        answer_of_reason(result.reason, f"status-{code.name}"),
        result.details.get("activation", ""),
        retry_after_ms=result.retry_ms or 0.0,
        repeat_within_ms=float(repeat_within_ms) if repeat_within_ms is not None else None,
    )
