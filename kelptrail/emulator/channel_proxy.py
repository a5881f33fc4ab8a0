"""TCP proxy for the channels between dispatchers and to planners; it can cut, delay and reset connections.

It has one listening socket for each ordered pair of names, so that the socket identifies source and target of a
connection.  The process that starts the cluster posts the addresses of the targets to the control port.  While a link
is cut, its bytes are delayed and not lost, as on a real network: open connections stay open without traffic, new ones
are not established, and data that was sent arrives once the link is restored.
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

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing sends a reset
READ_BYTES = 65_536
ACCEPT_BACKLOG = 64
RANDOM_SALT = 5  # separates this proxy's random numbers from others of the same seed


class _ReadDelay(NamedTuple):
    delay_ms: float
    share: float  # share of reads that are delayed


class _SocketPair(NamedTuple):
    source: socket.socket
    target: socket.socket | None  # None until the proxy connects to the target


class ChannelProxy:
    """Proxies connections from each of `sources` to each of `targets`.

    Requests to its control port set `at` (addresses by name), `cut` (ordered pairs whose bytes are delayed) and `slow`
    (delay in ms, and the share of reads that it applies to); `reset` resets a share of the open connections.
    """

    def __init__(self, sources: list[str], targets: list[str], capture: Capture, seed: int) -> None:
        self._capture, self._faults = capture, NetworkFaults(seed, RANDOM_SALT)
        self._loop = asyncio.get_running_loop()
        self._addresses: dict[str, str] = {}
        self._delay = _ReadDelay(0.0, 0.0)
        self._pairs: dict[asyncio.Task[None], _SocketPair] = {}
        self.routes: dict[str, str] = {}  # listening addresses of the proxy by link, "source>target"
        for source in sources:
            for target in targets:
                if source != target:
                    self.routes[f"{source}>{target}"] = self._open_listener(source, target)
        self.server = HttpServer(self._handle_settings)

    def _open_listener(self, source: str, target: str) -> str:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(ACCEPT_BACKLOG)
        sock.setblocking(False)
        self._loop.add_reader(sock, self._accept, sock, source, target)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def _accept(self, listener: socket.socket, source: str, target: str) -> None:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        task = self._loop.create_task(self._proxy_connection(sock, source, target))
        self._pairs[task] = _SocketPair(sock, None)
        task.add_done_callback(lambda done: self._pairs.pop(done, None))

    async def _proxy_connection(self, source_socket: socket.socket, source: str, target: str) -> None:
        target_socket = socket.socket()
        target_socket.setblocking(False)
        task = asyncio.current_task()
        assert task is not None
        self._pairs[task] = _SocketPair(source_socket, target_socket)
        directions: list[asyncio.Task[None]] = []
        try:
            # A TCP handshake needs both directions.
            await self._faults.wait_until_connected((source, target), (target, source))
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
            pass  # the target is unknown or not reachable: the source sees a closed connection
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            source_socket.close()
            target_socket.close()

    async def _forward(self, from_socket: socket.socket, to_socket: socket.socket, source: str, target: str) -> None:
        while True:
            data = await self._loop.sock_recv(from_socket, READ_BYTES)
            await self._faults.wait_until_connected((source, target))
            if not data:
                return
            if self._faults.draw(self._delay.share):
                await asyncio.sleep(self._delay.delay_ms / 1000)
            await self._loop.sock_sendall(to_socket, data)

    def _handle_settings(self, request: Request, exchange: Exchange) -> None:
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
        """Reset each connection with probability `share`, and return the number that were reset."""
        resets = 0
        for pair in list(self._pairs.values()):
            if not self._faults.draw(share):
                continue
            resets += 1
            for sock in pair:
                if sock is not None:
                    with contextlib.suppress(OSError):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                        sock.shutdown(socket.SHUT_RDWR)
        return resets
