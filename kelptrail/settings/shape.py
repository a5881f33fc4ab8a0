"""Describes the permitted content of a settings file: forms, their fields, ranges and default values.

A shape is data; `Checker` compares a form with its shape and collects all faults.
"""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from .reader import Atom, Form, SettingsError, SettingsFault, SourcePosition

REQUIRED: Any = object()  # default of a field that must not be left out


class SettingValueError(ValueError):
    """A value has the wrong kind or is out of range; the message is what was expected."""


@dataclass(frozen=True, slots=True)
class Value:
    """A field with one value: `(key value)`."""

    convert: Callable[[Atom | Form], Any]  # raises SettingValueError
    expected: str
    default: Any = REQUIRED


@dataclass(frozen=True, slots=True)
class Values:
    """A field with any number of values of one kind: `(key value value ...)`."""

    convert: Callable[[Atom | Form], Any]
    expected: str
    default: Any = REQUIRED


@dataclass(frozen=True, slots=True)
class Group:
    """A field with fields of its own: `(key (a 1) (b 2))`; if it is absent, the defaults of its fields apply."""

    shape: Shape
    optional: bool = False  # if it is absent, the value is None instead of the defaults


@dataclass(frozen=True, slots=True)
class Repeated:
    """A form that may be repeated: `(key NAME (a 1))`."""

    shape: Shape
    min_count: int = 0


@dataclass(frozen=True, slots=True)
class Shape:
    """The names that follow the head of a form, its fields, and the class that is built from both."""

    fields: dict[str, Value | Values | Group | Repeated]
    names: tuple[str, ...] = ()
    build: Callable[..., Any] = field(default=dict)


def number(low: float, high: float, integer: bool = False, default: Any = REQUIRED) -> Value:
    """Return the specification of a number from `low` to `high`; with `integer`, a whole number."""
    kind = "a whole number" if integer else "a number"
    expected = f"{kind} from {low:g} to {high:g}"

    def convert(item: Atom | Form) -> float | int:
        """Return the number of an item.  Raises `SettingValueError`."""
        if not isinstance(item, Atom) or item.kind != "number" or not isinstance(item.value, float):
            raise SettingValueError(expected)
        if not low <= item.value <= high or (integer and item.value != int(item.value)):
            raise SettingValueError(expected)
        return int(item.value) if integer else item.value

    return Value(convert, expected, default)


def milliseconds(low: float, high: float, default: Any = REQUIRED) -> Value:
    """Return the specification of a duration from `low` to `high` ms."""
    return number(low, high, default=default)


def word(choices: Iterable[str] | None = None, default: Any = REQUIRED) -> Value:
    """Return the specification of a word or string, which must be one of `choices` if given."""
    allowed = tuple(choices) if choices is not None else None
    expected = "one of " + ", ".join(allowed) if allowed else "a word or a string"

    def convert(item: Atom | Form) -> str:
        """Return the text of an item.  Raises `SettingValueError`."""
        if not isinstance(item, Atom) or item.kind == "number" or (allowed and item.value not in allowed):
            raise SettingValueError(expected)
        return str(item.value)

    return Value(convert, expected, default)


def yes_no(default: Any = REQUIRED) -> Value:
    """Return the specification of a Boolean, written as yes or no."""
    choice = word(("yes", "no"))
    return Value(lambda item: choice.convert(item) == "yes", choice.expected, default)


def list_of(kind: Value, default: Any = REQUIRED) -> Values:
    """Return the specification of any number of values of a kind."""
    return Values(kind.convert, kind.expected + ", any number of them", default)


def default_of(shape: Shape, key: str) -> float:
    """Return the default of a numeric field, for checks that compare fields which the file may leave out."""
    spec = shape.fields[key]
    assert isinstance(spec, Value)
    return float(spec.default)


def fields_by_key(section: Any) -> dict[str, str]:
    """Map settings keys, written with underscores, to the field names of a dataclass or its instance.

    The key of a field is the `key` in its metadata, or else the field's name.
    """
    return {f.metadata.get("key", f.name): f.name for f in dataclasses.fields(section)}


def _build(shape: Shape, values: dict[str, Any]) -> Any:
    """Build the value of a form; the keys of `values` are settings keys, written with underscores."""
    if not dataclasses.is_dataclass(shape.build):
        return shape.build(**values)
    fields = fields_by_key(shape.build)
    return shape.build(**{fields[key]: value for key, value in values.items()})


