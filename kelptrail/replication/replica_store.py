"""Store of own and replicated journals: an SQLite database in WAL mode, or in memory if so configured.

`docs/formats/copies.md` describes the layout.  Only one thread may use a store at a time.  Each entry has a checksum.
Digests of buckets are kept in memory and updated by each write.  A write that requests the digests of all buckets gets
those in memory; for a smaller `digest_range` they are computed from the rows on disk, which detects silent corruption.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple, cast
from zlib import crc32

import msgspec

from kelptrail.lease.messages import FencingToken
from kelptrail.store.activation_journal import ActivationEntries
from kelptrail.store.database import DAMAGE_MARKS, Database, JournalError, journal_errors, move_aside
from kelptrail.store.entries import Accepted, CorruptEntryError, Ended, MayRun, decode_entry

from .messages import ALL_BUCKETS, BUCKETS, NO_BUCKETS, ReplicaEntry, bucket_of, entry_digest, pack_digests
from .replica import Fence, ReplicaWrite

FORMAT = 1
DISK_ID_BYTES = 6
# In the stored names, `book` is the id of a journal.  A row of `shelves` has its newest token (`round`, `who`), its
# primary (`owner`) and the time of the write; a row of `entries` has an entry's time (`since`) and data (`body`).
# `kind` is a value of `activation_journal.KINDS`; 0 is an accepted entry.
TABLES = (
    "CREATE TABLE disk (name TEXT NOT NULL)",
    """CREATE TABLE shelves (book TEXT PRIMARY KEY, round INTEGER NOT NULL, who TEXT NOT NULL, owner TEXT NOT NULL,
       wall REAL NOT NULL) WITHOUT ROWID""",
    """CREATE TABLE entries (book TEXT NOT NULL, bucket INTEGER NOT NULL, id TEXT NOT NULL, kind INTEGER NOT NULL,
       since REAL NOT NULL, crc INTEGER NOT NULL, body BLOB NOT NULL, PRIMARY KEY (book, bucket, id, kind))
       WITHOUT ROWID""",
)


@dataclass(slots=True, eq=False)
class ReadRequest:
    """A read of the entries of one bucket, or of all activations of a journal if `bucket` is -1.

    `wall_ms` is the time of the read; times in `activations` are wall-clock times.  `damaged` counts the
    corrupt entries found while reading activations; a read of one bucket does not verify checksums.
    """

    journal_id: str
    bucket: int = -1
    wall_ms: float = 0.0
    entries: tuple[ReplicaEntry, ...] | None = None
    activations: list[ActivationEntries] = field(default_factory=list)
    damaged: int = 0


class ReplicaStore:
    """One database, in memory if `file` is None.  The constructor raises `JournalError`."""

    def __init__(self, file: Path | None, vfs: str | None = None) -> None:
        self.digests: dict[str, list[int]] = {}  # digests of all buckets by journal, as committed
        self._staged: dict[str, list[int]] = {}  # digests including the current transaction
        with journal_errors(IndexError):
            self._database = Database(file, vfs)
            if not self._database.format_version(FORMAT):
                self._create_tables()
            self.disk_id = str(self._database.run("SELECT name FROM disk")[0][0])
            for journal_id, bucket, id_, kind, crc in self._database.rows(
                "SELECT book, bucket, id, kind, crc FROM entries"
            ):
                self._staged_digests(journal_id)[bucket] ^= entry_digest(id_, kind, crc)
            self.digests = self._staged

    def _create_tables(self) -> None:
        with self._database.transaction():
            for table in TABLES:
                self._database.run(table)
            self._database.run("INSERT INTO disk VALUES (?)", (os.urandom(DISK_ID_BYTES).hex(),))
            self._database.set_format_version(FORMAT)

    def _staged_digests(self, journal_id: str) -> list[int]:
        return self._staged.setdefault(journal_id, [0] * BUCKETS)

    def digests_of(self, journal_id: str) -> list[int]:
        """Return the digests of all buckets of a journal, as committed."""
        return self.digests.get(journal_id, [0] * BUCKETS)

    def fences(self) -> dict[str, Fence]:
        """Return the newest token and primary of each journal."""
        return {
            journal_id: Fence(FencingToken(round_, who), primary)
            for journal_id, round_, who, primary in self._database.run("SELECT book, round, who, owner FROM shelves")
        }

    def activation_ids(self) -> set[str]:
        """Return the ids of the activations in all journals."""
        return {id_ for (id_,) in self._database.run("SELECT DISTINCT id FROM entries")}

    def commit(self, requests: Iterable[ReplicaWrite | ReadRequest]) -> None:
        """Carry out reads and writes in order, in one transaction.  Raises `JournalError`."""
        self._staged = {journal_id: list(digests) for journal_id, digests in self.digests.items()}
        with journal_errors(), self._database.transaction():
            for request in requests:
                if isinstance(request, ReadRequest):
                    self._read(request)
                else:
                    self._apply(request)
        self.digests = self._staged

    def _apply(self, write: ReplicaWrite) -> None:
        journal_id = write.journal_id
        if write.fence is not None:
            token, primary = write.fence
            self._database.run(
                "INSERT OR REPLACE INTO shelves VALUES (?, ?, ?, ?, ?)",
                (journal_id, token.round, token.client_id, primary, write.wall_ms),
            )
        digests = self._staged_digests(journal_id)
        for entry in write.entries:
            bucket, crc = bucket_of(entry.id), crc32(entry.data)
            self._delete_rows(digests, journal_id, bucket, "id = ? AND kind = ?", (entry.id, entry.kind))
            self._database.run(
                "INSERT INTO entries VALUES (?, ?, ?, ?, ?, ?, ?)",
                (
                    journal_id,
                    bucket,
                    entry.id,
                    entry.kind,
                    write.wall_ms - entry.age_ms - write.delay_ms,
                    crc,
                    entry.data,
                ),
            )
            digests[bucket] ^= entry_digest(entry.id, entry.kind, crc)
        for id_ in write.deleted_ids:
            self._delete_rows(digests, journal_id, bucket_of(id_), "id = ?", (id_,))
        if write.trimmed_bucket >= 0:
            retained = set(write.retained)
            stored = self._database.run(
                "SELECT id, kind FROM entries WHERE book = ? AND bucket = ?", (journal_id, write.trimmed_bucket)
            )
            for id_, kind in stored:
                if (id_, kind) not in retained:
                    self._delete_rows(digests, journal_id, write.trimmed_bucket, "id = ? AND kind = ?", (id_, kind))
        if write.digest_range == ALL_BUCKETS:
            write.digests = pack_digests(digests)
        elif write.digest_range != NO_BUCKETS:
            write.digests = pack_digests(self._digests_on_disk(journal_id, *write.digest_range))
        if write.closes_journal:
            self._database.run("DELETE FROM entries WHERE book = ?", (journal_id,))  # the token stays stored
            self._staged.pop(journal_id, None)

    def _delete_rows(
        self, digests: list[int], journal_id: str, bucket: int, where: str, values: tuple[object, ...]
    ) -> None:
        for id_, kind, crc in self._database.run(
            "DELETE FROM entries WHERE book = ? AND bucket = ? AND " + where + " RETURNING id, kind, crc",
            (journal_id, bucket, *values),
        ):
            digests[bucket] ^= entry_digest(id_, kind, crc)

    def _digests_on_disk(self, journal_id: str, first: int, end: int) -> list[int]:
        """Compute the digests of the buckets from `first` up to, but not including, `end` from the rows on disk."""
        digests = [0] * (end - first)
        for bucket, id_, kind, body in self._database.rows(
            "SELECT bucket, id, kind, body FROM entries WHERE book = ? AND bucket >= ? AND bucket < ?",
            (journal_id, first, end),
        ):
            digests[bucket - first] ^= entry_digest(id_, kind, crc32(body))
        return digests

    def _read(self, request: ReadRequest) -> None:
        if request.bucket >= 0:
            request.entries = tuple(
                ReplicaEntry(id_, kind, max(0.0, request.wall_ms - since), bytes(body))
                for id_, kind, since, body in self._database.run(
                    "SELECT id, kind, since, body FROM entries WHERE book = ? AND bucket = ? ORDER BY id, kind",
                    (request.journal_id, request.bucket),
                )
            )
            return
        activation, clock_offset_ms = cast(ActivationEntries | None, None), 0.0
        for id_, kind, since, crc, body in self._database.rows(
            "SELECT id, kind, since, crc, body FROM entries WHERE book = ? ORDER BY bucket, id, kind",
            (request.journal_id,),
        ):
            try:
                entry = decode_entry(bytes(body), crc)
            except CorruptEntryError:
                request.damaged += 1
                # The corrupt entry may have been a may-run entry, so the call may have run.
                if activation is not None and activation.accepted.id == id_ and activation.may_run is None and kind:
                    activation.may_run = MayRun(id_, activation.accepted.start, "")
                continue
            if isinstance(entry, Accepted):
                # Times are converted to this machine's clock, from which the primary's clock may differ.
                activation, clock_offset_ms = (
                    ActivationEntries(msgspec.structs.replace(entry, start=since)),
                    since - entry.start,
                )
                request.activations.append(activation)
            elif activation is not None and activation.accepted.id == id_:
                if isinstance(entry, MayRun):
                    activation.may_run = MayRun(id_, since, entry.worker)
                elif isinstance(entry, Ended):
                    activation.ended = msgspec.structs.replace(entry, end=entry.end + clock_offset_ms)

    def forget(self, ids: Iterable[str]) -> None:
        """Do nothing: entries are only deleted by a `ReplicaWrite`."""

    def activation_count(self, journal_id: str) -> int:
        """Return the number of activations in a journal."""
        return int(self._database.run("SELECT count(*) FROM entries WHERE book = ? AND kind = 0", (journal_id,))[0][0])

    def close(self) -> None:
        """Close the database; committed data stays in the file."""
        self._database.close()


class OpenedStore(NamedTuple):
    """A store, and the path to which an unreadable file at its place was moved, if there was one."""

    store: ReplicaStore
    set_aside: Path | None


def open_replica_store(file: Path | None, vfs: str | None = None) -> OpenedStore:
    """Open a store; an unreadable file is moved aside and replaced by a new store.

    The new store has a new disk id, so it is treated as a lost disk and repaired from replicas.
    Raises `JournalError` after any other error, and `OSError` if the file cannot be moved aside.
    """
    try:
        return OpenedStore(ReplicaStore(file, vfs), None)
    except JournalError as cause:
        if file is None or not any(mark in str(cause) for mark in DAMAGE_MARKS):
            raise
    set_aside = move_aside(file)
    return OpenedStore(ReplicaStore(file, vfs), set_aside)
