"""What an owner and those that hold its book say to each other, and the figures that both are built with.

A *book* is what one run of a dispatcher holds for others.  It has one *owner* at a time, who holds the lease on it, and
*members*: all that have the whole of it, the owner among them.  The list of members is kept as a note with the lease,
so whoever holds the lease next knows who has the whole, also where a holder that was given up does not know that.
Times are milliseconds; no message carries a time of day: ages count until a message was put out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import reduce
from hashlib import blake2b
from operator import xor
from zlib import crc32

import msgspec

from kelptrail.lease.messages import FencingToken

BUCKETS = 256  # ranges of ids in which two books are compared
DIGEST_BYTES = 8  # bytes of each
LEASE_PREFIX = "book/"  # of the lease on a book


class ReplicaEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a book, `data` as `store.entries.pack` has it.  `age_ms`, when it was put out: since the call was
    taken, or, of what may have run, since that was written."""

    id: str
    kind: int
    age_ms: float
    data: bytes


class OpenStream(msgspec.Struct, frozen=True, tag="copies-open", array_like=True):
    """A stream of a book begins, under its owner's token; `stream` grows with each.  What do you have of it?"""

    journal_id: str
    token: FencingToken
    stream_id: int


class Append(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """The next of a stream: entries, and ids that are forgotten.  `bucket`: of it nothing but `only` is to be left, -1:
    all is.  `check`: tell what the disk has of these buckets, from and up to.  `waited_ms`: since it was put out."""

    journal_id: str
    token: FencingToken
    stream_id: int
    sequence: int
    entries: tuple[ReplicaEntry, ...] = ()
    deleted_ids: tuple[str, ...] = ()
    trimmed_bucket: int = -1
    retained: tuple[tuple[str, int], ...] = ()
    digest_range: tuple[int, int] = (0, 0)
    delay_ms: float = 0.0


class DigestReply(msgspec.Struct, frozen=True, tag="copies-told", array_like=True):
    """What a holder has, after `number` of a stream: digests of buckets from the `first` one on.  `disk`: the name of
    its disk, never the same for two."""

    journal_id: str
    token: FencingToken
    stream_id: int
    sequence: int
    first_bucket: int
    digests: bytes
    disk_id: str = ""


class AppendAck(msgspec.Struct, frozen=True, tag="kept", array_like=True):
    """All up to `number` of a stream is kept, as safe as the settings ask for."""

    journal_id: str
    token: FencingToken
    stream_id: int
    sequence: int


class FencedReply(msgspec.Struct, frozen=True, tag="fenced", array_like=True):
    """A later token has been seen: nothing more is taken under an older one."""

    journal_id: str
    token: FencingToken


class CloseStream(msgspec.Struct, frozen=True, tag="copies-shut", array_like=True):
    """The holder is none of this book any more and may forget it; `stream` as in `Open`."""

    journal_id: str
    token: FencingToken
    stream_id: int


class Claim(msgspec.Struct, frozen=True, tag="copies-take", array_like=True):
    """The lease on a book was given back for whom this is sent to: want it now."""

    journal_id: str


class DrainNotice(msgspec.Struct, frozen=True, tag="copies-leaving", array_like=True):
    """Its sender's machine is to be taken away: books should go elsewhere, with no time at risk."""


class Lookup(msgspec.Struct, frozen=True, tag="find", array_like=True):
    """Who has this: an activation by its id, or the call under a key as `key:NAMESPACE/ACTION/KEY`?"""

    target: str


class LookupReply(msgspec.Struct, frozen=True, tag="found", array_like=True):
    """It is here, at `at`; or may come to be; or is not: see `questions`.  `by`: who says so, name and run; `owners`:
    the same of whoever owns a book that is held here and may have it."""

    target: str
    state: str
    responder: str
    address: str = ""
    primaries: tuple[str, ...] = ()


class InSyncSet(msgspec.Struct, frozen=True, array_like=True):
    """The note with a book's lease: who owned it, and all that have the whole of it, each with the name of its disk.
    Guards against one that comes back with an empty disk under its name and is taken to have the whole."""

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
    """As it is left with the lease."""
    return msgspec.msgpack.encode(members)


def decode_in_sync(text: bytes) -> InSyncSet:
    """What `note` made; nobody where there is none.  Raises `msgspec.MsgspecError`."""
    return _read_members(text) if text else InSyncSet("", {})


def bucket_of(id_: str) -> int:
    """Of an activation."""
    return crc32(id_.encode()) % BUCKETS


def entry_digest(id_: str, kind: int, crc: int) -> int:
    """Of one entry, whose bytes have this CRC-32; a bucket's is that of all its entries, xor-ed."""
    return int.from_bytes(blake2b(f"{id_}\0{kind}\0{crc}".encode(), digest_size=DIGEST_BYTES).digest())


def pack_digests(found: Iterable[int]) -> bytes:
    """Digests of buckets as bytes."""
    return b"".join(one.to_bytes(DIGEST_BYTES) for one in found)


def unpack_digests(data: bytes) -> list[int]:
    """As they were."""
    return [int.from_bytes(data[n : n + DIGEST_BYTES]) for n in range(0, len(data), DIGEST_BYTES)]


def bucket_digests(items: Iterable[ReplicaEntry]) -> list[int]:
    """Of all buckets, from entries."""
    found: list[list[int]] = [[] for _ in range(BUCKETS)]
    for item in items:
        found[bucket_of(item.id)].append(entry_digest(item.id, item.kind, crc32(item.data)))
    return [reduce(xor, ones, 0) for ones in found]


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """`count`: further dispatchers that hold each record; `short`: calls are promised with fewer, too; `again_ms`: what
    was not answered is sent again; `slow_ms`: a holder that has not answered, or was not heard, for so long is given
    up, and asked again after `pause_ms`; `most_bytes`: that wait for the slowest; `window_bytes`: out to one holder;
    `fill_per_ms`: bytes of a holder that is filled up; `check_ms`: between two looks at a holder's disk, each at
    `check_step` buckets."""

    replica_count: int = 0
    allow_under_replicated: bool = False
    retry_ms: float = 300.0
    replica_timeout_ms: float = 1500.0
    reconnect_pause_ms: float = 3000.0
    max_uncommitted_bytes: int = 64 << 20
    window_bytes: int = 256 << 10
    repair_bytes_per_ms: float = 20_000.0
    max_entry_bytes: int = 256 << 10  # bytes of one; a larger result is kept as its outcome alone
    verify_interval_ms: float = 1000.0
    verify_buckets: int = 8
