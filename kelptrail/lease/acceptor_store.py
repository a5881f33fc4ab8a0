"""Store of an acceptor's durable state: an SQLite database in WAL mode, in which every commit is synced.

A single row that does not match its checksum or cannot be decoded makes the complete file unusable, because the grants
that were lost with it are unknown.  Such a file is renamed, and the acceptor starts without durable state.  An unknown
stage in an intact row is an error that leaves the file in place.
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

FORMAT_VERSION = 2  # version 1 stored rows without notes
CREATE_TABLE = "CREATE TABLE kept (name TEXT PRIMARY KEY, crc INTEGER NOT NULL, body BLOB NOT NULL) WITHOUT ROWID"
# Parts of error texts that indicate damage, in addition to `DAMAGE_MARKS`.
UNREADABLE_ROW_MARKS = ("DecodeError", "ValidationError")
STATE_ROW = ""  # name of the row that stores `DurableState`

_decode_row = msgspec.msgpack.Decoder(LeaseRow).decode
_decode_state = msgspec.msgpack.Decoder(tuple[int, str, bool]).decode


class AcceptorContents(NamedTuple):
    """Contents of a store: the acceptor's state, or None if none is stored, and the rows of its tasks."""

    state: DurableState | None
    rows: tuple[LeaseRow, ...]


class AcceptorStore:
    """One database file.  Only one thread at a time may use it."""

    def __init__(self, file: Path, vfs: str | None = None) -> None:
        with journal_errors():
            self._database = Database(file, vfs)
            version = self._database.format_version(FORMAT_VERSION)
            if not version:
                self._database.run(CREATE_TABLE)
            # Rows of version 1 need no conversion, because the added field has a default.
            if version < FORMAT_VERSION:
                self._database.set_format_version(FORMAT_VERSION)

    def read(self) -> AcceptorContents:
        """Read the complete contents.  Raises `JournalError` if any part is unreadable."""
        state, rows = None, list[LeaseRow]()
        with journal_errors(msgspec.MsgspecError, ValueError):  # `Stage` raises `ValueError`
            for name, crc, body in self._database.rows("SELECT name, crc, body FROM kept ORDER BY name"):
                if crc32(body) != crc:
                    raise JournalError(f"Corrupt: checksum mismatch in row {name!r}")  # "Corrupt" marks damage
                if name == STATE_ROW:
                    config_number, stage, sealed_previous = _decode_state(body)
                    state = DurableState(config_number, Stage(stage), sealed_previous)
                else:
                    rows.append(_decode_row(body))
        return AcceptorContents(state, tuple(rows))

    def commit(self, writes: Iterable[Write]) -> None:
        """Commit the writes atomically.  Raises `JournalError` if the commit fails."""
        bodies: dict[str, bytes] = {}
        for write in writes:
            bodies |= {row.task: msgspec.msgpack.encode(row) for row in write.rows}
            if write.state is not None:
                bodies[STATE_ROW] = _encode_state(write.state)
        rows = [(name, crc32(body), body) for name, body in bodies.items()]
        with journal_errors(), self._database.transaction():
            self._database.run_many("INSERT OR REPLACE INTO kept VALUES (?, ?, ?)", rows)

    def forget(self, ids: Iterable[str]) -> None:
        """Do nothing; `EntryStore` requires the method.

        Rows are never deleted, because every new token must exceed all earlier ones.
        """

    def close(self) -> None:
        """Close the file."""
        self._database.close()


def _encode_state(state: DurableState) -> bytes:
    return msgspec.msgpack.encode((state.config_number, state.stage.value, state.sealed_previous))


class OpenedAcceptorStore(NamedTuple):
    """An open store and its contents.

    `damage` is the reason why the file counts as damaged, or empty.  With damage, `state` is None and `rows` is empty,
    even if the file could not be renamed and `store` still contains its rows.
    """

    store: AcceptorStore
    state: DurableState | None
    rows: tuple[LeaseRow, ...]
    damage: str


def open_acceptor_store(file: Path, vfs: str | None = None) -> OpenedAcceptorStore:
    """Open a store and read it.  A damaged file is renamed and replaced by an empty store.

    If it cannot be renamed, it is opened again without being read.  Raises `JournalError` if this second open fails.
    Also raises it after any other error, such as a failing disk, a newer format or an unknown stage; the file then
    stays, as it may be intact.
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
    _rename_damaged(file)
    return OpenedAcceptorStore(AcceptorStore(file, vfs), None, (), damage)


def _rename_damaged(file: Path) -> None:
    """Rename the files of a damaged database.  A file that cannot be renamed stays and is opened again."""
    damaged_file = free_damaged_name(file)
    for suffix in FILE_SUFFIXES:
        with contextlib.suppress(OSError):
            file.with_name(file.name + suffix).rename(damaged_file.with_name(damaged_file.name + suffix))
