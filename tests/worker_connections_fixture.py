"""Connections to one worker over small socket buffers, and the commands that the worker reads from them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import pytest
from raw_sockets import SMALL_BUFFER_BYTES, until

from kelptrail.codec.lines import encode_call
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.net.connecting import connect
from kelptrail.platform import worker_connection
from kelptrail.platform.worker_connection import WorkerConnectionLimits
from kelptrail.platform.worker_connections import WorkerConnections


class StubItem:
    """An attempt that is also its own request, with only the attributes that the connections use."""

    def __init__(self, id_: str) -> None:
        self.id, self.request = id_, self


class ConnectionsOverSmallBuffers:
    """Connections over small buffers to one worker that reads only when the test does."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        max_per_worker: int = 1,
        max_total: int = 8,
        may_cancel: bool = True,
        parallel_attempts: bool = True,
    ) -> None:
        async def connect_small(
            loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_ms: float
        ) -> socket.socket:
            sock = await connect(loop, address, within_ms)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
            return sock

        monkeypatch.setattr(worker_connection, "connect", connect_small)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.ended: list[tuple[Any, AttemptStatus]] = []
        limits = WorkerConnectionLimits(
            connect_ms=150.0,
            idle_ms=15_000.0,
            streams=100,
            max_total=max_total,
            answer_bytes=1 << 17,
            may_cancel=may_cancel,
            parallel_attempts=parallel_attempts,
            max_timeout_ms=2000.0,
            close_longest_idle=lambda: False,
            max_per_worker=max_per_worker,
        )
        self.connections = WorkerConnections(
            asyncio.get_running_loop(),
            "w",
            self.listener.getsockname(),
            limits,
            lambda item, status, _: self.ended.append((item, status)),
            lambda event, **fields: None,
        )

    def send(self, id_: str, size: int = 16_000) -> Any:
        """Start an attempt whose request has a body of `size` bytes; return the attempt."""
        item = StubItem(id_)
        data = encode_call(id_, "t", "a" * 16, 1000, "", bytes(size))
        self.connections.start_attempt(item, lambda: data, len(data))  # type: ignore[arg-type]
        return item

    async def accept(self) -> socket.socket:
        """Return the worker's end of the connection once the connection is established."""
        sock, _ = await asyncio.to_thread(self.listener.accept)
        await until(lambda: all(each.connection for each in self.connections._connections))
        return sock

    async def fill_socket(self, count: int = 4) -> tuple[socket.socket, list[Any]]:
        """Start attempts that fill the socket; the first of them is partly sent, the others are queued."""
        items = [self.send(f"{n:016x}") for n in range(count)]
        sock = await self.accept()
        (connection,) = self.connections._connections
        await until(lambda: connection.connection is not None and connection.connection._awaits_writable)
        return sock, items


def read_commands(sock: socket.socket, timeout_s: float = 0.3) -> list[bytes]:
    """Return the first two words of each command received until a pause of `timeout_s`; fail on invalid framing."""
    sock.settimeout(timeout_s)
    data, found = b"", []
    with contextlib.suppress(TimeoutError):
        while chunk := sock.recv(65536):
            data += chunk
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
