"""A proxy on loopback whose connections are delayed, slowed, split, stalled or reset, each by its own random choice.

Bytes from the dispatcher are passed to `on_data` as they are read off the socket, before any delay of the proxy: the
times that are checked are those at which the dispatcher wrote, as far as another process can tell.  Bytes in the
kernel's buffers while a connection is stalled have no such time; they are passed on as `timed=False`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import cast

RECEIVE_BUFFER = 16_384  # so that a stall reaches the dispatcher's own buffers soon
KERNEL_BUFFERED_BYTES = 3 * RECEIVE_BUFFER  # bytes of a stalled connection that both sides' kernels may buffer
READ_BYTES = 65_536
CUT_WITHIN_BYTES, STALL_WITHIN_BYTES = 60_000, 30_000
LARGEST_SPLIT_BYTES = 200
YIELDED_SPLITS = 20  # of a chunk, after which the rest is written at once

OnData = Callable[[int, bytes, bool], None]


@dataclass(slots=True)
class LinkFaults:
    """The share of new connections that have each fault; times in seconds."""

    late: float = 0.0  # established late
    late_s: float = 0.4
    slow: float = 0.0  # each chunk is delayed
    slow_s: float = 0.05
    split: float = 0.0  # chunks of a few bytes
    stall: float = 0.0  # nothing is read for a while, somewhere in the middle
    stall_s: float = 2.5
    cut: float = 0.0  # reset somewhere in the middle
    refuse: bool = False  # all are closed at once


class Proxy:
    """One listening address in front of another."""

    def __init__(
        self, upstream: tuple[str, int], faults: LinkFaults, random: Random, on_data: OnData | None = None
    ) -> None:
        self.upstream, self.faults, self.random, self.on_data = upstream, faults, random, on_data
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
        self._proxy, self._faults, self._random = proxy, proxy.faults, Random(proxy.random.getrandbits(64))
        proxy.count += 1
        self._number = proxy.count
        self._chunks: asyncio.Queue[bytes] = asyncio.Queue()
        self._transport: asyncio.Transport | None = None
        self._upstream: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        faults = self._faults
        self._slow, self._split = self._random.random() < faults.slow, self._random.random() < faults.split
        self._cut_at = self._random.randrange(1, CUT_WITHIN_BYTES) if self._random.random() < faults.cut else None
        self._stall_at = self._random.randrange(1, STALL_WITHIN_BYTES) if self._random.random() < faults.stall else None
        self._read_bytes, self._untimed_bytes = 0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        timed = self._untimed_bytes <= 0
        self._untimed_bytes -= len(data)
        if self._proxy.on_data is not None:
            self._proxy.on_data(self._number, data, timed)
        self._chunks.put_nowait(data)
        self._read_bytes += len(data)
        if self._cut_at is not None and self._read_bytes >= self._cut_at:
            self.abort()
        elif self._stall_at is not None and self._read_bytes >= self._stall_at:
            self._stall_at = None
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(self._faults.stall_s, self._resume)

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
            if self._faults.refuse:
                return
            if self._random.random() < self._faults.late:
                await asyncio.sleep(self._random.random() * self._faults.late_s)
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
            while data := await reader.read(READ_BYTES):
                await self._write(self._transport, data)
        except (OSError, RuntimeError):
            pass
        self._transport.close()

    async def _write(self, target: asyncio.StreamWriter | asyncio.Transport, data: bytes) -> None:
        if self._slow:
            await asyncio.sleep(self._random.random() * self._faults.slow_s)
        size = self._random.randrange(1, LARGEST_SPLIT_BYTES) if self._split else len(data)
        for start in range(0, len(data), size):
            target.write(data[start : start + size])
            if self._split and start < YIELDED_SPLITS * size:
                await asyncio.sleep(0)
