"""The byte stream of a connection, plain or over TLS, based on the event loop's socket calls.

A plain transport exposes `sock_recv_into` and `sock_sendall` directly.  A TLS transport connects the state machine of
`ssl` to the socket through memory buffers.  So neither needs asyncio's transports, and both have the same interface.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import ssl
import termios
from array import array
from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial
from typing import Any

from .errors import is_transient

BUFFER_BYTES = 65_536


class IdleState(Enum):
    """State of a connection on which no bytes are expected."""

    IDLE = "idle"  # open, with nothing to read
    CLOSED = "closed"  # the peer closed it, or it failed
    UNEXPECTED_DATA = "unexpected-data"  # bytes arrived, or may have: the check failed transiently


class Transport:
    """A plain TCP connection."""

    __slots__ = ("__weakref__", "recv_into", "sendall", "sock")

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.sock = sock
        self.recv_into: Callable[[Any], Awaitable[int]] = partial(loop.sock_recv_into, sock)
        self.sendall: Callable[[Any], Awaitable[None]] = partial(loop.sock_sendall, sock)

    @property
    def certificate(self) -> bytes | None:
        """The peer's certificate in DER, if it was requested and sent."""
        return None

    @property
    def protocol(self) -> str | None:
        """The protocol that ALPN selected (RFC 7301)."""
        return None

    def probe_idle(self) -> IdleState:
        """Return the state of a connection on which no bytes are expected, without consuming any from the socket."""
        try:
            return IdleState.UNEXPECTED_DATA if self.sock.recv(1, socket.MSG_PEEK) else IdleState.CLOSED
        except BlockingIOError:
            return IdleState.IDLE
        except OSError as cause:
            return IdleState.UNEXPECTED_DATA if is_transient(cause) else IdleState.CLOSED

    def unread_bytes(self) -> int:
        """Return the number of bytes in the socket's receive buffer, 0 where that cannot be determined."""
        count = array("i", [0])
        with contextlib.suppress(OSError, ValueError):
            fcntl.ioctl(self.sock.fileno(), termios.FIONREAD, count)
        return count[0]

    def shutdown_write(self) -> None:
        """Shut down the sending side."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class TlsTransport(Transport):
    """A connection over TLS; `handshake` must complete before it is used."""

    __slots__ = ("_buffer", "_incoming", "_loop", "_outgoing", "_send_lock", "_tls")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        context: ssl.SSLContext,
        server_side: bool,
        name: str | None = None,
    ) -> None:
        super().__init__(loop, sock)
        self._loop, self._incoming, self._outgoing = loop, ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side, name)
        self._buffer = bytearray(BUFFER_BYTES)
        self._send_lock = asyncio.Lock()  # records must be sent in the order in which they were produced
        self.recv_into, self.sendall = self._recv_into, self._sendall

    async def handshake(self, within_ms: float) -> None:
        """Complete the handshake.  Raises `ssl.SSLError`, `OSError`, and `TimeoutError` after `within_ms`."""
        async with asyncio.timeout(within_ms / 1000):
            while True:
                try:
                    self._tls.do_handshake()
                    await self._flush()
                    return
                except ssl.SSLWantReadError:
                    await self._flush()
                    if not await self._fill():
                        raise ConnectionResetError("the peer closed the connection during the TLS handshake") from None
                except ssl.SSLError:
                    await self._flush()  # sends the alert
                    raise

    async def _fill(self) -> bool:
        count = await self._loop.sock_recv_into(self.sock, self._buffer)
        if not count:
            self._incoming.write_eof()
            return False
        with memoryview(self._buffer) as view:
            self._incoming.write(view[:count])
        return True

    async def _flush(self) -> None:
        if self._outgoing.pending:
            async with self._send_lock:
                if data := self._outgoing.read():
                    await self._loop.sock_sendall(self.sock, data)

    async def _recv_into(self, buffer: Any) -> int:
        while True:
            try:
                return self._tls.read(len(buffer), buffer)  # type: ignore[return-value]
            except ssl.SSLWantReadError:
                await self._flush()  # sends replies to key updates
                if not await self._fill():
                    return 0
            except ssl.SSLZeroReturnError:
                return 0
            except ssl.SSLError as cause:
                if "EOF" in str(cause).upper():
                    return 0
                raise ConnectionResetError(str(cause)) from None

    async def _sendall(self, data: Any) -> None:
        view, offset = memoryview(data), 0
        while offset < len(view):
            try:
                offset += self._tls.write(view[offset : offset + BUFFER_BYTES])
            except ssl.SSLError as cause:
                raise ConnectionResetError(str(cause)) from None
            await self._flush()

    @property
    def certificate(self) -> bytes | None:
        """The peer's certificate in DER, if it was requested and sent."""
        return self._tls.getpeercert(binary_form=True)

    @property
    def protocol(self) -> str | None:
        """The protocol that ALPN selected (RFC 7301)."""
        return self._tls.selected_alpn_protocol()

    def probe_idle(self) -> IdleState:
        """Return the state of a connection on which no bytes are expected; reads and decrypts pending input.

        Records that carry no application data, such as new session tickets (RFC 8446 section 4.6.1), leave it idle.
        """
        try:
            while True:
                data = self.sock.recv(BUFFER_BYTES)
                if not data:
                    return IdleState.CLOSED
                self._incoming.write(data)
        except BlockingIOError:
            pass
        except OSError:
            return IdleState.CLOSED
        try:
            return IdleState.UNEXPECTED_DATA if self._tls.read(1) else IdleState.CLOSED
        except ssl.SSLWantReadError:
            return IdleState.IDLE
        except ssl.SSLError:
            return IdleState.CLOSED

    @property
    def version(self) -> str | None:
        """The TLS version in use."""
        return self._tls.version()

    def end(self) -> None:
        """Send `close_notify` (RFC 8446 section 6.1) without waiting, and shut down the sending side."""
        with contextlib.suppress(ssl.SSLError, ValueError):
            self._tls.unwrap()
        with contextlib.suppress(OSError):
            if data := self._outgoing.read():
                self.sock.send(data)
        super().shutdown_write()
