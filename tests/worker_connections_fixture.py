"""Connections to a scripted worker over small socket buffers, and what the worker reads of them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import pytest
from raw_sockets import (
    SMALL_BUFFER_BYTES,
    never_answer,
    until,
)

from kelptrail.codec.lines import encode_call
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.net.connection import connect
from kelptrail.platform import worker_connection
from kelptrail.platform.worker_connection import WorkerConnectionLimits
from kelptrail.platform.worker_connections import WorkerConnections


class StubItem:
    """An attempt, as far as the connections know of it."""

    def __init__(self, id_: str) -> None:
        self.id, self.request = id_, self


class ConnectionsOverSmallBuffers:
    """Connections to one worker that reads when the test does, over small buffers."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        most: int = 1,
        in_all: int = 8,
        cancels: bool = True,
        parallel: bool = True,
    ) -> None:
        async def small(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within: float) -> socket.socket:
            sock = await connect(loop, address, within)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
            return sock

        monkeypatch.setattr(worker_connection, "connect", small)
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen()
        self.ended: list[tuple[Any, AttemptStatus]] = []
        limits = WorkerConnectionLimits(
            connect_ms=150.0,
            idle_ms=15_000.0,
            streams=100,
            max_in_all=in_all,
            answer_bytes=1 << 17,
            may_cancel=cancels,
            parallel_attempts=parallel,
            max_timeout_ms=2000.0,
            close_longest_idle=lambda: False,
            max_per_worker=most,
        )
        self.connections = WorkerConnections(
            asyncio.get_running_loop(),
            "w",
            self.listening.getsockname(),
            limits,
            lambda item, outcome, _: self.ended.append((item, outcome)),
            never_answer,
        )

    def send(self, id_: str, size: int = 16_000) -> Any:
        item = StubItem(id_)
        data = encode_call(id_, "t", "a" * 16, 1000, "", bytes(size))
        self.connections.start_attempt(item, lambda: data, len(data))  # type: ignore[arg-type]
        return item

    async def take(self) -> socket.socket:
        """The worker's end of the connection, once it is up."""
        sock, _ = await asyncio.to_thread(self.listening.accept)
        await until(lambda: all(each.connection for each in self.connections._connections))
        return sock

    async def full(self, count: int = 4) -> tuple[socket.socket, list[Any]]:
        """Attempts behind a socket that accepts no more of the first."""
        items = [self.send(f"{n:016x}") for n in range(count)]
        sock = await self.take()
        (connection,) = self.connections._connections
        await until(lambda: connection.connection is not None and connection.connection._awaits_writable)
        return sock, items


def commands(sock: socket.socket, within: float = 0.3) -> list[bytes]:
    """The lines that the worker reads, bodies passed over; fails where the framing does not hold."""
    sock.settimeout(within)
    data, found = b"", []
    with contextlib.suppress(TimeoutError):
        while more := sock.recv(65536):
            data += more
    while data:
        line, _, data = data.partition(b"\r\n")
        words = line.split(b" ")
        assert words[0] in (b"CALL", b"CANCEL", b"LOAD"), line
        if words[0] == b"CALL":
            size = int(words[-1])
            assert data[size : size + 2] == b"\r\n"
            data = data[size + 2 :]
        found.append(b" ".join(words[:2]))
    return found
