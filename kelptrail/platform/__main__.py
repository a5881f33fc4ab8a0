"""`python -m kelptrail.platform`: one dispatcher, configured by the file that `LB_CONFIG` names."""

# ruff: noqa: E402  signals are held before all other imports: their default action would end the process
from __future__ import annotations

from kelptrail.platform.signals import SIGNALS, HeldSignals

held_signals = HeldSignals(SIGNALS if __name__ == "__main__" else ())

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable

import uvloop

from kelptrail.net.errors import is_local_shortage
from kelptrail.platform import config, log_events
from kelptrail.platform.log import event_log
from kelptrail.platform.service import Service

LISTEN_TIMEOUT_MS, LISTEN_RETRY_MS = 5_000.0, 50.0
# Delays before an unusable file is read again: it may still be being written.
REREAD_BACKOFF_MS = (50.0, 100.0, 200.0, 400.0, 800.0)
EXIT_OK, EXIT_UNUSABLE = 0, 2


def read_initial_config(path: str) -> config.Config:
    """Read the configuration at startup, with a retry after each of `REREAD_BACKOFF_MS` while the file is incomplete.

    Raises `ConfigError`.
    """
    for delay_ms in REREAD_BACKOFF_MS:
        try:
            return config.read(path)
        except config.IncompleteConfigError as cause:
            event_log(log_events.CONFIGURATION_INCOMPLETE, cause=cause)
            time.sleep(delay_ms / 1000)  # blocking is safe: the event loop does not run yet and signals are held
    return config.read(path)


async def open_listener(service: Service) -> None:
    """Start to accept clients; retry while the address is in use or unavailable, or descriptors or memory are short.

    Return without listening if a shutdown is requested.  Raises `OSError` for other causes, or after
    `LISTEN_TIMEOUT_MS`.
    """
    deadline = asyncio.get_running_loop().time() + LISTEN_TIMEOUT_MS / 1000
    while not service.shutting_down:
        try:
            service.open()
            return
        except OSError as cause:
            if not is_local_shortage(cause) or asyncio.get_running_loop().time() > deadline:
                raise
            event_log(log_events.CANNOT_LISTEN, cause=cause)
        await asyncio.sleep(LISTEN_RETRY_MS / 1000)


async def serve(path: str, initial: config.Config) -> None:
    """Run the dispatcher until its shutdown by SIGTERM or SIGINT is complete.  Raises `OSError` if it cannot listen."""
    loop = asyncio.get_running_loop()
    service = Service(loop, initial)
    scheduled_rereads: list[asyncio.TimerHandle] = []

    def reload(backoff_ms: tuple[float, ...] = REREAD_BACKOFF_MS) -> None:
        while scheduled_rereads:
            scheduled_rereads.pop().cancel()
        try:
            service.reload(config.read(path, service.config))
        except config.ConfigError as cause:
            if backoff_ms is REREAD_BACKOFF_MS or not backoff_ms:  # only the first and the last failure are logged
                event_log(log_events.CONFIGURATION_KEPT, cause=cause)
            if backoff_ms:
                scheduled_rereads.append(loop.call_later(backoff_ms[0] / 1000, reload, backoff_ms[1:]))

    handlers: dict[int, Callable[[], None]] = {
        signal.SIGHUP: reload,
        signal.SIGTERM: service.shut_down,
        signal.SIGINT: service.shut_down,
    }
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    received = held_signals.release()
    if signal.SIGTERM not in received and signal.SIGINT not in received:
        await open_listener(service)
        if signal.SIGHUP in received:
            reload()
        await service.finished
    # When the loop closes, it removes its signal handlers, so the default actions would apply until the process exits.
    held_signals.block()
    service.close()


def main() -> int:
    """Run the program; return its exit code: 0 after a shutdown, 2 for an unusable configuration or address."""
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("kelptrail.platform: LB_CONFIG is unset or empty", file=sys.stderr)
        return EXIT_UNUSABLE
    try:
        uvloop.run(serve(path, read_initial_config(path)))
    except (config.ConfigError, OSError) as cause:
        print(f"kelptrail.platform: {cause}", file=sys.stderr)
        return EXIT_UNUSABLE
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
