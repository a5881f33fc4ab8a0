"""Numbered watch events of the platform's endpoint list, as binary frames and as JSON; without I/O.

A frame is a length (4 bytes), an event number (8), a kind (1) and records of a fixed size.  The length counts the bytes
that follow it.  Numbers are unsigned and big-endian.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from typing import Any

UNCHANGED, SNAPSHOT, CHANGES = 0, 1, 2  # kinds of event
_HEAD = Struct(">IQB")
# Id, IPv4 address, port, state, zone, kind, cell, capacity in thousandths, start.
_RECORD = Struct(">I4sHBBBHIQ")
_STATES = {"in_service": 0, "terminating": 1, "terminated": 2}
READY, DRAINING, TERMINATED = 0, 1, 2  # states of a worker


class FeedError(ValueError):
    """Raised for bytes or JSON that are not a valid watch event."""


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """A worker as an event describes it.

    `zone` and `kind` are indices in the configured lists.  `started` is its start as Unix time in ms, 0 if it started
    long ago.
    """

    id: str
    address: str
    port: int
    state: int
    zone: int
    kind: int
    cell: int
    capacity: float
    started: int


@dataclass(frozen=True, slots=True)
class EndpointEvent:
    """One watch event.  `records` holds all workers of a snapshot, else the changed ones; None if nothing changed."""

    number: int
    is_snapshot: bool
    records: list[EndpointRecord] | None


class FeedReader:
    """Parses a byte stream into watch events.

    `zones` and `kinds` are the numbers of known zones and worker kinds; a record with an index beyond them is an error.
    `max_length` is the maximum of an event's length field, in bytes.
    """

    def __init__(self, zones: int, kinds: int, max_length: int = 4 << 20) -> None:
        self._zones, self._kinds, self._max_length, self._buffer = zones, kinds, max_length, bytearray()

    def feed(self, data: memoryview | bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next(self) -> EndpointEvent | None:
        """Return the next complete event, or None.  Raises `FeedError`."""
        buffer = self._buffer
        if len(buffer) < 4:
            return None
        length = int.from_bytes(buffer[:4], "big")
        if not 9 <= length <= self._max_length:
            raise FeedError(f"invalid event length {length}")
        if len(buffer) < 4 + length:
            return None
        _, number, kind = _HEAD.unpack_from(buffer)
        payload = bytes(buffer[_HEAD.size : 4 + length])
        del buffer[: 4 + length]
        if kind > CHANGES or len(payload) % _RECORD.size or (kind == UNCHANGED and payload):
            raise FeedError(f"invalid event of kind {kind} with {len(payload)} payload bytes")
        return EndpointEvent(number, kind == SNAPSHOT, None if kind == UNCHANGED else list(self._records(payload)))

    def _records(self, payload: bytes) -> Iterator[EndpointRecord]:
        for id_, address, port, state, zone, kind, cell, capacity_thousandths, started in _RECORD.iter_unpack(payload):
            if state > TERMINATED or zone >= self._zones or kind >= self._kinds or not (capacity_thousandths or state):
                raise FeedError("a record has a value out of range")
            yield EndpointRecord(
                f"s-{id_:08x}",
                ".".join(map(str, address)),
                port,
                state,
                zone,
                kind,
                cell,
                capacity_thousandths / 1000,
                started,
            )


def read_initial_events(configured: dict[str, Any], zones: list[str], kinds: list[str]) -> list[EndpointEvent]:
    """Return the events of the initial endpoint list in a configuration.  Raises `FeedError`."""
    events = []
    try:
        for entry in configured["entries"]:
            records = []
            for target in entry["hosts"]["targets"]:
                (address, _, port), capacity = target["endpoint"].rpartition(":"), float(target["capacity_hint"])
                state = _STATES[target["state"]]
                if not (0 < capacity < 1e9 or state) or not address or not 0 < int(port) < 1 << 16:
                    raise FeedError(
                        f"known events that cannot be read: target {target['uid']} has a value out of range"
                    )
                records.append(
                    EndpointRecord(
                        str(target["uid"]),
                        address,
                        int(port),
                        state,
                        zones.index(target["az"]),
                        kinds.index(target["model"]),
                        int(target["pod_group"]),
                        capacity,
                        int(target["boot_ms"] or 0),
                    )
                )
            events.append(EndpointEvent(int(entry["pos"]), bool(entry["hosts"]["all"]), records))
    except FeedError:
        raise
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as cause:
        raise FeedError(f"known events that cannot be read: {type(cause).__name__}: {cause}") from None
    return events


def encode_poll(number: int) -> bytes:
    """Encode a poll message, which requests all events after event `number`."""
    return number.to_bytes(8, "big")
