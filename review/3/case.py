"""Bad clients take hundreds of requests back at once; one turn of the event loop lasts too long and takes memory."""

from __future__ import annotations

import secrets
from pathlib import Path

from standins.case import deploy, main, new_fleet, open_runners
from standins.processes import run_module
from standins.record import Record
from standins.runner import Model
from standins.usual import play_beside
from standins.watch import Watch

LIMITS = {"memory_mb": 192, "sockets": 1024}  # the most that the pages allow
PLAY_S = 60.0
# With the usual clients under a third of the descriptors.  Each has ten connections and takes 32 requests back on each.
BAD_CLIENTS, CONNECTIONS = 32, 10
BAD_FROM_S, BAD_S = 5.0, 45.0


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether the dispatcher crashed, as the pages define it."""
    fleet = new_fleet(record, {secrets.token_hex(8): Model(lanes=2, load_s=0.3, work_s=0.02) for _ in range(8)})
    deployment = await deploy(record, folder, fleet, await open_runners(fleet, 6), [0, 1, 2] * 2, LIMITS)
    watch, item = Watch(deployment, LIMITS["memory_mb"]), next(iter(fleet.models))
    words = "taking_back", *deployment.address, CONNECTIONS, BAD_FROM_S, BAD_S, item
    bad_clients = [run_module(*words) for _ in range(BAD_CLIENTS if trouble else 0)]
    return await play_beside(deployment, watch, bad_clients, PLAY_S)


if __name__ == "__main__":
    main(Path(__file__).parent, play)
