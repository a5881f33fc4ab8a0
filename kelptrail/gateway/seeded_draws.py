"""Pseudo-random draws that depend on a seed and their number alone, so that a run can be repeated."""

from __future__ import annotations

from zlib import crc32


class SeededDraws:
    """Draws from a hash of the seed, the purpose and a running number."""

    def __init__(self, seed: int) -> None:
        self._seed, self._count = seed, 0

    def draw(self, purpose: str) -> float:
        """A number in [0, 1); `purpose` keeps draws for different decisions apart."""
        self._count += 1
        return crc32(f"{self._seed} {purpose} {self._count}".encode()) / 2**32
