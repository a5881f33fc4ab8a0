"""The record of a run: what was sent, answered and run, with times in seconds since the start of the run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt`; the same lines with `show` go to standard output."""

    def __init__(self, path: Path) -> None:
        self._file, self._started = path.open("w", encoding="utf-8"), time.monotonic()

    def since_start(self, at: float) -> float:
        """Return a time of the monotonic clock as seconds since the start of the run."""
        return at - self._started

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        moment = self.since_start(time.monotonic() if at is None else at)
        self._file.write(f"{moment:9.3f} {text}\n")

    def show(self, text: str) -> None:
        """Write one line, to standard output as well."""
        self.write(text)
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        """End the record."""
        self._file.close()
