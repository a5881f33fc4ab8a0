"""The book on disk: entries in an SQLite database in WAL mode, each commit synced before it counts.

Torn tails are cut off by the library at the next start; rows carry a checksum of their own, as pages do not.  A
database that cannot be read at all is set aside under another name, never written over.  One thread at a time uses it.
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
    """The book could not be opened, read or written; the text is the library's."""


@dataclass(slots=True)
class ActivationEntries:
    """All that is known of one activation."""

    accepted: Accepted
    may_run: MayRun | None = None
    ended: Ended | None = None


class ActivationJournal:
    """One file.  `most_bytes` bounds it (a commit beyond fails as a full disk does); `vfs` is for tests."""

    def __init__(self, file: Path, most_bytes: float = 1e12, vfs: str | None = None) -> None:
        self.file, self.damaged = file, 0
        try:
            self._db = apsw.Connection(str(file), vfs=vfs)
            self._db.set_busy_timeout(0)
            self._run("PRAGMA journal_mode=WAL")
            self._run("PRAGMA synchronous=FULL")
            self._run("PRAGMA auto_vacuum=INCREMENTAL")
            size = self._run("PRAGMA page_size")[0][0]
            self._run(f"PRAGMA max_page_count={max(16, int(most_bytes // size))}")
            self._prepare(self._run("PRAGMA user_version")[0][0])
        except apsw.Error as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def _run(self, text: str, values: tuple[object, ...] = ()) -> list[tuple]:
        return list(self._db.execute(text, values))

    @contextlib.contextmanager
    def _whole(self) -> Iterator[None]:
        """All that is done within, or none of it; some errors have rolled back by themselves already."""
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
            with self._whole():
                self._run(TABLE)
                self._run(INDEX)
                self._run(f"PRAGMA user_version={FORMAT}")
        elif version == 1:  # entries of format 1 are read as they are: what was added has defaults
            with self._whole():
                self._run("ALTER TABLE rows RENAME TO entries")
                self._run(INDEX)
                self._run(f"PRAGMA user_version={FORMAT}")
        elif version < FORMAT:
            self._run(f"PRAGMA user_version={FORMAT}")

    def clear_orphans(self) -> None:
        """Drop what belongs to activations that never became safe.  Raises `BookError`."""
        try:
            with self._whole():
                self._run("DELETE FROM entries WHERE kind != 0 AND id NOT IN (SELECT id FROM entries WHERE kind = 0)")
        except apsw.Error as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def commit(self, entries: Iterable[Entry]) -> None:
        """Make entries safe, all or none.  An entry written again is left as it was.  Raises `BookError`."""
        rows = []
        for entry in entries:
            data, crc = encode_entry(entry)
            start = entry.start if isinstance(entry, Accepted) else 0.0
            rows.append((entry.id, KINDS[type(entry)], start, crc, data))
        try:
            with self._whole():
                self._db.executemany("INSERT OR IGNORE INTO entries VALUES (?, ?, ?, ?, ?)", rows)
        except apsw.Error as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def activations(self) -> Iterator[ActivationEntries]:
        """All activations in order of their start; damaged rows are counted and passed over."""
        try:
            for (id_,) in self._db.execute("SELECT id FROM entries WHERE kind = 0 ORDER BY start, id"):
                life: ActivationEntries | None = None
                for crc, body in self._db.execute("SELECT crc, body FROM entries WHERE id = ? ORDER BY kind", (id_,)):
                    try:
                        entry = decode_entry(bytes(body), crc)
                    except CorruptEntryError:
                        self.damaged += 1
                        # What follows an entry that cannot be read proves nothing: it may have run.
                        if life is not None and life.may_run is None:
                            life.may_run = MayRun(id_, life.accepted.start, "")
                        continue
                    if isinstance(entry, Accepted):
                        life = ActivationEntries(entry)
                    elif life is not None and isinstance(entry, MayRun):
                        life.may_run = entry
                    elif life is not None and isinstance(entry, Ended):
                        life.ended = entry
                if life is not None:
                    yield life
        except apsw.Error as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def forget(self, ids: Iterable[str]) -> None:
        """Drop activations whose records are no longer kept, and give room back.  Raises `BookError`."""
        try:
            with self._whole():
                self._db.executemany("DELETE FROM entries WHERE id = ?", [(id_,) for id_ in ids])
            self._run("PRAGMA incremental_vacuum(2000)")
        except apsw.Error as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def count(self) -> int:
        """Activations in it."""
        return int(self._run("SELECT count(*) FROM entries WHERE kind = 0")[0][0])

    def close(self) -> None:
        """Close it; what was committed stays."""
        with contextlib.suppress(apsw.Error):
            self._db.close()


def open_journal(file: Path, most_bytes: float = 1e12, vfs: str | None = None) -> tuple[ActivationJournal, Path | None]:
    """Open a book; one that cannot be read is set aside first, its new name returned.  Raises `BookError`."""
    try:
        book = ActivationJournal(file, most_bytes, vfs)
        book.clear_orphans()
        return book, None
    except (JournalError, apsw.Error) as cause:
        text = str(cause)
        if not any(word in text for word in ("NotADB", "Corrupt", "malformed", "not a database")):
            raise JournalError(text) from None
    number = 1
    while (aside := file.with_name(f"{file.name}.damaged-{number}")).exists():
        number += 1
    for end in ("", "-wal", "-shm"):
        part = file.with_name(file.name + end)
        if part.exists():
            part.rename(aside.with_name(aside.name + end))
    return ActivationJournal(file, most_bytes, vfs), aside
