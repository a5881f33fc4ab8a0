"""Messages between the primary and the replicas of a journal, digests of journal contents, and replication settings.

A *journal* records deferred calls.  A run of a dispatcher creates it; later runs continue it, and other dispatchers may
take it over.  It has one *primary* at a time, which holds the lease on the journal, and an *in-sync set*: all
dispatchers that have every committed entry, including the primary.  The in-sync set is stored as a note with the lease.
The next lease holder reads from it which disks are complete.  Thus even a replica that was removed from the set without
being notified finds that its disk is incomplete.

Times are milliseconds.  No message carries a time of day; entries carry their age at the time of sending instead.
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

BUCKETS = 256  # number of buckets into which activation ids are hashed; each has one digest
DIGEST_BYTES = 8  # length of the digest of one bucket
LEASE_PREFIX = "book/"  # name of a journal's lease: this prefix and the journal id


class BucketRange(NamedTuple):
    """Buckets from `first` up to, but not including, `end`."""

    first: int
    end: int


NO_BUCKETS = BucketRange(0, 0)
ALL_BUCKETS = BucketRange(0, -1)  # all buckets; the replica returns the digests that it keeps in memory


class EntryKey(NamedTuple):
    """Identity of an entry within a journal."""

    id: str
    kind: int


class ReplicaEntry(msgspec.Struct, frozen=True, array_like=True):
    """One journal entry.  `data` is the output of `store.entries.encode_entry`.

    `age_ms` is the entry's age at the time of sending: for an accepted entry the time since the call was accepted, for
    other kinds the time since the entry was written.
    """

    id: str
    kind: int
    age_ms: float
    data: bytes


class OpenStream(msgspec.Struct, frozen=True, tag="copies-open", array_like=True):
    """Opens a stream from the primary to a replica and requests the digests of all buckets.

    `stream_id` increases with each new stream under the same token.  A primary that has lost the lease also sends this
    message, to learn of a later token from a `FencedReply`.
    """

    journal_id: str
    token: FencingToken
    stream_id: int


class Append(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """The next message of a stream: entries to store and activation ids to delete.

    `trimmed_bucket`: bucket in which the replica deletes everything except `retained`; -1 if no bucket is trimmed.
    `digest_range`: buckets whose digests the replica computes from its disk and returns.
    `delay_ms`: time from queueing this message to sending it, to be added to the ages of its entries.
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
    """Digests of a replica's buckets, from `first_bucket` on, after it has stored message `sequence` of the stream.

    `disk_id` is a random id, generated when the replica's store is created; no two disks have the same one.
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
    """Rejects a message whose fencing token is older than `token`, the newest one that the replica has received."""

    journal_id: str
    token: FencingToken


class CloseStream(msgspec.Struct, frozen=True, tag="copies-shut", array_like=True):
    """Notifies the receiver that it is no longer a replica of this journal, so that it deletes its copy.

    `stream_id` is chosen as for `OpenStream`.
    """

    journal_id: str
    token: FencingToken
    stream_id: int


class Claim(msgspec.Struct, frozen=True, tag="copies-take", array_like=True):
    """Requests that the receiver acquire the journal's lease, which was released in its favour."""

    journal_id: str


class DrainNotice(msgspec.Struct, frozen=True, tag="copies-leaving", array_like=True):
    """Announces that the sender drains.  Primaries replace the sender before they remove it from the in-sync set."""


class Lookup(msgspec.Struct, frozen=True, tag="find", array_like=True):
    """Queries whether a dispatcher has an activation.

    `target` is the activation's id, or `key:NAMESPACE/ACTION/KEY` for an idempotency key.
    """

    target: str


class LookupReply(msgspec.Struct, frozen=True, tag="found", array_like=True):
    """Reply to `Lookup`.  `state` is a value of `lookup.LookupState`; `address` is set if the state is HERE.

    `responder`: name and run of the sender.  `primaries`: name and run of the primary of each journal that is
    replicated at the sender and may contain the target.
    """

    target: str
    state: str
    responder: str
    address: str = ""
    primaries: tuple[str, ...] = ()


