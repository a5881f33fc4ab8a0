"""A front address on loopback: listening sockets that are opened on acquire and closed on release.

VRRP decides when that happens.  On release, clients in the accept queue are still accepted, later ones are not.
Requests in flight are answered and their connections closed.  A later request on a connection that is still open is
rejected with 503 and `Retry-After`, because the address belongs to another dispatcher by then.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kelptrail.codec.http import Request
from kelptrail.net.grpc_server import GrpcServer
from kelptrail.net.server import Exchange, Handler, HttpServer

ADDRESS_MOVED = b'{"error":"This address has moved to another dispatcher; the call was not taken.","code":"moved"}'

LISTEN_RETRY_S = 0.05  # interval between attempts to listen while the address cannot be bound


@dataclass(frozen=True, slots=True)
class FrontService:
    """Describes the servers of a front address; new ones are created each time the address is acquired.

    `drain_ms` is the time that requests in flight have to end after the address was released; for the first `linger_ms`
    of it, idle HTTP connections stay open, so that late requests on them are answered.
    """

    handler: Handler
    make_http_server: Callable[[Handler], HttpServer]
    make_grpc_server: Callable[[], GrpcServer] | None = None
    drain_ms: float = 0.0
    linger_ms: float = 0.0


class FrontAddress:
    """One address and its servers, which listen while the address is held."""

    def __init__(self, host: str, port: int, service: FrontService, log: Any, grpc_port: int = 0) -> None:
        """`grpc_port` is the port of the gRPC front on the same address; 0 means that there is none."""
        self._host, self._port, self._grpc_port = host, port, grpc_port
        self._service, self._log = service, log
        self._loop = asyncio.get_running_loop()
        self._server: HttpServer | None = None
        self._grpc: GrpcServer | None = None
        self._drain_tasks: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None

    @property
    def held(self) -> bool:
        """Whether the servers listen on the address."""
        return self._server is not None

    @property
    def server(self) -> HttpServer | None:
        """The HTTP server that listens on the address, or None while the address is not held."""
        return self._server

    def acquire(self) -> None:
        """Listen on the address; retry until this succeeds or `release` is called."""
        if self._server is not None:
            return
        self._retry_timer = None
        service = self._service
        server = service.make_http_server(service.handler)
        grpc = service.make_grpc_server() if service.make_grpc_server is not None and self._grpc_port else None
        try:
            server.listen(self._host, self._port, reuse_port=True)
            if grpc is not None:
                grpc.listen(self._host, self._grpc_port, reuse_port=True)
        except OSError as cause:
            server.stop_listening()
            self._log.warning("address-not-acquired", address=f"{self._host}:{self._port}", reason=str(cause))
            self._retry_timer = self._loop.call_later(LISTEN_RETRY_S, self.acquire)
            return
        self._server, self._grpc = server, grpc

    def release(self) -> None:
        """Stop listening; requests in flight have the service's `drain_ms` to end."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        server, self._server = self._server, None
        if server is not None:
            server.handle = self._reject_moved
            server.start_draining()  # immediately, so that later connections reach the new holder
            if self._grpc is not None:
                self._grpc.stop_listening()
            task = self._loop.create_task(self._drain(server, self._grpc))
            self._grpc = None
            self._drain_tasks.add(task)
            task.add_done_callback(self._drain_tasks.discard)

    async def _drain(self, server: HttpServer, grpc: GrpcServer | None) -> None:
        drain_ms = self._service.drain_ms
        drains = [server.drain(drain_ms, self._service.linger_ms)]
        if grpc is not None:  # sends GOAWAY to clients; open streams continue
            drains.append(grpc.drain(drain_ms))
        if not all(await asyncio.gather(*drains)):
            self._log.warning("address-drain-timeout", address=f"{self._host}:{self._port}")

    @staticmethod
    def _reject_moved(request: Request, exchange: Exchange) -> None:
        exchange.reply(503, ADDRESS_MOVED, {"retry-after": "1"}, close=True)

    async def wait_closed(self) -> None:
        """Wait until all servers of released addresses have finished draining."""
        if self._drain_tasks:
            await asyncio.gather(*list(self._drain_tasks), return_exceptions=True)
