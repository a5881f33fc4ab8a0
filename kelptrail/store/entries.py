"""Journal entries of an activation; free of I/O.  `docs/formats/book.md` has the layout.

An activation has an `Accepted` entry, then `MayRun` before its first attempt unless it is idempotent, then `Ended`.
Field names are keys on disk and stay as they are.  Wall times are milliseconds since the epoch: they must mean
something after a restart.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgspec
import zstandard

FORMAT = 3  # 2: `Accepted` had no form; 1: results were never compressed and it had no digest
COMPRESS_FROM = 1024  # bytes of a result, from which it is compressed


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """A request was accepted and is resumed after a crash."""

    id: str
    namespace: str
    path: str
    start: float
    timeout_ms: float
    payload: bytes
    key: str | None = None
    digest: str = ""  # of the payload, to tell another body under the same key
    trace: str = ""
    deferred: bool = True
    form: str = "json"  # of the payload


class MayRun(msgspec.Struct, frozen=True, tag="may-run"):
    """The first attempt is about to start: from here on the request may have run, first at this worker."""

    id: str
    sent: float
    worker: str


class Ended(msgspec.Struct, frozen=True, tag="ended"):
    """The one final answer; `answer` is a value of `FinalStatus`."""

    id: str
    end: float
    answer: str
    code: int
    result: bytes
    return_ms: float = 0.0
    repeat_within_ms: float = 0.0
    sends: int = 0
    packed: bool = False  # the result is compressed


Entry = Accepted | MayRun | Ended

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Entry).decode


class CorruptEntryError(Exception):
    """Bytes that are no entry: altered, truncated or of another format."""


class EncodedEntry(NamedTuple):
    """An entry as bytes, and the CRC-32 of the bytes."""

    data: bytes
    crc: int


def encode_entry(entry: Entry) -> EncodedEntry:
    """Encode an entry; large results are compressed."""
    if isinstance(entry, Ended) and len(entry.result) >= COMPRESS_FROM and not entry.packed:
        small = zstandard.compress(entry.result)
        if len(small) < len(entry.result):
            entry = msgspec.structs.replace(entry, result=small, packed=True)
    data = _encode(entry)
    return EncodedEntry(data, zlib.crc32(data))


def decode_entry(data: bytes, crc: int) -> Entry:
    """Decode an entry, its result uncompressed.  Raises `CorruptEntryError`."""
    if zlib.crc32(data) != crc:
        raise CorruptEntryError("the checksum does not fit")
    try:
        entry = _decode(data)
        if isinstance(entry, Ended) and entry.packed:
            entry = msgspec.structs.replace(entry, result=zstandard.decompress(entry.result), packed=False)
    except (msgspec.MsgspecError, zstandard.ZstdError) as cause:
        raise CorruptEntryError(str(cause)) from None
    return entry
