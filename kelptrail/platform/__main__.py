"""`python -m kelptrail.platform`: one dispatcher on the platform's sockets, as `LB_CONFIG` tells."""

# ruff: noqa: E402  signals are held before all else is imported: their defaults would end the process
from __future__ import annotations

from kelptrail.platform.signals import SIGNALS, Held

held = Held(SIGNALS if __name__ == "__main__" else ())

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable

import uvloop

from kelptrail.net.errors import is_local_shortage
from kelptrail.platform import config
from kelptrail.platform.service import Service, note

LISTEN_WITHIN_MS, LISTEN_PAUSE_MS = 5_000.0, 50.0
AGAIN_MS = (50.0, 100.0, 200.0, 400.0, 800.0)  # a file that is being written may be whole a little later


def read_first(path: str) -> config.Config:
    """The configuration at the start; one that is being replaced is read again.  Raises `ConfigError`."""
    for pause_ms in AGAIN_MS:
        try:
            return config.read(path)
        except config.IncompleteConfigError as cause:
            note("configuration incomplete", cause=cause)
            time.sleep(pause_ms / 1000)  # before the loop: what signals come meanwhile is held
    return config.read(path)


async def open_door(service: Service) -> None:
    """Begin to serve; what our side lacks for a moment, or an address that is still another's, is waited for.  Raises
    `OSError`."""
    deadline = asyncio.get_running_loop().time() + LISTEN_WITHIN_MS / 1000
    while not service.ending:
        try:
            service.open()
            return
        except OSError as cause:
            if not is_local_shortage(cause) or asyncio.get_running_loop().time() > deadline:
                raise
            note("cannot listen yet", cause=cause)
        await asyncio.sleep(LISTEN_PAUSE_MS / 1000)


async def serve(path: str, first: config.Config) -> None:
    """Serve till told to end.  Raises `OSError`."""
    loop = asyncio.get_running_loop()
    service = Service(loop, first)
    rereads: list[asyncio.TimerHandle] = []

    def reload(again: tuple[float, ...] = AGAIN_MS) -> None:
        while rereads:
            rereads.pop().cancel()
        try:
            service.reload(config.read(path, service.config))
        except config.ConfigError as cause:
            if again is AGAIN_MS or not again:
                note("configuration kept", cause=cause)
            if again:
                rereads.append(loop.call_later(again[0] / 1000, reload, again[1:]))

    acts: dict[int, Callable[[], None]] = {
        signal.SIGHUP: reload,
        signal.SIGTERM: service.end,
        signal.SIGINT: service.end,
    }
    for number, request in acts.items():
        loop.add_signal_handler(number, request)
    came = held.release()
    if signal.SIGTERM not in came and signal.SIGINT not in came:
        await open_door(service)
        if signal.SIGHUP in came:
            reload()
        await service.over
    held.block()  # the loop's handlers go before the process does
    service.close()


def main() -> int:
    """Exit codes: 0 told to end, 2 a configuration or an address that cannot be used."""
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("kelptrail.platform: LB_CONFIG names no file", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(path, read_first(path)))
    except (config.ConfigError, OSError) as cause:
        print(f"kelptrail.platform: {cause}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
