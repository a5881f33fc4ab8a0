"""Priority by an instance's own health: connections to workers, its front, its journal; free of I/O.

Each tracked item has a weight that is subtracted from the priority while it fails.  A failure counts once it has lasted
`fall_ms`; it is over once the item has been healthy for `rise_ms`, which doubles with each failure that follows soon
after the last, up to eight times: an item that flaps does not make the address flap.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_RISE_FACTOR = 8.0


@dataclass(frozen=True, slots=True)
class TrackSettings:
    """One tracked item; times in milliseconds.  `release`: while it fails the address is released altogether."""

    name: str
    weight: int
    fall_ms: float = 1000.0
    rise_ms: float = 3000.0
    release: bool = False


class Track:
    """The state of one tracked item."""

    def __init__(self, settings: TrackSettings) -> None:
        self.settings = settings
        self.failed = False
        self.healthy = True  # as last observed
        self._observed_since = 0.0  # since when it has been observed so
        self._last_failure_end = float("-inf")  # of the last failure
        self._rise_factor = 1.0

    @property
    def rise_ms(self) -> float:
        """How long it must be healthy until a failure is over."""
        return self.settings.rise_ms * self._rise_factor

    def on_health(self, now: float, healthy: bool) -> bool:
        """An observation; True if `failed` has changed."""
        if healthy is not self.healthy:
            self.healthy, self._observed_since = healthy, now
        return self.on_tick(now)

    def on_tick(self, now: float) -> bool:
        """Time has passed; True if `failed` has changed."""
        lasted = now - self._observed_since
        if not self.healthy and not self.failed and lasted >= self.settings.fall_ms:
            self.failed = True
            soon = self._observed_since - self._last_failure_end < 4 * self.rise_ms
            self._rise_factor = min(MAX_RISE_FACTOR, self._rise_factor * 2) if soon else 1.0
            return True
        if self.healthy and self.failed and lasted >= self.rise_ms:
            self.failed, self._last_failure_end = False, now
            return True
        return False


class Tracking:
    """All tracked items of one instance."""

    def __init__(self, settings: list[TrackSettings]) -> None:
        self.tracks = {s.name: Track(s) for s in settings}

    def on_health(self, now: float, name: str, healthy: bool) -> bool:
        """An observation of one item; unknown names are ignored.  True if a priority may change."""
        track = self.tracks.get(name)
        return track is not None and track.on_health(now, healthy)

    def on_tick(self, now: float) -> bool:
        """Time has passed; True if a priority may change."""
        changed = [track.on_tick(now) for track in self.tracks.values()]  # all of them, not up to the first
        return True in changed

    def priority(self, base: int) -> int:
        """The base priority less the weights of failed items, at least 1."""
        lost = sum(track.settings.weight for track in self.tracks.values() if track.failed)
        return max(1, base - lost)

    @property
    def released(self) -> bool:
        """Whether a failed item requires that the address is released."""
        return any(track.failed and track.settings.release for track in self.tracks.values())

    @property
    def failing(self) -> list[str]:
        """The names of the failed items."""
        return [name for name, track in self.tracks.items() if track.failed]
