"""One planner as a running program."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable
from typing import Any

import msgspec

from kelptrail.membership.client import EndpointClient
from kelptrail.membership.members import EndpointList
from kelptrail.net.server import Exchange, HttpServer, Limits
from kelptrail.planner.driver import PlannerDriver, PlannerOptions
from kelptrail.settings.deployment import Deployment

from .fleet import Fleet, FleetOptions


async def serve(
    deployment: Deployment,
    options: PlannerOptions,
    log: Any,
    ready: Callable[[str, str], None] | None = None,
    stop: asyncio.Event | None = None,
) -> None:
    """Run until SIGTERM, SIGINT or `stop`."""
    loop, stop = asyncio.get_running_loop(), stop or asyncio.Event()
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, stop.set)
    if deployment.peers is None or deployment.leases is None:
        raise ValueError("planners act under a lease: (peers ...) and (leases ...) are needed")
    fleet = Fleet(deployment, FleetOptions(options.name, os.urandom(4).hex(), None, options.peer_addresses), log)
    assert fleet.leases is not None
    program = PlannerDriver(deployment, options, fleet.leases, fleet.lease_length_ms, log)
    had = program.restore()
    program.listen()
    last = options.state_folder / "last-list.json" if options.state_folder is not None else None
    if options.state_folder is not None:
        with contextlib.suppress(OSError):
            options.state_folder.mkdir(parents=True, exist_ok=True)
    fleet.start()
    program.start()

    def changed(listing: EndpointList) -> None:
        fleet.on_endpoints(listing)
        program.on_endpoints(listing)

    roster = EndpointClient(options.endpoint_service, "", changed, last, log)
    roster.load_saved()
    follower = loop.create_task(roster.follow())

    def handle(request: Any, exchange: Exchange) -> None:
        if request.path == "/leases" and fleet.leases is not None:
            exchange.reply(200, msgspec.json.encode(fleet.leases.status() | {"peers": fleet.peers.status()}))
            return
        if request.method == "POST" and request.path == "/fault":  # for trials: plans that take longer
            body = msgspec.json.decode(request.body)
            program.solve_delay_ms, program.planner.demand.error_factor = (
                float(body.get("ms", 0.0)),
                float(body.get("factor", 1.0)),
            )
            loop.call_later(float(body["for_ms"]) / 1000, program.clear_faults)
        exchange.reply(200, msgspec.json.encode(program.status()))

    control = HttpServer(handle, Limits(connections=64))
    if options.control is not None:
        host, _, port = options.control.rpartition(":")
        control.listen(host, int(port))
    log.info("planning", address=program.address, from_snapshot=had)
    if ready is not None:
        ready(program.address, control.address)
    await stop.wait()
    follower.cancel()
    control.stop_listening()
    control.abort_all()
    await program.stop()
    await fleet.stop()
