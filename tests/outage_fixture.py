"""A process of the platform's program, workers that drain as real ones do, and an endpoint list that fails."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from pathlib import Path
from typing import Any, NamedTuple

from platform_fixture import SETTINGS, Client, event

from kelptrail.codec import frames

NOTIFICATION_S = 4.0  # time of silence after which a change that the list could not deliver counts as notified
DRAIN_GRACE_S = 0.5  # new work may start at a worker for this time after its drain counts as notified
SCHEDULING_SLACK_S = 0.15  # scheduling delay of two processes, in addition to the 0.05 s that the rule allows
LOAD_S = 0.03  # duration of a load
RUN_S = 0.01  # duration of a call
CLIENT_LIMIT_MS = 1200
LIST_INTERVAL_S = 1.0
CLIENT_CONNECTIONS = 16
READY, DRAINING = 0, 1


class ListFault(Enum):
    """Behavior of the endpoint list's service in an outage."""

    SILENT = auto()  # connections stay open and deliver nothing
    REFUSES = auto()  # open connections are closed and new ones are refused
    CLOSES = auto()  # open connections are closed, and new ones 0.3 s after they are accepted
    TRICKLES = auto()  # on each connection only the first byte of an event is sent


class EndpointService:
    """The endpoint list's service.  `publish` adds an event, which is delivered once there is no fault."""

    def __init__(self) -> None:
        self.fault: ListFault | None = None
        self._events: list[bytes] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def publish(self, *records: tuple[int, int, int]) -> None:
        self._events.append(event(2 + len(self._events), 2, *records))

    async def fail(self, fault: ListFault) -> None:
        self.fault = fault
        if fault in (ListFault.REFUSES, ListFault.CLOSES):
            for writer in list(self._writers):
                writer.close()
        if fault is ListFault.REFUSES and self._server is not None:
            self._server.close()

    async def recover(self) -> None:
        if self.fault is ListFault.REFUSES:
            await self.open()
        self.fault = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            position = int.from_bytes(await reader.readexactly(8), "big")
            trickled = False
            while not writer.is_closing():
                if self.fault is None and not trickled:
                    for each in self._events[position - 1 :]:
                        writer.write(each)
                        position += 1
                    writer.write(event(position, 0))
                elif self.fault is ListFault.CLOSES:
                    await asyncio.sleep(0.3)
                    break
                elif self.fault is ListFault.TRICKLES:
                    writer.write(event(position, 0)[:1] if not trickled else b"")
                    trickled = True
                await self._pause()
        self._writers.discard(writer)
        writer.close()

    async def _pause(self) -> None:
        """Wait until the next event is due, an event is published or the fault changes."""
        published, fault = len(self._events), self.fault
        for _ in range(int(LIST_INTERVAL_S / 0.02)):
            await asyncio.sleep(0.02)
            if published != len(self._events) or fault is not self.fault:
                return


class ReceivedCommand(NamedTuple):
    """A CALL or LOAD that a worker received.  `count`: instances to load (0: load query), or None for a CALL."""

    received_at: float
    count: int | None


class WorkerAnswers(Enum):
    """Answers of draining workers to health checks and load queries."""

    AS_OBSERVED = auto()  # DOWN to a health check, the number of loaded instances to a load query
    AS_DOCUMENTED = auto()  # DOWN to a health check, BUSY to a load query
    QUERIES_ONLY = auto()  # no answer to any health check, also while not draining; BUSY to a load query


