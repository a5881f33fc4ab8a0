"""Limits on the frames that one HTTP/2 connection may send, and on its age; no I/O, no clock.

A token bucket for each kind of frame guards against floods of frames that cost their sender nothing (RFC 9113 section
10.5): streams opened and immediately reset, pings, settings, empty frames.  The age limit makes clients reconnect, so
that they spread over the dispatchers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class GuardAction(Enum):
    """Kinds of frame whose rate is limited."""

    RESET = "reset"  # stream resets
    PING = "ping"
    SETTINGS = "settings"
    EMPTY = "empty"  # DATA frames without data


@dataclass(frozen=True, slots=True)
class GuardSettings:
    """Limits of one connection.

    `burst` frames of each kind are allowed at once and `per_s` each second.  `age_ms` is the maximum age (0: no limit),
    `grace_ms` the time for streams to end once the connection is closing.
    """

    burst: int = 200
    per_s: float = 20.0
    age_ms: float = 0.0
    grace_ms: float = 10_000.0


class CloseStage(Enum):
    """Stage of a connection's graceful close."""

    OPEN = "open"
    WARNED = "warned"  # the first GOAWAY was sent; streams opened before it arrives are served
    CLOSING = "closing"  # the second GOAWAY was sent; new streams are refused, streams in flight are served
    CLOSED = "over"


class FloodGuard:
    """Frame budgets and age of one connection.  Times are milliseconds.

    `spread` (0 to 1) varies the maximum age by 10 % either way, so that connections do not all close at once.
    """

    def __init__(self, settings: GuardSettings, now: float, spread: float = 0.0) -> None:
        self._settings = settings
        self._budgets = {action: float(settings.burst) for action in GuardAction}
        self._refilled_at = now
        self._expires_at = now + settings.age_ms * (0.9 + 0.2 * spread) if settings.age_ms else float("inf")
        self._warned_at = self._closing_since = float("inf")  # start of the stages WARNED and CLOSING
        self.stage = CloseStage.OPEN

    def spend(self, now: float, action: GuardAction) -> bool:
        """Count a frame.  Return whether it is within the budget of its kind."""
        refill, self._refilled_at = (now - self._refilled_at) / 1000 * self._settings.per_s, now
        for kind in GuardAction:
            self._budgets[kind] = min(float(self._settings.burst), self._budgets[kind] + refill)
        self._budgets[action] -= 1
        return self._budgets[action] >= 0

    def start_closing(self, now: float) -> None:
        """Enter the stage WARNED: at the maximum age, after the idle time, or when the server drains."""
        if self.stage is CloseStage.OPEN:
            self.stage, self._warned_at = CloseStage.WARNED, now

    def advance_stage(self, now: float, streams: int, delivery_ms: float) -> CloseStage | None:
        """Enter the next stage if it is due, and return it, else None.

        `streams` is the number of open streams, `delivery_ms` the time for a GOAWAY to reach the client.
        """
        if self.stage is CloseStage.OPEN and now >= self._expires_at:
            self.start_closing(now)
            return CloseStage.WARNED
        if self.stage is CloseStage.WARNED and now >= self._warned_at + delivery_ms:
            self.stage, self._closing_since = CloseStage.CLOSING, now
            return CloseStage.CLOSING
        if self.stage is CloseStage.CLOSING and (not streams or now >= self._closing_since + self._settings.grace_ms):
            self.stage = CloseStage.CLOSED
            return CloseStage.CLOSED
        return None

    @property
    def accepts_streams(self) -> bool:
        """Whether new streams are served.  A refused stream was never processed, so a retry is safe."""
        return self.stage in (CloseStage.OPEN, CloseStage.WARNED)