class Checker:
    """Checks forms against their shapes and collects the faults of one file."""

    def __init__(self) -> None:
        self.faults: list[SettingsFault] = []

    def fault(self, position: SourcePosition, found: object, expected: str) -> None:
        """Record a fault and continue."""
        self.faults.append(SettingsFault(position, str(found), expected))

    def raise_faults(self) -> None:
        """Raise `SettingsError` with all recorded faults in the order of the file, if there are any."""
        if self.faults:
            raise SettingsError(sorted(self.faults, key=lambda f: (f.position.line, f.position.column)))

    def form(self, form: Form, shape: Shape) -> Any:
        """Check a form and build its value; return None if it has faults."""
        faults_before, items = len(self.faults), list(form.items[1:])
        values = self._take_names(form, shape, items)
        seen: dict[str, SourcePosition] = {}
        repeated: dict[str, list[Any]] = {k: [] for k, f in shape.fields.items() if isinstance(f, Repeated)}
        for item in items:
            if not isinstance(item, Form) or item.head is None:
                self.fault(item.position, item, f"a field of ({form.head} ...) in brackets")
                continue
            spec = shape.fields.get(item.head)
            if spec is None:
                self._unknown_field(item, form, shape)
                continue
            if isinstance(spec, Repeated):
                repeated[item.head].append(self.form(item, spec.shape))
                continue
            if item.head in seen:
                self.fault(
                    item.position,
                    f"({item.head} ...) again",
                    f"it once; line {seen[item.head].line} has it already",
                )
                continue
            seen[item.head] = item.position
            values[item.head.replace("-", "_")] = self._field_value(item, spec)
        for key, spec in shape.fields.items():
            name = key.replace("-", "_")
            if isinstance(spec, Repeated):
                values[name] = self._repeated_value(form, key, spec, repeated[key])
            elif key not in seen:
                values[name] = self._absent_value(form, key, spec)
        return _build(shape, values) if len(self.faults) == faults_before else None

    def _take_names(self, form: Form, shape: Shape, items: list[Atom | Form]) -> dict[str, Any]:
        """Remove the names of a form from the front of `items` and return them."""
        names = dict[str, Any]()
        for name in shape.names:
            if items and isinstance(items[0], Atom):
                names[name] = str(items.pop(0)).strip('"')
            else:
                self.fault(form.position, form, f"({form.head} {name.upper()} ...)")
        return names

    def _repeated_value(self, form: Form, key: str, spec: Repeated, values: list[Any]) -> list[Any]:
        """Return the values of a repeated form; too few are a fault."""
        if len(values) < spec.min_count:
            self.fault(form.position, f"{len(values)} of ({key} ...)", f"{spec.min_count} at least")
        return values

    def _unknown_field(self, item: Form, form: Form, shape: Shape) -> None:
        matches = difflib.get_close_matches(str(item.head), shape.fields, 1)
        hint = f" (did you mean {matches[0]}?)" if matches else ""
        expected = f"a field of ({form.head} ...): " + ", ".join(sorted(shape.fields)) + hint
        self.fault(item.position, f"({item.head} ...)", expected)

    def _field_value(self, item: Form, spec: Value | Values | Group) -> Any:
        if isinstance(spec, Group):
            return self.form(item, spec.shape)
        values = item.items[1:]
        if isinstance(spec, Value) and len(values) != 1:
            self.fault(item.position, f"{len(values)} values for {item.head}", spec.expected)
            return None
        converted = []
        for value in values:
            try:
                converted.append(spec.convert(value))
            except ValueError as cause:
                self.fault(value.position, value, f"{cause} for {item.head}")
        if isinstance(spec, Value):
            return converted[0] if converted else None
        return tuple(converted)

    def _absent_value(self, form: Form, key: str, spec: Value | Values | Group) -> Any:
        if isinstance(spec, Group):
            if spec.optional:
                return None
            return self.form(Form((Atom(key, "word", form.position),), form.position), spec.shape)
        if spec.default is REQUIRED:
            self.fault(form.position, f"no ({key} ...) in {form}", spec.expected)
            return None
        return spec.default
