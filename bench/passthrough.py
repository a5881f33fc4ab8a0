"""Bare pass-through with the sockets and parsers of the gateway, but without dispatcher and activation records.

It forwards the body of a request to the worker in the inference protocol and replies with the worker's result.
bench/overhead.py compares the gateway with it.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from kelptrail.codec.http import Request, Response
from kelptrail.codec.infer import infer_request, read_answer
from kelptrail.net.pool import Call, CallOutcome, WorkerPool
from kelptrail.net.server import Exchange, HttpServer


async def main(worker: str) -> None:
    pool = WorkerPool(worker, 512, 500.0, 60_000.0, 1 << 20)
    number = 0

    def on_finished(call: Call, _outcome: CallOutcome, response: Response | None) -> None:
        id_, exchange = call.tag
        answer = read_answer(response, id_) if response is not None else None
        exchange.reply(200 if answer and answer.kind == "completed" else 502, answer.result if answer else b"{}")

    def handle(request: Request, exchange: Exchange) -> None:
        nonlocal number
        number += 1
        id_ = f"{number:032x}"
        pool.start(infer_request(worker, "m", id_, request.body, {}, {}), on_finished, (id_, exchange))

    server = HttpServer(handle)
    server.listen("127.0.0.1", 0)
    print(server.address, flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1]))
