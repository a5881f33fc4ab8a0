"""A dispatcher's control port: status for operators as JSON, and one command, `POST /retire`.

The command moves the dispatcher's journals and replicas to other dispatchers, before its machine is removed.
Operators' tools read the keys of the responses, so they are a public interface.
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

MISSING_STATUS = {
    "/leases": b'{"error":"no leases section in the settings"}',
    "/copies": b'{"error":"no copies in the settings"}',  # copies are journal replicas
    "/vrrp": b'{"error":"no vrrp section in the settings"}',
}


class Control:
    """Handles `GET /state`, `GET /vrrp`, `GET /leases`, `GET /usage`, `GET /copies` and `POST /retire`.

    `status_sections`: functions that return the status of the dispatcher's other components, by section name.
    `drain_replication`: starts to move journals and replicas to other dispatchers; None without replication, where
    `/retire` is answered 405.
    """

    def __init__(
        self,
        driver: GatewayDriver,
        front: HttpServer,
        grpc: GrpcServer,
        front_addresses: FrontAddresses | None,
        reloaders: dict[str, CertificateReloader] | None = None,
        status_sections: dict[str, Callable[[], Any]] | None = None,
        drain_replication: Callable[[], None] | None = None,
    ) -> None:
        self._drain_replication = drain_replication
        self._reloaders, self._status_sections = reloaders or {}, status_sections or {}
        self._driver, self._front, self._grpc, self._front_addresses = driver, front, grpc, front_addresses

    def handle(self, request: Request, exchange: Exchange) -> None:
        """Answer one request."""
        if request.method == "POST" and request.path == "/retire" and self._drain_replication is not None:
            self._drain_replication()
            exchange.reply(202, b"{}")
        elif request.method != "GET":
            exchange.reply(405, b'{"error":"only GET"}', {"allow": "GET"})
        else:
            self._reply_status(request.path, exchange)

    def _reply_status(self, path: str, exchange: Exchange) -> None:
        """Reply with the status at a path, or with 404 and the reason why there is none."""
        status = self._status_sources().get(path)
        if status is not None:
            exchange.reply(200, msgspec.json.encode(status()))
        else:
            exchange.reply(404, MISSING_STATUS.get(path, b'{"error":"no such thing"}'))

    def _status_sources(self) -> dict[str, Callable[[], Any]]:
        """Return the function that computes the status, for each path that this dispatcher serves."""
        sources: dict[str, Callable[[], Any]] = {"/state": self._state}
        if self._front_addresses is not None:
            sources["/vrrp"] = self._front_addresses.vrrp.status
        if "leases" in self._status_sections:
            sources["/leases"] = lambda: self._status_sections["leases"]() | {"peers": self._status_sections["peers"]()}
        if "copies" in self._status_sections:
            sources["/copies"] = self._status_sections["copies"]
        if "usage" in self._status_sections:
            sources["/usage"] = self._status_sections["usage"]
        return sources

    def _state(self) -> dict[str, Any]:
        """Return the response to `/state`.

        The keys are part of the interface and differ from the names in the code: for example, a send is an attempt, a
        second send a retry or hedge, the storm is overload, held bytes are the bodies of requests in flight.
        """
        gateway = self._driver.gateway
        counts = gateway.counts
        return {
            "in_hand": gateway.in_flight,
            "taken": counts.received,
            "completed": counts.completed,
            "rejected": counts.rejected,
            "aborted": counts.failed,
            "sends": counts.attempts,
            "orders": counts.load_orders,
            "second_sends": counts.repeat_attempts,
            "second_saved": counts.useful_repeats,
            "journal": self._journal(),
            "connections": self._front.connections,
            "unread_bytes": self._front.unwritten_bytes,  # response bytes that clients have not read yet
            "slow_readers_cut": self._front.slow_readers_closed,
            # Connections rejected because clients connected faster than the allowed pace.
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
            "held_bytes": gateway.limits.bytes,
            "refused": dict(gateway.limits.rejections),
            "records": len(gateway.records),
            "record_bytes": gateway.records.ended_bytes,
            "outcomes": {outcome.value: n for outcome, n in counts.attempt_statuses.items()},
            "workers": {w.id: w.state.value for w in gateway.members},
        } | {name: status() for name, status in self._status_sections.items()}

    def _journal(self) -> dict[str, Any] | None:
        journal = self._driver.gateway.durability.journal
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
