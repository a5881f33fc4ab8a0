"""The record of a run: one line for each thing that was sent, answered or run, with the seconds since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt` of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def at(self, when: float | None = None) -> float:
        """Return a monotonic time, by default now, in seconds since the start of the record."""
        return (time.monotonic() if when is None else when) - self._started

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.at():9.3f} {text}\n")

    def close(self) -> None:
        """Write what is buffered and close the file."""
        self._file.close()
