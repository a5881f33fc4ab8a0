"""Look-ups in a form as it was read, for checks that compare fields before any section is built."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .reader import Form, SourcePosition


class Setting(NamedTuple):
    """A field's value as text, and where it is in the file."""

    text: str
    position: SourcePosition

    @property
    def number(self) -> float:
        """The value as a number; 0 where it is none, which is a fault of its own."""
        try:
            return float(self.text)
        except ValueError:
            return 0.0


def sections(form: Form, *heads: str) -> Iterator[Form]:
    """The forms inside a form, in order; with `heads`, only those that begin with one of them."""
    for item in form.items:
        if isinstance(item, Form) and (not heads or item.head in heads):
            yield item


def first_name(form: Form) -> str:
    """The first word after the head of `(head NAME ...)`, or an empty string."""
    return str(form.items[1]) if len(form.items) > 1 and not isinstance(form.items[1], Form) else ""


def setting(form: Form, key: str) -> Setting | None:
    """The value of the first `(key VALUE)` in a form, if there is one."""
    for item in sections(form, key):
        if len(item.items) == 2 and not isinstance(value := item.items[1], Form):
            return Setting(str(value.value), value.position)
    return None
