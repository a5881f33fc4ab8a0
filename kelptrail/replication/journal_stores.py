"""The two replica stores of a process and their disk threads: one for own journals, one for those of others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from kelptrail.store.driver import JournalDriver
from kelptrail.store.group_commit import GroupCommit

from .replica import ReplicaWrite
from .replica_store import ReadRequest, ReplicaStore

MAX_WAITING_REQUESTS = 1_000_000  # limit for each store; in practice the windows of the streams limit them earlier


class JournalStores:
    """The journals of this dispatcher's runs are in the store `own`, all others in `others`.

    Both are the same store if replicas are kept on disk.  `on_progress` is called after each transaction.
    """

    def __init__(
        self, name: str, own: ReplicaStore, others: ReplicaStore, on_progress: Callable[[], None], log: Any
    ) -> None:
        self._name, self._own, self._others = name, own, others
        self._disks = {
            id(store): JournalDriver(GroupCommit(MAX_WAITING_REQUESTS), store, on_progress, log)
            for store in (own, others)
        }

    def is_own(self, journal_id: str) -> bool:
        """Return whether a run of this dispatcher created the journal."""
        return journal_id.rpartition(".")[0] == self._name

    def of(self, journal_id: str) -> ReplicaStore:
        """Return the store of a journal."""
        return self._own if self.is_own(journal_id) else self._others

    def digests(self, journal_id: str) -> list[int]:
        """Return the digests of all buckets of a journal."""
        return self.of(journal_id).digests_of(journal_id)

    def activation_ids(self) -> set[str]:
        """Return the ids of the activations in all journals; must be called before the first request."""
        return self._own.activation_ids() | self._others.activation_ids()

    @property
    def own_disk_id(self) -> str:
        """Id of the disk that has the journals of this dispatcher."""
        return self._own.disk_id

    @property
    def failing(self) -> bool:
        """Whether the last transaction of any store failed."""
        return any(disk.group_commit.failing for disk in self._disks.values())

    def submit(self, request: ReplicaWrite | ReadRequest, on_done: Callable[[bool], None] | None = None) -> None:
        """Queue a request; `on_done` gets False if its transaction failed."""
        self._disks[id(self.of(request.journal_id))].group_commit.write(request, on_done)

    def pump(self) -> None:
        """Start the next transaction of each store that is idle."""
        for disk in self._disks.values():
            disk.start_next_batch()

    async def close(self, within_ms: float) -> None:
        """Finish queued requests and close the stores, each within `within_ms`."""
        for disk in self._disks.values():
            await disk.close(within_ms)
