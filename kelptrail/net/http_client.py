"""A small HTTP/1.1 client for requests between kelptrail's own programs.

It has one connection, sends one request at a time, and its bodies are JSON.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import msgspec

from kelptrail.codec.http import HttpError, Response, ResponseReader, encode_request


class HttpClient:
    """A persistent connection to one address.  Its requests raise `OSError`, `TimeoutError` and `HttpError`."""

    def __init__(self, address: str, max_response_bytes: int = 1 << 26) -> None:
        host, _, port = address.rpartition(":")
        self.address, self._endpoint, self._max_response_bytes = (
            address,
            (host.strip("[]"), int(port)),
            max_response_bytes,
        )
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._reader = ResponseReader(max_response_bytes)

    async def request(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout_ms: float = 5000.0,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send one request and return its response; reconnect first if the old connection cannot be reused."""
        data = encode_request(method, target, self.address, b"" if body is None else msgspec.json.encode(body), headers)
        async with asyncio.timeout(timeout_ms / 1000):
            try:
                if self._sock is not None and not self._is_stale():
                    return await self._exchange(data)
                self.close()
                await self._connect()
                return await self._exchange(data)
            except BaseException:
                self.close()
                raise

    async def json(self, method: str, target: str, body: Any = None, timeout_ms: float = 5000.0) -> Any:
        """Send one request and return the decoded body of its 2xx response; raise `HttpError` for any other status."""
        response = await self.request(method, target, body, timeout_ms)
        if not 200 <= response.status < 300:
            raise HttpError(response.status, response.body.decode(errors="replace")[:200])
        return msgspec.json.decode(response.body) if response.body else None

    def _is_stale(self) -> bool:
        try:
            return self._sock is None or self._sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def _connect(self) -> None:
        sock = socket.socket(socket.AF_INET6 if ":" in self._endpoint[0] else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._reader = sock, ResponseReader(self._max_response_bytes)
        await self._loop.sock_connect(sock, self._endpoint)

    async def _exchange(self, data: bytes) -> Response:
        assert self._sock is not None
        await self._loop.sock_sendall(self._sock, data)
        buffer = bytearray(65_536)
        while True:
            count = await self._loop.sock_recv_into(self._sock, buffer)
            if not count:
                raise ConnectionResetError(f"{self.address} closed the connection before its response was complete")
            with memoryview(buffer) as view:
                response = self._reader.feed(view[:count])
            if response is not None:
                if not response.keep_alive or self._reader.unexpected_data:
                    self.close()
                return response

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
