"""Server-sent events (WHATWG HTML, section 9.2), as far as streamed answers use them; free of I/O.

A worker's streamed answer is a response of type `text/event-stream` whose events each hold one answer of the
inference protocol; the last carries the parameter `final`.
"""

from __future__ import annotations

CONTENT_TYPE = "text/event-stream"


class TooLongError(ValueError):
    """An event over the bound."""


def encode_event(data: bytes, name: str = "") -> bytes:
    """One event; data with line ends becomes several `data` lines."""
    head = f"event: {name}\n".encode() if name else b""
    return head + b"".join(b"data: " + line + b"\n" for line in data.split(b"\n")) + b"\n"


class EventReader:
    """Takes in bytes as they come; gives whole events' data.  Bounded: an event over `most` bytes is refused."""

    def __init__(self, most: int) -> None:
        self._most, self._buffer = most, bytearray()

    @property
    def partial(self) -> bool:
        """Whether an event has begun and is not whole."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Whole events.  Raises `TooLongError`."""
        self._buffer += data
        if b"\r" in self._buffer:
            self._buffer = self._buffer.replace(b"\r\n", b"\n")
        out: list[bytes] = []
        at = 0
        while (end := self._buffer.find(b"\n\n", at)) >= 0:
            lines = bytes(self._buffer[at:end]).split(b"\n")
            at = end + 2
            kept = [line[5:].removeprefix(b" ") for line in lines if line.startswith(b"data:")]
            if kept:
                out.append(b"\n".join(kept))
        if at:
            del self._buffer[:at]
        if len(self._buffer) > self._most:
            raise TooLongError(f"an event over {self._most} bytes")
        return out
