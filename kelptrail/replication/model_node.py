"""A dispatcher of the replication model: its disk, its process, and the primary and replica that run in it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from kelptrail.lease.messages import NO_TOKEN, FencingToken

from .messages import BUCKETS, NO_BUCKETS, ReplicaEntry, ReplicationSettings, bucket_digests, bucket_of, pack_digests
from .primary import Primary
from .replica import Fence, Replica, ReplicaWrite

JOURNAL = "b"
SETTINGS = ReplicationSettings(
    2,
    retry_ms=100.0,
    replica_timeout_ms=600.0,
    reconnect_pause_ms=500.0,
    verify_interval_ms=300.0,
    repair_bytes_per_ms=1e9,
)


class Roles(NamedTuple):
    """Classes of the primary and the replica; tests replace them with faulty ones."""

    primary: type[Primary] = Primary
    replica: type[Replica] = Replica


@dataclass(slots=True)
class Disk:
    """The state of the journal on a dispatcher's disk."""

    token: FencingToken = NO_TOKEN
    primary: str = ""
    entries: dict[tuple[str, int], bytes] = field(default_factory=dict)

    def apply(self, write: ReplicaWrite) -> None:
        """Carry out a write."""
        if write.fence is not None:
            self.token, self.primary = write.fence
        if write.closes_journal:
            self.entries.clear()
        for entry in write.entries:
            self.entries[entry.id, entry.kind] = entry.data
        for id_, kind in list(self.entries):
            if id_ in write.deleted_ids or (
                bucket_of(id_) == write.trimmed_bucket and (id_, kind) not in write.retained
            ):
                del self.entries[id_, kind]
        if write.digest_range != NO_BUCKETS:
            first, end = write.digest_range
            write.digests = pack_digests(self.digests()[first : end if end >= 0 else BUCKETS])

    def digests(self) -> list[int]:
        """Return the digests of all buckets."""
        return bucket_digests(self.all_entries())

    def all_entries(self) -> list[ReplicaEntry]:
        """Return all entries, ordered by id and kind."""
        return [ReplicaEntry(id_, kind, 0.0, data) for (id_, kind), data in sorted(self.entries.items())]


class Node:
    """One dispatcher: its disk, and the memory of its process.  `roles` are the classes of primary and replica."""

    def __init__(self, roles: Roles, name: str) -> None:
        self.roles, self.name, self.disk, self.disks_lost = roles, name, Disk(), 0
        self.disk_queue: deque[tuple[ReplicaWrite, Any]] = deque()
        self.restart()

    def restart(self) -> None:
        """Start the process again from the state of its disk."""
        disk = self.disk
        fences = {JOURNAL: Fence(disk.token, disk.primary)} if disk.token.round else {}
        self.replica = self.roles.replica(fences, lambda _: self.disk_id)
        self.primary = self.new_primary()
        self.disk_queue.clear()
        self.holds_lease = False
        self.requests: dict[str, str] = {}  # by call: name of the last entry that was queued for it

    @property
    def disk_id(self) -> str:
        """Id of the current disk."""
        return f"{self.disks_lost}"

    def lose_disk(self) -> None:
        """Replace the disk with an empty one and restart."""
        self.disk, self.disks_lost = Disk(), self.disks_lost + 1
        self.restart()

    def newest_token(self) -> FencingToken:
        """Return the newest token that the replica has received."""
        return self.replica.logs[JOURNAL].token if JOURNAL in self.replica.logs else NO_TOKEN

    def new_primary(self) -> Primary:
        """Create a primary without any state."""
        return self.roles.primary(JOURNAL, self.name, self.disk_id, SETTINGS, lambda: self.disk.digests())
