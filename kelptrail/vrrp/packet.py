"""VRRP version 3 advertisements, bytes to fields and back, without I/O (RFC 9568 section 5).

Each way in which a packet can be malformed is an error of its own, so that it can be counted by name.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv6Address, ip_address

Address = IPv4Address | IPv6Address

VERSION, ADVERTISEMENT, PROTOCOL = 3, 1, 112
OWNER_PRIORITY, RELEASE_PRIORITY = 255, 0  # priorities with a meaning of their own (section 5.2.4)
HEADER = struct.Struct("!BBBBHH")


class PacketError(Exception):
    """Bytes that are no advertisement for us; the class names the reason."""


class FieldError(ValueError):
    """An advertisement that cannot be built: a field out of range (section 5.2)."""


class TooShortError(PacketError):
    """Fewer bytes than a head and the addresses it counts (section 7.1)."""


class TooLongError(PacketError):
    """Bytes after the addresses that it counts."""


class VersionError(PacketError):
    """Not version 3 (section 5.2.1)."""


class TypeFieldError(PacketError):
    """Not an advertisement (section 5.2.2): unknown types are discarded."""


class VridError(PacketError):
    """A virtual router identifier of 0 (section 5.2.3: 1 to 255)."""


class CountError(PacketError):
    """No address at all (section 5.2.5: at least one)."""


class IntervalError(PacketError):
    """An interval of 0 (section 5.2.7)."""


class ChecksumError(PacketError):
    """The checksum does not fit (section 5.2.8)."""


class AddressListError(PacketError):
    """An IPv6 list whose first address is not link-local, where that is asked for (section 5.2.9)."""


class HopsError(PacketError):
    """A TTL or hop limit other than 255 (sections 5.1.1.3, 5.1.2.3): it came from beyond the link."""


PACKET_ERRORS = (
    TooShortError,
    TooLongError,
    VersionError,
    TypeFieldError,
    VridError,
    CountError,
    IntervalError,
    ChecksumError,
    AddressListError,
    HopsError,
)


@dataclass(frozen=True, slots=True)
class Advertisement:
    """One advertisement.  `interval_cs` is Max Advertise Interval in centiseconds, 1 to 4095."""

    vrid: int
    priority: int
    interval_cs: int
    addresses: tuple[Address, ...]

    def __post_init__(self) -> None:
        if not 1 <= self.vrid <= 255:
            raise VridError(f"virtual router {self.vrid}; 1 to 255")
        if not 0 <= self.priority <= 255:
            raise FieldError(f"priority {self.priority}; 0 to 255")
        if not 1 <= self.interval_cs <= 4095:
            raise IntervalError(f"interval {self.interval_cs} cs; 1 to 4095")
        if not 1 <= len(self.addresses) <= 255:
            raise CountError(f"{len(self.addresses)} addresses; 1 to 255")
        if len({a.version for a in self.addresses}) > 1:
            raise FieldError("IPv4 and IPv6 addresses in one advertisement")


def checksum(data: bytes) -> int:
    """The Internet checksum (RFC 1071): the one's complement of the one's complement sum of 16-bit words."""
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def pseudo_header(source: Address, destination: Address, length: int) -> bytes:
    """What the checksum covers besides the message (RFC 8200 section 8.1; for IPv4 as RFC 793 has it)."""
    if isinstance(source, IPv4Address):
        return source.packed + destination.packed + struct.pack("!BBH", 0, PROTOCOL, length)
    return source.packed + destination.packed + struct.pack("!IHBB", length, 0, 0, PROTOCOL)


def encode(advert: Advertisement, source: Address, destination: Address, pseudo: bool = True) -> bytes:
    """An advertisement as bytes.  `pseudo`: the checksum covers a pseudo-header; IPv6 always has one."""
    body = b"".join(address.packed for address in advert.addresses)
    head = HEADER.pack(
        VERSION << 4 | ADVERTISEMENT, advert.vrid, advert.priority, len(advert.addresses), advert.interval_cs, 0
    )
    cover = pseudo_header(source, destination, len(head) + len(body)) if pseudo or source.version == 6 else b""
    value = checksum(cover + head + body)
    return head[:6] + struct.pack("!H", value) + body


def decode(
    data: bytes, source: Address, destination: Address, hops: int | None = 255, pseudo: bool = True
) -> Advertisement:
    """Bytes as an advertisement, checked in the order of section 7.1.  Raises a `PacketError`.

    `hops` is the TTL or hop limit it came with, None where the transport does not tell.
    """
    _check_origin(data, hops)
    kind, vrid, priority, count, interval, _ = HEADER.unpack_from(data)
    if kind & 0x0F != ADVERTISEMENT:
        raise TypeFieldError(f"type {kind & 0x0F}, not 1")
    size = 4 if source.version == 4 else 16
    _check_length(data, count, size)
    cover = pseudo_header(source, destination, len(data)) if pseudo or source.version == 6 else b""
    if checksum(cover + data) != 0:
        raise ChecksumError("the checksum does not fit")
    if vrid == 0:
        raise VridError("virtual router 0")
    if count == 0:
        raise CountError("no address")
    if interval & 0x0FFF == 0:  # the upper four bits are reserved and ignored (section 5.2.6)
        raise IntervalError("interval 0")
    addresses = tuple(ip_address(data[at : at + size]) for at in range(HEADER.size, len(data), size))
    return Advertisement(vrid, priority, interval & 0x0FFF, addresses)


def _check_origin(data: bytes, hops: int | None) -> None:
    """Check the hop limit, the version, and that there is a header."""
    if hops is not None and hops != 255:
        raise HopsError(f"came with a hop limit of {hops}, not 255")
    if not data or data[0] >> 4 != VERSION:
        raise VersionError(f"version {data[0] >> 4 if data else 'none'}, not 3")
    if len(data) < HEADER.size:
        raise TooShortError(f"{len(data)} bytes; a head has {HEADER.size}")


def _check_length(data: bytes, count: int, size: int) -> None:
    """Check the length against the number of addresses, of `size` bytes each."""
    if len(data) < HEADER.size + count * size:
        raise TooShortError(f"{len(data)} bytes for {count} addresses")
    if len(data) > HEADER.size + count * size:
        raise TooLongError(f"{len(data)} bytes for {count} addresses")
