"""Simulated leases: the real acceptors and lease clients on simulated disks, links and clocks, and their faults.

A paused node reads its messages when it resumes, and a lost disk is replaced by an empty one, as with real processes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple

from kelptrail.fault_scenario.scenario import Fault, FaultKind
from kelptrail.lease.acceptor import Acceptor
from kelptrail.lease.acceptor_state import DurableState, Write
from kelptrail.lease.client import LeaseClient
from kelptrail.lease.events import LeaseAcquired
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
from .lease_links import Link, MessageDelay, SimulatedLinks

LEASE_USE_INTERVAL_MS = 50.0
WRITE_RETRY_MS = 100.0  # time until a state write on a failing disk fails, after which the acceptor writes again
ACCEPTOR_MESSAGES = (AcquireRequest, Release, StateRequest, StateReply)


class LeaseCallbacks(NamedTuple):
    """Callbacks that run when a node has acquired a lease, and when it has lost the lease."""

    on_acquired: Callable[[FencingToken], None]
    on_lost: Callable[[], None]


@dataclass(slots=True, eq=False)
class LeaseNode:
    """One process with its lease client, its acceptor, its disk (`durable_state` and `rows`) and its clock."""

    name: str
    is_acceptor: bool
    sync_ms: float
    lease_client: LeaseClient | None = None
    acceptor: Acceptor | None = None
    durable_state: DurableState | None = None
    rows: dict[str, LeaseRow] = field(default_factory=dict)
    start_number: int = 0
    up: bool = True
    paused: bool = False
    unread_messages: list[tuple[str, Message]] = field(default_factory=list)
    clock_rate: float = 1.0
    clock_base_ms: float = 0.0  # local time at which the clock rate was last set
    clock_set_at_ms: float = 0.0  # simulated time at which the clock rate was last set
    disk_fails: bool = False
    core_timer: Timer | None = None
    lease_callbacks: dict[str, LeaseCallbacks] = field(default_factory=dict)  # by task
    messages_received: int = 0
    lease_uses: int = 0

    def local_time(self, now: float) -> float:
        """Return the time in ms that the node's clock shows at simulated time `now`."""
        return self.clock_base_ms + (now - self.clock_set_at_ms) * self.clock_rate


@dataclass(frozen=True, slots=True)
class SimulatedLeaseSettings:
    """Settings of the lease cores, and the assumed times of leases, disks and links in ms."""

    cores: LeaseSettings
    length_ms: float
    sync_ms: float
    network_ms: float  # one way
    silent_ms: float  # time after which a cut link drops its messages


