"""Bounds on what is held at once: calls and bytes in all, calls of one namespace; free of I/O.

A call beyond a bound is refused before anything is done for it: cheap, at once, and counted by its reason.
"""

from __future__ import annotations

from collections import Counter

HELD, BYTES, NAMESPACE, EARLY = "held", "bytes", "namespace", "early"
RETRY_AFTER_MS = 1000.0  # when to come back after a refusal at a bound
REJECTION_MESSAGES = {
    HELD: "Too many calls are in hand at this dispatcher.",
    BYTES: "The calls in hand at this dispatcher take too much memory.",
    EARLY: "The call came again before the time that it was told.",
    NAMESPACE: "Too many concurrent requests in flight for this namespace.",
}


class InFlightLimits:
    """What is in hand, and its bounds.  `bytes` counts the bodies of calls without a final answer."""

    def __init__(self, most: int, most_bytes: float, most_each: int) -> None:
        self._most, self._most_bytes, self._most_each = most, most_bytes, most_each
        self._each: Counter[str] = Counter()
        self.requests, self.bytes = 0, 0
        self.rejections: Counter[str] = Counter()

    def rejection_reason(self, namespace: str, size: int) -> str | None:
        """Why a call of so many bytes is refused, or None; a refusal is counted."""
        reason = None
        if self.requests >= self._most:
            reason = HELD
        elif self.bytes + size > self._most_bytes:
            reason = BYTES
        elif self._each[namespace] >= self._most_each:
            reason = NAMESPACE
        if reason is not None:
            self.rejections[reason] += 1
        return reason

    def acquire(self, namespace: str, size: int) -> None:
        """A call is in hand."""
        self.requests += 1
        self.bytes += size
        self._each[namespace] += 1

    def release(self, namespace: str, size: int) -> None:
        """It has its final answer.  Raises ValueError where none of the namespace is in hand."""
        if not self._each[namespace]:
            raise ValueError(f"nothing of {namespace} is in hand")
        self.requests -= 1
        self.bytes -= size
        self._each[namespace] -= 1
        if not self._each[namespace]:
            del self._each[namespace]
