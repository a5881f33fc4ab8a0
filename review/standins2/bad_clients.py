"""Bad clients, as a process of their own: `python bad_clients.py PORT CLIENTS REQUESTS SECONDS`.

Each client has one connection at a time.  It sends hundreds of requests at once, each of which alone could be used,
reads what it is sent, and does the same again on a new connection as soon as it is turned away: by an answer, or by
the end of the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import wire
from standins2.settings import CASTANAR

FUNCTION = f"{0xABC000:016x}"  # the runners know it


def requests_at_once(draw: random.Random, count: int) -> bytes:
    """Return the frames of `count` requests."""
    frames = []
    for stream in range(1, count + 1):
        fields = {
            "verb": CASTANAR.repeatable_class,
            "txn": f"{draw.getrandbits(64):016x}",
            "limit": str(CASTANAR.repeatable_deadline_ms),
            "team": CASTANAR.tenants[0],
            "item": FUNCTION,
            "info": "memory_mb:2000;lanes:2",
        }
        frames.append(wire.encode_frame(wire.REQUEST, stream, wire.encode_fields(fields) + b"x"))
    return b"".join(frames)


async def bad_client(port: int, data: bytes, end: float, turned_away: Counter[str], waits: list[float]) -> None:
    """Send the same requests again and again until `end`."""
    while time.monotonic() < end:
        writer, started = None, time.monotonic()
        try:
            async with asyncio.timeout(10):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(data)
                kind = 0
                while kind != wire.ANSWER:
                    kind, _, payload = await wire.read_frame(reader)
            turned_away[f"code {payload[0]}"] += 1
            waits.append(time.monotonic() - started)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            turned_away["closed"] += 1
            await asyncio.sleep(0.001)
        finally:
            if writer is not None:
                writer.transport.abort()


async def main(port: int, clients: int, requests: int, seconds: float) -> None:
    """Run all clients for a time, and print how they were turned away."""
    draw, end = random.Random(7), time.monotonic() + seconds
    turned_away, waits = Counter[str](), list[float]()
    data = [requests_at_once(draw, requests) for _ in range(clients)]
    await asyncio.gather(*(bad_client(port, each, end, turned_away, waits) for each in data))
    mean_ms = round(1000 * sum(waits) / max(1, len(waits)))
    print(f"bad clients: turned away {dict(turned_away)}, {mean_ms} ms after connecting on average", flush=True)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])))
