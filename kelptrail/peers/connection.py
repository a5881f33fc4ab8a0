"""One connection to a peer: who it is, what it can read, what waits for it, how fast it speaks; free of I/O.

Everything is bounded: what waits to be written in bytes, what comes in messages a second.  What goes beyond is dropped
and counted, and costs this link alone; whoever uses the channel must do with losses anyway.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec

from .messages import OLDEST, VERSION, ChannelError, Decode, FrameReader, Heartbeat, Hello, frame


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Times in milliseconds.  `beat_ms`: after so long without a word a heartbeat goes; `silent_ms`: after so long
    without one the peer counts as gone; `most_bytes`: that wait to be written; `per_s`: messages that are taken from a
    peer, and as many at once; `most_frame`: bytes of one message."""

    beat_ms: float = 500.0
    silent_ms: float = 3000.0
    connect_ms: float = 1000.0
    most_bytes: int = 1 << 20
    per_s: float = 2000.0
    most_frame: int = 1 << 20


class PeerConnection:
    """One connection.  `hello` is what this side says of itself."""

    def __init__(self, hello: Hello, settings: PeerSettings, read: tuple[Decode, frozenset[str]], now: float) -> None:
        self._settings, self._lineage = settings, hello.lineage
        self._reader = FrameReader(read, settings.most_frame)
        self.out: deque[bytes] = deque([frame(hello)])
        self.waiting = len(self.out[0])  # bytes
        self.peer, self.version, self.can = "", OLDEST, frozenset[str]()
        self.heard = self._spoke = now
        self._left, self._counted = settings.per_s, now
        self.came = self.sent = self.dropped = self.flooded = 0

    @property
    def passed_over(self) -> int:
        """Messages of kinds that are not known here."""
        return self._reader.passed_over

    def feed(self, now: float, data: bytes | memoryview) -> list[Any]:
        """Messages in what came, without greetings and heartbeats.  Raises `ChannelError`."""
        self.heard, out = now, []
        self._left = min(self._settings.per_s, self._left + (now - self._counted) / 1000 * self._settings.per_s)
        self._counted = now
        for message in self._reader.feed(data):
            if isinstance(message, Hello):
                self._greeted(message)
            elif not isinstance(message, Heartbeat):
                if self._left < 1:
                    self.flooded += 1
                    continue
                self._left -= 1
                self.came += 1
                out.append(message)
        return out

    def _greeted(self, hello: Hello) -> None:
        if hello.lineage != self._lineage:
            raise ChannelError(f"lineage {hello.lineage!r}, not {self._lineage!r}")
        if not hello.who or len(hello.who) > 200:
            raise ChannelError("a peer says who it is")
        self.peer, self.version, self.can = hello.who, min(VERSION, hello.version), frozenset(hello.can)

    def send(self, now: float, message: msgspec.Struct, needs: str) -> bool:
        """Put a message into the output; False where the peer cannot read it or too much waits already."""
        if needs not in self.can:
            return False
        return self._put(now, frame(message))

    def tick(self, now: float) -> bool:
        """Heartbeats; False once the peer counts as gone."""
        if now - self._spoke >= self._settings.beat_ms:
            self._put(now, frame(Heartbeat()))
        return now - self.heard < self._settings.silent_ms

    def _put(self, now: float, data: bytes) -> bool:
        if self.waiting + len(data) > self._settings.most_bytes:
            self.dropped += 1
            return False
        self.out.append(data)
        self.waiting += len(data)
        self.sent += 1
        self._spoke = now
        return True

    def take(self) -> bytes:
        """All that waits, to be written now."""
        data = b"".join(self.out)
        self.out.clear()
        self.waiting = 0
        return data
