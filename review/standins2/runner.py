"""A sound runner: loads functions when ordered, runs calls side by side, answers `MISS` where nothing is loaded."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from .settings import Site

OnCall = Callable[[str, float], None]


class Runner:
    """One runner on loopback.  `on_call(id, time)` is told of each call as it arrives whole."""

    def __init__(
        self, site: Site, number: int, functions: set[str], on_call: OnCall, work_s: float, load_s: float
    ) -> None:
        self.uid, self._functions, self._on_call = f"s-{number:08x}", functions, on_call
        self._site, self._zone = site, site.zones[number % len(site.zones)]
        self._work_s, self._load_s = work_s, load_s
        self._copies, self._loading = Counter[str](), dict[str, asyncio.Future[None]]()
        self._held, self._running = Counter[str](), Counter[str]()
        self._seen_keys: dict[str, float] = {}
        self._random = random.Random(number)
        self._slots, self._lanes = 6, site.lanes
        self._tasks = set[asyncio.Task[None]]()
        self._writers = set[asyncio.StreamWriter]()
        self.started_ms = 0

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def target(self) -> dict[str, Any]:
        """Return the runner's entry in the list."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self._zone,
            "model": self._site.kind,
            "pod_group": 0,
            "state": "in_service",
            "capacity_hint": 1,
            "boot_ms": self.started_ms,
        }

    @property
    def zone(self) -> int:
        """The place of the runner's zone in the settings."""
        return self._site.zones.index(self._zone)

    def replace(self, number: int) -> None:
        """Let this runner die and another one start at its address, empty and under a new id."""
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        self._loading.clear()
        for counts in (self._copies, self._held, self._running):
            counts.clear()
        self.uid, self.started_ms = f"s-{number:08x}", round(time.time() * 1000)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self._writers.add(writer)
            while line := await reader.readline():
                command, tag, *rest = line.decode().split()
                if command == "CALL":
                    body = (await reader.readexactly(int(rest[1]) + 2))[:-2]
                    self._on_call(tag, time.monotonic())
                    self._start(self._run(writer, tag, _fields(rest[0]), body))
                elif command == "LOAD":
                    self._start(self._load(writer, tag, _fields(rest[0])))
                elif command in ("PING", "STATS"):
                    _answer(writer, tag, "UP")
                # A cancel stops neither running nor waiting work at this site.
        self._writers.discard(writer)
        writer.close()

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load(self, writer: asyncio.StreamWriter, tag: str, fields: dict[str, str]) -> None:
        function, units = fields["item"], int(fields["units"])
        if function not in self._functions:
            _answer(writer, tag, "ERR", units=0)
            return
        while self._copies[function] < units:
            if (under_way := self._loading.get(function)) is not None:
                await asyncio.shield(under_way)
                continue
            self._begin_load(function)
        _answer(writer, tag, "OK", units=self._copies[function])

    def _begin_load(self, function: str) -> None:
        loaded = self._loading[function] = asyncio.get_running_loop().create_future()

        async def load() -> None:
            await asyncio.sleep(self._load_s)
            self._copies[function] += 1
            del self._loading[function]
            loaded.set_result(None)

        self._start(load())

    async def _run(self, writer: asyncio.StreamWriter, id_: str, fields: dict[str, str], body: bytes) -> None:
        function, arrived = fields["item"], time.monotonic()
        if function not in self._functions:
            _answer(writer, id_, "ERR")
            return
        ahead, notice = self._held[function], "up"
        if not self._copies[function]:
            notice = "behind"
            if function not in self._loading:
                if not self._site.loads_on_demand:
                    _answer(writer, id_, "MISS", ahead=ahead)
                    return
                notice = "fresh"
                self._begin_load(function)
        self._held[function] += 1
        try:
            if notice != "up":
                await asyncio.shield(self._loading[function])
            while (
                self._running[function] >= self._copies[function] * self._lanes or self._running.total() >= self._slots
            ):
                await asyncio.sleep(0.002)
            if time.monotonic() - arrived > int(fields["limit"]) / 1000:
                return  # work whose time is up is not begun
            self._running[function] += 1
            try:
                await asyncio.sleep(self._random.expovariate(1 / self._work_s))
            finally:
                self._running[function] -= 1
        finally:
            self._held[function] -= 1
        if self._site.loads_on_demand:  # there, answers hold no load report
            _answer(writer, id_, "OK", b"done " + body, tell=notice, ahead=ahead)
            return
        busy = f"cpu:{min(1.0, self._running.total() / self._slots):.2f};x1:{len(self._loading)};x0:0.2"
        _answer(writer, id_, "OK", b"done " + body, tell=notice, ahead=ahead, meter=busy)


def _fields(text: str) -> dict[str, str]:
    return dict(part.split("=", 1) for part in text.split(","))


def _answer(writer: asyncio.StreamWriter, tag: str, word: str, body: bytes = b"", **fields: object) -> None:
    if not writer.is_closing():
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        writer.write(f"{tag} {word} {text} {len(body)}\r\n".encode() + body + b"\r\n")
