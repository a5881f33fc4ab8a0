"""What one HTTP/2 connection may do before it is told to go; free of I/O and clocks.

Counts are of a sliding kind: each budget fills again at a rate and is spent by one act.  Guards against floods that
cost their sender nothing: streams opened and reset at once, pings, settings, empty frames.  Also: when a connection has
lived long enough, so that clients spread over dispatchers anew.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class GuardAction(Enum):
    """What is counted."""

    RESET = "reset"
    PING = "ping"
    SETTINGS = "settings"
    EMPTY = "empty"


@dataclass(frozen=True, slots=True)
class GuardSettings:
    """Acts allowed at once, and again each second; a connection's age in ms (0: no limit) and its last grace."""

    burst: int = 200
    per_s: float = 20.0
    age_ms: float = 0.0
    grace_ms: float = 10_000.0


class CloseStage(Enum):
    """Where a connection stands."""

    OPEN = "open"
    WARNED = "warned"  # told that it will close; streams it opened before it heard are served
    CLOSING = "closing"  # new streams are refused
    CLOSED = "over"


class FloodGuard:
    """One connection's budgets and age.  Times are milliseconds; `spread` (0 to 1) makes ages differ."""

    def __init__(self, settings: GuardSettings, now: float, spread: float = 0.0) -> None:
        self._settings = settings
        self._budgets = {act: float(settings.burst) for act in GuardAction}
        self._refilled_at = now
        self._expires_at = now + settings.age_ms * (0.9 + 0.2 * spread) if settings.age_ms else float("inf")
        self._closing_started_at = self._closed_at = float("inf")
        self.stage = CloseStage.OPEN

    def spend(self, now: float, action: GuardAction) -> bool:
        """Whether an act is within its budget."""
        grown, self._refilled_at = (now - self._refilled_at) / 1000 * self._settings.per_s, now
        for kind in GuardAction:
            self._budgets[kind] = min(float(self._settings.burst), self._budgets[kind] + grown)
        self._budgets[action] -= 1
        return self._budgets[action] >= 0

    def start_closing(self, now: float) -> None:
        """It is to close: at its age, or because its dispatcher drains or gives up the address."""
        if self.stage is CloseStage.OPEN:
            self.stage, self._closing_started_at = CloseStage.WARNED, now

    def due(self, now: float, streams: int, delivery_ms: float) -> CloseStage | None:
        """The stage that begins now, or None; `heard_ms`: how long a warning takes to be heard."""
        if self.stage is CloseStage.OPEN and now >= self._expires_at:
            self.start_closing(now)
            return CloseStage.WARNED
        if self.stage is CloseStage.WARNED and now >= self._closing_started_at + delivery_ms:
            self.stage, self._closed_at = CloseStage.CLOSING, now
            return CloseStage.CLOSING
        if self.stage is CloseStage.CLOSING and (not streams or now >= self._closed_at + self._settings.grace_ms):
            self.stage = CloseStage.CLOSED
            return CloseStage.CLOSED
        return None

    @property
    def accepts_streams(self) -> bool:
        """Whether a new stream is served; one that is not was never looked at, so trying it again is harmless."""
        return self.stage in (CloseStage.OPEN, CloseStage.WARNED)
