"""Pauses between the attempts of a lease client: exponential backoff with reproducible jitter.

The jitter is derived from the client id and a counter, without a random number generator.
"""

from __future__ import annotations

from zlib import crc32

MAX_BACKOFF_DOUBLINGS = 4
MIN_JITTER_FACTOR = 0.5  # each pause is multiplied by this plus a pseudo-random number from 0 to 1


class Backoff:
    """Pauses of one client.

    The sequence of jitter values depends on the client id alone; `draws` counts the values used so far.
    """

    def __init__(self, client_id: str, base_ms: float) -> None:
        self._client_id, self._base_ms = client_id, base_ms
        self.draws = 0

    def pause_ms(self, failed_attempts: int = 0) -> float:
        """Return the pause before the next attempt, in ms.

        Before the jitter, it doubles with each consecutive failure after the first, `MAX_BACKOFF_DOUBLINGS` times at
        most.
        """
        doublings = min(MAX_BACKOFF_DOUBLINGS, max(0, failed_attempts - 1))
        return self._base_ms * 2.0**doublings * (MIN_JITTER_FACTOR + self._jitter())

    def _jitter(self) -> float:
        """Return a pseudo-random number from 0 to 1."""
        self.draws += 1
        return crc32(f"{self._client_id} {self.draws}".encode()) / 2**32

    def clone(self) -> Backoff:
        """Return an independent copy, for the model checker."""
        clone = Backoff(self._client_id, self._base_ms)
        clone.draws = self.draws
        return clone
