"""A planner as a running program: edges on sockets, the list, a solver in a process of its own, snapshots."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec
import zstandard

from kelptrail.background.core import SchedulerSettings
from kelptrail.background.driver import Background
from kelptrail.clock import now_ms, wall_ms
from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import FencingToken
from kelptrail.membership.members import EndpointList
from kelptrail.net.listener import Listener
from kelptrail.peers.messages import ChannelError, FrameReader, Heartbeat, Hello, encode_frame
from kelptrail.settings.deployment import Deployment

from .build import function_profiles, planner_settings, worker_capacities
from .channel import READ, PlannerChannel, PlanReply, UsageReport
from .core import PlacementProblem, Planner, Role
from .placement import Placement, WorkerCapacity, place_by_program, place_greedily
from .plan import InstanceCounts

BEAT_MS, SILENT_MS = 500.0, 5000.0
LEASE_NAME = "planner"  # the lease that planners act under


@dataclass(frozen=True, slots=True)
class PlannerOptions:
    """What differs from one planner to the next.  `solver`: "program" or "greedy"; `slow_ms`: for trials, how much
    longer each plan takes; `solve_s`: how long a plan may take before the one before stands."""

    name: str
    host: str
    port: int
    endpoint_service: str
    state_folder: Path | None
    control: str | None = None
    solver: str = "program"
    solve_delay_ms: float = 0.0
    solve_timeout_s: float = 30.0
    peer_addresses: dict[str, str] = field(default_factory=dict)  # where voters are, by name, before the settings


class Snapshot(msgspec.Struct, frozen=True):
    """What outlives a planner: its plan, and what was usual by hour.  `epoch`: the last one, for who reads the file."""

    epoch: int
    instances: InstanceCounts = msgspec.field(name="wants")
    hourly_rates: dict[str, list[float]] = msgspec.field(name="hours")


_decode = msgspec.msgpack.Decoder(Snapshot).decode


def solve_one(solver: str, slow_ms: float, hosts: list[WorkerCapacity], needs: Any, budget: int) -> Placement:
    """In the solver's process."""
    if slow_ms:
        time.sleep(slow_ms / 1000)
    return place_greedily(hosts, needs, budget) if solver == "greedy" else place_by_program(hosts, needs, budget)


