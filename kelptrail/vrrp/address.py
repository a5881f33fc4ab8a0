"""A front address on loopback: a listening socket that is acquired and released; it decides nothing.

On release, connections in the accept queue are accepted, then no more; requests in flight get their answers and their
connections close; a later request on an open connection is answered 503 with `Retry-After` and not accepted, as the
address leads to another dispatcher by then.
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

RETRY_S = 0.05  # between attempts to listen on an address that is in use


@dataclass(frozen=True, slots=True)
class FrontService:
    """What is served on a front address, by servers that are made anew each time it is acquired.

    `drain_ms`: for the requests in flight when the address is released; `linger_ms`: for which open connections are
    then kept, so that late requests are answered.
    """

    handler: Handler
    make_http_server: Callable[[Handler], HttpServer]
    make_grpc_server: Callable[[], GrpcServer] | None = None
    drain_ms: float = 0.0
    linger_ms: float = 0.0


class FrontAddress:
    """One address, and the servers on it while it is held."""

    def __init__(self, host: str, port: int, service: FrontService, log: Any, grpc_port: int = 0) -> None:
        """`grpc_port`: of the gRPC front on the same address; 0: there is none."""
        self._host, self._port, self._grpc_port = host, port, grpc_port
        self._service, self._log = service, log
        self._loop = asyncio.get_running_loop()
        self._server: HttpServer | None = None
        self._grpc: GrpcServer | None = None
        self._draining: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None

    @property
    def held(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    @property
    def server(self) -> HttpServer | None:
        """The server that listens, while held."""
        return self._server

    def acquire(self) -> None:
        """Listen on the address; retried while it is in use."""
        if self._server is not None:
            return
        self._retry = None
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
            self._retry = self._loop.call_later(RETRY_S, self.acquire)
            return
        self._server, self._grpc = server, grpc

    def release(self) -> None:
        """Stop listening; requests in flight get the service's `drain_ms` to be answered."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        server, self._server = self._server, None
        if server is not None:
            server.handle = self._reject_moved
            server.start_draining()  # at once: later connections reach the new holder
            if self._grpc is not None:
                self._grpc.stop_listening()
            task = self._loop.create_task(self._drain(server, self._grpc))
            self._grpc = None
            self._draining.add(task)
            task.add_done_callback(self._draining.discard)

    async def _drain(self, server: HttpServer, grpc: GrpcServer | None) -> None:
        drain_ms = self._service.drain_ms
        ends = [server.drain(drain_ms, self._service.linger_ms)]
        if grpc is not None:  # clients get GOAWAY; open streams go on
            ends.append(grpc.drain(drain_ms))
        if not all(await asyncio.gather(*ends)):
            self._log.warning("address-drain-timeout", address=f"{self._host}:{self._port}")

    @staticmethod
    def _reject_moved(request: Request, exchange: Exchange) -> None:
        exchange.reply(503, ADDRESS_MOVED, {"retry-after": "1"}, close=True)

    async def wait_closed(self) -> None:
        """Wait until all released servers have ended."""
        if self._draining:
            await asyncio.gather(*list(self._draining), return_exceptions=True)