class SimulatedLeases:
    """All lease nodes of a cluster; `record_event` records each use of a lease at the side-effect log."""

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
        self.links = SimulatedLinks(event_queue, seed, settings.network_ms, settings.silent_ms, self._on_message)
        self._highest_tokens: dict[str, FencingToken] = {}
        self.nodes = {name: LeaseNode(name, name in settings.cores.acceptors, settings.sync_ms) for name in names}
        for node in self.nodes.values():
            self.start_process(node)

    def start_process(self, node: LeaseNode) -> None:
        """Start a node's process from the state on its disk."""
        node.start_number += 1
        node.up, node.paused, node.unread_messages = True, False, []
        node.lease_client = LeaseClient(
            node.name, f"{node.name}/{self._seed}-{node.start_number}", self._settings.cores
        )
        now = node.local_time(self._event_queue.now)
        if node.is_acceptor:
            node.acceptor = Acceptor(
                node.name, self._settings.cores, now, node.durable_state, tuple(node.rows.values())
            )
        for task in node.lease_callbacks:
            node.lease_client.acquire(now, task, self._settings.length_ms)
        self._run_cores(node)

    def request_lease(
        self, node: LeaseNode, task: str, on_acquired: Callable[[FencingToken], None], on_lost: Callable[[], None]
    ) -> None:
        """Make a node request the lease of a task, now and after each restart."""
        node.lease_callbacks[task] = LeaseCallbacks(on_acquired, on_lost)
        if node.up and node.lease_client is not None:
            node.lease_client.acquire(node.local_time(self._event_queue.now), task, self._settings.length_ms)
            self._run_cores(node)

    def contend(self, tasks: tuple[str, ...], names: list[str]) -> None:
        """Make nodes compete for the leases of tasks; a holder uses its lease at the side-effect log."""
        for node in (self.nodes[name] for name in names):
            for task in tasks:
                self.request_lease(node, task, partial(self._begin_use, node, task), lambda: None)

    def held_token(self, name: str, task: str) -> FencingToken | None:
        """Return the token of the lease that a node holds now; None if it holds none, is down or is paused."""
        node = self.nodes[name]
        if not node.up or node.paused or node.lease_client is None:
            return None
        return node.lease_client.held_token(node.local_time(self._event_queue.now), task)

    def _begin_use(self, node: LeaseNode, task: str, token: FencingToken) -> None:
        self._use_lease(node, node.start_number, task, token)

    def _use_lease(self, node: LeaseNode, start_number: int, task: str, token: FencingToken) -> None:
        """Use a lease at regular intervals until the node has lost it or its process has ended."""
        if not node.up or node.start_number != start_number or node.lease_client is None:
            return
        if not node.paused:
            if node.lease_client.requests[task].token != token:
                return
            if self.held_token(node.name, task) == token:
                self._record_use(node, task, token)
        self._event_queue.after(LEASE_USE_INTERVAL_MS, self._use_lease, node, start_number, task, token)

    def _record_use(self, node: LeaseNode, task: str, token: FencingToken) -> None:
        """Record a use at the side-effect log, which accepts it unless it has received a newer token."""
        node.lease_uses += 1
        highest_token = self._highest_tokens.get(task, NO_TOKEN)
        self._highest_tokens[task] = max(token, highest_token)
        if self._record_event is not None:
            self._record_event(
                "act",
                task=task,
                token=[token.round, token.client_id],
                by=node.name,
                looked=self._event_queue.now,
                taken=token >= highest_token,
            )

    # Running the cores.

    def _run_cores(self, node: LeaseNode) -> None:
        """Run the due work of the lease client and the acceptor, and carry out their output."""
        if not node.up or node.paused or node.lease_client is None:
            return
        now = node.local_time(self._event_queue.now)
        node.lease_client.tick(now)
        if node.acceptor is not None:
            node.acceptor.tick(now)
        delivered_locally = True
        while delivered_locally:
            delivered_locally = self._send_messages(node)
            self._start_writes(node)
            self._report_lease_events(node)
        self._schedule_core_timer(node, now)

    def _send_messages(self, node: LeaseNode) -> bool:
        """Send the cores' messages; return whether one was for the node itself, whose cores then must run again."""
        delivered_locally = False
        for core in (node.acceptor, node.lease_client):
            while core is not None and core.outbox:
                to, message = core.outbox.popleft()
                if to == node.name:
                    delivered_locally = True
                    self._deliver(node, to, message)
                else:
                    self.links.send(Link(node.name, to), message)
        return delivered_locally

    def _start_writes(self, node: LeaseNode) -> None:
        while node.acceptor is not None and node.acceptor.pending_writes:
            write = node.acceptor.pending_writes.popleft()
            delay_ms = WRITE_RETRY_MS if node.disk_fails and write.state is not None else node.sync_ms
            self._event_queue.after(delay_ms, self._on_written, node, node.start_number, write)

    @staticmethod
    def _report_lease_events(node: LeaseNode) -> None:
        while node.lease_client is not None and node.lease_client.events:
            event = node.lease_client.events.popleft()
            callbacks = node.lease_callbacks[event.task]
            if isinstance(event, LeaseAcquired):
                callbacks.on_acquired(event.token)
            else:
                callbacks.on_lost()

    def _schedule_core_timer(self, node: LeaseNode, now: float) -> None:
        """Schedule the next run of the cores at their earliest due time; `now` is the node's local time."""
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

    def _on_written(self, node: LeaseNode, start_number: int, write: Write) -> None:
        if node.start_number != start_number or not node.up or node.acceptor is None:
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

    def _on_message(self, link: Link, message: Message) -> None:
        node = self.nodes.get(link.receiver)
        if node is None or not node.up:
            return
        node.messages_received += 1
        if node.paused:
            node.unread_messages.append((link.sender, message))
            return
        self._deliver(node, link.sender, message)
        self._run_cores(node)

    # Faults.

    def kill(self, name: str, disk_lost: bool = False) -> None:
        """End a node's process; with `disk_lost` also erase its disk."""
        node = self.nodes[name]
        node.up, node.lease_client, node.acceptor = False, None, None
        if disk_lost:
            node.durable_state, node.rows = None, {}

    def inject(self, fault: Fault, node_names: list[str], draw_is_outgoing: Callable[[], bool]) -> None:
        """Inject a fault for its duration; kills and lost machines use `kill` and `start_process` instead."""
        kind, duration_ms, event_queue = fault.kind, fault.duration * 1000, self._event_queue
        nodes = [self.nodes[name] for name in node_names if name in self.nodes]
        if kind == FaultKind.CUT_PEERS:
            links = self._links_to_cut(nodes, set(node_names), fault, draw_is_outgoing)
            self.links.cut(links)
            event_queue.after(duration_ms, self.links.heal, links)
        elif kind == FaultKind.SLOW_PEERS:
            self.links.delay_messages(MessageDelay(fault.ms, fault.share), duration_ms)
        elif kind == FaultKind.PAUSE_DISPATCHERS:
            for node in nodes:
                node.paused = True
                event_queue.after(duration_ms, self._resume, node)
        elif kind == FaultKind.CLOCK_RATE:
            for node in nodes:
                self._set_clock_rate(node, fault.factor)
                event_queue.after(duration_ms, self._set_clock_rate, node, 1.0)

    def _links_to_cut(
        self, nodes: list[LeaseNode], node_names: set[str], fault: Fault, draw_is_outgoing: Callable[[], bool]
    ) -> list[Link]:
        """Return the links between these nodes and all others.

        A one-way cut cuts one direction for each node; `draw_is_outgoing` chooses it.
        """
        links: list[Link] = []
        for node in nodes:
            outgoing = not fault.one_way or draw_is_outgoing()
            incoming = not fault.one_way or not outgoing
            for other in self.nodes.keys() - node_names:
                if outgoing:
                    links.append(Link(node.name, other))
                if incoming:
                    links.append(Link(other, node.name))
        return links

    def _set_clock_rate(self, node: LeaseNode, clock_rate: float) -> None:
        now = self._event_queue.now
        node.clock_base_ms, node.clock_set_at_ms, node.clock_rate = node.local_time(now), now, clock_rate
        self._run_cores(node)

    def _resume(self, node: LeaseNode) -> None:
        messages, node.unread_messages, node.paused = node.unread_messages, [], False
        for sender, message in messages:
            self._deliver(node, sender, message)
        self._run_cores(node)

    def set_disk(self, name: str, sync_ms: float, fails: bool) -> None:
        """Set the write time of a node's disk in ms, and whether its writes fail."""
        if (node := self.nodes.get(name)) is not None:
            node.sync_ms, node.disk_fails = sync_ms, fails

    def status(self) -> dict[str, Any]:
        """Return the number of messages that each node received, and the number of lease uses."""
        return {
            "told": {name: node.messages_received for name, node in self.nodes.items()},
            "acts": sum(node.lease_uses for node in self.nodes.values()),
        }
