"""The replica's side of replication, without I/O and clocks.

It decides which messages of primaries are accepted, and queues the writes to the replica store.  A replica rejects
every message whose fencing token is older than the newest one that it has received.  It stores a new token on disk
before it replies to messages with that token, so that a former primary cannot commit anything after a failover.  The
sequence numbers of a stream have no gaps: a message that arrives too early is dropped, and the primary sends it again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from kelptrail.lease.messages import NO_TOKEN, FencingToken

from .messages import (
    ALL_BUCKETS,
    NO_BUCKETS,
    Append,
    AppendAck,
    BucketRange,
    CloseStream,
    DigestReply,
    EntryKey,
    FencedReply,
    OpenStream,
    ReplicaEntry,
)


class Fence(NamedTuple):
    """The newest fencing token of a journal, and the name of the primary under it."""

    token: FencingToken
    primary: str


@dataclass(slots=True, eq=False)
class ReplicaWrite:
    """One atomic write to the replica store.  Writes are carried out in order.

    After a successful write, the primary `reply_to` gets a reply, unless `reply_to` is empty.  `fence`: the newest
    token and the primary that holds it, to be stored.  `closes_journal`: all entries of the journal are deleted.  For
    `trimmed_bucket`, `retained`, `digest_range` and `delay_ms` see `Append`.
    """

    journal_id: str
    entries: tuple[ReplicaEntry, ...] = ()
    deleted_ids: tuple[str, ...] = ()
    trimmed_bucket: int = -1
    retained: tuple[EntryKey, ...] = ()
    delay_ms: float = 0.0
    fence: Fence | None = None
    digest_range: BucketRange = NO_BUCKETS  # buckets whose digests are returned in `digests`
    closes_journal: bool = False
    reply_to: str = ""
    stream_id: int = 0
    sequence: int = 0  # number of the message in the stream; 0 for `OpenStream`
    # Wall-clock time at which the message arrived or the local write was queued, set by the driver.  Minus the age of
    # an entry and `delay_ms`, it is the time stored with the entry.
    wall_ms: float = 0.0
    digests: bytes = b""  # digests of `digest_range`, set by the store


@dataclass(slots=True)
class ReplicaLog:
    """State of one journal at this replica, without its entries.

    `received_sequence` is the number of the last message of the stream that was accepted, `durable_sequence` that of
    the last one stored.  0 stands for the `OpenStream`.  -1 means that no stream is open; or, in `received_sequence`,
    that the write of the `OpenStream` failed, and in `durable_sequence`, that it is not stored yet.  An empty `primary`
    means that the journal is closed here.
    """

    token: FencingToken = NO_TOKEN
    primary: str = ""
    stream_id: int = 0
    received_sequence: int = -1
    durable_sequence: int = -1


class Replica:
    """This dispatcher as a replica: the state of all journals stored here, including its own.

    `fences` is the newest token and primary of each journal, as read from disk.  `disk_id_of` returns the id of the
    store that contains a journal.  The driver carries out `pending_writes` and sends the messages of `outbox`.
    `fenced_messages` is the number of messages rejected because of an older token.
    """

    def __init__(self, fences: Mapping[str, Fence], disk_id_of: Callable[[str], str]) -> None:
        self.disk_id_of = disk_id_of
        self.logs = {journal_id: ReplicaLog(token, primary) for journal_id, (token, primary) in fences.items()}
        self.pending_writes: deque[ReplicaWrite] = deque()
        self.outbox: deque[tuple[str, DigestReply | AppendAck | FencedReply]] = deque()
        self.fenced_messages = 0

    def on_message(self, sender: str, message: OpenStream | Append | CloseStream) -> None:
        """Handle a message from a primary, or from a former primary that still acts as one."""
        log = self.logs.get(message.journal_id, ReplicaLog())
        if message.token < log.token:
            self.fenced_messages += 1
            self.outbox.append((sender, FencedReply(message.journal_id, log.token)))
        elif isinstance(message, OpenStream):
            self._on_open(sender, log, message)
        elif isinstance(message, CloseStream):
            if message.journal_id in self.logs and (message.token, message.stream_id) > (log.token, log.stream_id):
                self.close(message.journal_id, message.token, message.stream_id)
        elif (message.token, message.stream_id) == (log.token, log.stream_id):
            self._on_append(sender, log, message)

    def _on_open(self, sender: str, log: ReplicaLog, message: OpenStream) -> None:
        if message.token == log.token and message.stream_id < log.stream_id:
            return
        if message.token > log.token or message.stream_id > log.stream_id or log.received_sequence < 0:
            self.logs[message.journal_id] = ReplicaLog(message.token, sender, message.stream_id, 0)
            self.pending_writes.append(
                ReplicaWrite(
                    message.journal_id,
                    fence=Fence(message.token, sender),
                    digest_range=ALL_BUCKETS,
                    reply_to=sender,
                    stream_id=message.stream_id,
                )
            )
        elif log.durable_sequence == 0:  # sent again, as the reply may have been lost
            self.pending_writes.append(
                ReplicaWrite(message.journal_id, digest_range=ALL_BUCKETS, reply_to=sender, stream_id=message.stream_id)
            )

    def _on_append(self, sender: str, log: ReplicaLog, append: Append) -> None:
        if append.sequence == log.received_sequence + 1 and log.received_sequence >= 0:
            log.received_sequence += 1
            self.pending_writes.append(
                ReplicaWrite(
                    append.journal_id,
                    append.entries,
                    append.deleted_ids,
                    append.trimmed_bucket,
                    append.retained,
                    append.delay_ms,
                    None,
                    append.digest_range,
                    False,
                    sender,
                    append.stream_id,
                    append.sequence,
                )
            )
        elif append.sequence <= log.durable_sequence:
            self.outbox.append(
                (sender, AppendAck(append.journal_id, append.token, append.stream_id, log.durable_sequence))
            )

    def on_write_done(self, write: ReplicaWrite, succeeded: bool) -> None:
        """Reply to the primary after a write.

        After a failed write, expect the same message again, which the primary resends.
        """
        log = self.logs.get(write.journal_id)
        if log is None or not write.reply_to or log.stream_id != write.stream_id:
            return  # no reply is expected, or the journal was closed or another stream was opened meanwhile
        if not succeeded:
            log.received_sequence = min(log.received_sequence, write.sequence - 1)
            return
        if write.sequence == log.durable_sequence + 1:
            log.durable_sequence = write.sequence
        if write.sequence:
            self.outbox.append(
                (write.reply_to, AppendAck(write.journal_id, log.token, write.stream_id, log.durable_sequence))
            )
        if write.digest_range != NO_BUCKETS:
            self.outbox.append(
                (
                    write.reply_to,
                    DigestReply(
                        write.journal_id,
                        log.token,
                        write.stream_id,
                        write.sequence,
                        write.digest_range.first,
                        write.digests,
                        self.disk_id_of(write.journal_id),
                    ),
                )
            )

    def is_latest_token(self, journal_id: str, token: FencingToken) -> bool:
        """Return whether `token` is the newest one that this dispatcher has received for the journal.

        If it is not, the primary with this token must stop: its successor may have deleted entries from this disk.
        """
        log = self.logs.get(journal_id)
        return log is not None and log.token == token

    def close(self, journal_id: str, token: FencingToken, stream_id: int = 0) -> None:
        """Delete a journal's entries.  Its token stays stored, so that a former primary is still rejected."""
        self.logs[journal_id] = ReplicaLog(token, "", stream_id)
        self.pending_writes.append(ReplicaWrite(journal_id, fence=Fence(token, ""), closes_journal=True))

    def become_primary(self, journal_id: str, token: FencingToken, primary: str) -> ReplicaWrite | None:
        """Make this dispatcher the primary; return the write that must be stored before it acts as the primary.

        Return None if a later token has been received.
        """
        log = self.logs.get(journal_id, ReplicaLog())
        if token < log.token:
            return None
        self.logs[journal_id] = ReplicaLog(token, primary)
        return ReplicaWrite(journal_id, fence=Fence(token, primary))
