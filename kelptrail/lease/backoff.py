"""Pauses between a lease client's attempts: exponential backoff with reproducible jitter; free of a random source."""

from __future__ import annotations

from zlib import crc32

MAX_BACKOFF_DOUBLINGS = 4  # doublings of the pause between attempts
MIN_JITTER_FACTOR = 0.5  # a pause is multiplied by this plus a number from 0 to 1


class Backoff:
    """Pauses of one client.  `draws`: number of jitter values used so far; the same sequence for the same client id."""

    def __init__(self, client_id: str, base_ms: float) -> None:
        self._client_id, self._base_ms = client_id, base_ms
        self.draws = 0

    def pause_ms(self, failed_attempts: int = 0) -> float:
        """The pause before the next attempt, in ms; doubled from the second consecutive failure on."""
        doublings = min(MAX_BACKOFF_DOUBLINGS, max(0, failed_attempts - 1))
        return self._base_ms * 2.0**doublings * (MIN_JITTER_FACTOR + self._jitter())

    def _jitter(self) -> float:
        """Pseudo-random number from 0 to 1."""
        self.draws += 1
        return crc32(f"{self._client_id} {self.draws}".encode()) / 2**32

    def clone(self) -> Backoff:
        """An independent copy, for the model checker."""
        clone = Backoff(self._client_id, self._base_ms)
        clone.draws = self.draws
        return clone
