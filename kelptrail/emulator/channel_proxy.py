"""A TCP proxy for the channel between dispatchers: cuts, slows and resets connections between real processes.

It listens once for each ordered pair of names, so it knows source and target of a connection without reading a byte;
whoever starts the processes posts the addresses of their channels.  Over a link that is cut bytes are delayed, not
lost: connections stay open and silent, new ones are not established, and what was sent arrives once the link is back,
as on a real network.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any, NamedTuple

import msgspec

from kelptrail.codec.http import Request
from kelptrail.net.server import Exchange, HttpServer

from .capture import Capture
from .network_faults import NetworkFaults

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closed with a reset
READ_BYTES = 65_536
ACCEPT_BACKLOG = 64
RANDOM_SALT = 5  # sets this proxy's draws apart from others of the same seed


class _ReadDelay(NamedTuple):
    delay_ms: float
    share: float  # of reads


class _SocketPair(NamedTuple):
    source: socket.socket
    target: socket.socket | None  # None until the link is up


class ChannelProxy:
    """From each of `sources` to each of `targets`.  Settings at its control port: `at` (addresses),
    `cut` (ordered pairs whose bytes are delayed), `slow` (ms and share of reads), `reset` (share of connections).
    """

    def __init__(self, sources: list[str], targets: list[str], capture: Capture, seed: int) -> None:
        self._capture, self._faults = capture, NetworkFaults(seed, RANDOM_SALT)
        self._loop = asyncio.get_running_loop()
        self._addresses: dict[str, str] = {}
        self._delay = _ReadDelay(0.0, 0.0)
        self._pairs: dict[asyncio.Task[None], _SocketPair] = {}
        self.routes: dict[str, str] = {}
        for source in sources:
            for target in targets:
                if source != target:
                    self.routes[f"{source}>{target}"] = self._listen(source, target)
        self.server = HttpServer(self._handle)

    def _listen(self, source: str, target: str) -> str:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(ACCEPT_BACKLOG)
        sock.setblocking(False)
        self._loop.add_reader(sock, self._accept, sock, source, target)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def _accept(self, listening: socket.socket, source: str, target: str) -> None:
        try:
            sock, _ = listening.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        task = self._loop.create_task(self._proxy(sock, source, target))
        self._pairs[task] = _SocketPair(sock, None)
        task.add_done_callback(lambda done: self._pairs.pop(done, None))

    async def _proxy(self, source_socket: socket.socket, source: str, target: str) -> None:
        target_socket = socket.socket()
        target_socket.setblocking(False)
        task = asyncio.current_task()
        assert task is not None
        self._pairs[task] = _SocketPair(source_socket, target_socket)
        directions: list[asyncio.Task[None]] = []
        try:
            await self._faults.wait_until_connected((source, target), (target, source))  # a handshake needs both ways
            host, _, port = self._addresses[target].rpartition(":")
            await self._loop.sock_connect(target_socket, (host, int(port)))
            for sock in (source_socket, target_socket):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            directions = [
                self._loop.create_task(self._forward(source_socket, target_socket, source, target)),
                self._loop.create_task(self._forward(target_socket, source_socket, target, source)),
            ]
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, KeyError):
            pass  # no process listens there: the peer sees a closed connection
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            source_socket.close()
            target_socket.close()

    async def _forward(self, read: socket.socket, write: socket.socket, source: str, target: str) -> None:
        while True:
            data = await self._loop.sock_recv(read, READ_BYTES)
            await self._faults.wait_until_connected((source, target))
            if not data:
                return
            if self._faults.draw(self._delay.share):
                await asyncio.sleep(self._delay.delay_ms / 1000)
            await self._loop.sock_sendall(write, data)

    def _handle(self, request: Request, exchange: Exchange) -> None:
        body: dict[str, Any] = msgspec.json.decode(request.body) if request.body else {}
        self._addresses |= body.get("at", {})
        self._faults.apply(body)
        if "slow" in body:
            self._delay = _ReadDelay(float(body["slow"]["ms"]), float(body["slow"]["share"]))
        resets = self._reset_connections(body["reset"]) if body.get("reset") else 0
        if "at" not in body:
            self._capture.write("links", cut=sorted(self._faults.cut), slow=self._delay, resets=resets)
        exchange.reply(200, msgspec.json.encode({"connections": len(self._pairs)}))

    def _reset_connections(self, share: float) -> int:
        """Reset a share of the connections; how many were reset."""
        resets = 0
        for pair in list(self._pairs.values()):
            if not self._faults.draw(share):
                continue
            resets += 1
            for sock in pair:
                if sock is not None:
                    with contextlib.suppress(OSError):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                        sock.shutdown(socket.SHUT_RDWR)
        return resets
