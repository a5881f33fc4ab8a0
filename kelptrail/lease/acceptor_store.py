"""Durable state of an acceptor: an SQLite database in WAL mode; each commit is synced before it counts.

A single row that does not match its checksum makes the whole file unusable, as an acceptor cannot know what it has
forgotten.  Such a file is renamed, and the acceptor starts without durable state.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path
from zlib import crc32

import apsw
import msgspec

from kelptrail.store.activation_journal import JournalError

from .acceptor_state import DurableState, Stage, Write
from .messages import LeaseRow

FORMAT_VERSION = 2  # 1: rows had no note
CREATE_TABLE = "CREATE TABLE kept (name TEXT PRIMARY KEY, crc INTEGER NOT NULL, body BLOB NOT NULL) WITHOUT ROWID"
DAMAGE_WORDS = ("NotADB", "Corrupt", "malformed", "not a database", "DecodeError", "ValidationError")
STATE_ROW = ""  # the name of the row that holds `DurableState`

_decode_row = msgspec.msgpack.Decoder(LeaseRow).decode
_decode_state = msgspec.msgpack.Decoder(tuple[int, str, bool]).decode


class AcceptorStore:
    """One database file; to be used by one thread at a time."""

    def __init__(self, file: Path, vfs: str | None = None) -> None:
        try:
            self._db = apsw.Connection(str(file), vfs=vfs)
            self._db.set_busy_timeout(0)
            self._run("PRAGMA journal_mode=WAL")
            self._run("PRAGMA synchronous=FULL")
            version = self._run("PRAGMA user_version")[0][0]
            if version > FORMAT_VERSION:
                raise JournalError(f"format {version} is newer than {FORMAT_VERSION}, which is known here")
            if not version:
                self._run(CREATE_TABLE)
            if version < FORMAT_VERSION:  # rows of format 1 are read as they are: what was added has a default
                self._run(f"PRAGMA user_version={FORMAT_VERSION}")
        except apsw.Error as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def _run(self, text: str, values: tuple[object, ...] = ()) -> list[tuple]:
        return list(self._db.execute(text, values))

    def read(self) -> tuple[DurableState | None, tuple[LeaseRow, ...]]:
        """Read everything.  Raises `JournalError` where any of it cannot be read."""
        state, rows = None, []
        try:
            for name, crc, body in self._db.execute("SELECT name, crc, body FROM kept ORDER BY name"):
                if crc32(body) != crc:
                    raise JournalError(f"Corrupt: the row {name!r}")
                if name == STATE_ROW:
                    config_number, stage, sealed_previous = _decode_state(body)
                    state = DurableState(config_number, Stage(stage), sealed_previous)
                else:
                    rows.append(_decode_row(body))
        except (apsw.Error, msgspec.MsgspecError, ValueError) as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None
        return state, tuple(rows)

    def commit(self, writes: Iterable[Write]) -> None:
        """Commit the writes atomically.  Raises `JournalError`."""
        kept: dict[str, bytes] = {}
        for write in writes:
            kept |= {row.task: msgspec.msgpack.encode(row) for row in write.rows}
            if write.state is not None:
                state = write.state
                kept[STATE_ROW] = msgspec.msgpack.encode(
                    (state.config_number, state.stage.value, state.sealed_previous)
                )
        try:
            self._run("BEGIN IMMEDIATE")
            self._db.executemany(
                "INSERT OR REPLACE INTO kept VALUES (?, ?, ?)",
                [(name, crc32(body), body) for name, body in kept.items()],
            )
            self._run("COMMIT")
        except apsw.Error as cause:
            if self._db.in_transaction:
                with contextlib.suppress(apsw.Error):
                    self._run("ROLLBACK")
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def forget(self, ids: Iterable[str]) -> None:
        """Keep everything: a later token must be above every earlier one."""

    def close(self) -> None:
        """Close the file."""
        with contextlib.suppress(apsw.Error):
            self._db.close()


def open_acceptor_store(
    file: Path, vfs: str | None = None
) -> tuple[AcceptorStore, DurableState | None, tuple[LeaseRow, ...], str]:
    """Open a store and read it; a damaged file is renamed, and the last item gives the reason.

    Raises `JournalError` where no file can be created, or the disk fails: then its content may still be intact."""
    try:
        store = AcceptorStore(file, vfs)
        try:
            return (store, *store.read(), "")
        except JournalError:
            store.close()
            raise
    except JournalError as cause:
        reason = str(cause)
        if not any(word in reason for word in DAMAGE_WORDS):
            raise
    number = 1
    while (aside := file.with_name(f"{file.name}.damaged-{number}")).exists():
        number += 1
    for end in ("", "-wal", "-shm"):
        part = file.with_name(file.name + end)
        with contextlib.suppress(OSError):
            part.rename(aside.with_name(aside.name + end))
    return AcceptorStore(file, vfs), None, (), reason
