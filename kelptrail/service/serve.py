"""One dispatcher as a running program: joins settings, decisions, sockets, front and roster."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from kelptrail.background.core import SchedulerSettings
from kelptrail.background.driver import Background
from kelptrail.clock import now_ms, wall_ms
from kelptrail.front.callers import Callers
from kelptrail.front.inference.api import InferenceApi
from kelptrail.front.invoke.api import InvokeApi
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.membership.client import EndpointClient
from kelptrail.membership.members import ID_PREFIX_DIGITS, EndpointList, id_prefix
from kelptrail.net.grpc_server import GrpcServer
from kelptrail.net.listener import ConnectPace, PaceSettings
from kelptrail.net.server import Handler, HttpServer, Limits
from kelptrail.net.tls import CertificateReloader
from kelptrail.planner.driver import PlannerDriver
from kelptrail.planner.driver import PlannerOptions as PlannerOptions
from kelptrail.planner.edge_driver import PlanFollower
from kelptrail.replication.messages import LEASE_PREFIX as BOOKS
from kelptrail.settings.deployment import Deployment, FrontSettings, InferenceSettings
from kelptrail.store.activation_journal import ActivationJournal, JournalError, open_journal
from kelptrail.store.driver import JournalDriver
from kelptrail.store.faulty_disk import FaultyDisk
from kelptrail.store.group_commit import GroupCommit

from .build import certificate_reloader, front_limits, grpc_limits
from .control import Control
from .fleet import Fleet, FleetOptions
from .front_addresses import FrontAddresses
from .journal_takeover import take_over_journal
from .lease_trial import FaultyClock, LeaseTrial
from .usage import UsageDriver


@dataclass(frozen=True, slots=True)
class DispatcherOptions:
    """What differs from one dispatcher of a deployment to the next."""

    name: str
    zone: str
    host: str
    port: int
    endpoint_service: str
    state_folder: Path | None
    shared_port: bool = False
    crash_at: str = ""  # a step at which the process kills itself, for crash tests
    pause_at: str = ""  # a step at which the process stops itself, once, for tests of what stands still
    control: str | None = None  # address of the control port; None: no such port
    grpc_port: int | None = None  # of the second front; None: the settings'
    planners: tuple[str, ...] = ()  # addresses of planners to follow
    disk_fault_file: Path | None = None  # a file that says what ails the disk under the book, for tests
    peers: str | None = None  # where its channel listens; None: as the settings say, or a free port
    peer_addresses: dict[str, str] = field(default_factory=dict)  # where peers are, by name, before settings and list
    clock_fault_file: Path | None = None  # a file that says what ails the clock, for trials
    trial_witness: str = ""  # of acts under leases on `tasks`, for trials
    trial_leases: tuple[str, ...] = ()


def _open(file: Path, most_bytes: float, vfs: str | None, log: Any) -> ActivationJournal | None:
    """The book, or None where it cannot be used: then deferred calls are refused."""
    try:
        book, aside = open_journal(file, most_bytes, vfs)
    except JournalError as cause:
        log.error("book-unusable", file=str(file), reason=str(cause))
        return None
    if aside is not None:
        log.error("book-set-aside", file=str(aside))
    return book


def _look(keepers: dict[str, CertificateReloader]) -> None:
    for keeper in keepers.values():
        keeper.reload_if_changed()


class _Collector:
    """Full collections, at rest if there is any: one a minute, else after ten minutes."""

    def __init__(self, gateway: Gateway, most_rests: int = 10) -> None:
        self._gateway, self._most, self._rests = gateway, most_rests, 0

    def step(self) -> None:
        """One look."""
        self._rests += 1
        if not self._gateway.in_flight or self._rests >= self._most:
            self._rests = 0
            gc.collect()


async def serve(
    deployment: Deployment,
    options: DispatcherOptions,
    log: Any,
    debug: bool = False,
    ready: Callable[[int, str, str, str], None] | None = None,
    stop: asyncio.Event | None = None,
) -> bool:
    """Run until SIGTERM, SIGINT or `stop`, then drain; True if all taken got its final answer."""
    loop = asyncio.get_running_loop()
    stop = stop or asyncio.Event()
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, stop.set)
    # Ids tell which dispatcher gave them; the rest is new at each start, so that they never meet another run's.
    boot = id_prefix(options.name) + os.urandom(8).hex()[ID_PREFIX_DIGITS:]
    world = DispatcherParts(
        deployment, options.zone or deployment.dispatcher.hall or deployment.halls[0], zlib.crc32(boot.encode())
    )
    settings, book = deployment.journal, None
    disk = FaultyDisk(options.disk_fault_file) if options.disk_fault_file is not None else None
    harmed_clock = FaultyClock(options.clock_fault_file, log) if options.clock_fault_file is not None else None
    if options.state_folder is not None:
        with contextlib.suppress(OSError):  # what cannot be kept there is told by whoever needs it
            options.state_folder.mkdir(parents=True, exist_ok=True)
        if settings.keep:
            book = _open(
                options.state_folder / "book.sqlite", settings.most_mb * 1e6, disk.vfs_name if disk else None, log
            )
    journal = GroupCommit(settings.most_waiting) if options.state_folder is not None and settings.keep else None
    if journal is not None and book is None:  # blocking calls go on; nothing new is promised
        journal.failing, journal.reason = True, "the book cannot be used"
    gateway = Gateway(world, boot, journal)
    if options.crash_at:
        gateway.passes = lambda step: os.kill(os.getpid(), signal.SIGKILL) if step == options.crash_at else None
    if options.pause_at:
        left = [options.pause_at]

        def stand_still(step: str) -> None:
            if step in left:
                left.clear()
                os.kill(os.getpid(), signal.SIGSTOP)

        gateway.passes = stand_still
    driver = GatewayDriver(gateway, f"{options.name}/{boot}", deployment.pool, log)
    driver.debug = debug
    keepers = {
        name: keeper
        for name, side, alpn in (
            ("front", "front", ["http/1.1"]),
            ("grpc", "front", ["h2"]),
            ("to-workers", "to-workers", ["http/1.1"]),
        )
        if (keeper := certificate_reloader(deployment, side, alpn, log)) is not None
    }
    if "to-workers" in keepers:
        driver.tls = keepers["to-workers"].context
    http_tls, grpc_tls = (keepers[name].context if name in keepers else None for name in ("front", "grpc"))
    callers = Callers(deployment)

    def pace(door: FrontSettings | InferenceSettings) -> ConnectPace:
        return ConnectPace(
            PaceSettings(door.connects_at_once, door.connects_per_s, deployment.storm.longest_return_ms),
            zlib.crc32(boot.encode()),
        )

    def connected() -> None:
        gateway.overload.connected(now_ms())

    api = InvokeApi(deployment, driver, boot, callers)
    inference = InferenceApi(deployment, driver, callers)

    def first_door(handler: Handler) -> HttpServer:
        made = HttpServer(
            handler, front_limits(deployment.front), log.warning, http_tls, callers.named, pace(deployment.front)
        )
        made.listener.on_connect = connected
        return made

    def second_door() -> GrpcServer:
        made = GrpcServer(
            inference.handle,
            grpc_limits(deployment.inference),
            log.warning,
            grpc_tls,
            callers.named,
            pace(deployment.inference),
        )
        made.listener.on_connect = connected
        return made

    second = second_door()
    server = first_door(api.handle)
    last = options.state_folder / "last-list.json" if options.state_folder is not None else None
    fleet: Fleet | None = None
    if deployment.peers is not None:
        stated = {peer.name: peer.at for peer in deployment.peers.peer}.get(options.name)
        fleet = Fleet(
            deployment,
            FleetOptions(
                options.name,
                os.urandom(4).hex(),
                options.peers or stated or f"{options.host}:0",
                options.peer_addresses,
                options.state_folder,
                disk.vfs_name if disk else None,
                options.zone,
            ),
            log,
        )
        if deployment.peers.copies:
            fleet.enable_replication(deployment.peers, log)
            take_over_journal(
                fleet.replication, gateway, driver, settings.resume_at_once, 2 * deployment.dispatcher.answer_margin_ms
            )
            api.copies = inference.copies = fleet.replication
    if book is not None and journal is not None:
        driver.journal = JournalDriver(journal, book, driver.schedule_decisions, log)
        gateway.on_forget = driver.journal.forget
        began = now_ms()
        # Half the margin is the least in which a run is worth beginning, as little time as a send and its answer take.
        # What moved on to a book with copies is found there.
        moved = fleet.replication.activation_ids() if fleet is not None and fleet.replication is not None else set()
        lives = (life for life in book.activations() if life.accepted.id not in moved)
        found = gateway.recover(
            began, wall_ms(), lives, 2 * deployment.dispatcher.answer_margin_ms, settings.resume_at_once
        )
        log.info("recovered", ms=round(now_ms() - began), damaged=book.damaged, **found)
    listed = asyncio.Event()
    plans: PlanFollower | None = None
    inner: PlannerDriver | None = None

    def changed(listing: EndpointList) -> None:
        driver.on_endpoints(listing)
        if fleet is not None:
            fleet.on_endpoints(listing)
        if plans is not None:
            plans.on_endpoints()
        if inner is not None:
            inner.on_endpoints(listing)
        listed.set()

    roster = EndpointClient(options.endpoint_service, driver.name, changed, last, log)
    had = roster.load_saved()
    trial: LeaseTrial | None = None
    usage: UsageDriver | None = None
    if fleet is not None:
        if fleet.leases is not None and options.crash_at:
            fleet.leases.step_hook = gateway.passes
        if fleet.leases is not None and deployment.leases is not None and deployment.leases.usage_ms:
            usage = UsageDriver(
                fleet.leases,
                fleet.peers,
                boot,
                deployment.leases.usage_ms,
                fleet.lease_length_ms,
                lambda: {space: (n[0], n[1], n[2]) for space, n in gateway.records.used.items()},
                fleet.dispatcher_names,
                log,
            )
        fleet.start()
        if usage is not None:
            usage.start()
        roster.channel_address, roster.zone = fleet.peers.address, options.zone
        if fleet.leases is not None and options.trial_witness:
            trial = LeaseTrial(fleet.leases, options.trial_witness, options.trial_leases, fleet.lease_length_ms)
            trial.start()
    # What stands now stands for good; the rest goes without a collector, but for rare cycles.  Guards against full
    # collections of 100 ms in the middle of calls: they come while nothing is in hand, else every ten minutes.
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 1_000_000)
    background = Background(SchedulerSettings(), now_ms, lambda: bool(gateway.in_flight), log)
    collector = _Collector(gateway)
    background.add("collect", collector.step, 9, 60_000.0, 600_000.0, 0.05)
    port = server.listen(options.host, options.port, options.shared_port)
    api.own, roster.address = f"{'https' if http_tls else 'http'}://{server.address}", server.address
    if fleet is not None and fleet.replication is not None:
        fleet.replication.address = server.address
    if driver.journal is not None:
        background.add("compact", driver.journal.compact, 7, 2000.0, 30_000.0)
    if keepers:
        background.add("certificates", partial(_look, keepers), 5, 1000.0)
    planners = list(options.planners)
    if deployment.planner.within and fleet is not None and fleet.leases is not None:
        inner = PlannerDriver(
            deployment,
            PlannerOptions(f"{options.name}-planner", "127.0.0.1", 0, options.endpoint_service, options.state_folder),
            fleet.leases,
            fleet.lease_length_ms,
            log,
        )
        inner.restore()
        inner.listen()
        inner.start()
        planners.append(inner.address)
    if planners:
        plans = PlanFollower(
            planners,
            options.name,
            deployment.name,
            gateway,
            driver.schedule_decisions,
            options.state_folder / "plan.bin" if options.state_folder is not None else None,
            log,
        )
        background.add("report", plans.send_reports, 2, 250.0, 1500.0, 0.05)
        background.add("save-plan", plans.save_plan, 6, 2000.0, 20_000.0)
        if plans.load_saved_plan():
            log.info("plan-from-last", order=list(plans.plan_state.fence))
        plans.start()
    background.start()
    if deployment.inference.serve:
        wanted = deployment.inference.port if options.grpc_port is None else options.grpc_port
        second.listen(options.host, wanted, options.shared_port)
    follower = loop.create_task(roster.follow())
    driver.decide()
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(listed.wait(), 3.0)
    log.info("serving", address=server.address, grpc=second.address, boot=boot, from_last_list=had)
    standing: FrontAddresses | None = None
    if deployment.vrrp is not None and options.name in {i.name for i in deployment.vrrp.instance}:
        standing = FrontAddresses(
            deployment.vrrp,
            options.name,
            options.state_folder,
            driver,
            api,
            front_limits(deployment.front),
            deployment.front,
            log,
            lambda: roster.saved and not (journal and journal.failing),
            first_door,
            second_door,
        )
        standing.start()
    more: dict[str, Callable[[], Any]] = {"background": background.scheduler.status}
    if fleet is not None:
        more |= fleet.status()
    if usage is not None:
        more["usage"] = usage.status
    if plans is not None:
        more["plan"] = plans.status
    if inner is not None:
        more["planner"] = inner.status
    control = HttpServer(
        Control(
            driver,
            server,
            second,
            standing,
            keepers,
            more,
            fleet.replication.drain if fleet is not None and fleet.replication is not None else None,
        ).handle,
        Limits(connections=64),
    )
    if options.control is not None:
        host, _, control_port = options.control.rpartition(":")
        control.listen(host, int(control_port))
    if ready is not None:
        ready(port, control.address, second.address, fleet.peers.address if fleet is not None else "")
    await stop.wait()
    log.info("draining", in_hand=gateway.in_flight, connections=server.connections)
    api.leaving = inference.leaving = True
    second.start_draining()
    within = deployment.front.drain_ms
    end = now_ms() + within
    if trial is not None:
        trial.stop()
    if usage is not None:
        usage.stop()
    if fleet is not None and fleet.leases is not None:
        fleet.leases.release_except(BOOKS)  # books are owned until what is in them is over
    if standing is not None:
        await standing.stop()
    answered = await driver.drain(end - now_ms())
    # Whoever was given an id may still ask, at our own address.
    while gateway.records.untold(now_ms() - within) and now_ms() < end:
        await asyncio.sleep(0.05)
    if fleet is not None and fleet.replication is not None:
        answered = await fleet.replication.stop(max(500.0, end - now_ms())) and answered
    if fleet is not None and fleet.leases is not None:
        await fleet.leases.stop()
    if driver.journal is not None:
        answered = await driver.journal.close(max(500.0, end - now_ms())) and answered
    closed = await second.drain(max(100.0, min(1000.0, end - now_ms())))
    closed = closed and await server.drain(max(500.0, end - now_ms()), deployment.front.linger_ms)
    background.stop()
    if plans is not None:
        await plans.stop()
    if inner is not None:
        await inner.stop()
    if fleet is not None:
        await fleet.peers.stop()
    if harmed_clock is not None:
        harmed_clock.stop()
    control.stop_listening()
    control.abort_all()
    follower.cancel()
    counts = gateway.counts
    log.info(
        "ended",
        clean=answered and closed,
        taken=counts.taken,
        completed=counts.completed,
        rejected=counts.rejected,
        aborted=counts.aborted,
        sends=counts.sends,
        orders=counts.orders,
    )
    return answered and closed
