"""Clients that keep connections to dispatchers open: idle clients, and clients that read one byte per second."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from kelptrail.clock import now_ms
from kelptrail.emulator.cluster import Cluster

from .scenario import Fault, FaultKind

RECEIVE_BUFFER_BYTES = 2048
# The answers to this many requests fill the buffers of the socket.
PIPELINED_REQUESTS = 50
REQUEST = b"GET /api/v1 HTTP/1.1\r\nhost: x\r\n\r\n"


async def hold_connections(cluster: Cluster, fault: Fault) -> None:
    """Keep `fault.count` connections, spread over the dispatchers, open for the duration of the fault."""
    reads_slowly = fault.kind == FaultKind.SLOW_READERS
    sockets: list[socket.socket] = []
    for number in range(fault.count):
        dispatcher = cluster.dispatchers[number % len(cluster.dispatchers)]
        await _open_connection(dispatcher.ready_info["address"], reads_slowly, sockets)
    end = now_ms() + fault.duration * 1000
    while now_ms() < end:
        await asyncio.sleep(1)
        if reads_slowly:
            for sock in sockets:
                with contextlib.suppress(OSError):
                    sock.recv(1)
    for sock in sockets:
        sock.close()


async def _open_connection(address: str, reads_slowly: bool, sockets: list[socket.socket]) -> None:
    """Add a socket to `sockets` and connect it.  If the dispatcher is down, the socket stays unconnected."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sockets.append(sock)
    with contextlib.suppress(OSError):
        await loop.sock_connect(sock, (host, int(port)))
        if reads_slowly:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            await loop.sock_sendall(sock, REQUEST * PIPELINED_REQUESTS)
