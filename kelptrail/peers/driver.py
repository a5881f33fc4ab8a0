"""Keeps links to peers up on the loop: listens, connects where it must, carries messages both ways.

Of two that both need each other the one with the lesser name connects, so one connection stands between them.  A link
that breaks, is silent, or speaks what is no message is closed and made anew after a pause that grows; no other link
notices.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

import msgspec

from kelptrail.clock import now_ms
from kelptrail.net.listener import Listener

from .connection import PeerConnection, PeerSettings
from .messages import VERSION, ChannelError, Hello, decoder

PAUSE_MS, LONGEST_PAUSE_MS = 100.0, 2000.0
Handler = Callable[[str, Any], None]


class Peers:
    """This process's links.  Rooms register what they speak before `start`; `where` tells a peer's address, or nothing
    while it is not known."""

    def __init__(self, name: str, lineage: str, settings: PeerSettings, where: Callable[[str], str], log: Any) -> None:
        self.name, self._lineage, self._settings, self._address_of, self._log = name, lineage, settings, where, log
        self._loop = asyncio.get_running_loop()
        self._handlers: dict[type, Handler] = {}
        self._needs: dict[type, str] = {}
        self._read = decoder()
        self._connections: dict[PeerConnection, socket.socket] = {}
        self._by_name: dict[str, PeerConnection] = {}
        self._writing: set[PeerConnection] = set()
        self._connectors: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = Listener(self._loop, self._on_accept, lambda sock, peer, back: sock.close(), log.warning)
        self._heartbeats: asyncio.Task[None] | None = None
        self.address = ""
        self.connections_lost = 0

    def register(self, name: str, handler: Handler, *kinds: type[msgspec.Struct]) -> None:
        """Have messages of these kinds handed over, with who sent them; peers are told that `name` is read here."""
        for kind in kinds:
            self._handlers[kind], self._needs[kind] = handler, name
        self._read = decoder(*self._handlers)

    def listen(self, host: str, port: int) -> None:
        """Let peers come.  Raises `OSError`."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(512)
        sock.setblocking(False)
        self.address = f"{host}:{sock.getsockname()[1]}"
        self._listener.open(sock)

    def start(self) -> None:
        """Begin heartbeats."""
        self._heartbeats = self._loop.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Close all links."""
        self._listener.close()
        tasks = [*self._tasks, *self._connectors.values(), *([self._heartbeats] if self._heartbeats else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def keep_connected(self, names: set[str]) -> None:
        """Keep links up to these peers: connect to those that do not connect here."""
        for name in names - self._connectors.keys() - {self.name}:
            self._connectors[name] = self._loop.create_task(self._stay_connected(name))
        for name in self._connectors.keys() - names:
            self._connectors.pop(name).cancel()

    def send(self, to: str, message: msgspec.Struct) -> bool:
        """Send, if there is a link that can carry it; whether it arrives is not known."""
        link = self._by_name.get(to)
        if link is None or not link.enqueue(now_ms(), message, self._needs[type(message)]):
            return False
        self._write(link)
        return True

    def ms_since_heard(self) -> dict[str, float]:
        """Peers with a link, and how long ago each was heard, in ms."""
        now = now_ms()
        return {name: now - link.last_heard for name, link in self._by_name.items()}

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        return {
            "address": self.address,
            "lost": self.connections_lost,
            "links": {
                name: {
                    "heard_ms": round(now_ms() - link.last_heard),
                    "version": link.version,
                    "can": sorted(link.capabilities),
                    "came": link.received,
                    "sent": link.sent,
                    "waiting_bytes": link.pending_bytes,
                    "dropped": link.dropped,
                    "flooded": link.rate_limited,
                    "passed_over": link.unknown_messages,
                }
                for name, link in sorted(self._by_name.items())
            },
        }

    # Links.

    def _on_accept(self, sock: socket.socket, peer: str) -> None:
        task = self._loop.create_task(self._run_accepted(sock, peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_accepted(self, sock: socket.socket, peer: str) -> None:
        try:
            await self._run_connection(sock)
        except (OSError, ChannelError) as cause:
            self._log.info("peer-lost", address=peer, reason=str(cause) or type(cause).__name__)

    async def _stay_connected(self, name: str) -> None:
        """Connect whenever there is no link: the lesser name at once, the other, as the lesser may not need a link, a
        little later."""
        pause = PAUSE_MS
        if name < self.name:
            await asyncio.sleep(4 * PAUSE_MS / 1000)
        while True:
            began, address = now_ms(), self._address_of(name)
            if name not in self._by_name and address:
                host, _, port = address.rpartition(":")
                sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                try:
                    async with asyncio.timeout(self._settings.connect_timeout_ms / 1000):
                        await self._loop.sock_connect(sock, (host.strip("[]"), int(port)))
                    await self._run_connection(sock, name)
                    reason = "closed by the peer"
                except (OSError, ChannelError) as cause:
                    reason = str(cause) or type(cause).__name__
                finally:
                    sock.close()
                self.connections_lost += 1
                self._log.info("peer-lost", peer=name, address=address, reason=reason)
            pause = PAUSE_MS if now_ms() - began > 5000 else min(LONGEST_PAUSE_MS, pause * 1.6)
            await asyncio.sleep(pause / 1000)

    async def _run_connection(self, sock: socket.socket, expected: str = "") -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        can = tuple(sorted(set(self._needs.values())))
        link = PeerConnection(
            Hello(VERSION, self.name, self._lineage, capabilities=can), self._settings, self._read, now_ms()
        )
        self._connections[link] = sock
        buffer = bytearray(65_536)
        try:
            self._write(link)
            while True:
                async with asyncio.timeout(self._settings.silence_timeout_ms / 1000):
                    count = await self._loop.sock_recv_into(sock, buffer)
                if not count:
                    return
                with memoryview(buffer) as view:
                    messages = link.receive_data(now_ms(), view[:count])
                if link.peer and self._by_name.get(link.peer) is not link:
                    if expected and link.peer != expected:
                        raise ChannelError(f"{link.peer} answers where {expected} should")
                    self._by_name[link.peer] = link  # the newest is the one that its peer still has
                for message in messages:
                    self._handlers[type(message)](link.peer, message)
        finally:
            del self._connections[link]
            self._writing.discard(link)
            if self._by_name.get(link.peer) is link:
                others = [other for other in self._connections if other.peer == link.peer]
                if others:
                    self._by_name[link.peer] = others[-1]
                else:
                    del self._by_name[link.peer]
            sock.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / 2000)
            now = now_ms()
            for link, sock in list(self._connections.items()):
                if link.tick(now):
                    self._write(link)
                else:  # its reader ends with an error
                    with contextlib.suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)

    def _write(self, link: PeerConnection) -> None:
        if not link.output or link in self._writing:
            return
        sock = self._connections[link]
        try:  # nearly all goes at once
            data = link.data_to_send()
            sent = sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # its reader tells
        if sent < len(data):
            self._writing.add(link)
            task = self._loop.create_task(self._write_remaining(link, sock, data[sent:]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _write_remaining(self, link: PeerConnection, sock: socket.socket, data: bytes) -> None:
        link.pending_bytes += len(data)
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(sock, data)
        link.pending_bytes -= len(data)
        self._writing.discard(link)
        if link in self._connections:
            self._write(link)