class Worker:
    """A worker that loads functions on order and rejects new work while it drains."""

    def __init__(self, preloaded: bool, answers: WorkerAnswers) -> None:
        self.is_draining, self._preloaded, self._answers = False, preloaded, answers
        self.load_queries = 0
        self.commands: list[ReceivedCommand] = []
        self._loaded: set[bytes] = set()
        self._loading: set[bytes] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def work_received_after(self, time_s: float) -> Counter[str]:
        """Count the attempts and load orders that arrived after a time; load queries do not count."""
        late = [command for command in self.commands if command.received_at > time_s]
        return Counter("attempt" if command.count is None else "load order" for command in late if command.count != 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                word, id_, *rest = line.split()
                fields = dict(part.split(b"=") for part in rest[0].split(b",")) if rest else {}
                if word == b"LOAD":
                    self.commands.append(ReceivedCommand(time.monotonic(), int(fields[b"units"])))
                    self._load(id_, fields[b"item"], int(fields[b"units"]), writer)
                elif word == b"PING" and self._answers is not WorkerAnswers.QUERIES_ONLY:
                    self._answer(0, writer, b"%b %b - 0\r\n\r\n" % (id_, b"DOWN" if self.is_draining else b"UP"))
                elif word == b"CALL":
                    self.commands.append(ReceivedCommand(time.monotonic(), None))
                    body = (await reader.readexactly(int(rest[-1]) + 2))[:-2]
                    self._call(id_, fields[b"item"], body, writer)
        writer.close()

    def _has_loaded(self, function: bytes) -> bool:
        return self._preloaded or function in self._loaded

    def _load(self, id_: bytes, function: bytes, count: int, writer: asyncio.StreamWriter) -> None:
        self.load_queries += not count
        if self.is_draining and (count or self._answers is not WorkerAnswers.AS_OBSERVED):
            self._answer(0, writer, b"%b BUSY units=0 0\r\n\r\n" % id_)
        elif not count:
            self._answer(0, writer, b"%b OK units=%d 0\r\n\r\n" % (id_, self._has_loaded(function)))
        elif self._has_loaded(function):
            self._answer(0, writer, b"%b OK units=1 0\r\n\r\n" % id_)
        else:
            self._loading.add(function)
            asyncio.get_running_loop().call_later(LOAD_S, self._loaded.add, function)
            self._answer(LOAD_S, writer, b"%b OK units=1 0\r\n\r\n" % id_)

    def _call(self, id_: bytes, function: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        if self.is_draining:
            self._answer(0, writer, b"%b BUSY - 0\r\n\r\n" % id_)
        elif not self._has_loaded(function) and function not in self._loading:
            self._answer(0, writer, b"%b MISS - 0\r\n\r\n" % id_)
        else:
            self._answer(RUN_S, writer, b"%b OK tell=up %d\r\n%b\r\n" % (id_, len(body), body))

    @staticmethod
    def _answer(after_s: float, writer: asyncio.StreamWriter, data: bytes) -> None:
        def write() -> None:
            if not writer.is_closing():
                writer.write(data)

        asyncio.get_running_loop().call_later(after_s, write)


@dataclass(slots=True)
class Outcome:
    """The result of a request for its client; `code` is None without an answer."""

    sent_at: float
    code: int | None = None
    answered_at: float | None = None


@dataclass
class Cluster:
    """A dispatcher process with its workers, endpoint list and clients.  Times are seconds of the monotonic clock."""

    folder: Path
    worker_count: int = 4
    requests_per_s: float = 120.0
    answers: WorkerAnswers = WorkerAnswers.AS_DOCUMENTED
    preloaded: bool = False  # every function is already loaded at every worker, as if other dispatchers had ordered it
    bounds: dict[str, Any] = field(default_factory=dict)
    specifics: dict[str, Any] = field(default_factory=dict)
    service: EndpointService = field(default_factory=EndpointService)
    workers: list[Worker] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)

    async def __aenter__(self) -> Cluster:
        self.workers = [Worker(self.preloaded, self.answers) for _ in range(self.worker_count)]
        for worker in self.workers:
            await worker.open()
        await self.service.open()
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        file = self.folder / "configuration.json"
        file.write_text(json.dumps(self._configuration()))
        self.log_file = self.folder / "log"
        with open(self.log_file, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "kelptrail.platform",
                env=os.environ | {"LB_CONFIG": str(file)},
                stdout=log,
                stderr=log,
            )
        for _ in range(500):
            with contextlib.suppress(OSError):
                (await asyncio.open_connection("127.0.0.1", self.port))[1].close()
                break
            await asyncio.sleep(0.02)
        return self

    async def __aexit__(self, *_: object) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    def _configuration(self) -> dict[str, Any]:
        targets = [
            {
                "uid": f"s-{n:08x}",
                "endpoint": f"127.0.0.1:{worker.port}",
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
        rules = SETTINGS["rules"] | {"stop_sending_within_us": int(DRAIN_GRACE_S * 1e6)}
        specifics = SETTINGS["specifics"] | {"free_loads": 1000.0, "load_share": 1.0} | self.specifics
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "0f",
            "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
            "journal": f"127.0.0.1:{self.service.port}",
            "known": known,
            "settings": SETTINGS
            | {
                "classes": [SETTINGS["classes"][0], SETTINGS["classes"][1] | {"gain": 5.0}],
                "rules": rules,
                "specifics": specifics,
                "bounds": SETTINGS["bounds"] | self.bounds,
            },
        }

    def drain(self, number: int) -> None:
        """Let a worker drain: it rejects new work, and the endpoint list publishes the change."""
        self.workers[number].is_draining = True
        self.service.publish((number, self.workers[number].port, DRAINING))

    async def send_requests(self, until: float, function: Callable[[int], int] = lambda n: n) -> None:
        """Send requests at a constant rate until `until`, then wait for their answers.

        `function` maps the number of a request to its function.
        """
        clients = [Client(*await asyncio.open_connection("127.0.0.1", self.port)) for _ in range(CLIENT_CONNECTIONS)]
        outcomes_by_stream: list[dict[int, Outcome]] = [{} for _ in clients]
        readers = [
            asyncio.create_task(_read_answers(client, outcomes))
            for client, outcomes in zip(clients, outcomes_by_stream, strict=True)
        ]
        number, started_at = 0, time.monotonic()
        while (now := time.monotonic()) < until:
            while number < (now - started_at) * self.requests_per_s:
                number += 1
                outcome = Outcome(time.monotonic())
                self.outcomes.append(outcome)
                outcomes_by_stream[number % len(clients)][number] = outcome
                clients[number % len(clients)].send_request(
                    number, item=f"{function(number):016x}", limit=str(CLIENT_LIMIT_MS)
                )
            await asyncio.sleep(0.004)
        await asyncio.sleep(CLIENT_LIMIT_MS / 1000 + 0.3)
        for reader in readers:
            reader.cancel()
        for client in clients:
            client.writer.close()

    def served_share(self, since: float) -> float:
        """Return which share of the requests sent from `since` on was served."""
        codes = [outcome.code for outcome in self.outcomes if outcome.sent_at >= since]
        return sum(code == frames.SERVED for code in codes) / len(codes)

    @property
    def load_queries(self) -> int:
        """The number of load queries that all workers received."""
        return sum(worker.load_queries for worker in self.workers)

    def log(self) -> str:
        return self.log_file.read_text()


async def _read_answers(client: Client, outcomes: dict[int, Outcome]) -> None:
    while (frame := await client.next_frame(within=60.0)) is not None:
        kind, stream, payload = frame
        if kind == frames.ANSWER and stream in outcomes:
            outcomes[stream].code, outcomes[stream].answered_at = payload[0], time.monotonic()
