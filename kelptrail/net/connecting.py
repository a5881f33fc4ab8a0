"""Opens TCP connections within a time limit, with retries after a shortage of local resources or a failed route."""

from __future__ import annotations

import asyncio
import os
import socket
from errno import EALREADY, EINPROGRESS, EINTR, EISCONN

from .errors import is_connect_retryable

CONNECT_RETRY_MS, MAX_CONNECT_RETRY_MS = 10.0, 80.0  # first and longest pause between two connects


async def connect(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_ms: float) -> socket.socket:
    """Return a connected socket; the host of `address` is an IP address.

    Raises `OSError`, or its subclass `TimeoutError` after `within_ms`.  Shortages of local resources and route failures
    are retried with backoff.

    The loop's own `sock_connect` is not used: that of uvloop passes even an IP address to `getaddrinfo` in a thread
    pool.  This costs CPU for each connection, and at shutdown these threads may receive signals for which the loop has
    no handlers any more.
    """
    deadline, pause_ms = loop.time() + within_ms / 1000, CONNECT_RETRY_MS
    while True:
        try:
            return await _connect_once(loop, address, deadline - loop.time())
        except OSError as cause:
            if not is_connect_retryable(cause) or loop.time() + pause_ms / 1000 >= deadline:
                raise
        await asyncio.sleep(pause_ms / 1000)
        pause_ms = min(MAX_CONNECT_RETRY_MS, 2 * pause_ms)


async def _connect_once(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within_s: float) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
        while code == EINTR:  # the next call reports whether the connect is still in progress
            code = sock.connect_ex(address)
        if code in (EINPROGRESS, EALREADY):
            await _until_writable(loop, sock, within_s)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code not in (0, EISCONN):
            raise OSError(code, os.strerror(code))
    except BaseException:
        sock.close()
        raise
    return sock


async def _until_writable(loop: asyncio.AbstractEventLoop, sock: socket.socket, within_s: float) -> None:
    writable: asyncio.Future[None] = loop.create_future()
    loop.add_writer(sock, _mark_writable, writable)
    try:
        async with asyncio.timeout(within_s):
            await writable
    finally:
        loop.remove_writer(sock)


def _mark_writable(writable: asyncio.Future[None]) -> None:
    if not writable.done():
        writable.set_result(None)
