"""Priority according to the health of an instance; free of I/O.

Each tracked object stands for one ability of the instance: to reach workers, to accept connections of clients, or to
write its journal.

The weight of a tracked object is subtracted from the priority while the object has failed.  An object has failed once
it has been unhealthy for `fall_ms`, and has recovered once it has been healthy for `rise_ms`.  So that an object that
flaps does not move the address back and forth, `rise_ms` doubles with each failure that begins within four times the
current `rise_ms` after the last one ended, up to eight times the configured value; a failure that begins later resets
it.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_RISE_FACTOR = 8.0


@dataclass(frozen=True, slots=True)
class TrackSettings:
    """Settings of one tracked object; times in milliseconds.

    With `release`, all addresses of the instance are released while the object has failed, whatever the priority.
    """

    name: str
    weight: int
    fall_ms: float = 1000.0
    rise_ms: float = 3000.0
    release: bool = False


class Track:
    """The state of one tracked object."""

    def __init__(self, settings: TrackSettings) -> None:
        self.settings = settings
        self.failed = False
        self.healthy = True  # last observation
        self._healthy_changed_at = 0.0  # time from which `healthy` has had its current value, in ms
        self._last_failure_end = float("-inf")  # time of the last recovery, in ms
        self._rise_factor = 1.0

    @property
    def rise_ms(self) -> float:
        """Time for which the object must be healthy until it has recovered, in milliseconds."""
        return self.settings.rise_ms * self._rise_factor

    def on_health(self, now: float, healthy: bool) -> bool:
        """Record an observation; return True if `failed` changed."""
        if healthy is not self.healthy:
            self.healthy, self._healthy_changed_at = healthy, now
        return self.on_tick(now)

    def on_tick(self, now: float) -> bool:
        """Apply `fall_ms` and `rise_ms` at the current time; return True if `failed` changed."""
        duration_ms = now - self._healthy_changed_at
        if not self.healthy and not self.failed and duration_ms >= self.settings.fall_ms:
            self.failed = True
            failed_again_soon = self._healthy_changed_at - self._last_failure_end < 4 * self.rise_ms
            self._rise_factor = min(MAX_RISE_FACTOR, self._rise_factor * 2) if failed_again_soon else 1.0
            return True
        if self.healthy and self.failed and duration_ms >= self.rise_ms:
            self.failed, self._last_failure_end = False, now
            return True
        return False


class Tracking:
    """All tracked objects of one instance."""

    def __init__(self, settings: list[TrackSettings]) -> None:
        self.tracks = {s.name: Track(s) for s in settings}

    def on_health(self, now: float, name: str, healthy: bool) -> bool:
        """Record an observation of one object, ignoring unknown names; return True if a priority may change."""
        track = self.tracks.get(name)
        return track is not None and track.on_health(now, healthy)

    def on_tick(self, now: float) -> bool:
        """Update all objects to the current time; return True if a priority may change."""
        # A list, not `any` over a generator: every object must be updated.
        changed = [track.on_tick(now) for track in self.tracks.values()]
        return True in changed

    def priority(self, base: int) -> int:
        """Return the base priority minus the weights of failed objects, but at least 1."""
        reduction = sum(track.settings.weight for track in self.tracks.values() if track.failed)
        return max(1, base - reduction)

    @property
    def released(self) -> bool:
        """Whether a failed object requires the release of the addresses."""
        return any(track.failed and track.settings.release for track in self.tracks.values())

    @property
    def failing(self) -> list[str]:
        """Names of the failed objects."""
        return [name for name, track in self.tracks.items() if track.failed]
