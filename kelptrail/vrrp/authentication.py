"""Authentication of peers by a trailer with a message authentication code (MAC), and replay protection; free of I/O.

VRRP version 3 has no authentication of its own (RFC 9568 section 9 gives the reasons).  The trailer follows the VRRP
message; lengths are in bytes:

    "KV1" (3) | key number (1) | epoch (8) | count (8) | MAC (16)

The MAC is the first half of HMAC-SHA256 over the sender's primary address and all bytes before the MAC.  It covers the
address so that a packet cannot be replayed as one of another sender.  The epoch grows with each start of the sender,
the count with each packet.  Several keys may be in use at once, so that keys can be changed on one instance after the
other: packets signed with any of them are accepted, and the first one signs.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass

from .packet import Address, PacketError

MAGIC = b"KV1"
TRAILER = struct.Struct("!3sBQQ16s")


class UnsealedError(PacketError):
    """The packet has no trailer, although authentication is required."""


class UnknownKeyError(PacketError):
    """The packet is signed with a key that this instance does not have."""


class ForgedError(PacketError):
    """The MAC does not match the packet."""


class ReplayError(PacketError):
    """The packet is not newer than the last one accepted from this peer."""


AUTHENTICATION_ERRORS = (UnsealedError, UnknownKeyError, ForgedError, ReplayError)


@dataclass(frozen=True, slots=True)
class Key:
    """A shared secret and its key number, 0 to 255."""

    number: int
    secret: bytes


def _mac(key: Key, sender: Address, data: bytes) -> bytes:
    return hmac.digest(key.secret, sender.packed + data, hashlib.sha256)[:16]


class Signer:
    """Signs the packets that this instance sends."""

    def __init__(self, key: Key, epoch: int, primary: Address) -> None:
        self._key, self._epoch, self._primary, self._count = key, epoch, primary, 0

    def sign(self, message: bytes) -> bytes:
        """Return the message followed by its trailer."""
        self._count += 1
        signed = message + struct.pack("!3sBQQ", MAGIC, self._key.number, self._epoch, self._count)
        return signed + _mac(self._key, self._primary, signed)


class Verifier:
    """Verifies packets of peers; records the newest epoch and count of each peer to reject replays."""

    def __init__(self, keys: tuple[Key, ...]) -> None:
        self._keys = {key.number: key for key in keys}
        self._newest: dict[Address, tuple[int, int]] = {}

    def verify(self, data: bytes, sender: Address) -> bytes:
        """Verify the trailer and return the message without it.  Raises one of `AUTHENTICATION_ERRORS`."""
        if len(data) < TRAILER.size or data[-TRAILER.size : -TRAILER.size + 3] != MAGIC:
            raise UnsealedError("no trailer")
        _, number, epoch, count, mac = TRAILER.unpack(data[-TRAILER.size :])
        key = self._keys.get(number)
        if key is None:
            raise UnknownKeyError(f"unknown key number {number}")
        if not hmac.compare_digest(mac, _mac(key, sender, data[:-16])):
            raise ForgedError(f"the MAC does not match sender {sender}")
        if (epoch, count) <= self._newest.get(sender, (-1, 0)):
            raise ReplayError(f"{sender} replayed epoch {epoch}, count {count}")
        self._newest[sender] = (epoch, count)
        return data[: -TRAILER.size]
