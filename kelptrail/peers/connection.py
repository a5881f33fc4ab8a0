"""One connection to a peer: who it is, what it can read, what waits for it, how fast it speaks; free of I/O.

Everything is bounded: what waits to be written in bytes, what comes in messages a second.  What goes beyond is dropped
and counted, and costs this link alone; whoever uses the channel must do with losses anyway.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec

from .messages import OLDEST_VERSION, VERSION, ChannelError, Decode, FrameReader, Heartbeat, Hello, encode_frame


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Times in milliseconds.  `beat_ms`: after so long without a word a heartbeat goes; `silent_ms`: after so long
    without one the peer counts as gone; `most_bytes`: that wait to be written; `per_s`: messages that are taken from a
    peer, and as many at once; `most_frame`: bytes of one message."""

    heartbeat_ms: float = 500.0
    silence_timeout_ms: float = 3000.0
    connect_timeout_ms: float = 1000.0
    max_pending_bytes: int = 1 << 20
    max_messages_per_s: float = 2000.0
    max_frame_bytes: int = 1 << 20


class PeerConnection:
    """One connection.  `hello` is what this side says of itself."""

    def __init__(self, hello: Hello, settings: PeerSettings, read: tuple[Decode, frozenset[str]], now: float) -> None:
        self._settings, self._lineage = settings, hello.lineage
        self._reader = FrameReader(read, settings.max_frame_bytes)
        self.output: deque[bytes] = deque([encode_frame(hello)])
        self.pending_bytes = len(self.output[0])  # bytes
        self.peer, self.version, self.capabilities = "", OLDEST_VERSION, frozenset[str]()
        self.last_heard = self._last_sent = now
        self._rate_tokens, self._tokens_updated = settings.max_messages_per_s, now
        self.received = self.sent = self.dropped = self.rate_limited = 0

    @property
    def unknown_messages(self) -> int:
        """Messages of kinds that are not known here."""
        return self._reader.unknown_messages

    def receive_data(self, now: float, data: bytes | memoryview) -> list[Any]:
        """Messages in what came, without greetings and heartbeats.  Raises `ChannelError`."""
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
        if not hello.name or len(hello.name) > 200:
            raise ChannelError("a peer says who it is")
        self.peer, self.version, self.capabilities = (
            hello.name,
            min(VERSION, hello.version),
            frozenset(hello.capabilities),
        )

    def enqueue(self, now: float, message: msgspec.Struct, needs: str) -> bool:
        """Put a message into the output; False where the peer cannot read it or too much waits already."""
        if needs not in self.capabilities:
            return False
        return self._enqueue_frame(now, encode_frame(message))

    def tick(self, now: float) -> bool:
        """Heartbeats; False once the peer counts as gone."""
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
        """All that waits, to be written now."""
        data = b"".join(self.output)
        self.output.clear()
        self.pending_bytes = 0
        return data
