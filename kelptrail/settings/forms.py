"""Look-ups in parsed forms, for checks that compare fields before the sections are built."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .reader import Form, SourcePosition


class Setting(NamedTuple):
    """The value of a field as text (a number as Python writes a float, such as 255.0), and its position in the file."""

    text: str
    position: SourcePosition

    @property
    def number(self) -> float:
        """The value as a number; 0 if it is not a number, which the shape's check reports."""
        try:
            return float(self.text)
        except ValueError:
            return 0.0


def child_forms(form: Form, *heads: str) -> Iterator[Form]:
    """Yield the forms inside a form in order; with `heads`, only those with one of these heads."""
    for item in form.items:
        if isinstance(item, Form) and (not heads or item.head in heads):
            yield item


def form_name(form: Form) -> str:
    """Return NAME of `(head NAME ...)`, or "" if there is no name.  A name in quotes is returned with its quotes."""
    return str(form.items[1]) if len(form.items) > 1 and not isinstance(form.items[1], Form) else ""


def setting(form: Form, key: str) -> Setting | None:
    """Return the value of the first `(key VALUE)` in a form, or None."""
    for item in child_forms(form, key):
        if len(item.items) == 2 and not isinstance(value := item.items[1], Form):
            return Setting(str(value.value), value.position)
    return None
