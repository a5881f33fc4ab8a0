"""The edge's end of planning on sockets: follows planners, tells the core what the plan wants, keeps it on disk.

Nothing of it is in a call's way: reports and saving are background work, a planner that is slow or gone costs nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import zstandard

from kelptrail.clock import now_ms, wall_ms
from kelptrail.gateway.core import Gateway
from kelptrail.peers.messages import ChannelError, FrameReader, Heartbeat, encode_frame

from .channel import READ, EdgeChannel, LeaderContact
from .plan import BEFORE_ALL_PLANS, Plan, PlanOrder
from .plan_follower import PlanState

BEAT_MS, SILENT_MS, PAUSE_MS = 500.0, 3000.0, 300.0


class SavedPlan(msgspec.Struct, frozen=True):
    """A plan on disk: how long it was valid, and when (ms of the wall clock) that was written."""

    plan: Plan
    remaining_ms: float = msgspec.field(name="left_ms")
    saved_wall_ms: float = msgspec.field(name="wall_ms")


_decode = msgspec.msgpack.Decoder(SavedPlan).decode


class PlanFollower:
    """One edge's planners.  `stir` is called when what the core knows has changed."""

    def __init__(
        self,
        addresses: list[str],
        who: str,
        lineage: str,
        gateway: Gateway,
        stir: Callable[[], None],
        file: Path | None,
        log: Any,
    ) -> None:
        self._addresses, self._who, self._lineage, self._gateway = addresses, who, lineage, gateway
        self._stir, self._file, self._log = stir, file, log
        self.plan_state, self.leader_contact = PlanState(lineage), LeaderContact(now_ms())
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self._links: dict[EdgeChannel, socket.socket] = {}
        self._applied: PlanOrder | None = None  # the plan that the core was told of
        self._saved: PlanOrder = BEFORE_ALL_PLANS
        self.bytes_in = self.bytes_out = self.reconnects = 0

    @property
    def live_workers(self) -> set[str]:
        """The workers that the edge's own list has live."""
        return {w.id for w in self._gateway.members if w.live}

    @property
    def endpoints_version(self) -> tuple[str, int]:
        """The edge's own list."""
        return self._gateway.members.lineage, self._gateway.members.version

    def load_saved_plan(self) -> bool:
        """Take up the plan on disk, if there is a sound one that is still valid."""
        if self._file is None or not self._file.exists():
            return False
        try:
            kept = _decode(zstandard.ZstdDecompressor().decompress(self._file.read_bytes(), 1 << 26))
        except (OSError, zstandard.ZstdError, msgspec.MsgspecError) as cause:
            self._log.warning("last-plan-unusable", file=str(self._file), reason=str(cause))
            return False
        left = kept.remaining_ms - max(0.0, wall_ms() - kept.saved_wall_ms)
        taken = self.plan_state.restore(now_ms(), kept.plan, left, self.live_workers)
        self._saved = kept.plan.header.order
        self.apply_plan()
        return taken

    def start(self) -> None:
        """Begin to follow."""
        self._tasks = [self._loop.create_task(self._follow(address)) for address in self._addresses]

    async def stop(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.save_plan()

    def on_endpoints(self) -> None:
        """The worker list has changed."""
        report = self.plan_state.on_endpoints(now_ms(), self.live_workers, self.endpoints_version)
        if report is not None:
            self._log.warning("plan-refused", reason=report.reason.value, text=report.text)
        self._applied = None  # workers may have come that the plan names
        self.apply_plan()

    def apply_plan(self) -> None:
        """Tell the core what is wanted now; nothing once the plan has run out."""
        wants = self.plan_state.target(now_ms())
        order = (
            self.plan_state.plan.header.order
            if wants is not None and self.plan_state.plan is not None
            else BEFORE_ALL_PLANS
        )
        if order != self._applied:
            self._applied = order
            self._gateway.on_plan(wants)
            self._stir()

    def send_reports(self) -> None:
        """Background work: what was asked since the last time, to each planner that listens and is ready for more."""
        now = now_ms()
        self.apply_plan()  # it may have run out
        tallies = self._gateway.counters()
        for link in self._links:
            link.add_counters(tallies)
        ready = [link for link in self._links if link.report_due(now) and not link.output and not link.writing]
        standing = self._gateway.loaded_instances() if ready else {}
        for link in ready:
            link.queue_report(now, standing)
            self._write(link)

    def save_plan(self) -> None:
        """Background work: keep the plan in force for the next start."""
        plan = self.plan_state.plan
        if self._file is None or plan is None or plan.header.order == self._saved:
            return
        kept = SavedPlan(plan, self.plan_state.remaining_ms(now_ms()), wall_ms())
        draft = self._file.with_suffix(".new")
        try:
            with open(draft, "wb") as file:
                file.write(zstandard.ZstdCompressor().compress(msgspec.msgpack.encode(kept)))
                file.flush()
                os.fsync(file.fileno())
            draft.replace(self._file)
            self._saved = plan.header.order
        except OSError as cause:
            self._log.warning("plan-unsaved", reason=str(cause))

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        follower, plan = self.plan_state, self.plan_state.plan
        return {
            "planners": {link.planner: round(now_ms() - link.last_heard) for link in self._links},
            "order": list(follower.fence),
            "taken": follower.accepted,
            "left_ms": round(follower.remaining_ms(now_ms())),
            "models": len(plan.instances) if plan is not None else 0,
            "refused": {r.value: n for r, n in follower.refusals.items() if n},
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
            "reconnects": self.reconnects,
        }

    async def _follow(self, address: str) -> None:
        """Keep up one connection; what fails is tried again after a pause that grows."""
        pause = PAUSE_MS
        while True:
            began = now_ms()
            try:
                await self._talk(address)
                reason = "the planner closed the connection"
            except (OSError, ChannelError) as cause:
                reason = str(cause) or type(cause).__name__
            self.reconnects += 1
            self._log.info("planner-lost", address=address, reason=reason)
            pause = PAUSE_MS if now_ms() - began > 10_000 else min(5000.0, pause * 1.6)
            await asyncio.sleep(pause / 1000)

    async def _talk(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        link: EdgeChannel | None = None
        beats: asyncio.Task[None] | None = None
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(2):
                await self._loop.sock_connect(sock, (host.strip("[]"), int(port)))
            link = EdgeChannel(self._who, self._lineage, self.plan_state, self.leader_contact, now_ms())
            self._links[link] = sock
            self._write(link)
            beats = self._loop.create_task(self._beat(link))
            reader, buffer = FrameReader(READ), bytearray(65_536)
            while True:
                async with asyncio.timeout(SILENT_MS / 1000):
                    count = await self._loop.sock_recv_into(sock, buffer)
                if not count:
                    return
                self.bytes_in += count
                with memoryview(buffer) as view:
                    messages = reader.feed(view[:count])
                for message in messages:
                    what = link.on_message(now_ms(), message, self.live_workers, self.endpoints_version)
                    if what == "taken":
                        self.apply_plan()
                    elif what:
                        self._log.warning(
                            "plan-refused",
                            planner=link.planner,
                            refused={r.value: n for r, n in self.plan_state.refusals.items() if n},
                        )
                self._write(link)
        finally:
            if beats is not None:
                beats.cancel()
            if link is not None:
                del self._links[link]
            sock.close()

    async def _beat(self, link: EdgeChannel) -> None:
        while True:
            await asyncio.sleep(BEAT_MS / 1000)
            link.output.append(encode_frame(Heartbeat()))
            self._write(link)

    def _write(self, link: EdgeChannel) -> None:
        """Write what there is; what does not go at once goes in the background, and reports wait meanwhile."""
        sock = self._links.get(link)
        if sock is None or not link.output or link.writing:
            return
        data, link.output = b"".join(link.output), []
        self.bytes_out += len(data)
        link.writing = True
        task = self._loop.create_task(self._send(link, sock, data))
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _send(self, link: EdgeChannel, sock: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(sock, data)
        link.writing = False
        if link in self._links:
            self._write(link)
