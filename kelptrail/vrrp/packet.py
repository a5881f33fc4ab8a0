"""Encoding and decoding of VRRP version 3 advertisements, free of I/O (RFC 9568 section 5).

Each way in which a packet can be malformed has an error class of its own; dropped packets are counted by its name.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv6Address, ip_address

Address = IPv4Address | IPv6Address

VERSION, ADVERTISEMENT, PROTOCOL = 3, 1, 112
OWNER_PRIORITY, RELEASE_PRIORITY = 255, 0  # reserved priorities: address owner, Master that stops (section 5.2.4)
HEADER = struct.Struct("!BBBBHH")


class PacketError(Exception):
    """The bytes are not a valid advertisement for this instance; the class gives the reason."""


class FieldError(ValueError):
    """An advertisement cannot be created because a field is out of range (section 5.2)."""


class TooShortError(PacketError):
    """The packet is too short for its header and the number of addresses that the header gives (section 7.1)."""


class TooLongError(PacketError):
    """The packet is too long for the number of addresses that its header gives."""


class VersionError(PacketError):
    """The version is not 3 (section 5.2.1)."""


class TypeFieldError(PacketError):
    """The type is not ADVERTISEMENT; packets of unknown types are discarded (section 5.2.2)."""


class VridError(PacketError):
    """The virtual router identifier is not in 1 to 255 (section 5.2.3)."""


class CountError(PacketError):
    """The number of addresses is not in 1 to 255 (section 5.2.5)."""


class IntervalError(PacketError):
    """The advertisement interval is 0 or does not fit into 12 bits (section 5.2.7)."""


class ChecksumError(PacketError):
    """The checksum is wrong (section 5.2.8)."""


class AddressListError(PacketError):
    """The first address of an IPv6 list is not link-local (section 5.2.9); `decode` does not check this."""


class HopsError(PacketError):
    """The TTL or hop limit is not 255: a router forwarded the packet (sections 5.1.1.3, 5.1.2.3)."""


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
    """One advertisement; `interval_cs` is Max Advertise Interval in centiseconds, 1 to 4095."""

    vrid: int
    priority: int
    interval_cs: int
    addresses: tuple[Address, ...]

    def __post_init__(self) -> None:
        if not 1 <= self.vrid <= 255:
            raise VridError(f"virtual router identifier {self.vrid} is not in 1 to 255")
        if not 0 <= self.priority <= 255:
            raise FieldError(f"priority {self.priority} is not in 0 to 255")
        if not 1 <= self.interval_cs <= 4095:
            raise IntervalError(f"interval {self.interval_cs} cs is not in 1 to 4095")
        if not 1 <= len(self.addresses) <= 255:
            raise CountError(f"{len(self.addresses)} addresses, not 1 to 255")
        if len({a.version for a in self.addresses}) > 1:
            raise FieldError("IPv4 and IPv6 addresses in one advertisement")


def checksum(data: bytes) -> int:
    """Return the Internet checksum (RFC 1071): the one's complement of the one's complement sum of 16-bit words."""
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def pseudo_header(source: Address, destination: Address, length: int) -> bytes:
    """Return the pseudo-header that the checksum covers (IPv6: RFC 8200 section 8.1; IPv4: as in RFC 793)."""
    if isinstance(source, IPv4Address):
        return source.packed + destination.packed + struct.pack("!BBH", 0, PROTOCOL, length)
    return source.packed + destination.packed + struct.pack("!IHBB", length, 0, 0, PROTOCOL)


def encode(advert: Advertisement, source: Address, destination: Address, with_pseudo_header: bool = True) -> bytes:
    """Encode an advertisement.

    `with_pseudo_header` selects whether the checksum over IPv4 covers a pseudo-header; over IPv6 it always does.
    """
    body = b"".join(address.packed for address in advert.addresses)
    header = HEADER.pack(
        VERSION << 4 | ADVERTISEMENT, advert.vrid, advert.priority, len(advert.addresses), advert.interval_cs, 0
    )
    prefix = (
        pseudo_header(source, destination, len(header) + len(body))
        if with_pseudo_header or source.version == 6
        else b""
    )
    value = checksum(prefix + header + body)
    return header[:6] + struct.pack("!H", value) + body


def decode(
    data: bytes, source: Address, destination: Address, hops: int | None = 255, with_pseudo_header: bool = True
) -> Advertisement:
    """Decode an advertisement and check it in the order of section 7.1.

    `hops` is the TTL or hop limit of the received packet, or None if the transport does not provide it.  Raises one
    of `PACKET_ERRORS`.
    """
    _check_header(data, hops)
    version_and_type, vrid, priority, count, interval, _ = HEADER.unpack_from(data)
    if version_and_type & 0x0F != ADVERTISEMENT:
        raise TypeFieldError(f"type {version_and_type & 0x0F}, not 1")
    size = 4 if source.version == 4 else 16
    _check_length(data, count, size)
    prefix = pseudo_header(source, destination, len(data)) if with_pseudo_header or source.version == 6 else b""
    if checksum(prefix + data) != 0:
        raise ChecksumError("wrong checksum")
    if vrid == 0:
        raise VridError("virtual router identifier 0")
    if count == 0:
        raise CountError("no address")
    if interval & 0x0FFF == 0:  # the upper four bits are reserved and ignored (section 5.2.6)
        raise IntervalError("interval 0")
    addresses = tuple(ip_address(data[offset : offset + size]) for offset in range(HEADER.size, len(data), size))
    return Advertisement(vrid, priority, interval & 0x0FFF, addresses)


def _check_header(data: bytes, hops: int | None) -> None:
    """Check the hop limit, the version and that the header is complete."""
    if hops is not None and hops != 255:
        raise HopsError(f"hop limit {hops}, not 255")
    if not data or data[0] >> 4 != VERSION:
        raise VersionError(f"version {data[0] >> 4 if data else 'none'}, not 3")
    if len(data) < HEADER.size:
        raise TooShortError(f"{len(data)} bytes, less than a header of {HEADER.size}")


def _check_length(data: bytes, count: int, size: int) -> None:
    """Check the length against the number of addresses, each of `size` bytes."""
    if len(data) < HEADER.size + count * size:
        raise TooShortError(f"{len(data)} bytes for {count} addresses")
    if len(data) > HEADER.size + count * size:
        raise TooLongError(f"{len(data)} bytes for {count} addresses")
