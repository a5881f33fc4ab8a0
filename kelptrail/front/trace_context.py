"""Trace context of requests (W3C Trace Context, section 3.2)."""

from __future__ import annotations

import os
from typing import NamedTuple

FIELD_LENGTHS = [2, 32, 16, 2]  # Hexadecimal digits of version, trace id, parent id and flags
HEX_DIGITS = frozenset("0123456789abcdef")
INVALID_TRACE_ID = "0" * 32
INVALID_VERSION = "ff"
SPAN_ID_MASK = (1 << 64) - 1


class TraceParent(NamedTuple):
    """A well-formed `traceparent` header without its parent id, which is not used."""

    version: str
    trace_id: str
    flags: str
    has_more_fields: bool  # Versions after 00 may append fields to the four of `FIELD_LENGTHS`


def parse_traceparent(header: str) -> TraceParent | None:
    """Parse a `traceparent` header; return None if it is malformed or absent.

    `INVALID_VERSION` and further fields are accepted; callers decide whether to use such a header.
    """
    if not header:
        return None
    fields = header.strip().lower().split("-")
    known_fields = fields[: len(FIELD_LENGTHS)]
    if [len(field) for field in known_fields] != FIELD_LENGTHS or not all(
        HEX_DIGITS.issuperset(field) for field in known_fields
    ):
        return None
    version, trace_id, _, flags = known_fields
    if trace_id == INVALID_TRACE_ID:
        return None
    return TraceParent(version, trace_id, flags, len(fields) > len(known_fields))


class TraceIdSource:
    """Generates the `traceparent` of requests; a random prefix makes the trace ids that are created here unique."""

    def __init__(self) -> None:
        self._prefix = os.urandom(8).hex()

    def traceparent(self, parent: TraceParent | None, span_number: int) -> str:
        """Return the header that is sent to workers: a span of the client's trace, or of a new one without `parent`."""
        span_id = f"{span_number & SPAN_ID_MASK:016x}"
        if parent is None:
            return f"00-{self._prefix}{span_id}-{span_id}-00"
        return f"00-{parent.trace_id}-{span_id}-{parent.flags}"
