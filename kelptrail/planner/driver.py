"""A planner on the event loop: connections of edges, the solver process, the lease, and snapshots."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

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
from .channel import MESSAGE_DECODER, PlannerChannel, PlanReply, UsageReport
from .core import PlacementProblem, Planner, Role
from .plan import EndpointsVersion
from .snapshot import Snapshot, SnapshotFile
from .solver_process import SolverProcess

HEARTBEAT_MS = 500.0
READ_TIMEOUT_MS = 5000.0  # time without data from an edge after which its connection is closed
ACCEPT_BACKLOG = 512
READ_BYTES = 65_536
SNAPSHOT_FILE = "planner.bin"  # file in the state folder
LEASE_NAME = "planner"  # lease whose holder is the leading planner


@dataclass(frozen=True, slots=True)
class PlannerOptions:
    """Options of one planner process.

    `endpoint_service`: address of the endpoint service; `control`: address of the control port, if it has one;
    `solver`: "program" or "greedy"; `solve_delay_ms`: delay added to each solution, for fault tests; `solve_timeout_s`:
    time after which a problem is abandoned and the previous plan stays in force.
    """

    name: str
    host: str
    port: int
    endpoint_service: str
    state_folder: Path | None
    control: str | None = None
    solver: str = "program"
    solve_delay_ms: float = 0.0
    solve_timeout_s: float = 30.0
    # Addresses of lease acceptors, which override those in the settings.
    peer_addresses: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class EdgeConnection:
    """Socket of one edge, and whether output is being sent on it."""

    sock: socket.socket
    writing: bool = False


class PlannerDriver:
    """Runs one planner on the event loop.

    `leases`: lease driver of this process; `lease_length_ms`: duration of the planner's lease.
    """

    def __init__(
        self, deployment: Deployment, options: PlannerOptions, leases: LeaseDriver, lease_length_ms: float, log: Any
    ) -> None:
        self._leases, self._lease_length_ms = leases, lease_length_ms
        self._deployment, self._options, self._log = deployment, options, log
        self._loop = asyncio.get_running_loop()
        settings = planner_settings(deployment)
        self.planner = Planner(options.name, settings, function_profiles(deployment), now_ms())
        self.background = Background(SchedulerSettings(share=0.5), now_ms, lambda: False, log)
        self._channels: dict[PlannerChannel, EdgeConnection] = {}
        self._listener = Listener(
            self._loop, self._on_connect, lambda sock, peer, retry_after_ms: sock.close(), log.warning
        )
        self._tasks: set[asyncio.Task[Any]] = set()
        self._solver = SolverProcess(options.solver, options.solve_timeout_s, log)
        folder = options.state_folder
        self._snapshots = SnapshotFile(folder / SNAPSHOT_FILE if folder is not None else None, log)
        self.address = ""
        self.bytes_out = self.bytes_in = 0
        self.solve_ms, self.solve_delay_ms = 0.0, options.solve_delay_ms

    # Edges.

    def listen(self) -> None:
        """Listen for edges.  Raises `OSError` if the address cannot be bound."""
        sock = socket.socket(socket.AF_INET6 if ":" in self._options.host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._options.host, self._options.port))
        sock.listen(ACCEPT_BACKLOG)
        sock.setblocking(False)
        self.address = f"{self._options.host}:{sock.getsockname()[1]}"
        self._listener.add_socket(sock)

    def _on_connect(self, sock: socket.socket, peer: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._spawn(self._serve_edge(sock, peer))

    def _spawn(self, coroutine: Any) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_edge(self, sock: socket.socket, peer: str) -> None:
        channel = PlannerChannel(self._options.name, self._deployment.name)
        self._channels[channel] = EdgeConnection(sock)
        reader, buffer = FrameReader(MESSAGE_DECODER), bytearray(READ_BYTES)
        try:
            self._write(channel)
            while True:
                async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                    count = await self._loop.sock_recv_into(sock, buffer)
                if not count:
                    break
                self.bytes_in += count
                with memoryview(buffer) as view:
                    messages = reader.feed(view[:count])
                for message in messages:
                    self._on_message(channel, channel.on_message(message))
                self.send_plans()
        except (OSError, ChannelError) as cause:
            self._log.info("edge-lost", edge=channel.edge, peer=peer, reason=str(cause) or type(cause).__name__)
        finally:
            del self._channels[channel]
            sock.close()
            if channel.edge and not any(other.edge == channel.edge for other in self._channels):
                self.planner.on_edge_disconnected(channel.edge)

    def _on_message(self, channel: PlannerChannel, message: Any) -> None:
        now, core = now_ms(), self.planner
        if isinstance(message, Hello):
            core.on_report(now, channel.edge, message.latest_plan, {}, {})
            channel.output.append(encode_frame(Heartbeat(core.role is Role.LEADER, core.epoch)))
        elif isinstance(message, UsageReport):
            core.on_report(now, channel.edge, message.order, message.counters, channel.loaded)
        elif isinstance(message, PlanReply) and message.reason:
            self._log.info("plan-refused", edge=channel.edge, reason=message.reason, text=message.text)
            core.on_plan_refused(now, channel.edge, message.reason, message.order)

    def send_plans(self) -> None:
        """Queue new plans for their edges and send what is queued."""
        now = now_ms()
        channels_by_edge = {channel.edge: channel for channel in self._channels}
        # The lease is checked right before sending, so that a plan whose lease expired during solving is not sent.
        for edge, plan in self.planner.plans_to_send(now) if self._leases.held_token(LEASE_NAME) is not None else ():
            if (channel := channels_by_edge.get(edge)) is not None:
                channel.offer_plan(plan, now - self.planner.plan_age_ms(now))
        for channel in self._channels:
            channel.queue_next_plan(now)
            self._write(channel)

    def _write(self, channel: PlannerChannel) -> None:
        connection = self._channels[channel]
        if not channel.output or connection.writing:
            return
        data, channel.output = b"".join(channel.output), []
        self.bytes_out += len(data)
        connection.writing = True
        self._spawn(self._send(channel, connection, data))

    async def _send(self, channel: PlannerChannel, connection: EdgeConnection, data: bytes) -> None:
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(connection.sock, data)
        connection.writing = False
        if channel in self._channels:
            self._write(channel)

    # Planning.

    def tick(self) -> None:
        """Close the demand window, start solving the next problem if it is due, and send plans; a background job."""
        now, hour = now_ms(), time.localtime(wall_ms() / 1000).tm_hour
        self.planner.tick(now, hour)
        problem = self.planner.next_problem(now, hour)
        if problem is not None:
            self._spawn(self._solve(problem))
        self.send_plans()

    async def _solve(self, problem: PlacementProblem) -> None:
        started_at = now_ms()
        placement = await self._solver.solve(problem, self.solve_delay_ms)
        self.solve_ms = now_ms() - started_at
        self.planner.on_solution(now_ms(), problem.number, placement)
        self.send_plans()

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """Pass a new endpoint list to the planner, and request a run of its background job."""
        self.planner.on_endpoints(
            now_ms(),
            worker_capacities(self._deployment, endpoints),
            EndpointsVersion(endpoints.lineage, endpoints.version),
        )
        self.background.request_run("tick")

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each edge; a background job."""
        for channel in self._channels:
            channel.output.append(encode_frame(Heartbeat(self.planner.role is Role.LEADER, self.planner.epoch)))
            self._write(channel)

    # Snapshots.

    def restore(self) -> bool:
        """Continue from the snapshot; return False if there is none or it is unusable."""
        snapshot = self._snapshots.load()
        if snapshot is None:
            return False
        self.planner.restore_plan(snapshot.instances)
        self.planner.demand.restore_hourly_rates(snapshot.hourly_rates)
        return True

    def save(self) -> None:
        """Write a snapshot if anything has changed; a background job."""
        hourly_rates = {
            model: load.hourly_rates for model, load in self.planner.demand.functions.items() if any(load.hourly_rates)
        }
        self._snapshots.save(Snapshot(self.planner.epoch, self.planner.target, hourly_rates))

    def clear_faults(self) -> None:
        """End the faults injected at the control port; the delay of the options applies again."""
        self.solve_delay_ms, self.planner.demand.error_factor = self._options.solve_delay_ms, 1.0

    def status(self) -> dict[str, Any]:
        """Return the status that the control port reports."""
        core = self.planner
        return {
            "role": core.role.value,
            "epoch": core.epoch,
            "edges": len(self._channels),
            "workers": len(core.workers),
            # `models` and `copies` count planned functions and instances, `moves` all new instances since the start.
            "models": len(core.target),
            "copies": sum(sum(by_worker.values()) for by_worker in core.target.values()),
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

    def _on_lease_acquired(self, token: FencingToken) -> None:
        self.planner.on_lease_acquired(now_ms(), token.round, token.client_id)
        self._log.info("role-changed", role=self.planner.role.value, epoch=token.round)
        self.send_heartbeats()

    def _on_lease_lost(self, token: FencingToken, reason: str) -> None:
        self.planner.on_lease_lost()
        self._log.info("role-changed", role=self.planner.role.value, epoch=token.round, reason=reason)
        self.send_heartbeats()

    def start(self) -> None:
        """Request the lease and start the background jobs."""
        self._leases.acquire(LEASE_NAME, self._lease_length_ms, self._on_lease_acquired, self._on_lease_lost)
        # The numbers are the priority, the interval and maximum wait in ms, and the share of real time.
        self.background.add("tick", self.tick, 1, 250.0, 1000.0, 0.5)
        self.background.add("beat", self.send_heartbeats, 0, HEARTBEAT_MS, 700.0, 0.2)
        self.background.add("save", self.save, 5, 2000.0, 10_000.0, 0.05)
        self.background.start()

    async def stop(self) -> None:
        """Release the lease so that another planner can lead at once, save a snapshot, and stop."""
        self._leases.release(LEASE_NAME)
        self.background.stop()
        self.save()
        self._listener.close()
        self._solver.kill()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*list(self._tasks), return_exceptions=True)
