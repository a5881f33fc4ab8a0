"""Idempotency keys of clients, and the identification of retried requests that have none."""

from __future__ import annotations

import hashlib
import zlib

MAX_KEY_LENGTH = 255  # In characters
DIGEST_BYTES = 16


def is_valid_key(key: str) -> bool:
    """Return whether an idempotency key has a valid length."""
    return 0 < len(key) <= MAX_KEY_LENGTH


def payload_digest(payload: bytes) -> str:
    """Return the digest that detects reuse of an idempotency key with a different body."""
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES).hexdigest()


def client_key(key: str | None, payload: bytes) -> str:
    """Return the key by which overload control recognises a client's retry.

    It is the idempotency key, or the checksum and length of the body if there is none.
    """
    return key or f"{zlib.crc32(payload):08x}{len(payload):x}"
