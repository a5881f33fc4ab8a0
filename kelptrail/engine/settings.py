"""The settings object of a deployment, read and checked.  What is missing, of another type or out of range is named
by its place; what is merely unknown is passed over.  Both doors use it; standard library only."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from kelptrail.dispatch.entities import Customer, Effect, NamespaceType

EFFECTS = {"free": Effect.REPEATABLE, "guarded": Effect.DEDUPLICATED, "single_shot": Effect.ONCE_ONLY}
SCOPES = {scope: scope for scope in ("all", "zone", "cell")}
REPORTED = {"cpu": "util"}
LONGEST = 1e15  # microseconds, some thirty years
T = TypeVar("T")


class MalformedError(Exception):
    """Input that is not of the protocol, or settings that cannot be used."""


class Told:
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

    def part(self, name: str) -> Told:
        """An object within."""
        return Told(self.find(name), f"{self.at}.{name}")

    def items(self, name: str) -> list[Any]:
        """A list."""
        if not isinstance(found := self.find(name), list):
            raise MalformedError(f"{self.at}.{name}: no list")
        return found

    def parts(self, name: str) -> Iterator[Told]:
        """A list of objects."""
        return (Told(item, f"{self.at}.{name}[{n}]") for n, item in enumerate(self.items(name)))

    def number(self, name: str, least: float = 0.0, most: float = LONGEST) -> float:
        """A number within a range, both ends included."""
        found = self.find(name)
        if isinstance(found, bool) or not isinstance(found, int | float):
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is no number")
        if not least <= found <= most:  # nor is what JSON has no number for
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is not from {least:g} to {most:g}")
        return float(found)

    def whole(self, name: str, least: int = 0, most: int = 1 << 40) -> int:
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

    def one_of(self, name: str, choices: Mapping[str, T]) -> T:
        """What a text stands for."""
        if (found := self.text(name)) not in choices:
            raise MalformedError(f"{self.at}.{name}: {_short(found)} is none of {', '.join(choices)}")
        return choices[found]


@dataclass(frozen=True, slots=True)
class Deployment:
    """What one dispatcher is built from."""

    types: list[NamespaceType]
    customers: list[Customer]
    fields: list[str]
    zone: int
    tells_warm: bool
    parallel: bool
    cancels: bool
    most_sends: int
    longest_return_ms: float
    tip: float
    tip_ms: float
    cold_share: float
    cold_ms: float
    keep_ms: float
    loads: bool  # a worker without the function loads it for a send
    ration: tuple[bool, float, float, float]
    connect_ms: float


def read(settings: Any) -> Deployment:
    """The settings object of a start.  Raises `MalformedError`."""
    told = Told(settings, "settings")
    rules, bounds, extras = told.part("rules"), told.part("bounds"), told.part("specifics")
    types = [_type(each) for each in told.parts("classes")]
    if not types or len({type_.name for type_ in types}) < len(types):
        raise MalformedError(f"{told.at}.classes: none, or one name twice")
    customers = [
        Customer(each.text("name"), each.number("allowance_per_s"))
        for each in (told.parts("customers") if told.has("customers") else ())
    ]
    if customers and not sum(customer.allowed_per_s for customer in customers):
        raise MalformedError(f"{told.at}.customers: none of them has an allowance_per_s over 0")
    return Deployment(
        types=types,
        customers=customers,
        fields=[REPORTED.get(name, name) for name in told.part("report").texts("fields")],
        zone=told.whole("my_zone"),
        tells_warm=extras.flag("says_warm"),
        parallel=bounds.flag("parallel_tries"),
        cancels=bounds.flag("may_cancel"),
        most_sends=bounds.whole("max_attempts", 1),
        longest_return_ms=bounds.ms("max_retry_after_us") if bounds.flag("retry_after") else 0.0,
        tip=rules.number("tip_multiple"),
        tip_ms=rules.ms("fall_us", 1),
        cold_share=rules.number("start_capacity", 0, 1),
        cold_ms=rules.ms("cold_us"),
        keep_ms=extras.ms("idle_life_us"),
        loads=extras.has("not_loaded") and extras.one_of("not_loaded", {"load": True, "miss": False}),
        ration=(
            extras.flag("load_control"),
            extras.number("free_loads"),
            extras.number("load_share"),
            extras.ms("load_span_us"),
        ),
        connect_ms=bounds.ms("connect_timeout_us", 1),
    )


def _type(told: Told) -> NamespaceType:
    effect = told.one_of("effect", EFFECTS)
    guarded = effect is Effect.DEDUPLICATED
    return NamespaceType(
        told.text("name"),
        effect,
        told.ms("aim_us", 1),
        told.number("gain", 1e-9),
        told.number("late_worth"),
        told.one_of("key_scope", SCOPES) if guarded and told.has("key_scope") else "all",
        told.ms("window_us") if guarded else 0.0,
    )


def _short(found: Any) -> str:
    text = repr(found)
    return text if len(text) <= 40 else f"{text[:37]}..."
