"""Runs a dispatcher process from its start to its graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from kelptrail.settings.deployment import Deployment

from .dispatcher import Dispatcher
from .options import DispatcherOptions as DispatcherOptions
from .shutdown import shut_down
from .signals import stop_on_signals


async def serve(
    deployment: Deployment,
    options: DispatcherOptions,
    log: Any,
    debug: bool = False,
    ready: Callable[[int, str, str, str], None] | None = None,
    stop: asyncio.Event | None = None,
) -> bool:
    """Run a dispatcher until SIGTERM, SIGINT or `stop`, then drain; return whether the shutdown was clean.

    A shutdown is clean if in time every accepted request got its final answer, the journals were completely written
    and every connection closed.  `ready` is called once with the HTTP port and the addresses of the control port, the
    gRPC front and the peer channel.  Raises `OSError` if an address cannot be bound, and `ValueError` if settings and
    options contradict each other.
    """
    stop = stop or asyncio.Event()
    stop_on_signals(stop)
    dispatcher = Dispatcher(deployment, options, log, debug)
    await dispatcher.start()
    if ready is not None:
        control = dispatcher.control.address if dispatcher.control is not None else ""
        channel = dispatcher.fleet.peers.address if dispatcher.fleet is not None else ""
        ready(dispatcher.port, control, dispatcher.fronts.grpc.address, channel)
    await stop.wait()
    return await shut_down(dispatcher)
