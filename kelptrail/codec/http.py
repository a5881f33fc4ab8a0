"""HTTP/1.1 messages without I/O, based on the parser of `httptools`.

`RequestReader` and `ResponseReader` parse a byte stream into complete messages.  For malformed input and input over a
limit, the first returns and the second raises an `HttpError` with a status (RFC 9110 section 15, RFC 9112).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

import httptools

from .events import CONTENT_TYPE as EVENT_STREAM

PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"


class HttpError(Exception):
    """Invalid or oversized input, after which the connection is closed, or a response with an error status.

    `status` is that of the response, or the one to reply with if a reply is possible.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True, eq=False)
class Request:
    """One complete request.  Header names are lower case; the values of a repeated header are joined by commas."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    version: str

    @property
    def path(self) -> str:
        """The target without its query, still percent-encoded; one in absolute form keeps its scheme and host."""
        return self.target.partition("?")[0]

    @property
    def segments(self) -> list[str]:
        """The percent-decoded segments of the path, without scheme and host of a target in absolute form."""
        return [unquote(part) for part in urlsplit(self.path).path.strip("/").split("/")]

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query; the last value of a repeated name counts."""
        _, _, query = self.target.partition("?")
        return dict(parse_qsl(query, keep_blank_values=True)) if query else {}


class CompletedRequests(NamedTuple):
    """Complete requests in order, and the error in the input after them, if any.

    After an error the connection is closed once the requests and the error are answered.
    """

    requests: list[Request]
    error: HttpError | None


class RequestReader:
    """Parses requests for a server.

    `wants_continue` is True while the client waits for an interim response with status 100 (RFC 9110 section 10.1.1).
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self._header_bytes, self._body_bytes = header_bytes, body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[Request] = []
        self._error: HttpError | None = None
        self._closed = False  # the last request of the connection was read
        self.partial = False  # whether the start of a request was read but not its end
        self.wants_continue = False
        self._reset()
        self._in_head = False  # until the first request begins

    def _reset(self) -> None:
        self._target, self._body = b"", bytearray()
        self._headers: dict[str, str] = {}
        # Two lower bounds of the size of the request's head: the bytes that the parser has reported, and the sizes of
        # the pieces of input that began and ended inside the head, without the piece in which the request begins.
        self._parsed_head_bytes = self._raw_head_bytes = 0
        self._in_head = True

    # Callbacks of the parser; they must not raise.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset()
        self.partial = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field."""
        self._count_head_bytes(len(name) + len(value))
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        known = self._headers.get(key)
        self._headers[key] = text if known is None else f"{known}, {text}"

    def on_headers_complete(self) -> None:
        """Check the fields `Content-Length` and `Expect` once the head is complete."""
        self._in_head = False
        length = self._headers.get("content-length")
        if length is not None and length.isdigit() and int(length) > self._body_bytes:
            self._fail(413, f"a body of {length} bytes; {self._body_bytes} at most")
        elif self._headers.get("expect", "").lower() == "100-continue":
            self.wants_continue = True
        elif "expect" in self._headers:
            self._fail(417, "only 100-continue can be expected")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        if len(self._body) + len(body) > self._body_bytes:
            self._fail(413, f"a body over {self._body_bytes} bytes")
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Store the complete request, which `feed` returns."""
        self.partial = self.wants_continue = False
        if self._error is not None:
            return
        keep_alive = self._parser.should_keep_alive()
        self._closed = self._closed or not keep_alive
        self._completed.append(
            Request(
                self._parser.get_method().decode("latin-1"),
                self._target.decode("latin-1"),
                self._headers,
                bytes(self._body),
                keep_alive,
                self._parser.get_http_version(),
            )
        )

    def _count_head_bytes(self, count: int) -> None:
        self._parsed_head_bytes += count
        self._check_head()

    def _check_head(self) -> None:
        if max(self._parsed_head_bytes, self._raw_head_bytes) > self._header_bytes:
            self._fail(431, f"a head over {self._header_bytes} bytes")

    def _fail(self, status: int, reason: str) -> None:
        self._error = self._error or HttpError(status, reason)

    def feed(self, data: bytes | memoryview) -> CompletedRequests:
        """Add bytes and return the requests that are now complete."""
        if self._closed:  # RFC 9112 section 9.6: input after the last request is ignored
            return CompletedRequests([], None)
        in_head = self.partial and self._in_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(400, "no other protocol is spoken here")
        except httptools.HttpParserError as cause:
            if not self._closed:
                self._fail(400, f"malformed HTTP: {cause}")
        # The parser reports a header only when it is complete, so a piece that began and ended inside the same head is
        # counted here by its size.
        if in_head and self._in_head and not self._completed:
            self._raw_head_bytes += len(data)
            self._check_head()
        completed, self._completed = self._completed, []
        return CompletedRequests(completed, self._error)


@dataclass(slots=True, eq=False)
class Response:
    """One complete response.  Header names are lower case; the last value of a repeated header counts."""

    status: int
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


class ResponseReader:
    """Parses responses for a client that has at most one request in flight on a connection."""

    def __init__(self, body_bytes: int) -> None:
        self._body_bytes = body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._response: Response | None = None
        # Whether the data of one `feed` had, after a response, a second complete one or malformed data.
        self.unexpected_data = False
        self.on_chunk: Callable[[bytes], None] | None = None  # receives the body of an event stream as it arrives
        self._streaming = False

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._headers, self._body = {}, bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Decide, once the head is complete, whether to pass the body on in chunks."""
        self._streaming = (
            self.on_chunk is not None
            and self._parser.get_status_code() == 200
            and self._headers.get("content-type", "").startswith(EVENT_STREAM)
        )

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, or pass it on if the response is streamed."""
        if self._streaming and self.on_chunk is not None:
            self.on_chunk(body)
        elif len(self._body) <= self._body_bytes:  # the part that exceeds the limit is added, so that `feed` notices it
            self._body += body

    def on_message_complete(self) -> None:
        """Store the complete response, which `feed` returns; skip interim responses."""
        status = self._parser.get_status_code()
        if status < 200:  # an interim response, RFC 9110 section 15.2
            return
        if self._response is not None:
            self.unexpected_data = True
            return
        self._response = Response(status, self._headers, bytes(self._body), self._parser.should_keep_alive())

    def feed(self, data: bytes | memoryview) -> Response | None:
        """Add bytes and return the response once it is complete.

        Raises `HttpError` if it is malformed or too long.  The length is checked after all of `data`, so it is not
        checked for a response that is followed by the beginning of another one.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as cause:
            if self._response is None:
                raise HttpError(502, f"malformed HTTP: {cause}") from None
            self.unexpected_data = True
        if len(self._body) > self._body_bytes:
            raise HttpError(502, f"an answer over {self._body_bytes} bytes")
        response, self._response = self._response, None
        return response


