"""Framing and messages of the channel between dispatchers: MessagePack over a byte stream; free of I/O.

A frame is four bytes of length, most significant first, and one message: an array that begins with its kind.  The first
message in each direction is `Hello` with the protocol version and the sender's capabilities.  The previous version is
still spoken; of a later version, messages of unknown kinds and fields added at a message's end are skipped.  A frame
that is too large or is no message raises `ChannelError`, which ends the connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

VERSION, OLDEST_VERSION = 2, 1  # 1: edges and planners only; 2: `can`, any peers
LENGTH_BYTES = 4  # of a frame's length, which precedes the message
MAX_FRAME_BYTES = 1 << 26


class ChannelError(ValueError):
    """The peer violated the protocol."""


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """The sender's identity.  `latest_plan`: on an edge, the order of the latest plan that it has seen; `capabilities`:
    message groups that it reads (version 2).
    """

    version: int
    name: str
    lineage: str
    latest_plan: tuple[int, str, int] = (0, "", 0)
    capabilities: tuple[str, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, tag="beat", array_like=True):
    """The sender is alive.  `is_active`, `epoch`: of a planner, whether it is the leader, and its epoch."""

    is_active: bool = False
    epoch: int = 0


_encode = msgspec.msgpack.Encoder().encode
_any = msgspec.msgpack.Decoder(list[Any]).decode
Decode = Callable[[bytes], Any]


def encode_frame(message: msgspec.Struct) -> bytes:
    """Encode one message as a frame."""
    data = _encode(message)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class MessageDecoder(NamedTuple):
    """Decodes messages of known kinds; `tags`: the tags of these kinds."""

    decode: Decode
    tags: frozenset[str]


def decoder(*kinds: type[msgspec.Struct]) -> MessageDecoder:
    """A decoder for these kinds, `Hello` and `Heartbeat`."""
    every: tuple[type[msgspec.Struct], ...] = (Hello, Heartbeat, *kinds)
    union: Any = every[0]
    for kind in every[1:]:
        union = union | kind
    tags = frozenset(str(kind.__struct_config__.tag) for kind in every)
    return MessageDecoder(msgspec.msgpack.Decoder(union).decode, tags)


class FrameReader:
    """Incremental frame parser.  After a `ChannelError` it must not be used any more."""

    def __init__(self, decoder: MessageDecoder, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._decode, self._known_tags = decoder
        self._max_frame_bytes, self._buffer, self._greeted = max_frame_bytes, bytearray(), False
        self.unknown_messages = 0  # messages of kinds that are not known here

    def feed(self, data: bytes | memoryview) -> list[Any]:
        """The messages that are complete with `data`.  Raises `ChannelError`."""
        self._buffer += data
        out: list[Any] = []
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if size > self._max_frame_bytes:
                raise ChannelError(f"a frame of {size} bytes, at most {self._max_frame_bytes}")
            if len(self._buffer) < LENGTH_BYTES + size:
                break
            body = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size])
            del self._buffer[: LENGTH_BYTES + size]
            message = self._decode_body(body)
            if message is None:
                continue
            if self._greeted is isinstance(message, Hello):
                raise ChannelError("one hello, and first" if self._greeted else "a hello must come first")
            if isinstance(message, Hello) and message.version < OLDEST_VERSION:
                raise ChannelError(f"version {message.version}, not {OLDEST_VERSION} to {VERSION}")
            self._greeted = True
            out.append(message)
        return out

    def _decode_body(self, body: bytes) -> Any:
        try:
            return self._decode(body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as cause:
            if self._greeted and self._is_unknown_kind(body):
                self.unknown_messages += 1
                return None
            raise ChannelError(f"no message: {cause}") from None

    def _is_unknown_kind(self, body: bytes) -> bool:
        """Whether a body is a well-formed message of an unknown kind."""
        try:
            parts = _any(body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            return False
        return bool(parts) and isinstance(parts[0], str) and parts[0] not in self._known_tags
