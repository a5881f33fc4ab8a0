"""Randomized model of one journal with its successive primaries, replicas and disks.

Messages are lost, duplicated, delayed and reordered; syncs fail; processes restart; disks are lost.  A primary may
lose its lease at any time and then still complete the writes that are queued, as if it were paused between the check of
the lease and the write.  The lease is modelled as `docs/leases.md` specifies it: one holder at a time, increasing
tokens, and a note for the next holder.

Checked properties: the next primary has every acknowledged call, unless the disks of all in-sync replicas are lost; no
call runs twice, or runs and is rejected; no call has two final answers; the newest token of a replica never decreases.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import Any

from kelptrail.lease.messages import NO_TOKEN, FencingToken
from kelptrail.model_checking.explorer import PropertyError

from .messages import Append, CloseStream, InSyncSet, OpenStream, ReplicaEntry, bucket_of
from .model_node import JOURNAL, Node, Roles
from .primary import Primary
from .replica import Replica, ReplicaWrite
from .replica_stream import Batch

ACCEPTED, MAY_RUN, ENDED = 0, 1, 2  # kinds of entries
MAX_NODES_WITH_LOST_DISK = 2


@dataclass(slots=True)
class Faults:
    """Probabilities of faults: the first three per message, `failed_sync` per write, all others per step."""

    lost: float = 0.1
    duplicated: float = 0.1
    delayed: float = 0.2
    failed_sync: float = 0.03
    restart: float = 0.01
    disk_loss: float = 0.004
    lease_loss: float = 0.01
    bit_rot: float = 0.0


class Model:
    """One random walk with a seed.  `roles` are the classes of primary and replica; tests pass faulty ones."""

    def __init__(
        self,
        seed: int,
        nodes: int = 4,
        faults: Faults | None = None,
        roles: tuple[type[Primary], type[Replica]] = Roles(),
    ) -> None:
        self.rng, self.faults = random.Random(seed), faults or Faults()
        self.now, self.request_count = 0.0, 0
        self.nodes = {f"d{n}": Node(Roles(*roles), f"d{n}") for n in range(nodes)}
        self.in_transit: list[tuple[str, str, Any]] = []
        # State of the lease at the acceptors.
        self.lease_token, self.in_sync, self.lease_holder = NO_TOKEN, InSyncSet("", {}), ""
        self.acknowledged: set[str] = set()
        self.executed_at: dict[str, str] = {}  # name of the node that ran each call
        self.final_answers: dict[str, str] = {}
        self.takeovers = self.all_disks_lost = 0

    # The lease.

    def _grant_lease(self, node: Node) -> None:
        """Grant the lease to a node; every earlier lease has expired."""
        is_first = not self.lease_token.round
        self.lease_token, self.lease_holder = FencingToken(self.lease_token.round + 1, node.name), node.name
        in_sync = self.in_sync
        if not is_first and in_sync.disk_ids.get(node.name) != node.disk_id:
            self.lease_holder = ""  # a node that is not in sync releases the lease
            return
        node.holds_lease = True
        token_before = node.primary.token
        can_continue = (
            token_before.round > 0
            and in_sync.primary == node.name
            and node.replica.is_latest_token(JOURNAL, token_before)
            and not node.primary.disk_failed
        )
        if (write := node.replica.become_primary(JOURNAL, self.lease_token, node.name)) is None:
            raise PropertyError(f"{node.name} has received a later token than the lease's")
        if not can_continue:
            node.primary = node.new_primary()
            node.requests = {}
        lost_primaries = {in_sync.primary} - {node.name}
        remaining = {name: disk_id for name, disk_id in in_sync.disk_ids.items() if name not in lost_primaries}
        node.disk_queue.append((write, partial(self._on_fence_stored, node, self.lease_token, remaining)))

    def _on_fence_stored(self, node: Node, token: FencingToken, in_sync: dict[str, str], succeeded: bool) -> None:
        if not node.holds_lease or token != self.lease_token:
            return
        if not succeeded:
            self._lose_lease(node)
            return
        self.takeovers += 1
        node.primary.on_lease_acquired(self.now, token, in_sync)
        node.primary.append((), partial(self._recover, node, node.primary))

    def _recover(self, node: Node, primary: Primary, _fully_replicated: bool) -> None:
        stored_ids = {id_ for id_, _ in node.disk.entries}
        if (lost := self.acknowledged - stored_ids) and not self._check_disks_lost():
            raise PropertyError(f"{node.name} is the primary and lacks {sorted(lost)}, which were acknowledged")
        for id_ in sorted(stored_ids - node.requests.keys()):
            if (id_, ENDED) in node.disk.entries:
                self._record_final(id_, node.disk.entries[id_, ENDED].decode())
            elif (id_, MAY_RUN) in node.disk.entries:
                self._finish(node, id_, "aborted")
            else:
                self._attempt(node, id_)

    def _check_disks_lost(self) -> bool:
        """Return whether the disks of all in-sync replicas are lost or were lost at an earlier check."""
        if self.all_disks_lost:
            return True
        self.all_disks_lost = all(
            self.nodes[name].disk_id != disk_id for name, disk_id in self.in_sync.disk_ids.items()
        )
        return bool(self.all_disks_lost)

    def _lose_lease(self, node: Node) -> None:
        node.holds_lease = False
        node.primary.ready = False
        if self.lease_holder == node.name:
            self.lease_holder = ""

    # Requests.

    def _accept_request(self, node: Node) -> None:
        self.request_count += 1
        id_ = f"c{self.request_count}"
        node.requests[id_] = "record"
        node.primary.append(
            [ReplicaEntry(id_, ACCEPTED, 0.0, b"")], partial(self._on_accepted_committed, node, node.primary, id_)
        )
        if self.rng.random() < 0.5:
            self._attempt(node, id_)

    def _on_accepted_committed(self, node: Node, primary: Primary, id_: str, fully_replicated: bool) -> None:
        if fully_replicated:
            self.acknowledged.add(id_)
        if not fully_replicated and node.requests.get(id_) == "record":
            self._finish(node, id_, "rejected")
        elif node.requests.get(id_) == "record":
            self._attempt(node, id_)

    def _attempt(self, node: Node, id_: str) -> None:
        node.requests[id_] = "may-run"
        node.primary.append(
            [ReplicaEntry(id_, MAY_RUN, 0.0, b"")], partial(self._on_may_run_committed, node, node.primary, id_)
        )

    def _on_may_run_committed(self, node: Node, primary: Primary, id_: str, _fully_replicated: bool) -> None:
        """Run the call, even if the process was suspended after its last check of the lease."""
        if id_ in self.executed_at:
            raise PropertyError(f"{id_} ran at {self.executed_at[id_]} and at {node.name}")
        self.executed_at[id_] = node.name
        self._finish(node, id_, "completed")

    def _finish(self, node: Node, id_: str, answer: str) -> None:
        node.requests[id_] = "end"
        node.primary.append([ReplicaEntry(id_, ENDED, 0.0, answer.encode())], lambda _: self._record_final(id_, answer))

    def _record_final(self, id_: str, answer: str) -> None:
        if self.final_answers.setdefault(id_, answer) != answer:
            raise PropertyError(f"{id_} has the final answers {self.final_answers[id_]} and {answer}")
        if answer == "rejected" and id_ in self.executed_at:
            raise PropertyError(f"{id_} was rejected and ran")

    # Steps.

    def step(self, faults: bool = True) -> None:
        """Advance the clock, run all nodes and deliver messages; inject faults if `faults` is true.

        Raises `PropertyError`.
        """
        self.now += self.rng.uniform(1, 60)
        node = self.nodes[self.rng.choice(sorted(self.nodes))]
        if faults:
            self._fail_node(node)
        if self.lease_holder and faults and self.rng.random() < self.faults.lease_loss:
            self._lose_lease(self.nodes[self.lease_holder])
        if not self.lease_holder and self.rng.random() < 0.3:
            eligible = [
                candidate
                for candidate in self.nodes.values()
                if candidate.disk.token.round or not self.lease_token.round
            ]
            if eligible:
                self._grant_lease(self.rng.choice(eligible))
        for running_node in self.nodes.values():
            self._run_node(running_node, faults)
        self._deliver(faults)

    def _fail_node(self, node: Node) -> None:
        """Restart a node, replace its disk by an empty one or remove an entry from it, each with its probability."""
        rng, rates = self.rng, self.faults
        if rng.random() < rates.restart:
            self._lose_lease(node)
            node.restart()
        nodes_with_lost_disk = sum(bool(other.disks_lost) for other in self.nodes.values())
        if rng.random() < rates.disk_loss and nodes_with_lost_disk < MAX_NODES_WITH_LOST_DISK:
            self._lose_lease(node)
            node.lose_disk()
        if rng.random() < rates.bit_rot and node.disk.entries and not node.holds_lease:
            del node.disk.entries[rng.choice(sorted(node.disk.entries))]

    def _run_node(self, node: Node, faults: bool) -> None:
        primary = node.primary
        if node.holds_lease and primary.token == self.lease_token:
            self._run_primary(node, primary, faults)
        while primary.bucket_reads:
            replica, stream_id, bucket = primary.bucket_reads.popleft()
            entries = tuple(entry for entry in node.disk.all_entries() if bucket_of(entry.id) == bucket)
            primary.on_bucket_read(self.now, replica, stream_id, bucket, entries)
        while node.disk_queue and self.rng.random() < 0.7:
            write, on_done = node.disk_queue.popleft()
            succeeded = not (faults and self.rng.random() < self.faults.failed_sync)
            if succeeded:
                node.disk.apply(write)
            on_done(succeeded)
        while node.replica.pending_writes:
            write = node.replica.pending_writes.popleft()
            node.disk_queue.append((write, partial(node.replica.on_write_done, write)))
        self._collect_messages(node, primary)

    def _run_primary(self, node: Node, primary: Primary, faults: bool) -> None:
        if primary.ready and primary.accepts_requests() and faults and self.rng.random() < 0.3:
            self._accept_request(node)
        others = [name for name in sorted(self.nodes) if name != node.name]
        primary.update_streams(self.now, others, others)
        primary.tick(self.now)
        for batch in list(primary.local_writes):
            write = ReplicaWrite(JOURNAL, tuple(batch.entries), tuple(batch.deleted_ids))
            node.disk_queue.append((write, partial(self._on_local_write, node, primary, batch)))
        primary.local_writes.clear()
        if primary.disk_failed or primary.fenced_by:
            self._lose_lease(node)

    def _collect_messages(self, node: Node, primary: Primary) -> None:
        """Put the queued messages into transit; an empty receiver stands for the acceptors of the lease."""
        messages: list[tuple[str, Any]] = [*primary.outbox, *node.replica.outbox]
        self.in_transit += [(node.name, to, message) for to, message in messages]
        for in_sync in primary.in_sync_updates:
            self.in_transit.append((node.name, "", (primary.token, in_sync)))
        primary.outbox.clear()
        node.replica.outbox.clear()
        primary.in_sync_updates.clear()

    @staticmethod
    def _on_local_write(node: Node, primary: Primary, batch: Batch, succeeded: bool) -> None:
        if node.primary is primary:
            primary.on_local_write(batch, succeeded)

    def _deliver(self, faults: bool) -> None:
        self.rng.shuffle(self.in_transit)
        delivered: list[tuple[str, str, Any]] = self.in_transit
        self.in_transit = []
        for sender, to, message in delivered:
            draw = self.rng.random() if faults else 1.0
            if draw < self.faults.delayed:
                self.in_transit.append((sender, to, message))
                continue
            if not to:
                # A real note goes to several acceptors and is lost only with its sender.  The model may delay a note,
                # but does not lose or duplicate it.
                self._on_in_sync_stored(sender, *message)
                continue
            if draw < self.faults.delayed + self.faults.lost:
                continue
            if draw < self.faults.delayed + self.faults.lost + self.faults.duplicated:
                self.in_transit.append((sender, to, message))
            self._receive(sender, self.nodes[to], message)

    def _receive(self, sender: str, node: Node, message: Any) -> None:
        if not isinstance(message, OpenStream | Append | CloseStream):
            node.primary.on_message(self.now, sender, message)
            return
        token_before = node.newest_token()
        node.replica.on_message(sender, message)
        if JOURNAL in node.replica.logs and node.newest_token() < token_before:
            raise PropertyError(
                f"{node.name} went back from token {token_before} to the older token {node.newest_token()}"
            )

    def _on_in_sync_stored(self, sender: str, token: FencingToken, in_sync: dict[str, str]) -> None:
        if token != self.lease_token:
            return
        self.in_sync = InSyncSet(sender, in_sync)
        primary = self.nodes[sender].primary
        if primary.token == token and primary.pending_in_sync == in_sync and self.lease_holder == sender:
            primary.on_in_sync_stored(self.now)

    def run_without_faults(self, steps: int = 400) -> None:
        """Make steps without faults, then check that every acknowledged call has a final answer.

        Raises `PropertyError`.
        """
        for _ in range(steps):
            self.step(False)
        if self.all_disks_lost or self._check_disks_lost():
            return
        if lost := self.acknowledged - self.final_answers.keys():
            raise PropertyError(f"{sorted(lost)} were acknowledged and have no final answer")
