"""Signals that stop a process."""

from __future__ import annotations

import asyncio
import signal


def stop_on_signals(stop: asyncio.Event) -> None:
    """Set `stop` on SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
