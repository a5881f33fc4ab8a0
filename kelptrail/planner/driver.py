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

from .build import hosts_of, models_of, settings_of
from .channel import READ, PlannerLink, Reply, Report
from .core import Planner, Role
from .placement import Placed, WorkerCapacity, greedy, solve
from .plan import Wants

BEAT_MS, SILENT_MS = 500.0, 5000.0
TASK = "planner"  # the lease that planners act under


@dataclass(frozen=True, slots=True)
class Options:
    """What differs from one planner to the next.  `solver`: "program" or "greedy"; `slow_ms`: for trials, how much
    longer each plan takes; `solve_s`: how long a plan may take before the one before stands."""

    name: str
    host: str
    port: int
    roster: str
    state: Path | None
    control: str | None = None
    solver: str = "program"
    slow_ms: float = 0.0
    solve_s: float = 30.0
    at: dict[str, str] = field(default_factory=dict)  # where voters are, by name, before the settings


class Snapshot(msgspec.Struct, frozen=True):
    """What outlives a planner: its plan, and what was usual by hour.  `epoch`: the last one, for who reads the file."""

    epoch: int
    wants: Wants
    hours: dict[str, list[float]]


_decode = msgspec.msgpack.Decoder(Snapshot).decode


def solve_one(solver: str, slow_ms: float, hosts: list[WorkerCapacity], needs: Any, budget: int) -> Placed:
    """In the solver's process."""
    if slow_ms:
        time.sleep(slow_ms / 1000)
    return greedy(hosts, needs, budget) if solver == "greedy" else solve(hosts, needs, budget)