class PlannerDriver:
    """One planner on the loop.  `leases`: of this process."""

    def __init__(
        self, deployment: Deployment, options: PlannerOptions, leases: LeaseDriver, length_ms: float, log: Any
    ) -> None:
        self._leases, self._length_ms = leases, length_ms
        self._deployment, self._options, self._log = deployment, options, log
        self._loop = asyncio.get_running_loop()
        settings = planner_settings(deployment)
        self.planner = Planner(options.name, settings, function_profiles(deployment), now_ms())
        self.background = Background(SchedulerSettings(share=0.5), now_ms, lambda: False, log)
        self._links: dict[PlannerChannel, tuple[socket.socket, list[bool]]] = {}
        self._door = Listener(self._loop, self._came, lambda sock, peer, back: sock.close(), log.warning)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._pool: ProcessPoolExecutor | None = None
        self._file = options.state_folder / "planner.bin" if options.state_folder is not None else None
        self.address = ""
        self.bytes_out = self.bytes_in = 0
        self.solve_ms, self.solve_delay_ms = 0.0, options.solve_delay_ms
        self._kept = b""

    # Edges.

    def listen(self) -> None:
        """Let edges come."""
        sock = socket.socket(socket.AF_INET6 if ":" in self._options.host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._options.host, self._options.port))
        sock.listen(512)
        sock.setblocking(False)
        self.address = f"{self._options.host}:{sock.getsockname()[1]}"
        self._door.add_socket(sock)

    def _came(self, sock: socket.socket, peer: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._begin(self._talk(sock, peer))

    def _begin(self, what: Any) -> None:
        task = self._loop.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _talk(self, sock: socket.socket, peer: str) -> None:
        link = PlannerChannel(self._options.name, self._deployment.name)
        self._links[link] = sock, [False]
        reader, buffer = FrameReader(READ), bytearray(65_536)
        try:
            self._write(link)
            while True:
                async with asyncio.timeout(SILENT_MS / 1000):
                    count = await self._loop.sock_recv_into(sock, buffer)
                if not count:
                    break
                self.bytes_in += count
                with memoryview(buffer) as view:
                    messages = reader.feed(view[:count])
                for message in messages:
                    self._heard(link, link.on_message(message))
                self.send_plans()
        except (OSError, ChannelError) as cause:
            self._log.info("edge-lost", edge=link.edge, peer=peer, reason=str(cause) or type(cause).__name__)
        finally:
            del self._links[link]
            sock.close()
            if link.edge and not any(other.edge == link.edge for other in self._links):
                self.planner.on_edge_gone(link.edge)

    def _heard(self, link: PlannerChannel, message: Any) -> None:
        now, core = now_ms(), self.planner
        if isinstance(message, Hello):
            core.on_report(now, link.edge, message.latest_plan, {}, {})
            link.output.append(encode_frame(Heartbeat(core.role is Role.LEADER, core.epoch)))
        elif isinstance(message, UsageReport):
            core.on_report(now, link.edge, message.order, message.counters, link.loaded)
        elif isinstance(message, PlanReply) and message.reason:
            self._log.info("plan-refused", edge=link.edge, reason=message.reason, text=message.text)
            core.on_plan_refused(now, link.edge, message.reason, message.order)

    def send_plans(self) -> None:
        """Plans to links, links' output to sockets, problems to the solver."""
        now = now_ms()
        by_name = {link.edge: link for link in self._links}
        # Looked at right before the plans go: what was solved while the lease ran out stays here.
        for edge, plan in self.planner.plans_to_send(now) if self._leases.held_token(LEASE_NAME) is not None else ():
            if (link := by_name.get(edge)) is not None:
                link.offer_plan(plan, now - self.planner.plan_age_ms(now))
        for link in self._links:
            link.queue_next_plan(now)
            self._write(link)

    def _write(self, link: PlannerChannel) -> None:
        sock, writing = self._links[link]
        if not link.output or writing[0]:
            return
        data, link.output = b"".join(link.output), []
        self.bytes_out += len(data)
        writing[0] = True
        self._begin(self._send(link, sock, writing, data))

    async def _send(self, link: PlannerChannel, sock: socket.socket, writing: list[bool], data: bytes) -> None:
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(sock, data)
        writing[0] = False
        if link in self._links:
            self._write(link)

    # Planning.

    def tick(self) -> None:
        """Background work: windows, leases, problems."""
        now, hour = now_ms(), time.localtime(wall_ms() / 1000).tm_hour
        self.planner.tick(now, hour)
        problem = self.planner.next_problem(now, hour)
        if problem is not None:
            self._begin(self._solve(problem))
        self.send_plans()

    async def _solve(self, problem: PlacementProblem) -> None:
        began, placed = now_ms(), None
        if self._pool is None:
            self._pool = ProcessPoolExecutor(1, mp_context=get_context("forkserver"))
        try:
            job = self._pool.submit(
                solve_one, self._options.solver, self.solve_delay_ms, problem.workers, problem.demands, problem.budget
            )
            placed = await asyncio.wait_for(asyncio.wrap_future(job), self._options.solve_timeout_s)
        except TimeoutError:
            self._log.warning("plan-late", number=problem.number)
            self._drop_pool()
        except (BrokenProcessPool, ValueError, MemoryError) as cause:
            self._log.error("plan-failed", number=problem.number, reason=str(cause) or type(cause).__name__)
            self._drop_pool()
        self.solve_ms = now_ms() - began
        self.planner.on_solution(now_ms(), problem.number, placed)
        self.send_plans()

    def _drop_pool(self) -> None:
        """End the solver's process, which may hang; the next problem gets another."""
        pool, self._pool = self._pool, None
        if pool is not None:
            for process in list(getattr(pool, "_processes", {}).values()):
                process.kill()
            pool.shutdown(wait=False, cancel_futures=True)

    def on_endpoints(self, listing: EndpointList) -> None:
        """A new worker list."""
        self.planner.on_endpoints(
            now_ms(), worker_capacities(self._deployment, listing), (listing.lineage, listing.version)
        )
        self.background.request_run("tick")

    def send_heartbeats(self) -> None:
        """Background work: heartbeats."""
        for link in self._links:
            link.output.append(encode_frame(Heartbeat(self.planner.role is Role.LEADER, self.planner.epoch)))
            self._write(link)

    # What outlives it.

    def restore(self) -> bool:
        """Take up the snapshot, if there is a sound one."""
        if self._file is None or not self._file.exists():
            return False
        try:
            kept = _decode(zstandard.ZstdDecompressor().decompress(self._file.read_bytes(), 1 << 26))
        except (OSError, zstandard.ZstdError, msgspec.MsgspecError) as cause:
            self._log.warning("snapshot-unusable", file=str(self._file), reason=str(cause))
            return False
        self.planner.restore_plan(kept.instances)
        self.planner.demand.restore_hourly_rates(kept.hourly_rates)
        return True

    def save(self) -> None:
        """Background work: a snapshot."""
        if self._file is None:
            return
        hours = {m: a.hourly_rates for m, a in self.planner.demand.functions.items() if any(a.hourly_rates)}
        data = msgspec.msgpack.encode(Snapshot(self.planner.epoch, self.planner.target, hours))
        if data == self._kept:
            return
        draft = self._file.with_suffix(".new")
        try:
            self._file.parent.mkdir(parents=True, exist_ok=True)
            with open(draft, "wb") as file:
                file.write(zstandard.ZstdCompressor().compress(data))
                file.flush()
                os.fsync(file.fileno())
            draft.replace(self._file)
            self._kept = data
        except OSError as cause:
            self._log.warning("snapshot-unsaved", reason=str(cause))

    def clear_faults(self) -> None:
        """No fault any more."""
        self.solve_delay_ms, self.planner.demand.error_factor = self._options.solve_delay_ms, 1.0

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        core = self.planner
        return {
            "role": core.role.value,
            "epoch": core.epoch,
            "edges": len(self._links),
            "workers": len(core.workers),
            "models": len(core.target),
            "copies": sum(sum(at.values()) for at in core.target.values()),
            "plans": core.counters.plans,
            "same": core.counters.unchanged,
            "by": core.counters.by_solver,
            "moves": core.counters.new_instances,
            "refusals": core.counters.refusals,
            "age_ms": round(core.plan_age_ms(now_ms())),
            "solve_ms": round(self.solve_ms, 1),
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
            "background": self.background.scheduler.status(),
        }

    def _led(self, token: FencingToken) -> None:
        self.planner.on_lease_acquired(now_ms(), token.round, token.client_id)
        self._log.info("role", role=self.planner.role.value, epoch=token.round)
        self.send_heartbeats()

    def _stood_down(self, token: FencingToken, reason: str) -> None:
        self.planner.on_lease_lost()
        self._log.info("role", role=self.planner.role.value, epoch=token.round, reason=reason)
        self.send_heartbeats()

    def start(self) -> None:
        """Begin its background work, and want the lease."""
        self._leases.acquire(LEASE_NAME, self._length_ms, self._led, self._stood_down)
        self.background.add("tick", self.tick, 1, 250.0, 1000.0, 0.5)
        self.background.add("beat", self.send_heartbeats, 0, BEAT_MS, 700.0, 0.2)
        self.background.add("save", self.save, 5, 2000.0, 10_000.0, 0.05)
        self.background.start()

    async def stop(self) -> None:
        """End; another may lead at once."""
        self._leases.release(LEASE_NAME)
        self.background.stop()
        self.save()
        self._door.close()
        self._drop_pool()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*list(self._tasks), return_exceptions=True)
