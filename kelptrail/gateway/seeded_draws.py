"""Pseudo-random draws that are reproducible from a seed, so that a run can be repeated."""

from __future__ import annotations

from zlib import crc32


class SeededDraws:
    """Computes each draw as a hash of the seed, the purpose and a counter."""

    def __init__(self, seed: int) -> None:
        self._seed, self._count = seed, 0

    def draw(self, purpose: str) -> float:
        """Return a number in [0, 1); `purpose` separates the draws for different decisions."""
        self._count += 1
        return crc32(f"{self._seed} {purpose} {self._count}".encode()) / 2**32
