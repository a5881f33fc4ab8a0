"""Binary frames between the platform's clients and a dispatcher; without I/O.

A frame is a length (4 bytes), a type (1), a stream id (4) and a payload.  The length counts the bytes that follow it.
Fields are a count (1 byte) and that many pairs of text: name length (1), name, value length (2), value.  Numbers are
unsigned and big-endian.
"""

from __future__ import annotations

from struct import Struct

REQUEST, ANSWER, CANCEL, READY_QUERY, READY, GO_AWAY = 65, 66, 67, 80, 81, 90  # frame types
SERVED, REFUSED, FAILED = 0, 8, 13  # status codes of an answer
MAX_BODY_BYTES = 16_384

_HEAD = Struct(">IBI")
_SIZE = Struct(">H")


class FrameError(ValueError):
    """Raised for an invalid frame, or a payload that its type does not allow.  `stream` is 0 where it is unknown."""

    def __init__(self, text: str, stream: int = 0) -> None:
        super().__init__(text)
        self.stream = stream


class FrameReader:
    """Parses a byte stream into frames.  A frame whose length field is over `max_length` bytes is rejected."""

    __slots__ = ("_buffer", "_max_length")

    def __init__(self, max_length: int = 2 * MAX_BODY_BYTES) -> None:
        self._max_length, self._buffer = max_length, bytearray()

    def __len__(self) -> int:
        """Return the number of buffered bytes of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: memoryview | bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next(self) -> tuple[int, int, bytes] | None:
        """Return type, stream id and payload of the next complete frame, or None.  Raises `FrameError`.

        The result is a plain tuple because this runs for each frame and a named tuple costs several times as much to
        create.
        """
        buffer = self._buffer
        if len(buffer) < 4:
            return None
        length = int.from_bytes(buffer[:4], "big")
        if length < 5:
            raise FrameError(f"invalid frame length {length}")
        # The error names the stream, so the id of the stream is awaited unless the length is far too great.
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
        raise FrameError(f"invalid frame length {length}", stream)


def read_fields(payload: bytes) -> tuple[dict[str, str], int]:
    """Return the fields at the start of a payload and the offset after them.  Raises `FrameError`."""
    try:
        count, offset, fields = payload[0], 1, {}
        for _ in range(count):
            end = offset + 1 + payload[offset]
            name = payload[offset + 1 : end].decode()
            offset = end + 2 + (payload[end] << 8 | payload[end + 1])
            if offset > len(payload) or name in fields:
                raise FrameError(
                    "fields exceed the payload" if offset > len(payload) else f"field {name!r} is repeated"
                )
            fields[name] = payload[end + 2 : offset].decode()
    except IndexError:
        raise FrameError("fields exceed the payload") from None
    except UnicodeDecodeError:
        raise FrameError("fields are not valid UTF-8") from None
    return fields, offset


def encode_frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Encode one frame of type `kind`."""
    return _HEAD.pack(5 + len(payload), kind, stream) + payload


def encode_fields(fields: dict[str, str]) -> bytes:
    """Encode fields in the form that `read_fields` reads."""
    out = [bytes((len(fields),))]
    for name, value in fields.items():
        key, text = name.encode(), value.encode()
        out += [bytes((len(key),)), key, _SIZE.pack(len(text)), text]
    return b"".join(out)


def encode_answer(stream: int, code: int, body: bytes = b"", retry_after_ms: int = 0) -> bytes:
    """Encode the answer to a request.

    `retry_after_ms` is how long the client should wait before a retry (0: not given); its field is named `later`.
    """
    fields = encode_fields({"later": str(retry_after_ms)}) if retry_after_ms else b"\0"
    # The length counts the type (1), the stream id (4), the status code (1), the fields and the body.
    return _HEAD.pack(6 + len(fields) + len(body), ANSWER, stream) + bytes((code,)) + fields + body


def encode_ready(stream: int, is_ready: bool) -> bytes:
    """Encode the answer to a `READY_QUERY`."""
    return encode_frame(READY, stream, bytes((SERVED if is_ready else REFUSED, 0)))
