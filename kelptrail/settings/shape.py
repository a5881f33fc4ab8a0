"""What a settings file may hold: forms, their fields, ranges, and the texts of faults.

A shape is data; `Checker` walks a form beside its shape and gathers every fault before anything is used.
"""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from .reader import Atom, Fault, Form, SettingsError, SourcePosition

REQUIRED: Any = object()


class SettingValueError(ValueError):
    """A value of another kind or out of range; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class Value:
    """A field with one value: `(key value)`."""

    convert: Callable[[Atom | Form], Any]  # raises SettingValueError with what was expected
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
    """A field with fields of its own: `(key (a 1) (b 2))`; absent, its defaults hold."""

    shape: Shape
    optional: bool = False  # absent: None in place of the defaults


@dataclass(frozen=True, slots=True)
class Many:
    """A form that may stand any number of times: `(key NAME (a 1))`."""

    shape: Shape
    least: int = 0


@dataclass(frozen=True, slots=True)
class Shape:
    """The names that a form takes in front, and its fields."""

    fields: dict[str, Value | Values | Group | Many]
    names: tuple[str, ...] = ()
    build: Callable[..., Any] = field(default=dict)


def number(low: float, high: float, integer: bool = False, default: Any = REQUIRED) -> Value:
    """A number from `low` to `high`; `integer`: without a fraction."""
    kind = "a whole number" if integer else "a number"
    expected = f"{kind} from {low:g} to {high:g}"

    def convert(item: Atom | Form) -> float | int:
        """The number of an item.  Raises `SettingValueError`."""
        if not isinstance(item, Atom) or item.kind != "number" or not isinstance(item.value, float):
            raise SettingValueError(expected)
        if not low <= item.value <= high or (integer and item.value != int(item.value)):
            raise SettingValueError(expected)
        return int(item.value) if integer else item.value

    return Value(convert, expected, default)


def milliseconds(low: float, high: float, default: Any = REQUIRED) -> Value:
    """A time from `low` to `high` ms."""
    return number(low, high, default=default)


def word(choices: Iterable[str] | None = None, default: Any = REQUIRED) -> Value:
    """A word or string, one of `choices` if given."""
    known = tuple(choices) if choices is not None else None
    expected = "one of " + ", ".join(known) if known else "a word or a string"

    def convert(item: Atom | Form) -> str:
        """The text of an item.  Raises `SettingValueError`."""
        if not isinstance(item, Atom) or item.kind == "number" or (known and item.value not in known):
            raise SettingValueError(expected)
        return str(item.value)

    return Value(convert, expected, default)


def yes_no(default: Any = REQUIRED) -> Value:
    """Yes or no."""
    inner = word(("yes", "no"))
    return Value(lambda item: inner.convert(item) == "yes", inner.expected, default)


def some(kind: Value, default: Any = REQUIRED) -> Values:
    """Any number of values of a kind."""
    return Values(kind.convert, kind.expected + ", any number of them", default)


def default_of(shape: Shape, key: str) -> float:
    """The default of a number in a shape; for checks that compare fields which the file may leave out."""
    spec = shape.fields[key]
    assert isinstance(spec, Value)
    return float(spec.default)


def fields_by_key(section: Any) -> dict[str, str]:
    """The field of each settings key, with underscores, of a dataclass or its instance.

    A key is the field's name, or the `key` of its metadata where the field has the better name.
    """
    return {f.metadata.get("key", f.name): f.name for f in dataclasses.fields(section)}


def _build(shape: Shape, values: dict[str, Any]) -> Any:
    """The built value of a form; `values`: by settings key, with underscores."""
    if not dataclasses.is_dataclass(shape.build):
        return shape.build(**values)
    fields = fields_by_key(shape.build)
    return shape.build(**{fields[key]: value for key, value in values.items()})


class Checker:
    """Gathers the faults of one file."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def fault(self, position: SourcePosition, read: object, expected: str) -> None:
        """Note a fault and go on."""
        self.faults.append(Fault(position, str(read), expected))

    def done(self) -> None:
        """Raise `SettingsError` with all faults, if there are any."""
        if self.faults:
            raise SettingsError(sorted(self.faults, key=lambda f: (f.position.line, f.position.column)))

    def form(self, form: Form, shape: Shape) -> Any:
        """The built value of a form, or None where it has faults."""
        before, items = len(self.faults), list(form.items[1:])
        out = self._names(form, shape, items)
        seen: dict[str, SourcePosition] = {}
        lists: dict[str, list[Any]] = {k: [] for k, f in shape.fields.items() if isinstance(f, Many)}
        for item in items:
            if not isinstance(item, Form) or item.head is None:
                self.fault(item.position, item, f"a field of ({form.head} ...) in brackets")
                continue
            spec = shape.fields.get(item.head)
            if spec is None:
                self._unknown_field(item, form, shape)
                continue
            if isinstance(spec, Many):
                lists[item.head].append(self.form(item, spec.shape))
                continue
            if item.head in seen:
                self.fault(
                    item.position,
                    f"({item.head} ...) again",
                    f"it once; it stands in line {seen[item.head].line} already",
                )
                continue
            seen[item.head] = item.position
            out[item.head.replace("-", "_")] = self._field(item, spec)
        for key, spec in shape.fields.items():
            name = key.replace("-", "_")
            if isinstance(spec, Many):
                out[name] = self._enough(form, key, spec, lists[key])
            elif key not in seen:
                out[name] = self._absent(form, key, spec)
        return _build(shape, out) if len(self.faults) == before else None

    def _names(self, form: Form, shape: Shape, items: list[Atom | Form]) -> dict[str, Any]:
        """The names at the start of a form; they are taken off `items`."""
        names = dict[str, Any]()
        for name in shape.names:
            if items and isinstance(items[0], Atom):
                names[name] = str(items.pop(0)).strip('"')
            else:
                self.fault(form.position, form, f"({form.head} {name.upper()} ...)")
        return names

    def _enough(self, form: Form, key: str, spec: Many, values: list[Any]) -> list[Any]:
        """The values of a field that may stand several times."""
        if len(values) < spec.least:
            self.fault(form.position, f"{len(values)} of ({key} ...)", f"{spec.least} at least")
        return values

    def _unknown_field(self, item: Form, form: Form, shape: Shape) -> None:
        near = difflib.get_close_matches(str(item.head), shape.fields, 1)
        hint = f" (did you mean {near[0]}?)" if near else ""
        expected = f"a field of ({form.head} ...): " + ", ".join(sorted(shape.fields)) + hint
        self.fault(item.position, f"({item.head} ...)", expected)

    def _field(self, item: Form, spec: Value | Values | Group) -> Any:
        if isinstance(spec, Group):
            return self.form(item, spec.shape)
        values = item.items[1:]
        if isinstance(spec, Value) and len(values) != 1:
            self.fault(item.position, f"{len(values)} values for {item.head}", spec.expected)
            return None
        out = []
        for value in values:
            try:
                out.append(spec.convert(value))
            except ValueError as cause:
                self.fault(value.position, value, f"{cause} for {item.head}")
        if isinstance(spec, Value):
            return out[0] if out else None
        return tuple(out)

    def _absent(self, form: Form, key: str, spec: Value | Values | Group) -> Any:
        if isinstance(spec, Group):
            if spec.optional:
                return None
            return self.form(Form((Atom(key, "word", form.position),), form.position), spec.shape)
        if spec.default is REQUIRED:
            self.fault(form.position, f"no ({key} ...) in {form}", spec.expected)
            return None
        return spec.default
