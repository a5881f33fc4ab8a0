"""Batches of journal entries at the primary: one that collects new entries, and started ones that are not committed."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from .messages import ReplicaEntry
from .replica_stream import Batch, CommitCallback

MAX_UNCOMMITTED_BATCHES = 4  # at this number, new entries wait in the collecting batch


class BatchQueue:
    """Batches of one journal, numbered from 1 and committed in order.

    `uncommitted` contains the batches that were started and are not committed, oldest first.  `uncommitted_bytes` is
    the size of their entries; the collecting batch does not count.
    """

    def __init__(self) -> None:
        self.uncommitted: deque[Batch] = deque()
        self.uncommitted_bytes = 0
        self.committed_batches = self.committed_entries = 0
        self._collecting = Batch(1)

    def append(
        self, entries: Iterable[ReplicaEntry], on_commit: CommitCallback | None, deleted_ids: Iterable[str]
    ) -> None:
        """Add entries, a commit callback and ids of activations to delete to the batch that is started next."""
        batch = self._collecting
        for entry in entries:
            batch.entries.append(entry)
            batch.size_bytes += len(entry.id) + len(entry.data)
        batch.deleted_ids += deleted_ids
        if on_commit is not None:
            batch.on_commit.append(on_commit)

    def start_next(self) -> Batch | None:
        """Start the collecting batch and return it, or None if it is empty or too many batches are uncommitted."""
        batch = self._collecting
        is_empty = not (batch.entries or batch.deleted_ids or batch.on_commit)
        if is_empty or len(self.uncommitted) >= MAX_UNCOMMITTED_BATCHES:
            return None
        self._collecting = Batch(batch.number + 1)
        self.uncommitted.append(batch)
        self.uncommitted_bytes += batch.size_bytes
        return batch

    def commit_first(self) -> Batch:
        """Remove the oldest uncommitted batch as committed and return it; the caller calls its callbacks."""
        batch = self.uncommitted.popleft()
        self.uncommitted_bytes -= batch.size_bytes
        self.committed_batches += 1
        self.committed_entries += len(batch.entries)
        return batch

    @property
    def uncommitted_entries(self) -> int:
        """Number of entries that are not committed yet."""
        return len(self._collecting.entries) + sum(len(batch.entries) for batch in self.uncommitted)

    @property
    def last_committed(self) -> int:
        """Number of the last committed batch."""
        return self.uncommitted[0].number - 1 if self.uncommitted else self._collecting.number - 1

    @property
    def last_locally_durable(self) -> int:
        """Number of the last batch that is stored on the local disk."""
        durable = (batch.number for batch in self.uncommitted if batch.locally_durable)
        return max(durable, default=self.last_committed)

    def not_locally_durable(self) -> list[Batch]:
        """Return the started batches that are not stored on the local disk yet."""
        return [batch for batch in self.uncommitted if not batch.locally_durable]