class PlannerDriver:
    """One planner on the loop.  `leases`: of this process."""

    def __init__(
        self, deployment: Deployment, options: Options, leases: LeaseDriver, length_ms: float, log: Any
    ) -> None:
        self._leases, self._length_ms = leases, length_ms
        self._deployment, self._options, self._log = deployment, options, log
        self._loop = asyncio.get_running_loop()
        settings = settings_of(deployment)
        self.core = Planner(options.name, settings, models_of(deployment), now_ms())
        self.background = Background(SchedulerSettings(share=0.5), now_ms, lambda: False, log)
        self._links: dict[PlannerLink, tuple[socket.socket, list[bool]]] = {}
        self._door = Listener(self._loop, self._came, lambda sock, peer, back: sock.close(), log.warning)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._pool: ProcessPoolExecutor | None = None
        self._file = options.state / "planner.bin" if options.state is not None else None
        self.address = ""
        self.bytes_out = self.bytes_in = 0
        self.solve_ms, self.slow_ms = 0.0, options.slow_ms
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
        self._door.open(sock)

    def _came(self, sock: socket.socket, peer: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._begin(self._talk(sock, peer))

    def _begin(self, what: Any) -> None:
        task = self._loop.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _talk(self, sock: socket.socket, peer: str) -> None:
        link = PlannerLink(self._options.name, self._deployment.name)
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
                    self._heard(link, link.received(message))
                self.pump()
        except (OSError, ChannelError) as cause:
            self._log.info("edge-lost", edge=link.edge, peer=peer, reason=str(cause) or type(cause).__name__)
        finally:
            del self._links[link]
            sock.close()
            if link.edge and not any(other.edge == link.edge for other in self._links):
                self.core.gone(link.edge)

    def _heard(self, link: PlannerLink, message: Any) -> None:
        now, core = now_ms(), self.core
        if isinstance(message, Hello):
            core.reported(now, link.edge, message.latest_plan, {}, {})
            link.out.append(encode_frame(Heartbeat(core.role is Role.ACTING, core.epoch)))
        elif isinstance(message, Report):
            core.reported(now, link.edge, message.order, message.tallies, link.standing)
        elif isinstance(message, Reply) and message.reason:
            self._log.info("plan-refused", edge=link.edge, reason=message.reason, text=message.text)
            core.refused(now, link.edge, message.reason, message.order)

    def pump(self) -> None:
        """Plans to links, links' output to sockets, problems to the solver."""
        now = now_ms()
        by_name = {link.edge: link for link in self._links}
        # Looked at right before the plans go: what was solved while the lease ran out stays here.
        for edge, plan in self.core.plans(now) if self._leases.held_token(TASK) is not None else ():
            if (link := by_name.get(edge)) is not None:
                link.offer(plan, now - self.core.age_ms(now))
        for link in self._links:
            link.pump(now)
            self._write(link)

    def _write(self, link: PlannerLink) -> None:
        sock, writing = self._links[link]
        if not link.out or writing[0]:
            return
        data, link.out = b"".join(link.out), []
        self.bytes_out += len(data)
        writing[0] = True
        self._begin(self._send(link, sock, writing, data))

    async def _send(self, link: PlannerLink, sock: socket.socket, writing: list[bool], data: bytes) -> None:
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(sock, data)
        writing[0] = False
        if link in self._links:
            self._write(link)

    # Planning.

    def tick(self) -> None:
        """Background work: windows, leases, problems."""
        now, hour = now_ms(), time.localtime(wall_ms() / 1000).tm_hour
        self.core.tick(now, hour)
        problem = self.core.problem(now, hour)
        if problem is not None:
            self._begin(self._solve(problem))
        self.pump()

    async def _solve(self, problem: Any) -> None:
        began, placed = now_ms(), None
        if self._pool is None:
            self._pool = ProcessPoolExecutor(1, mp_context=get_context("forkserver"))
        try:
            job = self._pool.submit(
                solve_one, self._options.solver, self.slow_ms, problem.hosts, problem.needs, problem.budget
            )
            placed = await asyncio.wait_for(asyncio.wrap_future(job), self._options.solve_s)
        except TimeoutError:
            self._log.warning("plan-late", number=problem.number)
            self._drop_pool()
        except (BrokenProcessPool, ValueError, MemoryError) as cause:
            self._log.error("plan-failed", number=problem.number, reason=str(cause) or type(cause).__name__)
            self._drop_pool()
        self.solve_ms = now_ms() - began
        self.core.solved(now_ms(), problem.number, placed)
        self.pump()

    def _drop_pool(self) -> None:
        """End the solver's process, which may hang; the next problem gets another."""
        pool, self._pool = self._pool, None
        if pool is not None:
            for process in list(getattr(pool, "_processes", {}).values()):
                process.kill()
            pool.shutdown(wait=False, cancel_futures=True)

    def listed(self, listing: EndpointList) -> None:
        """A new worker list."""
        self.core.listed(now_ms(), hosts_of(self._deployment, listing), (listing.lineage, listing.version))
        self.background.request_run("tick")

    def beat(self) -> None:
        """Background work: heartbeats."""
        for link in self._links:
            link.out.append(encode_frame(Heartbeat(self.core.role is Role.ACTING, self.core.epoch)))
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
        self.core.restored(kept.wants)
        self.core.demand.restore(kept.hours)
        return True

    def save(self) -> None:
        """Background work: a snapshot."""
        if self._file is None:
            return
        hours = {m: a.hours for m, a in self.core.demand.functions.items() if any(a.hours)}
        data = msgspec.msgpack.encode(Snapshot(self.core.epoch, self.core.wants, hours))
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

    def sound(self) -> None:
        """No fault any more."""
        self.slow_ms, self.core.demand.factor = self._options.slow_ms, 1.0

    def status(self) -> dict[str, Any]:
        """What operators are shown."""
        core = self.core
        return {
            "role": core.role.value,
            "epoch": core.epoch,
            "edges": len(self._links),
            "workers": len(core.hosts),
            "models": len(core.wants),
            "copies": sum(sum(at.values()) for at in core.wants.values()),
            "plans": core.counts.plans,
            "same": core.counts.same,
            "by": core.counts.by,
            "moves": core.counts.moves,
            "refusals": core.counts.refusals,
            "age_ms": round(core.age_ms(now_ms())),
            "solve_ms": round(self.solve_ms, 1),
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
            "background": self.background.scheduler.status(),
        }

    def _led(self, token: FencingToken) -> None:
        self.core.lead(now_ms(), token.round, token.client_id)
        self._log.info("role", role=self.core.role.value, epoch=token.round)
        self.beat()

    def _stood_down(self, token: FencingToken, reason: str) -> None:
        self.core.stand_down()
        self._log.info("role", role=self.core.role.value, epoch=token.round, reason=reason)
        self.beat()

    def start(self) -> None:
        """Begin its background work, and want the lease."""
        self._leases.acquire(TASK, self._length_ms, self._led, self._stood_down)
        self.background.add("tick", self.tick, 1, 250.0, 1000.0, 0.5)
        self.background.add("beat", self.beat, 0, BEAT_MS, 700.0, 0.2)
        self.background.add("save", self.save, 5, 2000.0, 10_000.0, 0.05)
        self.background.start()

    async def stop(self) -> None:
        """End; another may lead at once."""
        self._leases.release(TASK)
        self.background.stop()
        self.save()
        self._door.close()
        self._drop_pool()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*list(self._tasks), return_exceptions=True)
