"""Parses and validates the fields of a client's request.

The protocol's field names: `txn` is the request id, `item` the function, `unique` the idempotency key, `verb` the
request class, `team` the tenant, `limit` the time left and `cpu` the work, both in milliseconds.  `info` has further
numbers: `memory_mb` and `lanes` (the slots) of an instance, and `load_ms`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from kelptrail.dispatch.entities import Idempotency, RequestClass, Tenant
from kelptrail.engine.events import RequestArrival

MAX_SLOTS = 1024
MAX_LOAD_MS = 1e7
MAX_WORK_MS = 1e9
_HEX_ID = re.compile(r"[0-9a-f]{16}")
_IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z._:-]{1,64}")
_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")


class UnusableRequestError(ValueError):
    """A request has a readable frame but invalid fields."""


@dataclass(frozen=True, slots=True)
class RequestRules:
    """The values that the settings allow in a request.  `max_timeout_ms` is keyed by the name of the request class."""

    request_classes: Mapping[str, RequestClass]
    tenants: Mapping[str, Tenant]
    max_timeout_ms: Mapping[str, float]
    max_function_mb: float


class ParsedRequest:
    """The validated fields of one request.  Times are in milliseconds; `load_ms` and `work_ms` are None if absent."""

    __slots__ = (
        "function_id",
        "id",
        "key",
        "load_ms",
        "memory_mb",
        "request_class",
        "slots",
        "tenant",
        "timeout_ms",
        "work_ms",
    )

    def __init__(self, fields: dict[str, str], rules: RequestRules) -> None:
        """Validate the fields of a request.  Raises `UnusableRequestError`."""
        self.id, self.function_id, self.key = fields.get("txn", ""), fields.get("item", ""), fields.get("unique", "")
        if not _HEX_ID.fullmatch(self.id) or not _HEX_ID.fullmatch(self.function_id):
            raise UnusableRequestError("invalid request or function id")
        if (request_class := rules.request_classes.get(fields.get("verb", ""))) is None:
            raise UnusableRequestError("unknown request class")
        self.request_class, self.tenant = request_class, rules.tenants.get(fields.get("team", ""))
        if rules.tenants and self.tenant is None:
            raise UnusableRequestError("unknown tenant")
        if (self.key and not _IDEMPOTENCY_KEY.fullmatch(self.key)) or (
            not self.key and request_class.idempotency is Idempotency.DEDUPLICATED
        ):
            raise UnusableRequestError("invalid or missing idempotency key")
        self.timeout_ms = _read_number(fields, "limit", 1, rules.max_timeout_ms[request_class.name])
        info = _read_info(fields.get("info") or "")
        self.memory_mb = _read_number(info, "memory_mb", 1, rules.max_function_mb)
        self.slots = int(_read_number(info, "lanes", 1, MAX_SLOTS))
        self.load_ms = _read_number(info, "load_ms", 0, MAX_LOAD_MS) if "load_ms" in info else None
        self.work_ms = _read_number(fields, "cpu", 0, MAX_WORK_MS) if "cpu" in fields else None

    def arrival(self, client: object) -> RequestArrival:
        """Return the request in the form that the engine accepts; `client` is the connection that it came on."""
        return RequestArrival(
            self.id,
            self.request_class,
            self.tenant,
            self.function_id,
            self.timeout_ms,
            self.memory_mb,
            self.slots,
            self.load_ms,
            self.work_ms,
            client,
        )


def _read_info(text: str) -> dict[str, str]:
    """Parse the `info` field, `name:value` pairs separated by semicolons."""
    info = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        info[name] = value
    return info


def _read_number(fields: Mapping[str, str], name: str, minimum: float, maximum: float) -> float:
    text = fields.get(name, "")
    if not _NUMBER.fullmatch(text) or not minimum <= (number := float(text)) <= maximum:
        raise UnusableRequestError(f"{name} is not a number from {minimum:g} to {maximum:g}")
    return number
