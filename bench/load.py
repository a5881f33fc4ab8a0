"""Load generator for the measurements: closed loop for the rate, open loop for latency.  Prints one JSON line.

`python bench/load.py ADDRESS TARGET UUID:KEY CONNECTIONS SECONDS RATE`; RATE is in calls a second, 0 for a closed loop.
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import sys
import time
from dataclasses import dataclass, field

import uvloop
from hdrh.histogram import HdrHistogram

from kelptrail.codec.http import ResponseReader, encode_request

MAX_LATENCY_US, SIGNIFICANT_DIGITS = 60_000_000, 3
MAX_ANSWER_BYTES = 1 << 20
READ_BUFFER_BYTES = 16_384
MIN_SLEEP_S = 0.0005
BODY = b'{"family":7}'


async def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


class Client:
    """One connection that sends one request at a time."""

    def __init__(self, sock: socket.socket, data: bytes) -> None:
        self.sock, self.data, self.reader = sock, data, ResponseReader(MAX_ANSWER_BYTES)
        self.buffer = bytearray(READ_BUFFER_BYTES)
        self.statuses: dict[int, int] = {}

    async def call(self) -> None:
        """Send the request and read its response.  Raises `ConnectionResetError`."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, self.data)
        while True:
            count = await loop.sock_recv_into(self.sock, self.buffer)
            if not count:
                raise ConnectionResetError("the server closed the connection before its response was complete")
            response = self.reader.feed(bytes(self.buffer[:count]))
            if response is not None:
                self.statuses[response.status] = self.statuses.get(response.status, 0) + 1
                return


@dataclass(slots=True)
class Measurement:
    """The number of completed calls, and their latencies in microseconds."""

    calls: int = 0
    latencies: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS))

    def add(self, started_at: float) -> None:
        """Count a call that ends now; `started_at` is the time at which it started or was due."""
        self.latencies.record_value(max(1, int((time.monotonic() - started_at) * 1e6)))
        self.calls += 1


async def run_closed_loop(clients: list[Client], end: float, measurement: Measurement) -> None:
    """Let each client call again as soon as it has its answer."""

    async def call_repeatedly(client: Client) -> None:
        while (started_at := time.monotonic()) < end:
            await client.call()
            measurement.add(started_at)

    await asyncio.gather(*(call_repeatedly(client) for client in clients))


async def run_open_loop(
    clients: list[Client], started_at: float, end: float, rate: float, measurement: Measurement
) -> None:
    """Make calls at a steady rate; skip a call that is due while no client is free."""
    free, tasks, due = list(clients), set[asyncio.Task[None]](), started_at

    async def call_once(client: Client, due: float) -> None:
        await client.call()
        measurement.add(due)
        free.append(client)

    while due < end:
        wait_s = due - time.monotonic()
        if wait_s > MIN_SLEEP_S:
            await asyncio.sleep(wait_s)
        if free:
            task = asyncio.create_task(call_once(free.pop(), due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        due += 1 / rate
    await asyncio.gather(*tasks)


async def main(address: str, target: str, auth: str, connections: int, seconds: float, rate: float) -> None:
    headers = {"authorization": "Basic " + base64.b64encode(auth.encode()).decode()}
    data = encode_request("POST", target, "x", BODY, headers)
    clients = [Client(await connect(address), data) for _ in range(connections)]
    measurement = Measurement()
    end = time.monotonic() + seconds
    started_at = time.monotonic()
    if rate <= 0:
        await run_closed_loop(clients, end, measurement)
    else:
        await run_open_loop(clients, started_at, end, rate, measurement)
    elapsed = time.monotonic() - started_at
    statuses: dict[int, int] = {}
    for client in clients:
        for status, count in client.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
        client.sock.close()
    print(
        json.dumps(
            {
                "calls": measurement.calls,
                "per_s": round(measurement.calls / elapsed, 1),
                "statuses": statuses,
                "p50_us": measurement.latencies.get_value_at_percentile(50),
                "p99_us": measurement.latencies.get_value_at_percentile(99),
            }
        )
    )


if __name__ == "__main__":
    address, target, auth, connections, seconds, rate = sys.argv[1:]
    uvloop.run(main(address, target, auth, int(connections), float(seconds), float(rate)))
