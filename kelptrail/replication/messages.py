"""Messages between the primary and the replicas of a journal, digests of journal contents, and replication settings.

A *journal* is the record of the deferred calls of one run of one dispatcher.  It has one *primary* at a time, which
holds the lease on the journal, and an *in-sync set*: all dispatchers that have every committed entry, including the
primary.  The in-sync set is stored as a note with the lease.  The next lease holder therefore knows which disks are
complete, even if a replica was removed from the set and does not know it.

Times are milliseconds.  No message carries a time of day; ages are counted up to the moment of sending.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import reduce
from hashlib import blake2b
from operator import xor
from typing import NamedTuple
from zlib import crc32

import msgspec

from kelptrail.lease.messages import FencingToken

BUCKETS = 256  # hash ranges of activation ids; each has one digest
DIGEST_BYTES = 8  # of one bucket
LEASE_PREFIX = "book/"  # name of a journal's lease: this prefix and the journal id


class BucketRange(NamedTuple):
    """Buckets from `first` up to, but not including, `end`."""

    first: int
    end: int


NO_BUCKETS = BucketRange(0, 0)
ALL_BUCKETS = BucketRange(0, -1)  # `end` -1: all buckets, from the digests in memory


class EntryKey(NamedTuple):
    """Identity of an entry within a journal."""

    id: str
    kind: int


class ReplicaEntry(msgspec.Struct, frozen=True, array_like=True):
    """One journal entry.  `data` is the output of `store.entries.encode_entry`.

    `age_ms` is its age when it was sent: counted from the acceptance of the call, or, for a may-run entry, from its
    write.
    """

    id: str
    kind: int
    age_ms: float
    data: bytes


class OpenStream(msgspec.Struct, frozen=True, tag="copies-open", array_like=True):
    """The primary opens a stream to a replica and asks for the digests of all buckets.

    `stream_id` is larger for each new stream under one token.
    """

    journal_id: str
    token: FencingToken
    stream_id: int


class Append(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """The next message of a stream: entries to store and activation ids to delete.

    `trimmed_bucket`: the replica deletes everything in this bucket except `retained`; -1: no bucket is trimmed.
    `digest_range`: buckets whose digests the replica reads from disk and reports; see `BucketRange`.
    `delay_ms`: time from the first queueing of this message to its sending, added to the ages of its entries.
    """

    journal_id: str
    token: FencingToken
    stream_id: int
    sequence: int
    entries: tuple[ReplicaEntry, ...] = ()
    deleted_ids: tuple[str, ...] = ()
    trimmed_bucket: int = -1
    retained: tuple[EntryKey, ...] = ()
    digest_range: BucketRange = NO_BUCKETS
    delay_ms: float = 0.0


class DigestReply(msgspec.Struct, frozen=True, tag="copies-told", array_like=True):
    """Digests of a replica's buckets, from `first_bucket` on, after it stored `sequence` of the stream.

    `disk_id` is a random name drawn when the replica's store was created; no two disks share one.
    """

    journal_id: str
    token: FencingToken
    stream_id: int
    sequence: int
    first_bucket: int
    digests: bytes
    disk_id: str = ""


class AppendAck(msgspec.Struct, frozen=True, tag="kept", array_like=True):
    """The replica has stored all messages of the stream up to and including `sequence`."""

    journal_id: str
    token: FencingToken
    stream_id: int
    sequence: int


class FencedReply(msgspec.Struct, frozen=True, tag="fenced", array_like=True):
    """The request was rejected because its fencing token is older than `token`, the newest seen by the replica."""

    journal_id: str
    token: FencingToken


class CloseStream(msgspec.Struct, frozen=True, tag="copies-shut", array_like=True):
    """The receiver is no longer a replica of this journal and may delete its copy; `stream_id` as in `OpenStream`."""

    journal_id: str
    token: FencingToken
    stream_id: int


class Claim(msgspec.Struct, frozen=True, tag="copies-take", array_like=True):
    """The lease on the journal was released in favour of the receiver, which should acquire it now."""

    journal_id: str


class DrainNotice(msgspec.Struct, frozen=True, tag="copies-leaving", array_like=True):
    """The sender is draining: primaries replace it as a replica before they remove it from the in-sync set."""


class Lookup(msgspec.Struct, frozen=True, tag="find", array_like=True):
    """Asks who has an activation.  `target` is its id, or `key:NAMESPACE/ACTION/KEY` for an idempotency key."""

    target: str


class LookupReply(msgspec.Struct, frozen=True, tag="found", array_like=True):
    """Reply to `Lookup`.  `state` is a value of `lookup.LookupState`; `address` is set where the state is HERE.

    `responder`: name and run of the sender.  `primaries`: name and run of each primary of a journal that is replicated
    at the sender and may contain the target.
    """

    target: str
    state: str
    responder: str
    address: str = ""
    primaries: tuple[str, ...] = ()


class InSyncSet(msgspec.Struct, frozen=True, array_like=True):
    """The note stored with a journal's lease: the last primary, and the disk id of each in-sync dispatcher by name.

    The disk id prevents a dispatcher that restarts with an empty disk from being treated as complete.
    """

    primary: str
    disk_ids: dict[str, str]


Answer = DigestReply | AppendAck | FencedReply
Message = (
    OpenStream
    | Append
    | DigestReply
    | AppendAck
    | FencedReply
    | CloseStream
    | Claim
    | DrainNotice
    | Lookup
    | LookupReply
)

_read_members = msgspec.msgpack.Decoder(InSyncSet).decode


def encode_in_sync(members: InSyncSet) -> bytes:
    """The in-sync set as it is stored with the lease."""
    return msgspec.msgpack.encode(members)


def decode_in_sync(text: bytes) -> InSyncSet:
    """Decode the output of `encode_in_sync`; an empty text gives an empty set.  Raises `msgspec.MsgspecError`."""
    return _read_members(text) if text else InSyncSet("", {})


def bucket_of(id_: str) -> int:
    """The bucket of an activation id."""
    return crc32(id_.encode()) % BUCKETS


def entry_digest(id_: str, kind: int, crc: int) -> int:
    """Digest of one entry whose packed bytes have this CRC-32.  A bucket's digest is the xor over its entries."""
    return int.from_bytes(blake2b(f"{id_}\0{kind}\0{crc}".encode(), digest_size=DIGEST_BYTES).digest())


