"""gRPC over HTTP/2, without I/O: message framing, deadlines, status codes and error details.

Sources: the gRPC protocol document "gRPC over HTTP2" (Requests, Responses, Length-Prefixed-Message), and
`google.rpc.Status`, `google.rpc.RetryInfo` and `google.rpc.ErrorInfo`.
"""

from __future__ import annotations

import base64
import struct
from enum import IntEnum
from typing import NamedTuple
from urllib.parse import quote, unquote

from google.protobuf.duration_pb2 import Duration
from google.rpc.error_details_pb2 import ErrorInfo, RetryInfo
from google.rpc.status_pb2 import Status as StatusMessage

PREFIX = struct.Struct(">BI")
UNITS_MS = {"H": 3.6e6, "M": 60_000.0, "S": 1000.0, "m": 1.0, "u": 1e-3, "n": 1e-6}
DOMAIN = "kelptrail"


class Code(IntEnum):
    """gRPC status codes ("Status codes and their use in gRPC")."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class GrpcError(Exception):
    """A status other than OK.

    `retry_ms`, the time in ms after which the client may retry, is sent as `RetryInfo`; `reason` and `details` are sent
    as `ErrorInfo`.
    """

    def __init__(
        self,
        code: Code,
        text: str,
        retry_ms: float | None = None,
        reason: str = "",
        details: dict[str, str] | None = None,
    ) -> None:
        super().__init__(text)
        self.code, self.text, self.retry_ms, self.reason, self.details = code, text, retry_ms, reason, details or {}


class TimeoutHeaderError(ValueError):
    """Raised for a malformed `grpc-timeout` header."""


class CallStatus(NamedTuple):
    """The status that ended a call, as its client receives it.

    `retry_ms` comes from `RetryInfo`, None if the server sent none; `reason` and `details` come from `ErrorInfo`.
    """

    code: Code
    text: str
    retry_ms: float | None
    reason: str
    details: dict[str, str]


def timeout_ms(text: str) -> float:
    """Return the time in ms of a `grpc-timeout` header, which has at most 8 digits and a unit.

    Raises `TimeoutHeaderError`.
    """
    number, unit = text[:-1], text[-1:]
    if not 0 < len(number) <= 8 or not number.isascii() or not number.isdigit() or unit not in UNITS_MS:
        raise TimeoutHeaderError(f"no grpc-timeout: {text[:20]!r}")
    return int(number) * UNITS_MS[unit]


def encode_message(data: bytes) -> bytes:
    """Encode one length-prefixed message, without compression."""
    return PREFIX.pack(0, len(data)) + data


class MessageReader:
    """Parses the payload of DATA frames into messages.

    A message over `max_message_bytes` is rejected when its length prefix is read, before the message is buffered.
    """

    def __init__(self, max_message_bytes: int) -> None:
        self._max_message_bytes, self._buffer = max_message_bytes, bytearray()

    @property
    def partial_bytes(self) -> int:
        """Number of buffered bytes of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the messages that are now complete.

        Raises `GrpcError` for a message that is compressed or too large, or has undefined flags.
        """
        self._buffer += data
        messages: list[bytes] = []
        offset = 0
        while len(self._buffer) - offset >= PREFIX.size:
            flags, length = PREFIX.unpack_from(self._buffer, offset)
            if flags > 1:
                raise GrpcError(Code.INTERNAL, f"a message with flags {flags}, which are not defined")
            if flags:
                raise GrpcError(Code.UNIMPLEMENTED, "a compressed message; no compression is spoken here")
            if length > self._max_message_bytes:
                text = f"a message of {length} bytes, at most {self._max_message_bytes}"
                raise GrpcError(Code.RESOURCE_EXHAUSTED, text)
            if len(self._buffer) - offset < PREFIX.size + length:
                break
            offset += PREFIX.size
            messages.append(bytes(self._buffer[offset : offset + length]))
            offset += length
        if offset:
            del self._buffer[:offset]
        return messages


def encode_trailers(
    code: Code, text: str = "", retry_ms: float | None = None, reason: str = "", details: dict[str, str] | None = None
) -> list[tuple[bytes, bytes]]:
    """Encode the trailers that end a call.

    The text is percent-encoded UTF-8.  `retry_ms`, `reason` and `details` are sent as a `google.rpc.Status` in
    `grpc-status-details-bin`.
    """
    out = [(b"grpc-status", str(int(code)).encode())]
    if text:
        out.append((b"grpc-message", quote(text[:1000], safe=" !\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~").encode()))
    if retry_ms is not None or reason:
        status = StatusMessage(code=int(code), message=text[:1000])
        if retry_ms is not None:
            delay = Duration()
            delay.FromMilliseconds(max(0, round(retry_ms)))
            status.details.add().Pack(RetryInfo(retry_delay=delay))
        if reason:
            status.details.add().Pack(ErrorInfo(reason=reason, domain=DOMAIN, metadata=details or {}))
        packed = base64.b64encode(status.SerializeToString()).rstrip(b"=")
        out.append((b"grpc-status-details-bin", packed))
    return out


def read_trailers(headers: dict[str, str]) -> CallStatus:
    """Return the status in the trailers of a call."""
    code = Code(int(headers.get("grpc-status", "2")))
    retry_ms, reason, details = None, "", dict[str, str]()
    packed = headers.get("grpc-status-details-bin", "")
    if packed:
        status = StatusMessage.FromString(base64.b64decode(packed + "=" * (-len(packed) % 4)))
        for detail in status.details:
            if detail.Is(RetryInfo.DESCRIPTOR):
                info = RetryInfo()
                detail.Unpack(info)
                retry_ms = float(info.retry_delay.ToMilliseconds())
            elif detail.Is(ErrorInfo.DESCRIPTOR):
                error = ErrorInfo()
                detail.Unpack(error)
                reason, details = error.reason, dict(error.metadata)
    return CallStatus(code, unquote(headers.get("grpc-message", "")), retry_ms, reason, details)
