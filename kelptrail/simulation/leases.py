"""Simulated leases: the real acceptors and lease clients on emulated disks, links and clocks, and their faults.

A cut link holds messages until it is healed; once the silence timeout has passed, it drops them.  A paused node reads
its messages when it resumes; a lost disk is an empty one: as between real processes.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from kelptrail.lease.acceptor import Acceptor, DurableState, Write
from kelptrail.lease.client import LeaseAcquired, LeaseClient
from kelptrail.lease.messages import (
    NO_TOKEN,
    AcquireRequest,
    FencingToken,
    LeaseRow,
    LeaseSettings,
    Message,
    Release,
    StateReply,
    StateRequest,
)

from .event_queue import EventQueue, Timer

if TYPE_CHECKING:
    from kelptrail.fault_scenario.scenario import Fault

LEASE_USE_INTERVAL_MS, WRITE_RETRY_MS = 50.0, 100.0
ACCEPTOR_MESSAGES = (AcquireRequest, Release, StateRequest, StateReply)


@dataclass(slots=True, eq=False)
class LeaseNode:
    """One process: its cores, its disk, its clock."""

    name: str
    is_acceptor: bool
    sync_ms: float
    lease_client: LeaseClient | None = None
    acceptor: Acceptor | None = None
    durable_state: DurableState | None = None
    rows: dict[str, LeaseRow] = field(default_factory=dict)
    starts: int = 0
    up: bool = True
    paused: bool = False
    unread: list[tuple[str, Message]] = field(default_factory=list)
    clock_rate: float = 1.0
    clock_base_ms: float = 0.0  # of its clock, at `since`
    clock_set_at_ms: float = 0.0
    disk_fails: bool = False
    core_timer: Timer | None = None
    wanted_tasks: dict[str, tuple[Callable[[FencingToken], None], Callable[[], None]]] = field(default_factory=dict)
    messages_received: int = 0
    lease_uses: int = 0

    def local_time(self, now: float) -> float:
        """The time in ms that the node's clock shows at simulated time `now`."""
        return self.clock_base_ms + (now - self.clock_set_at_ms) * self.clock_rate


@dataclass(frozen=True, slots=True)
class SimulatedLeaseSettings:
    """The settings of the lease cores, the length of leases, and what is assumed of disks and links; in ms."""

    cores: LeaseSettings
    length_ms: float
    sync_ms: float
    network_ms: float  # one way
    silent_ms: float  # after which a cut link drops what it holds


