"""Bad clients name functions that no runner knows; the dispatcher's memory grows until the platform kills it."""

from __future__ import annotations

import asyncio
import secrets
import time
from pathlib import Path

from standins.case import Deployment, deploy, main, new_fleet, open_runners
from standins.client import CODE_NAMES, SERVED, Client, Request
from standins.configuration import CHECK
from standins.record import Record
from standins.runner import Model

LIMITS = {"memory_mb": 192, "sockets": 512}  # the memory limit is the highest of the pages
USUAL_CLIENTS = 5
USUAL_LIMIT_MS = 2500
USUAL_PAUSE_S = 0.05
BAD_CLIENTS, REQUESTS_AT_ONCE = 40, 4  # 160 requests at once
BAD_LIMIT_MS = 5
PLAY_S = 45.0
CHECK_S, REPORT_S = 0.1, 1.0


class Day:
    """The clients of one run, and what they saw."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment, self._record = deployment, deployment.record
        self._stop_at = time.monotonic() + PLAY_S
        self.was_killed = False
        self.usual: list[Request] = []
        self.bad_answers: dict[str, int] = {}

    @property
    def _is_over(self) -> bool:
        return time.monotonic() > self._stop_at or self._deployment.dispatcher.exit_code is not None

    async def limit_memory(self) -> None:
        """Kill the dispatcher once it uses more memory than its limit, as the platform does."""
        dispatcher, reported_at = self._deployment.dispatcher, 0.0
        while not self._is_over:
            used = dispatcher.memory_mb()
            if time.monotonic() > reported_at + REPORT_S or used > LIMITS["memory_mb"]:
                reported_at = time.monotonic()
                self._record(
                    f"dispatcher uses {used:.1f} MB of {LIMITS['memory_mb']}; usual requests answered: "
                    f"{sum(each.code is not None for each in self.usual)}; bad ones: {self.bad_answers}"
                )
            if used > LIMITS["memory_mb"]:
                self._record("platform: over its memory limit, the dispatcher is killed")
                self.was_killed = True
                dispatcher.kill()
            await asyncio.sleep(CHECK_S)

    async def be_usual(self) -> None:
        """Send requests for functions that the runners know, one after the other."""
        client = await Client.connect(self._deployment.address)
        while not self._is_over:
            request = Request(CHECK, secrets.choice(list(self._deployment.fleet.models)), USUAL_LIMIT_MS)
            self.usual.append(request)
            await client.ask(request, USUAL_LIMIT_MS / 1000 + 0.5)
            await asyncio.sleep(USUAL_PAUSE_S)
        client.close()

    async def be_bad(self) -> None:
        """Send requests with ids that no runner knows; send the next as soon as one is turned away."""
        client = await Client.connect(self._deployment.address)

        async def send_again_and_again() -> None:
            while not self._is_over:
                request = Request(CHECK, secrets.token_hex(8), BAD_LIMIT_MS)
                await client.ask(request, 3.0)
                name = "none" if request.code is None else CODE_NAMES[request.code]
                self.bad_answers[name] = self.bad_answers.get(name, 0) + 1

        await asyncio.gather(*(send_again_and_again() for _ in range(REQUESTS_AT_ONCE)))
        client.close()


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether the dispatcher crashed."""
    fleet = new_fleet(record, {secrets.token_hex(8): Model(lanes=2, load_s=0.5, work_s=0.02) for _ in range(8)})
    runners = await open_runners(fleet, 6)
    deployment = await deploy(record, folder, fleet, runners, [0, 1, 2] * 2, LIMITS)
    day = Day(deployment)
    try:
        await asyncio.gather(
            day.limit_memory(),
            *(day.be_usual() for _ in range(USUAL_CLIENTS)),
            *(day.be_bad() for _ in range(BAD_CLIENTS if trouble else 0)),
        )
        record(f"dispatcher exit code before the end of the run: {deployment.dispatcher.exit_code}")
        crashed = day.was_killed or deployment.dispatcher.exit_code is not None
        unanswered = [each.id for each in day.usual if each.code is None]
        record(f"usual requests {len(day.usual)}, served {sum(each.code == SERVED for each in day.usual)}")
        record(f"usual requests without an answer: {unanswered}; answers to bad clients: {day.bad_answers}")
    finally:
        deployment.dispatcher.kill()
    return crashed


if __name__ == "__main__":
    main(Path(__file__).parent, play)
