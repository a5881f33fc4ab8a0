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
        self.name, self._lineage, self._settings, self._where, self._log = name, lineage, settings, where, log
        self._loop = asyncio.get_running_loop()
        self._handlers: dict[type, Handler] = {}
        self._needs: dict[type, str] = {}
        self._read = decoder()
        self._links: dict[PeerConnection, socket.socket] = {}
        self._by_name: dict[str, PeerConnection] = {}
        self._writing: set[PeerConnection] = set()
        self._wanted: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._door = Listener(self._loop, self._came, lambda sock, peer, back: sock.close(), log.warning)
        self._beats: asyncio.Task[None] | None = None
        self.address = ""
        self.lost = 0

    def speak(self, name: str, handler: Handler, *kinds: type[msgspec.Struct]) -> None:
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
        self._door.add_socket(sock)

    def start(self) -> None:
        """Begin heartbeats."""
        self._beats = self._loop.create_task(self._beat())

    async def stop(self) -> None:
        """Close all links."""
        self._door.close()
        tasks = [*self._tasks, *self._wanted.values(), *([self._beats] if self._beats else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def need(self, names: set[str]) -> None:
        """Keep links up to these peers: connect to those that do not connect here."""
        for name in names - self._wanted.keys() - {self.name}:
            self._wanted[name] = self._loop.create_task(self._keep(name))
        for name in self._wanted.keys() - names:
            self._wanted.pop(name).cancel()

    def send(self, to: str, message: msgspec.Struct) -> bool:
        """Send, if there is a link that can carry it; whether it arrives is not known."""
        link = self._by_name.get(to)
        if link is None or not link.send(now_ms(), message, self._needs[type(message)]):
            return False
        self._write(link)
        return True

    def heard(self) -> dict[str, float]:
        """Peers with a link, and how long ago each was heard, in ms."""
        now = now_ms()
        return {name: now - link.heard for name, link in self._by_name.items()}

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        return {
            "address": self.address,
            "lost": self.lost,
            "links": {
                name: {
                    "heard_ms": round(now_ms() - link.heard),
                    "version": link.version,
                    "can": sorted(link.can),
                    "came": link.came,
                    "sent": link.sent,
                    "waiting_bytes": link.waiting,
                    "dropped": link.dropped,
                    "flooded": link.flooded,
                    "passed_over": link.passed_over,
                }
                for name, link in sorted(self._by_name.items())
            },
        }

    # Links.

    def _came(self, sock: socket.socket, peer: str) -> None:
        task = self._loop.create_task(self._taken(sock, peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _taken(self, sock: socket.socket, peer: str) -> None:
        try:
            await self._talk(sock)
        except (OSError, ChannelError) as cause:
            self._log.info("peer-lost", address=peer, reason=str(cause) or type(cause).__name__)

    async def _keep(self, name: str) -> None:
        """Connect whenever there is no link: the lesser name at once, the other, as the lesser may not need a link, a
        little later."""
        pause = PAUSE_MS
        if name < self.name:
            await asyncio.sleep(4 * PAUSE_MS / 1000)
        while True:
            began, address = now_ms(), self._where(name)
            if name not in self._by_name and address:
                host, _, port = address.rpartition(":")
                sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                try:
                    async with asyncio.timeout(self._settings.connect_ms / 1000):
                        await self._loop.sock_connect(sock, (host.strip("[]"), int(port)))
                    await self._talk(sock, name)
                    reason = "closed by the peer"
                except (OSError, ChannelError) as cause:
                    reason = str(cause) or type(cause).__name__
                finally:
                    sock.close()
                self.lost += 1
                self._log.info("peer-lost", peer=name, address=address, reason=reason)
            pause = PAUSE_MS if now_ms() - began > 5000 else min(LONGEST_PAUSE_MS, pause * 1.6)
            await asyncio.sleep(pause / 1000)

    async def _talk(self, sock: socket.socket, expected: str = "") -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        can = tuple(sorted(set(self._needs.values())))
        link = PeerConnection(Hello(VERSION, self.name, self._lineage, can=can), self._settings, self._read, now_ms())
        self._links[link] = sock
        buffer = bytearray(65_536)
        try:
            self._write(link)
            while True:
                async with asyncio.timeout(self._settings.silent_ms / 1000):
                    count = await self._loop.sock_recv_into(sock, buffer)
                if not count:
                    return
                with memoryview(buffer) as view:
                    messages = link.feed(now_ms(), view[:count])
                if link.peer and self._by_name.get(link.peer) is not link:
                    if expected and link.peer != expected:
                        raise ChannelError(f"{link.peer} answers where {expected} should")
                    self._by_name[link.peer] = link  # the newest is the one that its peer still has
                for message in messages:
                    self._handlers[type(message)](link.peer, message)
        finally:
            del self._links[link]
            self._writing.discard(link)
            if self._by_name.get(link.peer) is link:
                others = [other for other in self._links if other.peer == link.peer]
                if others:
                    self._by_name[link.peer] = others[-1]
                else:
                    del self._by_name[link.peer]
            sock.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self._settings.beat_ms / 2000)
            now = now_ms()
            for link, sock in list(self._links.items()):
                if link.tick(now):
                    self._write(link)
                else:  # its reader ends with an error
                    with contextlib.suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)

    def _write(self, link: PeerConnection) -> None:
        if not link.out or link in self._writing:
            return
        sock = self._links[link]
        try:  # nearly all goes at once
            data = link.take()
            sent = sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # its reader tells
        if sent < len(data):
            self._writing.add(link)
            task = self._loop.create_task(self._rest(link, sock, data[sent:]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _rest(self, link: PeerConnection, sock: socket.socket, data: bytes) -> None:
        link.waiting += len(data)
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(sock, data)
        link.waiting -= len(data)
        self._writing.discard(link)
        if link in self._links:
            self._write(link)
