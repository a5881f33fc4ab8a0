"""One dispatcher of the platform's program on loopback with scripted workers, an endpoint list and raw clients."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop
from test_simulator_adapter import ENV

from kelptrail.codec import frames
from kelptrail.engine.settings import read_settings as read_settings
from kelptrail.platform import config
from kelptrail.platform.service import Service

FUNCTION_ID = "7f3a9c21e0b4d655"


CLASS = ENV["classes"][0]


SETTINGS = ENV | {
    "failure_domains": ["a", "b"],
    "models": ["m"],
    "customers": [{"name": "acme", "allowance_per_s": 100.0}],
    "classes": [
        CLASS | {"give_up_us": 2000000},
        CLASS | {"name": "k", "effect": "guarded", "window_us": 2000000, "give_up_us": 2000000},
    ],
    "bounds": ENV["bounds"]
    | {"connect_timeout_us": 150000, "idle_close_us": 15000000, "multiplex": 100, "max_attempts": 12},
    "specifics": ENV["specifics"] | {"answer_within_us": 3000000, "machine_mb": [50000.0]},
}


Script = Callable[["WorkerStub", bytes, bytes, asyncio.StreamWriter], None]


class WorkerStub:
    """A worker with scripted answers to calls; loads succeed unless the test sets another answer."""

    def __init__(self, script: Script, load: bytes = b"OK units=1 0") -> None:
        self.script, self.load, self.calls, self.connections = script, load, list[bytes](), 0
        self.cancelled = list[bytes]()

    async def open(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                word, id_, *rest = line.split()
                if word == b"LOAD":
                    writer.write(id_ + b" " + self.load + b"\r\n\r\n")
                elif word == b"CALL":
                    body = (await reader.readexactly(int(rest[-1]) + 2))[:-2]
                    self.calls.append(id_)
                    self.script(self, id_, body, writer)
                elif word == b"CANCEL":
                    self.cancelled.append(id_)
        writer.close()


def echo(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(b"%b OK tell=up,meter=cpu:0.5;x1:0;x0:0.2 %d\r\n%b\r\n" % (id_, len(body), body))


class PlatformFixture:
    """One dispatcher with its workers and its endpoint list; creates raw clients."""

    def __init__(self, *workers: WorkerStub, **limits: Any) -> None:
        self.workers, self.limits = workers, {"cores": 1, "memory_mb": 64, "sockets": 256} | limits
        self.polled_from: list[int] = []  # event number in each poll of the endpoint list
        self.events: list[bytes] = []
        self.after_events = "stay"  # "break": the endpoint list's service closes each connection after its events
        self._list_writers: set[asyncio.StreamWriter] = set()  # open connections to the endpoint list's service

    async def __aenter__(self) -> PlatformFixture:
        server = await asyncio.start_server(self._serve_list, "127.0.0.1", 0)
        self.list_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        targets = [
            {
                "uid": f"s-{n:08x}",
                "endpoint": f"127.0.0.1:{await worker.open()}",
                "az": "a",
                "model": "m",
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 1,
                "boot_ms": 0,
            }
            for n, worker in enumerate(self.workers)
        ]
        known = {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": targets}}]}
        self.configuration = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "0f",
            "limits": self.limits,
            "journal": self.list_address,
            "known": known,
            "settings": SETTINGS,
        }
        self.service = Service(asyncio.get_running_loop(), config.parse(json.dumps(self.configuration)))
        self.port = self.service.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.service.close()
        assert not self.service.invariants.violations

    def push(self, event: bytes) -> None:
        """Send an event on all open connections of the list and in answer to all later polls."""
        self.events = [event]
        for writer in self._list_writers:
            writer.write(event)

    async def _serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            self.polled_from.append(int.from_bytes(await reader.readexactly(8), "big"))
            for event in self.events:
                writer.write(event)
            self._list_writers.add(writer)
            if self.after_events == "break":
                writer.close()
            await reader.read()
        self._list_writers.discard(writer)
        writer.close()

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


class Client:
    """A client that sends and receives frames of the protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self._frames = reader, writer, frames.FrameReader(1 << 20)

    def send_request(self, stream: int = 1, body: bytes = b"hello", **overrides: str | None) -> None:
        fields = {
            "verb": "t",
            "txn": f"{stream:016x}",
            "limit": "1500",
            "team": "acme",
            "item": FUNCTION_ID,
            "info": "memory_mb:512;lanes:2",
        } | overrides
        encoded = frames.encode_fields({name: value for name, value in fields.items() if value is not None})
        self.writer.write(frames.encode_frame(frames.REQUEST, stream, encoded + body))

    async def next_frame(self, within: float = 3.0) -> tuple[int, int, bytes] | None:
        """Return the next frame, or None at the end of the connection."""
        async with asyncio.timeout(within):
            while (frame := self._frames.next()) is None:
                try:
                    data = await self.reader.read(65536)
                except ConnectionResetError:
                    return None
                if not data:
                    return None
                self._frames.feed(data)
            return frame

    async def answer_code(self, within: float = 3.0) -> int | None:
        """Return the code of the next answer, or None if the connection ends without one."""
        frame = await self.next_frame(within)
        return None if frame is None else frame[2][0]


def run(main: Coroutine[Any, Any, Any]) -> None:
    """Run a test's coroutine for at most 20 s."""

    async def bounded() -> None:
        async with asyncio.timeout(20):
            await main

    uvloop.run(bounded())


def event(number: int, kind: int, *records: tuple[int, int, int]) -> bytes:
    """Encode an event of the endpoint list; a record is the number, the port and the state of a worker.

    The kinds are 0 (no change), 1 (complete list) and 2 (changes).
    """
    data = b"".join(
        struct.pack(">I4sHBBBHIQ", id_, bytes((127, 0, 0, 1)), port, state, 0, 0, 0, 1000, 0)
        for id_, port, state in records
    )
    return struct.pack(">IQB", 9 + len(data), number, kind) + data


def configuration() -> dict[str, Any]:
    """Return a configuration with one worker and an endpoint list at port 9, where no service listens."""
    target = {
        "uid": "s-00000000",
        "endpoint": "127.0.0.1:9",
        "az": "a",
        "model": "m",
        "pod_group": 0,
        "state": "in_service",
        "capacity_hint": 1,
        "boot_ms": 0,
    }
    known = {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": [target]}}]}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "0f",
        "journal": "127.0.0.1:9",
        "known": known,
        "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
        "settings": copy.deepcopy(SETTINGS),
    }
