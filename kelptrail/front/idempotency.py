"""Idempotency keys of clients, and what else identifies a request that its client repeats."""

from __future__ import annotations

import hashlib
import zlib

MAX_KEY_LENGTH = 255
DIGEST_BYTES = 16


def is_valid_key(key: str) -> bool:
    """Whether an idempotency key has an allowed length."""
    return 0 < len(key) <= MAX_KEY_LENGTH


def payload_digest(payload: bytes) -> str:
    """The digest by which another body under the same key is recognised."""
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES).hexdigest()


def client_key(key: str | None, payload: bytes) -> str:
    """By what overload control recognises a client's retry: the idempotency key, or checksum and length of the body."""
    return key or f"{zlib.crc32(payload):08x}{len(payload):x}"
