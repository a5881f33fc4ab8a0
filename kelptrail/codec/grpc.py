"""gRPC over HTTP/2, without I/O: message framing, deadlines, statuses and what details say of a return.

Source: the gRPC protocol document "gRPC over HTTP2", `google.rpc.Status` and `google.rpc.RetryInfo`.
"""

from __future__ import annotations

import base64
import struct
from enum import IntEnum
from urllib.parse import quote, unquote

from google.protobuf.duration_pb2 import Duration
from google.rpc.error_details_pb2 import ErrorInfo, RetryInfo
from google.rpc.status_pb2 import Status as StatusMessage

PREFIX = struct.Struct(">BI")
UNITS_MS = {"H": 3.6e6, "M": 60_000.0, "S": 1000.0, "m": 1.0, "u": 1e-3, "n": 1e-6}
DOMAIN = "kelptrail"


class Code(IntEnum):
    """Status codes."""

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
    """An answer other than the wanted one.  `retry_ms` tells when to come back; `reason` and `told` go into details."""

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


def timeout_ms(text: str) -> float:
    """`grpc-timeout` in milliseconds: at most 8 digits and a unit.  Raises ValueError."""
    number, unit = text[:-1], text[-1:]
    if not 0 < len(number) <= 8 or not number.isascii() or not number.isdigit() or unit not in UNITS_MS:
        raise ValueError(f"no grpc-timeout: {text[:20]!r}")
    return int(number) * UNITS_MS[unit]


def encode_message(data: bytes) -> bytes:
    """One message, not compressed."""
    return PREFIX.pack(0, len(data)) + data


class MessageReader:
    """Takes in what DATA frames carry; gives whole messages.  Bounded: a message over `most` is refused by its
    prefix, before its bytes are kept."""

    def __init__(self, max_message_bytes: int) -> None:
        self._most, self._buffer = max_message_bytes, bytearray()

    @property
    def partial_bytes(self) -> int:
        """Bytes of a message that is not whole."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Whole messages.  Raises `GrpcError` for a message that is compressed or too large."""
        self._buffer += data
        out: list[bytes] = []
        at = 0
        while len(self._buffer) - at >= PREFIX.size:
            packed, length = PREFIX.unpack_from(self._buffer, at)
            if packed > 1:
                raise GrpcError(Code.INTERNAL, f"a message with flags {packed}, which are not defined")
            if packed:
                raise GrpcError(Code.UNIMPLEMENTED, "a compressed message; no compression is spoken here")
            if length > self._most:
                raise GrpcError(Code.RESOURCE_EXHAUSTED, f"a message of {length} bytes, at most {self._most}")
            if len(self._buffer) - at < PREFIX.size + length:
                break
            at += PREFIX.size
            out.append(bytes(self._buffer[at : at + length]))
            at += length
        if at:
            del self._buffer[:at]
        return out


def encode_trailers(
    code: Code, text: str = "", retry_ms: float | None = None, reason: str = "", details: dict[str, str] | None = None
) -> list[tuple[bytes, bytes]]:
    """What ends a call.  The text is percent-encoded UTF-8; details travel as a `google.rpc.Status`."""
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


def read_trailers(headers: dict[str, str]) -> tuple[Code, str, float | None, str, dict[str, str]]:
    """A call's end as its client reads it: code, text, when to come back (ms), reason, what else is told."""
    code = Code(int(headers.get("grpc-status", "2")))
    retry, reason, told = None, "", dict[str, str]()
    packed = headers.get("grpc-status-details-bin", "")
    if packed:
        status = StatusMessage.FromString(base64.b64decode(packed + "=" * (-len(packed) % 4)))
        for detail in status.details:
            if detail.Is(RetryInfo.DESCRIPTOR):
                info = RetryInfo()
                detail.Unpack(info)
                retry = float(info.retry_delay.ToMilliseconds())
            elif detail.Is(ErrorInfo.DESCRIPTOR):
                why = ErrorInfo()
                detail.Unpack(why)
                reason, told = why.reason, dict(why.metadata)
    return code, unquote(headers.get("grpc-message", "")), retry, reason, told
