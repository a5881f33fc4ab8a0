"""Books on a holder's disk, the own ones among them: an SQLite database in WAL mode, or one in memory where the
settings say that copies may be there.  `docs/formats/copies.md` has the layout.  One thread at a time uses it.

Each row carries a checksum.  Digests of buckets are kept in memory, from what was read at the start and written since;
`Work.check` reads the rows themselves back, so a disk that lies is found.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import cast
from zlib import crc32

import apsw
import msgspec

from kelptrail.lease.messages import FencingToken
from kelptrail.store.activation_journal import ActivationEntries, JournalError
from kelptrail.store.entries import Accepted, DamagedError, Ended, MayRun, unpack

from .messages import BUCKETS, ReplicaEntry, bucket_of, digest, pack_digests
from .replica import Work

FORMAT = 1
DAMAGED = ("NotADB", "Corrupt", "malformed", "not a database")
TABLES = (
    "CREATE TABLE disk (name TEXT NOT NULL)",
    """CREATE TABLE shelves (book TEXT PRIMARY KEY, round INTEGER NOT NULL, who TEXT NOT NULL, owner TEXT NOT NULL,
       wall REAL NOT NULL) WITHOUT ROWID""",
    """CREATE TABLE entries (book TEXT NOT NULL, bucket INTEGER NOT NULL, id TEXT NOT NULL, kind INTEGER NOT NULL,
       since REAL NOT NULL, crc INTEGER NOT NULL, body BLOB NOT NULL, PRIMARY KEY (book, bucket, id, kind))
       WITHOUT ROWID""",
)


@dataclass(slots=True, eq=False)
class Reading:
    """A bucket to be read, or all lives of a book (`bucket` -1); times are of this machine's wall clock."""

    book: str
    bucket: int = -1
    wall_ms: float = 0.0  # now
    items: tuple[ReplicaEntry, ...] | None = None
    lives: list[ActivationEntries] = field(default_factory=list)
    damaged: int = 0


