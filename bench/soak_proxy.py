"""A proxy on loopback whose connections are late, slow, split, stalled or cut, each by its own random choice.

Bytes from the dispatcher are passed to `on_data` as they are read off the socket, before any delay of the proxy: the
times that are checked are those at which the dispatcher wrote, as far as another process can tell.  Bytes in the
kernel's buffers while a connection is stalled have no such time; they are passed on as `timed=False`.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

RECEIVE_BUFFER = 16_384  # so that a stall reaches the dispatcher's own buffers soon
HELD_BY_KERNELS = 3 * RECEIVE_BUFFER  # bytes that both kernels may hold of a stalled connection

OnData = Callable[[int, bytes, bool], None]


@dataclass(slots=True)
class LinkFaults:
    """The share of new connections that have each fault; times in seconds."""

    late: float = 0.0  # come up late
    late_s: float = 0.4
    slow: float = 0.0  # each piece is delayed
    slow_s: float = 0.05
    split: float = 0.0  # pieces of a few bytes
    stall: float = 0.0  # nothing is read for a while, somewhere in the middle
    stall_s: float = 2.5
    cut: float = 0.0  # reset somewhere in the middle
    refuse: bool = False  # all are closed at once


class Proxy:
    """One listening address in front of another."""

    def __init__(
        self, upstream: tuple[str, int], faults: LinkFaults, rng: random.Random, on_data: OnData | None = None
    ) -> None:
        self.upstream, self.faults, self.rng, self.on_data = upstream, faults, rng, on_data
        self.port, self.count = 0, 0
        self.connections: set[Downstream] = set()

    async def open(self, host: str = "127.0.0.1") -> int:
        """Listen; returns the port."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.bind((host, 0))
        self._server = await asyncio.get_running_loop().create_server(lambda: Downstream(self), sock=sock)
        self.port = sock.getsockname()[1]
        return self.port

    def close(self) -> None:
        """Close the listener and reset all connections."""
        self._server.close()
        for connection in list(self.connections):
            connection.abort()


class Downstream(asyncio.Protocol):
    """A connection from the dispatcher, and its counterpart upstream."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy, self._faults, self._rng = proxy, proxy.faults, random.Random(proxy.rng.getrandbits(64))
        proxy.count += 1
        self._number = proxy.count
        self._pieces: asyncio.Queue[bytes] = asyncio.Queue()
        self._transport: asyncio.Transport | None = None
        self._upstream: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        faults = self._faults
        self._slow, self._split = self._rng.random() < faults.slow, self._rng.random() < faults.split
        self._cut_at = self._rng.randrange(1, 60_000) if self._rng.random() < faults.cut else None
        self._stall_at = self._rng.randrange(1, 30_000) if self._rng.random() < faults.stall else None
        self._read, self._untimed = 0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        timed = self._untimed <= 0
        self._untimed -= len(data)
        if self._proxy.on_data is not None:
            self._proxy.on_data(self._number, data, timed)
        self._pieces.put_nowait(data)
        self._read += len(data)
        if self._cut_at is not None and self._read >= self._cut_at:
            self.abort()
        elif self._stall_at is not None and self._read >= self._stall_at:
            self._stall_at = None
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(self._faults.stall_s, self._resume)

    def _resume(self) -> None:
        self._untimed = HELD_BY_KERNELS
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        self._pieces.put_nowait(b"")
        return True

    def connection_lost(self, cause: Exception | None) -> None:
        self._proxy.connections.discard(self)
        if self._task is not None:
            self._task.cancel()
        if self._upstream is not None:
            self._upstream.close()

    def abort(self) -> None:
        """Reset it."""
        if self._transport is not None:
            self._transport.abort()

    async def _serve(self) -> None:
        assert self._transport is not None
        back: asyncio.Task[None] | None = None
        try:
            if self._faults.refuse:
                return
            if self._rng.random() < self._faults.late:
                await asyncio.sleep(self._rng.random() * self._faults.late_s)
            reader, self._upstream = await asyncio.open_connection(*self._proxy.upstream)
            back = asyncio.get_running_loop().create_task(self._back(reader))
            while piece := await self._pieces.get():
                await self._write(self._upstream, piece)
        except (OSError, RuntimeError):
            pass
        finally:
            if back is not None:
                back.cancel()
            self._transport.close()

    async def _back(self, reader: asyncio.StreamReader) -> None:
        assert self._transport is not None
        try:
            while data := await reader.read(65536):
                await self._write(self._transport, data)
        except (OSError, RuntimeError):
            pass
        self._transport.close()

    async def _write(self, where: asyncio.StreamWriter | asyncio.Transport, data: bytes) -> None:
        if self._slow:
            await asyncio.sleep(self._rng.random() * self._faults.slow_s)
        size = self._rng.randrange(1, 200) if self._split else len(data)
        for at in range(0, len(data), size):
            where.write(data[at : at + size])
            if self._split and at < 20 * size:
                await asyncio.sleep(0)
