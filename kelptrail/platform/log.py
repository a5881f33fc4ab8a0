"""The log: structured lines on standard output, rate limited per event; the count of each event is always kept.

An event is a short fixed text (see `log_events`); its fields describe the case, one of them may be the `reason`.  Lines
of one event and reason beyond `LINES_PER_S` are left out, and the next such line says how many were (`skipped`).
"""

from __future__ import annotations

import contextlib
import os
import select
import time
from collections import Counter
from typing import Any, Protocol

LINES_PER_S = 20  # of one event and reason
LINE_BYTES = 2_000  # less than PIPE_BUF: a line that poll() reports as writable is written in one call
STANDARD_OUTPUT = 1


class LogWriter(Protocol):
    """Writes one event with its fields."""

    def __call__(self, event: str, **fields: Any) -> None: ...


class EventLog:
    """Writes the log lines of one process.  A line that would block is counted and dropped."""

    def __init__(self, lines_per_s: int = LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written: Counter[str] = Counter()  # lines of each event and reason in this second
        self._skipped: Counter[str] = Counter()  # lines of each that were left out since its last line
        self.counts: Counter[str] = Counter()  # how often each event and reason happened since the start

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
        text = "".join(f" {name}={value}" for name, value in fields.items())
        if not self._write(f"{event}{text}"):
            self._skipped[kind] += 1 + skipped

    @staticmethod
    def _write(line: str) -> bool:
        """Whether the line was written.  A reader of the log that has gone or does not read must delay neither the
        timer nor a shutdown, so nothing is written where the pipe is full.
        """
        data = f"{time.strftime('%H:%M:%S')} {line}".encode(errors="replace")[:LINE_BYTES] + b"\n"
        with contextlib.suppress(OSError):
            poll = select.poll()
            poll.register(STANDARD_OUTPUT, select.POLLOUT)
            if poll.poll(0):
                return os.write(STANDARD_OUTPUT, data) > 0
        return False


event_log = EventLog()  # of this process
