"""The activation journal on disk: entries in an SQLite database in WAL mode, each commit synced before it counts.

The library cuts off torn tails at the next start; rows carry a checksum of their own, as pages do not.  A database
that cannot be read at all is renamed, never overwritten.  One thread at a time uses it.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import apsw

from .entries import FORMAT, Accepted, CorruptEntryError, Ended, Entry, MayRun, decode_entry, encode_entry
from .wal import drop_uncommitted

KINDS = {Accepted: 0, MayRun: 1, Ended: 2}
TABLE = """CREATE TABLE entries (id TEXT NOT NULL, kind INTEGER NOT NULL, start REAL NOT NULL, crc INTEGER NOT NULL,
           body BLOB NOT NULL, PRIMARY KEY (id, kind)) WITHOUT ROWID"""
INDEX = "CREATE INDEX by_start ON entries (start)"


class JournalError(Exception):
    """The journal could not be opened, read or written; the text is the library's."""


@contextlib.contextmanager
def _library_errors() -> Iterator[None]:
    """Raise errors of the library as `JournalError`."""
    try:
        yield
    except apsw.Error as cause:
        raise JournalError(f"{type(cause).__name__}: {cause}") from None


@dataclass(slots=True)
class ActivationEntries:
    """All entries of one activation."""

    accepted: Accepted
    may_run: MayRun | None = None
    ended: Ended | None = None


class ActivationJournal:
    """One file of at most `max_bytes`: a commit beyond fails like one on a full disk.  `vfs` is for tests."""

    def __init__(self, file: Path, max_bytes: float = 1e12, vfs: str | None = None) -> None:
        self.file, self.damaged = file, 0
        with _library_errors():
            self._db = apsw.Connection(str(file), vfs=vfs)
            self._db.set_busy_timeout(0)
            self._run("PRAGMA journal_mode=WAL")
            self._run("PRAGMA synchronous=FULL")
            self._run("PRAGMA auto_vacuum=INCREMENTAL")
            size = self._run("PRAGMA page_size")[0][0]
            self._run(f"PRAGMA max_page_count={max(16, int(max_bytes // size))}")
            self._prepare(self._run("PRAGMA user_version")[0][0])

    def _run(self, text: str, values: tuple[object, ...] = ()) -> list[tuple]:
        return list(self._db.execute(text, values))

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        """Commit everything done within, or none of it; some errors have rolled back already."""
        self._run("BEGIN IMMEDIATE")
        try:
            yield
            self._run("COMMIT")
        except apsw.Error:
            if self._db.in_transaction:
                with contextlib.suppress(apsw.Error):
                    self._run("ROLLBACK")
            drop_uncommitted(self.file)
            raise

    def _prepare(self, version: int) -> None:
        if version > FORMAT:
            raise JournalError(f"format {version} is newer than {FORMAT}, which is known here")
        if version == 0:
            with self._transaction():
                self._run(TABLE)
                self._run(INDEX)
                self._run(f"PRAGMA user_version={FORMAT}")
        elif version == 1:  # entries of format 1 are read as they are: what was added has defaults
            with self._transaction():
                self._run("ALTER TABLE rows RENAME TO entries")
                self._run(INDEX)
                self._run(f"PRAGMA user_version={FORMAT}")
        elif version < FORMAT:
            self._run(f"PRAGMA user_version={FORMAT}")

    def clear_orphans(self) -> None:
        """Delete entries without an accepted entry: their activations never became durable.  Raises `JournalError`."""
        with _library_errors(), self._transaction():
            self._run("DELETE FROM entries WHERE kind != 0 AND id NOT IN (SELECT id FROM entries WHERE kind = 0)")

    def commit(self, entries: Iterable[Entry]) -> None:
        """Make entries durable, all or none; an entry written again is left as it was.  Raises `JournalError`."""
        rows = []
        for entry in entries:
            data, crc = encode_entry(entry)
            start = entry.start if isinstance(entry, Accepted) else 0.0
            rows.append((entry.id, KINDS[type(entry)], start, crc, data))
        with _library_errors(), self._transaction():
            self._db.executemany("INSERT OR IGNORE INTO entries VALUES (?, ?, ?, ?, ?)", rows)

    def activations(self) -> Iterator[ActivationEntries]:
        """All activations in order of their start; damaged rows are counted and skipped.  Raises `JournalError`."""
        with _library_errors():
            for (id_,) in self._db.execute("SELECT id FROM entries WHERE kind = 0 ORDER BY start, id"):
                activation: ActivationEntries | None = None
                for crc, body in self._db.execute("SELECT crc, body FROM entries WHERE id = ? ORDER BY kind", (id_,)):
                    try:
                        entry = decode_entry(bytes(body), crc)
                    except CorruptEntryError:
                        self.damaged += 1
                        # An entry that cannot be read may have been the may-run entry.
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
        """Delete activations whose records are no longer kept, and free their pages.  Raises `JournalError`."""
        with _library_errors():
            with self._transaction():
                self._db.executemany("DELETE FROM entries WHERE id = ?", [(id_,) for id_ in ids])
            self._run("PRAGMA incremental_vacuum(2000)")

    def count(self) -> int:
        """The number of activations."""
        return int(self._run("SELECT count(*) FROM entries WHERE kind = 0")[0][0])

    def close(self) -> None:
        """Close the file; what was committed stays."""
        with contextlib.suppress(apsw.Error):
            self._db.close()


def open_journal(file: Path, max_bytes: float = 1e12, vfs: str | None = None) -> tuple[ActivationJournal, Path | None]:
    """Open a journal.  Raises `JournalError`.

    A file that cannot be read is renamed first; its new name is returned, else None.
    """
    try:
        journal = ActivationJournal(file, max_bytes, vfs)
        journal.clear_orphans()
        return journal, None
    except (JournalError, apsw.Error) as cause:
        text = str(cause)
        if not any(word in text for word in ("NotADB", "Corrupt", "malformed", "not a database")):
            raise JournalError(text) from None
    number = 1
    while (aside := file.with_name(f"{file.name}.damaged-{number}")).exists():
        number += 1
    for suffix in ("", "-wal", "-shm"):
        part = file.with_name(file.name + suffix)
        if part.exists():
            part.rename(aside.with_name(aside.name + suffix))
    return ActivationJournal(file, max_bytes, vfs), aside
