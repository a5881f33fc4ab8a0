"""The binary frames between the platform's clients and a dispatcher; without I/O.

A frame is a length (4 bytes), a type (1), a stream id (4) and a payload; the length counts all that follows it.  Fields
are a count (1 byte) and that many pairs of text: name length (1), name, value length (2), value.  Numbers are unsigned
and big-endian.
"""

from __future__ import annotations

from struct import Struct

REQUEST, ANSWER, CANCEL, READY_QUERY, READY, GO_AWAY = 65, 66, 67, 80, 81, 90  # frame types
SERVED, REFUSED, FAILED = 0, 8, 13  # status codes of an answer
MAX_BODY_BYTES = 16_384

_HEAD = Struct(">IBI")
_SIZE = Struct(">H")


class FrameError(ValueError):
    """Bytes that are not a valid frame, or a payload that its type does not allow; `stream` is 0 where unknown."""

    def __init__(self, what: str, stream: int = 0) -> None:
        super().__init__(what)
        self.stream = stream


class FrameReader:
    """Parses a byte stream into frames.  A frame whose length field is over `max_length` bytes is rejected."""

    __slots__ = ("_buffer", "_max_length")

    def __init__(self, max_length: int = 2 * MAX_BODY_BYTES) -> None:
        self._max_length, self._buffer = max_length, bytearray()

    def __len__(self) -> int:
        """Bytes buffered of a frame that is not complete."""
        return len(self._buffer)

    def feed(self, data: memoryview | bytes) -> None:
        """Add bytes that were received."""
        self._buffer += data

    def next(self) -> tuple[int, int, bytes] | None:
        """Type, stream id and payload of the next complete frame, or None.  Raises `FrameError`.

        A bare tuple: this runs once for each frame, and a named one costs several times as much to make.
        """
        buffer = self._buffer
        if len(buffer) < 4:
            return None
        length = int.from_bytes(buffer[:4], "big")
        if length < 5:
            raise FrameError(f"a frame of length {length}")
        if length > self._max_length:
            if len(buffer) < 9:
                return None if length <= 16 * MAX_BODY_BYTES else self._too_long(length, 0)
            return self._too_long(length, int.from_bytes(buffer[5:9], "big"))
        if len(buffer) < 4 + length:
            return None
        payload = bytes(buffer[9 : 4 + length])
        kind, stream = buffer[4], int.from_bytes(buffer[5:9], "big")
        del buffer[: 4 + length]
        return kind, stream, payload

    @staticmethod
    def _too_long(length: int, stream: int) -> None:
        raise FrameError(f"a frame of length {length}", stream)


def read_fields(payload: bytes) -> tuple[dict[str, str], int]:
    """The fields at the start of a payload, and the offset after them.  Raises `FrameError`."""
    try:
        count, at, fields = payload[0], 1, {}
        for _ in range(count):
            end = at + 1 + payload[at]
            name = payload[at + 1 : end].decode()
            at = end + 2 + (payload[end] << 8 | payload[end + 1])
            if at > len(payload) or name in fields:
                raise FrameError("fields beyond the payload" if at > len(payload) else f"field {name!r} twice")
            fields[name] = payload[end + 2 : at].decode()
    except IndexError:
        raise FrameError("fields beyond the payload") from None
    except UnicodeDecodeError:
        raise FrameError("fields that are no text") from None
    return fields, at


def encode_frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """One frame of type `kind`."""
    return _HEAD.pack(5 + len(payload), kind, stream) + payload


def encode_fields(named: dict[str, str]) -> bytes:
    """Fields in the form that `read_fields` reads."""
    out = [bytes((len(named),))]
    for name, value in named.items():
        key, text = name.encode(), value.encode()
        out += [bytes((len(key),)), key, _SIZE.pack(len(text)), text]
    return b"".join(out)


def encode_answer(stream: int, code: int, body: bytes = b"", retry_after_ms: int = 0) -> bytes:
    """The answer to a request; `retry_after_ms` asks the client to wait that long before it retries."""
    header = encode_fields({"later": str(retry_after_ms)}) if retry_after_ms else b"\0"
    return _HEAD.pack(6 + len(header) + len(body), ANSWER, stream) + bytes((code,)) + header + body


def encode_ready(stream: int, is_ready: bool) -> bytes:
    """The answer to a `READY_QUERY`."""
    return encode_frame(READY, stream, bytes((SERVED if is_ready else REFUSED, 0)))
