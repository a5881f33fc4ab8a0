"""Authentication of peers: a trailer with a MAC and a counter, and protection against replays; free of I/O.

VRRP version 3 has none (RFC 9568 section 9 gives the reasons).  The trailer follows the VRRP message:

    "KV1" key id (1) | epoch (8) | count (8) | MAC (16): the first half of HMAC-SHA256 over all before it, with the
    sender's primary address in front, so that a packet cannot pass for that of another sender.

The epoch grows with each start of the sender, the count with each packet.  Several keys may be live at once, so that
they can be changed one instance after the other: all are accepted, the first one signs.
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
    """No trailer where one is needed."""


class UnknownKeyError(PacketError):
    """Signed with a key that is not live here."""


class ForgedError(PacketError):
    """The MAC does not fit."""


class ReplayError(PacketError):
    """Not newer than the last datagram of this peer."""


AUTHENTICATION_ERRORS = (UnsealedError, UnknownKeyError, ForgedError, ReplayError)


@dataclass(frozen=True, slots=True)
class Key:
    """A shared secret with its number, 0 to 255."""

    number: int
    secret: bytes


def _mac(key: Key, sender: Address, data: bytes) -> bytes:
    return hmac.digest(key.secret, sender.packed + data, hashlib.sha256)[:16]


class Signer:
    """Signs what this instance sends."""

    def __init__(self, key: Key, epoch: int, primary: Address) -> None:
        self._key, self._epoch, self._primary, self._count = key, epoch, primary, 0

    def sign(self, message: bytes) -> bytes:
        """The message with its trailer."""
        self._count += 1
        head = message + struct.pack("!3sBQQ", MAGIC, self._key.number, self._epoch, self._count)
        return head + _mac(self._key, self._primary, head)


class Verifier:
    """Verifies what peers send; remembers the newest epoch and count of each."""

    def __init__(self, keys: tuple[Key, ...]) -> None:
        self._keys = {key.number: key for key in keys}
        self._newest: dict[Address, tuple[int, int]] = {}

    def verify(self, data: bytes, sender: Address) -> bytes:
        """The message without its trailer.  Raises one of `AUTHENTICATION_ERRORS`."""
        if len(data) < TRAILER.size or data[-TRAILER.size : -TRAILER.size + 3] != MAGIC:
            raise UnsealedError("no trailer")
        _, number, epoch, count, mac = TRAILER.unpack(data[-TRAILER.size :])
        key = self._keys.get(number)
        if key is None:
            raise UnknownKeyError(f"key {number}")
        if not hmac.compare_digest(mac, _mac(key, sender, data[:-16])):
            raise ForgedError(f"the MAC does not fit for {sender}")
        if (epoch, count) <= self._newest.get(sender, (-1, 0)):
            raise ReplayError(f"{sender} is past {epoch}:{count}")
        self._newest[sender] = (epoch, count)
        return data[: -TRAILER.size]
