"""Runs a VRRP instance over UDP on the event loop.

Reads all waiting datagrams before timers fire, and sends its own with a TTL of 255.  Unicast to configured peers
replaces multicast, and a UDP port replaces IP protocol 112 (RFC 9568 section 5.1).  The source address identifies the
sender; the TTL of each datagram is checked (sections 5.1.1.3 and 5.1.2.3).
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from kelptrail.clock import now_ms, wall_ms

from .instance import Datagram, Instance
from .packet import Address
from .state_machine import AcquireAddress, ReleaseAddress, StateChange

TTL = 255
IP_RECVTTL = 12  # see ip(7); not every Python version defines it in the socket module
SocketAddress = tuple[str, int]


def parse_socket_address(text: str) -> SocketAddress:
    """Parse `address:port`; an IPv6 address may be in brackets."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def next_epoch(file: Path) -> int:
    """Return the epoch of this start and store it in `file`.

    It is larger than the stored one and at least the wall clock in milliseconds, so that it also grows after the file
    was lost, unless the clock was set back.  Raises `OSError` if it cannot be stored.
    """
    last = 0
    with contextlib.suppress(FileNotFoundError, ValueError):
        last = int(file.read_text())
    epoch = max(last + 1, int(wall_ms()))
    new_file = file.with_suffix(".new")
    with open(new_file, "w", encoding="ascii") as out:
        out.write(str(epoch))
        out.flush()
        os.fsync(out.fileno())
    new_file.replace(file)
    return epoch


class VrrpDriver:
    """Runs an `Instance`; calls `acquire` and `release` with the identifier of a virtual router to move its address."""

    def __init__(
        self,
        instance: Instance,
        local_address: SocketAddress,
        peers: dict[Address, SocketAddress],
        acquire: Callable[[int], None],
        release: Callable[[int], None],
        log: Any,
    ) -> None:
        self.instance, self._peers, self._log = instance, peers, log
        self._acquire, self._release = acquire, release
        self._loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in local_address[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET:
            self._sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, TTL)
            self._sock.setsockopt(socket.IPPROTO_IP, IP_RECVTTL, 1)
        else:
            self._sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_UNICAST_HOPS, TTL)
            self._sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_RECVHOPLIMIT, 1)
        self._sock.bind(local_address)
        self._timer: asyncio.TimerHandle | None = None
        # Maximum time between two ticks: a quarter of the shortest advertisement interval, within 5 to 100 ms.
        self._max_wait_ms = max(5.0, min(100.0, instance.shortest_interval_ms / 4))

    def start(self) -> None:
        """Start receiving and trigger the Startup event (RFC 9568 section 6.4)."""
        self._loop.add_reader(self._sock.fileno(), self._on_readable)
        self.instance.startup(now_ms())
        self._perform_outputs()

    def stop(self) -> None:
        """Trigger the Shutdown event (RFC 9568 section 6.4) and close the socket.

        A Master advertises priority 0 and releases its addresses.
        """
        self.instance.shutdown(now_ms())
        self._perform_outputs()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def on_health(self, name: str, healthy: bool) -> None:
        """Pass the observed health of a tracked object to the instance."""
        self.instance.on_health(now_ms(), name, healthy)
        self._perform_outputs()

    def _on_readable(self) -> None:
        self._read_all()
        self._perform_outputs()

    def _read_all(self) -> None:
        """Read all waiting datagrams; a process that was suspended must do so before it advertises."""
        while True:
            try:
                data, extra, _, source = self._sock.recvmsg(4096, 64)
            except BlockingIOError:
                return
            except OSError as cause:  # an ICMP error caused by an earlier send
                self.instance.counters["socket-error"] += 1
                self._log.debug("vrrp-socket-error", reason=str(cause))
                return
            hops = next(
                (
                    struct.unpack("i", value[:4])[0]
                    for level, kind, value in extra
                    if (level, kind)
                    in ((socket.IPPROTO_IP, socket.IP_TTL), (socket.IPPROTO_IPV6, socket.IPV6_HOPLIMIT))
                ),
                None,
            )
            self.instance.on_datagram(now_ms(), data, ip_address(source[0]), hops)

    def _on_timer(self) -> None:
        self._timer = None
        self._read_all()
        self.instance.tick(now_ms())
        self._perform_outputs()

    def _perform_outputs(self) -> None:
        """Perform the instance's outputs and set the timer for its next tick."""
        outputs = self.instance.outputs
        while outputs:
            output = outputs.popleft()
            if isinstance(output, Datagram):
                try:
                    self._sock.sendto(output.data, self._peers[output.to])
                except OSError as cause:
                    self.instance.counters["unsent"] += 1
                    self._log.warning("vrrp-send-failed", to=str(output.to), reason=str(cause))
            elif isinstance(output, AcquireAddress):
                self._acquire(output.vrid)
            elif isinstance(output, ReleaseAddress):
                self._release(output.vrid)
            elif isinstance(output, StateChange):
                self._log.info(
                    "vrrp-state-changed",
                    router=output.vrid,
                    before=output.before.value,
                    after=output.after.value,
                    cause=output.cause,
                )
        if self._timer is not None:
            self._timer.cancel()
        now, due = now_ms(), self.instance.next_due()
        wait = self._max_wait_ms if due is None else max(0.0, min(self._max_wait_ms, due - now))
        self._timer = self._loop.call_later(wait / 1000, self._on_timer)

    def status(self) -> dict[str, Any]:
        """Return the status that the control port serves as `/vrrp`.

        Among its keys, `learnt_interval_ms` is Master_Adver_Interval, and `well` the last observed health.
        """
        now, instance = now_ms(), self.instance
        return {
            "primary": str(instance.primary),
            "peers": [str(peer) for peer in instance.peers],
            "routers": [
                {
                    "vrid": r.settings.vrid,
                    "addresses": [str(a) for a in r.settings.addresses],
                    "state": r.state.value,
                    "for_ms": round(now - r.since),
                    "priority": r.priority,
                    "base_priority": r.settings.priority,
                    "preempt": r.settings.preempt,
                    "accept": r.settings.accept,
                    "interval_ms": r.interval_ms,
                    "learnt_interval_ms": r.master_interval_cs * 10,
                    "skew_ms": round(r.skew_ms, 1),
                    "master_down_interval_ms": round(r.master_down_ms, 1),
                    "timers_ms": {name: round(remaining_ms, 1) for name, remaining_ms in r.running_timers(now).items()},
                }
                for r in instance.routers.values()
            ],
            "tracked": {
                name: {"well": t.healthy, "failed": t.failed, "weight": t.settings.weight, "rise_ms": t.rise_ms}
                for name, t in instance.tracking.tracks.items()
            },
            "counts": dict(sorted(instance.counters.items())),
            "transitions": [
                {
                    "router": change.vrid,
                    "before": change.before.value,
                    "after": change.after.value,
                    "cause": change.cause,
                    "ago_ms": round(now - change.at),
                }
                for change in instance.history
            ],
        }
