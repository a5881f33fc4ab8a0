"""The attempts that processes send to workers, captured between the two."""

from __future__ import annotations

import collections
import time
from collections.abc import Iterator
from dataclasses import dataclass

from fault_injection.proxy import DataListener

ONLY_ASKS = "units=0"  # the end of a load order that only asks


@dataclass(frozen=True, slots=True)
class CapturedAttempt:
    """An attempt as a process sent it.

    `limit_s` is the time limit that was passed to the worker; `is_timed` tells that `at`, in seconds of the monotonic
    clock, is when the process sent it."""

    at: float
    process: int
    worker: int
    limit_s: float
    is_timed: bool


@dataclass(frozen=True, slots=True)
class CapturedOrder:
    """A load order as a process sent it; one with count 0 only asks and is not captured."""

    at: float
    process: int
    worker: int
    is_timed: bool


class CommandReader:
    """Parses the commands of one connection to a worker."""

    def __init__(self) -> None:
        self._buffer = b""
        self._body_bytes_left = 0

    def feed(self, data: bytes) -> list[list[str]]:
        """The words of each command whose line is complete."""
        commands: list[list[str]] = []
        self._buffer += data
        while True:
            skipped = min(self._body_bytes_left, len(self._buffer))
            self._buffer = self._buffer[skipped:]
            self._body_bytes_left -= skipped
            line, line_end, rest = self._buffer.partition(b"\r\n")
            if self._body_bytes_left or not line_end:
                return commands
            self._buffer = rest
            words = line.decode(errors="replace").split()
            if words:
                commands.append(words)
                if words[0] == "CALL":
                    self._body_bytes_left = int(words[-1]) + 2


class AttemptCapture:
    """All captured attempts of a run, by request."""

    def __init__(self) -> None:
        self._by_request: dict[str, list[CapturedAttempt]] = collections.defaultdict(list)
        self.orders: list[CapturedOrder] = []

    def __iter__(self) -> Iterator[CapturedAttempt]:
        for attempts in self._by_request.values():
            yield from attempts

    def of_request(self, id_: str) -> list[CapturedAttempt]:
        """The attempts of a request, in the order in which they were captured."""
        return self._by_request.get(id_, [])

    def listener(self, process: int, worker: int) -> DataListener:
        """What records the attempts on all connections of a process to a worker."""
        readers: dict[int, CommandReader] = collections.defaultdict(CommandReader)

        def on_data(connection: int, data: bytes, is_timed: bool) -> None:
            now = time.monotonic()
            for words in readers[connection].feed(data):
                if words[0] == "CALL":
                    fields = dict(part.split("=", 1) for part in words[2].split(","))
                    attempt = CapturedAttempt(now, process, worker, int(fields["limit"]) / 1000, is_timed)
                    self._by_request[words[1]].append(attempt)
                elif words[0] == "LOAD" and not words[2].endswith(ONLY_ASKS):
                    self.orders.append(CapturedOrder(now, process, worker, is_timed))

        return on_data
