"""Runs a planner process."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from typing import Any

import msgspec

from kelptrail.codec.http import Request
from kelptrail.membership.client import EndpointClient
from kelptrail.membership.members import EndpointList
from kelptrail.net.server import Exchange, HttpServer, Limits
from kelptrail.planner.driver import PlannerDriver, PlannerOptions
from kelptrail.settings.deployment import Deployment

from .errors import LeaseSettingsError
from .fleet import Fleet, FleetOptions
from .signals import stop_on_signals

CONTROL_CONNECTIONS = 64


async def serve(
    deployment: Deployment,
    options: PlannerOptions,
    log: Any,
    ready: Callable[[str, str], None] | None = None,
    stop: asyncio.Event | None = None,
) -> None:
    """Run a planner until SIGTERM, SIGINT or `stop`.

    `ready` is called once with the addresses of the planner and of its control port.  Raises `LeaseSettingsError` if
    the settings lack `peers` or `leases`, and `OSError` if an address cannot be bound.
    """
    stop = stop or asyncio.Event()
    stop_on_signals(stop)
    if deployment.peers is None or deployment.leases is None:
        raise LeaseSettingsError(
            "a planner sends plans only while it holds a lease: (peers ...) and (leases ...) are needed"
        )
    fleet_options = FleetOptions(options.name, os.urandom(4).hex(), None, options.peer_addresses)
    fleet = Fleet(deployment, fleet_options, log)
    assert fleet.leases is not None
    planner = PlannerDriver(deployment, options, fleet.leases, fleet.lease_length_ms, log)
    from_snapshot = planner.restore()
    planner.listen()
    if options.state_folder is not None:
        with contextlib.suppress(OSError):  # components that use the folder report the error
            options.state_folder.mkdir(parents=True, exist_ok=True)
    fleet.start()
    planner.start()
    endpoints = _endpoint_client(options, fleet, planner, log)
    endpoints.load_saved()
    endpoint_task = asyncio.get_running_loop().create_task(endpoints.follow())
    control = _control_server(options, fleet, planner)
    log.info("planning", address=planner.address, from_snapshot=from_snapshot)
    if ready is not None:
        ready(planner.address, control.address)
    await stop.wait()
    endpoint_task.cancel()
    control.stop_listening()
    control.abort_all()
    await planner.stop()
    await fleet.stop()


def _control_server(options: PlannerOptions, fleet: Fleet, planner: PlannerDriver) -> HttpServer:
    """Return the server of the control port; it listens only if the options give its address."""
    control = HttpServer(PlannerControl(fleet, planner).handle, Limits(connections=CONTROL_CONNECTIONS))
    if options.control is not None:
        host, _, port = options.control.rpartition(":")
        control.listen(host, int(port))
    return control


def _endpoint_client(options: PlannerOptions, fleet: Fleet, planner: PlannerDriver, log: Any) -> EndpointClient:
    def on_endpoints(listing: EndpointList) -> None:
        """Pass a new endpoint list to the fleet and the planner."""
        fleet.on_endpoints(listing)
        planner.on_endpoints(listing)

    saved_list_file = options.state_folder / "last-list.json" if options.state_folder is not None else None
    return EndpointClient(options.endpoint_service, "", on_endpoints, saved_list_file, log)


class PlannerControl:
    """A planner's control port: its status, its leases, and fault injection for tests.  Responses are JSON."""

    def __init__(self, fleet: Fleet, planner: PlannerDriver) -> None:
        self._fleet, self._planner = fleet, planner
        self._loop = asyncio.get_running_loop()

    def handle(self, request: Request, exchange: Exchange) -> None:
        """Answer one request; `POST /fault` and unknown paths get the status, too."""
        if request.path == "/leases" and self._fleet.leases is not None:
            status = self._fleet.leases.status() | {"peers": self._fleet.peers.status()}
            exchange.reply(200, msgspec.json.encode(status))
            return
        if request.method == "POST" and request.path == "/fault":
            self._inject_fault(msgspec.json.decode(request.body))
        exchange.reply(200, msgspec.json.encode(self._planner.status()))

    def _inject_fault(self, fault: dict[str, Any]) -> None:
        """Inject a fault for tests.

        During `for_ms`, each solution is delayed by `ms` and the measured request rates are multiplied by `factor`.
        """
        self._planner.solve_delay_ms = float(fault.get("ms", 0.0))
        self._planner.planner.demand.error_factor = float(fault.get("factor", 1.0))
        self._loop.call_later(float(fault["for_ms"]) / 1000, self._planner.clear_faults)
