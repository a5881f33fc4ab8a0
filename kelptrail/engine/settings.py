"""Reads and checks the settings object of a deployment.

An error names the key that is missing, of another type or out of range by its path; unknown keys are ignored.  The
platform and the simulator's adapter use it; standard library only.
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
REPORT_FIELDS = {"cpu": "util"}  # the platform's name of a report field, and the dispatcher's
MAX_NUMBER = 1e15  # as microseconds some thirty years: far beyond any sensible setting
T = TypeVar("T")


class MalformedError(Exception):
    """Input that violates the protocol, or settings that cannot be used; the message names the place."""


class SettingsObject:
    """A JSON object and its path in the settings.  Its methods raise `MalformedError` with the path of the key."""

    def __init__(self, value: Any, at: str) -> None:
        if not isinstance(value, Mapping):
            raise MalformedError(f"{at}: no object")
        self._values, self.at = value, at

    def has(self, name: str) -> bool:
        """Whether the key is present and not null."""
        return self._values.get(name) is not None

    def find(self, name: str) -> Any:
        """The value of a required key."""
        if (found := self._values.get(name)) is None:
            raise MalformedError(f"{self.at}.{name}: missing")
        return found

    def object(self, name: str) -> SettingsObject:
        """A nested object."""
        return SettingsObject(self.find(name), f"{self.at}.{name}")

    def items(self, name: str) -> list[Any]:
        """A list."""
        if not isinstance(found := self.find(name), list):
            raise MalformedError(f"{self.at}.{name}: no list")
        return found

    def objects(self, name: str) -> Iterator[SettingsObject]:
        """A list of objects."""
        return (SettingsObject(item, f"{self.at}.{name}[{n}]") for n, item in enumerate(self.items(name)))

    def number(self, name: str, least: float = 0.0, most: float = MAX_NUMBER) -> float:
        """A number within a range, both ends included."""
        found = self.find(name)
        if isinstance(found, bool) or not isinstance(found, int | float):
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is no number")
        if not least <= found <= most:  # false for NaN as well
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is not from {least:g} to {most:g}")
        return float(found)

    def integer(self, name: str, least: int = 0, most: int = 1 << 40) -> int:
        """A whole number within a range."""
        if (found := self.number(name, least, most)) != int(found):
            raise MalformedError(f"{self.at}.{name}: {found:g} is no whole number")
        return int(found)

    def ms(self, name: str, least_us: float = 0.0) -> float:
        """A time given in microseconds, in milliseconds."""
        return self.number(name, least_us) / 1000

    def flag(self, name: str) -> bool:
        """True or false."""
        if not isinstance(found := self.find(name), bool):
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is neither true nor false")
        return found

    def text(self, name: str) -> str:
        """A non-empty string."""
        if not isinstance(found := self.find(name), str) or not found:
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is no text")
        return found

    def texts(self, name: str, least: int = 0) -> list[str]:
        """A list of at least `least` non-empty strings."""
        if len(found := self.items(name)) < least:
            raise MalformedError(f"{self.at}.{name}: nothing there")
        if not all(isinstance(item, str) and item for item in found):
            raise MalformedError(f"{self.at}.{name}: not all of it is text")
        return found

    def choice(self, name: str, choices: Mapping[str, T]) -> T:
        """The value that a string selects."""
        if (found := self.text(name)) not in choices:
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is none of {', '.join(choices)}")
        return choices[found]


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """The settings of one dispatcher.  Times are milliseconds."""

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    report_fields: list[str]
    zone: int
    reports_warm: bool
    parallel_attempts: bool
    can_cancel: bool
    max_attempts: int
    max_retry_after_ms: float
    overload_multiple: float
    overload_window_ms: float
    initial_capacity: float
    slow_start_ms: float
    keep_alive_ms: float
    loads_on_demand: bool  # a worker without the function loads it for an attempt
    load_ration: LoadRation
    connect_timeout_ms: float


@dataclass(frozen=True, slots=True)
class ReadinessSettings:
    """The rule on draining workers, and what workers may be asked."""

    drain_grace_ms: float | None  # new work may start so long after a drain was notified; None: no such rule
    probe_kinds: Sequence[ProbeKind]  # what workers may be asked


def read_settings(settings: Any) -> DispatcherSettings:
    """The settings object that a dispatcher is started with.  Raises `MalformedError`."""
    root = SettingsObject(settings, "settings")
    rules, bounds, extras = root.object("rules"), root.object("bounds"), root.object("specifics")
    request_classes = [_read_request_class(each) for each in root.objects("classes")]
    if not request_classes or len({each.name for each in request_classes}) < len(request_classes):
        raise MalformedError(f"{root.at}.classes: none, or one name twice")
    tenants = [
        Tenant(each.text("name"), each.number("allowance_per_s"))
        for each in (root.objects("customers") if root.has("customers") else ())
    ]
    if tenants and not sum(tenant.quota_per_s for tenant in tenants):
        raise MalformedError(f"{root.at}.customers: none of them has an allowance_per_s over 0")
    return DispatcherSettings(
        request_classes=request_classes,
        tenants=tenants,
        report_fields=[REPORT_FIELDS.get(name, name) for name in root.object("report").texts("fields")],
        zone=root.integer("my_zone"),
        reports_warm=extras.flag("says_warm"),
        parallel_attempts=bounds.flag("parallel_tries"),
        can_cancel=bounds.flag("may_cancel"),
        max_attempts=bounds.integer("max_attempts", 1),
        max_retry_after_ms=bounds.ms("max_retry_after_us") if bounds.flag("retry_after") else 0.0,
        overload_multiple=rules.number("tip_multiple"),
        overload_window_ms=rules.ms("fall_us", 1),
        initial_capacity=rules.number("start_capacity", 0, 1),
        slow_start_ms=rules.ms("cold_us"),
        keep_alive_ms=extras.ms("idle_life_us"),
        loads_on_demand=extras.has("not_loaded") and extras.choice("not_loaded", {"load": True, "miss": False}),
        load_ration=LoadRation(
            extras.flag("load_control"),
            extras.number("free_loads"),
            extras.number("load_share"),
            extras.ms("load_span_us"),
        ),
        connect_timeout_ms=bounds.ms("connect_timeout_us", 1),
    )


def read_readiness_settings(settings: Any) -> ReadinessSettings:
    """The part of the settings object that is about draining workers.  Raises `MalformedError`."""
    root = SettingsObject(settings, "settings")
    rules, bounds, extras = root.object("rules"), root.object("bounds"), root.object("specifics")
    grace_ms = rules.ms("stop_sending_within_us") if rules.has("stop_sending_within_us") else None
    return ReadinessSettings(grace_ms, _probe_kinds(bounds, extras))


def _probe_kinds(bounds: SettingsObject, extras: SettingsObject) -> Sequence[ProbeKind]:
    """What proves that a worker does not drain.  Observed on the platform: a draining worker answers health checks with
    DOWN, and load queries as a ready one does, although its page says otherwise; so where health checks are forbidden
    nothing may be asked.  Settings that do not mention them are of no such platform, and the page's word stands.
    """
    load_query = (ProbeKind.LOAD_QUERY,) if extras.flag("load_control") else ()
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


def _short(found: Any) -> str:
    text = repr(found)
    return text if len(text) <= 40 else f"{text[:37]}..."
