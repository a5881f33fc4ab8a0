"""The text protocol between a dispatcher and the platform's workers; without I/O.

Commands and answers are words on a line that ends in CR LF.  Where the last word is a length, a body of that many bytes
and CR LF follow.  Fields have the form `name=value,name=value`, or `-` for none.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

STATUSES = frozenset({b"OK", b"MISS", b"BUSY", b"ERR", b"VOID", b"UP", b"DOWN"})
MAX_LINE_BYTES = 2_048
_ID = re.compile(rb"[!-~]{1,64}")
_LENGTH = re.compile(rb"0|[1-9][0-9]{0,8}")
_NUMBER = re.compile(r"[0-9]{1,9}")


class LineError(ValueError):
    """Raised for bytes that are not a valid answer."""


class _FieldError(ValueError):
    """Raised for a field of an answer that is malformed or out of range."""


@dataclass(slots=True)
class WorkerAnswer:
    """One answer to the command `id`.

    `status` is one of `STATUSES`.  The known fields, with their names on the wire: `notice` (`tell`), what the worker
    reports about the instance, such as `up` (already loaded) or `crashed` (loading failed); `queue_ahead` (`ahead`),
    the number of requests queued before this one; `loaded_instances` (`units`); `metrics` (`meter`), the load report.
    """

    id: str
    status: str
    body: bytes = b""
    notice: str = ""
    queue_ahead: int = 0
    loaded_instances: int = 0
    metrics: dict[str, float] | None = None


class LineReader:
    """Parses a byte stream into answers.  A line over `MAX_LINE_BYTES` or a body over `max_body_bytes` is rejected."""

    __slots__ = ("_body_bytes", "_buffer", "_head", "_max_body_bytes")

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes, self._buffer = max_body_bytes, bytearray()
        self._head: WorkerAnswer | None = None
        self._body_bytes = 0

    @property
    def partial(self) -> bool:
        """Whether the start of an answer was read but not its end."""
        return self._head is not None or bool(self._buffer)

    def feed(self, data: memoryview | bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next(self) -> WorkerAnswer | None:
        """Return the next complete answer, or None.  Raises `LineError`."""
        buffer = self._buffer
        if self._head is None:
            end = buffer.find(b"\r\n", 0, MAX_LINE_BYTES + 2)
            if end < 0:
                if len(buffer) > MAX_LINE_BYTES:
                    raise LineError(f"a line exceeds {MAX_LINE_BYTES} bytes")
                return None
            self._head, self._body_bytes = self._read_head(bytes(buffer[:end]))
            del buffer[: end + 2]
        if len(buffer) < self._body_bytes + 2:
            return None
        if buffer[self._body_bytes : self._body_bytes + 2] != b"\r\n":
            raise LineError("a body is not followed by CR LF")
        answer, self._head = self._head, None
        answer.body = bytes(buffer[: self._body_bytes])
        del buffer[: self._body_bytes + 2]
        return answer

    def _read_head(self, line: bytes) -> tuple[WorkerAnswer, int]:
        words = line.split(b" ")
        if (
            len(words) != 4
            or words[1] not in STATUSES
            or not _ID.fullmatch(words[0])
            or (not _LENGTH.fullmatch(words[3]))
        ):
            raise LineError("a line is not an answer")
        if (body_bytes := int(words[3])) > self._max_body_bytes:
            raise LineError(f"a body of {body_bytes} bytes exceeds {self._max_body_bytes} bytes")
        answer = WorkerAnswer(words[0].decode(), words[1].decode())
        if words[2] != b"-":
            try:
                for part in words[2].decode("ascii").split(","):
                    _read_field(answer, part)
            except ValueError as cause:  # `_FieldError`, or a number or text that cannot be decoded
                raise LineError(f"invalid fields: {cause}") from None
        return answer, body_bytes


def _read_field(answer: WorkerAnswer, part: str) -> None:
    name, equals, value = part.partition("=")
    if not equals:
        raise _FieldError("a field has no value")
    if name == "tell":
        answer.notice = value
    elif name == "ahead":
        answer.queue_ahead = _read_number(value)
    elif name == "units":
        answer.loaded_instances = _read_number(value)
    elif name == "meter" and value:
        answer.metrics = {}
        for metric in value.split(";"):
            metric_name, _, text = metric.partition(":")
            answer.metrics[metric_name] = float(text)
            if not 0 <= answer.metrics[metric_name] < 1e9:
                raise _FieldError("a metric is out of range")


def _read_number(text: str) -> int:
    if not _NUMBER.fullmatch(text):
        raise _FieldError("a field is not a number of 1 to 9 digits")
    return int(text)


def encode_call(id_: str, class_: str, item: str, limit_ms: int, nonce: str, body: bytes) -> bytes:
    """Encode the command that runs a request.

    `class_` is the name of the request class, `item` the id of the function, `limit_ms` the remaining time and `nonce`
    the idempotency key (empty: none).
    """
    nonce_text = f",nonce={nonce}" if nonce else ""
    return f"CALL {id_} cls={class_},item={item},limit={limit_ms}{nonce_text} {len(body)}\r\n".encode() + body + b"\r\n"


def encode_cancel(id_: str) -> bytes:
    """Encode the command that cancels a request."""
    return f"CANCEL {id_}\r\n".encode()


def encode_load(tag: str, item: str, units: int) -> bytes:
    """Encode the command to keep at least `units` instances loaded; 0 only queries how many there are."""
    return f"LOAD {tag} item={item},units={units}\r\n".encode()


def encode_health_check(tag: str) -> bytes:
    """Encode the health check command; the worker answers UP if it accepts new work, else DOWN."""
    return f"PING {tag}\r\n".encode()
