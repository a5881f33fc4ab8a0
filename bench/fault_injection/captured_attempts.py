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
    clock, is when the process sent it, and `begun_at` its first byte: a send may fail half way, and go on later."""

    at: float
    process: int
    worker: int
    limit_s: float
    is_timed: bool
    begun_at: float


@dataclass(frozen=True, slots=True)
class CapturedOrder:
    """A load order as a process sent it; one with count 0 only asks and is not captured."""

    begun_at: float
    process: int
    worker: int
    is_timed: bool


class CommandReader:
    """Parses the commands of one connection to a worker."""

    def __init__(self) -> None:
        self._buffer = b""
        self.begun_at: float | None = None  # when the first byte of a command came that is not complete
        self._body_bytes_left = 0

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has begun whose line is not complete."""
        return bool(self._buffer) and not self._body_bytes_left

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
            now, reader = time.monotonic(), readers[connection]
            begun_at = now if reader.begun_at is None else reader.begun_at
            for index, words in enumerate(reader.feed(data)):
                begun_at = begun_at if index == 0 else now
                if words[0] == "CALL":
                    fields = dict(part.split("=", 1) for part in words[2].split(","))
                    limit_s = int(fields["limit"]) / 1000
                    attempt = CapturedAttempt(now, process, worker, limit_s, is_timed, begun_at)
                    self._by_request[words[1]].append(attempt)
                elif words[0] == "LOAD" and not words[2].endswith(ONLY_ASKS):
                    self.orders.append(CapturedOrder(begun_at, process, worker, is_timed))
            if not reader.has_partial_command:
                reader.begun_at = None
            elif reader.begun_at is None:
                reader.begun_at = now

        return on_data
