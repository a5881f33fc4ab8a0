"""The journal service: the later events after a poll, and an empty event each second."""

from __future__ import annotations

import asyncio
import contextlib
import struct

READY, DRAINING, GONE = 0, 1, 2


def encode_record(uid: str, port: int, state: int, zone: int, started_ms: int) -> bytes:
    """Encode one record of the list, of a runner on the loopback address."""
    return struct.pack(">I4sHBBBHIQ", int(uid[2:], 16), b"\x7f\0\0\1", port, state, zone, 0, 0, 1000, started_ms)


class Journal:
    """A journal service on loopback; `last` is the number of its last event."""

    def __init__(self, last: int = 1) -> None:
        self.last, self._writers = last, set[asyncio.StreamWriter]()
        self._events: list[tuple[int, bytes]] = []

    async def open(self) -> int:
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._beat = asyncio.create_task(self._send_empty_events())
        return int(self._server.sockets[0].getsockname()[1])

    def tell(self, *records: bytes) -> None:
        """Hold one event with these changes, and send it to all dispatchers that are connected."""
        self.last += 1
        payload = b"".join(records)
        event = struct.pack(">IQB", 9 + len(payload), self.last, 2) + payload
        self._events.append((self.last, event))
        for writer in list(self._writers):
            writer.write(event)

    async def _send_empty_events(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in list(self._writers):
                writer.write(struct.pack(">IQB", 9, self.last, 0))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            known = int.from_bytes(await reader.readexactly(8), "big")
            for number, event in self._events:
                if number > known:
                    writer.write(event)
            self._writers.add(writer)
            await reader.read()
        self._writers.discard(writer)
        writer.close()
