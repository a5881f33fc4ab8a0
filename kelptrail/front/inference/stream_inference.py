"""ModelStreamInfer: one stream carries several requests; each part of an answer contains the id of its request."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import NamedTuple

from google.protobuf.message import DecodeError

from kelptrail.clock import now_ms, wall_ms
from kelptrail.codec.grpc import GrpcError
from kelptrail.codec.tensors import read_parameters
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.records import Record
from kelptrail.net.grpc_server import GrpcStream
from kelptrail.settings.deployment import NamespaceSettings

from . import inference_pb2 as pb
from .context import InferenceContext, time_left_ms
from .errors import RETRY_AFTER_MS, deadline_exceeded, final_error, invalid, over_limit
from .request_parsing import OWN_PARAMETERS, InferenceRequest, parse_request
from .responses import TENSORS_FORMAT, render_result, render_stream_error, succeeded


class OpenRequest(NamedTuple):
    """A request of a stream that has no final answer yet."""

    id: str
    raw: bool  # Tensors are in raw contents, in the request and in its responses


class StreamInference:
    """Handles one call of ModelStreamInfer."""

    def __init__(self, context: InferenceContext, stream: GrpcStream, namespace: NamespaceSettings) -> None:
        self._context, self._stream, self._namespace = context, stream, namespace
        self._open_requests: dict[Invocation, OpenRequest] = {}
        self._paused = False  # Reading from the workers is paused because the client reads slowly
        self._requests_ended = False  # The client sends no more requests
        stream.on_message, stream.on_end = self._on_message, self._on_requests_ended
        stream.on_client_gone, stream.on_writable = self._on_client_disconnected, self._on_writable
        self._timer: asyncio.TimerHandle | None = None
        if stream.deadline is not None:
            self._timer = context.call_later(max(0.0, time_left_ms(stream)), self._on_deadline)

    def _on_message(self, data: bytes) -> None:
        """Submit a request, or end only this request with an error.  Raises `GrpcError` if it cannot be decoded."""
        try:
            message = pb.ModelInferRequest.FromString(data)
        except DecodeError as cause:
            raise invalid(f"no ModelInferRequest: {cause}") from None
        try:
            request = self._parse(message)
            retry_key = self._context.admit(self._namespace, request)
        except GrpcError as error:
            self._send_error(message.id, message.model_name, error)
            return
        invocation = self._submit(request, retry_key)
        self._open_requests[invocation] = OpenRequest(message.id, bool(message.raw_input_contents))
        self._context.driver.schedule_decisions()

    def _parse(self, message: pb.ModelInferRequest) -> InferenceRequest:
        if len(self._open_requests) >= self._context.deployment.inference.stream_requests:
            raise over_limit("Too many requests are under way in this stream.", RETRY_AFTER_MS)
        parameters = read_parameters(message.parameters)
        if not parameters.keys().isdisjoint(OWN_PARAMETERS):
            raise invalid("a streamed request is neither deferred, polled nor marked")
        return parse_request(self._context.deployment, message, parameters)

    def _submit(self, request: InferenceRequest, retry_key: str) -> Invocation:
        # The time until the client's deadline caps both the timeout of the request class, which applies until the first
        # part, and the time limit of the class for a stream, which applies from then on.
        limit_ms = time_left_ms(self._stream)
        invocation = self._context.gateway.submit(
            now_ms(),
            wall_ms(),
            Submission(
                self._namespace.name,
                request.action,
                request.payload,
                trace=self._context.next_traceparent(self._stream),
                limit_ms=limit_ms,
                payload_format=TENSORS_FORMAT,
                streamed=True,
                client_key=retry_key,
            ),
        )
        invocation.stream_limit_ms = limit_ms
        invocation.on_part = partial(self._on_part, invocation)
        invocation.waiters.append(partial(self._on_final, invocation))
        return invocation

    def _on_part(self, invocation: Invocation, data: bytes) -> None:
        request = self._open_requests.get(invocation)
        if request is None or self._stream.ended:
            return
        try:
            self._send(render_result(invocation.record, request.id, request.raw, data))
        except GrpcError as error:
            del self._open_requests[invocation]
            self._send_error(request.id, invocation.record.path, error)
            self._context.cancel(invocation)

    def _on_final(self, invocation: Invocation, record: Record) -> None:
        request = self._open_requests.pop(invocation, None)
        if request is not None and not self._stream.ended:
            self._send_final(request, record)
        self._finish_if_done()

    def _send_final(self, request: OpenRequest, record: Record) -> None:
        if not succeeded(record):
            self._send_error(request.id, record.path, final_error(record), record.id)
            return
        try:
            self._send(render_result(record, request.id, request.raw, record.result, final=True))
        except GrpcError as error:
            self._send_error(request.id, record.path, error)

    def _send(self, response: pb.ModelInferResponse) -> None:
        self._stream.send(pb.ModelStreamInferResponse(infer_response=response).SerializeToString())
        if not self._stream.can_write and not self._paused:  # Extends flow control to the workers
            self._paused = True
            for invocation in self._open_requests:
                self._context.driver.set_reading(invocation, False)

    def _send_error(self, request_id: str, model: str, error: GrpcError, activation_id: str = "") -> None:
        response = render_stream_error(request_id, model, error, activation_id)
        self._stream.send(response.SerializeToString())

    def _on_writable(self) -> None:
        self._paused = False
        for invocation in list(self._open_requests):
            self._context.driver.set_reading(invocation, True)

    def _on_requests_ended(self) -> None:
        """Finish the call once all requests are answered, as the client sends no more."""
        self._requests_ended = True
        self._finish_if_done()

    def _finish_if_done(self) -> None:
        if self._requests_ended and not self._open_requests and not self._stream.ended:
            self._cancel_timer()
            self._stream.finish()

    def _on_client_disconnected(self) -> None:
        self._cancel_timer()
        self._cancel_open_requests()

    def _on_deadline(self) -> None:
        self._stream.fail(deadline_exceeded({"under_way": str(len(self._open_requests))}))
        self._cancel_open_requests()

    def _cancel_open_requests(self) -> None:
        """Cancel all open requests, which no client waits for any more."""
        cancelled, self._open_requests = self._open_requests, {}
        for invocation in cancelled:
            invocation.waiters.clear()
            invocation.on_part = None
            self._context.gateway.on_client_gone(now_ms(), invocation)
        self._context.driver.schedule_decisions()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
