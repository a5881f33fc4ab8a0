"""The settings object of a deployment, read and checked.  What is missing, of another type or out of range is named
by its place; what is merely unknown is passed over.  Both doors use it; standard library only."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from kelptrail.dispatch.entities import Idempotency, RequestClass, Tenant

EFFECTS = {"free": Idempotency.IDEMPOTENT, "guarded": Idempotency.DEDUPLICATED, "single_shot": Idempotency.AT_MOST_ONCE}
SCOPES = {scope: scope for scope in ("all", "zone", "cell")}
REPORTED = {"cpu": "util"}
LONGEST = 1e15  # microseconds, some thirty years
T = TypeVar("T")


class MalformedError(Exception):
    """Input that is not of the protocol, or settings that cannot be used."""


class SettingsObject:
    """A JSON object, and where it stands."""

    def __init__(self, told: Any, at: str) -> None:
        if not isinstance(told, Mapping):
            raise MalformedError(f"{at}: no object")
        self._told, self.at = told, at

    def has(self, name: str) -> bool:
        """Whether it says anything under that name."""
        return self._told.get(name) is not None

    def find(self, name: str) -> Any:
        """What it says under that name, which it must."""
        if (found := self._told.get(name)) is None:
            raise MalformedError(f"{self.at}.{name}: missing")
        return found

    def object(self, name: str) -> SettingsObject:
        """An object within."""
        return SettingsObject(self.find(name), f"{self.at}.{name}")

    def items(self, name: str) -> list[Any]:
        """A list."""
        if not isinstance(found := self.find(name), list):
            raise MalformedError(f"{self.at}.{name}: no list")
        return found

    def objects(self, name: str) -> Iterator[SettingsObject]:
        """A list of objects."""
        return (SettingsObject(item, f"{self.at}.{name}[{n}]") for n, item in enumerate(self.items(name)))

    def number(self, name: str, least: float = 0.0, most: float = LONGEST) -> float:
        """A number within a range, both ends included."""
        found = self.find(name)
        if isinstance(found, bool) or not isinstance(found, int | float):
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is no number")
        if not least <= found <= most:  # nor is what JSON has no number for
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is not from {least:g} to {most:g}")
        return float(found)

    def integer(self, name: str, least: int = 0, most: int = 1 << 40) -> int:
        """A whole number within a range."""
        if (found := self.number(name, least, most)) != int(found):
            raise MalformedError(f"{self.at}.{name}: {found:g} is no whole number")
        return int(found)

    def ms(self, name: str, least_us: float = 0.0) -> float:
        """A time told in microseconds, as milliseconds."""
        return self.number(name, least_us) / 1000

    def flag(self, name: str) -> bool:
        """True or false."""
        if not isinstance(found := self.find(name), bool):
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is neither true nor false")
        return found

    def text(self, name: str) -> str:
        """A text that is not empty."""
        if not isinstance(found := self.find(name), str) or not found:
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is no text")
        return found

    def texts(self, name: str, least: int = 0) -> list[str]:
        """A list of texts, `least` of them or more."""
        if len(found := self.items(name)) < least:
            raise MalformedError(f"{self.at}.{name}: nothing there")
        if not all(isinstance(item, str) and item for item in found):
            raise MalformedError(f"{self.at}.{name}: not all of it is text")
        return found

    def choice(self, name: str, choices: Mapping[str, T]) -> T:
        """What a text stands for."""
        if (found := self.text(name)) not in choices:
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is none of {', '.join(choices)}")
        return choices[found]


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """What one dispatcher is built from."""

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
    loads_on_demand: bool  # a worker without the function loads it for a send
    load_ration: tuple[bool, float, float, float]
    connect_timeout_ms: float


def read_settings(settings: Any) -> DispatcherSettings:
    """The settings object of a start.  Raises `MalformedError`."""
    told = SettingsObject(settings, "settings")
    rules, bounds, extras = told.object("rules"), told.object("bounds"), told.object("specifics")
    types = [_type(each) for each in told.objects("classes")]
    if not types or len({request_class.name for request_class in types}) < len(types):
        raise MalformedError(f"{told.at}.classes: none, or one name twice")
    customers = [
        Tenant(each.text("name"), each.number("allowance_per_s"))
        for each in (told.objects("customers") if told.has("customers") else ())
    ]
    if customers and not sum(tenant.quota_per_s for tenant in customers):
        raise MalformedError(f"{told.at}.customers: none of them has an allowance_per_s over 0")
    return DispatcherSettings(
        request_classes=types,
        tenants=customers,
        report_fields=[REPORTED.get(name, name) for name in told.object("report").texts("fields")],
        zone=told.integer("my_zone"),
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
        load_ration=(
            extras.flag("load_control"),
            extras.number("free_loads"),
            extras.number("load_share"),
            extras.ms("load_span_us"),
        ),
        connect_timeout_ms=bounds.ms("connect_timeout_us", 1),
    )


def _type(told: SettingsObject) -> RequestClass:
    effect = told.choice("effect", EFFECTS)
    guarded = effect is Idempotency.DEDUPLICATED
    return RequestClass(
        told.text("name"),
        effect,
        told.ms("aim_us", 1),
        told.number("gain", 1e-9),
        told.number("late_worth"),
        told.choice("key_scope", SCOPES) if guarded and told.has("key_scope") else "all",
        told.ms("window_us") if guarded else 0.0,
    )


def _short(found: Any) -> str:
    text = repr(found)
    return text if len(text) <= 40 else f"{text[:37]}..."
