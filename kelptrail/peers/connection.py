"""One connection to a peer: handshake, message rates and output buffer; free of I/O.

Buffered output is bounded in bytes, received messages in number per second.  Messages beyond a bound are dropped and
counted, and affect this connection only; the users of the channel must tolerate lost messages anyway.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec

from .messages import OLDEST_VERSION, VERSION, ChannelError, FrameReader, Heartbeat, Hello, MessageDecoder, encode_frame

MAX_NAME_LENGTH = 200  # longest name of a peer, in characters


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Limits of a connection.

    - `heartbeat_ms`: time without output after which a heartbeat is sent.
    - `silence_timeout_ms`: time without input after which the connection is closed.
    - `connect_timeout_ms`: time limit for opening a connection.
    - `max_pending_bytes`: limit on buffered output.
    - `max_messages_per_s`: rate limit on messages accepted from a peer, and the largest burst.
    - `max_frame_bytes`: size limit of a received message.
    """

    heartbeat_ms: float = 500.0
    silence_timeout_ms: float = 3000.0
    connect_timeout_ms: float = 1000.0
    max_pending_bytes: int = 1 << 20
    max_messages_per_s: float = 2000.0
    max_frame_bytes: int = 1 << 20


class PeerConnection:
    """One connection.  `hello` is the first message to the peer, `decoder` a result of `messages.decoder`."""

    def __init__(self, hello: Hello, settings: PeerSettings, decoder: MessageDecoder, now: float) -> None:
        self._settings, self._lineage = settings, hello.lineage
        self._reader = FrameReader(decoder, settings.max_frame_bytes)
        self.output: deque[bytes] = deque([encode_frame(hello)])
        self.pending_bytes = len(self.output[0])
        self.peer, self.version, self.capabilities = "", OLDEST_VERSION, frozenset[str]()
        self.last_received_at = self._last_sent_at = now
        self._rate_tokens, self._rate_tokens_updated_at = settings.max_messages_per_s, now
        self.received = self.sent = self.dropped = self.rate_limited = 0

    @property
    def unknown_messages(self) -> int:
        """Number of received messages of unknown types."""
        return self._reader.unknown_messages

    def receive_data(self, now: float, data: bytes | memoryview) -> list[Any]:
        """Return the messages that `data` completes.  Raises `ChannelError`.

        Hellos, heartbeats, and messages beyond the rate limit are left out.
        """
        self.last_received_at, messages = now, []
        self._rate_tokens = min(
            self._settings.max_messages_per_s,
            self._rate_tokens + (now - self._rate_tokens_updated_at) / 1000 * self._settings.max_messages_per_s,
        )
        self._rate_tokens_updated_at = now
        for message in self._reader.feed(data):
            if isinstance(message, Hello):
                self._on_hello(message)
            elif not isinstance(message, Heartbeat):
                if self._rate_tokens < 1:
                    self.rate_limited += 1
                    continue
                self._rate_tokens -= 1
                self.received += 1
                messages.append(message)
        return messages

    def _on_hello(self, hello: Hello) -> None:
        if hello.lineage != self._lineage:
            raise ChannelError(f"the peer has lineage {hello.lineage!r}, expected {self._lineage!r}")
        if not hello.name or len(hello.name) > MAX_NAME_LENGTH:
            raise ChannelError("a hello must contain a name of valid length")
        self.peer, self.version, self.capabilities = (
            hello.name,
            min(VERSION, hello.version),
            frozenset(hello.capabilities),
        )

    def enqueue(self, now: float, message: msgspec.Struct, capability: str) -> bool:
        """Buffer a message for output; return False if the peer lacks the capability or the buffer is full."""
        if capability not in self.capabilities:
            return False
        return self._enqueue_frame(now, encode_frame(message))

    def tick(self, now: float) -> bool:
        """Buffer a heartbeat if one is due; return False once the peer has been silent for too long."""
        if now - self._last_sent_at >= self._settings.heartbeat_ms:
            self._enqueue_frame(now, encode_frame(Heartbeat()))
        return now - self.last_received_at < self._settings.silence_timeout_ms

    def _enqueue_frame(self, now: float, data: bytes) -> bool:
        if self.pending_bytes + len(data) > self._settings.max_pending_bytes:
            self.dropped += 1
            return False
        self.output.append(data)
        self.pending_bytes += len(data)
        self.sent += 1
        self._last_sent_at = now
        return True

    def data_to_send(self) -> bytes:
        """Remove the buffered output and return it."""
        data = b"".join(self.output)
        self.output.clear()
        self.pending_bytes = 0
        return data
