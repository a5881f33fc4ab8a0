"""Usual clients: they keep a few connections open, and send requests on them at a steady rate."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field

from . import wire
from .settings import Site

MAX_OPEN = 31  # the protocol allows 32 open requests on a connection


@dataclass
class ClientRequest:
    """One request of a usual client.  Times are of the monotonic clock."""

    id: str
    limit_s: float
    body: bytes
    stream: int = 0
    sent_at: float = 0.0
    answered_at: float | None = None
    code: int | None = None
    answer: bytes = b""
    connection_ended: bool = False
    gone_at: float | None = None  # when the client stopped waiting
    calls: list[float] = field(default_factory=list)  # when runners got it


class ClientConnection:
    """One connection of a usual client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer, self._streams = reader, writer, 0
        self.open_requests: dict[int, ClientRequest] = {}
        self.ended = False
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def dial(cls, port: int) -> ClientConnection:
        """Connect to a dispatcher on loopback."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, request: ClientRequest, fields: dict[str, str]) -> None:
        """Send a request."""
        self._streams += 1
        request.stream, request.sent_at = self._streams, time.monotonic()
        self.open_requests[request.stream] = request
        payload = wire.encode_fields(fields) + request.body
        self._writer.write(wire.encode_frame(wire.REQUEST, request.stream, payload))

    def stop_waiting(self, request: ClientRequest) -> None:
        """Tell the dispatcher that nobody waits for the request any more, unless it is answered."""
        if self.open_requests.pop(request.stream, None) is not None and not self.ended:
            request.gone_at = time.monotonic()
            self._writer.write(wire.encode_frame(wire.CANCEL, request.stream))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                kind, stream, payload = await wire.read_frame(self._reader)
                request = self.open_requests.pop(stream, None) if kind == wire.ANSWER else None
                if request is not None:
                    request.answered_at = time.monotonic()
                    request.code, request.answer = wire.decode_answer(payload)
        self.ended = True
        for request in self.open_requests.values():
            request.connection_ended = True
        self.open_requests.clear()


class UsualClients:
    """Clients with `connections` connections that together send `per_s` requests a second."""

    def __init__(
        self,
        site: Site,
        port: int,
        functions: list[str],
        per_s: float,
        connections: int,
        time_shares: tuple[float, float],
    ) -> None:
        self._site, self._port, self._functions, self._per_s = site, port, functions, per_s
        self._connection_count, self._time_shares = connections, time_shares
        self._random = random.Random(11)
        self.requests: dict[str, ClientRequest] = {}
        self.not_sent = 0  # no connection had room for another open request
        self._give_up_tasks = set[asyncio.Task[None]]()

    async def run(self, seconds: float, patience_s: float) -> None:
        """Send requests for a time.  A client waits for `patience_s` past the time of its request at most."""
        connections = [await ClientConnection.dial(self._port) for _ in range(self._connection_count)]
        due = time.monotonic()
        end = due + seconds
        while (due := due + self._random.expovariate(self._per_s)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            usable = [each for each in connections if not each.ended and len(each.open_requests) < MAX_OPEN]
            if not usable:
                self.not_sent += 1
                continue
            connection = min(usable, key=lambda each: (len(each.open_requests), self._random.random()))
            request = self._send(connection)
            task = asyncio.create_task(self._give_up(connection, request, patience_s))
            self._give_up_tasks.add(task)
            task.add_done_callback(self._give_up_tasks.discard)
        if self._give_up_tasks:
            await asyncio.wait(set(self._give_up_tasks))
        for connection in connections:
            connection.close()

    async def _give_up(self, connection: ClientConnection, request: ClientRequest, patience_s: float) -> None:
        while request.answered_at is None and not request.connection_ended:
            left = request.sent_at + request.limit_s + patience_s - time.monotonic()
            if left <= 0:
                connection.stop_waiting(request)
                return
            await asyncio.sleep(min(left, 0.25))

    def _send(self, connection: ClientConnection) -> ClientRequest:
        request, fields = new_request(self._site, self._random, self._functions, self._time_shares)
        self.requests[request.id] = request
        connection.send(request, fields)
        return request


def new_request(
    site: Site, draw: random.Random, functions: list[str], time_shares: tuple[float, float]
) -> tuple[ClientRequest, dict[str, str]]:
    """Return a request of either class, with a share of its class's deadline as its time, and its fields."""
    request_class = draw.choice((site.repeatable_class, site.keyed_class))
    is_keyed = request_class == site.keyed_class
    deadline_ms = site.keyed_deadline_ms if is_keyed else site.repeatable_deadline_ms
    limit_s = round(draw.uniform(*time_shares) * deadline_ms / 1000, 3)
    request = ClientRequest(f"{draw.getrandbits(64):016x}", limit_s, draw.randbytes(draw.randint(20, 400)))
    fields = {
        "verb": request_class,
        "txn": request.id,
        "limit": str(round(limit_s * 1000)),
        "team": draw.choice(site.tenants),
        "item": functions[min(int(draw.paretovariate(1.1)) - 1, len(functions) - 1)],
        "info": f"memory_mb:500;lanes:{site.lanes}",
    }
    if is_keyed:
        fields["unique"] = f"{draw.getrandbits(128):032x}"
    return request, fields


async def ask_whether_ready(port: int, within_s: float) -> bool:
    """Return whether the dispatcher answers within a time that it is ready."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(wire.encode_frame(wire.READY_QUERY, 0, b"\0"))
                kind, _, payload = await wire.read_frame(reader)
                return kind == wire.READY and payload[0] == wire.SERVED
            finally:
                writer.close()
    return False


async def wait_until_ready(port: int, within_s: float) -> bool:
    """Return whether the dispatcher is ready within a time."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        if await ask_whether_ready(port, 2):
            return True
        await asyncio.sleep(0.05)
    return False
