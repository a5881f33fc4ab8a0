"""Usual clients beside bad ones, and the judgement of what they were answered."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time

from .case import Deployment
from .client import CODE_NAMES, READY_QUERY, Client, Request, encode_frame
from .configuration import CHECK, DEADLINE_S, LATE_ANSWER_S, RULE_SLACK_S
from .record import Record

LIMIT_MS = int(DEADLINE_S * 1000 / 2)  # a client gives a try up after half of the deadline at the earliest
LOST_AFTER_S = LIMIT_MS / 1000 + LATE_ANSWER_S + RULE_SLACK_S
CLIENTS, INTERVAL_S = 10, 0.5
READY_INTERVAL_S = 0.05
CROSSING_S = 0.05  # a request that crosses a close within this time is sent again on a new connection, once


class UsualClient:
    """Sends two requests a second, each for a function that the runners know, on one connection while it is open."""

    def __init__(self, deployment: Deployment, play_s: float) -> None:
        self._deployment, self._play_s = deployment, play_s
        self.excused = 0  # requests whose connection the dispatcher closed without an answer
        self._client: Client | None = None
        self.requests: list[Request] = []

    async def run(self, number: int) -> None:
        """Send the requests and wait for their answers."""
        await asyncio.sleep(number * INTERVAL_S / CLIENTS)
        asking = []
        for _ in range(int(self._play_s / INTERVAL_S)):
            item = secrets.choice(list(self._deployment.fleet.models))
            asking.append(asyncio.create_task(self._ask(Request(CHECK, item, LIMIT_MS))))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*asking)
        if self._client is not None:
            self._client.close()

    async def _ask(self, request: Request) -> None:
        """Send a request; once more, if it crosses the end of its connection, as the protocol page says.

        One whose connection the dispatcher closes later without an answer is left out: the pages excuse some of these.
        """
        for _ in range(2):
            if self._client is None or self._client.closed_at is not None:
                self._client = await Client.connect(self._deployment.address)
            client = self._client
            await client.ask(request, LOST_AFTER_S + 2.0)
            if client.closed_at is None or client.closed_at > request.sent_at + CROSSING_S or request.code is not None:
                break
        if request.code is not None or client.closed_at is None:
            self.requests.append(request)
        else:
            self.excused += 1


async def ask_whether_ready(deployment: Deployment, play_s: float) -> float:
    """Ask the dispatcher again and again whether it is ready, and return the longest time until its answer.

    A question without an answer at the end of the play counts for the time until then.
    """
    longest, end = 0.0, time.monotonic() + play_s
    while time.monotonic() < end:
        asked_at = time.monotonic()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(end - asked_at):
                await _ask_once(deployment.address)
        took = time.monotonic() - asked_at
        if took > 1.0:
            deployment.record(f"dispatcher: 'is it ready?' had no answer for {took:.2f} s")
        longest = max(longest, took)
        await asyncio.sleep(READY_INTERVAL_S)
    return longest


async def _ask_once(address: tuple[str, int]) -> None:
    """Ask on a new connection and wait for the answer, whatever it is."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode_frame(READY_QUERY, 1, b"\0"))
        await reader.readexactly(10)
    finally:
        writer.close()


def judge(record: Record, clients: list[UsualClient]) -> bool:
    """Write what became of each usual request; return whether one got its answer too late, or none."""
    requests = [request for client in clients for request in client.requests]
    lost = 0
    for request in sorted(requests, key=lambda each: each.sent_at):
        is_lost = request.code is None or request.answered_at > request.sent_at + LOST_AFTER_S
        lost += is_lost
        text = (
            "no answer"
            if request.code is None
            else f"{CODE_NAMES[request.code]} after {request.answered_at - request.sent_at:.3f} s"
        )
        verdict = ", LOST" if is_lost else ""
        record(f"usual request {request.id} sent {record.at(request.sent_at):.3f} limit={LIMIT_MS}: {text}{verdict}")
    record(f"usual requests {len(requests)}, lost {lost}; not counted {sum(client.excused for client in clients)}")
    return lost > 0
