"""An index of activations by the idempotency keys of their clients."""

from __future__ import annotations

from collections.abc import Iterable

from kelptrail.dispatch.entities import FinalStatus, Idempotency

from .records import Record


class KeyConflictError(Exception):
    """An idempotency key was used before with another body."""


class IdempotencyKeys:
    """The newest record of each namespace, action path and key."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str, str], Record] = {}

    def add(self, record: Record) -> None:
        """Add a record that has a key; it replaces an older one with the same key."""
        self._records[record.namespace, record.path, record.key] = record

    def remove(self, record: Record) -> None:
        """Remove a record, unless a newer one has its key."""
        index_key = (record.namespace, record.path, record.key)
        if record.key and self._records.get(index_key) is record:
            del self._records[index_key]

    def find(self, namespace: str, path: str, key: str, digest: str) -> Record | None:
        """Return the activation that a client's retry joins, or None where the retry is a new request.

        A retry is a new request after a rejection, which promised that trying again is harmless, and after the failure
        of an idempotent activation.  Raises `KeyConflictError` if the retry would join an activation with another body
        (`digest`).
        """
        record = self._records.get((namespace, path, key))
        if record is None or record.answer is FinalStatus.REJECTED:
            return None
        if record.answer is FinalStatus.FAILED and record.idempotency == Idempotency.IDEMPOTENT.value:
            return None
        if record.digest != digest:
            raise KeyConflictError(f"the key belongs to activation {record.id}, which has another body")
        return record

    def has(self, namespace: str, path_and_key: str, paths: Iterable[str]) -> bool:
        """Return whether a namespace has a record for `PATH/KEY`.

        A path and a key may both contain slashes, so each of `paths`, all action paths, is tried.
        """
        return any(
            (namespace, path, path_and_key.removeprefix(f"{path}/")) in self._records
            for path in paths
            if path_and_key.startswith(f"{path}/")
        )
