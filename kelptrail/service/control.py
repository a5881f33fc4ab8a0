"""A dispatcher's control port: status for operators as JSON.  The only command is to retire.

The keys of the answers are an interface: operators' tools read them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from kelptrail.codec.http import Request
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.net.grpc_server import GrpcServer
from kelptrail.net.server import Exchange, HttpServer
from kelptrail.net.tls import CertificateReloader

from .front_addresses import FrontAddresses


class Control:
    """`GET /state`, `GET /vrrp`, `GET /leases`, `GET /usage`, `GET /copies`, `POST /retire`."""

    def __init__(
        self,
        driver: GatewayDriver,
        front: HttpServer,
        grpc: GrpcServer,
        front_addresses: FrontAddresses | None,
        reloaders: dict[str, CertificateReloader] | None = None,
        sections: dict[str, Callable[[], Any]] | None = None,
        retire: Callable[[], None] | None = None,
    ) -> None:
        self._retire = retire
        self._reloaders, self._sections = reloaders or {}, sections or {}
        self._driver, self._front, self._grpc, self._front_addresses = driver, front, grpc, front_addresses

    def handle(self, request: Request, exchange: Exchange) -> None:
        """Answer one request."""
        if request.method == "POST" and request.path == "/retire" and self._retire is not None:
            self._retire()
            exchange.reply(202, b"{}")
        elif request.method != "GET":
            exchange.reply(405, b'{"error":"only GET"}', {"allow": "GET"})
        elif request.path == "/state":
            exchange.reply(200, msgspec.json.encode(self._state()))
        elif request.path == "/vrrp" and self._front_addresses is not None:
            exchange.reply(200, msgspec.json.encode(self._front_addresses.vrrp.status()))
        elif request.path == "/leases" and "leases" in self._sections:
            exchange.reply(200, msgspec.json.encode(self._sections["leases"]() | {"peers": self._sections["peers"]()}))
        elif request.path == "/leases":
            exchange.reply(404, b'{"error":"no leases section in the settings"}')
        elif request.path == "/copies" and "copies" in self._sections:
            exchange.reply(200, msgspec.json.encode(self._sections["copies"]()))
        elif request.path == "/copies":
            exchange.reply(404, b'{"error":"no copies in the settings"}')
        elif request.path == "/usage" and "usage" in self._sections:
            exchange.reply(200, msgspec.json.encode(self._sections["usage"]()))
        elif request.path == "/vrrp":
            exchange.reply(404, b'{"error":"no vrrp section in the settings"}')
        else:
            exchange.reply(404, b'{"error":"no such thing"}')

    def _state(self) -> dict[str, Any]:
        gateway = self._driver.gateway
        counts = gateway.counts
        return {
            "in_hand": gateway.in_flight,
            "taken": counts.taken,
            "completed": counts.completed,
            "rejected": counts.rejected,
            "aborted": counts.aborted,
            "sends": counts.sends,
            "orders": counts.orders,
            "second_sends": counts.second_sends,
            "second_saved": counts.second_saved,
            "journal": self._journal(),
            "connections": self._front.connections,
            "unread_bytes": self._front.unwritten_bytes,
            "slow_readers_cut": self._front.slow_readers_closed,
            "connected_early": self._front.rejected_by_pace + self._grpc.rejected_by_pace,
            "grpc": {
                "connections": self._grpc.connections,
                "streams": self._grpc.open_streams,
                "unread_bytes": self._grpc.unwritten_bytes,
                "partial_bytes": self._grpc.partial_bytes,
                "cut": self._grpc.slow_readers_closed,
                "floods": self._grpc.floods_stopped,
                "faults": self._grpc.protocol_errors,
            },
            "storm": gateway.overload.status(),
            "tls": {name: reloader.status() for name, reloader in self._reloaders.items()},
            "held_bytes": gateway.holdings.bytes,
            "refused": dict(gateway.holdings.refused),
            "records": len(gateway.records),
            "record_bytes": gateway.records.held_bytes,
            "outcomes": {outcome.value: n for outcome, n in counts.outcomes.items()},
            "workers": {w.id: w.state.value for w in gateway.members},
        } | {name: status() for name, status in self._sections.items()}

    def _journal(self) -> dict[str, Any] | None:
        journal = self._driver.gateway.journal
        if journal is None:
            return None
        return {
            "commits": journal.commits,
            "entries": journal.entries,
            "failures": journal.failures,
            "waiting": journal.waiting,
            "failing": journal.failing,
            "reason": journal.reason,
        }
