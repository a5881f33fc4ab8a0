"""A holder's side: books of other dispatchers, in the order in which their owners put them; free of I/O and clocks.

A holder takes nothing under an older token than it has seen; it keeps that token before it answers under it, so whoever
has taken over a book is never written past.  A stream's numbers have no gap: what comes before its turn is dropped, and
comes again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from kelptrail.lease.messages import NO_TOKEN, FencingToken

from .messages import Append, AppendAck, CloseStream, DigestReply, FencedReply, OpenStream, ReplicaEntry


@dataclass(slots=True, eq=False)
class ReplicaWrite:
    """Something for the disk, all of it or nothing, in order; then its owner is answered.  `fence`: the token from
    which on nothing older is taken, and who owns the book under it.  `bucket`: of it nothing but `only` stays."""

    journal_id: str
    entries: tuple[ReplicaEntry, ...] = ()
    deleted_ids: tuple[str, ...] = ()
    trimmed_bucket: int = -1
    retained: tuple[tuple[str, int], ...] = ()
    delay_ms: float = 0.0
    fence: tuple[FencingToken, str] | None = None
    digest_range: tuple[int, int] = (0, 0)  # buckets to be read back
    closes: bool = False
    reply_to: str = ""
    stream_id: int = 0
    sequence: int = 0
    wall_ms: float = 0.0  # when it came, set by the host: ages in it count back from there
    digests: bytes = b""  # what was read back


@dataclass(slots=True)
class ReplicaLog:
    """One book.  `number`: the last that was taken in of the stream, `safe`: the last that is kept."""

    token: FencingToken = NO_TOKEN
    primary: str = ""
    stream_id: int = 0
    received_sequence: int = -1
    durable_sequence: int = -1


class Replica:
    """All books held.  `shelves`: tokens and owners as the disk has them; `disk`: the name of that which has a book."""

    def __init__(self, fences: Mapping[str, tuple[FencingToken, str]], disk_id_of: Callable[[str], str]) -> None:
        self.disk_id_of = disk_id_of
        self.logs = {journal_id: ReplicaLog(token, primary) for journal_id, (token, primary) in fences.items()}
        self.pending_writes: deque[ReplicaWrite] = deque()
        self.outbox: deque[tuple[str, DigestReply | AppendAck | FencedReply]] = deque()
        self.fenced_messages = 0

    def on_message(self, sender: str, message: OpenStream | Append | CloseStream) -> None:
        """From an owner, or from who believes to be."""
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
                    fence=(message.token, sender),
                    digest_range=(0, -1),
                    reply_to=sender,
                    stream_id=message.stream_id,
                )
            )
        elif log.durable_sequence == 0:  # its answer was lost
            self.pending_writes.append(
                ReplicaWrite(message.journal_id, digest_range=(0, -1), reply_to=sender, stream_id=message.stream_id)
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

    def on_write_done(self, write: ReplicaWrite, safe: bool) -> None:
        """A work is done, or could not be: then its stream goes on from before it."""
        log = self.logs.get(write.journal_id)
        if log is None or not write.reply_to or log.stream_id != write.stream_id:
            return  # it was shut, or another stream has begun meanwhile
        if not safe:
            log.received_sequence = min(log.received_sequence, write.sequence - 1)
            return
        if write.sequence == log.durable_sequence + 1:
            log.durable_sequence = write.sequence
        if write.sequence:
            self.outbox.append(
                (write.reply_to, AppendAck(write.journal_id, log.token, write.stream_id, log.durable_sequence))
            )
        if write.digest_range != (0, 0):
            self.outbox.append(
                (
                    write.reply_to,
                    DigestReply(
                        write.journal_id,
                        log.token,
                        write.stream_id,
                        write.sequence,
                        write.digest_range[0],
                        write.digests,
                        self.disk_id_of(write.journal_id),
                    ),
                )
            )

    def is_latest_token(self, journal_id: str, token: FencingToken) -> bool:
        """Whether nobody has put anything into the book under a later token: guards against going on with what another
        owner has swept off this disk."""
        log = self.logs.get(journal_id)
        return log is not None and log.token == token

    def close(self, journal_id: str, token: FencingToken, stream_id: int = 0) -> None:
        """Forget a book, but for its token: an older owner must not find a holder here that has forgotten who came
        after him.  Nobody owns what is shut."""
        self.logs[journal_id] = ReplicaLog(token, "", stream_id)
        self.pending_writes.append(ReplicaWrite(journal_id, fence=(token, ""), closes=True))

    def become_primary(self, journal_id: str, token: FencingToken, primary: str) -> ReplicaWrite | None:
        """This dispatcher owns the book from now on: what is to be on disk before it acts.  None where a later token
        has been seen."""
        log = self.logs.get(journal_id, ReplicaLog())
        if token < log.token:
            return None
        self.logs[journal_id] = ReplicaLog(token, primary)
        return ReplicaWrite(journal_id, fence=(token, primary))
