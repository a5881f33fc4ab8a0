"""Connects VRRP to a running dispatcher: its front addresses, and the tracked objects that lower its priority."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any, NamedTuple

from kelptrail.clock import now_ms
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.net.server import HttpServer
from kelptrail.settings.deployment import KeySettings, RouterConfig, VrrpSettings
from kelptrail.vrrp.address import FrontAddress, FrontService
from kelptrail.vrrp.authentication import Key, Signer, Verifier
from kelptrail.vrrp.driver import VrrpDriver, next_epoch, parse_socket_address
from kelptrail.vrrp.instance import Instance
from kelptrail.vrrp.packet import Address
from kelptrail.vrrp.state_machine import RouterSettings
from kelptrail.vrrp.tracking import Tracking, TrackSettings

from .errors import StateFolderError

HEALTH_INTERVAL_MS = 200.0  # interval between health checks of the tracked objects
MAX_WORKERS_PROBED = 3  # limit for one health check, if recent attempts give no result
PROBE_TIMEOUT_S = 0.25
EPOCH_FILE = "vrrp-epoch"


class FrontAddresses:
    """The VRRP instance of a dispatcher and its front addresses."""

    def __init__(
        self,
        settings: VrrpSettings,
        name: str,
        state_folder: Path | None,
        driver: GatewayDriver,
        service: FrontService,
        log: Any,
        journal_usable: Callable[[], bool] = lambda: True,
    ) -> None:
        """Build the VRRP instance of the dispatcher `name`.

        `journal_usable` returns whether the data that must be stored on disk can be written.  Raises
        `StateFolderError` if a key is configured and there is no state folder.
        """
        self._driver, self._log = driver, log
        self._loop = asyncio.get_running_loop()
        self._journal_usable = journal_usable
        self._rejected_before = 0  # sum of the connections rejected by the active servers, at the last check
        self._probe_count = 0  # probes so far, which determine the next worker
        self._task: asyncio.Task[None] | None = None
        self.addresses: dict[int, FrontAddress] = {}  # front address by virtual router identifier
        routers: list[RouterSettings] = []
        for router in settings.router:
            own = _router_settings(router, name)
            if own is not None:
                routers.append(own)
                self.addresses[own.vrid] = FrontAddress(router.address, router.port, service, log, router.grpc_port)
        self.vrrp = self._make_driver(settings, name, state_folder, routers)

    def _make_driver(
        self, settings: VrrpSettings, name: str, state_folder: Path | None, routers: list[RouterSettings]
    ) -> VrrpDriver:
        own_instance = next(instance for instance in settings.instance if instance.name == name)
        others = [instance for instance in settings.instance if instance.name != name]
        own_address = parse_socket_address(own_instance.udp)
        primary = ip_address(own_address[0])
        # The source address of each peer's datagrams, and where to send to: a proxy may lie between.
        peers = {
            ip_address(parse_socket_address(other.udp)[0]): parse_socket_address(other.address_for_peers)
            for other in others
        }
        authentication = _authentication(settings.key, state_folder, primary)
        instance = Instance(
            primary,
            tuple(peers),
            routers,
            _tracking(settings),
            authentication.signer,
            authentication.verifier,
            settings.pseudo_header,
        )
        return VrrpDriver(instance, own_address, peers, self._acquire, self._release, self._log)

    def start(self) -> None:
        """Start VRRP and the health checks."""
        self.vrrp.start()
        self._task = self._loop.create_task(self._watch_health())

    async def stop(self) -> None:
        """Release the addresses and wait until their servers have drained, or their drain time is over."""
        if self._task is not None:
            self._task.cancel()
        self.vrrp.stop()
        await asyncio.gather(*(address.wait_closed() for address in self.addresses.values()))

    def active_servers(self) -> list[HttpServer]:
        """Return the HTTP servers on the addresses that this dispatcher currently holds."""
        return [address.server for address in self.addresses.values() if address.server is not None]

    def _acquire(self, vrid: int) -> None:
        self.addresses[vrid].acquire()

    def _release(self, vrid: int) -> None:
        self.addresses[vrid].release()

    async def _watch_health(self) -> None:
        """Report the state of the tracked objects to VRRP until cancelled."""
        while True:
            await asyncio.sleep(HEALTH_INTERVAL_MS / 1000)
            # Workers are probed only if they are tracked; `on_health` ignores names that are not tracked.
            if "workers" in self.vrrp.instance.tracking.tracks:
                self.vrrp.on_health("workers", await self._workers_reachable())
            self.vrrp.on_health("front", self._front_has_capacity())
            self.vrrp.on_health("journal", self._journal_usable())

    async def _workers_reachable(self) -> bool:
        """Return whether workers are reachable according to recent attempts, or to probes if these give no result."""
        health = self._driver.worker_calls.connection_health
        healthy = health.is_healthy(now_ms())
        if healthy is None:
            health.on_connect_result(now_ms(), await self._can_reach_a_worker())
            healthy = health.is_healthy(now_ms())
        return bool(healthy)

    def _front_has_capacity(self) -> bool:
        """Return whether no active HTTP server is full and the sum of their rejected connections has not grown.

        The sum is compared with that of the last check; a server that is no longer active is not part of it.
        """
        servers = self.active_servers()
        rejected = sum(server.rejected_connections for server in servers)
        full = any(server.connections >= server.limits.connections for server in servers)
        has_capacity = not full and rejected <= self._rejected_before
        self._rejected_before = rejected
        return has_capacity

    async def _can_reach_a_worker(self) -> bool:
        """Probe up to `MAX_WORKERS_PROBED` workers in turn; return whether a connection to one of them succeeds."""
        members = self._driver.gateway.members
        addresses = [members.addresses[worker] for worker in members if worker.live]
        for _ in range(min(MAX_WORKERS_PROBED, len(addresses))):
            self._probe_count += 1
            if await self._can_connect(addresses[self._probe_count % len(addresses)]):
                return True
        return False

    async def _can_connect(self, address: str) -> bool:
        host, port = parse_socket_address(address)
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._loop.sock_connect(sock, (host, port))
            return True
        except OSError:  # includes `TimeoutError`
            return False
        finally:
            sock.close()


def _router_settings(router: RouterConfig, name: str) -> RouterSettings | None:
    """Return the settings of dispatcher `name` in a virtual router, or None if it is not a member."""
    member = next((member for member in router.member if member.name == name), None)
    if member is None:
        return None
    return RouterSettings(
        int(router.vrid),
        member.priority,
        (ip_address(router.address),),
        router.interval_cs,
        router.preempt,
        router.accept,
    )


class _Authentication(NamedTuple):
    """Signer and verifier of advertisements; both are None if no keys are configured."""

    signer: Signer | None
    verifier: Verifier | None


def _authentication(keys: list[KeySettings], state_folder: Path | None, primary: Address) -> _Authentication:
    """Return a signer with the first key and a verifier that accepts all keys.

    Raises `StateFolderError` if there is a key but no state folder.
    """
    if not keys:
        return _Authentication(None, None)
    if state_folder is None:
        raise StateFolderError("a vrrp key needs --state to store the number of starts")
    accepted = tuple(Key(int(key.number), key.secret.encode()) for key in keys)
    return _Authentication(Signer(accepted[0], next_epoch(state_folder / EPOCH_FILE), primary), Verifier(accepted))


def _tracking(settings: VrrpSettings) -> Tracking:
    return Tracking([TrackSettings(t.name, t.weight, t.fall_ms, t.rise_ms, t.release) for t in settings.track])
