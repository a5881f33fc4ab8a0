"""A load generator for the measurements: closed loop for the rate, open loop for latency.  Prints one JSON line.

python bench/load.py ADDRESS TARGET USER:KEY CONNECTIONS SECONDS RATE    a rate of 0 is the closed loop
"""

from __future__ import annotations

import asyncio
import base64
import collections
import json
import socket
import sys
import time

import uvloop
from hdrh.histogram import HdrHistogram

from kelptrail.codec.http import ResponseReader, encode_request

MAX_LATENCY_US = 60_000_000
BODY = b'{"family":7}'
MIN_SLEEP_S = 0.0005


async def connect(address: str) -> socket.socket:
    """A connection without Nagle's algorithm."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


class Client:
    """One connection, one request at a time."""

    def __init__(self, sock: socket.socket, request: bytes) -> None:
        self.sock = sock
        self.statuses: collections.Counter[int] = collections.Counter()
        self._request = request
        self._reader = ResponseReader(1 << 20)
        self._buffer = bytearray(16384)

    async def call(self) -> None:
        """Send the request and wait for its response.  Raises `ConnectionResetError`."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, self._request)
        while True:
            count = await loop.sock_recv_into(self.sock, self._buffer)
            if not count:
                raise ConnectionResetError
            response = self._reader.feed(bytes(self._buffer[:count]))
            if response is not None:
                self.statuses[response.status] += 1
                return


class LoadGenerator:
    """Calls over several connections until `end`, and their latencies."""

    def __init__(self, clients: list[Client], seconds: float) -> None:
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.calls = 0
        self._clients = clients
        self._end = time.monotonic() + seconds

    async def run_closed_loop(self) -> None:
        """Each client calls again as soon as it has its response."""
        await asyncio.gather(*(self._call_repeatedly(client) for client in self._clients))

    async def run_open_loop(self, rate: float) -> None:
        """Calls at fixed times, `rate` a second; latency counts from the time that a call was due."""
        self._idle = list(self._clients)
        tasks = set()
        due = time.monotonic()
        while due < self._end:
            wait_s = due - time.monotonic()
            if wait_s > MIN_SLEEP_S:
                await asyncio.sleep(wait_s)
            if self._idle:
                task = asyncio.create_task(self._call_due(self._idle.pop(), due))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            due += 1 / rate
        await asyncio.gather(*tasks)

    async def _call_repeatedly(self, client: Client) -> None:
        while (start := time.monotonic()) < self._end:
            await self._call(client, start)

    async def _call_due(self, client: Client, due: float) -> None:
        await self._call(client, due)
        self._idle.append(client)

    async def _call(self, client: Client, start: float) -> None:
        await client.call()
        self.latencies.record_value(max(1, int((time.monotonic() - start) * 1e6)))
        self.calls += 1


async def main(address: str, target: str, auth: str, connections: int, seconds: float, rate: float) -> None:
    headers = {"authorization": "Basic " + base64.b64encode(auth.encode()).decode()}
    request = encode_request("POST", target, "x", BODY, headers)
    clients = [Client(await connect(address), request) for _ in range(connections)]
    generator = LoadGenerator(clients, seconds)
    start = time.monotonic()
    if rate <= 0:
        await generator.run_closed_loop()
    else:
        await generator.run_open_loop(rate)
    took_s = time.monotonic() - start
    statuses: collections.Counter[int] = collections.Counter()
    for client in clients:
        statuses += client.statuses
        client.sock.close()
    result = {
        "calls": generator.calls,
        "per_s": round(generator.calls / took_s, 1),
        "statuses": statuses,
        "p50_us": generator.latencies.get_value_at_percentile(50),
        "p99_us": generator.latencies.get_value_at_percentile(99),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    address, target, auth, connections, seconds, rate = sys.argv[1:]
    uvloop.run(main(address, target, auth, int(connections), float(seconds), float(rate)))
