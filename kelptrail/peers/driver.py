"""Connections to peers on the event loop: accepts and opens connections, sends and receives messages.

If two peers need a connection to each other, the one whose name sorts first connects first, so that there is normally
only one.  A connection that breaks, is silent or violates the protocol is closed and opened again with exponential
backoff, independently of all others.
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

MIN_BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 2000.0
STABLE_MS = 5000.0  # lifetime of a connection above which the backoff is reset
BACKOFF_FACTOR = 1.6
READ_BYTES = 65_536
ACCEPT_BACKLOG = 512
Handler = Callable[[str, Any], None]


class Peers:
    """All peer connections of a process.

    Users of the channel `register` their message types before `start`.  `address_of` returns the address of a peer, or
    "" while it is unknown.
    """

    def __init__(
        self, name: str, lineage: str, settings: PeerSettings, address_of: Callable[[str], str], log: Any
    ) -> None:
        self.name, self._lineage, self._settings, self._address_of, self._log = name, lineage, settings, address_of, log
        self._loop = asyncio.get_running_loop()
        self._handlers: dict[type, Handler] = {}
        self._capabilities: dict[type, str] = {}
        self._decoder = decoder()
        self._connections: dict[PeerConnection, socket.socket] = {}
        self._by_name: dict[str, PeerConnection] = {}  # connection on which messages to each peer are sent
        self._writing: set[PeerConnection] = set()  # connections whose remaining output a task is sending
        self._connectors: dict[str, asyncio.Task[None]] = {}  # by peer: task that keeps the connection
        self._tasks: set[asyncio.Task[None]] = set()
        # The callback that rejects connections is never called, as the listener has no pace.
        self._listener = Listener(
            self._loop, self._on_accept, lambda sock, peer, retry_after_ms: sock.close(), log.warning
        )
        self._heartbeat_task: asyncio.Task[None] | None = None
        self.address = ""
        self.connections_lost = 0  # connections of this process to peers that could not be opened or have ended

    def register(self, capability: str, handler: Handler, *message_types: type[msgspec.Struct]) -> None:
        """Call `handler` with the sender's name and the message for each received message of these types.

        `capability` is announced to peers, which only send messages of these types to processes that announce it.
        """
        for message_type in message_types:
            self._handlers[message_type], self._capabilities[message_type] = handler, capability
        self._decoder = decoder(*self._handlers)

    def listen(self, host: str, port: int) -> None:
        """Accept connections at this address.  Raises `OSError`."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(ACCEPT_BACKLOG)
        sock.setblocking(False)
        self.address = f"{host}:{sock.getsockname()[1]}"
        self._listener.add_socket(sock)

    def start(self) -> None:
        """Start to send heartbeats."""
        self._heartbeat_task = self._loop.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Close all connections."""
        self._listener.close()
        tasks = [*self._tasks, *self._connectors.values(), *([self._heartbeat_task] if self._heartbeat_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def keep_connected(self, names: set[str]) -> None:
        """Keep connections to these peers, and close connections that this process has opened to others.

        A connection is opened to each peer that has not connected to this process.
        """
        for name in names - self._connectors.keys() - {self.name}:
            self._connectors[name] = self._loop.create_task(self._stay_connected(name))
        for name in self._connectors.keys() - names:
            self._connectors.pop(name).cancel()

    def send(self, to: str, message: msgspec.Struct) -> bool:
        """Send a message if there is a connection whose peer supports its type; delivery is not confirmed.

        Return False if the message was not sent.
        """
        connection = self._by_name.get(to)
        if connection is None or not connection.enqueue(now_ms(), message, self._capabilities[type(message)]):
            return False
        self._write(connection)
        return True

    def ms_since_received(self) -> dict[str, float]:
        """Return the connected peers and the time since data of each was last received, in ms."""
        now = now_ms()
        return {name: now - connection.last_received_at for name, connection in self._by_name.items()}

    def status(self) -> dict[str, Any]:
        """Return the state of all connections for operators."""
        return {
            "address": self.address,
            "lost": self.connections_lost,
            "links": {
                name: {
                    "heard_ms": round(now_ms() - connection.last_received_at),
                    "version": connection.version,
                    "can": sorted(connection.capabilities),
                    "came": connection.received,
                    "sent": connection.sent,
                    "waiting_bytes": connection.pending_bytes,
                    "dropped": connection.dropped,
                    "flooded": connection.rate_limited,
                    "passed_over": connection.unknown_messages,
                }
                for name, connection in sorted(self._by_name.items())
            },
        }

    # Connections.

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
        """Connect to a peer whenever there is no connection.

        The process whose name sorts first connects at once.  The other one connects a little later, because the first
        one may not need the connection and then does not connect.  While another connection to the peer exists, this
        method only checks at intervals of up to `MAX_BACKOFF_MS` whether that connection still exists.
        """
        backoff_ms = MIN_BACKOFF_MS
        if name < self.name:
            await asyncio.sleep(4 * MIN_BACKOFF_MS / 1000)
        while True:
            started_at, address = now_ms(), self._address_of(name)
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
            backoff_ms = (
                MIN_BACKOFF_MS
                if now_ms() - started_at > STABLE_MS
                else min(MAX_BACKOFF_MS, backoff_ms * BACKOFF_FACTOR)
            )
            await asyncio.sleep(backoff_ms / 1000)

    async def _run_connection(self, sock: socket.socket, expected_name: str = "") -> None:
        """Receive messages until the peer closes the connection.  Raises `OSError` and `ChannelError`.

        `expected_name` is "" for a connection that the peer has opened.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        capabilities = tuple(sorted(set(self._capabilities.values())))
        connection = PeerConnection(
            Hello(VERSION, self.name, self._lineage, capabilities=capabilities), self._settings, self._decoder, now_ms()
        )
        self._connections[connection] = sock
        buffer = bytearray(READ_BYTES)
        try:
            self._write(connection)
            while True:
                async with asyncio.timeout(self._settings.silence_timeout_ms / 1000):
                    count = await self._loop.sock_recv_into(sock, buffer)
                if not count:
                    return
                with memoryview(buffer) as view:
                    messages = connection.receive_data(now_ms(), view[:count])
                if connection.peer and self._by_name.get(connection.peer) is not connection:
                    if expected_name and connection.peer != expected_name:
                        raise ChannelError(f"{connection.peer} is connected, but {expected_name} was expected")
                    # Use the connection on which data arrived last: the peer may have closed the others.
                    self._by_name[connection.peer] = connection
                for message in messages:
                    self._handlers[type(message)](connection.peer, message)
        finally:
            del self._connections[connection]
            self._writing.discard(connection)
            if self._by_name.get(connection.peer) is connection:
                others = [other for other in self._connections if other.peer == connection.peer]
                if others:
                    self._by_name[connection.peer] = others[-1]
                else:
                    del self._by_name[connection.peer]
            sock.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / 2000)  # checks twice per heartbeat interval
            now = now_ms()
            for connection, sock in list(self._connections.items()):
                if connection.tick(now):
                    self._write(connection)
                else:  # silent for too long; the task that reads from the socket then ends and closes it
                    with contextlib.suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)

    def _write(self, connection: PeerConnection) -> None:
        if not connection.output or connection in self._writing:
            return
        sock = self._connections[connection]
        try:  # in most cases everything is sent at once
            data = connection.data_to_send()
            sent = sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # the task that reads from the socket reports the error
        if sent < len(data):
            self._writing.add(connection)
            task = self._loop.create_task(self._write_remaining(connection, sock, data[sent:]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _write_remaining(self, connection: PeerConnection, sock: socket.socket, data: bytes) -> None:
        connection.pending_bytes += len(data)
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(sock, data)
        connection.pending_bytes -= len(data)
        self._writing.discard(connection)
        if connection in self._connections:
            self._write(connection)
