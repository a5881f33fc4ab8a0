"""The edge's connections to planners: passes plans to the gateway, sends reports, and keeps the plan on disk.

Background jobs send reports and save plans, so a slow or disconnected planner does not delay requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import zstandard

from kelptrail.clock import now_ms, wall_ms
from kelptrail.gateway.core import Gateway
from kelptrail.peers.messages import ChannelError, FrameReader, Heartbeat, encode_frame
from kelptrail.store.atomic_file import replace_file

from .channel import MESSAGE_DECODER, EdgeChannel, LeaderContact, PlanResult
from .plan import BEFORE_ALL_PLANS, EndpointsVersion, Plan, PlanOrder
from .plan_follower import PlanState

HEARTBEAT_MS = 500.0
READ_TIMEOUT_MS = 3000.0  # time without data from the planner after which the connection is closed
CONNECT_TIMEOUT_S = 2.0
MIN_BACKOFF_MS, MAX_BACKOFF_MS, BACKOFF_FACTOR = 300.0, 5000.0, 1.6
STABLE_MS = 10_000.0  # a connection that lasts longer resets the backoff
MAX_UNPACKED_BYTES = 1 << 26
READ_BYTES = 65_536


class SavedPlan(msgspec.Struct, frozen=True):
    """A plan on disk, the time in ms for which it was still valid when saved, and the wall-clock time of saving."""

    plan: Plan
    remaining_ms: float = msgspec.field(name="left_ms")
    saved_wall_ms: float = msgspec.field(name="wall_ms")


_decode = msgspec.msgpack.Decoder(SavedPlan).decode


class PlanFollower:
    """Connections of one edge to all its planners.  `on_change` is called after a plan was passed to the gateway."""

    def __init__(
        self,
        addresses: list[str],
        name: str,
        lineage: str,
        gateway: Gateway,
        on_change: Callable[[], None],
        file: Path | None,
        log: Any,
    ) -> None:
        self._addresses, self._name, self._lineage, self._gateway = addresses, name, lineage, gateway
        self._on_change, self._file, self._log = on_change, file, log
        self.plan_state, self.leader_contact = PlanState(lineage), LeaderContact(now_ms())
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self._channels: dict[EdgeChannel, socket.socket] = {}
        self._applied_order: PlanOrder | None = None  # order of the gateway's plan; None: pass the plan again
        self._saved_order: PlanOrder = BEFORE_ALL_PLANS
        self.bytes_in = self.bytes_out = self.reconnects = 0

    @property
    def live_workers(self) -> set[str]:
        """Ids of the workers that are live in the edge's own endpoint list."""
        return {worker.id for worker in self._gateway.members if worker.live}

    @property
    def endpoints_version(self) -> EndpointsVersion:
        """Lineage and version of the edge's own endpoint list."""
        return EndpointsVersion(self._gateway.members.lineage, self._gateway.members.version)

    def load_saved_plan(self) -> bool:
        """Load the plan on disk and return whether it is followed; see `PlanState.restore`."""
        if self._file is None or not self._file.exists():
            return False
        try:
            saved = _decode(zstandard.ZstdDecompressor().decompress(self._file.read_bytes(), MAX_UNPACKED_BYTES))
        except (OSError, zstandard.ZstdError, msgspec.MsgspecError) as cause:
            self._log.warning("saved-plan-unusable", file=str(self._file), reason=str(cause))
            return False
        remaining_ms = saved.remaining_ms - max(0.0, wall_ms() - saved.saved_wall_ms)
        restored = self.plan_state.restore(now_ms(), saved.plan, remaining_ms, self.live_workers)
        self._saved_order = saved.plan.header.order
        self.apply_plan()
        return restored

    def start(self) -> None:
        """Connect to the planners."""
        self._tasks = [self._loop.create_task(self._keep_connected(address)) for address in self._addresses]

    async def stop(self) -> None:
        """Close the connections and save the plan."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.save_plan()

    def on_endpoints(self) -> None:
        """Check a plan that waited for the new endpoint list, and pass the plan in force to the gateway again."""
        refusal = self.plan_state.on_endpoints(now_ms(), self.live_workers, self.endpoints_version)
        if refusal is not None:
            self._log.warning("plan-refused", reason=refusal.reason.value, text=refusal.text)
        self._applied_order = None  # the plan may use workers that only the new list has
        self.apply_plan()

    def apply_plan(self) -> None:
        """Pass the plan in force to the gateway, or None if there is none; do nothing if that was passed already."""
        target = self.plan_state.target(now_ms())
        order = (
            self.plan_state.plan.header.order
            if target is not None and self.plan_state.plan is not None
            else BEFORE_ALL_PLANS
        )
        if order != self._applied_order:
            self._applied_order = order
            self._gateway.on_plan(target)
            self._on_change()

    def send_reports(self) -> None:
        """Send the due report on each connection whose previous output has been sent; a background job."""
        now = now_ms()
        self.apply_plan()  # the plan may have expired
        counters = self._gateway.counters()
        for channel in self._channels:
            channel.add_counters(counters)
        ready = [
            channel
            for channel in self._channels
            if channel.report_due(now) and not channel.output and not channel.writing
        ]
        loaded = self._gateway.loaded_instances() if ready else {}
        for channel in ready:
            channel.queue_report(now, loaded)
            self._write(channel)

    def save_plan(self) -> None:
        """Save the latest plan for the next start, unless it is saved already; a background job."""
        plan = self.plan_state.plan
        if self._file is None or plan is None or plan.header.order == self._saved_order:
            return
        saved = SavedPlan(plan, self.plan_state.remaining_ms(now_ms()), wall_ms())
        try:
            replace_file(self._file, zstandard.ZstdCompressor().compress(msgspec.msgpack.encode(saved)))
            self._saved_order = plan.header.order
        except OSError as cause:
            self._log.warning("plan-not-saved", reason=str(cause))

    def status(self) -> dict[str, Any]:
        """Return the `plan` section of the status that the control port reports."""
        state, plan = self.plan_state, self.plan_state.plan
        return {
            "planners": {channel.planner: round(now_ms() - channel.last_received_ms) for channel in self._channels},
            "order": list(state.fence),
            "taken": state.accepted,
            "left_ms": round(state.remaining_ms(now_ms())),
            "models": len(plan.instances) if plan is not None else 0,
            "refused": {reason.value: count for reason, count in state.refusals.items() if count},
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
            "reconnects": self.reconnects,
        }

    async def _keep_connected(self, address: str) -> None:
        """Keep one connection open; reconnect with backoff after it has failed."""
        backoff_ms = MIN_BACKOFF_MS
        while True:
            started_at = now_ms()
            try:
                await self._follow_planner(address)
                reason = "the planner closed the connection"
            except (OSError, ChannelError) as cause:
                reason = str(cause) or type(cause).__name__
            self.reconnects += 1
            self._log.info("planner-lost", address=address, reason=reason)
            stable = now_ms() - started_at > STABLE_MS
            backoff_ms = MIN_BACKOFF_MS if stable else min(MAX_BACKOFF_MS, backoff_ms * BACKOFF_FACTOR)
            await asyncio.sleep(backoff_ms / 1000)

    async def _follow_planner(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        channel: EdgeChannel | None = None
        heartbeats: asyncio.Task[None] | None = None
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.sock_connect(sock, (host.strip("[]"), int(port)))
            channel = EdgeChannel(self._name, self._lineage, self.plan_state, self.leader_contact, now_ms())
            self._channels[channel] = sock
            self._write(channel)
            heartbeats = self._loop.create_task(self._send_heartbeats(channel))
            reader, buffer = FrameReader(MESSAGE_DECODER), bytearray(READ_BYTES)
            while True:
                async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                    count = await self._loop.sock_recv_into(sock, buffer)
                if not count:
                    return
                self.bytes_in += count
                with memoryview(buffer) as view:
                    messages = reader.feed(view[:count])
                for message in messages:
                    result = channel.on_message(now_ms(), message, self.live_workers, self.endpoints_version)
                    if result is PlanResult.ACCEPTED:
                        self.apply_plan()
                    elif result is PlanResult.REFUSED:
                        self._log.warning(
                            "plan-refused",
                            planner=channel.planner,
                            refused={
                                reason.value: count for reason, count in self.plan_state.refusals.items() if count
                            },
                        )
                self._write(channel)
        finally:
            if heartbeats is not None:
                heartbeats.cancel()
            if channel is not None:
                del self._channels[channel]
            sock.close()

    async def _send_heartbeats(self, channel: EdgeChannel) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            channel.output.append(encode_frame(Heartbeat()))
            self._write(channel)

    def _write(self, channel: EdgeChannel) -> None:
        """Send the output in a task; until it is sent, no report is queued."""
        sock = self._channels.get(channel)
        if sock is None or not channel.output or channel.writing:
            return
        data, channel.output = b"".join(channel.output), []
        self.bytes_out += len(data)
        channel.writing = True
        task = self._loop.create_task(self._send(channel, sock, data))
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _send(self, channel: EdgeChannel, sock: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(sock, data)
        channel.writing = False
        if channel in self._channels:
            self._write(channel)
