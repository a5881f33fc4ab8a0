"""The log: structured lines on standard output, limited per event; how often each event happened is never lost.

An event is a short fixed text; its fields tell of the case, one of them may be the `reason`.  Lines of one event and
reason beyond `LINES_PER_S` are left out, and the next such line says how many were (`skipped`).  `counts` holds how
often each happened.
"""

from __future__ import annotations

import contextlib
import os
import select
import time
from collections import Counter
from typing import Any

LINES_PER_S = 20
LINE_BYTES = 2_000  # under what a pipe takes whole, so that a line that may be written is written at once
STANDARD_OUTPUT = 1


class EventLog:
    """Writes the lines of one process.  A pipe that nobody reads holds nothing up: its lines are counted only."""

    def __init__(self, lines_per_s: int = LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written: Counter[str] = Counter()  # lines of each event and reason in this second
        self._skipped: Counter[str] = Counter()  # lines of each that were left out since its last line
        self.counts: Counter[str] = Counter()

    def __call__(self, event: str, **fields: Any) -> None:
        kind = f"{event}: {fields['reason']}" if "reason" in fields else event
        self.counts[kind] += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        self._written[kind] += 1
        if self._written[kind] > self._lines_per_s:
            self._skipped[kind] += 1
            return
        if skipped := self._skipped.pop(kind, 0):
            fields["skipped"] = skipped
        told = "".join(f" {name}={value}" for name, value in fields.items())
        if not self._write(f"{event}{told}"):
            self._skipped[kind] += 1 + skipped

    @staticmethod
    def _write(line: str) -> bool:
        """Whether the line was written.  Guards against a reader of the log that has gone or stands still: that must
        stop neither timer nor planned end."""
        data = f"{time.strftime('%H:%M:%S')} {line}".encode(errors="replace")[:LINE_BYTES] + b"\n"
        with contextlib.suppress(OSError):
            poll = select.poll()
            poll.register(STANDARD_OUTPUT, select.POLLOUT)
            if poll.poll(0):
                return os.write(STANDARD_OUTPUT, data) > 0
        return False
