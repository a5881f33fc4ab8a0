"""Reads and checks the settings object that the platform passes to a dispatcher.

An error names the path of a key that is missing, has the wrong type or is out of range.  Unknown keys are ignored.
The packages `kelptrail.platform` and `kelptrail.simulator_adapter` use this module, which needs only the standard
library.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from kelptrail.dispatch.entities import Idempotency, ProbeKind, RequestClass, Tenant
from kelptrail.dispatch.safety import LoadRation

IDEMPOTENCIES = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.DEDUPLICATED,
    "single_shot": Idempotency.AT_MOST_ONCE,
}
SCOPES = {scope: scope for scope in ("all", "zone", "cell")}
REPORT_FIELDS = {"cpu": "util"}  # maps the platform's names of report fields to the dispatcher's
MAX_NUMBER = 1e15  # about thirty years in microseconds, far beyond any sensible setting
T = TypeVar("T")


class MalformedError(Exception):
    """Input that violates the protocol, or settings that cannot be used; the message names the path."""


class SettingsObject:
    """A JSON object and its path in the settings.  Its methods raise `MalformedError` with the path of the key."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, Mapping):
            raise MalformedError(f"{path}: is not an object")
        self._values, self.path = value, path

    def has(self, name: str) -> bool:
        """Return whether the key is present and not null."""
        return self._values.get(name) is not None

    def find(self, name: str) -> Any:
        """Return the value of a required key.  Raises `MalformedError` if it is missing or null."""
        if (value := self._values.get(name)) is None:
            raise MalformedError(f"{self.path}.{name}: missing")
        return value

    def object(self, name: str) -> SettingsObject:
        """Return a nested object."""
        return SettingsObject(self.find(name), f"{self.path}.{name}")

    def items(self, name: str) -> list[Any]:
        """Return the list at a key."""
        if not isinstance(value := self.find(name), list):
            raise MalformedError(f"{self.path}.{name}: is not a list")
        return value

    def objects(self, name: str) -> Iterator[SettingsObject]:
        """Return the objects of a list."""
        return (SettingsObject(item, f"{self.path}.{name}[{n}]") for n, item in enumerate(self.items(name)))

    def number(self, name: str, minimum: float = 0.0, maximum: float = MAX_NUMBER) -> float:
        """Return a number within a range, both ends included."""
        value = self.find(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise MalformedError(f"{self.path}.{name}: {_shorten(value)} is no number")
        if not minimum <= value <= maximum:  # false for NaN as well
            raise MalformedError(f"{self.path}.{name}: {_shorten(value)} is not from {minimum:g} to {maximum:g}")
        return float(value)

    def integer(self, name: str, minimum: int = 0, maximum: int = 1 << 40) -> int:
        """Return an integer within a range, both ends included."""
        if (value := self.number(name, minimum, maximum)) != int(value):
            raise MalformedError(f"{self.path}.{name}: {value:g} is not an integer")
        return int(value)

    def ms(self, name: str, minimum_us: float = 0.0) -> float:
        """Return in milliseconds a duration that the settings give in microseconds."""
        return self.number(name, minimum_us) / 1000

    def flag(self, name: str) -> bool:
        """Return a boolean."""
        if not isinstance(value := self.find(name), bool):
            raise MalformedError(f"{self.path}.{name}: {_shorten(value)} is neither true nor false")
        return value

    def text(self, name: str) -> str:
        """Return a non-empty string."""
        if not isinstance(value := self.find(name), str) or not value:
            raise MalformedError(f"{self.path}.{name}: {_shorten(value)} is not a non-empty string")
        return value

    def texts(self, name: str, minimum: int = 0) -> list[str]:
        """Return a list of at least `minimum` non-empty strings."""
        if len(value := self.items(name)) < minimum:
            raise MalformedError(f"{self.path}.{name}: has too few items")
        if not all(isinstance(item, str) and item for item in value):
            raise MalformedError(f"{self.path}.{name}: has an item that is not a non-empty string")
        return value

    def choice(self, name: str, choices: Mapping[str, T]) -> T:
        """Return the element of `choices` that a string selects."""
        if (value := self.text(name)) not in choices:
            raise MalformedError(f"{self.path}.{name}: {_shorten(value)} is not one of {', '.join(choices)}")
        return choices[value]


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """The settings of one dispatcher.  Times are milliseconds."""

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    report_fields: list[str]
    zone: int
    reports_warm: bool  # answers of workers state whether the instance was already loaded
    parallel_attempts: bool
    can_cancel: bool
    max_attempts: int
    max_retry_after_ms: float  # 0: rejections carry no retry-after time
    # A worker is overloaded if its load over `overload_window_ms` exceeds this multiple of its present capacity.
    overload_multiple: float
    overload_window_ms: float
    initial_capacity: float  # share of its capacity that a worker has when it starts
    slow_start_ms: float
    keep_alive_ms: float  # time after which a worker may unload an idle instance
    loads_on_demand: bool  # a worker without the function loads it when an attempt arrives
    load_ration: LoadRation
    connect_timeout_ms: float


@dataclass(frozen=True, slots=True)
class ReadinessSettings:
    """The settings that decide how long a worker counts as ready, although it may be draining."""

    # Time after the notification of a drain during which new work may still start; None: no limit.
    drain_grace_ms: float | None
    probe_kinds: Sequence[ProbeKind]  # kinds of probes that may be sent to workers


def read_settings(settings: Any) -> DispatcherSettings:
    """Read the settings object that a dispatcher is started with.  Raises `MalformedError`."""
    root = SettingsObject(settings, "settings")
    rules, bounds, specifics = root.object("rules"), root.object("bounds"), root.object("specifics")
    request_classes = [_read_request_class(entry) for entry in root.objects("classes")]
    if not request_classes or len({request_class.name for request_class in request_classes}) < len(request_classes):
        raise MalformedError(f"{root.path}.classes: empty, or a name occurs twice")
    tenants = [
        Tenant(entry.text("name"), entry.number("allowance_per_s"))
        for entry in (root.objects("customers") if root.has("customers") else ())
    ]
    if tenants and not sum(tenant.quota_per_s for tenant in tenants):
        raise MalformedError(f"{root.path}.customers: no entry has an allowance_per_s above 0")
    return DispatcherSettings(
        request_classes=request_classes,
        tenants=tenants,
        report_fields=[REPORT_FIELDS.get(name, name) for name in root.object("report").texts("fields")],
        zone=root.integer("my_zone"),
        reports_warm=specifics.flag("says_warm"),
        parallel_attempts=bounds.flag("parallel_tries"),
        can_cancel=bounds.flag("may_cancel"),
        max_attempts=bounds.integer("max_attempts", 1),
        max_retry_after_ms=bounds.ms("max_retry_after_us") if bounds.flag("retry_after") else 0.0,
        overload_multiple=rules.number("tip_multiple"),
        overload_window_ms=rules.ms("fall_us", 1),
        initial_capacity=rules.number("start_capacity", 0, 1),
        slow_start_ms=rules.ms("cold_us"),
        keep_alive_ms=specifics.ms("idle_life_us"),
        loads_on_demand=specifics.has("not_loaded") and specifics.choice("not_loaded", {"load": True, "miss": False}),
        load_ration=LoadRation(
            specifics.flag("load_control"),
            specifics.number("free_loads"),
            specifics.number("load_share"),
            specifics.ms("load_span_us"),
        ),
        connect_timeout_ms=bounds.ms("connect_timeout_us", 1),
    )


def read_readiness_settings(settings: Any) -> ReadinessSettings:
    """Read the part of the settings object that concerns draining workers.  Raises `MalformedError`."""
    root = SettingsObject(settings, "settings")
    rules, bounds, specifics = root.object("rules"), root.object("bounds"), root.object("specifics")
    grace_ms = rules.ms("stop_sending_within_us") if rules.has("stop_sending_within_us") else None
    return ReadinessSettings(grace_ms, _probe_kinds(bounds, specifics))


def _probe_kinds(bounds: SettingsObject, specifics: SettingsObject) -> Sequence[ProbeKind]:
    """Return the probes whose answers, taken together, prove that a worker is not draining.

    According to the platform's page, a draining worker answers load queries differently from a ready one.  In fact,
    draining workers were observed to answer health checks with DOWN, but load queries as ready workers do.  So a load
    query is used only together with a health check, and no probe is used where health checks are forbidden.  Settings
    without the key `probes` come from another platform, where load queries prove it, as the page states.
    """
    load_query = (ProbeKind.LOAD_QUERY,) if specifics.flag("load_control") else ()
    if not bounds.has("probes"):
        return load_query
    return (ProbeKind.HEALTH_CHECK, *load_query) if bounds.flag("probes") else ()


def _read_request_class(settings: SettingsObject) -> RequestClass:
    idempotency = settings.choice("effect", IDEMPOTENCIES)
    deduplicated = idempotency is Idempotency.DEDUPLICATED
    return RequestClass(
        settings.text("name"),
        idempotency,
        settings.ms("aim_us", 1),
        settings.number("gain", 1e-9),
        settings.number("late_worth"),
        settings.choice("key_scope", SCOPES) if deduplicated and settings.has("key_scope") else "all",
        settings.ms("window_us") if deduplicated else 0.0,
    )


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 40 else f"{text[:37]}..."
