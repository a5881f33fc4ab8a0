"""Durable state of an acceptor: an SQLite database in WAL mode; each commit is synced before it counts.

A single row that does not match its checksum makes the whole file unusable, as an acceptor cannot know what it has
forgotten.  Such a file is renamed, and the acceptor starts without durable state.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple
from zlib import crc32

import msgspec

from kelptrail.store.database import (
    DAMAGE_MARKS,
    FILE_SUFFIXES,
    Database,
    JournalError,
    free_damaged_name,
    journal_errors,
)

from .acceptor_state import DurableState, Stage, Write
from .messages import LeaseRow

FORMAT_VERSION = 2  # 1: rows had no note
CREATE_TABLE = "CREATE TABLE kept (name TEXT PRIMARY KEY, crc INTEGER NOT NULL, body BLOB NOT NULL) WITHOUT ROWID"
UNREADABLE_ROW_MARKS = ("DecodeError", "ValidationError")  # in the text of an error, beside `DAMAGE_MARKS`
STATE_ROW = ""  # the name of the row that holds `DurableState`

_decode_row = msgspec.msgpack.Decoder(LeaseRow).decode
_decode_state = msgspec.msgpack.Decoder(tuple[int, str, bool]).decode


class AcceptorContents(NamedTuple):
    """What a store has: the acceptor's state, if it has one, and the rows of its tasks."""

    state: DurableState | None
    rows: tuple[LeaseRow, ...]


class AcceptorStore:
    """One database file; to be used by one thread at a time."""

    def __init__(self, file: Path, vfs: str | None = None) -> None:
        with journal_errors():
            self._database = Database(file, vfs)
            version = self._database.format_version(FORMAT_VERSION)
            if not version:
                self._database.run(CREATE_TABLE)
            if version < FORMAT_VERSION:  # rows of format 1 are read as they are: what was added has a default
                self._database.set_format_version(FORMAT_VERSION)

    def read(self) -> AcceptorContents:
        """Read everything.  Raises `JournalError` where any of it cannot be read."""
        state, rows = None, list[LeaseRow]()
        with journal_errors(msgspec.MsgspecError, ValueError):
            for name, crc, body in self._database.rows("SELECT name, crc, body FROM kept ORDER BY name"):
                if crc32(body) != crc:
                    raise JournalError(f"Corrupt: the row {name!r}")
                if name == STATE_ROW:
                    config_number, stage, sealed_previous = _decode_state(body)
                    state = DurableState(config_number, Stage(stage), sealed_previous)
                else:
                    rows.append(_decode_row(body))
        return AcceptorContents(state, tuple(rows))

    def commit(self, writes: Iterable[Write]) -> None:
        """Commit the writes atomically.  Raises `JournalError`."""
        bodies: dict[str, bytes] = {}
        for write in writes:
            bodies |= {row.task: msgspec.msgpack.encode(row) for row in write.rows}
            if write.state is not None:
                bodies[STATE_ROW] = _encode_state(write.state)
        rows = [(name, crc32(body), body) for name, body in bodies.items()]
        with journal_errors(), self._database.transaction():
            self._database.run_many("INSERT OR REPLACE INTO kept VALUES (?, ?, ?)", rows)

    def forget(self, ids: Iterable[str]) -> None:
        """Does nothing: no row is deleted, as a later token must be above every earlier one."""

    def close(self) -> None:
        """Close the file."""
        self._database.close()


def _encode_state(state: DurableState) -> bytes:
    return msgspec.msgpack.encode((state.config_number, state.stage.value, state.sealed_previous))


class OpenedAcceptorStore(NamedTuple):
    """A store and its contents; `damage`: why a file in its place was renamed, empty if none was."""

    store: AcceptorStore
    state: DurableState | None
    rows: tuple[LeaseRow, ...]
    damage: str


def open_acceptor_store(file: Path, vfs: str | None = None) -> OpenedAcceptorStore:
    """Open a store and read it; a damaged file is renamed.

    Raises `JournalError` where no file can be created, or the disk fails: then its content may still be intact.
    """
    try:
        store = AcceptorStore(file, vfs)
        try:
            contents = store.read()
        except JournalError:
            store.close()
            raise
        return OpenedAcceptorStore(store, contents.state, contents.rows, "")
    except JournalError as cause:
        damage = str(cause)
        if not any(mark in damage for mark in (*DAMAGE_MARKS, *UNREADABLE_ROW_MARKS)):
            raise
    _move_aside_if_possible(file)
    return OpenedAcceptorStore(AcceptorStore(file, vfs), None, (), damage)


def _move_aside_if_possible(file: Path) -> None:
    """Rename a damaged database; what cannot be renamed stays, and opening it again reports why."""
    aside = free_damaged_name(file)
    for suffix in FILE_SUFFIXES:
        with contextlib.suppress(OSError):
            file.with_name(file.name + suffix).rename(aside.with_name(aside.name + suffix))
