"""State shared by the handlers of the inference API."""

from __future__ import annotations

from kelptrail.clock import now_ms
from kelptrail.front.context import ApiContext
from kelptrail.front.idempotency import client_key
from kelptrail.front.trace_context import parse_traceparent
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.gateway.limits import REJECTION_MESSAGES
from kelptrail.net.grpc_server import GrpcStream
from kelptrail.settings.deployment import Deployment, NamespaceSettings

from .errors import not_accepted, over_limit
from .request_parsing import InferenceRequest


def time_left_ms(stream: GrpcStream) -> float:
    """Return the time until the client's deadline; infinite without one."""
    return stream.deadline - now_ms() if stream.deadline is not None else float("inf")


class InferenceContext(ApiContext):
    """State shared by the handlers of the inference API."""

    def __init__(self, deployment: Deployment, driver: GatewayDriver) -> None:
        super().__init__(deployment, driver)
        self._trace_count = 0

    def admit(self, namespace: NamespaceSettings, request: InferenceRequest) -> str:
        """Admit a request before any work is done for it; return the key that identifies retries to overload control.

        Raises `GrpcError` beyond a limit or while the dispatcher drains.
        """
        if self.draining:
            raise not_accepted("This dispatcher is closing; the call was not taken.")
        retry_key = client_key(request.key, request.payload)
        size = len(request.payload)
        rejection = self.gateway.check_admission(now_ms(), namespace.name, request.action.path, size, retry_key)
        if rejection is not None:
            reason, retry_after_ms = rejection
            raise over_limit(REJECTION_MESSAGES[reason], retry_after_ms)
        return retry_key

    def next_traceparent(self, stream: GrpcStream) -> str:
        """Return the `traceparent` of the next request: a span of the client's trace, or of a new one."""
        self._trace_count += 1
        parent = parse_traceparent(stream.metadata.get("traceparent", ""))
        if parent is not None and parent.has_more_fields:
            parent = None
        return self.trace_ids.traceparent(parent, self._trace_count)
