"""Limits on requests in flight: their number, their bytes, and their number in each namespace; free of I/O.

A request beyond a limit is rejected at once, before any work is done for it, and is counted by its reason.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

RETRY_AFTER_MS = 1000.0  # retry-after time of a rejection at a limit, or because too few replicas have the record


class RejectionReason(StrEnum):
    """The reason for a rejection on arrival; the values are shown in the status."""

    HELD = "held"  # too many requests in flight
    BYTES = "bytes"  # the bodies of the requests in flight take too much memory
    NAMESPACE = "namespace"  # too many requests of its namespace in flight
    EARLY = "early"  # rejected by overload control: an early retry, or a request of a tenant over quota


REJECTION_MESSAGES = {
    RejectionReason.HELD: "Too many calls are in hand at this dispatcher.",
    RejectionReason.BYTES: "The calls in hand at this dispatcher take too much memory.",
    RejectionReason.EARLY: "The call came again before the time that it was told.",
    RejectionReason.NAMESPACE: "Too many concurrent requests in flight for this namespace.",
}


class NothingInFlightError(Exception):
    """A request ended in a namespace that has none in flight."""


class InFlightLimits:
    """The requests in flight and their limits.  `bytes` counts the bodies of requests without a final answer."""

    def __init__(self, max_requests: int, max_bytes: float, max_per_namespace: int) -> None:
        self._max_requests, self._max_bytes, self._max_per_namespace = max_requests, max_bytes, max_per_namespace
        self._by_namespace: Counter[str] = Counter()
        self.requests, self.bytes = 0, 0
        self.rejections: Counter[str] = Counter()

    def rejection_reason(self, namespace: str, size: int) -> RejectionReason | None:
        """Return why a request of `size` bytes is rejected, or None; a rejection is counted."""
        reason = None
        if self.requests >= self._max_requests:
            reason = RejectionReason.HELD
        elif self.bytes + size > self._max_bytes:
            reason = RejectionReason.BYTES
        elif self._by_namespace[namespace] >= self._max_per_namespace:
            reason = RejectionReason.NAMESPACE
        if reason is not None:
            self.rejections[reason] += 1
        return reason

    def acquire(self, namespace: str, size: int) -> None:
        """Count an accepted request of `size` bytes."""
        self.requests += 1
        self.bytes += size
        self._by_namespace[namespace] += 1

    def release(self, namespace: str, size: int) -> None:
        """Stop counting a request of `size` bytes that has its final answer.  Raises `NothingInFlightError`."""
        if not self._by_namespace[namespace]:
            raise NothingInFlightError(f"namespace {namespace} has no request in flight")
        self.requests -= 1
        self.bytes -= size
        self._by_namespace[namespace] -= 1
        if not self._by_namespace[namespace]:
            del self._by_namespace[namespace]