class SimulatedLeases:
    """All lease nodes of a cluster; `record_event` records each use of a lease that the side-effect log would see."""

    def __init__(
        self,
        event_queue: EventQueue,
        settings: SimulatedLeaseSettings,
        names: list[str],
        seed: int,
        record_event: Callable[..., None] | None,
    ) -> None:
        self._event_queue, self._settings, self._seed = event_queue, settings, seed
        self._record_event = record_event
        self._cut_links: Counter[tuple[str, str]] = Counter()
        self._held_messages: dict[tuple[str, str], list[Message]] = {}
        self._cut_since: dict[tuple[str, str], float] = {}  # when a link was cut
        self._slow_links: list[tuple[float, float]] = []
        self._draws = 0
        self._highest_tokens: dict[str, FencingToken] = {}
        self.nodes = {name: LeaseNode(name, name in settings.cores.acceptors, settings.sync_ms) for name in names}
        for node in self.nodes.values():
            self.start_process(node)

    def start_process(self, node: LeaseNode) -> None:
        """Start a node's process with what its disk holds."""
        node.starts += 1
        node.up, node.paused, node.unread = True, False, []
        node.lease_client = LeaseClient(node.name, f"{node.name}/{self._seed}-{node.starts}", self._settings.cores)
        now = node.local_time(self._event_queue.now)
        if node.is_acceptor:
            node.acceptor = Acceptor(
                node.name, self._settings.cores, now, node.durable_state, tuple(node.rows.values())
            )
        for task in node.wanted_tasks:
            node.lease_client.acquire(now, task, self._settings.length_ms)
        self._run_cores(node)

    def want(
        self, node: LeaseNode, task: str, on_acquired: Callable[[FencingToken], None], on_lost: Callable[[], None]
    ) -> None:
        """Have a node acquire the lease of a task whenever it can."""
        node.wanted_tasks[task] = on_acquired, on_lost
        if node.up and node.lease_client is not None:
            node.lease_client.acquire(node.local_time(self._event_queue.now), task, self._settings.length_ms)
            self._run_cores(node)

    def contend(self, tasks: tuple[str, ...], names: list[str]) -> None:
        """Have these nodes compete for the leases of tasks; the holder uses its lease at the side-effect log."""
        for node in (self.nodes[name] for name in names):
            for task in tasks:
                self.want(
                    node,
                    task,
                    lambda token, n=node, t=task: self._use_lease(n, n.starts, t, token),  # type: ignore[misc]
                    lambda: None,
                )

    def holds(self, name: str, task: str) -> FencingToken | None:
        """The token of the lease that a node holds now; None where it holds none."""
        node = self.nodes[name]
        if not node.up or node.paused or node.lease_client is None:
            return None
        return node.lease_client.held_token(node.local_time(self._event_queue.now), task)

    def _use_lease(self, node: LeaseNode, start: int, task: str, token: FencingToken) -> None:
        if not node.up or node.starts != start or node.lease_client is None:
            return
        if not node.paused:
            if node.lease_client.requests[task].token != token:
                return
            if self.holds(node.name, task) == token:
                node.lease_uses += 1
                accepted = token >= self._highest_tokens.get(task, NO_TOKEN)
                self._highest_tokens[task] = max(token, self._highest_tokens.get(task, NO_TOKEN))
                if self._record_event is not None:
                    self._record_event(
                        "act",
                        task=task,
                        token=[token.round, token.client_id],
                        by=node.name,
                        looked=self._event_queue.now,
                        taken=accepted,
                    )
        self._event_queue.after(LEASE_USE_INTERVAL_MS, self._use_lease, node, start, task, token)

    # Running the cores.

    def _run_cores(self, node: LeaseNode) -> None:
        if not node.up or node.paused or node.lease_client is None:
            return
        now, delivered_locally = node.local_time(self._event_queue.now), [True]
        node.lease_client.tick(now)
        if node.acceptor is not None:
            node.acceptor.tick(now)
        while delivered_locally:
            delivered_locally = []
            for core in (node.acceptor, node.lease_client):
                while core is not None and core.outbox:
                    to, message = core.outbox.popleft()
                    if to == node.name:
                        delivered_locally.append(True)
                        self._deliver(node, to, message)
                    else:
                        self._transmit(node.name, to, message)
            while node.acceptor is not None and node.acceptor.pending_writes:
                write = node.acceptor.pending_writes.popleft()
                delay_ms = WRITE_RETRY_MS if node.disk_fails and write.state is not None else node.sync_ms
                self._event_queue.after(delay_ms, self._written, node, node.starts, write)
            while node.lease_client.events:
                event = node.lease_client.events.popleft()
                on_acquired, on_lost = node.wanted_tasks[event.task]
                if isinstance(event, LeaseAcquired):
                    on_acquired(event.token)
                else:
                    on_lost()
        self._schedule_core_timer(node, now)

    def _schedule_core_timer(self, node: LeaseNode, now: float) -> None:
        """Run the cores again when the first of them is due; `now` is the node's local time."""
        assert node.lease_client is not None
        due_times = [
            d
            for d in (
                node.lease_client.next_tick_at(),
                node.acceptor.next_tick_at() if node.acceptor is not None else None,
            )
            if d is not None
        ]
        if node.core_timer is not None:
            node.core_timer.cancel()
        if due_times:
            node.core_timer = self._event_queue.after(
                max(0.01, (min(due_times) - now) / node.clock_rate), self._run_cores, node
            )

    def _written(self, node: LeaseNode, start: int, write: Write) -> None:
        if node.starts != start or not node.up or node.acceptor is None:
            return
        if not node.disk_fails:
            node.durable_state = write.state or node.durable_state
            node.rows |= {row.task: row for row in write.rows}
        node.acceptor.on_written(write, not node.disk_fails)
        self._run_cores(node)

    def _deliver(self, node: LeaseNode, sender: str, message: Message) -> None:
        now = node.local_time(self._event_queue.now)
        if not isinstance(message, ACCEPTOR_MESSAGES):
            if node.lease_client is not None:
                node.lease_client.on_message(now, sender, message)
        elif node.acceptor is not None:
            node.acceptor.on_message(now, sender, message)

    def _transmit(self, sender: str, to: str, message: Message) -> None:
        if self._cut_links[sender, to] > 0:
            if self._event_queue.now - self._cut_since[sender, to] < self._settings.silent_ms:
                self._held_messages.setdefault((sender, to), []).append(message)
            return
        delay_ms = self._settings.network_ms
        for ms, share in self._slow_links:
            self._draws += 1
            if zlib.crc32(f"{self._seed} slow {self._draws}".encode()) / 2**32 < share:
                delay_ms += ms
        self._event_queue.after(delay_ms, self._on_message, sender, to, message)

    def _on_message(self, sender: str, to: str, message: Message) -> None:
        node = self.nodes.get(to)
        if node is None or not node.up:
            return
        node.messages_received += 1
        if node.paused:
            node.unread.append((sender, message))
            return
        self._deliver(node, sender, message)
        self._run_cores(node)

    # Faults.

    def kill(self, name: str, disk_lost: bool = False) -> None:
        """End a node's process; with `disk_lost` also erase its disk."""
        node = self.nodes[name]
        node.up, node.lease_client, node.acceptor = False, None, None
        if disk_lost:
            node.durable_state, node.rows = None, {}

    def inject(self, fault: Fault, node_names: list[str], one_way: Callable[[], bool]) -> None:
        """Inject a fault between nodes for its duration; `kill` and `start_process` serve kills and lost machines."""
        kind, duration_ms, event_queue = fault.kind, fault.duration * 1000, self._event_queue
        nodes = [self.nodes[name] for name in node_names if name in self.nodes]
        if kind == "cut-peers":
            pairs = []
            for node in nodes:
                out = not fault.one_way or one_way()
                for other in self.nodes.keys() - set(node_names):
                    pairs += [(node.name, other)] if out else []
                    pairs += [(other, node.name)] if not fault.one_way or not out else []
            self.cut(pairs)
            event_queue.after(duration_ms, self.heal, pairs)
        elif kind == "slow-peers":
            self._slow_links.append((fault.ms, fault.share))
            event_queue.after(duration_ms, self._slow_links.remove, (fault.ms, fault.share))
        elif kind == "pause-dispatchers":
            for node in nodes:
                node.paused = True
                event_queue.after(duration_ms, self._resume, node)
        elif kind == "clock-rate":
            for node in nodes:
                self._set_clock_rate(node, fault.factor)
                event_queue.after(duration_ms, self._set_clock_rate, node, 1.0)

    def _set_clock_rate(self, node: LeaseNode, clock_rate: float) -> None:
        now = self._event_queue.now
        node.clock_base_ms, node.clock_set_at_ms, node.clock_rate = node.local_time(now), now, clock_rate
        self._run_cores(node)

    def _resume(self, node: LeaseNode) -> None:
        unread, node.unread, node.paused = node.unread, [], False
        for sender, message in unread:
            self._deliver(node, sender, message)
        self._run_cores(node)

    def cut(self, pairs: list[tuple[str, str]]) -> None:
        """Cut these links, each a (sender, receiver) pair."""
        for pair in pairs:
            self._cut_since.setdefault(pair, self._event_queue.now)
        self._cut_links.update(pairs)

    def heal(self, pairs: list[tuple[str, str]]) -> None:
        """Heal these links; held messages are delivered only within the silence timeout."""
        self._cut_links.subtract(pairs)
        for pair in pairs:
            if self._cut_links[pair] <= 0:
                held, clock_set_at_ms = self._held_messages.pop(pair, []), self._cut_since.pop(pair, 0.0)
                for message in held if self._event_queue.now - clock_set_at_ms < self._settings.silent_ms else []:
                    self._transmit(*pair, message)

    def set_disk(self, name: str, sync_ms: float, fails: bool) -> None:
        """Set the write time of a node's disk in ms, and whether its writes fail."""
        if (node := self.nodes.get(name)) is not None:
            node.sync_ms, node.disk_fails = sync_ms, fails

    def status(self) -> dict[str, Any]:
        """Messages received by node, and uses of leases; the keys are part of the report."""
        return {
            "told": {name: node.messages_received for name, node in self.nodes.items()},
            "acts": sum(node.lease_uses for node in self.nodes.values()),
        }
