"""Helpers for tests that force an order of events: raw sockets, frames, delayed connects, output of processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import subprocess
import time
from collections.abc import Callable
from typing import Any

import pytest

from kelptrail.codec import frames
from kelptrail.net.connecting import connect
from kelptrail.platform import worker_connection

SMALL_BUFFER_BYTES = 4096  # size of a socket buffer that is to fill up quickly


def never_answer(*_: Any, **__: Any) -> None:
    """Ignore a request, as a worker that never answers."""


async def until(condition: Callable[[], Any], within: float = 3.0) -> None:
    """Wait until `condition` holds.  Raises `TimeoutError` after `within` seconds."""
    async with asyncio.timeout(within):
        while not condition():
            await asyncio.sleep(0.005)


def connect_raw(port: int, receive_buffer_bytes: int | None = None) -> socket.socket:
    """Return a connected client socket; the size of its receive buffer is set before it connects."""
    sock = socket.socket()
    if receive_buffer_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.connect(("127.0.0.1", port))
    return sock


def request(stream: int, body: bytes = b"hello", **other: str) -> bytes:
    """Encode a request frame; `other` replaces or adds fields.

    `stream` is also the number in the request's id and in the function's id, so each stream calls another function.
    """
    fields = {
        "verb": "t",
        "txn": f"{stream:016x}",
        "limit": "1500",
        "team": "acme",
        "item": f"{stream:016x}",
        "info": "memory_mb:512;lanes:2",
    } | other
    return frames.encode_frame(frames.REQUEST, stream, frames.encode_fields(fields) + body)


def read_all(sock: socket.socket, within: float = 3.0) -> list[tuple[int, int, bytes]]:
    """Return all frames until the connection ends.  Raises `TimeoutError` if no bytes arrive for `within` seconds."""
    sock.settimeout(within)
    reader, received = frames.FrameReader(1 << 20), []
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(65536):
            reader.feed(data)
            while (frame := reader.next()) is not None:
                received.append(frame)
    return received


def answers(received: list[tuple[int, int, bytes]]) -> dict[int, int]:
    """Return the status code of the answer to each stream."""
    codes = [(stream, payload[0]) for kind, stream, payload in received if kind == frames.ANSWER]
    assert len(dict(codes)) == len(codes), "one answer for each stream"
    return dict(codes)


class BlockedConnects:
    """Replaces `connect` of a module; new connects, or only those to `port`, wait until `gate` is set.

    `waiting` counts all connects that had to wait, also those that continued since.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, module: Any = worker_connection, port: int | None = None
    ) -> None:
        self.gate, self.waiting, self._port = asyncio.Event(), 0, port
        monkeypatch.setattr(module, "connect", self._connect)

    async def _connect(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], within: float) -> socket.socket:
        if self._port in (None, address[1]):
            self.waiting += 1
            await self.gate.wait()
        return await connect(loop, address, within)


def read_until(process: subprocess.Popen[bytes], text: str, within: float = 4.0) -> str:
    """Return the output of the process that earlier calls have not read, up to the end of the read with `text`.

    Raises `AssertionError` if the process ends before that, or if `text` does not arrive within `within` seconds.
    """
    assert process.stdout is not None
    output, deadline = "", time.monotonic() + within
    while text not in output:
        remaining = deadline - time.monotonic()
        assert remaining > 0 and select.select([process.stdout], [], [], remaining)[0], (
            f"{text!r} not in the output: {output}"
        )
        data = os.read(process.stdout.fileno(), 65536)
        assert data, f"the process ended: {output}"
        output += data.decode()
    return output
