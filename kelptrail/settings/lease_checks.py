"""Checks of the `leases` section: known acceptors, a safe change of their set, and lengths that leave time to hold."""

from __future__ import annotations

from .cooperation import LEASES
from .forms import Setting, first_name, sections, setting
from .reader import Form
from .shape import Checker, default_of

ACCEPTOR_COUNTS = (3, 5)
_LEAST_ASKS_IN_A_LEASE = 4


def check_leases(checker: Checker, form: Form, peers: Form | None) -> None:
    """Add the faults of a `leases` section; `peers`: the section that names the dispatchers, if there is one."""
    known = {first_name(peer) for peer in sections(peers, "peer")} if peers else set()
    acceptors = _check_acceptor_set(checker, form, "voters", known)
    before = _check_acceptor_set(checker, form, "before", None)
    _check_change(checker, form, before, acceptors)
    _check_set_number(checker, form, before)
    _check_longest(checker, form)
    _check_length(checker, form)


def _check_acceptor_set(checker: Checker, form: Form, key: str, known: set[str] | None) -> list[str]:
    """The names of one set; `known`: the peers of the file, where names must be among them."""
    names: list[str] = []
    for item in sections(form, key):
        names = [str(atom) for atom in item.items[1:]]
        for atom, name in zip(item.items[1:], names, strict=True):
            if known is not None and name not in known:
                expected = "a peer of this file, as (peers (peer NAME)): " + (
                    ", ".join(sorted(known)) or "there is none"
                )
                checker.fault(atom.position, name, expected)
        if len(names) not in ACCEPTOR_COUNTS or len(set(names)) < len(names):
            checker.fault(item.position, f"{len(names)} {key}: {' '.join(names)}", "three or five different names")
    return names


def _check_change(checker: Checker, form: Form, before: list[str], after: list[str]) -> None:
    """Majorities of the two sets must overlap."""
    if not before:
        return
    staying = len(set(after) & set(before))
    least, most = sorted((len(after), len(before)))
    if staying < (most - 1 if least == most else least):
        checker.fault(
            form.position,
            f"from {' '.join(before)} to {' '.join(after)}",
            "one voter replaced, or two more, or two fewer, at a time",
        )


def _check_set_number(checker: Checker, form: Form, before: list[str]) -> None:
    given, number = setting(form, "number"), _figure(form, "number")
    position = given.position if given else form.position
    if before and number < 2:
        checker.fault(position, "number 1", "2 at least, where there is a set before")
    if not before and number > 1:
        checker.fault(position, f"number {number:g}", "(before NAME ...) beside it: the set before")


def _check_longest(checker: Checker, form: Form) -> None:
    longest_ms, length_ms = _figure(form, "longest-ms"), _figure(form, "length-ms")
    if longest_ms < length_ms:
        given: Setting | None = setting(form, "longest-ms") or setting(form, "length-ms")
        position = given.position if given else form.position
        checker.fault(position, f"{longest_ms:g}", f"at least the length-ms, {length_ms:g}")


def _check_length(checker: Checker, form: Form) -> None:
    """Of a lease's length, the part that clocks of different rates leave must be enough to renew it."""
    length_ms, bound = _figure(form, "length-ms"), _figure(form, "clock-bound")
    usable_ms, least_ms = length_ms * (1 - bound) / (1 + bound), _LEAST_ASKS_IN_A_LEASE * _figure(form, "ask-ms")
    if usable_ms < least_ms:
        given = setting(form, "length-ms")
        checker.fault(
            given.position if given else form.position,
            f"{length_ms:g}",
            f"a length of which at least four times the ask-ms is left, {least_ms:g}: clocks take "
            f"{length_ms - usable_ms:.0f}",
        )


def _figure(form: Form, key: str) -> float:
    """A number of the section, or its default."""
    given = setting(form, key)
    return given.number if given else default_of(LEASES, key)