def pack_digests(found: Iterable[int]) -> bytes:
    """Encode digests of consecutive buckets."""
    return b"".join(one.to_bytes(DIGEST_BYTES) for one in found)


def unpack_digests(data: bytes) -> list[int]:
    """Decode the output of `pack_digests`."""
    return [int.from_bytes(data[n : n + DIGEST_BYTES]) for n in range(0, len(data), DIGEST_BYTES)]


def differing_buckets(local_digests: list[int], reply: DigestReply) -> list[int]:
    """Buckets of a reply whose digests differ from `local_digests`, which begins at the same bucket."""
    return [
        bucket
        for bucket, (local, remote) in enumerate(
            zip(local_digests, unpack_digests(reply.digests), strict=False), reply.first_bucket
        )
        if local != remote
    ]


def bucket_digests(items: Iterable[ReplicaEntry]) -> list[int]:
    """Digests of all buckets, computed from entries."""
    found: list[list[int]] = [[] for _ in range(BUCKETS)]
    for item in items:
        found[bucket_of(item.id)].append(entry_digest(item.id, item.kind, crc32(item.data)))
    return [reduce(xor, ones, 0) for ones in found]


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Settings of the primary.  Times are milliseconds, sizes bytes."""

    replica_count: int = 0  # replicas of each journal besides the primary
    allow_under_replicated: bool = False  # accept deferred calls with fewer replicas, too
    retry_ms: float = 300.0  # an unacknowledged message is sent again after this time
    replica_timeout_ms: float = 1500.0  # a replica that is silent or does not acknowledge for so long is dropped
    reconnect_pause_ms: float = 3000.0  # before a dropped replica is tried again
    max_uncommitted_bytes: int = 64 << 20  # new calls are rejected above this
    window_bytes: int = 256 << 10  # sent and unacknowledged, per replica
    repair_bytes_per_ms: float = 20_000.0  # rate limit of the repair of one replica
    max_entry_bytes: int = 256 << 10  # of one entry; of a larger result only the outcome is stored
    verify_interval_ms: float = 1000.0  # between two digest checks of one replica
    verify_buckets: int = 8  # buckets per digest check
