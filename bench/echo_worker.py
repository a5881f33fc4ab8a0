"""A worker that answers calls and load orders immediately, for measurements of the gateway in front of it."""

from __future__ import annotations

import asyncio
import signal

import uvloop

from kelptrail.codec.http import Request, encode_response
from kelptrail.codec.infer import infer_answer, read_infer
from kelptrail.net.server import Exchange, HttpServer, Limits

LOAD_REPORT = {"endpoint-load-metrics": "TEXT cpu_utilization=0.3, named_metrics.x1=0, named_metrics.found=1"}


def handle(request: Request, exchange: Exchange) -> None:
    if request.target.endswith("/load"):
        exchange.reply_encoded(encode_response(200, b'{"standing":4}'))
        return
    infer, payload = read_infer(request.body)
    exchange.reply_encoded(encode_response(200, infer_answer("m", infer.id, payload, True), LOAD_REPORT))


async def main() -> None:
    server = HttpServer(handle, Limits(idle_ms=600_000.0))
    server.listen("127.0.0.1", 0)
    print(server.address, flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


if __name__ == "__main__":
    uvloop.run(main())
