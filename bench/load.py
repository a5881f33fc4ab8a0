"""A load generator for the measurements: closed loop for the rate, open loop for latency.  Prints one JSON line."""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import sys
import time

import uvloop
from hdrh.histogram import HdrHistogram

from kelptrail.codec.http import ResponseReader, encode_request


async def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


class Client:
    """One connection, one request at a time."""

    def __init__(self, sock: socket.socket, data: bytes) -> None:
        self.sock, self.data, self.reader = sock, data, ResponseReader(1 << 20)
        self.buffer = bytearray(16384)
        self.statuses: dict[int, int] = {}

    async def once(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, self.data)
        while True:
            count = await loop.sock_recv_into(self.sock, self.buffer)
            if not count:
                raise ConnectionResetError
            response = self.reader.feed(bytes(self.buffer[:count]))
            if response is not None:
                self.statuses[response.status] = self.statuses.get(response.status, 0) + 1
                return


async def main(address: str, target: str, auth: str, connections: int, seconds: float, rate: float) -> None:
    data = encode_request(
        "POST", target, "x", b'{"family":7}', {"authorization": "Basic " + base64.b64encode(auth.encode()).decode()}
    )
    clients = [Client(await connect(address), data) for _ in range(connections)]
    times = HdrHistogram(1, 60_000_000, 3)
    end = time.monotonic() + seconds
    done = 0

    async def closed(client: Client) -> None:
        nonlocal done
        while (began := time.monotonic()) < end:
            await client.once()
            times.record_value(max(1, int((time.monotonic() - began) * 1e6)))
            done += 1

    async def timed(client: Client, due: float) -> None:
        nonlocal done
        await client.once()
        times.record_value(max(1, int((time.monotonic() - due) * 1e6)))
        done += 1
        free.append(client)

    began = time.monotonic()
    if rate <= 0:
        await asyncio.gather(*(closed(c) for c in clients))
    else:
        free, tasks, due = list(clients), set(), began
        while due < end:
            wait = due - time.monotonic()
            if wait > 0.0005:
                await asyncio.sleep(wait)
            if free:
                task = asyncio.create_task(timed(free.pop(), due))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            due += 1 / rate
        await asyncio.gather(*tasks)
    took = time.monotonic() - began
    statuses: dict[int, int] = {}
    for client in clients:
        for status, count in client.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
        client.sock.close()
    print(
        json.dumps(
            {
                "calls": done,
                "per_s": round(done / took, 1),
                "statuses": statuses,
                "p50_us": times.get_value_at_percentile(50),
                "p99_us": times.get_value_at_percentile(99),
            }
        )
    )


if __name__ == "__main__":
    a = sys.argv[1:]
    uvloop.run(main(a[0], a[1], a[2], int(a[3]), float(a[4]), float(a[5])))
