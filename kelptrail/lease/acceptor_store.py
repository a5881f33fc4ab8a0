"""A voter's memory on disk: an SQLite database in WAL mode, each commit synced before it counts.

One row that is not what its checksum says makes the whole of it worthless: what a voter has forgotten it cannot know.
Such a file is set aside, and the voter begins without memory.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path
from zlib import crc32

import apsw
import msgspec

from kelptrail.store.activation_journal import JournalError

from .acceptor import DurableState, Stage, Write
from .messages import LeaseRow

FORMAT = 2  # 1: rows had no note
TABLE = "CREATE TABLE kept (name TEXT PRIMARY KEY, crc INTEGER NOT NULL, body BLOB NOT NULL) WITHOUT ROWID"
DAMAGED = ("NotADB", "Corrupt", "malformed", "not a database", "DecodeError", "ValidationError")
MEMORY = ""  # the name of the row that is no task's

_row = msgspec.msgpack.Decoder(LeaseRow).decode
_memory = msgspec.msgpack.Decoder(tuple[int, str, bool]).decode


class AcceptorStore:
    """One file; one thread at a time uses it."""

    def __init__(self, file: Path, vfs: str | None = None) -> None:
        try:
            self._db = apsw.Connection(str(file), vfs=vfs)
            self._db.set_busy_timeout(0)
            self._run("PRAGMA journal_mode=WAL")
            self._run("PRAGMA synchronous=FULL")
            version = self._run("PRAGMA user_version")[0][0]
            if version > FORMAT:
                raise JournalError(f"format {version} is newer than {FORMAT}, which is known here")
            if not version:
                self._run(TABLE)
            if version < FORMAT:  # rows of format 1 are read as they are: what was added has a default
                self._run(f"PRAGMA user_version={FORMAT}")
        except apsw.Error as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def _run(self, text: str, values: tuple[object, ...] = ()) -> list[tuple]:
        return list(self._db.execute(text, values))

    def read(self) -> tuple[DurableState | None, tuple[LeaseRow, ...]]:
        """All of it.  Raises `BookError` where any of it cannot be read."""
        memory, rows = None, []
        try:
            for name, crc, body in self._db.execute("SELECT name, crc, body FROM kept ORDER BY name"):
                if crc32(body) != crc:
                    raise JournalError(f"Corrupt: the row {name!r}")
                if name == MEMORY:
                    number, stage, was = _memory(body)
                    memory = DurableState(number, Stage(stage), was)
                else:
                    rows.append(_row(body))
        except (apsw.Error, msgspec.MsgspecError, ValueError) as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None
        return memory, tuple(rows)

    def commit(self, writes: Iterable[Write]) -> None:
        """Make writes safe, all or none.  Raises `BookError`."""
        kept: dict[str, bytes] = {}
        for write in writes:
            kept |= {row.task: msgspec.msgpack.encode(row) for row in write.rows}
            if write.state is not None:
                memory = write.state
                kept[MEMORY] = msgspec.msgpack.encode(
                    (memory.config_number, memory.stage.value, memory.sealed_previous)
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
        """Nothing is ever forgotten: a token that was is what the next must be above."""

    def close(self) -> None:
        """Close it; what was committed stays."""
        with contextlib.suppress(apsw.Error):
            self._db.close()


def open_acceptor_store(
    file: Path, vfs: str | None = None
) -> tuple[AcceptorStore, DurableState | None, tuple[LeaseRow, ...], str]:
    """Open a ledger and read it; a damaged one is set aside, with the reason.  Raises `BookError` where none can be
    made, and where the disk fails: what it holds may still be there."""
    try:
        ledger = AcceptorStore(file, vfs)
        try:
            return (ledger, *ledger.read(), "")
        except JournalError:
            ledger.close()
            raise
    except JournalError as cause:
        reason = str(cause)
        if not any(word in reason for word in DAMAGED):
            raise
    number = 1
    while (aside := file.with_name(f"{file.name}.damaged-{number}")).exists():
        number += 1
    for end in ("", "-wal", "-shm"):
        part = file.with_name(file.name + end)
        with contextlib.suppress(OSError):
            part.rename(aside.with_name(aside.name + end))
    return AcceptorStore(file, vfs), None, (), reason
