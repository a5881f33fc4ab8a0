"""One message that waits to be sent on a connection, and how far it got."""

from __future__ import annotations

from collections.abc import Callable


class PendingWrite:
    """One message to be sent: `data`, or the bytes that `make` returns at the time of sending."""

    __slots__ = ("_data", "_make", "_sent_bytes", "cancelled", "sent", "size", "started")

    def __init__(self, size: int, data: bytes = b"", make: Callable[[], bytes] | None = None) -> None:
        self.size, self._data, self._make = size, data, make
        self._sent_bytes = 0
        # `started`: the socket accepted the first byte.  `sent`: it accepted all bytes, of which there is at least one.
        self.started = self.sent = self.cancelled = False

    def render(self) -> bytes:
        """Return the bytes that are still to be sent.

        A deferred write is rendered again by each call until its first byte is sent.
        """
        if self.started:
            return self._data[self._sent_bytes :]
        if self.cancelled:
            self._data = b""
        elif self._make is not None:
            self._data = self._make()
        return self._data

    def consume(self, count: int) -> int:
        """Mark the first unsent bytes of this write as sent, at most `count`; return what is left of `count`.

        `count` is the number of bytes that the socket accepted of this and later writes.
        """
        unsent = len(self._data) - self._sent_bytes
        consumed = min(count, unsent)
        self._sent_bytes += consumed
        self.started = self.started or consumed > 0
        self.sent = self.started and consumed == unsent
        return count - consumed

    @property
    def complete(self) -> bool:
        """Whether no rendered bytes remain to be sent; also true for a write without bytes."""
        return self._sent_bytes == len(self._data)
