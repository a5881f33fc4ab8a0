"""The components of a dispatcher process, and the order in which they are built and started."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from kelptrail.background.core import SchedulerSettings
from kelptrail.background.driver import Background
from kelptrail.clock import now_ms
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.membership.client import EndpointClient
from kelptrail.membership.members import ID_PREFIX_DIGITS, EndpointList, id_prefix
from kelptrail.net.server import HttpServer, Limits
from kelptrail.planner.driver import PlannerDriver
from kelptrail.planner.edge_driver import PlanFollower
from kelptrail.settings.deployment import Deployment
from kelptrail.store.faulty_disk import FaultyDisk
from kelptrail.vrrp.address import FrontService

from .control import Control
from .embedded_planner import start_embedded_planner
from .fleet import Fleet, FleetOptions
from .front_addresses import FrontAddresses
from .fronts import Fronts
from .garbage_collection import FullCollections, freeze_startup_objects
from .journal import min_run_ms, open_stores, recover_activations
from .journal_takeover import take_over_journal
from .lease_trial import ClockFaultWatcher, LeaseTrial
from .options import DispatcherOptions
from .step_faults import install_step_faults
from .usage import NamespaceCounts, UsageDriver, UsageSettings

FIRST_LIST_TIMEOUT_S = 3.0  # time to wait for the first endpoint list; the start then continues without it
# Time for which binding is retried while the address is in use, and the pause between two tries.
LISTEN_TIMEOUT_MS, LISTEN_RETRY_MS = 5_000.0, 50.0
CONTROL_CONNECTIONS = 64


class Dispatcher:
    """One dispatcher process.

    The constructor builds the components and recovers the journal; `start` begins to serve.
    """

    background: Background  # set by `start`

    def __init__(self, deployment: Deployment, options: DispatcherOptions, log: Any, debug: bool) -> None:
        self.deployment, self.options, self.log = deployment, options, log
        # `boot` begins all activation ids of this run.  Its first `ID_PREFIX_DIGITS` digits identify the dispatcher;
        # the rest is random, so that the ids of two runs never collide.
        self.boot = id_prefix(options.name) + os.urandom(8).hex()[ID_PREFIX_DIGITS:]
        zone = options.zone or deployment.dispatcher.zone or deployment.zones[0]
        parts = DispatcherParts(deployment, zone, zlib.crc32(self.boot.encode()))
        disk = FaultyDisk(options.disk_fault_file) if options.disk_fault_file is not None else None
        self._vfs = disk.vfs_name if disk is not None else None
        self.faulty_clock = (
            ClockFaultWatcher(options.clock_fault_file, log) if options.clock_fault_file is not None else None
        )
        self._stores = open_stores(deployment, options.state_folder, self._vfs, log)
        self.gateway = Gateway(parts, self.boot, self._stores.commits)
        install_step_faults(self.gateway, options)
        self.driver = GatewayDriver(self.gateway, f"{options.name}/{self.boot}", deployment.pool, log, debug)
        self.fronts = Fronts(deployment, self.driver, self.boot, log)
        self.fleet = self._build_fleet()
        replication = self.fleet.replication if self.fleet is not None else None
        recover_activations(deployment, self.gateway, self.driver, self._stores, replication, log)
        self._first_list = asyncio.Event()
        self.endpoints = EndpointClient(
            options.endpoint_service, self.driver.name, self._on_endpoints, self._state_file("last-list.json"), log
        )
        self.endpoints.on_response = self.driver.on_list_confirmed
        self.usage: UsageDriver | None = None
        self.lease_trial: LeaseTrial | None = None
        self.planner: PlannerDriver | None = None
        self.plan_follower: PlanFollower | None = None
        self.front_addresses: FrontAddresses | None = None
        self.endpoint_task: asyncio.Task[None] | None = None
        self.control: HttpServer | None = None
        self.port = 0

    async def start(self) -> None:
        """Begin to serve, and wait a limited time for the first endpoint list.

        Raises `OSError` if an address cannot be bound.
        """
        loaded_last_list = self.endpoints.load_saved()
        if loaded_last_list:
            self.driver.on_initial_list()
        if self.fleet is not None:
            self._start_fleet(self.fleet)
        freeze_startup_objects()
        self.background = Background(SchedulerSettings(), now_ms, lambda: bool(self.gateway.in_flight), self.log)
        # The numbers of a job are its priority, interval and maximum wait in ms, and share of real time; see `Job`.
        self.background.add("collect", FullCollections(self.gateway).step, 9, 60_000.0, 600_000.0, 0.05)
        await self._listen_http()
        self._add_maintenance()
        self._start_planning()
        self.background.start()
        self._listen_grpc()
        self.endpoint_task = asyncio.get_running_loop().create_task(self.endpoints.follow())
        self.driver.run_effects()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._first_list.wait(), FIRST_LIST_TIMEOUT_S)
        self.log.info(
            "serving",
            address=self.fronts.http.address,
            grpc=self.fronts.grpc.address,
            boot=self.boot,
            from_last_list=loaded_last_list,
        )
        self._start_front_addresses()
        self.control = self._open_control()

    def _state_file(self, name: str) -> Path | None:
        folder = self.options.state_folder
        return folder / name if folder is not None else None

    # Fleet: peers, leases, replication and usage.

    def _build_fleet(self) -> Fleet | None:
        deployment, options = self.deployment, self.options
        if deployment.peers is None:
            return None
        configured_address = {peer.name: peer.at for peer in deployment.peers.peer}.get(options.name)
        fleet = Fleet(
            deployment,
            FleetOptions(
                name=options.name,
                run_id=os.urandom(4).hex(),
                listen=options.peers or configured_address or f"{options.host}:0",
                peer_addresses=options.peer_addresses,
                state_folder=options.state_folder,
                vfs=self._vfs,
                zone=options.zone,
            ),
            self.log,
        )
        if deployment.peers.replicas:
            fleet.enable_replication(deployment.peers, self.log)
            max_resumed, min_ms = deployment.journal.max_resumed, min_run_ms(deployment)
            take_over_journal(fleet.replication, self.gateway, self.driver, max_resumed, min_ms)
            for api in (self.fronts.invoke, self.fronts.inference):
                api.context.activation_lookup = fleet.replication
        return fleet

    def _start_fleet(self, fleet: Fleet) -> None:
        options = self.options
        if fleet.leases is not None and options.crash_at:
            fleet.leases.step_hook = self.gateway.durability.on_step
        self.usage = self._build_usage(fleet)
        fleet.start()
        if self.usage is not None:
            self.usage.start()
        self.endpoints.channel_address, self.endpoints.zone = fleet.peers.address, options.zone
        if fleet.leases is not None and options.trial_side_effect_log:
            self.lease_trial = LeaseTrial(
                fleet.leases, options.trial_side_effect_log, options.trial_leases, fleet.lease_length_ms
            )
            self.lease_trial.start()

    def _build_usage(self, fleet: Fleet) -> UsageDriver | None:
        leases = self.deployment.leases
        if fleet.leases is None or leases is None or not leases.usage_interval_ms:
            return None
        return UsageDriver(
            fleet.leases,
            fleet.peers,
            self.boot,
            UsageSettings(leases.usage_interval_ms, fleet.lease_length_ms),
            self._namespace_counts,
            fleet.dispatcher_names,
            self.log,
        )

    def _namespace_counts(self) -> NamespaceCounts:
        return {name: (n[0], n[1], n[2]) for name, n in self.gateway.records.final_counts.items()}

    # Endpoints, listeners and background work.

    def _on_endpoints(self, listing: EndpointList) -> None:
        self.driver.on_endpoints(listing)
        if self.fleet is not None:
            self.fleet.on_endpoints(listing)
        if self.plan_follower is not None:
            self.plan_follower.on_endpoints()
        if self.planner is not None:
            self.planner.on_endpoints(listing)
        self._first_list.set()

    async def _listen_http(self) -> None:
        server = self.fronts.http
        self.port = await self._listen_when_free()
        self.fronts.invoke.context.url, self.endpoints.address = self.fronts.url(), server.address
        if self.fleet is not None and self.fleet.replication is not None:
            self.fleet.replication.address = server.address

    async def _listen_when_free(self) -> int:
        """Listen at the configured address and return the port.

        After a restart the port may be in use for a short time, by the previous process or as the local port of an
        outgoing connection.  Raises `OSError` if the address cannot be bound in time.
        """
        options, deadline = self.options, now_ms() + LISTEN_TIMEOUT_MS
        while True:
            try:
                return self.fronts.http.listen(options.host, options.port, options.shared_port)
            except OSError as cause:
                if cause.errno != errno.EADDRINUSE or now_ms() >= deadline:
                    raise
            await asyncio.sleep(LISTEN_RETRY_MS / 1000)

    def _listen_grpc(self) -> None:
        settings, options = self.deployment.inference, self.options
        if settings.serve:
            port = settings.port if options.grpc_port is None else options.grpc_port
            self.fronts.grpc.listen(options.host, port, options.shared_port)

    def _add_maintenance(self) -> None:
        if self.driver.journal is not None:
            self.background.add("compact", self.driver.journal.compact, 7, 2000.0, 30_000.0)
        if self.fronts.reloaders:
            self.background.add("certificates", self.fronts.reload_certificates, 5, 1000.0)

    # Planning.

    def _start_planning(self) -> None:
        addresses = list(self.options.planners)
        if self.deployment.planner.embedded and self.fleet is not None and self.fleet.leases is not None:
            self.planner = start_embedded_planner(self.deployment, self.options, self.fleet, self.log)
            addresses.append(self.planner.address)
        if addresses:
            self.plan_follower = self._start_plan_follower(addresses)

    def _start_plan_follower(self, addresses: list[str]) -> PlanFollower:
        follower = PlanFollower(
            addresses,
            self.options.name,
            self.deployment.name,
            self.gateway,
            self.driver.schedule_decisions,
            self._state_file("plan.bin"),
            self.log,
        )
        self.background.add("report", follower.send_reports, 2, 250.0, 1500.0, 0.05)
        self.background.add("save-plan", follower.save_plan, 6, 2000.0, 20_000.0)
        if follower.load_saved_plan():
            self.log.info("plan-restored", order=list(follower.plan_state.fence))
        follower.start()
        return follower

    # Front addresses and the control port.

    def _start_front_addresses(self) -> None:
        deployment, options = self.deployment, self.options
        if deployment.vrrp is None or options.name not in {instance.name for instance in deployment.vrrp.instance}:
            return
        front = deployment.front
        service = FrontService(
            self.fronts.invoke.handle,
            self.fronts.make_http_server,
            self.fronts.make_grpc_server,
            front.drain_ms,
            front.linger_ms,
        )
        self.front_addresses = FrontAddresses(
            deployment.vrrp,
            options.name,
            options.state_folder,
            self.driver,
            service,
            self.log,
            self._can_store,
        )
        self.front_addresses.start()

    def _can_store(self) -> bool:
        """Return whether the last endpoint list could be saved and the journal's writes do not fail."""
        commits = self._stores.commits
        return self.endpoints.saved and not (commits and commits.failing)

    def _open_control(self) -> HttpServer:
        control = Control(
            self.driver,
            self.fronts.http,
            self.fronts.grpc,
            self.front_addresses,
            self.fronts.reloaders,
            self._status_sections(),
            self.fleet.replication.drain if self.fleet is not None and self.fleet.replication is not None else None,
        )
        server = HttpServer(control.handle, Limits(connections=CONTROL_CONNECTIONS))
        if self.options.control is not None:
            host, _, port = self.options.control.rpartition(":")
            server.listen(host, int(port))
        return server

    def _status_sections(self) -> dict[str, Callable[[], Any]]:
        """Return the status functions that `/state` appends to the gateway's state, by section and in output order."""
        sections: dict[str, Callable[[], Any]] = {"background": self.background.scheduler.status}
        if self.fleet is not None:
            sections |= self.fleet.status()
        if self.usage is not None:
            sections["usage"] = self.usage.status
        if self.plan_follower is not None:
            sections["plan"] = self.plan_follower.status
        if self.planner is not None:
            sections["planner"] = self.planner.status
        return sections
