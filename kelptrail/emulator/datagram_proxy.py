"""UDP proxy for VRRP datagrams with seeded faults: loss, delay, duplication, reordering and (one-way) partitions.

For each VRRP instance it listens at the address that peers send to (`via`), and forwards to the address of the instance
(`udp`).  The sender's IP address identifies the sending instance, and the proxy forwards from the same address.  Every
datagram between instances is captured; those from other addresses are dropped without a record.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import msgspec

from kelptrail.codec.http import Request
from kelptrail.net.server import Exchange, HttpServer
from kelptrail.settings.deployment import VrrpSettings
from kelptrail.vrrp.driver import TTL, SocketAddress, parse_socket_address

from .capture import Capture
from .network_faults import NetworkFaults

DATAGRAM_BYTES = 4096
RANDOM_SALT = 3  # separates this proxy's random numbers from others of the same seed


class DatagramProxy:
    """Proxies the datagrams of all VRRP instances.

    Requests to its control port set `loss` and `copy` (shares of datagrams that are lost or duplicated), `delay_ms` (a
    minimum and a maximum) and `cut` (ordered pairs of instances without a link).
    """

    def __init__(self, settings: VrrpSettings, capture: Capture, seed: int) -> None:
        self._capture, self._faults = capture, NetworkFaults(seed, RANDOM_SALT)
        self._loop = asyncio.get_running_loop()
        self._names_by_address = {parse_socket_address(i.udp)[0]: i.name for i in settings.instance}
        self._loss = self._duplication = 0.0
        self._delay_range = (0.0, 0.0)
        self._send_sockets: dict[str, socket.socket] = {}
        for instance in settings.instance:
            send_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            send_socket.setblocking(False)
            send_socket.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, TTL)
            send_socket.bind((parse_socket_address(instance.udp)[0], 0))
            self._send_sockets[instance.name] = send_socket
        for instance in settings.instance:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(parse_socket_address(instance.address_for_peers))
            self._loop.add_reader(
                sock.fileno(), self._on_readable, sock, instance.name, parse_socket_address(instance.udp)
            )
        self.server = HttpServer(self._handle_settings)

    def _on_readable(self, sock: socket.socket, to: str, address: SocketAddress) -> None:
        while True:
            try:
                data, source = sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            sender = self._names_by_address.get(source[0])
            if sender is None:
                continue
            fate = "sent"
            if (sender, to) in self._faults.cut:
                fate = "cut"
            elif self._faults.draw(self._loss):
                fate = "lost"
            # The first three bytes of an advertisement: version and type, VRID, priority (RFC 9568 section 5).
            self._capture.write("advert", sender=sender, to=to, vrid=data[1], priority=data[2], fate=fate)
            if fate != "sent":
                continue
            for _ in range(2 if self._faults.draw(self._duplication) else 1):
                delay_ms = float(self._faults.random.uniform(*self._delay_range))
                self._loop.call_later(delay_ms / 1000, self._send, sender, data, address)

    def _send(self, sender: str, data: bytes, address: SocketAddress) -> None:
        try:
            self._send_sockets[sender].sendto(data, address)
        except OSError as cause:
            self._capture.write("relay-unsent", reason=str(cause))

    def _handle_settings(self, request: Request, exchange: Exchange) -> None:
        body: dict[str, Any] = msgspec.json.decode(request.body) if request.body else {}
        self._loss = float(body.get("loss", self._loss))
        self._duplication = float(body.get("copy", self._duplication))
        if "delay_ms" in body:
            self._delay_range = (float(body["delay_ms"][0]), float(body["delay_ms"][1]))
        self._faults.apply(body)
        self._capture.write(
            "relay", loss=self._loss, copy=self._duplication, delay_ms=self._delay_range, cut=sorted(self._faults.cut)
        )
        exchange.reply(200, b"{}")
