"""The activation journal on disk: entries in an SQLite database in WAL mode, each commit synced before it returns.

SQLite drops an incomplete end of its write-ahead log at the next start.  Each row has its own checksum, because
SQLite's pages have none.  A damaged database is renamed, never overwritten.  Only one thread at a time may use a
journal.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import NamedTuple

import apsw

from .database import DAMAGE_MARKS, Database, JournalError, journal_errors, move_aside
from .entries import FORMAT, Accepted, CorruptEntryError, Ended, Entry, MayRun, decode_entry, encode_entry
from .wal import drop_uncommitted

KINDS = {Accepted: 0, MayRun: 1, Ended: 2}
TABLE = """CREATE TABLE entries (id TEXT NOT NULL, kind INTEGER NOT NULL, start REAL NOT NULL, crc INTEGER NOT NULL,
           body BLOB NOT NULL, PRIMARY KEY (id, kind)) WITHOUT ROWID"""
INDEX = "CREATE INDEX by_start ON entries (start)"


MIN_PAGES = 16  # smallest size limit of a file, even if `max_bytes` is smaller
MAX_FREED_PAGES = 2000  # largest number of pages returned to the file system at a time


@dataclass(slots=True)
class ActivationEntries:
    """All entries of one activation."""

    accepted: Accepted
    may_run: MayRun | None = None
    ended: Ended | None = None


class ActivationJournal:
    """One file of at most `max_bytes`: a commit beyond that fails as on a full disk.  `vfs` is for tests.

    `damaged` counts the damaged rows that `activations` has found.
    """

    def __init__(self, file: Path, max_bytes: float = 1e12, vfs: str | None = None) -> None:
        self.file, self.damaged = file, 0
        with journal_errors():
            self._database = Database(file, vfs)
            self._database.run("PRAGMA auto_vacuum=INCREMENTAL")
            page_size = self._database.run("PRAGMA page_size")[0][0]
            self._database.run(f"PRAGMA max_page_count={max(MIN_PAGES, int(max_bytes // page_size))}")
            self._create_or_migrate(self._database.format_version(FORMAT))

    def _transaction(self) -> contextlib.AbstractContextManager[None]:
        """Commit all statements of the block, or none.

        A commit that fails is cut off the write-ahead log, from which a start after a crash would restore it.
        """
        return self._database.transaction(after_rollback=partial(drop_uncommitted, self.file))

    def _create_or_migrate(self, version: int) -> None:
        if version == 0:
            with self._transaction():
                self._database.run(TABLE)
                self._database.run(INDEX)
                self._database.set_format_version(FORMAT)
        elif version == 1:  # entries of format 1 stay as they are, because the fields added since have defaults
            with self._transaction():
                self._database.run("ALTER TABLE rows RENAME TO entries")
                self._database.run(INDEX)
                self._database.set_format_version(FORMAT)
        elif version < FORMAT:  # format 2 has the same tables; its entries lack only a field with a default
            self._database.set_format_version(FORMAT)

    def clear_orphans(self) -> None:
        """Delete the entries of activations without an accepted entry, as that entry never became durable.

        Raises `JournalError`.
        """
        with journal_errors(), self._transaction():
            self._database.run(
                "DELETE FROM entries WHERE kind != 0 AND id NOT IN (SELECT id FROM entries WHERE kind = 0)"
            )

    def commit(self, entries: Iterable[Entry]) -> None:
        """Make entries durable, all or none; an entry that exists is not replaced.  Raises `JournalError`."""
        rows = []
        for entry in entries:
            data, crc = encode_entry(entry)
            start = entry.start if isinstance(entry, Accepted) else 0.0
            rows.append((entry.id, KINDS[type(entry)], start, crc, data))
        with journal_errors(), self._transaction():
            self._database.run_many("INSERT OR IGNORE INTO entries VALUES (?, ?, ?, ?, ?)", rows)

    def activations(self) -> Iterator[ActivationEntries]:
        """Yield all activations in order of their start; damaged rows are counted and skipped.

        An activation whose accepted entry is damaged is skipped; one with another damaged entry is assumed to have a
        may-run entry.  Raises `JournalError`.
        """
        with journal_errors():
            for (id_,) in self._database.rows("SELECT id FROM entries WHERE kind = 0 ORDER BY start, id"):
                activation: ActivationEntries | None = None
                for crc, body in self._database.rows(
                    "SELECT crc, body FROM entries WHERE id = ? ORDER BY kind", (id_,)
                ):
                    try:
                        entry = decode_entry(bytes(body), crc)
                    except CorruptEntryError:
                        self.damaged += 1
                        # The damaged entry may have been the may-run entry, so the request may have run.
                        if activation is not None and activation.may_run is None:
                            activation.may_run = MayRun(id_, activation.accepted.start, "")
                        continue
                    if isinstance(entry, Accepted):
                        activation = ActivationEntries(entry)
                    elif activation is not None and isinstance(entry, MayRun):
                        activation.may_run = entry
                    elif activation is not None and isinstance(entry, Ended):
                        activation.ended = entry
                if activation is not None:
                    yield activation

    def forget(self, ids: Iterable[str]) -> None:
        """Delete activations whose records were dropped, and free up to `MAX_FREED_PAGES`.  Raises `JournalError`."""
        with journal_errors():
            with self._transaction():
                self._database.run_many("DELETE FROM entries WHERE id = ?", [(id_,) for id_ in ids])
            self._database.run(f"PRAGMA incremental_vacuum({MAX_FREED_PAGES})")

    def count(self) -> int:
        """Return the number of activations."""
        return int(self._database.run("SELECT count(*) FROM entries WHERE kind = 0")[0][0])

    def close(self) -> None:
        """Close the file; committed entries stay."""
        self._database.close()


class OpenedJournal(NamedTuple):
    """A journal, and the new name of the damaged file that it replaces, if there was one."""

    journal: ActivationJournal
    set_aside: Path | None


def open_journal(file: Path, max_bytes: float = 1e12, vfs: str | None = None) -> OpenedJournal:
    """Open a journal; a damaged file is renamed first and replaced by an empty journal.

    Raises `JournalError`, or `OSError` if a damaged file cannot be renamed.
    """
    try:
        journal = ActivationJournal(file, max_bytes, vfs)
        journal.clear_orphans()
        return OpenedJournal(journal, None)
    except (JournalError, apsw.Error) as cause:
        text = str(cause)
        if not any(mark in text for mark in DAMAGE_MARKS):
            raise JournalError(text) from None
    aside = move_aside(file)
    return OpenedJournal(ActivationJournal(file, max_bytes, vfs), aside)
