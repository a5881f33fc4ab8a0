"""What the program's SQLite databases share: opening, transactions, errors, and moving a damaged file aside.

A database is in WAL mode, and each commit is synced before it returns.  One thread at a time uses it.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import apsw

DAMAGE_MARKS = ("NotADB", "Corrupt", "malformed", "not a database")  # in the text of an error: the file is damaged
FILE_SUFFIXES = ("", "-wal", "-shm")  # of the files that make up a database


Row = tuple[Any, ...]  # the values of one row, of the types that SQLite gives them


class JournalError(Exception):
    """A database could not be opened, read or written; the text is the library's."""


@contextlib.contextmanager
def journal_errors(*other_errors: type[Exception]) -> Iterator[None]:
    """Raise errors of the library, and `other_errors`, as `JournalError`."""
    errors: tuple[type[Exception], ...] = (apsw.Error, *other_errors)
    try:
        yield
    except errors as cause:
        raise JournalError(f"{type(cause).__name__}: {cause}") from None


class Database:
    """One database; `file` None: in memory.  Methods raise `apsw.Error`; callers use `journal_errors`."""

    def __init__(self, file: Path | None, vfs: str | None = None) -> None:
        name, used_vfs = (str(file), vfs) if file is not None else (":memory:", None)
        self._connection = apsw.Connection(name, vfs=used_vfs)
        self._connection.set_busy_timeout(0)
        self.run("PRAGMA journal_mode=WAL")
        self.run("PRAGMA synchronous=FULL")

    def run(self, text: str, values: tuple[object, ...] = ()) -> list[Row]:
        """Execute a statement and return all of its rows."""
        return list(self.rows(text, values))

    def rows(self, text: str, values: tuple[object, ...] = ()) -> Iterator[Row]:
        """Execute a statement and return its rows one after another."""
        return self._connection.execute(text, values)

    def run_many(self, text: str, rows: Iterable[tuple[object, ...]]) -> None:
        """Execute a statement once for each row of values."""
        self._connection.executemany(text, rows)

    def format_version(self, known: int) -> int:
        """The version of the stored format; 0 for a new file.  Raises `JournalError` if it is later than `known`."""
        version = int(self.run("PRAGMA user_version")[0][0])
        if version > known:
            raise JournalError(f"format {version} is newer than {known}, which is known here")
        return version

    def set_format_version(self, version: int) -> None:
        """Store the version of the format."""
        self.run(f"PRAGMA user_version={version}")

    @contextlib.contextmanager
    def transaction(self, after_rollback: Callable[[], object] = lambda: None) -> Iterator[None]:
        """Commit everything done within, or none of it; some errors of the library have rolled back already."""
        self.run("BEGIN IMMEDIATE")
        try:
            yield
            self.run("COMMIT")
        except apsw.Error:
            if self._connection.in_transaction:
                with contextlib.suppress(apsw.Error):
                    self.run("ROLLBACK")
            after_rollback()
            raise

    def close(self) -> None:
        """Close the database; what was committed stays."""
        with contextlib.suppress(apsw.Error):
            self._connection.close()


def free_damaged_name(file: Path) -> Path:
    """An unused name to which a damaged file can be moved."""
    number = 1
    while (aside := file.with_name(f"{file.name}.damaged-{number}")).exists():
        number += 1
    return aside


def move_aside(file: Path) -> Path:
    """Rename a damaged database, with all of its files; returns its new name.  Raises `OSError`."""
    aside = free_damaged_name(file)
    for suffix in FILE_SUFFIXES:
        part = file.with_name(file.name + suffix)
        if part.exists():
            part.rename(aside.with_name(aside.name + suffix))
    return aside
