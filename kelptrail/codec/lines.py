"""The lines between a dispatcher and the platform's workers; free of I/O.

Commands and answers are words on a line that ends in CR LF; where the last word is a length, so many bytes and CR LF
follow.  Fields are `name=value,name=value`, or `-` for none.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

STATUSES = frozenset({b"OK", b"MISS", b"BUSY", b"ERR", b"VOID", b"UP", b"DOWN"})
MAX_LINE_BYTES = 2_048  # bytes that a line may hold
_ID = re.compile(rb"[!-~]{1,64}")
_LENGTH = re.compile(rb"0|[1-9][0-9]{0,8}")
_NUMBER = re.compile(r"[0-9]{1,9}")


class LineError(ValueError):
    """Bytes that are no answer."""


@dataclass(slots=True)
class WorkerAnswer:
    """One answer: under which id, what it says, and its fields, as far as they are known."""

    id: str
    status: str
    body: bytes = b""
    notice: str = ""
    queue_ahead: int = 0
    loaded_instances: int = 0
    metrics: dict[str, float] | None = None


class LineReader:
    """Takes in bytes as they come; hands out whole answers.  Bounded by the longest body that can be passed on."""

    __slots__ = ("_buffer", "_head", "_most", "_need")

    def __init__(self, max_body_bytes: int) -> None:
        self._most, self._buffer = max_body_bytes, bytearray()
        self._head: WorkerAnswer | None = None
        self._need = 0

    @property
    def partial(self) -> bool:
        """Whether an answer has begun and is not whole."""
        return self._head is not None or bool(self._buffer)

    def feed(self, data: memoryview | bytes) -> None:
        """Take in bytes."""
        self._buffer += data

    def next(self) -> WorkerAnswer | None:
        """The next whole answer, or None.  Raises `LineError`."""
        buffer = self._buffer
        if self._head is None:
            end = buffer.find(b"\r\n", 0, MAX_LINE_BYTES + 2)
            if end < 0:
                if len(buffer) > MAX_LINE_BYTES:
                    raise LineError("a line that does not end")
                return None
            self._head, self._need = self._read(bytes(buffer[:end]))
            del buffer[: end + 2]
        if len(buffer) < self._need + 2:
            return None
        if buffer[self._need : self._need + 2] != b"\r\n":
            raise LineError("a body that does not end where it should")
        answer, self._head = self._head, None
        answer.body = bytes(buffer[: self._need])
        del buffer[: self._need + 2]
        return answer

    def _read(self, line: bytes) -> tuple[WorkerAnswer, int]:
        words = line.split(b" ")
        if (
            len(words) != 4
            or words[1] not in STATUSES
            or not _ID.fullmatch(words[0])
            or (not _LENGTH.fullmatch(words[3]))
        ):
            raise LineError("a line that is no answer")
        if (need := int(words[3])) > self._most:
            raise LineError(f"a body of {need} bytes")
        answer = WorkerAnswer(words[0].decode(), words[1].decode())
        if words[2] != b"-":
            try:
                for part in words[2].decode("ascii").split(","):
                    _read_field(answer, part)
            except ValueError as cause:
                raise LineError(f"fields that cannot be read: {cause}") from None
        return answer, need


def _read_field(answer: WorkerAnswer, part: str) -> None:
    name, equals, value = part.partition("=")
    if not equals:
        raise ValueError("no value")
    if name == "tell":
        answer.notice = value
    elif name == "ahead":
        answer.queue_ahead = _number(value)
    elif name == "units":
        answer.loaded_instances = _number(value)
    elif name == "meter" and value:
        answer.metrics = {}
        for figure in value.split(";"):
            named, _, text = figure.partition(":")
            answer.metrics[named] = float(text)
            if not 0 <= answer.metrics[named] < 1e9:
                raise ValueError("a figure out of range")


def _number(text: str) -> int:
    if not _NUMBER.fullmatch(text):
        raise ValueError("no number")
    return int(text)


def encode_call(id_: str, class_: str, item: str, limit_ms: int, nonce: str, body: bytes) -> bytes:
    """The command that passes a request on."""
    key = f",nonce={nonce}" if nonce else ""
    return f"CALL {id_} cls={class_},item={item},limit={limit_ms}{key} {len(body)}\r\n".encode() + body + b"\r\n"


def encode_cancel(id_: str) -> bytes:
    """The command that gives a request up."""
    return f"CANCEL {id_}\r\n".encode()


def encode_load(tag: str, item: str, units: int) -> bytes:
    """The order to hold at least so many copies; 0 only asks."""
    return f"LOAD {tag} item={item},units={units}\r\n".encode()
