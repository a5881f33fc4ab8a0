"""One gRPC call, as a handler of `GrpcServer` uses it: messages in both directions and exactly one status."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from kelptrail.codec.grpc import Code, GrpcError, MessageReader, encode_message, encode_trailers

if TYPE_CHECKING:
    from .grpc_connection import GrpcConnection


def ignore(*_args: object) -> None:
    """Do nothing: the default of callbacks."""


class GrpcStream:
    """One call.

    The event loop calls the callbacks; the methods of this class do not, with one exception.  `send` may call the
    `on_client_gone` of this stream, if the stream turns out to be closed, and that of any stream that the server resets
    to limit its unsent bytes.
    """

    __slots__ = (
        "_connection",
        "awaits_writable",
        "blocked_since",
        "client_ended",
        "deadline",
        "ended",
        "headers_sent",
        "id",
        "metadata",
        "on_client_gone",
        "on_end",
        "on_message",
        "on_writable",
        "opened_at",
        "path",
        "pending",
        "reader",
        "request_complete",
        "trailers",
        "unsent_bytes",
    )

    def __init__(self, connection: GrpcConnection, id_: int, path: str, metadata: dict[str, str], now: float) -> None:
        self._connection, self.id, self.path, self.metadata = connection, id_, path, metadata
        limits = connection.server.limits
        self.reader = MessageReader(limits.message_bytes)
        self.pending: deque[bytes] = deque()
        self.unsent_bytes = 0  # total size of `pending`
        self.trailers: list[tuple[bytes, bytes]] | None = None
        self.headers_sent = self.awaits_writable = False
        self.ended = False  # a status was given, or the client has disconnected
        self.client_ended = False  # the client has closed its side of the stream
        self.request_complete = False  # `read_ms` no longer applies: the client has ended, or the handler set this
        self.opened_at, self.blocked_since = now, None
        self.deadline: float | None = None
        self.on_message: Callable[[bytes], None] = ignore
        self.on_end: Callable[[], None] = ignore
        self.on_client_gone: Callable[[], None] = ignore
        self.on_writable: Callable[[], None] = ignore

    blocked_since: float | None  # time since which its messages could not be sent, in ms; None if they can

    @property
    def peer(self) -> str:
        """The client's address."""
        return self._connection.peer

    @property
    def identity(self) -> str:
        """The client's identity according to its certificate; empty without one."""
        return self._connection.identity

    @property
    def can_write(self) -> bool:
        """Whether more may be sent now.

        If not, `on_writable` is called once the unsent bytes are below half of `GrpcLimits.stream_bytes`.
        """
        if self.unsent_bytes < self._connection.server.limits.stream_bytes:
            return True
        self.awaits_writable = True
        return False

    def send(self, message: bytes) -> bool:
        """Send a message.  Return False if the call has ended."""
        if self.ended:
            return False
        self._send_headers()
        data = encode_message(message)
        self.pending.append(data)
        self.unsent_bytes += len(data)
        self._connection.server.add_unwritten(len(data))
        self._connection.send_pending(self)
        return True

    def finish(
        self,
        code: Code = Code.OK,
        text: str = "",
        retry_ms: float | None = None,
        reason: str = "",
        details: dict[str, str] | None = None,
    ) -> bool:
        """Send the status after all messages.  Return False if one was already given or the client has disconnected."""
        if self.ended:
            return False
        self.ended = True
        self.trailers = encode_trailers(code, text, retry_ms, reason, details)
        self.on_message = self.on_end = self.on_client_gone = self.on_writable = ignore
        self._connection.send_pending(self)
        return True

    def fail(self, cause: GrpcError) -> bool:
        """Finish with the status of an error."""
        return self.finish(cause.code, cause.text, cause.retry_ms, cause.reason, cause.details)

    def _send_headers(self) -> None:
        if not self.headers_sent:
            self.headers_sent = True
            self._connection.send_headers(self)
