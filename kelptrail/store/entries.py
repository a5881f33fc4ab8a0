"""Journal entries of an activation; free of I/O.  `docs/formats/book.md` has the layout.

An activation has an `Accepted` entry, then `MayRun` before its first attempt unless it is idempotent, then `Ended`.
Field names are keys on disk and must not change.  Times are wall times in milliseconds since the epoch, so that they
are valid after a restart.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgspec
import zstandard

# In format 2 `Accepted` had no `form`; in format 1 it had no `digest` either, and results were never compressed.
FORMAT = 3
COMPRESS_FROM_BYTES = 1024  # smallest result that is compressed


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """A request was accepted; after a crash it is resumed or ended."""

    id: str
    namespace: str
    path: str
    start: float
    timeout_ms: float
    payload: bytes
    key: str | None = None
    digest: str = ""  # digest of the payload, which detects another body under the same key
    trace: str = ""
    deferred: bool = True
    form: str = "json"  # format of the payload


class MayRun(msgspec.Struct, frozen=True, tag="may-run"):
    """The first attempt that may run is about to start at this worker, or has started: the request may have run."""

    id: str
    sent: float  # start of the attempt
    worker: str


class Ended(msgspec.Struct, frozen=True, tag="ended"):
    """The one final answer; `answer` is a value of `FinalStatus`."""

    id: str
    end: float
    answer: str
    code: int
    result: bytes
    return_ms: float = 0.0  # retry-after time of a rejection
    repeat_within_ms: float = 0.0  # time for which the workers still deduplicate a retry
    sends: int = 0  # number of attempts
    packed: bool = False  # the result is compressed


Entry = Accepted | MayRun | Ended

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Entry).decode


class CorruptEntryError(Exception):
    """The bytes are not a valid entry: altered, truncated or of another format."""


class EncodedEntry(NamedTuple):
    """An encoded entry and its CRC-32."""

    data: bytes
    crc: int


def encode_entry(entry: Entry) -> EncodedEntry:
    """Encode an entry; large results are compressed."""
    if isinstance(entry, Ended) and len(entry.result) >= COMPRESS_FROM_BYTES and not entry.packed:
        compressed = zstandard.compress(entry.result)
        if len(compressed) < len(entry.result):
            entry = msgspec.structs.replace(entry, result=compressed, packed=True)
    data = _encode(entry)
    return EncodedEntry(data, zlib.crc32(data))


def decode_entry(data: bytes, crc: int) -> Entry:
    """Decode an entry and decompress its result.  Raises `CorruptEntryError`."""
    if zlib.crc32(data) != crc:
        raise CorruptEntryError("the checksum does not match")
    try:
        entry = _decode(data)
        if isinstance(entry, Ended) and entry.packed:
            entry = msgspec.structs.replace(entry, result=zstandard.decompress(entry.result), packed=False)
    except (msgspec.MsgspecError, zstandard.ZstdError) as cause:
        raise CorruptEntryError(str(cause)) from None
    return entry