class InSyncSet(msgspec.Struct, frozen=True, array_like=True):
    """The note stored with a journal's lease: the last primary, and the disk id of each in-sync dispatcher by name.

    The disk id prevents a dispatcher that restarts with an empty disk from counting as in sync.
    """

    primary: str
    disk_ids: dict[str, str]


ReplicaReply = DigestReply | AppendAck | FencedReply
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

_decode_in_sync = msgspec.msgpack.Decoder(InSyncSet).decode


def encode_in_sync(in_sync: InSyncSet) -> bytes:
    """Encode the in-sync set as it is stored with the lease."""
    return msgspec.msgpack.encode(in_sync)


def decode_in_sync(data: bytes) -> InSyncSet:
    """Decode the output of `encode_in_sync`; empty `data` gives an empty set.  Raises `msgspec.MsgspecError`."""
    return _decode_in_sync(data) if data else InSyncSet("", {})


def bucket_of(id_: str) -> int:
    """Return the bucket of an activation id."""
    return crc32(id_.encode()) % BUCKETS


def entry_digest(id_: str, kind: int, crc: int) -> int:
    """Return the digest of an entry whose encoded bytes have this CRC-32.

    The digest of a bucket is the XOR of the digests of its entries.
    """
    return int.from_bytes(blake2b(f"{id_}\0{kind}\0{crc}".encode(), digest_size=DIGEST_BYTES).digest())


def pack_digests(digests: Iterable[int]) -> bytes:
    """Encode the digests of consecutive buckets."""
    return b"".join(digest.to_bytes(DIGEST_BYTES) for digest in digests)


def unpack_digests(data: bytes) -> list[int]:
    """Decode the output of `pack_digests`."""
    return [int.from_bytes(data[n : n + DIGEST_BYTES]) for n in range(0, len(data), DIGEST_BYTES)]


def differing_buckets(local_digests: list[int], reply: DigestReply) -> list[int]:
    """Return the buckets of a reply whose digests differ from `local_digests`.

    `local_digests` begins at the same bucket as the reply.
    """
    return [
        bucket
        for bucket, (local, remote) in enumerate(
            zip(local_digests, unpack_digests(reply.digests), strict=False), reply.first_bucket
        )
        if local != remote
    ]


def bucket_digests(entries: Iterable[ReplicaEntry]) -> list[int]:
    """Compute the digests of all buckets from entries."""
    by_bucket: list[list[int]] = [[] for _ in range(BUCKETS)]
    for entry in entries:
        by_bucket[bucket_of(entry.id)].append(entry_digest(entry.id, entry.kind, crc32(entry.data)))
    return [reduce(xor, digests, 0) for digests in by_bucket]


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Settings of the primary.  Times are milliseconds, sizes bytes."""

    replica_count: int = 0  # replicas of each journal besides the primary
    allow_under_replicated: bool = False  # whether deferred calls are accepted even with too few in-sync replicas
    retry_ms: float = 300.0  # time after which an unacknowledged message is sent again
    replica_timeout_ms: float = 1500.0  # time that a replica may owe a reply or be unreachable until it is dropped
    reconnect_pause_ms: float = 3000.0  # pause before a stream to a dropped replica is opened again
    max_uncommitted_bytes: int = 64 << 20  # size of uncommitted entries from which new calls are rejected
    window_bytes: int = 256 << 10  # limit on sent and unacknowledged data per replica
    repair_bytes_per_ms: float = 20_000.0  # rate limit for the repair of one replica
    max_entry_bytes: int = 256 << 10  # size limit of a result's entry; an error text replaces a larger result
    verify_interval_ms: float = 1000.0  # time between two digest checks of one replica
    verify_buckets: int = 8  # buckets per digest check
