"""Proxy on loopback that injects faults: each connection is late, slow, split, stalled or cut at random.

Bytes from the dispatcher are passed to `on_data` as soon as they are read from the socket, before any delay of the
proxy.  Their time of arrival is thus the best available estimate of the time at which the dispatcher wrote them.
Bytes that the kernel buffered while a connection was stalled have no such time and are passed on as not timed.
"""

from __future__ import annotations

import asyncio
import collections
import random
import socket
from collections.abc import Callable
from enum import StrEnum
from typing import cast

RECEIVE_BUFFER_BYTES = 16_384  # small, so that a stall soon fills the dispatcher's own buffers
KERNEL_BUFFERED_BYTES = 3 * RECEIVE_BUFFER_BYTES  # upper bound of what both sockets of a stalled connection buffer
MAX_CONNECT_DELAY_S = 0.4
MAX_CHUNK_DELAY_S = 0.05
STALL_S = 2.5
# Upper bounds of the number of bytes after which a connection is cut or stalled.
LAST_CUT_BYTE, LAST_STALL_BYTE = 60_000, 30_000
MAX_SPLIT_BYTES = 200
PIECES_WITH_PAUSE = 20  # first pieces of a split chunk; the event loop runs after each of them

DataListener = Callable[[int, bytes, bool], None]  # connection number, bytes, whether they are timed


class ConnectionFault(StrEnum):
    """A fault of a connection."""

    LATE = "late"  # the connection upstream is set up late
    SLOW = "slow"  # each chunk is delayed
    SPLIT = "split"  # chunks are passed on a few bytes at a time
    STALL = "stall"  # reading pauses once, after a random number of bytes
    CUT = "cut"  # the connection is reset after a random number of bytes


class Proxy:
    """Forwards connections to `upstream`; `fault_shares` has the share of new connections that get each fault."""

    def __init__(self, upstream: tuple[str, int], rng: random.Random, on_data: DataListener) -> None:
        self.upstream = upstream
        self.rng = rng
        self.on_data = on_data
        self.fault_shares: dict[ConnectionFault, float] = collections.defaultdict(float)
        self.port = 0
        self.accepted = 0
        self.connections: set[ProxiedConnection] = set()

    async def open(self, host: str = "127.0.0.1") -> int:
        """Listen and return the port."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((host, 0))
        self._server = await asyncio.get_running_loop().create_server(lambda: ProxiedConnection(self), sock=sock)
        self.port = sock.getsockname()[1]
        return self.port

    def reset_connections(self) -> None:
        """Reset all connections and keep listening."""
        for connection in list(self.connections):
            connection.abort()


class ProxiedConnection(asyncio.Protocol):
    """A connection from the dispatcher, and its counterpart upstream."""

    def __init__(self, proxy: Proxy) -> None:
        proxy.accepted += 1
        self._proxy = proxy
        self._number = proxy.accepted
        self._rng = random.Random(proxy.rng.getrandbits(64))
        self._chunks: asyncio.Queue[bytes] = asyncio.Queue()
        self._transport: asyncio.Transport | None = None
        self._upstream: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_slow = self._draw(ConnectionFault.SLOW)
        self._is_split = self._draw(ConnectionFault.SPLIT)
        self._cut_at = self._rng.randrange(1, LAST_CUT_BYTE) if self._draw(ConnectionFault.CUT) else None
        self._stall_at = self._rng.randrange(1, LAST_STALL_BYTE) if self._draw(ConnectionFault.STALL) else None
        self._received_bytes = 0
        self._untimed_bytes = 0

    def _draw(self, fault: ConnectionFault) -> bool:
        return self._rng.random() < self._proxy.fault_shares[fault]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        is_timed = self._untimed_bytes <= 0
        self._untimed_bytes -= len(data)
        self._proxy.on_data(self._number, data, is_timed)
        self._chunks.put_nowait(data)
        self._received_bytes += len(data)
        if self._cut_at is not None and self._received_bytes >= self._cut_at:
            self.abort()
        elif self._stall_at is not None and self._received_bytes >= self._stall_at:
            self._stall_at = None
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(STALL_S, self._resume)

    def _resume(self) -> None:
        self._untimed_bytes = KERNEL_BUFFERED_BYTES
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        self._chunks.put_nowait(b"")
        return True

    def connection_lost(self, cause: Exception | None) -> None:
        self._proxy.connections.discard(self)
        if self._task is not None:
            self._task.cancel()
        if self._upstream is not None:
            self._upstream.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    async def _serve(self) -> None:
        assert self._transport is not None
        answers: asyncio.Task[None] | None = None
        try:
            if self._draw(ConnectionFault.LATE):
                await asyncio.sleep(self._rng.random() * MAX_CONNECT_DELAY_S)
            reader, self._upstream = await asyncio.open_connection(*self._proxy.upstream)
            answers = asyncio.get_running_loop().create_task(self._forward_answers(reader))
            while chunk := await self._chunks.get():
                await self._write(self._upstream, chunk)
        except (OSError, RuntimeError):
            pass
        finally:
            if answers is not None:
                answers.cancel()
            self._transport.close()

    async def _forward_answers(self, reader: asyncio.StreamReader) -> None:
        assert self._transport is not None
        try:
            while data := await reader.read(65536):
                await self._write(self._transport, data)
        except (OSError, RuntimeError):
            pass
        self._transport.close()

    async def _write(self, target: asyncio.StreamWriter | asyncio.Transport, data: bytes) -> None:
        if self._is_slow:
            await asyncio.sleep(self._rng.random() * MAX_CHUNK_DELAY_S)
        size = self._rng.randrange(1, MAX_SPLIT_BYTES) if self._is_split else len(data)
        for at in range(0, len(data), size):
            target.write(data[at : at + size])
            if self._is_split and at < PIECES_WITH_PAUSE * size:
                await asyncio.sleep(0)
