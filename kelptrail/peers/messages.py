"""Framing and messages of the channel between dispatchers: MessagePack over a byte stream; free of I/O.

A frame is four bytes of length, most significant first, and one message: an array that begins with the tag of the
message's type.  The first message in each direction is `Hello` with the protocol version and the sender's capabilities.
The previous version is still supported.  Messages of unknown types and additional fields at the end of a message are
skipped, because peers with a later version may send them.  A frame that is too large or contains no valid message
raises `ChannelError`, which ends the connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

VERSION, OLDEST_VERSION = 2, 1  # version 1: only edges and planners; version 2: all peers, and `Hello.capabilities`
LENGTH_BYTES = 4  # size of the length field that precedes the message in a frame
MAX_FRAME_BYTES = 1 << 26


class ChannelError(ValueError):
    """The peer violated the protocol."""


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """The sender's identity.

    `lineage`: name of the deployment, which must be the same at both ends.
    `latest_plan`: `planner.plan.PlanOrder` of the latest plan that the sending edge has accepted or read from disk.
    `capabilities`: groups of messages that the sender supports (since version 2).
    """

    version: int
    name: str
    lineage: str
    latest_plan: tuple[int, str, int] = (0, "", 0)
    capabilities: tuple[str, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, tag="beat", array_like=True):
    """Shows that the sender is running.  A planner sets `is_active` if it is the leader, and `epoch` to its epoch."""

    is_active: bool = False
    epoch: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decode_untyped = msgspec.msgpack.Decoder(list[Any]).decode
Decode = Callable[[bytes], Any]


def encode_frame(message: msgspec.Struct) -> bytes:
    """Encode one message as a frame."""
    data = _encode(message)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class MessageDecoder(NamedTuple):
    """Decodes messages of known types; `tags` contains the tags of these types."""

    decode: Decode
    tags: frozenset[str]


def decoder(*message_types: type[msgspec.Struct]) -> MessageDecoder:
    """Create a decoder for these types, `Hello` and `Heartbeat`."""
    known_types: tuple[type[msgspec.Struct], ...] = (Hello, Heartbeat, *message_types)
    union: Any = known_types[0]
    for message_type in known_types[1:]:
        union = union | message_type
    tags = frozenset(str(message_type.__struct_config__.tag) for message_type in known_types)
    return MessageDecoder(msgspec.msgpack.Decoder(union).decode, tags)


class FrameReader:
    """Incremental frame parser.  It must not be used after it has raised a `ChannelError`."""

    def __init__(self, decoder: MessageDecoder, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._decode, self._known_tags = decoder
        self._max_frame_bytes, self._buffer, self._hello_received = max_frame_bytes, bytearray(), False
        self.unknown_messages = 0  # number of skipped messages of unknown types

    def feed(self, data: bytes | memoryview) -> list[Any]:
        """Return the messages that `data` completes.  Raises `ChannelError`."""
        self._buffer += data
        messages: list[Any] = []
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if size > self._max_frame_bytes:
                raise ChannelError(f"a frame of {size} bytes exceeds the limit of {self._max_frame_bytes}")
            if len(self._buffer) < LENGTH_BYTES + size:
                break
            body = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size])
            del self._buffer[: LENGTH_BYTES + size]
            message = self._decode_body(body)
            if message is None:
                continue
            if self._hello_received is isinstance(message, Hello):
                raise ChannelError("only one hello is allowed" if self._hello_received else "a hello must come first")
            if isinstance(message, Hello) and message.version < OLDEST_VERSION:
                raise ChannelError(f"version {message.version}, supported are {OLDEST_VERSION} to {VERSION}")
            self._hello_received = True
            messages.append(message)
        return messages

    def _decode_body(self, body: bytes) -> Any:
        try:
            return self._decode(body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as cause:
            if self._hello_received and self._is_unknown_type(body):
                self.unknown_messages += 1
                return None
            raise ChannelError(f"invalid message: {cause}") from None

    def _is_unknown_type(self, body: bytes) -> bool:
        """Return whether a body is a well-formed message of an unknown type."""
        try:
            parts = _decode_untyped(body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            return False
        return bool(parts) and isinstance(parts[0], str) and parts[0] not in self._known_tags
