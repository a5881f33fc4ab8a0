"""Bad clients name functions that no runner knows, hundreds of requests at once; the dispatcher stands still."""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path

from standins.case import Deployment, deploy, main, new_fleet, open_runners
from standins.processes import run_module
from standins.record import Record
from standins.runner import Model
from standins.usual import CLIENTS, LIMIT_MS, UsualClient, ask_whether_ready, judge

LIMITS = {"memory_mb": 192, "sockets": 512}
PLAY_S = 35.0
# The first bad clients ask for one unknown function and leave it 5 ms; the others ask for another one from `BURST_AT_S` on.
FLOOD = {"connections": 20, "at_once": 32, "delay": 3.0, "seconds": 27.0, "limit": 5, "lanes": 2}
BURST_AT_S = 15.0
BURST = {"connections": 60, "at_once": 32, "delay": BURST_AT_S, "seconds": 15.0, "limit": LIMIT_MS, "lanes": 1024}


async def run_bad_clients(deployment: Deployment, what: dict[str, float]) -> int:
    """Run a process of bad clients and return the number of answers that it got."""
    words = [what["connections"], what["at_once"], what["delay"], what["seconds"], what["limit"]]
    output = await run_module("bad_clients", *deployment.address, *words, secrets.token_hex(8), what["lanes"])
    return int(output or 0)


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether a usual request got no answer, or got it over half a second after its time."""
    fleet = new_fleet(record, {secrets.token_hex(8): Model(lanes=2, load_s=0.3, work_s=0.02) for _ in range(8)})
    deployment = await deploy(record, folder, fleet, await open_runners(fleet, 6), [0, 1, 2] * 2, LIMITS)
    usual = [UsualClient(deployment, PLAY_S) for _ in range(CLIENTS)]
    try:
        longest, *results = await asyncio.gather(
            ask_whether_ready(deployment, PLAY_S),
            *(client.run(number) for number, client in enumerate(usual)),
            *(run_bad_clients(deployment, what) for what in ((FLOOD, BURST) if trouble else ())),
        )
        record(f"memory {deployment.dispatcher.memory_mb():.1f} MB, exit code {deployment.dispatcher.exit_code}")
    finally:
        deployment.dispatcher.kill()
    record(f"answers to bad clients: {results[CLIENTS:]}")
    record(f"longest time without an answer to 'is it ready?': {longest:.2f} s")
    return judge(record, usual)


if __name__ == "__main__":
    main(Path(__file__).parent, play)
