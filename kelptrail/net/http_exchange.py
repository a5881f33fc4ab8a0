"""One HTTP request and its reply, as a handler of `HttpServer` uses them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from kelptrail.codec.http import Request, encode_chunk, encode_head, encode_response

if TYPE_CHECKING:
    from .http_connection import HttpConnection

# Unwritten bytes of a connection at which `Exchange.can_write` becomes False, and above which no further requests are
# read.
MAX_UNWRITTEN_BYTES = 262_144


class Exchange:
    """One request and its reply; the connection sends replies in the order of their requests."""

    __slots__ = (
        "_awaits_writable",
        "_connection",
        "client_gone",
        "data",
        "keep_alive",
        "on_client_gone",
        "on_writable",
        "request",
        "streaming",
    )

    def __init__(self, connection: HttpConnection, request: Request | None) -> None:
        self._connection, self.request = connection, request
        self.data: bytes | None = None  # bytes of the reply to be sent; None until there is a reply
        self.client_gone = self.keep_alive = self.streaming = self._awaits_writable = False
        self.on_client_gone: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None

    @property
    def replied(self) -> bool:
        """Whether a reply was given or its stream has started."""
        return self.data is not None

    @property
    def peer(self) -> str:
        """The client's address."""
        return self._connection.peer

    @property
    def identity(self) -> str:
        """The client's identity according to its certificate; empty without one."""
        return self._connection.identity

    def reply(
        self,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
        close: bool = False,
        content_type: str = "application/json",
    ) -> bool:
        """Send the reply.  Return False if the client has disconnected or a reply was already given."""
        if self.data is not None or self.client_gone:
            return False
        request = self.request
        self.keep_alive = (
            request is not None and request.keep_alive and not close and not self._connection.closes_after(self)
        )
        self.on_client_gone = None
        self.data = encode_response(status, body, headers, self.keep_alive, content_type)
        self._connection.add_unwritten(len(self.data))
        self._connection.queue_replies()
        return True

    def reply_encoded(self, data: bytes) -> bool:
        """Send a reply that is already encoded.  Return False as `reply` does."""
        if self.data is not None or self.client_gone:
            return False
        self.on_client_gone, self.data = None, data
        self.keep_alive = self.request is not None and self.request.keep_alive
        self._connection.add_unwritten(len(data))
        self._connection.queue_replies()
        return True

    def start_stream(self, status: int, headers: dict[str, str] | None, content_type: str) -> bool:
        """Start a reply whose body is sent in chunks.  Return False as `reply` does."""
        if self.data is not None or self.client_gone:
            return False
        request = self.request
        self.keep_alive = request is not None and request.keep_alive and not self._connection.closing
        self.streaming, self.data = True, b""
        self._append(encode_head(status, headers, content_type, self.keep_alive))
        return True

    def write_chunk(self, data: bytes) -> bool:
        """Send a chunk of the body.  Return False if the client has disconnected or no streamed reply is open."""
        if not self.streaming or self.client_gone:
            return False
        if data:
            self._append(encode_chunk(data))
        return True

    def end_stream(self) -> None:
        """End the body of a streamed reply."""
        if self.streaming and not self.client_gone:
            self.on_client_gone = self.on_writable = None
            self.streaming = False
            self._append(encode_chunk(b""))

    def _append(self, data: bytes) -> None:
        self.data = (self.data or b"") + data
        self._connection.add_unwritten(len(data))
        self._connection.queue_replies()

    @property
    def can_write(self) -> bool:
        """Whether more may be sent now.

        If not, `on_writable` is called once the unwritten bytes are below half of `MAX_UNWRITTEN_BYTES`.
        """
        if self._connection.unwritten_bytes < MAX_UNWRITTEN_BYTES:
            return True
        self._awaits_writable = True
        return False

    def on_written(self) -> None:
        """Call `on_writable` if it is awaited and the unwritten bytes are below half of the limit.

        The connection calls this after each write while the reply is streamed.
        """
        if self._awaits_writable and self._connection.unwritten_bytes < MAX_UNWRITTEN_BYTES // 2:
            self._awaits_writable = False
            if self.on_writable is not None:
                self.on_writable()

    def abort(self) -> None:
        """Close the connection immediately; replies that are not written are lost."""
        self._connection.abort()


Handler = Callable[[Request, Exchange], None]
