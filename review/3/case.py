"""Bad clients hold all client connections with messages that never end; usual requests are not answered in time."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import struct
import time
from collections import Counter
from pathlib import Path

from standins.case import Deployment, deploy, main, new_fleet, open_runners
from standins.client import CODE_NAMES, Client, Request
from standins.configuration import CHECK, DEADLINE_S, LATE_ANSWER_S, RULE_SLACK_S
from standins.record import Record
from standins.runner import Model

LIMITS = {"memory_mb": 192, "sockets": 256}
LIMIT_MS = int(DEADLINE_S * 1000 / 2)  # a client gives a try up after half of the deadline at the earliest
USUAL_INTERVAL_S = 0.2
USUAL_REQUESTS = 100
BAD_CLIENTS = 300  # each third of them sends a message whose length is wrong, the others say nothing
EXCESS_BYTES = 50  # by which that length is too great
BAD_FROM_S, BAD_UNTIL_S = 5.0, 15.0
BAD_PATIENCE_S = 8.0


async def be_usual(deployment: Deployment, requests: list[Request], number: int) -> None:
    """Connect at a given time, send one request, and wait for its answer until it counts as lost and a little more.

    A request whose connection the dispatcher closes without an answer is left out: the pages excuse the first one on a
    connection.
    """
    await asyncio.sleep(number * USUAL_INTERVAL_S)
    # The connection is up once the machine has accepted it, and the request is taken once it is written.
    client = await Client.connect(deployment.address)
    request = Request(CHECK, secrets.choice(list(deployment.fleet.models)), LIMIT_MS)
    await client.ask(request, LIMIT_MS / 1000 + LATE_ANSWER_S + 2.0)
    if request.code is not None or client.closed_at is None:
        requests.append(request)
    else:
        deployment.record(f"usual request {request.id}: its connection was closed, not counted")
    client.close()


async def be_bad(deployment: Deployment, number: int, started_at: float, ends: Counter[str]) -> None:
    """Connect, say nothing or send a wrong length, and do the same again once the dispatcher closes."""
    await asyncio.sleep(started_at + BAD_FROM_S - time.monotonic())
    while time.monotonic() < started_at + BAD_UNTIL_S:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*deployment.address)
            if number % 3 == 0:
                frame = Request(CHECK, secrets.token_hex(8), LIMIT_MS).encode(1)
                (length,) = struct.unpack(">I", frame[:4])
                writer.write(struct.pack(">I", length + EXCESS_BYTES) + frame[4:])
            try:
                async with asyncio.timeout(BAD_PATIENCE_S):
                    await reader.read()
                ends["closed by the dispatcher"] += 1
            except TimeoutError:
                ends["not closed"] += 1
            writer.close()


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether a usual request got no answer, or got it over half a second after its time."""
    fleet = new_fleet(record, {secrets.token_hex(8): Model(lanes=2, load_s=0.3, work_s=0.02) for _ in range(8)})
    deployment = await deploy(record, folder, fleet, await open_runners(fleet, 6), [0, 1, 2] * 2, LIMITS)
    requests: list[Request] = []
    ends: Counter[str] = Counter()
    started_at = time.monotonic()
    try:
        await asyncio.gather(
            *(be_usual(deployment, requests, number) for number in range(USUAL_REQUESTS)),
            *(be_bad(deployment, number, started_at, ends) for number in range(BAD_CLIENTS if trouble else 0)),
        )
        if deployment.dispatcher.exit_code is not None:
            record(f"the dispatcher has ended with exit code {deployment.dispatcher.exit_code}")
    finally:
        deployment.dispatcher.kill()
    record(f"connections of bad clients: {dict(ends)}")
    lost = 0
    for request in requests:
        late_at = request.sent_at + LIMIT_MS / 1000 + LATE_ANSWER_S + RULE_SLACK_S
        is_lost = request.code is None or request.answered_at > late_at
        lost += is_lost
        text = (
            "no answer"
            if request.code is None
            else f"{CODE_NAMES[request.code]} after {request.answered_at - request.sent_at:.3f} s"
        )
        verdict = ", LOST" if is_lost else ""
        record(f"usual request {request.id} sent {record.at(request.sent_at):.3f} limit={LIMIT_MS}: {text}{verdict}")
    record(f"usual requests {len(requests)}, lost {lost}")
    return lost > 0


if __name__ == "__main__":
    main(Path(__file__).parent, play)
