"""Runners: they load functions on order, run calls, and together drop repeats of a key for some seconds.

A runner takes each command once it has arrived whole.  Cancels and time-outs stop no work that was taken, and a call
whose `limit` has passed since it arrived is not begun, as the users' first brief says of its runners.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import defaultdict
from dataclasses import dataclass, field

from .configuration import DEDUPLICATION_S
from .record import Record


@dataclass(frozen=True)
class Model:
    """What the runners know of a function."""

    lanes: int
    load_s: float
    work_s: float


@dataclass
class Run:
    """One execution of a call."""

    request: str
    key: str
    runner: str
    arrived_at: float  # when the call had arrived whole
    at: float  # when it was begun


@dataclass
class Fleet:
    """What the runners share: the known functions, the memory of keys, and the executions so far."""

    record: Record
    models: dict[str, Model]
    seen_keys: dict[str, float] = field(default_factory=dict)  # by key, when it ran last
    runs: list[Run] = field(default_factory=list)

    def drops(self, key: str, now: float) -> bool:
        """Return whether a call with this key is a repeat that the runners still remember."""
        return bool(key) and now < self.seen_keys.get(key, float("-inf")) + DEDUPLICATION_S


class Runner:
    """One runner."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name, self._fleet = name, fleet
        self._copies: dict[str, int] = defaultdict(int)  # loaded copies by function
        self._loading: dict[str, asyncio.Task[None]] = {}
        self._running: dict[str, int] = defaultdict(int)  # calls that run, by function
        self._held: dict[str, int] = defaultdict(int)  # calls that run or wait, by function
        self._freed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> tuple[str, int]:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                word, *rest = line.decode().split()
                if word == "CALL":
                    body = (await reader.readexactly(int(rest[2]) + 2))[:-2]
                    self._start(self._call(rest[0], _fields(rest[1]), body, time.monotonic(), writer))
                elif word == "LOAD":
                    self._start(self._load(rest[0], _fields(rest[1]), writer))
                elif word in ("PING", "STATS"):
                    self._answer(writer, rest[0], "UP", self._meter())
                elif word == "CANCEL":
                    self._fleet.record(f"{self.name} read CANCEL {rest[0]}")
                elif word == "UNLOAD":
                    self._copies[rest[0]] = 0
        writer.close()

    def _start(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load(self, tag: str, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        function, wanted = fields["item"], int(fields["units"])
        model = self._fleet.models.get(function)
        if model is None:
            self._answer(writer, tag, "ERR", "units=0")
            return
        if wanted > self._copies[function]:
            self._fleet.record(f"{self.name} loads {function} to {wanted}")
            if function not in self._loading:
                self._loading[function] = asyncio.create_task(asyncio.sleep(model.load_s))
            await self._loading[function]
            self._loading.pop(function, None)
            self._copies[function] = max(wanted, self._copies[function])
            async with self._freed:
                self._freed.notify_all()
        self._answer(writer, tag, "OK", f"units={self._copies[function]}")

    async def _call(
        self, request: str, fields: dict[str, str], body: bytes, arrived_at: float, writer: asyncio.StreamWriter
    ) -> None:
        function, key, limit_s = fields["item"], fields.get("nonce", ""), int(fields["limit"]) / 1000
        self._fleet.record(f"{self.name} read CALL {request} key={key} limit={fields['limit']}")
        model = self._fleet.models.get(function)
        if model is None:
            self._answer(writer, request, "ERR", "-")
            return
        if self._fleet.drops(key, arrived_at):
            self._fleet.record(f"{self.name} drops {request}, a repeat of key {key}")
            self._answer(writer, request, "OK", f"tell=up,{self._meter()}", body)
            return
        if not self._copies[function] and function not in self._loading:
            self._answer(writer, request, "MISS", "-")
            return
        if key:
            self._fleet.seen_keys[key] = arrived_at
        note = "up" if self._copies[function] else "behind"
        ahead = self._held[function]
        self._held[function] += 1
        async with self._freed:
            await self._freed.wait_for(lambda: self._running[function] < model.lanes * self._copies[function])
            self._running[function] += 1
        if time.monotonic() < arrived_at + limit_s:
            self._fleet.record(f"{self.name} runs {request} key={key}")
            self._fleet.runs.append(Run(request, key, self.name, arrived_at, time.monotonic()))
            await asyncio.sleep(model.work_s)
            self._answer(writer, request, "OK", f"tell={note},ahead={ahead},{self._meter()}", body)
        self._running[function] -= 1
        self._held[function] -= 1
        async with self._freed:
            self._freed.notify_all()

    def _meter(self) -> str:
        busy = min(1.0, sum(self._running.values()) / 12)
        return f"meter=cpu:{busy:.2f};x1:{len(self._loading)};x0:0.2"

    def _answer(self, writer: asyncio.StreamWriter, id_: str, word: str, fields: str, body: bytes = b"") -> None:
        if not writer.is_closing():
            writer.write(f"{id_} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")


def _fields(text: str) -> dict[str, str]:
    return {} if text == "-" else dict(part.split("=", 1) for part in text.split(","))
