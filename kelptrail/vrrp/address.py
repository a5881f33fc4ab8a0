"""A front address on loopback: a listening socket, taken and given up; free of decisions.

Giving up: whoever waits to be accepted is accepted, then nobody more; requests in hand get their answers and close;
a request that comes after on an open connection is answered 503 with `Retry-After`, untaken: by then the address leads
to another dispatcher.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from kelptrail.codec.http import Request
from kelptrail.net.grpc_server import GrpcServer
from kelptrail.net.server import Exchange, Handler, HttpServer, Limits

COME_BACK = b'{"error":"This address has moved to another dispatcher; the call was not taken.","code":"moved"}'


class FrontAddress:
    """One address and the server on it, while it is held."""

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: Limits,
        log: Any,
        linger_ms: float = 0.0,
        make: Callable[[Handler], HttpServer] | None = None,
        second: Callable[[], GrpcServer] | None = None,
        second_port: int = 0,
    ) -> None:
        self._make = make or (lambda handler: HttpServer(handler, limits, log.warning))
        self._second, self._second_port = second, second_port
        self._grpc: GrpcServer | None = None
        self._host, self._port, self._handler, self._limits, self._log = host, port, handler, limits, log
        self._loop = asyncio.get_running_loop()
        self._server: HttpServer | None = None
        self._leaving: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._linger_ms = linger_ms

    @property
    def held(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    @property
    def server(self) -> HttpServer | None:
        """The server that listens, while held."""
        return self._server

    def take(self) -> None:
        """Listen on the address; tried again while something else is in the way."""
        if self._server is not None:
            return
        self._retry = None
        server = self._make(self._handle)
        grpc = self._second() if self._second is not None and self._second_port else None
        try:
            server.listen(self._host, self._port, reuse_port=True)
            if grpc is not None:
                grpc.listen(self._host, self._second_port, reuse_port=True)
        except OSError as cause:
            server.stop_listening()
            self._log.warning("address-not-taken", address=f"{self._host}:{self._port}", reason=str(cause))
            self._retry = self._loop.call_later(0.05, self.take)
            return
        self._server, self._grpc = server, grpc

    def give_up(self, drain_ms: float) -> None:
        """Stop listening; what was taken goes on to its answer."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        server, self._server = self._server, None
        if server is not None:
            server.handle = self._moved
            server.start_draining()  # at once: who connects from here on reaches whoever listens there now
            if self._grpc is not None:
                self._grpc.stop_listening()
            task = self._loop.create_task(self._leave(server, self._grpc, drain_ms))
            self._grpc = None
            self._leaving.add(task)
            task.add_done_callback(self._leaving.discard)

    async def _leave(self, server: HttpServer, grpc: GrpcServer | None, drain_ms: float) -> None:
        ends = [server.drain(drain_ms, self._linger_ms)]
        if grpc is not None:  # told to go elsewhere; streams that were begun go on
            ends.append(grpc.drain(drain_ms))
        if not all(await asyncio.gather(*ends)):
            self._log.warning("address-left-late", address=f"{self._host}:{self._port}")

    def _handle(self, request: Request, exchange: Exchange) -> None:
        self._handler(request, exchange)

    @staticmethod
    def _moved(request: Request, exchange: Exchange) -> None:
        exchange.reply(503, COME_BACK, {"retry-after": "1"}, close=True)

    async def left(self) -> None:
        """Wait until all that was given up has ended."""
        if self._leaving:
            await asyncio.gather(*list(self._leaving), return_exceptions=True)