def encode_response(
    status: int,
    body: bytes,
    headers: Mapping[str, str] | None = None,
    keep_alive: bool = True,
    content_type: str = "application/json",
) -> bytes:
    """Encode a response with a `content-length`; 204 has none, and needs an empty body (RFC 9110 section 15.3.5)."""
    head = [b"HTTP/1.1 %d %s\r\n" % (status, PHRASES.get(status, b"Status"))]
    if status != 204:
        head.append(b"content-type: %s\r\ncontent-length: %d\r\n" % (content_type.encode(), len(body)))
    if headers:
        head.extend(f"{name}: {value}\r\n".encode("latin-1", "replace") for name, value in headers.items())
    if not keep_alive:
        head.append(b"connection: close\r\n")
    head.append(b"\r\n")
    head.append(body)
    return b"".join(head)


def encode_head(status: int, headers: Mapping[str, str] | None, content_type: str, keep_alive: bool) -> bytes:
    """Encode the head of a response whose body is sent in chunks (RFC 9112 section 7.1)."""
    head = [
        f"HTTP/1.1 {status} {PHRASES.get(status, b'Status').decode()}\r\ncontent-type: {content_type}\r\n"
        "transfer-encoding: chunked\r\n"
    ]
    head.extend(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    if not keep_alive:
        head.append("connection: close\r\n")
    return ("".join(head) + "\r\n").encode("latin-1", "replace")


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk; an empty one ends the body (RFC 9112 section 7.1)."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_request(
    method: str, target: str, host: str, body: bytes = b"", headers: Mapping[str, str] | None = None
) -> bytes:
    """Encode a request with a `content-length`."""
    lines = [f"{method} {target} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {len(body)}\r\n"]
    if body:
        lines.append("content-type: application/json\r\n")
    if headers:
        lines.extend(f"{name}: {value}\r\n" for name, value in headers.items())
    lines.append("\r\n")
    return "".join(lines).encode("latin-1", "replace") + body
