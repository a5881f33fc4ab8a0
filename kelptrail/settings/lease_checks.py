"""Checks of the `leases` section: known acceptors, a safe change of the acceptor set, and usable lease lengths."""

from __future__ import annotations

from .cooperation import LEASES
from .forms import Setting, child_forms, form_name, setting
from .reader import Form
from .shape import Checker, default_of

ACCEPTOR_COUNTS = (3, 5)
_MIN_TIMEOUTS_PER_LEASE = 4  # minimum usable part of a lease, in request timeouts (`ask-ms`)


def check_leases(checker: Checker, form: Form, peers: Form | None) -> None:
    """Collect the faults of a `leases` section; `peers` is the section that names the dispatchers, if there is one."""
    known = {form_name(peer) for peer in child_forms(peers, "peer")} if peers else set()
    acceptors = _check_acceptor_set(checker, form, "voters", known)
    previous = _check_acceptor_set(checker, form, "before", None)
    _check_change(checker, form, previous, acceptors)
    _check_config_number(checker, form, previous)
    _check_max_length(checker, form)
    _check_length(checker, form)


def _check_acceptor_set(checker: Checker, form: Form, key: str, known: set[str] | None) -> list[str]:
    """Check one acceptor set and return its names; with `known`, each must be one of these peers."""
    names: list[str] = []
    for item in child_forms(form, key):
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


def _check_change(checker: Checker, form: Form, previous: list[str], acceptors: list[str]) -> None:
    """Check that a change replaces at most one acceptor, or adds or removes two.

    The acceptors that are in both sets then form a majority of each set.
    """
    if not previous:
        return
    unchanged = len(set(acceptors) & set(previous))
    smaller, larger = sorted((len(acceptors), len(previous)))
    if unchanged < (larger - 1 if smaller == larger else smaller):
        checker.fault(
            form.position,
            f"from {' '.join(previous)} to {' '.join(acceptors)}",
            "one voter replaced, or two more, or two fewer, at a time",
        )


def _check_config_number(checker: Checker, form: Form, previous: list[str]) -> None:
    """Check that the version of the acceptor set is above 1 if a previous set is given, and 1 otherwise."""
    given, number = setting(form, "number"), _number(form, "number")
    position = given.position if given else form.position
    if previous and number < 2:
        checker.fault(position, "number 1", "at least 2 with a previous set, (before NAME ...)")
    if not previous and number > 1:
        checker.fault(position, f"number {number:g}", "(before NAME ...) beside it: the previous set")


def _check_max_length(checker: Checker, form: Form) -> None:
    """Check that the acceptors grant leases of the length that dispatchers request."""
    max_ms, length_ms = _number(form, "longest-ms"), _number(form, "length-ms")
    if max_ms < length_ms:
        given: Setting | None = setting(form, "longest-ms") or setting(form, "length-ms")
        position = given.position if given else form.position
        checker.fault(position, f"longest-ms {max_ms:g}", f"at least the length-ms, {length_ms:g}")


def _check_length(checker: Checker, form: Form) -> None:
    """Check that the usable part of a lease, which the clock rate bound shortens, is long enough to renew the lease."""
    length_ms, bound = _number(form, "length-ms"), _number(form, "clock-bound")
    usable_ms, min_ms = length_ms * (1 - bound) / (1 + bound), _MIN_TIMEOUTS_PER_LEASE * _number(form, "ask-ms")
    if usable_ms < min_ms:
        given = setting(form, "length-ms")
        checker.fault(
            given.position if given else form.position,
            f"length-ms {length_ms:g}",
            f"a length of which at least four times the ask-ms, {min_ms:g}, is usable: the clock bound "
            f"takes {length_ms - usable_ms:.0f}",
        )


def _number(form: Form, key: str) -> float:
    """Return a number of the section, or its default."""
    given = setting(form, key)
    return given.number if given else default_of(LEASES, key)
