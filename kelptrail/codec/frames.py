"""The binary frames of the platform's clients; free of I/O.

A frame is a length, a type, a stream and a payload; the length counts all that follows it.  Fields are counted
name-value pairs of text.  Numbers are unsigned and big-endian.
"""

from __future__ import annotations

from struct import Struct

REQUEST, ANSWER, CANCEL, READY_QUERY, READY, GO_AWAY = 65, 66, 67, 80, 81, 90
SERVED, REFUSED, FAILED = 0, 8, 13
MAX_BODY_BYTES = 16_384  # bytes that a body may hold

_HEAD = Struct(">IBI")
_SIZE = Struct(">H")


class FrameError(ValueError):
    """Bytes that are no frame, or a payload that is none of its type; `stream` is 0 where none is known."""

    def __init__(self, what: str, stream: int = 0) -> None:
        super().__init__(what)
        self.stream = stream


class FrameReader:
    """Takes in bytes as they come; hands out whole frames.  Bounded by the longest that can be meant."""

    __slots__ = ("_buffer", "_most")

    def __init__(self, max_length: int = 2 * MAX_BODY_BYTES) -> None:
        self._most, self._buffer = max_length, bytearray()

    def __len__(self) -> int:
        """Bytes held of what is not whole."""
        return len(self._buffer)

    def feed(self, data: memoryview | bytes) -> None:
        """Take in bytes."""
        self._buffer += data

    def next(self) -> tuple[int, int, bytes] | None:
        """Type, stream and payload of the next whole frame, or None.  Raises `FrameError`."""
        buffer = self._buffer
        if len(buffer) < 4:
            return None
        length = int.from_bytes(buffer[:4], "big")
        if length < 5:
            raise FrameError(f"a frame of length {length}")
        if length > self._most:
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
    """The fields at the start of a payload, and where they end.  Raises `FrameError`."""
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
    """One frame."""
    return _HEAD.pack(5 + len(payload), kind, stream) + payload


def encode_fields(named: dict[str, str]) -> bytes:
    """Fields as they stand in a payload."""
    out = [bytes((len(named),))]
    for name, value in named.items():
        key, text = name.encode(), value.encode()
        out += [bytes((len(key),)), key, _SIZE.pack(len(text)), text]
    return b"".join(out)


def encode_answer(stream: int, code: int, body: bytes = b"", later_ms: int = 0) -> bytes:
    """A request's answer; `later_ms` is how long its client should stay away."""
    said = encode_fields({"later": str(later_ms)}) if later_ms else b"\0"
    return _HEAD.pack(6 + len(said) + len(body), ANSWER, stream) + bytes((code,)) + said + body


def encode_ready(stream: int, is_ready: bool) -> bytes:
    """The answer to whether the dispatcher is ready."""
    return encode_frame(READY, stream, bytes((SERVED if is_ready else REFUSED, 0)))