class ReplicaStore:
    """One file; `file` None: in memory.  Raises `BookError`."""

    def __init__(self, file: Path | None, vfs: str | None = None) -> None:
        self.digests: dict[str, list[int]] = {}  # as committed
        self._staged: dict[str, list[int]] = {}
        try:
            self._db = apsw.Connection(
                str(file) if file is not None else ":memory:", vfs=vfs if file is not None else None
            )
            self._db.set_busy_timeout(0)
            self._run("PRAGMA journal_mode=WAL")
            self._run("PRAGMA synchronous=FULL")
            version = self._run("PRAGMA user_version")[0][0]
            if version > FORMAT:
                raise JournalError(f"format {version} is newer than {FORMAT}, which is known here")
            if not version:
                with self._whole():
                    for table in TABLES:
                        self._run(table)
                    self._run("INSERT INTO disk VALUES (?)", (os.urandom(6).hex(),))
                    self._run(f"PRAGMA user_version={FORMAT}")
            self.disk = str(self._run("SELECT name FROM disk")[0][0])
            for book, bucket, id_, kind, crc in self._db.execute("SELECT book, bucket, id, kind, crc FROM entries"):
                self._digest(book)[bucket] ^= digest(id_, kind, crc)
            self.digests = self._staged
        except (apsw.Error, IndexError) as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None

    def _run(self, text: str, values: tuple[object, ...] = ()) -> list[tuple]:
        return list(self._db.execute(text, values))

    @contextlib.contextmanager
    def _whole(self) -> Iterator[None]:
        self._run("BEGIN IMMEDIATE")
        try:
            yield
            self._run("COMMIT")
        except apsw.Error:
            if self._db.in_transaction:
                with contextlib.suppress(apsw.Error):
                    self._run("ROLLBACK")
            raise

    def _digest(self, book: str) -> list[int]:
        return self._staged.setdefault(book, [0] * BUCKETS)

    def digests_of(self, book: str) -> list[int]:
        """Of all buckets of a book."""
        return self.digests.get(book, [0] * BUCKETS)

    def books(self) -> dict[str, tuple[FencingToken, str]]:
        """Token and owner of each."""
        return {
            book: (FencingToken(round_, who), owner)
            for book, round_, who, owner in self._run("SELECT book, round, who, owner FROM shelves")
        }

    def ids(self) -> set[str]:
        """Activations in any book."""
        return {id_ for (id_,) in self._run("SELECT DISTINCT id FROM entries")}

    def commit(self, works: Iterable[Work | Reading]) -> None:
        """Carry out works in order, all or none.  Raises `BookError`."""
        self._staged = {book: list(found) for book, found in self.digests.items()}
        try:
            with self._whole():
                for work in works:
                    if isinstance(work, Reading):
                        self._read(work)
                    else:
                        self._do(work)
        except apsw.Error as cause:
            raise JournalError(f"{type(cause).__name__}: {cause}") from None
        self.digests = self._staged

    def _do(self, work: Work) -> None:
        book = work.book
        if work.fence is not None:
            token, owner = work.fence
            self._run(
                "INSERT OR REPLACE INTO shelves VALUES (?, ?, ?, ?, ?)",
                (book, token.round, token.client_id, owner, work.wall_ms),
            )
        found = self._digest(book)
        for item in work.items:
            bucket, crc = bucket_of(item.id), crc32(item.data)
            self._drop(found, book, bucket, "id = ? AND kind = ?", (item.id, item.kind))
            self._run(
                "INSERT INTO entries VALUES (?, ?, ?, ?, ?, ?, ?)",
                (book, bucket, item.id, item.kind, work.wall_ms - item.age_ms - work.waited_ms, crc, item.data),
            )
            found[bucket] ^= digest(item.id, item.kind, crc)
        for id_ in work.drops:
            self._drop(found, book, bucket_of(id_), "id = ?", (id_,))
        if work.bucket >= 0:
            only = set(work.only)
            here = self._run("SELECT id, kind FROM entries WHERE book = ? AND bucket = ?", (book, work.bucket))
            for id_, kind in here:
                if (id_, kind) not in only:
                    self._drop(found, book, work.bucket, "id = ? AND kind = ?", (id_, kind))
        if work.check == (0, -1):
            work.digests = pack_digests(found)
        elif work.check != (0, 0):
            work.digests = pack_digests(self._looked_at(book, *work.check))
        if work.shut:
            self._run("DELETE FROM entries WHERE book = ?", (book,))  # its token stays
            self._staged.pop(book, None)

    def _drop(self, found: list[int], book: str, bucket: int, where: str, values: tuple[object, ...]) -> None:
        for id_, kind, crc in self._run(
            "DELETE FROM entries WHERE book = ? AND bucket = ? AND " + where + " RETURNING id, kind, crc",
            (book, bucket, *values),
        ):
            found[bucket] ^= digest(id_, kind, crc)

    def _looked_at(self, book: str, first: int, upto: int) -> list[int]:
        """Digests of some buckets from the rows as they are now."""
        out = [0] * (upto - first)
        for bucket, id_, kind, body in self._db.execute(
            "SELECT bucket, id, kind, body FROM entries WHERE book = ? AND bucket >= ? AND bucket < ?",
            (book, first, upto),
        ):
            out[bucket - first] ^= digest(id_, kind, crc32(body))
        return out

    def _read(self, reading: Reading) -> None:
        if reading.bucket >= 0:
            reading.items = tuple(
                ReplicaEntry(id_, kind, max(0.0, reading.wall_ms - since), bytes(body))
                for id_, kind, since, body in self._run(
                    "SELECT id, kind, since, body FROM entries WHERE book = ? AND bucket = ? ORDER BY id, kind",
                    (reading.book, reading.bucket),
                )
            )
            return
        life, shift = cast(ActivationEntries | None, None), 0.0
        for id_, kind, since, crc, body in self._db.execute(
            "SELECT id, kind, since, crc, body FROM entries WHERE book = ? ORDER BY bucket, id, kind", (reading.book,)
        ):
            try:
                entry = unpack(bytes(body), crc)
            except DamagedError:
                reading.damaged += 1
                # What follows an entry that cannot be read proves nothing: it may have run.
                if life is not None and life.accepted.id == id_ and life.may_run is None and kind:
                    life.may_run = MayRun(id_, life.accepted.start, "")
                continue
            if isinstance(entry, Accepted):
                # Its times are told by this machine's clock, as that of its owner may have been another.
                life, shift = ActivationEntries(msgspec.structs.replace(entry, start=since)), since - entry.start
                reading.lives.append(life)
            elif life is not None and life.accepted.id == id_:
                if isinstance(entry, MayRun):
                    life.may_run = MayRun(id_, since, entry.worker)
                elif isinstance(entry, Ended):
                    life.ended = msgspec.structs.replace(entry, end=entry.end + shift)

    def forget(self, ids: Iterable[str]) -> None:
        """Nothing is forgotten but by works."""

    def count(self, book: str) -> int:
        """Activations in a book."""
        return int(self._run("SELECT count(*) FROM entries WHERE book = ? AND kind = 0", (book,))[0][0])

    def close(self) -> None:
        """Close it; what was committed stays."""
        with contextlib.suppress(apsw.Error):
            self._db.close()


def open_replica_store(file: Path | None, vfs: str | None = None) -> tuple[ReplicaStore, Path | None]:
    """Open; a file that cannot be read is set aside, its new name returned: it counts as a lost disk, and is filled up
    from others.  Raises `BookError`."""
    try:
        return ReplicaStore(file, vfs), None
    except JournalError as cause:
        if file is None or not any(word in str(cause) for word in DAMAGED):
            raise
    number = 1
    while (aside := file.with_name(f"{file.name}.damaged-{number}")).exists():
        number += 1
    for end in ("", "-wal", "-shm"):
        part = file.with_name(file.name + end)
        if part.exists():
            part.rename(aside.with_name(aside.name + end))
    return ReplicaStore(file, vfs), aside
