"""Capture of the attempts and load orders that processes send to workers."""

from __future__ import annotations

import collections
import time
from collections.abc import Iterator
from dataclasses import dataclass

from fault_injection.proxy import DataListener

QUERY_SUFFIX = "units=0"  # end of a load order that queries the worker and loads nothing


@dataclass(frozen=True, slots=True)
class CapturedAttempt:
    """An attempt as a process sent it.

    `limit_s` is the time limit that was passed to the worker.  `first_byte_at` and `at` are the times at which its
    first byte and the end of its command line were captured, in seconds of the monotonic clock; they differ if a send
    transferred only a part of it.  If `is_timed`, the process sent these bytes at about these times."""

    at: float
    process: int
    worker: int
    limit_s: float
    is_timed: bool
    first_byte_at: float


@dataclass(frozen=True, slots=True)
class CapturedOrder:
    """A load order as a process sent it.  An order with count 0 only queries the worker and is not captured."""

    first_byte_at: float
    process: int
    worker: int
    is_timed: bool


class CommandReader:
    """Parses the commands of one connection to a worker."""

    def __init__(self) -> None:
        self._buffer = b""
        self.first_byte_at: float | None = None  # arrival of the first byte of an incomplete command
        self._body_bytes_left = 0

    @property
    def has_partial_command(self) -> bool:
        """Whether the line of the current command is incomplete."""
        return bool(self._buffer) and not self._body_bytes_left

    def feed(self, data: bytes) -> list[list[str]]:
        """Return the words of each command whose line is completed by `data`."""
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
    """All captured attempts of a run, by request, and its load orders."""

    def __init__(self) -> None:
        self._by_request: dict[str, list[CapturedAttempt]] = collections.defaultdict(list)
        self.orders: list[CapturedOrder] = []

    def __iter__(self) -> Iterator[CapturedAttempt]:
        for attempts in self._by_request.values():
            yield from attempts

    def of_request(self, id_: str) -> list[CapturedAttempt]:
        """Return the attempts of a request in the order of their capture."""
        return self._by_request.get(id_, [])

    def listener(self, process: int, worker: int) -> DataListener:
        """Return a listener that records the attempts and load orders on all connections of a process to a worker."""
        readers: dict[int, CommandReader] = collections.defaultdict(CommandReader)

        def on_data(connection: int, data: bytes, is_timed: bool) -> None:
            now, reader = time.monotonic(), readers[connection]
            first_byte_at = now if reader.first_byte_at is None else reader.first_byte_at
            for index, words in enumerate(reader.feed(data)):
                first_byte_at = first_byte_at if index == 0 else now
                if words[0] == "CALL":
                    fields = dict(part.split("=", 1) for part in words[2].split(","))
                    limit_s = int(fields["limit"]) / 1000
                    attempt = CapturedAttempt(now, process, worker, limit_s, is_timed, first_byte_at)
                    self._by_request[words[1]].append(attempt)
                elif words[0] == "LOAD" and not words[2].endswith(QUERY_SUFFIX):
                    self.orders.append(CapturedOrder(first_byte_at, process, worker, is_timed))
            if not reader.has_partial_command:
                reader.first_byte_at = None
            elif reader.first_byte_at is None:
                reader.first_byte_at = now

        return on_data
