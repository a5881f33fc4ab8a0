"""The simulated disk of a dispatcher's activation journal."""

from __future__ import annotations

from collections.abc import Iterable

from kelptrail.store.activation_journal import ActivationEntries
from kelptrail.store.entries import Accepted, Ended, MayRun


class JournalDisk:
    """Content of the disk, which outlives the dispatcher's process."""

    def __init__(self) -> None:
        self._entries: dict[str, ActivationEntries] = {}  # by activation

    def stored(self) -> list[ActivationEntries]:
        """Return the entries of each activation, in order of acceptance."""
        return list(self._entries.values())

    def erase(self) -> None:
        """Erase all entries."""
        self._entries = {}

    def write(self, entries: Iterable[object]) -> None:
        """Store the entries of a batch; each activation keeps its first entry of each kind."""
        for entry in entries:
            if isinstance(entry, Accepted):
                self._entries.setdefault(entry.id, ActivationEntries(entry))
            elif isinstance(entry, MayRun | Ended) and (stored := self._entries.get(entry.id)) is not None:
                if isinstance(entry, MayRun):
                    stored.may_run = stored.may_run or entry
                else:
                    stored.ended = stored.ended or entry
