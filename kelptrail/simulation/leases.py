"""Leases in the lab: the real voters and askers on emulated disks, links and clocks, and what troubles do to them.

A link that is cut holds what is sent until it is whole again, or, once its silence was noticed, carries nothing; a
paused node reads what came once it wakes; a lost disk is an empty one: as between real processes.
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

ACT_MS, AGAIN_MS = 50.0, 100.0
TO_VOTERS = (AcquireRequest, Release, StateRequest, StateReply)


@dataclass(slots=True, eq=False)
class Node:
    """One process: its cores, its disk, its clock."""

    name: str
    votes: bool
    sync_ms: float
    asker: LeaseClient | None = None
    voter: Acceptor | None = None
    memory: DurableState | None = None
    rows: dict[str, LeaseRow] = field(default_factory=dict)
    runs: int = 0
    up: bool = True
    paused: bool = False
    unread: list[tuple[str, Message]] = field(default_factory=list)
    rate: float = 1.0
    base: float = 0.0  # of its clock, at `since`
    since: float = 0.0
    disk_fails: bool = False
    wake: Timer | None = None
    wants: dict[str, tuple[Callable[[FencingToken], None], Callable[[], None]]] = field(default_factory=dict)
    told: int = 0  # messages that came
    acts: int = 0

    def local(self, now: float) -> float:
        """What its clock says."""
        return self.base + (now - self.since) * self.rate


class SimulatedLeases:
    """All nodes of a site.  `note` takes what a witness would see; `delay` tells how long a message takes."""

    def __init__(
        self,
        engine: EventQueue,
        settings: LeaseSettings,
        length_ms: float,
        names: list[str],
        seed: int,
        sync_ms: float,
        network_ms: float,
        silent_ms: float,
        note: Callable[..., None] | None,
    ) -> None:
        self._engine, self.settings, self._length_ms, self._seed = engine, settings, length_ms, seed
        self._network_ms, self._note = network_ms, note
        self._cut: Counter[tuple[str, str]] = Counter()
        self._held: dict[tuple[str, str], list[Message]] = {}
        self._since: dict[tuple[str, str], float] = {}  # when a link was cut
        self._silent_ms = silent_ms
        self._slow: list[tuple[float, float]] = []
        self._draws = 0
        self._fence: dict[str, FencingToken] = {}
        self.nodes = {name: Node(name, name in settings.acceptors, sync_ms) for name in names}
        for node in self.nodes.values():
            self.begin(node)

    def begin(self, node: Node) -> None:
        """A process starts, with what its disk holds."""
        node.runs += 1
        node.up, node.paused, node.unread = True, False, []
        node.asker = LeaseClient(node.name, f"{node.name}/{self._seed}-{node.runs}", self.settings)
        now = node.local(self._engine.now)
        if node.votes:
            node.voter = Acceptor(node.name, self.settings, now, node.memory, tuple(node.rows.values()))
        for task in node.wants:
            node.asker.acquire(now, task, self._length_ms)
        self._carry(node)

    def want(self, node: Node, task: str, won: Callable[[FencingToken], None], lost: Callable[[], None]) -> None:
        """Have a node hold a task whenever it can."""
        node.wants[task] = won, lost
        if node.up and node.asker is not None:
            node.asker.acquire(node.local(self._engine.now), task, self._length_ms)
            self._carry(node)

    def contend(self, tasks: tuple[str, ...], names: list[str]) -> None:
        """Have these nodes want the tasks, and act under them at a witness."""
        for node in (self.nodes[name] for name in names):
            for task in tasks:
                self.want(
                    node,
                    task,
                    lambda token, n=node, t=task: self._act(n, n.runs, t, token),  # type: ignore[misc]
                    lambda: None,
                )

    def holds(self, name: str, task: str) -> FencingToken | None:
        """The token under which a node may act now."""
        node = self.nodes[name]
        if not node.up or node.paused or node.asker is None:
            return None
        return node.asker.held_token(node.local(self._engine.now), task)

    def _act(self, node: Node, run: int, task: str, token: FencingToken) -> None:
        if not node.up or node.runs != run or node.asker is None:
            return
        if not node.paused:
            if node.asker.requests[task].token != token:
                return
            if self.holds(node.name, task) == token:
                node.acts += 1
                taken = token >= self._fence.get(task, NO_TOKEN)
                self._fence[task] = max(token, self._fence.get(task, NO_TOKEN))
                if self._note is not None:
                    self._note(
                        "act",
                        task=task,
                        token=[token.round, token.client_id],
                        by=node.name,
                        looked=self._engine.now,
                        taken=taken,
                    )
        self._engine.after(ACT_MS, self._act, node, run, task, token)

    # Carrying out.

    def _carry(self, node: Node) -> None:
        if not node.up or node.paused or node.asker is None:
            return
        now, own = node.local(self._engine.now), [True]
        node.asker.tick(now)
        if node.voter is not None:
            node.voter.tick(now)
        while own:
            own = []
            for core in (node.voter, node.asker):
                while core is not None and core.outbox:
                    to, message = core.outbox.popleft()
                    if to == node.name:
                        own.append(True)
                        self._hand(node, to, message)
                    else:
                        self._send(node.name, to, message)
            while node.voter is not None and node.voter.pending_writes:
                write = node.voter.pending_writes.popleft()
                wait = AGAIN_MS if node.disk_fails and write.state is not None else node.sync_ms
                self._engine.after(wait, self._written, node, node.runs, write)
            while node.asker.events:
                event = node.asker.events.popleft()
                won, lost = node.wants[event.task]
                if isinstance(event, LeaseAcquired):
                    won(event.token)
                else:
                    lost()
        dues = [
            d
            for d in (node.asker.next_tick_at(), node.voter.next_tick_at() if node.voter is not None else None)
            if d is not None
        ]
        if node.wake is not None:
            node.wake.cancel()
        if dues:
            node.wake = self._engine.after(max(0.01, (min(dues) - now) / node.rate), self._carry, node)

    def _written(self, node: Node, run: int, write: Write) -> None:
        if node.runs != run or not node.up or node.voter is None:
            return
        if not node.disk_fails:
            node.memory = write.state or node.memory
            node.rows |= {row.task: row for row in write.rows}
        node.voter.on_written(write, not node.disk_fails)
        self._carry(node)

    def _hand(self, node: Node, sender: str, message: Message) -> None:
        now = node.local(self._engine.now)
        if not isinstance(message, TO_VOTERS):
            if node.asker is not None:
                node.asker.on_message(now, sender, message)
        elif node.voter is not None:
            node.voter.on_message(now, sender, message)

    def _send(self, sender: str, to: str, message: Message) -> None:
        if self._cut[sender, to] > 0:
            if self._engine.now - self._since[sender, to] < self._silent_ms:
                self._held.setdefault((sender, to), []).append(message)
            return
        wait = self._network_ms
        for ms, share in self._slow:
            self._draws += 1
            if zlib.crc32(f"{self._seed} slow {self._draws}".encode()) / 2**32 < share:
                wait += ms
        self._engine.after(wait, self._arrive, sender, to, message)

    def _arrive(self, sender: str, to: str, message: Message) -> None:
        node = self.nodes.get(to)
        if node is None or not node.up:
            return
        node.told += 1
        if node.paused:
            node.unread.append((sender, message))
            return
        self._hand(node, sender, message)
        self._carry(node)

    # What goes wrong.

    def kill(self, name: str, disk: bool = False) -> None:
        """A process is gone, with its disk where told."""
        node = self.nodes[name]
        node.up, node.asker, node.voter = False, None, None
        if disk:
            node.memory, node.rows = None, {}

    def befall(self, trouble: Fault, victims: list[str], one_way: Callable[[], bool]) -> None:
        """One of the troubles between dispatchers; kills and lost machines are told by `kill` and `begin`."""
        kind, last, engine = trouble.kind, trouble.duration * 1000, self._engine
        nodes = [self.nodes[name] for name in victims if name in self.nodes]
        if kind == "cut-peers":
            pairs = []
            for node in nodes:
                out = not trouble.one_way or one_way()
                for other in self.nodes.keys() - set(victims):
                    pairs += [(node.name, other)] if out else []
                    pairs += [(other, node.name)] if not trouble.one_way or not out else []
            self.cut(pairs)
            engine.after(last, self.heal, pairs)
        elif kind == "slow-peers":
            self._slow.append((trouble.ms, trouble.share))
            engine.after(last, self._slow.remove, (trouble.ms, trouble.share))
        elif kind == "pause-dispatchers":
            for node in nodes:
                node.paused = True
                engine.after(last, self._wake, node)
        elif kind == "clock-rate":
            for node in nodes:
                self._rate(node, trouble.factor)
                engine.after(last, self._rate, node, 1.0)

    def _rate(self, node: Node, rate: float) -> None:
        now = self._engine.now
        node.base, node.since, node.rate = node.local(now), now, rate
        self._carry(node)

    def _wake(self, node: Node) -> None:
        unread, node.unread, node.paused = node.unread, [], False
        for sender, message in unread:
            self._hand(node, sender, message)
        self._carry(node)

    def cut(self, pairs: list[tuple[str, str]]) -> None:
        """These links, one way each, carry nothing."""
        for pair in pairs:
            self._since.setdefault(pair, self._engine.now)
        self._cut.update(pairs)

    def heal(self, pairs: list[tuple[str, str]]) -> None:
        """They are whole again; one whose silence was noticed is a new one."""
        self._cut.subtract(pairs)
        for pair in pairs:
            if self._cut[pair] <= 0:
                held, since = self._held.pop(pair, []), self._since.pop(pair, 0.0)
                for message in held if self._engine.now - since < self._silent_ms else []:
                    self._send(*pair, message)

    def disk(self, name: str, sync_ms: float, fails: bool) -> None:
        """What ails a disk."""
        if (node := self.nodes.get(name)) is not None:
            node.sync_ms, node.disk_fails = sync_ms, fails

    def status(self) -> dict[str, Any]:
        """Counts."""
        return {
            "told": {name: node.told for name, node in self.nodes.items()},
            "acts": sum(node.acts for node in self.nodes.values()),
        }
