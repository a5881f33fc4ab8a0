"""One connection to a peer: handshake, message rates and output buffer; free of I/O.

Everything is bounded: buffered output in bytes, received messages per second.  Messages beyond a bound are dropped and
counted, and affect this connection only; the users of the channel must tolerate losses anyway.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec

from .messages import OLDEST_VERSION, VERSION, ChannelError, FrameReader, Heartbeat, Hello, MessageDecoder, encode_frame

MAX_NAME_CHARACTERS = 200  # of a peer's name


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Limits of a connection.

    `heartbeat_ms`: a heartbeat is sent after so long without output; `silence_timeout_ms`: the peer counts as gone
    after so long without input; `max_pending_bytes`: buffered output; `max_messages_per_s`: accepted from a peer, also
    the burst size; `max_frame_bytes`: size of one message.
    """

    heartbeat_ms: float = 500.0
    silence_timeout_ms: float = 3000.0
    connect_timeout_ms: float = 1000.0
    max_pending_bytes: int = 1 << 20
    max_messages_per_s: float = 2000.0
    max_frame_bytes: int = 1 << 20


class PeerConnection:
    """One connection.  `hello`: this side's greeting; `decoder`: the result of `messages.decoder`."""

    def __init__(self, hello: Hello, settings: PeerSettings, decoder: MessageDecoder, now: float) -> None:
        self._settings, self._lineage = settings, hello.lineage
        self._reader = FrameReader(decoder, settings.max_frame_bytes)
        self.output: deque[bytes] = deque([encode_frame(hello)])
        self.pending_bytes = len(self.output[0])
        self.peer, self.version, self.capabilities = "", OLDEST_VERSION, frozenset[str]()
        self.last_heard = self._last_sent = now
        self._rate_tokens, self._tokens_updated = settings.max_messages_per_s, now
        self.received = self.sent = self.dropped = self.rate_limited = 0

    @property
    def unknown_messages(self) -> int:
        """Number of received messages of unknown kinds."""
        return self._reader.unknown_messages

    def receive_data(self, now: float, data: bytes | memoryview) -> list[Any]:
        """The messages in received bytes, without greetings and heartbeats.  Raises `ChannelError`."""
        self.last_heard, out = now, []
        self._rate_tokens = min(
            self._settings.max_messages_per_s,
            self._rate_tokens + (now - self._tokens_updated) / 1000 * self._settings.max_messages_per_s,
        )
        self._tokens_updated = now
        for message in self._reader.feed(data):
            if isinstance(message, Hello):
                self._on_hello(message)
            elif not isinstance(message, Heartbeat):
                if self._rate_tokens < 1:
                    self.rate_limited += 1
                    continue
                self._rate_tokens -= 1
                self.received += 1
                out.append(message)
        return out

    def _on_hello(self, hello: Hello) -> None:
        if hello.lineage != self._lineage:
            raise ChannelError(f"lineage {hello.lineage!r}, not {self._lineage!r}")
        if not hello.name or len(hello.name) > MAX_NAME_CHARACTERS:
            raise ChannelError("a peer says who it is")
        self.peer, self.version, self.capabilities = (
            hello.name,
            min(VERSION, hello.version),
            frozenset(hello.capabilities),
        )

    def enqueue(self, now: float, message: msgspec.Struct, needs: str) -> bool:
        """Buffer a message for output; False where the peer lacks the capability `needs`, or the buffer is full."""
        if needs not in self.capabilities:
            return False
        return self._enqueue_frame(now, encode_frame(message))

    def tick(self, now: float) -> bool:
        """Send a heartbeat if one is due; False once the peer counts as gone."""
        if now - self._last_sent >= self._settings.heartbeat_ms:
            self._enqueue_frame(now, encode_frame(Heartbeat()))
        return now - self.last_heard < self._settings.silence_timeout_ms

    def _enqueue_frame(self, now: float, data: bytes) -> bool:
        if self.pending_bytes + len(data) > self._settings.max_pending_bytes:
            self.dropped += 1
            return False
        self.output.append(data)
        self.pending_bytes += len(data)
        self.sent += 1
        self._last_sent = now
        return True

    def data_to_send(self) -> bytes:
        """Take the buffered output."""
        data = b"".join(self.output)
        self.output.clear()
        self.pending_bytes = 0
        return data
