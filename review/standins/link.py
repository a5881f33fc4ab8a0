"""The network between one dispatcher and one runner, which can be cut.

While it is cut, open connections stay open and quiet, and new ones never come up.  What was written is delivered once
the network is back, as TCP does, unless the connection was reset in between: then it is gone.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket


class Link:
    """Forwards connections to a runner."""

    def __init__(self, runner: tuple[str, int]) -> None:
        self._runner = runner
        self._up = asyncio.Event()
        self._up.set()
        self._listener = socket.socket()
        self._fillers: list[socket.socket] = []  # occupy the accept queue while the link is cut
        self._filler_ports: set[int] = set()
        self._accepting: asyncio.Task[None] | None = None
        self._pumps: set[asyncio.Task[None]] = set()

    async def open(self) -> tuple[str, int]:
        """Listen and return the address."""
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)  # short, so that it can be filled
        self._listener.setblocking(False)
        self._accepting = asyncio.create_task(self._accept())
        host, port = self._listener.getsockname()
        return host, port

    async def cut(self) -> None:
        """Cut the network."""
        self._up.clear()
        if self._accepting is not None:
            self._accepting.cancel()
        for _ in range(4):  # until a connection no longer comes up
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            try:
                async with asyncio.timeout(0.02):
                    await asyncio.get_running_loop().sock_connect(filler, self._listener.getsockname())
            except TimeoutError:
                break
            self._filler_ports.add(filler.getsockname()[1])

    def heal(self) -> None:
        """Restore the network."""
        self._up.set()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, peer = await loop.sock_accept(self._listener)
            if peer[1] in self._filler_ports:
                sock.close()
                continue
            self._start(self._serve(sock))

    def _start(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._pumps.add(task)
        task.add_done_callback(self._pumps.discard)

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            runner_reader, runner_writer = await asyncio.open_connection(*self._runner)
        except OSError:
            writer.close()
            return
        self._start(self._pump(reader, runner_writer))
        self._start(self._pump(runner_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward the bytes of one direction."""
        held, is_open = b"", True
        try:
            while is_open or held:
                if is_open and (self._up.is_set() or not held):
                    data = await reader.read(65536)
                    is_open, held = bool(data), held + data
                elif is_open and not self._up.is_set():
                    data = await self._read_until_up(reader)
                    is_open, held = data != b"", held + (data or b"")
                if not is_open:
                    await self._up.wait()
                if self._up.is_set() and held:
                    writer.write(held)
                    held = b""
                    await writer.drain()
        except OSError:  # reset: what is held is gone
            await self._up.wait()
        with contextlib.suppress(OSError):
            writer.close()

    async def _read_until_up(self, reader: asyncio.StreamReader) -> bytes | None:
        """Return more bytes, none at the end of the stream, or None if the network came back first."""
        reading = asyncio.ensure_future(reader.read(65536))
        waiting = asyncio.ensure_future(self._up.wait())
        await asyncio.wait((reading, waiting), return_when=asyncio.FIRST_COMPLETED)
        waiting.cancel()
        if reading.done():
            return reading.result()
        reading.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            return await reading
        return None
