"""`python -m kelptrail.platform`: one dispatcher on the platform's sockets, as `LB_CONFIG` tells."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import uvloop

from kelptrail.platform import config
from kelptrail.platform.service import Service, note


async def serve(path: str) -> None:
    """Serve till told to end."""
    loop = asyncio.get_running_loop()
    service = Service(loop, config.read(path))

    def reload() -> None:
        try:
            service.reload(config.read(path, service.config))
        except config.ConfigError as cause:
            note("configuration kept", cause=cause)

    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGTERM, service.end)
    loop.add_signal_handler(signal.SIGINT, service.end)
    service.open()
    await service.over
    service.close()


def main() -> int:
    """Exit codes: 0 told to end, 2 a configuration or an address that cannot be used."""
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("kelptrail.platform: LB_CONFIG names no file", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(path))
    except (config.ConfigError, OSError) as cause:
        print(f"kelptrail.platform: {cause}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
