"""The journal service: the later events after a poll, and an empty event each second."""

from __future__ import annotations

import asyncio
import contextlib
import struct


class Journal:
    """A journal service on loopback; `last` is the number of its last event."""

    def __init__(self, last: int = 1) -> None:
        self.last, self._writers = last, set[asyncio.StreamWriter]()

    async def open(self) -> int:
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._beat = asyncio.create_task(self._send_empty_events())
        return int(self._server.sockets[0].getsockname()[1])

    async def _send_empty_events(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in list(self._writers):
                writer.write(struct.pack(">IQB", 9, self.last, 0))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readexactly(8)
            self._writers.add(writer)
            await reader.read()
        self._writers.discard(writer)
        writer.close()
