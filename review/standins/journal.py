"""The journal service: the list of runners as numbered events, and an empty event each second."""

from __future__ import annotations

import asyncio
import contextlib


class Journal:
    """Serves a list that does not change after its first event."""

    async def open(self) -> tuple[str, int]:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return host, port

    @staticmethod
    async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            number = int.from_bytes(await reader.readexactly(8), "big")
            while not writer.is_closing():
                writer.write((9).to_bytes(4, "big") + number.to_bytes(8, "big") + b"\0")
                await writer.drain()
                await asyncio.sleep(1.0)
        writer.close()
