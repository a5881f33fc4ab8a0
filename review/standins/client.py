"""A client: frames over one connection, up to 32 open requests, answers by stream."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import struct
import time
from dataclasses import dataclass, field

from .configuration import TEAM

REQUEST, ANSWER, CANCEL, READY_QUERY = 65, 66, 67, 80
SERVED, REFUSED, FAILED = 0, 8, 13
CODE_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


@dataclass
class Request:
    """One request of a client."""

    verb: str
    item: str
    limit_ms: int
    key: str = ""
    lanes: int = 2
    memory_mb: int = 512
    body: bytes = b"x"
    id: str = field(default_factory=lambda: secrets.token_hex(8))
    sent_at: float = 0.0
    code: int | None = None  # of the answer
    answer: bytes = b""
    answered_at: float = 0.0

    def encode(self, stream: int) -> bytes:
        """Return the frame of the request."""
        fields = {
            "verb": self.verb,
            "txn": self.id,
            "limit": str(self.limit_ms),
            "team": TEAM,
            "item": self.item,
            "info": f"memory_mb:{self.memory_mb};lanes:{self.lanes}",
        }
        if self.key:
            fields["unique"] = self.key
        encoded = bytes((len(fields),))
        for name, value in fields.items():
            encoded += bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode()
        return encode_frame(REQUEST, stream, encoded + self.body)


def encode_frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Return one frame."""
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._streams = 0
        self.closed_at: float | None = None  # when the dispatcher closed the connection
        self._open: dict[int, tuple[Request, asyncio.Future[None]]] = {}
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Client:
        """Return a connected client."""
        return cls(*await asyncio.open_connection(*address))

    async def ask(self, request: Request, patience_s: float) -> None:
        """Send a request and wait for its answer, or for the end of the connection, at most for `patience_s`."""
        self._streams += 1
        stream, done = self._streams, asyncio.get_running_loop().create_future()
        self._open[stream] = request, done
        request.sent_at = time.monotonic()
        with contextlib.suppress(OSError):
            self._writer.write(request.encode(stream))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(patience_s):
                    await done
        if self._open.pop(stream, None) is not None and self.closed_at is None and not self._writer.is_closing():
            self._writer.write(encode_frame(CANCEL, stream))

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                (length,) = struct.unpack(">I", await self._reader.readexactly(4))
                frame = await self._reader.readexactly(length)
                stream = int.from_bytes(frame[1:5], "big")
                if frame[0] == ANSWER and (found := self._open.pop(stream, None)) is not None:
                    request, done = found
                    request.code, request.answered_at = frame[5], time.monotonic()
                    request.answer = frame[6:]
                    if not done.done():
                        done.set_result(None)
        self.closed_at = time.monotonic()
        for _, done in self._open.values():
            if not done.done():
                done.set_result(None)

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()
