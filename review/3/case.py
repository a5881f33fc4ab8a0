"""Bad clients name functions that no runner knows, hundreds of requests at once; the dispatcher stands still."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass
from pathlib import Path

from standins.case import Deployment, deploy, main, new_fleet, open_runners
from standins.processes import run_module
from standins.record import Record
from standins.runner import Model
from standins.usual import CLIENTS, LIMIT_MS, UsualClient, ask_whether_ready, judge

LIMITS = {"memory_mb": 192, "sockets": 512}
PLAY_S = 35.0
AT_ONCE = 32  # requests at once on each connection, the most that may be open
BURST_AT_S = 15.0


@dataclass(frozen=True)
class BadClients:
    """Some bad clients alike.  Each sends 320 requests at once on ten connections, all for one unknown function."""

    count: int
    from_s: float
    seconds: float
    limit_ms: int
    lanes: int

    async def run(self, deployment: Deployment) -> int:
        """Run them and return the number of answers that they got."""
        words = 10, AT_ONCE, self.from_s, self.seconds, self.limit_ms, secrets.token_hex(8), self.lanes
        outputs = await asyncio.gather(
            *(run_module("bad_client", *deployment.address, *words) for _ in range(self.count))
        )
        return sum(int(output or 0) for output in outputs)


FLOOD = BadClients(count=2, from_s=3.0, seconds=27.0, limit_ms=5, lanes=2)
BURST = BadClients(count=9, from_s=BURST_AT_S, seconds=15.0, limit_ms=LIMIT_MS, lanes=1024)


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether a usual request got no answer, or got it over half a second after its time."""
    fleet = new_fleet(record, {secrets.token_hex(8): Model(lanes=2, load_s=0.3, work_s=0.02) for _ in range(8)})
    deployment = await deploy(record, folder, fleet, await open_runners(fleet, 6), [0, 1, 2] * 2, LIMITS)
    usual = [UsualClient(deployment, PLAY_S) for _ in range(CLIENTS)]
    try:
        longest, *results = await asyncio.gather(
            ask_whether_ready(deployment, PLAY_S),
            *(client.run(number) for number, client in enumerate(usual)),
            *(bad_clients.run(deployment) for bad_clients in ((FLOOD, BURST) if trouble else ())),
        )
        record(f"memory {deployment.dispatcher.memory_mb():.1f} MB, exit code {deployment.dispatcher.exit_code}")
    finally:
        deployment.dispatcher.kill()
    record(f"answers to bad clients: {results[CLIENTS:]}")
    record(f"longest time without an answer to 'is it ready?': {longest:.2f} s")
    return judge(record, usual)


if __name__ == "__main__":
    main(Path(__file__).parent, play)
