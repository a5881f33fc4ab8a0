"""The client frames of the protocol page."""

from __future__ import annotations

import asyncio
import struct

REQUEST, ANSWER, CANCEL, READY_QUERY, READY, GO_AWAY = 65, 66, 67, 80, 81, 90
SERVED, REFUSED, FAILED = 0, 8, 13


def encode_fields(fields: dict[str, str]) -> bytes:
    """Encode the fields of a frame."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts.append(bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode())
    return b"".join(parts)


def encode_frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Encode one frame."""
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def decode_answer(payload: bytes) -> tuple[int, bytes]:
    """Return the code and the body of an answer."""
    offset = 2
    for _ in range(payload[1]):
        offset += 1 + payload[offset]
        offset += 2 + (payload[offset] << 8 | payload[offset + 1])
    return payload[0], payload[offset:]


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, int, bytes]:
    """Return type, stream and payload of the next frame.  Raises `IncompleteReadError` or `OSError` at the end."""
    length = int.from_bytes(await reader.readexactly(4), "big")
    data = await reader.readexactly(length)
    return data[0], int.from_bytes(data[1:5], "big"), data[5:]
