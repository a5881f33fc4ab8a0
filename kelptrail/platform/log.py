"""Structured log lines on standard output, rate limited per event; each event is counted even if its line is skipped.

An event is normally one of the texts of `log_events`.  Its fields describe the case; one of them may be the `reason`.
Lines beyond `LINES_PER_S` for one event and reason are skipped.  The next line of that event and reason has the number
of skipped lines as `skipped`.  A log message that the engine returns as a decision is an event, too: each of its texts,
which may contain the id of a worker, has its own limit and count.
"""

from __future__ import annotations

import contextlib
import os
import select
import time
from collections import Counter
from typing import Any, Protocol

LINES_PER_S = 20  # limit of written lines for each event and reason
LINE_BYTES = 2_000  # less than PIPE_BUF: a pipe that poll() reports as writable accepts a line in one write
STANDARD_OUTPUT = 1


class LogWriter(Protocol):
    """Writes one event with its fields."""

    def __call__(self, event: str, **fields: Any) -> None: ...


class EventLog:
    """Writes the log lines of one process.  A line whose write would block or fails is counted as skipped."""

    def __init__(self, lines_per_s: int = LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._events_in_second: Counter[str] = Counter()  # events in the current second, by event and reason
        self._skipped: Counter[str] = Counter()  # lines skipped since the last written line, by event and reason
        self.counts: Counter[str] = Counter()  # number of events since the start, by event and reason

    def __call__(self, event: str, **fields: Any) -> None:
        kind = f"{event}: {fields['reason']}" if "reason" in fields else event
        self.counts[kind] += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._events_in_second.clear()
        self._events_in_second[kind] += 1
        if self._events_in_second[kind] > self._lines_per_s:
            self._skipped[kind] += 1
            return
        if skipped := self._skipped.pop(kind, 0):
            fields["skipped"] = skipped
        text = "".join(f" {name}={value}" for name, value in fields.items())
        if not self._write(f"{event}{text}"):
            self._skipped[kind] += 1 + skipped

    @staticmethod
    def _write(line: str) -> bool:
        """Write a line and return whether it was written.

        Nothing is written while the pipe is full: a log reader that has exited or does not read must delay neither the
        event loop nor a shutdown.
        """
        data = f"{time.strftime('%H:%M:%S')} {line}".encode(errors="replace")[:LINE_BYTES] + b"\n"
        with contextlib.suppress(OSError):
            poll = select.poll()
            poll.register(STANDARD_OUTPUT, select.POLLOUT)
            if poll.poll(0):
                return os.write(STANDARD_OUTPUT, data) > 0
        return False


event_log = EventLog()  # the log of this process
