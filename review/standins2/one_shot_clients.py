"""Usual clients that open a connection for each request, send it at once, and close after the answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

from . import wire
from .clients import ClientRequest, new_request
from .settings import Site

RESEND_WITHIN_S = 0.05  # a request that crosses a close by the dispatcher is sent again, once


class OneShotClients:
    """Clients that together send `per_s` requests a second, each on a connection of its own."""

    def __init__(
        self, site: Site, port: int, functions: list[str], per_s: float, time_shares: tuple[float, float]
    ) -> None:
        self._site, self._port, self._functions, self._per_s = site, port, functions, per_s
        self._time_shares, self._random = time_shares, random.Random(13)
        self.requests: dict[str, ClientRequest] = {}
        self.not_connected = 0  # the machine did not accept the connection: the request was not taken
        self.sent_again = 0

    async def run(self, seconds: float, patience_s: float) -> None:
        """Send requests for a time.  A client waits for `patience_s` past the time of its request at most."""
        due = time.monotonic()
        end, tasks = due + seconds, set[asyncio.Task[None]]()
        while (due := due + self._random.expovariate(self._per_s)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.add(asyncio.create_task(self._ask(patience_s)))
        if tasks:
            await asyncio.wait(tasks)

    async def _ask(self, patience_s: float) -> None:
        request, fields = new_request(self._site, self._random, self._functions, self._time_shares)
        for is_second_try in (False, True):
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            except (OSError, TimeoutError):
                self.not_connected += 1
                return
            request.sent_at, request.connection_ended = time.monotonic(), False
            self.requests[request.id] = request
            writer.write(wire.encode_frame(wire.REQUEST, 1, wire.encode_fields(fields) + request.body))
            await self._wait(request, reader, patience_s)
            writer.close()
            crossed = request.connection_ended and time.monotonic() - request.sent_at < RESEND_WITHIN_S
            if not crossed or is_second_try:
                return
            self.sent_again += 1

    @staticmethod
    async def _wait(request: ClientRequest, reader: asyncio.StreamReader, patience_s: float) -> None:
        try:
            async with asyncio.timeout(request.limit_s + patience_s):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    while True:
                        kind, stream, payload = await wire.read_frame(reader)
                        if kind == wire.ANSWER and stream == 1:
                            request.answered_at = time.monotonic()
                            request.code, request.answer = wire.decode_answer(payload)
                            return
                request.connection_ended = True
        except TimeoutError:
            request.gone_at = time.monotonic()
