"""The subset of server-sent events (WHATWG HTML, section 9.2) that streamed responses use; without I/O.

A worker's streamed response has the type `text/event-stream`.  Each event holds one response of the inference protocol;
the last one carries the parameter `final`.
"""

from __future__ import annotations

CONTENT_TYPE = "text/event-stream"


class TooLongError(ValueError):
    """Raised for an incomplete event that is already longer than the reader allows."""


def encode_event(data: bytes, name: str = "") -> bytes:
    """Encode one event; each line of `data` becomes a `data` line of its own."""
    event_line = f"event: {name}\n".encode() if name else b""
    return event_line + b"".join(b"data: " + line + b"\n" for line in data.split(b"\n")) + b"\n"


class EventReader:
    """Parses a byte stream into the data of its events.  Buffers at most `max_bytes` of an incomplete event."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes, self._buffer = max_bytes, bytearray()

    @property
    def partial(self) -> bool:
        """Whether the start of an event was read but not its end."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the data of the events that are now complete.  Raises `TooLongError`."""
        self._buffer += data
        if b"\r" in self._buffer:
            self._buffer = self._buffer.replace(b"\r\n", b"\n")
        complete: list[bytes] = []
        offset = 0
        while (end := self._buffer.find(b"\n\n", offset)) >= 0:
            lines = bytes(self._buffer[offset:end]).split(b"\n")
            offset = end + 2
            values = [line[5:].removeprefix(b" ") for line in lines if line.startswith(b"data:")]
            if values:
                complete.append(b"\n".join(values))
        if offset:
            del self._buffer[:offset]
        if len(self._buffer) > self._max_bytes:
            raise TooLongError(f"an event exceeds {self._max_bytes} bytes")
        return complete
