"""Joins VRRP to a running dispatcher: front addresses, what is tracked, and the looks that tracking needs."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from kelptrail.clock import now_ms
from kelptrail.front.invoke.api import InvokeApi
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.net.grpc_server import GrpcServer
from kelptrail.net.server import Handler, HttpServer, Limits
from kelptrail.settings.deployment import FrontSettings, VrrpSettings
from kelptrail.vrrp.address import FrontAddress
from kelptrail.vrrp.authentication import Key, Opener, Sealer
from kelptrail.vrrp.driver import VrrpDriver, next_epoch, parse_socket_address
from kelptrail.vrrp.instance import Instance
from kelptrail.vrrp.state_machine import RouterSettings
from kelptrail.vrrp.tracking import Tracking, TrackSettings

LOOK_MS = 200.0  # how often what is tracked is told
LOOKED_AT = 3  # workers that are tried when no send tells whether any can be reached


class FrontAddresses:
    """One dispatcher's part in the virtual routers of its deployment."""

    def __init__(
        self,
        settings: VrrpSettings,
        name: str,
        state: Path | None,
        driver: GatewayDriver,
        api: InvokeApi,
        limits: Limits,
        front: FrontSettings,
        log: Any,
        journal: Callable[[], bool] = lambda: True,
        make: Callable[[Handler], HttpServer] | None = None,
        second: Callable[[], GrpcServer] | None = None,
    ) -> None:
        mine = next(i for i in settings.instance if i.name == name)
        others = [i for i in settings.instance if i.name != name]
        primary = ip_address(parse_socket_address(mine.udp)[0])
        peers = {ip_address(parse_socket_address(i.udp)[0]): parse_socket_address(i.reached_at) for i in others}
        routers, self.addresses = [], dict[int, FrontAddress]()
        for router in settings.router:
            part = next((m for m in router.member if m.name == name), None)
            if part is not None:
                vrid = int(router.vrid)
                routers.append(
                    RouterSettings(
                        vrid,
                        part.priority,
                        (ip_address(router.address),),
                        router.interval_cs,
                        router.preempt,
                        router.accept,
                    )
                )
                self.addresses[vrid] = FrontAddress(
                    router.address,
                    router.port,
                    api.handle,
                    limits,
                    log,
                    front.linger_ms,
                    make,
                    second,
                    router.grpc_port,
                )
        sealer = opener = None
        if settings.key:
            if state is None:
                raise ValueError("a vrrp key needs --state: the count of starts is kept there")
            keys = tuple(Key(int(k.number), k.secret.encode()) for k in settings.key)
            sealer = Sealer(keys[0], next_epoch(state / "vrrp-epoch"), primary)
            opener = Opener(keys)
        tracking = Tracking([TrackSettings(t.name, t.weight, t.fall_ms, t.rise_ms, t.release) for t in settings.track])
        instance = Instance(primary, tuple(peers), routers, tracking, sealer, opener, settings.pseudo_header)
        self._driver, self._log = driver, log
        self._loop = asyncio.get_running_loop()
        self._turned_away = 0
        self._journal = journal  # whether what must be kept on disk can be
        self._turn = 0
        self.vrrp = VrrpDriver(
            instance,
            parse_socket_address(mine.udp),
            peers,
            lambda vrid: self.addresses[vrid].take(),
            lambda vrid: self.addresses[vrid].give_up(front.drain_ms),
            log,
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Take part."""
        self.vrrp.start()
        self._task = self._loop.create_task(self._look())

    async def stop(self) -> None:
        """Release what is held and wait for what was taken there."""
        if self._task is not None:
            self._task.cancel()
        self.vrrp.stop()
        await asyncio.gather(*(address.left() for address in self.addresses.values()))

    def servers(self) -> list[HttpServer]:
        """The servers on addresses that are held now."""
        return [address.server for address in self.addresses.values() if address.server is not None]

    async def _look(self) -> None:
        """Tell what is tracked; look for workers only while no send tells of them."""
        sight = self._driver.connection_health
        while True:
            await asyncio.sleep(LOOK_MS / 1000)
            if "workers" in self.vrrp.instance.tracking.tracks:
                well = sight.is_healthy(now_ms())
                if well is None:
                    sight.on_connect_result(now_ms(), await self._reach_any())
                    well = sight.is_healthy(now_ms())
                self.vrrp.told("workers", bool(well))
            servers = self.servers()
            away = sum(server.rejected_connections for server in servers)
            full = any(server.connections >= server.limits.connections for server in servers)
            self.vrrp.told("front", not full and away <= self._turned_away)
            self._turned_away = away
            self.vrrp.told("journal", self._journal())

    async def _reach_any(self) -> bool:
        """Whether a connection to any of a few workers can be made."""
        addresses = [self._driver.gateway.members.addresses[w] for w in self._driver.gateway.members if w.live]
        for _ in range(min(LOOKED_AT, len(addresses))):
            self._turn += 1
            host, port = parse_socket_address(addresses[self._turn % len(addresses)])
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            try:
                async with asyncio.timeout(0.25):
                    await self._loop.sock_connect(sock, (host, port))
                return True
            except OSError:
                continue
            finally:
                sock.close()
        return False
