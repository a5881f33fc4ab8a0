"""Common code for SQLite databases: opening, transactions, errors, and moving a damaged file aside.

A database is in WAL mode, and each commit is synced before it returns.  Only one thread at a time may use it.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import apsw

DAMAGE_MARKS = ("NotADB", "Corrupt", "malformed", "not a database")  # texts in errors that report a damaged file
FILE_SUFFIXES = ("", "-wal", "-shm")  # suffixes of the files of one database


Row = tuple[Any, ...]  # the values of one row, in the types that SQLite returns


class JournalError(Exception):
    """A database could not be opened, read or written; the text states the cause."""


@contextlib.contextmanager
def journal_errors(*other_errors: type[Exception]) -> Iterator[None]:
    """Raise SQLite errors, and `other_errors`, as `JournalError`."""
    errors: tuple[type[Exception], ...] = (apsw.Error, *other_errors)
    try:
        yield
    except errors as cause:
        raise JournalError(f"{type(cause).__name__}: {cause}") from None


class Database:
    """One database, in memory if `file` is None.  Methods raise `apsw.Error`; callers use `journal_errors`."""

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

    def format_version(self, newest: int) -> int:
        """Return the version of the stored format, or 0 for a new file.

        Raises `JournalError` if it is newer than `newest`, the newest supported format.
        """
        version = int(self.run("PRAGMA user_version")[0][0])
        if version > newest:
            raise JournalError(f"format {version} is newer than {newest}, the newest supported format")
        return version

    def set_format_version(self, version: int) -> None:
        """Store the version of the format."""
        self.run(f"PRAGMA user_version={version}")

    @contextlib.contextmanager
    def transaction(self, after_rollback: Callable[[], object] = lambda: None) -> Iterator[None]:
        """Commit all statements of the block, or none; call `after_rollback` after an SQLite error."""
        self.run("BEGIN IMMEDIATE")
        try:
            yield
            self.run("COMMIT")
        except apsw.Error:
            if self._connection.in_transaction:  # after some errors SQLite has already rolled back
                with contextlib.suppress(apsw.Error):
                    self.run("ROLLBACK")
            after_rollback()
            raise

    def close(self) -> None:
        """Close the database; committed data stay."""
        with contextlib.suppress(apsw.Error):
            self._connection.close()


def free_damaged_name(file: Path) -> Path:
    """Return an unused name to which a damaged file can be moved."""
    number = 1
    while (aside := file.with_name(f"{file.name}.damaged-{number}")).exists():
        number += 1
    return aside


def move_aside(file: Path) -> Path:
    """Rename a damaged database with all of its files, and return its new name.  Raises `OSError`."""
    aside = free_damaged_name(file)
    for suffix in FILE_SUFFIXES:
        part = file.with_name(file.name + suffix)
        if part.exists():
            part.rename(aside.with_name(aside.name + suffix))
    return aside
