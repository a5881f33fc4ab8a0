"""Usual clients beside bad ones, and what they were answered."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Coroutine

from .case import Deployment
from .client import CODE_NAMES, Client, Request
from .configuration import CHECK, DEADLINE_S, LATE_ANSWER_S, RULE_SLACK_S
from .record import Record
from .watch import Watch

LIMIT_MS = int(DEADLINE_S * 1000 / 2)  # a client gives a try up after half of the deadline at the earliest
LOST_AFTER_S = LIMIT_MS / 1000 + LATE_ANSWER_S + RULE_SLACK_S
CLIENTS, INTERVAL_S = 10, 0.5
ENDING_S = 3.0
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
            await client.ask(request, LOST_AFTER_S)
            if client.closed_at is None or client.closed_at > request.sent_at + CROSSING_S or request.code is not None:
                break
        if request.code is not None or client.closed_at is None:
            self.requests.append(request)
        else:
            self.excused += 1


async def play_beside(
    deployment: Deployment, watch: Watch, bad_clients: list[Coroutine[None, None, str]], play_s: float
) -> bool:
    """Let usual clients run beside bad ones, under a watch; return whether the dispatcher crashed."""
    usual = [UsualClient(deployment, play_s) for _ in range(CLIENTS)]
    beside = [asyncio.create_task(client.run(number)) for number, client in enumerate(usual)]
    bad = [asyncio.create_task(each) for each in bad_clients]
    try:
        await watch.run(play_s)
        watch.report()
        crashed = watch.has_crashed
        if deployment.dispatcher.exit_code is None:
            await asyncio.gather(*beside, *bad)
    finally:
        deployment.dispatcher.kill()
        if bad:
            await asyncio.wait(bad, timeout=ENDING_S)  # they end once all of their connections have ended
        for task in (*beside, *bad):
            task.cancel()
        results = await asyncio.gather(*beside, *bad, return_exceptions=True)
    for text in results[len(beside) :]:
        deployment.record(f"bad client: {text.strip() if isinstance(text, str) else 'ended with the dispatcher'}")
    count_lost(deployment.record, usual)
    return crashed


def count_lost(record: Record, clients: list[UsualClient]) -> None:
    """Write what became of each usual request, and which are lost by STANDING.md: this decides nothing."""
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
